//! Tests of staleness bounds against the complete list of positions.
//!
//! A required position that is too low would let a read see data older than its staleness limit.

use std::time::{Duration, Instant};

use check::runner;
use filbertbay_coordination::freshness::WatermarkHistory;
use filbertbay_state::position::{Position, Term};

/// The required position covers every commit that was acknowledged longer ago than the staleness
/// limit, because it comes from a watermark requested within that limit.
#[test]
fn required_position_covers_commits_older_than_the_limit() {
    fn property(steps: Vec<(u8, u8)>, age: u16, later: u16) -> bool {
        let start = Instant::now();
        let mut now = start;
        let mut index = 0;
        let mut watermarks = WatermarkHistory::default();
        let mut all = Vec::new();
        for (wait, commits) in steps {
            now += Duration::from_millis(u64::from(wait) * 4);
            index += u64::from(commits);
            watermarks.record(now, Position::new(Term(1), index));
            all.push((now, index));
        }
        now += Duration::from_millis(u64::from(later % 2_000));
        let age = Duration::from_millis(u64::from(age % 3_000));
        // Commits acknowledged more than `age` ago are those covered by the positions requested
        // before.
        let old = all.iter().filter(|(asked, _)| *asked + age < now);
        let needed = old.map(|(_, index)| *index).max().unwrap_or(0);
        watermarks
            .min_position(now, age)
            .is_none_or(|bound| bound.index >= needed)
    }
    runner(80).quickcheck(property as fn(Vec<(u8, u8)>, u16, u16) -> bool);
}

#[test]
fn expired_watermark_gives_no_position() {
    let start = Instant::now();
    let mut watermarks = WatermarkHistory::default();
    let age = Duration::from_secs(1);
    assert_eq!(watermarks.min_position(start, age), None);
    watermarks.record(start, Position::new(Term(3), 7));
    assert!(watermarks.min_position(start + age, age).is_some());
    let late = start + age + Duration::from_millis(1);
    assert_eq!(watermarks.min_position(late, age), None);
}
