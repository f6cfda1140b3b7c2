//! Seats: parts of a member's connections, each held by one instance at a time.
//!
//! A member accepts a fixed number of connections. A reserve is kept for control connections; the
//! rest is cut into equal seats. An instance holds seat `i` while its connection to the member holds
//! advisory lock `i` there, so the member itself decides who sits, and a crash of the holder frees
//! the seat together with its connections. Instances without a seat forward over one that has one.
//!
//! The lock lives on a connection of the seat itself. When that connection ends, the holder closes
//! the others at once; the next holder opens its own only after [`Config::settle`].
//!
//! # Examples
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use filbertbay_coordination::seat::{Action, Config, Decider, Event, Plan};
//!
//! let now = Instant::now();
//! let plan = Plan::for_connections(16);
//! let mut decider = Decider::new(Config::default(), plan, 0, now);
//! assert_eq!(decider.on_event(now, Event::Elapsed), [Action::TryLock(0)]);
//! assert!(decider.on_event(now, Event::LockReply { seat: 0, granted: true }).is_empty());
//!
//! let later = now + Duration::from_secs(5);
//! let usable = plan.connections_per_seat() - 1;
//! assert_eq!(decider.on_event(later, Event::Elapsed), [Action::OpenConnections(usable)]);
//! ```

use std::time::{Duration, Instant};

/// Connections of a member that are kept for control.
const RESERVE: u32 = 10;

/// Smallest seat: the connection that holds the lock, and two that run statements.
const MIN_SEAT: u32 = 3;

/// Seats of a member at most.
const MAX_SEATS: u32 = 3;

/// How the connections of a member are cut into seats.
///
/// The plan depends on the configured number alone, so that all instances cut alike.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Plan {
    seats: u32,
    connections_per_seat: u32,
}

impl Plan {
    /// Cuts the connections that a member accepts in all.
    ///
    /// A member that accepts fewer than four connections has no seat.
    ///
    /// # Examples
    ///
    /// ```
    /// use filbertbay_coordination::seat::Plan;
    ///
    /// let plan = Plan::for_connections(37);
    /// assert_eq!((plan.seats(), plan.connections_per_seat()), (3, 9));
    /// ```
    pub fn for_connections(connections: u32) -> Self {
        let reserve = RESERVE.min(connections * 5 / 8);
        let available = connections - reserve;
        let seats = (available / MIN_SEAT).clamp(u32::from(available > 1), MAX_SEATS);
        let connections_per_seat = available.checked_div(seats).unwrap_or(0);
        Self {
            seats,
            connections_per_seat,
        }
    }

    /// Returns the number of seats.
    pub fn seats(self) -> u32 {
        self.seats
    }

    /// Returns the connections of one seat, the one that holds the lock included.
    pub fn connections_per_seat(self) -> u32 {
        self.connections_per_seat
    }
}

/// Options of a [`Decider`].
#[derive(Clone, Copy, Debug)]
pub struct Config {
    settle_delay: Duration,
    retry_interval: Duration,
    stagger_per_rank: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            settle_delay: Duration::from_millis(250),
            retry_interval: Duration::from_millis(500),
            stagger_per_rank: Duration::from_millis(150),
        }
    }
}

impl Config {
    /// Sets the time between the lock and the first connection of the seat.
    #[must_use]
    pub fn settle_delay(mut self, settle_delay: Duration) -> Self {
        self.settle_delay = settle_delay;
        self
    }

    /// Sets the time after which an instance without a seat tries again.
    #[must_use]
    pub fn retry_interval(mut self, retry_interval: Duration) -> Self {
        self.retry_interval = retry_interval;
        self
    }

    /// Sets the time by which each further rank waits longer before its first try.
    #[must_use]
    pub fn stagger_per_rank(mut self, stagger_per_rank: Duration) -> Self {
        self.stagger_per_rank = stagger_per_rank;
        self
    }
}

/// What has happened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The member answered a request for a lock.
    LockReply {
        /// Seat that was asked for.
        seat: u32,
        /// Whether the lock was given.
        granted: bool,
    },
    /// The connection that asks for locks has ended.
    LockConnectionLost,
    /// The time of [`Decider::next_deadline`] has come.
    Elapsed,
}

/// What the driver has to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Ask the member for the lock of this seat.
    TryLock(u32),
    /// Use up to this many connections for statements.
    OpenConnections(u32),
    /// Close every connection of the seat at once.
    CloseConnections,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Waiting(Instant),
    Asking { first: u32, seat: u32 },
    Settling(Instant),
    Open,
}

/// Decides when an instance asks for a seat of one member and when it may use it.
#[derive(Debug)]
pub struct Decider {
    config: Config,
    plan: Plan,
    rank: u32,
    state: State,
}

impl Decider {
    /// Creates a decider for the instance that ranks at `rank` for the member, from zero.
    pub fn new(config: Config, plan: Plan, rank: u32, now: Instant) -> Self {
        let state = State::Waiting(now + config.stagger_per_rank * rank);
        Self {
            config,
            plan,
            rank,
            state,
        }
    }

    /// Returns whether the connections of a seat may be used.
    pub fn is_open(&self) -> bool {
        self.state == State::Open
    }

    /// Returns whether neither a lock is held nor a request for one is under way.
    pub fn is_waiting(&self) -> bool {
        matches!(self.state, State::Waiting(_))
    }

    /// Takes an event and returns what follows from it.
    pub fn on_event(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match (self.state, event) {
            (State::Waiting(until), Event::Elapsed) if now >= until => self.ask(now),
            (
                State::Asking { first, seat },
                Event::LockReply {
                    seat: asked,
                    granted,
                },
            ) => self.answer(now, first, seat, asked, granted),
            (State::Settling(until), Event::Elapsed) if now >= until => {
                self.state = State::Open;
                // One connection of the seat holds the lock.
                vec![Action::OpenConnections(self.plan.connections_per_seat - 1)]
            }
            (state, Event::LockConnectionLost) => self.lose(now, state),
            _ => Vec::new(),
        }
    }

    /// Returns when the decider must be asked again, if nothing happens before.
    pub fn next_deadline(&self) -> Option<Instant> {
        match self.state {
            State::Waiting(until) | State::Settling(until) => Some(until),
            State::Asking { .. } | State::Open => None,
        }
    }

    fn ask(&mut self, now: Instant) -> Vec<Action> {
        if self.plan.seats == 0 {
            self.state = State::Waiting(now + self.config.retry_interval);
            return Vec::new();
        }
        let first = self.rank % self.plan.seats;
        self.state = State::Asking { first, seat: first };
        vec![Action::TryLock(first)]
    }

    fn answer(
        &mut self,
        now: Instant,
        first: u32,
        seat: u32,
        asked: u32,
        granted: bool,
    ) -> Vec<Action> {
        if asked != seat {
            return Vec::new();
        }
        if granted {
            self.state = State::Settling(now + self.config.settle_delay);
            return Vec::new();
        }
        let next = (seat + 1) % self.plan.seats;
        if next == first {
            self.state = State::Waiting(now + self.config.retry_interval);
            return Vec::new();
        }
        self.state = State::Asking { first, seat: next };
        vec![Action::TryLock(next)]
    }

    fn lose(&mut self, now: Instant, state: State) -> Vec<Action> {
        self.state = State::Waiting(now + self.config.retry_interval);
        if state == State::Open {
            vec![Action::CloseConnections]
        } else {
            Vec::new()
        }
    }
}
