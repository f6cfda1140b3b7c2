//! Commands on the configuration, run as processes against the stand-in platform.

use std::process::{Command, Output};

use filbertbay_protocol::platform::{ModifyIndex, Store};
use filbertbay_protocol::repository::HEAD_KEY;
use filbertbay_state::key;
use filbertbay_transport::platform::Client;
use serde_json::{Value, json};
use standin::platform::{Fault, Platform};

/// Exit codes that `--help` lists.
const INPUT: i32 = 2;
const REFUSED: i32 = 3;
const UNREACHABLE: i32 = 4;
const MALFORMED: i32 = 6;

struct Harness {
    platform: Platform,
}

impl Harness {
    async fn start() -> Self {
        let any = "127.0.0.1:0".parse().unwrap();
        let platform = Platform::bind(any, any).await.unwrap();
        Self { platform }
    }

    /// Runs filbertctl on a blocking thread, so that the platform can serve it meanwhile.
    async fn run(&self, arguments: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_filbertctl"));
        command
            .args(arguments)
            .env("FILBERTBAY_PLATFORM", self.platform.url());
        command.env("USER", "yann");
        let run = move || command.output().unwrap();
        tokio::task::spawn_blocking(run).await.unwrap()
    }

    async fn json(&self, arguments: &[&str]) -> Value {
        let arguments = [arguments, &["--json"]].concat();
        let output = self.run(&arguments).await;
        assert!(output.status.success(), "{arguments:?}: {output:?}");
        serde_json::from_slice(&output.stdout).unwrap()
    }

    async fn expect_failure(&self, arguments: &[&str], code: i32) -> String {
        let output = self.run(arguments).await;
        assert_eq!(
            output.status.code(),
            Some(code),
            "{arguments:?}: {output:?}"
        );
        String::from_utf8(output.stderr).unwrap()
    }

    /// Adds a data centre, a group, a route and a workspace, which results in version 4.
    async fn set_up_configuration(&self) {
        let member = [
            "member",
            "add",
            "orders",
            "orders-1",
            "--data-centre",
            "caen",
            "--address",
            "127.0.0.1:5432",
            "--connections",
            "16",
            "--slots",
            "2",
        ];
        let workspace = [
            "workspace",
            "add",
            "shop",
            "--per-second",
            "50",
            "--burst",
            "20",
            "--route",
            "orders",
        ];
        self.json(&["data-centre", "add", "caen", "--region", "normandie"])
            .await;
        self.json(&member).await;
        self.json(&["route", "add", "orders", "--group", "orders"])
            .await;
        self.json(&workspace).await;
    }
}

fn temp_file(name: &str, text: &str) -> (tempfile::TempDir, String) {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join(name);
    std::fs::write(&path, text).unwrap();
    (directory, path.to_str().unwrap().to_owned())
}

#[tokio::test]
async fn a_key_is_shown_once_and_stored_nowhere() {
    let harness = Harness::start().await;
    harness.set_up_configuration().await;
    let granted = harness
        .json(&[
            "key", "grant", "shop", "--key-id", "till", "--note", "till 3",
        ])
        .await;
    let secret = granted["key"].as_str().unwrap();
    let digest = key::Digest::of(secret).to_string();
    assert_eq!(granted["version"], 5);
    let listed = harness.json(&["key", "list", "shop"]).await;
    assert_eq!(
        listed["till"],
        json!({"digest": digest, "state": "granted", "note": "till 3"})
    );

    let reason = format!("the key {secret} was stolen");
    let exposed = ["key", "withdraw", "shop", "till", "--reason", &reason];
    let message = harness.expect_failure(&exposed, REFUSED).await;
    let withdrawn = harness.json(&["key", "withdraw", "shop", "till"]).await;
    assert_eq!(withdrawn["entry"]["to"], 6);
    let shown = [
        harness.json(&["config", "show"]).await,
        harness.json(&["config", "history"]).await,
        harness.json(&["audit"]).await,
    ];
    assert_eq!(
        shown[0]["document"]["workspaces"]["shop"]["keys"]["till"]["state"],
        "withdrawn"
    );
    let texts = shown.iter().map(ToString::to_string).chain([message]);
    for text in texts {
        assert!(!text.contains(key::PREFIX), "{text}");
    }
}

