//! Selects the member that serves a read.
//!
//! A replica may serve a read if it has applied the session's minimum position and, if the read has
//! a staleness limit, its data is proven to be within that limit. Replicas in the caller's data
//! centre are preferred, and among these the cheaper of two random ones by default. If a replica is
//! likely to reach the minimum position soon, the read waits briefly instead of going to the
//! primary.
//!
//! Staleness is measured from [watermarks](crate::view::Watermark), not from the time since a replica
//! last heard from its primary: a replica of an isolated primary still hears from it.
//!
//! # Examples
//!
//! ```
//! use std::time::Instant;
//!
//! use filbertbay_coordination::replica::{self, Choice, Config, ReadRequest};
//! use filbertbay_coordination::session::ReadConstraint;
//! use filbertbay_coordination::view;
//! use filbertbay_state::position::Term;
//! use rand::SeedableRng;
//!
//! let view = view::Group {
//!     name: "orders".into(),
//!     term: Term(1),
//!     primary: None,
//!     members: Vec::new(),
//!     is_switching_over: false,
//!     watermarks: Vec::new(),
//! };
//! let read = ReadRequest {
//!     constraint: ReadConstraint::default(),
//!     max_staleness: None,
//!     arrived: Instant::now(),
//! };
//! let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
//! let now = Instant::now();
//! let choice = replica::choose(&Config::default(), &view, &read, now, "nantes", &[], &mut rng);
//! assert_eq!(choice, Choice::Unavailable);
//! ```

use std::time::{Duration, Instant};

use filbertbay_state::document::Availability;
use filbertbay_state::status::Role;
use rand::Rng;
use strum::{Display, EnumString};

use crate::session::ReadConstraint;
use crate::view::{Group, Member};

/// Load balancing policy among the members that may serve a read.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Policy {
    /// The member to which the fewest statements were sent so far, so that members take turns.
    RoundRobin,
    /// The member with the fewest statements in flight.
    LeastInFlight,
    /// The cheaper of two random members by latency and statements in flight.
    #[default]
    TwoChoices,
}

/// Configuration of [`choose`].
#[derive(Clone, Copy, Debug)]
pub struct Config {
    policy: Policy,
    max_wait: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            policy: Policy::default(),
            max_wait: Duration::from_millis(20),
        }
    }
}

impl Config {
    /// Sets the load balancing policy.
    #[must_use]
    pub fn policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Sets the longest time that a read waits for a replica before it goes to the primary.
    #[must_use]
    pub fn max_wait(mut self, wait: Duration) -> Self {
        self.max_wait = wait;
        self
    }
}

/// Load of a member as observed by this instance.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Total number of statements that this instance has sent to the member.
    pub started: u64,
    /// Statements that this instance has in flight to the member.
    pub in_flight: u32,
    /// Moving average of the member's response time.
    pub latency: Duration,
}

impl Load {
    /// Returns the expected response time of another statement, in nanoseconds.
    fn cost(self) -> u128 {
        let latency = self.latency.max(Duration::from_micros(1));
        latency.as_nanos() * (u128::from(self.in_flight) + 1)
    }
}

/// Read to be routed to a member.
#[derive(Clone, Copy, Debug)]
pub struct ReadRequest<'a> {
    /// Condition from the session's earlier reads and writes.
    pub constraint: ReadConstraint<'a>,
    /// Staleness limit of the read, if the caller or the route sets one.
    pub max_staleness: Option<Duration>,
    /// Time at which the read arrived.
    pub arrived: Instant,
}

/// Result of [`choose`]; the indices refer to [`Group::members`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// Run the read on this replica.
    Replica(usize),
    /// Run the read on the primary of the view's term.
    Primary(usize),
    /// Choose again when the view changes, or at this time at the latest.
    WaitUntil(Instant),
    /// Have the primary's position confirmed, raise the session's minimum position to it and choose
    /// again.
    ConfirmPrimary(usize),
    /// No known member can serve the read.
    Unavailable,
}

/// Selects the member that serves a read.
///
/// `data_centre` is the data centre of the caller. `load` is indexed by member; a member without an
/// entry counts as idle.
pub fn choose<R>(
    config: &Config,
    view: &Group,
    read: &ReadRequest<'_>,
    now: Instant,
    data_centre: &str,
    load: &[Load],
    rng: &mut R,
) -> Choice
where
    R: Rng,
{
    if let Some(member) = pinned_member(view, read, now) {
        return choice_for(view, member);
    }
    let is_unpinned = read.constraint.pinned.is_none();
    let has_bound = read.constraint.min_position.is_some() || read.max_staleness.is_some();
    if !(is_unpinned && has_bound) {
        return confirm_primary(view);
    }
    let is_candidate = |index: &usize| can_serve(view, *index, read, now);
    let candidates: Vec<usize> = (0..view.members.len()).filter(is_candidate).collect();
    match pick(config.policy, view, &candidates, data_centre, load, rng) {
        Some(member) => Choice::Replica(member),
        None => fall_back(config, view, read, now),
    }
}

