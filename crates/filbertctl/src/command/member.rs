//! `filbertctl member`: adds and removes members of database groups and sets their availability.

use std::net::SocketAddr;

use bpaf::Bpaf;
use filbertbay_state::document::{Availability, Document};
use serde_json::{Value, json};

use crate::exit::Failure;
use crate::operator::{CommonOptions, Edit, PatchMetadata, common, metadata};

/// Member of a group.
#[derive(Clone, Debug, Bpaf)]
pub struct Name {
    /// Name of the group.
    #[bpaf(positional("GROUP"))]
    group: String,
    /// Name of the member.
    #[bpaf(positional("MEMBER"))]
    member: String,
}

/// Settings of a member.
#[derive(Clone, Debug, Bpaf)]
pub struct Settings {
    /// Data centre of the member.
    #[bpaf(long, argument("DATA_CENTRE"))]
    data_centre: String,
    /// IP address and port.
    #[bpaf(long, argument("IP:PORT"))]
    address: SocketAddr,
    /// Connections that the member accepts in total.
    #[bpaf(long, argument("N"))]
    connections: u32,
    /// Statements that the member can run at once.
    #[bpaf(long, argument("N"))]
    slots: u32,
}

/// Subcommands of `filbertctl member`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(options))]
pub enum Options {
    /// Adds a member; the first one creates the group.
    #[bpaf(
        command,
        footer(
            "Example: filbertctl member add orders orders-4 --data-centre caen --address 10.0.3.4:5432 --connections 16 --slots 2"
        )
    )]
    Add {
        #[bpaf(external)]
        common: CommonOptions,
        #[bpaf(external)]
        metadata: PatchMetadata,
        #[bpaf(external)]
        settings: Settings,
        #[bpaf(external)]
        name: Name,
    },
    /// Removes a member; take it out first.
    #[bpaf(command)]
    Remove {
        #[bpaf(external)]
        common: CommonOptions,
        #[bpaf(external)]
        metadata: PatchMetadata,
        #[bpaf(external)]
        name: Name,
    },
    /// Takes a member out of service: it drains and gets no new work.
    #[bpaf(
        command,
        footer("Example: filbertctl member out orders orders-2 --reason 'new disks'")
    )]
    Out {
        #[bpaf(external)]
        common: CommonOptions,
        #[bpaf(external)]
        metadata: PatchMetadata,
        #[bpaf(external)]
        name: Name,
    },
    /// Lets a member take new work again.
    #[bpaf(command)]
    In {
        #[bpaf(external)]
        common: CommonOptions,
        #[bpaf(external)]
        metadata: PatchMetadata,
        #[bpaf(external)]
        name: Name,
    },
}

/// Runs `filbertctl member`.
pub async fn run(options: Options) -> Result<(), Failure> {
    match options {
        Options::Add {
            common,
            metadata,
            settings,
            name,
        } => {
            let settings = json!({
                "data_centre": settings.data_centre,
                "address": settings.address,
                "connections": settings.connections,
                "slots": settings.slots,
            });
            change(&common, &metadata, &name, settings, "add").await
        }
        Options::Remove {
            common,
            metadata,
            name,
        } => change(&common, &metadata, &name, Value::Null, "remove").await,
        Options::Out {
            common,
            metadata,
            name,
        } => {
            let settings = json!({"availability": Availability::Out});
            change(&common, &metadata, &name, settings, "out").await
        }
        Options::In {
            common,
            metadata,
            name,
        } => {
            let settings = json!({"availability": Availability::In});
            change(&common, &metadata, &name, settings, "in").await
        }
    }
}

async fn change(
    common: &CommonOptions,
    metadata: &PatchMetadata,
    name: &Name,
    settings: Value,
    verb: &str,
) -> Result<(), Failure> {
    let Name { group, member } = name;
    let edit = Edit {
        kind: "member",
        name: member,
        is_new: verb == "add",
        change: json!({"groups": {group: {"members": {member: settings}}}}),
        reason: format!("member {verb} {group} {member}"),
    };
    let exists = |document: &Document| has_member(document, group, member);
    edit.submit(common, metadata, exists).await
}

fn has_member(document: &Document, group: &str, member: &str) -> bool {
    let group = document.groups.get(group);
    group.is_some_and(|group| group.members.contains_key(member))
}
