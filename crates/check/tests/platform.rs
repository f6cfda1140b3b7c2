//! Checks that names of the platform appear only in `platform/`, and that its code is a plain
//! adapter: it uses no decision state machine, timer, task or random number.
//!
//! The checks search the sources as text, so they apply to comments as well.

use std::fs;
use std::path::{Path, PathBuf};

/// Names of the platform's calls, headers, keys and messages.
const PLATFORM_NAMES: [&str; 17] = [
    "/-/kv-",
    "kv-txn",
    "kv-watch",
    "kv-lease",
    "op/config",
    "op/evacuate",
    "Filbertbay-Lease",
    "Filbertbay-Fencing",
    "db_role",
    "api_keys",
    "max_staleness_ms",
    "precondition",
    "WRONGNODE",
    "NOSTMT",
    "INDOUBT",
    "MALFORMED",
    "window_id",
];

/// Code of decisions: state machines, timers, retries and random choices.
const DECISION_CODE: [&str; 6] = [
    "filbertbay_coordination",
    "tokio::time",
    "tokio::spawn",
    "spawn_local",
    "rand::",
    "select!",
];

fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns all Rust files in `folder` and the folders below it.
fn rust_files(folder: &Path) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            found.extend(rust_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
    found
}

fn assert_absent(files: &[PathBuf], words: &[&str]) {
    assert!(!files.is_empty());
    for file in files {
        let text = fs::read_to_string(file).unwrap();
        for word in words {
            assert!(!text.contains(word), "{} contains {word:?}", file.display());
        }
    }
}

#[test]
fn product_packages_contain_no_platform_names() {
    for package in fs::read_dir(workspace_root().join("crates")).unwrap() {
        let folder = package.unwrap().path().join("src");
        assert_absent(&rust_files(&folder), &PLATFORM_NAMES);
    }
}

#[test]
fn platform_adapter_contains_no_decision_code() {
    assert_absent(
        &rust_files(&workspace_root().join("platform/src")),
        &DECISION_CODE,
    );
}
