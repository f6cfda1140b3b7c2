//! Validated configuration, compiled for look-up.
//!
//! A [`Snapshot`] holds each section of a [`Document`] in an arena that is sorted by name. Sections
//! refer to each other by the indices of [`id`]. A snapshot is immutable and cheap to clone; the
//! control plane publishes a new one for each version.
//!
//! # Examples
//!
//! ```
//! use filbertbay_state::document::Document;
//! use filbertbay_state::key::Digest;
//! use filbertbay_state::snapshot::Snapshot;
//! use filbertbay_state::version::Version;
//!
//! let text = r#"{
//!     "data_centres": {"quimper": {"region": "bretagne"}},
//!     "groups": {"orders": {"members": {
//!         "orders-1": {"data_centre": "quimper", "address": "127.0.0.1:5432",
//!                      "connections": 16, "slots": 2}}}},
//!     "routes": {"orders": {"group": "orders"}},
//!     "workspaces": {"shop": {"rate": {"per_second": 50, "burst": 20}, "routes": ["orders"],
//!         "keys": {"k1": {"digest":
//!             "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"}}}}
//! }"#;
//! let document: Document = serde_json::from_str(text)?;
//! let snapshot = Snapshot::compile(Version(1), &document)?;
//!
//! let shop = snapshot.workspace("shop").expect("configured");
//! let orders = snapshot.route("orders").expect("configured");
//! assert!(snapshot.allows(shop, orders));
//! assert_eq!(snapshot.find_key(shop, "abc").as_deref(), Some("k1"));
//! assert_eq!(snapshot.find_key(shop, "wrong"), None);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod compile;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::ops::{Deref, Index};
use std::sync::Arc;

use subtle::{ConditionallySelectable, ConstantTimeEq};

use crate::check::{self, Problem};
use crate::document::{self, Availability, Document, Rate};
use crate::id;
use crate::key::Digest;
use crate::version::Version;

use compile::Compiler;

/// Configuration of one version, compiled for look-up.
///
/// Clones share one allocation. The snapshot dereferences to [`Arenas`].
#[derive(Clone, Debug)]
pub struct Snapshot(Arc<Arenas>);

/// Sections of a [`Snapshot`].
#[derive(Debug)]
#[non_exhaustive]
pub struct Arenas {
    /// Version of the configuration.
    pub version: Version,
    /// Data centres, sorted by name.
    pub data_centres: Arc<[DataCentre]>,
    /// Database groups, sorted by name.
    pub groups: Arc<[Group]>,
    /// Members of all groups, sorted by group and name.
    pub members: Arc<[Member]>,
    /// Routes, sorted by name.
    pub routes: Arc<[Route]>,
    /// Workspaces, sorted by name.
    pub workspaces: Box<[Arc<Workspace>]>,
}

/// Data centre of a [`Snapshot`].
#[derive(Debug)]
pub struct DataCentre {
    /// Name, unique in the configuration.
    pub name: Arc<str>,
    /// Region of the data centre.
    pub region: Arc<str>,
    /// Whether the data centre accepts new work.
    pub availability: Availability,
}

/// Database group of a [`Snapshot`].
#[derive(Debug)]
pub struct Group {
    /// Name, unique in the configuration.
    pub name: Arc<str>,
    /// Members, sorted by name.
    pub members: Box<[id::Member]>,
    /// Member that should be the primary while that member is available.
    pub preferred_primary: Option<id::Member>,
}

/// Member of a group of a [`Snapshot`].
#[derive(Debug)]
pub struct Member {
    /// Name, unique in its group.
    pub name: Arc<str>,
    /// Group that the member belongs to.
    pub group: id::Group,
    /// Data centre of the member.
    pub data_centre: id::DataCentre,
    /// IP address and port.
    pub address: SocketAddr,
    /// Whether the member accepts new work; `In` only if its data centre is `In` as well.
    pub availability: Availability,
    /// Most connections to the member, summed over all instances.
    pub connections: u32,
    /// Most statements that the member runs concurrently.
    pub slots: u32,
}

/// Route of a [`Snapshot`].
#[derive(Debug)]
pub struct Route {
    /// Name, unique in the configuration.
    pub name: Arc<str>,
    /// Group that serves the route.
    pub group: id::Group,
    /// Settings of the route in the document.
    pub settings: document::Route,
}

