//! Classification of SQL statements, which decides whether a statement may run on a replica.
//!
//! Every doubtful statement counts as a write: one that the parser does not know, one that calls a
//! function outside the list of read-only functions, or one that takes a lock. A read classified as
//! a write only runs on the primary; a write classified as a read would be acknowledged without
//! confirmation of the primary.
//!
//! # Examples
//!
//! ```
//! use filbertbay_protocol::sql::{self, StatementClass};
//!
//! assert_eq!(sql::classify("SELECT count(*) FROM orders").classes(), [StatementClass::Read]);
//! assert_eq!(sql::classify("SELECT nextval('ids')").classes(), [StatementClass::Write]);
//! ```

mod function;

use std::ops::ControlFlow;
use std::time::Duration;

use sqlparser::ast::{Expr, Set, Statement, TransactionAccessMode, TransactionMode, Value};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::keywords::Keyword;
use sqlparser::parser::Parser;
use sqlparser::tokenizer::{Token, Tokenizer, Whitespace};

/// Session setting with the maximum staleness of a caller's reads.
pub const STALENESS_SETTING: &str = "filbertbay.staleness";

/// Recursion limit of the parser; a more deeply nested statement counts as a write.
const MAX_NESTING_DEPTH: usize = 100;

/// Class of a statement, which decides where it may run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StatementClass {
    /// Reads only.
    Read,
    /// Writes, takes a lock, or can't be proven to be a read.
    Write,
    /// Opens a transaction.
    Begin {
        /// Whether the transaction is declared `READ ONLY`.
        read_only: bool,
    },
    /// Commits the open transaction.
    Commit,
    /// Rolls the open transaction back.
    Rollback,
    /// Affects the open transaction only, such as a savepoint or `SET LOCAL`.
    TransactionLocal,
    /// Sets the maximum staleness of the session's reads; `None` resets it to the default.
    SetMaxStaleness(Option<Duration>),
    /// Does not run on an endpoint; the proxy answers with this command tag.
    Acknowledged(&'static str),
    /// Drops the named prepared statement, or every one of the session for `None`.
    Deallocate(Option<Box<str>>),
    /// Can't run on a pooled connection; the text is the reason for the caller.
    Refused(&'static str),
}

/// Classified statements of one query text.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Batch {
    classes: Vec<StatementClass>,
    max_staleness: Option<Duration>,
}

impl Batch {
    /// Returns the class of each statement, in the order of the text.
    pub fn classes(&self) -> &[StatementClass] {
        &self.classes
    }

    /// Returns the maximum staleness that a comment in the text sets.
    pub fn max_staleness(&self) -> Option<Duration> {
        self.max_staleness
    }

    /// Returns whether every statement is a read, outside or inside of a read-only transaction.
    ///
    /// An empty batch is a read.
    pub fn is_read(&self) -> bool {
        let is_read_only_transaction =
            self.classes.first() == Some(&StatementClass::Begin { read_only: true });
        self.classes.iter().all(|class| match class {
            StatementClass::Read => true,
            StatementClass::Begin { read_only } => *read_only,
            StatementClass::Commit
            | StatementClass::Rollback
            | StatementClass::TransactionLocal => is_read_only_transaction,
            _ => false,
        })
    }

    /// Returns why the batch can't run on a pooled connection, or `None` if it can.
    ///
    /// A statement that the proxy answers itself must be the only one of its batch.
    pub fn refusal(&self) -> Option<&'static str> {
        let is_single = self.classes.len() == 1;
        self.classes.iter().find_map(|class| match class {
            StatementClass::Refused(reason) => Some(*reason),
            StatementClass::SetMaxStaleness(_)
            | StatementClass::Acknowledged(_)
            | StatementClass::Deallocate(_)
                if !is_single =>
            {
                Some("a setting of the proxy must be a statement of its own")
            }
            _ => None,
        })
    }
}

