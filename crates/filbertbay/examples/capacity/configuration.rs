//! Measures the size and load time of the configuration by the number of databases.
//!
//! Each database has three members, one route and thirty workspaces with one key each.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use filbertbay_state::bundle::Bundle;
use filbertbay_state::document::{DataCentre, Document, Group, Key, Member, Route, Workspace};
use filbertbay_state::head::{Head, Reference};
use filbertbay_state::part::{self, Part};
use filbertbay_state::version::Version;
use serde_json::json;

use crate::{Series, bytes_of};

const SIZES: [usize; 4] = [175, 350, 700, 1_400];
const DESIGN_SIZE: usize = 1_400;
const WORKSPACES_PER_DATABASE: usize = 30;
const MEMBERS_PER_DATABASE: usize = 3;
const DATA_CENTRES: usize = 6;

pub(crate) fn series() -> Vec<Series> {
    let databases = |name, unit, value: fn(usize) -> f64| {
        Series::measure(name, unit, "databases", &SIZES, DESIGN_SIZE, value)
    };
    vec![
        databases("configuration: stored", "bytes", |size| {
            stored_bytes(&StoredConfiguration::build(size))
        }),
        databases("configuration: largest part", "bytes", |size| {
            StoredConfiguration::build(size)
                .parts
                .values()
                .map(|bytes| bytes.len())
                .max()
                .unwrap_or(0) as f64
        }),
        databases("configuration: head", "bytes", |size| {
            StoredConfiguration::build(size).head.len() as f64
        }),
        databases("configuration: load", "ms", |size| {
            let stored = StoredConfiguration::build(size);
            let since = Instant::now();
            let compiled = stored.bundle().and_then(|bundle| bundle.snapshot().ok());
            let elapsed = since.elapsed().as_secs_f64() * 1e3;
            drop(compiled);
            elapsed
        }),
        databases("configuration: bundle state", "bytes", |size| {
            let stored = StoredConfiguration::build(size);
            bytes_of(|| stored.bundle())
        }),
        databases("configuration: snapshot state", "bytes", |size| {
            let bundle = StoredConfiguration::build(size).bundle();
            bytes_of(|| bundle.as_ref().and_then(|bundle| bundle.snapshot().ok()))
        }),
        databases("configuration: pulled by a patch", "bytes", pulled_bytes),
    ]
}

/// Configuration as it is stored in the platform.
struct StoredConfiguration {
    head: Vec<u8>,
    parts: BTreeMap<Arc<str>, Arc<[u8]>>,
}

impl StoredConfiguration {
    fn build(databases: usize) -> Self {
        Self::from_document(&document(databases))
    }

    fn from_document(document: &Document) -> Self {
        let mut parts = BTreeMap::new();
        let mut head = Head {
            version: Version(1),
            ..Head::default()
        };
        for (name, content) in part::split(document) {
            let part = Part {
                name: Arc::clone(&name),
                since: Version(1),
                patch: "capacity".into(),
                content,
            };
            let bytes = serde_json::to_vec(&part).unwrap_or_default();
            let digest = part::digest(&bytes);
            head.parts.push(Reference {
                name,
                digest: Arc::clone(&digest),
            });
            parts.insert(digest, bytes.into());
        }
        Self {
            head: serde_json::to_vec(&head).unwrap_or_default(),
            parts,
        }
    }

    fn bundle(&self) -> Option<Bundle> {
        // Copies the parts, as a pull from another process would.
        let part_of = |digest: &str| {
            self.parts
                .get(digest)
                .map(|bytes| Arc::from(bytes.to_vec()))
        };
        Bundle::assemble(&self.head, part_of).ok()
    }
}

fn stored_bytes(stored: &StoredConfiguration) -> f64 {
    let parts: usize = stored.parts.values().map(|bytes| bytes.len()).sum();
    (stored.head.len() + parts) as f64
}

/// Returns the bytes that an instance pulls after the rate of one workspace has changed.
fn pulled_bytes(databases: usize) -> f64 {
    let mut document = document(databases);
    let before = StoredConfiguration::from_document(&document);
    if let Some(workspace) = document.workspaces.values_mut().next() {
        workspace.rate.per_second += 1;
    }
    let after = StoredConfiguration::from_document(&document);
    let new_parts = after
        .parts
        .iter()
        .filter(|(digest, _)| !before.parts.contains_key(*digest));
    let parts: usize = new_parts.map(|(_, bytes)| bytes.len()).sum();
    (after.head.len() + parts) as f64
}

fn document(databases: usize) -> Document {
    let mut document = Document::default();
    for number in 0..DATA_CENTRES {
        let data_centre = DataCentre {
            region: format!("region-{}", number % 2).into(),
            availability: <_>::default(),
        };
        document
            .data_centres
            .insert(data_centre_name(number), data_centre);
    }
    for number in 0..databases {
        let name: Arc<str> = format!("database-{number}").into();
        document.groups.insert(Arc::clone(&name), group(number));
        document.routes.insert(Arc::clone(&name), route(&name));
        for index in 0..WORKSPACES_PER_DATABASE {
            let workspace_name = format!("workspace-{number}-{index}");
            let workspace = workspace(&workspace_name, Arc::clone(&name));
            document.workspaces.insert(workspace_name.into(), workspace);
        }
    }
    document
}

fn data_centre_name(number: usize) -> Arc<str> {
    format!("data-centre-{}", number % DATA_CENTRES).into()
}

fn group(number: usize) -> Group {
    let members = (0..MEMBERS_PER_DATABASE).map(|place| {
        let member = Member {
            data_centre: data_centre_name(number + place),
            address: (
                [10, place as u8, (number / 250) as u8, (number % 250) as u8],
                5432,
            )
                .into(),
            availability: <_>::default(),
            connections: 16,
            slots: 2,
        };
        (format!("database-{number}-{place}").into(), member)
    });
    Group {
        members: members.collect(),
        preferred_primary: None,
    }
}

fn route(group: &str) -> Route {
    let value = json!({"group": group, "staleness_ms": 500});
    serde_json::from_value(value).unwrap_or_else(|error| unreachable!("route: {error}"))
}

fn workspace(name: &str, route: Arc<str>) -> Workspace {
    let key = Key {
        digest: part::digest(name.as_bytes()),
        state: <_>::default(),
        note: None,
    };
    let mut workspace = Workspace {
        weight: 1,
        routes: vec![route],
        keys: [("k1".into(), key)].into(),
        ..Workspace::default()
    };
    workspace.rate.per_second = 50;
    workspace.rate.burst = 50;
    workspace
}
