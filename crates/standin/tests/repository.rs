//! The configuration over real sockets, while the platform fails.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use filbertbay_protocol::platform::Store;
use filbertbay_protocol::repository::{ErrorKind, Repository};
use filbertbay_state::bundle::Bundle;
use filbertbay_state::patch::{Change, Patch};
use filbertbay_state::version::Version;
use filbertbay_transport::platform::Client;
use serde_json::json;
use standin::platform::{Fault, Platform};

/// Operators that race, and the patches of each.
const OPERATORS: u64 = 4;
const PATCHES: u64 = 6;

/// Wait that no passing test uses up.
const LONG: Duration = Duration::from_secs(20);

/// Pause between two attempts.
const PAUSE: Duration = Duration::from_millis(2);

async fn start() -> (Platform, Repository) {
    let any = "127.0.0.1:0".parse().unwrap();
    let platform = Platform::bind(any, any).await.unwrap();
    let client = Client::new(&platform.url()).unwrap();
    let store: Arc<dyn Store> = Arc::new(client);
    (platform, Repository::new(store))
}

fn add_centre(id: &str, against: Version) -> Patch {
    Patch {
        id: id.into(),
        against,
        author: "operator".into(),
        reason: "test".into(),
        at: 1,
        change: Change::Merge(json!({"data_centres": {id: {"region": "bretagne"}}})),
    }
}

/// Submits patches until each has been applied, and returns the versions that they made.
async fn operate(repository: Repository, number: u64) -> Vec<Version> {
    let mut versions = Vec::new();
    let mut attempt = 0;
    while versions.len() < PATCHES as usize {
        attempt += 1;
        let Ok(present) = repository.load().await else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        let patch = add_centre(&format!("{number}-{attempt}"), present.version());
        if let Some(version) = submit(&repository, &patch).await {
            versions.push(version);
        }
    }
    versions
}

/// Submits one patch until it is told what became of it.
async fn submit(repository: &Repository, patch: &Patch) -> Option<Version> {
    loop {
        match repository.submit(patch).await {
            Ok(receipt) => return Some(receipt.entry.to),
            Err(error) if error.kind() == ErrorKind::PatchRefused => return None,
            Err(_) => tokio::time::sleep(PAUSE).await,
        }
    }
}

fn fault(down: bool, lose_answers: u32) -> Fault {
    Fault {
        down: Some(down),
        lose_answers: Some(lose_answers),
        ..Fault::default()
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn racing_operators_lose_and_double_nothing_while_the_platform_fails() {
    let (platform, repository) = start().await;
    let operators = (0..OPERATORS).map(|number| operate(repository.clone(), number));
    let operators: Vec<_> = operators.map(tokio::spawn).collect();
    let all = Version(OPERATORS * PATCHES);
    let mut watcher = repository.watch(Bundle::default());
    let mut seen = Version(0);
    while seen < all {
        // Every version that is seen brings answers lost, every fourth an outage.
        platform.apply(&fault(seen.0 % 4 == 3, 2));
        tokio::time::sleep(PAUSE).await;
        platform.apply(&fault(false, 1));
        if let Ok(Some(bundle)) = watcher.next(LONG).await {
            assert!(bundle.version() > seen, "the version reverted");
            seen = bundle.version();
        }
    }
    platform.apply(&fault(false, 0));
    let mut told = BTreeSet::new();
    for operator in operators {
        for version in operator.await.unwrap() {
            assert!(told.insert(version), "two patches were told of one version");
        }
    }
    let versions: BTreeSet<_> = (1..=all.0).map(Version).collect();
    assert_eq!(told, versions);
    let document = repository.load().await.unwrap().document().unwrap();
    assert_eq!(document.data_centres.len() as u64, all.0);
}

#[tokio::test]
async fn a_follower_catches_up_after_an_outage() {
    let (platform, repository) = start().await;
    let mut watcher = repository.watch(Bundle::default());
    submit(&repository, &add_centre("caen", Version(0)))
        .await
        .unwrap();
    watcher.next(LONG).await.unwrap().unwrap();
    platform.apply(&fault(true, 0));
    watcher.next(LONG).await.unwrap_err();
    assert_eq!(watcher.current().version(), Version(1));
    platform.apply(&fault(false, 0));
    submit(&repository, &add_centre("nantes", Version(1)))
        .await
        .unwrap();
    let newer = loop {
        match watcher.next(LONG).await {
            Ok(Some(bundle)) => break bundle,
            Ok(None) => {}
            Err(_) => tokio::time::sleep(PAUSE).await,
        }
    };
    assert_eq!(newer.version(), Version(2));
}
