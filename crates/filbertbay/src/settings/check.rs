//! Validation of the settings before the daemon starts.

use std::net::SocketAddr;
use std::path::Path;

use miette::{Diagnostic, NamedSource, SourceSpan};

use super::{Settings, Tls};

/// Maximum length of the name of an instance or data centre, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Minimum length of a token secret, in hexadecimal digits.
const MIN_SECRET_DIGITS: usize = 32;

/// Expected form of a name.
const EXPECTED_NAME: &str = "1 to 64 letters, digits, '-', '_' or '.'";

/// Expected form of the token secrets.
const EXPECTED_SECRETS: &str =
    "one or more secrets of at least 32 hexadecimal digits, even in number";

/// Expected protection of connections between instances.
const EXPECTED_PEER_TLS: &str =
    "TLS with authorities between instances, unless all are on loopback addresses";

/// Failure to read or validate the settings.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[non_exhaustive]
pub enum Error {
    /// The file can't be read.
    #[error("settings file {path} can't be read: {reason}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// Cause of the failure.
        reason: String,
    },
    /// The file is not JSON of the expected form.
    #[error("settings are malformed: {reason}")]
    Malformed {
        /// Message of the parser.
        reason: String,
        /// Content of the file.
        #[source_code]
        text: NamedSource<String>,
        /// Location of the error in the content.
        #[label("here")]
        location: SourceSpan,
    },
    /// The values of some fields are invalid.
    #[error("settings have {} problem(s)", problems.len())]
    Invalid {
        /// All invalid values.
        #[related]
        problems: Vec<Problem>,
    },
}

/// Field with an invalid value.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error, Diagnostic)]
#[error("{field}: expected {expected}")]
pub struct Problem {
    /// Name of the field.
    pub field: &'static str,
    /// Description of a valid value.
    pub expected: String,
}

impl Settings {
    /// Reads, parses and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or parsed, or if a value is invalid.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| Error::Unreadable {
            path: name.clone(),
            reason: error.to_string(),
        })?;
        Self::parse(&name, &text)
    }

    /// Parses and validates settings; `name` is the name of the source in errors.
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
    /// Returns an error if the text can't be parsed or a value is invalid.
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

    /// Returns the fields with invalid values; empty if the settings are valid.
    pub fn check(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        let mut require = |is_valid: bool, field: &'static str, expected: &str| {
            if !is_valid {
                let expected = expected.to_owned();
                problems.push(Problem { field, expected });
            }
        };
        require(is_valid_name(&self.name), "name", EXPECTED_NAME);
        require(
            is_valid_name(&self.data_centre),
            "data_centre",
            EXPECTED_NAME,
        );
        require(
            self.has_platform_url(),
            "platform",
            "an address such as http://127.0.0.1:8500",
        );
        require(self.has_valid_secrets(), "token_secrets", EXPECTED_SECRETS);
        require(self.max_callers > 0, "max_callers", "at least 1");
        require(
            self.has_distinct_ports(),
            "callers",
            "a port of its own for each address",
        );
        require(
            self.has_secure_peer_connections(),
            "peer_tls",
            EXPECTED_PEER_TLS,
        );
        require(
            are_readable(self.caller_tls.as_ref()),
            "caller_tls",
            "files that can be read",
        );
        require(
            are_readable(self.peer_tls.as_ref()),
            "peer_tls",
            "files that can be read",
        );
        problems
    }

    fn has_platform_url(&self) -> bool {
        self.platform.starts_with("http://") || self.platform.starts_with("https://")
    }

    fn has_valid_secrets(&self) -> bool {
        let are_valid = self
            .token_secrets
            .iter()
            .all(|secret| is_valid_secret(secret));
        are_valid && !self.token_secrets.is_empty()
    }

    fn has_secure_peer_connections(&self) -> bool {
        match &self.peer_tls {
            Some(tls) => tls.authorities.is_some(),
            None => self
                .peer_addresses()
                .iter()
                .all(|address| address.ip().is_loopback()),
        }
    }

    fn peer_addresses(&self) -> [SocketAddr; 2] {
        [self.peers, self.forwards]
    }

    fn has_distinct_ports(&self) -> bool {
        let addresses = [self.callers, self.peers, self.forwards, self.metrics];
        let fixed_ports: Vec<_> = addresses
            .iter()
            .filter(|address| address.port() != 0)
            .collect();
        fixed_ports
            .iter()
            .enumerate()
            .all(|(index, address)| !fixed_ports[..index].contains(address))
    }
}

fn is_valid_name(name: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(is_allowed)
}

fn is_valid_secret(secret: &str) -> bool {
    let has_valid_length = secret.len() >= MIN_SECRET_DIGITS && secret.len().is_multiple_of(2);
    has_valid_length && secret.chars().all(|c| c.is_ascii_hexdigit())
}

fn are_readable(tls: Option<&Tls>) -> bool {
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

/// Returns the byte offset of a line and column, both numbered from one.
fn offset(text: &str, line: usize, column: usize) -> usize {
    let before: usize = text
        .split_inclusive('\n')
        .take(line.saturating_sub(1))
        .map(str::len)
        .sum();
    (before + column.saturating_sub(1)).min(text.len().saturating_sub(1))
}
