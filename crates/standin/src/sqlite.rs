//! SQLite database of a member, in a temporary directory that is deleted with the member.

use std::path::{Path, PathBuf};
use std::time::Duration;

use bytes::{BufMut as _, BytesMut};
use rusqlite::types::Value;
use rusqlite::{Connection, ErrorCode, OpenFlags};
use snafu::{ResultExt as _, Snafu};
use tempfile::TempDir;

use crate::type_inference;
use crate::value::{self, ValueFormat, oid, oid_from_declared_type};

/// Prepared statements cached per connection.
const MAX_CACHED_STATEMENTS: usize = 64;

/// Time for which a statement of a session waits for a lock.
const SESSION_BUSY_TIMEOUT: Duration = Duration::from_millis(5);

/// File name of the database in its directory.
const DATABASE_FILE_NAME: &str = "member.db";

/// Errors of the SQLite database.
#[derive(Debug, Snafu)]
pub enum SqliteError {
    /// Another connection holds a lock; the operation can be retried.
    #[snafu(display("the database is locked"))]
    Busy,
    /// SQLite rejected the statement.
    #[snafu(display("{message}"))]
    Statement {
        /// Closest SQLSTATE of PostgreSQL.
        sqlstate: &'static str,
        /// Error message of SQLite.
        message: String,
    },
    /// The database could not be opened.
    #[snafu(display("cannot open the database: {source}"))]
    Open {
        /// Error reported by SQLite.
        source: rusqlite::Error,
    },
    /// The directory of the database could not be created.
    #[snafu(display("cannot create a temporary directory: {source}"))]
    Directory {
        /// Error reported by the operating system.
        source: std::io::Error,
    },
}

impl From<rusqlite::Error> for SqliteError {
    fn from(error: rusqlite::Error) -> Self {
        let code = error.sqlite_error_code();
        let sqlstate = match code {
            Some(ErrorCode::DatabaseBusy | ErrorCode::DatabaseLocked) => return Self::Busy,
            // unique_violation
            Some(ErrorCode::ConstraintViolation) => "23505",
            // read_only_sql_transaction
            Some(ErrorCode::ReadOnly) => "25006",
            // syntax_error
            _ => "42601",
        };
        let message = error.to_string();
        // undefined_table
        let sqlstate = if message.contains("no such table") { "42P01" } else { sqlstate };
        Self::Statement { sqlstate, message }
    }
}

/// Column of a result.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResultColumn {
    /// Name reported to the client.
    pub name: String,
    /// OID of the PostgreSQL type.
    pub oid: u32,
}

/// Parameter types and result columns of a statement, known before it runs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StatementDescription {
    /// Type OIDs of the parameters.
    pub parameters: Vec<u32>,
    /// Columns of the result; empty if the statement returns no rows.
    pub columns: Vec<ResultColumn>,
    /// Whether the statement only reads.
    pub readonly: bool,
}

/// Result of an executed statement.
#[derive(Clone, Debug, Default)]
pub struct StatementResult {
    /// Columns of the result.
    pub columns: Vec<ResultColumn>,
    /// Rows, each encoded as the body of a `DataRow` message.
    pub rows: Vec<BytesMut>,
    /// Number of rows affected by a write.
    pub affected_rows: usize,
}

/// SQLite database of one member.
#[derive(Debug)]
pub struct SqliteDatabase {
    path: PathBuf,
    /// Connection that replays the log.
    replay_connection: Connection,
    /// Deletes the database files on drop.
    _directory: TempDir,
}

impl SqliteDatabase {
    /// Creates an empty database.
    pub fn create() -> Result<Self, SqliteError> {
        let directory =
            tempfile::Builder::new().prefix("hibiscus-").tempdir().context(DirectorySnafu)?;
        let path = directory.path().join(DATABASE_FILE_NAME);
        let replay_connection = open_connection(&path)?;
        // Readers must not block the writer, and the data need not survive a crash.
        replay_connection.execute_batch("PRAGMA journal_mode=WAL; PRAGMA synchronous=OFF;")?;
        Ok(Self { path, replay_connection, _directory: directory })
    }

    /// Opens another connection to the database.
    pub fn connect(&self) -> Result<SqliteConnection, SqliteError> {
        let connection = open_connection(&self.path)?;
        // The wait would block the thread, so sessions try again by themselves.
        connection.busy_timeout(SESSION_BUSY_TIMEOUT)?;
        connection.execute_batch("PRAGMA synchronous=OFF;")?;
        Ok(SqliteConnection { connection })
    }

    /// Replays one logged statement, outside any session.
    pub fn replay(&self, sql: &str, parameters: &[Value]) -> Result<(), SqliteError> {
        run_to_completion(&self.replay_connection, sql, parameters)
    }

    /// Runs a transaction control statement on the connection that replays the log.
    pub fn control_transaction(&self, sql: &str) -> Result<(), SqliteError> {
        Ok(self.replay_connection.execute_batch(sql)?)
    }
}

