//! Positions that bound how old the data of a replica may be.
//!
//! The primary states its position with every answer. A position that it stated in answer to a
//! question asked at time `t` covers every commit that was acknowledged before `t`. A read that
//! accepts data of age `s` therefore needs a log with some position that was asked for within the
//! last `s`; the smallest of these is asked of the replica, so that most replicas qualify.
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
//! let mut marks = WatermarkHistory::default();
//! marks.record(at(0), Position::new(Term(1), 10));
//! marks.record(at(900), Position::new(Term(1), 40));
//! let limit = Duration::from_secs(1);
//! assert_eq!(marks.min_position(at(1_000), limit), Some(Position::new(Term(1), 10)));
//! assert_eq!(marks.min_position(at(1_500), limit), Some(Position::new(Term(1), 40)));
//! assert_eq!(marks.min_position(at(2_000), limit), None);
//! ```

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use filbertbay_state::position::Position;

/// Time by which marks are apart at least; a closer one would hardly change the bound.
const SPACING: Duration = Duration::from_millis(25);

/// Marks that are kept at most; 10 s at the closest spacing.
const MAX_MARKS: usize = 400;

/// Marks of one service, in the order in which they were asked for.
#[derive(Clone, Debug, Default)]
pub struct WatermarkHistory {
    marks: VecDeque<(Instant, Position)>,
}

impl WatermarkHistory {
    /// Notes a position that the primary stated in answer to a question asked at `asked`.
    pub fn record(&mut self, asked: Instant, position: Position) {
        let is_close = |(last, _): &(Instant, Position)| asked < *last + SPACING;
        if self.marks.back().is_some_and(is_close) {
            return;
        }
        self.marks.push_back((asked, position));
        while self.marks.len() > MAX_MARKS {
            self.marks.pop_front();
        }
    }

    /// Returns the smallest position that proves data younger than `age`.
    pub fn min_position(&self, now: Instant, age: Duration) -> Option<Position> {
        let young = |(asked, _): &&(Instant, Position)| *asked + age >= now;
        let fresh = self.marks.iter().rev().take_while(young);
        fresh.map(|(_, position)| *position).min()
    }
}
