//! `filbertctl rate`.

use bpaf::Bpaf;
use filbertbay_state::patch::Change;
use serde_json::json;

use crate::exit::Failure;
use crate::operator::{Labels, Operator, Target, expect_present, labels, target};
use crate::output;

/// What to do with rates.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(options))]
pub enum Options {
    /// Sets the rate of a workspace over the whole fleet.
    #[bpaf(
        command,
        footer("Example: filbertctl rate set shop --per-second 100 --burst 40")
    )]
    Set {
        #[bpaf(external)]
        target: Target,
        #[bpaf(external)]
        labels: Labels,
        /// Statements a second; the present value if left out.
        #[bpaf(long, argument("N"))]
        per_second: Option<u64>,
        /// Statements at once after a pause; the present value if left out.
        #[bpaf(long, argument("N"))]
        burst: Option<u64>,
        /// Workspace that the rate belongs to.
        #[bpaf(positional("WORKSPACE"))]
        workspace: String,
    },
    /// Lists the rates of all workspaces.
    #[bpaf(command)]
    List(#[bpaf(external(target))] Target),
}

/// Runs `filbertctl rate`.
pub async fn run(options: Options) -> Result<(), Failure> {
    match options {
        Options::Set {
            target,
            labels,
            per_second,
            burst,
            workspace,
        } => set(&target, &labels, per_second, burst, &workspace).await,
        Options::List(target) => list(&target).await,
    }
}

async fn set(
    target: &Target,
    labels: &Labels,
    per_second: Option<u64>,
    burst: Option<u64>,
    workspace: &str,
) -> Result<(), Failure> {
    let operator = Operator::open(target)?;
    let present = operator.load().await?;
    let found = present.document.workspaces.get(workspace);
    expect_present(found.is_some(), "workspace", workspace)?;
    let mut rate = json!({});
    for (field, value) in [("per_second", per_second), ("burst", burst)] {
        if let Some(value) = value {
            rate[field] = value.into();
        }
    }
    let change = Change::Merge(json!({"workspaces": {workspace: {"rate": rate}}}));
    operator
        .change(
            labels,
            present.version,
            change,
            &format!("rate set {workspace}"),
        )
        .await
}

async fn list(target: &Target) -> Result<(), Failure> {
    let present = Operator::open(target)?.load().await?;
    let workspaces = present.document.workspaces.into_iter();
    let rates: std::collections::BTreeMap<_, _> = workspaces
        .map(|(name, workspace)| (name, workspace.rate))
        .collect();
    output::print(target.json, &rates, |rates| {
        let lines = rates
            .iter()
            .map(|(name, rate)| format!("{name}\t{}/s\tburst {}", rate.per_second, rate.burst));
        lines.collect::<Vec<_>>().join("\n")
    })
}
