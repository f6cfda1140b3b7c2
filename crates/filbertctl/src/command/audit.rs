//! `filbertctl audit`: lists the audit entries of patches, applied and refused, by time.

use bpaf::Bpaf;

use crate::exit::Failure;
use crate::operator::{self, CommonOptions, ConfigClient, common};
use crate::output;

/// Filters of the audit entries to list.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    #[bpaf(external)]
    common: CommonOptions,
    /// List only the entries of this author.
    #[bpaf(long, argument("NAME"))]
    author: Option<String>,
    /// List only the entries of this patch.
    #[bpaf(long, argument("ID"))]
    patch: Option<String>,
    /// List only the latest N entries.
    #[bpaf(long, argument("N"))]
    last: Option<usize>,
}

/// Runs `filbertctl audit`.
pub async fn run(options: Options) -> Result<(), Failure> {
    let mut entries = ConfigClient::new(&options.common)?.audit().await?;
    entries.retain(|entry| matches(options.author.as_deref(), &entry.author));
    entries.retain(|entry| matches(options.patch.as_deref(), &entry.patch));
    entries.sort_by_key(|entry| (entry.at, entry.to));
    let last = options.last.unwrap_or(entries.len());
    entries.drain(..entries.len().saturating_sub(last));
    output::print(options.common.json, &entries, |entries| {
        let lines: Vec<_> = entries.iter().map(operator::format_entry).collect();
        lines.join("\n")
    })
}

fn matches(wanted: Option<&str>, text: &str) -> bool {
    wanted.is_none_or(|wanted| wanted == text)
}
