//! Protocols between filbertbay and the platform, the endpoints and other instances.
//!
//! This package defines the messages and the traits that send them. Sockets are in the transport
//! package, decisions in the coordination package.
//!
//! - [`platform`]: client interface of the key-value service for durable state.
//! - [`repository`]: storage of the configuration and its audit trail in that service.
//! - [`sql`]: classification of statements, which decides where they may run.
//! - [`peer`]: control messages between instances.
//! - [`endpoint`]: status and orders of the members of a database group.
//! - [`token`]: signed tokens that carry the consistency state of a session to another instance.

pub mod endpoint;
pub mod peer;
pub mod platform;
pub mod repository;
pub mod sql;
pub mod token;
