//! Members of a service that may hold acknowledged commits.
//!
//! A service with synchronous replicas acknowledges a commit once the primary and that many replicas
//! have received it. It isn't stated which replicas these were, so every member that was listed meanwhile
//! may be one of them, also after its entry has lapsed: an entry says whether a member may be sent work,
//! not what its log holds. The [`Record`] of a service names these members. It is kept in the store, so
//! that a decider that starts later counts the same members.
//!
//! A record grows whenever an unknown member is listed. It shrinks only in two ways:
//!
//! - [`Record::settle`] drops members that have ended, once the primary and enough other members have
//!   received everything that the primary had after that.
//! - [`Record::accept_loss`] drops members whose logs an operator gives up by name.
//!
//! A process that starts again without its log is another member under the same id, with an incarnation of
//! its own ([`Record::identify`]).
//!
//! The number of synchronous replicas in a record is the least that any commit which is not proven to be
//! on enough members was acknowledged with. A lower number is recorded at once. A higher one, and the
//! end of the demand, wait for the same proof as a smaller set.
//!
//! # Examples
//!
//! ```
//! use filbertbay_coordination::succession::replica_set::{Evidence, Key, Member, Record};
//! use filbertbay_state::position::{Position, Term};
//!
//! let member = |id: &str| Member {
//!     key: Key { id: id.into(), incarnation: Some(1) },
//!     address: ([10, 1, 0, 7], 5432).into(),
//!     data_centre: "quimper".into(),
//!     slots: 2,
//!     reports: 1,
//!     is_draining: false,
//! };
//! let mut record = Record::default();
//! assert!(record.admit(1, &[member("i-0"), member("i-1"), member("i-2")]));
//! assert!(!record.admit(1, &[member("i-0")]), "a lapsed entry removes no member");
//!
//! let position = Position::new(Term(1), 8);
//! let evidence = Evidence {
//!     synchronous_replicas: 1,
//!     primary: member("i-0").key,
//!     position,
//!     received: vec![(member("i-1").key, position)],
//!     ended: [member("i-2").key].into(),
//! };
//! let settled = record.settle(&evidence).unwrap();
//! assert_eq!(settled.members.len(), 2);
//! ```

mod upkeep;

pub use self::upkeep::{DEMAND_DELAY, DRAINED_MEMBER_TIMEOUT, Step, Upkeep};

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use filbertbay_state::position::Position;
use serde::{Deserialize, Serialize};

/// Accepted losses that a record keeps; the oldest are dropped beyond that.
const MAX_ACCEPTANCES: usize = 16;

/// Identity of one log: a member, until it starts again without what it held.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Key {
    /// Identifier of the member.
    pub id: Arc<str>,
    /// Start of the process as the member states it, if it does.
    pub incarnation: Option<u64>,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.incarnation {
            Some(incarnation) => write!(f, "{}@{incarnation}", self.id),
            None => f.write_str(&self.id),
        }
    }
}

/// Member that may hold acknowledged commits, as last listed.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Identity of the member's log.
    pub key: Key,
    /// Address that the member listened on.
    pub address: SocketAddr,
    /// Data centre of the member.
    pub data_centre: Arc<str>,
    /// Statements that the member runs concurrently.
    pub slots: usize,
    /// Number of the report that is recorded here, since the start of the process.
    #[serde(default)]
    pub reports: u64,
    /// Whether the member stated that it drains, which it does before it ends as planned.
    pub is_draining: bool,
}

impl Member {
    fn is_same_entry(&self, other: &Self) -> bool {
        let other = Self {
            reports: self.reports,
            ..other.clone()
        };
        *self == other
    }
}

/// Decision of an operator to give up the logs of some members.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Acceptance {
    /// Who decided.
    pub author: Arc<str>,
    /// Why.
    pub reason: Arc<str>,
    /// When, in Unix milliseconds.
    pub at_ms: u64,
    /// Members whose logs were given up.
    pub members: Vec<Key>,
}

/// Stored record of the members of a service that may hold acknowledged commits.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The members, in the order in which they were first listed.
    pub members: Vec<Member>,
    /// Replicas that have received each commit that counts; zero if none is demanded.
    pub synchronous_replicas: usize,
    /// Number of changes of this record before this one.
    pub change: u64,
    /// Losses that operators accepted, oldest first.
    #[serde(default)]
    pub accepted_losses: Vec<Acceptance>,
}

/// What the members stated, from which a record may shrink.
///
/// The primary must be the only one since before `ended` was established, and must stay it until the
/// record is written.
#[derive(Clone, Debug)]
pub struct Evidence {
    /// Replicas that receive each commit from `position` on before it is acknowledged.
    pub synchronous_replicas: usize,
    /// The primary.
    pub primary: Key,
    /// Position that the primary stated after all of `ended` had ended.
    pub position: Position,
    /// Positions that other members have received.
    pub received: Vec<(Key, Position)>,
    /// Members that receive nothing any more.
    pub ended: BTreeSet<Key>,
}

