//! Tests of several instances that share the limited connections of a member.
//!
//! They guard against a fleet that exceeds a member's connection limit, and against instances
//! without a seat whose forwarded statements, transactions or cancel requests fail.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{DEADLINE, KEY, PASSWORD, authority, connect, document, wait_until};
use filbertbay::daemon::{self, Handle};
use filbertbay::settings::Settings;
use filbertbay_protocol::platform::Store;
use filbertbay_protocol::repository::Repository;
use filbertbay_state::patch::{Change, Patch};
use filbertbay_state::version::Version;
use filbertbay_transport::platform::Client as Platform;
use filbertbay_transport::tls::IdentityFiles;
use futures::future::join_all;
use serde_json::json;
use slog::{Logger, o};
use standin::{group, platform};
use tokio_postgres::{Client, Config};

/// Instances of the fleet, all in one data centre.
const INSTANCES: usize = 5;
/// Connection limit of each member.
const MEMBER_CONNECTIONS: u32 = 16;

struct Fleet {
    group: group::Handle,
    instances: Vec<Handle>,
    _platform: platform::Platform,
}

async fn spawn() -> Fleet {
    spawn_with(None).await
}

/// Starts the fleet; `tls` is the identity that instances present to each other.
async fn spawn_with(tls: Option<&IdentityFiles>) -> Fleet {
    let regions = [("quimper", "west"), ("nantes", "south"), ("caen", "north")];
    let network = group::network::Network::new(group::network::Latency::default(), regions);
    let places = regions.map(|(name, _)| group::Place::new(&format!("orders-{name}"), name));
    let group = group::Config::new("orders", PASSWORD)
        .places(places)
        .network(network);
    let group = group
        .connections(MEMBER_CONNECTIONS)
        .slots(4)
        .spawn()
        .await
        .expect("the group starts");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let platform = platform::Platform::bind(any, any)
        .await
        .expect("the platform starts");
    let base = format!("http://{}", platform.address());
    let store: Arc<dyn Store> = Arc::new(Platform::new(&base).expect("an address"));
    let patch = Patch {
        id: "p-1".into(),
        against: Version(0),
        author: "yann".into(),
        reason: "test".into(),
        at: 1_765_000_000_000,
        change: Change::Merge(serde_json::to_value(document(&group)).expect("JSON")),
    };
    Repository::new(store)
        .submit(&patch)
        .await
        .expect("applied");
    let instances = (0..INSTANCES).map(|index| {
        let mut settings = json!({
            "name": format!("quimper-{index}"), "data_centre": "quimper", "callers": any,
            "peers": any, "forwards": any, "metrics": any, "platform": base,
            "endpoint_user": "proxy", "endpoint_password": PASSWORD,
            "token_secrets": ["00112233445566778899aabbccddeeff"]
        });
        if let Some(files) = tls {
            settings["peer_tls"] = json!({"certificate": files.certificate, "key": files.key,
                "authorities": files.authorities});
        }
        let settings = Settings::parse("settings", &settings.to_string()).expect("valid");
        daemon::spawn(settings, Logger::root(slog::Discard, o!()))
    });
    let instances = join_all(instances)
        .await
        .into_iter()
        .map(|i| i.expect("starts"))
        .collect();
    Fleet {
        group,
        instances,
        _platform: platform,
    }
}

fn config(instance: &Handle) -> Config {
    let address = instance.instance().caller_address;
    let mut config = Config::new();
    config.host(address.ip().to_string()).port(address.port());
    config.user("shop").password(KEY).dbname("orders");
    config
}

