//! Random histories of instances, a store and a holder that changes a primary.
//!
//! Instances are partitioned from the store and from each other, frozen, or killed and started again.
//! Partitions drop packets or refuse connections. The holder collects answers and promotes when its
//! barrier is complete. From then on, no instance that does not know of the change may have a valid
//! lease.

use std::sync::Arc;
use std::time::{Duration, Instant};

use check::runner;
use filbertbay_coordination::succession::release::{Answer, Barrier};
use filbertbay_coordination::succession::{
    BASE_PRIMARY_LEASE, FailureDetector, MAX_PRIMARY_LEASE, PEER_CONFIRMATION_TTL, PrimaryLease,
};
use quickcheck::{Arbitrary, Gen};

const STEP: Duration = Duration::from_millis(100);

/// Steps of one history, 40 s in total.
const STEPS: usize = 400;

/// Instances of one history; the first is the holder.
const INSTANCES: usize = 8;

/// Steps between two contacts of an instance with the store or the other instances.
const CONTACT_STEPS: usize = 10;

/// Faults of one instance, as spans of steps.
#[derive(Clone, Debug)]
struct Faults {
    /// Partitioned from the store.
    store: (usize, usize),
    /// Partitioned from the instances of the other side.
    side: (usize, usize),
    /// Frozen: handles and answers nothing.
    frozen: (usize, usize),
    /// Not running: connections are refused, and the next process knows nothing at first.
    killed: (usize, usize),
}

#[derive(Clone, Debug)]
struct History {
    faults: Vec<Faults>,
    /// Which instances are on the holder's side of a partition.
    near: Vec<bool>,
    /// Whether connections over the partition are refused.
    is_refusing: bool,
    moved: usize,
    late: LateRelease,
}

/// Instances that confirm each other behind a partition from before a change until late in it, and
/// release the primary when the partition ends, except for a few that stay cut off.
#[derive(Clone, Debug)]
struct LateRelease {
    /// The last so many instances are behind the partition.
    cut_off: usize,
    /// The last so many of them stay cut off.
    missing: usize,
    /// Steps from the start of the partition to the change, and from there to its end.
    before: usize,
    after: usize,
}

impl Arbitrary for LateRelease {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            cut_off: INSTANCES - 1 - usize::arbitrary(g) % 3,
            missing: 1 + usize::arbitrary(g) % 2,
            before: usize::arbitrary(g) % 40,
            after: usize::arbitrary(g) % 80,
        }
    }
}

fn span(g: &mut Gen, frequency: u8) -> (usize, usize) {
    if u8::arbitrary(g) >= frequency {
        return (0, 0);
    }
    let start = usize::arbitrary(g) % STEPS;
    (start, start + usize::arbitrary(g) % 150)
}

impl Arbitrary for History {
    fn arbitrary(g: &mut Gen) -> Self {
        let fault = |g: &mut Gen| Faults {
            store: span(g, 150),
            side: span(g, 150),
            frozen: span(g, 60),
            killed: span(g, 30),
        };
        let moved = 50 + usize::arbitrary(g) % 200;
        let mut faults: Vec<Faults> = (0..INSTANCES).map(|_| fault(g)).collect();
        let near: Vec<bool> = (0..INSTANCES).map(|_| u8::arbitrary(g) > 128).collect();
        if bool::arbitrary(g) {
            // A partition that separates one side from the store and from the holder together.
            let start = moved - usize::arbitrary(g) % 40;
            let cut = (start, start + 40 + usize::arbitrary(g) % 100);
            for (fault, is_near) in faults.iter_mut().zip(&near) {
                if *is_near != near[0] {
                    fault.store = cut;
                    fault.side = cut;
                }
            }
        }
        Self {
            faults,
            near,
            is_refusing: bool::arbitrary(g),
            moved,
            late: LateRelease::arbitrary(g),
        }
    }
}

