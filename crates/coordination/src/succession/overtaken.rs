//! Passive detection of a recorded primary that another member has overtaken.
//!
//! An order to promote that was not answered may take effect after another member was recorded. The
//! recorded primary then becomes a replica of a later term, which nobody reports. Its answers to
//! regular requests show it: it refuses writes as read-only, and its position is of a later term.
//!
//! The position of a primary reaches its term only with its first commit. Answers are therefore compared
//! with the term of the record; where that is unknown, they may raise a suspicion without cause. The
//! status of the member decides.
//!
//! # Examples
//!
//! ```
//! use filbertbay_coordination::succession::overtaken::Detector;
//! use filbertbay_state::position::Term;
//!
//! let mut detector = Detector::default();
//! detector.record_term(Term(3));
//! assert!(!detector.is_suspect());
//! detector.record_term(Term(4));
//! assert!(detector.is_suspect());
//! detector.record_leading(Term(4));
//! assert!(!detector.is_suspect());
//! ```

use filbertbay_state::position::Term;

/// Detector of one recorded primary; a new record needs a new one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Detector {
    term: Option<Term>,
    is_suspect: bool,
}

impl Detector {
    /// Creates the detector of a primary that was recorded as leading `term`, if that is known.
    pub fn new(term: Option<Term>) -> Self {
        Self {
            term,
            is_suspect: false,
        }
    }

    /// Records the term of the position in an answer.
    pub fn record_term(&mut self, term: Term) {
        let first = *self.term.get_or_insert(term);
        self.is_suspect |= term > first;
    }

    /// Records that the member refused a statement because it is a replica.
    pub fn record_read_only(&mut self) {
        self.is_suspect = true;
    }

    /// Records that the member stated that it leads a term, which ends the suspicion.
    pub fn record_leading(&mut self, term: Term) {
        self.term = self.term.max(Some(term));
        self.is_suspect = false;
    }

    /// Returns whether another member may have overtaken the primary.
    pub fn is_suspect(&self) -> bool {
        self.is_suspect
    }
}