/// Workspace of a [`Snapshot`].
#[derive(Debug)]
pub struct Workspace {
    /// Name, unique in the configuration.
    pub name: Arc<str>,
    /// Rate limit on the statements of the workspace, summed over all instances.
    pub rate: Rate,
    /// Weight in fair queues, relative to other workspaces.
    pub weight: u32,
    /// Allowed routes, sorted by id.
    pub routes: Box<[id::Route]>,
    /// Granted keys; withdrawn keys are omitted.
    pub keys: Box<[Key]>,
}

/// Granted key of a [`Workspace`].
#[derive(Debug)]
pub struct Key {
    /// Id, unique in the workspace.
    pub id: Arc<str>,
    /// Digest of the key.
    pub digest: Digest,
}

/// Error for a document that does not compile, with all problems of the document.
#[derive(Clone, Debug, thiserror::Error)]
pub struct Error {
    problems: Vec<Problem>,
}

impl Error {
    /// Returns the problems in the order of the document's sections; the slice is never empty.
    pub fn problems(&self) -> &[Problem] {
        &self.problems
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let first = self.problems.first().map(ToString::to_string);
        let more = self.problems.len().saturating_sub(1);
        write!(f, "{}", first.unwrap_or_default())?;
        if more > 0 {
            write!(f, " (and {more} more)")?;
        }
        Ok(())
    }
}

impl Snapshot {
    /// Validates and compiles a document.
    ///
    /// # Errors
    ///
    /// Returns all problems that [`check::check`] finds.
    pub fn compile(version: Version, document: &Document) -> Result<Self, Error> {
        let problems = check::check(document);
        if !problems.is_empty() {
            return Err(Error { problems });
        }
        let compiler = Compiler::new(document);
        Ok(Self(Arc::new(compiler.compile(version))))
    }

    /// Returns a snapshot of `version` that differs from this one only in its workspaces.
    ///
    /// `removed` names the workspaces to drop from this snapshot, including those that `changed`
    /// replaces. The workspaces of `changed` are validated and compiled. All other sections are
    /// shared with this snapshot, so that their ids are the same in both; workspace ids may differ.
    ///
    /// # Errors
    ///
    /// Returns all problems of the changed workspaces.
    pub fn with_workspaces(
        &self,
        version: Version,
        removed: &BTreeSet<Arc<str>>,
        changed: &BTreeMap<Arc<str>, document::Workspace>,
    ) -> Result<Self, Error> {
        let problems = check::check_workspaces(changed, |name| self.route(name).is_some());
        if !problems.is_empty() {
            return Err(Error { problems });
        }
        let retained = self
            .workspaces
            .iter()
            .filter(|workspace| !removed.contains(&workspace.name));
        let compiled = changed.iter().map(|(name, workspace)| {
            let route_of = |route: &str| self.route(route);
            Arc::new(compile::compile_workspace(name, workspace, route_of))
        });
        let mut workspaces: Vec<_> = retained.cloned().chain(compiled).collect();
        workspaces.sort_by(|a, b| a.name.cmp(&b.name));
        Ok(Self(Arc::new(Arenas {
            version,
            data_centres: Arc::clone(&self.data_centres),
            groups: Arc::clone(&self.groups),
            members: Arc::clone(&self.members),
            routes: Arc::clone(&self.routes),
            workspaces: workspaces.into(),
        })))
    }

    /// Returns the empty configuration of version zero.
    pub fn empty() -> Self {
        let arenas = Compiler::new(&Document::default()).compile(Version(0));
        Self(Arc::new(arenas))
    }
}

impl Deref for Snapshot {
    type Target = Arenas;

    fn deref(&self) -> &Arenas {
        &self.0
    }
}

impl Arenas {
    /// Returns the version of the configuration.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the id of the data centre with the given name.
    pub fn data_centre(&self, name: &str) -> Option<id::DataCentre> {
        index_of(&self.data_centres, name, |item| &item.name).map(id::DataCentre)
    }

    /// Returns the id of the database group with the given name.
    pub fn group(&self, name: &str) -> Option<id::Group> {
        index_of(&self.groups, name, |item| &item.name).map(id::Group)
    }

    /// Returns the id of the member `name` of the database group `group`.
    pub fn member(&self, group: &str, name: &str) -> Option<id::Member> {
        let members = &self[self.group(group)?].members;
        let mut members = members.iter().copied();
        members.find(|member| self[*member].name.as_ref() == name)
    }