impl History {
    /// Returns the history with its partition replaced by one that ends in late releases.
    fn with_late_releases(&self) -> Self {
        let late = &self.late;
        let mut history = self.clone();
        for instance in 0..INSTANCES {
            let is_cut_off = instance >= INSTANCES - late.cut_off;
            let is_missing = instance >= INSTANCES - late.missing;
            let end = if is_missing {
                STEPS
            } else {
                self.moved + late.after
            };
            let cut = (self.moved - late.before, end);
            let cut = if is_cut_off { cut } else { (0, 0) };
            history.near[instance] = !is_cut_off;
            (
                history.faults[instance].store,
                history.faults[instance].side,
            ) = (cut, cut);
        }
        history
    }

    /// Returns the history with instances that release the primary at once, are then cut off and started
    /// again, and know only what the missing ones send them.
    fn with_restarts(&self) -> Self {
        let late = &self.late;
        let mut history = self.clone();
        for instance in 0..INSTANCES {
            let is_cut_off = instance >= INSTANCES - late.cut_off;
            let is_missing = instance >= INSTANCES - late.missing;
            let start = if is_missing {
                self.moved - late.before
            } else {
                self.moved + 1
            };
            let cut = if is_cut_off { (start, STEPS) } else { (0, 0) };
            let fault = &mut history.faults[instance];
            (fault.store, fault.side) = (cut, cut);
            if is_cut_off {
                fault.frozen = (0, 0);
                let restart = (self.moved + 1, self.moved + 2 + late.after % 10);
                fault.killed = if is_missing { (0, 0) } else { restart };
            }
            history.near[instance] = !is_cut_off;
        }
        history
    }

    fn contains(span: (usize, usize), step: usize) -> bool {
        (span.0..span.1).contains(&step)
    }

    fn is_frozen(&self, instance: usize, step: usize) -> bool {
        instance != 0 && Self::contains(self.faults[instance].frozen, step)
    }

    /// Returns the first step from `step` on in which an instance is not frozen.
    fn wakes_at(&self, instance: usize, step: usize) -> Option<usize> {
        (step..STEPS).find(|step| !self.is_frozen(instance, *step))
    }

    fn is_killed(&self, instance: usize, step: usize) -> bool {
        instance != 0 && Self::contains(self.faults[instance].killed, step)
    }

    fn reaches_store(&self, instance: usize, step: usize) -> bool {
        instance == 0 || !Self::contains(self.faults[instance].store, step)
    }

    /// Returns the answer of `to` to a request of `from`, if it released the primary at once.
    fn answer(&self, from: usize, to: usize, step: usize) -> Answer {
        let is_cut =
            |instance: usize| instance != 0 && Self::contains(self.faults[instance].side, step);
        let is_partitioned = self.near[from] != self.near[to] && (is_cut(from) || is_cut(to));
        if is_partitioned && !self.is_refusing || self.is_frozen(to, step) {
            Answer::Unanswered
        } else if is_partitioned || self.is_killed(to, step) {
            Answer::Refused
        } else {
            Answer::Released
        }
    }

    fn can_reach(&self, from: usize, to: usize, step: usize) -> bool {
        self.answer(from, to, step) == Answer::Released
    }
}

/// Applies the answers of other instances.
fn pull(leases: &mut [PrimaryLease], instance: usize, answering: &[usize], now: Instant) {
    // A process that has just started takes over the view of another one, which may be behind.
    let ages = answering
        .iter()
        .filter_map(|other| leases[*other].contact_age(now));
    if let Some(age) = ages.min() {
        leases[instance].record_contact(now.checked_sub(age).unwrap());
    }
    let confirming = answering
        .iter()
        .filter(|other| leases[**other].can_confirm());
    if confirming.count() * 2 >= INSTANCES - 1 {
        leases[instance].record_peer_confirmation(now);
    }
}

