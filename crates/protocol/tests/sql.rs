//! Tests of statement classification: doubtful statements are writes, and no input panics.

#![allow(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes its arguments by value"
)]

use filbertbay_protocol::sql::{self, StatementClass};
use quickcheck::{Arbitrary, Gen};

/// Text with a statement that writes or takes a lock, with varied case, comments and neighbours.
#[derive(Clone, Debug)]
struct WriteText(String);

const WRITES: &[&str] = &[
    "INSERT INTO orders VALUES (1)",
    "UPDATE orders SET lily = 2",
    "DELETE FROM orders",
    "TRUNCATE orders",
    "CREATE TABLE ponds (id int)",
    "DROP TABLE ponds",
    "SELECT * FROM orders FOR UPDATE",
    "SELECT * FROM orders FOR SHARE",
    "SELECT nextval('ids')",
    "SELECT pg_catalog.setval('ids', 3)",
    "SELECT * INTO ponds FROM orders",
    "WITH gone AS (DELETE FROM orders RETURNING *) SELECT * FROM gone",
    "WITH new AS (INSERT INTO orders VALUES (1) RETURNING id) SELECT id FROM new",
    "EXPLAIN ANALYZE INSERT INTO orders VALUES (1)",
    "EXPLAIN ANALYZE SELECT 1",
    "SELECT unknown_function(1)",
    "SELECT shop.lower('A')",
    "SELECT \"Lower\"('A')",
    "CALL settle()",
    "DO $$ BEGIN DELETE FROM orders; END $$",
    "MERGE INTO orders USING ponds ON true WHEN MATCHED THEN DELETE",
    "VACUUM",
    "gibberish that no parser knows",
];

impl Arbitrary for WriteText {
    fn arbitrary(g: &mut Gen) -> Self {
        let statement = *g.choose(WRITES).expect("not empty");
        let statement = match g.choose(&[0, 1, 2]).expect("not empty") {
            0 => statement.to_lowercase(),
            1 => statement.replace(' ', " /* SELECT 1 */\n "),
            _ => statement.to_owned(),
        };
        let before = g.choose(&["", "SELECT 1; ", "-- read\n", ";", "SHOW x; "]);
        let after = g.choose(&["", ";", "; SELECT 2", " -- read"]);
        Self(format!(
            "{}{statement}{}",
            before.expect("not empty"),
            after.expect("not empty")
        ))
    }
}

#[test]
fn write_is_never_classified_as_a_read() {
    fn property(statement: WriteText) -> bool {
        !sql::classify(&statement.0).is_read()
    }
    check::runner(64).quickcheck(property as fn(WriteText) -> bool);
}

#[test]
fn arbitrary_text_never_panics() {
    fn property(text: String, words: Vec<u8>) -> bool {
        let known = [
            "SELECT", "(", ")", "'", "\"", ";", "SET", "=", "BEGIN", "$$", "/*", "WITH",
        ];
        let mixed: Vec<&str> = words
            .iter()
            .map(|w| known[usize::from(*w) % known.len()])
            .collect();
        let batch = sql::classify(&text);
        let other = sql::classify(&mixed.join(" "));
        batch.classes().len() <= text.len() && other.classes().len() <= words.len()
    }
    check::runner(200).quickcheck(property as fn(String, Vec<u8>) -> bool);
}

#[test]
fn deeply_nested_statement_is_a_write() {
    let text = format!("SELECT {}1{}", "(".repeat(50_000), ")".repeat(50_000));
    assert!(!sql::classify(&text).is_read());
}

