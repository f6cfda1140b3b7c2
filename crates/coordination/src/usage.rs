//! Usage reports: the statements of each workspace in each window of the wall clock, over all instances.
//!
//! Times are durations since the Unix epoch, on the caller's estimate of true time. Window `k` begins
//! at `k` times the window length.
//!
//! Every instance has a [`Meter`] and pushes its counts to the one instance that reports, which sums
//! them in a [`Collector`]. Once a window is complete or has to be reported, its counts are sealed in
//! the [`Record`] that the store keeps. Only sealed counts are reported, so that a report that is
//! repeated, by whichever instance, has the same counts.
//!
//! # Examples
//!
//! ```
//! use std::time::Duration;
//! use filbertbay_coordination::usage::{Collector, Meter, Schedule};
//!
//! let schedule = Schedule::new(Duration::from_secs(5), Duration::from_secs(10));
//! let now = Duration::from_secs(1_000);
//! let mut meter = Meter::new(schedule, now);
//! meter.count(now, "shop");
//! let push = meter.push("quimper-1", 7, 40, now + Duration::from_secs(6));
//!
//! let mut collector = Collector::new(schedule);
//! collector.receive(&push);
//! let counts = collector.seal(200, now + Duration::from_secs(6), [("quimper-1", 7)]);
//! assert_eq!(counts.unwrap().counts["shop"], 1);
//! ```

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Time after the end of a window from which an instance calls its counts complete, so that refusals of
/// statements that were sent at the end have arrived.
const CLOSE_DELAY: Duration = Duration::from_millis(500);

/// A window that lacks counts of some instance is sealed at the latest after the time that a report
/// may take, divided by this. The rest is left for a successor of the reporter.
const WAIT_DIVISOR: u32 = 2;

/// Windows that a record keeps while their reports are not accepted.
const MAX_SEALED: usize = 60;

/// Deviation from the median clock, in milliseconds, above which a clock is corrected. Calls between
/// instances take less, also on a busy machine.
const MIN_CLOCK_ERROR_MS: i64 = 400;

/// Clocks that must be known for a correction.
const MIN_CLOCKS: usize = 3;

/// Number of statements by workspace.
pub type Counts = BTreeMap<Arc<str>, u64>;

/// Length of the windows and time until which one must be reported.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Schedule {
    length: Duration,
    lateness: Duration,
}

impl Schedule {
    /// Creates a schedule of windows of `length` that are reported within `lateness` after their end.
    pub fn new(length: Duration, lateness: Duration) -> Self {
        let length = length.max(Duration::from_millis(1));
        Self { length, lateness }
    }

