//! Entry instances as child processes, with proxies in front of their caller listeners and of their
//! store.

use std::fs::File;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use check::free_address;
use serde_json::json;
use tempfile::TempDir;

use super::common::TestCluster;
use super::proxy::Proxy;

/// Data centre of each instance; two instances share one.
pub const DATA_CENTRES: [&str; 3] = ["quimper", "quimper", "nantes"];

/// Entry instance that runs as a child process.
pub struct Instance {
    /// Proxy in front of the listener for callers.
    pub caller_proxy: Proxy,
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
    pub async fn start(cluster: &TestCluster) -> Self {
        let mut fleet = Self {
            instances: Vec::new(),
            directory: TempDir::new().unwrap(),
        };
        for (index, data_centre) in DATA_CENTRES.iter().enumerate() {
            let name = format!("{data_centre}-{index}");
            let caller_address = free_address();
            let store_proxy = Proxy::bind(cluster.platform.address).await;
            let settings = json!({
                "name": name, "data_centre": data_centre,
                "data_centres": {"quimper": "bretagne", "nantes": "pays-loire"},
                "callers": caller_address, "readiness": free_address(), "readiness_path": "/ready",
                "peers": free_address(), "metrics": free_address(), "seeds": [],
                "store": store_proxy.address, "failover": store_proxy.address,
                "grace_s": 6, "leave_ms": 7000, "file_limit": 4200
            });
            let path = fleet.directory.path().join(format!("{name}.json"));
            std::fs::write(&path, settings.to_string()).unwrap();
            let mut instance = Instance {
                log_path: fleet.directory.path().join(format!("{name}.log")),
                caller_proxy: Proxy::bind(caller_address).await,
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
        let child = Command::new(env!("CARGO_BIN_EXE_filbertbay"))
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
