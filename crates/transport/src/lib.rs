//! Sockets of filbertbay: the traits of the protocol package over real connections.
//!
//! - [`platform`] speaks HTTP with the platform's key-value service.

pub mod platform;
