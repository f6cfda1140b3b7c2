//! Tests of the distributed rate limiter in simulated histories of load, faults and lane changes.

mod fleet;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::share::{
    Admission, Allocation, Config, Fraction, Holder, LANES, LoanDenial, LoanGrant, LoanRequest,
    LoanReturn, MICRO_TOKENS_PER_TOKEN, Message, RateLimiter,
};
use filbertbay_state::document::Rate;
use fleet::Fleet;
use quickcheck::{Arbitrary, Gen};

const INSTANCES: usize = 9;
const DATA_CENTRES: usize = 3;
const WORKSPACES: u8 = 4;

/// Tolerated overdraft in tokens, from rounding of single grants.
const ROUNDING: f64 = 0.001;

#[derive(Clone, Copy, Debug)]
enum Step {
    Submit {
        instance: u8,
        workspace: u8,
        count: u8,
    },
    Flood {
        workspace: u8,
    },
    Transfer {
        workspace: u8,
        lane: u8,
        instance: u8,
    },
    Reclaim {
        instance: u8,
        to: u8,
    },
    Advance {
        ms: u16,
    },
    Crash {
        instance: u8,
    },
    Restart {
        instance: u8,
    },
    ReclaimOwn {
        instance: u8,
    },
    Pause {
        instance: u8,
        ms: u16,
    },
    SetProving {
        instance: u8,
        is_proving: bool,
    },
    Partition {
        data_centre: Option<u8>,
    },
    LinkFaults {
        drop_every: u8,
        duplicate_every: u8,
        delay_every: u8,
    },
    LowerRate {
        workspace: u8,
    },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let instance = u8::arbitrary(g) % INSTANCES as u8;
        let workspace = u8::arbitrary(g) % WORKSPACES;
        match u8::arbitrary(g) % 40 {
            0..=5 => Self::Submit {
                instance,
                workspace,
                count: u8::arbitrary(g) % 40,
            },
            6..=9 => Self::Submit {
                instance,
                workspace,
                count: 1,
            },
            10 | 11 => Self::Flood { workspace },
            12 => Self::Crash { instance },
            13 => Self::Restart { instance },
            37 | 38 => Self::ReclaimOwn { instance },
            14 => Self::Pause {
                instance,
                ms: u16::arbitrary(g) % 20_000,
            },
            15 => Self::SetProving {
                instance,
                is_proving: bool::arbitrary(g),
            },
            16 => Self::Partition {
                data_centre: Option::<u8>::arbitrary(g).map(|c| c % DATA_CENTRES as u8),
            },
            17 | 18 => Self::LinkFaults {
                drop_every: u8::arbitrary(g) % 10,
                duplicate_every: u8::arbitrary(g) % 4,
                delay_every: u8::arbitrary(g) % 4,
            },
            19 => Self::LowerRate { workspace },
            32 | 33 => Self::Transfer {
                workspace,
                lane: u8::arbitrary(g) % LANES as u8,
                instance,
            },
            34 | 35 => Self::Reclaim {
                instance,
                to: u8::arbitrary(g) % INSTANCES as u8,
            },
            36 => Self::Advance {
                ms: 4_000 + u16::arbitrary(g) % 12_000,
            },
            20..=25 => Self::Advance {
                ms: u16::arbitrary(g) % 30,
            },
            _ => Self::Advance {
                ms: u16::arbitrary(g) % 3_000,
            },
        }
    }
}

fn name(workspace: u8) -> Arc<str> {
    format!("workspace-{workspace}").into()
}

fn rates() -> BTreeMap<Arc<str>, Rate> {
    let rate = |workspace: u8| Rate {
        per_second: [50, 7, 400, 4][usize::from(workspace)],
        burst: [20, 5, 100, 96][usize::from(workspace)],
    };
    (0..WORKSPACES)
        .map(|workspace| (name(workspace), rate(workspace)))
        .collect()
}

