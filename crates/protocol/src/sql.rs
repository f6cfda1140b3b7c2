//! Classes of SQL, which tell where a statement may run.
//!
//! What is in doubt is a write: a statement that the parser does not know, a function that is not
//! on the list of harmless ones, a lock. A write that is taken for a write runs on the primary and
//! does no harm; a write taken for a read would be acknowledged without proof.
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

/// Session setting by which a caller states the age that its reads accept.
pub const STALENESS_SETTING: &str = "filbertbay.staleness";

/// Deepest nesting of a statement that is parsed.
const MAX_NESTING_DEPTH: usize = 100;

/// What a statement does, as far as it decides where the statement may run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StatementClass {
    /// Changes nothing.
    Read,
    /// Changes something, or may.
    Write,
    /// Opens a transaction.
    Begin {
        /// Whether the transaction refuses writes.
        read_only: bool,
    },
    /// Commits the open transaction.
    Commit,
    /// Rolls the open transaction back.
    Rollback,
    /// Changes the open transaction only, such as a savepoint or `SET LOCAL`.
    TransactionLocal,
    /// States the age that the session's reads accept; `None` takes the statement back.
    SetMaxStaleness(Option<Duration>),
    /// Has no effect on a pooled connection; the proxy answers with this command tag.
    Acknowledged(&'static str),
    /// Drops a statement that the session prepared, or all of them.
    Deallocate(Option<Box<str>>),
    /// Can't run on a pooled connection.
    Refused(&'static str),
}

/// Classes of the statements of one text.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Batch {
    classes: Vec<StatementClass>,
    max_staleness: Option<Duration>,
}

impl Batch {
    /// Returns the class of each statement.
    pub fn classes(&self) -> &[StatementClass] {
        &self.classes
    }

    /// Returns the age that a comment of the text accepts.
    pub fn max_staleness(&self) -> Option<Duration> {
        self.max_staleness
    }

    /// Returns whether every statement only reads, alone or in a read-only transaction.
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

    /// Returns why the text can't run on a pooled connection, if it can't.
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

/// Classifies a text of one or more statements.
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

/// Parses an age such as `500ms`, `2s` or `1min`; a bare number counts milliseconds.
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

/// Decides by leading words what needs no parse, or what the parser may not know.
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

/// Returns the name of the prepared statement that is dropped, none for all.
fn deallocated_name(tokens: &[Token]) -> Option<Box<str>> {
    let mut rest = tokens.iter().skip(1).peekable();
    rest.next_if(|token| uppercase_word(token).as_deref() == Some("PREPARE"));
    match rest.next() {
        Some(Token::Word(name)) if name.quote_style.is_some() => Some(name.value.as_str().into()),
        Some(token) if uppercase_word(token).as_deref() == Some("ALL") => None,
        // Names without quotes are folded to lower case.
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

/// Refuses a query that leaves something behind in the endpoint's session.
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

/// Returns whether an unquoted word may stand for a change or a lock.
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

/// Lists the names that are followed by an opening parenthesis, in lower case.
///
/// A name of a schema other than `pg_catalog` is kept, so that it is not taken for a known one.
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

fn is_read_only(modes: &[TransactionMode]) -> bool {
    let last_access = modes.iter().rev().try_for_each(|mode| match mode {
        TransactionMode::AccessMode(access) => ControlFlow::Break(*access),
        TransactionMode::IsolationLevel(_) => ControlFlow::Continue(()),
    });
    last_access == ControlFlow::Break(TransactionAccessMode::ReadOnly)
}

/// Returns an unquoted word in upper case.
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
