//! Which instances take part, as heard from the platform's list and from each other.
//!
//! Each instance probes a fixed number of others per interval, so the cost of one instance does not
//! grow with the fleet. Changes travel as rumours on probes and their answers. An instance that
//! misses a probe is asked through others, then suspected, and is removed only when the suspicion
//! has stood for [`Config::suspicion`]. A suspected instance that hears of it refutes the
//! suspicion with a higher counter.
//!
//! A partition and a pause look alike from here. Membership therefore steers work and proves
//! nothing: no decision that must hold may depend on it.
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
//!     callers: "127.0.0.1:6432".parse()?,
//!     peers: "127.0.0.1:7432".parse()?,
//!     forwards: "127.0.0.1:7433".parse()?,
//!     presence: Presence::Live,
//! };
//! let table = Table::open(Instant::now(), own, Config::default());
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
    /// Time between two rounds of probes.
    pub interval: Duration,
    /// Time after which a probe is asked through others.
    pub probe_timeout: Duration,
    /// Instances of the own data centre that a round probes.
    pub near_probes: usize,
    /// Instances of other data centres that a round probes.
    pub far_probes: usize,
    /// Instances that are asked to relay a probe without an answer.
    pub relays: usize,
    /// Time that a suspicion stands before the instance is removed.
    pub suspicion: Duration,
    /// Time after which a removed instance is forgotten.
    pub forget: Duration,
    /// Rumours that one message carries at most.
    pub rumours: usize,
    /// Messages that carry one rumour, per doubling of the fleet.
    pub retransmissions: u32,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            interval: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(400),
            near_probes: 2,
            far_probes: 1,
            relays: 2,
            suspicion: Duration::from_secs(3),
            forget: Duration::from_mins(2),
            rumours: 8,
            retransmissions: 3,
        }
    }
}

/// What happened outside the table.
#[derive(Clone, Debug)]
pub enum Event {
    /// Another instance sent a probe.
    Probed {
        /// Instance that sent it, as it describes itself.
        from: MembershipUpdate,
        /// Rumours that came with it.
        rumours: Vec<MembershipUpdate>,
    },
    /// A probe was answered, directly or through another instance.
    Answered {
        /// Number of the probe.
        probe: u64,
        /// Rumours that came with the answer.
        rumours: Vec<MembershipUpdate>,
    },
    /// The platform's lagging list was read.
    Listed(Vec<Instance>),
}

/// What the driver has to send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a probe to an instance.
    Probe {
        /// Instance to probe.
        to: Instance,
        /// Number that its answer carries.
        probe: u64,
    },
    /// Ask an instance to send a probe on.
    Relay {
        /// Instance to ask.
        via: Instance,
        /// Instance to probe.
        to: Instance,
        /// Number that its answer carries.
        probe: u64,
    },
}

#[derive(Debug)]
struct Probe {
    target: Arc<str>,
    sent: Instant,
    relayed: bool,
}

/// Instances of the fleet as this instance sees them.
#[derive(Debug)]
pub struct Table {
    config: Config,
    own: Arc<str>,
    rows: BTreeMap<Arc<str>, Row>,
    probes: BTreeMap<u64, Probe>,
    next_probe: u64,
    next_round: Instant,
    changes: u64,
}

impl Table {
    /// Opens a table that holds this instance alone.
    pub fn open(now: Instant, own: Instance, config: Config) -> Self {
        let name = Arc::clone(&own.name);
        let row = Row::new(MembershipUpdate::first(own), now);
        Self {
            config,
            own: Arc::clone(&name),
            rows: BTreeMap::from([(name, row)]),
            probes: BTreeMap::new(),
            next_probe: 0,
            next_round: now,
            changes: 0,
        }
    }

    /// Returns the rumour that describes this instance.
    ///
    /// # Panics
    ///
    /// Never panics: a table always holds its own row.
    pub fn own(&self) -> &MembershipUpdate {
        &self.rows[&self.own].rumour
    }

    /// Returns the instances that take new work, this one included unless it is leaving.
    ///
    /// A suspected instance counts until it is removed.
    pub fn live(&self) -> impl Iterator<Item = &Instance> {
        self.present()
            .filter(|instance| instance.presence == Presence::Live)
    }

