//! Property tests of patches, documents and snapshots with generated input.
//!
//! Every patch results in a valid document or in an error, and neither errors nor audit entries
//! reveal a caller key, wherever in a patch or document an operator has put one.

#![expect(
    clippy::needless_pass_by_value,
    reason = "quickcheck hands over values"
)]

use filbertbay_state::audit::Outcome;
use filbertbay_state::check as checks;
use filbertbay_state::document::{Document, Key, KeyState};
use filbertbay_state::key::{self, Digest};
use filbertbay_state::patch::{Change, ErrorKind, Patch};
use filbertbay_state::snapshot::Snapshot;
use filbertbay_state::version::Version;
use quickcheck::{Arbitrary, Gen};
use serde_json::{Value, json};

/// Generated key in clear text, recognisable by its prefix.
const EXPOSED: &str = "fbk_MDEyMzQ1Njc4OWFiY2RlZg";

/// Key of another origin, which can't be recognised by its form; it contains a quotation mark.
const FOREIGN: &str = "a\"correct horse";

/// Field and item names from which values that resemble a document are generated.
const NAMES: [&str; 24] = [
    "data_centres",
    "groups",
    "routes",
    "workspaces",
    "caen",
    "orders",
    "shop",
    "region",
    "members",
    "m1",
    "group",
    "rate",
    "per_second",
    "burst",
    "keys",
    "k1",
    "digest",
    "state",
    "note",
    "weight",
    "availability",
    "address",
    "other",
    EXPOSED,
];

/// Generated JSON value that resembles a part of a document.
#[derive(Clone, Debug)]
struct Tree(Value);

impl Arbitrary for Tree {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(tree(g, 5))
    }
}

fn tree(g: &mut Gen, depth: usize) -> Value {
    if depth == 0 || u8::arbitrary(g) < 60 {
        return leaf(g);
    }
    let fields = 1 + usize::arbitrary(g) % 3;
    let names: Vec<_> = (0..fields).map(|_| *g.choose(&NAMES).unwrap()).collect();
    let field = |name: &str, g: &mut Gen| (name.to_owned(), tree(g, depth - 1));
    Value::Object(names.into_iter().map(|name| field(name, g)).collect())
}

fn leaf(g: &mut Gen) -> Value {
    let leaves = [
        Value::Null,
        json!(EXPOSED),
        json!(FOREIGN),
        json!(format!("see {EXPOSED}.")),
        json!(["orders", EXPOSED]),
        json!("out"),
        json!("caen"),
        json!(u32::arbitrary(g)),
        json!(-1),
        json!(true),
        json!(String::arbitrary(g)),
    ];
    g.choose(&leaves).unwrap().clone()
}

/// Document with one item in each section.
fn document() -> Document {
    let digest = Digest::of("secret").to_string();
    let value = json!({
        "data_centres": {"caen": {"region": "normandie"}},
        "groups": {"orders": {"members": {"m1": {
            "data_centre": "caen", "address": "10.0.0.1:5432", "connections": 16, "slots": 2}}}},
        "routes": {"orders": {"group": "orders"}},
        "workspaces": {"shop": {"rate": {"per_second": 5, "burst": 5}, "routes": ["orders"],
            "keys": {"k1": {"digest": digest}}}},
    });
    serde_json::from_value(value).unwrap()
}

fn patch(against: u64, change: Change) -> Patch {
    Patch {
        id: "p".into(),
        against: Version(against),
        author: "yann".into(),
        reason: "test".into(),
        at: 1,
        change,
    }
}

#[test]
fn merge_patch_results_in_a_valid_document_or_an_error_without_keys() {
    fn property(tree: Tree) -> bool {
        let before = document();
        let patch = patch(3, Change::Merge(tree.0));
        let entry = match patch.apply(Version(3), &before) {
            Ok(applied) => {
                assert!(checks::check(&applied.document).is_empty());
                Snapshot::compile(Version(4), &applied.document).unwrap();
                assert_eq!(
                    (applied.entry.from, applied.entry.to),
                    (Version(3), Version(4))
                );
                applied.entry
            }
            Err(error) => {
                assert_eq!(error.current_version(), Version(3));
                let entry = patch.refused_entry(&error);
                let text = format!("{error} {}", serde_json::to_string(&entry).unwrap());
                assert!(
                    !key::contains_secret(&text) && !text.contains("correct"),
                    "{text}"
                );
                entry
            }
        };
        !key::contains_secret(&serde_json::to_string(&entry).unwrap())
    }
    check::runner(16).quickcheck(property as fn(Tree) -> bool);
}

/// Applies a change to the complete document as JSON, without the optimisation by scope.
fn apply_to_whole_document(change: &Change) -> Option<Document> {
    let mut value = serde_json::to_value(document()).unwrap();
    match change {
        Change::Merge(merge) => json_patch::merge(&mut value, merge),
        Change::Operations(operations) => json_patch::patch(&mut value, operations).ok()?,
    }
    let document: Document = serde_json::from_value(value).ok()?;
    checks::check(&document).is_empty().then_some(document)
}

