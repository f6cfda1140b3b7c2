//! PostgreSQL functions that SQLite lacks.

use rusqlite::functions::FunctionFlags;
use rusqlite::{Connection, Result};

/// Version that members report.
pub(crate) const VERSION: &str = "16.6";

/// Registers the functions in a database.
pub(crate) fn register(database: &Connection) -> Result<()> {
    let constant = FunctionFlags::SQLITE_UTF8 | FunctionFlags::SQLITE_DETERMINISTIC;
    database.create_scalar_function("version", 0, constant, |_| {
        Ok(format!("PostgreSQL {VERSION} (filbertbay stand-in)"))
    })?;
    database.create_scalar_function("pg_sleep", 1, constant, |_| Ok(String::new()))?;
    database.create_scalar_function("current_schema", 0, constant, |_| Ok("public"))?;
    database.create_scalar_function("current_database", 0, constant, |_| Ok("standin"))?;
    database.create_scalar_function("current_setting", 1, constant, |context| {
        let name: String = context.get(0)?;
        Ok(super::sql::setting(&name).map(str::to_owned))
    })
}
