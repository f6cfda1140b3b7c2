//! Tests of the repository: concurrent submissions against a store that refuses calls, loses and
//! delays answers, and executes calls twice.

use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use filbertbay_protocol::platform::Store;
use filbertbay_protocol::repository::{ErrorKind, HEAD_KEY, PART_PREFIX, Repository};
use filbertbay_state::audit::{Entry, Outcome};
use filbertbay_state::bundle::Bundle;
use filbertbay_state::head::{Head, RETENTION_MS};
use filbertbay_state::patch::{self, Change, Patch};
use filbertbay_state::version::Version;
use futures::executor::block_on;
use futures::task::noop_waker;
use quickcheck::{Arbitrary, Gen};
use serde_json::json;
use standin::memory::{Memory, Mishap};

/// Number of patches that each operator submits.
const PATCHES_PER_OPERATOR: usize = 3;

/// Maximum number of polls of a history.
const MAX_POLLS: usize = 20_000;

/// Faults of the store and of operators, with the order in which tasks are polled.
#[derive(Clone, Debug)]
struct History {
    operators: u8,
    mishaps: Vec<Mishap>,
    order: Vec<u8>,
    /// Number of polls after which an operator process crashes and the next one submits the same
    /// patch.
    crashes: Vec<u8>,
}

impl Arbitrary for History {
    fn arbitrary(g: &mut Gen) -> Self {
        let kinds = [
            Mishap::None,
            Mishap::None,
            Mishap::Refuse,
            Mishap::LoseAnswer,
            Mishap::Delay,
            Mishap::Double,
        ];
        let mishaps: Vec<_> = (0..g.size()).map(|_| *g.choose(&kinds).unwrap()).collect();
        Self {
            operators: 2 + u8::arbitrary(g) % 3,
            mishaps,
            order: Vec::arbitrary(g),
            crashes: Vec::arbitrary(g),
        }
    }
}

/// Outcomes that operators received.
#[derive(Debug, Default)]
struct Outcomes {
    applied: BTreeMap<Version, Arc<str>>,
    refused: BTreeSet<Arc<str>>,
}

fn add_centre(id: &str, against: Version, at: u64) -> Patch {
    Patch {
        id: id.into(),
        against,
        author: "operator".into(),
        reason: "test".into(),
        at,
        change: Change::Merge(json!({"data_centres": {id: {"region": "bretagne"}}})),
    }
}

/// Polls a future at most `polls` times, then drops it as in a crash of the process.
async fn poll_until_crash<F>(future: F, polls: usize) -> Option<F::Output>
where
    F: Future,
{
    let mut future = Box::pin(future);
    let mut left = polls;
    futures::future::poll_fn(move |context| {
        if left == 0 {
            return Poll::Ready(None);
        }
        left -= 1;
        future.as_mut().poll(context).map(Some)
    })
    .await
}

/// Submits patches one after the other, each until its outcome is known.
async fn operate(number: u8, store: Memory, crashes: Vec<u8>, outcomes: Arc<Mutex<Outcomes>>) {
    let repository = Repository::new(Arc::new(store));
    let mut crashes = crashes.into_iter();
    for round in 0..PATCHES_PER_OPERATOR {
        let id = format!("{number}-{round}");
        let bundle = loop {
            if let Ok(bundle) = repository.load().await {
                break bundle;
            }
        };
        let patch = add_centre(&id, bundle.version(), 1);
        loop {
            let polls = crashes.next().map_or(usize::MAX, usize::from);
            let result = poll_until_crash(repository.submit(&patch), polls).await;
            match result {
                Some(Ok(receipt)) => {
                    assert_eq!(receipt.entry.from, patch.against);
                    let other = outcomes
                        .lock()
                        .unwrap()
                        .applied
                        .insert(receipt.entry.to, id.into());
                    assert_eq!(other, None, "two patches received one version");
                    break;
                }
                Some(Err(error)) if error.kind() == ErrorKind::PatchRefused => {
                    let refusal = error.refusal().unwrap();
                    assert_eq!(refusal.kind(), patch::ErrorKind::Stale);
                    assert!(refusal.current_version() > patch.against);
                    outcomes.lock().unwrap().refused.insert(id.into());
                    break;
                }
                _ => {}
            }
        }
    }
}

