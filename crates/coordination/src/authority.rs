//! Who leads a database group, and which of its writes may be acknowledged.
//!
//! The members are the evidence. [`confirm`] proves that a write was not run by a superseded
//! primary before its caller hears of success. [`failover`] replaces a primary that is lost and
//! moves the lead away from a member that is to leave.
//!
//! Both rest on two facts about members. A fence only rises, and a member accepts each fence once.
//! So a majority that has not been fenced above term `T` when a write has run shows that no later
//! primary existed at that moment; and of several proposers that want one term at most one finds a
//! majority.

pub mod confirm;
pub mod failover;
