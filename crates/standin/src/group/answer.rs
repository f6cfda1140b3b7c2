//! Answers of statements in the words of the PostgreSQL protocol.

use std::sync::Arc;

use filbertbay_protocol::endpoint;
use filbertbay_state::status::Status;
use futures::stream;
use pgwire::api::Type;
use pgwire::api::portal::Format;
use pgwire::api::results::{DataRowEncoder, FieldInfo, QueryResponse, Response, Tag};
use pgwire::error::{PgWireError, PgWireResult};

use super::row::{Rows, error};
use super::sql;

/// Answers a function of the group.
pub(crate) fn status_row(status: &Status, format: &Format) -> PgWireResult<Response> {
    one_row(control_schema("group_status", format), |encoder| {
        encoder.encode_field(&status.received.term.0.cast_signed())?;
        encoder.encode_field(&status.received.index.cast_signed())?;
        encoder.encode_field(&status.applied.term.0.cast_signed())?;
        encoder.encode_field(&status.applied.index.cast_signed())?;
        encoder.encode_field(&status.fenced_term.0.cast_signed())?;
        encoder.encode_field(&status.role.to_string())?;
        let heard = status
            .primary_contact_age
            .map(|heard| heard.as_millis() as i64);
        encoder.encode_field(&heard)
    })
}

pub(crate) fn setting_tag(verb: &str) -> Tag {
    match verb {
        "DISCARD" => Tag::new("DISCARD ALL"),
        verb => Tag::new(verb),
    }
}

pub(crate) fn answer(statement: &sql::Statement, rows: Rows) -> Response {
    if rows.schema.is_empty() {
        return Response::Execution(tag(statement, rows.changed));
    }
    let data = stream::iter(rows.data.into_iter().map(Ok));
    let mut response = QueryResponse::new(rows.schema, data);
    match statement.verb.as_str() {
        "INSERT" => response.set_command_tag("INSERT 0"),
        verb @ ("UPDATE" | "DELETE") => response.set_command_tag(verb),
        _ => {}
    }
    Response::Query(response)
}

fn tag(statement: &sql::Statement, changed: usize) -> Tag {
    match statement.verb.as_str() {
        "INSERT" => Tag::new("INSERT").with_oid(0).with_rows(changed),
        verb @ ("UPDATE" | "DELETE") => Tag::new(verb).with_rows(changed),
        "TRUNCATE" => Tag::new("TRUNCATE TABLE"),
        "CREATE" | "DROP" | "ALTER" => {
            let words: Vec<&str> = statement.sql.split(' ').take(2).collect();
            Tag::new(&words.join(" ").to_ascii_uppercase())
        }
        verb => Tag::new(verb),
    }
}

pub(crate) fn read_only_error(verb: &str) -> PgWireError {
    let message = format!("cannot execute {verb} in a read-only transaction");
    error("25006", message)
}

pub(crate) fn lock_row(name: &str, value: bool, format: &Format) -> PgWireResult<Response> {
    one_row(control_schema(name, format), |encoder| {
        encoder.encode_field(&value)
    })
}

pub(crate) fn show_field(name: &str, format: &Format) -> FieldInfo {
    FieldInfo::new(
        name.to_owned(),
        None,
        None,
        Type::TEXT,
        format.format_for(0),
    )
}

pub(crate) fn show(name: &str, format: &Format) -> PgWireResult<Response> {
    let Some(value) = sql::setting(name) else {
        let message = format!("unrecognized configuration parameter \"{name}\"");
        return Err(error("42704", message));
    };
    one_row(vec![show_field(name, format)], |encoder| {
        encoder.encode_field(&value)
    })
}

/// Describes the answer of a function of the group or of advisory locks.
pub(crate) fn control_schema(name: &str, format: &Format) -> Vec<FieldInfo> {
    if name.starts_with("pg_") {
        let field = FieldInfo::new(
            name.to_owned(),
            None,
            None,
            Type::BOOL,
            format.format_for(0),
        );
        return vec![field];
    }
    let columns = endpoint::STATUS_COLUMNS.iter().enumerate();
    columns
        .map(|(index, column)| {
            let found = if *column == "role" {
                Type::TEXT
            } else {
                Type::INT8
            };
            FieldInfo::new(
                (*column).to_owned(),
                None,
                None,
                found,
                format.format_for(index),
            )
        })
        .collect()
}

fn one_row<F>(schema: Vec<FieldInfo>, fill: F) -> PgWireResult<Response>
where
    F: FnOnce(&mut DataRowEncoder) -> PgWireResult<()>,
{
    let schema = Arc::new(schema);
    let mut encoder = DataRowEncoder::new(Arc::clone(&schema));
    fill(&mut encoder)?;
    let row = encoder.take_row();
    let rows = stream::once(async move { Ok(row) });
    Ok(Response::Query(QueryResponse::new(schema, rows)))
}
