//! Checked configuration, compiled for look-up.
//!
//! A [`Snapshot`] holds each section of a [`Document`] in an arena that is sorted by name, and
//! refers from one section to another by the ids of [`id`]. It is immutable and cheap to
//! clone; control publishes a new one for each version.
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
    /// Region that the data centre lies in.
    pub region: Arc<str>,
    /// Whether it takes new work.
    pub availability: Availability,
}

/// Database group of a [`Snapshot`].
#[derive(Debug)]
pub struct Group {
    /// Name, unique in the configuration.
    pub name: Arc<str>,
    /// Members, in the order of their names.
    pub members: Box<[id::Member]>,
    /// Member that operators want as primary while it is available.
    pub preferred_primary: Option<id::Member>,
}

/// Member of a group of a [`Snapshot`].
#[derive(Debug)]
pub struct Member {
    /// Name, unique in its group.
    pub name: Arc<str>,
    /// Group that the member belongs to.
    pub group: id::Group,
    /// Data centre that the member lies in.
    pub data_centre: id::DataCentre,
    /// Address by IP number.
    pub address: SocketAddr,
    /// Whether both the member and its data centre take new work.
    pub availability: Availability,
    /// Connections that the member accepts in all.
    pub connections: u32,
    /// Statements that the member runs at once.
    pub slots: u32,
}

/// Route of a [`Snapshot`].
#[derive(Debug)]
pub struct Route {
    /// Name, unique in the configuration.
    pub name: Arc<str>,
    /// Group that serves the route.
    pub group: id::Group,
    /// Settings as the document has them.
    pub settings: document::Route,
}

/// Workspace of a [`Snapshot`].
#[derive(Debug)]
pub struct Workspace {
    /// Name, unique in the configuration.
    pub name: Arc<str>,
    /// Statements that the workspace may run, summed over all instances.
    pub rate: Rate,
    /// Weight in queues, relative to other workspaces.
    pub weight: u32,
    /// Routes that the workspace may use, in the order of their ids.
    pub routes: Box<[id::Route]>,
    /// Keys that callers may present; withdrawn ones are left out.
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

/// Document that does not compile, with all of its problems.
#[derive(Clone, Debug, thiserror::Error)]
pub struct Error {
    problems: Vec<Problem>,
}

impl Error {
    /// Returns what is wrong, in the order of the document's sections; never empty.
    pub fn problems(&self) -> &[Problem] {
        &self.problems
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let first = self.problems.first().map(ToString::to_string);
        let others = self.problems.len().saturating_sub(1);
        write!(f, "{}", first.unwrap_or_default())?;
        if others > 0 {
            write!(f, " (and {others} more)")?;
        }
        Ok(())
    }
}

impl Snapshot {
    /// Checks a document and compiles it.
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

    /// Checks and compiles the workspaces that differ from those of this snapshot.
    ///
    /// `removed` names workspaces of this snapshot that are gone or come back changed in `changed`;
    /// all other sections stay, and so do the ids into them.
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
        let kept = self
            .workspaces
            .iter()
            .filter(|workspace| !removed.contains(&workspace.name));
        let compiled = changed.iter().map(|(name, workspace)| {
            let route_of = |route: &str| self.route(route);
            Arc::new(compile::workspace(name, workspace, route_of))
        });
        let mut workspaces: Vec<_> = kept.cloned().chain(compiled).collect();
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
        let compiler = Compiler::new(&Document::default()).compile(Version(0));
        Self(Arc::new(compiler))
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

    /// Finds a data centre by name.
    pub fn data_centre(&self, name: &str) -> Option<id::DataCentre> {
        find(&self.data_centres, name, |item| &item.name).map(id::DataCentre)
    }

    /// Finds a database group by name.
    pub fn group(&self, name: &str) -> Option<id::Group> {
        find(&self.groups, name, |item| &item.name).map(id::Group)
    }

    /// Finds a member by the names of its group and its own.
    pub fn member(&self, group: &str, name: &str) -> Option<id::Member> {
        let members = &self[self.group(group)?].members;
        let mut members = members.iter().copied();
        members.find(|member| self[*member].name.as_ref() == name)
    }

    /// Finds a route by name.
    pub fn route(&self, name: &str) -> Option<id::Route> {
        find(&self.routes, name, |item| &item.name).map(id::Route)
    }

    /// Finds a workspace by name.
    pub fn workspace(&self, name: &str) -> Option<id::Workspace> {
        find(&self.workspaces, name, |item| &item.name).map(id::Workspace)
    }

    /// Tells whether a workspace lists a route.
    pub fn allows(&self, workspace: id::Workspace, route: id::Route) -> bool {
        self[workspace].routes.binary_search(&route).is_ok()
    }

    /// Finds the granted key that a caller presented, and returns its id.
    ///
    /// The presented text is compared with every granted key of the workspace in constant time.
    pub fn find_key(&self, workspace: id::Workspace, presented: &str) -> Option<Arc<str>> {
        let digest = Digest::of(presented);
        let keys = &self[workspace].keys;
        let mut found = u32::MAX;
        for (index, key) in (0_u32..).zip(keys.iter()) {
            let matches = u8::from(key.digest.matches(&digest)).ct_eq(&1);
            found.conditional_assign(&index, matches);
        }
        keys.get(found as usize).map(|key| Arc::clone(&key.id))
    }

    /// Tells whether a key is still granted, for connections that presented it earlier.
    pub fn is_granted(&self, workspace: id::Workspace, key: &str) -> bool {
        self[workspace]
            .keys
            .iter()
            .any(|item| item.id.as_ref() == key)
    }
}

impl Arenas {
    /// Estimates the memory that the configuration takes, in bytes.
    ///
    /// Names count once, where their item owns them; the allocator's own cost is left out.
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
            + names.map(|name| name_bytes(name)).sum::<usize>()
            + members.sum::<usize>()
            + workspaces.sum::<usize>()
    }
}

impl Workspace {
    /// Estimates the memory behind the item itself.
    fn size_bytes(&self) -> usize {
        let counts = 2 * size_of::<usize>();
        let ids = self.keys.iter().map(|key| name_bytes(&key.id));
        let keys = size_of_val(&*self.keys) + ids.sum::<usize>();
        counts + size_of::<Self>() + size_of_val(&*self.routes) + keys
    }
}

/// Returns the memory of a shared name: its two counts and its text.
fn name_bytes(name: &str) -> usize {
    2 * size_of::<usize>() + name.len()
}

macro_rules! arena {
    ($id:ident, $field:ident) => {
        impl Index<id::$id> for Arenas {
            type Output = $id;

            fn index(&self, id: id::$id) -> &$id {
                &self.$field[id.index()]
            }
        }
    };
}

arena!(DataCentre, data_centres);
arena!(Group, groups);
arena!(Member, members);
arena!(Route, routes);
arena!(Workspace, workspaces);

fn find<T, F>(items: &[T], name: &str, name_of: F) -> Option<u32>
where
    F: Fn(&T) -> &Arc<str>,
{
    let position = items.binary_search_by(|item| name_of(item).as_ref().cmp(name));
    position.ok().map(|index| index as u32)
}
