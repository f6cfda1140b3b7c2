//! Histories of usage reports: instances count, are killed, start again, lose pushes and answers; the
//! reporter dies at every step and a successor goes on.

use std::collections::BTreeMap;
use std::time::Duration;

use filbertbay_coordination::usage::{
    Clocks, Collector, Counts, Meter, Push, Record, Schedule, SealedWindow,
};
use quickcheck::{Arbitrary, Gen};

const INSTANCES: usize = 5;
const WORKSPACES: [&str; 3] = ["shop", "stall", "barn"];
const START: Duration = Duration::from_secs(1_000_000);
const WINDOW: Duration = Duration::from_secs(5);
const LATENESS: Duration = Duration::from_secs(10);

fn schedule() -> Schedule {
    Schedule::new(WINDOW, LATENESS)
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// An instance sends statements; the endpoint does not run one in four.
    Send {
        instance: u8,
        workspace: u8,
        count: u8,
    },
    /// Time passes.
    Advance {
        ms: u16,
    },
    /// An instance pushes; the push or its answer may be lost, or the push arrives again.
    Push {
        instance: u8,
        fate: u8,
    },
    /// An earlier push arrives late.
    Replay {
        index: u8,
    },
    Kill {
        instance: u8,
    },
    /// The reporter seals, and may die before the report, or before it gets the answer.
    Report {
        fate: u8,
    },
    /// Another instance becomes reporter.
    Succeed,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let instance = u8::arbitrary(g) % INSTANCES as u8;
        match u8::arbitrary(g) % 16 {
            0..4 => Self::Send {
                instance,
                workspace: u8::arbitrary(g),
                count: u8::arbitrary(g),
            },
            4..8 => Self::Advance {
                ms: u16::arbitrary(g) % 2_500,
            },
            8..12 => Self::Push {
                instance,
                fate: u8::arbitrary(g) % 6,
            },
            12 => Self::Replay {
                index: u8::arbitrary(g),
            },
            13 => Self::Kill { instance },
            14 => Self::Report {
                fate: u8::arbitrary(g) % 4,
            },
            _ => Self::Succeed,
        }
    }
}

struct Instance {
    incarnation: u64,
    meter: Meter,
}

/// Store, platform and instances of one history.
struct History {
    now: Duration,
    instances: Vec<Instance>,
    fence: u64,
    collector: Collector,
    record: Option<Record>,
    /// Windows that the present reporter knows to be accepted.
    reported: Vec<u64>,
    /// Counts that the platform accepted by window.
    accepted: BTreeMap<u64, Counts>,
    /// Statements that ran by window.
    truth: BTreeMap<u64, Counts>,
    /// Of these, those that an instance counted and had not pushed when it was killed.
    lost: BTreeMap<u64, Counts>,
    pushes: Vec<Push>,
    /// Whether some reporter died with counts of instances that had died before.
    has_lost_sums: bool,
    has_died: bool,
    has_missing: bool,
}

fn name(index: usize) -> String {
    format!("instance-{index}")
}

impl History {
    fn new() -> Self {
        let instance = |_| Instance {
            incarnation: 1,
            meter: Meter::new(schedule(), START),
        };
        Self {
            now: START,
            instances: (0..INSTANCES).map(instance).collect(),
            fence: 1,
            collector: Collector::new(schedule()),
            record: None,
            reported: Vec::new(),
            accepted: BTreeMap::new(),
            truth: BTreeMap::new(),
            lost: BTreeMap::new(),
            pushes: Vec::new(),
            has_lost_sums: false,
            has_died: false,
            has_missing: false,
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Send {
                instance,
                workspace,
                count,
            } => self.send(instance, workspace, count),
            Step::Advance { ms } => self.now += Duration::from_millis(ms.into()),
            Step::Push { instance, fate } => self.push(instance.into(), fate),
            Step::Replay { index } => {
                if let Some(push) = self
                    .pushes
                    .get(usize::from(index) % self.pushes.len().max(1))
                {
                    // The reporter refuses pushes for another fencing token.
                    if push.fence == self.fence {
                        self.collector.receive(push);
                    }
                }
            }
            Step::Kill { instance } => self.kill(instance.into()),
            Step::Report { fate } => self.report(fate),
            Step::Succeed => self.succeed(),
        }
    }

