//! Transports of filbertbay: the sockets, TLS and codecs below `filbertbay_protocol`.
//!
//! - [`wire`] frames PostgreSQL messages without decoding those that are only relayed.
//! - [`endpoint`] connects to members of database groups.
//! - [`peer`] carries control messages between instances.
//! - [`platform`] is an HTTP client of the platform's key-value store.
//! - [`stream`] is a byte stream, in plaintext or over TLS.
//! - [`tls`] loads certificates and keys, and reloads them when their files change.

pub mod endpoint;
pub mod peer;
pub mod platform;
pub mod stream;
pub mod tls;
pub mod wire;
