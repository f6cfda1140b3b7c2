//! How long ago this instance could still hear of every change of the configuration.
//!
//! An instance that hears the platform, directly or through others, knows the configuration. While
//! the platform is down for all, nothing can change: whoever hears some instance of every other
//! data centre, none of which hears the platform, misses nothing. Only an instance that hears
//! neither the platform nor some other data centre may be cut off while operators withdraw a key
//! elsewhere. How long it goes on to serve keyed routes is the operators' choice.
//!
//! Ages travel with probes and grow on the way, so that no report keeps itself alive.
//!
//! # Examples
//!
//! ```
//! use std::time::{Duration, Instant};
//! use filbertbay_coordination::contact::ContactTracker;
//!
//! let start = Instant::now();
//! let mut contact = ContactTracker::new(start, "quimper");
//! let later = start + Duration::from_secs(60);
//! assert_eq!(contact.isolation_time(later, ["quimper", "nantes"]), Duration::from_secs(60));
//! contact.record_message(later, "nantes", None);
//! assert_eq!(contact.isolation_time(later, ["quimper", "nantes"]), Duration::ZERO);
//! ```

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// When the platform and other data centres were last heard.
#[derive(Debug)]
pub struct ContactTracker {
    data_centre: Arc<str>,
    created_at: Instant,
    last_platform_contact: Option<Instant>,
    last_messages: BTreeMap<Arc<str>, Instant>,
}

impl ContactTracker {
    /// Opens the record of an instance that has heard nobody yet.
    pub fn new<N>(now: Instant, data_centre: N) -> Self
    where
        N: Into<Arc<str>>,
    {
        Self {
            data_centre: data_centre.into(),
            created_at: now,
            last_platform_contact: None,
            last_messages: BTreeMap::new(),
        }
    }

    /// Notes that the platform answered this instance.
    pub fn record_platform_contact(&mut self, now: Instant) {
        self.last_platform_contact = self.last_platform_contact.max(Some(now));
    }

    /// Notes a message of another instance, with the age of what it knows of the platform.
    pub fn record_message(&mut self, now: Instant, data_centre: &str, age: Option<Duration>) {
        let heard = age.and_then(|age| now.checked_sub(age));
        self.last_platform_contact = self.last_platform_contact.max(heard);
        match self.last_messages.get_mut(data_centre) {
            Some(last) => *last = now.max(*last),
            None => drop(self.last_messages.insert(data_centre.into(), now)),
        }
    }

    /// Returns how long ago the platform answered this instance or one that it heard of.
    pub fn platform_age(&self, now: Instant) -> Option<Duration> {
        self.last_platform_contact
            .map(|heard| now.saturating_duration_since(heard))
    }

    /// Returns for how long a change of the configuration may have gone unheard.
    ///
    /// `data_centres` names all data centres of the configuration.
    pub fn isolation_time<'a, I>(&self, now: Instant, data_centres: I) -> Duration
    where
        I: IntoIterator<Item = &'a str>,
    {
        let others = data_centres
            .into_iter()
            .filter(|name| **name != *self.data_centre);
        let least = others
            .map(|name| self.last_messages.get(name).copied())
            .min();
        // Without other data centres there is nowhere else to hear of a change.
        let elsewhere = least.unwrap_or(Some(now));
        let covered = self
            .last_platform_contact
            .max(elsewhere)
            .unwrap_or(self.created_at);
        now.saturating_duration_since(covered)
    }
}
