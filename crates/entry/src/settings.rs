//! Settings of an entry instance, read from a JSON file.
//!
//! # Examples
//!
//! ```
//! use filbertbay_entry::settings::Settings;
//!
//! let settings = Settings::parse(r#"{
//!     "name": "quimper-1",
//!     "data_centre": "quimper",
//!     "data_centres": {"quimper": "bretagne"},
//!     "callers": "127.0.0.1:6432",
//!     "readiness": "127.0.0.1:6433",
//!     "readiness_path": "/ready",
//!     "peers": "127.0.0.1:7432",
//!     "metrics": "127.0.0.1:9432",
//!     "seeds": [],
//!     "store": "127.0.0.1:8500",
//!     "failover": "127.0.0.1:8501",
//!     "grace_s": 6,
//!     "leave_ms": 7000,
//!     "file_limit": 4200
//! }"#)?;
//! assert_eq!(settings.region(), Some("bretagne"));
//! # Ok::<(), filbertbay_entry::settings::Error>(())
//! ```

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of one entry instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this instance, unique among all instances.
    pub name: Arc<str>,
    /// Data centre that this instance runs in.
    pub data_centre: Arc<str>,
    /// Region of each data centre.
    pub data_centres: BTreeMap<Arc<str>, Arc<str>>,
    /// Address on which callers connect.
    pub callers: SocketAddr,
    /// Address on which the load balancer queries readiness.
    pub readiness: SocketAddr,
    /// HTTP path of the readiness check.
    pub readiness_path: String,
    /// Address on which other instances connect.
    pub peers: SocketAddr,
    /// Address on which metrics are served.
    pub metrics: SocketAddr,
    /// Addresses of other instances, which are queried if the store does not answer at startup.
    pub seeds: Vec<SocketAddr>,
    /// Address of the key-value store.
    pub store: SocketAddr,
    /// Address of the service that promotes endpoints.
    pub failover: SocketAddr,
    /// Time between SIGTERM and SIGKILL, in seconds.
    pub grace_s: u64,
    /// Time for which an endpoint keeps serving after it starts to drain, in milliseconds.
    pub leave_ms: u64,
    /// Limit on open file descriptors of the process.
    pub file_limit: usize,
    /// Statements of one workspace beyond its rate and burst that operators tolerate over all
    /// instances, at any time.
    #[serde(default)]
    pub rate_slack: u64,
    /// Part of a processor core that this instance may use, such as 0.25; weighs it among the
    /// instances that send statements of others.
    #[serde(default)]
    pub processor_share: Option<f64>,
}

/// Error of reading or checking settings.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum Error {
    /// The file could not be read.
    #[error("settings file {path} can't be read")]
    Read {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        #[source]
        source: std::io::Error,
    },
    /// The text is not a valid settings document.
    #[error("settings are not valid: {0}")]
    Parse(#[from] serde_json::Error),
    /// A value is invalid, or conflicts with another.
    #[error("setting {field:?}: {problem}")]
    Value {
        /// Name of the field.
        field: &'static str,
        /// Why the value is invalid.
        problem: String,
    },
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or a value is invalid.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).map_err(|source| Error::Read {
            path: path.display().to_string(),
            source,
        })?;
        Self::parse(&text)
    }

    /// Parses and checks settings.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a settings document or a value is invalid.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let settings: Self = serde_json::from_str(text)?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), Error> {
        let invalid = |field, problem: String| Err(Error::Value { field, problem });
        if self.name.is_empty() {
            return invalid("name", "must not be empty".to_owned());
        }
        if !self.data_centres.contains_key(&self.data_centre) {
            let problem = format!("{:?} is not among data_centres", self.data_centre);
            return invalid("data_centre", problem);
        }
        if !self.readiness_path.starts_with('/') {
            return invalid("readiness_path", "must start with a slash".to_owned());
        }
        if self.grace_s == 0 {
            return invalid("grace_s", "must be above zero".to_owned());
        }
        if self
            .processor_share
            .is_some_and(|share| !share.is_finite() || share <= 0.0)
        {
            return invalid("processor_share", "must be above zero".to_owned());
        }
        let listeners = [self.callers, self.readiness, self.peers, self.metrics];
        for (index, one) in listeners.iter().enumerate() {
            if listeners[..index].contains(one) {
                return invalid("metrics", format!("{one} is used by two listeners"));
            }
        }
        Ok(())
    }

    /// Returns the region of this instance's data centre.
    pub fn region(&self) -> Option<&str> {
        self.data_centres.get(&self.data_centre).map(AsRef::as_ref)
    }

    /// Returns the processor share in thousandths of a core, at least one; a whole core if it is not
    /// set.
    pub fn weight(&self) -> u32 {
        let share = self.processor_share.unwrap_or(1.0);
        // Saturates, as a share is positive and finite.
        ((share * 1_000.0).round() as u32).max(1)
    }

    /// Returns the time between SIGTERM and SIGKILL.
    pub fn grace(&self) -> Duration {
        Duration::from_secs(self.grace_s)
    }
}
