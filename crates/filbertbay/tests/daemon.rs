//! Tests of the daemon as a process, with a stand-in platform and a stand-in group.
//!
//! They guard against a drain that aborts open transactions or ignores a second signal, against
//! workspace keys that leak into logs, metrics or endpoints, and against an instance that does not
//! become ready again after a restart.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_protocol::platform::Store;
use filbertbay_protocol::repository::Repository;
use filbertbay_state::key::Digest;
use filbertbay_state::patch::{Change, Patch};
use filbertbay_state::version::Version;
use filbertbay_transport::platform::Client as Platform;
use serde_json::{Value, json};
use standin::{group, platform};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio_postgres::{Client, NoTls};

const KEY: &str = "key-of-the-shop-53d1";
const PASSWORD: &str = "endpoint-secret";
const DEADLINE: Duration = Duration::from_secs(20);

/// Stand-in group and platform, and one daemon process.
struct Fixture {
    group: group::Handle,
    repository: Repository,
    daemon: Child,
    callers: SocketAddr,
    metrics: SocketAddr,
    log: Arc<parking_lot::Mutex<String>>,
    _platform: platform::Platform,
    settings: tempfile::TempDir,
}

impl Drop for Fixture {
    fn drop(&mut self) {
        let _ = self.daemon.kill();
        let _ = self.daemon.wait();
    }
}

fn document(group: &group::Handle) -> Value {
    let members = group.members().iter().map(|member| {
        let name = member.name().to_string();
        let centre = member.data_centre().as_ref();
        let address = member.address();
        (
            name,
            json!({"data_centre": centre, "address": address, "connections": 16, "slots": 4}),
        )
    });
    let members: serde_json::Map<String, Value> = members.collect();
    json!({
        "data_centres": {"quimper": {"region": "west"}, "nantes": {"region": "south"},
            "caen": {"region": "north"}},
        "groups": {"orders": {"members": members}},
        "routes": {"orders": {"group": "orders"}},
        "workspaces": {"shop": {"rate": {"per_second": 1000, "burst": 1000}, "routes": ["orders"],
            "keys": {"k1": {"digest": Digest::of(KEY).to_string()}}}}
    })
}

async fn submit(repository: &Repository, id: &str, against: u64, change: Value) {
    let patch = Patch {
        id: id.into(),
        against: Version(against),
        author: "yann".into(),
        reason: "test".into(),
        at: 1_765_000_000_000,
        change: Change::Merge(change),
    };
    repository.submit(&patch).await.expect("applied");
}

async fn spawn() -> Fixture {
    let regions = [("quimper", "west"), ("nantes", "south"), ("caen", "north")];
    let network = group::network::Network::new(group::network::Latency::default(), regions);
    let places = regions.map(|(name, _)| group::Place::new(&format!("orders-{name}"), name));
    let group = group::Config::new("orders", PASSWORD)
        .places(places)
        .network(network);
    let group = group
        .connections(16)
        .record(true)
        .spawn()
        .await
        .expect("the group starts");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let platform = platform::Platform::bind(any, any)
        .await
        .expect("the platform starts");
    let base = format!("http://{}", platform.address());
    let store: Arc<dyn Store> = Arc::new(Platform::new(&base).expect("an address"));
    let repository = Repository::new(store);
    submit(&repository, "p-1", 0, document(&group)).await;
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("quimper-1.json");
    let settings = json!({
        "name": "quimper-1", "data_centre": "quimper", "callers": any, "peers": any,
        "forwards": any, "metrics": any, "platform": base, "endpoint_user": "proxy",
        "endpoint_password": PASSWORD, "token_secrets": ["00112233445566778899aabbccddeeff"]
    });
    std::fs::write(&path, settings.to_string()).expect("written");
    let (daemon, started, log) = start_daemon(&path);
    Fixture {
        callers: address(&started, "callers"),
        metrics: address(&started, "metrics"),
        group,
        repository,
        daemon,
        log,
        _platform: platform,
        settings: directory,
    }
}

/// Starts a daemon and returns it with its startup log record and its log.
fn start_daemon(settings: &Path) -> (Child, Value, Arc<parking_lot::Mutex<String>>) {
    let mut daemon = Command::new(env!("CARGO_BIN_EXE_filbertbay"))
        .args(["run", "--settings"])
        .arg(settings)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the daemon starts");
    let (started, log) = follow_log(&mut daemon);
    (daemon, started, log)
}

fn address(started: &Value, field: &str) -> SocketAddr {
    started[field]
        .as_str()
        .expect("logged")
        .parse()
        .expect("valid")
}

/// Reads the log up to the startup record, and collects the rest of it in a thread.
fn follow_log(daemon: &mut Child) -> (Value, Arc<parking_lot::Mutex<String>>) {
    let mut lines = BufReader::new(daemon.stdout.take().expect("piped")).lines();
    let log = Arc::new(parking_lot::Mutex::new(String::new()));
    let started = loop {
        let line = lines.next().expect("the daemon starts").expect("text");
        log.lock().push_str(&line);
        let record: Value = serde_json::from_str(&line).expect("a JSON record");
        if record["msg"] == "instance started" {
            break record;
        }
    };
    let collected = Arc::clone(&log);
    std::thread::spawn(move || {
        for line in lines.map_while(Result::ok) {
            collected.lock().push_str(&line);
        }
    });
    (started, log)
}

