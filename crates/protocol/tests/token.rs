//! Tests of session tokens: a signed session is restored, and every other text is refused.

#![allow(
    clippy::needless_pass_by_value,
    reason = "quickcheck hands over owned values"
)]
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use filbertbay_coordination::session::{MAX_GROUPS, Session};
use filbertbay_protocol::token::{Config, ErrorKind, MAX_TOKEN_BYTES, Signer};
use filbertbay_state::position::{Position, Term};

const SECRET: &[u8] = b"a secret of enough bytes";
const DAY: Duration = Duration::from_hours(24);

type Steps = Vec<(u8, u64, u64, bool)>;

fn signer(secrets: &[&[u8]]) -> Signer {
    Signer::new(Config::default(), secrets.iter().map(|s| s.to_vec())).unwrap()
}

fn issued() -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_700_000_000)
}

fn session(steps: &Steps, now: Instant) -> Session {
    let mut session = Session::new();
    for (group, term, index, reads) in steps {
        let group = format!("group-{group}");
        let position = Position::new(Term(*term), index.saturating_add(1));
        session.raise_min_position(&group, position);
        if *reads {
            session.record_read(&group, "member", now);
        }
    }
    session
}

fn refusal(signer: &Signer, workspace: &str, text: &str, now: SystemTime) -> Option<ErrorKind> {
    let verified = signer.verify(workspace, text, now, Instant::now());
    verified.err().map(|error| error.kind())
}

#[test]
fn signed_session_is_restored_after_rotation_of_the_secret() {
    fn property(steps: Steps, workspace: String) -> bool {
        let now = Instant::now();
        let session = session(&steps, now);
        let text = signer(&[SECRET]).sign(&workspace, &session, issued());
        let rotated = signer(&[b"another, newer secret", SECRET]);
        let restored = rotated.verify(&workspace, &text, issued(), now);
        text.len() <= MAX_TOKEN_BYTES && restored.unwrap() == session
    }
    check::runner(3 * MAX_GROUPS).quickcheck(property as fn(Steps, String) -> bool);
}

#[test]
fn tokens_of_other_workspaces_or_secrets_and_modified_tokens_are_refused() {
    fn property(steps: Steps, owner: String, other: String, at: usize) -> bool {
        let signer = signer(&[SECRET]);
        let text = signer.sign(&owner, &session(&steps, Instant::now()), issued());
        let foreign = refusal(&signer, &other, &text, issued());
        let mut changed = text.to_string().into_bytes();
        let at = at % changed.len();
        changed[at] = if changed[at] == b'A' { b'B' } else { b'A' };
        let changed = String::from_utf8(changed).unwrap();
        let other_signer = self::signer(&[b"a secret nobody else knows"]);
        (owner == other || foreign == Some(ErrorKind::InvalidSignature))
            && refusal(&signer, &owner, &changed, issued()).is_some()
            && refusal(&other_signer, &owner, &text, issued()) == Some(ErrorKind::InvalidSignature)
    }
    check::runner(8).quickcheck(property as fn(Steps, String, String, usize) -> bool);
}

#[test]
fn arbitrary_text_is_refused() {
    fn property(text: String, bytes: Vec<u8>) -> bool {
        use base64::Engine;
        let signer = signer(&[SECRET]);
        let encoded = base64::engine::general_purpose::URL_SAFE_NO_PAD.encode(bytes);
        refusal(&signer, "shop", &text, issued()).is_some()
            && refusal(&signer, "shop", &encoded, issued()).is_some()
    }
    check::runner(300).quickcheck(property as fn(String, Vec<u8>) -> bool);
}

#[test]
fn token_age_token_length_and_secret_length_are_checked() {
    let signer = signer(&[SECRET]);
    let text = signer.sign("shop", &Session::new(), issued());
    let second = Duration::from_secs(1);
    assert_eq!(refusal(&signer, "shop", &text, issued() + DAY), None);
    let old = refusal(&signer, "shop", &text, issued() + DAY + second);
    assert_eq!(old, Some(ErrorKind::Expired));
    let future = refusal(&signer, "shop", &text, issued() - Duration::from_mins(2));
    assert_eq!(future, Some(ErrorKind::Expired));
    let long = "A".repeat(MAX_TOKEN_BYTES + 1);
    let refused = refusal(&signer, "shop", &long, issued());
    assert_eq!(refused, Some(ErrorKind::TooLong));
    assert!(Signer::new(Config::default(), []).is_err());
    assert!(Signer::new(Config::default(), [b"short".to_vec()]).is_err());
}
