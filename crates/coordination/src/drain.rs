//! Deadlines of the graceful shutdown of one instance.
//!
//! A shutdown starts with a signal and ends, after the grace period, with a kill. The [`Schedule`]
//! divides the grace period so that no request is cut:
//!
//! 1. Callers are accepted until [`Schedule::accept_until`], because the load balancer needs some
//!    health checks to notice.
//! 2. From [`Schedule::close_from`] on, a session is closed together with the answer to its last
//!    statement, or once it has been idle for a while. A session that never pauses is therefore
//!    closed as well, at a moment at which it has no statement outstanding.
//! 3. Transactions begin until [`Schedule::begin_until`], which leaves them the rest of the time to
//!    commit.
//! 4. A statement that can't be expected to end by [`Schedule::answers_until`] is refused without
//!    being run. One that runs until then gets an answer that leaves its outcome open, and a
//!    transaction that is open then is rolled back.
//! 5. The process ends at [`Schedule::exit_at`].
//!
//! # Examples
//!
//! ```
//! use std::time::{Duration, Instant};
//! use filbertbay_coordination::drain::Schedule;
//!
//! let now = Instant::now();
//! let schedule = Schedule::new(now, Duration::from_secs(6));
//! assert!(!schedule.closes_after_answer(now));
//! assert!(schedule.closes_after_answer(now + Duration::from_secs(3)));
//! assert!(schedule.exit_at() < now + Duration::from_secs(6));
//! ```

use std::time::{Duration, Instant};

/// Longest time after the signal during which new callers are accepted.
const MAX_ACCEPT_TIME: Duration = Duration::from_secs(3);

/// Longest time from the signal until sessions are closed. By then the load balancer has stopped
/// sending callers to the instance.
const MAX_CLOSE_DELAY: Duration = Duration::from_millis(2_600);

/// Time without a statement before a session is closed that was not closed with an answer, so that a
/// caller that was just answered or accepted can send its next statement.
const MIN_IDLE_BEFORE_CLOSE: Duration = Duration::from_millis(250);

/// Part of the grace period, at its end, in which no statement runs any more.
const FINAL_DIVISOR: u32 = 6;

/// Longest time at the end of the grace period in which no statement runs any more.
const MAX_FINAL_TIME: Duration = Duration::from_secs(1);

/// Part of the final time that is left for the delivery of the last answers.
const DELIVERY_DIVISOR: u32 = 5;

/// Deadlines of a shutdown, derived from its start and the grace period.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Schedule {
    started_at: Instant,
    grace: Duration,
}

impl Schedule {
    /// Creates the schedule of a shutdown that started at `started_at` and is followed by a kill after
    /// `grace`.
    pub fn new(started_at: Instant, grace: Duration) -> Self {
        Self { started_at, grace }
    }

    /// Returns the time until which new callers are accepted.
    pub fn accept_until(&self) -> Instant {
        self.started_at + MAX_ACCEPT_TIME.min(self.grace / 2)
    }

    /// Returns the time from which sessions without an open transaction are closed.
    pub fn close_from(&self) -> Instant {
        self.started_at + MAX_CLOSE_DELAY.min(self.grace / 2)
    }

    /// Returns the time until which transactions may begin.
    pub fn begin_until(&self) -> Instant {
        self.started_at + self.grace / 2
    }

    /// Returns the time by which every statement is answered and every transaction has ended.
    pub fn answers_until(&self) -> Instant {
        self.started_at + self.grace.saturating_sub(self.final_time())
    }

    /// Returns the time at which the process ends.
    pub fn exit_at(&self) -> Instant {
        self.answers_until() + self.final_time() / DELIVERY_DIVISOR
    }

    /// Returns how long the process may take for its last calls after [`Schedule::exit_at`].
    pub fn exit_time(&self) -> Duration {
        self.final_time() / 2
    }

    fn final_time(&self) -> Duration {
        MAX_FINAL_TIME.min(self.grace / FINAL_DIVISOR)
    }

    /// Returns the time at which a session is closed that has been idle since `idle_since`, without an
    /// open transaction.
    pub fn close_idle_at(&self, idle_since: Instant) -> Instant {
        self.close_from().max(idle_since + MIN_IDLE_BEFORE_CLOSE)
    }

    /// Returns true if a session is closed together with an answer that it gets at `now`.
    pub fn closes_after_answer(&self, now: Instant) -> bool {
        now >= self.close_from()
    }

    /// Returns true if a statement that arrives at `now` can be expected to be answered in time.
    /// `objective` is the latency objective of its route.
    pub fn can_answer(&self, now: Instant, objective: Duration) -> bool {
        now < self.close_from() || now + objective < self.answers_until()
    }

    /// Returns true if a transaction may begin at `now`.
    pub fn can_begin(&self, now: Instant) -> bool {
        now < self.begin_until()
    }
}