/// Watches the configuration until `end` is set, and checks that versions are whole and never go
/// back.
async fn watch(store: Memory, end: Arc<Mutex<bool>>) {
    let mut watcher = Repository::new(Arc::new(store)).watch(Bundle::default());
    let mut version = Version(0);
    while !*end.lock().unwrap() {
        if let Ok(Some(bundle)) = watcher.next(Duration::ZERO).await {
            assert!(bundle.version() > version, "the version reverted");
            version = bundle.version();
            let names = bundle.snapshot().unwrap().data_centres.len();
            assert_eq!(names as u64, version.0, "a version is not whole");
        }
    }
}

type Task = Pin<Box<dyn Future<Output = ()>>>;

/// Polls tasks in the order of the history; `end` is set once only the watcher, the last, is left.
fn run(mut tasks: Vec<Task>, order: &[u8], end: &Mutex<bool>) {
    let waker = noop_waker();
    let mut context = Context::from_waker(&waker);
    let mut order = order.iter().copied().map(usize::from);
    for poll in 0..MAX_POLLS {
        let index = order.next().unwrap_or(poll) % tasks.len();
        if tasks[index].as_mut().poll(&mut context).is_ready() {
            drop(tasks.remove(index));
        }
        *end.lock().unwrap() = tasks.len() <= 1;
        if tasks.is_empty() {
            return;
        }
    }
    panic!("the history did not end");
}

fn run_history(history: History) -> bool {
    let store = Memory::open(history.mishaps);
    let outcomes = Arc::new(Mutex::new(Outcomes::default()));
    let end = Arc::new(Mutex::new(false));
    let mut tasks: Vec<Task> = Vec::new();
    for number in 0..history.operators {
        let crashes = history
            .crashes
            .iter()
            .map(|crash| crash.wrapping_add(number) % 24);
        let outcomes = Arc::clone(&outcomes);
        tasks.push(Box::pin(operate(
            number,
            store.clone(),
            crashes.collect(),
            outcomes,
        )));
    }
    tasks.push(Box::pin(watch(store.clone(), Arc::clone(&end))));
    run(tasks, &history.order, &end);
    check_end(&store, &outcomes.lock().unwrap());
    true
}

/// Checks that the stored configuration and audit trail match the outcomes that operators received,
/// and that no orphaned part is left after garbage collection.
fn check_end(store: &Memory, outcomes: &Outcomes) {
    store.plan([]);
    let repository = Repository::new(Arc::new(store.clone()));
    let bundle = block_on(repository.load()).unwrap();
    let document = bundle.document().unwrap();
    let names: BTreeSet<_> = document.data_centres.keys().cloned().collect();
    let applied: BTreeSet<_> = outcomes.applied.values().cloned().collect();
    assert_eq!(names, applied);
    assert_eq!(bundle.version().0, applied.len() as u64);
    assert!(outcomes.refused.is_disjoint(&names));
    block_on(repository.collect_garbage()).unwrap();
    let collected = block_on(repository.load()).unwrap();
    assert_eq!(collected.document().unwrap(), document);
    let stored = block_on(store.list(PART_PREFIX)).unwrap().len();
    let head = bundle.head();
    assert_eq!(stored, head.parts.len() + head.retired.len());
    let audit = block_on(repository.audit_trail()).unwrap();
    let entries = audit
        .iter()
        .filter(|entry| entry.outcome == Outcome::Applied);
    let entries: Vec<_> = entries
        .map(|entry| (entry.to, Arc::clone(&entry.patch)))
        .collect();
    let expected: Vec<_> = outcomes.applied.clone().into_iter().collect();
    assert_eq!(entries, expected);
}

#[test]
fn concurrent_patches_apply_at_most_once_and_create_one_version_each() {
    check::runner(48).quickcheck(run_history as fn(History) -> bool);
}

fn submit(repository: &Repository, patch: &Patch) -> Result<bool, ErrorKind> {
    let result = block_on(repository.submit(patch));
    result
        .map(|receipt| receipt.already_applied)
        .map_err(|error| error.kind())
}

#[test]
fn resubmission_after_many_other_patches_returns_the_earlier_receipt() {
    let store = Memory::default();
    let repository = Repository::new(Arc::new(store.clone()));
    let first = add_centre("first", Version(0), 1);
    assert_eq!(submit(&repository, &first), Ok(false));
    for number in 1..100 {
        let patch = add_centre(&format!("p{number}"), Version(number), 1);
        assert_eq!(submit(&repository, &patch), Ok(false));
    }
    let later = add_centre("first", Version(0), 2);
    assert_eq!(submit(&repository, &later), Ok(true));
    let mut other = first;
    other.reason = "another".into();
    assert_eq!(submit(&repository, &other), Err(ErrorKind::PatchRefused));
    let present = block_on(repository.load()).unwrap();
    assert_eq!(present.version(), Version(100));
    assert_eq!(block_on(repository.audit_trail()).unwrap().len(), 101);
}

