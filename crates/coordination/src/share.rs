//! Rates of workspaces over the whole fleet, without a central counter.
//!
//! A workspace's rate and burst are cut into [`LANES`] equal lanes. Each lane of a workspace is held
//! by one instance, which keeps a token bucket for the lanes that it holds. The buckets of all
//! instances together never hold more than the burst and never gain more than the rate, so the
//! fleet admits at most `burst + rate * t` in any interval `t`.
//!
//! An instance that needs more than its lanes bring asks the other holders for a [`Loan`]. A loan
//! moves three things from the lender's bucket to the borrower's: tokens, room for tokens (a
//! fraction of the burst) and refill (a fraction of the rate). The lender gives them up before the
//! grant leaves. The borrower counts the lease from the moment its question left, the lender from
//! the later moment of the grant and with a margin, so the loan has ended at the borrower before it
//! returns to the lender. A lost answer therefore costs the fleet tokens until the lease ends, and
//! neither a late, a doubled nor a crossed answer can make any.
//!
//! No step depends on instances agreeing which of them live: who holds a lane is in the
//! [`Allocation`], and a holder that can't prove that it still holds its lanes stops spending them
//! (see [`RateLimiter::confirm_ownership`]).
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
//! let mut ledger = RateLimiter::new("quimper-1", "quimper", 1, Config::default());
//! ledger.apply_allocation(start, Arc::new(allocation));
//! ledger.confirm_ownership(start);
//!
//! // Lanes that are new to an instance start empty.
//! let now = start + Duration::from_secs(1);
//! let shop: Arc<str> = "shop".into();
//! let rate = Rate { per_second: 50, burst: 2 };
//! assert_eq!(ledger.try_acquire(now, &shop, rate, 1), Admission::Admitted);
//! assert_eq!(ledger.try_acquire(now, &shop, rate, 1), Admission::Admitted);
//! // The next token comes in 20 ms, which is worth a wait.
//! let wait = Duration::from_millis(20);
//! assert_eq!(ledger.try_acquire(now, &shop, rate, 1), Admission::Wait { timeout: wait });
//! assert_eq!(ledger.retry_acquire(now + wait, &shop, rate, 1), Admission::Admitted);
//! ```

mod account;
mod allocation;
mod config;
mod entry;
mod fraction;
mod ledger;
mod loan;
mod message;
mod meter;
mod plan;

pub use self::allocation::{Allocation, Holder, LANES, SHARDS};
pub use self::config::Config;
pub use self::fraction::Fraction;
pub use self::ledger::{Admission, Envelope, RateLimiter};
pub use self::loan::Loan;
pub use self::message::{LoanDenial, LoanGrant, LoanRequest, LoanReturn, Message};

/// Parts of one token; buckets count in these.
pub const MICROTOKENS_PER_TOKEN: u64 = 1_000_000;
