//! Tracks for how long this instance may have missed changes of the configuration.
//!
//! An instance that is in contact with the platform, directly or through other instances, knows the
//! configuration. While the platform is down for all instances, the configuration can't change: an
//! instance that receives messages from every other data centre, none of which reaches the
//! platform, misses nothing. Only an instance without contact to the platform and to some other
//! data centre may be partitioned while operators revoke a key elsewhere. Operators configure how
//! long such an instance continues to serve routes that require a key.
//!
//! Probes carry the age of the sender's last platform contact, and the age keeps growing as it is
//! passed on. Two instances can therefore not refresh each other's report.
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

/// Times of the last contact with the platform and with other data centres.
#[derive(Debug)]
pub struct ContactTracker {
    data_centre: Arc<str>,
    created_at: Instant,
    last_platform_contact: Option<Instant>,
    last_messages: BTreeMap<Arc<str>, Instant>,
}

impl ContactTracker {
    /// Creates the tracker of an instance that has had no contact yet.
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

    /// Records that the platform has answered this instance.
    pub fn record_platform_contact(&mut self, now: Instant) {
        self.last_platform_contact = self.last_platform_contact.max(Some(now));
    }

    /// Records a message from an instance in `data_centre`.
    ///
    /// `age` is the age of the last platform contact that the sender knows of.
    pub fn record_message(&mut self, now: Instant, data_centre: &str, age: Option<Duration>) {
        let heard = age.and_then(|age| now.checked_sub(age));
        self.last_platform_contact = self.last_platform_contact.max(heard);
        match self.last_messages.get_mut(data_centre) {
            Some(last) => *last = now.max(*last),
            None => drop(self.last_messages.insert(data_centre.into(), now)),
        }
    }

    /// Returns the time since the platform last answered this instance or, as far as is known,
    /// another one.
    pub fn platform_age(&self, now: Instant) -> Option<Duration> {
        self.last_platform_contact
            .map(|heard| now.saturating_duration_since(heard))
    }

    /// Returns for how long this instance may have missed changes of the configuration.
    ///
    /// `data_centres` are the names of all data centres of the configuration.
    pub fn isolation_time<'a, I>(&self, now: Instant, data_centres: I) -> Duration
    where
        I: IntoIterator<Item = &'a str>,
    {
        let remote_data_centres = data_centres
            .into_iter()
            .filter(|name| **name != *self.data_centre);
        let oldest_message = remote_data_centres
            .map(|name| self.last_messages.get(name).copied())
            .min();
        // With a single data centre, no change can be made in a remote one.
        let remote_contact = oldest_message.unwrap_or(Some(now));
        let last_contact = self
            .last_platform_contact
            .max(remote_contact)
            .unwrap_or(self.created_at);
        now.saturating_duration_since(last_contact)
    }
}
