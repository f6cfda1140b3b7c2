//! Stand-in for the platform's key-value service.
//!
//! It serves the HTTP interface that
//! `filbertbay_transport::platform::Client` speaks, from memory. A second address takes faults
//! (`POST /fault`, see [`Fault`]) and shows the calls counted by kind and second
//! (`GET /counters`, see [`Counters`]); it answers also while the service is down.
//!
//! # Examples
//!
//! ```
//! # tokio::runtime::Runtime::new()?.block_on(async {
//! use standin::platform::{Fault, Platform};
//!
//! let platform = Platform::bind("127.0.0.1:0".parse()?, "127.0.0.1:0".parse()?).await?;
//! println!("platform at {}", platform.url());
//! platform.apply(&Fault { down: Some(true), ..Fault::default() });
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! # })?;
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod counter;
mod gate;
mod http;
mod table;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

pub use counter::Counters;

use counter::Counter;
use gate::Gate;
pub(crate) use table::{Slot, Table};

/// Interval at which lapsed leases are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);

/// Change of the faults; fields that are left out stay as they are.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fault {
    /// Whether connections are refused and open ones cut.
    pub down: Option<bool>,
    /// Delay before each call takes effect, in milliseconds; it takes effect even if the caller
    /// has given up.
    pub slow_ms: Option<u64>,
    /// Number of changing calls that take effect and whose answers are then cut.
    pub lose_answers: Option<u32>,
    /// Name or id of a lease to end as if its holder had not renewed it.
    pub expire_lease: Option<String>,
    /// Age of the list of instances, in milliseconds.
    pub list_lag_ms: Option<u64>,
}

/// Faults in force.
#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    slow: Duration,
    lose_answers: u32,
}

/// Parts that handlers share.
#[derive(Debug)]
struct Shared {
    table: Mutex<Table>,
    faults: Mutex<Faults>,
    counter: Mutex<Counter>,
    down: watch::Sender<bool>,
    /// Index of the last change, for calls that wait.
    changed: watch::Sender<u64>,
}

impl Shared {
    /// Runs a change of the table and wakes the calls that wait.
    fn change<T, F>(&self, change: F) -> T
    where
        F: FnOnce(&mut Table, Instant) -> T,
    {
        let mut table = self.table.lock();
        let result = change(&mut table, Instant::now());
        let index = table.index();
        self.changed.send_if_modified(|seen| {
            let differs = *seen != index;
            *seen = index;
            differs
        });
        result
    }

    fn apply(&self, fault: &Fault) {
        if let Some(down) = fault.down {
            self.down.send_replace(down);
        }
        if let Some(slow) = fault.slow_ms {
            self.faults.lock().slow = Duration::from_millis(slow);
        }
        if let Some(count) = fault.lose_answers {
            self.faults.lock().lose_answers = count;
        }
        if let Some(lag) = fault.list_lag_ms {
            self.change(|table, _| table.set_lag(Duration::from_millis(lag)));
        }
        if let Some(name) = &fault.expire_lease {
            self.change(|table, _| table.expire_lease(name));
        }
    }

    /// Takes one lost answer off the count, and tells whether this answer is lost.
    fn loses_answer(&self) -> bool {
        let mut faults = self.faults.lock();
        let loses = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        loses
    }
}

/// Running stand-in of the platform; it ends when the handle is dropped.
#[derive(Debug)]
pub struct Platform {
    address: SocketAddr,
    control: SocketAddr,
    shared: Arc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

impl Platform {
    /// Starts the service at `address` and its control at `control`; port zero takes a free one.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound.
    pub async fn bind(address: SocketAddr, control: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let control_listener = TcpListener::bind(control).await?;
        let shared = Arc::new(Shared {
            table: Mutex::default(),
            faults: Mutex::default(),
            counter: Mutex::new(Counter::new(Instant::now())),
            down: watch::Sender::new(false),
            changed: watch::Sender::new(Table::default().index()),
        });
        let address = listener.local_addr()?;
        let control = control_listener.local_addr()?;
        let gate = Gate::new(listener, address, shared.down.subscribe());
        let service = http::service(Arc::clone(&shared));
        let admin = http::control(Arc::clone(&shared));
        let tasks = vec![
            tokio::spawn(async move {
                let _ = axum::serve(gate, service).await;
            }),
            tokio::spawn(async move {
                let _ = axum::serve(control_listener, admin).await;
            }),
            tokio::spawn(sweep(Arc::clone(&shared))),
        ];
        Ok(Self {
            address,
            control,
            shared,
            tasks,
        })
    }

    /// Returns the base address for clients.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Returns the address of the service.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address that takes faults and shows counters.
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// Changes the faults in force.
    pub fn apply(&self, fault: &Fault) {
        self.shared.apply(fault);
    }

    /// Returns the calls counted so far.
    pub fn counters(&self) -> Counters {
        self.shared.counter.lock().counters()
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.shared.down.send_replace(true);
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn sweep(shared: Arc<Shared>) {
    let mut interval = tokio::time::interval(SWEEP_INTERVAL);
    loop {
        interval.tick().await;
        shared.change(Table::sweep);
    }
}
