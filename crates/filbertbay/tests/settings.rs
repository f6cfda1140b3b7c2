//! Settings that can't be used are told so.

#![allow(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes its arguments by value"
)]

use filbertbay::settings::{Error, Settings, Tls};

const GOOD: &str = r#"{
    "name": "quimper-1", "data_centre": "quimper",
    "callers": "127.0.0.1:6432", "peers": "127.0.0.1:7432", "forwards": "127.0.0.1:7433",
    "metrics": "127.0.0.1:9432", "platform": "http://127.0.0.1:8500",
    "endpoint_user": "filbertbay", "endpoint_password": "s3cret",
    "token_secrets": ["00112233445566778899aabbccddeeff"]
}"#;

fn fields(text: &str) -> Vec<&'static str> {
    match Settings::parse("settings.json", text) {
        Err(Error::Invalid { problems }) => problems.iter().map(|problem| problem.field).collect(),
        Err(_) => vec!["malformed"],
        Ok(_) => Vec::new(),
    }
}

#[test]
fn each_mistake_is_named() {
    assert!(fields(GOOD).is_empty());
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
        assert_eq!(fields(&GOOD.replace(old, new)), [field], "{new}");
    }
}

#[test]
fn arbitrary_text_is_refused_without_panic() {
    fn property(text: String, cut: usize) -> bool {
        let cut = cut % GOOD.len();
        Settings::parse("a", &text).is_err() && Settings::parse("b", &GOOD[..cut]).is_err()
    }
    check::runner(100).quickcheck(property as fn(String, usize) -> bool);
}

#[test]
fn no_secret_is_shown() {
    let settings = Settings::parse("settings.json", GOOD).expect("good");
    let shown = format!("{settings:?}");
    assert!(!shown.contains("s3cret") && !shown.contains("00112233"));
}

#[test]
fn the_reference_names_every_field() {
    let reference = include_str!("../../../docs/operators/settings.md");
    let mut settings = Settings::parse("settings.json", GOOD).expect("good");
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
