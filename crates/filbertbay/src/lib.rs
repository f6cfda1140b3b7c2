//! Daemon of a filbertbay entry instance, as a library.

pub mod caller;
pub mod log;
pub mod metric;
pub mod pool;
pub mod settings;