/// Classifies each statement of a query text.
///
/// A text that can't be tokenised counts as one write.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use filbertbay_protocol::sql::{self, StatementClass};
///
/// let batch = sql::classify("SELECT 1 /* filbertbay.staleness=500ms */");
/// assert_eq!(batch.max_staleness(), Some(Duration::from_millis(500)));
/// assert!(batch.is_read());
///
/// let batch = sql::classify("LISTEN orders");
/// assert!(batch.refusal().is_some());
/// ```
pub fn classify(text: &str) -> Batch {
    let dialect = PostgreSqlDialect {};
    let Ok(tokens) = Tokenizer::new(&dialect, text).tokenize() else {
        return Batch {
            classes: vec![StatementClass::Write],
            max_staleness: None,
        };
    };
    let max_staleness = tokens.iter().find_map(staleness_hint);
    let classes = tokens
        .split(|token| *token == Token::SemiColon)
        .map(without_whitespace)
        .filter(|statement| !statement.is_empty())
        .map(|statement| classify_statement(&dialect, &statement))
        .collect();
    Batch {
        classes,
        max_staleness,
    }
}

/// Parses a duration such as `500ms`, `2s` or `1min`; a number without a unit is milliseconds.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use filbertbay_protocol::sql;
///
/// assert_eq!(sql::parse_duration("2s"), Some(Duration::from_secs(2)));
/// assert_eq!(sql::parse_duration("soon"), None);
/// ```
pub fn parse_duration(text: &str) -> Option<Duration> {
    let text = text.trim();
    let digits = text
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(text.len());
    let (number, unit) = text.split_at(digits);
    let number: u64 = number.parse().ok()?;
    let factor = match unit.trim() {
        "" | "ms" => 1,
        "s" => 1_000,
        "min" => 60_000,
        _ => return None,
    };
    Some(Duration::from_millis(number.checked_mul(factor)?))
}

/// Returns the maximum staleness that a comment `/* filbertbay.staleness=... */` sets.
fn staleness_hint(token: &Token) -> Option<Duration> {
    let Token::Whitespace(Whitespace::MultiLineComment(comment)) = token else {
        return None;
    };
    let (name, value) = comment.trim().split_once('=')?;
    (name.trim() == STALENESS_SETTING)
        .then(|| parse_duration(value))
        .flatten()
}

fn without_whitespace(tokens: &[Token]) -> Vec<Token> {
    let is_significant = |token: &&Token| !matches!(token, Token::Whitespace(_) | Token::EOF);
    tokens.iter().filter(is_significant).cloned().collect()
}

fn classify_statement(dialect: &PostgreSqlDialect, tokens: &[Token]) -> StatementClass {
    if let Some(class) = classify_by_keyword(tokens) {
        return class;
    }
    let parsed = Parser::new(dialect)
        .with_recursion_limit(MAX_NESTING_DEPTH)
        .with_tokens(tokens.to_vec())
        .parse_statement();
    match parsed {
        Ok(Statement::Query(_) | Statement::Explain { analyze: false, .. }) => {
            classify_query(tokens)
        }
        Ok(Statement::ShowVariable { .. }) => StatementClass::Read,
        Ok(Statement::StartTransaction { modes, .. }) => StatementClass::Begin {
            read_only: is_read_only(&modes),
        },
        Ok(Statement::Set(set)) => classify_set(&set),
        _ => StatementClass::Write,
    }
}

