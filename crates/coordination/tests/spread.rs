//! Dissemination of configuration versions.
//!
//! Guards against a version that reverts when messages arrive out of order, a pull that is never
//! repeated after its answer is lost, and a number of watchers that grows with the data centre.

use std::time::{Duration, Instant};

use filbertbay_coordination::spread::{
    Action, Disseminator, Event, WATCHERS_PER_DATA_CENTRE, is_watcher,
};

/// The version in force is the highest one loaded, in whatever order events arrive.
#[test]
fn version_never_reverts() {
    fn property(events: Vec<(u8, u8)>) -> bool {
        let now = Instant::now();
        let mut disseminator = Disseminator::new(Duration::from_secs(1));
        let mut highest = 0;
        for (step, (kind, version)) in events.into_iter().enumerate() {
            let version = u64::from(version);
            let event = match kind % 3 {
                0 => Event::PeerVersion {
                    from: "a".into(),
                    version,
                },
                1 => Event::Loaded { version },
                _ => Event::PullFailed,
            };
            if let Event::Loaded { version } = event {
                highest = highest.max(version);
            }
            disseminator.on_event(now + Duration::from_millis(100 * step as u64), event);
            if disseminator.version() != highest {
                return false;
            }
        }
        true
    }
    check::runner(64).quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
}

/// A pull without an answer is repeated once its timeout has passed, and not earlier.
#[test]
fn lost_pull_is_repeated() {
    let now = Instant::now();
    let mut disseminator = Disseminator::new(Duration::from_secs(1));
    let advertised = || Event::PeerVersion {
        from: "a".into(),
        version: 5,
    };
    assert_eq!(disseminator.on_event(now, advertised()).len(), 1);
    assert!(
        disseminator
            .on_event(now + Duration::from_millis(999), advertised())
            .is_empty()
    );
    let actions = disseminator.on_event(now + Duration::from_secs(1), advertised());
    assert_eq!(
        actions,
        [Action::Pull {
            from: "a".into(),
            newer_than: 0
        }]
    );
}

/// If all instances of a data centre agree on the live instances, exactly
/// [`WATCHERS_PER_DATA_CENTRE`] of them are watchers.
#[test]
fn number_of_watchers_is_independent_of_size() {
    for size in 2..200_usize {
        let names: Vec<String> = (0..size).map(|n| format!("quimper-{n}")).collect();
        let live = || names.iter().map(String::as_str);
        let watchers = live().filter(|own| is_watcher(own, live())).count();
        assert_eq!(watchers, WATCHERS_PER_DATA_CENTRE);
    }
}
