//! Isolation time from contacts with the platform and with other data centres.

use std::time::{Duration, Instant};

use filbertbay_coordination::contact::ContactTracker;
use quickcheck::{Arbitrary, Gen};

const NAMES: [&str; 3] = ["quimper", "nantes", "caen"];

#[derive(Clone, Copy, Debug)]
enum Step {
    Wait(u8),
    Platform,
    Instance { from: usize, age: Option<u8> },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 4 {
            0 | 1 => Self::Wait(u8::arbitrary(g)),
            2 => Self::Platform,
            _ => Self::Instance {
                from: usize::arbitrary(g) % 3,
                age: Option::arbitrary(g),
            },
        }
    }
}

/// The isolation time equals the time since the last platform contact, or since the oldest last
/// message of another data centre if that is later.
#[test]
fn isolation_time_is_the_time_since_the_last_sufficient_contact() {
    fn property(steps: Vec<Step>) -> bool {
        let start = Instant::now();
        let mut now = start + Duration::from_mins(10);
        let mut contact = ContactTracker::new(now, NAMES[0]);
        let created_at = now;
        let mut platform: Option<Instant> = None;
        let mut last_messages = [None, None, None];
        for step in steps {
            match step {
                Step::Wait(seconds) => now += Duration::from_secs(seconds.into()),
                Step::Platform => {
                    contact.record_platform_contact(now);
                    platform = platform.max(Some(now));
                }
                Step::Instance { from, age } => {
                    let age = age.map(|seconds| Duration::from_secs(seconds.into()));
                    contact.record_message(now, NAMES[from], age);
                    last_messages[from] = Some(now);
                    platform = platform.max(age.and_then(|age| now.checked_sub(age)));
                }
            }
            let elsewhere = last_messages[1].min(last_messages[2]);
            let expected = now - platform.max(elsewhere).unwrap_or(created_at);
            if contact.isolation_time(now, NAMES) != expected {
                return false;
            }
        }
        true
    }
    check::runner(64).quickcheck(property as fn(Vec<Step>) -> bool);
}

/// Two instances that are partitioned together do not refresh each other's report of the last
/// platform contact.
#[test]
fn a_partitioned_pair_detects_its_isolation() {
    let start = Instant::now();
    let mut first = ContactTracker::new(start, NAMES[0]);
    let mut second = ContactTracker::new(start, NAMES[0]);
    first.record_platform_contact(start);
    let mut now = start;
    for _ in 0..60 {
        now += Duration::from_secs(1);
        second.record_message(now, NAMES[0], first.platform_age(now));
        first.record_message(now, NAMES[0], second.platform_age(now));
    }
    assert_eq!(first.isolation_time(now, NAMES), Duration::from_mins(1));
    assert_eq!(second.isolation_time(now, NAMES), Duration::from_mins(1));
}

/// A platform outage for all instances is no isolation, because the configuration can't change.
#[test]
fn a_platform_outage_for_all_instances_is_no_isolation() {
    let start = Instant::now();
    let mut contact = ContactTracker::new(start, NAMES[0]);
    let mut now = start;
    for _ in 0..3_600 {
        now += Duration::from_secs(1);
        contact.record_message(now, NAMES[1], None);
        contact.record_message(now, NAMES[2], None);
        assert_eq!(contact.isolation_time(now, NAMES), Duration::ZERO);
    }
}
