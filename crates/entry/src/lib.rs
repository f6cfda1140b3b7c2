//! Entry instance whose callers, endpoints and store are reached through drivers.
//!
//! This package holds everything that decides and everything that waits: sessions, connections,
//! freshness, rates, changes of primary, the view of the store, calls between instances. What it
//! does not know is any protocol of the outside. An adapter implements the traits at its borders:
//!
//! | trait | border |
//! |---|---|
//! | [`caller::Caller`], [`daemon::Acceptor`] | connections of callers |
//! | [`endpoint::EndpointConnection`], [`endpoint::Connector`] | connections to endpoints |
//! | [`store::Store`], [`store::Dialect`] | the platform's key-value store and what others write there |
//! | [`store::Failover`] | orders to promote an endpoint |
//!
//! An instance has a fraction of a core, so all of it runs on one thread; deciders come from
//! `filbertbay-coordination` and take the time as an argument.

pub mod caller;
pub mod catalog;
pub mod clock;
pub mod daemon;
pub mod endpoint;
pub mod health;
pub mod instance;
pub mod log;
pub mod peer;
pub mod pool;
pub mod quota;
pub mod session;
pub mod settings;
pub mod socket;
pub mod store;
pub mod succession;
pub mod view;
pub mod watcher;
