//! Tasks that run for as long as the process.

use std::panic::AssertUnwindSafe;
use std::time::Duration;

use futures::FutureExt;
use slog::{Logger, error};

/// Delay before a task that panicked is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Spawns a task on the current `LocalSet`, and starts it again if it panics.
///
/// Without this a panic would end the task alone: the process would go on without, say, following the
/// store.
///
/// # Panics
///
/// Panics outside a `LocalSet`.
pub fn spawn<F, T>(log: &Logger, name: &'static str, start: F)
where
    F: Fn() -> T + 'static,
    T: Future<Output = ()> + 'static,
{
    let log = log.clone();
    tokio::task::spawn_local(async move {
        while AssertUnwindSafe(start()).catch_unwind().await.is_err() {
            error!(log, "task panicked, starting it again"; "task" => name);
            tokio::time::sleep(RESTART_DELAY).await;
        }
    });
}
