//! Check of the settings before the daemon starts.

use std::net::SocketAddr;
use std::path::Path;

use miette::{Diagnostic, NamedSource, SourceSpan};

use super::{Settings, Tls};

/// Longest name of an instance or data centre, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Hexadecimal digits of the shortest token secret.
const MIN_SECRET_DIGITS: usize = 32;

/// What a name must be.
const NAME: &str = "1 to 64 letters, digits, '-', '_' or '.'";

/// What token secrets must be.
const SECRETS: &str = "one or more secrets of at least 32 hexadecimal digits, even in number";

/// What links between instances must be.
const PRIVATE: &str =
    "TLS with authorities between instances, unless all are on loopback addresses";

/// Settings that can't be used.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[non_exhaustive]
pub enum Error {
    /// The file can't be read.
    #[error("settings file {path} can't be read: {reason}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// Why.
        reason: String,
    },
    /// The text is not what the settings must be.
    #[error("settings are malformed: {reason}")]
    Malformed {
        /// What was expected.
        reason: String,
        /// Text of the file.
        #[source_code]
        text: NamedSource<String>,
        /// Place of the mistake.
        #[label("here")]
        location: SourceSpan,
    },
    /// Values don't fit.
    #[error("settings have {} problem(s)", problems.len())]
    Invalid {
        /// What is wrong.
        #[related]
        problems: Vec<Problem>,
    },
}

/// Value that does not fit.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error, Diagnostic)]
#[error("{field}: expected {expected}")]
pub struct Problem {
    /// Name of the field.
    pub field: &'static str,
    /// What was expected.
    pub expected: String,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error that points to what is wrong.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| Error::Unreadable {
            path: name.clone(),
            reason: error.to_string(),
        })?;
        Self::parse(&name, &text)
    }

    /// Parses and checks settings; `name` stands for the text in errors.
    ///
    /// # Examples
    ///
    /// ```
    /// use filbertbay::settings::{Error, Settings};
    ///
    /// let error = Settings::parse("s.json", "{\"nam\": 1}").unwrap_err();
    /// assert!(matches!(error, Error::Malformed { .. }));
    /// assert!(error.to_string().contains("unknown field `nam`"));
    /// ```
    ///
    /// # Errors
    ///
    /// Returns an error that points to what is wrong.
    pub fn parse(name: &str, text: &str) -> Result<Self, Error> {
        let settings: Self = serde_json::from_str(text).map_err(|error| Error::Malformed {
            reason: error.to_string(),
            location: offset(text, error.line(), error.column()).into(),
            text: NamedSource::new(name, text.to_owned()),
        })?;
        let problems = settings.check();
        if problems.is_empty() {
            Ok(settings)
        } else {
            Err(Error::Invalid { problems })
        }
    }

    /// Returns what is wrong with the values.
    pub fn check(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        let mut expect = |holds: bool, field: &'static str, expected: &str| {
            if !holds {
                let expected = expected.to_owned();
                problems.push(Problem { field, expected });
            }
        };
        expect(is_name(&self.name), "name", NAME);
        expect(is_name(&self.data_centre), "data_centre", NAME);
        expect(
            self.has_platform(),
            "platform",
            "an address such as http://127.0.0.1:8500",
        );
        expect(self.has_secrets(), "token_secrets", SECRETS);
        expect(self.max_callers > 0, "max_callers", "at least 1");
        expect(
            self.are_distinct(),
            "callers",
            "a port of its own for each address",
        );
        expect(self.has_private_links(), "peer_tls", PRIVATE);
        expect(
            is_readable(self.caller_tls.as_ref()),
            "caller_tls",
            "files that can be read",
        );
        expect(
            is_readable(self.peer_tls.as_ref()),
            "peer_tls",
            "files that can be read",
        );
        problems
    }

    fn has_platform(&self) -> bool {
        self.platform.starts_with("http://") || self.platform.starts_with("https://")
    }

    fn has_secrets(&self) -> bool {
        let are_secrets = self.token_secrets.iter().all(|secret| is_secret(secret));
        are_secrets && !self.token_secrets.is_empty()
    }

    fn has_private_links(&self) -> bool {
        match &self.peer_tls {
            Some(tls) => tls.authorities.is_some(),
            None => self
                .links()
                .iter()
                .all(|address| address.ip().is_loopback()),
        }
    }

    fn links(&self) -> [SocketAddr; 2] {
        [self.peers, self.forwards]
    }

    fn are_distinct(&self) -> bool {
        let addresses = [self.callers, self.peers, self.forwards, self.metrics];
        let fixed: Vec<_> = addresses
            .iter()
            .filter(|address| address.port() != 0)
            .collect();
        fixed
            .iter()
            .enumerate()
            .all(|(index, address)| !fixed[..index].contains(address))
    }
}

fn is_name(name: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(is_allowed)
}

fn is_secret(secret: &str) -> bool {
    let is_long = secret.len() >= MIN_SECRET_DIGITS && secret.len().is_multiple_of(2);
    is_long && secret.chars().all(|c| c.is_ascii_hexdigit())
}

fn is_readable(tls: Option<&Tls>) -> bool {
    let Some(tls) = tls else { return true };
    let files = [
        Some(&tls.certificate),
        Some(&tls.key),
        tls.authorities.as_ref(),
    ];
    files
        .into_iter()
        .flatten()
        .all(|path| std::fs::File::open(path).is_ok())
}

/// Returns the byte offset of a line and column, both counted from one.
fn offset(text: &str, line: usize, column: usize) -> usize {
    let before: usize = text
        .split_inclusive('\n')
        .take(line.saturating_sub(1))
        .map(str::len)
        .sum();
    (before + column.saturating_sub(1)).min(text.len().saturating_sub(1))
}
