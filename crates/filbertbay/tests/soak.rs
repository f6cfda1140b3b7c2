//! Soak test of entry instances that run as separate processes under random injected faults.
//!
//! A run starts stand-ins for the platform and the members, proxies and callers in this process and the
//! instances as child processes. It injects faults for some seconds, ends all of them, waits until
//! every instance serves again, and then checks the statements that callers sent and members executed
//! ([`verdict`]). The seed determines the faults and the load, but not the timing of the processes.
//!
//! `SOAK_SEED=7 SOAK_RUNS=50 SOAK_SECONDS=20 cargo test --release --test soak -- --ignored --nocapture`
//! runs many seeds by hand; `SOAK_INSTANCES` sets the number of instances, and `SOAK_PROGRAM` the path of
//! another build of the program. A failed run keeps the logs of its instances and prints their directory.

#[path = "../../../platform/tests/common/mod.rs"]
mod common;

#[path = "soak/fault.rs"]
mod fault;
#[path = "soak/fleet.rs"]
mod fleet;
#[path = "soak/load.rs"]
mod load;
#[path = "soak/network.rs"]
mod network;
#[path = "soak/partition.rs"]
mod partition;
#[path = "soak/proxy.rs"]
mod proxy;
#[path = "soak/verdict.rs"]
mod verdict;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::RwLock;
use tokio::task::LocalSet;

use common::member::Group;
use common::{OTHER_KEY, TestCluster};
use fleet::Fleet;
use load::{AcknowledgedWrite, Caller, SentStatement};
use network::{Hosts, Network};

/// Number of instances in each run, unless `SOAK_INSTANCES` is set.
const INSTANCE_COUNT: u64 = 8;

/// Number of concurrent callers in each run, besides a reader at each instance.
const CALLER_COUNT: usize = 16;

/// Longest wait until all instances serve again. The guarantee is 12 s on an otherwise idle machine.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(24);

/// Time during which a short run injects faults.
const SHORT_RUN: Duration = Duration::from_secs(8);

/// Seed of the short run, and first seed of the long runs unless `SOAK_SEED` is set.
const DEFAULT_SEED: u64 = 20_261_204;

/// Seeds that failed because of errors in this test: 1001 reported a read as stale that showed a row of
/// another session, which the route for own writes allows for 1.5 s; 3000 started on a port that a
/// parallel soak used.
const REGRESSION_SEEDS: [u64; 2] = [1001, 3000];

/// State of one run, shared by its tasks.
struct Soak {
    cluster: TestCluster,
    fleet: RefCell<Fleet>,
    /// Members by service.
    groups: Vec<Group>,
    network: Network,
    /// Acknowledged writes of each caller's item, oldest first.
    acknowledged: RefCell<Vec<Vec<AcknowledgedWrite>>>,
    statements: RefCell<Vec<SentStatement>>,
    is_finished: Cell<bool>,
    last_id: Cell<u64>,
    /// Held for writing while the store returns from a copy, which would end an outage early.
    store_lock: RwLock<()>,
    started_at: Instant,
    timeline: RefCell<Vec<String>>,
}

impl Soak {
    async fn start() -> Rc<Self> {
        let cluster = TestCluster::start().await;
        let archive = Group::start_service("catalogue-archive", "a", 3).await;
        cluster.platform.add_group(archive.clone());
        archive.publish_entries_to(cluster.platform.clone());
        let groups = vec![cluster.group.clone(), archive];
        for (service, group) in groups.iter().enumerate() {
            group.keep_former_primaries();
            for member in 0..group.members.len() {
                let data_centre = (service + member) % fleet::DATA_CENTRES.len();
                let zone = &group.members[member].zone;
                zone.set(fleet::DATA_CENTRES[data_centre]);
            }
        }
        let count = env_or("SOAK_INSTANCES", INSTANCE_COUNT) as usize;
        let hosts = Hosts::allocate();
        let network = Network::start(hosts, count, &groups).await;
        let workspaces = [("shop", &[common::KEY][..]), ("stall", &[OTHER_KEY][..])];
        cluster
            .platform
            .put("op/config", &fleet::config(1, &workspaces));
        let fleet = Fleet::start(&cluster, hosts, count).await;
        Rc::new(Self {
            cluster,
            fleet: RefCell::new(fleet),
            groups,
            network,
            acknowledged: RefCell::new((0..CALLER_COUNT).map(|_| Vec::new()).collect()),
            statements: RefCell::default(),
            is_finished: Cell::default(),
            last_id: Cell::default(),
            store_lock: RwLock::default(),
            started_at: Instant::now(),
            timeline: RefCell::default(),
        })
    }

    /// Returns an id that is unique within the run.
    fn next_id(&self) -> u64 {
        self.last_id.set(self.last_id.get() + 1);
        self.last_id.get()
    }

    /// Adds a line to the timeline that a failed run prints.
    fn record_event(&self, text: &str) {
        let line = format!("{:>8.3} {text}", self.started_at.elapsed().as_secs_f64());
        self.timeline.borrow_mut().push(line);
    }

