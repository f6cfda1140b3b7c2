//! Checks the layers of the workspace: a package depends only on packages of lower layers, and the
//! two lowest layers, whose decisions must not depend on I/O or a clock, use no crate for them.

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

/// Crates that perform I/O or read a clock, which the two lowest layers must not depend on.
const IO_CRATES: [&str; 6] = ["tokio", "reqwest", "pgwire", "tarpc", "xtra", "axum"];

/// Returns the names in the `[dependencies]` section of a package's manifest.
fn dependency_names(folder: &str) -> Vec<String> {
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

/// Returns the folder of a package below `crates`.
fn folder(package: &str) -> &str {
    package.strip_prefix("filbertbay-").unwrap_or(package)
}

#[test]
fn packages_depend_only_on_lower_layers() {
    for (layer, package) in LAYERS.iter().enumerate() {
        let dependencies = dependency_names(folder(package));
        assert!(
            !dependencies.is_empty(),
            "{package} has no dependencies to check"
        );
        for higher in &LAYERS[layer..] {
            assert!(
                !dependencies.iter().any(|name| name == higher),
                "{package} depends on {higher}"
            );
        }
        assert!(
            !dependencies.iter().any(|name| name == "standin"),
            "{package} depends on standin"
        );
    }
}

#[test]
fn decision_layers_depend_on_no_io_crates() {
    for package in &LAYERS[..2] {
        let dependencies = dependency_names(folder(package));
        for io_crate in IO_CRATES {
            assert!(
                !dependencies.iter().any(|name| name == io_crate),
                "{package} depends on {io_crate}"
            );
        }
    }
}
