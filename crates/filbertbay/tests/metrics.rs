//! Tests that the operators' pages document exactly the metrics that the source exports.
//!
//! They guard against a metric that is added, renamed or removed without its page.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Packages whose code runs in the daemon.
const PACKAGES: [&str; 5] = [
    "state",
    "coordination",
    "protocol",
    "transport",
    "filbertbay",
];

fn source_files(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).expect("a folder");
    let paths = entries.map(|entry| entry.expect("an entry").path());
    paths
        .flat_map(|path| {
            if path.is_dir() {
                source_files(&path)
            } else {
                vec![path]
            }
        })
        .collect()
}

/// Returns the metric names that stand in a text between a pair of the given quote character.
fn metric_names(text: &str, quote: char) -> BTreeSet<String> {
    let start = format!("{quote}filbertbay_");
    let pieces = text.split(&start).skip(1);
    let names = pieces.filter_map(|piece| {
        let name: String = piece
            .chars()
            .take_while(|c| c.is_ascii_lowercase() || *c == '_')
            .collect();
        piece[name.len()..].starts_with(quote).then_some(name)
    });
    names.collect()
}

#[test]
fn the_reference_documents_every_metric() {
    assert_page_matches(&PACKAGES, "docs/operators/metrics.md");
}

#[test]
fn the_operations_page_documents_every_metric_of_entry_instances() {
    assert_page_matches(&["entry"], "docs/OPERATIONS.md");
}

fn assert_page_matches(packages: &[&str], page: &str) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut exported = BTreeSet::new();
    for package in packages {
        for path in source_files(&root.join("crates").join(package).join("src")) {
            exported.extend(metric_names(&fs::read_to_string(path).expect("text"), '"'));
        }
    }
    let page = fs::read_to_string(root.join(page)).expect("the page");
    assert!(!exported.is_empty());
    assert_eq!(exported, metric_names(&page, '`'));
}
