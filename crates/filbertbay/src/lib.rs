//! Daemon of a filbertbay entry instance, as a library.

pub mod settings;
