//! Tests of parsing and validating settings.
//!
//! They guard against invalid settings that are accepted or reported under the wrong field, against
//! secrets in debug output, and against fields that are missing in the operators' reference.

#![allow(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes its arguments by value"
)]

use filbertbay::settings::{Error, Settings, Tls};

const VALID: &str = r#"{
    "name": "quimper-1", "data_centre": "quimper",
    "callers": "127.0.0.1:6432", "peers": "127.0.0.1:7432", "forwards": "127.0.0.1:7433",
    "metrics": "127.0.0.1:9432", "platform": "http://127.0.0.1:8500",
    "endpoint_user": "filbertbay", "endpoint_password": "s3cret",
    "token_secrets": ["00112233445566778899aabbccddeeff"]
}"#;

fn invalid_fields(text: &str) -> Vec<&'static str> {
    match Settings::parse("settings.json", text) {
        Err(Error::Invalid { problems }) => problems.iter().map(|problem| problem.field).collect(),
        Err(_) => vec!["malformed"],
        Ok(_) => Vec::new(),
    }
}

#[test]
fn each_invalid_field_is_reported() {
    assert!(invalid_fields(VALID).is_empty());
    let cases = [
        ("\"quimper-1\"", "\"\"", "name"),
        ("00112233445566778899aabbccddeeff", "0011", "token_secrets"),
        ("http://", "ftp://", "platform"),
        ("127.0.0.1:7432", "10.0.0.1:7432", "peer_tls"),
        ("127.0.0.1:7433", "127.0.0.1:6432", "callers"),
        ("\"metrics\"", "\"metrix\"", "malformed"),
        ("127.0.0.1:6432", "localhost:6432", "malformed"),
    ];
    for (old, new, field) in cases {
        assert_eq!(invalid_fields(&VALID.replace(old, new)), [field], "{new}");
    }
}

#[test]
fn arbitrary_and_truncated_text_is_rejected_without_panic() {
    fn property(text: String, cut: usize) -> bool {
        let cut = cut % VALID.len();
        Settings::parse("a", &text).is_err() && Settings::parse("b", &VALID[..cut]).is_err()
    }
    check::runner(100).quickcheck(property as fn(String, usize) -> bool);
}

#[test]
fn debug_output_contains_no_secret() {
    let settings = Settings::parse("settings.json", VALID).expect("valid");
    let output = format!("{settings:?}");
    assert!(!output.contains("s3cret") && !output.contains("00112233"));
}

#[test]
fn the_reference_documents_every_field() {
    let reference = include_str!("../../../docs/operators/settings.md");
    let mut settings = Settings::parse("settings.json", VALID).expect("valid");
    settings
        .seeds
        .push("127.0.0.1:1".parse().expect("an address"));
    settings.silence_ms = Some(1);
    let tls = Tls {
        certificate: "c".into(),
        key: "k".into(),
        authorities: None,
    };
    settings.caller_tls = Some(tls.clone());
    settings.peer_tls = Some(tls);
    let fields = serde_json::to_value(settings).expect("JSON");
    for field in fields.as_object().expect("an object").keys() {
        assert!(
            reference.contains(&format!("| `{field}` |")),
            "{field} is not in the reference"
        );
    }
}
