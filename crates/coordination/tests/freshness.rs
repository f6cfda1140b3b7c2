//! Bounds of freshness against the full list of marks.

use std::time::{Duration, Instant};

use check::runner;
use filbertbay_coordination::freshness::WatermarkHistory;
use filbertbay_state::position::{Position, Term};

/// A bound always comes from a mark that was asked for within the age, so every commit that was
/// acknowledged before that age is covered.
#[test]
fn a_bound_proves_its_age() {
    fn property(steps: Vec<(u8, u8)>, age: u16, later: u16) -> bool {
        let start = Instant::now();
        let mut now = start;
        let mut index = 0;
        let mut marks = WatermarkHistory::default();
        let mut all = Vec::new();
        for (wait, commits) in steps {
            now += Duration::from_millis(u64::from(wait) * 4);
            index += u64::from(commits);
            marks.record(now, Position::new(Term(1), index));
            all.push((now, index));
        }
        now += Duration::from_millis(u64::from(later % 2_000));
        let age = Duration::from_millis(u64::from(age % 3_000));
        // Commits acknowledged more than `age` ago are those stated by the marks before then.
        let old = all.iter().filter(|(asked, _)| *asked + age < now);
        let needed = old.map(|(_, index)| *index).max().unwrap_or(0);
        marks
            .min_position(now, age)
            .is_none_or(|bound| bound.index >= needed)
    }
    runner(80).quickcheck(property as fn(Vec<(u8, u8)>, u16, u16) -> bool);
}

#[test]
fn a_mark_that_is_too_old_proves_nothing() {
    let start = Instant::now();
    let mut marks = WatermarkHistory::default();
    let age = Duration::from_secs(1);
    assert_eq!(marks.min_position(start, age), None);
    marks.record(start, Position::new(Term(3), 7));
    assert!(marks.min_position(start + age, age).is_some());
    let late = start + age + Duration::from_millis(1);
    assert_eq!(marks.min_position(late, age), None);
}
