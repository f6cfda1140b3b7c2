//! Simulates a fleet whose instances crash and pause, and whose messages are lost, delayed or
//! duplicated.
//!
//! Guards against tables that do not converge to the running instances, and against a cost per
//! instance that grows with the fleet.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::membership::{Action, Config, Event, Health, MembershipUpdate, Table};
use filbertbay_state::instance::{Instance, Presence};
use quickcheck::{Arbitrary, Gen};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(50);
const LATENCY_STEPS: u32 = 1;

#[derive(Clone, Copy, Debug)]
struct Scenario {
    seed: u64,
    size: usize,
    /// Number of instances that crash.
    crashed: usize,
    /// Number of instances that are paused, zero or one.
    paused: usize,
    /// Share of messages lost until the network recovers, in percent.
    loss_percent: u32,
}

impl Arbitrary for Scenario {
    fn arbitrary(g: &mut Gen) -> Self {
        let size = 4 + usize::arbitrary(g) % 9;
        Self {
            seed: u64::arbitrary(g),
            size,
            crashed: usize::arbitrary(g) % (size / 2),
            paused: usize::arbitrary(g) % 2,
            loss_percent: u32::arbitrary(g) % 40,
        }
    }
}

enum Message {
    Probe {
        /// Instance that sends the message: the origin or a relay.
        from: usize,
        to: usize,
        probe_id: u64,
        updates: Vec<MembershipUpdate>,
        own: MembershipUpdate,
        /// Instance that started the probe and receives the acknowledgement.
        origin: usize,
    },
    Acknowledgement {
        to: usize,
        probe_id: u64,
        updates: Vec<MembershipUpdate>,
    },
}

struct Fleet {
    now: Instant,
    tables: Vec<Table>,
    running: Vec<bool>,
    rng: ChaCha8Rng,
    loss_percent: u32,
    /// Messages in flight, by the step of their arrival and their sequence number.
    queue: BTreeMap<(u32, u64), Message>,
    sequence: u64,
    step: u32,
}

fn instance(index: usize) -> Instance {
    let port = 1000 + u16::try_from(index).unwrap();
    let address = ([127, 0, 0, 1], port).into();
    Instance {
        name: format!("i{index}").into(),
        incarnation: 1,
        data_centre: format!("dc{}", index % 3).into(),
        caller_address: address,
        peer_address: address,
        forward_address: address,
        presence: Presence::Live,
    }
}

fn index_of(instance: &Instance) -> usize {
    usize::from(instance.peer_address.port()) - 1000
}

impl Fleet {
    fn new(scenario: &Scenario) -> Self {
        let now = Instant::now();
        let instances: Vec<Instance> = (0..scenario.size).map(instance).collect();
        let mut tables: Vec<Table> = instances
            .iter()
            .map(|own| Table::new(now, own.clone(), Config::default()))
            .collect();
        for table in &mut tables {
            table.on_event(now, Event::PlatformList(instances.clone()));
        }
        Self {
            now,
            tables,
            running: vec![true; scenario.size],
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            loss_percent: scenario.loss_percent,
            queue: BTreeMap::new(),
            sequence: 0,
            step: 0,
        }
    }

    fn send(&mut self, message: Message) {
        let copies = if self.rng.random_ratio(1, 20) { 2 } else { 1 };
        let lost = self.rng.random_range(0..100) < self.loss_percent;
        if lost {
            return;
        }
        // The duplicate of an acknowledgement has the same content and arrives 20 steps later.
        if copies == 2
            && let Message::Acknowledgement {
                to,
                probe_id,
                updates,
            } = &message
        {
            let copy = Message::Acknowledgement {
                to: *to,
                probe_id: *probe_id,
                updates: updates.clone(),
            };
            self.enqueue(20, copy);
        }
        self.enqueue(LATENCY_STEPS, message);
    }

    fn enqueue(&mut self, delay: u32, message: Message) {
        self.sequence += 1;
        self.queue
            .insert((self.step + delay, self.sequence), message);
    }

    fn advance(&mut self, time: Duration) {
        let steps = (time.as_millis() / STEP.as_millis()) as u32;
        for _ in 0..steps {
            self.step += 1;
            self.now += STEP;
            self.deliver();
            for own in 0..self.tables.len() {
                if self.running[own] {
                    let actions = self.tables[own].tick(self.now, &mut self.rng);
                    for action in actions {
                        self.perform(own, action);
                    }
                }
            }
        }
    }