/// Waits until an instance runs statements on the primary, and connects to it.
async fn connect_when_ready(instance: &Handle) -> Client {
    let start = Instant::now();
    loop {
        let attempt = async {
            let client = connect(&config(instance)).await?;
            // Runs on the primary, which needs an instance that holds a seat of it.
            client.batch_execute("BEGIN; COMMIT").await?;
            Ok::<_, tokio_postgres::Error>(client)
        };
        match attempt.await {
            Ok(client) => return client,
            Err(error) => assert!(start.elapsed() < DEADLINE, "{error:?}"),
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn every_instance_runs_reads_and_writes() {
    let fleet = spawn().await;
    let clients = join_all(fleet.instances.iter().map(connect_when_ready)).await;
    clients[0]
        .batch_execute("CREATE TABLE lilies (id int8)")
        .await
        .expect("written");
    let writers = clients
        .iter()
        .enumerate()
        .map(|(index, client)| async move {
            for round in 0..20 {
                let insert = format!("INSERT INTO lilies VALUES ({})", index * 100 + round);
                client.batch_execute(&insert).await.expect("written");
            }
            let count = client
                .query_one("SELECT count(*) FROM lilies", &[])
                .await
                .expect("read");
            assert!(count.get::<_, i64>(0) >= 20);
        });
    join_all(writers).await;
    let row = clients[0]
        .query_one("SELECT count(*) FROM lilies", &[])
        .await
        .expect("read");
    assert_eq!(
        row.get::<_, i64>(0),
        i64::try_from(20 * INSTANCES).expect("small")
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn the_fleet_stays_below_the_connection_limit_of_a_member() {
    const CALLERS_PER_INSTANCE: usize = 4;
    let fleet = spawn().await;
    join_all(fleet.instances.iter().map(connect_when_ready)).await;
    let primary = fleet.group.primary();
    let callers = fleet
        .instances
        .iter()
        .flat_map(|instance| [instance; CALLERS_PER_INSTANCE]);
    let work = join_all(callers.map(|instance| async move {
        let client = connect(&config(instance)).await.expect("taken");
        for _ in 0..5 {
            client
                .batch_execute("BEGIN; SELECT pg_sleep(0.01); COMMIT")
                .await
                .expect("run");
        }
    }));
    let mut work = Box::pin(work);
    let mut max_open = 0;
    loop {
        max_open = max_open.max(primary.open_connections());
        tokio::select! {
            _ = &mut work => break,
            () = tokio::time::sleep(Duration::from_millis(1)) => {}
        }
    }
    // The member refuses connections beyond its limit, so the count can't exceed it; the fleet must
    // stay below it.
    assert!(
        max_open < MEMBER_CONNECTIONS as usize,
        "the connection limit was reached"
    );
    assert!(max_open > INSTANCES, "no statement ran");
}

#[tokio::test(flavor = "multi_thread")]
async fn transactions_and_cancel_requests_are_forwarded() {
    let fleet = spawn().await;
    let clients = join_all(fleet.instances.iter().map(connect_when_ready)).await;
    clients[0]
        .batch_execute("CREATE TABLE lilies (id int8)")
        .await
        .expect("written");
    for (index, client) in clients.iter().enumerate() {
        let insert = format!("BEGIN; INSERT INTO lilies VALUES ({index})");
        client.batch_execute(&insert).await.expect("open");
        client.batch_execute("ROLLBACK").await.expect("rolled back");
        let statement = client
            .prepare("SELECT count(*) FROM lilies")
            .await
            .expect("prepared");
        let row = client.query_one(&statement, &[]).await.expect("read");
        assert_eq!(row.get::<_, i64>(0), 0);
        let token = client.cancel_token();
        let mut running = Box::pin(client.batch_execute("SELECT pg_sleep(30)"));
        let start = Instant::now();
        let cancelled = loop {
            tokio::select! {
                result = &mut running => break result.expect_err("cancelled"),
                () = tokio::time::sleep(Duration::from_millis(20)) => {
                    token.cancel_query(tokio_postgres::NoTls).await.expect("taken");
                }
            }
        };
        assert_eq!(common::sqlstate(&cancelled), "57014");
        assert!(start.elapsed() < DEADLINE);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn instances_forward_over_tls_only() {
    let directory = tempfile::tempdir().expect("a directory");
    let files = authority::write(directory.path());
    let fleet = spawn_with(Some(&files)).await;
    let clients = join_all(fleet.instances.iter().map(connect_when_ready)).await;
    clients[0]
        .batch_execute("CREATE TABLE lilies (id int8)")
        .await
        .expect("written");
    for client in &clients {
        client
            .batch_execute("INSERT INTO lilies VALUES (1)")
            .await
            .expect("written");
    }
    // The same listener refuses plaintext connections.
    let address = fleet.instances[0].instance().forward_address;
    let mut config = Config::new();
    config.host(address.ip().to_string()).port(address.port());
    config.user("proxy").password(PASSWORD).dbname("orders");
    let refused = connect(&config).await.expect_err("plaintext");
    assert_eq!(common::sqlstate(&refused), "08P01");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_instance_transfers_its_seats_without_failed_writes() {
    let mut fleet = spawn().await;
    let clients = join_all(fleet.instances.iter().map(connect_when_ready)).await;
    clients[0]
        .batch_execute("CREATE TABLE lilies (id int8)")
        .await
        .expect("written");
    let last = fleet.instances.pop().expect("five");
    let leaving = tokio::spawn(last.shutdown());
    let mut written = 0;
    while !leaving.is_finished() {
        for client in &clients[..INSTANCES - 1] {
            let insert = format!("INSERT INTO lilies VALUES ({written})");
            client
                .batch_execute(&insert)
                .await
                .expect("written while an instance leaves");
            written += 1;
        }
    }
    wait_until("all rows", async || {
        let row = clients[0]
            .query_one("SELECT count(*) FROM lilies", &[])
            .await;
        row.expect("read").get::<_, i64>(0) == written
    })
    .await;
}
