//! `filbertctl route`: adds, removes and lists routes.

use bpaf::Bpaf;
use filbertbay_state::document::{Access, Document, Durability};
use serde_json::{Value, json};

use crate::exit::Failure;
use crate::operator::{CommonOptions, ConfigClient, Edit, PatchMetadata, common, metadata};
use crate::output;

/// Settings of a route.
#[derive(Clone, Debug, Bpaf)]
pub struct Settings {
    /// Group that serves the route.
    #[bpaf(long, argument("GROUP"))]
    group: String,
    /// Who may use the route: key or open.
    #[bpaf(long, argument("ACCESS"), fallback(Access::Key), display_fallback)]
    access: Access,
    /// Members that must have a write before it is acknowledged: majority or primary.
    #[bpaf(
        long,
        argument("KIND"),
        fallback(Durability::Majority),
        display_fallback
    )]
    durability: Durability,
    /// Writes are idempotent: they may run more than once without harm.
    #[bpaf(long)]
    idempotent: bool,
    /// Staleness limit of reads, in milliseconds.
    #[bpaf(long, argument("MS"))]
    staleness_ms: Option<u64>,
}

/// Subcommands of `filbertctl route`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(options))]
pub enum Options {
    /// Adds a route to a group.
    #[bpaf(
        command,
        footer("Example: filbertctl route add stock --group stock --staleness-ms 500")
    )]
    Add {
        #[bpaf(external)]
        common: CommonOptions,
        #[bpaf(external)]
        metadata: PatchMetadata,
        #[bpaf(external)]
        settings: Settings,
        /// Name of the route.
        #[bpaf(positional("ROUTE"))]
        name: String,
    },
    /// Removes a route; refused while a workspace lists the route.
    #[bpaf(command)]
    Remove {
        #[bpaf(external)]
        common: CommonOptions,
        #[bpaf(external)]
        metadata: PatchMetadata,
        /// Name of the route.
        #[bpaf(positional("ROUTE"))]
        name: String,
    },
    /// Lists routes.
    #[bpaf(command)]
    List(#[bpaf(external(common))] CommonOptions),
}

/// Runs `filbertctl route`.
pub async fn run(options: Options) -> Result<(), Failure> {
    match options {
        Options::Add {
            common,
            metadata,
            settings,
            name,
        } => add(&common, &metadata, &settings, &name).await,
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
    settings: &Settings,
    name: &str,
) -> Result<(), Failure> {
    let edit = Edit {
        kind: "route",
        name,
        is_new: true,
        change: json!({"routes": {name: settings.to_value()}}),
        reason: format!("route add {name}"),
    };
    let exists = |document: &Document| document.routes.contains_key(name);
    edit.submit(common, metadata, exists).await
}

impl Settings {
    fn to_value(&self) -> Value {
        json!({
            "group": self.group,
            "access": self.access,
            "durability": self.durability,
            "idempotent": self.idempotent,
            "staleness_ms": self.staleness_ms,
        })
    }
}

async fn remove(
    common: &CommonOptions,
    metadata: &PatchMetadata,
    name: &str,
) -> Result<(), Failure> {
    let edit = Edit {
        kind: "route",
        name,
        is_new: false,
        change: json!({"routes": {name: null}}),
        reason: format!("route remove {name}"),
    };
    let exists = |document: &Document| document.routes.contains_key(name);
    edit.submit(common, metadata, exists).await
}

async fn list(common: &CommonOptions) -> Result<(), Failure> {
    let current = ConfigClient::new(common)?.load().await?;
    output::print(common.json, &current.document.routes, |routes| {
        let lines = routes.iter().map(|(name, route)| {
            let staleness = route.staleness_ms.map(|ms| format!("\tstaleness {ms} ms"));
            let staleness = staleness.unwrap_or_default();
            let (group, access, durability) = (&route.group, route.access, route.durability);
            format!("{name}\tgroup {group}\taccess {access}\tdurability {durability}{staleness}")
        });
        lines.collect::<Vec<_>>().join("\n")
    })
}
