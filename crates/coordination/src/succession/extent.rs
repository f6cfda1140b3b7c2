//! Which writes of the store an instance knows.
//!
//! An instance knows every write up to a revision, from a listing, a watch or another instance. Beyond
//! that it may know single items that another instance sent or that it wrote itself. Such an item shows
//! nothing about other keys, so the newest known revision doesn't tell what an instance knows.
//!
//! # Examples
//!
//! ```
//! use filbertbay_coordination::succession::extent::Extent;
//!
//! let peer = Extent::new(7, []);
//! let own = Extent::new(5, [("lead/catalogue".into(), 9)]);
//! assert!(!own.is_as_current_as(&peer), "6 and 7 may be of other services");
//! assert!(Extent::new(7, []).covers(&peer));
//! assert!(!peer.covers(&own));
//! ```

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Revisions of the store that one instance knows.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Extent {
    complete: u64,
    /// Revisions of the items above `complete`, by key.
    ahead: BTreeMap<Arc<str>, u64>,
}

impl Extent {
    /// Creates the extent of an instance that knows every write up to revision `complete`, and `items`,
    /// given by key and revision.
    pub fn new<I>(complete: u64, items: I) -> Self
    where
        I: IntoIterator<Item = (Arc<str>, u64)>,
    {
        let items = items.into_iter();
        Self {
            complete,
            ahead: items.filter(|(_, revision)| *revision > complete).collect(),
        }
    }

    /// Returns the revision up to which every write is known.
    pub fn complete(&self) -> u64 {
        self.complete
    }

    /// Returns whether every write that the store had when `other` was last in contact with it is known
    /// here, so that the contact counts for this instance too.
    pub fn is_as_current_as(&self, other: &Self) -> bool {
        self.complete >= other.complete
    }

    /// Returns whether everything that `other` knows is known here, so that `other` can confirm that it
    /// knows of nothing newer.
    pub fn covers(&self, other: &Self) -> bool {
        let is_known = |(key, revision): (&Arc<str>, &u64)| {
            *revision <= self.complete || self.ahead.get(key).is_some_and(|own| own >= revision)
        };
        self.is_as_current_as(other) && other.ahead.iter().all(is_known)
    }
}