fn apply(fleet: &mut Fleet, step: Step, lowered: &mut BTreeMap<Arc<str>, Instant>) {
    match step {
        Step::Submit {
            instance,
            workspace,
            count,
        } => {
            for _ in 0..count {
                fleet.submit(instance.into(), &name(workspace));
            }
        }
        Step::Flood { workspace } => {
            for instance in 0..40 * INSTANCES {
                fleet.submit(instance % INSTANCES, &name(workspace));
            }
        }
        Step::Transfer {
            workspace,
            lane,
            instance,
        } => {
            let lane_index = Allocation::shard_of(&name(workspace)) * LANES + usize::from(lane);
            fleet.transfer(lane_index, instance.into());
        }
        Step::Reclaim { instance, to } => fleet.reclaim(instance.into(), to.into()),
        Step::Advance { ms } => fleet.advance(Duration::from_millis(ms.into())),
        Step::Crash { instance } => fleet.crash(instance.into()),
        Step::Restart { instance } => fleet.restart(instance.into()),
        Step::ReclaimOwn { instance } => fleet.reclaim_own(instance.into()),
        Step::Pause { instance, ms } => {
            fleet.pause(instance.into(), Duration::from_millis(ms.into()));
        }
        Step::SetProving {
            instance,
            is_proving,
        } => fleet.nodes[usize::from(instance)].is_proving = is_proving,
        Step::Partition { data_centre } => fleet.isolated = data_centre.map(usize::from),
        Step::LinkFaults {
            drop_every,
            duplicate_every,
            delay_every,
        } => {
            fleet.link_conditions.drop_every = drop_every.into();
            fleet.link_conditions.duplicate_every = duplicate_every.into();
            fleet.link_conditions.delay_every = delay_every.into();
        }
        Step::LowerRate { workspace } => {
            let rate = halved(rates()[&name(workspace)]);
            (0..INSTANCES).for_each(|index| fleet.set_rate(index, &name(workspace), rate));
            lowered.entry(name(workspace)).or_insert(fleet.now);
        }
    }
}

fn halved(rate: Rate) -> Rate {
    Rate {
        per_second: rate.per_second / 2,
        burst: rate.burst / 2,
    }
}

/// Returns the largest overdraft, in tokens, of one bucket with the whole rate that serves all
/// admissions. It is above zero if any interval has more admissions than rate and burst allow.
fn overdraft(admitted: &[Instant], rate: Rate, lowered: Option<Instant>) -> f64 {
    let mut rate = rate;
    let mut level = rate.burst as f64;
    let mut worst: f64 = 0.0;
    let mut before: Option<Instant> = None;
    let mut lowered = lowered;
    for at in admitted {
        if let Some(change) = lowered.filter(|change| change < at) {
            let passed = before.map_or(Duration::ZERO, |before| change - before);
            level += passed.as_secs_f64() * rate.per_second as f64;
            rate = halved(rate);
            level = level.min(rate.burst as f64);
            before = Some(change);
            lowered = None;
        }
        let passed = before.map_or(Duration::ZERO, |before| *at - before);
        level = (level + passed.as_secs_f64() * rate.per_second as f64).min(rate.burst as f64);
        level -= 1.0;
        worst = worst.max(-level);
        before = Some(*at);
    }
    worst
}

fn stays_within_rate_and_burst(steps: Vec<Step>) -> bool {
    let mut fleet = Fleet::new(INSTANCES, DATA_CENTRES, &rates());
    let mut lowered = BTreeMap::new();
    // The slowest bucket is full after 24 seconds.
    fleet.advance(Duration::from_secs(30));
    for step in steps {
        apply(&mut fleet, step, &mut lowered);
    }
    fleet.advance(Duration::from_secs(5));
    fleet.admitted.iter().all(|(workspace, admitted)| {
        let rate = rates()[workspace];
        let overdraft = overdraft(admitted, rate, lowered.get(workspace).copied());
        assert!(
            overdraft <= ROUNDING,
            "{workspace} is {overdraft} tokens above its rate"
        );
        true
    })
}

