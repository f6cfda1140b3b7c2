//! Transports of filbertbay: sockets and TLS beneath the protocol vocabularies.
//!
//! - [`peer`] carries control messages between instances.
//! - [`tls`] holds identities that follow their files.

pub mod peer;
pub mod tls;
