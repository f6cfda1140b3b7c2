//! `filbertctl workspace`.

use bpaf::Bpaf;
use filbertbay_state::document::Document;
use serde_json::json;

use crate::exit::Failure;
use crate::operator::{Edit, Labels, Operator, Target, labels, target};
use crate::output;

/// What to do with workspaces.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(options))]
pub enum Options {
    /// Adds a workspace; grant it a key afterwards.
    #[bpaf(
        command,
        footer("Example: filbertctl workspace add shop --per-second 50 --burst 20 --route orders")
    )]
    Add {
        #[bpaf(external)]
        target: Target,
        #[bpaf(external)]
        labels: Labels,
        /// Statements a second over the whole fleet.
        #[bpaf(long, argument("N"))]
        per_second: u64,
        /// Statements at once after a pause.
        #[bpaf(long, argument("N"))]
        burst: u64,
        /// Weight in queues.
        #[bpaf(long, argument("N"), fallback(1), display_fallback)]
        weight: u32,
        /// Route that the workspace may use; may be given several times.
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
        target: Target,
        #[bpaf(external)]
        labels: Labels,
        /// Name of the workspace.
        #[bpaf(positional("WORKSPACE"))]
        name: String,
    },
    /// Lists workspaces with their rates and routes.
    #[bpaf(command)]
    List(#[bpaf(external(target))] Target),
}

/// Runs `filbertctl workspace`.
pub async fn run(options: Options) -> Result<(), Failure> {
    match options {
        Options::Add {
            target,
            labels,
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
            add(&target, &labels, &name, workspace).await
        }
        Options::Remove {
            target,
            labels,
            name,
        } => remove(&target, &labels, &name).await,
        Options::List(target) => list(&target).await,
    }
}

async fn add(
    target: &Target,
    labels: &Labels,
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
    let is_known = |document: &Document| document.workspaces.contains_key(name);
    edit.submit(target, labels, is_known).await
}

async fn remove(target: &Target, labels: &Labels, name: &str) -> Result<(), Failure> {
    let edit = Edit {
        kind: "workspace",
        name,
        is_new: false,
        change: json!({"workspaces": {name: null}}),
        reason: format!("workspace remove {name}"),
    };
    let is_known = |document: &Document| document.workspaces.contains_key(name);
    edit.submit(target, labels, is_known).await
}

async fn list(target: &Target) -> Result<(), Failure> {
    let present = Operator::open(target)?.load().await?;
    let workspaces = present.document.workspaces;
    output::print(target.json, &workspaces, |workspaces| {
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
