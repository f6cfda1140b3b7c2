//! Validation of a complete configuration document.
//!
//! Parsing rejects unknown fields and wrong types. This module finds the remaining problems, such as
//! references to items that don't exist, limits out of range, and keys in clear text. A document
//! without problems compiles into a [`Snapshot`](crate::snapshot::Snapshot).
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

/// Maximum length of a name in bytes; PostgreSQL truncates longer user and database names.
pub const MAX_NAME_BYTES: usize = 63;

/// Maximum length of the note of a key in bytes.
pub const MAX_NOTE_BYTES: usize = 256;

/// Maximum weight of a workspace.
pub const MAX_WEIGHT: u32 = 1_000;

/// Maximum of each timeout and of the staleness of a route, in milliseconds.
pub const MAX_ROUTE_DURATION_MS: u64 = 3_600_000;

/// Maximum rate (statements per second) and burst (statements) of a workspace.
pub const MAX_RATE: u64 = 1_000_000_000;

/// Maximum number of connections to a member.
pub const MAX_CONNECTIONS: u32 = 65_535;

/// Validation error of one value of a document.
///
/// The rejected value is omitted, since it might be a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// JSON pointer (RFC 6901) to the invalid value.
    pub pointer: String,
    /// Description of a valid value.
    pub expected: &'static str,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: expected {}", self.pointer, self.expected)
    }
}

/// Returns all problems of a document, in the order of its sections.
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

/// Returns all problems of the given workspaces.
///
/// `is_route` returns whether a route of the given name exists.
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

/// Returns the JSON pointer (RFC 6901) with the given reference tokens, escaping each token.
///
/// # Examples
///
/// ```
/// use filbertbay_state::check::pointer;
///
/// assert_eq!(pointer(&["routes", "a/b"]), "/routes/a~1b");
/// ```
pub fn pointer(tokens: &[&str]) -> String {
    let mut text = String::new();
    for token in tokens {
        text.push('/');
        text.push_str(&token.replace('~', "~0").replace('/', "~1"));
    }
    text
}

struct Checker<'a> {
    document: &'a Document,
    problems: Vec<Problem>,
}