    /// Waits until every instance serves a write and a read. Returns false if one does not within
    /// [`RECOVERY_TIMEOUT`].
    async fn wait_until_recovered(&self) -> bool {
        // A deployment's platform restarts processes that ended.
        self.fleet
            .borrow_mut()
            .instances
            .iter_mut()
            .for_each(fleet::Instance::start);
        let deadline = Instant::now() + RECOVERY_TIMEOUT;
        let instance_count = self.network.peers.len();
        for instance in 0..instance_count {
            while !self.is_serving(instance).await {
                if Instant::now() >= deadline {
                    return false;
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
        true
    }

    /// Returns true if the instance completes a write and a read on a new connection within 4 s.
    async fn is_serving(&self, instance: usize) -> bool {
        let address = self.fleet.borrow().instances[instance].caller_proxy.address;
        let probe = async {
            for (service, [database, _]) in fleet::DATABASES.into_iter().enumerate() {
                let (mut caller, first_line) =
                    common::Caller::connect(address, database, OTHER_KEY).await;
                if !first_line.starts_with("READY") {
                    return false;
                }
                let write = format!("WRITE probe d{}", self.next_id());
                for text in [write.as_str(), "READ probe"] {
                    let id = format!("{:x}", self.next_id());
                    let probe = load::probe_statement(&id, service, text);
                    self.statements.borrow_mut().push(probe);
                    let answer = caller.query_with_id(&id, text).await;
                    if !answer.iter().any(|line| line.starts_with("COMPLETE")) {
                        return false;
                    }
                }
            }
            true
        };
        let is_served = tokio::time::timeout(Duration::from_secs(4), probe).await;
        is_served.unwrap_or(false)
    }
}

/// Runs one soak and returns its violations, followed by the log directory and the timeline if there
/// are any.
async fn run_soak(seed: u64, duration: Duration) -> Vec<String> {
    let soak = Soak::start().await;
    let mut violations = Vec::new();
    if !soak.wait_until_recovered().await {
        violations.push("an instance did not serve before the first fault".to_owned());
    }
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut callers = tokio::task::JoinSet::new();
    for index in 0..CALLER_COUNT {
        let rng = ChaCha8Rng::from_rng(&mut rng);
        callers.spawn_local(Caller::new(Rc::clone(&soak), index, rng).run());
    }
    for instance in 0..soak.network.peers.len() {
        let mut rng = rng.clone();
        rng.set_stream(5 + instance as u64);
        let reader = Caller::new(Rc::clone(&soak), instance, rng);
        callers.spawn_local(reader.read_latest(instance));
    }
    fault::inject(&soak, rng, duration).await;
    soak.record_event("all faults have ended");
    if !soak.wait_until_recovered().await {
        violations.push("an instance did not serve again after the last fault".to_owned());
    }
    soak.record_event("all instances serve again");
    soak.is_finished.set(true);
    while callers.join_next().await.is_some() {}
    violations.extend(verdict::find_violations(&soak));
    let statement_count = soak.statements.borrow().len();
    let promotions = soak.cluster.platform.promotions().len();
    println!(
        "seed {seed}: {statement_count} statements, {promotions} promotions, {} violations",
        violations.len()
    );
    if !violations.is_empty() {
        let log_dir = soak.fleet.borrow_mut().keep_logs();
        violations.push(format!("logs in {}", log_dir.display()));
        violations.extend(soak.timeline.borrow().iter().cloned());
    }
    violations
}

fn run_blocking(seed: u64, duration: Duration) -> Vec<String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    LocalSet::new().block_on(&runtime.unwrap(), run_soak(seed, duration))
}

/// Returns the number in an environment variable, or `default` if the variable is not set.
fn env_or(name: &str, default: u64) -> u64 {
    let text = std::env::var(name);
    text.map_or(default, |text| text.parse().expect("a whole number"))
}

/// Guards the guarantees that [`verdict`] checks against a fixed mix of process, member, store and
/// network faults.
#[test]
fn guarantees_hold_under_random_faults() {
    let violations = run_blocking(DEFAULT_SEED, SHORT_RUN);
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

#[test]
fn guarantees_hold_for_regression_seeds() {
    for seed in REGRESSION_SEEDS {
        let violations = run_blocking(seed, SHORT_RUN);
        assert!(
            violations.is_empty(),
            "seed {seed}: {}",
            violations.join("\n")
        );
    }
}

#[test]
#[ignore = "takes minutes; run by hand with new seeds"]
fn guarantees_hold_for_many_seeds() {
    let first_seed = env_or("SOAK_SEED", DEFAULT_SEED);
    let duration = Duration::from_secs(env_or("SOAK_SECONDS", 20));
    let mut failed = Vec::new();
    for seed in first_seed..first_seed + env_or("SOAK_RUNS", 10) {
        let violations = run_blocking(seed, duration);
        if !violations.is_empty() {
            println!("seed {seed} failed:\n{}", violations.join("\n"));
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "seeds that failed: {failed:?}");
}
