//! Checks of a whole configuration document.
//!
//! Parsing refuses unknown fields and wrong types; the functions here find what parsing can't:
//! names that lead nowhere, limits out of range, keys in clear text. A document without problems
//! compiles into a [`Snapshot`](crate::snapshot::Snapshot).
//!
//! # Examples
//!
//! ```
//! use filbertbay_state::check;
//! use filbertbay_state::document::Document;
//!
//! let document: Document = serde_json::from_str(r#"{"routes": {"orders": {"group": "order"}}}"#)?;
//! let problems = check::check(&document);
//! assert_eq!(problems[0].pointer, "/routes/orders/group");
//! assert_eq!(problems[0].expected, "the name of a group of this document");
//! # Ok::<(), serde_json::Error>(())
//! ```

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

use crate::document::{Document, Group, Member, Route, Workspace};
use crate::key;

/// Longest name in bytes; PostgreSQL cuts longer user and database names.
pub const MAX_NAME_BYTES: usize = 63;

/// Longest note of a key in bytes.
pub const MAX_NOTE_BYTES: usize = 256;

/// Largest weight of a workspace.
pub const MAX_WEIGHT: u32 = 1_000;

/// Longest wait or run on a route, in milliseconds.
pub const MAX_ROUTE_MS: u64 = 3_600_000;

/// Largest rate and burst of a workspace.
pub const MAX_RATE: u64 = 1_000_000_000;

/// Most connections of a member.
pub const MAX_CONNECTIONS: u32 = 65_535;

/// What is wrong at one place of a document.
///
/// The offending value is never repeated, since it might be a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// JSON pointer (RFC 6901) to the place.
    pub pointer: String,
    /// What the place should have held.
    pub expected: &'static str,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: expected {}", self.pointer, self.expected)
    }
}

/// Finds every problem of a document, in the order of its sections.
pub fn check(document: &Document) -> Vec<Problem> {
    let mut checker = Checker {
        document,
        problems: Vec::new(),
    };
    checker.check_data_centres();
    checker.check_groups();
    checker.check_routes();
    let is_route = |name: &str| document.routes.contains_key(name);
    checker.check_workspaces(&document.workspaces, &is_route);
    checker.problems
}

/// Finds every problem of some workspaces, whose routes are known to `is_route`.
pub(crate) fn check_workspaces<F>(
    workspaces: &BTreeMap<Arc<str>, Workspace>,
    is_route: F,
) -> Vec<Problem>
where
    F: Fn(&str) -> bool,
{
    let mut checker = Checker {
        document: &Document::default(),
        problems: Vec::new(),
    };
    checker.check_workspaces(workspaces, &is_route);
    checker.problems
}

/// Joins the parts of a JSON pointer, escaping each.
///
/// # Examples
///
/// ```
/// use filbertbay_state::check::pointer;
///
/// assert_eq!(pointer(&["routes", "a/b"]), "/routes/a~1b");
/// ```
pub fn pointer(parts: &[&str]) -> String {
    let mut text = String::new();
    for part in parts {
        text.push('/');
        text.push_str(&part.replace('~', "~0").replace('/', "~1"));
    }
    text
}

struct Checker<'a> {
    document: &'a Document,
    problems: Vec<Problem>,
}

