//! The platform's names are known to `platform/` alone, and nothing there decides.

use std::fs;
use std::path::{Path, PathBuf};

/// Names of the platform's calls, headers, keys and messages.
const NAMES: [&str; 16] = [
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
];

/// Words of what decides: deciders, timers, retries, random choices.
const DECISIONS: [&str; 6] = [
    "filbertbay_coordination",
    "tokio::time",
    "tokio::spawn",
    "spawn_local",
    "rand::",
    "select!",
];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn sources(folder: &Path) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            found.extend(sources(&path));
        } else if path.extension().is_some_and(|one| one == "rs") {
            found.push(path);
        }
    }
    found
}

fn assert_none(files: &[PathBuf], words: &[&str]) {
    assert!(!files.is_empty());
    for file in files {
        let text = fs::read_to_string(file).unwrap();
        for word in words {
            assert!(!text.contains(word), "{} holds {word:?}", file.display());
        }
    }
}

#[test]
fn no_package_of_the_product_knows_a_name_of_the_platform() {
    for package in fs::read_dir(root().join("crates")).unwrap() {
        let folder = package.unwrap().path().join("src");
        assert_none(&sources(&folder), &NAMES);
    }
}

#[test]
fn the_adapter_decides_nothing() {
    assert_none(&sources(&root().join("platform/src")), &DECISIONS);
}
