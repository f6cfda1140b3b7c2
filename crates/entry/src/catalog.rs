//! Configuration in the form that an entry instance uses: routes, services and workspaces of one
//! version.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use filbertbay_state::document::Rate;

/// Consistency of the reads on a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Consistency {
    /// Reads see every acknowledged commit, so every statement runs on the primary.
    Latest,
    /// Reads see every commit that was acknowledged longer ago than this.
    Bounded(Duration),
    /// Like [`Consistency::Bounded`], and reads also see every commit of their own session.
    OwnWrites(Duration),
}

/// Route that callers select by a database name.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Service whose endpoints run the statements.
    pub service: Arc<str>,
    /// Consistency of reads.
    pub consistency: Consistency,
    /// Time limit of a single statement.
    pub timeout: Duration,
    /// Latency objective of an operation.
    pub latency_objective: Duration,
    /// Priority in queues; 0 is the highest.
    pub priority: u8,
    /// Whether callers may connect without a key.
    pub allows_anonymous: bool,
    /// Regions whose endpoints may run the statements; empty allows all.
    pub regions: BTreeSet<Arc<str>>,
}

/// Limits of the endpoints of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Service {
    /// Connections that one endpoint accepts from all instances together.
    pub max_connections: usize,
    /// Replicas that have received a commit before it is acknowledged; zero if none must.
    pub synchronous_replicas: usize,
}

/// Tenant that owns caller keys and a rate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Workspace {
    /// Name that is sent to endpoints.
    pub name: Arc<str>,
    /// Limit on operations a second over all instances, and the burst.
    pub rate: Rate,
    /// Regions whose endpoints may run the statements; empty allows all.
    pub regions: BTreeSet<Arc<str>>,
}

impl Workspace {
    /// Returns the workspace of callers without a key, to which no rate limit applies.
    pub fn anonymous() -> Arc<Self> {
        Arc::new(Self {
            name: ANONYMOUS.into(),
            rate: Rate::default(),
            regions: BTreeSet::new(),
        })
    }

    /// Returns whether this is [`Workspace::anonymous`].
    pub fn is_anonymous(&self) -> bool {
        is_anonymous(&self.name)
    }
}

/// Name that is sent to endpoints for callers without a key.
const ANONYMOUS: &str = "-";

/// Returns whether this is the name of [`Workspace::anonymous`].
pub fn is_anonymous(workspace: &str) -> bool {
    workspace == ANONYMOUS
}

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Version number of the configuration.
    pub version: u64,
    /// Routes by database name.
    pub routes: BTreeMap<Arc<str>, Arc<Route>>,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, Service>,
    /// Workspaces by caller key.
    pub keys: BTreeMap<Arc<str>, Arc<Workspace>>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<Arc<str>, Arc<Workspace>>,
    /// Time after which an idle transaction is rolled back; zero disables the timeout.
    pub idle_transaction_timeout: Duration,
}