    /// Returns the window that `now` lies in.
    pub fn window_at(&self, now: Duration) -> u64 {
        u64::try_from(now.as_millis() / self.length.as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the end of a window.
    pub fn end(&self, window: u64) -> Duration {
        let length_ms = u64::try_from(self.length.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(length_ms.saturating_mul(window.saturating_add(1)))
    }

    /// Returns the time at which the report of a window is due.
    pub fn due(&self, window: u64) -> Duration {
        self.end(window).saturating_add(self.lateness)
    }

    /// Returns the last window whose counts are complete at an instance that is at `now`, or `None` if
    /// there is none.
    fn closed_through(&self, now: Duration) -> Option<u64> {
        self.window_at(now.checked_sub(CLOSE_DELAY)?).checked_sub(1)
    }
}

/// Counts that an instance pushes to the one that reports.
///
/// The counts of a window are totals and not increments, so that a push may be lost or repeated.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Push {
    /// Instance that counted.
    pub instance: Arc<str>,
    /// Incarnation of the instance.
    pub incarnation: u64,
    /// Number that grows with each push of the incarnation.
    pub sequence: u64,
    /// Fencing token of the reporter that the push is for.
    pub fence: u64,
    /// Time at which the push was made, on the instance's estimate.
    pub now: Duration,
    /// Last window whose counts don't change any more.
    pub complete_through: Option<u64>,
    /// Totals of the windows whose counts the reporter does not know yet.
    pub windows: Vec<(u64, Counts)>,
}

/// Statement that was counted in a window.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Counted(u64);

/// Counts of one window at one instance.
#[derive(Clone, Debug, Default)]
struct Tally {
    counts: Counts,
    /// Sequence number of the first push that has the present counts.
    changed_at: u64,
}

/// Counts statements of one incarnation of an instance, until they are sealed.
#[derive(Clone, Debug)]
pub struct Meter {
    schedule: Schedule,
    windows: BTreeMap<u64, Tally>,
    /// Windows up to this one are sealed.
    sealed_through: u64,
    sequence: u64,
    /// Reporter that acknowledged pushes, by its fencing token, and the last one that it acknowledged.
    acknowledged: (u64, u64),
    acknowledged_complete: Option<u64>,
}

impl Meter {
    /// Creates a meter that begins at `now`.
    pub fn new(schedule: Schedule, now: Duration) -> Self {
        Self {
            schedule,
            windows: BTreeMap::new(),
            sealed_through: schedule.window_at(now).saturating_sub(1),
            sequence: 1,
            acknowledged: (0, 0),
            acknowledged_complete: None,
        }
    }

    /// Counts a statement that is sent to an endpoint at `now`.
    pub fn count(&mut self, now: Duration, workspace: &str) -> Counted {
        let window = self.schedule.window_at(now);
        let tally = self.windows.entry(window).or_default();
        match tally.counts.get_mut(workspace) {
            Some(count) => *count += 1,
            None => {
                tally.counts.insert(workspace.into(), 1);
            }
        }
        tally.changed_at = self.sequence;
        Counted(window)
    }

    /// Takes back a statement that its endpoint did not run. Ignored once its window is sealed.
    pub fn retract(&mut self, counted: Counted, workspace: &str) {
        let Some(tally) = self.windows.get_mut(&counted.0) else {
            return;
        };
        if let Some(count) = tally.counts.get_mut(workspace) {
            *count = count.saturating_sub(1);
            tally.changed_at = self.sequence;
        }
    }

    /// Forgets the windows up to `window`, whose counts are sealed.
    pub fn forget_through(&mut self, window: u64) {
        self.windows.retain(|known, _| *known > window);
        self.sealed_through = self.sealed_through.max(window);
    }

    /// Returns whether the reporter with the fencing token lacks counts of windows that are complete.
    pub fn is_behind(&self, fence: u64, now: Duration) -> bool {
        let complete = self.schedule.closed_through(now);
        let acknowledged = (self.acknowledged.0 == fence)
            .then_some(self.acknowledged_complete)
            .flatten();
        complete > acknowledged
    }

    /// Returns what the reporter with the fencing token does not know yet.
    pub fn push(&mut self, instance: &str, incarnation: u64, fence: u64, now: Duration) -> Push {
        let known = if self.acknowledged.0 == fence {
            self.acknowledged.1
        } else {
            0
        };
        let sequence = self.sequence;
        self.sequence += 1;
        let changed = self.windows.iter();
        let changed = changed.filter(|(_, tally)| tally.changed_at > known);
        Push {
            instance: instance.into(),
            incarnation,
            sequence,
            fence,
            now,
            complete_through: self.schedule.closed_through(now),
            windows: changed
                .map(|(window, tally)| (*window, tally.counts.clone()))
                .collect(),
        }
    }

    /// Records that the reporter has the counts of a push.
    pub fn acknowledge(&mut self, push: &Push) {
        let (fence, known) = self.acknowledged;
        if fence == push.fence {
            self.acknowledged.1 = known.max(push.sequence);
            self.acknowledged_complete = self.acknowledged_complete.max(push.complete_through);
        } else {
            self.acknowledged = (push.fence, push.sequence);
            self.acknowledged_complete = push.complete_through;
        }
    }
}

/// Counts of a window as they are reported.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SealedWindow {
    /// Number of the window.
    pub window: u64,
    /// Statements of each workspace.
    pub counts: Counts,
}

/// Seal of a window, with the instances whose counts it may lack.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Seal {
    /// Statements of each workspace.
    pub counts: Counts,
    /// Instances that did not say in time that their counts are complete.
    pub missing: Vec<Arc<str>>,
}

/// What the reporter knows of one incarnation of an instance.
#[derive(Clone, Debug, Default)]
struct Source {
    sequence: u64,
    complete_through: Option<u64>,
    windows: BTreeMap<u64, Counts>,
}

/// Sums the counts of all instances at the one that reports.
#[derive(Clone, Debug)]
pub struct Collector {
    schedule: Schedule,
    /// Time before which no window is sealed without the counts of a live instance.
    incomplete_from: Duration,
    sources: BTreeMap<(Arc<str>, u64), Source>,
}

impl Collector {
    /// Creates a collector that knows no counts.
    pub fn new(schedule: Schedule) -> Self {
        Self {
            schedule,
            incomplete_from: Duration::ZERO,
            sources: BTreeMap::new(),
        }
    }

    /// Seals no window without the counts of a live instance before this time.
    ///
    /// A collector that has just begun knows no counts, and all instances push theirs again to it.
    #[must_use]
    pub fn incomplete_from(mut self, time: Duration) -> Self {
        self.incomplete_from = time;
        self
    }

    /// Adds what an instance pushed. A push that is repeated or overtaken by a later one changes nothing.
    pub fn receive(&mut self, push: &Push) {
        let key = (Arc::clone(&push.instance), push.incarnation);
        let source = self.sources.entry(key).or_default();
        if push.sequence <= source.sequence {
            return;
        }
        source.sequence = push.sequence;
        source.complete_through = source.complete_through.max(push.complete_through);
        source.windows.extend(push.windows.iter().cloned());
    }

