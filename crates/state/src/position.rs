//! Terms and log positions of a database group.
//!
//! A group has at most one primary in a term. Each promotion starts a higher term and writes a
//! marker into the log, so a member whose log has reached term `t` holds everything that survived
//! from the terms before it. Positions therefore compare by term first and by index second.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Leadership period of a database group.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

impl Term {
    /// Returns the term that follows this one.
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

/// Place in the log of a database group.
///
/// The derived order compares the term first, then the index.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Term whose primary wrote the entry.
    pub term: Term,
    /// Number of entries in the log up to and including this one.
    pub index: u64,
}

impl Position {
    /// Creates a position from its term and index.
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