#[test]
fn admissions_never_exceed_rate_and_burst() {
    check::runner(120).quickcheck(stays_within_rate_and_burst as fn(Vec<Step>) -> bool);
}

/// Workspace with a slowly filling bucket, where tokens created by a change of lane holders exceed
/// the rate.
const SLOW_WORKSPACE: u8 = 3;

/// Step of a history with frequent changes of lane holders.
#[derive(Clone, Copy, Debug)]
struct HolderChange(Step);

impl Arbitrary for HolderChange {
    fn arbitrary(g: &mut Gen) -> Self {
        // Only two instances, so that the same one loses its lanes and then resumes.
        let instance = u8::arbitrary(g) % 2;
        let workspace = SLOW_WORKSPACE;
        let to = u8::arbitrary(g) % INSTANCES as u8;
        let lane = u8::arbitrary(g) % LANES as u8;
        let ms = u16::arbitrary(g);
        Self(match u8::arbitrary(g) % 16 {
            0 | 1 => Step::Flood { workspace },
            2 | 3 => Step::Submit {
                instance,
                workspace,
                count: 120,
            },
            4 => Step::Crash { instance },
            5 => Step::Restart { instance },
            6 => Step::Pause {
                instance,
                ms: ms % 25_000,
            },
            7 => Step::SetProving {
                instance,
                is_proving: false,
            },
            8 | 9 => Step::Transfer {
                workspace,
                lane,
                instance,
            },
            10 => Step::Reclaim { instance, to },
            14 | 15 => Step::ReclaimOwn { instance },
            _ => Step::Advance { ms: ms % 15_000 },
        })
    }
}

#[test]
fn changes_of_lane_holders_create_no_tokens() {
    fn property(changes: Vec<HolderChange>) -> bool {
        stays_within_rate_and_burst(changes.into_iter().map(|change| change.0).collect())
    }
    check::runner(60).quickcheck(property as fn(Vec<HolderChange>) -> bool);
}

const WARM_UP_SECONDS: u32 = 5;
const MEASURE_SECONDS: u32 = 25;

/// Statements a second of workspace 0, below its rate of 50.
const LOAD_PER_SECOND: u32 = 45;

/// Spreads a load below the rate over the instances by `weights`, and returns the share of refused
/// statements.
fn refused_share_below_the_rate(weights: &[u8], greedy: bool) -> f64 {
    let mut fleet = Fleet::new(INSTANCES, DATA_CENTRES, &rates());
    fleet.advance(Duration::from_secs(2));
    let weight = |index: usize| weights.get(index).map_or(1, |weight| u32::from(*weight));
    let weights: Vec<u32> = (0..INSTANCES).map(weight).collect();
    load(&mut fleet, &weights, greedy, WARM_UP_SECONDS);
    let settled = fleet.refused.get(&name(0)).copied().unwrap_or(0);
    load(&mut fleet, &weights, greedy, MEASURE_SECONDS);
    let refused = fleet.refused.get(&name(0)).copied().unwrap_or(0) - settled;
    refused as f64 / f64::from(MEASURE_SECONDS * LOAD_PER_SECOND)
}

fn load(fleet: &mut Fleet, weights: &[u32], greedy: bool, seconds: u32) {
    let total = weights.iter().sum::<u32>().max(1);
    for number in 0..seconds * LOAD_PER_SECOND {
        let point = number.wrapping_mul(2_654_435_761) % total;
        let mut sum = 0;
        let reaches = |weight: &u32| {
            sum += weight;
            sum > point
        };
        let index = weights.iter().position(reaches).unwrap_or(0);
        fleet.submit(index, &name(0));
        // Workspace 1 sends 45 statements a second, more than six times its rate of 7.
        if greedy {
            fleet.submit(number as usize % INSTANCES, &name(1));
        }
        fleet.advance(Duration::from_secs(1) / LOAD_PER_SECOND);
    }
}

