//! Gossip dissemination of configuration versions.
//!
//! [`WATCHERS_PER_DATA_CENTRE`] instances of each data centre watch the platform. An instance that
//! adopts a newer version announces it to [`FANOUT`] random instances, each of which pulls the
//! version and announces it in turn, so a change reaches `n` instances in about `log n` hops.
//! Membership probes carry the version as well, which repairs lost announcements. Only a version
//! higher than the current one is adopted, so the configuration never reverts.
//!
//! # Examples
//!
//! ```
//! use std::time::{Duration, Instant};
//! use filbertbay_coordination::spread::{Action, Disseminator, Event};
//!
//! let now = Instant::now();
//! let mut disseminator = Disseminator::new(Duration::from_secs(1));
//! let advertised = Event::PeerVersion { from: "nantes-1".into(), version: 7 };
//! let actions = disseminator.on_event(now, advertised);
//! assert_eq!(actions, [Action::Pull { from: "nantes-1".into(), newer_than: 0 }]);
//! let actions = disseminator.on_event(now, Event::Loaded { version: 7 });
//! assert_eq!(actions, [Action::Announce { version: 7 }]);
//! assert!(disseminator.on_event(now, Event::Loaded { version: 6 }).is_empty());
//! ```

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::rendezvous;

/// Number of instances in each data centre that watch the platform.
pub const WATCHERS_PER_DATA_CENTRE: usize = 2;

/// Number of random instances that an announcement is sent to.
pub const FANOUT: usize = 4;

/// Returns true if the instance `own` watches the platform for its data centre.
///
/// `live` contains the names of the live instances of the data centre. While instances disagree
/// about that set, there may be more watchers; the only cost is additional calls to the platform.
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

/// Input to [`Disseminator::on_event`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// Another instance advertised its configuration version.
    PeerVersion {
        /// Name of that instance.
        from: Arc<str>,
        /// Advertised version.
        version: u64,
    },
    /// A complete configuration was loaded from the platform or from another instance.
    Loaded {
        /// Version of the configuration.
        version: u64,
    },
    /// A pull ended without a usable configuration.
    PullFailed,
}

/// Operation that the driver must perform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Pull the configuration from an instance if its version is newer.
    Pull {
        /// Name of the instance to pull from.
        from: Arc<str>,
        /// Version that the pulled configuration must exceed.
        newer_than: u64,
    },
    /// Announce a version to [`FANOUT`] random instances.
    Announce {
        /// Version to announce.
        version: u64,
    },
}

/// State machine that disseminates configuration versions.
///
/// Tracks the version of this instance and the pull in flight.
#[derive(Debug)]
pub struct Disseminator {
    version: u64,
    pull_timeout: Duration,
    pull: Option<Pull>,
}

#[derive(Debug)]
struct Pull {
    version: u64,
    started_at: Instant,
}

impl Disseminator {
    /// Creates a disseminator without a version.
    ///
    /// A pull that has not ended after `pull_timeout` no longer prevents another one.
    pub fn new(pull_timeout: Duration) -> Self {
        Self {
            version: 0,
            pull_timeout,
            pull: None,
        }
    }

    /// Returns the version in force on this instance, or zero if there is none yet.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Handles an event and returns the resulting operations.
    pub fn on_event(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::PeerVersion { from, version } => self.on_peer_version(now, from, version),
            Event::Loaded { version } => self.adopt(version),
            Event::PullFailed => {
                self.pull = None;
                Vec::new()
            }
        }
    }

    fn on_peer_version(&mut self, now: Instant, from: Arc<str>, version: u64) -> Vec<Action> {
        if version <= self.version || self.is_pulling(now, version) {
            return Vec::new();
        }
        self.pull = Some(Pull {
            version,
            started_at: now,
        });
        vec![Action::Pull {
            from,
            newer_than: self.version,
        }]
    }

    /// Returns true if a pull of `version` or a later version is in flight.
    fn is_pulling(&self, now: Instant, version: u64) -> bool {
        self.pull.as_ref().is_some_and(|pull| {
            pull.version >= version && now < pull.started_at + self.pull_timeout
        })
    }

    fn adopt(&mut self, version: u64) -> Vec<Action> {
        if version <= self.version {
            return Vec::new();
        }
        self.version = version;
        self.pull = self.pull.take().filter(|pull| pull.version > version);
        vec![Action::Announce { version }]
    }
}
