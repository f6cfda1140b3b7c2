//! `filbertctl group`.

use bpaf::Bpaf;
use filbertbay_state::patch::Change;
use serde_json::json;

use crate::exit::Failure;
use crate::operator::{Labels, Operator, Target, expect_present, labels, target};
use crate::output;

/// What to do with database groups.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(options))]
pub enum Options {
    /// Names the member that becomes primary while it is available: a planned move.
    #[bpaf(command, footer("Example: filbertctl group prefer orders orders-2"))]
    Prefer {
        #[bpaf(external)]
        target: Target,
        #[bpaf(external)]
        labels: Labels,
        /// Name of the group.
        #[bpaf(positional("GROUP"))]
        group: String,
        /// Name of the member.
        #[bpaf(positional("MEMBER"))]
        member: String,
    },
    /// Removes a group with its members; it is refused while a route names the group.
    #[bpaf(command)]
    Remove {
        #[bpaf(external)]
        target: Target,
        #[bpaf(external)]
        labels: Labels,
        /// Name of the group.
        #[bpaf(positional("GROUP"))]
        group: String,
    },
    /// Lists groups with their members.
    #[bpaf(command)]
    List(#[bpaf(external(target))] Target),
}

/// Runs `filbertctl group`.
pub async fn run(options: Options) -> Result<(), Failure> {
    match options {
        Options::Prefer {
            target,
            labels,
            group,
            member,
        } => {
            let settings = json!({"preferred_primary": member});
            let reason = format!("group prefer {group} {member}");
            change(&target, &labels, &group, &settings, &reason).await
        }
        Options::Remove {
            target,
            labels,
            group,
        } => {
            let reason = format!("group remove {group}");
            change(&target, &labels, &group, &serde_json::Value::Null, &reason).await
        }
        Options::List(target) => list(&target).await,
    }
}

async fn change(
    target: &Target,
    labels: &Labels,
    group: &str,
    settings: &serde_json::Value,
    reason: &str,
) -> Result<(), Failure> {
    let operator = Operator::open(target)?;
    let present = operator.load().await?;
    if labels.id.is_none() {
        expect_present(present.document.groups.contains_key(group), "group", group)?;
    }
    let change = Change::Merge(json!({"groups": {group: settings}}));
    operator
        .change(labels, present.version, change, reason)
        .await
}

async fn list(target: &Target) -> Result<(), Failure> {
    let present = Operator::open(target)?.load().await?;
    output::print(target.json, &present.document.groups, |groups| {
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
