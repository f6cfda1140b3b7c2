//! What must hold of a run, from what callers and members saw.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use super::Scene;
use super::common::member::{Entry, ExecutedStatement};
use super::common::{KEY, OTHER_KEY, RATE};
use super::load::{Asked, Told};

/// Refusals that promise that nothing is kept.
const PROMISES: [&str; 6] = [
    "BUSY",
    "ABORTED",
    "LAGGING",
    "READONLY",
    "WRONGNODE",
    "TOOMANY",
];

/// Window over which operations of a workspace are counted.
const WINDOW: Duration = Duration::from_secs(5);

/// Tolerance of the window: a tenth, and 20 operations.
const EXCESS: f64 = 1.1;
const SLACK: f64 = 20.0;

/// Returns everything that was broken.
pub fn judge(scene: &Scene) -> Vec<String> {
    let asked = scene.asked.borrow();
    let group = &scene.world.group;
    let runs: Vec<ExecutedStatement> = (0..group.members.len())
        .flat_map(|member| group.executed(member))
        .collect();
    let log = group.log(group.primary());
    let mut broken = Vec::new();
    check_runs(&asked, &runs, &mut broken);
    check_keys(scene, &mut broken);
    check_log(&asked, &log, &group.discarded_writes(), &mut broken);
    check_superseded(&asked, &group.superseded_writes(), &mut broken);
    check_reads(&asked, &log, &group.discarded_writes(), &mut broken);
    check_rates(&runs, &mut broken);
    check_fences(&scene.world.platform.lease_holders(), &mut broken);
    broken
}

/// Members run what callers sent, unchanged and under the workspace that holds the key.
fn check_runs(asked: &[Asked], runs: &[ExecutedStatement], broken: &mut Vec<String>) {
    let by_id: HashMap<&str, &Asked> = asked.iter().map(|one| (one.id.as_str(), one)).collect();
    for run in runs {
        match by_id.get(run.id.as_str()) {
            None => broken.push(format!("nobody sent {run:?}")),
            Some(asked) if asked.text != run.text || asked.workspace != run.workspace => {
                broken.push(format!("{run:?} is not {asked:?}"));
            }
            Some(_) => {}
        }
    }
}

fn check_keys(scene: &Scene, broken: &mut Vec<String>) {
    for member in 0..scene.world.group.members.len() {
        let starts = scene.world.group.start_lines(member);
        let leaked = |line: &&String| line.contains(KEY) || line.contains(OTHER_KEY);
        broken.extend(
            starts
                .iter()
                .filter(leaked)
                .map(|line| format!("key in {line:?}")),
        );
    }
}

fn data(text: &str) -> Option<&str> {
    text.strip_prefix("WRITE ")?.split(' ').nth(1)
}

/// Returns the statement whose answer decides on a write: its commit, or itself.
fn deciding<'a>(write: &'a Asked, ends: &HashMap<u64, &'a Asked>) -> Option<&'a Asked> {
    match write.transaction {
        Some(number) => ends.get(&number).copied(),
        None => Some(write),
    }
}

/// Writes are kept once if acknowledged, never if refused with a promise or not committed.
fn check_log(asked: &[Asked], log: &[Entry], dropped: &[Entry], broken: &mut Vec<String>) {
    let ends = ends(asked);
    let mut kept: BTreeMap<&str, usize> = BTreeMap::new();
    for entry in log {
        *kept.entry(entry.data.as_str()).or_default() += 1;
    }
    let dropped: BTreeSet<&str> = dropped.iter().map(|entry| entry.data.as_str()).collect();
    let writes = asked.iter().filter_map(|one| Some((one, data(&one.text)?)));
    for (write, data) in writes {
        let times = kept.get(data).copied().unwrap_or(0);
        if times > 1 {
            broken.push(format!("kept {times} times: {write:?}"));
        }
        let end = deciding(write, &ends);
        let may_be_kept = match end.map(|end| (&end.told, end.text.as_str())) {
            None | Some((_, "ROLLBACK")) => false,
            Some((Told::Refused(code), _)) => !PROMISES.contains(&code.as_str()),
            Some(_) => true,
        };
        if times > 0 && !may_be_kept {
            broken.push(format!("kept though not committed: {write:?}, end {end:?}"));
        }
        let is_acknowledged = end.is_some_and(|end| matches!(end.told, Told::Done(_)));
        if is_acknowledged && may_be_kept && times == 0 && !dropped.contains(data) {
            broken.push(format!("acknowledged and lost: {write:?}"));
        }
    }
}

