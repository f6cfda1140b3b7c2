//! Daemon of a filbertbay entry instance, as a library.

pub mod caller;
pub mod control;
pub mod daemon;
pub mod metric;
pub mod pool;
pub mod published;
pub mod seats;
pub mod settings;
pub mod share;
pub mod steering;

pub use filbertbay_entry::log;