/// Weights by which load is spread over the instances.
#[derive(Clone, Copy, Debug)]
struct Skew([u8; INSTANCES]);

impl Arbitrary for Skew {
    fn arbitrary(g: &mut Gen) -> Self {
        let hot = u8::arbitrary(g) % 4;
        let weight = |index: usize| match hot {
            0 => 1,
            1 if index > 0 => 0,
            2 if index > 0 => 1 + index as u8 % 2,
            _ => u8::arbitrary(g),
        };
        Self(std::array::from_fn(weight))
    }
}

fn is_served_below_the_rate(skew: Skew, greedy: bool) -> bool {
    let share = refused_share_below_the_rate(&skew.0, greedy);
    assert!(share < 0.001, "{share} of the statements were refused");
    true
}

#[test]
fn skewed_load_below_the_rate_is_not_refused() {
    let property = is_served_below_the_rate as fn(Skew, bool) -> bool;
    check::runner(9).quickcheck(property);
}

#[test]
fn applying_the_same_record_again_has_no_effect() {
    let mut fleet = Fleet::new(1, 1, &rates());
    fleet.advance(Duration::from_secs(1));
    let record = || Arc::new(Allocation::even(&[("instance-0", 1, "centre-0")]));
    // Ten statements every 200 ms use the whole rate of 50 a second.
    for step in 0..400 {
        fleet.apply_allocation(&record());
        if step % 4 == 0 {
            (0..10).for_each(|_| fleet.submit(0, &name(0)));
        }
        fleet.advance(Duration::from_millis(50));
    }
    assert_eq!(fleet.refused.get(&name(0)), None);
    assert_eq!(fleet.admitted[&name(0)].len(), 1_000);
}

#[test]
fn reclaimed_lanes_are_not_spent_by_their_previous_holder() {
    let workspace = SLOW_WORKSPACE;
    let (instance, to) = (0, 5);
    let steps = vec![
        Step::SetProving {
            instance,
            is_proving: false,
        },
        Step::Flood { workspace },
        Step::Advance { ms: 14_000 },
        Step::Reclaim { instance, to },
        Step::Flood { workspace },
        Step::Advance { ms: 14_000 },
        Step::Flood { workspace },
        Step::Advance { ms: 14_000 },
        Step::Flood { workspace },
    ];
    assert!(stays_within_rate_and_burst(steps));
}

#[test]
fn a_lane_changes_its_holder_only_after_its_loans_expired() {
    let workspace = SLOW_WORKSPACE;
    // Instance 8 borrows refill from all other holders, which then transfer all lanes to instance
    // 7.
    let mut steps = vec![Step::Submit {
        instance: 8,
        workspace,
        count: 120,
    }];
    steps.push(Step::Advance { ms: 100 });
    steps.extend((0..LANES as u8).map(|lane| Step::Transfer {
        workspace,
        lane,
        instance: 7,
    }));
    steps.push(Step::Advance { ms: 1_500 });
    steps.push(Step::Flood { workspace });
    assert!(stays_within_rate_and_burst(steps));
}

#[test]
fn new_lanes_start_empty() {
    let start = Instant::now();
    let mut limiter = RateLimiter::new("instance-0", "centre-0", 1, Config::default());
    limiter.apply_allocation(
        start,
        Arc::new(Allocation::even(&[("instance-0", 1, "centre-0")])),
    );
    limiter.confirm_ownership(start);
    let (workspace, now) = (name(SLOW_WORKSPACE), start + Duration::from_secs(1));
    let rate = rates()[&workspace];
    let is_admitted =
        |_: &u32| limiter.try_acquire(now, &workspace, rate, 1) == Admission::Admitted;
    // The refill of one second, not the burst of 96.
    assert_eq!((0..100).filter(is_admitted).count(), 4);
}

