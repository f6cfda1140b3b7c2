//! Statements through one instance to a stand-in group: results, transactions, errors and refusals.

mod common;

use common::{DEADLINE, Fixture, KEY, OTHER_KEY, Options, authority, connect, spawn, sqlstate};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use filbertbay_transport::endpoint::{Connection, Target, parse_row};
use filbertbay_transport::tls::{Identity, IdentityFiles};
use futures::future::join_all;
use tokio::time::timeout;
use tokio_postgres::types::Type;
use tokio_postgres::{Client, SimpleQueryMessage};

async fn create_table(fixture: &Fixture) -> Client {
    let client = fixture.connect().await;
    let sql = "CREATE TABLE lilies (id int8 PRIMARY KEY, kind text, stock int4)";
    client.batch_execute(sql).await.expect("the table is new");
    client
}

#[tokio::test(flavor = "multi_thread")]
async fn simple_statements_read_and_write() {
    let fixture = spawn(Options::default()).await;
    let client = create_table(&fixture).await;
    client
        .batch_execute("INSERT INTO lilies VALUES (1, 'white', 3)")
        .await
        .expect("written");
    let rows = client
        .simple_query("SELECT kind, stock FROM lilies")
        .await
        .expect("read");
    let row = rows.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some((row.get(0), row.get(1))),
        _ => None,
    });
    assert_eq!(row, Some((Some("white"), Some("3"))));
}

