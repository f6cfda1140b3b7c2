//! Structured log: JSON on standard output, or text for a terminal on standard error.
//!
//! Records pass through a bounded queue to a writer thread, so that no task waits for the log. A full
//! queue drops records, and the writer reports how many.

use serde::{Deserialize, Serialize};
use slog::{Drain, Logger, o};
use strum::{Display, EnumString};

/// Largest number of records in the queue; further ones are dropped and counted.
const QUEUE_CAPACITY: usize = 4_096;

/// Format of the log.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Format {
    /// One JSON object per line.
    #[default]
    Json,
    /// Text for a terminal.
    Terminal,
}

/// Returns a logger that writes in the given format and adds the instance and data centre to every
/// record.
///
/// # Examples
///
/// ```
/// use filbertbay_entry::log::{self, Format};
///
/// let logger = log::new_logger(Format::Json, "quimper-1", "quimper");
/// slog::info!(logger, "started");
/// ```
pub fn new_logger(format: Format, instance: &str, data_centre: &str) -> Logger {
    let drain = match format {
        Format::Json => asynchronous(slog_json::Json::default(std::io::stdout()).fuse()),
        Format::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            asynchronous(slog_term::FullFormat::new(decorator).build().fuse())
        }
    };
    let values = o!("instance" => instance.to_owned(), "data_centre" => data_centre.to_owned());
    Logger::root(drain.fuse(), values)
}

fn asynchronous<D>(drain: D) -> slog_async::Async
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    slog_async::Async::new(drain)
        .chan_size(QUEUE_CAPACITY)
        .build()
}
