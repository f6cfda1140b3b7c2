//! Tests of staleness bounds against the complete list of positions.
//!
//! A required position that is too low would let a read see data older than its staleness limit.

use std::time::{Duration, Instant};

use check::runner;
use filbertbay_coordination::freshness::{RemoteClock, WatermarkHistory};
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

/// A watermark that is passed on must not become younger on the way: it would claim to cover commits
/// that came after it. The other clock is `offset` ahead, and its answer took `delay`.
#[test]
fn a_time_on_another_clock_is_never_later_than_the_truth() {
    fn property(offset: u32, delay: u16, asked_before: u16, asked_after: u16) -> bool {
        let start = Instant::now();
        let offset = Duration::from_millis(u64::from(offset));
        let delay = Duration::from_millis(u64::from(delay % 5_000));
        let answered_at = start + Duration::from_secs(100);
        let remote_at = |at: Instant| offset + at.duration_since(start);
        let received_at = answered_at + delay;
        let clock = RemoteClock::new(received_at, remote_at(answered_at));
        let before = Duration::from_millis(u64::from(asked_before % 9_000));
        let before = received_at.checked_sub(before).unwrap();
        let after = received_at + Duration::from_millis(u64::from(asked_after % 9_000));
        [before, after].into_iter().all(|asked| {
            let bound = clock.not_later_than(asked).unwrap();
            let truth = remote_at(asked);
            // Nothing but the time of the answer and the margin is lost.
            bound <= truth && bound + delay + Duration::from_millis(10) >= truth
        })
    }
    runner(500).quickcheck(property as fn(u32, u16, u16, u16) -> bool);
}
