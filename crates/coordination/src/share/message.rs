use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Fraction;

/// What instances tell each other about shares.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A borrower's question.
    #[serde(rename = "Ask")]
    Request(LoanRequest),
    /// A lender's consent.
    Grant(LoanGrant),
    /// A lender's refusal.
    Deny(LoanDenial),
    /// The early end of a loan.
    Return(LoanReturn),
}

impl Message {
    /// Returns the workspace that the message is about.
    pub fn workspace(&self) -> &Arc<str> {
        match self {
            Self::Request(ask) => &ask.workspace,
            Self::Grant(grant) => &grant.workspace,
            Self::Deny(deny) => &deny.workspace,
            Self::Return(back) => &back.workspace,
        }
    }
}

/// Question for a new loan, or for more time on one that stands.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// Number of the question, never used twice by a borrower.
    pub id: u64,
    /// Workspace that needs more.
    pub workspace: Arc<str>,
    /// Micro-tokens wanted now.
    pub tokens: u64,
    /// Smallest grant of micro-tokens that is of use without refill.
    pub least: u64,
    /// Fraction of the rate wanted for the time of the lease.
    pub rate: Fraction,
    /// Loan to renew.
    pub renews: Option<u64>,
}

/// Loan that the lender has already given up.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LoanGrant {
    /// Number of the question.
    pub ask: u64,
    /// Number of the loan.
    pub loan: u64,
    /// Workspace that the loan is for.
    pub workspace: Arc<str>,
    /// Micro-tokens that come with the loan.
    pub tokens: u64,
    /// Fraction of the burst that the borrower may hold.
    pub room: Fraction,
    /// Fraction of the rate at which the borrower's bucket fills.
    pub rate: Fraction,
    /// Length of the loan, counted from the moment the question left.
    pub lease: Duration,
}

/// Refusal of a loan.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LoanDenial {
    /// Number of the question.
    pub ask: u64,
    /// Workspace that the question was for.
    pub workspace: Arc<str>,
    /// Time after which asking again makes sense.
    pub retry_after: Duration,
}

/// End of a loan before its time.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LoanReturn {
    /// Number of the loan.
    pub loan: u64,
    /// Workspace that the loan was for.
    pub workspace: Arc<str>,
    /// Micro-tokens that go back with it.
    pub tokens: u64,
}
