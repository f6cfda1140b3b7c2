//! Library of the filbertbay daemon, a database proxy with session consistency.
//!
//! [`daemon`] starts an instance, [`caller`] serves callers over the connections of [`pool`], and
//! [`control`] maintains the state in [`published`] that traffic reads.

pub mod caller;
pub mod control;
pub mod daemon;
pub mod loss;
pub mod metric;
pub mod pool;
pub mod published;
pub mod seats;
pub mod settings;
pub mod share;
pub mod steering;

pub use filbertbay_entry::log;
