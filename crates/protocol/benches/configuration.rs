//! Measures the size and latency of the stored configuration, from a small size to the design size.
//!
//! Prints one JSON object for each size. Run with
//! `cargo bench -p filbertbay-protocol --bench configuration`.

use std::sync::Arc;
use std::time::Instant;

use filbertbay_protocol::platform::Store;
use filbertbay_protocol::repository::{HEAD_KEY, PART_PREFIX, Repository};
use filbertbay_state::bundle::Bundle;
use filbertbay_state::key::Digest;
use filbertbay_state::patch::{Change, Patch};
use filbertbay_state::version::Version;
use futures::executor::block_on;
use serde_json::{Map, Value, json};
use standin::memory::Memory;

/// Number of databases and of workspaces of each run; the last is the design size.
const SIZES: [(u32, u32); 5] = [
    (3, 8),
    (175, 5_000),
    (350, 10_000),
    (700, 20_000),
    (1_400, 40_000),
];

/// Number of data centres, as at the design size.
const DATA_CENTRES: u32 = 6;

/// Number of members of each group.
const MEMBERS_PER_GROUP: u32 = 3;

/// Number of routes, and of keys, of each workspace.
const ROUTES_PER_WORKSPACE: u32 = 2;

/// Number of incremental compilations, of which the median is reported; the first is slower because
/// earlier steps have freed memory.
const ROUNDS: usize = 5;

fn main() {
    for (databases, workspaces) in SIZES {
        println!("{}", block_on(measure(databases, workspaces)));
    }
}

async fn measure(databases: u32, workspaces: u32) -> Value {
    let store = Memory::default();
    let repository = Repository::new(Arc::new(store.clone()));
    let first = patch(0, document(databases, workspaces));
    let receipt = repository.submit(&first).await.expect("applies");
    let earlier = repository.load().await.expect("stored");
    let compiled = earlier.snapshot().expect("sound");
    let calls = store.calls();
    let rate = json!({"workspaces": {"workspace-1": {"rate": {"burst": 77}}}});
    let started = Instant::now();
    let change = repository.submit(&patch(1, rate)).await.expect("applies");
    let patch_ms = milliseconds(started);
    let patch_calls = store.calls() - calls;

    let started = Instant::now();
    let bundle = repository.load().await.expect("stored");
    let load_ms = milliseconds(started);
    let started = Instant::now();
    let again = repository.load_incremental(&earlier).await.expect("stored");
    let load_incremental_ms = milliseconds(started);
    let started = Instant::now();
    let snapshot = bundle.snapshot().expect("sound");
    let compile_ms = milliseconds(started);
    let mut incremental_ms = Vec::new();
    for _ in 0..ROUNDS {
        let started = Instant::now();
        let after = bundle
            .snapshot_incremental(&earlier, &compiled)
            .expect("sound");
        incremental_ms.push(milliseconds(started));
        assert_eq!(after.version(), snapshot.version());
    }
    incremental_ms.sort_by(f64::total_cmp);
    assert_eq!(
        (again.version(), snapshot.version()),
        (Version(2), Version(2))
    );

    let sizes = part_sizes(&store, &bundle).await;
    json!({
        "databases": databases,
        "workspaces": workspaces,
        "parts": sizes.len(),
        "head_bytes": bundle.head_bytes().len(),
        "all_parts_bytes": sizes.iter().sum::<usize>(),
        "largest_part_bytes": sizes.iter().max(),
        "first_patch_parts": receipt.written_parts,
        "one_patch_parts": change.written_parts,
        "one_patch_calls": patch_calls,
        "one_patch_ms": patch_ms,
        "load_ms": load_ms,
        "compile_ms": compile_ms,
        "load_after_ms": load_incremental_ms,
        "compile_after_ms": incremental_ms[ROUNDS / 2],
        "snapshot_bytes": snapshot.size_bytes(),
    })
}

async fn part_sizes(store: &Memory, bundle: &Bundle) -> Vec<usize> {
    let entries = store.list(PART_PREFIX).await.expect("stored");
    assert!(store.read(HEAD_KEY).await.expect("stored").is_some());
    let parts = entries.iter().filter(|entry| {
        let digest = entry.key.trim_start_matches(PART_PREFIX);
        bundle.part(digest).is_some()
    });
    parts.map(|entry| entry.value.len()).collect()
}

fn patch(against: u64, merge: Value) -> Patch {
    Patch {
        id: format!("patch-{against}").into(),
        against: Version(against),
        author: "bench".into(),
        reason: "bench".into(),
        at: 1_765_000_000_000,
        change: Change::Merge(merge),
    }
}

fn document(databases: u32, workspaces: u32) -> Value {
    json!({
        "data_centres": items(DATA_CENTRES, "centre", |_| json!({"region": "region-1"})),
        "groups": items(databases, "database", |number| json!({"members": members(number)})),
        "routes": items(databases, "database", |number| json!({"group": name("database", number)})),
        "workspaces": items(workspaces, "workspace", |number| workspace(number, databases)),
    })
}

fn members(group: u32) -> Value {
    items(MEMBERS_PER_GROUP, "member", |number| {
        let index = group * MEMBERS_PER_GROUP + number;
        let address = format!("10.{}.{}.1:5432", index / 256, index % 256);
        let centre = name("centre", number);
        json!({"data_centre": centre, "address": address, "connections": 16, "slots": 2})
    })
}

fn workspace(number: u32, databases: u32) -> Value {
    let routes =
        (0..ROUTES_PER_WORKSPACE).map(|step| name("database", (number + step) % databases));
    let keys = items(
        ROUTES_PER_WORKSPACE,
        "key",
        |key| json!({"digest": Digest::of(&format!("{number}-{key}")).to_string()}),
    );
    json!({
        "rate": {"per_second": 50, "burst": 20},
        "routes": routes.collect::<Vec<_>>(),
        "keys": keys,
    })
}

fn items<F>(count: u32, kind: &str, item: F) -> Value
where
    F: Fn(u32) -> Value,
{
    let items = (0..count).map(|number| (name(kind, number), item(number)));
    Value::Object(items.collect::<Map<_, _>>())
}

fn name(kind: &str, number: u32) -> String {
    format!("{kind}-{number}")
}

fn milliseconds(started: Instant) -> f64 {
    (started.elapsed().as_secs_f64() * 10_000.0).round() / 10.0
}
