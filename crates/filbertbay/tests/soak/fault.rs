//! Injection of random faults, one after another and overlapping.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::Soak;
use super::common::store::StoreMode;
use super::common::{KEY, OTHER_KEY};
use super::fleet;
use super::partition::{self, MemberLocks};
use super::proxy::{NetworkCondition, Proxy};

/// Range of the interval between the starts of two faults, in milliseconds.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 150..1_400;

/// Range of a fault's duration, in milliseconds.
const FAULT_DURATION_MS: std::ops::Range<u64> = 100..3_500;

/// Time until a crashed member or one with stalled replication recovers; one member stays up.
const MEMBER_FAULT_DURATION: Duration = Duration::from_millis(2_500);

/// Time for which a member is down whose entry has lapsed, longer than instances keep the entry.
const LAPSED_MEMBER_DURATION: Duration = Duration::from_secs(4);

/// Time between two returns of the store from a copy, in milliseconds.
const RETURN_INTERVAL_MS: std::ops::Range<u64> = 1_500..6_000;

/// Time for which the store is away before it returns, and until its other writers write again, in
/// milliseconds.
const RETURN_AWAY_MS: std::ops::Range<u64> = 50..700;

/// Age of the copy, in milliseconds.
const RETURN_AGE_MS: std::ops::Range<u64> = 100..5_000;

/// Injects faults for `run_duration`, then waits until all of them have ended.
pub async fn inject(soak: &Rc<Soak>, mut rng: ChaCha8Rng, run_duration: Duration) {
    let deadline = Instant::now() + run_duration;
    let mut faults = JoinSet::new();
    // Only one member of a service fails at a time: with two of three down, correctness is guaranteed
    // but not availability.
    let locks: MemberLocks = Rc::new(soak.groups.iter().map(|_| Rc::default()).collect());
    let mut services = stream(&rng, 4);
    inject_series(soak, &rng, &locks, deadline, &mut faults);
    let mut version = 1;
    while Instant::now() < deadline {
        let interval = Duration::from_millis(rng.random_range(FAULT_INTERVAL_MS));
        tokio::time::sleep(interval).await;
        let duration = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
        let instance = rng.random_range(0..soak.fleet.borrow().instances.len());
        let member = rng.random_range(0..soak.cluster.group.members.len());
        let kind = rng.random_range(0..15);
        let service = services.random_range(0..soak.groups.len());
        soak.record_event(&format!(
            "fault {kind} instance {instance} service {service} member {member} for {duration:?}"
        ));
        let (soak, member_lock) = (Rc::clone(soak), Rc::clone(&locks[service]));
        match kind {
            0 => drop(faults.spawn_local(terminate(soak, instance))),
            1 => drop(faults.spawn_local(pause_process(soak, instance, duration))),
            2 | 3 => drop(faults.spawn_local(kill(soak, instance, duration / 3))),
            4 => soak.fleet.borrow_mut().instances[instance].send_signal("-HUP"),
            5 => drop(faults.spawn_local(crash(soak, member_lock, service, member))),
            6 => drop(faults.spawn_local(stall_replication(soak, member_lock, service, member))),
            7 => soak.groups[service].lose_answers(member, rng.random_range(1..4)),
            8 | 9 => drop(faults.spawn_local(fail_store(soak, rng.random(), duration))),
            10 => soak.cluster.platform.lose_answers(rng.random_range(1..3)),
            11 => soak.cluster.platform.compact(),
            12 => {
                version += rng.random_range(1..4);
                let keys: &[&str] = if rng.random() {
                    &[KEY]
                } else {
                    &[KEY, "spare"]
                };
                let text = fleet::config(version, &[("shop", keys), ("stall", &[OTHER_KEY])]);
                soak.cluster.platform.put("op/config", &text);
            }
            13 => {
                drop(faults.spawn_local(blackhole(
                    soak,
                    instance,
                    (service, member),
                    rng.random(),
                    duration,
                )));
            }
            _ => drop(faults.spawn_local(degrade_store(
                soak,
                instance,
                random_condition(&mut rng),
                duration,
            ))),
        }
    }
    while faults.join_next().await.is_some() {}
    soak.cluster.platform.set_mode(StoreMode::Serving);
}

/// Returns another stream of the seed, which leaves the draws of `rng` as they are.
fn stream(rng: &ChaCha8Rng, number: u64) -> ChaCha8Rng {
    let mut other = rng.clone();
    other.set_stream(number);
    other
}

/// Starts the faults that come in series beside the others.
fn inject_series(
    soak: &Rc<Soak>,
    rng: &ChaCha8Rng,
    locks: &MemberLocks,
    deadline: Instant,
    faults: &mut JoinSet<()>,
) {
    let mut returns = stream(rng, 1);
    // Half of the seeds stay in the first era to the end.
    if returns.random() {
        faults.spawn_local(return_store(Rc::clone(soak), returns, deadline));
    }
    let (cuts, changes) = (stream(rng, 2), stream(rng, 3));
    faults.spawn_local(partition::cut_instances(Rc::clone(soak), cuts, deadline));
    let (soak, locks) = (Rc::clone(soak), Rc::clone(locks));
    faults.spawn_local(partition::change_primaries(soak, locks, changes, deadline));
}

