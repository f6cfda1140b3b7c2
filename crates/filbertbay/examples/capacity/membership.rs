//! Slopes of membership by the size of the fleet.

use std::time::{Duration, Instant};

use filbertbay_coordination::membership::{Action, Config, Event, MembershipUpdate, Table};
use filbertbay_protocol::peer::{Heartbeat, PROTOCOL_VERSION};
use filbertbay_state::instance::{Instance, Presence};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::{Series, bytes_of};

const SIZES: [usize; 5] = [9, 105, 210, 420, 840];
const DESIGN_SIZE: usize = 840;
const DATA_CENTRES: usize = 6;
const SEED: u64 = 1;

/// Seconds of membership that a measurement runs through.
const SECONDS: u32 = 60;

pub(crate) fn series() -> Vec<Series> {
    vec![
        Series::measure(
            "membership: processor time",
            "µs/s",
            "instances",
            &SIZES,
            DESIGN_SIZE,
            |size| Node::open(size).run().processor_us_per_second,
        ),
        Series::measure(
            "membership: sent",
            "bytes/s",
            "instances",
            &SIZES,
            DESIGN_SIZE,
            |size| Node::open(size).run().bytes_per_second,
        ),
        Series::measure(
            "membership: state",
            "bytes",
            "instances",
            &SIZES,
            DESIGN_SIZE,
            |size| bytes_of(|| Node::open(size).table),
        ),
    ]
}

/// One instance's table, with answers that come at once.
struct Node {
    now: Instant,
    table: Table,
    list: Vec<Instance>,
    rng: StdRng,
}

struct Cost {
    processor_us_per_second: f64,
    bytes_per_second: f64,
}

impl Node {
    fn open(size: usize) -> Self {
        let now = Instant::now();
        let list: Vec<Instance> = (0..size).map(instance).collect();
        let mut table = Table::new(now, list[0].clone(), Config::default());
        table.on_event(now, Event::PlatformList(list.clone()));
        Self {
            now,
            table,
            list,
            rng: StdRng::seed_from_u64(SEED),
        }
    }

    /// Runs probes, answers and as many probes by others, and returns what a second costs.
    fn run(mut self) -> Cost {
        let mut sent = 0;
        let since = Instant::now();
        for second in 0..SECONDS {
            self.now += Duration::from_secs(1);
            for action in self.table.tick(self.now, &mut self.rng) {
                let (Action::Probe {
                    to,
                    probe_id: probe,
                }
                | Action::Relay {
                    to,
                    probe_id: probe,
                    ..
                }) = action;
                sent += self.encode(&to.name).len();
                let answer = rumour_of(&to);
                let event = Event::ProbeAcknowledged {
                    probe_id: probe,
                    updates: vec![answer],
                };
                self.table.on_event(self.now, event);
                sent += self.answer_probe(second as usize);
            }
        }
        let seconds = f64::from(SECONDS);
        Cost {
            processor_us_per_second: since.elapsed().as_secs_f64() * 1e6 / seconds,
            bytes_per_second: sent as f64 / seconds,
        }
    }

    fn answer_probe(&mut self, turn: usize) -> usize {
        let from = self.list[1 + turn % (self.list.len() - 1)].clone();
        let from = rumour_of(&from);
        // Every probe brings news, as if instances came and went all the time.
        let rumours = vec![MembershipUpdate {
            counter: turn as u64 + 1,
            ..from.clone()
        }];
        let name = std::sync::Arc::clone(&from.instance.name);
        self.table.on_event(
            self.now,
            Event::ProbeReceived {
                from,
                updates: rumours,
            },
        );
        self.encode(&name).len()
    }

    fn encode(&mut self, to: &str) -> Vec<u8> {
        let heartbeat = Heartbeat {
            protocol: PROTOCOL_VERSION,
            from: self.table.own().clone(),
            config_version: 1,
            platform_contact_age: Some(Duration::ZERO),
            allocation_epoch: 1,
            updates: self.table.updates_for(to),
        };
        bincode::serialize(&heartbeat).unwrap_or_default()
    }
}

fn rumour_of(instance: &Instance) -> MembershipUpdate {
    MembershipUpdate::first(instance.clone())
}

fn instance(number: usize) -> Instance {
    let address = ([127, 0, 0, 1], 1 + number as u16).into();
    Instance {
        name: format!("instance-{number}").into(),
        incarnation: 1,
        data_centre: format!("data-centre-{}", number % DATA_CENTRES).into(),
        caller_address: address,
        peer_address: address,
        forward_address: address,
        presence: Presence::Live,
    }
}
