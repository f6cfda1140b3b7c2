//! Measures the cost of the membership protocol by the number of instances.

use std::time::{Duration, Instant};

use filbertbay_coordination::membership::{Action, Config, Event, MembershipUpdate, Table};
use filbertbay_protocol::peer::{Heartbeat, PROTOCOL_VERSION};
use filbertbay_state::instance::{Instance, Presence};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::{Series, bytes_of};

const FLEET_SIZES: [usize; 5] = [9, 105, 210, 420, 840];
const DESIGN_SIZE: usize = 840;
const DATA_CENTRES: usize = 6;
const SEED: u64 = 1;

/// Simulated duration of a measurement, in seconds.
const SECONDS: u32 = 60;

pub(crate) fn series() -> Vec<Series> {
    vec![
        Series::measure(
            "membership: processor time",
            "µs/s",
            "instances",
            &FLEET_SIZES,
            DESIGN_SIZE,
            |size| SimulatedInstance::new(size).run().processor_us_per_second,
        ),
        Series::measure(
            "membership: sent",
            "bytes/s",
            "instances",
            &FLEET_SIZES,
            DESIGN_SIZE,
            |size| SimulatedInstance::new(size).run().bytes_per_second,
        ),
        Series::measure(
            "membership: state",
            "bytes",
            "instances",
            &FLEET_SIZES,
            DESIGN_SIZE,
            |size| bytes_of(|| SimulatedInstance::new(size).table),
        ),
    ]
}

/// Membership table of one instance whose probes are acknowledged immediately.
struct SimulatedInstance {
    now: Instant,
    table: Table,
    instances: Vec<Instance>,
    rng: StdRng,
}

struct Cost {
    processor_us_per_second: f64,
    bytes_per_second: f64,
}

impl SimulatedInstance {
    fn new(size: usize) -> Self {
        let now = Instant::now();
        let instances: Vec<Instance> = (0..size).map(instance).collect();
        let mut table = Table::new(now, instances[0].clone(), Config::default());
        table.on_event(now, Event::PlatformList(instances.clone()));
        Self {
            now,
            table,
            instances,
            rng: StdRng::seed_from_u64(SEED),
        }
    }

    /// Simulates probes, their acknowledgements and as many probes from peers. Returns the cost per
    /// second.
    fn run(mut self) -> Cost {
        let mut sent = 0;
        let since = Instant::now();
        for second in 0..SECONDS {
            self.now += Duration::from_secs(1);
            for action in self.table.tick(self.now, &mut self.rng) {
                let (Action::Probe { to, probe_id } | Action::Relay { to, probe_id, .. }) = action;
                sent += self.encode(&to.name).len();
                let update = initial_update(&to);
                let event = Event::ProbeAcknowledged {
                    probe_id,
                    updates: vec![update],
                };
                self.table.on_event(self.now, event);
                sent += self.acknowledge_probe(second as usize);
            }
        }
        let seconds = f64::from(SECONDS);
        Cost {
            processor_us_per_second: since.elapsed().as_secs_f64() * 1e6 / seconds,
            bytes_per_second: sent as f64 / seconds,
        }
    }

    fn acknowledge_probe(&mut self, round: usize) -> usize {
        let from = self.instances[1 + round % (self.instances.len() - 1)].clone();
        let from = initial_update(&from);
        // Every probe carries a new update, as if instances joined and left continuously.
        let updates = vec![MembershipUpdate {
            counter: round as u64 + 1,
            ..from.clone()
        }];
        let name = std::sync::Arc::clone(&from.instance.name);
        self.table
            .on_event(self.now, Event::ProbeReceived { from, updates });
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

fn initial_update(instance: &Instance) -> MembershipUpdate {
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