impl Record {
    /// Adds the listed members and records a demand of `synchronous_replicas` in force, and returns
    /// whether the record has changed. A record without members starts with the demand in force.
    pub fn admit(&mut self, synchronous_replicas: usize, listed: &[Member]) -> bool {
        let mut is_changed = false;
        let is_lower = synchronous_replicas > 0 && synchronous_replicas < self.synchronous_replicas;
        let starts = self.synchronous_replicas == 0 && synchronous_replicas > 0;
        if is_lower || starts {
            self.synchronous_replicas = synchronous_replicas;
            is_changed = true;
        }
        if self.synchronous_replicas == 0 {
            return is_changed;
        }
        for member in listed {
            let known = self.members.iter_mut().find(|one| one.key == member.key);
            match known {
                Some(known) if known.is_same_entry(member) => continue,
                Some(known) => *known = member.clone(),
                None => self.members.push(member.clone()),
            }
            is_changed = true;
        }
        self.change += u64::from(is_changed);
        is_changed
    }

    /// Returns the identity of the log of a listed member. A process that started again states a later
    /// start, and its reports are counted anew; one whose count continues is the recorded one.
    pub fn identify(&self, id: &Arc<str>, incarnation: Option<u64>, reports: u64) -> Key {
        let stated = Key {
            id: Arc::clone(id),
            incarnation,
        };
        let mut recorded = self.members.iter().rev().filter(|one| one.key.id == *id);
        let last = recorded.next();
        let is_known = self.members.iter().any(|member| member.key == stated);
        match last {
            Some(last) if !is_known && reports > last.reports => last.key.clone(),
            _ => stated,
        }
    }

    /// Returns the record without the members that have ended and with the demand in force, or `None` if
    /// the evidence does not suffice or nothing changes.
    pub fn settle(&self, evidence: &Evidence) -> Option<Self> {
        let kept = |key: &Key| {
            self.members.iter().any(|member| member.key == *key) && !evidence.ended.contains(key)
        };
        let mut members = self.members.clone();
        members.retain(|member| !evidence.ended.contains(&member.key));
        let demand = evidence.synchronous_replicas;
        let is_changed = members.len() < self.members.len() || demand != self.synchronous_replicas;
        let confirmations: BTreeSet<&Key> = evidence
            .received
            .iter()
            .filter(|(key, received)| {
                *key != evidence.primary && kept(key) && *received >= evidence.position
            })
            .map(|(key, _)| key)
            .collect();
        // Once nothing is demanded, any member may be promoted, so each must have every earlier commit.
        let needed = match demand {
            0 => members.len().saturating_sub(1),
            demand => demand,
        };
        if !is_changed || !kept(&evidence.primary) || confirmations.len() < needed {
            return None;
        }
        if demand == 0 {
            members.clear();
        }
        Some(Self {
            members,
            synchronous_replicas: demand,
            change: self.change + 1,
            accepted_losses: self.accepted_losses.clone(),
        })
    }

    /// Removes the members of an acceptance and keeps it. Returns the members that were not recorded, in
    /// which case nothing changes.
    ///
    /// # Errors
    ///
    /// Returns the members of the acceptance that the record doesn't have.
    pub fn accept_loss(&mut self, acceptance: Acceptance) -> Result<(), Vec<Key>> {
        let is_known = |key: &Key| self.members.iter().any(|member| member.key == *key);
        let mut unknown = acceptance.members.clone();
        unknown.retain(|key| !is_known(key));
        if !unknown.is_empty() {
            return Err(unknown);
        }
        self.members
            .retain(|member| !acceptance.members.contains(&member.key));
        self.accepted_losses.push(acceptance);
        let excess = self.accepted_losses.len().saturating_sub(MAX_ACCEPTANCES);
        self.accepted_losses.drain(..excess);
        self.change += 1;
        Ok(())
    }

    /// Returns whether this record was written before `other`. Unlike revisions, the number of changes
    /// doesn't go back with a store that returns from a copy.
    pub fn precedes(&self, other: &Self) -> bool {
        self.change < other.change
    }
}

/// Returns the members from which a successor must be chosen: those of the record, those that are listed,
/// and the previous primary `from`, under the last known identity.
///
/// A previous primary that starts again keeps its log, so an earlier incarnation is not awaited once a
/// later one is listed; whether it has its log is judged by its position.
pub fn electorate<'a, I>(record: Option<&Record>, listed: I, from: Option<&Arc<str>>) -> Vec<Key>
where
    I: IntoIterator<Item = &'a Key>,
{
    let mut keys: Vec<Key> = listed.into_iter().cloned().collect();
    let recorded = record.map_or(&[][..], |record| &record.members);
    for member in recorded {
        let is_earlier_primary =
            from == Some(&member.key.id) && keys.iter().any(|key| key.id == member.key.id);
        if !keys.contains(&member.key) && !is_earlier_primary {
            keys.push(member.key.clone());
        }
    }
    if let Some(id) = from
        && keys.iter().all(|key| key.id != *id)
    {
        keys.push(Key {
            id: Arc::clone(id),
            incarnation: None,
        });
    }
    keys
}
