//! State that instances of filbertbay share: configuration, keys, terms and positions.
//!
//! This package holds plain data. It performs no I/O, reads no clock and starts no task, so that
//! every other package may depend on it.
//!
//! - [`position`] orders what a database group has written, across changes of primary.
//! - [`status`] is what a member says about itself.
//! - [`document`] is the operators' configuration as it is written in JSON, [`check`] finds its
//!   problems, and [`snapshot`] compiles it for look-up under its [`version`].
//! - [`patch`] changes a document, [`audit`] records it; [`bundle`] is a version as it is stored,
//!   a [`head`] and its [`part`]s.
//! - [`key`] digests and compares caller keys.
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
