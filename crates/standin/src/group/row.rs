//! Types and values between SQLite and the PostgreSQL protocol.

use std::sync::Arc;

use pgwire::api::Type;
use pgwire::api::portal::{Format, Portal};
use pgwire::api::results::{DataRowEncoder, FieldInfo};
use pgwire::error::{ErrorInfo, PgWireError, PgWireResult};
use pgwire::messages::data::DataRow;
use rusqlite::types::{Value, ValueRef};
use rusqlite::{Connection, OptionalExtension, params_from_iter};

use super::sql::{Hint, Statement, type_named};

/// Builds an error with a SQLSTATE.
pub(crate) fn error<M>(code: &str, message: M) -> PgWireError
where
    M: Into<String>,
{
    let info = ErrorInfo::new("ERROR".to_owned(), code.to_owned(), message.into());
    PgWireError::UserError(Box::new(info))
}

/// Turns an error of SQLite into one with the SQLSTATE that PostgreSQL would give.
pub(crate) fn sqlite_error(cause: &rusqlite::Error) -> PgWireError {
    let text = cause.to_string();
    let extended = cause.sqlite_error().map(|error| error.extended_code);
    let code = match extended {
        Some(1555 | 2067) => "23505",
        Some(1299) => "23502",
        Some(787) => "23503",
        Some(275) => "23514",
        _ if text.contains("no such table") => "42P01",
        _ if text.contains("no such column") || text.contains("no column named") => "42703",
        _ if text.contains("no such function") => "42883",
        _ if text.contains("already exists") => "42P07",
        _ if text.contains("syntax error") || text.contains("incomplete input") => "42601",
        _ => "XX000",
    };
    error(code, text)
}

/// Rows of a result with their schema.
#[derive(Debug)]
pub(crate) struct Rows {
    pub(crate) schema: Arc<Vec<FieldInfo>>,
    pub(crate) data: Vec<DataRow>,
    /// Rows that a write changed.
    pub(crate) changed: usize,
}

/// Runs a statement and encodes its rows.
pub(crate) fn run(
    database: &Connection,
    statement: &Statement,
    values: &[Value],
    format: &Format,
) -> PgWireResult<Rows> {
    let schema = Arc::new(schema(database, statement, format)?);
    let before = database.total_changes();
    let mut prepared = prepare(database, statement)?;
    let count = prepared.column_count();
    let mut encoder = DataRowEncoder::new(Arc::clone(&schema));
    let mut data = Vec::new();
    let mut cursor = prepared
        .query(params_from_iter(values))
        .map_err(|cause| sqlite_error(&cause))?;
    while let Some(row) = cursor.next().map_err(|cause| sqlite_error(&cause))? {
        for index in 0..count {
            let value = row.get_ref(index).map_err(|cause| sqlite_error(&cause))?;
            encode(&mut encoder, schema[index].datatype(), value)?;
        }
        data.push(encoder.take_row());
    }
    drop(cursor);
    let changed = (database.total_changes() - before) as usize;
    Ok(Rows {
        schema,
        data,
        changed,
    })
}

pub(crate) fn prepare<'a>(
    database: &'a Connection,
    statement: &Statement,
) -> PgWireResult<rusqlite::CachedStatement<'a>> {
    let prepared = database.prepare_cached(&statement.sql);
    prepared.map_err(|cause| sqlite_error(&cause))
}

/// Describes the columns of a statement's result.
pub(crate) fn schema(
    database: &Connection,
    statement: &Statement,
    format: &Format,
) -> PgWireResult<Vec<FieldInfo>> {
    let mut prepared = prepare(database, statement)?;
    let count = prepared.column_count();
    let hinted = statement.columns.len() == count;
    let mut types: Vec<Option<Type>> = prepared
        .columns()
        .iter()
        .enumerate()
        .map(|(index, column)| {
            let hint = hinted.then(|| statement.columns[index].clone()).flatten();
            hint.or_else(|| column.decl_type().and_then(type_named))
        })
        .collect();
    if types.contains(&None) && prepared.readonly() {
        probe(&mut prepared, &mut types);
    }
    let names = prepared.column_names();
    let fields = names.iter().zip(types).enumerate();
    Ok(fields
        .map(|(index, (name, found))| {
            let found = found.unwrap_or(Type::TEXT);
            FieldInfo::new(label(name), None, None, found, format.format_for(index))
        })
        .collect())
}

/// Fills in types that are not declared from the first row that the statement gives.
fn probe(prepared: &mut rusqlite::CachedStatement<'_>, types: &mut [Option<Type>]) {
    let mut rows = prepared.raw_query();
    let Ok(Some(row)) = rows.next() else {
        return;
    };
    for (index, found) in types.iter_mut().enumerate() {
        if found.is_none() {
            *found = match row.get_ref(index) {
                Ok(ValueRef::Integer(_)) => Some(Type::INT8),
                Ok(ValueRef::Real(_)) => Some(Type::FLOAT8),
                Ok(ValueRef::Blob(_)) => Some(Type::BYTEA),
                _ => None,
            };
        }
    }
}

