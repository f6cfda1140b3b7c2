//! Compilation of a document into arenas.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{Arenas, DataCentre, Group, Key, Member, Route, Workspace};
use crate::document::{self, Availability, Document, KeyState};
use crate::id;
use crate::version::Version;

/// Turns a document without problems into arenas.
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
            data_centres: number(document.data_centres.keys(), id::DataCentre),
            groups: number(document.groups.keys(), id::Group),
            routes: number(document.routes.keys(), id::Route),
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
            .map(|(name, centre)| DataCentre {
                name: Arc::clone(name),
                region: Arc::clone(&centre.region),
                availability: centre.availability,
            })
    }

    fn groups(&self) -> Arc<[Group]> {
        let mut next = 0_u32;
        let mut groups = Vec::with_capacity(self.document.groups.len());
        for (name, group) in &self.document.groups {
            let names = group.members.keys();
            let ids: Vec<_> = names
                .zip(next..)
                .map(|(_, index)| id::Member(index))
                .collect();
            let preferred = group.preferred_primary.as_ref();
            let position = preferred.and_then(|name| group.members.keys().position(|m| m == name));
            next += ids.len() as u32;
            groups.push(Group {
                name: Arc::clone(name),
                preferred_primary: position.map(|index| ids[index]),
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
        let centre = &self.document.data_centres[&member.data_centre];
        let both = (centre.availability, member.availability);
        let availability = match both {
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
            Arc::new(workspace(name, settings, route_of))
        })
    }
}

/// Compiles one workspace without problems.
pub(super) fn workspace<F>(
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
        keys: workspace.keys.iter().filter_map(granted).collect(),
    }
}

fn granted((id, key): (&Arc<str>, &document::Key)) -> Option<Key> {
    if key.state == KeyState::Withdrawn {
        return None;
    }
    let digest = key.digest.parse().ok()?;
    let id = Arc::clone(id);
    Some(Key { id, digest })
}

fn number<'a, I, T, F>(names: I, id: F) -> BTreeMap<&'a str, T>
where
    I: Iterator<Item = &'a Arc<str>>,
    F: Fn(u32) -> T,
{
    names.map(AsRef::as_ref).zip((0..).map(id)).collect()
}
