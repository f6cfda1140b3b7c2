//! Evidence that an order to promote a member has taken effect.
//!
//! An order takes effect some time after it was accepted. What the store says of a member's role may
//! be as old as a time in which it led before, and a former primary states that it leads until it
//! learns of its successor. Only a term above all that were known before the order proves
//! the effect.
//!
//! An order for the present primary changes nothing, so its term does not rise. A member that already
//! stated before the order that it leads the newest known term is therefore accepted too, once the
//! order would have taken effect.
//!
//! An order that got no answer may take effect much later, and would then replace whichever member leads.
//! For the present primary it changes nothing. As long as it is pending, the same member is therefore
//! ordered again and no other one.
//!
//! # Examples
//!
//! ```
//! use std::time::Instant;
//! use filbertbay_coordination::succession::promotion::Baseline;
//! use filbertbay_state::position::Term;
//! use filbertbay_state::status::Role;
//!
//! let accepted_at = Instant::now();
//! let mut baseline = Baseline::default();
//! baseline.record_term(Term(3));
//! assert!(!baseline.is_effective(accepted_at, accepted_at, Role::Primary, Term(3)));
//! assert!(!baseline.is_effective(accepted_at, accepted_at, Role::Replica, Term(4)));
//! assert!(baseline.is_effective(accepted_at, accepted_at, Role::Primary, Term(4)));
//! ```

use std::time::{Duration, Instant};

use filbertbay_state::position::Term;
use filbertbay_state::status::Role;

/// Time after which an accepted order has taken effect if it changes anything.
pub const EFFECT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time after which an order without an answer is taken to have no effect any more. The platform states
/// no limit; the longest outages of the users' daily runs last 9 s.
pub const ORDER_LIFETIME: Duration = Duration::from_secs(10);

/// What the members stated before an order to promote one of them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Baseline {
    highest_term: Term,
    is_successor_leading: bool,
}

impl Baseline {
    /// Records a term that a member stated before the order.
    pub fn record_term(&mut self, term: Term) {
        self.highest_term = self.highest_term.max(term);
    }

    /// Records that the successor stated before the order that it leads a term.
    pub fn record_leading_successor(&mut self) {
        self.is_successor_leading = true;
    }

    /// Returns whether the role and term that the successor states at `now` prove that the order, which
    /// was accepted at `accepted_at`, is in effect.
    pub fn is_effective(&self, accepted_at: Instant, now: Instant, role: Role, term: Term) -> bool {
        let is_unchanged = self.is_successor_leading
            && term == self.highest_term
            && now >= accepted_at + EFFECT_TIMEOUT;
        role == Role::Primary && (term > self.highest_term || is_unchanged)
    }
}
