//! Contact with the platform and other data centres.

use std::time::{Duration, Instant};

use filbertbay_coordination::contact::Contact;
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

/// The silence never exceeds the time since the platform was heard, and never falls below it
/// unless every other data centre was heard since.
#[test]
fn silence_is_bounded_by_what_was_heard() {
    fn property(steps: Vec<Step>) -> bool {
        let start = Instant::now();
        let mut now = start + Duration::from_mins(10);
        let mut contact = Contact::open(now, NAMES[0]);
        let opened = now;
        let mut platform: Option<Instant> = None;
        let mut heard = [None, None, None];
        for step in steps {
            match step {
                Step::Wait(seconds) => now += Duration::from_secs(seconds.into()),
                Step::Platform => {
                    contact.hear_platform(now);
                    platform = platform.max(Some(now));
                }
                Step::Instance { from, age } => {
                    let age = age.map(|seconds| Duration::from_secs(seconds.into()));
                    contact.hear_instance(now, NAMES[from], age);
                    heard[from] = Some(now);
                    platform = platform.max(age.and_then(|age| now.checked_sub(age)));
                }
            }
            let elsewhere = heard[1].min(heard[2]);
            let expected = now - platform.max(elsewhere).unwrap_or(opened);
            if contact.silence(now, NAMES) != expected {
                return false;
            }
        }
        true
    }
    check::runner(64).quickcheck(property as fn(Vec<Step>) -> bool);
}

/// Two instances that are cut off together do not keep each other's report of the platform alive.
#[test]
fn cut_off_pair_notices() {
    let start = Instant::now();
    let mut first = Contact::open(start, NAMES[0]);
    let mut second = Contact::open(start, NAMES[0]);
    first.hear_platform(start);
    let mut now = start;
    for _ in 0..60 {
        now += Duration::from_secs(1);
        second.hear_instance(now, NAMES[0], first.platform_age(now));
        first.hear_instance(now, NAMES[0], second.platform_age(now));
    }
    assert_eq!(first.silence(now, NAMES), Duration::from_mins(1));
    assert_eq!(second.silence(now, NAMES), Duration::from_mins(1));
}

/// A platform outage alone is no silence: nobody can have changed anything.
#[test]
fn outage_for_all_is_no_silence() {
    let start = Instant::now();
    let mut contact = Contact::open(start, NAMES[0]);
    let mut now = start;
    for _ in 0..3_600 {
        now += Duration::from_secs(1);
        contact.hear_instance(now, NAMES[1], None);
        contact.hear_instance(now, NAMES[2], None);
        assert_eq!(contact.silence(now, NAMES), Duration::ZERO);
    }
}
