//! Transports of filbertbay: PostgreSQL, HTTP and peer TCP.
//!
//! - [`wire`] frames PostgreSQL messages without decoding what is only relayed.
//! - [`endpoint`] connects to members of database groups.

pub mod endpoint;
pub mod wire;
