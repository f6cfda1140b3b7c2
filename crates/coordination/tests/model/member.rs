//! Model of a member of a database group, with the semantics of the endpoint commands.

use std::time::Instant;

use filbertbay_coordination::authority::failover::Order;
use filbertbay_state::position::{Position, Term};
use filbertbay_state::status::{Role, Status};

/// Bit set of write ids.
#[derive(Clone, Debug, Default)]
pub struct WriteIds(Vec<u64>);

impl WriteIds {
    pub fn insert(&mut self, id: u64) {
        let word = id as usize / 64;
        if self.0.len() <= word {
            self.0.resize(word + 1, 0);
        }
        self.0[word] |= 1 << (id % 64);
    }

    pub fn contains(&self, id: u64) -> bool {
        let word = self.0.get(id as usize / 64).copied().unwrap_or(0);
        word & (1 << (id % 64)) != 0
    }

    pub fn extend(&mut self, other: &Self) {
        self.0.resize(self.0.len().max(other.0.len()), 0);
        let pairs = self.0.iter_mut().zip(&other.0);
        pairs.for_each(|(ours, theirs)| *ours |= theirs);
    }

    /// Returns the writes of this set that are not in `other`.
    pub fn without(&self, other: &Self) -> Self {
        let theirs = other.0.iter().copied().chain(std::iter::repeat(0));
        Self(self.0.iter().zip(theirs).map(|(a, b)| a & !b).collect())
    }

    pub fn iter(&self) -> impl Iterator<Item = u64> {
        (0..64 * self.0.len() as u64).filter(|id| self.contains(*id))
    }
}

impl FromIterator<u64> for WriteIds {
    fn from_iter<I: IntoIterator<Item = u64>>(ids: I) -> Self {
        let mut set = Self::default();
        ids.into_iter().for_each(|id| set.insert(id));
        set
    }
}

/// Log entry: a committed write, or the marker of a promotion if `id` is `None`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Entry {
    term: Term,
    id: Option<u64>,
}

#[derive(Clone, Debug)]
pub struct Member {
    log: Vec<Entry>,
    applied: usize,
    term: Term,
    fenced: Term,
    role: Role,
    pub upstream: Option<usize>,
    heard: Instant,
    pub is_up: bool,
}

impl Member {
    pub fn new(index: usize, now: Instant) -> Self {
        let leads = index == 0;
        let marker = Entry {
            term: Term(1),
            id: None,
        };
        Self {
            log: if leads { vec![marker] } else { Vec::new() },
            applied: usize::from(leads),
            term: Term(u64::from(leads)),
            fenced: Term(1),
            role: if leads { Role::Primary } else { Role::Replica },
            upstream: (!leads).then_some(0),
            heard: now,
            is_up: true,
        }
    }

    pub fn status(&self, now: Instant) -> Status {
        let is_replica = self.role == Role::Replica;
        Status {
            received: self.position(self.log.len()),
            applied: self.applied(),
            fenced_term: self.fenced,
            role: self.role,
            primary_contact_age: is_replica.then(|| now.saturating_duration_since(self.heard)),
        }
    }

    fn position(&self, length: usize) -> Position {
        let term = length
            .checked_sub(1)
            .map_or(Term(0), |last| self.log[last].term);
        Position::new(term, length as u64)
    }

    pub fn applied(&self) -> Position {
        self.position(self.applied)
    }

    /// Returns the applied writes, which a read sees.
    pub fn visible(&self) -> WriteIds {
        self.log[..self.applied]
            .iter()
            .filter_map(|entry| entry.id)
            .collect()
    }

    /// Returns the writes in the log.
    pub fn log_ids(&self) -> WriteIds {
        self.log.iter().filter_map(|entry| entry.id).collect()
    }

    pub fn leads(&self) -> bool {
        self.role == Role::Primary
    }

    fn own_term(&self) -> Term {
        self.term.max(self.position(self.log.len()).term)
    }

    /// Carries out an order and returns true, or refuses the order without any change.
    pub fn order(&mut self, order: Order) -> bool {
        match order {
            Order::Fence(term) if term > self.fenced && term > self.own_term() => {
                self.fenced = term;
                true
            }
            Order::Promote(term) if term > self.own_term() && term >= self.fenced => {
                self.promote(term);
                true
            }
            Order::Follow(primary, term) if term >= self.fenced && !self.is_primary_of(term) => {
                self.fenced = term;
                self.role = Role::Replica;
                self.upstream = Some(primary);
                true
            }
            _ => false,
        }
    }

    fn is_primary_of(&self, term: Term) -> bool {
        self.role == Role::Primary && term <= self.term
    }

    fn promote(&mut self, term: Term) {
        self.term = term;
        self.fenced = term;
        self.role = Role::Primary;
        self.upstream = None;
        self.log.push(Entry { term, id: None });
        self.applied = self.log.len();
    }

    /// Commits a write and returns true if this member believes that it leads and is not fenced.
    pub fn write(&mut self, id: u64) -> bool {
        let takes_writes = self.role == Role::Primary && self.fenced <= self.term;
        if takes_writes {
            self.log.push(Entry {
                term: self.term,
                id: Some(id),
            });
            self.applied = self.log.len();
        }
        takes_writes
    }

    /// Applies the received entries, then receives up to `count` further ones from the primary.
    pub fn pull(&mut self, primary: &Self, count: usize, now: Instant) {
        let is_rejected = primary.role != Role::Primary || primary.term < self.fenced;
        if is_rejected || self.role == Role::Primary {
            return;
        }
        self.term = primary.term;
        self.heard = now;
        self.applied = self.log.len();
        let pairs = self.log.iter().zip(&primary.log);
        let common = pairs.take_while(|(ours, theirs)| ours == theirs).count();
        self.log.truncate(common);
        self.applied = self.applied.min(common);
        let missing = primary.log[common..].iter().take(count);
        self.log.extend(missing);
    }
}
