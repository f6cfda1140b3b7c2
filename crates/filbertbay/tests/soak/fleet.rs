//! Entry instances as child processes, with proxies in front of their caller listeners and of their
//! store.

use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use serde_json::{Value, json};
use tempfile::TempDir;

use super::common::{TestCluster, config_with_workspaces};
use super::network::Hosts;
use super::proxy::Proxy;

/// Data centres, to which instances and members are assigned in turn.
pub const DATA_CENTRES: [&str; 3] = ["quimper", "nantes", "caen"];

/// Databases with the route for the latest data and the one for own writes, by service.
pub const DATABASES: [[&str; 2]; 2] = [["orders", "picks"], ["orders-archive", "picks-archive"]];

/// Service that acknowledges a write once a replica has received it.
pub const SYNCHRONOUS_SERVICE: usize = 1;

/// Returns a configuration with the given workspaces, in which a second service has routes like those
/// of the first and demands a synchronous replica.
pub fn config(version: u64, workspaces: &[(&str, &[&str])]) -> String {
    let text = config_with_workspaces(version, workspaces);
    let mut config: Value = serde_json::from_str(&text).unwrap();
    for (list, fields) in [
        ("routes", &["name", "host", "service"][..]),
        ("services", &["name"]),
    ] {
        let rows = config[list].as_array_mut().unwrap();
        let mut copies = rows.clone();
        for copy in &mut copies {
            for field in fields {
                copy[*field] = format!("{}-archive", copy[*field].as_str().unwrap()).into();
            }
        }
        rows.append(&mut copies);
    }
    config["services"][SYNCHRONOUS_SERVICE]["sync_replicas"] = json!(1);
    config.to_string()
}

/// First ports of the listeners for callers, readiness and metrics.
const OWN_PORTS: [u16; 3] = [7_200, 7_400, 7_600];

/// Entry instance that runs as a child process.
pub struct Instance {
    /// Proxy in front of the listener for callers.
    pub caller_proxy: Proxy,
    pub data_centre: &'static str,
    /// Proxy between this instance and the store.
    pub store_proxy: Proxy,
    settings_path: PathBuf,
    log_path: PathBuf,
    child: Option<Child>,
}

/// All instances of a run. Dropping the fleet kills the child processes.
pub struct Fleet {
    pub instances: Vec<Instance>,
    directory: TempDir,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            instance.kill();
        }
    }
}

impl Fleet {
    /// Writes the settings of the instances and starts them.
    pub async fn start(cluster: &TestCluster, hosts: Hosts, count: usize) -> Self {
        let mut fleet = Self {
            instances: Vec::new(),
            directory: TempDir::new().unwrap(),
        };
        let address = |port: u16| SocketAddr::from((hosts.advertised(), port));
        for index in 0..count {
            let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
            let name = format!("{data_centre}-{index}");
            let ports = OWN_PORTS.map(|first| first + index as u16);
            let [caller_address, readiness, metrics] = ports.map(address);
            let own_host = hosts.of_instance(index);
            let store = cluster.platform.listen_for(hosts.advertised(), own_host);
            let store_proxy = Proxy::bind(store.await).await;
            let settings = json!({
                "name": name, "data_centre": data_centre,
                "data_centres": {"quimper": "bretagne", "nantes": "pays-loire",
                    "caen": "normandie"},
                "callers": caller_address, "readiness": readiness, "readiness_path": "/ready",
                "peers": hosts.peer(index), "metrics": metrics, "seeds": [],
                "store": store_proxy.address, "failover": store_proxy.address,
                "grace_s": 6, "leave_ms": 7000, "file_limit": 4200
            });
            let path = fleet.directory.path().join(format!("{name}.json"));
            std::fs::write(&path, settings.to_string()).unwrap();
            let mut instance = Instance {
                log_path: fleet.directory.path().join(format!("{name}.log")),
                caller_proxy: Proxy::bind(caller_address).await,
                data_centre,
                store_proxy,
                settings_path: path,
                child: None,
            };
            instance.start();
            fleet.instances.push(instance);
        }
        fleet
    }

    /// Keeps the directory of logs and settings after the run, and returns its path.
    pub fn keep_logs(&mut self) -> PathBuf {
        self.directory.disable_cleanup(true);
        self.directory.path().to_owned()
    }
}

impl Instance {
    /// Starts the process unless it is running.
    pub fn start(&mut self) {
        if self.is_running() {
            return;
        }
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log_path);
        let program = std::env::var("SOAK_PROGRAM");
        let program = program.unwrap_or(env!("CARGO_BIN_EXE_filbertbay").to_owned());
        let child = Command::new(program)
            .args(["entry", "--settings"])
            .arg(&self.settings_path)
            .stdout(log.unwrap())
            .stderr(Stdio::inherit())
            .spawn();
        self.child = Some(child.unwrap());
    }

    /// Returns true if the process is running.
    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| child.try_wait().unwrap().is_none())
    }

    /// Sends a signal such as `-TERM` to the process if it is running.
    pub fn send_signal(&mut self, signal: &str) {
        if !self.is_running() {
            return;
        }
        let id = self.child.as_ref().map(|child| child.id().to_string());
        let sent = Command::new("kill").arg(signal).args(id).status();
        assert!(
            sent.is_ok(),
            "could not send {signal} to the instance: {sent:?}"
        );
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Killing fails if the child has already exited.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
