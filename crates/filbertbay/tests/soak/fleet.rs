//! Entry instances as child processes, each behind proxies.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};

use serde_json::json;
use tempfile::TempDir;

use super::common::TestCluster;
use super::proxy::Proxy;

/// Instances, two of them in one data centre.
pub const DATA_CENTRES: [&str; 3] = ["quimper", "quimper", "nantes"];

/// First port of the first soak.
const FIRST_PORT: u16 = 11_000;

/// Soaks side by side whose ports differ.
const SOAKS: u32 = 100;

/// Ports of each soak.
const PORTS: u16 = 200;

/// Ports that this process has given out.
static GIVEN: AtomicU16 = AtomicU16::new(0);

/// Returns a port below those that the kernel gives out, so that it stays free while its process is
/// down. Soaks that run side by side, in one process or in several, get different ones.
fn port() -> SocketAddr {
    let first = FIRST_PORT + (std::process::id() % SOAKS) as u16 * PORTS;
    loop {
        let given = GIVEN.fetch_add(1, Ordering::Relaxed) % PORTS;
        let address = SocketAddr::from(([127, 0, 0, 1], first + given));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// One instance.
pub struct Node {
    /// In front of its callers' address.
    pub callers: Proxy,
    /// In front of the store, for this instance alone.
    pub store: Proxy,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// All instances of a run; the children end with it.
pub struct Fleet {
    pub nodes: Vec<Node>,
    files: TempDir,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            node.kill();
        }
    }
}

impl Fleet {
    /// Lays the instances out and starts them.
    pub async fn start(world: &TestCluster) -> Self {
        let mut fleet = Self {
            nodes: Vec::new(),
            files: TempDir::new().unwrap(),
        };
        for (index, data_centre) in DATA_CENTRES.iter().enumerate() {
            let name = format!("{data_centre}-{index}");
            let callers = port();
            let store = Proxy::bind(world.platform.address).await;
            let settings = json!({
                "name": name, "data_centre": data_centre,
                "data_centres": {"quimper": "bretagne", "nantes": "pays-loire"},
                "callers": callers, "readiness": port(), "readiness_path": "/ready",
                "peers": port(), "metrics": port(), "seeds": [],
                "store": store.address, "failover": store.address,
                "grace_s": 6, "leave_ms": 7000, "file_limit": 4200
            });
            let path = fleet.files.path().join(format!("{name}.json"));
            std::fs::write(&path, settings.to_string()).unwrap();
            let mut node = Node {
                log: fleet.files.path().join(format!("{name}.log")),
                callers: Proxy::bind(callers).await,
                store,
                settings: path,
                child: None,
            };
            node.start();
            fleet.nodes.push(node);
        }
        fleet
    }

    /// Keeps the folder with the logs when the run ends, and returns it.
    pub fn keep(&mut self) -> PathBuf {
        self.files.disable_cleanup(true);
        self.files.path().to_owned()
    }
}

impl Node {
    /// Starts the process if none runs.
    pub fn start(&mut self) {
        if self.is_running() {
            return;
        }
        let log = File::options().create(true).append(true).open(&self.log);
        let child = Command::new(env!("CARGO_BIN_EXE_filbertbay"))
            .args(["entry", "--settings"])
            .arg(&self.settings)
            .stdout(log.unwrap())
            .stderr(Stdio::inherit())
            .spawn();
        self.child = Some(child.unwrap());
    }

    /// Tells whether the process runs.
    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| child.try_wait().unwrap().is_none())
    }

    /// Sends a signal to the process, if it runs.
    pub fn signal(&mut self, signal: &str) {
        if !self.is_running() {
            return;
        }
        let id = self.child.as_ref().map(|child| child.id().to_string());
        let sent = Command::new("kill").arg(signal).args(id).status();
        assert!(sent.is_ok(), "{signal} was not sent: {sent:?}");
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // A child that has ended already has nothing left to kill.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
