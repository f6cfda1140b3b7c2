//! Calls counted by kind and second.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

/// Seconds that are kept apart; older ones count in the totals alone.
const KEPT_SECONDS: usize = 600;

/// Kind of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Kind {
    Read,
    List,
    Watch,
    Write,
    Remove,
    Lease,
    Register,
    Instances,
}

/// Calls that the stand-in has taken.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Counters {
    /// Calls since the start, by kind.
    pub totals: BTreeMap<String, u64>,
    /// Latest seconds in which calls were taken, oldest first.
    pub seconds: VecDeque<Second>,
}

/// Calls taken in one second.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// Seconds since the start of the stand-in.
    pub at: u64,
    /// Calls by kind.
    pub calls: BTreeMap<String, u64>,
}

/// Counter of the running stand-in.
#[derive(Debug)]
pub(super) struct Counter {
    start: Instant,
    counters: Counters,
}

impl Counter {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            start: now,
            counters: Counters::default(),
        }
    }

    pub(super) fn count(&mut self, now: Instant, kind: Kind) {
        let at = now.saturating_duration_since(self.start).as_secs();
        let seconds = &mut self.counters.seconds;
        if seconds.back().is_none_or(|second| second.at != at) {
            let calls = BTreeMap::new();
            seconds.push_back(Second { at, calls });
        }
        if seconds.len() > KEPT_SECONDS {
            seconds.pop_front();
        }
        if let Some(second) = seconds.back_mut() {
            *second.calls.entry(kind.to_string()).or_default() += 1;
        }
        *self.counters.totals.entry(kind.to_string()).or_default() += 1;
    }

    pub(super) fn counters(&self) -> Counters {
        self.counters.clone()
    }
}
