//! Daemon of a filbertbay entry instance, as a library.

pub mod caller;
pub mod pool;
pub mod settings;
