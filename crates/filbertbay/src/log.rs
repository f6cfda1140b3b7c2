//! Log of the daemon.

use slog::{Drain, Logger, o};

use crate::settings::Log;

/// Records that wait for the writer at most; more are dropped and counted.
const CHANNEL: usize = 4_096;

/// Returns a logger that writes in the given format.
///
/// # Examples
///
/// ```
/// use filbertbay::{log, settings::Log};
///
/// let logger = log::open(Log::Json, "quimper-1", "quimper");
/// slog::info!(logger, "started");
/// ```
pub fn open(format: Log, instance: &str, data_centre: &str) -> Logger {
    let drain = match format {
        Log::Json => asynchronous(slog_json::Json::default(std::io::stderr()).fuse()),
        Log::Terminal => {
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
    slog_async::Async::new(drain).chan_size(CHANNEL).build()
}
