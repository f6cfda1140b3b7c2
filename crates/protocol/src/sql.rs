//! Classes of SQL, which tell where a statement may run.
//!
//! What is in doubt is a write: a statement that the parser does not know, a function that is not
//! on the list of harmless ones, a lock. A write that is taken for a write runs on the primary and
//! does no harm; a write taken for a read would be acknowledged without proof.
//!
//! # Examples
//!
//! ```
//! use filbertbay_protocol::sql::{self, Class};
//!
//! assert_eq!(sql::classify("SELECT count(*) FROM orders").classes(), [Class::Read]);
//! assert_eq!(sql::classify("SELECT nextval('ids')").classes(), [Class::Write]);
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
const MAX_DEPTH: usize = 100;

/// What a statement does, as far as it decides where the statement may run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Class {
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
    Local,
    /// States the age that the session's reads accept; `None` takes the statement back.
    Staleness(Option<Duration>),
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
    classes: Vec<Class>,
    staleness: Option<Duration>,
}

impl Batch {
    /// Returns the class of each statement.
    pub fn classes(&self) -> &[Class] {
        &self.classes
    }

    /// Returns the age that a comment of the text accepts.
    pub fn staleness(&self) -> Option<Duration> {
        self.staleness
    }

    /// Returns whether every statement only reads, alone or in a read-only transaction.
    pub fn is_read(&self) -> bool {
        let opens_read_only = self.classes.first() == Some(&Class::Begin { read_only: true });
        self.classes.iter().all(|class| match class {
            Class::Read => true,
            Class::Begin { read_only } => *read_only,
            Class::Commit | Class::Rollback | Class::Local => opens_read_only,
            _ => false,
        })
    }

