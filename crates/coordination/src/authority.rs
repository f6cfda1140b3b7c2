//! Leader changes of a database group, and confirmation of its writes.
//!
//! Both decide from the status answers of the members. [`confirm`] proves that a write was not run
//! by a superseded primary before the write is acknowledged. [`failover`] replaces a lost primary
//! and performs planned switchovers.
//!
//! Both rely on two properties of members: the fencing term only rises, and a member accepts each
//! fencing term once. If a majority has no fence above term `T` after a write has run, no later
//! primary existed when the write ran. Of several proposers of the same term, at most one gets a
//! majority.

pub mod confirm;
pub mod failover;