/// A restarted instance takes over the lanes of its earlier incarnation with the tokens that they
/// have gained since nobody could spend them, also for a workspace that already has a bucket.
#[test]
fn lanes_of_an_earlier_incarnation_keep_the_tokens_gained_while_unspent() {
    let start = Instant::now();
    let (workspace, other) = (name(SLOW_WORKSPACE), name(0));
    let rates = rates();
    let mut limiter = RateLimiter::new("instance-0", "centre-0", 2, Config::default());
    limiter.confirm_ownership(start);
    limiter.set_unspent_since(start + Duration::from_millis(500));
    let earlier = Allocation::even(&[("instance-0", 1, "centre-0")]);
    limiter.apply_allocation(start, Arc::new(earlier.clone()));
    let before = limiter.try_acquire(start, &workspace, rates[&workspace], 1);
    assert_ne!(before, Admission::Admitted);
    let live = Holder {
        instance: "instance-0".into(),
        incarnation: 2,
        data_centre: "centre-0".into(),
    };
    let record = earlier.reclaimed(std::slice::from_ref(&live), |one| *one != live);
    let now = start + Duration::from_millis(1_500);
    limiter.apply_allocation(now, Arc::new(record.unwrap()));
    let mut admitted_count = |workspace: &Arc<str>| {
        let is_admitted = |_: &u32| {
            limiter.try_acquire(now, workspace, rates[workspace], 1) == Admission::Admitted
        };
        (0..100).filter(is_admitted).count()
    };
    // The refill of one second, capped at the burst of 20.
    assert_eq!(admitted_count(&workspace), 4);
    assert_eq!(admitted_count(&other), 20);
}

/// Guards against statements that wait in vain while a third of the instances is cut off: each
/// workspace used to request loans from them again.
#[test]
fn an_unresponsive_lender_is_the_last_choice() {
    let start = Instant::now();
    let config = Config::default();
    let mut limiter = RateLimiter::new("a-0", "a", 1, config);
    let record = Allocation::even(&[("a-1", 1, "a"), ("b-1", 1, "b")]);
    limiter.apply_allocation(start, Arc::new(record));
    limiter.confirm_ownership(start);
    let rate = rates()[&name(2)];
    let first_recipient = |limiter: &mut RateLimiter, at: Instant, workspace: u8| {
        limiter.try_acquire(at, &name(workspace), rate, 1);
        limiter.drain().map(|envelope| envelope.to).next()
    };
    assert_eq!(
        first_recipient(&mut limiter, start, 0).as_deref(),
        Some("a-1")
    );
    // The request times out, which the next statement notices.
    let later = start + config.request_timeout;
    first_recipient(&mut limiter, later, 0);
    assert_eq!(
        first_recipient(&mut limiter, later, 1).as_deref(),
        Some("b-1")
    );
    let much_later = later + Duration::from_secs(3);
    assert_eq!(
        first_recipient(&mut limiter, much_later, 2).as_deref(),
        Some("a-1")
    );
}

/// Under a record that this instance missed, another instance may have held the lanes and spent
/// their tokens.
#[test]
fn lanes_start_empty_after_a_missed_record() {
    let start = Instant::now();
    let mut limiter = RateLimiter::new("a-0", "a", 2, Config::default());
    limiter.confirm_ownership(start);
    limiter.set_unspent_since(start);
    let earlier = Allocation::even(&[("a-0", 1, "a")]);
    limiter.apply_allocation(start, Arc::new(earlier.clone()));
    let holder = |instance: &str, incarnation| Holder {
        instance: instance.into(),
        incarnation,
        data_centre: "a".into(),
    };
    let (other, own) = (holder("a-1", 1), holder("a-0", 2));
    let missed = earlier.reclaimed(std::slice::from_ref(&other), |one| *one != other);
    let missed = missed.unwrap();
    let next = missed.reclaimed(std::slice::from_ref(&own), |one| *one != own);
    let now = start + Duration::from_secs(1);
    limiter.apply_allocation(now, Arc::new(next.unwrap()));
    let rate = rates()[&name(0)];
    assert_ne!(
        limiter.try_acquire(now, &name(0), rate, 1),
        Admission::Admitted
    );
}

