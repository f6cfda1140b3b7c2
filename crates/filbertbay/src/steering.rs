//! What control decides for traffic, read from its published state.
//!
//! Groups and proofs come from the actors of control. Until control keeps the allocation of shares,
//! they are split evenly over the instances that it knows.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use filbertbay_coordination::authority::confirm::Outcome;
use filbertbay_coordination::share::{self, Admission, Allocation, Ledger};
use filbertbay_coordination::view::Group;
use filbertbay_state::snapshot::Snapshot;
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::caller::policy::{Demand, Finished, Policy};
use crate::control::group::Directory;
use crate::published::Published;

/// Time between two looks at the instances that share the rates.
const SPLIT_INTERVAL: Duration = Duration::from_millis(50);

/// Policy of a daemon.
#[derive(Debug)]
pub struct Steering {
    published: Arc<Published>,
    directory: Arc<Directory>,
    ledger: Mutex<Ledger>,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

impl Steering {
    /// Starts to keep this instance's part of the shares.
    pub fn spawn(published: Arc<Published>, directory: Arc<Directory>) -> Arc<Self> {
        let own = published.own();
        let ledger = Ledger::open(
            Arc::clone(&own.name),
            Arc::clone(&own.data_centre),
            own.incarnation,
            share::Config::default(),
        );
        let steering = Arc::new(Self {
            published,
            directory,
            ledger: Mutex::new(ledger),
            tasks: Mutex::default(),
        });
        let task = tokio::spawn(split(Arc::clone(&steering)));
        steering.tasks.lock().push(task);
        steering
    }

    /// Takes this instance's lanes of an even split over the instances that control knows.
    fn split(&self) {
        let now = Instant::now();
        let instances = self.published.instances();
        let holders: Vec<_> = instances
            .iter()
            .map(|i| (i.name.as_ref(), i.incarnation, i.data_centre.as_ref()))
            .collect();
        let mut ledger = self.ledger.lock();
        ledger.adopt(now, Arc::new(Allocation::even(&holders)));
        ledger.extend(now);
    }

    /// Ends the tasks.
    pub fn stop(&self) {
        for task in self.tasks.lock().drain(..) {
            task.abort();
        }
    }
}

async fn split(steering: Arc<Steering>) {
    loop {
        steering.split();
        sleep(SPLIT_INTERVAL).await;
    }
}

#[async_trait]
impl Policy for Steering {
    fn snapshot(&self) -> Snapshot {
        self.published.snapshot()
    }

    fn group(&self, name: &str) -> Option<Arc<Group>> {
        self.published.group(name)
    }

    fn changes(&self) -> watch::Receiver<Snapshot> {
        self.published.subscribe()
    }

    fn cut_off(&self) -> watch::Receiver<bool> {
        self.published.subscribe_cut_off()
    }

    async fn refresh(&self, group: &str) {
        self.directory.refresh(group).await;
    }

    async fn confirm(&self, finished: Finished) -> Outcome {
        self.directory.confirm(finished).await
    }

    async fn admit(&self, demand: Demand) -> bool {
        let now = Instant::now();
        let mut ledger = self.ledger.lock();
        let admission = ledger.take(now, &demand.workspace, demand.rate, demand.cost);
        matches!(admission, Admission::Run)
    }
}