    /// Returns the counts of a window if they are complete, or if it can't wait any longer.
    ///
    /// They are complete once each of the `live` instances, given with its incarnation, has said so.
    /// Counts of incarnations that are not live any more are part of the sum.
    pub fn seal<'a, I>(&self, window: u64, now: Duration, live: I) -> Option<Seal>
    where
        I: IntoIterator<Item = (&'a str, u64)>,
    {
        let end = self.schedule.end(window);
        if now < end + CLOSE_DELAY {
            return None;
        }
        let is_missing = |(name, incarnation): &(&str, u64)| {
            let source = self.sources.get(&(Arc::from(*name), *incarnation));
            source.is_none_or(|source| source.complete_through < Some(window))
        };
        let missing = live.into_iter().filter(is_missing);
        let missing: Vec<Arc<str>> = missing.map(|(name, _)| name.into()).collect();
        let wait_until = end + self.schedule.lateness / WAIT_DIVISOR;
        if !missing.is_empty() && now < wait_until.max(self.incomplete_from) {
            return None;
        }
        let mut counts = Counts::new();
        let parts = self.sources.values();
        for (workspace, count) in parts
            .filter_map(|source| source.windows.get(&window))
            .flatten()
            .filter(|(_, count)| **count > 0)
        {
            *counts.entry(Arc::clone(workspace)).or_default() += count;
        }
        Some(Seal { counts, missing })
    }

    /// Forgets the windows up to `window`, and incarnations that are neither live nor known to have counts.
    pub fn forget_through<F>(&mut self, window: u64, is_live: F)
    where
        F: Fn(&str, u64) -> bool,
    {
        self.sources.retain(|(name, incarnation), source| {
            source.windows.retain(|known, _| *known > window);
            !source.windows.is_empty() || is_live(name, *incarnation)
        });
    }
}

/// Stored record of the windows that were sealed.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Last window that was sealed; all before it are sealed or given up.
    pub sealed_through: u64,
    /// Windows that may not have been accepted yet, oldest first.
    pub unreported: Vec<SealedWindow>,
}

impl Record {
    /// Returns the record before any window was sealed, if the first reporter begins at `now`.
    pub fn starting_at(schedule: Schedule, now: Duration) -> Self {
        Self {
            sealed_through: schedule.window_at(now).saturating_sub(1),
            unreported: Vec::new(),
        }
    }

    /// Returns the record with one more window, without those that `is_reported`, and how many windows
    /// were dropped because too many are waiting.
    #[must_use]
    pub fn with<F>(&self, sealed: SealedWindow, is_reported: F) -> (Self, usize)
    where
        F: Fn(u64) -> bool,
    {
        let waiting = self.unreported.iter();
        let waiting = waiting.filter(|sealed| !is_reported(sealed.window));
        let mut unreported: Vec<SealedWindow> = waiting.cloned().collect();
        let sealed_through = sealed.window.max(self.sealed_through);
        unreported.push(sealed);
        let dropped = unreported.len().saturating_sub(MAX_SEALED);
        unreported.drain(..dropped);
        let record = Self {
            sealed_through,
            unreported,
        };
        (record, dropped)
    }

    /// Returns the window to be sealed next. After a long time without a reporter the windows that are
    /// overdue by more than the record can hold are passed over.
    pub fn next_window(&self, schedule: Schedule, now: Duration) -> u64 {
        let oldest = schedule.window_at(now).saturating_sub(MAX_SEALED as u64);
        (self.sealed_through + 1).max(oldest)
    }
}

/// Differences between the instances' estimates of true time, in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct Clocks {
    offsets: BTreeMap<Arc<str>, i64>,
}

impl Clocks {
    /// Records how far the clock of an instance is ahead of this one's.
    pub fn record(&mut self, instance: &str, offset_ms: i64) {
        self.offsets.insert(instance.into(), offset_ms);
    }

    /// Forgets the clocks of instances for which `is_live` returns false.
    pub fn retain<F>(&mut self, is_live: F)
    where
        F: Fn(&str) -> bool,
    {
        self.offsets.retain(|name, _| is_live(name));
    }

    /// Returns by how many milliseconds a clock that is ahead by `offset_ms` has to be set back to show
    /// the median of all clocks; zero if it deviates little or few clocks are known.
    pub fn error(&self, offset_ms: i64) -> i64 {
        if self.offsets.len() < MIN_CLOCKS {
            return 0;
        }
        let mut offsets: Vec<i64> = self.offsets.values().copied().collect();
        // This instance's own clock takes part.
        offsets.push(0);
        offsets.sort_unstable();
        let error = offset_ms - offsets[offsets.len() / 2];
        if error.abs() < MIN_CLOCK_ERROR_MS {
            return 0;
        }
        error
    }

    /// Adapts to a correction of this instance's own clock, which was set back by `error_ms`.
    pub fn set_back(&mut self, error_ms: i64) {
        for offset in self.offsets.values_mut() {
            *offset += error_ms;
        }
    }
}
