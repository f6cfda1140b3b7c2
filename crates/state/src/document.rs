//! The operators' configuration as it is written in JSON.
//!
//! Unknown fields are refused, so that a misspelt setting never passes silently.
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

/// Whole configuration of a fleet at one version.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// Data centres by name.
    pub data_centres: BTreeMap<Arc<str>, DataCentre>,
    /// Database groups by name.
    pub groups: BTreeMap<Arc<str>, Group>,
    /// Routes by name; callers give the name as their database.
    pub routes: BTreeMap<Arc<str>, Route>,
    /// Workspaces by name; callers give the name as their user.
    pub workspaces: BTreeMap<Arc<str>, Workspace>,
}

/// Whether operators let a data centre or a member take new work.
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
    /// Takes new work.
    #[default]
    In,
    /// Finishes what runs and takes no new work.
    Out,
}

/// Data centre with its own instances and endpoints.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Region that the data centre lies in.
    pub region: Arc<str>,
    /// Whether it takes new work.
    #[serde(default)]
    pub availability: Availability,
}

/// Database group: one primary and its replicas.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Members by name.
    pub members: BTreeMap<Arc<str>, Member>,
    /// Member that operators want as primary while it is available.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub preferred_primary: Option<Arc<str>>,
}

/// Endpoint that holds one copy of a database group.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Data centre that the member lies in.
    pub data_centre: Arc<str>,
    /// Address by IP number.
    pub address: SocketAddr,
    /// Whether it takes new work.
    #[serde(default)]
    pub availability: Availability,
    /// Connections that the member accepts in all.
    pub connections: u32,
    /// Statements that the member runs at once.
    pub slots: u32,
}

/// Who may use a route.
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
    /// Workspaces that list the route and present a granted key.
    #[default]
    Key,
    /// Everyone; the work runs for the workspace named by the caller, without a key.
    Open,
}

/// What must hold a write before it is acknowledged.
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
    /// A majority of the members has the write and has not seen a higher term.
    #[default]
    Majority,
    /// The primary has the write, and a majority has not seen a higher term.
    Primary,
}

/// Named way to a database group.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Group that serves the route.
    pub group: Arc<str>,
    /// Who may use the route.
    #[serde(default)]
    pub access: Access,
    /// Whether a write of this route may run more than once without harm.
    #[serde(default)]
    pub idempotent: bool,
    /// Age that reads accept, in milliseconds; without it reads follow the session alone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub staleness_ms: Option<u64>,
    /// What must hold a write before it is acknowledged.
    #[serde(default)]
    pub durability: Durability,
    /// Longest wait for a slot, in milliseconds.
    #[serde(default = "Route::default_queue_ms")]
    pub queue_ms: u64,
    /// Longest run of one statement, in milliseconds.
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

/// Tenant: keys, a rate over the whole fleet, and the routes it may use.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Statements that the workspace may run, summed over all instances.
    pub rate: Rate,
    /// Weight in queues, relative to other workspaces.
    #[serde(default = "Workspace::default_weight")]
    pub weight: u32,
    /// Names of the routes that the workspace may use.
    #[serde(default)]
    pub routes: Vec<Arc<str>>,
    /// Keys by their id.
    #[serde(default)]
    pub keys: BTreeMap<Arc<str>, Key>,
}

impl Workspace {
    fn default_weight() -> u32 {
        1
    }
}

/// Token-bucket rate.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rate {
    /// Statements per second.
    pub per_second: u64,
    /// Statements that may run at once after a pause.
    pub burst: u64,
}

/// State of a caller key.
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
    /// Callers may present the key.
    #[default]
    Granted,
    /// Callers that present the key are refused, also on open connections.
    Withdrawn,
}

/// Caller key, of which only the digest is kept.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// SHA-256 digest of the key, as 64 hexadecimal digits.
    pub digest: Arc<str>,
    /// Whether callers may present it.
    #[serde(default)]
    pub state: KeyState,
    /// Remark of the operators.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub note: Option<Arc<str>>,
}