/// Names a column as PostgreSQL would: a call by its function, other expressions not at all.
fn label(name: &str) -> String {
    let head = name.split('(').next().unwrap_or_default().trim();
    let plain = |c: char| c.is_alphanumeric() || c == '_' || c == ' ';
    if head.is_empty() || head.starts_with(|c: char| c.is_ascii_digit()) || !head.chars().all(plain)
    {
        return "?column?".to_owned();
    }
    head.to_owned()
}

fn encode(encoder: &mut DataRowEncoder, target: &Type, value: ValueRef<'_>) -> PgWireResult<()> {
    match value {
        ValueRef::Null => encoder.encode_field(&None::<i8>),
        ValueRef::Integer(number) => encode_integer(encoder, target, number),
        ValueRef::Real(number) => match *target {
            Type::FLOAT4 => encoder.encode_field(&(number as f32)),
            Type::FLOAT8 => encoder.encode_field(&number),
            Type::INT2 | Type::INT4 | Type::INT8 => {
                encode_integer(encoder, target, number.round() as i64)
            }
            _ => encoder.encode_field(&number.to_string()),
        },
        ValueRef::Text(text) => {
            let text = String::from_utf8_lossy(text);
            match *target {
                Type::TEXT | Type::VARCHAR => encoder.encode_field(&text.as_ref()),
                Type::BYTEA => encoder.encode_field(&text.as_bytes()),
                _ => {
                    let number = text.parse().map_err(|_| out_of_type(target))?;
                    encode(encoder, target, ValueRef::Real(number))
                }
            }
        }
        ValueRef::Blob(bytes) => match *target {
            Type::BYTEA => encoder.encode_field(&bytes),
            _ => encoder.encode_field(&String::from_utf8_lossy(bytes).as_ref()),
        },
    }
}

fn encode_integer(encoder: &mut DataRowEncoder, target: &Type, number: i64) -> PgWireResult<()> {
    let range = |_| error("22003", format!("{} out of range", target.name()));
    match *target {
        Type::BOOL => encoder.encode_field(&(number != 0)),
        Type::INT2 => encoder.encode_field(&i16::try_from(number).map_err(range)?),
        Type::INT4 => encoder.encode_field(&i32::try_from(number).map_err(range)?),
        Type::INT8 => encoder.encode_field(&number),
        Type::FLOAT4 => encoder.encode_field(&(number as f32)),
        Type::FLOAT8 => encoder.encode_field(&(number as f64)),
        _ => encoder.encode_field(&number.to_string()),
    }
}

fn out_of_type(target: &Type) -> PgWireError {
    error(
        "22P02",
        format!("invalid input syntax for type {}", target.name()),
    )
}

/// Finds the types of a statement's parameters.
pub(crate) fn parameter_types(database: &Connection, statement: &Statement) -> Vec<Type> {
    let hints = statement.parameters.iter();
    hints
        .map(|hint| resolve(database, hint).unwrap_or(Type::TEXT))
        .collect()
}

fn resolve(database: &Connection, hint: &Hint) -> Option<Type> {
    const BY_NAME: &str = "SELECT c.type FROM sqlite_master t, pragma_table_info(t.name) c \
                           WHERE t.type = 'table' AND lower(c.name) = ?1 LIMIT 1";
    const BY_PLACE: &str = "SELECT type FROM pragma_table_info(?1) WHERE cid = ?2";
    let declared: rusqlite::Result<Option<String>> = match hint {
        Hint::None => return None,
        Hint::Type(found) => return Some(found.clone()),
        Hint::Column(name) => database
            .prepare_cached(BY_NAME)
            .and_then(|mut sql| sql.query_row([name], |row| row.get(0)).optional()),
        Hint::Position(table, place) => database.prepare_cached(BY_PLACE).and_then(|mut sql| {
            let values = (table, *place);
            sql.query_row(values, |row| row.get(0)).optional()
        }),
    };
    declared.ok().flatten().and_then(|name| type_named(&name))
}

/// Decodes the values that a portal binds.
pub(crate) fn values<S>(portal: &Portal<S>, types: &[Type]) -> PgWireResult<Vec<Value>>
where
    S: Clone,
{
    (0..portal.parameter_len())
        .map(|index| {
            let given = portal.statement.parameter_types.get(index);
            let given = given.cloned().flatten().filter(|t| *t != Type::UNKNOWN);
            let found = given.or_else(|| types.get(index).cloned());
            value(portal, index, &found.unwrap_or(Type::TEXT))
        })
        .collect()
}

fn value<S>(portal: &Portal<S>, index: usize, found: &Type) -> PgWireResult<Value>
where
    S: Clone,
{
    let value = match *found {
        Type::BOOL => portal.parameter::<bool>(index, found)?.map(Value::from),
        Type::INT2 => portal.parameter::<i16>(index, found)?.map(Value::from),
        Type::INT4 => portal.parameter::<i32>(index, found)?.map(Value::from),
        Type::INT8 => portal.parameter::<i64>(index, found)?.map(Value::from),
        Type::FLOAT4 => portal.parameter::<f32>(index, found)?.map(Value::from),
        Type::FLOAT8 => portal.parameter::<f64>(index, found)?.map(Value::from),
        Type::BYTEA => portal.parameter::<Vec<u8>>(index, found)?.map(Value::from),
        _ => {
            let text = portal.parameter::<String>(index, &Type::TEXT)?;
            text.map(Value::from)
        }
    };
    Ok(value.unwrap_or(Value::Null))
}
