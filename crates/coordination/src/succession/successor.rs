//! Choice of the member that becomes the next primary.
//!
//! A service may demand that a commit is acknowledged only once some replicas have received it. Such a
//! commit is held by the primary and by that many replicas, so by any set of members that leaves out at
//! most as many. A successor is therefore chosen only among the answers of such a set, or if it has all
//! that the previous primary had. A service without that demand gets the best member that answers.
//!
//! A member that is too busy for a status query still names a position that its log has reached. It may
//! have received more, so it counts as an answer only if no other member has received as much. One whose
//! log is empty may have started again without what it held. It counts in the last round only, so that its
//! entry can name the new process before.
//!
//! The members are those that may hold acknowledged commits, see [`super::replica_set`]. One whose entry
//! has lapsed may still answer, and then counts. It can't be promoted, since no instance could use it.
//!
//! # Examples
//!
//! ```
//! use filbertbay_coordination::succession::successor::{Candidate, Requirement, Shortfall, choose};
//! use filbertbay_state::position::{Position, Term};
//!
//! let candidate = |id: &str, index| Candidate {
//!     id: id.into(),
//!     received: Position::new(Term(1), index),
//!     is_exact: true,
//!     is_listed: true,
//!     is_available: true,
//!     is_same_data_centre: false,
//!     is_previous: false,
//! };
//! let requirement = Requirement {
//!     members: 3,
//!     synchronous_replicas: 1,
//!     previous_position: None,
//! };
//! let one = [candidate("i-1", 4)];
//! assert_eq!(choose(&one, &requirement, true), Err(Shortfall::TooFewAnswers));
//! let both = [candidate("i-1", 4), candidate("i-2", 7)];
//! assert_eq!(choose(&both, &requirement, false).unwrap().id.as_ref(), "i-2");
//! ```

use std::sync::Arc;

use filbertbay_state::position::Position;

/// Member that answered and may become the primary.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Identifier of the member.
    pub id: Arc<str>,
    /// Last position that the member has received, or a lower one if `is_exact` is false.
    pub received: Position,
    /// Whether the member has received nothing beyond `received`.
    pub is_exact: bool,
    /// Whether the member has an entry, without which it can't be promoted.
    pub is_listed: bool,
    /// Whether the member is neither draining nor in an evacuated data centre.
    pub is_available: bool,
    /// Whether the member is in the data centre of the previous primary.
    pub is_same_data_centre: bool,
    /// Whether the member is the previous primary.
    pub is_previous: bool,
}

/// What a successor must have received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Requirement {
    /// Members that may hold acknowledged commits, including the previous primary.
    pub members: usize,
    /// Replicas that have received a commit before it is acknowledged; zero if the service demands
    /// none.
    pub synchronous_replicas: usize,
    /// Last known position of the previous primary, if it answered.
    pub previous_position: Option<Position>,
}

/// Why no successor was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::IntoStaticStr)]
pub enum Shortfall {
    /// No member answered.
    #[strum(serialize = "no member answers the status query")]
    NoAnswer,
    /// The members that answered may lack acknowledged commits.
    #[strum(serialize = "too few members answer to know every acknowledged commit")]
    TooFewAnswers,
    /// The member with every acknowledged commit has no entry, so it can't be promoted.
    #[strum(serialize = "the member with every acknowledged commit has no entry")]
    Unlisted,
    /// An order for another member is pending.
    #[strum(serialize = "an order to promote another member may still take effect")]
    OrderPending,
    /// A busy member may have received more than the best one.
    #[strum(serialize = "a busy member may have received more")]
    Undecided,
    /// The best member, or an available one, may still catch up with the previous primary.
    #[strum(serialize = "the successor has not caught up with the previous primary")]
    Behind,
}

