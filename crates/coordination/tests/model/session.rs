//! Callers that write, read and roam, and note what their reads should not have shown.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::replica::{self, Choice, Config, ReadRequest};
use filbertbay_coordination::session::{GroupEntry, PinnedMember, Session};
use filbertbay_state::document::Durability;
use filbertbay_state::position::Position;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::member::Ids;
use super::{Acknowledged, Call, World, step};

const GROUP: &str = "orders";

/// Caller with its session and what it knows for itself.
pub struct Caller {
    instance: usize,
    session: Session,
    /// Writes that were acknowledged to this caller on a durable route.
    wrote: Ids,
    /// Writes that reads have shown to this caller.
    seen: Ids,

    pending: Option<u64>,
    /// Read that is under way, and when it arrived.
    reading: Option<Instant>,
    busy_until: Option<Instant>,
    pub replica_reads: u64,
    pub primary_reads: u64,
}

impl Caller {
    pub fn new(instance: usize) -> Self {
        Self {
            instance,
            session: Session::new(),
            wrote: Ids::default(),
            seen: Ids::default(),
            pending: None,
            reading: None,
            busy_until: None,
            replica_reads: 0,
            primary_reads: 0,
        }
    }
}

impl World {
    /// Lets a caller do its next thing; a caller whose answer was lost gives up after a while.
    pub fn step(&mut self, index: usize) {
        self.after(5..60, step(index));
        let now = self.now;
        if self.callers[index]
            .busy_until
            .is_some_and(|until| until > now)
        {
            return;
        }
        let caller = &mut self.callers[index];
        caller.pending = None;
        let mut rng = ChaCha8Rng::seed_from_u64(self.sequence);
        if caller.reading.is_some() {
            self.read(index, &mut rng);
            return;
        }
        match rng.random_range(0..10) {
            0..3 => self.write_of(index),
            3 => self.roam(index, &mut rng),
            _ => self.read(index, &mut rng),
        }
    }

    fn write_of(&mut self, index: usize) {
        let instance = self.callers[index].instance;
        let Some((member, term)) = self.instances[instance].failover.leader() else {
            return;
        };
        self.writes += 1;
        let id = self.writes;
        let caller = &mut self.callers[index];
        caller.pending = Some(id);
        caller.busy_until = Some(self.now + Duration::from_secs(3));
        let durability = Durability::Majority;
        self.send(
            instance,
            member,
            Call::Write {
                id,
                term,
                durability,
            },
        );
    }

    /// Tells the caller that waits for a write what became of it.
    pub(super) fn wrote(&mut self, id: u64, write: Option<Acknowledged>) {
        let Some(caller) = self.callers.iter_mut().find(|c| c.pending == Some(id)) else {
            return;
        };
        caller.pending = None;
        caller.busy_until = None;
        if let Some(write) = write {
            caller.wrote.insert(id);
            caller.seen.insert(id);
            caller.session.raise_min_position(GROUP, write.position);
        }
    }

    /// Moves a caller to another instance, with what its token says or without one.
    fn roam(&mut self, index: usize, rng: &mut ChaCha8Rng) {
        let now = self.now;
        let caller = &mut self.callers[index];
        caller.instance = rng.random_range(0..self.instances.len());
        let arrive = |entry: &GroupEntry| GroupEntry {
            pinned: entry.pinned.as_ref().map(|member| PinnedMember {
                name: Arc::clone(&member.name),
                read_ended: now,
            }),
            ..entry.clone()
        };
        caller.session = if rng.random_bool(0.5) {
            Session::restore(caller.session.entries().iter().map(arrive))
        } else {
            Session::new()
        };
    }

    fn read(&mut self, index: usize, rng: &mut ChaCha8Rng) {
        let now = self.now;
        let caller = &mut self.callers[index];
        let instance = caller.instance;
        let view = &self.instances[instance].view;
        caller.session.update_from_view(view);
        let since = *caller.reading.get_or_insert(now);
        let need = caller.session.read_constraint(GROUP);
        let floor = need.min_position;
        let read = ReadRequest {
            constraint: need,
            max_staleness: None,
            arrived: since,
        };
        let config = Config::default();
        let choice = replica::choose(&config, view, &read, now, "centre-1", &[], rng);
        caller.busy_until = Some(now + Duration::from_secs(3));
        match choice {
            Choice::Replica(member) => {
                caller.replica_reads += 1;
                self.send(
                    instance,
                    member,
                    Call::Read {
                        caller: index,
                        floor,
                    },
                );
            }
            Choice::Primary(member) => {
                caller.primary_reads += 1;
                self.send(
                    instance,
                    member,
                    Call::Read {
                        caller: index,
                        floor,
                    },
                );
            }
            Choice::ConfirmPrimary(_) => self.ask_floor(index, instance),
            Choice::WaitUntil(_) => caller.busy_until = None,
            Choice::Unavailable => {
                caller.busy_until = None;
                caller.reading = None;
            }
        }
    }

    pub(super) fn floor(&mut self, index: usize, instance: usize, position: Option<Position>) {
        let caller = &mut self.callers[index];
        if caller.instance != instance || caller.reading.is_none() {
            return;
        }
        caller.busy_until = None;
        match position {
            Some(position) => drop(caller.session.raise_min_position(GROUP, position)),
            None => caller.reading = None,
        }
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "an answer of the model has many parts"
    )]
    pub(super) fn saw(
        &mut self,
        index: usize,
        instance: usize,
        member: usize,
        sent: Instant,
        floor: Option<Position>,
        position: Position,
        seen: &Ids,
    ) {
        let now = self.now;
        let caller = &mut self.callers[index];
        // An answer that comes late, or a second time, reaches nobody.
        if caller.instance != instance || caller.reading.is_none_or(|since| since > sent) {
            return;
        }
        caller.reading = None;
        caller.busy_until = None;
        if let Some(id) = caller.wrote.without(seen).iter().next() {
            let text = format!("write {id} is missing at {position}, floor {floor:?}");
            self.faults.push(text);
        }
        // What is not durable yet may be lost with its primary, and its readers see that.
        let hidden = caller.seen.without(seen);
        if let Some(id) = hidden.iter().find(|id| self.durable.contains(*id)) {
            let text = format!("write {id} was seen and then not, at {position}");
            self.faults.push(text);
        }
        caller.seen.extend(seen);
        let name = Arc::clone(&self.instances[instance].view.members[member].name);
        caller.session.record_read(GROUP, &name, now);
    }
}
