//! Seats never hold more connections than a member accepts.

#![allow(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes its arguments by value"
)]

use std::collections::HashMap;
use std::time::{Duration, Instant};

use filbertbay_coordination::seat::{Action, Config, Decider, Event, Plan};
use quickcheck::{Arbitrary, Gen};

const INSTANCES: usize = 6;

/// What happens in a history.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Time passes for all.
    Pass(u64),
    /// An instance looks at its clock and hears what it was told.
    Run(usize),
    /// An instance dies with its connections and starts again.
    Crash(usize),
    /// The connection that holds an instance's lock breaks; it hears of it at its next run.
    Break(usize),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let instance = usize::arbitrary(g) % INSTANCES;
        match u8::arbitrary(g) % 8 {
            0..=1 => Self::Pass(u64::arbitrary(g) % 600),
            2..=5 => Self::Run(instance),
            6 => Self::Crash(instance),
            _ => Self::Break(instance),
        }
    }
}

/// One instance and what has not reached it yet.
struct Instance {
    decider: Decider,
    inbox: Vec<Event>,
    open: u32,
}

/// Member that arbitrates, with the instances around it.
struct World {
    plan: Plan,
    now: Instant,
    locks: HashMap<u32, usize>,
    instances: Vec<Instance>,
}

impl World {
    fn new(connections: u32) -> Self {
        let plan = Plan::for_connections(connections);
        let now = Instant::now();
        let instances = (0..INSTANCES)
            .map(|rank| instance(plan, rank, now))
            .collect();
        Self {
            plan,
            now,
            locks: HashMap::new(),
            instances,
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Pass(milliseconds) => self.now += Duration::from_millis(milliseconds),
            Step::Run(index) => self.run(index),
            Step::Crash(index) => {
                self.locks.retain(|_, holder| *holder != index);
                self.instances[index] = instance(self.plan, index, self.now);
            }
            Step::Break(index) => {
                self.locks.retain(|_, holder| *holder != index);
                self.instances[index].inbox = vec![Event::LockConnectionLost];
                // The holder's runtime reads the end of the connection within the settling time.
                self.run(index);
            }
        }
    }

    fn run(&mut self, index: usize) {
        let mut events = std::mem::take(&mut self.instances[index].inbox);
        events.push(Event::Elapsed);
        for event in events {
            for action in self.instances[index].decider.on_event(self.now, event) {
                self.act(index, action);
            }
        }
    }

    fn act(&mut self, index: usize, action: Action) {
        match action {
            Action::TryLock(seat) => {
                let granted = *self.locks.entry(seat).or_insert(index) == index;
                self.instances[index]
                    .inbox
                    .push(Event::LockReply { seat, granted });
            }
            Action::OpenConnections(connections) => self.instances[index].open = connections,
            Action::CloseConnections => self.instances[index].open = 0,
        }
    }

    fn used(&self) -> u32 {
        let open: u32 = self.instances.iter().map(|instance| instance.open).sum();
        open + self.locks.len() as u32
    }
}

fn instance(plan: Plan, rank: usize, now: Instant) -> Instance {
    let decider = Decider::new(Config::default(), plan, rank as u32, now);
    Instance {
        decider,
        inbox: Vec::new(),
        open: 0,
    }
}

#[test]
fn the_sum_never_passes_the_limit() {
    fn property(connections: u8, steps: Vec<Step>) -> bool {
        let connections = u32::from(connections);
        let mut world = World::new(connections);
        steps.into_iter().all(|step| {
            world.step(step);
            world.used() <= connections
        })
    }
    check::runner(400).quickcheck(property as fn(u8, Vec<Step>) -> bool);
}

#[test]
fn every_seat_is_taken_once_things_are_quiet() {
    fn property(steps: Vec<Step>) -> bool {
        let mut world = World::new(37);
        for step in steps {
            world.step(step);
        }
        for _ in 0..100 {
            world.now += Duration::from_millis(100);
            (0..INSTANCES).for_each(|index| world.run(index));
        }
        let sitting = world
            .instances
            .iter()
            .filter(|instance| instance.open > 0)
            .count();
        sitting == world.plan.seats() as usize
    }
    check::runner(200).quickcheck(property as fn(Vec<Step>) -> bool);
}

#[test]
fn plans_keep_a_reserve() {
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