impl Fixture {
    async fn connect(&self) -> Result<Client, tokio_postgres::Error> {
        let mut config = tokio_postgres::Config::new();
        config
            .host(self.callers.ip().to_string())
            .port(self.callers.port());
        config.user("shop").password(KEY).dbname("orders");
        let (client, connection) = config.connect(NoTls).await?;
        tokio::spawn(connection);
        Ok(client)
    }

    /// Waits until the daemon is healthy, and connects to it.
    async fn connect_when_ready(&self) -> Client {
        let start = Instant::now();
        while !self.get("/health").await.starts_with("HTTP/1.1 200") {
            assert!(
                start.elapsed() < DEADLINE,
                "the daemon did not become ready"
            );
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        self.connect().await.expect("ready")
    }

    /// Returns the whole HTTP response for a path.
    async fn get(&self, path: &str) -> String {
        let mut stream = tokio::net::TcpStream::connect(self.metrics)
            .await
            .expect("served");
        let request = format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).await.expect("sent");
        let mut response = String::new();
        stream
            .read_to_string(&mut response)
            .await
            .expect("received");
        response
    }

    /// Starts the daemon again after it has exited.
    fn restart(&mut self) {
        let (daemon, started, log) = start_daemon(&self.settings.path().join("quimper-1.json"));
        self.callers = address(&started, "callers");
        self.metrics = address(&started, "metrics");
        self.daemon = daemon;
        self.log = log;
    }

    fn terminate(&self) {
        let status = Command::new("kill")
            .args(["-TERM", &self.daemon.id().to_string()])
            .status();
        assert!(status.expect("kill runs").success());
    }

    /// Waits until the daemon has exited, and returns its exit code; none if a signal ended it.
    async fn wait_for_exit(&mut self) -> Option<i32> {
        let start = Instant::now();
        loop {
            if let Some(status) = self.daemon.try_wait().expect("a child") {
                return status.code();
            }
            assert!(start.elapsed() < DEADLINE, "the daemon did not exit");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn sigterm_drains_open_transactions_before_exit() {
    let mut fixture = spawn().await;
    let client = fixture.connect_when_ready().await;
    client
        .batch_execute("CREATE TABLE lilies (id int8)")
        .await
        .expect("confirmed");
    client
        .batch_execute("INSERT INTO lilies VALUES (1)")
        .await
        .expect("confirmed");
    let row = client
        .query_one("SELECT count(*) FROM lilies", &[])
        .await
        .expect("read");
    assert_eq!(row.get::<_, i64>(0), 1);
    assert!(fixture.get("/health").await.starts_with("HTTP/1.1 200"));
    client
        .batch_execute("BEGIN; INSERT INTO lilies VALUES (2)")
        .await
        .expect("open");
    fixture.terminate();
    let start = Instant::now();
    while !fixture.get("/health").await.starts_with("HTTP/1.1 503") {
        assert!(
            start.elapsed() < DEADLINE,
            "the health check did not start to fail"
        );
    }
    client.batch_execute("COMMIT").await.expect("finishes");
    assert_eq!(fixture.wait_for_exit().await, Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_sigterm_aborts_the_drain() {
    let mut fixture = spawn().await;
    let client = fixture.connect_when_ready().await;
    client.batch_execute("BEGIN").await.expect("open");
    fixture.terminate();
    let start = Instant::now();
    while !fixture.get("/health").await.starts_with("HTTP/1.1 503") {
        assert!(
            start.elapsed() < DEADLINE,
            "the health check did not start to fail"
        );
    }
    fixture.terminate();
    fixture.wait_for_exit().await;
    assert!(client.batch_execute("COMMIT").await.is_err());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_does_not_leak_into_logs_metrics_or_endpoints() {
    let fixture = spawn().await;
    let client = fixture.connect_when_ready().await;
    client
        .batch_execute("CREATE TABLE lilies (id int8)")
        .await
        .expect("confirmed");
    let withdrawn = json!({"workspaces": {"shop": {"keys": {"k1": {"state": "withdrawn"}}}}});
    submit(&fixture.repository, "p-2", 1, withdrawn).await;
    let start = Instant::now();
    while !client.is_closed() {
        assert!(start.elapsed() < DEADLINE, "the session is still open");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let refused = fixture.connect().await.expect_err("withdrawn");
    assert!(!format!("{refused:?}").contains(KEY));
    let metrics = fixture.get("/metrics").await;
    assert!(metrics.contains("filbertbay_callers"), "{metrics}");
    assert!(!metrics.contains(KEY));
    assert!(!fixture.log.lock().contains(KEY));
    for member in fixture.group.members() {
        let received = member.received();
        assert!(!received.is_empty());
        assert!(
            !received
                .windows(KEY.len())
                .any(|window| window == KEY.as_bytes())
        );
    }
}

/// Guards against a restarted instance that never becomes ready: its previous incarnation held all
/// lanes of the rate limiter, and there is no other instance to borrow from.
#[tokio::test(flavor = "multi_thread")]
async fn a_single_instance_becomes_ready_after_a_restart() {
    let mut fixture = spawn().await;
    let client = fixture.connect_when_ready().await;
    client
        .batch_execute("CREATE TABLE lilies (id int8)")
        .await
        .expect("confirmed");
    fixture.terminate();
    assert_eq!(fixture.wait_for_exit().await, Some(0));
    fixture.restart();
    let client = fixture.connect_when_ready().await;
    client
        .batch_execute("INSERT INTO lilies VALUES (1)")
        .await
        .expect("confirmed");
}