/// Runs a history and returns true if no instance can use the old primary after the promotion.
fn is_safe(history: &History) -> bool {
    let start = Instant::now();
    let at = |step: usize| start + STEP * u32::try_from(step).unwrap();
    let names: Vec<Arc<str>> = (0..INSTANCES)
        .map(|instance| format!("i-{instance}").into())
        .collect();
    let mut leases = vec![PrimaryLease::default(); INSTANCES];
    for lease in &mut leases {
        lease.set_listed(true);
        lease.record_contact(start);
    }
    let mut knows_change = [false; INSTANCES];
    let mut barrier = Barrier::new(at(history.moved), names.iter().cloned());
    for step in 1..STEPS {
        let now = at(step);
        for instance in 0..INSTANCES {
            if history.is_killed(instance, step) {
                leases[instance] = PrimaryLease::default();
                knows_change[instance] = false;
                continue;
            }
            if history.is_frozen(instance, step) || step % CONTACT_STEPS != instance % CONTACT_STEPS
            {
                continue;
            }
            if history.reaches_store(instance, step) {
                leases[instance].set_listed(true);
                leases[instance].record_contact(now);
                knows_change[instance] |= step >= history.moved;
                continue;
            }
            let others = (0..INSTANCES)
                .filter(|other| *other != instance && leases[*other].contact_age(now).is_some());
            let answering: Vec<usize> = others
                .filter(|other| history.can_reach(instance, *other, step))
                .collect();
            knows_change[instance] |= answering.iter().any(|other| knows_change[*other]);
            pull(&mut leases, instance, &answering, now);
        }
        if step < history.moved {
            continue;
        }
        knows_change[0] = true;
        for name in barrier.pending().cloned().collect::<Vec<_>>() {
            let instance = names.iter().position(|other| *other == name).unwrap();
            let answer = history.answer(0, instance, step);
            knows_change[instance] |= answer == Answer::Released;
            barrier.record(now, &name, answer);
        }
        if barrier.is_complete(now) {
            let can_use = |instance: &usize| {
                let wakes_at = history.wakes_at(*instance, step);
                // A frozen instance checks its lease when it wakes.
                !knows_change[*instance]
                    && wakes_at.is_some_and(|step| leases[*instance].is_valid(at(step)))
            };
            return !(0..INSTANCES).any(|instance| can_use(&instance));
        }
    }
    true
}

#[test]
fn no_instance_uses_the_old_primary_after_a_promotion() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn property(history: History) -> bool {
        is_safe(&history)
            && is_safe(&history.with_late_releases())
            && is_safe(&history.with_restarts())
    }
    runner(60).quickcheck(property as fn(History) -> bool);
}

#[test]
fn a_lease_ends_after_the_base_time_unless_other_instances_confirm_it() {
    let start = Instant::now();
    let mut lease = PrimaryLease::default();
    lease.record_contact(start);
    assert!(!lease.is_valid(start), "the store does not list it");
    lease.set_listed(true);
    assert!(lease.is_valid(start + BASE_PRIMARY_LEASE.saturating_sub(STEP)));
    assert!(!lease.is_valid(start + BASE_PRIMARY_LEASE));
    lease.record_peer_confirmation(start + BASE_PRIMARY_LEASE);
    assert!(lease.is_valid(start + BASE_PRIMARY_LEASE + STEP));
    lease.record_peer_confirmation(start + MAX_PRIMARY_LEASE);
    assert!(!lease.is_valid(start + MAX_PRIMARY_LEASE));
}

#[test]
fn a_barrier_with_many_pending_instances_waits_for_the_longest_lease() {
    let start = Instant::now();
    let names: Vec<Arc<str>> = (0..8)
        .map(|instance| format!("i-{instance}").into())
        .collect();
    let mut barrier = Barrier::new(start, names.iter().cloned());
    names
        .iter()
        .take(5)
        .for_each(|name| barrier.record(start, name, Answer::Released));
    assert!(!barrier.is_complete(start + BASE_PRIMARY_LEASE));
    barrier.record(start, &names[5], Answer::Released);
    assert!(!barrier.is_complete(start + BASE_PRIMARY_LEASE.saturating_sub(STEP)));
    assert!(barrier.is_complete(start + BASE_PRIMARY_LEASE));
    let delayed = Barrier::new(start, []).not_before(start + STEP);
    assert!(!delayed.is_complete(start) && delayed.is_complete(start + STEP));
}

