//! Extended query protocol: prepared statements and portals.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::data::{NoData, ParameterDescription};
use pgwire::messages::extendedquery::{
    Bind, BindComplete, CloseComplete, Describe, Execute, Parse, ParseComplete, PortalSuspended,
};
use rusqlite::types::Value;
use wire::backend::{self, TransactionState};

use super::simple::ControlStatement;
use super::{ErrorResponse, MemberSession, SessionEnd};
use crate::sqlite::StatementDescription;
use crate::value::{self, ValueFormat};

/// Result of one message: an `ErrorResponse` is sent to the client, a `SessionEnd` closes the
/// connection.
type MessageResult = Result<Result<(), ErrorResponse>, SessionEnd>;

/// Prepared statement of a session.
#[derive(Clone, Debug)]
pub(crate) struct PreparedStatement {
    sql: String,
    description: StatementDescription,
}

/// Portal of a session.
#[derive(Clone, Debug)]
pub(crate) struct PortalState {
    sql: String,
    description: StatementDescription,
    values: Vec<Value>,
    result_formats: Vec<i16>,
    /// Rows not sent yet; `None` until the portal is executed.
    pending_rows: Option<VecDeque<BytesMut>>,
    command_tag: String,
}

impl MemberSession {
    pub(crate) async fn extended_message(
        &mut self,
        message: PgWireFrontendMessage,
    ) -> MessageResult {
        match message {
            PgWireFrontendMessage::Parse(parse) => Ok(self.parse(parse)),
            PgWireFrontendMessage::Bind(bind) => Ok(self.bind(bind)),
            PgWireFrontendMessage::Describe(describe) => Ok(self.describe(&describe)),
            PgWireFrontendMessage::Execute(execute) => self.execute(&execute).await,
            PgWireFrontendMessage::Close(close) => {
                let name = close.name.unwrap_or_default();
                if close.target_type == b'S' {
                    self.prepared_statements.remove(&name);
                } else {
                    self.portals.remove(&name);
                }
                let message = PgWireBackendMessage::CloseComplete(CloseComplete::new());
                backend::put(&mut self.output, message);
                Ok(Ok(()))
            }
            _ => Ok(Err(ErrorResponse::new("0A000", "message is not supported"))),
        }
    }

    /// Ends a pipeline of extended messages and commits what it wrote outside of blocks; portals are closed at the end of the transaction.
    pub(crate) async fn sync(&mut self) -> Result<(), SessionEnd> {
        self.skip_until_sync = false;
        // All statements up to here outside of blocks are one transaction.
        if let Err(error) = self.commit_implicit().await {
            self.fail_statement(&error);
        }
        if self.take_response_loss() {
            return Err(SessionEnd::Dropped);
        }
        if self.transaction_state == TransactionState::Idle {
            self.portals.clear();
        }
        self.put_ready_for_query();
        Ok(())
    }

    fn parse(&mut self, parse: Parse) -> Result<(), ErrorResponse> {
        self.refresh_connection()?;
        let sql = parse.query.trim().trim_end_matches(';').trim().to_owned();
        let is_control =
            ControlStatement::classify(&sql) != ControlStatement::None || sql.is_empty();
        let description = if is_control {
            StatementDescription::default()
        } else {
            self.connection.describe(&sql, &parse.type_oids)?
        };
        let name = parse.name.unwrap_or_default();
        self.prepared_statements.insert(name, PreparedStatement { sql, description });
        let message = PgWireBackendMessage::ParseComplete(ParseComplete::new());
        backend::put(&mut self.output, message);
        Ok(())
    }

    fn bind(&mut self, bind: Bind) -> Result<(), ErrorResponse> {
        let name = bind.statement_name.unwrap_or_default();
        let Some(statement) = self.prepared_statements.get(&name) else {
            return Err(ErrorResponse::new("26000", "prepared statement does not exist"));
        };
        let types = &statement.description.parameters;
        let values = decode_parameters(types, &bind.parameters, &bind.parameter_format_codes)?;
        let portal = PortalState {
            sql: statement.sql.clone(),
            description: statement.description.clone(),
            values,
            result_formats: bind.result_column_format_codes,
            pending_rows: None,
            command_tag: String::new(),
        };
        self.portals.insert(bind.portal_name.unwrap_or_default(), portal);
        let message = PgWireBackendMessage::BindComplete(BindComplete::new());
        backend::put(&mut self.output, message);
        Ok(())
    }

