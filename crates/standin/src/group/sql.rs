//! PostgreSQL statements in the words of SQLite.
//!
//! The tokenizer of `sqlparser` splits a query into statements. Casts are dropped and remembered as
//! types, placeholders and a few keywords are rewritten, and statements that SQLite doesn't have
//! become a [`Kind`] of their own.

use std::sync::Arc;

use pgwire::api::Type;
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::tokenizer::{Token, Tokenizer};

use super::function::VERSION;

/// What a member does with a statement.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Kind {
    /// Runs on SQLite.
    Plain,
    Begin {
        read_only: bool,
    },
    Commit,
    Rollback,
    /// Takes effect on nothing; answered with the tag alone.
    Setting,
    Show(String),
    /// Function of the group or an advisory lock, with its arguments.
    Control(String, Vec<String>),
    /// Not offered by the stand-in.
    Unsupported,
}

/// Pause that a statement asks for with `pg_sleep`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Pause {
    Seconds(f64),
    /// Value of the parameter with this index.
    Parameter(usize),
}

/// Statement after translation.
#[derive(Clone, Debug)]
pub(crate) struct Statement {
    pub(crate) kind: Kind,
    pub(crate) sql: Arc<str>,
    /// First keyword, which is the command tag.
    pub(crate) verb: String,
    pub(crate) pause: Option<Pause>,
    /// Types that casts and positions give to the parameters.
    pub(crate) parameters: Vec<Hint>,
    /// Types that casts and literals give to the result's columns, in order.
    pub(crate) columns: Vec<Option<Type>>,
}

/// What a statement says about the type of a parameter.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) enum Hint {
    #[default]
    None,
    Type(Type),
    /// Type of the column with this name.
    Column(String),
    /// Type of the n-th column of an inserted table.
    Position(String, usize),
}

/// Splits a query into translated statements; empty ones are left out.
pub(crate) fn parse(query: &str) -> Result<Vec<Statement>, String> {
    let dialect = PostgreSqlDialect {};
    let tokens = Tokenizer::new(&dialect, query)
        .with_unescape(false)
        .tokenize()
        .map_err(|error| error.to_string())?;
    let parts = tokens.split(|token| *token == Token::SemiColon);
    let parts = parts.map(significant).filter(|part| !part.is_empty());
    Ok(parts.map(|part| translate(&part)).collect())
}

/// Returns the value of a setting, as `SHOW` and `current_setting` answer it.
pub(crate) fn setting(name: &str) -> Option<&'static str> {
    let value = match name.to_ascii_lowercase().as_str() {
        "server_version" => VERSION,
        "server_version_num" => "160006",
        "server_encoding" | "client_encoding" => "UTF8",
        "standard_conforming_strings" | "integer_datetimes" => "on",
        "transaction_isolation" | "default_transaction_isolation" => "read committed",
        "timezone" => "Etc/UTC",
        "datestyle" => "ISO, YMD",
        "search_path" => "public",
        _ => return None,
    };
    Some(value)
}

/// Returns the type of a declared column or of a cast.
pub(crate) fn type_named(name: &str) -> Option<Type> {
    let name = name.to_ascii_lowercase();
    let word = name.split(['(', ' ']).next().unwrap_or_default();
    let found = match word {
        "smallint" | "int2" => Type::INT2,
        "int" | "integer" | "int4" | "serial" => Type::INT4,
        "bigint" | "int8" | "bigserial" => Type::INT8,
        "bool" | "boolean" => Type::BOOL,
        "real" | "float4" => Type::FLOAT4,
        "double" | "float" | "float8" => Type::FLOAT8,
        "text" | "json" | "jsonb" | "uuid" | "timestamp" | "timestamptz" | "date" | "name" => {
            Type::TEXT
        }
        "varchar" | "character" | "char" => Type::VARCHAR,
        "bytea" | "blob" => Type::BYTEA,
        _ => return None,
    };
    Some(found)
}

fn significant(part: &[Token]) -> Vec<Token> {
    let seen = part.iter();
    seen.filter(|token| !matches!(token, Token::Whitespace(_) | Token::EOF))
        .cloned()
        .collect()
}

fn word(token: Option<&Token>) -> String {
    match token {
        Some(Token::Word(word)) if word.quote_style.is_none() => word.value.to_ascii_uppercase(),
        _ => String::new(),
    }
}

fn translate(tokens: &[Token]) -> Statement {
    let verb = word(tokens.first());
    let mut rewriter = Rewriter::new(&verb);
    rewriter.run(tokens);
    Statement {
        kind: kind(&verb, tokens),
        sql: rewriter.out.into(),
        pause: pause(tokens),
        parameters: rewriter.parameters,
        columns: rewriter.columns,
        verb,
    }
}

