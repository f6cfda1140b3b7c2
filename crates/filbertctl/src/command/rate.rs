//! `filbertctl rate`: sets and lists the rate limits of workspaces.

use bpaf::Bpaf;
use filbertbay_state::patch::Change;
use serde_json::json;

use crate::exit::Failure;
use crate::operator::{
    CommonOptions, ConfigClient, PatchMetadata, common, metadata, require_exists,
};
use crate::output;

/// Subcommands of `filbertctl rate`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(options))]
pub enum Options {
    /// Sets the rate limit of a workspace over all instances together.
    #[bpaf(
        command,
        footer("Example: filbertctl rate set shop --per-second 100 --burst 40")
    )]
    Set {
        #[bpaf(external)]
        common: CommonOptions,
        #[bpaf(external)]
        metadata: PatchMetadata,
        /// Statements per second; unchanged if left out.
        #[bpaf(long, argument("N"))]
        per_second: Option<u64>,
        /// Statements that may run at once after an idle period; unchanged if left out.
        #[bpaf(long, argument("N"))]
        burst: Option<u64>,
        /// Workspace that the rate belongs to.
        #[bpaf(positional("WORKSPACE"))]
        workspace: String,
    },
    /// Lists the rate limits of all workspaces.
    #[bpaf(command)]
    List(#[bpaf(external(common))] CommonOptions),
}

/// Runs `filbertctl rate`.
pub async fn run(options: Options) -> Result<(), Failure> {
    match options {
        Options::Set {
            common,
            metadata,
            per_second,
            burst,
            workspace,
        } => set(&common, &metadata, per_second, burst, &workspace).await,
        Options::List(common) => list(&common).await,
    }
}

async fn set(
    common: &CommonOptions,
    metadata: &PatchMetadata,
    per_second: Option<u64>,
    burst: Option<u64>,
    workspace: &str,
) -> Result<(), Failure> {
    let client = ConfigClient::new(common)?;
    let current = client.load().await?;
    let found = current.document.workspaces.get(workspace);
    require_exists(found.is_some(), "workspace", workspace)?;
    let mut rate = json!({});
    for (field, value) in [("per_second", per_second), ("burst", burst)] {
        if let Some(value) = value {
            rate[field] = value.into();
        }
    }
    let change = Change::Merge(json!({"workspaces": {workspace: {"rate": rate}}}));
    client
        .change(
            metadata,
            current.version,
            change,
            &format!("rate set {workspace}"),
        )
        .await
}

async fn list(common: &CommonOptions) -> Result<(), Failure> {
    let current = ConfigClient::new(common)?.load().await?;
    let workspaces = current.document.workspaces.into_iter();
    let rates: std::collections::BTreeMap<_, _> = workspaces
        .map(|(name, workspace)| (name, workspace.rate))
        .collect();
    output::print(common.json, &rates, |rates| {
        let lines = rates
            .iter()
            .map(|(name, rate)| format!("{name}\t{}/s\tburst {}", rate.per_second, rate.burst));
        lines.collect::<Vec<_>>().join("\n")
    })
}