/// Classifies a statement by its leading keywords, if they suffice or the parser may not know it.
fn classify_by_keyword(tokens: &[Token]) -> Option<StatementClass> {
    let first = uppercase_word(tokens.first()?)?;
    let second = tokens.get(1).and_then(uppercase_word).unwrap_or_default();
    let has = |name: &str| {
        tokens
            .iter()
            .filter_map(uppercase_word)
            .any(|word| word == name)
    };
    let class = match (first.as_str(), second.as_str()) {
        ("COMMIT", "PREPARED") | ("ROLLBACK", "PREPARED") | ("PREPARE", "TRANSACTION") => {
            StatementClass::Refused("two-phase commit is not available on pooled connections")
        }
        ("COMMIT" | "END", _) => StatementClass::Commit,
        ("ROLLBACK", _) if has("TO") => StatementClass::TransactionLocal,
        ("ROLLBACK" | "ABORT", _) => StatementClass::Rollback,
        ("LISTEN", _) => StatementClass::Refused("LISTEN is not available on pooled connections"),
        ("UNLISTEN", _) => StatementClass::Acknowledged("UNLISTEN"),
        ("DISCARD", _) => StatementClass::Acknowledged("DISCARD ALL"),
        ("RESET", _) if !has("STALENESS") => StatementClass::Acknowledged("RESET"),
        ("RESET", _) => StatementClass::SetMaxStaleness(None),
        ("COPY", _) => StatementClass::Refused("COPY is not available through the proxy"),
        ("DEALLOCATE", _) => StatementClass::Deallocate(deallocated_name(tokens)),
        ("PREPARE" | "EXECUTE", _) => StatementClass::Refused(
            "SQL-level prepared statements are not available on pooled connections",
        ),
        ("LOAD", _) => StatementClass::Refused("LOAD is not available on pooled connections"),
        ("DECLARE", _) if has("HOLD") && !has("WITHOUT") => {
            StatementClass::Refused("cursors WITH HOLD are not available on pooled connections")
        }
        ("SAVEPOINT" | "RELEASE" | "DECLARE" | "FETCH" | "MOVE" | "CLOSE", _) => {
            StatementClass::TransactionLocal
        }
        ("CREATE", "TEMP" | "TEMPORARY" | "LOCAL" | "GLOBAL") => REFUSED_TEMPORARY,
        ("CREATE", "OR") if has("TEMP") || has("TEMPORARY") => REFUSED_TEMPORARY,
        ("SELECT" | "WITH" | "VALUES" | "EXPLAIN", _) => return refuse_session_state(tokens),
        _ => return None,
    };
    Some(class)
}

/// Returns the name of the prepared statement that `DEALLOCATE` drops, or `None` for all.
fn deallocated_name(tokens: &[Token]) -> Option<Box<str>> {
    let mut rest = tokens.iter().skip(1).peekable();
    rest.next_if(|token| uppercase_word(token).as_deref() == Some("PREPARE"));
    match rest.next() {
        Some(Token::Word(name)) if name.quote_style.is_some() => Some(name.value.as_str().into()),
        Some(token) if uppercase_word(token).as_deref() == Some("ALL") => None,
        // PostgreSQL folds unquoted names to lower case.
        Some(token) => Some(
            uppercase_word(token)
                .unwrap_or_default()
                .to_lowercase()
                .into(),
        ),
        None => Some("".into()),
    }
}

const REFUSED_TEMPORARY: StatementClass =
    StatementClass::Refused("temporary objects are not available on pooled connections");

/// Refuses a query that would leave state in the endpoint's session, such as an advisory lock.
fn refuse_session_state(tokens: &[Token]) -> Option<StatementClass> {
    let calls_lock = called_functions(tokens).any(|name| {
        (name.starts_with("pg_advisory_lock") || name.starts_with("pg_try_advisory_lock"))
            || name == "pg_advisory_unlock_all"
            || name.starts_with("pg_advisory_unlock")
    });
    if calls_lock {
        let reason = "session-level advisory locks are not available on pooled connections";
        return Some(StatementClass::Refused(reason));
    }
    if called_functions(tokens).any(|name| name == "set_config") {
        return Some(StatementClass::Refused(
            "set_config is not available on pooled connections",
        ));
    }
    let into_index = tokens
        .iter()
        .position(|token| keyword(token) == Some(Keyword::INTO));
    let target = into_index
        .and_then(|at| tokens.get(at + 1))
        .and_then(uppercase_word);
    let is_temporary = matches!(target.as_deref(), Some("TEMP" | "TEMPORARY"));
    is_temporary.then_some(REFUSED_TEMPORARY)
}

fn classify_query(tokens: &[Token]) -> StatementClass {
    if tokens.iter().any(may_write_or_lock)
        || called_functions(tokens).any(|name| !function::is_read_only(&name))
    {
        StatementClass::Write
    } else {
        StatementClass::Read
    }
}