fn random_condition(rng: &mut ChaCha8Rng) -> NetworkCondition {
    match rng.random_range(0..4) {
        0 => NetworkCondition::Delayed(Duration::from_millis(rng.random_range(20..400))),
        1 => NetworkCondition::DropResponses,
        2 => NetworkCondition::Blackhole,
        _ => NetworkCondition::Reset,
    }
}

/// Sends SIGTERM, waits up to 8 s for the exit, and restarts the process if it has exited.
async fn terminate(soak: Rc<Soak>, instance: usize) {
    soak.fleet.borrow_mut().instances[instance].send_signal("-TERM");
    // The process has a shutdown grace period of 6 s.
    for _ in 0..80 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        if !soak.fleet.borrow_mut().instances[instance].is_running() {
            break;
        }
    }
    restart(&soak, instance);
}

/// Kills the process and restarts it after `duration`.
async fn kill(soak: Rc<Soak>, instance: usize, duration: Duration) {
    soak.fleet.borrow_mut().instances[instance].kill();
    tokio::time::sleep(duration).await;
    restart(&soak, instance);
}

fn restart(soak: &Soak, instance: usize) {
    let mut fleet = soak.fleet.borrow_mut();
    if fleet.instances[instance].is_running() {
        // Another fault has restarted the process, or it has outlived its grace period.
        return;
    }
    fleet.instances[instance].start();
}

/// Suspends the process for `duration`.
async fn pause_process(soak: Rc<Soak>, instance: usize, duration: Duration) {
    soak.fleet.borrow_mut().instances[instance].send_signal("-STOP");
    tokio::time::sleep(duration).await;
    soak.fleet.borrow_mut().instances[instance].send_signal("-CONT");
}

async fn crash(soak: Rc<Soak>, member_lock: Rc<Mutex<()>>, service: usize, member: usize) {
    let _guard = member_lock.lock().await;
    soak.groups[service].crash(member);
    if service == fleet::SYNCHRONOUS_SERVICE {
        soak.groups[service].lapse_entry(member);
        tokio::time::sleep(LAPSED_MEMBER_DURATION).await;
    } else {
        tokio::time::sleep(MEMBER_FAULT_DURATION).await;
    }
    soak.groups[service].restart(member).await;
}

/// Pauses replication to a member for [`MEMBER_FAULT_DURATION`]; does nothing if it is the primary.
async fn stall_replication(
    soak: Rc<Soak>,
    member_lock: Rc<Mutex<()>>,
    service: usize,
    member: usize,
) {
    let _guard = member_lock.lock().await;
    let group = &soak.groups[service];
    if group.primary() == member {
        return;
    }
    group.pause_replication(member);
    tokio::time::sleep(MEMBER_FAULT_DURATION).await;
    group.resume_replication(member);
}

async fn fail_store(soak: Rc<Soak>, is_unresponsive: bool, duration: Duration) {
    let _guard = soak.store_lock.read().await;
    let mode = if is_unresponsive {
        StoreMode::Unresponsive
    } else {
        StoreMode::Unavailable
    };
    soak.cluster.platform.set_mode(mode);
    tokio::time::sleep(duration).await;
    soak.cluster.platform.set_mode(StoreMode::Serving);
}

/// Takes the store away for a moment, again and again, and returns it from a copy some seconds old.
///
/// Waits until no outage is played, which a return would end early.
async fn return_store(soak: Rc<Soak>, mut rng: ChaCha8Rng, deadline: Instant) {
    let mut random = |range| Duration::from_millis(rng.random_range(range));
    loop {
        tokio::time::sleep(random(RETURN_INTERVAL_MS)).await;
        if Instant::now() >= deadline {
            return;
        }
        let (away, age) = (random(RETURN_AWAY_MS), random(RETURN_AGE_MS));
        let rewrite_delay = random(RETURN_AWAY_MS);
        let _guard = soak.store_lock.write().await;
        soak.cluster.platform.set_mode(StoreMode::Unavailable);
        tokio::time::sleep(away).await;
        soak.record_event(&format!("the store returns from a copy {age:?} old"));
        soak.cluster.platform.return_from_copy(age, rewrite_delay);
        soak.cluster.platform.set_mode(StoreMode::Serving);
    }
}

/// Blackholes the connections of callers to an instance, or those of all instances to a member.
async fn blackhole(
    soak: Rc<Soak>,
    instance: usize,
    (service, member): (usize, usize),
    is_caller_side: bool,
    duration: Duration,
) {
    let proxies: Vec<Proxy> = if is_caller_side {
        vec![soak.fleet.borrow().instances[instance].caller_proxy.clone()]
    } else {
        let instances = soak.network.members.iter();
        instances
            .map(|services| services[service][member].clone())
            .collect()
    };
    let cut = |proxy: &Proxy| proxy.set_condition(NetworkCondition::Blackhole);
    let changes: Vec<u64> = proxies.iter().map(cut).collect();
    tokio::time::sleep(duration).await;
    for (proxy, change) in proxies.iter().zip(changes) {
        proxy.lift(change);
    }
}

async fn degrade_store(
    soak: Rc<Soak>,
    instance: usize,
    condition: NetworkCondition,
    duration: Duration,
) {
    let proxy = soak.fleet.borrow().instances[instance].store_proxy.clone();
    let change = proxy.set_condition(condition);
    tokio::time::sleep(duration).await;
    proxy.lift(change);
}