/// Guards against a lease that outlives the change: confirmed by instances right before they released
/// the primary, after the base time of the record.
#[test]
fn a_confirmation_from_before_a_late_release_is_waited_for() {
    let start = Instant::now();
    let names: Vec<Arc<str>> = (0..4)
        .map(|instance| format!("i-{instance}").into())
        .collect();
    let mut lease = PrimaryLease::default();
    lease.set_listed(true);
    lease.record_contact(start);
    let mut barrier = Barrier::new(start, names.iter().cloned());
    let released_at = start + BASE_PRIMARY_LEASE + STEP;
    lease.record_peer_confirmation(released_at);
    for name in &names[..3] {
        barrier.record(released_at, name, Answer::Released);
    }
    assert!(lease.is_valid(released_at) && !barrier.is_complete(released_at));
    let end = released_at + PEER_CONFIRMATION_TTL;
    assert!(lease.is_valid(end.checked_sub(STEP).unwrap()));
    assert!(!lease.is_valid(end) && barrier.is_complete(end));
}

/// Guards against a lease that is extended by a process which has just started and knows only what an
/// instance that is behind has sent, while its predecessor had released the primary.
#[test]
fn a_process_confirms_others_only_once_it_was_listed() {
    let start = Instant::now();
    let mut lease = PrimaryLease::default();
    lease.record_contact(start);
    lease.set_listed(false);
    assert!(
        !lease.can_confirm(),
        "the contact is that of another instance"
    );
    lease.set_listed(true);
    lease.set_listed(false);
    assert!(lease.can_confirm() && !lease.is_valid(start));
    lease.end();
    assert!(!lease.can_confirm(), "it is not asked to release primaries");
}

/// Guards against reads of a former primary by an instance behind a partition that resets
/// connections: a refusal counted as a release, so that the change didn't wait for its lease.
#[test]
fn a_refused_connection_is_no_release() {
    let start = Instant::now();
    let mut barrier = Barrier::new(start, ["i-0".into(), "i-1".into()]);
    barrier.record(start, "i-0", Answer::Released);
    barrier.record(start, "i-1", Answer::Refused);
    assert!(!barrier.is_complete(start + BASE_PRIMARY_LEASE.saturating_sub(STEP)));
    barrier.record(start, "i-1", Answer::Released);
    barrier.record(start, "i-1", Answer::Refused);
    assert!(barrier.is_complete(start), "a release is not taken back");
}

#[test]
fn a_single_failure_raises_no_suspicion() {
    let start = Instant::now();
    let mut detector = FailureDetector::default();
    detector.record_failure(start);
    assert!(!detector.is_suspect(start + MAX_PRIMARY_LEASE));
    detector.record_failure(start + STEP);
    assert!(!detector.is_suspect(start + STEP));
    assert!(detector.is_suspect(start + STEP * 2));
    detector.record_answer(start + STEP * 2);
    assert!(!detector.is_suspect(start + STEP * 2) && !detector.is_failing());
}

#[test]
fn few_instances_are_a_quarter_of_the_smallest_fleet() {
    let start = Instant::now();
    let names: Vec<Arc<str>> = (0..8).map(|i| format!("i-{i}").into()).collect();
    let mut barrier = Barrier::new(start, names.iter().cloned()).smallest_fleet(2);
    for name in names.iter().take(6) {
        barrier.record(start, name, Answer::Released);
    }
    assert!(!barrier.is_complete(start + MAX_PRIMARY_LEASE.saturating_sub(STEP)));
    assert!(barrier.is_complete(start + MAX_PRIMARY_LEASE));
}
