//! Simple queries and the group commands that arrive as such.

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

use super::transaction::ConfirmEnd;
use super::{MemberSession, SessionEnd, StatementRefusal};
use crate::member::LoggedStatement;
use crate::sqlite::{ResultColumn, StatementResult, type_size};
use crate::value::{ValueFormat, oid};

/// What a statement text does to the transaction block.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BlockAction {
    /// Opens a block.
    Begin,
    /// Opens a block that only reads.
    BeginRead,
    /// Commits the block.
    Commit,
    /// Rolls the block back.
    Rollback,
    /// Sets, shows or resets a parameter.
    Parameter,
    /// Does something else.
    None,
}

impl BlockAction {
    pub(crate) fn of(sql: &str) -> Self {
        let upper = sql.trim().trim_end_matches(';').to_ascii_uppercase();
        let mut words = upper.split_whitespace();
        match (words.next(), words.next()) {
            (Some("BEGIN" | "START"), _) if upper.contains("READ ONLY") => Self::BeginRead,
            (Some("BEGIN" | "START"), _) => Self::Begin,
            (Some("COMMIT" | "END"), _) => Self::Commit,
            (Some("ROLLBACK"), Some("TO")) => Self::None,
            (Some("ROLLBACK" | "ABORT"), _) => Self::Rollback,
            (Some("SET" | "SHOW" | "RESET" | "DISCARD"), _) => Self::Parameter,
            _ => Self::None,
        }
    }
}

impl MemberSession {
    /// Runs the statements of one simple query message.
    pub(crate) async fn simple_query(&mut self, text: &str) -> Result<(), SessionEnd> {
        if let Some(command) = GroupCommand::parse(text) {
            return self.group_command(command).await;
        }
        self.report_position();
        let statements = split_statements(text);
        if statements.is_empty() {
            backend::put_empty_query_response(&mut self.output);
        }
        let implicit = statements.len() > 1 && self.state == TransactionState::Idle;
        let run = self.run_statements(&statements, implicit).await?;
        if let Err(refusal) = run {
            self.refuse(&refusal);
            if implicit || self.state == TransactionState::Idle {
                self.abandon();
            }
        }
        self.put_ready();
        Ok(())
    }

    async fn run_statements(
        &mut self,
        statements: &[String],
        implicit: bool,
    ) -> Result<Result<(), StatementRefusal>, SessionEnd> {
        let mut opened = false;
        for sql in statements {
            let action = BlockAction::of(sql);
            if implicit && !opened && action == BlockAction::None {
                if let Err(refusal) = self.begin(true).await {
                    return Ok(Err(refusal));
                }
                opened = true;
            }
            let run = if opened && action == BlockAction::None {
                self.run_in_block(sql, &[], &[]).await
            } else {
                opened = opened && action == BlockAction::Parameter;
                self.run_statement(sql, &[], &[]).await
            };
            let (tag, result) = match run {
                Ok(done) => done,
                Err(refusal) => return Ok(Err(refusal)),
            };
            if self.loses_answer() {
                return Err(SessionEnd::Dropped);
            }
            self.put_result(&result, &[]).await?;
            backend::put_command_complete(&mut self.output, &tag);
        }
        if opened {
            if let Err(refusal) = self.commit().await {
                return Ok(Err(refusal));
            }
            if self.loses_answer() {
                return Err(SessionEnd::Dropped);
            }
        }
        Ok(Ok(()))
    }

    /// Runs one statement under a slot, in a transaction of its own if none is open.
    pub(crate) async fn run_statement(
        &mut self,
        sql: &str,
        parameters: &[Value],
        formats: &[i16],
    ) -> Result<(String, StatementResult), StatementRefusal> {
        let action = BlockAction::of(sql);
        if self.state == TransactionState::Failed
            && !matches!(action, BlockAction::Commit | BlockAction::Rollback)
        {
            return Err(StatementRefusal::new(
                "25P02",
                "current transaction is aborted, commands ignored until end of transaction block",
            ));
        }
        let done = |tag: &str| Ok((tag.to_owned(), StatementResult::default()));
        match action {
            BlockAction::Begin | BlockAction::BeginRead => {
                if self.state == TransactionState::Idle {
                    self.begin(action == BlockAction::Begin).await?;
                    self.state = TransactionState::Open;
                }
                done("BEGIN")
            }
            BlockAction::Commit if self.state == TransactionState::Failed => {
                self.abandon();
                done("ROLLBACK")
            }
            BlockAction::Commit if self.state == TransactionState::Open => {
                self.state = TransactionState::Idle;
                self.commit().await?;
                done("COMMIT")
            }
            BlockAction::Commit => done("COMMIT"),
            BlockAction::Rollback => {
                self.abandon();
                done("ROLLBACK")
            }
            BlockAction::Parameter => Ok(parameter_answer(sql)),
            BlockAction::None if self.state == TransactionState::Open => {
                self.run_in_block(sql, parameters, formats).await
            }
            BlockAction::None => self.run_alone(sql, parameters, formats).await,
        }
    }

    async fn run_alone(
        &mut self,
        sql: &str,
        parameters: &[Value],
        formats: &[i16],
    ) -> Result<(String, StatementResult), StatementRefusal> {
        self.refresh_engine()?;
        if is_sleep(sql) || self.engine.is_readonly(sql)? {
            return self.run_in_block(sql, parameters, formats).await;
        }
        self.begin(true).await?;
        let run = self.run_in_block(sql, parameters, formats).await;
        if run.is_err() {
            self.abandon();
            return run;
        }
        self.commit().await?;
        run
    }