fn kind(verb: &str, tokens: &[Token]) -> Kind {
    match verb {
        "BEGIN" | "START" => Kind::Begin {
            read_only: tokens.iter().any(|token| word(Some(token)) == "ONLY"),
        },
        "COMMIT" | "END" => Kind::Commit,
        "ROLLBACK" | "ABORT" if word(tokens.get(1)) != "TO" => Kind::Rollback,
        "SET" | "RESET" | "DISCARD" | "DEALLOCATE" => Kind::Setting,
        "SHOW" => Kind::Show(tokens[1..].iter().map(ToString::to_string).collect()),
        "ROLLBACK" | "SAVEPOINT" | "RELEASE" | "COPY" | "LISTEN" | "NOTIFY" | "PREPARE"
        | "EXECUTE" | "DECLARE" | "FETCH" | "PRAGMA" | "ATTACH" | "VACUUM" => Kind::Unsupported,
        _ => control(tokens).unwrap_or(Kind::Plain),
    }
}

/// Recognises `SELECT [* FROM] function(arguments)` of the group and of advisory locks.
fn control(tokens: &[Token]) -> Option<Kind> {
    let start = match tokens.get(1)? {
        Token::Mul => 3,
        _ => 1,
    };
    let name = word(tokens.get(start)).to_ascii_lowercase();
    let known = ["group_", "pg_try_advisory_lock", "pg_advisory_unlock"];
    if word(tokens.first()) != "SELECT" || !known.iter().any(|prefix| name.starts_with(prefix)) {
        return None;
    }
    let arguments = tokens[start + 1..].iter().filter_map(|token| match token {
        Token::Number(number, _) => Some(number.clone()),
        Token::SingleQuotedString(text) => Some(text.clone()),
        Token::Placeholder(name) => Some(name.clone()),
        _ => None,
    });
    Some(Kind::Control(name, arguments.collect()))
}

fn pause(tokens: &[Token]) -> Option<Pause> {
    let at = tokens
        .iter()
        .position(|token| word(Some(token)) == "PG_SLEEP")?;
    match tokens.get(at + 2)? {
        Token::Number(number, _) => number.parse().ok().map(Pause::Seconds),
        Token::Placeholder(name) => placeholder(name).map(Pause::Parameter),
        _ => None,
    }
}

/// Returns the index of a placeholder such as `$1`, counted from zero.
pub(crate) fn placeholder(name: &str) -> Option<usize> {
    let number: usize = name.strip_prefix('$')?.parse().ok()?;
    number.checked_sub(1)
}

/// Walks over the tokens of one statement and writes the statement for SQLite.
struct Rewriter {
    out: String,
    parameters: Vec<Hint>,
    columns: Vec<Option<Type>>,
    depth: usize,
    in_select_list: bool,
    /// Table and column names of `INSERT INTO table (columns)`, then the place in `VALUES`.
    insert: Insert,
    last_column: String,
    /// Parameter that a cast would apply to.
    last_parameter: Option<usize>,
}

#[derive(Default)]
struct Insert {
    active: bool,
    table: String,
    names: Vec<String>,
    in_values: bool,
    place: usize,
}

impl Rewriter {
    fn new(verb: &str) -> Self {
        let insert = Insert {
            active: verb == "INSERT",
            ..Insert::default()
        };
        Self {
            out: String::new(),
            parameters: Vec::new(),
            columns: Vec::new(),
            depth: 0,
            in_select_list: false,
            insert,
            last_column: String::new(),
            last_parameter: None,
        }
    }

    fn run(&mut self, tokens: &[Token]) {
        let mut at = 0;
        while at < tokens.len() {
            at += match &tokens[at] {
                Token::DoubleColon => self.cast(&tokens[at + 1..]) + 1,
                Token::Placeholder(name) => self.parameter(name),
                Token::Word(_) => self.word(&tokens[at..]),
                other => self.mark(other),
            };
        }
    }

    fn push<T>(&mut self, token: T)
    where
        T: std::fmt::Display,
    {
        use std::fmt::Write;
        if !self.out.is_empty() {
            self.out.push(' ');
        }
        write!(self.out, "{token}").expect("a string takes every write");
    }

    /// Drops a cast and remembers its type; returns the tokens that the type takes.
    fn cast(&mut self, rest: &[Token]) -> usize {
        let named = type_named(&word(rest.first()));
        if let (Some(index), Some(found)) = (self.last_parameter.take(), named.clone()) {
            self.parameters[index] = Hint::Type(found);
        }
        if self.depth == 0
            && self.in_select_list
            && let Some(column) = self.columns.last_mut()
        {
            column.clone_from(&named);
        }
        let precision = word(rest.get(1)) == "PRECISION";
        let mut length = 1 + usize::from(precision);
        if rest.get(length) == Some(&Token::LParen) {
            let end = rest.iter().position(|token| *token == Token::RParen);
            length = end.map_or(length, |end| end + 1);
        }
        length
    }

