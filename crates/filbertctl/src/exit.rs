//! Failures of a command and their exit codes.

use std::fmt;
use std::process::ExitCode;

use strum::{Display, EnumIter, IntoEnumIterator};

/// Kind of a failure; the discriminant is the exit code of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Code {
    /// A check or an invariant failed.
    Failed = 1,
    /// The command line, a file or a name given by the operator is wrong.
    Input = 2,
    /// The patch was refused; nothing changed.
    Refused = 3,
    /// The platform or an instance could not be reached; nothing changed.
    Unreachable = 4,
    /// The outcome is unknown: no response arrived, and the change may have taken effect.
    Unknown = 5,
    /// A stored value could not be parsed.
    Malformed = 6,
}

impl Code {
    /// Returns the description of the code that `--help` shows.
    pub fn description(self) -> &'static str {
        match self {
            Self::Failed => "a check or an invariant failed",
            Self::Input => "the command line, a file or a name is wrong",
            Self::Refused => "the patch was refused; nothing changed",
            Self::Unreachable => "the platform can't be reached; nothing changed",
            Self::Unknown => "the outcome is unknown; submit the same patch id again",
            Self::Malformed => "a stored value can't be parsed",
        }
    }

    /// Returns the list of exit codes for `--help`.
    pub fn help_table() -> String {
        let lines = Self::iter().map(|code| format!("  {} {}", code as u8, code.description()));
        let lines: Vec<_> = lines.collect();
        format!("Exit codes:\n  0 success\n{}", lines.join("\n"))
    }
}

/// Failure of a command: the exit code and the report for the operator.
#[derive(Debug)]
pub struct Failure {
    code: Code,
    report: miette::Report,
}

impl Failure {
    /// Creates a failure from a code and a message.
    pub fn new<M>(code: Code, message: M) -> Self
    where
        M: fmt::Display + fmt::Debug + Send + Sync + 'static,
    {
        Self::from_report(code, miette::Report::msg(message))
    }

    /// Creates a failure from a code and a report, which may hold annotated source text.
    pub fn from_report(code: Code, report: miette::Report) -> Self {
        Self { code, report }
    }

    /// Returns the exit code.
    pub fn code(&self) -> Code {
        self.code
    }

    /// Prints the failure to standard error and returns its exit code.
    pub fn print(&self) -> ExitCode {
        eprintln!("{:?}", self.report);
        ExitCode::from(self.code as u8)
    }
}
