//! Seats: equal shares of a member's connection limit, each held by one instance at a time.
//!
//! A member accepts a fixed number of connections. Some are reserved for control connections; the
//! rest is divided into equal seats. An instance holds seat `i` while one of its connections to the
//! member holds advisory lock `i` there. The member thus arbitrates between instances, and a crash
//! of the holder releases the seat together with its connections. Instances without a seat forward
//! statements to an instance that holds one.
//!
//! The connection that holds the lock counts towards the seat. When that connection ends, the
//! holder closes the other connections of the seat at once. The next holder opens its own only
//! after [`Config::settle_delay`], so that both together do not exceed the member's limit.
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

/// Connections of a member that are reserved for control; fewer for a member that accepts less
/// than 16.
const MAX_RESERVED_CONNECTIONS: u32 = 10;

/// Fewest connections per seat of a member with several seats: one that holds the lock, and two
/// that run statements.
const MIN_CONNECTIONS_PER_SEAT: u32 = 3;

/// Maximum number of seats of a member.
const MAX_SEATS: u32 = 3;

/// Division of a member's connections into seats.
///
/// The plan depends only on the configured number of connections, so all instances compute the
/// same one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Plan {
    seats: u32,
    connections_per_seat: u32,
}

impl Plan {
    /// Creates the plan for a member that accepts `connections` connections in total.
    ///
    /// A member that accepts fewer than three connections has no seat.
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
        let reserved = MAX_RESERVED_CONNECTIONS.min(connections * 5 / 8);
        let available = connections - reserved;
        let seats =
            (available / MIN_CONNECTIONS_PER_SEAT).clamp(u32::from(available > 1), MAX_SEATS);
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

    /// Returns the number of connections per seat, including the one that holds the lock.
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
    /// Sets the time between the grant of the lock and the first use of the seat's connections.
    #[must_use]
    pub fn settle_delay(mut self, settle_delay: Duration) -> Self {
        self.settle_delay = settle_delay;
        self
    }

    /// Sets the time after which an instance without a seat requests one again.
    #[must_use]
    pub fn retry_interval(mut self, retry_interval: Duration) -> Self {
        self.retry_interval = retry_interval;
        self
    }

    /// Sets the additional delay per rank before the first request.
    #[must_use]
    pub fn stagger_per_rank(mut self, stagger_per_rank: Duration) -> Self {
        self.stagger_per_rank = stagger_per_rank;
        self
    }
}

/// Input to [`Decider::on_event`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The member replied to a lock request.
    LockReply {
        /// Seat whose lock was requested.
        seat: u32,
        /// Whether the lock was granted.
        granted: bool,
    },
    /// The connection that requests and holds the lock has ended.
    LockConnectionLost,
    /// The deadline returned by [`Decider::next_deadline`] has passed.
    Elapsed,
}

/// Operation that the driver must perform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Request the advisory lock of this seat, without waiting for it.
    TryLock(u32),
    /// Open at most this many connections for statements.
    OpenConnections(u32),
    /// Close all connections of the seat at once.
    CloseConnections,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// Neither holds nor requests a lock; sends the next request at this time.
    Waiting(Instant),
    /// Requests the lock of `seat`; tries the seats in order, starting at `first`.
    Requesting { first: u32, seat: u32 },
    /// Holds the lock; may use the seat's connections from this time.
    Settling(Instant),
    /// Holds the lock and uses the seat's connections.
    Open,
}

/// State machine that decides when an instance requests a seat of one member and when it may use
/// the seat's connections.
#[derive(Debug)]
pub struct Decider {
    config: Config,
    plan: Plan,
    rank: u32,
    state: State,
}

impl Decider {
    /// Creates the decider of the instance whose zero-based rank for the member is `rank`.
    pub fn new(config: Config, plan: Plan, rank: u32, now: Instant) -> Self {
        let state = State::Waiting(now + config.stagger_per_rank * rank);
        Self {
            config,
            plan,
            rank,
            state,
        }
    }

    /// Returns true if the connections of a seat may be used.
    pub fn is_open(&self) -> bool {
        self.state == State::Open
    }

    /// Returns true if neither a lock is held nor a lock request is in flight.
    pub fn is_waiting(&self) -> bool {
        matches!(self.state, State::Waiting(_))
    }

    /// Handles an event and returns the resulting operations.
    pub fn on_event(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match (self.state, event) {
            (State::Waiting(until), Event::Elapsed) if now >= until => self.request(now),
            (
                State::Requesting { first, seat },
                Event::LockReply {
                    seat: replied,
                    granted,
                },
            ) => self.on_lock_reply(now, first, seat, replied, granted),
            (State::Settling(until), Event::Elapsed) if now >= until => {
                self.state = State::Open;
                // One connection of the seat holds the lock.
                vec![Action::OpenConnections(self.plan.connections_per_seat - 1)]
            }
            (state, Event::LockConnectionLost) => self.on_lock_connection_lost(now, state),
            _ => Vec::new(),
        }
    }

    /// Returns the time at which [`Event::Elapsed`] is due, or `None` if only another event can
    /// change the state.
    pub fn next_deadline(&self) -> Option<Instant> {
        match self.state {
            State::Waiting(until) | State::Settling(until) => Some(until),
            State::Requesting { .. } | State::Open => None,
        }
    }

    fn request(&mut self, now: Instant) -> Vec<Action> {
        if self.plan.seats == 0 {
            self.state = State::Waiting(now + self.config.retry_interval);
            return Vec::new();
        }
        let first = self.rank % self.plan.seats;
        self.state = State::Requesting { first, seat: first };
        vec![Action::TryLock(first)]
    }

    fn on_lock_reply(
        &mut self,
        now: Instant,
        first: u32,
        seat: u32,
        replied: u32,
        granted: bool,
    ) -> Vec<Action> {
        if replied != seat {
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
        self.state = State::Requesting { first, seat: next };
        vec![Action::TryLock(next)]
    }

    fn on_lock_connection_lost(&mut self, now: Instant, state: State) -> Vec<Action> {
        self.state = State::Waiting(now + self.config.retry_interval);
        if state == State::Open {
            vec![Action::CloseConnections]
        } else {
            Vec::new()
        }
    }
}
