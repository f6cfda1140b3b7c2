//! Tests the dissemination of the configuration among nine control threads over real sockets, with
//! platform outages, lost responses, restarts, joins and departures.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use check::free_address;
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

/// Promised time within which a patch is in force at every instance.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(12);

struct RunningInstance {
    control: Option<ControlThread>,
    published: Arc<PublishedState>,
}

struct Fleet {
    platform: Platform,
    instances: Vec<RunningInstance>,
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

/// Returns the change of a patch. The first one adds so many workspaces that an instance that loads
/// the configuration from the platform lists its parts rather than reads them one by one.
fn patch_change(id: u64) -> serde_json::Value {
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
    async fn start() -> Self {
        let any_port: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let platform = Platform::bind(any_port, any_port).await.unwrap();
        let mut fleet = Self {
            platform,
            instances: Vec::new(),
        };
        fleet.submit(1, 0).await;
        for number in 0..INSTANCES {
            let started = fleet.start_instance(instance(number, 1), Vec::new()).await;
            fleet.instances.push(started);
        }
        fleet
    }

    fn store(&self) -> Arc<dyn Store> {
        Arc::new(Client::new(&self.platform.url()).unwrap())
    }

    async fn start_instance(&self, own: Instance, seeds: Vec<SocketAddr>) -> RunningInstance {
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
        RunningInstance {
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
            change: Change::Merge(patch_change(id)),
        };
        // After a lost response the same patch is submitted again; a patch id applies only once.
        let repository = Repository::new(self.store());
        let deadline = Instant::now() + PROPAGATION_LIMIT;
        while Instant::now() < deadline {
            match repository.submit(&patch).await {
                Ok(receipt) => return assert_eq!(receipt.entry.to, Version(id)),
                Err(error) => assert_ne!(error.kind(), ErrorKind::PatchRefused, "{error}"),
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("patch {id} was not accepted");
    }

    /// Waits until every running instance has at least `version`, and returns the time that it took.
    async fn wait_for(&self, version: u64) -> Duration {
        let since = Instant::now();
        for instance in self
            .instances
            .iter()
            .filter(|instance| instance.control.is_some())
        {
            let mut snapshots = instance.published.subscribe_snapshot();
            let reached = snapshots.wait_for(|snapshot| snapshot.version().0 >= version);
            let reached = tokio::time::timeout(PROPAGATION_LIMIT, reached).await;
            let name = &instance.published.local_instance().name;
            assert!(reached.is_ok(), "version {version} not in force at {name}");
        }
        since.elapsed()
    }

    /// Returns the names of the instances that watch the platform.
    fn watchers(&self) -> Vec<Arc<str>> {
        let own = self
            .instances
            .iter()
            .map(|instance| instance.published.local_instance());
        let watching = own.filter(|own| is_watcher(&own.name, self.names_in(&own.data_centre)));
        watching.map(|own| Arc::clone(&own.name)).collect()
    }

    /// Returns whether an instance that has not started yet would watch the platform.
    fn would_watch(&self, number: usize) -> bool {
        let own = instance(number, 1);
        is_watcher(&own.name, self.names_in(&own.data_centre))
    }

    fn names_in<'a>(&'a self, data_centre: &'a str) -> impl Iterator<Item = &'a str> {
        let own = self
            .instances
            .iter()
            .map(|instance| instance.published.local_instance());
        let local = own.filter(move |own| *own.data_centre == *data_centre);
        local.map(|own| own.name.as_ref())
    }

    /// Waits until every running instance lists `count` live instances.
    async fn wait_for_live(&self, count: usize) {
        let deadline = Instant::now() + Duration::from_secs(30);
        for instance in self
            .instances
            .iter()
            .filter(|instance| instance.control.is_some())
        {
            while instance.published.instances().len() != count {
                let name = &instance.published.local_instance().name;
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
async fn patch_is_in_force_at_every_instance() {
    let fleet = Fleet::start().await;
    fleet.wait_for(1).await;
    fleet.wait_for_live(INSTANCES).await;
    for version in 2..6 {
        fleet.submit(version, version - 1).await;
        fleet.wait_for(version).await;
    }
    for instance in &fleet.instances {
        assert_eq!(instance.published.snapshot().version(), Version(5));
    }
}

/// An instance that restarts during a platform outage loads the configuration from a peer, and
/// receives the first patch after the outage.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restart_during_an_outage_loads_from_a_peer() {
    let mut fleet = Fleet::start().await;
    fleet.submit(2, 1).await;
    fleet.wait_for(2).await;
    fleet.wait_for_live(INSTANCES).await;
    fleet.platform.apply(&Fault {
        down: Some(true),
        ..Fault::default()
    });

    let seed = fleet.instances[1].published.local_instance().peer_address;
    fleet.instances[0].control = None;
    let restarted = fleet.start_instance(instance(0, 2), vec![seed]).await;
    fleet.instances[0] = restarted;
    fleet.wait_for(2).await;
    fleet.wait_for_live(INSTANCES).await;

    fleet.platform.apply(&Fault {
        down: Some(false),
        ..Fault::default()
    });
    fleet.submit(3, 2).await;
    fleet.wait_for(3).await;
}

/// Instances that join a running fleet load the configuration from peers, so that joins add no
/// load to the platform.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn joining_instances_load_from_peers() {
    let mut fleet = Fleet::start().await;
    fleet.wait_for(1).await;
    fleet.wait_for_live(INSTANCES).await;
    let list_calls = |fleet: &Fleet| fleet.platform.counters().totals.get("list").copied();
    let before = list_calls(&fleet);
    assert!(
        before > Some(0),
        "loads from the platform cannot be distinguished from other calls"
    );
    let watchers = fleet.watchers();
    // Uses names that rank below the current watchers, so that the watchers stay the same.
    let joining = (INSTANCES..)
        .filter(|number| !fleet.would_watch(*number))
        .take(4);
    for number in joining.collect::<Vec<_>>() {
        let started = fleet.start_instance(instance(number, 1), Vec::new()).await;
        fleet.instances.push(started);
    }
    fleet.wait_for(1).await;
    fleet.wait_for_live(INSTANCES + 4).await;
    assert_eq!(fleet.watchers(), watchers);
    assert_eq!(
        list_calls(&fleet),
        before,
        "parts were read from the platform"
    );
}

/// The response to a patch is lost after the patch took effect. The retry must not apply the patch
/// again, and the patch must reach every instance.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn patch_with_lost_response_applies_once() {
    let fleet = Fleet::start().await;
    fleet.wait_for(1).await;
    fleet.platform.apply(&Fault {
        lose_answers: Some(2),
        ..Fault::default()
    });
    fleet.submit(2, 1).await;
    fleet.wait_for(2).await;
    fleet.submit(3, 2).await;
    fleet.wait_for(3).await;
    assert_eq!(
        fleet.instances[4].published.snapshot().version(),
        Version(3)
    );
}

/// A leaving instance announces its departure, so that peers remove it without waiting for the
/// suspicion timeout.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_instance_is_removed() {
    let mut fleet = Fleet::start().await;
    fleet.wait_for_live(INSTANCES).await;
    let control = fleet.instances[3].control.take().unwrap();
    control.shutdown().await;
    fleet.wait_for_live(INSTANCES - 1).await;
}