fn ends(asked: &[Asked]) -> HashMap<u64, &Asked> {
    let ends = asked
        .iter()
        .filter(|one| ["COMMIT", "ROLLBACK"].contains(&one.text.as_str()));
    ends.filter_map(|one| Some((one.transaction?, one)))
        .collect()
}

/// What a former primary commits after another member leads is not acknowledged.
fn check_superseded(asked: &[Asked], superseded: &[Entry], broken: &mut Vec<String>) {
    let ends = ends(asked);
    for entry in superseded {
        let write = asked
            .iter()
            .find(|one| data(&one.text) == Some(&entry.data));
        let end = write.and_then(|write| deciding(write, &ends));
        if end.is_some_and(|end| matches!(end.told, Told::Done(_))) {
            broken.push(format!("acknowledged by a former primary: {write:?}"));
        }
    }
}

/// A read shows the last write of its caller that was acknowledged before it and not dropped since,
/// or a later one.
fn check_reads(asked: &[Asked], log: &[Entry], dropped: &[Entry], broken: &mut Vec<String>) {
    let dropped: BTreeSet<&str> = dropped.iter().map(|entry| entry.data.as_str()).collect();
    let place: HashMap<&str, usize> = log
        .iter()
        .enumerate()
        .map(|(place, entry)| (entry.data.as_str(), place))
        .collect();
    for read in asked.iter().filter(|one| one.text.starts_with("READ ")) {
        let Told::Done(row) = &read.told else {
            continue;
        };
        let Some(row) = row.as_deref() else {
            broken.push(format!("success without a row: {read:?}"));
            continue;
        };
        let known = read
            .known
            .iter()
            .rev()
            .find(|one| !dropped.contains(one.as_str()));
        let Some(known) = known else {
            continue;
        };
        // What was dropped later may have been shown.
        let is_stale =
            !dropped.contains(row) && place.get(row).copied() < place.get(known.as_str()).copied();
        if is_stale {
            broken.push(format!("stale, {known} was known: {}", brief(read)));
        }
    }
}

fn brief(asked: &Asked) -> String {
    format!(
        "{} {} told {:?}, took {:?}",
        asked.id,
        asked.text,
        asked.told,
        asked.told_at - asked.sent
    )
}

fn check_rates(runs: &[ExecutedStatement], broken: &mut Vec<String>) {
    let most = (f64::from(RATE) * WINDOW.as_secs_f64() + f64::from(RATE)) * EXCESS + SLACK;
    let mut by_workspace: BTreeMap<&str, Vec<_>> = BTreeMap::new();
    for run in runs {
        by_workspace.entry(&run.workspace).or_default().push(run.at);
    }
    for (workspace, mut times) in by_workspace {
        times.sort();
        let mut first = 0;
        for last in 0..times.len() {
            while times[last] - times[first] > WINDOW {
                first += 1;
            }
            let count = last - first + 1;
            if count as f64 > most {
                broken.push(format!("{workspace} ran {count} in {WINDOW:?}"));
                break;
            }
        }
    }
}

/// A fencing token belongs to one holder and never goes back.
fn check_fences(orders: &[(String, u64)], broken: &mut Vec<String>) {
    for pair in orders.windows(2) {
        let [(former, low), (next, high)] = pair else {
            continue;
        };
        if high < low || (high == low && former != next) {
            broken.push(format!("fence {high} of {next} after {low} of {former}"));
        }
    }
}
