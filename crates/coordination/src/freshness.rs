//! Watermarks that bound the staleness of reads from replicas.
//!
//! The primary returns its log position with every response. The position in the response to a
//! request sent at time `t`, a watermark, covers every commit that was acknowledged before `t`. A
//! read with a staleness limit `s` may therefore run on a replica that has applied any watermark
//! requested within the last `s`. The smallest of these is required, so that most replicas qualify.
//!
//! # Examples
//!
//! ```
//! use std::time::{Duration, Instant};
//! use filbertbay_coordination::freshness::WatermarkHistory;
//! use filbertbay_state::position::{Position, Term};
//!
//! let start = Instant::now();
//! let at = |ms| start + Duration::from_millis(ms);
//! let mut watermarks = WatermarkHistory::default();
//! watermarks.record(at(0), Position::new(Term(1), 10));
//! watermarks.record(at(900), Position::new(Term(1), 40));
//! let limit = Duration::from_secs(1);
//! assert_eq!(watermarks.min_position(at(1_000), limit), Some(Position::new(Term(1), 10)));
//! assert_eq!(watermarks.min_position(at(1_500), limit), Some(Position::new(Term(1), 40)));
//! assert_eq!(watermarks.min_position(at(2_000), limit), None);
//! ```

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use filbertbay_state::position::Position;

/// Minimum time between two watermarks; a closer one would hardly change the required position.
const MIN_INTERVAL: Duration = Duration::from_millis(25);

/// Margin by which a time on another instance's clock is dated back, for clocks that run at slightly
/// different speeds.
const CLOCK_MARGIN: Duration = Duration::from_millis(10);

/// Time since its last answer for which another instance's clock is known.
const MAX_CLOCK_AGE: Duration = Duration::from_secs(10);

/// Maximum number of watermarks kept, which is 10 s at the minimum interval.
const MAX_WATERMARKS: usize = 400;

/// Recent watermarks of one service, in the order of their requests.
#[derive(Clone, Debug, Default)]
pub struct WatermarkHistory {
    watermarks: VecDeque<(Instant, Position)>,
}

impl WatermarkHistory {
    /// Records the position in the primary's response to a request sent at `asked`.
    ///
    /// A watermark less than 25 ms after the last recorded one is dropped.
    pub fn record(&mut self, asked: Instant, position: Position) {
        let is_close = |(last, _): &(Instant, Position)| asked < *last + MIN_INTERVAL;
        if self.watermarks.back().is_some_and(is_close) {
            return;
        }
        self.watermarks.push_back((asked, position));
        while self.watermarks.len() > MAX_WATERMARKS {
            self.watermarks.pop_front();
        }
    }

    /// Returns the smallest position that proves data at most `age` old at `now`.
    ///
    /// Returns `None` if no watermark is recent enough.
    pub fn min_position(&self, now: Instant, age: Duration) -> Option<Position> {
        let is_recent = |(asked, _): &&(Instant, Position)| *asked + age >= now;
        let recent = self.watermarks.iter().rev().take_while(is_recent);
        recent.map(|(_, position)| *position).min()
    }

    /// Returns the latest watermark with the time of its request.
    pub fn latest(&self) -> Option<(Instant, Position)> {
        self.watermarks.back().copied()
    }
}

/// Lower bound of another instance's clock.
///
/// A watermark that is passed on must not become younger than it is, or it would claim to cover
/// commits that came after it. The time that a message spends on the way is unknown, so an instance
/// that reports a watermark states it on the receiver's clock: the receiver's last answer carried
/// the time of that clock, which can only have advanced since.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use filbertbay_coordination::freshness::RemoteClock;
///
/// let received_at = Instant::now();
/// let clock = RemoteClock::new(received_at, Duration::from_secs(7));
/// let asked = received_at + Duration::from_millis(300);
/// assert_eq!(clock.not_later_than(asked), Some(Duration::from_millis(7_290)));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RemoteClock {
    received_at: Instant,
    remote: Duration,
}

impl RemoteClock {
    /// Creates a bound from an answer that was received at `received_at` and carried the time
    /// `remote` of the other instance's clock.
    pub fn new(received_at: Instant, remote: Duration) -> Self {
        Self {
            received_at,
            remote,
        }
    }

    /// Returns a time on the other clock that is not later than `at`, or `None` if the answer is too
    /// old or the other clock had not started.
    pub fn not_later_than(&self, at: Instant) -> Option<Duration> {
        let since = at.saturating_duration_since(self.received_at);
        let before = self.received_at.saturating_duration_since(at);
        if since > MAX_CLOCK_AGE || before > MAX_CLOCK_AGE {
            return None;
        }
        (self.remote + since).checked_sub(before + CLOCK_MARGIN)
    }
}
