//! Error type of the repository, which maps failures of the platform, of stored bytes and of
//! patches.

use std::fmt;

use filbertbay_state::{bundle, patch};
use strum::Display;

use crate::platform;

/// Kind of failure of a repository call.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display)]
#[strum(serialize_all = "snake_case")]
#[non_exhaustive]
pub enum ErrorKind {
    /// No connection to the platform; nothing changed.
    Unreachable,
    /// No answer came; the configuration did not change.
    Unanswered,
    /// No answer came and the patch may have been applied; submitting the same patch again returns
    /// its outcome.
    #[strum(serialize = "unknown")]
    OutcomeUnknown,
    /// The platform refused a call.
    #[strum(serialize = "rejected")]
    StoreRefused,
    /// The patch was refused; nothing changed.
    #[strum(serialize = "refused")]
    PatchRefused,
    /// A part of the configuration exceeds the platform's maximum size of a value.
    TooLarge,
    /// The stored bytes are not a valid configuration.
    Malformed,
    /// The stored head references parts that do not exist.
    Incomplete,
}

/// Failure of a repository call.
#[derive(Debug)]
pub struct Error {
    kind: ErrorKind,
    message: String,
    refusal: Option<patch::Error>,
}

impl Error {
    pub(super) fn new<M>(kind: ErrorKind, message: M) -> Self
    where
        M: Into<String>,
    {
        Self {
            kind,
            message: message.into(),
            refusal: None,
        }
    }

    pub(super) fn incomplete() -> Self {
        Self::new(ErrorKind::Incomplete, "a part is missing")
    }

    /// Changes the kind to [`ErrorKind::OutcomeUnknown`], since an earlier swap of the head got no
    /// answer.
    pub(super) fn after_lost_swap(self) -> Self {
        let kind = ErrorKind::OutcomeUnknown;
        Self { kind, ..self }
    }

    /// Adds to the message that the refusal could not be recorded in the audit trail.
    pub(super) fn unrecorded(mut self, cause: &Self) -> Self {
        let note = format!("\nthe refusal is missing in the audit trail: {cause}");
        self.message.push_str(&note);
        self
    }

    /// Returns the kind of the failure.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Returns the error of a refused patch, or `None` for other failures.
    pub fn refusal(&self) -> Option<&patch::Error> {
        self.refusal.as_ref()
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Error {}

impl From<platform::Error> for Error {
    fn from(error: platform::Error) -> Self {
        let kind = match error.kind() {
            platform::ErrorKind::Unreachable => ErrorKind::Unreachable,
            platform::ErrorKind::Unanswered => ErrorKind::Unanswered,
            platform::ErrorKind::Refused => ErrorKind::StoreRefused,
            platform::ErrorKind::Malformed => ErrorKind::Malformed,
        };
        Self::new(kind, error.to_string())
    }
}

impl From<bundle::Error> for Error {
    fn from(error: bundle::Error) -> Self {
        let kind = match error.kind() {
            bundle::ErrorKind::Incomplete => ErrorKind::Incomplete,
            _ => ErrorKind::Malformed,
        };
        Self::new(kind, error.to_string())
    }
}

impl From<patch::Error> for Error {
    fn from(error: patch::Error) -> Self {
        let message = error.to_string();
        Self {
            refusal: Some(error),
            ..Self::new(ErrorKind::PatchRefused, message)
        }
    }
}
