//! Tests that an incrementally compiled snapshot equals the snapshot compiled from all parts.

use std::sync::Arc;

use filbertbay_protocol::repository::Repository;
use filbertbay_state::bundle::{Bundle, ErrorKind};
use filbertbay_state::document::Document;
use filbertbay_state::head::{Head, Reference};
use filbertbay_state::part::{self, Part};
use filbertbay_state::patch::{Change, Patch};
use filbertbay_state::snapshot::Snapshot;
use filbertbay_state::version::Version;
use futures::executor::block_on;
use quickcheck::{Arbitrary, Gen};
use serde_json::{Value, json};
use standin::memory::Memory;

/// Number of workspace names that histories use.
const NAMES: u8 = 12;

/// Change of a history, with whether a snapshot is compiled of the version before.
#[derive(Clone, Debug)]
struct Step {
    kind: u8,
    name: u8,
    value: u8,
    compiles: bool,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            kind: u8::arbitrary(g) % 8,
            name: u8::arbitrary(g) % NAMES,
            value: 1 + u8::arbitrary(g) % NAMES,
            compiles: bool::arbitrary(g),
        }
    }
}

impl Step {
    fn merge(&self) -> Value {
        let name = format!("item-{}", self.name);
        let route = format!("route-{}", self.value % 4);
        let digest = part::digest(&[self.value]);
        match self.kind {
            0 => json!({"workspaces": {name: null}}),
            1 => json!({"workspaces": {name: {"keys": {"k": {"digest": digest}}}}}),
            2 => json!({"workspaces": {name: {"keys": {"k": {"state": "withdrawn"}}}}}),
            3 => json!({"workspaces": {name: {"routes": [route]}}}),
            4 => json!({"routes": {route: {"group": "g", "queue_ms": self.value}}}),
            5 => json!({"routes": {route: null}}),
            _ => {
                let rate = json!({"per_second": self.value, "burst": self.value});
                json!({"workspaces": {name: {"rate": rate}}})
            }
        }
    }
}

fn patch(against: Version, merge: Value) -> Patch {
    Patch {
        id: format!("p{against}").into(),
        against,
        author: "a".into(),
        reason: "r".into(),
        at: 1,
        change: Change::Merge(merge),
    }
}

fn base() -> Value {
    let member = json!({
        "data_centre": "caen", "address": "10.0.0.1:5432", "connections": 4, "slots": 2
    });
    json!({
        "data_centres": {"caen": {"region": "normandie"}},
        "groups": {"g": {"members": {"m": member}}},
        "routes": {"route-0": {"group": "g"}, "route-1": {"group": "g"}},
    })
}

/// Checks that a version contains the document, in exactly the parts that the document needs.
fn check_stored(bundle: &Bundle, model: &Document) {
    assert_eq!(bundle.document().unwrap(), *model);
    let needed = part::split(model);
    let parts = bundle.head().parts.iter().map(|part| &part.name);
    assert!(parts.eq(needed.keys()));
}

#[test]
fn incremental_snapshot_equals_the_whole_one() {
    fn property(steps: Vec<Step>) -> bool {
        let repository = Repository::new(Arc::new(Memory::default()));
        block_on(repository.submit(&patch(Version(0), base()))).unwrap();
        let mut model: Document = serde_json::from_value(base()).unwrap();
        let mut current = (Bundle::default(), Snapshot::empty());
        for step in steps {
            let bundle = block_on(repository.load_incremental(&current.0)).unwrap();
            if step.compiles {
                let after = bundle.snapshot_incremental(&current.0, &current.1).unwrap();
                let whole = bundle.snapshot().unwrap();
                assert_eq!(format!("{after:?}"), format!("{whole:?}"));
                check_stored(&bundle, &model);
                current = (bundle.clone(), after);
            }
            // A refused patch leaves the model unchanged.
            let patch = patch(bundle.version(), step.merge());
            if block_on(repository.submit(&patch)).is_ok() {
                model = patch.apply(bundle.version(), &model).unwrap().document;
            }
        }
        true
    }
    check::runner(60).quickcheck(property as fn(Vec<Step>) -> bool);
}

/// Returns a version whose head references parts with the given workspaces.
fn bundle(version: u64, parts: &[(&str, &[&str])]) -> Bundle {
    let mut stored = std::collections::BTreeMap::new();
    let mut references = Vec::new();
    for (name, workspaces) in parts {
        let rate = json!({"rate": {"per_second": 1, "burst": 1}});
        let items = workspaces
            .iter()
            .map(|name| ((*name).to_owned(), rate.clone()));
        let content = json!({"workspaces": Value::Object(items.collect())});
        let part = Part {
            name: (*name).into(),
            since: Version(1),
            patch: "p".into(),
            content: serde_json::from_value(content).unwrap(),
        };
        let bytes = serde_json::to_vec(&part).unwrap();
        let digest = part::digest(&bytes);
        stored.insert(Arc::clone(&digest), Arc::from(bytes));
        references.push(Reference {
            name: (*name).into(),
            digest,
        });
    }
    let head = Head {
        version: Version(version),
        parts: references,
        ..Head::default()
    };
    let head = serde_json::to_vec(&head).unwrap();
    Bundle::assemble(&head, |digest| stored.get(digest).cloned()).unwrap()
}

#[test]
fn workspace_in_two_parts_is_an_error_in_whole_and_incremental_snapshots() {
    let earlier = bundle(1, &[("workspaces/0", &["a"])]);
    let compiled = earlier.snapshot().unwrap();
    let twice = bundle(
        2,
        &[("workspaces/0", &["a", "b"]), ("workspaces/1", &["b"])],
    );
    let kept = bundle(1, &[("workspaces/0", &["a"]), ("workspaces/1", &["b"])]);
    let kept_twice = bundle(
        2,
        &[("workspaces/0", &["a"]), ("workspaces/2", &["b", "a"])],
    );
    assert_eq!(twice.snapshot().unwrap_err().kind(), ErrorKind::Malformed);
    let after = twice.snapshot_incremental(&earlier, &compiled);
    assert_eq!(after.unwrap_err().kind(), ErrorKind::Malformed);
    let after = kept_twice.snapshot_incremental(&kept, &kept.snapshot().unwrap());
    assert_eq!(after.unwrap_err().kind(), ErrorKind::Malformed);
}
