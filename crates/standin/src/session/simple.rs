//! Simple query protocol, which also carries the group commands.

use std::sync::atomic::Ordering;
use std::time::Duration;

use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::data::{DataRow, FieldDescription, RowDescription};
use rusqlite::types::Value;
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;
use tokio::time::sleep;
use wire::backend::{self, TransactionState};
use wire::group::{GroupCommand, NOT_PRIMARY};
use wire::leading_words::skip_blanks;

use super::transaction::{ConfirmError, cancelled, client_gone};
use super::{ErrorResponse, MemberSession, SessionEnd};
use crate::member::LoggedStatement;
use crate::sqlite::{ResultColumn, StatementResult, fixed_type_size};
use crate::value::{ValueFormat, oid};

/// Transaction or session control that a statement performs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ControlStatement {
    /// Opens a transaction block.
    Begin,
    /// Opens a read-only transaction block.
    BeginReadOnly,
    /// Commits the transaction block.
    Commit,
    /// Rolls back the transaction block.
    Rollback,
    /// Sets, shows or resets a session parameter.
    SessionParameter,
    /// Resets the session.
    DiscardAll,
    /// None; the statement runs in the database.
    None,
}

impl ControlStatement {
    pub(crate) fn classify(sql: &str) -> Self {
        let upper = skip_blanks(sql).trim_end().trim_end_matches(';').to_ascii_uppercase();
        let mut words = upper.split_whitespace();
        match (words.next(), words.next()) {
            (Some("DISCARD"), Some("ALL")) => Self::DiscardAll,
            (Some("BEGIN" | "START"), _) if upper.contains("READ ONLY") => Self::BeginReadOnly,
            (Some("BEGIN" | "START"), _) => Self::Begin,
            (Some("COMMIT" | "END"), _) => Self::Commit,
            // Savepoints are left to the database.
            (Some("ROLLBACK"), Some("TO")) => Self::None,
            (Some("ROLLBACK" | "ABORT"), _) => Self::Rollback,
            (Some("SET" | "SHOW" | "RESET" | "DISCARD"), _) => Self::SessionParameter,
            _ => Self::None,
        }
    }
}

impl MemberSession {
    /// Runs the statements of one simple query message.
    pub(crate) async fn simple_query(&mut self, text: &str) -> Result<(), SessionEnd> {
        if let Some(command) = GroupCommand::parse(text) {
            return self.handle_group_command(command).await;
        }
        self.report_position();
        let statements = split_statements(text);
        if statements.is_empty() {
            backend::put_empty_query_response(&mut self.output);
        }
        let outcome = self.run_statements(&statements).await?;
        if let Err(error) = outcome {
            self.fail_statement(&error);
            if self.transaction_state == TransactionState::Idle {
                self.roll_back();
            }
        }
        self.put_ready_for_query();
        Ok(())
    }

    /// Runs the statements in order and stops at the first error.
    ///
    /// What they write outside of transaction blocks commits with the last one, or with a `COMMIT`
    /// between them, as PostgreSQL runs several statements of one message.
    async fn run_statements(
        &mut self,
        statements: &[String],
    ) -> Result<Result<(), ErrorResponse>, SessionEnd> {
        for (index, sql) in statements.iter().enumerate() {
            let (tag, result) = match self.run_statement(sql, &[], &[]).await {
                Ok(done) => done,
                Err(error) => return Ok(Err(error)),
            };
            if index + 1 == statements.len()
                && let Err(error) = self.commit_implicit().await
            {
                return Ok(Err(error));
            }
            if self.take_response_loss() {
                return Err(SessionEnd::Dropped);
            }
            self.put_result(&result, &[]).await?;
            backend::put_command_complete(&mut self.output, &tag);
        }
        Ok(Ok(()))
    }

