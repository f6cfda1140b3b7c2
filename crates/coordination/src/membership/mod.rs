//! Fleet membership: a SWIM-style gossip protocol and failure detector, seeded by the platform's
//! list of instances.
//!
//! Each instance probes a fixed number of instances per interval, so its cost does not grow with
//! the fleet. Membership updates are piggybacked on probes and their acknowledgements. An instance
//! that does not acknowledge a probe in time is probed through relays, then suspected, and removed
//! once it has been suspected for [`Config::suspicion_timeout`]. A suspected instance that receives
//! the suspicion refutes it with a higher counter.
//!
//! The failure detector cannot tell a network partition from a paused process. Membership is
//! therefore a hint for distributing work; a decision that must be correct must not depend on it.
//!
//! # Examples
//!
//! ```
//! use std::time::Instant;
//! use filbertbay_coordination::membership::{Config, Table};
//! use filbertbay_state::instance::{Instance, Presence};
//!
//! let own = Instance {
//!     name: "quimper-1".into(),
//!     incarnation: 1,
//!     data_centre: "quimper".into(),
//!     caller_address: "127.0.0.1:6432".parse()?,
//!     peer_address: "127.0.0.1:7432".parse()?,
//!     forward_address: "127.0.0.1:7433".parse()?,
//!     presence: Presence::Live,
//! };
//! let table = Table::new(Instant::now(), own, Config::default());
//! assert_eq!(table.live().count(), 1);
//! # Ok::<(), std::net::AddrParseError>(())
//! ```

mod row;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_state::instance::{Instance, Presence};
use rand::Rng;
use rand::seq::IteratorRandom;

use self::row::Row;
pub use self::row::{Health, MembershipUpdate};

/// Limits and intervals of a membership table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Config {
    /// Time between two probe rounds.
    pub probe_interval: Duration,
    /// Time without an acknowledgement after which a probe is repeated through relays.
    pub probe_timeout: Duration,
    /// Instances of the same data centre probed per round.
    pub local_probes: usize,
    /// Instances of other data centres probed per round.
    pub remote_probes: usize,
    /// Instances asked to relay an unacknowledged probe.
    pub relays: usize,
    /// Time from the suspicion of an instance to its removal.
    pub suspicion_timeout: Duration,
    /// Time that the entry of a removed instance is kept.
    pub dead_retention: Duration,
    /// Maximum number of updates in one message.
    pub max_updates_per_message: usize,
    /// Number of times that an update is sent, per doubling of the fleet size.
    pub retransmit_multiplier: u32,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(400),
            local_probes: 2,
            remote_probes: 1,
            relays: 2,
            suspicion_timeout: Duration::from_secs(3),
            dead_retention: Duration::from_mins(2),
            max_updates_per_message: 8,
            retransmit_multiplier: 3,
        }
    }
}

/// Input to [`Table::on_event`].
#[derive(Clone, Debug)]
pub enum Event {
    /// A probe of another instance was received.
    ProbeReceived {
        /// The sender's update about itself.
        from: MembershipUpdate,
        /// Updates that the probe carried.
        updates: Vec<MembershipUpdate>,
    },
    /// A probe was acknowledged, directly or through a relay.
    ProbeAcknowledged {
        /// Id of the probe; for an unknown id, only the updates are applied.
        probe_id: u64,
        /// Updates that the acknowledgement carried.
        updates: Vec<MembershipUpdate>,
    },
    /// The platform's list of instances was read; the list lags behind the fleet.
    PlatformList(Vec<Instance>),
}

/// Message that the driver must send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Probe an instance directly.
    Probe {
        /// Instance to probe.
        to: Instance,
        /// Id that the acknowledgement must be reported with.
        probe_id: u64,
    },
    /// Probe an instance through a relay.
    Relay {
        /// Instance that relays the probe.
        via: Instance,
        /// Instance to probe.
        to: Instance,
        /// Id that the acknowledgement must be reported with.
        probe_id: u64,
    },
}

/// Probe that has not been acknowledged yet.
#[derive(Debug)]
struct PendingProbe {
    target: Arc<str>,
    sent_at: Instant,
    relayed: bool,
}

/// Membership table of this instance: the last known state of every instance of the fleet.
#[derive(Debug)]
pub struct Table {
    config: Config,
    own_name: Arc<str>,
    rows: BTreeMap<Arc<str>, Row>,
    pending_probes: BTreeMap<u64, PendingProbe>,
    next_probe_id: u64,
    next_round: Instant,
    change_count: u64,
}

impl Table {
    /// Creates a table that holds only this instance.
    pub fn new(now: Instant, own: Instance, config: Config) -> Self {
        let name = Arc::clone(&own.name);
        let row = Row::new(MembershipUpdate::first(own), now);
        Self {
            config,
            own_name: Arc::clone(&name),
            rows: BTreeMap::from([(name, row)]),
            pending_probes: BTreeMap::new(),
            next_probe_id: 0,
            next_round: now,
            change_count: 0,
        }
    }

    /// Returns the update that describes this instance.
    ///
    /// The lookup never panics, because the table always holds this instance's own row.
    pub fn own(&self) -> &MembershipUpdate {
        &self.rows[&self.own_name].update
    }

