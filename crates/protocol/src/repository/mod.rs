//! Storage of the configuration and its audit trail in the platform's key-value service.
//!
//! | key | value |
//! |---|---|
//! | `filbertbay/config/head` | the [`Head`], swapped by each patch |
//! | `filbertbay/config/part/<digest>` | a [`Part`](filbertbay_state::part::Part), written once |
//! | `filbertbay/audit/applied/<version>` | the audit entry of the patch that made a version |
//! | `filbertbay/audit/refused` | the audit entries of the latest refused patches |
//!
//! A submission writes the parts of a patch first and swaps the head last, so that a new version
//! appears atomically. A reader that misses a part reads the head again, since a part is deleted
//! only after a newer version has replaced it.
//!
//! # Examples
//!
//! ```no_run
//! use std::sync::Arc;
//! use filbertbay_protocol::platform::Store;
//! use filbertbay_protocol::repository::Repository;
//!
//! # async fn example(store: Arc<dyn Store>) -> Result<(), filbertbay_protocol::repository::Error> {
//! let repository = Repository::new(store);
//! let bundle = repository.load().await?;
//! println!("version {} has {} routes", bundle.version(), bundle.document()?.routes.len());
//! # Ok(())
//! # }
//! ```

mod error;
mod submission;
mod trail;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use filbertbay_state::bundle::{self, Bundle, Parts};
use filbertbay_state::head::Head;

use crate::platform::{Entry, ModifyIndex, Store};

pub use error::{Error, ErrorKind};
pub use submission::Receipt;

/// Key of the head.
pub const HEAD_KEY: &str = "filbertbay/config/head";

/// Key prefix of the parts, followed by the digest.
pub const PART_PREFIX: &str = "filbertbay/config/part/";

/// Number of missing parts above which one list call replaces single reads.
const MAX_SINGLE_READS: usize = 16;

/// Maximum number of times that the head is read while one of its parts is missing.
const MAX_LOADS: usize = 4;

/// Reads and writes the configuration in the platform's key-value service.
#[derive(Clone, Debug)]
pub struct Repository {
    store: Arc<dyn Store>,
}

/// Stored configuration with the modification index of its head.
#[derive(Clone, Debug, Default)]
struct Stored {
    bundle: Bundle,
    index: ModifyIndex,
}

impl Repository {
    /// Creates a repository on a store, without a call to the store.
    pub fn new(store: Arc<dyn Store>) -> Self {
        Self { store }
    }

    /// Loads the newest configuration.
    ///
    /// A store without a head holds the empty configuration of version zero.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform doesn't answer or the stored configuration is invalid.
    pub async fn load(&self) -> Result<Bundle, Error> {
        self.load_incremental(&Bundle::default()).await
    }

    /// Loads the newest configuration, reading only the parts that `current` lacks.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`load`](Self::load).
    pub async fn load_incremental(&self, current: &Bundle) -> Result<Bundle, Error> {
        Ok(self.load_stored(current).await?.bundle)
    }

    /// Returns a watcher for versions newer than `current`.
    pub fn watch(&self, current: Bundle) -> Watcher {
        Watcher {
            repository: self.clone(),
            current,
            index: ModifyIndex(0),
        }
    }

    async fn load_stored(&self, current: &Bundle) -> Result<Stored, Error> {
        let mut incomplete = None;
        for _ in 0..MAX_LOADS {
            let Some(entry) = self.store.read(HEAD_KEY).await? else {
                return Ok(Stored::default());
            };
            match self.assemble(current, &entry).await {
                Err(error) if error.kind() == ErrorKind::Incomplete => incomplete = Some(error),
                result => return result,
            }
        }
        Err(incomplete.unwrap_or_else(Error::incomplete))
    }

    async fn assemble(&self, current: &Bundle, entry: &Entry) -> Result<Stored, Error> {
        let head = bundle::parse_head(&entry.value)?;
        let parts = self.read_parts(current, &head).await?;
        let find_part = |digest: &str| parts.get(digest).cloned();
        let bundle = current.assemble_incremental(&entry.value, find_part)?;
        let index = entry.index;
        Ok(Stored { bundle, index })
    }

    async fn read_parts(&self, current: &Bundle, head: &Head) -> Result<Parts, Error> {
        let missing = current.missing(head);
        if missing.len() > MAX_SINGLE_READS {
            let entries = self.store.list(PART_PREFIX).await?;
            return Ok(entries.into_iter().filter_map(into_part).collect());
        }
        let mut parts = BTreeMap::new();
        for digest in missing {
            let entry = self.store.read(&part_key(digest)).await?;
            parts.extend(entry.and_then(into_part));
        }
        Ok(parts)
    }
}

/// Watches the stored configuration; the version never goes back.
#[derive(Debug)]
pub struct Watcher {
    repository: Repository,
    current: Bundle,
    index: ModifyIndex,
}

impl Watcher {
    /// Returns the newest configuration seen so far.
    pub fn current(&self) -> &Bundle {
        &self.current
    }

    /// Replaces the current configuration if `bundle`, obtained elsewhere, is newer; returns whether
    /// it was replaced.
    pub fn update_if_newer(&mut self, bundle: Bundle) -> bool {
        let is_newer = bundle.version() > self.current.version();
        if is_newer {
            self.current = bundle;
        }
        is_newer
    }

    /// Waits at most `wait` for a newer configuration.
    ///
    /// Returns `None` on timeout, and for a stored head that is not newer.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform doesn't answer or the stored configuration is invalid. The
    /// next call then waits for the same change again.
    pub async fn next(&mut self, wait: Duration) -> Result<Option<Bundle>, Error> {
        let store = &self.repository.store;
        let Some(entry) = store.watch(HEAD_KEY, self.index, wait).await? else {
            self.index = ModifyIndex(0);
            return Ok(None);
        };
        if entry.index == self.index {
            return Ok(None);
        }
        let head = bundle::parse_head(&entry.value)?;
        if head.version <= self.current.version() {
            self.index = entry.index;
            return Ok(None);
        }
        let stored = match self.repository.assemble(&self.current, &entry).await {
            Err(error) if error.kind() == ErrorKind::Incomplete => {
                self.repository.load_stored(&self.current).await?
            }
            result => result?,
        };
        self.index = stored.index;
        Ok(self
            .update_if_newer(stored.bundle)
            .then(|| self.current.clone()))
    }
}

fn part_key(digest: &str) -> String {
    format!("{PART_PREFIX}{digest}")
}

fn into_part(entry: Entry) -> Option<(Arc<str>, Arc<[u8]>)> {
    let digest = entry.key.strip_prefix(PART_PREFIX)?;
    Some((digest.into(), entry.value.into()))
}