fn open_connection(path: &Path) -> Result<Connection, SqliteError> {
    let flags = OpenFlags::SQLITE_OPEN_READ_WRITE
        | OpenFlags::SQLITE_OPEN_CREATE
        | OpenFlags::SQLITE_OPEN_NO_MUTEX;
    let connection = Connection::open_with_flags(path, flags).context(OpenSnafu)?;
    connection.set_prepared_statement_cache_capacity(MAX_CACHED_STATEMENTS);
    Ok(connection)
}

/// Connection of one session to its member's database.
#[derive(Debug)]
pub struct SqliteConnection {
    connection: Connection,
}

impl SqliteConnection {
    /// Runs a transaction control statement.
    pub fn control_transaction(&self, sql: &str) -> Result<(), SqliteError> {
        Ok(self.connection.execute_batch(sql)?)
    }

    /// Describes a statement without running it.
    ///
    /// Nonzero OIDs in `declared` override the inferred parameter types.
    pub fn describe(
        &self,
        sql: &str,
        declared: &[u32],
    ) -> Result<StatementDescription, SqliteError> {
        let statement = self.connection.prepare_cached(sql)?;
        let mut parameters = type_inference::infer_parameter_types(
            &self.connection,
            sql,
            statement.parameter_count(),
        );
        for (inferred, declared) in parameters.iter_mut().zip(declared) {
            if *declared != 0 {
                *inferred = *declared;
            }
        }
        Ok(StatementDescription {
            parameters,
            columns: result_columns(&statement),
            readonly: statement.readonly(),
        })
    }

    /// Returns whether a statement only reads.
    pub fn is_readonly(&self, sql: &str) -> Result<bool, SqliteError> {
        Ok(self.connection.prepare_cached(sql)?.readonly())
    }

    /// Runs a statement and encodes its rows.
    pub fn run(
        &self,
        sql: &str,
        parameters: &[Value],
        formats: &[i16],
    ) -> Result<StatementResult, SqliteError> {
        let mut statement = self.connection.prepare_cached(sql)?;
        bind_parameters(&mut statement, parameters)?;
        let columns = result_columns(&statement);
        let mut result = StatementResult { columns, ..StatementResult::default() };
        let mut rows = statement.raw_query();
        while let Some(row) = rows.next()? {
            let mut body = BytesMut::with_capacity(32 * result.columns.len());
            body.put_i16(result.columns.len() as i16);
            for (index, column) in result.columns.iter().enumerate() {
                let format = ValueFormat::at_index(formats, index);
                value::encode_column(&mut body, row.get_ref(index)?, column.oid, format);
            }
            result.rows.push(body);
        }
        drop(rows);
        if !statement.readonly() {
            result.affected_rows = self.connection.changes() as usize;
        }
        Ok(result)
    }
}

fn run_to_completion(
    connection: &Connection,
    sql: &str,
    parameters: &[Value],
) -> Result<(), SqliteError> {
    let mut statement = connection.prepare_cached(sql)?;
    bind_parameters(&mut statement, parameters)?;
    let mut rows = statement.raw_query();
    while rows.next()?.is_some() {}
    Ok(())
}

fn bind_parameters(
    statement: &mut rusqlite::Statement<'_>,
    values: &[Value],
) -> Result<(), SqliteError> {
    for (index, value) in values.iter().enumerate() {
        // SQLite numbers `$n` parameters by first appearance, so they are bound by name.
        let bind_index = statement.parameter_index(&format!("${}", index + 1))?;
        if let Some(bind_index) = bind_index {
            statement.raw_bind_parameter(bind_index, value)?;
        }
    }
    Ok(())
}

fn result_columns(statement: &rusqlite::Statement<'_>) -> Vec<ResultColumn> {
    let columns = statement.columns();
    columns
        .iter()
        .map(|column| {
            let oid = match column.decl_type() {
                Some(declared) => oid_from_declared_type(declared),
                None => type_inference::infer_expression_type(column.name()),
            };
            ResultColumn { name: postgres_column_name(column.name()), oid }
        })
        .collect()
}

/// Converts SQLite's name of a computed column to the one that PostgreSQL reports.
fn postgres_column_name(name: &str) -> String {
    match name.split_once('(') {
        Some((function, _)) if !function.is_empty() => function.to_lowercase(),
        _ if name.parse::<f64>().is_ok() => "?column?".to_owned(),
        _ => name.to_owned(),
    }
}

/// Returns the fixed size of a type in bytes, or -1 if its size varies.
pub fn fixed_type_size(type_oid: u32) -> i16 {
    match type_oid {
        oid::BOOL => 1,
        oid::INT2 => 2,
        oid::INT4 | oid::FLOAT4 => 4,
        oid::INT8 | oid::FLOAT8 => 8,
        _ => -1,
    }
}
