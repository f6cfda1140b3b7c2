//! Starts the project's entry instances as the deploy file does, with settings like those that
//! `deploy/entry.json` renders for a small installation.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;

/// Figures of the installation that reach the settings.
pub struct Place {
    pub zone: &'static str,
    pub region: &'static str,
}

pub struct Instance {
    pub name: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    process: Child,
}

impl Instance {
    pub fn signal(&self, signal: i32) {
        // SAFETY: the process was started here and is not waited for before it is dropped.
        unsafe { kill(self.process.id() as i32, signal) };
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.process.try_wait().ok().flatten().is_some()
    }

    /// Asks the readiness address as the platform does.
    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.readiness) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let request = "GET /-/ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        let mut answer = String::new();
        let _ = stream.write_all(request.as_bytes());
        let _ = stream.read_to_string(&mut answer);
        answer.starts_with("HTTP/1.1 200")
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Returns a free loopback address. The listeners stay open until all addresses were chosen.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    listeners
        .iter()
        .map(|listener| listener.local_addr().unwrap())
        .collect()
}

/// Starts one instance for each place. `stores` holds the address at which each reaches the store.
pub fn start(
    folder: &Path,
    places: &[Place],
    stores: &[SocketAddr],
    failover: SocketAddr,
) -> Vec<Instance> {
    let program = PathBuf::from("target/release/filbertbay");
    let addresses = free_addresses(places.len() * 4);
    let zones: Vec<String> = places
        .iter()
        .map(|place| format!(r#""{}":"{}""#, place.zone, place.region))
        .collect();
    let mut zones_once = zones.clone();
    zones_once.sort();
    zones_once.dedup();
    let peers: Vec<String> = (0..places.len().min(3))
        .map(|index| format!(r#""{}""#, addresses[index * 4 + 2]))
        .collect();
    let mut instances = Vec::new();
    for (index, place) in places.iter().enumerate() {
        let [callers, readiness, control, metrics] = addresses[index * 4..index * 4 + 4] else {
            unreachable!()
        };
        let name = format!("front-{}-{}", place.zone, index + 1);
        let settings = format!(
            r#"{{"name":"{name}","data_centre":"{}","data_centres":{{{}}},"callers":"{callers}",
"readiness":"{readiness}","readiness_path":"/-/ready","peers":"{control}","metrics":"{metrics}",
"seeds":[{}],"store":"{}","failover":"{failover}","grace_s":6,"leave_ms":7000,"file_limit":4200,
"rate_slack":20}}"#,
            place.zone,
            zones_once.join(","),
            peers.join(","),
            stores[index],
        );
        let path = folder.join(format!("{name}.json"));
        std::fs::write(&path, settings).unwrap();
        let output = File::create(folder.join(format!("{name}.log"))).unwrap();
        let errors = output.try_clone().unwrap();
        let process = Command::new(&program)
            .args(["entry", "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .expect("target/release/filbertbay starts");
        instances.push(Instance {
            name,
            callers,
            readiness,
            process,
        });
    }
    instances
}

/// Waits until every instance reports itself ready twice in a row, a second apart.
pub fn wait_until_ready(instances: &[Instance]) -> bool {
    let end = Instant::now() + Duration::from_secs(20);
    let mut in_a_row = 0;
    while Instant::now() < end {
        if instances.iter().all(Instance::is_ready) {
            in_a_row += 1;
            if in_a_row == 3 {
                return true;
            }
        } else {
            in_a_row = 0;
        }
        std::thread::sleep(Duration::from_secs(1));
    }
    false
}