/// Returns changes of which most apply to the document, within and across items and sections.
fn plausible_changes(choices: &[u8]) -> Vec<Change> {
    let data_centre = json!({"region": "pays-loire"});
    let operations = [
        json!({"op": "add", "path": "/data_centres/nantes", "value": data_centre}),
        json!({"op": "copy", "from": "/data_centres/caen", "path": "/data_centres/nantes"}),
        json!({"op": "move", "from": "/data_centres/nantes", "path": "/data_centres/brest"}),
        json!({"op": "copy", "from": "/routes/orders", "path": "/routes/stock"}),
        json!({"op": "move", "from": "/workspaces/shop", "path": "/workspaces/till"}),
        json!({"op": "replace", "path": "/workspaces/shop/weight", "value": 3}),
        json!({"op": "remove", "path": "/workspaces/shop/keys/k1"}),
        json!({"op": "add", "path": "/workspaces/shop/routes/-", "value": "stock"}),
        json!({"op": "remove", "path": "/workspaces/shop"}),
        json!({"op": "test", "path": "/data_centres/caen/region", "value": "normandie"}),
        json!({"op": "replace", "path": "/workspaces", "value": {}}),
    ];
    let merges = [
        json!({"workspaces": {"shop": null}}),
        json!({"workspaces": null}),
        json!({"data_centres": {"nantes": data_centre}, "workspaces": {"shop": {"weight": 2}}}),
        json!({"groups": {"orders": {"preferred_primary": "m1"}}}),
    ];
    let chosen = choices
        .iter()
        .map(|choice| &operations[usize::from(*choice) % operations.len()]);
    let chosen = Value::Array(chosen.cloned().collect());
    let operations = Change::Operations(serde_json::from_value(chosen).unwrap());
    let merge = &merges[choices.len() % merges.len()];
    vec![operations, Change::Merge(merge.clone())]
}

/// A patch is applied only to the items in its scope; a scope that is too small would lose a change
/// or accept a patch that does not apply to the complete document.
#[test]
fn scoped_patch_results_in_the_same_document_as_an_unscoped_change() {
    fn property(tree: Tree, choices: Vec<u8>) -> bool {
        let mut changes = plausible_changes(&choices);
        changes.push(Change::Merge(tree.0));
        changes.into_iter().all(|change| {
            let expected = apply_to_whole_document(&change);
            let applied = patch(3, change).apply(Version(3), &document());
            applied.ok().map(|applied| applied.document) == expected
        })
    }
    check::runner(6).quickcheck(property as fn(Tree, Vec<u8>) -> bool);
}

fn random_operations(steps: &[(u8, u8, u8, Tree)]) -> Option<Change> {
    let operations = steps.iter().map(|(kind, first, second, tree)| {
        let kinds = ["add", "remove", "replace", "test", "move", "copy"];
        let name = |index: &u8| NAMES[usize::from(*index) % NAMES.len()];
        let path = format!("/{}/{}", name(first), name(second));
        let op = kinds[usize::from(*kind) % kinds.len()];
        json!({"op": op, "path": path, "from": format!("/{}", name(first)), "value": tree.0})
    });
    let value = Value::Array(operations.collect());
    serde_json::from_value(value).ok().map(Change::Operations)
}

#[test]
fn patch_operations_result_in_a_document_or_an_error_without_keys() {
    fn property(steps: Vec<(u8, u8, u8, Tree)>) -> bool {
        let Some(change) = random_operations(&steps) else {
            return true;
        };
        let patch = patch(3, change);
        let entry = match patch.apply(Version(3), &document()) {
            Ok(applied) => applied.entry,
            Err(error) => {
                assert!(!key::contains_secret(&error.to_string()), "{error}");
                patch.refused_entry(&error)
            }
        };
        !key::contains_secret(&serde_json::to_string(&entry).unwrap())
    }
    check::runner(6).quickcheck(property as fn(Vec<(u8, u8, u8, Tree)>) -> bool);
}

#[test]
fn patch_applies_only_to_the_version_that_it_names() {
    fn property(against: u64, present: u64) -> bool {
        let merge = json!({"data_centres": {"nantes": {"region": "pays-loire"}}});
        let patch = patch(against, Change::Merge(merge));
        match patch.apply(Version(present), &document()) {
            Ok(applied) => against == present && applied.document.data_centres.len() == 2,
            Err(error) => {
                let entry = patch.refused_entry(&error);
                assert_eq!(
                    (entry.outcome, entry.to),
                    (Outcome::Refused, Version(present))
                );
                against != present && error.kind() == ErrorKind::Stale
            }
        }
    }
    // Generated versions are rarely equal, so equal and adjacent versions are tested explicitly.
    let near = |against: u8, present: u8| property(u64::from(against % 3), u64::from(present % 3));
    assert!(near(1, 1) && near(1, 2) && near(2, 1));
    check::runner(16).quickcheck(property as fn(u64, u64) -> bool);
}