/// Returns the member that the session is pinned to, if it may serve this read.
fn pinned_member(view: &Group, read: &ReadRequest<'_>, now: Instant) -> Option<usize> {
    let member = view.member(&read.constraint.pinned?.name)?;
    let is_primary = view.primary == Some(member);
    let is_fresh = can_serve(view, member, read, now);
    let has_bound = read.constraint.min_position.is_some() || read.max_staleness.is_some();
    let covers_min_position = is_primary
        && read
            .constraint
            .min_position
            .is_some_and(|position| position.term <= view.term);
    (has_bound && (is_fresh || covers_min_position)).then_some(member)
}

fn choice_for(view: &Group, member: usize) -> Choice {
    if view.primary == Some(member) {
        Choice::Primary(member)
    } else {
        Choice::Replica(member)
    }
}

fn confirm_primary(view: &Group) -> Choice {
    view.primary
        .map_or(Choice::Unavailable, Choice::ConfirmPrimary)
}

/// Returns whether a member is a replica that may serve a read.
fn can_serve(view: &Group, index: usize, read: &ReadRequest<'_>, now: Instant) -> bool {
    let member = &view.members[index];
    let is_replica = view.primary != Some(index);
    if !is_replica || member.availability == Availability::Out {
        return false;
    }
    // A member that acts as primary without being the view's primary may have writes that no other
    // member has.
    let observation = member
        .observation
        .filter(|observation| observation.status.role == Role::Replica);
    let Some(observation) = observation else {
        return false;
    };
    let has_min_position = read
        .constraint
        .min_position
        .is_none_or(|position| observation.status.applied >= position);
    let is_within_staleness = read
        .max_staleness
        .is_none_or(|limit| view.data_age(index, now).is_some_and(|age| age <= limit));
    has_min_position && is_within_staleness
}

/// Returns the choice for a read that no replica may serve at `now`.
fn fall_back(config: &Config, view: &Group, read: &ReadRequest<'_>, now: Instant) -> Choice {
    let deadline = read.arrived + config.max_wait;
    if now < deadline && is_replica_close(view, read, deadline) {
        return Choice::WaitUntil(deadline);
    }
    let covers_min_position = read
        .constraint
        .min_position
        .is_none_or(|position| position.term <= view.term);
    match view.primary.filter(|_| covers_min_position) {
        Some(member) if is_confirmed_recently(view, read) => Choice::Primary(member),
        Some(member) => Choice::ConfirmPrimary(member),
        None if now < deadline => Choice::WaitUntil(deadline),
        None => Choice::Unavailable,
    }
}

/// Returns whether the primary was confirmed recently enough for the read's staleness limit.
fn is_confirmed_recently(view: &Group, read: &ReadRequest<'_>) -> bool {
    let Some(limit) = read.max_staleness else {
        return true;
    };
    let watermark = view.watermarks.last();
    watermark.is_some_and(|watermark| watermark.asked + limit >= read.arrived)
}

/// Returns true if some replica is likely to become able to serve the read before `deadline`. This
/// is assumed of a replica whose last contact with its primary is no older than the longest wait.
fn is_replica_close(view: &Group, read: &ReadRequest<'_>, deadline: Instant) -> bool {
    let is_in_contact = |(index, member): (usize, &Member)| {
        let contact_age = member
            .observation
            .and_then(|o| o.status.primary_contact_age);
        let is_available = member.availability == Availability::In;
        let limit = deadline.saturating_duration_since(read.arrived);
        is_available && view.primary != Some(index) && contact_age.is_some_and(|age| age <= limit)
    };
    view.members.iter().enumerate().any(is_in_contact)
}

/// Selects one of `candidates` by `policy`; candidates in the caller's data centre take precedence.
fn pick<R>(
    policy: Policy,
    view: &Group,
    candidates: &[usize],
    data_centre: &str,
    load: &[Load],
    rng: &mut R,
) -> Option<usize>
where
    R: Rng,
{
    let is_local = |index: &usize| view.members[*index].data_centre.as_ref() == data_centre;
    let local: Vec<usize> = candidates.iter().copied().filter(is_local).collect();
    let pool = if local.is_empty() { candidates } else { &local };
    let load = |index: usize| load.get(index).copied().unwrap_or_default();
    match (policy, pool) {
        (_, []) => None,
        (_, [single]) => Some(*single),
        (Policy::RoundRobin, _) => pool.iter().copied().min_by_key(|m| load(*m).started),
        (Policy::LeastInFlight, _) => pool.iter().copied().min_by_key(|m| load(*m).in_flight),
        (Policy::TwoChoices, _) => {
            let first = rng.random_range(0..pool.len());
            let second = (first + rng.random_range(1..pool.len())) % pool.len();
            let pair = [pool[first], pool[second]];
            pair.into_iter().min_by_key(|member| load(*member).cost())
        }
    }
}