    /// Returns the instances that accept new work, including this one unless it is leaving.
    ///
    /// Suspected instances are included until they are removed.
    pub fn live(&self) -> impl Iterator<Item = &Instance> {
        self.present()
            .filter(|instance| instance.presence == Presence::Live)
    }

    /// Returns the instances that have not been removed, including leaving ones.
    pub fn present(&self) -> impl Iterator<Item = &Instance> {
        self.rows
            .values()
            .filter(|row| row.update.health != Health::Dead)
            .map(|row| &row.update.instance)
    }

    /// Returns updates about all instances that have not been removed, for a joining instance.
    pub fn snapshot(&self) -> Vec<MembershipUpdate> {
        let present = self
            .rows
            .values()
            .filter(|row| row.update.health != Health::Dead);
        present.map(|row| row.update.clone()).collect()
    }

    /// Returns when the last message of an instance arrived, or `None` if none has arrived.
    pub fn last_message_at(&self, name: &str) -> Option<Instant> {
        self.rows.get(name).and_then(|row| row.last_message_at)
    }

    /// Returns the number of changes to the table.
    ///
    /// While the number stays the same, so do the instances that [`Table::live`] and
    /// [`Table::present`] return.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Marks this instance as leaving and queues the update for gossip.
    pub fn leave(&mut self, now: Instant) {
        let mut update = self.own().clone();
        update.instance.presence = Presence::Leaving;
        update.counter += 1;
        self.apply(now, update);
    }

    /// Returns the updates to piggyback on a message to `to`, and counts them as sent.
    ///
    /// Updates that were sent least often come first. If `to` is suspected or removed here, the
    /// update that says so is always included and leads the list, so that `to` can refute it.
    pub fn updates_for(&mut self, to: &str) -> Vec<MembershipUpdate> {
        let limit = self.transmission_limit();
        let mut pending: Vec<&mut Row> = self
            .rows
            .values_mut()
            .filter(|row| row.should_send(to, limit))
            .collect();
        pending.sort_by_key(|row| (!row.reports_failure_of(to), row.transmissions));
        pending.truncate(self.config.max_updates_per_message);
        pending.into_iter().map(Row::next_transmission).collect()
    }

    /// Updates the table from an event.
    pub fn on_event(&mut self, now: Instant, event: Event) {
        match event {
            Event::ProbeReceived { from, updates } => {
                let name = Arc::clone(&from.instance.name);
                self.apply_all(now, updates);
                self.apply(now, from);
                self.record_message(now, &name);
            }
            Event::ProbeAcknowledged { probe_id, updates } => {
                self.apply_all(now, updates);
                // A late or duplicate acknowledgement matches no pending probe; only its updates
                // are applied.
                if let Some(probe) = self.pending_probes.remove(&probe_id) {
                    self.record_message(now, &probe.target);
                }
            }
            Event::PlatformList(instances) => {
                for instance in instances {
                    self.apply_listed(now, instance);
                }
            }
        }
    }

    /// Returns the messages that are due: probes of a new round and relays of overdue probes.
    ///
    /// Also suspects the targets of unacknowledged probes and removes instances whose suspicion
    /// has timed out.
    pub fn tick<R>(&mut self, now: Instant, rng: &mut R) -> Vec<Action>
    where
        R: Rng,
    {
        let mut actions = self.relay_overdue_probes(now, rng);
        self.expire(now);
        if now >= self.next_round {
            self.next_round = now + self.config.probe_interval;
            actions.extend(self.start_round(now, rng));
        }
        actions
    }

    /// Returns the time by which [`Table::tick`] must be called again.
    pub fn next_deadline(&self) -> Instant {
        self.pending_probes
            .values()
            .filter(|probe| !probe.relayed)
            .map(|probe| probe.sent_at + self.config.probe_timeout)
            .fold(self.next_round, Instant::min)
    }

    fn start_round<R>(&mut self, now: Instant, rng: &mut R) -> Vec<Action>
    where
        R: Rng,
    {
        let data_centre = Arc::clone(&self.own().instance.data_centre);
        let local = self.sample(self.config.local_probes, rng, |i| {
            i.data_centre == data_centre
        });
        let remote = self.sample(self.config.remote_probes, rng, |i| {
            i.data_centre != data_centre
        });
        local
            .into_iter()
            .chain(remote)
            .map(|to| self.start_probe(now, to))
            .collect()
    }

    fn start_probe(&mut self, now: Instant, to: Instance) -> Action {
        let probe_id = self.next_probe_id;
        self.next_probe_id += 1;
        let target = Arc::clone(&to.name);
        self.pending_probes.insert(
            probe_id,
            PendingProbe {
                target,
                sent_at: now,
                relayed: false,
            },
        );
        Action::Probe { to, probe_id }
    }

