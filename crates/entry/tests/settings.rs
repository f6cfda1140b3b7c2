//! Settings that can't be used are refused with the field that is wrong.

use filbertbay_entry::settings::{Error, Settings};
use serde_json::{Value, json};

fn good() -> Value {
    json!({
        "name": "quimper-1", "data_centre": "quimper", "data_centres": {"quimper": "bretagne"},
        "callers": "127.0.0.1:6432", "readiness": "127.0.0.1:6433", "readiness_path": "/ready",
        "peers": "127.0.0.1:7432", "metrics": "127.0.0.1:9432", "seeds": [],
        "store": "127.0.0.1:8500", "failover": "127.0.0.1:8501",
        "grace_s": 6, "leave_ms": 7000, "file_limit": 4200
    })
}

#[test]
fn each_value_is_checked() {
    assert!(Settings::parse(&good().to_string()).is_ok());
    let wrong = [
        ("name", json!("")),
        ("data_centre", json!("elsewhere")),
        ("readiness_path", json!("ready")),
        ("grace_s", json!(0)),
        ("metrics", json!("127.0.0.1:6432")),
    ];
    for (field, value) in wrong {
        let mut settings = good();
        settings[field] = value;
        let error = Settings::parse(&settings.to_string()).unwrap_err();
        let named = matches!(error, Error::Value { field: named, .. } if named == field);
        assert!(named, "{field}");
    }
}

#[test]
fn unknown_and_missing_fields_are_refused() {
    let mut unknown = good();
    unknown["colour"] = json!("blue");
    assert!(Settings::parse(&unknown.to_string()).is_err());
    let mut missing = good();
    missing.as_object_mut().unwrap().remove("store");
    assert!(Settings::parse(&missing.to_string()).is_err());
}