    fn perform(&mut self, own: usize, action: Action) {
        let (via, to, probe_id) = match action {
            Action::Probe { to, probe_id } => (own, to, probe_id),
            Action::Relay { via, to, probe_id } => (index_of(&via), to, probe_id),
        };
        if !self.running[via] {
            return;
        }
        let updates = self.tables[via].updates_for(&to.name);
        let own_rumour = self.tables[via].own().clone();
        let to = index_of(&to);
        self.send(Message::Probe {
            from: via,
            to,
            probe_id,
            updates,
            own: own_rumour,
            origin: own,
        });
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.step {
                return;
            }
            let message = entry.remove();
            self.receive(message);
        }
    }

    fn receive(&mut self, message: Message) {
        match message {
            Message::Probe {
                from,
                to,
                probe_id,
                updates,
                own,
                origin,
            } if self.running[to] => {
                self.tables[to].on_event(self.now, Event::ProbeReceived { from: own, updates });
                let updates = self.tables[to].updates_for(&instance(from).name);
                self.send(Message::Acknowledgement {
                    to: origin,
                    probe_id,
                    updates,
                });
            }
            Message::Acknowledgement {
                to,
                probe_id,
                updates,
            } if self.running[to] => {
                self.tables[to].on_event(self.now, Event::ProbeAcknowledged { probe_id, updates });
            }
            _ => {}
        }
    }

    fn live_names(&self, own: usize) -> Vec<Arc<str>> {
        self.tables[own]
            .live()
            .map(|instance| Arc::clone(&instance.name))
            .collect()
    }
}

/// Once the network has recovered, the live instances of every table are exactly those that run,
/// although some crashed, one was paused long enough to be removed, and messages were lost and
/// duplicated before.
#[test]
fn converges_after_crashes_and_pauses() {
    fn property(scenario: Scenario) -> bool {
        let mut fleet = Fleet::new(&scenario);
        fleet.advance(Duration::from_secs(2));
        let last = scenario.size - 1;
        for crashed in 0..scenario.crashed {
            fleet.running[crashed] = false;
        }
        if scenario.paused > 0 {
            fleet.running[last] = false;
        }
        fleet.advance(Duration::from_secs(15));
        fleet.running[last] = true;
        fleet.loss_percent = 0;
        fleet.advance(Duration::from_mins(1));
        let mut expected: Vec<Arc<str>> = (scenario.crashed..scenario.size)
            .map(|n| instance(n).name)
            .collect();
        expected.sort();
        (scenario.crashed..scenario.size).all(|own| fleet.live_names(own) == expected)
    }
    check::runner(16).quickcheck(property as fn(Scenario) -> bool);
}

/// A leaving instance is live in no table, but stays present until it stops.
#[test]
fn leaving_instance_is_present_but_not_live_everywhere() {
    fn property(seed: u64) -> bool {
        let scenario = Scenario {
            seed,
            size: 9,
            crashed: 0,
            paused: 0,
            loss_percent: 10,
        };
        let mut fleet = Fleet::new(&scenario);
        fleet.advance(Duration::from_secs(1));
        let now = fleet.now;
        fleet.tables[4].leave(now);
        fleet.advance(Duration::from_secs(20));
        let name: Arc<str> = instance(4).name;
        (0..9).all(|own| {
            !fleet.live_names(own).contains(&name)
                && fleet.tables[own]
                    .present()
                    .any(|instance| instance.name == name)
        })
    }
    check::runner(16)
        .tests(20)
        .quickcheck(property as fn(u64) -> bool);
}

/// A joining instance learns the whole fleet, except removed instances, from one snapshot.
#[test]
fn joining_instance_learns_the_fleet_from_one_snapshot() {
    let now = Instant::now();
    let instances: Vec<Instance> = (0..100).map(instance).collect();
    let mut known = Table::new(now, instances[0].clone(), Config::default());
    known.on_event(now, Event::PlatformList(instances.clone()));
    let mut removed = known.snapshot()[7].clone();
    removed.health = Health::Dead;
    let removed_name = Arc::clone(&removed.instance.name);
    known.on_event(
        now,
        Event::ProbeAcknowledged {
            probe_id: 0,
            updates: vec![removed],
        },
    );

    let mut joining = Table::new(now, instance(100), Config::default());
    let updates = known.snapshot();
    joining.on_event(
        now,
        Event::ProbeAcknowledged {
            probe_id: 0,
            updates,
        },
    );
    assert_eq!(joining.live().count(), 100);
    assert!(joining.live().all(|instance| instance.name != removed_name));
}

/// The number of probes per round, and of updates per message, does not grow with the fleet.
#[test]
fn probes_and_updates_do_not_grow_with_the_fleet() {
    for size in [9, 90, 840] {
        let now = Instant::now();
        let instances: Vec<Instance> = (0..size).map(instance).collect();
        let mut table = Table::new(now, instances[0].clone(), Config::default());
        table.on_event(now, Event::PlatformList(instances));
        let mut rng = ChaCha8Rng::seed_from_u64(check::seed());
        let probes = table.tick(now, &mut rng).len();
        assert_eq!(probes, 3, "fleet of {size}");
        assert!(table.updates_for("i1").len() <= Config::default().max_updates_per_message);
    }
}
