//! Properties of the evidence that a promotion is in effect.

use std::time::{Duration, Instant};

use check::runner;
use filbertbay_coordination::succession::promotion::{Baseline, EFFECT_TIMEOUT};
use filbertbay_state::position::Term;
use filbertbay_state::status::Role;
use quickcheck::{Arbitrary, Gen};

/// Members before and after an order to promote the first one.
#[derive(Clone, Debug)]
struct Order {
    /// Term of each member, and whether it believes that it leads.
    members: Vec<(u64, bool)>,
    /// Whether each member answered before the order.
    answers: Vec<bool>,
    /// Time from the order to its effect.
    delay: Duration,
}

impl Arbitrary for Order {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = 2 + usize::arbitrary(g) % 3;
        let member = |g: &mut Gen| (1 + u64::arbitrary(g) % 4, bool::arbitrary(g));
        Self {
            members: (0..count).map(|_| member(g)).collect(),
            answers: (0..count).map(|_| bool::arbitrary(g)).collect(),
            delay: EFFECT_TIMEOUT.mul_f64(f64::from(u8::arbitrary(g)) / 256.0),
        }
    }
}

/// Guards against a primary that is recorded while its promotion is not in effect: its role was of an
/// earlier term, or it had not heard of the member that replaced it.
#[test]
fn a_promotion_is_not_taken_for_effective_before_it_is() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn property(order: Order) -> bool {
        let (term, is_leading) = order.members[0];
        let newest = order.members.iter().map(|(term, _)| *term).max();
        let newest = newest.unwrap();
        // The platform changes nothing for the primary of the newest term.
        let is_present = is_leading && term == newest;
        let mut baseline = Baseline::default();
        baseline.record_term(Term(term));
        if is_leading {
            baseline.record_leading_successor();
        }
        let others = order.members.iter().zip(&order.answers).skip(1);
        for ((term, _), _) in others.filter(|(_, answers)| **answers) {
            baseline.record_term(Term(*term));
        }
        let accepted_at = Instant::now();
        let steps = 0..=30_u32;
        let mut states = steps.map(|step| {
            let elapsed = EFFECT_TIMEOUT * step / 20;
            let is_effective = elapsed >= order.delay;
            let (role, term) = match (is_effective, is_present, is_leading) {
                (true, false, _) => (Role::Primary, newest + 1),
                (_, true, _) | (false, false, true) => (Role::Primary, term),
                (false, false, false) => (Role::Replica, term),
            };
            let is_taken =
                baseline.is_effective(accepted_at, accepted_at + elapsed, role, Term(term));
            (is_present || is_effective, is_taken)
        });
        let is_premature = states.clone().any(|(is_led, is_taken)| is_taken && !is_led);
        let is_found = states.any(|(_, is_taken)| is_taken);
        !is_premature && is_found
    }
    runner(61).quickcheck(property as fn(Order) -> bool);
}
