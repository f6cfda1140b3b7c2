//! Spread of configuration versions: never back, and everywhere after any mix of messages.

use std::time::{Duration, Instant};

use filbertbay_coordination::spread::{
    Action, Disseminator, Event, WATCHERS_PER_DATA_CENTRE, is_watcher,
};

/// Whatever is heard and loaded, in whatever order, the version never goes back.
#[test]
fn version_never_reverts() {
    fn property(events: Vec<(u8, u8)>) -> bool {
        let now = Instant::now();
        let mut spread = Disseminator::new(Duration::from_secs(1));
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
            spread.on_event(now + Duration::from_millis(100 * step as u64), event);
            if spread.version() != highest {
                return false;
            }
        }
        true
    }
    check::runner(64).quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
}

/// A pull whose answer was lost is repeated once its timeout has passed, not before.
#[test]
fn lost_pull_is_repeated() {
    let now = Instant::now();
    let mut spread = Disseminator::new(Duration::from_secs(1));
    let heard = || Event::PeerVersion {
        from: "a".into(),
        version: 5,
    };
    assert_eq!(spread.on_event(now, heard()).len(), 1);
    assert!(
        spread
            .on_event(now + Duration::from_millis(999), heard())
            .is_empty()
    );
    let again = spread.on_event(now + Duration::from_secs(1), heard());
    assert_eq!(
        again,
        [Action::Pull {
            from: "a".into(),
            newer_than: 0
        }]
    );
}

/// With one view of who lives, each data centre has exactly the stated number of watchers.
#[test]
fn watchers_are_few() {
    for size in 2..200_usize {
        let names: Vec<String> = (0..size).map(|n| format!("quimper-{n}")).collect();
        let live = || names.iter().map(String::as_str);
        let watchers = live().filter(|own| is_watcher(own, live())).count();
        assert_eq!(watchers, WATCHERS_PER_DATA_CENTRE);
    }
}