#[test]
fn audit_trail_is_complete_when_submitters_die_after_the_swap() {
    let store = Memory::default();
    let repository = Repository::new(Arc::new(store.clone()));
    for number in 0..50 {
        let patch = add_centre(&format!("p{number}"), Version(number), 1);
        assert_eq!(submit(&repository, &patch), Ok(false));
        let key = format!("filbertbay/audit/applied/{:020}", number + 1);
        let own = block_on(store.read(&key)).unwrap().unwrap();
        assert!(block_on(store.compare_and_delete(&key, own.index)).unwrap());
    }
    let audit = block_on(repository.audit_trail()).unwrap();
    let versions = audit.iter().map(|entry| entry.to.0);
    assert!(versions.eq(1..=50));
}

#[test]
fn outage_leaves_the_outcome_unknown_only_after_a_swap_without_answer() {
    let store = Memory::open([Mishap::Refuse]);
    let repository = Repository::new(Arc::new(store.clone()));
    let patch = add_centre("caen", Version(0), 1);
    assert_eq!(submit(&repository, &patch), Err(ErrorKind::Unreachable));
    // The calls of a submission: read the head, write the part, swap the head, read the head.
    store.plan([
        Mishap::None,
        Mishap::None,
        Mishap::LoseAnswer,
        Mishap::Refuse,
    ]);
    assert_eq!(submit(&repository, &patch), Err(ErrorKind::OutcomeUnknown));
    assert_eq!(submit(&repository, &patch), Ok(true));
}

#[test]
fn retired_parts_are_deleted_only_after_their_retention() {
    let store = Memory::default();
    let repository = Repository::new(Arc::new(store.clone()));
    let stored = || {
        block_on(store.list("filbertbay/config/part/"))
            .unwrap()
            .len()
    };
    let late = RETENTION_MS + 2;
    for (number, at) in [(0, 1), (1, 2), (2, 3), (3, late)] {
        let patch = add_centre(&format!("c{number}"), Version(number), at);
        assert_eq!(submit(&repository, &patch), Ok(false));
    }
    // The first part was retired at 2 and the second at 3; only the first is past its retention of
    // an hour.
    assert_eq!(stored(), 3);
    assert_eq!(block_on(repository.load()).unwrap().version(), Version(4));
}

/// Corruption of valid bytes: some bytes overwritten, or all replaced.
#[derive(Clone, Debug)]
struct Corruption {
    any: Vec<u8>,
    edits: Vec<(usize, u8)>,
    replace: bool,
}

impl Arbitrary for Corruption {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            any: Vec::arbitrary(g),
            edits: Vec::arbitrary(g),
            replace: bool::arbitrary(g),
        }
    }
}

impl Corruption {
    fn apply(&self, valid: &[u8]) -> Vec<u8> {
        if self.replace {
            return self.any.clone();
        }
        let mut bytes = valid.to_vec();
        for (place, byte) in &self.edits {
            let place = place % bytes.len();
            bytes[place] = *byte;
        }
        bytes
    }
}

#[test]
fn corrupt_stored_bytes_load_as_a_whole_version_or_an_error() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck hands over values"
    )]
    fn property(corruption: Corruption, head: bool) -> bool {
        let store = Memory::default();
        let repository = Repository::new(Arc::new(store.clone()));
        submit(&repository, &add_centre("caen", Version(0), 1)).unwrap();
        let whole = block_on(repository.load()).unwrap();
        let prefix = if head {
            HEAD_KEY
        } else {
            "filbertbay/config/part/"
        };
        for entry in block_on(store.list(prefix)).unwrap() {
            store.put(&entry.key, corruption.apply(&entry.value));
        }
        let loaded = block_on(repository.load());
        let refused = block_on(repository.submit(&add_centre("nantes", Version(1), 1)));
        match loaded {
            Ok(bundle) if head => bundle.document().is_ok(),
            Ok(bundle) => bundle.document().unwrap() == whole.document().unwrap(),
            Err(error) => {
                assert!(refused.is_err());
                let kinds = [ErrorKind::Malformed, ErrorKind::Incomplete];
                kinds.contains(&error.kind()) && !error.to_string().is_empty()
            }
        }
    }
    check::runner(24).quickcheck(property as fn(Corruption, bool) -> bool);
}

