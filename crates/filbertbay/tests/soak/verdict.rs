//! Checks of the guarantees of a run: the statements that callers sent, with their outcomes, against
//! those that members executed and committed.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use super::Soak;
use super::common::member::{Entry, ExecutedStatement};
use super::common::{KEY, OTHER_KEY, RATE};
use super::fleet;
use super::load::{AcknowledgedWrite, Outcome, SentStatement};

/// Codes of refusals that guarantee that the write is not committed.
const NOT_COMMITTED_CODES: [&str; 6] = [
    "BUSY",
    "ABORTED",
    "LAGGING",
    "READONLY",
    "WRONGNODE",
    "TOOMANY",
];

/// Sliding window over which the operations of a workspace are counted.
const RATE_WINDOW: Duration = Duration::from_secs(5);

/// Tolerated excess in a window: a tenth and 20 operations.
const RATE_TOLERANCE_FACTOR: f64 = 1.1;
const RATE_TOLERANCE_OPERATIONS: f64 = 20.0;

/// Returns one line for each violation of a guarantee.
pub fn find_violations(soak: &Soak) -> Vec<String> {
    let statements = soak.statements.borrow();
    let executed_statements: Vec<ExecutedStatement> = soak
        .groups
        .iter()
        .flat_map(|group| (0..group.members.len()).flat_map(|member| group.executed(member)))
        .collect();
    let mut violations = Vec::new();
    check_executed_statements(&statements, &executed_statements, &mut violations);
    check_key_leaks(soak, &mut violations);
    for (service, group) in soak.groups.iter().enumerate() {
        let of_service = statements.iter().filter(|one| one.service == service);
        let statements: Vec<SentStatement> = of_service.cloned().collect();
        let log = group.log(group.primary());
        let discarded = group.discarded_writes();
        // A promotion may discard acknowledged writes unless a replica had to receive them.
        let excused: &[Entry] = if service == fleet::SYNCHRONOUS_SERVICE {
            &[]
        } else {
            &discarded
        };
        check_writes(&statements, &log, excused, &mut violations);
        check_superseded_writes(&statements, &group.superseded_writes(), &mut violations);
        check_reads(
            &statements,
            &soak.acknowledged.borrow(),
            &log,
            &discarded,
            &mut violations,
        );
    }
    check_rate_limits(&executed_statements, &mut violations);
    check_fencing_tokens(&soak.cluster.platform.lease_holders(), &mut violations);
    violations
}

/// Checks that members execute only statements that callers sent, unchanged and in the workspace of the
/// caller's key.
fn check_executed_statements(
    statements: &[SentStatement],
    executed_statements: &[ExecutedStatement],
    violations: &mut Vec<String>,
) {
    let by_id: HashMap<&str, &SentStatement> = statements
        .iter()
        .map(|statement| (statement.id.as_str(), statement))
        .collect();
    for executed in executed_statements {
        match by_id.get(executed.id.as_str()) {
            None => violations.push(format!("executed but not sent: {executed:?}")),
            Some(sent) if sent.text != executed.text || sent.workspace != executed.workspace => {
                violations.push(format!("executed {executed:?}, but sent {sent:?}"));
            }
            Some(_) => {}
        }
    }
}

/// Checks that no caller key appears in the start messages that members received.
fn check_key_leaks(soak: &Soak, violations: &mut Vec<String>) {
    let members = soak
        .groups
        .iter()
        .flat_map(|group| (0..group.members.len()).map(move |member| group.start_lines(member)));
    for start_lines in members {
        let is_leaked = |line: &&String| line.contains(KEY) || line.contains(OTHER_KEY);
        violations.extend(
            start_lines
                .iter()
                .filter(is_leaked)
                .map(|line| format!("caller key in start message {line:?}")),
        );
    }
}

/// Returns the value that a write statement writes, or `None` for another statement.
fn written_value(text: &str) -> Option<&str> {
    text.strip_prefix("WRITE ")?.split(' ').nth(1)
}

/// Returns the statement whose outcome decides whether a write is committed: the end of its transaction,
/// or the write itself outside one.
fn deciding_statement<'a>(
    write: &'a SentStatement,
    transaction_ends: &HashMap<u64, &'a SentStatement>,
) -> Option<&'a SentStatement> {
    match write.transaction {
        Some(number) => transaction_ends.get(&number).copied(),
        None => Some(write),
    }
}

