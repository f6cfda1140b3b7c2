//! Cost of control by the size of the fleet, over real sockets.
//!
//! ```text
//! cargo run --release --locked -p filbertbay --example control -- [FILE]
//! ```
//!
//! Control threads of several fleet sizes run in one process next to a stand-in platform, without
//! groups. For each size it prints the processor time and memory of one instance, the calls that
//! the platform takes, and how long a patch takes to be in force everywhere.

use std::error::Error;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};
use std::{env, fs};

use filbertbay::control::{ControlThread, Dependencies};
use filbertbay::published::PublishedState;
use filbertbay_protocol::platform::Store;
use filbertbay_protocol::repository::Repository;
use filbertbay_state::instance::{Instance, Presence};
use filbertbay_state::patch::{Change, Patch};
use filbertbay_state::version::Version;
use filbertbay_transport::platform::Client;
use serde::Serialize;
use serde_json::json;
use standin::platform::Platform;

const SIZES: [usize; 4] = [12, 24, 48, 96];
const DATA_CENTRES: usize = 6;
const PATCHES: u64 = 5;

/// Time over which a steady fleet is measured.
const STEADY: Duration = Duration::from_secs(20);

/// Longest wait for a fleet to settle.
const SETTLE: Duration = Duration::from_mins(1);

#[derive(Debug, Serialize)]
struct Row {
    instances: usize,
    start_calls: u64,
    steady_calls_per_second: f64,
    processor_us_per_instance_second: f64,
    bytes_per_instance: f64,
    slowest_patch_ms: f64,
}

struct Fleet {
    platform: Platform,
    running: Vec<(ControlThread, Arc<PublishedState>)>,
}

fn main() -> Result<(), Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let mut rows = Vec::new();
    for size in SIZES {
        let row = runtime.block_on(measure(size))?;
        println!("{row:?}");
        rows.push(row);
    }
    if let Some(path) = env::args_os().nth(1) {
        fs::write(path, serde_json::to_string_pretty(&rows)?)?;
    }
    Ok(())
}

async fn measure(instances: usize) -> Result<Row, Box<dyn Error>> {
    let before = resident_bytes();
    let fleet = Fleet::start(instances).await?;
    fleet.settle(instances).await?;
    let start_calls = fleet.calls();
    let bytes_per_instance = (resident_bytes() - before) / instances as f64;

    let (calls, processor) = (fleet.calls(), processor_seconds());
    tokio::time::sleep(STEADY).await;
    let seconds = STEADY.as_secs_f64();
    let steady_calls_per_second = (fleet.calls() - calls) as f64 / seconds;
    let processor = (processor_seconds() - processor) / seconds / instances as f64;

    let mut slowest = Duration::ZERO;
    for version in 2..2 + PATCHES {
        let since = Instant::now();
        fleet.submit(version).await?;
        fleet.wait_for(version).await?;
        slowest = slowest.max(since.elapsed());
    }
    Ok(Row {
        instances,
        start_calls,
        steady_calls_per_second,
        processor_us_per_instance_second: processor * 1e6,
        bytes_per_instance,
        slowest_patch_ms: slowest.as_secs_f64() * 1e3,
    })
}

impl Fleet {
    async fn start(instances: usize) -> Result<Self, Box<dyn Error>> {
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let platform = Platform::bind(any, any).await?;
        let mut fleet = Self {
            platform,
            running: Vec::new(),
        };
        fleet.submit(1).await?;
        for number in 0..instances {
            let published = Arc::new(PublishedState::new(instance(number)?));
            let parts = Dependencies {
                store: fleet.store()?,
                identity: None,
                seeds: Vec::new(),
                isolation_limit: None,
                published: Arc::clone(&published),
                log: slog::Logger::root(slog::Discard, slog::o!()),
            };
            fleet
                .running
                .push((ControlThread::spawn(parts).await?, published));
        }
        Ok(fleet)
    }

    fn store(&self) -> Result<Arc<dyn Store>, Box<dyn Error>> {
        Ok(Arc::new(Client::new(&self.platform.url())?))
    }

    fn calls(&self) -> u64 {
        self.platform.counters().totals.values().sum()
    }

    async fn submit(&self, version: u64) -> Result<(), Box<dyn Error>> {
        let centre = format!("data-centre-{version}");
        let patch = Patch {
            id: format!("patch-{version}").into(),
            against: Version(version - 1),
            author: "capacity".into(),
            reason: "measurement".into(),
            at: version,
            change: Change::Merge(json!({"data_centres": {centre: {"region": "r"}}})),
        };
        Repository::new(self.store()?).submit(&patch).await?;
        Ok(())
    }

    async fn wait_for(&self, version: u64) -> Result<(), Box<dyn Error>> {
        for (_, published) in &self.running {
            let mut snapshots = published.subscribe_snapshot();
            let arrived = snapshots.wait_for(|snapshot| snapshot.version().0 >= version);
            tokio::time::timeout(SETTLE, arrived).await??;
        }
        Ok(())
    }

    /// Waits until every instance has the first configuration and lists all instances.
    async fn settle(&self, instances: usize) -> Result<(), Box<dyn Error>> {
        self.wait_for(1).await?;
        let deadline = Instant::now() + SETTLE;
        while self
            .running
            .iter()
            .any(|(_, published)| published.instances().len() != instances)
        {
            if Instant::now() > deadline {
                return Err("the fleet did not settle".into());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }
}

fn instance(number: usize) -> Result<Instance, Box<dyn Error>> {
    let free = || TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
    Ok(Instance {
        name: format!("instance-{number}").into(),
        incarnation: 1,
        data_centre: format!("data-centre-{}", number % DATA_CENTRES).into(),
        caller_address: free()?,
        peer_address: free()?,
        forward_address: free()?,
        presence: Presence::Live,
    })
}

/// Returns the processor time of this process so far, in seconds.
fn processor_seconds() -> f64 {
    const TICKS_PER_SECOND: f64 = 100.0;
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The name in parentheses may hold blanks; user and system time are fields 14 and 15.
    let fields = text.rsplit(") ").next().unwrap_or_default().split(' ');
    let ticks: f64 = fields
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<f64>().ok())
        .sum();
    ticks / TICKS_PER_SECOND
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> f64 {
    const PAGE_BYTES: f64 = 4_096.0;
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}
