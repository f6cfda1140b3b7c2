//! Entry instance of the proxy, independent of the protocols of callers, endpoints and store.
//!
//! This package holds the decisions and the tasks that wait on I/O: sessions, connection pools,
//! freshness, rate limits, changes of primary, the view of the store and calls between instances.
//! Adapters implement the traits for the external protocols:
//!
//! | trait | purpose |
//! |---|---|
//! | [`caller::Caller`], [`daemon::Acceptor`] | connections of callers |
//! | [`endpoint::EndpointConnection`], [`endpoint::Connector`] | connections to endpoints |
//! | [`store::Store`], [`store::Dialect`] | the platform's key-value store and the values that other programs write there |
//! | [`store::Failover`] | orders to promote an endpoint |
//!
//! An instance has a fraction of a core, so everything runs on one thread. Decision logic comes from
//! `filbertbay-coordination` and takes the time as an argument.

pub mod caller;
pub mod catalog;
pub mod clock;
pub mod daemon;
pub mod endpoint;
pub mod era;
pub mod execution;
pub mod forward;
pub mod freshness;
pub mod health;
pub mod instance;
pub mod lock;
pub mod log;
pub mod memory;
pub mod peer;
pub mod pool;
pub mod primary;
pub mod quota;
pub mod session;
pub mod settings;
pub mod socket;
pub mod store;
pub mod succession;
pub mod task;
pub mod trace;
pub mod usage;
pub mod view;
pub mod watcher;