    fn send(&mut self, instance: u8, workspace: u8, count: u8) {
        let workspace = WORKSPACES[usize::from(workspace) % WORKSPACES.len()];
        let meter = &mut self.instances[usize::from(instance)].meter;
        let window = schedule().window_at(self.now);
        for index in 0..count {
            let counted = meter.count(self.now, workspace);
            if index % 4 == 0 {
                meter.retract(counted, workspace);
            } else {
                *self
                    .truth
                    .entry(window)
                    .or_default()
                    .entry(workspace.into())
                    .or_default() += 1;
            }
        }
    }

    /// Fates: 0 lost, 1 its answer lost, 2 received twice, else received.
    fn push(&mut self, index: usize, fate: u8) {
        let instance = &mut self.instances[index];
        let push = instance
            .meter
            .push(&name(index), instance.incarnation, self.fence, self.now);
        self.pushes.push(push.clone());
        if fate == 0 {
            return;
        }
        self.collector.receive(&push);
        if fate == 2 {
            self.collector.receive(&push);
        }
        if fate != 1 {
            instance.meter.acknowledge(&push);
        }
    }

    fn kill(&mut self, index: usize) {
        self.has_died = true;
        let instance = &mut self.instances[index];
        let push = instance
            .meter
            .push(&name(index), instance.incarnation, u64::MAX, self.now);
        for (window, counts) in push.windows {
            let lost = self.lost.entry(window).or_default();
            for (workspace, count) in counts {
                *lost.entry(workspace).or_default() += count;
            }
        }
        instance.incarnation += 1;
        instance.meter = Meter::new(schedule(), self.now);
    }

    /// Fates: 0 dies after sealing, 1 dies before the answer of the report, else reports.
    fn report(&mut self, fate: u8) {
        loop {
            let record = self.record.clone();
            let record = record.unwrap_or_else(|| Record::starting_at(schedule(), START));
            let window = record.next_window(schedule(), self.now);
            let names: Vec<String> = (0..INSTANCES).map(name).collect();
            let live = names.iter().zip(&self.instances);
            let live = live.map(|(name, instance)| (name.as_str(), instance.incarnation));
            let Some(seal) = self.collector.seal(window, self.now, live) else {
                break;
            };
            self.has_missing |= !seal.missing.is_empty();
            let sealed = SealedWindow {
                window,
                counts: seal.counts,
            };
            let reported = self.reported.clone();
            let (record, _) = record.with(sealed, |window| reported.contains(&window));
            for instance in &mut self.instances {
                instance.meter.forget_through(record.sealed_through);
            }
            self.record = Some(record);
        }
        if fate == 0 {
            return self.succeed();
        }
        for sealed in self.record.iter().flat_map(|record| &record.unreported) {
            let first = self
                .accepted
                .entry(sealed.window)
                .or_insert_with(|| sealed.counts.clone());
            assert_eq!(
                *first, sealed.counts,
                "window {} has two reports",
                sealed.window
            );
            self.reported.push(sealed.window);
        }
        if fate == 1 {
            self.succeed();
        }
    }

    fn succeed(&mut self) {
        self.has_lost_sums |= self.has_died;
        self.fence += 1;
        self.collector = Collector::new(schedule());
        self.reported.clear();
    }

    /// Lets every instance push and the reporter report until the windows so far are due.
    fn settle(&mut self) {
        for _ in 0..32 {
            self.now += Duration::from_millis(500);
            for index in 0..INSTANCES {
                self.push(index, u8::MAX);
            }
            self.report(u8::MAX);
        }
    }
}

/// Guards against a window that is reported twice with different counts, that is left out, or that counts
/// a statement twice, whichever messages and processes are lost.
#[test]
fn every_window_is_reported_once_with_no_more_than_what_ran() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut history = History::new();
        for step in steps {
            history.step(step);
        }
        let last = schedule().window_at(history.now);
        history.settle();
        (schedule().window_at(START)..=last).all(|window| {
            let Some(accepted) = history.accepted.get(&window) else {
                return false;
            };
            let truth = history.truth.get(&window);
            accepted.iter().all(|(workspace, count)| {
                // A statement that is refused after its window was sealed stays counted.
                let ran = truth.and_then(|truth| truth.get(workspace)).copied();
                *count <= ran.unwrap_or_default()
            })
        })
    }
    check::runner(200).quickcheck(holds as fn(Vec<Step>) -> bool);
}

