//! Settings of a daemon, read from a JSON file.
//!
//! # Examples
//!
//! ```
//! use filbertbay::settings::Settings;
//!
//! let settings: Settings = serde_json::from_str(r#"{
//!     "name": "quimper-1",
//!     "data_centre": "quimper",
//!     "callers": "127.0.0.1:6432",
//!     "peers": "127.0.0.1:7432",
//!     "forwards": "127.0.0.1:7433",
//!     "metrics": "127.0.0.1:9432",
//!     "platform": "http://127.0.0.1:8500",
//!     "endpoint_user": "filbertbay",
//!     "endpoint_password": "secret",
//!     "token_secrets": ["00112233445566778899aabbccddeeff"]
//! }"#)?;
//! assert_eq!(settings.data_centre.as_ref(), "quimper");
//! # Ok::<(), serde_json::Error>(())
//! ```

mod check;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

pub use self::check::{Error, Problem};
pub use filbertbay_entry::log::Format as Log;
use serde::{Deserialize, Serialize};

/// Settings of a daemon.
#[derive(Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this instance, unique in the fleet.
    pub name: Arc<str>,
    /// Data centre that this instance runs in.
    pub data_centre: Arc<str>,
    /// Address that callers connect to.
    pub callers: SocketAddr,
    /// Address that other instances send control messages to.
    pub peers: SocketAddr,
    /// Address that other instances forward statements to.
    pub forwards: SocketAddr,
    /// Address that serves metrics and the health check.
    pub metrics: SocketAddr,
    /// Base URL of the platform's HTTP interface.
    pub platform: Arc<str>,
    /// Control addresses of other instances, contacted when the platform does not respond at
    /// startup.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub seeds: Vec<SocketAddr>,
    /// User that the daemon presents to endpoints.
    pub endpoint_user: Arc<str>,
    /// Password that the daemon presents to endpoints.
    pub endpoint_password: Arc<str>,
    /// Secrets for session tokens in hexadecimal; the first signs tokens, all of them verify.
    pub token_secrets: Vec<Arc<str>>,
    /// TLS for caller connections; without it they are in plaintext.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub caller_tls: Option<Tls>,
    /// TLS between instances; without it `peers` and `forwards` must be loopback addresses.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer_tls: Option<Tls>,
    /// Most caller connections that the daemon accepts.
    #[serde(default = "Settings::default_max_callers")]
    pub max_callers: usize,
    /// Longest time that work in flight may take to finish after SIGTERM, in milliseconds.
    #[serde(default = "Settings::default_drain_ms")]
    pub drain_ms: u64,
    /// Longest time for which the instance may be isolated from changes of the configuration before
    /// callers with a key are refused, in milliseconds; null never refuses them.
    #[serde(default = "Settings::default_silence_ms")]
    pub silence_ms: Option<u64>,
    /// Number of threads that serve callers; zero means one per core.
    #[serde(default)]
    pub traffic_threads: usize,
    /// Format of the log.
    #[serde(default)]
    pub log: Log,
}

/// Files of a TLS identity, in PEM format.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// Certificate chain.
    pub certificate: PathBuf,
    /// Private key.
    pub key: PathBuf,
    /// Certificate authorities that verify the other side's certificate, if it must present one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub authorities: Option<PathBuf>,
}

impl Settings {
    #[expect(
        clippy::unnecessary_wraps,
        reason = "serde requires the type of the field"
    )]
    fn default_silence_ms() -> Option<u64> {
        Some(900_000)
    }

    fn default_max_callers() -> usize {
        20_000
    }

    fn default_drain_ms() -> u64 {
        30_000
    }
}

impl std::fmt::Debug for Settings {
    /// Formats the settings without their secrets.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Settings")
            .field("name", &self.name)
            .field("data_centre", &self.data_centre)
            .field("callers", &self.callers)
            .field("peers", &self.peers)
            .field("forwards", &self.forwards)
            .field("metrics", &self.metrics)
            .field("platform", &self.platform)
            .finish_non_exhaustive()
    }
}
