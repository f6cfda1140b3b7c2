//! Caller keys and their digests.
//!
//! The configuration holds the SHA-256 digest of each key. The key itself exists where a caller
//! presents it and at the moment of its grant, and nowhere else: [`Secret`] prints nothing, and
//! [`redact`] removes generated keys from text that operators wrote.
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

/// First characters of each generated key, by which one is recognised in text.
pub const PREFIX: &str = "fbk_";

/// Random bytes in a generated key.
const SECRET_BYTES: usize = 32;

/// Bytes of a digest.
const DIGEST_BYTES: usize = 32;

/// Starts of parser's messages that quote the name of a field and no value.
const FIELD_MESSAGES: [&str; 3] = ["unknown field", "missing field", "duplicate field"];

/// What [`redact`] puts in the place of a key.
const REDACTED: &str = "[redacted]";

/// Caller key in clear text.
///
/// It implements neither `Display` nor serialisation, and its debug form shows nothing.
pub struct Secret(String);

impl Secret {
    /// Returns the text, to be shown once to the operator who granted the key.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// Creates a key from a source of random bytes.
///
/// `fill` must fill the whole slice with unpredictable bytes.
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
    /// Computes the digest of a presented key.
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

    /// Compares two digests in time that doesn't depend on where they differ.
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

/// Text that is not a digest; the text is not repeated, since it might be a key.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("a digest has 64 hexadecimal digits")]
pub struct ParseError(());

/// Tells whether a text holds something that looks like a generated key.
pub fn contains_secret(text: &str) -> bool {
    text.contains(PREFIX)
}

/// Replaces generated keys in a text.
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
    let mut clean = String::new();
    let mut rest = text;
    while let Some(start) = rest.find(PREFIX) {
        clean.push_str(&rest[..start]);
        clean.push_str(REDACTED);
        rest = rest[start..].trim_start_matches(is_key_char);
    }
    clean.push_str(rest);
    Cow::Owned(clean)
}

/// Removes the offending value from a parser's message, since it might be a key.
///
/// Names of fields stay: they tell what to mend.
pub(crate) fn without_values(message: &str) -> String {
    let names_field = FIELD_MESSAGES
        .iter()
        .any(|start| message.starts_with(start));
    let value = message.find(['"', '`']).filter(|_| !names_field);
    let Some(start) = value else {
        return redact(message).into_owned();
    };
    let rest = message.rfind(", expected ").filter(|rest| *rest > start);
    let rest = rest.map_or("", |rest| &message[rest..]);
    format!("{}{rest}", message[..start].trim_end())
}

fn is_key_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || c == '-' || c == '_'
}