    /// Runs one statement. A write outside of a block opens an implicit transaction.
    pub(crate) async fn run_statement(
        &mut self,
        sql: &str,
        parameters: &[Value],
        formats: &[i16],
    ) -> Result<(String, StatementResult), ErrorResponse> {
        let control = ControlStatement::classify(sql);
        if self.transaction_state == TransactionState::Failed
            && !matches!(control, ControlStatement::Commit | ControlStatement::Rollback)
        {
            return Err(ErrorResponse::new(
                "25P02",
                "current transaction is aborted, commands ignored until end of transaction block",
            ));
        }
        let done = |tag: &str| Ok((tag.to_owned(), StatementResult::default()));
        match control {
            ControlStatement::Begin | ControlStatement::BeginReadOnly => {
                if self.transaction_state == TransactionState::Idle {
                    // The block includes what the text or pipeline has written before it.
                    if !std::mem::take(&mut self.in_implicit_transaction) {
                        self.begin(control == ControlStatement::Begin).await?;
                    }
                    self.transaction_state = TransactionState::Open;
                }
                done("BEGIN")
            }
            ControlStatement::Commit if self.transaction_state == TransactionState::Failed => {
                self.roll_back();
                done("ROLLBACK")
            }
            ControlStatement::Commit if self.transaction_state == TransactionState::Open => {
                self.transaction_state = TransactionState::Idle;
                self.commit().await?;
                done("COMMIT")
            }
            ControlStatement::Commit => {
                self.commit_implicit().await?;
                done("COMMIT")
            }
            ControlStatement::Rollback => {
                self.roll_back();
                done("ROLLBACK")
            }
            ControlStatement::SessionParameter => Ok(session_parameter_response(sql)),
            ControlStatement::DiscardAll if !self.has_open_transaction() => {
                let state = self.member.replication.lock();
                (self.connection, self.generation) = (state.connect()?, state.generation);
                self.prepared_statements.clear();
                self.portals.clear();
                done("DISCARD ALL")
            }
            ControlStatement::DiscardAll => Err(ErrorResponse::new(
                "25001",
                "DISCARD ALL cannot run inside a transaction block",
            )),
            ControlStatement::None => {
                self.begin_implicit(sql).await?;
                self.execute_statement(sql, parameters, formats).await
            }
        }
    }

    /// Opens an implicit transaction for a write if no transaction is open.
    async fn begin_implicit(&mut self, sql: &str) -> Result<(), ErrorResponse> {
        self.refresh_connection()?;
        if self.has_open_transaction() || is_sleep(sql) || self.connection.is_readonly(sql)? {
            return Ok(());
        }
        self.begin(true).await?;
        self.in_implicit_transaction = true;
        Ok(())
    }

    async fn execute_statement(
        &mut self,
        sql: &str,
        parameters: &[Value],
        formats: &[i16],
    ) -> Result<(String, StatementResult), ErrorResponse> {
        self.refresh_connection()?;
        let fault = self.member.fault();
        let mut service_time = Duration::from_millis(fault.slow_ms)
            + Duration::from_micros(self.settings.statement_us);
        let member = self.member.clone();
        let _permit = tokio::select! {
            permit = member.statement_slots.acquire() => permit.expect("semaphore never closes"),
            () = self.cancel.notified() => return Err(cancelled()),
            () = client_gone(&self.socket) => return Err(cancelled()),
        };
        member.executed_statements.fetch_add(1, Ordering::Relaxed);
        let sleep_time = sleep_argument(sql);
        service_time += sleep_time.unwrap_or_default();
        if !service_time.is_zero() {
            tokio::select! {
                () = sleep(service_time) => {}
                () = self.cancel.notified() => return Err(cancelled()),
                () = client_gone(&self.socket) => return Err(cancelled()),
            }
        }
        if sleep_time.is_some() {
            return Ok(("SELECT 1".to_owned(), StatementResult::default()));
        }
        let result = self.connection.run(sql, parameters, formats)?;
        if !self.connection.is_readonly(sql)? && !creates_temporary(sql) {
            let parameters = parameters.to_vec();
            self.logged_statements.push(LoggedStatement { sql: sql.to_owned(), parameters });
        }
        Ok((command_tag(sql, &result), result))
    }

    /// Writes the row description and the rows of a result.
    async fn put_result(
        &mut self,
        result: &StatementResult,
        formats: &[i16],
    ) -> Result<(), SessionEnd> {
        if result.columns.is_empty() {
            return Ok(());
        }
        self.put_row_description(&result.columns, formats);
        for row in &result.rows {
            self.put_data_row(row.clone());
            self.flush_if_large().await?;
        }
        Ok(())
    }

    pub(crate) fn put_row_description(&mut self, columns: &[ResultColumn], formats: &[i16]) {
        let fields = columns.iter().enumerate().map(|(index, column)| {
            let format = i16::from(ValueFormat::at_index(formats, index) == ValueFormat::Binary);
            let size = fixed_type_size(column.oid);
            FieldDescription::new(column.name.clone(), 0, 0, column.oid, size, -1, format)
        });
        let description = RowDescription::new(fields.collect());
        backend::put(&mut self.output, PgWireBackendMessage::RowDescription(description));
    }

    pub(crate) fn put_data_row(&mut self, mut body: bytes::BytesMut) {
        let data = body.split_off(2);
        let count = i16::from_be_bytes([body[0], body[1]]);
        backend::put(&mut self.output, PgWireBackendMessage::DataRow(DataRow::new(data, count)));
    }

