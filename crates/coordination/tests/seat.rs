//! Simulates instances that compete for a member's seats while instances crash and lock
//! connections break.
//!
//! Guards against opening more connections than the member accepts, which happens if a new holder
//! of a seat opens its connections while those of the previous holder are still open, and against
//! seats that remain unused.

#![allow(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes its arguments by value"
)]

use std::collections::HashMap;
use std::time::{Duration, Instant};

use filbertbay_coordination::seat::{Action, Config, Decider, Event, Plan};
use quickcheck::{Arbitrary, Gen};

const INSTANCES: usize = 6;

/// One step of a simulation.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Advances the time of all instances by a number of milliseconds.
    AdvanceTime(u64),
    /// Runs an instance: delivers its pending events and the current time.
    Run(usize),
    /// Crashes an instance, which closes its connections, and restarts it.
    Crash(usize),
    /// Breaks the connection that holds an instance's lock, and runs the instance.
    BreakLockConnection(usize),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let instance = usize::arbitrary(g) % INSTANCES;
        match u8::arbitrary(g) % 8 {
            0..=1 => Self::AdvanceTime(u64::arbitrary(g) % 600),
            2..=5 => Self::Run(instance),
            6 => Self::Crash(instance),
            _ => Self::BreakLockConnection(instance),
        }
    }
}

/// Simulated instance with its undelivered events and its open connections for statements.
struct Instance {
    decider: Decider,
    pending_events: Vec<Event>,
    open_connections: u32,
}

/// Member with its advisory locks, and the instances that compete for its seats.
struct Simulation {
    plan: Plan,
    now: Instant,
    /// Index of the instance that holds the lock of each seat.
    lock_holders: HashMap<u32, usize>,
    instances: Vec<Instance>,
}

impl Simulation {
    fn new(connections: u32) -> Self {
        let plan = Plan::for_connections(connections);
        let now = Instant::now();
        let instances = (0..INSTANCES)
            .map(|rank| new_instance(plan, rank, now))
            .collect();
        Self {
            plan,
            now,
            lock_holders: HashMap::new(),
            instances,
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::AdvanceTime(milliseconds) => self.now += Duration::from_millis(milliseconds),
            Step::Run(index) => self.run(index),
            Step::Crash(index) => {
                self.lock_holders.retain(|_, holder| *holder != index);
                self.instances[index] = new_instance(self.plan, index, self.now);
            }
            Step::BreakLockConnection(index) => {
                self.lock_holders.retain(|_, holder| *holder != index);
                self.instances[index].pending_events = vec![Event::LockConnectionLost];
                // The holder notices the end of the connection within the settle delay.
                self.run(index);
            }
        }
    }

    fn run(&mut self, index: usize) {
        let mut events = std::mem::take(&mut self.instances[index].pending_events);
        events.push(Event::Elapsed);
        for event in events {
            for action in self.instances[index].decider.on_event(self.now, event) {
                self.perform(index, action);
            }
        }
    }

    fn perform(&mut self, index: usize, action: Action) {
        match action {
            Action::TryLock(seat) => {
                let granted = *self.lock_holders.entry(seat).or_insert(index) == index;
                self.instances[index]
                    .pending_events
                    .push(Event::LockReply { seat, granted });
            }
            Action::OpenConnections(count) => self.instances[index].open_connections = count,
            Action::CloseConnections => self.instances[index].open_connections = 0,
        }
    }

    fn connections_in_use(&self) -> u32 {
        let for_statements: u32 = self
            .instances
            .iter()
            .map(|instance| instance.open_connections)
            .sum();
        for_statements + self.lock_holders.len() as u32
    }
}

fn new_instance(plan: Plan, rank: usize, now: Instant) -> Instance {
    let decider = Decider::new(Config::default(), plan, rank as u32, now);
    Instance {
        decider,
        pending_events: Vec::new(),
        open_connections: 0,
    }
}

#[test]
fn total_connections_never_exceed_the_limit() {
    fn property(connections: u8, steps: Vec<Step>) -> bool {
        let connections = u32::from(connections);
        let mut simulation = Simulation::new(connections);
        steps.into_iter().all(|step| {
            simulation.step(step);
            simulation.connections_in_use() <= connections
        })
    }
    check::runner(400).quickcheck(property as fn(u8, Vec<Step>) -> bool);
}

#[test]
fn every_seat_is_held_after_faults_stop() {
    fn property(steps: Vec<Step>) -> bool {
        let mut simulation = Simulation::new(37);
        for step in steps {
            simulation.step(step);
        }
        for _ in 0..100 {
            simulation.now += Duration::from_millis(100);
            (0..INSTANCES).for_each(|index| simulation.run(index));
        }
        let holders = simulation
            .instances
            .iter()
            .filter(|instance| instance.open_connections > 0)
            .count();
        holders == simulation.plan.seats() as usize
    }
    check::runner(200).quickcheck(property as fn(Vec<Step>) -> bool);
}

#[test]
fn plans_fit_the_limit_and_have_usable_seats() {
    for connections in 0..200 {
        let plan = Plan::for_connections(connections);
        let used = plan.seats() * plan.connections_per_seat();
        assert!(used <= connections, "{connections}: {plan:?}");
        assert!(
            connections < 4 || plan.seats() > 0,
            "{connections}: {plan:?}"
        );
        assert!(
            plan.seats() == 0 || plan.connections_per_seat() > 1,
            "{connections}: {plan:?}"
        );
    }
}
