//! Guards against an instance that starts with settings it can't use: invalid values, unknown fields
//! and missing fields are rejected, and the error for an invalid value names its field.

use filbertbay_entry::settings::{Error, Settings};
use serde_json::{Value, json};

fn valid_settings() -> Value {
    json!({
        "name": "quimper-1", "data_centre": "quimper", "data_centres": {"quimper": "bretagne"},
        "callers": "127.0.0.1:6432", "readiness": "127.0.0.1:6433", "readiness_path": "/ready",
        "peers": "127.0.0.1:7432", "metrics": "127.0.0.1:9432", "seeds": [],
        "store": "127.0.0.1:8500", "failover": "127.0.0.1:8501",
        "grace_s": 6, "leave_ms": 7000, "file_limit": 4200
    })
}

#[test]
fn an_invalid_value_is_rejected_with_its_field() {
    assert!(Settings::parse(&valid_settings().to_string()).is_ok());
    let invalid = [
        ("name", json!("")),
        ("data_centre", json!("elsewhere")),
        ("readiness_path", json!("ready")),
        ("grace_s", json!(0)),
        ("memory_mb", json!(16)),
        ("caller_timeout_ms", json!(0)),
        ("metrics", json!("127.0.0.1:6432")),
    ];
    for (field, value) in invalid {
        let mut settings = valid_settings();
        settings[field] = value;
        let error = Settings::parse(&settings.to_string()).unwrap_err();
        let named = matches!(error, Error::Value { field: named, .. } if named == field);
        assert!(named, "{field}");
    }
}

#[test]
fn unknown_and_missing_fields_are_rejected() {
    let mut unknown = valid_settings();
    unknown["colour"] = json!("blue");
    assert!(Settings::parse(&unknown.to_string()).is_err());
    let mut missing = valid_settings();
    missing.as_object_mut().unwrap().remove("store");
    assert!(Settings::parse(&missing.to_string()).is_err());
}
