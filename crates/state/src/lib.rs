//! Data types that all packages share: configuration, caller keys, terms and log positions.
//!
//! This package performs no I/O, reads no clock and starts no task, so that every other package
//! may depend on it.
//!
//! - [`position`] defines the terms and log positions of a database group, which are ordered across
//!   changes of primary.
//! - [`status`] is the status that a member of a database group reports.
//! - [`instance`] describes a proxy instance as it announces itself.
//! - [`document`] is the JSON configuration that operators write. [`check`] validates a document,
//!   and [`snapshot`] compiles it for look-up, with [`id`]s in the place of names.
//! - [`version`] numbers the configuration, [`patch`] changes a document, and [`audit`] records
//!   each submitted patch.
//! - [`bundle`] is one version of the configuration as it is stored: a [`head`] that refers to
//!   [`part`]s by digest.
//! - [`key`] generates, digests and redacts caller keys.
//!
//! # Examples
//!
//! ```
//! use filbertbay_state::position::{Position, Term};
//!
//! let before = Position::new(Term(3), 900);
//! let after = Position::new(Term(4), 20);
//! assert!(after > before);
//! ```

pub mod audit;
pub mod bundle;
pub mod check;
pub mod document;
pub mod head;
pub mod id;
pub mod instance;
pub mod key;
pub mod part;
pub mod patch;
pub mod position;
pub mod snapshot;
pub mod status;
pub mod version;
