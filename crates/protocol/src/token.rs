//! Signed text that carries what a session has seen from one instance to another.
//!
//! A token names, for each group, the session's floor and the member of a read whose upper bound is
//! not known yet. It is signed with HMAC-SHA-256 for one workspace; another workspace's token does
//! not verify. Several secrets may be in use at once, so that a secret is replaced without refusing
//! the tokens of the one before: the first signs, all verify.
//!
//! A token holds no secret of the caller and grants nothing. A forged one could only make reads see
//! older data than they should, or ask for positions that do not exist.
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

/// Longest token that is looked at, in bytes.
pub const MAX_TOKEN_BYTES: usize = 16_384;

/// Shortest secret that may sign, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

const FORMAT: u8 = 1;
const MAC_BYTES: usize = 32;
/// Clocks of two instances may differ by this much.
const MAX_SKEW: Duration = Duration::from_mins(1);

/// What is wrong with a token or a secret.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display)]
#[strum(serialize_all = "snake_case")]
#[non_exhaustive]
pub enum ErrorKind {
    /// No secret is given, or one is too short.
    #[strum(serialize = "secret")]
    InvalidSecret,
    /// The token is longer than [`MAX_TOKEN_BYTES`].
    TooLong,
    /// The text is not a token of a known format.
    Malformed,
    /// No secret has signed the token for this workspace.
    #[strum(serialize = "forged")]
    InvalidSignature,
    /// The token is older than allowed, or from the future.
    Expired,
}

/// Refusal of a token or of a set of secrets.
#[derive(Debug, thiserror::Error)]
#[error("session token: {kind}")]
pub struct Error {
    kind: ErrorKind,
}

impl Error {
    /// Returns what is wrong.
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
    /// Sets how old a token may be.
    #[must_use]
    pub fn max_age(mut self, age: Duration) -> Self {
        self.max_age = age;
        self
    }
}

/// Signs and verifies tokens.
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
    /// Creates a signer; the first secret signs, all verify.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidSecret`] if there is no secret or one is shorter than [`MIN_SECRET_BYTES`].
    pub fn new<I>(config: Config, secrets: I) -> Result<Self, Error>
    where
        I: IntoIterator<Item = Vec<u8>>,
    {
        let keys: Option<Vec<_>> = secrets.into_iter().map(|secret| key(&secret)).collect();
        let keys = keys.filter(|keys| !keys.is_empty());
        let keys = keys.ok_or(ErrorKind::InvalidSecret)?;
        Ok(Self { config, keys })
    }

    /// Writes what a session has seen as a token for one workspace.
    pub fn sign(&self, workspace: &str, session: &Session, now: SystemTime) -> Arc<str> {
        let mut bytes = encode(session, now);
        let mac = mac(&self.keys[0], workspace, &bytes).finalize();
        bytes.extend_from_slice(&mac.into_bytes());
        URL_SAFE_NO_PAD.encode(bytes).into()
    }

    /// Reads a token that was presented for a workspace.
    ///
    /// `now` dates the token, `arrived` the reads that it mentions: they ended before it.
    ///
    /// # Errors
    ///
    /// Refuses a token that is too long, malformed, signed for another workspace or by an unknown
    /// secret, too old, or from the future.
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
        let split = bytes.len().checked_sub(MAC_BYTES);
        let (body, tag) = bytes.split_at(split.ok_or(ErrorKind::Malformed)?);
        let verifies = |key| mac(key, workspace, body).verify_slice(tag).is_ok();
        if !self.keys.iter().any(verifies) {
            return Err(ErrorKind::InvalidSignature.into());
        }
        let mut input = Input(body);
        let issued = decode_header(&mut input).ok_or(ErrorKind::Malformed)?;
        self.check_age(issued, now)?;
        let entries = decode_entries(&mut input, arrived);
        Ok(Session::restore(entries.ok_or(ErrorKind::Malformed)?))
    }

    fn check_age(&self, issued: Duration, now: SystemTime) -> Result<(), Error> {
        let now = now.duration_since(UNIX_EPOCH).unwrap_or_default();
        let is_future = issued > now + MAX_SKEW;
        let is_old = now.saturating_sub(issued) > self.config.max_age;
        if is_future || is_old {
            return Err(ErrorKind::Expired.into());
        }
        Ok(())
    }
}

fn key(secret: &[u8]) -> Option<Hmac<Sha256>> {
    let is_long = secret.len() >= MIN_SECRET_BYTES;
    is_long.then(|| Hmac::new_from_slice(secret).ok())?
}

fn mac(key: &Hmac<Sha256>, workspace: &str, body: &[u8]) -> Hmac<Sha256> {
    let mut mac = key.clone();
    // The length keeps one workspace's name and body from reading as another's.
    mac.update(&(workspace.len() as u64).to_be_bytes());
    mac.update(workspace.as_bytes());
    mac.update(body);
    mac
}

fn encode(session: &Session, now: SystemTime) -> Vec<u8> {
    let issued = now.duration_since(UNIX_EPOCH).unwrap_or_default();
    let entries = session.entries();
    let mut bytes = vec![FORMAT];
    bytes.extend_from_slice(&issued.as_secs().to_be_bytes());
    // A session without an entry is treated like one that arrives, so leaving one out is safe.
    for entry in entries.iter().filter(|entry| fits(entry)) {
        encode_entry(&mut bytes, entry);
    }
    bytes
}

fn fits(entry: &GroupEntry) -> bool {
    let longest = usize::from(u8::MAX);
    let member = entry.pinned.as_ref().map_or(0, |s| s.name.len());
    entry.group.len() <= longest && member <= longest
}

fn encode_entry(bytes: &mut Vec<u8>, entry: &GroupEntry) {
    let floor = entry.min_position.unwrap_or_default();
    let member = entry.pinned.as_ref().map_or("", |s| &s.name);
    encode_text(bytes, &entry.group);
    bytes.extend_from_slice(&floor.term.0.to_be_bytes());
    bytes.extend_from_slice(&floor.index.to_be_bytes());
    encode_text(bytes, member);
}

fn encode_text(bytes: &mut Vec<u8>, text: &str) {
    bytes.push(text.len() as u8);
    bytes.extend_from_slice(text.as_bytes());
}

fn decode_header(input: &mut Input<'_>) -> Option<Duration> {
    (input.byte()? == FORMAT).then_some(())?;
    input.number().map(Duration::from_secs)
}

fn decode_entries(input: &mut Input<'_>, arrived: Instant) -> Option<Vec<GroupEntry>> {
    let mut entries = Vec::new();
    while !input.0.is_empty() {
        entries.push(decode_entry(input, arrived)?);
    }
    Some(entries)
}

fn decode_entry(input: &mut Input<'_>, arrived: Instant) -> Option<GroupEntry> {
    let group = input.text()?;
    let floor = Position::new(Term(input.number()?), input.number()?);
    let member = input.text()?;
    Some(GroupEntry {
        group,
        min_position: (floor != Position::default()).then_some(floor),
        pinned: (!member.is_empty()).then_some(PinnedMember {
            name: member,
            read_ended: arrived,
        }),
    })
}

/// Bytes that are still to be read.
struct Input<'a>(&'a [u8]);

impl Input<'_> {
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
