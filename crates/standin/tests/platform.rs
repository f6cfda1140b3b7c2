//! The platform's client against the stand-in, with and without faults.

use std::net::SocketAddr;
use std::time::Duration;

use filbertbay_protocol::platform::{ErrorKind, Instance, ModifyIndex, Presence, Store};
use filbertbay_transport::platform::{Client, Config};
use standin::platform::{Fault, Platform};

/// Wait that no passing test uses up.
const LONG: Duration = Duration::from_secs(20);

fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

async fn start() -> (Platform, Client) {
    let platform = Platform::bind(loopback(), loopback()).await.unwrap();
    let client = Client::new(&platform.url()).unwrap();
    (platform, client)
}

#[tokio::test]
async fn swaps_only_at_the_expected_index() {
    let (_platform, client) = start().await;
    assert!(
        client
            .compare_and_swap("a/b", b"1".to_vec(), ModifyIndex(0))
            .await
            .unwrap()
    );
    assert!(
        !client
            .compare_and_swap("a/b", b"2".to_vec(), ModifyIndex(0))
            .await
            .unwrap()
    );
    let entry = client.read("a/b").await.unwrap().unwrap();
    assert_eq!(entry.value, b"1");
    assert!(
        client
            .compare_and_swap("a/b", b"2".to_vec(), entry.index)
            .await
            .unwrap()
    );
    assert!(!client.compare_and_delete("a/b", entry.index).await.unwrap());
    let entry = client.read("a/b").await.unwrap().unwrap();
    assert!(client.compare_and_delete("a/b", entry.index).await.unwrap());
    assert!(client.read("a/b").await.unwrap().is_none());
}

#[tokio::test]
async fn lists_only_the_prefix() {
    let (_platform, client) = start().await;
    for key in ["a/2", "a/1", "b/1"] {
        client
            .compare_and_swap(key, key.into(), ModifyIndex(0))
            .await
            .unwrap();
    }
    let entries = client.list("a/").await.unwrap();
    let keys: Vec<_> = entries.iter().map(|entry| entry.key.as_ref()).collect();
    assert_eq!(keys, ["a/1", "a/2"]);
    assert!(client.list("c/").await.unwrap().is_empty());
}

#[tokio::test]
async fn a_watch_returns_the_change_it_waited_for() {
    let (platform, client) = start().await;
    let watcher = client.clone();
    let watch = tokio::spawn(async move { watcher.watch("head", ModifyIndex(0), LONG).await });
    while !platform.counters().totals.contains_key("watch") {
        tokio::task::yield_now().await;
    }
    client
        .compare_and_swap("other", b"x".to_vec(), ModifyIndex(0))
        .await
        .unwrap();
    client
        .compare_and_swap("head", b"1".to_vec(), ModifyIndex(0))
        .await
        .unwrap();
    let entry = watch.await.unwrap().unwrap().unwrap();
    assert_eq!(entry.value, b"1");
    let short = Duration::from_millis(30);
    let same = client.watch("head", entry.index, short).await.unwrap();
    assert_eq!(same.unwrap().index, entry.index);
}

#[tokio::test]
async fn a_lapsed_lease_frees_its_key() {
    let (platform, client) = start().await;
    let first = client.open_lease("first", LONG).await.unwrap();
    let second = client.open_lease("second", LONG).await.unwrap();
    assert!(client.acquire("lock", vec![1], &first).await.unwrap());
    assert!(!client.acquire("lock", vec![2], &second).await.unwrap());
    assert!(client.renew_lease(&first).await.unwrap());
    platform.apply(&Fault {
        expire_lease: Some("first".to_owned()),
        ..Fault::default()
    });
    assert!(!client.renew_lease(&first).await.unwrap());
    assert!(!client.acquire("lock", vec![1], &first).await.unwrap());
    assert!(client.acquire("lock", vec![2], &second).await.unwrap());
    let short = client
        .open_lease("short", Duration::from_millis(1))
        .await
        .unwrap();
    while client.renew_lease(&short).await.unwrap() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    client.close_lease(&second).await.unwrap();
    assert_eq!(client.read("lock").await.unwrap().unwrap().lease, None);
}