#[test]
fn watcher_ignores_an_older_head() {
    let store = Memory::default();
    let repository = Repository::new(Arc::new(store.clone()));
    submit(&repository, &add_centre("caen", Version(0), 1)).unwrap();
    let old = block_on(store.read(HEAD_KEY)).unwrap().unwrap();
    let older = block_on(repository.load()).unwrap();
    submit(&repository, &add_centre("nantes", Version(1), 1)).unwrap();
    let mut watcher = repository.watch(Bundle::default());
    let newest = block_on(watcher.next(Duration::ZERO)).unwrap().unwrap();
    assert_eq!(newest.version(), Version(2));
    assert!(!watcher.update_if_newer(older));
    store.put(HEAD_KEY, old.value);
    assert!(block_on(watcher.next(Duration::ZERO)).unwrap().is_none());
    assert_eq!(watcher.current().version(), Version(2));
}

#[test]
fn audit_trail_is_bounded() {
    let store = Memory::default();
    let repository = Repository::new(Arc::new(store.clone()));
    // Old entries are deleted for the first time at the next version.
    let present = Version(8_255);
    let head = Head {
        version: present,
        ..Head::default()
    };
    store.put(HEAD_KEY, serde_json::to_vec(&head).unwrap());
    let refusal = patch::Error::reused(present);
    let entry = add_centre("old", Version(0), 1).refused_entry(&refusal);
    for version in 1..=present.0 {
        let entry = Entry {
            to: Version(version),
            outcome: Outcome::Applied,
            ..entry.clone()
        };
        let key = format!("filbertbay/audit/applied/{version:020}");
        store.put(&key, serde_json::to_vec(&entry).unwrap());
    }
    assert_eq!(
        submit(&repository, &add_centre("new", present, 1)),
        Ok(false)
    );
    for _ in 0..300 {
        let refused = submit(&repository, &add_centre("late", present, 1));
        assert_eq!(refused, Err(ErrorKind::PatchRefused));
    }
    let audit = block_on(repository.audit_trail()).unwrap();
    let applied = audit
        .iter()
        .filter(|entry| entry.outcome == Outcome::Applied);
    let versions: Vec<_> = applied.map(|entry| entry.to.0).collect();
    assert_eq!(versions, (64..=8_256).collect::<Vec<_>>());
    assert_eq!(audit.len() - versions.len(), 256);
}

/// Submits `loser` up to the swap of the head, submits `winner`, and then finishes `loser`.
fn submit_conflicting(
    repository: &Repository,
    loser: &Patch,
    winner: &Patch,
) -> Result<bool, ErrorKind> {
    let waker = noop_waker();
    let mut context = Context::from_waker(&waker);
    let mut first = Box::pin(repository.submit(loser));
    // The calls before the swap read the head and write the part.
    for _ in 0..3 {
        assert!(first.as_mut().poll(&mut context).is_pending());
    }
    assert_eq!(submit(repository, winner), Ok(false));
    let result = block_on(first);
    result
        .map(|receipt| receipt.already_applied)
        .map_err(|error| error.kind())
}

#[test]
fn garbage_collection_keeps_the_parts_of_a_patch_in_flight() {
    let store = Memory::default();
    let repository = Repository::new(Arc::new(store));
    let waker = noop_waker();
    let mut context = Context::from_waker(&waker);
    let patch = add_centre("caen", Version(0), 1);
    let mut submission = Box::pin(repository.submit(&patch));
    for _ in 0..3 {
        assert!(submission.as_mut().poll(&mut context).is_pending());
    }
    assert_eq!(block_on(repository.collect_garbage()).unwrap(), 0);
    assert!(block_on(submission).is_ok());
    assert_eq!(block_on(repository.load()).unwrap().version(), Version(1));
}

#[test]
fn conflicting_submission_leaves_no_orphan_and_deletes_no_part_in_use() {
    let store = Memory::default();
    let repository = Repository::new(Arc::new(store.clone()));
    let winner = add_centre("caen", Version(0), 1);
    let loser = add_centre("nantes", Version(0), 1);
    assert_eq!(
        submit_conflicting(&repository, &loser, &winner),
        Err(ErrorKind::PatchRefused)
    );
    assert_eq!(
        block_on(store.list("filbertbay/config/part/"))
            .unwrap()
            .len(),
        1
    );

    // Both patches write the same part, since only their reasons differ.
    let store = Memory::default();
    let repository = Repository::new(Arc::new(store));
    let mut twin = winner.clone();
    twin.reason = "another".into();
    assert_eq!(
        submit_conflicting(&repository, &twin, &winner),
        Err(ErrorKind::PatchRefused)
    );
    assert_eq!(block_on(repository.load()).unwrap().version(), Version(1));
}