#[tokio::test(flavor = "multi_thread")]
async fn prepared_statements_carry_binary_values() {
    let fixture = spawn(Options::default()).await;
    let client = create_table(&fixture).await;
    let types = [Type::INT8, Type::TEXT, Type::INT4];
    let insert = client
        .prepare_typed("INSERT INTO lilies VALUES ($1, $2, $3)", &types)
        .await;
    let insert = insert.expect("prepared");
    for id in 0..20_i64 {
        let stock = (id % 2 == 0).then_some(id as i32);
        client
            .execute(&insert, &[&id, &"white", &stock])
            .await
            .expect("written");
    }
    let select = "SELECT stock FROM lilies WHERE id = $1";
    let select = client
        .prepare_typed(select, &[Type::INT8])
        .await
        .expect("prepared");
    for id in 0..20_i64 {
        let row = client.query_one(&select, &[&id]).await.expect("read");
        assert_eq!(
            row.get::<_, Option<i32>>(0),
            (id % 2 == 0).then_some(id as i32)
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn pipelined_responses_match_their_statements() {
    let fixture = spawn(Options::default()).await;
    let client = create_table(&fixture).await;
    let insert = client.prepare_typed("INSERT INTO lilies VALUES ($1, 'red', 0)", &[Type::INT8]);
    let insert = insert.await.expect("prepared");
    let ids: Vec<i64> = (0..30).collect();
    let written = join_all(
        ids.iter()
            .map(|id| async { client.execute(&insert, &[id]).await }),
    );
    assert!(
        written
            .await
            .into_iter()
            .all(|result| result.is_ok_and(|count| count == 1))
    );
    let select = "SELECT id FROM lilies WHERE id = $1";
    let select = client
        .prepare_typed(select, &[Type::INT8])
        .await
        .expect("prepared");
    let read = join_all(
        ids.iter()
            .map(|id| async { client.query_one(&select, &[id]).await }),
    );
    let read: Vec<i64> = read
        .await
        .into_iter()
        .map(|row| row.expect("read").get(0))
        .collect();
    assert_eq!(read, ids);
}

#[tokio::test(flavor = "multi_thread")]
async fn transactions_of_different_sessions_are_isolated() {
    let fixture = spawn(Options {
        connections: 2,
        ..Options::default()
    })
    .await;
    let client = create_table(&fixture).await;
    let sessions = (0..8_i64).map(|session| {
        let fixture = &fixture;
        async move {
            let mut client = fixture.connect().await;
            for round in 0..4_i64 {
                let id = session * 100 + round;
                let transaction = client.transaction().await.expect("begun");
                let insert = format!("INSERT INTO lilies VALUES ({id}, 's{session}', 1)");
                transaction.batch_execute(&insert).await.expect("written");
                let select_session =
                    format!("SELECT id FROM lilies WHERE kind = 's{session}' ORDER BY id");
                let rows = transaction.query(&select_session, &[]).await.expect("read");
                let last = rows.last().map(|row| row.get::<_, i64>(0));
                assert_eq!(last, Some(id));
                if round % 2 == 0 {
                    transaction.commit().await.expect("committed");
                } else {
                    transaction.rollback().await.expect("rolled back");
                }
            }
        }
    });
    timeout(DEADLINE, join_all(sessions))
        .await
        .expect("in time");
    let row = client
        .query_one("SELECT count(*) FROM lilies", &[])
        .await
        .expect("read");
    assert_eq!(row.get::<_, i64>(0), 16);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_transaction_of_a_disconnected_session_is_rolled_back() {
    let fixture = spawn(Options {
        connections: 1,
        ..Options::default()
    })
    .await;
    let client = create_table(&fixture).await;
    for _ in 0..3 {
        let disconnected = fixture.connect().await;
        disconnected
            .batch_execute("BEGIN; INSERT INTO lilies VALUES (1, 'red', 0)")
            .await
            .expect("open");
        drop(disconnected);
        // The only connection must be free again, without the row.
        let row = client.query_one("SELECT count(*) FROM lilies", &[]);
        let row = timeout(DEADLINE, row)
            .await
            .expect("in time")
            .expect("read");
        assert_eq!(row.get::<_, i64>(0), 0);
        client
            .batch_execute("INSERT INTO lilies VALUES (1, 'red', 0)")
            .await
            .expect("free");
        client
            .batch_execute("DELETE FROM lilies")
            .await
            .expect("free");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn errors_are_forwarded_unchanged_and_the_session_continues() {
    let fixture = spawn(Options::default()).await;
    let client = create_table(&fixture).await;
    let missing = client
        .simple_query("SELECT * FROM ponds")
        .await
        .expect_err("no such table");
    assert_eq!(sqlstate(&missing), "42P01");
    client
        .batch_execute("INSERT INTO lilies VALUES (1, 'red', 0)")
        .await
        .expect("written");
    let duplicate = client
        .batch_execute("INSERT INTO lilies VALUES (1, 'red', 0)")
        .await;
    assert_eq!(sqlstate(&duplicate.expect_err("a duplicate")), "23505");
    for text in [
        "LISTEN orders",
        "SET work_mem = '1GB'",
        "COPY lilies FROM STDIN",
    ] {
        let refused = client.batch_execute(text).await.expect_err("refused");
        assert_eq!(sqlstate(&refused), "0A000", "{text}");
    }
    client
        .batch_execute("SET filbertbay.staleness = '1s'")
        .await
        .expect("taken by the proxy");
    client.query_one("SELECT 1", &[]).await.expect("goes on");
}

/// A fenced primary refuses writes while the instance's view still shows it as primary. Guards
/// against reporting such a write as failed or of unknown outcome, although it did not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_write_on_a_fenced_primary_is_refused_as_not_run() {
    let fixture = spawn(Options::default()).await;
    let client = create_table(&fixture).await;
    let direct = fixture.direct().await;
    direct
        .simple_query("SELECT group_fence(9)")
        .await
        .expect("fenced");
    let insert = "INSERT INTO lilies VALUES (1, 'red', 0)";
    let simple = client.batch_execute(insert).await.expect_err("fenced");
    let extended = client.execute(insert, &[]).await.expect_err("fenced");
    for error in [simple, extended] {
        assert_eq!(sqlstate(&error), "57P03");
        let message = error.as_db_error().expect("a database error").message();
        assert!(message.starts_with("not run"), "{message}");
    }
    let rows = direct
        .query_one("SELECT count(*) FROM lilies", &[])
        .await
        .expect("read");
    assert_eq!(rows.get::<_, i64>(0), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unconfirmed_write_is_never_acknowledged() {
    let fixture = spawn(Options::default()).await;
    let client = create_table(&fixture).await;
    *fixture.policy.confirms_writes.lock() = false;
    let simple = client
        .batch_execute("INSERT INTO lilies VALUES (1, 'red', 0)")
        .await;
    assert_eq!(sqlstate(&simple.expect_err("unknown")), "08007");
    let extended = client
        .execute("INSERT INTO lilies VALUES (2, 'red', 0)", &[])
        .await;
    assert_eq!(sqlstate(&extended.expect_err("unknown")), "08007");
    client.batch_execute("BEGIN").await.expect("begun");
    client
        .batch_execute("INSERT INTO lilies VALUES (3, 'red', 0)")
        .await
        .expect("not yet");
    let commit = client.batch_execute("COMMIT").await;
    assert_eq!(sqlstate(&commit.expect_err("unknown")), "08007");
    *fixture.policy.confirms_writes.lock() = true;
    client
        .batch_execute("INSERT INTO lilies VALUES (4, 'red', 0)")
        .await
        .expect("confirmed");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_read_of_an_unconfirmed_primary_is_refused() {
    let fixture = spawn(Options::default()).await;
    let client = create_table(&fixture).await;
    // No replica reaches the session's min position, so its reads go to the primary.
    for member in fixture.group.members() {
        member.set_lag(Duration::from_mins(10));
    }
    let insert = "INSERT INTO lilies VALUES (1, 'red', 0)";
    client.batch_execute(insert).await.expect("confirmed");
    let read = "SELECT id FROM lilies";
    let rows = client.query(read, &[]).await.expect("confirmed");
    assert_eq!(rows.len(), 1);
    *fixture.policy.confirms_writes.lock() = false;
    let simple = client.batch_execute(read).await;
    assert_eq!(sqlstate(&simple.expect_err("unproven")), "57P03");
    let extended = client.query(read, &[]).await;
    assert_eq!(sqlstate(&extended.expect_err("unproven")), "57P03");
}

#[tokio::test(flavor = "multi_thread")]
async fn statements_over_the_rate_are_refused_and_do_not_run() {
    let fixture = spawn(Options::default()).await;
    let client = create_table(&fixture).await;
    *fixture.policy.admits_statements.lock() = false;
    let refused = client
        .batch_execute("INSERT INTO lilies VALUES (1, 'red', 0)")
        .await;
    let refused = refused.expect_err("over the rate");
    assert_eq!(sqlstate(&refused), "53400");
    assert!(
        refused
            .as_db_error()
            .expect("answered")
            .message()
            .contains("not run")
    );
    *fixture.policy.admits_statements.lock() = true;
    let row = client
        .query_one("SELECT count(*) FROM lilies", &[])
        .await
        .expect("read");
    assert_eq!(row.get::<_, i64>(0), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn wrong_names_and_wrong_keys_get_the_same_error() {
    let fixture = spawn(Options::default()).await;
    let cases = [
        ("shop", OTHER_KEY, "orders"),
        ("nobody", KEY, "orders"),
        ("shop", KEY, "nowhere"),
        ("mill", OTHER_KEY, "orders"),
    ];
    for (user, key, route) in cases {
        let mut config = fixture.config();
        config.user(user).password(key).dbname(route);
        let refused = connect(&config).await.expect_err("refused");
        assert_eq!(sqlstate(&refused), "28P01", "{user} {route}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_and_workspace_names_are_not_sent_to_endpoints() {
    let fixture = spawn(Options::default()).await;
    let client = create_table(&fixture).await;
    client
        .query("SELECT * FROM lilies", &[])
        .await
        .expect("read");
    for member in fixture.group.members() {
        let received = member.received();
        let holds = |needle: &str| {
            received
                .windows(needle.len())
                .any(|w| w == needle.as_bytes())
        };
        assert!(!holds(KEY));
        assert!(!holds("shop"));
    }
    assert!(!fixture.group.primary().received().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_can_use_tls() {
    let directory = tempfile::tempdir().expect("a directory");
    let files = authority::write(directory.path());
    let server = IdentityFiles {
        authorities: None,
        ..files.clone()
    };
    let server = Arc::new(Identity::load(server, None).expect("usable"));
    let options = Options {
        tls: Some(server),
        ..Options::default()
    };
    let fixture = spawn(options).await;
    let target = Target {
        address: fixture.callers.address(),
        database: "orders".into(),
        user: "shop".into(),
        password: KEY.into(),
        application: "test".into(),
        member: None,
        tls: Some(Arc::new(Identity::load(files, None).expect("usable"))),
    };
    let mut caller = Connection::open(&target, DEADLINE)
        .await
        .expect("taken over TLS");
    let frames = caller.query("SELECT 7").await.expect("answered");
    assert_eq!(parse_row(&frames).expect("a row"), [Some("7".to_owned())]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_greedy_workspace_does_not_starve_another() {
    const GREEDY: usize = 8;
    const ROUNDS: usize = 20;
    const WORK: &str = "BEGIN; SELECT pg_sleep(0.002); COMMIT";
    let fixture = spawn(Options {
        connections: 1,
        ..Options::default()
    })
    .await;
    fixture.policy.patch(|document| {
        let mill = document.workspaces.get_mut("mill").expect("configured");
        mill.routes.push("orders".into());
    });
    let executed = Arc::new(AtomicUsize::new(0));
    let mut greedy = Vec::new();
    for _ in 0..GREEDY {
        let client = fixture.connect().await;
        let executed = Arc::clone(&executed);
        greedy.push(tokio::spawn(async move {
            loop {
                client.batch_execute(WORK).await.expect("run");
                executed.fetch_add(1, Ordering::Relaxed);
            }
        }));
    }
    let mut config = fixture.config();
    let modest = connect(config.user("mill").password(OTHER_KEY))
        .await
        .expect("taken");
    modest.batch_execute(WORK).await.expect("run");
    let before = executed.load(Ordering::Relaxed);
    for _ in 0..ROUNDS {
        modest.batch_execute(WORK).await.expect("run");
    }
    let concurrent = executed.load(Ordering::Relaxed) - before;
    greedy.iter().for_each(tokio::task::JoinHandle::abort);
    // Under fair queueing the greedy workspace runs as many; in order of arrival it would run eight
    // times as many. The bound leaves room for one statement in flight and one that starts between
    // two statements of the modest caller.
    assert!(
        concurrent <= 3 * ROUNDS,
        "{concurrent} while the other ran {ROUNDS}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn reads_continue_while_replicas_stop() {
    let fixture = spawn(Options::default()).await;
    let client = create_table(&fixture).await;
    let replicas = fixture.group.members().iter();
    let replicas: Vec<_> = replicas
        .filter(|member| member.name() != fixture.group.primary().name())
        .collect();
    for round in 0..60 {
        match round {
            20 => replicas[0].set_stopped(true),
            40 => replicas[1].set_stopped(true),
            _ => {}
        }
        let row = client.query_one("SELECT count(*) FROM lilies", &[]);
        let row = timeout(DEADLINE, row)
            .await
            .expect("in time")
            .expect("read");
        assert_eq!(row.get::<_, i64>(0), 0);
    }
}

/// psycopg 3 sends `DEALLOCATE ALL` after a rollback once it has prepared a statement.
#[tokio::test(flavor = "multi_thread")]
async fn deallocate_and_discard_remove_prepared_statements() {
    let fixture = spawn(Options::default()).await;
    let client = create_table(&fixture).await;
    let select = "SELECT stock FROM lilies WHERE id = $1";
    let first = client.prepare_typed(select, &[Type::INT8]).await.unwrap();
    client.query(&first, &[&1_i64]).await.expect("read");
    client.batch_execute("ROLLBACK").await.ok();
    client
        .batch_execute("DEALLOCATE ALL")
        .await
        .expect("dropped");
    let error = client.query(&first, &[&1_i64]).await.unwrap_err();
    assert_eq!(sqlstate(&error), "26000");
    let second = client.prepare_typed(select, &[Type::INT8]).await.unwrap();
    let error = client.batch_execute("DEALLOCATE nothing").await;
    assert_eq!(sqlstate(&error.unwrap_err()), "26000");
    client.query(&second, &[&1_i64]).await.expect("still there");
    client.batch_execute("DISCARD ALL").await.expect("dropped");
    let error = client.query(&second, &[&1_i64]).await.unwrap_err();
    assert_eq!(sqlstate(&error), "26000");
}