    async fn handle_group_command(&mut self, command: GroupCommand) -> Result<(), SessionEnd> {
        let response = self.run_group_command(command).await;
        match response {
            Ok(text) => {
                let columns = [ResultColumn { name: "status".to_owned(), oid: oid::TEXT }];
                self.put_row_description(&columns, &[]);
                let mut body = bytes::BytesMut::from(&[0, 1][..]);
                body.extend_from_slice(&(text.len() as i32).to_be_bytes());
                body.extend_from_slice(text.as_bytes());
                self.put_data_row(body);
                backend::put_command_complete(&mut self.output, "CALL");
            }
            Err(error) => {
                backend::put_error(&mut self.output, error.sqlstate, &error.message);
            }
        }
        self.put_ready_for_query();
        Ok(())
    }

    async fn run_group_command(&mut self, command: GroupCommand) -> Result<String, ErrorResponse> {
        let member = self.member.clone();
        match command {
            GroupCommand::Status => Ok(member.replication.lock().status().to_string()),
            GroupCommand::Fence(term) => Ok(member.update(|state| state.fence(term))?.to_string()),
            GroupCommand::Promote(term) => {
                Ok(member.update(|state| state.promote(term))?.to_string())
            }
            GroupCommand::Follow { term, primary } => {
                Ok(member.update(|state| state.follow(term, &primary))?.to_string())
            }
            GroupCommand::Label(label) => {
                self.label = Some(label);
                Ok("labelled".to_owned())
            }
            GroupCommand::Outcome(label) => self.resolve_outcome(&label).await,
            GroupCommand::Confirm => match self.confirm().await {
                Ok(()) => Ok("confirmed".to_owned()),
                Err(ConfirmError::NotPrimary) => {
                    Err(ErrorResponse::new(NOT_PRIMARY, "the primary was replaced"))
                }
                Err(ConfirmError::Cancelled) => Err(cancelled()),
            },
        }
    }

    /// Returns whether a labelled transaction is in the log, once a majority has confirmed the
    /// primary's term.
    async fn resolve_outcome(&mut self, label: &str) -> Result<String, ErrorResponse> {
        let index = self.member.replication.lock().resolve_outcome(label);
        self.unconfirmed_index = index;
        if self.confirm().await.is_err() {
            return Err(ErrorResponse::new(NOT_PRIMARY, "the primary was replaced"));
        }
        Ok(index.map_or_else(|| "absent".to_owned(), |index| format!("committed {index}")))
    }
}

/// Splits a query string into statements; one that cannot be parsed counts as one statement.
pub(crate) fn split_statements(text: &str) -> Vec<String> {
    if !text.trim_end().trim_end_matches(';').contains(';') {
        let only = text.trim().trim_end_matches(';').trim();
        return if only.is_empty() { Vec::new() } else { vec![only.to_owned()] };
    }
    match Parser::parse_sql(&PostgreSqlDialect {}, text) {
        Ok(parsed) if parsed.len() > 1 => {
            parsed.iter().map(std::string::ToString::to_string).collect()
        }
        _ => vec![text.to_owned()],
    }
}

fn session_parameter_response(sql: &str) -> (String, StatementResult) {
    let keyword = sql.split_whitespace().next().unwrap_or_default().to_ascii_uppercase();
    (keyword, StatementResult::default())
}

fn is_sleep(sql: &str) -> bool {
    sleep_argument(sql).is_some()
}

fn sleep_argument(sql: &str) -> Option<Duration> {
    let lower = sql.trim().to_ascii_lowercase();
    let argument = lower.strip_prefix("select pg_sleep(")?.trim_end_matches(';');
    let seconds: f64 = argument.strip_suffix(')')?.parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

fn command_tag(sql: &str, result: &StatementResult) -> String {
    let mut words = skip_blanks(sql)
        .split_whitespace()
        .map(str::to_ascii_uppercase)
        .filter(|word| !is_modifier(word));
    let keyword = words.next().unwrap_or_default();
    match keyword.as_str() {
        "SELECT" | "WITH" | "VALUES" => format!("SELECT {}", result.rows.len()),
        "INSERT" => format!("INSERT 0 {}", result.affected_rows),
        "UPDATE" | "DELETE" => format!("{keyword} {}", result.affected_rows),
        "CREATE" | "DROP" | "ALTER" => format!("{keyword} {}", words.next().unwrap_or_default()),
        _ => keyword,
    }
}

/// Returns whether a statement creates an object of its session, which is not replicated.
fn creates_temporary(sql: &str) -> bool {
    let mut words = skip_blanks(sql).split_whitespace().map(str::to_ascii_uppercase);
    words.next().is_some_and(|word| word == "CREATE")
        && words.next().is_some_and(|word| matches!(word.as_str(), "TEMP" | "TEMPORARY"))
}

/// Returns whether a word of a statement that creates an object is no part of its command tag.
fn is_modifier(word: &str) -> bool {
    matches!(word, "TEMP" | "TEMPORARY" | "UNIQUE" | "OR" | "REPLACE")
}
