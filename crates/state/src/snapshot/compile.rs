//! Compilation of a validated document into the arenas of a snapshot.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{Arenas, DataCentre, Group, Key, Member, Route, Workspace};
use crate::document::{self, Availability, Document, KeyState};
use crate::id;
use crate::version::Version;

/// Compiler of a document that has no validation problems, with the ids of its named items.
pub(super) struct Compiler<'a> {
    document: &'a Document,
    data_centres: BTreeMap<&'a str, id::DataCentre>,
    groups: BTreeMap<&'a str, id::Group>,
    routes: BTreeMap<&'a str, id::Route>,
}

impl<'a> Compiler<'a> {
    pub(super) fn new(document: &'a Document) -> Self {
        Self {
            document,
            data_centres: assign_ids(document.data_centres.keys(), id::DataCentre),
            groups: assign_ids(document.groups.keys(), id::Group),
            routes: assign_ids(document.routes.keys(), id::Route),
        }
    }

    pub(super) fn compile(&self, version: Version) -> Arenas {
        let members: Arc<[Member]> = self.members().collect();
        Arenas {
            version,
            data_centres: self.data_centres().collect(),
            groups: self.groups(),
            members,
            routes: self.routes().collect(),
            workspaces: self.workspaces().collect(),
        }
    }

    fn data_centres(&self) -> impl Iterator<Item = DataCentre> {
        self.document
            .data_centres
            .iter()
            .map(|(name, data_centre)| DataCentre {
                name: Arc::clone(name),
                region: Arc::clone(&data_centre.region),
                availability: data_centre.availability,
            })
    }

    fn groups(&self) -> Arc<[Group]> {
        let mut next_member = 0_u32;
        let mut groups = Vec::with_capacity(self.document.groups.len());
        for (name, group) in &self.document.groups {
            let names = group.members.keys();
            let ids: Vec<_> = names
                .zip(next_member..)
                .map(|(_, index)| id::Member(index))
                .collect();
            let preferred = group.preferred_primary.as_ref();
            let preferred_index =
                preferred.and_then(|name| group.members.keys().position(|m| m == name));
            next_member += ids.len() as u32;
            groups.push(Group {
                name: Arc::clone(name),
                preferred_primary: preferred_index.map(|index| ids[index]),
                members: ids.into(),
            });
        }
        groups.into()
    }

    fn members(&self) -> impl Iterator<Item = Member> {
        self.document
            .groups
            .iter()
            .flat_map(move |(group, settings)| {
                let group = self.groups[group.as_ref()];
                let members = settings.members.iter();
                members.map(move |(name, member)| self.member(group, name, member))
            })
    }

    fn member(&self, group: id::Group, name: &Arc<str>, member: &document::Member) -> Member {
        let data_centre = &self.document.data_centres[&member.data_centre];
        let availabilities = (data_centre.availability, member.availability);
        let availability = match availabilities {
            (Availability::In, Availability::In) => Availability::In,
            _ => Availability::Out,
        };
        Member {
            name: Arc::clone(name),
            group,
            data_centre: self.data_centres[member.data_centre.as_ref()],
            address: member.address,
            availability,
            connections: member.connections,
            slots: member.slots,
        }
    }

    fn routes(&self) -> impl Iterator<Item = Route> {
        self.document.routes.iter().map(|(name, route)| Route {
            name: Arc::clone(name),
            group: self.groups[route.group.as_ref()],
            settings: route.clone(),
        })
    }

    fn workspaces(&self) -> impl Iterator<Item = Arc<Workspace>> {
        let workspaces = self.document.workspaces.iter();
        workspaces.map(|(name, settings)| {
            let route_of = |route: &str| self.routes.get(route).copied();
            Arc::new(compile_workspace(name, settings, route_of))
        })
    }
}

/// Compiles one workspace that has no validation problems.
///
/// `route_of` returns the id of the route with the given name.
pub(super) fn compile_workspace<F>(
    name: &Arc<str>,
    workspace: &document::Workspace,
    route_of: F,
) -> Workspace
where
    F: Fn(&str) -> Option<id::Route>,
{
    let names = workspace.routes.iter();
    let mut routes: Vec<_> = names.filter_map(|route| route_of(route)).collect();
    routes.sort_unstable();
    Workspace {
        name: Arc::clone(name),
        rate: workspace.rate,
        weight: workspace.weight,
        routes: routes.into(),
        keys: workspace
            .keys
            .iter()
            .filter_map(compile_granted_key)
            .collect(),
    }
}

/// Returns the compiled key, or `None` if the key is withdrawn.
fn compile_granted_key((id, key): (&Arc<str>, &document::Key)) -> Option<Key> {
    if key.state == KeyState::Withdrawn {
        return None;
    }
    let digest = key.digest.parse().ok()?;
    let id = Arc::clone(id);
    Some(Key { id, digest })
}

/// Assigns consecutive ids, from 0, to the names in their order.
fn assign_ids<'a, I, T, F>(names: I, id: F) -> BTreeMap<&'a str, T>
where
    I: Iterator<Item = &'a Arc<str>>,
    F: Fn(u32) -> T,
{
    names.map(AsRef::as_ref).zip((0..).map(id)).collect()
}
