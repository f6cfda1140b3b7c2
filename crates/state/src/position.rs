//! Terms and log positions of a database group.
//!
//! A group has at most one primary in a term. Each promotion starts a higher term and writes a
//! marker into the log, so a member whose log has reached term `t` holds every entry that survived
//! from earlier terms. Positions therefore compare by term first and by index second.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Term of a database group: the period in which at most one member is primary.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

impl Term {
    /// Returns the next higher term.
    ///
    /// # Examples
    ///
    /// ```
    /// use filbertbay_state::position::Term;
    ///
    /// assert_eq!(Term(4).next(), Term(5));
    /// ```
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Position of an entry in the log of a database group.
///
/// Positions compare by term first, then by index.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Term whose primary wrote the entry.
    pub term: Term,
    /// Number of log entries up to and including this one; 0 before the first entry.
    pub index: u64,
}

impl Position {
    /// Returns the position with the given term and index.
    ///
    /// # Examples
    ///
    /// ```
    /// use filbertbay_state::position::{Position, Term};
    ///
    /// assert!(Position::new(Term(2), 1) > Position::new(Term(1), 9));
    /// ```
    pub fn new(term: Term, index: u64) -> Self {
        Self { term, index }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.term, self.index)
    }
}