#[test]
fn reads_are_distinguished_from_statements_for_the_primary() {
    for text in [
        "SELECT 1",
        "select count(*), max(id) from orders where shop in (1, 2) group by kind",
        "WITH few AS (SELECT * FROM orders LIMIT 3) SELECT * FROM few",
        "VALUES (1), (2)",
        "SHOW server_version",
        "EXPLAIN SELECT 1",
        "SELECT \"update\" FROM orders",
        "SELECT abs(1), pg_catalog.version(), substring('lily' from 2)",
        "SELECT id FROM orders WHERE note = 'DELETE FROM orders'",
        "BEGIN READ ONLY; SELECT 1; COMMIT",
        "SELECT c.relname FROM pg_catalog.pg_class c WHERE pg_catalog.pg_table_is_visible(c.oid)",
        "",
    ] {
        assert!(sql::classify(text).is_read(), "{text}");
    }
    for text in ["BEGIN", "COMMIT", "BEGIN; SELECT 1; COMMIT", "SAVEPOINT a"] {
        assert!(!sql::classify(text).is_read(), "{text}");
        assert_eq!(sql::classify(text).refusal(), None, "{text}");
    }
}

#[test]
fn transaction_statements_are_classified() {
    let class = |text: &str| sql::classify(text).classes()[0].clone();
    assert_eq!(
        class("START TRANSACTION READ ONLY"),
        StatementClass::Begin { read_only: true }
    );
    assert_eq!(
        class("BEGIN ISOLATION LEVEL REPEATABLE READ"),
        StatementClass::Begin { read_only: false }
    );
    assert_eq!(class("END"), StatementClass::Commit);
    assert_eq!(class("COMMIT AND CHAIN"), StatementClass::Commit);
    assert_eq!(
        class("ROLLBACK TO SAVEPOINT a"),
        StatementClass::TransactionLocal
    );
    assert_eq!(class("ABORT"), StatementClass::Rollback);
    assert_eq!(
        class("SET LOCAL statement_timeout = 5"),
        StatementClass::TransactionLocal
    );
}

#[test]
fn statements_that_leave_session_state_are_refused() {
    for text in [
        "LISTEN orders",
        "SET work_mem = '1GB'",
        "SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY",
        "CREATE TEMP TABLE t (id int)",
        "SELECT * INTO TEMP t FROM orders",
        "SELECT pg_advisory_lock(1)",
        "SELECT set_config('a.b', 'c', false)",
        "DECLARE c CURSOR WITH HOLD FOR SELECT 1",
        "COPY orders FROM STDIN",
        "PREPARE p AS SELECT 1",
        "PREPARE TRANSACTION 'x'",
        "SELECT 1; SET filbertbay.staleness = '1s'",
    ] {
        assert!(sql::classify(text).refusal().is_some(), "{text}");
    }
}

#[test]
fn deallocate_returns_the_name_of_the_statement() {
    let class = |text: &str| sql::classify(text).classes()[0].clone();
    let named = |name: &str| StatementClass::Deallocate(Some(name.into()));
    assert_eq!(class("DEALLOCATE ALL"), StatementClass::Deallocate(None));
    assert_eq!(
        class("deallocate prepare all;"),
        StatementClass::Deallocate(None)
    );
    assert_eq!(class("DEALLOCATE Orders"), named("orders"));
    assert_eq!(class("DEALLOCATE PREPARE \"Orders\""), named("Orders"));
    assert_eq!(class("DEALLOCATE \"all\""), named("all"));
    assert_eq!(class("DEALLOCATE"), named(""));
    let text = "DEALLOCATE ALL; SELECT 1";
    assert!(sql::classify(text).refusal().is_some());
}

#[test]
fn staleness_setting_is_parsed() {
    let class = |text: &str| sql::classify(text).classes()[0].clone();
    let two = Some(std::time::Duration::from_secs(2));
    assert_eq!(
        class("SET filbertbay.staleness = '2s'"),
        StatementClass::SetMaxStaleness(two)
    );
    assert_eq!(
        class("SET filbertbay.staleness TO 2000"),
        StatementClass::SetMaxStaleness(two)
    );
    assert_eq!(
        class("SET filbertbay.staleness TO DEFAULT"),
        StatementClass::SetMaxStaleness(None)
    );
    assert_eq!(
        class("RESET filbertbay.staleness"),
        StatementClass::SetMaxStaleness(None)
    );
    assert!(
        sql::classify("SET filbertbay.staleness = 'soon'")
            .refusal()
            .is_some()
    );
}
