//! A daemon as child process, and what it uses of memory and descriptors.

use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};

use serde_json::Value;
use tempfile::NamedTempFile;

/// Returns a loopback address with a free port.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// Daemon that ends with the test.
pub struct Daemon {
    child: Child,
    _settings: NamedTempFile,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // Fails if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Daemon {
    /// Starts `filbertbay COMMAND` with the given settings.
    pub fn start(command: &str, settings: &Value) -> Self {
        let file = NamedTempFile::new().unwrap();
        std::fs::write(file.path(), settings.to_string()).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_filbertbay"))
            .args([command, "--settings"])
            .arg(file.path())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        Self {
            child,
            _settings: file,
        }
    }

    /// Returns whether the process has not ended.
    pub fn is_alive(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Returns the highest resident memory of the process so far, in KiB.
    pub fn peak_kib(&self) -> usize {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let kib = line.and_then(|line| line.split_whitespace().nth(1));
        kib.unwrap().parse().unwrap()
    }

    /// Returns the number of open descriptors of the process.
    pub fn descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.child.id());
        std::fs::read_dir(path).unwrap().count()
    }
}
