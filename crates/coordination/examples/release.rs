//! Time that a change of primary waits for other instances, by what has happened to them.
//!
//! `cargo run -p filbertbay-coordination --example release` prints a table for eight instances. The
//! column `refused counts` takes a refused connection for a release, which lets an instance behind
//! a partition that resets connections go on reading from the former primary.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::succession::release::{Answer, Barrier};

/// Instances that are asked, with the one that asks.
const INSTANCES: usize = 8;

/// Interval between two rounds of requests.
const ROUND: Duration = Duration::from_millis(50);

/// Time that a process needs from its start until it answers other instances.
const STARTUP: Duration = Duration::from_millis(300);

/// What has happened to an instance right before it is asked for the first time.
#[derive(Clone, Copy)]
enum Fate {
    /// Killed; the next process starts after the time, or never.
    Killed(Option<Duration>),
    /// Its machine lost power.
    PoweredOff,
    /// Frozen for the time.
    Frozen(Duration),
    /// Cut off by dropped packets for the time.
    Cut(Duration),
    /// Cut off by refused connections for the time.
    CutByResets(Duration),
}

impl Fate {
    fn answer(self, elapsed: Duration) -> Answer {
        let (failure, ends_after) = match self {
            Self::Killed(restart) => (Answer::Refused, restart.map(|time| time + STARTUP)),
            Self::PoweredOff => (Answer::Unanswered, None),
            Self::Frozen(time) | Self::Cut(time) => (Answer::Unanswered, Some(time)),
            Self::CutByResets(time) => (Answer::Refused, Some(time)),
        };
        if ends_after.is_some_and(|end| elapsed >= end) {
            Answer::Released
        } else {
            failure
        }
    }
}

/// Returns the time until the barrier is complete if `affected` instances have the same fate.
fn wait(fate: Fate, affected: usize, refused_counts: bool) -> Duration {
    let start = Instant::now();
    let names: Vec<Arc<str>> = (0..INSTANCES).map(|i| format!("i-{i}").into()).collect();
    let mut barrier = Barrier::new(start, names.iter().cloned());
    let mut elapsed = Duration::ZERO;
    loop {
        for (index, name) in names.iter().enumerate() {
            let answer = match fate.answer(elapsed) {
                _ if index >= affected => Answer::Released,
                Answer::Refused if refused_counts => Answer::Released,
                answer => answer,
            };
            barrier.record(start + elapsed, name, answer);
        }
        if barrier.is_complete(start + elapsed) {
            return elapsed;
        }
        elapsed += ROUND;
    }
}

fn main() {
    let seconds = Duration::from_secs;
    let cases = [
        (
            "killed, started again after 1 s",
            Fate::Killed(Some(seconds(1))),
        ),
        (
            "killed, started again after 3 s",
            Fate::Killed(Some(seconds(3))),
        ),
        ("killed for good", Fate::Killed(None)),
        ("without power", Fate::PoweredOff),
        ("frozen for 2 s", Fate::Frozen(seconds(2))),
        ("cut off silently for 5 s", Fate::Cut(seconds(5))),
        ("cut off by resets for 5 s", Fate::CutByResets(seconds(5))),
    ];
    println!("| instances | of {INSTANCES} | refused counts, s | acknowledged or lapsed, s |");
    println!("|---|---|---|---|");
    for (name, fate) in cases {
        for affected in [1, 3, 6] {
            let before = wait(fate, affected, true).as_secs_f64();
            let after = wait(fate, affected, false).as_secs_f64();
            println!("| {name} | {affected} | {before:.2} | {after:.2} |");
        }
    }
}
