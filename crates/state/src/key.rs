//! Generation, digests and redaction of caller keys.
//!
//! The configuration holds only the SHA-256 digest of each key. A key is in clear text only where a
//! caller presents the key and when the key is granted: [`Secret`] can't be printed by accident,
//! and [`redact`] removes generated keys from text that operators wrote.
//!
//! # Examples
//!
//! ```
//! use filbertbay_state::key::{self, Digest};
//!
//! let secret = key::generate(|bytes| bytes.fill(7));
//! let digest = Digest::of(secret.reveal());
//! assert!(digest.matches(&Digest::of(secret.reveal())));
//! assert!(!digest.matches(&Digest::of("another key")));
//! ```

use std::borrow::Cow;
use std::fmt;
use std::str::FromStr;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq;

/// Prefix of every generated key, by which keys are recognised in text.
pub const PREFIX: &str = "fbk_";

/// Number of random bytes in a generated key.
const SECRET_BYTES: usize = 32;

/// Length of a SHA-256 digest in bytes.
const DIGEST_BYTES: usize = 32;

/// Prefixes of parser messages that quote the name of a field instead of a value.
const FIELD_ERROR_PREFIXES: [&str; 3] = ["unknown field", "missing field", "duplicate field"];

/// Text that [`redact`] substitutes for a key.
const REDACTION: &str = "[redacted]";

/// Caller key in clear text.
///
/// The type implements neither `Display` nor `Serialize`, and its `Debug` form omits the key.
pub struct Secret(String);

impl Secret {
    /// Returns the key in clear text, to be shown once to the operator who granted the key.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// Generates a key from a source of random bytes.
///
/// `fill` must fill the whole slice with cryptographically secure random bytes.
///
/// # Examples
///
/// ```
/// use filbertbay_state::key;
///
/// let secret = key::generate(|bytes| bytes.fill(1));
/// assert!(secret.reveal().starts_with(key::PREFIX));
/// ```
pub fn generate<F>(fill: F) -> Secret
where
    F: FnOnce(&mut [u8]),
{
    let mut bytes = [0; SECRET_BYTES];
    fill(&mut bytes);
    Secret(format!("{PREFIX}{}", URL_SAFE_NO_PAD.encode(bytes)))
}

/// SHA-256 digest of a caller key.
#[derive(Clone, Copy)]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// Returns the digest of a key in clear text.
    ///
    /// # Examples
    ///
    /// ```
    /// use filbertbay_state::key::Digest;
    ///
    /// let text = Digest::of("abc").to_string();
    /// assert!(text.starts_with("ba7816bf"));
    /// ```
    pub fn of(presented: &str) -> Self {
        Self(Sha256::digest(presented.as_bytes()).into())
    }

    /// Returns true if the digests are equal; the comparison takes constant time.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl FromStr for Digest {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut bytes = [0; DIGEST_BYTES];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| ParseError(()))?;
        Ok(Self(bytes))
    }
}

/// Error for text that is not a digest; the error omits the text, since it might be a key.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("a digest has 64 hexadecimal digits")]
pub struct ParseError(());

/// Returns true if the text contains the prefix of a generated key.
pub fn contains_secret(text: &str) -> bool {
    text.contains(PREFIX)
}

/// Replaces every generated key in the text by `[redacted]`.
///
/// # Examples
///
/// ```
/// use filbertbay_state::key;
///
/// assert_eq!(key::redact("new key fbk_abc-1, see ticket"), "new key [redacted], see ticket");
/// ```
pub fn redact(text: &str) -> Cow<'_, str> {
    if !contains_secret(text) {
        return Cow::Borrowed(text);
    }
    let mut redacted = String::new();
    let mut rest = text;
    while let Some(start) = rest.find(PREFIX) {
        redacted.push_str(&rest[..start]);
        redacted.push_str(REDACTION);
        rest = rest[start..].trim_start_matches(is_key_char);
    }
    redacted.push_str(rest);
    Cow::Owned(redacted)
}

/// Removes the rejected value from a parser's message, since the value might be a key.
///
/// Names of fields stay, since the operator needs them to correct the input.
pub(crate) fn redact_value(message: &str) -> String {
    let quotes_field = FIELD_ERROR_PREFIXES
        .iter()
        .any(|prefix| message.starts_with(prefix));
    let value_start = message.find(['"', '`']).filter(|_| !quotes_field);
    let Some(start) = value_start else {
        return redact(message).into_owned();
    };
    let expected = message.rfind(", expected ").filter(|index| *index > start);
    let expected = expected.map_or("", |index| &message[index..]);
    format!("{}{expected}", message[..start].trim_end())
}

fn is_key_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || c == '-' || c == '_'
}
