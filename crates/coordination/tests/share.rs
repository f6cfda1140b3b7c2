//! Properties of rates over the whole fleet, under random histories of load and failure.

mod fleet;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::share::{Admission, Allocation, Config, Holder, LANES, RateLimiter};
use filbertbay_state::document::Rate;
use fleet::Fleet;
use quickcheck::{Arbitrary, Gen};

const INSTANCES: usize = 9;
const CENTRES: usize = 3;
const WORKSPACES: u8 = 4;

/// Tokens by which rounding of single grants may be off.
const ROUNDING: f64 = 0.001;

#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive {
        instance: u8,
        workspace: u8,
        count: u8,
    },
    Flood {
        workspace: u8,
    },
    HandOver {
        workspace: u8,
        lane: u8,
        instance: u8,
    },
    Reclaim {
        instance: u8,
        to: u8,
    },
    Pass {
        ms: u16,
    },
    Kill {
        instance: u8,
    },
    Restart {
        instance: u8,
    },
    Claim {
        instance: u8,
    },
    Pause {
        instance: u8,
        ms: u16,
    },
    Unproven {
        instance: u8,
        proves: bool,
    },
    Cut {
        centre: Option<u8>,
    },
    Weather {
        lose: u8,
        double: u8,
        delay: u8,
    },
    Lower {
        workspace: u8,
    },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let instance = u8::arbitrary(g) % INSTANCES as u8;
        let workspace = u8::arbitrary(g) % WORKSPACES;
        match u8::arbitrary(g) % 40 {
            0..=5 => Self::Arrive {
                instance,
                workspace,
                count: u8::arbitrary(g) % 40,
            },
            6..=9 => Self::Arrive {
                instance,
                workspace,
                count: 1,
            },
            10 | 11 => Self::Flood { workspace },
            12 => Self::Kill { instance },
            13 => Self::Restart { instance },
            37 | 38 => Self::Claim { instance },
            14 => Self::Pause {
                instance,
                ms: u16::arbitrary(g) % 20_000,
            },
            15 => Self::Unproven {
                instance,
                proves: bool::arbitrary(g),
            },
            16 => Self::Cut {
                centre: Option::<u8>::arbitrary(g).map(|c| c % CENTRES as u8),
            },
            17 | 18 => Self::Weather {
                lose: u8::arbitrary(g) % 10,
                double: u8::arbitrary(g) % 4,
                delay: u8::arbitrary(g) % 4,
            },
            19 => Self::Lower { workspace },
            32 | 33 => Self::HandOver {
                workspace,
                lane: u8::arbitrary(g) % LANES as u8,
                instance,
            },
            34 | 35 => Self::Reclaim {
                instance,
                to: u8::arbitrary(g) % INSTANCES as u8,
            },
            36 => Self::Pass {
                ms: 4_000 + u16::arbitrary(g) % 12_000,
            },
            20..=25 => Self::Pass {
                ms: u16::arbitrary(g) % 30,
            },
            _ => Self::Pass {
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

fn play(fleet: &mut Fleet, step: Step, lowered: &mut BTreeMap<Arc<str>, Instant>) {
    match step {
        Step::Arrive {
            instance,
            workspace,
            count,
        } => {
            for _ in 0..count {
                fleet.arrive(instance.into(), &name(workspace));
            }
        }
        Step::Flood { workspace } => {
            for instance in 0..40 * INSTANCES {
                fleet.arrive(instance % INSTANCES, &name(workspace));
            }
        }
        Step::HandOver {
            workspace,
            lane,
            instance,
        } => {
            let slot = Allocation::shard_of(&name(workspace)) * LANES + usize::from(lane);
            fleet.hand_over(slot, instance.into());
        }
        Step::Reclaim { instance, to } => fleet.reclaim(instance.into(), to.into()),
        Step::Pass { ms } => fleet.pass(Duration::from_millis(ms.into())),
        Step::Kill { instance } => fleet.kill(instance.into()),
        Step::Restart { instance } => fleet.restart(instance.into()),
        Step::Claim { instance } => fleet.claim(instance.into()),
        Step::Pause { instance, ms } => {
            fleet.pause(instance.into(), Duration::from_millis(ms.into()));
        }
        Step::Unproven { instance, proves } => fleet.nodes[usize::from(instance)].proves = proves,
        Step::Cut { centre } => fleet.cut = centre.map(usize::from),
        Step::Weather {
            lose,
            double,
            delay,
        } => {
            fleet.weather.lose = lose.into();
            fleet.weather.double = double.into();
            fleet.weather.delay = delay.into();
        }
        Step::Lower { workspace } => {
            let rate = lower(rates()[&name(workspace)]);
            (0..INSTANCES).for_each(|index| fleet.set_rate(index, &name(workspace), rate));
            lowered.entry(name(workspace)).or_insert(fleet.now);
        }
    }
}

fn lower(rate: Rate) -> Rate {
    Rate {
        per_second: rate.per_second / 2,
        burst: rate.burst / 2,
    }
}

/// Pours the admissions into one bucket of the whole rate; an overdraft in any interval shows.
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
            rate = lower(rate);
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

fn never_above_rate_and_burst(steps: Vec<Step>) -> bool {
    let mut fleet = Fleet::start(INSTANCES, CENTRES, &rates());
    let mut lowered = BTreeMap::new();
    // The slowest bucket is full after 24 seconds.
    fleet.pass(Duration::from_secs(30));
    for step in steps {
        play(&mut fleet, step, &mut lowered);
    }
    fleet.pass(Duration::from_secs(5));
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
fn no_interval_sees_more_than_rate_and_burst() {
    check::runner(120).quickcheck(never_above_rate_and_burst as fn(Vec<Step>) -> bool);
}

/// Workspace whose bucket fills slowly, so that tokens made by a change of holders show.
const SLOW: u8 = 3;

/// Step of a history in which lanes change hands often.
#[derive(Clone, Copy, Debug)]
struct Change(Step);

impl Arbitrary for Change {
    fn arbitrary(g: &mut Gen) -> Self {
        // Few instances, so that the same one loses its lanes and wakes up again.
        let instance = u8::arbitrary(g) % 2;
        let workspace = SLOW;
        let to = u8::arbitrary(g) % INSTANCES as u8;
        let lane = u8::arbitrary(g) % LANES as u8;
        let ms = u16::arbitrary(g);
        Self(match u8::arbitrary(g) % 16 {
            0 | 1 => Step::Flood { workspace },
            2 | 3 => Step::Arrive {
                instance,
                workspace,
                count: 120,
            },
            4 => Step::Kill { instance },
            5 => Step::Restart { instance },
            6 => Step::Pause {
                instance,
                ms: ms % 25_000,
            },
            7 => Step::Unproven {
                instance,
                proves: false,
            },
            8 | 9 => Step::HandOver {
                workspace,
                lane,
                instance,
            },
            10 => Step::Reclaim { instance, to },
            14 | 15 => Step::Claim { instance },
            _ => Step::Pass { ms: ms % 15_000 },
        })
    }
}

#[test]
fn lanes_that_change_hands_make_no_tokens() {
    fn property(changes: Vec<Change>) -> bool {
        never_above_rate_and_burst(changes.into_iter().map(|change| change.0).collect())
    }
    check::runner(60).quickcheck(property as fn(Vec<Change>) -> bool);
}

const SETTLE_SECONDS: u32 = 5;
const MEASURE_SECONDS: u32 = 25;

/// Statements a second of the workspace that stays inside its rate of 50.
const MODEST_PER_SECOND: u32 = 45;

/// Spreads a load inside the rate over instances by the given weights and counts refusals.
fn refusals_inside_the_rate(weights: &[u8], greedy: bool) -> f64 {
    let mut fleet = Fleet::start(INSTANCES, CENTRES, &rates());
    fleet.pass(Duration::from_secs(2));
    let weight = |index: usize| weights.get(index).map_or(1, |weight| u32::from(*weight));
    let weights: Vec<u32> = (0..INSTANCES).map(weight).collect();
    load(&mut fleet, &weights, greedy, SETTLE_SECONDS);
    let settled = fleet.refused.get(&name(0)).copied().unwrap_or(0);
    load(&mut fleet, &weights, greedy, MEASURE_SECONDS);
    let refused = fleet.refused.get(&name(0)).copied().unwrap_or(0) - settled;
    refused as f64 / f64::from(MEASURE_SECONDS * MODEST_PER_SECOND)
}

fn load(fleet: &mut Fleet, weights: &[u32], greedy: bool, seconds: u32) {
    let total = weights.iter().sum::<u32>().max(1);
    for number in 0..seconds * MODEST_PER_SECOND {
        let point = number.wrapping_mul(2_654_435_761) % total;
        let mut sum = 0;
        let reaches = |weight: &u32| {
            sum += weight;
            sum > point
        };
        let index = weights.iter().position(reaches).unwrap_or(0);
        fleet.arrive(index, &name(0));
        // Workspace 1 has a rate of 7 a second and sends about eight times as much.
        if greedy {
            fleet.arrive(number as usize % INSTANCES, &name(1));
        }
        fleet.pass(Duration::from_secs(1) / MODEST_PER_SECOND);
    }
}

/// Weights by which a load is spread over the instances.
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

fn skewed_load_inside_the_rate_is_served(skew: Skew, greedy: bool) -> bool {
    let share = refusals_inside_the_rate(&skew.0, greedy);
    assert!(share < 0.001, "{share} of the statements were refused");
    true
}

#[test]
fn statements_inside_the_rate_are_served_under_skew() {
    let property = skewed_load_inside_the_rate_is_served as fn(Skew, bool) -> bool;
    check::runner(9).quickcheck(property);
}

#[test]
fn adopting_the_same_record_again_changes_nothing() {
    let mut fleet = Fleet::start(1, 1, &rates());
    fleet.pass(Duration::from_secs(1));
    let record = || Arc::new(Allocation::even(&[("instance-0", 1, "centre-0")]));
    // Ten statements each 200 ms are the whole rate of 50 a second.
    for step in 0..400 {
        fleet.adopt(&record());
        if step % 4 == 0 {
            (0..10).for_each(|_| fleet.arrive(0, &name(0)));
        }
        fleet.pass(Duration::from_millis(50));
    }
    assert_eq!(fleet.refused.get(&name(0)), None);
    assert_eq!(fleet.admitted[&name(0)].len(), 1_000);
}

#[test]
fn an_instance_whose_lanes_were_reclaimed_spends_none_of_them() {
    let workspace = SLOW;
    let (instance, to) = (0, 5);
    let steps = vec![
        Step::Unproven {
            instance,
            proves: false,
        },
        Step::Flood { workspace },
        Step::Pass { ms: 14_000 },
        Step::Reclaim { instance, to },
        Step::Flood { workspace },
        Step::Pass { ms: 14_000 },
        Step::Flood { workspace },
        Step::Pass { ms: 14_000 },
        Step::Flood { workspace },
    ];
    assert!(never_above_rate_and_burst(steps));
}

#[test]
fn a_lane_passes_on_only_after_the_loans_that_rest_on_it() {
    let workspace = SLOW;
    // Instance 8 borrows the refill of all others, which then give all their lanes to instance 7.
    let mut steps = vec![Step::Arrive {
        instance: 8,
        workspace,
        count: 120,
    }];
    steps.push(Step::Pass { ms: 100 });
    steps.extend((0..LANES as u8).map(|lane| Step::HandOver {
        workspace,
        lane,
        instance: 7,
    }));
    steps.push(Step::Pass { ms: 1_500 });
    steps.push(Step::Flood { workspace });
    assert!(never_above_rate_and_burst(steps));
}

#[test]
fn a_lane_starts_empty_at_its_new_holder() {
    let start = Instant::now();
    let mut ledger = RateLimiter::new("instance-0", "centre-0", 1, Config::default());
    ledger.apply_allocation(
        start,
        Arc::new(Allocation::even(&[("instance-0", 1, "centre-0")])),
    );
    ledger.confirm_ownership(start);
    let (workspace, now) = (name(SLOW), start + Duration::from_secs(1));
    let rate = rates()[&workspace];
    let runs = |_: &u32| ledger.try_acquire(now, &workspace, rate, 1) == Admission::Admitted;
    // One second of refill, not the burst of 96.
    assert_eq!((0..100).filter(runs).count(), 4);
}

/// A restarted instance takes its earlier lanes over with what they gained, also for a workspace
/// that asked before.
#[test]
fn lanes_of_an_earlier_incarnation_have_filled_since_nobody_could_spend_them() {
    let start = Instant::now();
    let (workspace, other) = (name(SLOW), name(0));
    let rates = rates();
    let mut ledger = RateLimiter::new("instance-0", "centre-0", 2, Config::default());
    ledger.confirm_ownership(start);
    ledger.set_unspent_since(start + Duration::from_millis(500));
    let earlier = Allocation::even(&[("instance-0", 1, "centre-0")]);
    ledger.apply_allocation(start, Arc::new(earlier.clone()));
    let before = ledger.try_acquire(start, &workspace, rates[&workspace], 1);
    assert_ne!(before, Admission::Admitted);
    let live = Holder {
        instance: "instance-0".into(),
        incarnation: 2,
        data_centre: "centre-0".into(),
    };
    let record = earlier.reclaimed(std::slice::from_ref(&live), |one| *one != live);
    let now = start + Duration::from_millis(1_500);
    ledger.apply_allocation(now, Arc::new(record.unwrap()));
    let mut runs = |workspace: &Arc<str>| {
        let runs = |_: &u32| {
            ledger.try_acquire(now, workspace, rates[workspace], 1) == Admission::Admitted
        };
        (0..100).filter(runs).count()
    };
    // One second of refill, cut at the burst of 20.
    assert_eq!(runs(&workspace), 4);
    assert_eq!(runs(&other), 20);
}

/// Seen with a third of the instances cut off: each workspace asked them anew, and its statements
/// waited in vain.
#[test]
fn an_instance_that_does_not_answer_is_asked_after_the_others() {
    let start = Instant::now();
    let config = Config::default();
    let mut ledger = RateLimiter::new("a-0", "a", 1, config);
    let record = Allocation::even(&[("a-1", 1, "a"), ("b-1", 1, "b")]);
    ledger.apply_allocation(start, Arc::new(record));
    ledger.confirm_ownership(start);
    let rate = rates()[&name(2)];
    let asked = |ledger: &mut RateLimiter, at: Instant, workspace: u8| {
        ledger.try_acquire(at, &name(workspace), rate, 1);
        ledger.drain().map(|envelope| envelope.to).next()
    };
    assert_eq!(asked(&mut ledger, start, 0).as_deref(), Some("a-1"));
    // The answer does not come in time; that shows with the next statement.
    let later = start + config.request_timeout;
    asked(&mut ledger, later, 0);
    assert_eq!(asked(&mut ledger, later, 1).as_deref(), Some("b-1"));
    let much_later = later + Duration::from_secs(3);
    assert_eq!(asked(&mut ledger, much_later, 2).as_deref(), Some("a-1"));
}

/// Another instance may have held the lanes under a record that was missed, and have spent what they
/// gained.
#[test]
fn lanes_start_empty_where_a_record_was_missed() {
    let start = Instant::now();
    let mut ledger = RateLimiter::new("a-0", "a", 2, Config::default());
    ledger.confirm_ownership(start);
    ledger.set_unspent_since(start);
    let earlier = Allocation::even(&[("a-0", 1, "a")]);
    ledger.apply_allocation(start, Arc::new(earlier.clone()));
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
    ledger.apply_allocation(now, Arc::new(next.unwrap()));
    let rate = rates()[&name(0)];
    assert_ne!(
        ledger.try_acquire(now, &name(0), rate, 1),
        Admission::Admitted
    );
}
