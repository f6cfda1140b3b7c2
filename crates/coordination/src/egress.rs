//! Choice of the instances through which the statements for an endpoint leave.
//!
//! The load that this answers: 63 to 120 instances before endpoints that accept 56 to 112
//! connections for 74 to 80 workspaces. An equal share is below two connections an instance, so
//! hardly any connection is found again where it was left, and each request opens one: 12 ms in one
//! of the endpoint's four slots, about as much as its statement takes.
//!
//! Where an equal share is below [`MIN_DIRECT_SHARE`], a [`Plan`] names up to [`INSTANCES`] egress
//! instances for each endpoint, among those of its data centre, or else of its region. Each holds
//! a fixed [allotment](Plan::allotment) of the endpoint's connections; the other instances forward
//! their statements to one of them, always the same for a workspace. The rest of the connections
//! is left for status queries and for instances that reach no egress instance.
//!
//! A plan follows from the instances that the store lists, so instances that see different lists
//! may disagree for a moment. Their sum may then exceed what the endpoint accepts, which refuses
//! the excess without running anything.
//!
//! An instance that refused or did not answer is skipped for some time; see [`Suspicions`].
//!
//! # Examples
//!
//! ```
//! use filbertbay_coordination::egress::{Candidate, Endpoint, Plan};
//!
//! let names: Vec<String> = (0..30).map(|index| format!("quimper-{index}")).collect();
//! let candidates = names.iter().map(|name| Candidate {
//!     name,
//!     data_centre: "quimper",
//!     region: Some("bretagne"),
//!     weight: 250,
//! });
//! let endpoint = Endpoint {
//!     id: "orders-1",
//!     data_centre: "quimper",
//!     region: Some("bretagne"),
//!     max_connections: 40,
//! };
//! let plan = Plan::new(&endpoint, candidates);
//! let [first, second] = plan.instances() else { panic!("two instances") };
//! assert_ne!(first, second);
//! assert_eq!(plan.allotment(first), 16);
//! assert_eq!(plan.allotment("quimper-of-another-name"), 0);
//! ```

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::rendezvous;

/// Connections of an equal share from which on every instance opens its own.
pub const MIN_DIRECT_SHARE: usize = 2;

/// Egress instances of one endpoint.
pub const INSTANCES: usize = 2;

/// Part of an endpoint's connections that one egress instance holds, as numerator and denominator.
const ALLOTMENT: (usize, usize) = (2, 5);

/// Time for which an instance is skipped that was not reached or did not answer, unless it answers
/// a probe before.
const SILENCE_PERIOD: Duration = Duration::from_secs(10);

/// Time for which an instance is skipped that shuts down; its entry is gone after that.
const DRAIN_PERIOD: Duration = Duration::from_secs(15);

/// Time for which an instance is skipped whose list of instances or record of the primary differs.
const DISAGREEMENT_PERIOD: Duration = Duration::from_millis(300);

/// Instance that may send statements to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Name of the instance.
    pub name: &'a str,
    /// Data centre of the instance.
    pub data_centre: &'a str,
    /// Region of that data centre, if known.
    pub region: Option<&'a str>,
    /// Processor time of the instance in thousandths of a core. Zero keeps it from being chosen:
    /// instances of earlier versions state none and take no statements of others.
    pub weight: u32,
}

/// Endpoint for which a plan is made.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint<'a> {
    /// Identity of the endpoint.
    pub id: &'a str,
    /// Data centre of the endpoint.
    pub data_centre: &'a str,
    /// Region of that data centre, if known.
    pub region: Option<&'a str>,
    /// Connections that the endpoint accepts from all instances together.
    pub max_connections: usize,
}

/// Egress instances of one endpoint.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Plan {
    instances: Vec<Arc<str>>,
    endpoint: Arc<str>,
    max_connections: usize,
    equal_share: usize,
}

impl Plan {
    /// Returns the plan for an endpoint from all listed instances.
    ///
    /// It names no egress instance if an equal share of the connections is [`MIN_DIRECT_SHARE`] or
    /// more, if the endpoint accepts too few to divide them, or if no instance is in the endpoint's region: a statement never passes through a
    /// region in which neither its caller's instance nor its endpoint is.
    pub fn new<'a, I>(endpoint: &Endpoint<'_>, candidates: I) -> Self
    where
        I: IntoIterator<Item = Candidate<'a>>,
    {
        let candidates: Vec<Candidate<'a>> = candidates.into_iter().collect();
        let equal_share = endpoint.max_connections / candidates.len().max(1);
        let instances =
            if equal_share >= MIN_DIRECT_SHARE || egress_allotment(endpoint.max_connections) == 0 {
                Vec::new()
            } else {
                choose(endpoint, &candidates)
            };
        Self {
            instances,
            endpoint: endpoint.id.into(),
            max_connections: endpoint.max_connections,
            equal_share,
        }
    }

    /// Returns whether every instance opens its own connections.
    pub fn is_direct(&self) -> bool {
        self.instances.is_empty()
    }

    /// Returns the egress instances.
    pub fn instances(&self) -> &[Arc<str>] {
        &self.instances
    }

    /// Returns the egress instances in the order in which the statements of a workspace try them.
    pub fn order(&self, workspace: &str) -> impl Iterator<Item = &Arc<str>> {
        let count = self.instances.len();
        let weight = rendezvous::weight(&self.endpoint, workspace);
        // The remainder is below the count, which fits.
        let first = usize::try_from(weight % count.max(1) as u64).unwrap_or_default();
        (0..count).map(move |index| &self.instances[(first + index) % count])
    }

    /// Returns how many connections an instance keeps to the endpoint; zero if it may only open one
    /// at a time while no egress instance answers.
    pub fn allotment(&self, instance: &str) -> usize {
        if self.is_direct() {
            return self.equal_share;
        }
        let is_egress = self.instances.iter().any(|name| &**name == instance);
        if is_egress {
            egress_allotment(self.max_connections)
        } else {
            0
        }
    }
}

