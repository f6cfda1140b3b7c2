//! The direction of the layers: a package imports only those beneath it.

use std::fs;
use std::path::Path;

/// Packages of the product from the lowest layer to the highest.
const LAYERS: [&str; 6] = [
    "filbertbay-state",
    "filbertbay-coordination",
    "filbertbay-protocol",
    "filbertbay-transport",
    "filbertbay-entry",
    "filbertbay",
];

/// Libraries that perform I/O or read a clock, which the two lowest layers must not import.
const EFFECTS: [&str; 6] = ["tokio", "reqwest", "pgwire", "tarpc", "xtra", "axum"];

fn dependencies(folder: &str) -> Vec<String> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("..")
        .join(folder)
        .join("Cargo.toml");
    let text = fs::read_to_string(path).unwrap();
    let section = text.split("[dependencies]").nth(1).unwrap();
    let section = section.split("\n[").next().unwrap();
    section
        .lines()
        .filter_map(|line| line.split(['.', ' ', '=']).next())
        .filter(|name| !name.is_empty())
        .map(str::to_owned)
        .collect()
}

fn folder(package: &str) -> &str {
    package.strip_prefix("filbertbay-").unwrap_or(package)
}

#[test]
fn packages_import_only_lower_layers() {
    for (height, package) in LAYERS.iter().enumerate() {
        let imported = dependencies(folder(package));
        assert!(
            !imported.is_empty(),
            "{package} has no dependencies section to check"
        );
        for upper in &LAYERS[height..] {
            assert!(
                !imported.iter().any(|name| name == upper),
                "{package} imports {upper}"
            );
        }
        assert!(
            !imported.iter().any(|name| name == "standin"),
            "{package} imports the stand-ins"
        );
    }
}

#[test]
fn deciders_import_no_effects() {
    for package in &LAYERS[..2] {
        let imported = dependencies(folder(package));
        for effect in EFFECTS {
            assert!(
                !imported.iter().any(|name| name == effect),
                "{package} imports {effect}"
            );
        }
    }
}