    /// Returns the instances that are not removed, leaving ones included.
    pub fn present(&self) -> impl Iterator<Item = &Instance> {
        self.rows
            .values()
            .filter(|row| row.rumour.health != Health::Dead)
            .map(|row| &row.rumour.instance)
    }

    /// Returns the rumours of all instances that are not removed, for an instance that joins.
    pub fn snapshot(&self) -> Vec<MembershipUpdate> {
        let present = self
            .rows
            .values()
            .filter(|row| row.rumour.health != Health::Dead);
        present.map(|row| row.rumour.clone()).collect()
    }

    /// Returns when a message of an instance last came in, if one ever did.
    pub fn heard(&self, name: &str) -> Option<Instant> {
        self.rows.get(name).and_then(|row| row.heard)
    }

    /// Returns a number that grows whenever the set of instances changes.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Marks this instance as leaving and spreads it.
    pub fn leave(&mut self, now: Instant) {
        let mut rumour = self.own().clone();
        rumour.instance.presence = Presence::Leaving;
        rumour.counter += 1;
        self.learn(now, rumour);
    }

    /// Returns rumours for one message to an instance, least often sent first.
    ///
    /// An instance that is held to be suspected or removed is always told, so that it can refute.
    pub fn rumours(&mut self, to: &str) -> Vec<MembershipUpdate> {
        let limit = self.send_limit();
        let mut pending: Vec<&mut Row> = self
            .rows
            .values_mut()
            .filter(|row| row.is_due(to, limit))
            .collect();
        pending.sort_by_key(|row| (!row.accuses(to), row.sends));
        pending.truncate(self.config.rumours);
        pending.into_iter().map(Row::send).collect()
    }

    /// Takes in what happened outside.
    pub fn on_event(&mut self, now: Instant, event: Event) {
        match event {
            Event::Probed { from, rumours } => {
                let name = Arc::clone(&from.instance.name);
                self.learn_all(now, rumours);
                self.learn(now, from);
                self.mark_heard(now, &name);
            }
            Event::Answered { probe, rumours } => {
                self.learn_all(now, rumours);
                // An answer that is late or doubled names a probe that is gone; only its rumours count.
                if let Some(answered) = self.probes.remove(&probe) {
                    self.mark_heard(now, &answered.target);
                }
            }
            Event::Listed(list) => {
                for instance in list {
                    self.learn_listed(now, instance);
                }
            }
        }
    }

    /// Returns what is due: probes of a new round, relays of late probes.
    pub fn tick<R>(&mut self, now: Instant, rng: &mut R) -> Vec<Action>
    where
        R: Rng,
    {
        let mut actions = self.relay_late_probes(now, rng);
        self.expire(now);
        if now >= self.next_round {
            self.next_round = now + self.config.interval;
            actions.extend(self.start_round(now, rng));
        }
        actions
    }

    /// Returns when [`Table::tick`] is due next, at the latest.
    pub fn next_deadline(&self) -> Instant {
        self.probes
            .values()
            .filter(|probe| !probe.relayed)
            .map(|probe| probe.sent + self.config.probe_timeout)
            .fold(self.next_round, Instant::min)
    }

    fn start_round<R>(&mut self, now: Instant, rng: &mut R) -> Vec<Action>
    where
        R: Rng,
    {
        let data_centre = Arc::clone(&self.own().instance.data_centre);
        let near = self.sample(self.config.near_probes, rng, |i| {
            i.data_centre == data_centre
        });
        let far = self.sample(self.config.far_probes, rng, |i| {
            i.data_centre != data_centre
        });
        near.into_iter()
            .chain(far)
            .map(|to| self.probe(now, to))
            .collect()
    }

    fn probe(&mut self, now: Instant, to: Instance) -> Action {
        let probe = self.next_probe;
        self.next_probe += 1;
        let target = Arc::clone(&to.name);
        self.probes.insert(
            probe,
            Probe {
                target,
                sent: now,
                relayed: false,
            },
        );
        Action::Probe { to, probe }
    }

    fn relay_late_probes<R>(&mut self, now: Instant, rng: &mut R) -> Vec<Action>
    where
        R: Rng,
    {
        let timeout = self.config.probe_timeout;
        let late: Vec<(u64, Arc<str>)> = self
            .probes
            .iter_mut()
            .filter(|(_, probe)| !probe.relayed && now >= probe.sent + timeout)
            .map(|(number, probe)| {
                probe.relayed = true;
                (*number, Arc::clone(&probe.target))
            })
            .collect();
        let mut actions = Vec::new();
        for (probe, target) in late {
            let Some(row) = self.rows.get(&target) else {
                continue;
            };
            let to = row.rumour.instance.clone();
            for via in self.sample(self.config.relays, rng, |i| i.name != target) {
                actions.push(Action::Relay {
                    via,
                    to: to.clone(),
                    probe,
                });
            }
        }
        actions
    }