    /// Returns the id of the route with the given name.
    pub fn route(&self, name: &str) -> Option<id::Route> {
        index_of(&self.routes, name, |item| &item.name).map(id::Route)
    }

    /// Returns the id of the workspace with the given name.
    pub fn workspace(&self, name: &str) -> Option<id::Workspace> {
        index_of(&self.workspaces, name, |item| &item.name).map(id::Workspace)
    }

    /// Returns true if the workspace lists the route.
    pub fn allows(&self, workspace: id::Workspace, route: id::Route) -> bool {
        self[workspace].routes.binary_search(&route).is_ok()
    }

    /// Returns the id of the granted key whose clear text is `presented`.
    ///
    /// The digest of `presented` is compared with every granted key of the workspace in constant
    /// time, so that the duration does not reveal which key matches.
    pub fn find_key(&self, workspace: id::Workspace, presented: &str) -> Option<Arc<str>> {
        let digest = Digest::of(presented);
        let keys = &self[workspace].keys;
        let mut match_index = u32::MAX;
        for (index, key) in (0_u32..).zip(keys.iter()) {
            let matches = u8::from(key.digest.matches(&digest)).ct_eq(&1);
            match_index.conditional_assign(&index, matches);
        }
        keys.get(match_index as usize)
            .map(|key| Arc::clone(&key.id))
    }

    /// Returns true if the key with the id `key` is granted.
    ///
    /// Connections call this after a change of the configuration for the key that they presented
    /// when they were opened.
    pub fn is_granted(&self, workspace: id::Workspace, key: &str) -> bool {
        self[workspace]
            .keys
            .iter()
            .any(|item| item.id.as_ref() == key)
    }
}

impl Arenas {
    /// Returns an estimate of the memory that the configuration occupies, in bytes.
    ///
    /// Each name is counted once, with the item that has the name; the overhead of the allocator is
    /// not included.
    pub fn size_bytes(&self) -> usize {
        let names = self.data_centres.iter().map(|item| &item.name);
        let names = names.chain(self.groups.iter().map(|item| &item.name));
        let names = names.chain(self.members.iter().map(|item| &item.name));
        let names = names.chain(self.routes.iter().map(|item| &item.name));
        let names = names.chain(self.workspaces.iter().map(|item| &item.name));
        let members = self.groups.iter().map(|group| size_of_val(&*group.members));
        let workspaces = self.workspaces.iter().map(|item| item.size_bytes());
        size_of_val(&*self.data_centres)
            + size_of_val(&*self.groups)
            + size_of_val(&*self.members)
            + size_of_val(&*self.routes)
            + size_of_val(&*self.workspaces)
            + names.map(|name| arc_str_bytes(name)).sum::<usize>()
            + members.sum::<usize>()
            + workspaces.sum::<usize>()
    }
}

impl Workspace {
    /// Returns an estimate of the memory of the shared workspace and of its allocations, in bytes.
    fn size_bytes(&self) -> usize {
        let reference_counts = 2 * size_of::<usize>();
        let ids = self.keys.iter().map(|key| arc_str_bytes(&key.id));
        let keys = size_of_val(&*self.keys) + ids.sum::<usize>();
        reference_counts + size_of::<Self>() + size_of_val(&*self.routes) + keys
    }
}

/// Returns the size of an `Arc<str>` allocation in bytes: two reference counts and the text.
fn arc_str_bytes(name: &str) -> usize {
    2 * size_of::<usize>() + name.len()
}

macro_rules! impl_arena_index {
    ($id:ident, $field:ident) => {
        impl Index<id::$id> for Arenas {
            type Output = $id;

            fn index(&self, id: id::$id) -> &$id {
                &self.$field[id.index()]
            }
        }
    };
}

impl_arena_index!(DataCentre, data_centres);
impl_arena_index!(Group, groups);
impl_arena_index!(Member, members);
impl_arena_index!(Route, routes);
impl_arena_index!(Workspace, workspaces);

/// Returns the index of the item with the given name in a slice that is sorted by name.
fn index_of<T, F>(items: &[T], name: &str, name_of: F) -> Option<u32>
where
    F: Fn(&T) -> &Arc<str>,
{
    let found = items.binary_search_by(|item| name_of(item).as_ref().cmp(name));
    found.ok().map(|index| index as u32)
}
