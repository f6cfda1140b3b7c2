//! Vocabularies that filbertbay speaks with the platform, with endpoints and between instances.
//!
//! This package names messages and the traits that carry them. Sockets live in the transport
//! package, decisions in the coordination package.
//!
//! - [`platform`] is the small key-value service that holds what must last.
//! - [`repository`] keeps the configuration and its audit trail there.
//! - [`sql`] tells where a statement may run.
//! - [`peer`] is what instances tell each other.
//! - [`endpoint`] is what a member of a database group answers about itself.
//! - [`token`] carries what a session has seen to another instance.

pub mod endpoint;
pub mod peer;
pub mod platform;
pub mod repository;
pub mod sql;
pub mod token;