/// Returns the next primary.
///
/// With synchronous replicas, that is the member with the highest position, since a member that drains
/// may be the only one with acknowledged commits; among equals an available one, then one in the data
/// centre of the previous primary. Without them, available members come first.
///
/// In the last round, empty logs count, and [`Shortfall::Undecided`] and [`Shortfall::Behind`] no longer prevent the choice.
///
/// # Errors
///
/// Returns a [`Shortfall`] if the members must be asked again.
pub fn choose<'a>(
    candidates: &'a [Candidate],
    requirement: &Requirement,
    is_last_round: bool,
) -> Result<&'a Candidate, Shortfall> {
    let demands_proof = requirement.synchronous_replicas > 0;
    let rank = |candidate: &&Candidate| {
        (
            demands_proof.then_some(candidate.received),
            candidate.is_listed,
            candidate.is_available,
            candidate.received,
            candidate.is_same_data_centre,
        )
    };
    let best = candidates.iter().max_by_key(rank);
    let best = best.ok_or(Shortfall::NoAnswer)?;
    if demands_proof && !requirement.is_every_commit_known(candidates, best, is_last_round) {
        return Err(Shortfall::TooFewAnswers);
    }
    if !best.is_listed {
        return Err(Shortfall::Unlisted);
    }
    if is_last_round {
        return Ok(best);
    }
    let Some(previous_position) = requirement.previous_position else {
        let mut others = candidates
            .iter()
            .filter(|candidate| candidate.id != best.id);
        let is_undecided = !demands_proof && others.any(|candidate| !candidate.is_exact);
        return if is_undecided {
            Err(Shortfall::Undecided)
        } else {
            Ok(best)
        };
    };
    let has_available = candidates.iter().any(|candidate| candidate.is_available);
    if best.received < previous_position || (has_available && !best.is_available) {
        return Err(Shortfall::Behind);
    }
    Ok(best)
}

/// Returns the member `id`, whose promotion was ordered without an answer, instead of the choice of
/// [`choose`]. It had every acknowledged commit when it was ordered, and none was acknowledged since.
///
/// # Errors
///
/// Returns [`Shortfall::OrderPending`] if the member doesn't state a position or can't be promoted. With
/// synchronous replicas, also if it lacks what another one has received, and
/// [`Shortfall::TooFewAnswers`] like [`choose`]: it may have lost its log.
pub fn repeat_order<'a>(
    candidates: &'a [Candidate],
    requirement: &Requirement,
    id: &str,
    choice: Result<&'a Candidate, Shortfall>,
) -> Result<&'a Candidate, Shortfall> {
    let ordered = candidates.iter().find(|candidate| *candidate.id == *id);
    let ordered = ordered.filter(|candidate| candidate.is_exact && candidate.is_listed);
    let ordered = ordered.ok_or(Shortfall::OrderPending)?;
    let others = candidates.iter().map(|candidate| candidate.received);
    let highest = others.max().unwrap_or_default();
    if requirement.synchronous_replicas == 0 {
        return Ok(ordered);
    }
    match choice {
        Err(Shortfall::TooFewAnswers) => Err(Shortfall::TooFewAnswers),
        _ if ordered.received < highest => Err(Shortfall::OrderPending),
        _ => Ok(ordered),
    }
}

impl Requirement {
    /// Returns whether every acknowledged commit is in the log of a member that answered.
    ///
    /// `best` counts as an answer in any case, since nothing that it has is lost. The previous primary
    /// counts only if no other member has received more: one that lost its log in a restart proves
    /// nothing.
    fn is_every_commit_known(
        &self,
        candidates: &[Candidate],
        best: &Candidate,
        is_last_round: bool,
    ) -> bool {
        let has_all = self
            .previous_position
            .is_some_and(|position| best.received >= position && has_most(candidates, position));
        let counts = |candidate: &&Candidate| {
            let is_known = candidate.is_exact || candidate.id == best.id;
            let may_be_new = candidate.received.index == 0 && best.received.index > 0;
            is_known
                && (!may_be_new || is_last_round)
                && (!candidate.is_previous || has_most(candidates, candidate.received))
        };
        let answers = candidates.iter().filter(counts).count();
        has_all
            || answers
                >= self
                    .members
                    .saturating_sub(self.synchronous_replicas)
                    .max(1)
    }
}

/// Returns whether no member but the previous primary has received more than `position`.
fn has_most(candidates: &[Candidate], position: Position) -> bool {
    let mut others = candidates.iter().filter(|candidate| !candidate.is_previous);
    others.all(|candidate| candidate.received <= position)
}
