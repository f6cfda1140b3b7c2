//! Measures the cost of the control thread by fleet size, over real sockets.
//!
//! ```text
//! cargo run --release --locked -p filbertbay --example control -- [FILE]
//! ```
//!
//! For each fleet size, the control threads of all instances run in one process next to a stand-in
//! platform, without database groups. The program prints the processor time and memory of one
//! instance, the calls to the platform, and the time that a patch takes to be in force at every
//! instance. It writes the results to FILE as JSON if one is given.

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

const FLEET_SIZES: [usize; 4] = [12, 24, 48, 96];
const DATA_CENTRES: usize = 6;
const PATCH_COUNT: u64 = 5;

/// Duration of the measurement of an idle fleet.
const STEADY_DURATION: Duration = Duration::from_secs(20);

/// Timeout for a fleet to converge.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_mins(1);

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
    for size in FLEET_SIZES {
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
    fleet.wait_until_converged(instances).await?;
    let start_calls = fleet.platform_calls();
    let bytes_per_instance = (resident_bytes() - before) / instances as f64;

    let (calls_before, processor_before) = (fleet.platform_calls(), processor_seconds());
    tokio::time::sleep(STEADY_DURATION).await;
    let seconds = STEADY_DURATION.as_secs_f64();
    let steady_calls_per_second = (fleet.platform_calls() - calls_before) as f64 / seconds;
    let processor = (processor_seconds() - processor_before) / seconds / instances as f64;

    let mut slowest = Duration::ZERO;
    for version in 2..2 + PATCH_COUNT {
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
        let any_port: SocketAddr = ([127, 0, 0, 1], 0).into();
        let platform = Platform::bind(any_port, any_port).await?;
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

    fn platform_calls(&self) -> u64 {
        self.platform.counters().totals.values().sum()
    }

    async fn submit(&self, version: u64) -> Result<(), Box<dyn Error>> {
        let data_centre = format!("data-centre-{version}");
        let patch = Patch {
            id: format!("patch-{version}").into(),
            against: Version(version - 1),
            author: "capacity".into(),
            reason: "measurement".into(),
            at: version,
            change: Change::Merge(json!({"data_centres": {data_centre: {"region": "r"}}})),
        };
        Repository::new(self.store()?).submit(&patch).await?;
        Ok(())
    }

    async fn wait_for(&self, version: u64) -> Result<(), Box<dyn Error>> {
        for (_, published) in &self.running {
            let mut snapshots = published.subscribe_snapshot();
            let reached = snapshots.wait_for(|snapshot| snapshot.version().0 >= version);
            tokio::time::timeout(CONVERGENCE_TIMEOUT, reached).await??;
        }
        Ok(())
    }

    /// Waits until every instance has the first configuration and lists all instances as live.
    async fn wait_until_converged(&self, instances: usize) -> Result<(), Box<dyn Error>> {
        self.wait_for(1).await?;
        let deadline = Instant::now() + CONVERGENCE_TIMEOUT;
        while self
            .running
            .iter()
            .any(|(_, published)| published.instances().len() != instances)
        {
            if Instant::now() > deadline {
                return Err("the fleet did not converge".into());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }
}

fn instance(number: usize) -> Result<Instance, Box<dyn Error>> {
    let free_address =
        || TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
    Ok(Instance {
        name: format!("instance-{number}").into(),
        incarnation: 1,
        data_centre: format!("data-centre-{}", number % DATA_CENTRES).into(),
        caller_address: free_address()?,
        peer_address: free_address()?,
        forward_address: free_address()?,
        presence: Presence::Live,
    })
}

/// Returns the processor time that this process has used, in seconds.
fn processor_seconds() -> f64 {
    const TICKS_PER_SECOND: f64 = 100.0;
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The name in parentheses may contain blanks. User and system time are fields 14 and 15.
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