#[tokio::test]
async fn a_patch_against_a_stale_version_is_refused_and_names_the_current_version() {
    let harness = Harness::start().await;
    harness.set_up_configuration().await;
    let (_directory, path) = temp_file("rate.json", r#"{"workspaces": {"shop": {"weight": 3}}}"#);
    let patch = ["config", "patch", "--reason", "heavier", &path];
    let stale = [&patch[..], &["--against", "3"]].concat();
    let message = harness.expect_failure(&stale, REFUSED).await;
    assert!(message.contains("the present one is 4"), "{message}");
    harness.expect_failure(&patch, INPUT).await;
    let present = [&patch[..], &["--against", "4", "--id", "p-1"]].concat();
    let receipt = harness.json(&present).await;
    assert_eq!(receipt["entry"]["to"], 5);
    assert_eq!(receipt["resolved"], false);
    let again = harness.json(&present).await;
    assert_eq!(again["resolved"], true);

    let audit = harness.json(&["audit"]).await;
    let refused = audit
        .as_array()
        .unwrap()
        .iter()
        .find(|entry| entry["outcome"] == "refused");
    assert_eq!(refused.unwrap()["author"], "yann");
    assert_eq!(refused.unwrap()["reason"], "heavier");
    let applied = harness.json(&["audit", "--patch", "p-1"]).await;
    let change = json!({"pointer": "/workspaces/shop/weight", "before": "1", "after": "3"});
    assert_eq!(applied[0]["changes"], json!([change]));
}

#[tokio::test]
async fn patches_with_unknown_fields_or_invalid_results_are_refused() {
    let harness = Harness::start().await;
    harness.set_up_configuration().await;
    let cases = [
        (
            r#"{"workspaces": {"shop": {"wieght": 3}}}"#,
            "workspaces.shop",
        ),
        (
            r#"{"routes": {"orders": null}}"#,
            "/workspaces/shop/routes/0",
        ),
        (
            r#"[{"op": "remove", "path": "/routes/none"}]"#,
            "/routes/none",
        ),
    ];
    for (text, expected) in cases {
        let (_directory, path) = temp_file("patch.json", text);
        let patch = ["config", "patch", "--against", "4", "--reason", "r", &path];
        let message = harness.expect_failure(&patch, REFUSED).await;
        assert!(message.contains(expected), "{message}");
    }
    assert_eq!(harness.json(&["status"]).await["version"], 4);
    assert_eq!(harness.json(&["audit"]).await.as_array().unwrap().len(), 7);
}

#[tokio::test]
async fn check_reports_the_line_of_a_problem() {
    let harness = Harness::start().await;
    let (_directory, path) = temp_file(
        "bad.json",
        "{\n \"routes\": {\"orders\": {\"group\": \"order\"}}\n}",
    );
    let message = harness
        .expect_failure(&["config", "check", &path], INPUT)
        .await;
    assert!(message.contains("bad.json:2:"), "{message}");
    assert!(
        message.contains("the name of a group of this document"),
        "{message}"
    );
    let (_directory, path) = temp_file("worse.json", "{\n \"routes\": {\"orders\": 1}\n}");
    let message = harness
        .expect_failure(&["config", "check", &path], INPUT)
        .await;
    assert!(message.contains("worse.json:2:"), "{message}");
    harness
        .expect_failure(&["config", "check", "missing.json"], INPUT)
        .await;
}

#[tokio::test]
async fn a_data_centre_and_a_member_are_taken_out_of_service_and_put_back() {
    let harness = Harness::start().await;
    harness.set_up_configuration().await;
    harness.json(&["data-centre", "out", "caen"]).await;
    harness.json(&["member", "out", "orders", "orders-1"]).await;
    let document = &harness.json(&["config", "show"]).await["document"];
    assert_eq!(document["data_centres"]["caen"]["availability"], "out");
    let member = &document["groups"]["orders"]["members"]["orders-1"];
    assert_eq!(member["availability"], "out");
    harness.json(&["data-centre", "in", "caen"]).await;
    harness.json(&["member", "in", "orders", "orders-1"]).await;
    harness
        .json(&["group", "prefer", "orders", "orders-1"])
        .await;
    harness
        .json(&["rate", "set", "shop", "--burst", "40"])
        .await;
    let groups = harness.json(&["group", "list"]).await;
    assert_eq!(groups["orders"]["preferred_primary"], "orders-1");
    let rates = harness.json(&["rate", "list"]).await;
    assert_eq!(rates["shop"], json!({"per_second": 50, "burst": 40}));
    harness
        .expect_failure(&["data-centre", "out", "nowhere"], INPUT)
        .await;
    harness.expect_failure(&["data-centre", "out"], INPUT).await;
    let help = harness.run(&["data-centre", "out", "--help"]).await;
    assert!(
        String::from_utf8(help.stdout)
            .unwrap()
            .contains("Example: filbertctl")
    );
    harness
        .expect_failure(&["data-centre", "remove", "caen"], REFUSED)
        .await;
}

#[tokio::test]
async fn a_malformed_stored_value_is_reported_and_left_unchanged() {
    let harness = Harness::start().await;
    let client = Client::new(&harness.platform.url()).unwrap();
    let garbage = br#"{"version": "fbk_secret"}"#.to_vec();
    assert!(
        client
            .compare_and_swap(HEAD_KEY, garbage.clone(), ModifyIndex(0))
            .await
            .unwrap()
    );
    let message = harness.expect_failure(&["config", "show"], MALFORMED).await;
    assert!(
        message.contains("head") && !message.contains("fbk_"),
        "{message}"
    );
    let add = ["data-centre", "add", "caen", "--region", "normandie"];
    harness.expect_failure(&add, MALFORMED).await;
    assert_eq!(client.read(HEAD_KEY).await.unwrap().unwrap().value, garbage);
}

#[tokio::test]
async fn lost_responses_are_resolved_and_an_outage_changes_nothing() {
    let harness = Harness::start().await;
    let add = ["data-centre", "add", "caen", "--region", "normandie"];
    let lose_one = Fault {
        lose_answers: Some(1),
        ..Fault::default()
    };
    // The first write is that of a part; without its response the head is not swapped.
    harness.platform.apply(&lose_one);
    harness.expect_failure(&add, UNREACHABLE).await;
    assert_eq!(harness.json(&["status"]).await["version"], 0);
    harness.json(&add).await;
    // A removal writes no part, so its first write swaps the head.
    harness.platform.apply(&lose_one);
    let receipt = harness.json(&["data-centre", "remove", "caen"]).await;
    assert_eq!(receipt["resolved"], true);
    assert_eq!(harness.json(&["status"]).await["version"], 2);
    harness.platform.apply(&Fault {
        down: Some(true),
        ..Fault::default()
    });
    harness.expect_failure(&add, UNREACHABLE).await;
    harness
        .expect_failure(&["config", "show"], UNREACHABLE)
        .await;
}