    fn relay_overdue_probes<R>(&mut self, now: Instant, rng: &mut R) -> Vec<Action>
    where
        R: Rng,
    {
        let timeout = self.config.probe_timeout;
        let overdue: Vec<(u64, Arc<str>)> = self
            .pending_probes
            .iter_mut()
            .filter(|(_, probe)| !probe.relayed && now >= probe.sent_at + timeout)
            .map(|(probe_id, probe)| {
                probe.relayed = true;
                (*probe_id, Arc::clone(&probe.target))
            })
            .collect();
        let mut actions = Vec::new();
        for (probe_id, target) in overdue {
            let Some(row) = self.rows.get(&target) else {
                continue;
            };
            let to = row.update.instance.clone();
            for via in self.sample(self.config.relays, rng, |i| i.name != target) {
                actions.push(Action::Relay {
                    via,
                    to: to.clone(),
                    probe_id,
                });
            }
        }
        actions
    }

    /// Suspects the targets of unacknowledged probes and expires rows.
    fn expire(&mut self, now: Instant) {
        let acknowledgement_timeout = self.config.probe_timeout * 3;
        let unacknowledged: Vec<u64> = self
            .pending_probes
            .iter()
            .filter(|(_, probe)| now >= probe.sent_at + acknowledgement_timeout)
            .map(|(probe_id, _)| *probe_id)
            .collect();
        for probe_id in unacknowledged {
            if let Some(probe) = self.pending_probes.remove(&probe_id) {
                self.suspect_target(now, &probe);
            }
        }
        self.expire_rows(now);
    }

    fn suspect_target(&mut self, now: Instant, probe: &PendingProbe) {
        let Some(row) = self.rows.get(&probe.target) else {
            return;
        };
        // Any message received since the probe was sent shows as well that the target runs.
        let received_since = row
            .last_message_at
            .is_some_and(|received_at| received_at >= probe.sent_at);
        if received_since || row.update.health != Health::Alive {
            return;
        }
        let update = MembershipUpdate {
            health: Health::Suspect,
            ..row.update.clone()
        };
        self.apply(now, update);
    }

    fn expire_rows(&mut self, now: Instant) {
        let Config {
            suspicion_timeout,
            dead_retention,
            ..
        } = self.config;
        let timed_out: Vec<MembershipUpdate> = self
            .rows
            .values()
            .filter(|row| {
                row.update.health == Health::Suspect && now >= row.updated_at + suspicion_timeout
            })
            .map(|row| MembershipUpdate {
                health: Health::Dead,
                ..row.update.clone()
            })
            .collect();
        self.apply_all(now, timed_out);
        self.rows.retain(|_, row| {
            row.update.health != Health::Dead || now < row.updated_at + dead_retention
        });
    }

    fn apply_all(&mut self, now: Instant, updates: Vec<MembershipUpdate>) {
        for update in updates {
            self.apply(now, update);
        }
    }

    /// Applies an update if it supersedes the known state of its instance.
    ///
    /// An update that suspects or removes this instance is refuted instead.
    fn apply(&mut self, now: Instant, update: MembershipUpdate) {
        if update.instance.name == self.own_name && update.health != Health::Alive {
            self.refute(now, &update);
            return;
        }
        match self.rows.get_mut(&update.instance.name) {
            Some(row) if !update.supersedes(&row.update) => {}
            Some(row) => {
                row.replace(update, now);
                self.change_count += 1;
            }
            None => {
                self.rows
                    .insert(Arc::clone(&update.instance.name), Row::new(update, now));
                self.change_count += 1;
            }
        }
    }

    /// Refutes an update that suspects or removes this instance by raising the counter above it.
    ///
    /// Ignores updates about another incarnation and updates with a counter below the current one.
    fn refute(&mut self, now: Instant, update: &MembershipUpdate) {
        let own = self.own();
        if update.instance.incarnation != own.instance.incarnation || update.counter < own.counter {
            return;
        }
        let refutation = MembershipUpdate {
            counter: update.counter + 1,
            ..own.clone()
        };
        self.apply(now, refutation);
    }

    /// Adds an instance from the platform's list if it, or its incarnation, is not yet known.
    ///
    /// The list lags, so it neither removes a row nor overrides an instance's own updates.
    fn apply_listed(&mut self, now: Instant, instance: Instance) {
        let known = self.rows.get(&instance.name);
        if known.is_none_or(|row| row.update.instance.incarnation < instance.incarnation) {
            self.apply(now, MembershipUpdate::first(instance));
        }
    }

    fn record_message(&mut self, now: Instant, name: &str) {
        if let Some(row) = self.rows.get_mut(name) {
            row.last_message_at = Some(now);
        }
    }

    /// Returns up to `count` random instances for which `accept` holds, this one excluded.
    fn sample<R, F>(&self, count: usize, rng: &mut R, accept: F) -> Vec<Instance>
    where
        R: Rng,
        F: Fn(&Instance) -> bool,
    {
        self.present()
            .filter(|instance| instance.name != self.own_name && accept(instance))
            .choose_multiple(rng, count)
            .into_iter()
            .cloned()
            .collect()
    }

    /// Returns how often each update is sent: the multiplier times `floor(log2(rows)) + 1`.
    fn transmission_limit(&self) -> u32 {
        let doublings = usize::BITS - self.rows.len().leading_zeros();
        self.config.retransmit_multiplier * doublings
    }
}
