//! Errors of the repository.

use std::fmt;

use filbertbay_state::{bundle, patch};
use strum::Display;

use crate::platform;

/// What went wrong with the stored configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display)]
#[strum(serialize_all = "snake_case")]
#[non_exhaustive]
pub enum ErrorKind {
    /// The platform could not be reached; nothing changed.
    Unreachable,
    /// No answer came and nothing changed.
    Unanswered,
    /// No answer came; the patch may have been applied. Submitting the same patch again tells.
    #[strum(serialize = "unknown")]
    OutcomeUnknown,
    /// The platform refused a call.
    #[strum(serialize = "rejected")]
    StoreRefused,
    /// The patch was refused; nothing changed.
    #[strum(serialize = "refused")]
    PatchRefused,
    /// A part of the configuration is larger than the platform's values.
    TooLarge,
    /// The platform holds bytes that are no configuration.
    Malformed,
    /// The platform's head names parts that the platform doesn't hold.
    Incomplete,
}

/// Failure of a call on the repository.
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

    /// Returns the error as it stands once a swap of the head was left without an answer.
    pub(super) fn after_lost_swap(self) -> Self {
        let kind = ErrorKind::OutcomeUnknown;
        Self { kind, ..self }
    }

    /// Notes that a refusal is missing in the audit trail.
    pub(super) fn unrecorded(mut self, cause: &Self) -> Self {
        let note = format!("\nthe refusal is missing in the audit trail: {cause}");
        self.message.push_str(&note);
        self
    }

    /// Returns what went wrong.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Returns why a patch was refused, if one was.
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
