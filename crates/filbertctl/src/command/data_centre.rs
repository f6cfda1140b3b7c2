//! `filbertctl data-centre`: adds, removes and lists data centres and sets their availability.

use bpaf::Bpaf;
use filbertbay_state::document::{Availability, Document};
use serde_json::{Value, json};

use crate::exit::Failure;
use crate::operator::{CommonOptions, ConfigClient, Edit, PatchMetadata, common, metadata};
use crate::output;

/// Subcommands of `filbertctl data-centre`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(options))]
pub enum Options {
    /// Adds a data centre.
    #[bpaf(command)]
    Add {
        #[bpaf(external)]
        common: CommonOptions,
        #[bpaf(external)]
        metadata: PatchMetadata,
        /// Region of the data centre.
        #[bpaf(long, argument("REGION"))]
        region: String,
        /// Name of the data centre.
        #[bpaf(positional("DATA_CENTRE"))]
        name: String,
    },
    /// Removes a data centre; refused while it has a member.
    #[bpaf(command)]
    Remove {
        #[bpaf(external)]
        common: CommonOptions,
        #[bpaf(external)]
        metadata: PatchMetadata,
        /// Name of the data centre.
        #[bpaf(positional("DATA_CENTRE"))]
        name: String,
    },
    /// Takes a data centre out of service: its instances and members drain and get no new work.
    #[bpaf(
        command,
        footer("Example: filbertctl data-centre out caen --reason 'power work'")
    )]
    Out {
        #[bpaf(external)]
        common: CommonOptions,
        #[bpaf(external)]
        metadata: PatchMetadata,
        /// Name of the data centre.
        #[bpaf(positional("DATA_CENTRE"))]
        name: String,
    },
    /// Puts a data centre back into service.
    #[bpaf(command)]
    In {
        #[bpaf(external)]
        common: CommonOptions,
        #[bpaf(external)]
        metadata: PatchMetadata,
        /// Name of the data centre.
        #[bpaf(positional("DATA_CENTRE"))]
        name: String,
    },
    /// Lists data centres.
    #[bpaf(command)]
    List(#[bpaf(external(common))] CommonOptions),
}

/// Runs `filbertctl data-centre`.
pub async fn run(options: Options) -> Result<(), Failure> {
    match options {
        Options::Add {
            common,
            metadata,
            region,
            name,
        } => change(&common, &metadata, &name, json!({"region": region}), "add").await,
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
        Options::List(common) => list(&common).await,
    }
}

async fn change(
    common: &CommonOptions,
    metadata: &PatchMetadata,
    name: &str,
    settings: Value,
    verb: &str,
) -> Result<(), Failure> {
    let edit = Edit {
        kind: "data centre",
        name,
        is_new: verb == "add",
        change: json!({"data_centres": {name: settings}}),
        reason: format!("data-centre {verb} {name}"),
    };
    let exists = |document: &Document| document.data_centres.contains_key(name);
    edit.submit(common, metadata, exists).await
}

async fn list(common: &CommonOptions) -> Result<(), Failure> {
    let current = ConfigClient::new(common)?.load().await?;
    output::print(common.json, &current.document.data_centres, |centres| {
        let lines = centres
            .iter()
            .map(|(name, centre)| format!("{name}\t{}\t{}", centre.region, centre.availability));
        lines.collect::<Vec<_>>().join("\n")
    })
}
