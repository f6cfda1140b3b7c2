//! Nine control threads over real sockets: spread of the configuration through platform outages,
//! lost answers and restarts, and the platform calls that it costs.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay::control::{ControlThread, Dependencies};
use filbertbay::published::PublishedState;
use filbertbay_coordination::spread::is_watcher;
use filbertbay_protocol::platform::Store;
use filbertbay_protocol::repository::{ErrorKind, Repository};
use filbertbay_state::instance::{Instance, Presence};
use filbertbay_state::patch::{Change, Patch};
use filbertbay_state::version::Version;
use filbertbay_transport::platform::Client;
use serde_json::json;
use standin::platform::{Fault, Platform};

const DATA_CENTRES: [&str; 3] = ["quimper", "nantes", "caen"];
const INSTANCES: usize = 9;

/// Limit of the users' promise: in force everywhere within 12 s.
const IN_FORCE: Duration = Duration::from_secs(12);

struct Member {
    control: Option<ControlThread>,
    published: Arc<PublishedState>,
}

struct Fleet {
    platform: Platform,
    members: Vec<Member>,
}

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

fn instance(number: usize, incarnation: u64) -> Instance {
    Instance {
        name: format!("instance-{number}").into(),
        incarnation,
        data_centre: DATA_CENTRES[number % DATA_CENTRES.len()].into(),
        caller_address: free_address(),
        peer_address: free_address(),
        forward_address: free_address(),
        presence: Presence::Live,
    }
}

/// Returns the change of a patch; the first one adds so many workspaces that whoever loads the
/// configuration from the platform lists its parts rather than reading them one by one.
fn change(id: u64) -> serde_json::Value {
    let mut change = json!({"data_centres": {format!("dc-{id}"): {"region": "r"}}});
    if id == 1 {
        for number in 0..100 {
            let rate = json!({"rate": {"per_second": 1, "burst": 1}});
            change["workspaces"][format!("workspace-{number}")] = rate;
        }
    }
    change
}

impl Fleet {
    async fn open() -> Self {
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let platform = Platform::bind(any, any).await.unwrap();
        let mut fleet = Self {
            platform,
            members: Vec::new(),
        };
        fleet.submit(1, 0).await;
        for number in 0..INSTANCES {
            let member = fleet.start(instance(number, 1), Vec::new()).await;
            fleet.members.push(member);
        }
        fleet
    }

    fn store(&self) -> Arc<dyn Store> {
        Arc::new(Client::new(&self.platform.url()).unwrap())
    }

    async fn start(&self, own: Instance, seeds: Vec<SocketAddr>) -> Member {
        let published = Arc::new(PublishedState::new(own));
        let parts = Dependencies {
            store: self.store(),
            identity: None,
            seeds,
            isolation_limit: None,
            published: Arc::clone(&published),
            log: slog::Logger::root(slog::Discard, slog::o!()),
        };
        let control = ControlThread::spawn(parts).await.unwrap();
        Member {
            control: Some(control),
            published,
        }
    }