    async fn run_in_block(
        &mut self,
        sql: &str,
        parameters: &[Value],
        formats: &[i16],
    ) -> Result<(String, StatementResult), StatementRefusal> {
        self.refresh_engine()?;
        let fault = self.member.fault();
        let mut service = Duration::from_millis(fault.slow_ms)
            + Duration::from_micros(self.settings.statement_us);
        let member = self.member.clone();
        let cancelled =
            || StatementRefusal::new("57014", "canceling statement due to user request");
        let _slot = tokio::select! {
            slot = member.slots.acquire() => slot.expect("slots are never closed"),
            () = self.cancel.notified() => return Err(cancelled()),
        };
        member.statements.fetch_add(1, Ordering::Relaxed);
        let sleep_time = sleep_argument(sql);
        service += sleep_time.unwrap_or_default();
        if !service.is_zero() {
            tokio::select! {
                () = sleep(service) => {}
                () = self.cancel.notified() => return Err(cancelled()),
            }
        }
        if sleep_time.is_some() {
            return Ok(("SELECT 1".to_owned(), StatementResult::default()));
        }
        let result = self.engine.run(sql, parameters, formats)?;
        if !self.engine.is_readonly(sql)? {
            let parameters = parameters.to_vec();
            self.logged.push(LoggedStatement { sql: sql.to_owned(), parameters });
        }
        Ok((command_tag(sql, &result), result))
    }

    /// Writes the rows of a result, its description first.
    async fn put_result(
        &mut self,
        result: &StatementResult,
        formats: &[i16],
    ) -> Result<(), SessionEnd> {
        if result.columns.is_empty() {
            return Ok(());
        }
        self.put_description(&result.columns, formats);
        for row in &result.rows {
            self.put_row(row.clone());
            self.flush_if_large().await?;
        }
        Ok(())
    }

    pub(crate) fn put_description(&mut self, columns: &[ResultColumn], formats: &[i16]) {
        let fields = columns.iter().enumerate().map(|(index, column)| {
            let format = i16::from(ValueFormat::pick(formats, index) == ValueFormat::Binary);
            let size = type_size(column.oid);
            FieldDescription::new(column.name.clone(), 0, 0, column.oid, size, -1, format)
        });
        let description = RowDescription::new(fields.collect());
        backend::put(&mut self.output, PgWireBackendMessage::RowDescription(description));
    }

    pub(crate) fn put_row(&mut self, mut body: bytes::BytesMut) {
        let data = body.split_off(2);
        let count = i16::from_be_bytes([body[0], body[1]]);
        backend::put(&mut self.output, PgWireBackendMessage::DataRow(DataRow::new(data, count)));
    }

    async fn group_command(&mut self, command: GroupCommand) -> Result<(), SessionEnd> {
        let answer = self.run_group_command(command).await;
        match answer {
            Ok(text) => {
                let columns = [ResultColumn { name: "status".to_owned(), oid: oid::TEXT }];
                self.put_description(&columns, &[]);
                let mut body = bytes::BytesMut::from(&[0, 1][..]);
                body.extend_from_slice(&(text.len() as i32).to_be_bytes());
                body.extend_from_slice(text.as_bytes());
                self.put_row(body);
                backend::put_command_complete(&mut self.output, "CALL");
            }
            Err(refusal) => {
                backend::put_error(&mut self.output, refusal.sqlstate, &refusal.message);
            }
        }
        self.put_ready();
        Ok(())
    }

    async fn run_group_command(
        &mut self,
        command: GroupCommand,
    ) -> Result<String, StatementRefusal> {
        let member = self.member.clone();
        match command {
            GroupCommand::Status => Ok(member.replication.lock().status().to_string()),
            GroupCommand::Fence(term) => Ok(member.update(|core| core.fence(term))?.to_string()),
            GroupCommand::Promote(term) => {
                Ok(member.update(|core| core.promote(term))?.to_string())
            }
            GroupCommand::Follow { term, primary } => {
                Ok(member.update(|core| core.follow(term, &primary))?.to_string())
            }
            GroupCommand::Label(label) => {
                self.label = Some(label);
                Ok("labelled".to_owned())
            }
            GroupCommand::Outcome(label) => self.outcome(&label).await,
            GroupCommand::Confirm => match self.confirm().await {
                Ok(()) => Ok("confirmed".to_owned()),
                Err(ConfirmEnd::Replaced) => {
                    Err(StatementRefusal::new(NOT_PRIMARY, "the primary was replaced"))
                }
                Err(ConfirmEnd::Cancelled) => {
                    Err(StatementRefusal::new("57014", "canceling statement due to user request"))
                }
            },
        }
    }

    /// Tells whether a labelled transaction is in the log, once a majority vouches for the term.
    async fn outcome(&mut self, label: &str) -> Result<String, StatementRefusal> {
        let found = self.member.replication.lock().settle(label);
        self.unconfirmed = found;
        if self.confirm().await.is_err() {
            return Err(StatementRefusal::new(NOT_PRIMARY, "the primary was replaced"));
        }
        Ok(found.map_or_else(|| "absent".to_owned(), |index| format!("committed {index}")))
    }
}

/// Splits a text into statements; a text that cannot be parsed counts as one.
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

fn parameter_answer(sql: &str) -> (String, StatementResult) {
    let word = sql.split_whitespace().next().unwrap_or_default().to_ascii_uppercase();
    (word, StatementResult::default())
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
    let mut words = sql.split_whitespace().map(str::to_ascii_uppercase);
    let word = words.next().unwrap_or_default();
    match word.as_str() {
        "SELECT" | "WITH" | "VALUES" => format!("SELECT {}", result.rows.len()),
        "INSERT" => format!("INSERT 0 {}", result.changed),
        "UPDATE" | "DELETE" => format!("{word} {}", result.changed),
        "CREATE" | "DROP" | "ALTER" => format!("{word} {}", words.next().unwrap_or_default()),
        _ => word,
    }
}