/// Returns a limiter that borrows from another instance, with the request that it sent.
fn borrower(start: Instant) -> (RateLimiter, Arc<str>, u64) {
    let allocation = Allocation::even(&[("lender", 1, "a")]);
    let mut limiter = RateLimiter::new("borrower", "a", 1, Config::default());
    limiter.apply_allocation(start, Arc::new(allocation));
    limiter.confirm_ownership(start);
    let shop: Arc<str> = "shop".into();
    let admission = limiter.try_acquire(start, &shop, RATE_OF_SHOP, 1);
    assert!(matches!(admission, Admission::Wait { .. }), "{admission:?}");
    let sent = limiter.drain().next().unwrap().message;
    let Message::Request(request) = sent else {
        panic!("{sent:?} is not a request");
    };
    (limiter, shop, request.id)
}

const RATE_OF_SHOP: Rate = Rate {
    per_second: 50,
    burst: 20,
};

/// Guards against a message of another instance that ends the task which reads it: a lease that is too
/// long for the clock, or fractions beyond the whole.
#[test]
fn a_grant_out_of_range_is_bounded() {
    let start = Instant::now();
    let (mut limiter, shop, request_id) = borrower(start);
    let grant = Message::Grant(LoanGrant {
        request_id,
        loan: 7,
        workspace: Arc::clone(&shop),
        tokens: u64::MAX,
        capacity: Fraction::from_lanes(usize::MAX >> 41),
        refill: Fraction::from_lanes(usize::MAX >> 41),
        lease: Duration::MAX,
    });
    let lender: Arc<str> = "lender".into();
    limiter.handle_message(start, &lender, &grant, Some(RATE_OF_SHOP));
    let mut admitted = 0;
    while limiter.try_acquire(start, &shop, RATE_OF_SHOP, 1) == Admission::Admitted {
        admitted += 1;
        assert!(admitted <= RATE_OF_SHOP.burst, "more than the burst");
    }
    // The loan ends with the longest lease that this instance would grant itself.
    let later = start + Duration::from_mins(1);
    limiter.confirm_ownership(later);
    limiter.tick(later, |_| Some(RATE_OF_SHOP));
    let admission = limiter.try_acquire(later, &shop, RATE_OF_SHOP, 1);
    assert_ne!(admission, Admission::Admitted);
}

/// Guards against a record that ends the task which maintains the lanes: lanes of holders that it does
/// not list, too few lanes, or an epoch that can't grow.
#[test]
fn an_inconsistent_record_is_not_valid() {
    let valid = Allocation::even(&[("quimper-1", 1, "quimper"), ("caen-1", 1, "caen")]);
    assert!(valid.is_valid());
    let mut unknown_holder = valid.clone();
    unknown_holder.lanes[3] = Some(2);
    assert!(!unknown_holder.is_valid());
    let mut short = valid.clone();
    short.lanes.pop();
    assert!(!short.is_valid());
    let mut last_epoch = valid.clone();
    last_epoch.epoch = u64::MAX;
    assert!(!last_epoch.is_valid());
}