/// Returns whether an unquoted keyword may start a write or take a lock.
fn may_write_or_lock(token: &Token) -> bool {
    matches!(
        keyword(token),
        Some(
            Keyword::INSERT
                | Keyword::UPDATE
                | Keyword::DELETE
                | Keyword::MERGE
                | Keyword::INTO
                | Keyword::LOCK
                | Keyword::SHARE
                | Keyword::TRUNCATE
                | Keyword::CREATE
                | Keyword::DROP
                | Keyword::ALTER
                | Keyword::ANALYZE
                | Keyword::CALL
        )
    )
}

/// Returns the names before each opening parenthesis, in lower case unless quoted.
///
/// A name in a schema other than `pg_catalog` keeps the schema, so that it does not match a
/// built-in function.
fn called_functions(tokens: &[Token]) -> impl Iterator<Item = String> + '_ {
    let is_call = |index: &usize| tokens[*index] == Token::LParen;
    (1..tokens.len()).filter(is_call).filter_map(|index| {
        let name = function_name(&tokens[index - 1])?;
        let is_qualified = index >= 3 && tokens[index - 2] == Token::Period;
        let schema = is_qualified
            .then(|| function_name(&tokens[index - 3]))
            .flatten();
        match schema.as_deref() {
            None if is_qualified => Some(format!("?.{name}")),
            None | Some("pg_catalog") => Some(name),
            Some(schema) => Some(format!("{schema}.{name}")),
        }
    })
}

fn function_name(token: &Token) -> Option<String> {
    match token {
        Token::Word(word) if word.quote_style.is_none() => Some(word.value.to_lowercase()),
        Token::Word(word) => Some(format!("\"{}\"", word.value)),
        _ => None,
    }
}

fn classify_set(set: &Set) -> StatementClass {
    match set {
        Set::SetTransaction { session: false, .. } => StatementClass::TransactionLocal,
        Set::SingleAssignment {
            scope,
            variable,
            values,
            ..
        } => {
            let name = variable.to_string().to_lowercase();
            let is_local = scope.is_some_and(|scope| scope.to_string().trim() == "LOCAL");
            match name.as_str() {
                STALENESS_SETTING => classify_set_staleness(values),
                _ if is_local => StatementClass::TransactionLocal,
                "application_name" | "client_encoding" | "extra_float_digits" => {
                    StatementClass::Acknowledged("SET")
                }
                _ => REFUSED_SESSION_SET,
            }
        }
        Set::SetNames { .. } => StatementClass::Acknowledged("SET"),
        _ => REFUSED_SESSION_SET,
    }
}

const REFUSED_SESSION_SET: StatementClass = StatementClass::Refused(
    "session-level SET is not available on pooled connections; use SET LOCAL",
);

fn classify_set_staleness(values: &[Expr]) -> StatementClass {
    let invalid =
        StatementClass::Refused("filbertbay.staleness must be an age such as '500ms', or DEFAULT");
    let [value] = values else {
        return invalid;
    };
    let text = match value {
        Expr::Value(value) => match &value.value {
            Value::SingleQuotedString(text) | Value::Number(text, _) => text.clone(),
            _ => return invalid,
        },
        Expr::Identifier(name) if name.value.eq_ignore_ascii_case("default") => {
            return StatementClass::SetMaxStaleness(None);
        }
        _ => return invalid,
    };
    parse_duration(&text).map_or(invalid, |age| StatementClass::SetMaxStaleness(Some(age)))
}

/// Returns whether the last access mode, which takes precedence, is `READ ONLY`.
fn is_read_only(modes: &[TransactionMode]) -> bool {
    let last_access = modes.iter().rev().try_for_each(|mode| match mode {
        TransactionMode::AccessMode(access) => ControlFlow::Break(*access),
        TransactionMode::IsolationLevel(_) => ControlFlow::Continue(()),
    });
    last_access == ControlFlow::Break(TransactionAccessMode::ReadOnly)
}

/// Returns an unquoted word in upper case, or `None` for any other token.
fn uppercase_word(token: &Token) -> Option<String> {
    match token {
        Token::Word(word) if word.quote_style.is_none() => Some(word.value.to_uppercase()),
        _ => None,
    }
}

fn keyword(token: &Token) -> Option<Keyword> {
    match token {
        Token::Word(word) if word.quote_style.is_none() => Some(word.keyword),
        _ => None,
    }
}
