//! Messages by which instances request, grant, refuse and return loans of quota.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Fraction;

/// Message between the rate limiters of two instances.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Request for a loan, or for the renewal of one, from a borrower.
    #[serde(rename = "Ask")]
    Request(LoanRequest),
    /// Loan granted by a lender.
    Grant(LoanGrant),
    /// Refusal by a lender.
    Deny(LoanDenial),
    /// Early return of a loan by its borrower.
    Return(LoanReturn),
}

impl Message {
    /// Returns the workspace whose quota the message concerns.
    pub fn workspace(&self) -> &Arc<str> {
        match self {
            Self::Request(request) => &request.workspace,
            Self::Grant(grant) => &grant.workspace,
            Self::Deny(denial) => &denial.workspace,
            Self::Return(returned) => &returned.workspace,
        }
    }
}

/// Request for a new loan, or for the renewal of an existing one.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// Identifier of the request, unique for the borrower.
    pub id: u64,
    /// Workspace whose tokens are requested.
    pub workspace: Arc<str>,
    /// Micro-tokens wanted at once.
    pub tokens: u64,
    /// Smallest useful number of micro-tokens in a grant without refill.
    #[serde(rename = "least")]
    pub min_tokens: u64,
    /// Fraction of the workspace's rate wanted for the duration of the lease.
    #[serde(rename = "rate")]
    pub refill: Fraction,
    /// Identifier of the loan to renew; `None` requests a new loan.
    pub renews: Option<u64>,
}

/// Granted loan, which the lender has already deducted from its own bucket.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LoanGrant {
    /// Identifier of the request.
    #[serde(rename = "ask")]
    pub request_id: u64,
    /// Identifier of the loan, assigned by the lender.
    pub loan: u64,
    /// Workspace whose quota is lent.
    pub workspace: Arc<str>,
    /// Micro-tokens that the borrower receives; zero in a renewal.
    pub tokens: u64,
    /// Fraction of the burst that is added to the capacity of the borrower's bucket.
    #[serde(rename = "room")]
    pub capacity: Fraction,
    /// Fraction of the workspace's rate that is added to the refill of the borrower's bucket.
    #[serde(rename = "rate")]
    pub refill: Fraction,
    /// Duration of the loan, counted from the moment at which the borrower sent the request.
    pub lease: Duration,
}

/// Refusal to grant or renew a loan.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LoanDenial {
    /// Identifier of the request.
    #[serde(rename = "ask")]
    pub request_id: u64,
    /// Workspace whose tokens were requested.
    pub workspace: Arc<str>,
    /// Time after which the borrower should send another request.
    pub retry_after: Duration,
}

/// Return of a loan before its lease ends.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LoanReturn {
    /// Identifier of the loan, assigned by the lender.
    pub loan: u64,
    /// Workspace whose quota was lent.
    pub workspace: Arc<str>,
    /// Unspent micro-tokens that go back to the lender.
    pub tokens: u64,
}