/// Checks that the log holds an acknowledged write once, and never a write that was not committed or
/// was refused with one of [`NOT_COMMITTED_CODES`].
fn check_writes(
    statements: &[SentStatement],
    log: &[Entry],
    discarded: &[Entry],
    violations: &mut Vec<String>,
) {
    let transaction_ends = transaction_ends(statements);
    let mut commit_counts: BTreeMap<&str, usize> = BTreeMap::new();
    for entry in log {
        *commit_counts.entry(entry.data.as_str()).or_default() += 1;
    }
    let discarded: BTreeSet<&str> = discarded.iter().map(|entry| entry.data.as_str()).collect();
    let writes = statements
        .iter()
        .filter_map(|statement| Some((statement, written_value(&statement.text)?)));
    for (write, written_value) in writes {
        let commit_count = commit_counts.get(written_value).copied().unwrap_or(0);
        if commit_count > 1 {
            violations.push(format!("committed {commit_count} times: {write:?}"));
        }
        let end = deciding_statement(write, &transaction_ends);
        let may_be_committed = match end.map(|end| (&end.outcome, end.text.as_str())) {
            None | Some((_, "ROLLBACK")) => false,
            Some((Outcome::Refused(code), _)) => !NOT_COMMITTED_CODES.contains(&code.as_str()),
            Some(_) => true,
        };
        if commit_count > 0 && !may_be_committed {
            violations.push(format!(
                "in the log though refused or not committed: {write:?}, decided by {end:?}"
            ));
        }
        let is_acknowledged = end.is_some_and(|end| matches!(end.outcome, Outcome::Completed(_)));
        if is_acknowledged
            && may_be_committed
            && commit_count == 0
            && !discarded.contains(written_value)
        {
            violations.push(format!("acknowledged write lost: {write:?}"));
        }
    }
}

/// Returns the `COMMIT` or `ROLLBACK` of each transaction.
fn transaction_ends(statements: &[SentStatement]) -> HashMap<u64, &SentStatement> {
    let transaction_ends = statements
        .iter()
        .filter(|statement| ["COMMIT", "ROLLBACK"].contains(&statement.text.as_str()));
    transaction_ends
        .filter_map(|statement| Some((statement.transaction?, statement)))
        .collect()
}

/// Checks that no write is acknowledged that a former primary committed after another member became
/// primary.
fn check_superseded_writes(
    statements: &[SentStatement],
    superseded: &[Entry],
    violations: &mut Vec<String>,
) {
    let transaction_ends = transaction_ends(statements);
    for entry in superseded {
        let write = statements
            .iter()
            .find(|statement| written_value(&statement.text) == Some(&entry.data));
        let end = write.and_then(|write| deciding_statement(write, &transaction_ends));
        if end.is_some_and(|end| matches!(end.outcome, Outcome::Completed(_))) {
            violations.push(format!("acknowledged write of a former primary: {write:?}"));
        }
    }
}

/// Checks that a read shows the last of its required writes that was not discarded, or a later write.
fn check_reads(
    statements: &[SentStatement],
    acknowledged: &[Vec<AcknowledgedWrite>],
    log: &[Entry],
    discarded: &[Entry],
    violations: &mut Vec<String>,
) {
    let discarded: BTreeSet<&str> = discarded.iter().map(|entry| entry.data.as_str()).collect();
    let log_index: HashMap<&str, usize> = log
        .iter()
        .enumerate()
        .map(|(log_index, entry)| (entry.data.as_str(), log_index))
        .collect();
    for read in statements
        .iter()
        .filter(|statement| statement.text.starts_with("READ "))
    {
        let Outcome::Completed(row) = &read.outcome else {
            continue;
        };
        let Some(row) = row.as_deref() else {
            violations.push(format!("completed read without a row: {read:?}"));
            continue;
        };
        let required = read.required.and_then(|(writer, count)| {
            let writes = acknowledged[writer][..count].iter().rev();
            let mut writes = writes.map(|write| write.data.as_str());
            writes.find(|data| !discarded.contains(data))
        });
        let Some(required) = required else {
            continue;
        };
        // A read may have shown a write that was discarded later.
        let is_stale = !discarded.contains(row)
            && log_index.get(row).copied() < log_index.get(required).copied();
        if is_stale {
            violations.push(format!(
                "stale read, {required} is required: {}",
                summarize(read)
            ));
        }
    }
}

fn summarize(statement: &SentStatement) -> String {
    format!(
        "{} {} got {:?} after {:?}",
        statement.id,
        statement.text,
        statement.outcome,
        statement.answered_at - statement.sent_at
    )
}

/// Checks that no workspace executes more in any window than its rate and one second's burst allow.
fn check_rate_limits(executed_statements: &[ExecutedStatement], violations: &mut Vec<String>) {
    let max_operations = (f64::from(RATE) * RATE_WINDOW.as_secs_f64() + f64::from(RATE))
        * RATE_TOLERANCE_FACTOR
        + RATE_TOLERANCE_OPERATIONS;
    let mut by_workspace: BTreeMap<&str, Vec<_>> = BTreeMap::new();
    for executed in executed_statements {
        by_workspace
            .entry(&executed.workspace)
            .or_default()
            .push(executed.at);
    }
    for (workspace, mut times) in by_workspace {
        times.sort();
        let mut first = 0;
        for last in 0..times.len() {
            while times[last] - times[first] > RATE_WINDOW {
                first += 1;
            }
            let count = last - first + 1;
            if count as f64 > max_operations {
                violations.push(format!(
                    "workspace {workspace} executed {count} operations in {RATE_WINDOW:?}"
                ));
                break;
            }
        }
    }
}

/// Checks that fencing tokens never decrease and that each belongs to one holder.
fn check_fencing_tokens(lease_holders: &[(String, u64)], violations: &mut Vec<String>) {
    for pair in lease_holders.windows(2) {
        let [(former_holder, former_token), (holder, token)] = pair else {
            continue;
        };
        if token < former_token || (token == former_token && former_holder != holder) {
            violations.push(format!(
                "fencing token {token} of {holder} after {former_token} of {former_holder}"
            ));
        }
    }
}