/// Guards against refusals for a second after lanes changed their holder: the former one had denied a
/// loan, and the record that names the next one did not lead to another request.
#[test]
fn a_new_record_ends_the_backoff_from_lenders() {
    let start = Instant::now();
    let (mut limiter, shop, request_id) = borrower(start);
    let lender: Arc<str> = "lender".into();
    let denial = Message::Deny(LoanDenial {
        request_id,
        workspace: Arc::clone(&shop),
        retry_after: Duration::from_secs(1),
    });
    limiter.handle_message(start, &lender, &denial, Some(RATE_OF_SHOP));
    let admission = limiter.retry_acquire(start, &shop, RATE_OF_SHOP, 1);
    assert!(
        matches!(admission, Admission::Refused { .. }),
        "{admission:?}"
    );
    let mut next = Allocation::even(&[("lender", 2, "a")]);
    next.epoch = 2;
    limiter.apply_allocation(start, Arc::new(next));
    let admission = limiter.try_acquire(start, &shop, RATE_OF_SHOP, 1);
    assert!(matches!(admission, Admission::Wait { .. }), "{admission:?}");
    assert!(limiter.has_messages());
}

/// Returns a limiter that holds all lanes, with its full burst at the returned time.
fn holder(start: Instant) -> (RateLimiter, Arc<str>, Instant) {
    let allocation = Allocation::even(&[("lender", 1, "a")]);
    let mut limiter = RateLimiter::new("lender", "a", 1, Config::default());
    limiter.apply_allocation(start, Arc::new(allocation));
    let full_at = start + Duration::from_secs(2);
    limiter.confirm_ownership(full_at);
    (limiter, "shop".into(), full_at)
}

/// Returns how many statements are admitted at once.
fn admitted_at_once(limiter: &mut RateLimiter, now: Instant, shop: &Arc<str>, rate: Rate) -> u64 {
    let admitted = (0..100).take_while(|_| {
        let admission = limiter.try_acquire(now, shop, rate, 1);
        admission == Admission::Admitted
    });
    admitted.count() as u64
}

/// Guards against a lender that keeps a returned loan on its books, and so holds less than its burst until
/// the loan would have ended.
#[test]
fn a_returned_loan_restores_the_burst_of_its_lender() {
    let (mut limiter, shop, now) = holder(Instant::now());
    let borrower: Arc<str> = "borrower".into();
    let request = Message::Request(LoanRequest {
        id: 1,
        workspace: Arc::clone(&shop),
        tokens: 3 * MICRO_TOKENS_PER_TOKEN,
        min_tokens: MICRO_TOKENS_PER_TOKEN,
        refill: Fraction::ZERO,
        renews: None,
    });
    limiter.handle_message(now, &borrower, &request, Some(RATE_OF_SHOP));
    let granted = limiter.drain().next().unwrap().message;
    let Message::Grant(grant) = granted else {
        panic!("{granted:?} is not a grant");
    };
    assert_eq!(grant.tokens, 3 * MICRO_TOKENS_PER_TOKEN);
    let returned = Message::Return(LoanReturn {
        loan: grant.loan,
        workspace: Arc::clone(&shop),
        tokens: grant.tokens,
    });
    limiter.handle_message(now, &borrower, &returned, Some(RATE_OF_SHOP));
    // Rounding of the lent fraction costs less than what a millisecond gains.
    let later = now + Duration::from_millis(1);
    let admitted = admitted_at_once(&mut limiter, later, &shop, RATE_OF_SHOP);
    assert_eq!(admitted, RATE_OF_SHOP.burst);
}

/// Guards against refill at the old rate for the time between the last use of a bucket and the first one
/// after a patch lowered the rate.
#[test]
fn a_lowered_rate_applies_to_the_time_since_the_last_refill() {
    let (mut limiter, shop, now) = holder(Instant::now());
    let admitted = admitted_at_once(&mut limiter, now, &shop, RATE_OF_SHOP);
    assert_eq!(admitted, RATE_OF_SHOP.burst);
    let lowered = Rate {
        per_second: 5,
        ..RATE_OF_SHOP
    };
    let later = now + Duration::from_secs(1);
    limiter.confirm_ownership(later);
    let admitted = admitted_at_once(&mut limiter, later, &shop, lowered);
    assert_eq!(admitted, lowered.per_second);
}
