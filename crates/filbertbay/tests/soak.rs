//! Soak: entry instances as separate processes, under random faults from outside.
//!
//! A run starts stand-ins, proxies and callers in this process and the instances as children. It
//! injects faults for some seconds, ends all of them, waits until everything is served again, and
//! then checks what callers and members saw ([`verdict`]). The seed decides faults and load; the times
//! at which processes act vary.
//!
//! `SOAK_SEED=7 SOAK_RUNS=50 SOAK_SECONDS=20 cargo test --release --test soak -- --ignored --nocapture`
//! plays many by hand; a run that fails leaves the logs of its instances in the folder that it names.

#[path = "../../../platform/tests/common/mod.rs"]
mod common;

#[path = "soak/fault.rs"]
mod fault;
#[path = "soak/fleet.rs"]
mod fleet;
#[path = "soak/load.rs"]
mod load;
#[path = "soak/proxy.rs"]
mod proxy;
#[path = "soak/verdict.rs"]
mod verdict;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::task::LocalSet;

use common::{OTHER_KEY, TestCluster};
use fleet::Fleet;
use load::{Asked, Caller};
use proxy::Proxy;

/// Callers of each run.
const CALLERS: usize = 16;

/// Longest wait until everything is served again; 12 s are promised, on a machine to itself.
const RECOVERY: Duration = Duration::from_secs(24);

/// Faults of the short run.
const SHORT: Duration = Duration::from_secs(8);

/// Seed of the short run.
const SEED: u64 = 20_261_204;

/// Seeds that failed once. These faults were of the soak: 1001 took a row of another session, which the
/// route for own writes may show for 1.5 s, for stale; 3000 began on a port that a soak beside it had.
const FAILED_ONCE: [u64; 2] = [1001, 3000];

/// Everything in a run.
struct Scene {
    world: TestCluster,
    fleet: RefCell<Fleet>,
    /// In front of the members.
    members: Vec<Proxy>,
    asked: RefCell<Vec<Asked>>,
    is_over: Cell<bool>,
    numbers: Cell<u64>,
    began: Instant,
    story: RefCell<Vec<String>>,
}

impl Scene {
    async fn start() -> Rc<Self> {
        let world = TestCluster::start().await;
        world.group.keep_former_primaries();
        let mut members = Vec::new();
        for (index, member) in world.group.members.iter().enumerate() {
            let proxy = Proxy::bind(member.address).await;
            world.group.advertise_at(index, proxy.address);
            members.push(proxy);
        }
        let both = [("shop", &[common::KEY][..]), ("stall", &[OTHER_KEY][..])];
        world
            .platform
            .put("op/config", &common::config_with_workspaces(1, &both));
        let fleet = Fleet::start(&world).await;
        Rc::new(Self {
            world,
            fleet: RefCell::new(fleet),
            members,
            asked: RefCell::default(),
            is_over: Cell::default(),
            numbers: Cell::default(),
            began: Instant::now(),
            story: RefCell::default(),
        })
    }

    /// Returns a number that no other call gets.
    fn number(&self) -> u64 {
        self.numbers.set(self.numbers.get() + 1);
        self.numbers.get()
    }

    /// Notes what was done, for the story of a run that fails.
    fn tell(&self, text: &str) {
        let line = format!("{:>8.3} {text}", self.began.elapsed().as_secs_f64());
        self.story.borrow_mut().push(line);
    }

    /// Waits until every instance serves a read and a write, and tells whether it came to that.
    async fn recovers(&self) -> bool {
        // The platform starts a process again that ended.
        self.fleet
            .borrow_mut()
            .nodes
            .iter_mut()
            .for_each(fleet::Node::start);
        let until = Instant::now() + RECOVERY;
        for node in 0..fleet::DATA_CENTRES.len() {
            while !self.serves(node).await {
                if Instant::now() >= until {
                    return false;
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
        true
    }

    async fn serves(&self, node: usize) -> bool {
        let address = self.fleet.borrow().nodes[node].callers.address;
        let probing = async {
            let (mut caller, first) = common::Caller::connect(address, "orders", OTHER_KEY).await;
            if !first.starts_with("READY") {
                return false;
            }
            let write = format!("WRITE probe d{}", self.number());
            for text in [write.as_str(), "READ probe"] {
                let id = format!("{:x}", self.number());
                self.asked.borrow_mut().push(load::probe(&id, text));
                let answer = caller.query_with_id(&id, text).await;
                if !answer.iter().any(|line| line.starts_with("COMPLETE")) {
                    return false;
                }
            }
            true
        };
        let served = tokio::time::timeout(Duration::from_secs(4), probing).await;
        served.unwrap_or(false)
    }
}

/// Plays one run, and returns what was broken with the story of the faults.
async fn play(seed: u64, length: Duration) -> Vec<String> {
    let scene = Scene::start().await;
    let mut broken = Vec::new();
    if !scene.recovers().await {
        broken.push("the instances did not come to serve at the start".to_owned());
    }
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..CALLERS {
        let random = ChaCha8Rng::from_rng(&mut random);
        callers.spawn_local(Caller::new(Rc::clone(&scene), number, random).run());
    }
    fault::inject(&scene, random, length).await;
    scene.tell("all faults are over");
    if !scene.recovers().await {
        broken.push("an instance does not serve after the faults".to_owned());
    }
    scene.tell("everything is served");
    scene.is_over.set(true);
    while callers.join_next().await.is_some() {}
    broken.extend(verdict::judge(&scene));
    let asked = scene.asked.borrow().len();
    let promotions = scene.world.platform.promotions().len();
    println!(
        "seed {seed}: {asked} statements, {promotions} promotions, {} broken",
        broken.len()
    );
    if !broken.is_empty() {
        // The folder stays for whoever looks into the failure.
        let kept = scene.fleet.borrow_mut().keep();
        broken.push(format!("logs in {}", kept.display()));
        broken.extend(scene.story.borrow().iter().cloned());
    }
    broken
}

fn soak(seed: u64, length: Duration) -> Vec<String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    LocalSet::new().block_on(&runtime.unwrap(), play(seed, length))
}

fn setting(name: &str, default: u64) -> u64 {
    let text = std::env::var(name);
    text.map_or(default, |text| text.parse().expect("a whole number"))
}

#[test]
fn promises_hold_under_random_faults() {
    let broken = soak(SEED, SHORT);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

#[test]
fn promises_hold_for_seeds_that_failed_once() {
    for seed in FAILED_ONCE {
        let broken = soak(seed, SHORT);
        assert!(broken.is_empty(), "seed {seed}: {}", broken.join("\n"));
    }
}

#[test]
#[ignore = "takes minutes; played by hand with fresh seeds"]
fn promises_hold_for_many_seeds() {
    let first = setting("SOAK_SEED", SEED);
    let length = Duration::from_secs(setting("SOAK_SECONDS", 20));
    let mut failed = Vec::new();
    for seed in first..first + setting("SOAK_RUNS", 10) {
        let broken = soak(seed, length);
        if !broken.is_empty() {
            println!("seed {seed} failed:\n{}", broken.join("\n"));
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "seeds that failed: {failed:?}");
}