impl Checker<'_> {
    fn expect(&mut self, holds: bool, parts: &[&str], expected: &'static str) {
        if !holds {
            let place = pointer(parts);
            self.problems.push(Problem {
                pointer: key::redact(&place).into_owned(),
                expected,
            });
        }
    }

    fn check_name(&mut self, name: &str, parts: &[&str]) {
        let expected = "a name of 1 to 63 letters, digits, dots, dashes or underscores, not a key";
        self.expect(is_name(name), parts, expected);
    }

    fn check_data_centres(&mut self) {
        for (name, centre) in &self.document.data_centres {
            self.check_name(name, &["data_centres", name]);
            self.check_name(&centre.region, &["data_centres", name, "region"]);
        }
    }

    fn check_groups(&mut self) {
        let mut addresses = BTreeSet::new();
        for (name, group) in &self.document.groups {
            self.check_name(name, &["groups", name]);
            self.check_group(name, group);
            for (member_name, member) in &group.members {
                self.check_member(name, member_name, member);
                let parts = ["groups", name, "members", member_name, "address"];
                let unique = addresses.insert(member.address);
                self.expect(unique, &parts, "an address that no other member has");
            }
        }
    }

    fn check_group(&mut self, name: &str, group: &Group) {
        let parts = ["groups", name, "members"];
        self.expect(!group.members.is_empty(), &parts, "at least one member");
        if let Some(preferred) = &group.preferred_primary {
            let known = group.members.contains_key(preferred);
            let parts = ["groups", name, "preferred_primary"];
            self.expect(known, &parts, "the name of a member of this group");
        }
    }

    fn check_member(&mut self, group: &str, name: &str, member: &Member) {
        let at = |field| ["groups", group, "members", name, field];
        self.check_name(name, &at("")[..4]);
        let known = self.document.data_centres.contains_key(&member.data_centre);
        let expected = "the name of a data centre of this document";
        self.expect(known, &at("data_centre"), expected);
        let routable = member.address.port() != 0 && !member.address.ip().is_unspecified();
        self.expect(routable, &at("address"), "an address that can be dialled");
        let connections = (1..=MAX_CONNECTIONS).contains(&member.connections);
        self.expect(connections, &at("connections"), "1 to 65535 connections");
        let slots = (1..=member.connections).contains(&member.slots);
        self.expect(
            slots,
            &at("slots"),
            "at least 1 slot and no more than connections",
        );
    }

    fn check_routes(&mut self) {
        for (name, route) in &self.document.routes {
            self.check_name(name, &["routes", name]);
            self.check_route(name, route);
        }
    }

    fn check_route(&mut self, name: &str, route: &Route) {
        let known = self.document.groups.contains_key(&route.group);
        let parts = ["routes", name, "group"];
        self.expect(known, &parts, "the name of a group of this document");
        let times = [
            ("queue_ms", route.queue_ms),
            ("statement_ms", route.statement_ms),
            ("staleness_ms", route.staleness_ms.unwrap_or(1)),
        ];
        for (field, value) in times {
            let parts = ["routes", name, field];
            let holds = (1..=MAX_ROUTE_MS).contains(&value);
            self.expect(holds, &parts, "1 to 3600000 milliseconds");
        }
    }

    fn check_workspaces<F>(&mut self, workspaces: &BTreeMap<Arc<str>, Workspace>, is_route: &F)
    where
        F: Fn(&str) -> bool,
    {
        for (name, workspace) in workspaces {
            self.check_name(name, &["workspaces", name]);
            self.check_limits(name, workspace);
            self.check_listed_routes(name, workspace, is_route);
            self.check_keys(name, &workspace.keys);
        }
    }

    fn check_limits(&mut self, name: &str, workspace: &Workspace) {
        let rate = workspace.rate;
        let parts = ["workspaces", name, "rate", "per_second"];
        self.expect(
            rate.per_second <= MAX_RATE,
            &parts,
            "at most 1000000000 a second",
        );
        let parts = ["workspaces", name, "rate", "burst"];
        let least = u64::from(rate.per_second > 0);
        let holds = (least..=MAX_RATE).contains(&rate.burst);
        self.expect(
            holds,
            &parts,
            "1 to 1000000000 statements, or 0 with a rate of 0",
        );
        let parts = ["workspaces", name, "weight"];
        let holds = (1..=MAX_WEIGHT).contains(&workspace.weight);
        self.expect(holds, &parts, "a weight of 1 to 1000");
    }

    fn check_listed_routes<F>(&mut self, name: &str, workspace: &Workspace, is_route: &F)
    where
        F: Fn(&str) -> bool,
    {
        let mut seen = BTreeSet::new();
        for (index, route) in workspace.routes.iter().enumerate() {
            let position = index.to_string();
            let parts = ["workspaces", name, "routes", &position];
            let known = is_route(route);
            self.expect(known, &parts, "the name of a route of this document");
            self.expect(
                seen.insert(route),
                &parts,
                "a route that is not listed twice",
            );
        }
    }

    fn check_keys(&mut self, name: &str, keys: &BTreeMap<Arc<str>, crate::document::Key>) {
        let mut digests = BTreeSet::new();
        for (id, key) in keys {
            self.check_name(id, &["workspaces", name, "keys", id]);
            let parts = ["workspaces", name, "keys", id, "digest"];
            let expected = "a SHA-256 digest of 64 lower-case hexadecimal digits";
            self.expect(is_digest(&key.digest), &parts, expected);
            let unique = digests.insert(&key.digest);
            self.expect(
                unique,
                &parts,
                "a digest that no other key of the workspace has",
            );
            let note = key.note.as_deref().unwrap_or_default();
            let parts = ["workspaces", name, "keys", id, "note"];
            let holds = note.len() <= MAX_NOTE_BYTES && !key::contains_secret(note);
            self.expect(holds, &parts, "a note of at most 256 bytes without a key");
        }
    }
}

fn is_name(name: &str) -> bool {
    let is_name_byte = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    !name.is_empty()
        && name.len() <= MAX_NAME_BYTES
        && name.bytes().all(is_name_byte)
        && !key::contains_secret(name)
}

fn is_digest(text: &str) -> bool {
    let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    text.len() == 64 && text.bytes().all(is_digit)
}
