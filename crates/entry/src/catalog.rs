//! Configuration as an entry instance uses it: routes, services and workspaces of one version.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use filbertbay_state::document::Rate;

/// How fresh the data that a route shows must be.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Consistency {
    /// Every acknowledged commit, so every statement runs on the primary.
    Latest,
    /// Every commit that was acknowledged longer ago than the bound.
    Bounded(Duration),
    /// As [`Consistency::Bounded`], and every commit of the same session.
    OwnWrites(Duration),
}

/// What a database name stands for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Service whose endpoints run the statements.
    pub service: Arc<str>,
    /// Freshness of reads.
    pub consistency: Consistency,
    /// Limit of a single statement.
    pub timeout: Duration,
    /// Latency objective of an operation.
    pub latency_objective: Duration,
    /// Rank in queues; 0 goes first.
    pub priority: u8,
    /// Whether callers need no key.
    pub allows_anonymous: bool,
    /// Regions whose endpoints may run the statements; empty allows all.
    pub regions: BTreeSet<Arc<str>>,
}

/// Limits of the endpoints of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Service {
    /// Connections that one endpoint accepts from all callers together.
    pub max_connections: usize,
}

/// Owner of keys and of a rate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Workspace {
    /// Name that endpoints are told.
    pub name: Arc<str>,
    /// Operations a second over all instances, and the burst.
    pub rate: Rate,
    /// Regions whose endpoints may run the statements; empty allows all.
    pub regions: BTreeSet<Arc<str>>,
}

impl Workspace {
    /// Workspace of callers without a key on an open route; it has no rate.
    pub fn anonymous() -> Arc<Self> {
        Arc::new(Self {
            name: ANONYMOUS.into(),
            rate: Rate::default(),
            regions: BTreeSet::new(),
        })
    }

    /// Tells whether this is [`Workspace::anonymous`].
    pub fn is_anonymous(&self) -> bool {
        self.name.as_ref() == ANONYMOUS
    }
}

/// Name that endpoints are told for callers without a key.
const ANONYMOUS: &str = "-";

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Version that the operators gave.
    pub version: u64,
    /// Routes by the database name that callers ask for.
    pub routes: BTreeMap<Arc<str>, Arc<Route>>,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, Service>,
    /// Workspaces by caller key.
    pub keys: BTreeMap<Arc<str>, Arc<Workspace>>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<Arc<str>, Arc<Workspace>>,
    /// Time after which an idle transaction may be ended.
    pub idle_transaction_timeout: Duration,
}
