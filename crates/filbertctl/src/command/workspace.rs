//! `filbertctl workspace`: adds, removes and lists workspaces.

use bpaf::Bpaf;
use filbertbay_state::document::Document;
use serde_json::json;

use crate::exit::Failure;
use crate::operator::{CommonOptions, ConfigClient, Edit, PatchMetadata, common, metadata};
use crate::output;

/// Subcommands of `filbertctl workspace`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(options))]
pub enum Options {
    /// Adds a workspace without keys; grant a key with `key grant`.
    #[bpaf(
        command,
        footer("Example: filbertctl workspace add shop --per-second 50 --burst 20 --route orders")
    )]
    Add {
        #[bpaf(external)]
        common: CommonOptions,
        #[bpaf(external)]
        metadata: PatchMetadata,
        /// Rate limit in statements per second over all instances together.
        #[bpaf(long, argument("N"))]
        per_second: u64,
        /// Burst size: statements that may run at once after an idle period.
        #[bpaf(long, argument("N"))]
        burst: u64,
        /// Weight in the fair queueing of statements.
        #[bpaf(long, argument("N"), fallback(1), display_fallback)]
        weight: u32,
        /// Route that the workspace may use; may be repeated.
        #[bpaf(long, argument("ROUTE"))]
        route: Vec<String>,
        /// Name of the workspace.
        #[bpaf(positional("WORKSPACE"))]
        name: String,
    },
    /// Removes a workspace with its keys.
    #[bpaf(command)]
    Remove {
        #[bpaf(external)]
        common: CommonOptions,
        #[bpaf(external)]
        metadata: PatchMetadata,
        /// Name of the workspace.
        #[bpaf(positional("WORKSPACE"))]
        name: String,
    },
    /// Lists workspaces with their rates and routes.
    #[bpaf(command)]
    List(#[bpaf(external(common))] CommonOptions),
}

/// Runs `filbertctl workspace`.
pub async fn run(options: Options) -> Result<(), Failure> {
    match options {
        Options::Add {
            common,
            metadata,
            per_second,
            burst,
            weight,
            route,
            name,
        } => {
            let workspace = json!({
                "rate": {"per_second": per_second, "burst": burst},
                "weight": weight,
                "routes": route,
            });
            add(&common, &metadata, &name, workspace).await
        }
        Options::Remove {
            common,
            metadata,
            name,
        } => remove(&common, &metadata, &name).await,
        Options::List(common) => list(&common).await,
    }
}

async fn add(
    common: &CommonOptions,
    metadata: &PatchMetadata,
    name: &str,
    workspace: serde_json::Value,
) -> Result<(), Failure> {
    let edit = Edit {
        kind: "workspace",
        name,
        is_new: true,
        change: json!({"workspaces": {name: workspace}}),
        reason: format!("workspace add {name}"),
    };
    let exists = |document: &Document| document.workspaces.contains_key(name);
    edit.submit(common, metadata, exists).await
}

async fn remove(
    common: &CommonOptions,
    metadata: &PatchMetadata,
    name: &str,
) -> Result<(), Failure> {
    let edit = Edit {
        kind: "workspace",
        name,
        is_new: false,
        change: json!({"workspaces": {name: null}}),
        reason: format!("workspace remove {name}"),
    };
    let exists = |document: &Document| document.workspaces.contains_key(name);
    edit.submit(common, metadata, exists).await
}

async fn list(common: &CommonOptions) -> Result<(), Failure> {
    let current = ConfigClient::new(common)?.load().await?;
    let workspaces = current.document.workspaces;
    output::print(common.json, &workspaces, |workspaces| {
        let lines = workspaces.iter().map(|(name, workspace)| {
            let rate = workspace.rate;
            let keys = workspace.keys.len();
            let routes = workspace.routes.join(",");
            format!(
                "{name}\t{}/s\tburst {}\tweight {}\t{keys} keys\troutes {routes}",
                rate.per_second, rate.burst, workspace.weight
            )
        });
        lines.collect::<Vec<_>>().join("\n")
    })
}
