//! Processes of the system, started with the command of the deploy file.

use std::fs::File;
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::record::Record;

/// Settings of the instances of one deployment, as `deploy/entry.json` renders them.
pub struct Deployment {
    pub store: SocketAddr,
    pub failover: SocketAddr,
    pub memory_mb: usize,
    pub max_fds: usize,
    /// Folder for settings and logs.
    pub folder: String,
}

pub struct Daemon {
    pub name: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    pub metrics: SocketAddr,
    settings: String,
    log: String,
    child: Option<Child>,
    record: Record,
}

/// Returns a loopback address with a free port.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

impl Daemon {
    pub fn start(deployment: &Deployment, name: &str, zone: &str, record: &Record) -> Self {
        let (callers, readiness, metrics) = (free_address(), free_address(), free_address());
        let settings = format!(
            "{{\"name\":\"{name}\",\"data_centre\":\"{zone}\",\"data_centres\":{{\"quimper\":\"bretagne\",\
             \"nantes\":\"pays-loire\",\"caen\":\"normandie\"}},\"callers\":\"{callers}\",\
             \"readiness\":\"{readiness}\",\"readiness_path\":\"/-/ready\",\"peers\":\"{}\",\"metrics\":\"{metrics}\",\
             \"seeds\":[],\"store\":\"{}\",\"failover\":\"{}\",\"grace_s\":6,\"leave_ms\":7000,\
             \"file_limit\":{},\"rate_slack\":20,\"memory_mb\":{},\"processor_share\":0.25}}",
            free_address(),
            deployment.store,
            deployment.failover,
            deployment.max_fds,
            deployment.memory_mb,
        );
        let path = format!("{}/{name}.json", deployment.folder);
        std::fs::write(&path, settings).unwrap_or_else(|error| crate::cannot_run(&error.to_string()));
        let mut daemon = Self {
            name: name.to_owned(),
            callers,
            readiness,
            metrics,
            settings: path,
            log: format!("{}/{name}.log", deployment.folder),
            child: None,
            record: record.clone(),
        };
        daemon.spawn();
        daemon
    }

    /// Starts the process, also after it has ended.
    pub fn spawn(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.unwrap_or_else(|error| crate::cannot_run(&error.to_string()));
        let child = Command::new("target/release/filbertbay")
            .args(["entry", "--settings", &self.settings])
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log)
            .spawn();
        let child = child.unwrap_or_else(|error| crate::cannot_run(&format!("target/release/filbertbay: {error}")));
        self.record.line(&format!("{}: started as process {}", self.name, child.id()));
        self.child = Some(child);
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Fails if the process has already ended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the exit status if the process has ended.
    pub fn ended(&mut self) -> Option<String> {
        let child = self.child.as_mut()?;
        child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Returns the present resident memory in KiB.
    pub fn resident_kib(&self) -> usize {
        self.status_field("VmRSS:")
    }

    fn status_field(&self, name: &str) -> usize {
        let Some(child) = &self.child else { return 0 };
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with(name));
        let value = line.and_then(|line| line.split_whitespace().nth(1));
        value.and_then(|value| value.parse().ok()).unwrap_or(0)
    }

    /// Asks for readiness, as the platform does.
    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.readiness, Duration::from_secs(1)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let request = "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        if std::io::Write::write_all(&mut stream, request.as_bytes()).is_err() {
            return false;
        }
        let mut answer = [0_u8; 12];
        stream.read_exact(&mut answer).is_ok() && answer.ends_with(b"200")
    }

    /// Waits until the process counts as ready.
    pub fn wait_until_ready(&self) {
        let end = Instant::now() + Duration::from_secs(20);
        while !self.is_ready() {
            if Instant::now() >= end {
                crate::cannot_run(&format!("{} is not ready after 20 s", self.name));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}