    async fn submit(&self, id: u64, against: u64) {
        let patch = Patch {
            id: format!("patch-{id}").into(),
            against: Version(against),
            author: "operator".into(),
            reason: "test".into(),
            at: id,
            change: Change::Merge(change(id)),
        };
        // A lost answer is resolved by submitting the same patch again; its id applies once.
        let repository = Repository::new(self.store());
        let deadline = Instant::now() + IN_FORCE;
        while Instant::now() < deadline {
            match repository.submit(&patch).await {
                Ok(receipt) => return assert_eq!(receipt.entry.to, Version(id)),
                Err(error) => assert_ne!(error.kind(), ErrorKind::PatchRefused, "{error}"),
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("patch {id} was not taken");
    }

    /// Waits until every running instance has a version, and returns how long that took.
    async fn wait_for(&self, version: u64) -> Duration {
        let since = Instant::now();
        for member in self
            .members
            .iter()
            .filter(|member| member.control.is_some())
        {
            let mut snapshots = member.published.subscribe_snapshot();
            let arrived = snapshots.wait_for(|snapshot| snapshot.version().0 >= version);
            let arrived = tokio::time::timeout(IN_FORCE, arrived).await;
            let name = &member.published.local_instance().name;
            assert!(arrived.is_ok(), "version {version} not in force at {name}");
        }
        since.elapsed()
    }

    /// Returns the names of the instances that watch the platform.
    fn watchers(&self) -> Vec<Arc<str>> {
        let own = self
            .members
            .iter()
            .map(|member| member.published.local_instance());
        let watching = own.filter(|own| is_watcher(&own.name, self.mates(&own.data_centre)));
        watching.map(|own| Arc::clone(&own.name)).collect()
    }

    /// Tells whether an instance that is not yet started would watch the platform.
    fn would_watch(&self, number: usize) -> bool {
        let own = instance(number, 1);
        is_watcher(&own.name, self.mates(&own.data_centre))
    }

    fn mates<'a>(&'a self, data_centre: &'a str) -> impl Iterator<Item = &'a str> {
        let own = self
            .members
            .iter()
            .map(|member| member.published.local_instance());
        let mates = own.filter(move |own| *own.data_centre == *data_centre);
        mates.map(|own| own.name.as_ref())
    }

    /// Waits until every running instance lists `count` live instances.
    async fn wait_for_live(&self, count: usize) {
        let deadline = Instant::now() + Duration::from_secs(30);
        for member in self
            .members
            .iter()
            .filter(|member| member.control.is_some())
        {
            while member.published.instances().len() != count {
                let name = &member.published.local_instance().name;
                assert!(
                    Instant::now() < deadline,
                    "{name} does not list {count} instances"
                );
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn patch_is_in_force_everywhere() {
    let fleet = Fleet::open().await;
    fleet.wait_for(1).await;
    fleet.wait_for_live(INSTANCES).await;
    for version in 2..6 {
        fleet.submit(version, version - 1).await;
        fleet.wait_for(version).await;
    }
    for member in &fleet.members {
        assert_eq!(member.published.snapshot().version(), Version(5));
    }
}

/// An instance that starts during an outage loads from a peer and never shows an older version
/// once it has a newer one; the patch after the outage reaches it too.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restart_during_an_outage_loads_from_a_peer() {
    let mut fleet = Fleet::open().await;
    fleet.submit(2, 1).await;
    fleet.wait_for(2).await;
    fleet.wait_for_live(INSTANCES).await;
    fleet.platform.apply(&Fault {
        down: Some(true),
        ..Fault::default()
    });

    let seed = fleet.members[1].published.local_instance().peer_address;
    fleet.members[0].control = None;
    let restarted = fleet.start(instance(0, 2), vec![seed]).await;
    fleet.members[0] = restarted;
    fleet.wait_for(2).await;
    fleet.wait_for_live(INSTANCES).await;

    fleet.platform.apply(&Fault {
        down: Some(false),
        ..Fault::default()
    });
    fleet.submit(3, 2).await;
    fleet.wait_for(3).await;
}

/// Instances that join a running fleet take the configuration from others, not from the platform.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn joining_instances_spare_the_platform() {
    let mut fleet = Fleet::open().await;
    fleet.wait_for(1).await;
    fleet.wait_for_live(INSTANCES).await;
    let loads = |fleet: &Fleet| fleet.platform.counters().totals.get("list").copied();
    let before = loads(&fleet);
    assert!(
        before > Some(0),
        "loads from the platform can't be told from other calls"
    );
    let watchers = fleet.watchers();
    // Names that rank behind the present watchers, so that the watchers stay the same.
    let joining = (INSTANCES..)
        .filter(|number| !fleet.would_watch(*number))
        .take(4);
    for number in joining.collect::<Vec<_>>() {
        let member = fleet.start(instance(number, 1), Vec::new()).await;
        fleet.members.push(member);
    }
    fleet.wait_for(1).await;
    fleet.wait_for_live(INSTANCES + 4).await;
    assert_eq!(fleet.watchers(), watchers);
    assert_eq!(loads(&fleet), before, "parts were read from the platform");
}

/// The answer to a patch is lost after it took effect: it is applied once, and spreads.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_answer_applies_once() {
    let fleet = Fleet::open().await;
    fleet.wait_for(1).await;
    fleet.platform.apply(&Fault {
        lose_answers: Some(2),
        ..Fault::default()
    });
    fleet.submit(2, 1).await;
    fleet.wait_for(2).await;
    fleet.submit(3, 2).await;
    fleet.wait_for(3).await;
    assert_eq!(fleet.members[4].published.snapshot().version(), Version(3));
}

/// A leaving instance says so: the others drop it long before a suspicion would lapse.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_instance_is_dropped() {
    let mut fleet = Fleet::open().await;
    fleet.wait_for_live(INSTANCES).await;
    let control = fleet.members[3].control.take().unwrap();
    control.shutdown().await;
    fleet.wait_for_live(INSTANCES - 1).await;
}
