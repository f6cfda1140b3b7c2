//! `filbertctl group`: removes and lists database groups and sets their preferred primary.

use bpaf::Bpaf;
use filbertbay_state::patch::Change;
use serde_json::json;

use crate::exit::Failure;
use crate::operator::{
    CommonOptions, ConfigClient, PatchMetadata, common, metadata, require_exists,
};
use crate::output;

/// Subcommands of `filbertctl group`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(options))]
pub enum Options {
    /// Sets the preferred primary: a planned switchover makes it primary while it is available.
    #[bpaf(command, footer("Example: filbertctl group prefer orders orders-2"))]
    Prefer {
        #[bpaf(external)]
        common: CommonOptions,
        #[bpaf(external)]
        metadata: PatchMetadata,
        /// Name of the group.
        #[bpaf(positional("GROUP"))]
        group: String,
        /// Name of the member.
        #[bpaf(positional("MEMBER"))]
        member: String,
    },
    /// Removes a group with its members; refused while a route uses the group.
    #[bpaf(command)]
    Remove {
        #[bpaf(external)]
        common: CommonOptions,
        #[bpaf(external)]
        metadata: PatchMetadata,
        /// Name of the group.
        #[bpaf(positional("GROUP"))]
        group: String,
    },
    /// Lists groups with their members.
    #[bpaf(command)]
    List(#[bpaf(external(common))] CommonOptions),
}

/// Runs `filbertctl group`.
pub async fn run(options: Options) -> Result<(), Failure> {
    match options {
        Options::Prefer {
            common,
            metadata,
            group,
            member,
        } => {
            let settings = json!({"preferred_primary": member});
            let reason = format!("group prefer {group} {member}");
            change(&common, &metadata, &group, &settings, &reason).await
        }
        Options::Remove {
            common,
            metadata,
            group,
        } => {
            let reason = format!("group remove {group}");
            change(
                &common,
                &metadata,
                &group,
                &serde_json::Value::Null,
                &reason,
            )
            .await
        }
        Options::List(common) => list(&common).await,
    }
}

async fn change(
    common: &CommonOptions,
    metadata: &PatchMetadata,
    group: &str,
    settings: &serde_json::Value,
    reason: &str,
) -> Result<(), Failure> {
    let client = ConfigClient::new(common)?;
    let current = client.load().await?;
    if metadata.id.is_none() {
        require_exists(current.document.groups.contains_key(group), "group", group)?;
    }
    let change = Change::Merge(json!({"groups": {group: settings}}));
    client
        .change(metadata, current.version, change, reason)
        .await
}

async fn list(common: &CommonOptions) -> Result<(), Failure> {
    let current = ConfigClient::new(common)?.load().await?;
    output::print(common.json, &current.document.groups, |groups| {
        let lines = groups.iter().flat_map(|(name, group)| {
            group.members.iter().map(move |(member_name, member)| {
                let preferred = group.preferred_primary.as_ref() == Some(member_name);
                let preferred = if preferred { "\tpreferred" } else { "" };
                format!(
                    "{name}\t{member_name}\t{}\t{}\t{} connections\t{} slots\t{}{preferred}",
                    member.data_centre,
                    member.address,
                    member.connections,
                    member.slots,
                    member.availability
                )
            })
        });
        lines.collect::<Vec<_>>().join("\n")
    })
}
