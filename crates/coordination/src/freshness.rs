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
}
