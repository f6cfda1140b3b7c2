//! When the record of a service is due to change.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{Key, Member, Record};

/// Time for which a higher demand must be in force before members are taken to follow it.
pub const DEMAND_DELAY: Duration = Duration::from_secs(10);

/// Time after which a member that drained and has no entry any more has ended, unless it answers. It
/// serves for many seconds beyond its drain period at most.
pub const DRAINED_MEMBER_TIMEOUT: Duration = Duration::from_mins(1);

/// Change of a record that is due.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Writes this record, which has more members or a lower demand.
    Admit(Record),
    /// Collects [`Evidence`](super::Evidence) to shrink the record.
    Settle {
        /// Members that have ended.
        ended: BTreeSet<Key>,
        /// Demand to record.
        synchronous_replicas: usize,
    },
}

/// What one instance has seen of the members and of the demand of a service.
#[derive(Clone, Debug)]
pub struct Upkeep {
    demand: usize,
    demanded_since: Instant,
    /// Recorded members without an entry, and since when.
    unlisted: BTreeMap<Key, Instant>,
}

impl Upkeep {
    /// Starts at `now` with the synchronous replicas that the configuration demands.
    pub fn new(now: Instant, demand: usize) -> Self {
        Self {
            demand,
            demanded_since: now,
            unlisted: BTreeMap::new(),
        }
    }

    /// Records the demand in force and the identities that are listed, and returns the recorded members
    /// that have newly been found without an entry.
    pub fn observe(
        &mut self,
        now: Instant,
        demand: usize,
        record: &Record,
        listed: &BTreeSet<Key>,
    ) -> Vec<Key> {
        if self.demand != demand {
            (self.demand, self.demanded_since) = (demand, now);
        }
        let keys = record.members.iter().map(|member| &member.key);
        let unlisted: BTreeSet<&Key> = keys.filter(|key| !listed.contains(key)).collect();
        self.unlisted.retain(|key, _| unlisted.contains(key));
        let mut found = Vec::new();
        for key in unlisted {
            if !self.unlisted.contains_key(key) {
                self.unlisted.insert(key.clone(), now);
                found.push(key.clone());
            }
        }
        found
    }

    /// Returns the number of recorded members without an entry.
    pub fn unlisted_count(&self) -> usize {
        self.unlisted.len()
    }

    /// Returns the change of `record` that is due, if any. `members` are the members of the service that
    /// are listed or were a moment ago, and `addresses` the identities and addresses of all listed
    /// members of any service.
    pub fn next_step<'a, I>(
        &self,
        now: Instant,
        record: &Record,
        members: &[Member],
        addresses: I,
    ) -> Option<Step>
    where
        I: IntoIterator<Item = (&'a Key, SocketAddr)>,
    {
        let addresses: Vec<(&Key, SocketAddr)> = addresses.into_iter().collect();
        // An entry may have lapsed a moment ago, and its member may have been replaced since.
        let mut known = members.to_vec();
        let replaced = replaced_by(members, &addresses);
        known.retain(|member| !replaced.contains(&member.key));
        let mut next = record.clone();
        if next.admit(self.demand, &known) {
            return Some(Step::Admit(next));
        }
        let mut ended = replaced_by(&record.members, &addresses);
        let drained = record.members.iter().filter(|member| {
            let since = self.unlisted.get(&member.key);
            member.is_draining && since.is_some_and(|since| now >= *since + DRAINED_MEMBER_TIMEOUT)
        });
        ended.extend(drained.map(|member| member.key.clone()));
        let is_in_force = self.demand == 0 || now >= self.demanded_since + DEMAND_DELAY;
        let synchronous_replicas = if is_in_force {
            self.demand
        } else {
            record.synchronous_replicas
        };
        let is_due = !ended.is_empty() || synchronous_replicas != record.synchronous_replicas;
        is_due.then_some(Step::Settle {
            ended,
            synchronous_replicas,
        })
    }
}

/// Returns those of `members` that have ended according to the listed ones: the process of the same id
/// started again without its log, or another member listens at the address.
fn replaced_by(members: &[Member], listed: &[(&Key, SocketAddr)]) -> BTreeSet<Key> {
    let is_replaced = |member: &&Member| {
        let is_listed = listed.iter().any(|(key, _)| **key == member.key);
        let mut others = listed.iter();
        !is_listed
            && others.any(|(key, address)| key.id == member.key.id || *address == member.address)
    };
    let replaced = members.iter().filter(is_replaced);
    replaced.map(|member| member.key.clone()).collect()
}