    fn describe(&mut self, describe: &Describe) -> Result<(), ErrorResponse> {
        let name = describe.name.clone().unwrap_or_default();
        let (columns, formats) = if describe.target_type == b'S' {
            let Some(statement) = self.prepared_statements.get(&name) else {
                return Err(ErrorResponse::new("26000", "prepared statement does not exist"));
            };
            let types = ParameterDescription::new(statement.description.parameters.clone());
            backend::put(&mut self.output, PgWireBackendMessage::ParameterDescription(types));
            (statement.description.columns.clone(), Vec::new())
        } else {
            let Some(portal) = self.portals.get(&name) else {
                return Err(ErrorResponse::new("34000", "portal does not exist"));
            };
            (portal.description.columns.clone(), portal.result_formats.clone())
        };
        if columns.is_empty() {
            backend::put(&mut self.output, PgWireBackendMessage::NoData(NoData::new()));
        } else {
            self.put_row_description(&columns, &formats);
        }
        Ok(())
    }

    async fn execute(&mut self, execute: &Execute) -> MessageResult {
        let name = execute.name.clone().unwrap_or_default();
        let Some(mut portal) = self.portals.remove(&name) else {
            return Ok(Err(ErrorResponse::new("34000", "portal does not exist")));
        };
        if portal.sql.is_empty() {
            backend::put_empty_query_response(&mut self.output);
            return Ok(Ok(()));
        }
        if portal.pending_rows.is_none() {
            self.report_position();
            let outcome =
                self.run_statement(&portal.sql, &portal.values, &portal.result_formats).await;
            let (tag, result) = match outcome {
                Ok(done) => done,
                Err(error) => return Ok(Err(error)),
            };
            if self.take_response_loss() {
                return Err(SessionEnd::Dropped);
            }
            portal.command_tag = tag;
            portal.pending_rows = Some(result.rows.into());
        }
        self.put_pending_rows(&mut portal, execute.max_rows).await?;
        self.portals.insert(name, portal);
        Ok(Ok(()))
    }

    async fn put_pending_rows(
        &mut self,
        portal: &mut PortalState,
        max_rows: i32,
    ) -> Result<(), SessionEnd> {
        let row_limit = if max_rows <= 0 { usize::MAX } else { max_rows as usize };
        let pending = portal.pending_rows.get_or_insert_default();
        for row in pending.drain(..row_limit.min(pending.len())).collect::<Vec<_>>() {
            self.put_data_row(row);
            self.flush_if_large().await?;
        }
        if pending.is_empty() {
            backend::put_command_complete(&mut self.output, &portal.command_tag);
        } else {
            let message = PgWireBackendMessage::PortalSuspended(PortalSuspended::new());
            backend::put(&mut self.output, message);
        }
        Ok(())
    }
}

fn decode_parameters(
    types: &[u32],
    values: &[Option<Bytes>],
    formats: &[i16],
) -> Result<Vec<Value>, ErrorResponse> {
    if types.len() != values.len() {
        let message = format!(
            "bind message supplies {} parameters, the statement requires {}",
            values.len(),
            types.len()
        );
        return Err(ErrorResponse::new("08P01", message));
    }
    let mut decoded = Vec::with_capacity(values.len());
    for (index, (value, oid)) in values.iter().zip(types).enumerate() {
        let Some(bytes) = value else {
            decoded.push(Value::Null);
            continue;
        };
        let format = ValueFormat::at_index(formats, index);
        let value = value::decode_parameter(bytes, *oid, format).ok_or_else(|| {
            ErrorResponse::new(
                "22P03",
                format!("parameter {} is not a valid value of type OID {oid}", index + 1),
            )
        })?;
        decoded.push(value);
    }
    Ok(decoded)
}
