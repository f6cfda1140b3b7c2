//! Membership under crashes, pauses and messages that are lost, late or doubled.

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
struct History {
    seed: u64,
    size: usize,
    crashed: usize,
    paused: usize,
    /// Share of messages lost in the first part, in percent.
    loss: u32,
}

impl Arbitrary for History {
    fn arbitrary(g: &mut Gen) -> Self {
        let size = 4 + usize::arbitrary(g) % 9;
        Self {
            seed: u64::arbitrary(g),
            size,
            crashed: usize::arbitrary(g) % (size / 2),
            paused: usize::arbitrary(g) % 2,
            loss: u32::arbitrary(g) % 40,
        }
    }
}

enum Message {
    Probe {
        from: usize,
        to: usize,
        probe: u64,
        rumours: Vec<MembershipUpdate>,
        own: MembershipUpdate,
        origin: usize,
    },
    Answer {
        to: usize,
        probe: u64,
        rumours: Vec<MembershipUpdate>,
    },
}

struct Fleet {
    now: Instant,
    tables: Vec<Table>,
    up: Vec<bool>,
    rng: ChaCha8Rng,
    loss: u32,
    /// Messages by the step at which they arrive.
    queue: BTreeMap<(u32, u64), Message>,
    sent: u64,
    step: u32,
}

fn instance(number: usize) -> Instance {
    let port = 1000 + u16::try_from(number).unwrap();
    let address = ([127, 0, 0, 1], port).into();
    Instance {
        name: format!("i{number}").into(),
        incarnation: 1,
        data_centre: format!("dc{}", number % 3).into(),
        callers: address,
        peers: address,
        forwards: address,
        presence: Presence::Live,
    }
}

fn number(instance: &Instance) -> usize {
    usize::from(instance.peers.port()) - 1000
}

impl Fleet {
    fn open(history: &History) -> Self {
        let now = Instant::now();
        let list: Vec<Instance> = (0..history.size).map(instance).collect();
        let mut tables: Vec<Table> = list
            .iter()
            .map(|own| Table::open(now, own.clone(), Config::default()))
            .collect();
        for table in &mut tables {
            table.on_event(now, Event::Listed(list.clone()));
        }
        Self {
            now,
            tables,
            up: vec![true; history.size],
            rng: ChaCha8Rng::seed_from_u64(history.seed),
            loss: history.loss,
            queue: BTreeMap::new(),
            sent: 0,
            step: 0,
        }
    }

    fn send(&mut self, message: Message) {
        let copies = if self.rng.random_ratio(1, 20) { 2 } else { 1 };
        let lost = self.rng.random_range(0..100) < self.loss;
        if lost {
            return;
        }
        // The second copy of a doubled message carries what the first did, later.
        if copies == 2
            && let Message::Answer { to, probe, rumours } = &message
        {
            let copy = Message::Answer {
                to: *to,
                probe: *probe,
                rumours: rumours.clone(),
            };
            self.push(20, copy);
        }
        self.push(LATENCY_STEPS, message);
    }

    fn push(&mut self, delay: u32, message: Message) {
        self.sent += 1;
        self.queue.insert((self.step + delay, self.sent), message);
    }

    fn advance(&mut self, time: Duration) {
        let steps = (time.as_millis() / STEP.as_millis()) as u32;
        for _ in 0..steps {
            self.step += 1;
            self.now += STEP;
            self.deliver();
            for own in 0..self.tables.len() {
                if self.up[own] {
                    let actions = self.tables[own].tick(self.now, &mut self.rng);
                    for action in actions {
                        self.act(own, action);
                    }
                }
            }
        }
    }