#[test]
fn arbitrary_bytes_parse_as_a_document_or_return_an_error() {
    fn property(bytes: Vec<u8>, edits: Vec<(usize, u8)>) -> bool {
        let mut text = serde_json::to_vec(&document()).unwrap();
        for (offset, byte) in edits {
            let offset = offset % text.len();
            text[offset] = byte;
        }
        [bytes, text]
            .iter()
            .all(|bytes| match serde_json::from_slice::<Document>(bytes) {
                Ok(document) => {
                    let is_valid = checks::check(&document).is_empty();
                    Snapshot::compile(Version(1), &document).is_ok() == is_valid
                }
                Err(error) => !error.to_string().is_empty(),
            })
    }
    check::runner(8).quickcheck(property as fn(Vec<u8>, Vec<(usize, u8)>) -> bool);
}

/// The messages of the JSON parser quote the rejected value, which might be a key. Errors must keep
/// the expected value and drop the rejected one, also if that contains quotes or `, expected `.
#[test]
fn error_contains_the_expected_value_and_not_the_rejected_one() {
    let secrets = [
        "correct horse",
        "a\"correct",
        "a`correct",
        "a`, expected correct",
    ];
    let merges = [
        (
            json!({"data_centres": {"caen": {"availability": null}}}),
            "`in` or `out`",
        ),
        (json!({"workspaces": {"shop": {"weight": null}}}), "u32"),
        (
            json!({"workspaces": {"shop": {"routes": null}}}),
            "a sequence",
        ),
    ];
    for secret in secrets {
        for (merge, expected) in &merges {
            let text = merge
                .to_string()
                .replace("null", &json!(secret).to_string());
            let merge = serde_json::from_str(&text).unwrap();
            let error = patch(3, Change::Merge(merge)).apply(Version(3), &document());
            let message = error.unwrap_err().to_string();
            assert!(message.contains(expected), "{message}");
            assert!(!message.contains("correct"), "{message}");
        }
    }
}

#[test]
fn key_in_clear_text_is_a_problem_without_the_key() {
    let mut key_as_id = document();
    let key = key_as_id.workspaces["shop"].keys["k1"].clone();
    let keys = &mut key_as_id.workspaces.get_mut("shop").unwrap().keys;
    keys.clear();
    keys.insert(EXPOSED.into(), key);
    let mut key_in_note = document();
    let keys = &mut key_in_note.workspaces.get_mut("shop").unwrap().keys;
    keys.get_mut("k1").unwrap().note = Some(EXPOSED.into());
    for document in [key_as_id, key_in_note] {
        let problems = checks::check(&document);
        assert_eq!(problems.len(), 1);
        assert!(!key::contains_secret(&problems[0].to_string()));
    }
}

#[test]
fn find_key_returns_only_granted_keys_of_the_same_workspace() {
    fn property(keys: Vec<(u8, bool)>, presented: u8) -> bool {
        let mut document = document();
        let other = document.workspaces["shop"].clone();
        let shop = document.workspaces.get_mut("shop").unwrap();
        shop.keys.clear();
        for (secret, granted) in &keys {
            let key = Key {
                digest: Digest::of(&secret.to_string()).to_string().into(),
                state: if *granted {
                    KeyState::Granted
                } else {
                    KeyState::Withdrawn
                },
                note: None,
            };
            shop.keys.insert(format!("k{secret}").into(), key);
        }
        let expected = shop.keys.get(format!("k{presented}").as_str());
        let expected = expected.is_some_and(|key| key.state == KeyState::Granted);
        document.workspaces.insert("other".into(), other);
        let snapshot = Snapshot::compile(Version(1), &document).unwrap();
        let shop = snapshot.workspace("shop").unwrap();
        let found = snapshot.find_key(shop, &presented.to_string());
        assert_eq!(snapshot.find_key(shop, "secret"), None);
        let id = format!("k{presented}");
        assert_eq!(snapshot.is_granted(shop, &id), expected);
        found.as_deref() == Some(id.as_str()).filter(|_| expected)
    }
    check::runner(200).quickcheck(property as fn(Vec<(u8, bool)>, u8) -> bool);
}

#[test]
fn workspace_is_allowed_exactly_the_routes_that_it_lists() {
    fn property(listed: Vec<u8>) -> bool {
        let mut document = document();
        let route = document.routes["orders"].clone();
        for number in 0..=u8::MAX {
            document
                .routes
                .insert(format!("r{number}").into(), route.clone());
        }
        let mut unique = Vec::new();
        for number in listed {
            let name = std::sync::Arc::from(format!("r{number}"));
            if !unique.contains(&name) {
                unique.push(name);
            }
        }
        document.workspaces.get_mut("shop").unwrap().routes = unique.clone();
        let snapshot = Snapshot::compile(Version(1), &document).unwrap();
        let shop = snapshot.workspace("shop").unwrap();
        document.routes.keys().all(|name| {
            let route = snapshot.route(name).unwrap();
            snapshot.allows(shop, route) == unique.contains(name)
        })
    }
    check::runner(40).quickcheck(property as fn(Vec<u8>) -> bool);
}
