//! Callers that write, read and switch instances, and record consistency violations of their reads.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::replica::{self, Choice, Config, ReadRequest};
use filbertbay_coordination::session::{GroupEntry, PinnedMember, Session};
use filbertbay_state::document::Durability;
use filbertbay_state::position::Position;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::member::WriteIds;
use super::{Acknowledged, Call, World, step};

const GROUP: &str = "orders";

/// Caller with its session and the writes that its reads must show.
pub struct Caller {
    instance: usize,
    session: Session,
    /// Writes that were acknowledged to this caller on a durable route.
    acknowledged: WriteIds,
    /// Writes that this caller has seen in reads.
    seen: WriteIds,
    /// Write that waits for its outcome.
    pending: Option<u64>,
    /// Arrival time of the read that is in flight.
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
            acknowledged: WriteIds::default(),
            seen: WriteIds::default(),
            pending: None,
            reading: None,
            busy_until: None,
            replica_reads: 0,
            primary_reads: 0,
        }
    }
}

impl World {
    /// Runs the next action of a caller; a caller whose answer was lost continues after 3 s.
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
            0..3 => self.write_as_caller(index),
            3 => self.switch_instance(index, &mut rng),
            _ => self.read(index, &mut rng),
        }
    }

    fn write_as_caller(&mut self, index: usize) {
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

    /// Reports the outcome of a write to the caller that waits for it; `None` is an unknown outcome.
    pub(super) fn finish_write(&mut self, id: u64, write: Option<Acknowledged>) {
        let Some(caller) = self.callers.iter_mut().find(|c| c.pending == Some(id)) else {
            return;
        };
        caller.pending = None;
        caller.busy_until = None;
        if let Some(write) = write {
            caller.acknowledged.insert(id);
            caller.seen.insert(id);
            caller.session.raise_min_position(GROUP, write.position);
        }
    }

    /// Moves a caller to a random instance, with its session token or without one.
    fn switch_instance(&mut self, index: usize, rng: &mut ChaCha8Rng) {
        let now = self.now;
        let caller = &mut self.callers[index];
        caller.instance = rng.random_range(0..self.instances.len());
        let restore_entry = |entry: &GroupEntry| GroupEntry {
            pinned: entry.pinned.as_ref().map(|member| PinnedMember {
                name: Arc::clone(&member.name),
                read_ended: now,
            }),
            ..entry.clone()
        };
        caller.session = if rng.random_bool(0.5) {
            Session::restore(caller.session.entries().iter().map(restore_entry))
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
        let min_position = need.min_position;
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
                        min_position,
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
                        min_position,
                    },
                );
            }
            Choice::ConfirmPrimary(_) => self.query_min_position(index, instance),
            Choice::WaitUntil(_) => caller.busy_until = None,
            Choice::Unavailable => {
                caller.busy_until = None;
                caller.reading = None;
            }
        }
    }

    /// Raises the session to the confirmed position, or abandons the read if there is none.
    pub(super) fn finish_query(
        &mut self,
        index: usize,
        instance: usize,
        position: Option<Position>,
    ) {
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

    /// Checks that a read shows every write that the caller has acknowledged or seen and that is
    /// durable, and records violations.
    #[expect(
        clippy::too_many_arguments,
        reason = "a read answer of the model has many parts"
    )]
    pub(super) fn check_read(
        &mut self,
        index: usize,
        instance: usize,
        member: usize,
        sent: Instant,
        min_position: Option<Position>,
        position: Position,
        seen: &WriteIds,
    ) {
        let now = self.now;
        let caller = &mut self.callers[index];
        // A late or duplicate answer is ignored.
        if caller.instance != instance || caller.reading.is_none_or(|since| since > sent) {
            return;
        }
        caller.reading = None;
        caller.busy_until = None;
        if let Some(id) = caller.acknowledged.without(seen).iter().next() {
            let text =
                format!("write {id} is missing at {position}, min position {min_position:?}");
            self.violations.push(text);
        }
        // A write that is not durable yet may be lost with its primary, after reads have shown it.
        let hidden = caller.seen.without(seen);
        if let Some(id) = hidden.iter().find(|id| self.durable.contains(*id)) {
            let text =
                format!("write {id} was seen by an earlier read and is missing at {position}");
            self.violations.push(text);
        }
        caller.seen.extend(seen);
        let name = Arc::clone(&self.instances[instance].view.members[member].name);
        caller.session.record_read(GROUP, &name, now);
    }
}
