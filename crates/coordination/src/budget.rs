//! Budget of bytes that all sessions of a process share, charged before the memory is taken.
//!
//! A [`Charge`] is held by whoever holds the memory and gives its bytes back when it is dropped. The
//! budget keeps no queue: who does not get its bytes at once has to refuse, because a wait would hold
//! the bytes that it already has.
//!
//! # Examples
//!
//! ```
//! use filbertbay_coordination::budget::Budget;
//!
//! let budget = Budget::new(1_000);
//! let mut first = budget.charge();
//! assert!(first.try_resize(800));
//! let mut second = budget.charge();
//! assert!(!second.try_resize(300));
//! drop(first);
//! assert!(second.try_resize(300));
//! assert_eq!(budget.used(), 300);
//! ```

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Limit on bytes, shared by all its clones.
#[derive(Clone, Debug)]
pub struct Budget {
    limit: usize,
    used: Arc<AtomicUsize>,
}

impl Budget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            used: Arc::default(),
        }
    }

    /// Returns a charge of zero bytes.
    pub fn charge(&self) -> Charge {
        Charge {
            budget: self.clone(),
            bytes: 0,
        }
    }

    /// Returns the limit in bytes.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the bytes that are charged now.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }
}

/// Bytes of a [`Budget`], given back when dropped.
#[derive(Debug)]
pub struct Charge {
    budget: Budget,
    bytes: usize,
}

impl Charge {
    /// Changes the charge to `bytes`, and returns whether the budget had room for it. Without room the
    /// charge stays as it was. Reducing a charge always succeeds.
    #[must_use = "without room the memory must not be taken"]
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        if bytes <= self.bytes {
            self.reduce(bytes);
            return true;
        }
        let added = bytes - self.bytes;
        let limit = self.budget.limit;
        let update = |used: usize| used.checked_add(added).filter(|sum| *sum <= limit);
        let ordering = Ordering::Relaxed;
        let has_room = self.budget.used.fetch_update(ordering, ordering, update);
        if has_room.is_ok() {
            self.bytes = bytes;
        }
        has_room.is_ok()
    }

    /// Reduces the charge to `bytes`; a smaller charge stays as it is.
    pub fn reduce(&mut self, bytes: usize) {
        let released = self.bytes.saturating_sub(bytes);
        self.budget.used.fetch_sub(released, Ordering::Relaxed);
        self.bytes -= released;
    }

    /// Returns the charged bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.reduce(0);
    }
}