    /// Suspects targets of probes that stayed without an answer and ages rows.
    fn expire(&mut self, now: Instant) {
        let deadline = self.config.probe_timeout * 3;
        let missed: Vec<u64> = self
            .probes
            .iter()
            .filter(|(_, probe)| now >= probe.sent + deadline)
            .map(|(number, _)| *number)
            .collect();
        for number in missed {
            if let Some(probe) = self.probes.remove(&number) {
                self.suspect(now, &probe);
            }
        }
        self.age_rows(now);
    }

    fn suspect(&mut self, now: Instant, probe: &Probe) {
        let Some(row) = self.rows.get(&probe.target) else {
            return;
        };
        // A message that came in after the probe left is as good as its answer.
        let heard_since = row.heard.is_some_and(|heard| heard >= probe.sent);
        if heard_since || row.rumour.health != Health::Alive {
            return;
        }
        let rumour = MembershipUpdate {
            health: Health::Suspect,
            ..row.rumour.clone()
        };
        self.learn(now, rumour);
    }

    fn age_rows(&mut self, now: Instant) {
        let Config {
            suspicion, forget, ..
        } = self.config;
        let lapsed: Vec<MembershipUpdate> = self
            .rows
            .values()
            .filter(|row| row.rumour.health == Health::Suspect && now >= row.since + suspicion)
            .map(|row| MembershipUpdate {
                health: Health::Dead,
                ..row.rumour.clone()
            })
            .collect();
        self.learn_all(now, lapsed);
        self.rows
            .retain(|_, row| row.rumour.health != Health::Dead || now < row.since + forget);
    }

    fn learn_all(&mut self, now: Instant, rumours: Vec<MembershipUpdate>) {
        for rumour in rumours {
            self.learn(now, rumour);
        }
    }

    fn learn(&mut self, now: Instant, rumour: MembershipUpdate) {
        if rumour.instance.name == self.own && rumour.health != Health::Alive {
            self.refute(now, &rumour);
            return;
        }
        match self.rows.get_mut(&rumour.instance.name) {
            Some(row) if !rumour.supersedes(&row.rumour) => {}
            Some(row) => {
                row.replace(rumour, now);
                self.changes += 1;
            }
            None => {
                self.rows
                    .insert(Arc::clone(&rumour.instance.name), Row::new(rumour, now));
                self.changes += 1;
            }
        }
    }

    /// Answers a suspicion of this instance with a higher counter.
    fn refute(&mut self, now: Instant, rumour: &MembershipUpdate) {
        let own = self.own();
        if rumour.instance.incarnation != own.instance.incarnation || rumour.counter < own.counter {
            return;
        }
        let refutation = MembershipUpdate {
            counter: rumour.counter + 1,
            ..own.clone()
        };
        self.learn(now, refutation);
    }

    /// Adds an instance that only the platform's list knows.
    ///
    /// The list lags, so it neither removes a row nor overrides what an instance said itself.
    fn learn_listed(&mut self, now: Instant, instance: Instance) {
        let known = self.rows.get(&instance.name);
        if known.is_none_or(|row| row.rumour.instance.incarnation < instance.incarnation) {
            self.learn(now, MembershipUpdate::first(instance));
        }
    }

    fn mark_heard(&mut self, now: Instant, name: &str) {
        if let Some(row) = self.rows.get_mut(name) {
            row.heard = Some(now);
        }
    }

    fn sample<R, F>(&self, count: usize, rng: &mut R, accept: F) -> Vec<Instance>
    where
        R: Rng,
        F: Fn(&Instance) -> bool,
    {
        self.present()
            .filter(|instance| instance.name != self.own && accept(instance))
            .choose_multiple(rng, count)
            .into_iter()
            .cloned()
            .collect()
    }

    fn send_limit(&self) -> u32 {
        let doublings = usize::BITS - self.rows.len().leading_zeros();
        self.config.retransmissions * doublings
    }
}
