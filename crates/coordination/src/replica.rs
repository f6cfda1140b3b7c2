//! Chooses the member that a read runs on.
//!
//! A replica serves a read if it has applied the session's floor, or, where the read accepts data
//! of a stated age, if it is known to be young enough. Among those the members of the caller's own
//! data centre come first, and of these the less loaded of two random ones. If a replica is about
//! to reach the floor, a short wait keeps the read away from the primary.
//!
//! Age is counted from [marks](crate::view::Watermark), not from the time since a replica heard from its
//! primary: a replica of an isolated primary hears from it all the time.
//!
//! # Examples
//!
//! ```
//! use std::time::Instant;
//!
//! use filbertbay_coordination::replica::{self, Choice, Config, Read};
//! use filbertbay_coordination::session::Need;
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
//! let read = Read { need: Need::default(), staleness: None, since: Instant::now() };
//! let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
//! let now = Instant::now();
//! let choice = replica::choose(&Config::default(), &view, &read, now, "nantes", &[], &mut rng);
//! assert_eq!(choice, Choice::Nobody);
//! ```

use std::time::{Duration, Instant};

use filbertbay_state::document::Availability;
use filbertbay_state::status::Role;
use rand::Rng;
use strum::{Display, EnumString};

use crate::session::Need;
use crate::view::{Group, Member};

/// How a member is picked among those that may serve a read.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Policy {
    /// The one that was given the fewest statements so far, which takes turns.
    RoundRobin,
    /// The one with the fewest statements in flight.
    LeastInFlight,
    /// The cheaper of two random ones by latency and statements in flight.
    #[default]
    TwoChoices,
}

/// Options of [`choose`].
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
    /// Sets how a member is picked.
    #[must_use]
    pub fn policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Sets how long a read waits at most for a replica before it goes to the primary.
    #[must_use]
    pub fn max_wait(mut self, wait: Duration) -> Self {
        self.max_wait = wait;
        self
    }
}

/// Load of a member as this instance sees it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Statements that this instance has started there so far.
    pub started: u64,
    /// Statements that this instance has in flight there.
    pub in_flight: u32,
    /// Moving average of the time a statement takes there.
    pub latency: Duration,
}

impl Load {
    /// Returns the time that another statement is likely to take.
    fn cost(self) -> u128 {
        let latency = self.latency.max(Duration::from_micros(1));
        latency.as_nanos() * (u128::from(self.in_flight) + 1)
    }
}

/// What a read asks for.
#[derive(Clone, Copy, Debug)]
pub struct Read<'a> {
    /// What the session has seen of the group.
    pub need: Need<'a>,
    /// Age of data that the read accepts, if the caller or the route states one.
    pub staleness: Option<Duration>,
    /// When the read arrived.
    pub since: Instant,
}

/// Where a read runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// Run on this replica.
    Replica(usize),
    /// Run on the primary of the view's term.
    Primary(usize),
    /// Choose again when the view changes, at the latest at this moment.
    Wait(Instant),
    /// Have the primary's position confirmed, raise the floor to it and choose again.
    Confirm(usize),
    /// No member that is known can serve the read.
    Nobody,
}

/// Chooses where a read runs.
///
/// `load` is indexed by member; a member without an entry counts as idle.
pub fn choose<R>(
    config: &Config,
    view: &Group,
    read: &Read<'_>,
    now: Instant,
    data_centre: &str,
    load: &[Load],
    rng: &mut R,
) -> Choice
where
    R: Rng,
{
    if let Some(member) = stay(view, read, now) {
        return direct(view, member);
    }
    let is_bound = read.need.member.is_none();
    let is_known = read.need.floor.is_some() || read.staleness.is_some();
    if !(is_bound && is_known) {
        return arrive(view);
    }
    let fresh = |index: &usize| serves(view, *index, read, now);
    let candidates: Vec<usize> = (0..view.members.len()).filter(fresh).collect();
    match pick(config.policy, view, &candidates, data_centre, load, rng) {
        Some(member) => Choice::Replica(member),
        None => fall_back(config, view, read, now),
    }
}

/// Returns the member of the last read if its upper bound is unknown and it may serve again.
fn stay(view: &Group, read: &Read<'_>, now: Instant) -> Option<usize> {
    let member = view.member(&read.need.member?.name)?;
    let is_primary = view.primary == Some(member);
    let is_fresh = serves(view, member, read, now);
    let is_known = read.need.floor.is_some() || read.staleness.is_some();
    let holds_floor = is_primary && read.need.floor.is_some_and(|f| f.term <= view.term);
    (is_known && (is_fresh || holds_floor)).then_some(member)
}

fn direct(view: &Group, member: usize) -> Choice {
    if view.primary == Some(member) {
        Choice::Primary(member)
    } else {
        Choice::Replica(member)
    }
}

fn arrive(view: &Group) -> Choice {
    view.primary.map_or(Choice::Nobody, Choice::Confirm)
}

/// Tells whether a replica may serve a read.
fn serves(view: &Group, index: usize, read: &Read<'_>, now: Instant) -> bool {
    let member = &view.members[index];
    let is_replica = view.primary != Some(index);
    if !is_replica || member.availability == Availability::Out {
        return false;
    }
    // A member that believes it leads may hold writes that no other member has.
    let observation = member
        .observation
        .filter(|seen| seen.status.role == Role::Replica);
    let Some(observation) = observation else {
        return false;
    };
    let has_floor = read
        .need
        .floor
        .is_none_or(|f| observation.status.applied >= f);
    let is_young = read
        .staleness
        .is_none_or(|limit| view.data_age(index, now).is_some_and(|age| age <= limit));
    has_floor && is_young
}

fn fall_back(config: &Config, view: &Group, read: &Read<'_>, now: Instant) -> Choice {
    let until = read.since + config.max_wait;
    if now < until && is_close(view, read, until) {
        return Choice::Wait(until);
    }
    let has_floor = read.need.floor.is_none_or(|f| f.term <= view.term);
    match view.primary.filter(|_| has_floor) {
        Some(member) if is_current(view, read) => Choice::Primary(member),
        Some(member) => Choice::Confirm(member),
        None if now < until => Choice::Wait(until),
        None => Choice::Nobody,
    }
}

/// Tells whether the primary was the primary recently enough for the stated age.
fn is_current(view: &Group, read: &Read<'_>) -> bool {
    let Some(limit) = read.staleness else {
        return true;
    };
    let mark = view.watermarks.last();
    mark.is_some_and(|mark| mark.asked + limit >= read.since)
}

/// Tells whether some replica is likely to serve the read soon.
fn is_close(view: &Group, read: &Read<'_>, until: Instant) -> bool {
    let follows = |(index, member): (usize, &Member)| {
        let heard = member.observation.and_then(|o| o.status.heard);
        let is_in = member.availability == Availability::In;
        let limit = until.saturating_duration_since(read.since);
        is_in && view.primary != Some(index) && heard.is_some_and(|heard| heard <= limit)
    };
    view.members.iter().enumerate().any(follows)
}

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
        (_, [only]) => Some(*only),
        (Policy::RoundRobin, _) => pool.iter().copied().min_by_key(|m| load(*m).started),
        (Policy::LeastInFlight, _) => pool.iter().copied().min_by_key(|m| load(*m).in_flight),
        (Policy::TwoChoices, _) => {
            let first = rng.random_range(0..pool.len());
            let other = (first + rng.random_range(1..pool.len())) % pool.len();
            let pair = [pool[first], pool[other]];
            pair.into_iter().min_by_key(|member| load(*member).cost())
        }
    }
}
