//! Guards against an unexpected error that ends the only task that does a job, while the process goes on
//! without it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use filbertbay_entry::task;
use slog::{Logger, o};
use tokio::task::LocalSet;

#[test]
fn a_task_that_panics_is_started_again() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let starts = Rc::new(Cell::new(0));
        let counted = Rc::clone(&starts);
        let log = Logger::root(slog::Discard, o!());
        task::spawn(&log, "test", move || {
            let starts = Rc::clone(&counted);
            async move {
                starts.set(starts.get() + 1);
                assert!(starts.get() > 2, "start {}", starts.get());
            }
        });
        tokio::time::sleep(Duration::from_secs(2)).await;
        // The third start ends without a panic, and a task that ended is not started again.
        assert_eq!(starts.get(), 3);
    });
}
