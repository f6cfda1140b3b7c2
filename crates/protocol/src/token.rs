//! Session tokens, which carry the consistency state of a session from one instance to another.
//!
//! For each group, a token holds the session's min position and the pinned member of a read whose
//! upper bound is not known yet. The token is signed with HMAC-SHA-256 for one workspace and does
//! not verify for another. Several secrets may be configured, the first of which signs while all
//! verify, so that a secret can be rotated without refusing the tokens of its predecessor.
//!
//! A token contains no secret of the caller and grants no access. A forged token could only make
//! reads see older data than they should, or require positions that do not exist.
//!
//! # Examples
//!
//! ```
//! use std::time::{Duration, Instant, UNIX_EPOCH};
//!
//! use filbertbay_coordination::session::Session;
//! use filbertbay_protocol::token::{Config, Signer};
//! use filbertbay_state::position::{Position, Term};
//!
//! let signer = Signer::new(Config::default(), [b"0123456789abcdef".to_vec()])?;
//! let mut session = Session::new();
//! session.raise_min_position("orders", Position::new(Term(2), 7));
//!
//! let issued = UNIX_EPOCH + Duration::from_secs(1_700_000_000);
//! let text = signer.sign("shop", &session, issued);
//! let restored = signer.verify("shop", &text, issued, Instant::now())?;
//! assert_eq!(restored.read_constraint("orders").min_position, Some(Position::new(Term(2), 7)));
//! assert!(signer.verify("portal", &text, issued, Instant::now()).is_err());
//! # Ok::<(), filbertbay_protocol::token::Error>(())
//! ```

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use filbertbay_coordination::session::{GroupEntry, PinnedMember, Session};
use filbertbay_state::position::{Position, Term};
use hmac::{Hmac, Mac};
use sha2::Sha256;
use strum::Display;

/// Maximum length of a token, in bytes.
pub const MAX_TOKEN_BYTES: usize = 16_384;

/// Minimum length of a secret, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

const FORMAT_VERSION: u8 = 1;
const MAC_BYTES: usize = 32;
/// Tolerated difference between the clocks of two instances.
const MAX_CLOCK_SKEW: Duration = Duration::from_mins(1);

/// Reason for which a token or a set of secrets is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display)]
#[strum(serialize_all = "snake_case")]
#[non_exhaustive]
pub enum ErrorKind {
    /// No secret is given, or one is shorter than [`MIN_SECRET_BYTES`].
    #[strum(serialize = "secret")]
    InvalidSecret,
    /// The token is longer than [`MAX_TOKEN_BYTES`].
    TooLong,
    /// The text is not a token, or its format is unknown.
    Malformed,
    /// The signature does not verify with any secret for this workspace.
    #[strum(serialize = "forged")]
    InvalidSignature,
    /// The token is older than allowed, or its time of issue is in the future.
    Expired,
}

/// Refusal of a token or of a set of secrets.
#[derive(Debug, thiserror::Error)]
#[error("session token: {kind}")]
pub struct Error {
    kind: ErrorKind,
}

impl Error {
    /// Returns the reason.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }
}

impl From<ErrorKind> for Error {
    fn from(kind: ErrorKind) -> Self {
        Self { kind }
    }
}

/// Options of a [`Signer`].
#[derive(Clone, Copy, Debug)]
pub struct Config {
    max_age: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            max_age: Duration::from_hours(24),
        }
    }
}

impl Config {
    /// Sets the maximum age of a token; the default is 24 hours.
    #[must_use]
    pub fn max_age(mut self, age: Duration) -> Self {
        self.max_age = age;
        self
    }
}

/// Signs and verifies session tokens.
pub struct Signer {
    config: Config,
    keys: Vec<Hmac<Sha256>>,
}

impl std::fmt::Debug for Signer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Signer")
            .field("config", &self.config)
            .field("keys", &self.keys.len())
            .finish()
    }
}

impl Signer {
    /// Creates a signer that signs with the first secret and verifies with all.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidSecret`] if there is no secret or one is shorter than [`MIN_SECRET_BYTES`].
    pub fn new<I>(config: Config, secrets: I) -> Result<Self, Error>
    where
        I: IntoIterator<Item = Vec<u8>>,
    {
        let keys: Option<Vec<_>> = secrets
            .into_iter()
            .map(|secret| signing_key(&secret))
            .collect();
        let keys = keys.filter(|keys| !keys.is_empty());
        let keys = keys.ok_or(ErrorKind::InvalidSecret)?;
        Ok(Self { config, keys })
    }

    /// Returns a token with the state of a session, signed for `workspace` and issued at `now`.
    pub fn sign(&self, workspace: &str, session: &Session, now: SystemTime) -> Arc<str> {
        let mut bytes = encode(session, now);
        let mac = mac(&self.keys[0], workspace, &bytes).finalize();
        bytes.extend_from_slice(&mac.into_bytes());
        URL_SAFE_NO_PAD.encode(bytes).into()
    }