impl Checker<'_> {
    /// Records a problem at the pointer with the given tokens unless `is_valid`.
    fn require(&mut self, is_valid: bool, tokens: &[&str], expected: &'static str) {
        if !is_valid {
            let pointer = pointer(tokens);
            self.problems.push(Problem {
                pointer: key::redact(&pointer).into_owned(),
                expected,
            });
        }
    }

    fn check_name(&mut self, name: &str, tokens: &[&str]) {
        let expected = "a name of 1 to 63 letters, digits, dots, dashes or underscores, not a key";
        self.require(is_name(name), tokens, expected);
    }

    fn check_data_centres(&mut self) {
        for (name, data_centre) in &self.document.data_centres {
            self.check_name(name, &["data_centres", name]);
            self.check_name(&data_centre.region, &["data_centres", name, "region"]);
        }
    }

    fn check_groups(&mut self) {
        let mut addresses = BTreeSet::new();
        for (name, group) in &self.document.groups {
            self.check_name(name, &["groups", name]);
            self.check_group(name, group);
            for (member_name, member) in &group.members {
                self.check_member(name, member_name, member);
                let tokens = ["groups", name, "members", member_name, "address"];
                let is_unique = addresses.insert(member.address);
                self.require(is_unique, &tokens, "an address that no other member has");
            }
        }
    }

    fn check_group(&mut self, name: &str, group: &Group) {
        let tokens = ["groups", name, "members"];
        self.require(!group.members.is_empty(), &tokens, "at least one member");
        if let Some(preferred) = &group.preferred_primary {
            let exists = group.members.contains_key(preferred);
            let tokens = ["groups", name, "preferred_primary"];
            self.require(exists, &tokens, "the name of a member of this group");
        }
    }

    fn check_member(&mut self, group: &str, name: &str, member: &Member) {
        let tokens = |field| ["groups", group, "members", name, field];
        self.check_name(name, &tokens("")[..4]);
        let exists = self.document.data_centres.contains_key(&member.data_centre);
        let expected = "the name of a data centre of this document";
        self.require(exists, &tokens("data_centre"), expected);
        let is_dialable = member.address.port() != 0 && !member.address.ip().is_unspecified();
        self.require(
            is_dialable,
            &tokens("address"),
            "an address that can be dialled",
        );
        let connections_valid = (1..=MAX_CONNECTIONS).contains(&member.connections);
        self.require(
            connections_valid,
            &tokens("connections"),
            "1 to 65535 connections",
        );
        let slots_valid = (1..=member.connections).contains(&member.slots);
        self.require(
            slots_valid,
            &tokens("slots"),
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
        let exists = self.document.groups.contains_key(&route.group);
        let tokens = ["routes", name, "group"];
        self.require(exists, &tokens, "the name of a group of this document");
        let durations = [
            ("queue_ms", route.queue_ms),
            ("statement_ms", route.statement_ms),
            ("staleness_ms", route.staleness_ms.unwrap_or(1)),
        ];
        for (field, value) in durations {
            let tokens = ["routes", name, field];
            let is_valid = (1..=MAX_ROUTE_DURATION_MS).contains(&value);
            self.require(is_valid, &tokens, "1 to 3600000 milliseconds");
        }
    }

    fn check_workspaces<F>(&mut self, workspaces: &BTreeMap<Arc<str>, Workspace>, is_route: &F)
    where
        F: Fn(&str) -> bool,
    {
        for (name, workspace) in workspaces {
            self.check_name(name, &["workspaces", name]);
            self.check_rate_and_weight(name, workspace);
            self.check_listed_routes(name, workspace, is_route);
            self.check_keys(name, &workspace.keys);
        }
    }

    fn check_rate_and_weight(&mut self, name: &str, workspace: &Workspace) {
        let rate = workspace.rate;
        let tokens = ["workspaces", name, "rate", "per_second"];
        self.require(
            rate.per_second <= MAX_RATE,
            &tokens,
            "at most 1000000000 a second",
        );
        let tokens = ["workspaces", name, "rate", "burst"];
        let min_burst = u64::from(rate.per_second > 0);
        let is_valid = (min_burst..=MAX_RATE).contains(&rate.burst);
        self.require(
            is_valid,
            &tokens,
            "1 to 1000000000 statements, or 0 with a rate of 0",
        );
        let tokens = ["workspaces", name, "weight"];
        let is_valid = (1..=MAX_WEIGHT).contains(&workspace.weight);
        self.require(is_valid, &tokens, "a weight of 1 to 1000");
    }

    fn check_listed_routes<F>(&mut self, name: &str, workspace: &Workspace, is_route: &F)
    where
        F: Fn(&str) -> bool,
    {
        let mut seen = BTreeSet::new();
        for (index, route) in workspace.routes.iter().enumerate() {
            let index = index.to_string();
            let tokens = ["workspaces", name, "routes", &index];
            let exists = is_route(route);
            self.require(exists, &tokens, "the name of a route of this document");
            self.require(
                seen.insert(route),
                &tokens,
                "a route that is not listed twice",
            );
        }
    }

    fn check_keys(&mut self, name: &str, keys: &BTreeMap<Arc<str>, crate::document::Key>) {
        let mut digests = BTreeSet::new();
        for (id, key) in keys {
            self.check_name(id, &["workspaces", name, "keys", id]);
            let tokens = ["workspaces", name, "keys", id, "digest"];
            let expected = "a SHA-256 digest of 64 lower-case hexadecimal digits";
            self.require(is_digest(&key.digest), &tokens, expected);
            let is_unique = digests.insert(&key.digest);
            self.require(
                is_unique,
                &tokens,
                "a digest that no other key of the workspace has",
            );
            let note = key.note.as_deref().unwrap_or_default();
            let tokens = ["workspaces", name, "keys", id, "note"];
            let is_valid = note.len() <= MAX_NOTE_BYTES && !key::contains_secret(note);
            self.require(
                is_valid,
                &tokens,
                "a note of at most 256 bytes without a key",
            );
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
