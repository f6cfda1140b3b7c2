//! `filbertctl status`: the current configuration version and the instances on the platform.

use bpaf::Bpaf;
use serde_json::json;

use crate::exit::{Code, Failure};
use crate::operator::{CommonOptions, ConfigClient, common};
use crate::output;

/// Shows the current configuration version and the instances that the platform lists.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    #[bpaf(external)]
    common: CommonOptions,
}

/// Runs `filbertctl status`.
pub async fn run(options: Options) -> Result<(), Failure> {
    let client = ConfigClient::new(&options.common)?;
    let current = client.load().await?;
    let instances = client.store().instances().await;
    let instances =
        instances.map_err(|error| Failure::new(Code::Unreachable, error.to_string()))?;
    let value = json!({"version": current.version, "instances": instances});
    output::print(client.json(), &value, |_| {
        let heading = format!("version {}, {} instances", current.version, instances.len());
        let lines = instances.iter().map(|instance| {
            let (name, centre) = (&instance.name, &instance.data_centre);
            format!(
                "{name}\t{centre}\t{}\t{}",
                instance.caller_address, instance.presence
            )
        });
        let lines = std::iter::once(heading).chain(lines);
        lines.collect::<Vec<_>>().join("\n")
    })
}