    fn parameter(&mut self, name: &str) -> usize {
        let Some(index) = placeholder(name) else {
            self.push(name);
            return 1;
        };
        self.push(format_args!("?{}", index + 1));
        if self.parameters.len() <= index {
            self.parameters.resize(index + 1, Hint::None);
        }
        if self.parameters[index] == Hint::None {
            self.parameters[index] = self.hint();
        }
        self.last_parameter = Some(index);
        1
    }

    fn hint(&self) -> Hint {
        let insert = &self.insert;
        if insert.in_values && self.depth == 1 {
            return match insert.names.get(insert.place) {
                Some(name) => Hint::Column(name.clone()),
                None => Hint::Position(insert.table.clone(), insert.place),
            };
        }
        match self.last_column.as_str() {
            "" => Hint::None,
            "LIMIT" | "OFFSET" => Hint::Type(Type::INT8),
            "PG_SLEEP" => Hint::Type(Type::FLOAT8),
            name => Hint::Column(name.to_ascii_lowercase()),
        }
    }

    fn word(&mut self, tokens: &[Token]) -> usize {
        self.last_parameter = None;
        let upper = word(tokens.first());
        match upper.as_str() {
            "FOR" if matches!(word(tokens.get(1)).as_str(), "UPDATE" | "SHARE") => return 2,
            "ILIKE" => self.push("LIKE"),
            "SERIAL" | "BIGSERIAL" => self.push("INTEGER"),
            "TRUNCATE" => {
                self.push("DELETE FROM");
                return 1 + usize::from(word(tokens.get(1)) == "TABLE");
            }
            _ => self.push(&tokens[0]),
        }
        self.follow(&upper, tokens);
        1
    }

    /// Follows the structure of the statement far enough to know what a placeholder stands for.
    fn follow(&mut self, upper: &str, tokens: &[Token]) {
        if self.depth == 0 {
            match upper {
                "SELECT" | "RETURNING" => {
                    self.in_select_list = true;
                    self.insert.active = false;
                    self.columns = vec![None];
                }
                "FROM" | "WHERE" | "UNION" | "ORDER" | "LIMIT" => self.in_select_list = false,
                "VALUES" => self.insert.in_values = self.insert.active,
                "INTO" => self.insert.table = name(tokens.get(1)),
                "ON" => self.insert.in_values = false,
                _ => {}
            }
        }
        if self.insert.active && !self.insert.in_values && self.depth == 1 {
            self.insert.names.push(name(tokens.first()));
        }
        if self.in_select_list && self.depth == 0 {
            self.literal(upper, tokens.get(1));
        }
        if !matches!(
            upper,
            "AND" | "OR" | "NOT" | "WHERE" | "IN" | "LIKE" | "BETWEEN" | "SET"
        ) {
            self.last_column = name(tokens.first());
            if matches!(upper, "LIMIT" | "OFFSET" | "PG_SLEEP") {
                upper.clone_into(&mut self.last_column);
            }
        }
    }

    /// Gives a type to a column that starts with a known function.
    fn literal(&mut self, upper: &str, next: Option<&Token>) {
        if next != Some(&Token::LParen) {
            return;
        }
        let known = match upper {
            "COUNT" => Type::INT8,
            "CURRENT_SETTING" | "VERSION" | "UPPER" | "LOWER" | "PG_SLEEP" => Type::TEXT,
            _ => return,
        };
        if let Some(column @ None) = self.columns.last_mut() {
            *column = Some(known);
        }
    }

    /// Tells whether the next token is the first of a result column.
    fn starts_column(&self) -> bool {
        let out = self.out.as_bytes();
        let keyword = out.len() >= 6 && out[out.len() - 6..].eq_ignore_ascii_case(b"select");
        self.in_select_list && self.depth == 0 && (keyword || out.ends_with(b","))
    }

    fn mark(&mut self, token: &Token) -> usize {
        match token {
            Token::LParen => self.depth += 1,
            Token::RParen => {
                self.depth = self.depth.saturating_sub(1);
                self.insert.place = 0;
            }
            Token::Comma if self.depth == 0 && self.in_select_list => self.columns.push(None),
            Token::Comma if self.depth == 1 && self.insert.in_values => self.insert.place += 1,
            Token::Number(text, _) if self.starts_column() => {
                let fraction = text.contains('.');
                let found = if fraction { Type::FLOAT8 } else { Type::INT4 };
                self.columns.pop();
                self.columns.push(Some(found));
            }
            _ => {}
        }
        self.last_parameter = None;
        self.push(token);
        1
    }
}

fn name(token: Option<&Token>) -> String {
    match token {
        Some(Token::Word(word)) => word.value.to_ascii_lowercase(),
        _ => String::new(),
    }
}
