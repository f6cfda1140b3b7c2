//! The operators' commands on the members that may hold acknowledged commits.

#[path = "../../../platform/tests/common/mod.rs"]
mod common;

use std::process::Output;

use common::{TestCluster, run, wait_until};
use serde_json::json;

/// Key of the record of the replica set.
const RECORD: &str = "filbertbay/replicas/catalogue";

/// Runs a command of the program with the settings file, while the stand-ins serve.
async fn filbertbay(settings: &std::path::Path, arguments: &[&str]) -> Output {
    let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_filbertbay"));
    command.args(arguments).arg("--settings").arg(settings);
    command.output().await.unwrap()
}

/// Guards against a loss that is accepted without the names of its members, its author or its reason,
/// and against one that an operator can't look up later.
#[test]
fn a_loss_is_accepted_by_name_and_shown() {
    run(async || {
        let cluster = TestCluster::start().await;
        let directory = tempfile::tempdir().unwrap();
        let path = directory.path().join("settings.json");
        let settings = serde_json::to_string(&cluster.settings("quimper-1")).unwrap();
        std::fs::write(&path, settings).unwrap();
        let member = |index: usize| {
            json!({"key": {"id": format!("i-{index}"), "incarnation": 1},
                "address": cluster.group.members[index].address, "data_centre": "quimper",
                "slots": 2, "is_draining": false})
        };
        let record = json!({"members": [member(0), member(1)], "synchronous_replicas": 1,
            "change": 4});
        cluster.platform.put(RECORD, &record.to_string());

        let accept = ["accept-loss", "--service", "catalogue", "--member", "i-1"];
        let unexplained = filbertbay(&path, &accept).await;
        assert!(!unexplained.status.success());
        let stranger = ["accept-loss", "--service", "catalogue", "--member", "i-7"];
        let by = ["--author", "yann", "--reason", "scrapped"];
        let unknown = filbertbay(&path, &[&stranger[..], &by].concat()).await;
        assert!(String::from_utf8_lossy(&unknown.stderr).contains("i-7"));
        assert!(!unknown.status.success());

        let accepted = filbertbay(&path, &[&accept[..], &by].concat()).await;
        assert!(accepted.status.success(), "{accepted:?}");
        wait_until(|| {
            let value = cluster.platform.value(RECORD);
            value.is_some_and(|value| value.contains("\"change\":5"))
        })
        .await;
        let shown = filbertbay(&path, &["replica-sets"]).await;
        let shown = String::from_utf8_lossy(&shown.stdout).into_owned();
        assert!(shown.contains("i-0@1 at"), "{shown}");
        assert!(shown.contains("yann gave up i-1@1: scrapped"), "{shown}");
    });
}
