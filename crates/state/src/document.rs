//! JSON schema of the configuration that operators write.
//!
//! Unknown fields are rejected, so that a misspelt setting is never ignored silently. Limits and
//! references between sections are validated by [`check`](crate::check).
//!
//! # Examples
//!
//! ```
//! use filbertbay_state::document::Document;
//!
//! let text = r#"{
//!     "data_centres": {"quimper": {"region": "bretagne"}},
//!     "groups": {"orders": {"members": {
//!         "orders-1": {"data_centre": "quimper", "address": "127.0.0.1:5432",
//!                      "connections": 16, "slots": 2}}}},
//!     "routes": {"orders": {"group": "orders"}},
//!     "workspaces": {"shop": {"rate": {"per_second": 50, "burst": 20}, "routes": ["orders"]}}
//! }"#;
//! let document: Document = serde_json::from_str(text)?;
//! assert_eq!(document.routes["orders"].group.as_ref(), "orders");
//! # Ok::<(), serde_json::Error>(())
//! ```

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use strum::{AsRefStr, Display, EnumString, VariantNames};

/// Complete configuration of a fleet at one version.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// Data centres by name.
    pub data_centres: BTreeMap<Arc<str>, DataCentre>,
    /// Database groups by name.
    pub groups: BTreeMap<Arc<str>, Group>,
    /// Routes by name; a caller selects one as the database of its connection.
    pub routes: BTreeMap<Arc<str>, Route>,
    /// Workspaces by name; a caller selects one as the user of its connection.
    pub workspaces: BTreeMap<Arc<str>, Workspace>,
}

/// Whether operators allow new work on a data centre or a member.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    PartialEq,
    Serialize,
    Deserialize,
    AsRefStr,
    Display,
    EnumString,
    VariantNames,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Availability {
    /// New work is allowed.
    #[default]
    In,
    /// Drained: work in flight completes, and no new work is accepted.
    Out,
}

/// Data centre with its own instances and endpoints.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Region of the data centre.
    pub region: Arc<str>,
    /// Whether the data centre accepts new work.
    #[serde(default)]
    pub availability: Availability,
}

/// Database group: a replicated database with one primary and its replicas.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Members by name.
    pub members: BTreeMap<Arc<str>, Member>,
    /// Name of the member that should be the primary while that member is available.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub preferred_primary: Option<Arc<str>>,
}

/// Endpoint that holds one copy of the data of a database group.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Name of the data centre of the member.
    pub data_centre: Arc<str>,
    /// IP address and port; host names are not resolved.
    pub address: SocketAddr,
    /// Whether the member accepts new work.
    #[serde(default)]
    pub availability: Availability,
    /// Most connections to the member, summed over all instances.
    pub connections: u32,
    /// Most statements that the member runs concurrently.
    pub slots: u32,
}

/// Authentication that a route requires.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    PartialEq,
    Serialize,
    Deserialize,
    AsRefStr,
    Display,
    EnumString,
    VariantNames,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Access {
    /// The caller presents a granted key of a workspace that lists the route.
    #[default]
    Key,
    /// No key is required; the caller runs as the workspace that it names.
    Open,
}

/// Condition under which a write is acknowledged.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    PartialEq,
    Serialize,
    Deserialize,
    AsRefStr,
    Display,
    EnumString,
    VariantNames,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Durability {
    /// A majority of the members has received the write and has not seen a higher term.
    #[default]
    Majority,
    /// The primary has the write, and a majority of the members has not seen a higher term.
    Primary,
}

/// Route: a name under which callers reach a database group, with its consistency and limits.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the group that serves the route.
    pub group: Arc<str>,
    /// Authentication that the route requires.
    #[serde(default)]
    pub access: Access,
    /// Whether writes on the route are idempotent, so that they may be retried.
    #[serde(default)]
    pub idempotent: bool,
    /// Maximum staleness of reads, in milliseconds; if absent, only the session constrains reads.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub staleness_ms: Option<u64>,
    /// Condition under which a write is acknowledged.
    #[serde(default)]
    pub durability: Durability,
    /// Maximum wait of a statement for a slot, in milliseconds.
    #[serde(default = "Route::default_queue_ms")]
    pub queue_ms: u64,
    /// Maximum execution time of one statement, in milliseconds.
    #[serde(default = "Route::default_statement_ms")]
    pub statement_ms: u64,
}

impl Route {
    fn default_queue_ms() -> u64 {
        1_000
    }

    fn default_statement_ms() -> u64 {
        30_000
    }
}

/// Tenant of the proxy: its keys, its rate limit over the whole fleet, and its allowed routes.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Rate limit on the statements of the workspace, summed over all instances.
    pub rate: Rate,
    /// Weight in fair queues, relative to other workspaces.
    #[serde(default = "Workspace::default_weight")]
    pub weight: u32,
    /// Names of the allowed routes.
    #[serde(default)]
    pub routes: Vec<Arc<str>>,
    /// Caller keys by id.
    #[serde(default)]
    pub keys: BTreeMap<Arc<str>, Key>,
}

impl Workspace {
    fn default_weight() -> u32 {
        1
    }
}

/// Parameters of a token bucket that limits statements.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rate {
    /// Refill rate, in statements per second.
    pub per_second: u64,
    /// Capacity of the bucket, in statements.
    pub burst: u64,
}

/// Whether a caller key is valid.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    PartialEq,
    Serialize,
    Deserialize,
    AsRefStr,
    Display,
    EnumString,
    VariantNames,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum KeyState {
    /// Callers may authenticate with the key.
    #[default]
    Granted,
    /// The key is revoked: callers that presented the key are refused, also on open connections.
    Withdrawn,
}

/// Caller key; only its digest is stored.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// SHA-256 digest of the key, as 64 hexadecimal digits.
    pub digest: Arc<str>,
    /// Whether the key is valid.
    #[serde(default)]
    pub state: KeyState,
    /// Free-text note of the operators.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub note: Option<Arc<str>>,
}