/// Returns the connections that one egress instance holds of all that an endpoint accepts.
fn egress_allotment(max_connections: usize) -> usize {
    max_connections * ALLOTMENT.0 / ALLOTMENT.1
}

/// Returns the egress instances of an endpoint.
///
/// Each of them is chosen by a ranking of its own, so that the statements of one stay where they are
/// when the other leaves, unless the one that stays ranks next there too.
fn choose(endpoint: &Endpoint<'_>, candidates: &[Candidate<'_>]) -> Vec<Arc<str>> {
    let local = |candidate: &&Candidate<'_>| candidate.data_centre == endpoint.data_centre;
    let regional = |candidate: &&Candidate<'_>| {
        endpoint.region.is_some() && candidate.region == endpoint.region
    };
    let able = candidates.iter().filter(|candidate| candidate.weight > 0);
    let mut near: Vec<&Candidate<'_>> = able.clone().filter(local).collect();
    if near.is_empty() {
        near = able.filter(regional).collect();
    }
    let mut chosen: Vec<Arc<str>> = Vec::new();
    for index in 0..INSTANCES {
        let key = format!("{}/{index}", endpoint.id);
        let free = near
            .iter()
            .filter(|candidate| chosen.iter().all(|name| **name != *candidate.name));
        let best = free.max_by(|a, b| {
            let order = score(&key, a).total_cmp(&score(&key, b));
            order.then_with(|| b.name.cmp(a.name))
        });
        chosen.extend(best.map(|candidate| Arc::from(candidate.name)));
    }
    chosen
}

/// Returns the score of a candidate in the ranking of a key; the highest ranks first.
///
/// The probability to have the highest score is proportional to the square of the weight: a small
/// instance serves its own callers with what it has.
fn score(key: &str, candidate: &Candidate<'_>) -> f64 {
    let draw = (rendezvous::weight(key, candidate.name) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    f64::from(candidate.weight).powi(2) / -draw.ln()
}

/// Why an instance is skipped as egress instance.
#[derive(
    Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::IntoStaticStr, Serialize, Deserialize,
)]
#[strum(serialize_all = "snake_case")]
pub enum Suspicion {
    /// The instance was not reached or did not answer.
    Silent,
    /// The instance shuts down.
    Draining,
    /// The instance sees another plan or another primary.
    Disagrees,
}

impl Suspicion {
    fn period(self) -> Duration {
        match self {
            Self::Silent => SILENCE_PERIOD,
            Self::Draining => DRAIN_PERIOD,
            Self::Disagrees => DISAGREEMENT_PERIOD,
        }
    }
}

/// Instances that are skipped as egress instances.
///
/// One that does not answer or shuts down is skipped for all endpoints, one that disagrees only for
/// the endpoint in question.
#[derive(Clone, Debug, Default)]
pub struct Suspicions {
    entries: BTreeMap<(Arc<str>, Option<Arc<str>>), Instant>,
}

impl Suspicions {
    /// Skips an instance for an endpoint from now on; returns true if that scope was not skipped before.
    pub fn add(
        &mut self,
        now: Instant,
        instance: &Arc<str>,
        endpoint: &Arc<str>,
        cause: Suspicion,
    ) -> bool {
        self.entries.retain(|_, until| now < *until);
        let scope = (cause == Suspicion::Disagrees).then(|| Arc::clone(endpoint));
        let key = (Arc::clone(instance), scope);
        let is_new = !self.entries.contains_key(&key);
        let until = self.entries.entry(key).or_insert(now);
        *until = (*until).max(now + cause.period());
        is_new
    }

    /// Uses an instance again that answered.
    pub fn clear(&mut self, instance: &str) {
        self.entries.retain(|(name, _), _| &**name != instance);
    }

    /// Returns whether an instance is skipped for an endpoint.
    pub fn is_suspected(&self, now: Instant, instance: &Arc<str>, endpoint: &Arc<str>) -> bool {
        if self.entries.is_empty() {
            return false;
        }
        let scopes = [None, Some(Arc::clone(endpoint))];
        let mut keys = scopes
            .map(|scope| (Arc::clone(instance), scope))
            .into_iter();
        keys.any(|key| self.entries.get(&key).is_some_and(|until| now < *until))
    }
}