    /// Returns why the text can't run on a pooled connection, if it can't.
    pub fn refusal(&self) -> Option<&'static str> {
        let alone = self.classes.len() == 1;
        self.classes.iter().find_map(|class| match class {
            Class::Refused(reason) => Some(*reason),
            Class::Staleness(_) | Class::Acknowledged(_) | Class::Deallocate(_) if !alone => {
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
/// use filbertbay_protocol::sql::{self, Class};
///
/// let batch = sql::classify("SELECT 1 /* filbertbay.staleness=500ms */");
/// assert_eq!(batch.staleness(), Some(Duration::from_millis(500)));
/// assert!(batch.is_read());
///
/// let batch = sql::classify("LISTEN orders");
/// assert!(batch.refusal().is_some());
/// ```
pub fn classify(text: &str) -> Batch {
    let dialect = PostgreSqlDialect {};
    let Ok(tokens) = Tokenizer::new(&dialect, text).tokenize() else {
        return Batch {
            classes: vec![Class::Write],
            staleness: None,
        };
    };
    let staleness = tokens.iter().find_map(hint);
    let classes = tokens
        .split(|token| *token == Token::SemiColon)
        .map(significant)
        .filter(|statement| !statement.is_empty())
        .map(|statement| class(&dialect, &statement))
        .collect();
    Batch { classes, staleness }
}

/// Parses an age such as `500ms`, `2s` or `1min`; a bare number counts milliseconds.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use filbertbay_protocol::sql;
///
/// assert_eq!(sql::parse_age("2s"), Some(Duration::from_secs(2)));
/// assert_eq!(sql::parse_age("soon"), None);
/// ```
pub fn parse_age(text: &str) -> Option<Duration> {
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

fn hint(token: &Token) -> Option<Duration> {
    let Token::Whitespace(Whitespace::MultiLineComment(comment)) = token else {
        return None;
    };
    let (name, value) = comment.trim().split_once('=')?;
    (name.trim() == STALENESS_SETTING)
        .then(|| parse_age(value))
        .flatten()
}

fn significant(tokens: &[Token]) -> Vec<Token> {
    let blank = |token: &&Token| !matches!(token, Token::Whitespace(_) | Token::EOF);
    tokens.iter().filter(blank).cloned().collect()
}

fn class(dialect: &PostgreSqlDialect, tokens: &[Token]) -> Class {
    if let Some(class) = class_by_word(tokens) {
        return class;
    }
    let parsed = Parser::new(dialect)
        .with_recursion_limit(MAX_DEPTH)
        .with_tokens(tokens.to_vec())
        .parse_statement();
    match parsed {
        Ok(Statement::Query(_) | Statement::Explain { analyze: false, .. }) => {
            class_of_query(tokens)
        }
        Ok(Statement::ShowVariable { .. }) => Class::Read,
        Ok(Statement::StartTransaction { modes, .. }) => Class::Begin {
            read_only: read_only(&modes),
        },
        Ok(Statement::Set(set)) => class_of_set(&set),
        _ => Class::Write,
    }
}

/// Decides by leading words what needs no parse, or what the parser may not know.
fn class_by_word(tokens: &[Token]) -> Option<Class> {
    let first = word(tokens.first()?)?;
    let second = tokens.get(1).and_then(word).unwrap_or_default();
    let has = |name: &str| tokens.iter().filter_map(word).any(|word| word == name);
    let class = match (first.as_str(), second.as_str()) {
        ("COMMIT", "PREPARED") | ("ROLLBACK", "PREPARED") | ("PREPARE", "TRANSACTION") => {
            Class::Refused("two-phase commit is not available on pooled connections")
        }
        ("COMMIT" | "END", _) => Class::Commit,
        ("ROLLBACK", _) if has("TO") => Class::Local,
        ("ROLLBACK" | "ABORT", _) => Class::Rollback,
        ("LISTEN", _) => Class::Refused("LISTEN is not available on pooled connections"),
        ("UNLISTEN", _) => Class::Acknowledged("UNLISTEN"),
        ("DISCARD", _) => Class::Acknowledged("DISCARD ALL"),
        ("RESET", _) if !has("STALENESS") => Class::Acknowledged("RESET"),
        ("RESET", _) => Class::Staleness(None),
        ("COPY", _) => Class::Refused("COPY is not available through the proxy"),
        ("DEALLOCATE", _) => Class::Deallocate(deallocated(tokens)),
        ("PREPARE" | "EXECUTE", _) => {
            Class::Refused("SQL-level prepared statements are not available on pooled connections")
        }
        ("LOAD", _) => Class::Refused("LOAD is not available on pooled connections"),
        ("DECLARE", _) if has("HOLD") && !has("WITHOUT") => {
            Class::Refused("cursors WITH HOLD are not available on pooled connections")
        }
        ("SAVEPOINT" | "RELEASE" | "DECLARE" | "FETCH" | "MOVE" | "CLOSE", _) => Class::Local,
        ("CREATE", "TEMP" | "TEMPORARY" | "LOCAL" | "GLOBAL") => TEMPORARY,
        ("CREATE", "OR") if has("TEMP") || has("TEMPORARY") => TEMPORARY,
        ("SELECT" | "WITH" | "VALUES" | "EXPLAIN", _) => return refused_in_query(tokens),
        _ => return None,
    };
    Some(class)
}

/// Returns the name of the prepared statement that is dropped, none for all.
fn deallocated(tokens: &[Token]) -> Option<Box<str>> {
    let mut rest = tokens.iter().skip(1).peekable();
    rest.next_if(|token| word(token).as_deref() == Some("PREPARE"));
    match rest.next() {
        Some(Token::Word(name)) if name.quote_style.is_some() => Some(name.value.as_str().into()),
        Some(token) if word(token).as_deref() == Some("ALL") => None,
        // Names without quotes are folded to lower case.
        Some(token) => Some(word(token).unwrap_or_default().to_lowercase().into()),
        None => Some("".into()),
    }
}

const TEMPORARY: Class =
    Class::Refused("temporary objects are not available on pooled connections");

/// Refuses a query that leaves something behind in the endpoint's session.
fn refused_in_query(tokens: &[Token]) -> Option<Class> {
    let calls_lock = calls(tokens).any(|name| {
        (name.starts_with("pg_advisory_lock") || name.starts_with("pg_try_advisory_lock"))
            || name == "pg_advisory_unlock_all"
            || name.starts_with("pg_advisory_unlock")
    });
    if calls_lock {
        let reason = "session-level advisory locks are not available on pooled connections";
        return Some(Class::Refused(reason));
    }
    if calls(tokens).any(|name| name == "set_config") {
        return Some(Class::Refused(
            "set_config is not available on pooled connections",
        ));
    }
    let into = tokens
        .iter()
        .position(|token| keyword(token) == Some(Keyword::INTO));
    let target = into.and_then(|at| tokens.get(at + 1)).and_then(word);
    let temporary = matches!(target.as_deref(), Some("TEMP" | "TEMPORARY"));
    temporary.then_some(TEMPORARY)
}

fn class_of_query(tokens: &[Token]) -> Class {
    if tokens.iter().any(is_doubtful) || calls(tokens).any(|name| !function::is_harmless(&name)) {
        Class::Write
    } else {
        Class::Read
    }
}

/// Returns whether an unquoted word may stand for a change or a lock.
fn is_doubtful(token: &Token) -> bool {
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
fn calls(tokens: &[Token]) -> impl Iterator<Item = String> + '_ {
    let open = |index: &usize| tokens[*index] == Token::LParen;
    (1..tokens.len()).filter(open).filter_map(|index| {
        let name = called(&tokens[index - 1])?;
        let is_qualified = index >= 3 && tokens[index - 2] == Token::Period;
        let schema = is_qualified.then(|| called(&tokens[index - 3])).flatten();
        match schema.as_deref() {
            None if is_qualified => Some(format!("?.{name}")),
            None | Some("pg_catalog") => Some(name),
            Some(schema) => Some(format!("{schema}.{name}")),
        }
    })
}

fn called(token: &Token) -> Option<String> {
    match token {
        Token::Word(word) if word.quote_style.is_none() => Some(word.value.to_lowercase()),
        Token::Word(word) => Some(format!("\"{}\"", word.value)),
        _ => None,
    }
}

fn class_of_set(set: &Set) -> Class {
    match set {
        Set::SetTransaction { session: false, .. } => Class::Local,
        Set::SingleAssignment {
            scope,
            variable,
            values,
            ..
        } => {
            let name = variable.to_string().to_lowercase();
            let local = scope.is_some_and(|scope| scope.to_string().trim() == "LOCAL");
            match name.as_str() {
                STALENESS_SETTING => staleness(values),
                _ if local => Class::Local,
                "application_name" | "client_encoding" | "extra_float_digits" => {
                    Class::Acknowledged("SET")
                }
                _ => SESSION_SET,
            }
        }
        Set::SetNames { .. } => Class::Acknowledged("SET"),
        _ => SESSION_SET,
    }
}

const SESSION_SET: Class =
    Class::Refused("session-level SET is not available on pooled connections; use SET LOCAL");

fn staleness(values: &[Expr]) -> Class {
    let refused = Class::Refused("filbertbay.staleness must be an age such as '500ms', or DEFAULT");
    let [value] = values else {
        return refused;
    };
    let text = match value {
        Expr::Value(value) => match &value.value {
            Value::SingleQuotedString(text) | Value::Number(text, _) => text.clone(),
            _ => return refused,
        },
        Expr::Identifier(name) if name.value.eq_ignore_ascii_case("default") => {
            return Class::Staleness(None);
        }
        _ => return refused,
    };
    parse_age(&text).map_or(refused, |age| Class::Staleness(Some(age)))
}

fn read_only(modes: &[TransactionMode]) -> bool {
    let last = modes.iter().rev().try_for_each(|mode| match mode {
        TransactionMode::AccessMode(access) => ControlFlow::Break(*access),
        TransactionMode::IsolationLevel(_) => ControlFlow::Continue(()),
    });
    last == ControlFlow::Break(TransactionAccessMode::ReadOnly)
}

/// Returns an unquoted word in upper case.
fn word(token: &Token) -> Option<String> {
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
