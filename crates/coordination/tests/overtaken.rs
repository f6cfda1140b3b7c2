//! Detection of a recorded primary that another member has overtaken.

use filbertbay_coordination::succession::overtaken::Detector;
use filbertbay_state::position::Term;

/// Guards against a replica that stays recorded as primary because nobody writes.
#[test]
fn a_later_term_raises_a_suspicion() {
    let mut detector = Detector::default();
    for term in [2, 2, 3] {
        assert!(!detector.is_suspect());
        detector.record_term(Term(term));
    }
    assert!(detector.is_suspect());
}

/// Guards against a status query by each instance after each promotion, when the first commit raises the
/// term of the positions.
#[test]
fn the_first_commit_of_a_term_raises_no_suspicion() {
    let mut detector = Detector::new(Some(Term(3)));
    for term in [2, 3, 2, 3] {
        detector.record_term(Term(term));
        assert!(!detector.is_suspect());
    }
    detector.record_term(Term(4));
    assert!(detector.is_suspect());
}

/// Guards against a status query for each answer of a primary whose position reaches its term with its
/// first commit.
#[test]
fn a_status_as_primary_ends_the_suspicion_for_its_term() {
    let mut detector = Detector::default();
    detector.record_term(Term(2));
    detector.record_term(Term(3));
    detector.record_leading(Term(3));
    for term in [3, 2, 3] {
        detector.record_term(Term(term));
        assert!(!detector.is_suspect());
    }
    detector.record_read_only();
    assert!(detector.is_suspect());
}