    /// Verifies a token for `workspace` and returns the session that it describes.
    ///
    /// `now` is compared with the time of issue. `arrived` becomes the end of each pinned read,
    /// since those reads ended before the token arrived.
    ///
    /// # Errors
    ///
    /// Returns an error if the token is too long, malformed, signed for another workspace or with
    /// an unknown secret, too old, or issued in the future.
    pub fn verify(
        &self,
        workspace: &str,
        text: &str,
        now: SystemTime,
        arrived: Instant,
    ) -> Result<Session, Error> {
        if text.len() > MAX_TOKEN_BYTES {
            return Err(ErrorKind::TooLong.into());
        }
        let decoded = URL_SAFE_NO_PAD.decode(text);
        let bytes = decoded.map_err(|_| ErrorKind::Malformed)?;
        let body_len = bytes.len().checked_sub(MAC_BYTES);
        let (body, tag) = bytes.split_at(body_len.ok_or(ErrorKind::Malformed)?);
        let verifies = |key| mac(key, workspace, body).verify_slice(tag).is_ok();
        if !self.keys.iter().any(verifies) {
            return Err(ErrorKind::InvalidSignature.into());
        }
        let mut reader = Reader(body);
        let issued = decode_header(&mut reader).ok_or(ErrorKind::Malformed)?;
        self.check_age(issued, now)?;
        let entries = decode_entries(&mut reader, arrived);
        Ok(Session::restore(entries.ok_or(ErrorKind::Malformed)?))
    }

    fn check_age(&self, issued: Duration, now: SystemTime) -> Result<(), Error> {
        let now = now.duration_since(UNIX_EPOCH).unwrap_or_default();
        let is_future = issued > now + MAX_CLOCK_SKEW;
        let is_old = now.saturating_sub(issued) > self.config.max_age;
        if is_future || is_old {
            return Err(ErrorKind::Expired.into());
        }
        Ok(())
    }
}

fn signing_key(secret: &[u8]) -> Option<Hmac<Sha256>> {
    let is_long_enough = secret.len() >= MIN_SECRET_BYTES;
    is_long_enough.then(|| Hmac::new_from_slice(secret).ok())?
}

fn mac(key: &Hmac<Sha256>, workspace: &str, body: &[u8]) -> Hmac<Sha256> {
    let mut mac = key.clone();
    // The length prefix separates the name from the body, so that no other pair of name and body
    // has the same input.
    mac.update(&(workspace.len() as u64).to_be_bytes());
    mac.update(workspace.as_bytes());
    mac.update(body);
    mac
}

fn encode(session: &Session, now: SystemTime) -> Vec<u8> {
    let issued = now.duration_since(UNIX_EPOCH).unwrap_or_default();
    let entries = session.entries();
    let mut bytes = vec![FORMAT_VERSION];
    bytes.extend_from_slice(&issued.as_secs().to_be_bytes());
    // A group without an entry is treated as in a new session, so omitting an entry is safe.
    for entry in entries.iter().filter(|entry| fits(entry)) {
        encode_entry(&mut bytes, entry);
    }
    bytes
}

/// Returns whether the names of an entry fit a length prefix of one byte.
fn fits(entry: &GroupEntry) -> bool {
    let max_len = usize::from(u8::MAX);
    let member = entry.pinned.as_ref().map_or(0, |pinned| pinned.name.len());
    entry.group.len() <= max_len && member <= max_len
}

fn encode_entry(bytes: &mut Vec<u8>, entry: &GroupEntry) {
    let min_position = entry.min_position.unwrap_or_default();
    let member = entry.pinned.as_ref().map_or("", |pinned| &pinned.name);
    encode_text(bytes, &entry.group);
    bytes.extend_from_slice(&min_position.term.0.to_be_bytes());
    bytes.extend_from_slice(&min_position.index.to_be_bytes());
    encode_text(bytes, member);
}

fn encode_text(bytes: &mut Vec<u8>, text: &str) {
    bytes.push(text.len() as u8);
    bytes.extend_from_slice(text.as_bytes());
}

fn decode_header(reader: &mut Reader<'_>) -> Option<Duration> {
    (reader.byte()? == FORMAT_VERSION).then_some(())?;
    reader.number().map(Duration::from_secs)
}

fn decode_entries(reader: &mut Reader<'_>, arrived: Instant) -> Option<Vec<GroupEntry>> {
    let mut entries = Vec::new();
    while !reader.0.is_empty() {
        entries.push(decode_entry(reader, arrived)?);
    }
    Some(entries)
}

fn decode_entry(reader: &mut Reader<'_>, arrived: Instant) -> Option<GroupEntry> {
    let group = reader.text()?;
    let min_position = Position::new(Term(reader.number()?), reader.number()?);
    let member = reader.text()?;
    Some(GroupEntry {
        group,
        min_position: (min_position != Position::default()).then_some(min_position),
        pinned: (!member.is_empty()).then_some(PinnedMember {
            name: member,
            read_ended: arrived,
        }),
    })
}

/// Remaining bytes of a token.
struct Reader<'a>(&'a [u8]);

impl Reader<'_> {
    fn take(&mut self, count: usize) -> Option<&[u8]> {
        let (taken, rest) = self.0.split_at_checked(count)?;
        self.0 = rest;
        Some(taken)
    }

    fn byte(&mut self) -> Option<u8> {
        self.take(1).map(|bytes| bytes[0])
    }

    fn number(&mut self) -> Option<u64> {
        let bytes = self.take(8)?.try_into().ok()?;
        Some(u64::from_be_bytes(bytes))
    }

    fn text(&mut self) -> Option<Arc<str>> {
        let length = usize::from(self.byte()?);
        let text = std::str::from_utf8(self.take(length)?).ok()?;
        Some(text.into())
    }
}