    fn act(&mut self, own: usize, action: Action) {
        let (via, to, probe) = match action {
            Action::Probe { to, probe } => (own, to, probe),
            Action::Relay { via, to, probe } => (number(&via), to, probe),
        };
        if !self.up[via] {
            return;
        }
        let rumours = self.tables[via].rumours(&to.name);
        let own_rumour = self.tables[via].own().clone();
        let to = number(&to);
        self.send(Message::Probe {
            from: via,
            to,
            probe,
            rumours,
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
                probe,
                rumours,
                own,
                origin,
            } if self.up[to] => {
                self.tables[to].on_event(self.now, Event::Probed { from: own, rumours });
                let rumours = self.tables[to].rumours(&instance(from).name);
                self.send(Message::Answer {
                    to: origin,
                    probe,
                    rumours,
                });
            }
            Message::Answer { to, probe, rumours } if self.up[to] => {
                self.tables[to].on_event(self.now, Event::Answered { probe, rumours });
            }
            _ => {}
        }
    }

    fn names(&self, own: usize) -> Vec<Arc<str>> {
        self.tables[own]
            .live()
            .map(|instance| Arc::clone(&instance.name))
            .collect()
    }
}

/// After messages flow again, every instance lists exactly those that run, although some crashed,
/// one was paused long enough to be removed, and messages were lost and doubled before.
#[test]
fn converges_after_crashes_and_pauses() {
    fn property(history: History) -> bool {
        let mut fleet = Fleet::open(&history);
        fleet.advance(Duration::from_secs(2));
        let last = history.size - 1;
        for crashed in 0..history.crashed {
            fleet.up[crashed] = false;
        }
        if history.paused > 0 {
            fleet.up[last] = false;
        }
        fleet.advance(Duration::from_secs(15));
        fleet.up[last] = true;
        fleet.loss = 0;
        fleet.advance(Duration::from_mins(1));
        let mut expected: Vec<Arc<str>> = (history.crashed..history.size)
            .map(|n| instance(n).name)
            .collect();
        expected.sort();
        (history.crashed..history.size).all(|own| fleet.names(own) == expected)
    }
    check::runner(16).quickcheck(property as fn(History) -> bool);
}

/// A leaving instance is live nowhere, yet still present until it stops.
#[test]
fn leaving_spreads() {
    fn property(seed: u64) -> bool {
        let history = History {
            seed,
            size: 9,
            crashed: 0,
            paused: 0,
            loss: 10,
        };
        let mut fleet = Fleet::open(&history);
        fleet.advance(Duration::from_secs(1));
        let now = fleet.now;
        fleet.tables[4].leave(now);
        fleet.advance(Duration::from_secs(20));
        let name: Arc<str> = instance(4).name;
        (0..9).all(|own| {
            !fleet.names(own).contains(&name)
                && fleet.tables[own]
                    .present()
                    .any(|instance| instance.name == name)
        })
    }
    check::runner(16)
        .tests(20)
        .quickcheck(property as fn(u64) -> bool);
}

/// An instance that finds one other learns of the whole fleet from its table, removed ones aside.
#[test]
fn one_table_introduces_the_fleet() {
    let now = Instant::now();
    let list: Vec<Instance> = (0..100).map(instance).collect();
    let mut known = Table::open(now, list[0].clone(), Config::default());
    known.on_event(now, Event::Listed(list.clone()));
    let mut gone = known.snapshot()[7].clone();
    gone.health = Health::Dead;
    let gone_name = Arc::clone(&gone.instance.name);
    known.on_event(
        now,
        Event::Answered {
            probe: 0,
            rumours: vec![gone],
        },
    );

    let mut joining = Table::open(now, instance(100), Config::default());
    let rumours = known.snapshot();
    joining.on_event(now, Event::Answered { probe: 0, rumours });
    assert_eq!(joining.live().count(), 100);
    assert!(joining.live().all(|one| one.name != gone_name));
}

/// The probes that one instance sends per second do not grow with the fleet.
#[test]
fn probes_do_not_grow_with_the_fleet() {
    for size in [9, 90, 840] {
        let now = Instant::now();
        let list: Vec<Instance> = (0..size).map(instance).collect();
        let mut table = Table::open(now, list[0].clone(), Config::default());
        table.on_event(now, Event::Listed(list));
        let mut rng = ChaCha8Rng::seed_from_u64(check::seed());
        let probes = table.tick(now, &mut rng).len();
        assert_eq!(probes, 3, "fleet of {size}");
        assert!(table.rumours("i1").len() <= Config::default().rumours);
    }
}