/// Guards against counts that get lost with pushes, answers or reporters while no counting instance dies
/// and every one pushes in time.
#[test]
fn counts_are_exact_while_no_instance_dies() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut history = History::new();
        for step in steps {
            match step {
                Step::Kill { .. } => continue,
                // Time passes in steps in which everyone tries to push.
                Step::Advance { .. } => {
                    for index in 0..INSTANCES {
                        history.push(index, u8::MAX);
                    }
                }
                _ => {}
            }
            history.step(step);
        }
        let last = schedule().window_at(history.now);
        history.settle();
        history.has_missing
            || (schedule().window_at(START)..=last).all(|window| {
                let truth = history.truth.get(&window).cloned().unwrap_or_default();
                history.accepted.get(&window) == Some(&truth)
            })
    }
    check::runner(200).quickcheck(holds as fn(Vec<Step>) -> bool);
}

/// Guards against a window that is never reported because an instance is frozen, and against one that is
/// sealed at once although an instance that is only late has not pushed yet.
#[test]
fn a_window_waits_for_late_instances_for_half_of_the_time() {
    let mut meters: Vec<Meter> = (0..2).map(|_| Meter::new(schedule(), START)).collect();
    let mut collector = Collector::new(schedule());
    let window = schedule().window_at(START);
    let end = schedule().end(window);
    meters[0].count(START, "shop");
    meters[1].count(START, "shop");
    let live = || [("a", 1), ("b", 1)];
    let first = meters[0].push("a", 1, 1, end + Duration::from_secs(1));
    collector.receive(&first);
    assert_eq!(
        collector.seal(window, end + Duration::from_secs(4), live()),
        None
    );
    let frozen = collector.seal(window, end + Duration::from_secs(5), live());
    let frozen = frozen.unwrap();
    assert_eq!(frozen.missing, ["b".into()]);
    assert_eq!(frozen.counts["shop"], 1);
    let late = meters[1].push("b", 1, 1, end + Duration::from_secs(5));
    collector.receive(&late);
    let complete = collector
        .seal(window, end + Duration::from_secs(5), live())
        .unwrap();
    assert_eq!(complete.missing.len(), 0);
    assert_eq!(complete.counts["shop"], 2);
}

/// Guards against an instance that stays a window off because its clock was wrong when it started, and
/// against a shift of all clocks because calls take time.
#[test]
fn only_a_clock_that_is_far_from_the_median_is_corrected() {
    let mut clocks = Clocks::default();
    clocks.record("a", 2_000);
    assert_eq!(
        clocks.error(2_000),
        0,
        "two clocks don't tell which one is wrong"
    );
    for (name, offset) in [("b", -10), ("c", -250), ("d", -12)] {
        clocks.record(name, offset);
    }
    assert_eq!(clocks.error(2_000), 2_010);
    assert_eq!(clocks.error(-250), 0);
    assert_eq!(clocks.error(0), 0);
    // The reporter's own clock is the one that is wrong.
    for (name, offset) in [("a", -2_000), ("b", -2_010), ("c", -2_005), ("d", -2_001)] {
        clocks.record(name, offset);
    }
    assert_eq!(clocks.error(0), 2_001);
    clocks.set_back(2_001);
    assert_eq!(clocks.error(0), 0);
}

/// Guards against a window that a new reporter seals without counts that all instances still hold, because
/// it was due before they could push to it.
#[test]
fn a_new_reporter_waits_for_the_counts_of_overdue_windows() {
    let mut meter = Meter::new(schedule(), START);
    let window = schedule().window_at(START);
    meter.count(START, "shop");
    let overdue = schedule().end(window) + Duration::from_secs(9);
    let settled = overdue + Duration::from_millis(1_600);
    let mut collector = Collector::new(schedule()).incomplete_from(settled);
    assert_eq!(collector.seal(window, overdue, [("a", 1)]), None);
    collector.receive(&meter.push("a", 1, 7, overdue));
    let sealed = collector.seal(window, overdue, [("a", 1)]).unwrap();
    assert_eq!(sealed.counts.get("shop"), Some(&1));
    assert!(sealed.missing.is_empty());
    // An instance that does not answer must not hold up the reports for longer.
    assert!(
        collector
            .seal(window, settled, [("a", 1), ("b", 1)])
            .is_some()
    );
}
