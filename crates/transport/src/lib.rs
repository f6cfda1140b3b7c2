//! Transports of filbertbay: sockets and TLS beneath the protocol vocabularies.
//!
//! - [`wire`] frames PostgreSQL messages without decoding what is only relayed.
//! - [`endpoint`] connects to members of database groups.
//! - [`peer`] carries control messages between instances.
//! - [`platform`] speaks HTTP with the platform's key-value service.
//! - [`stream`] is a byte stream in the clear or over TLS.
//! - [`tls`] holds identities that follow their files.

pub mod endpoint;
pub mod peer;
pub mod platform;
pub mod stream;
pub mod tls;
pub mod wire;
