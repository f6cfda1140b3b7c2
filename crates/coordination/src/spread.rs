//! How a configuration version reaches every instance.
//!
//! A few instances of each data centre watch the platform. Whoever learns of a newer version
//! announces it to a few random instances at once, and each of those does the same after it has
//! pulled the version, so that a change reaches `n` instances in about `log n` hops. Probes carry
//! the version as well and repair what an announcement missed. A version is adopted only when it is
//! higher than the present one, so that nothing reverts.
//!
//! # Examples
//!
//! ```
//! use std::time::{Duration, Instant};
//! use filbertbay_coordination::spread::{Action, Disseminator, Event};
//!
//! let now = Instant::now();
//! let mut spread = Disseminator::new(Duration::from_secs(1));
//! let heard = spread.on_event(now, Event::PeerVersion { from: "nantes-1".into(), version: 7 });
//! assert_eq!(heard, [Action::Pull { from: "nantes-1".into(), newer_than: 0 }]);
//! assert_eq!(spread.on_event(now, Event::Loaded { version: 7 }), [Action::Announce { version: 7 }]);
//! assert!(spread.on_event(now, Event::Loaded { version: 6 }).is_empty());
//! ```

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::rendezvous;

/// Instances of a data centre that watch the platform.
pub const WATCHERS_PER_DATA_CENTRE: usize = 2;

/// Random instances that an announcement goes to.
pub const FANOUT: usize = 4;

/// Tells whether an instance watches the platform for its data centre.
///
/// `live` names the live instances of the data centre. Instances that disagree about it may watch
/// in greater number for a while, which costs calls and nothing else.
///
/// # Examples
///
/// ```
/// use filbertbay_coordination::spread::is_watcher;
///
/// assert!(is_watcher("quimper-1", ["quimper-1"]));
/// ```
pub fn is_watcher<'a, I>(own: &str, live: I) -> bool
where
    I: IntoIterator<Item = &'a str>,
{
    rendezvous::ranks_among_first("configuration", WATCHERS_PER_DATA_CENTRE, own, live)
}

/// What happened outside.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// Another instance said which version it has.
    PeerVersion {
        /// Instance that said so.
        from: Arc<str>,
        /// Its version.
        version: u64,
    },
    /// A version was read whole, from the platform or from another instance.
    Loaded {
        /// The version read.
        version: u64,
    },
    /// A pull ended without a version.
    PullFailed,
}

/// What the driver has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Pull the configuration from an instance, if it is above a version.
    Pull {
        /// Instance to pull from.
        from: Arc<str>,
        /// Version to stay above.
        newer_than: u64,
    },
    /// Tell [`FANOUT`] random instances of a version.
    Announce {
        /// The version.
        version: u64,
    },
}

/// Version of this instance and the pull in flight.
#[derive(Debug)]
pub struct Disseminator {
    version: u64,
    pull_timeout: Duration,
    pull: Option<Pull>,
}

#[derive(Debug)]
struct Pull {
    version: u64,
    since: Instant,
}

impl Disseminator {
    /// Opens with no version; a pull without an answer is given up after `pull_timeout`.
    pub fn new(pull_timeout: Duration) -> Self {
        Self {
            version: 0,
            pull_timeout,
            pull: None,
        }
    }

    /// Returns the version in force here, zero before the first.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Takes in what happened outside and returns what to do.
    pub fn on_event(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::PeerVersion { from, version } => self.hear(now, from, version),
            Event::Loaded { version } => self.load(version),
            Event::PullFailed => {
                self.pull = None;
                Vec::new()
            }
        }
    }

    fn hear(&mut self, now: Instant, from: Arc<str>, version: u64) -> Vec<Action> {
        if version <= self.version || self.is_pulling(now, version) {
            return Vec::new();
        }
        self.pull = Some(Pull {
            version,
            since: now,
        });
        vec![Action::Pull {
            from,
            newer_than: self.version,
        }]
    }

    fn is_pulling(&self, now: Instant, version: u64) -> bool {
        self.pull
            .as_ref()
            .is_some_and(|pull| pull.version >= version && now < pull.since + self.pull_timeout)
    }

    fn load(&mut self, version: u64) -> Vec<Action> {
        if version <= self.version {
            return Vec::new();
        }
        self.version = version;
        self.pull = self.pull.take().filter(|pull| pull.version > version);
        vec![Action::Announce { version }]
    }
}
