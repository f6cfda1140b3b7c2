//! Sessions that must end, and statements that are cancelled or refused.

mod common;

use std::time::{Duration, Instant};

use common::{DEADLINE, Fixture, Options, connect, spawn, sqlstate, wait_until};
use filbertbay::caller::guard::Phase;
use filbertbay_state::document::Availability;
use tokio::time::timeout;
use tokio_postgres::{Client, NoTls};

async fn create_table(fixture: &Fixture) -> Client {
    let client = fixture.connect().await;
    client
        .batch_execute("CREATE TABLE lilies (id int8 PRIMARY KEY)")
        .await
        .expect("new");
    client
}

/// Waits until the instance has closed the connection.
async fn wait_until_closed(client: &Client) {
    wait_until("the end of the session", async || client.is_closed()).await;
}

async fn count(fixture: &Fixture) -> i64 {
    let client = fixture.direct().await;
    client
        .query_one("SELECT count(*) FROM lilies", &[])
        .await
        .expect("read")
        .get(0)
}

/// Returns whether any endpoint has received the given bytes.
fn has_received(fixture: &Fixture, bytes: &[u8]) -> bool {
    let mut members = fixture.group.members().iter();
    members.any(|member| {
        member
            .received()
            .windows(bytes.len())
            .any(|part| part == bytes)
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_key_ends_an_idle_session_and_refuses_a_new_one() {
    let fixture = spawn(Options::default()).await;
    let client = create_table(&fixture).await;
    fixture.policy.withdraw_key();
    wait_until_closed(&client).await;
    let refused = connect(&fixture.config()).await.expect_err("withdrawn");
    assert_eq!(sqlstate(&refused), "28P01");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_key_cancels_a_running_statement() {
    let fixture = spawn(Options::default()).await;
    let client = create_table(&fixture).await;
    let start = Instant::now();
    let running = client.batch_execute("SELECT pg_sleep(30)");
    let withdrawing = async {
        wait_until("the statement", async || {
            has_received(&fixture, b"pg_sleep")
        })
        .await;
        fixture.policy.withdraw_key();
    };
    let (error, ()) = tokio::join!(running, withdrawing);
    let error = error.expect_err("cancelled");
    assert!(
        matches!(sqlstate(&error).as_str(), "57014" | "28000"),
        "{error:?}"
    );
    assert!(start.elapsed() < DEADLINE);
    wait_until_closed(&client).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_key_rolls_an_open_transaction_back() {
    let fixture = spawn(Options::default()).await;
    let client = create_table(&fixture).await;
    client
        .batch_execute("BEGIN; INSERT INTO lilies VALUES (1)")
        .await
        .expect("open");
    fixture.policy.withdraw_key();
    wait_until_closed(&client).await;
    wait_until("the rollback", async || {
        let direct = timeout(DEADLINE, count(&fixture)).await;
        direct.expect("in time") == 0
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_without_a_configuration_rejects_no_key_as_wrong() {
    let fixture = spawn(Options::default()).await;
    fixture.policy.clear_configuration();
    let refused = connect(&fixture.config()).await.expect_err("starting");
    assert_eq!(sqlstate(&refused), "57P03");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_instance_refuses_callers_with_a_key() {
    let fixture = spawn(Options::default()).await;
    let client = create_table(&fixture).await;
    fixture.policy.isolated.send_replace(true);
    wait_until_closed(&client).await;
    let refused = connect(&fixture.config()).await.expect_err("isolated");
    assert_eq!(sqlstate(&refused), "57P01");
    fixture.policy.isolated.send_replace(false);
    connect(&fixture.config()).await.expect("back in contact");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_data_centre_that_is_taken_out_ends_its_sessions() {
    let fixture = spawn(Options::default()).await;
    let client = create_table(&fixture).await;
    fixture.policy.patch(|document| {
        let data_centre = document
            .data_centres
            .get_mut("quimper")
            .expect("configured");
        data_centre.availability = Availability::Out;
    });
    wait_until_closed(&client).await;
    let refused = connect(&fixture.config()).await.expect_err("taken out");
    assert_eq!(sqlstate(&refused), "57P01");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drain_lets_open_transactions_finish() {
    let fixture = spawn(Options::default()).await;
    let idle = create_table(&fixture).await;
    let busy = fixture.connect().await;
    busy.batch_execute("BEGIN; INSERT INTO lilies VALUES (1)")
        .await
        .expect("open");
    fixture
        .phase
        .send_replace(Phase::Draining(Instant::now() + DEADLINE));
    fixture.callers.stop_accepting();
    wait_until_closed(&idle).await;
    busy.batch_execute("INSERT INTO lilies VALUES (2)")
        .await
        .expect("goes on");
    busy.batch_execute("COMMIT").await.expect("committed");
    wait_until_closed(&busy).await;
    timeout(DEADLINE, fixture.callers.wait_for_sessions())
        .await
        .expect("every session has ended");
    assert_eq!(count(&fixture).await, 2);
}

/// A statement that races with the start of a drain either runs and is acknowledged, or does not
/// run. Guards against an acknowledged write that is lost, a write that runs unacknowledged, and an
/// error that doesn't say that the statement was not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_statement_at_the_start_of_a_drain_is_acknowledged_or_not_run() {
    let fixture = spawn(Options::default()).await;
    create_table(&fixture).await;
    let mut acknowledged = 0;
    for round in 0..40 {
        let client = fixture.connect().await;
        let insert = format!("INSERT INTO lilies VALUES ({round})");
        let draining = async {
            // In half of the rounds the statement is sent first.
            if round % 2 == 0 {
                tokio::task::yield_now().await;
            }
            let limit = Instant::now() + DEADLINE;
            fixture.phase.send_replace(Phase::Draining(limit));
        };
        let (result, ()) = tokio::join!(client.batch_execute(&insert), draining);
        match result {
            Ok(()) => acknowledged += 1,
            Err(error) => {
                if let Some(error) = error.as_db_error() {
                    assert_eq!(error.code().code(), "57P01");
                    assert!(error.message().contains("not run"), "{error}");
                }
            }
        }
        wait_until_closed(&client).await;
        fixture.phase.send_replace(Phase::Serving);
        assert_eq!(count(&fixture).await, acknowledged, "round {round}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_cancels_its_own_statement() {
    let fixture = spawn(Options {
        connections: 1,
        ..Options::default()
    })
    .await;
    let client = create_table(&fixture).await;
    let token = client.cancel_token();
    let start = Instant::now();
    let running = async {
        let result = client.batch_execute("SELECT pg_sleep(30)").await;
        result.expect_err("cancelled")
    };
    tokio::pin!(running);
    // A cancel request that arrives before the statement runs has no effect, so requests are
    // repeated until the statement ends.
    let cancelled = loop {
        tokio::select! {
            error = &mut running => break error,
            () = tokio::time::sleep(Duration::from_millis(20)) => {
                token.cancel_query(NoTls).await.expect("taken");
            }
        }
    };
    assert_eq!(sqlstate(&cancelled), "57014");
    assert!(start.elapsed() < DEADLINE);
    client
        .query_one("SELECT 1", &[])
        .await
        .expect("the session goes on");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_statement_over_its_deadline_is_cancelled() {
    let fixture = spawn(Options::default()).await;
    let _client = create_table(&fixture).await;
    let mut config = fixture.config();
    config.dbname("hurried");
    let client = connect(&config).await.expect("taken");
    let error = client
        .batch_execute("SELECT pg_sleep(30)")
        .await
        .expect_err("over its limit");
    assert_eq!(sqlstate(&error), "57014");
    client
        .query_one("SELECT 1", &[])
        .await
        .expect("the session goes on");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_statement_at_a_full_endpoint_is_refused_and_does_not_run() {
    let fixture = spawn(Options {
        connections: 1,
        ..Options::default()
    })
    .await;
    let client = create_table(&fixture).await;
    client
        .batch_execute("BEGIN; INSERT INTO lilies VALUES (1)")
        .await
        .expect("open");
    let other = fixture.connect().await;
    let refused = other.batch_execute("INSERT INTO lilies VALUES (2)").await;
    let refused = refused.expect_err("the only connection is in use");
    assert_eq!(sqlstate(&refused), "53300");
    assert!(
        refused
            .as_db_error()
            .expect("answered")
            .message()
            .contains("not run")
    );
    client.batch_execute("COMMIT").await.expect("committed");
    assert_eq!(count(&fixture).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_forged_token_is_refused_and_a_staleness_is_accepted() {
    let fixture = spawn(Options::default()).await;
    let _client = create_table(&fixture).await;
    let mut config = fixture.config();
    config.options("-c filbertbay.token=AAAA -c filbertbay.staleness=1s");
    let refused = connect(&config).await.expect_err("forged");
    assert_eq!(sqlstate(&refused), "08P01");
    config.options("-c filbertbay.staleness=1s");
    connect(&config).await.expect("taken");
}
