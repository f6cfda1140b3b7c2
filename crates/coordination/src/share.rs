//! Distributed rate limiting: the rate of each workspace holds over all instances, without a
//! central counter.
//!
//! The rate and the burst of a workspace are divided into [`LANES`] equal lanes. Each lane of a
//! workspace is held by one instance, which keeps one token bucket for the lanes that it holds. The
//! buckets of all instances together never hold more than the burst and never gain more than the
//! rate, so all instances together admit at most `burst + rate * t` in any interval `t`.
//!
//! An instance that needs more than its lanes yield requests a [`Loan`] from the other holders. A
//! loan moves three things from the lender's bucket to the borrower's: tokens, capacity (a fraction
//! of the burst) and refill (a fraction of the rate). The lender deducts them before it sends the
//! grant. The borrower counts the lease from the moment at which it sent the request, the lender
//! from the later moment of the grant and with a margin, so the loan expires at the borrower before
//! it returns to the lender. A lost answer therefore makes tokens unavailable until the lease ends,
//! and no late, duplicated or reordered answer can create tokens.
//!
//! No step requires instances to agree on which of them are alive: the [`Allocation`] names the
//! holder of each lane, and a holder without recent proof that it still holds its lanes stops
//! spending them (see [`RateLimiter::confirm_ownership`]).
//!
//! # Examples
//!
//! ```
//! use std::sync::Arc;
//! use std::time::{Duration, Instant};
//!
//! use filbertbay_coordination::share::{Admission, Allocation, Config, RateLimiter};
//! use filbertbay_state::document::Rate;
//!
//! let start = Instant::now();
//! let allocation = Allocation::even(&[("quimper-1", 1, "quimper")]);
//! let mut limiter = RateLimiter::new("quimper-1", "quimper", 1, Config::default());
//! limiter.apply_allocation(start, Arc::new(allocation));
//! limiter.confirm_ownership(start);
//!
//! // Lanes that are new to an instance start empty.
//! let now = start + Duration::from_secs(1);
//! let shop: Arc<str> = "shop".into();
//! let rate = Rate { per_second: 50, burst: 2 };
//! assert_eq!(limiter.try_acquire(now, &shop, rate, 1), Admission::Admitted);
//! assert_eq!(limiter.try_acquire(now, &shop, rate, 1), Admission::Admitted);
//! // The next token is refilled in 20 ms, within the longest wait.
//! let wait = Duration::from_millis(20);
//! assert_eq!(limiter.try_acquire(now, &shop, rate, 1), Admission::Wait { timeout: wait });
//! assert_eq!(limiter.retry_acquire(now + wait, &shop, rate, 1), Admission::Admitted);
//! ```

mod account;
mod allocation;
mod config;
mod entry;
mod fraction;
mod lane;
mod ledger;
mod loan;
mod message;
mod meter;
mod plan;
mod shortfall;

pub use self::allocation::{Allocation, Holder, LANES, SHARDS};
pub use self::config::Config;
pub use self::fraction::Fraction;
pub use self::ledger::{Admission, Envelope, RateLimiter};
pub use self::loan::Loan;
pub use self::message::{LoanDenial, LoanGrant, LoanRequest, LoanReturn, Message};

/// Micro-tokens in one token. Buckets count in micro-tokens.
pub const MICRO_TOKENS_PER_TOKEN: u64 = 1_000_000;