#[tokio::test]
async fn a_lost_answer_is_unanswered_and_took_effect() {
    let (platform, client) = start().await;
    platform.apply(&Fault {
        lose_answers: Some(1),
        ..Fault::default()
    });
    let error = client
        .compare_and_swap("a", b"1".to_vec(), ModifyIndex(0))
        .await
        .unwrap_err();
    assert_eq!(error.kind(), ErrorKind::Unanswered);
    assert_eq!(client.read("a").await.unwrap().unwrap().value, b"1");
    assert!(
        client
            .compare_and_swap("b", b"1".to_vec(), ModifyIndex(0))
            .await
            .unwrap()
    );
}

#[tokio::test]
async fn a_late_answer_is_unanswered_and_takes_effect() {
    let (platform, client) = start().await;
    let config = Config {
        call_timeout: Duration::from_millis(20),
        ..Config::default()
    };
    let hasty = Client::with_config(&platform.url(), config).unwrap();
    platform.apply(&Fault {
        slow_ms: Some(100),
        ..Fault::default()
    });
    let error = hasty
        .compare_and_swap("a", b"1".to_vec(), ModifyIndex(0))
        .await
        .unwrap_err();
    assert_eq!(error.kind(), ErrorKind::Unanswered);
    let entry = client.watch("a", ModifyIndex(0), LONG).await.unwrap();
    assert_eq!(entry.unwrap().value, b"1");
}

#[tokio::test]
async fn a_service_that_is_down_is_unreachable_and_keeps_its_keys() {
    let (platform, client) = start().await;
    client
        .compare_and_swap("a", b"1".to_vec(), ModifyIndex(0))
        .await
        .unwrap();
    let watcher = client.clone();
    let watch = tokio::spawn(async move { watcher.watch("head", ModifyIndex(0), LONG).await });
    while !platform.counters().totals.contains_key("watch") {
        tokio::task::yield_now().await;
    }
    let down = |down| Fault {
        down: Some(down),
        ..Fault::default()
    };
    platform.apply(&down(true));
    let cut = watch.await.unwrap().unwrap_err();
    assert_eq!(cut.kind(), ErrorKind::Unanswered);
    let mut kind = client.read("a").await.unwrap_err().kind();
    while kind != ErrorKind::Unreachable {
        kind = client.read("a").await.unwrap_err().kind();
    }
    platform.apply(&down(false));
    let mut entry = client.read("a").await;
    while entry.is_err() {
        tokio::time::sleep(Duration::from_millis(5)).await;
        entry = client.read("a").await;
    }
    assert_eq!(entry.unwrap().unwrap().value, b"1");
}

#[tokio::test]
async fn the_list_of_instances_lags() {
    let (platform, client) = start().await;
    let mut instance = Instance {
        name: "quimper-1".into(),
        incarnation: 1,
        data_centre: "quimper".into(),
        caller_address: loopback(),
        peer_address: loopback(),
        forward_address: loopback(),
        presence: Presence::Live,
    };
    client.register(&instance).await.unwrap();
    platform.apply(&Fault {
        list_lag_ms: Some(LONG.as_millis() as u64),
        ..Fault::default()
    });
    instance.presence = Presence::Leaving;
    client.register(&instance).await.unwrap();
    let listed = client.instances().await.unwrap();
    assert_eq!(listed[0].presence, Presence::Live);
    platform.apply(&Fault {
        list_lag_ms: Some(0),
        ..Fault::default()
    });
    assert_eq!(client.instances().await.unwrap(), [instance]);
}

#[tokio::test]
async fn the_control_takes_faults_and_shows_counters() {
    let (platform, client) = start().await;
    let url = format!("http://{}", platform.control());
    let http = reqwest::Client::new();
    let request = http.post(format!("{url}/fault"));
    let fault = serde_json::json!({"lose_answers": 1});
    let status = request.json(&fault).send().await.unwrap().status();
    assert!(status.is_success());
    assert!(
        client
            .compare_and_swap("a", vec![], ModifyIndex(0))
            .await
            .is_err()
    );
    let answer = http.get(format!("{url}/counters")).send().await.unwrap();
    let counters: standin::platform::Counters = answer.json().await.unwrap();
    assert_eq!(counters.totals["write"], 1);
    let unknown = serde_json::json!({"slow": 1});
    let answer = http
        .post(format!("{url}/fault"))
        .json(&unknown)
        .send()
        .await;
    assert_eq!(answer.unwrap().status(), 422);
}
