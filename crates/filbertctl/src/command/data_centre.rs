//! `filbertctl data-centre`.

use bpaf::Bpaf;
use filbertbay_state::document::{Availability, Document};
use serde_json::{Value, json};

use crate::exit::Failure;
use crate::operator::{Edit, Labels, Operator, Target, labels, target};
use crate::output;

/// What to do with data centres.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(options))]
pub enum Options {
    /// Adds a data centre.
    #[bpaf(command)]
    Add {
        #[bpaf(external)]
        target: Target,
        #[bpaf(external)]
        labels: Labels,
        /// Region that the data centre lies in.
        #[bpaf(long, argument("REGION"))]
        region: String,
        /// Name of the data centre.
        #[bpaf(positional("DATA_CENTRE"))]
        name: String,
    },
    /// Removes a data centre; it is refused while a member lies in it.
    #[bpaf(command)]
    Remove {
        #[bpaf(external)]
        target: Target,
        #[bpaf(external)]
        labels: Labels,
        /// Name of the data centre.
        #[bpaf(positional("DATA_CENTRE"))]
        name: String,
    },
    /// Takes a data centre out: its instances and members finish what runs and get no new work.
    #[bpaf(
        command,
        footer("Example: filbertctl data-centre out caen --reason 'power work'")
    )]
    Out {
        #[bpaf(external)]
        target: Target,
        #[bpaf(external)]
        labels: Labels,
        /// Name of the data centre.
        #[bpaf(positional("DATA_CENTRE"))]
        name: String,
    },
    /// Lets a data centre take new work again.
    #[bpaf(command)]
    In {
        #[bpaf(external)]
        target: Target,
        #[bpaf(external)]
        labels: Labels,
        /// Name of the data centre.
        #[bpaf(positional("DATA_CENTRE"))]
        name: String,
    },
    /// Lists data centres.
    #[bpaf(command)]
    List(#[bpaf(external(target))] Target),
}

/// Runs `filbertctl data-centre`.
pub async fn run(options: Options) -> Result<(), Failure> {
    match options {
        Options::Add {
            target,
            labels,
            region,
            name,
        } => change(&target, &labels, &name, json!({"region": region}), "add").await,
        Options::Remove {
            target,
            labels,
            name,
        } => change(&target, &labels, &name, Value::Null, "remove").await,
        Options::Out {
            target,
            labels,
            name,
        } => {
            let settings = json!({"availability": Availability::Out});
            change(&target, &labels, &name, settings, "out").await
        }
        Options::In {
            target,
            labels,
            name,
        } => {
            let settings = json!({"availability": Availability::In});
            change(&target, &labels, &name, settings, "in").await
        }
        Options::List(target) => list(&target).await,
    }
}

async fn change(
    target: &Target,
    labels: &Labels,
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
    let is_known = |document: &Document| document.data_centres.contains_key(name);
    edit.submit(target, labels, is_known).await
}

async fn list(target: &Target) -> Result<(), Failure> {
    let present = Operator::open(target)?.load().await?;
    output::print(target.json, &present.document.data_centres, |centres| {
        let lines = centres
            .iter()
            .map(|(name, centre)| format!("{name}\t{}\t{}", centre.region, centre.availability));
        lines.collect::<Vec<_>>().join("\n")
    })
}
