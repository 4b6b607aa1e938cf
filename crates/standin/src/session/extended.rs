//! Extended queries: prepared statements and portals.

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

use super::simple::BlockAction;
use super::{MemberSession, SessionEnd, StatementRefusal};
use crate::sqlite::StatementShape;
use crate::value::{self, ValueFormat};

/// Outcome of one message: a refusal goes to the caller, an end closes the connection.
type MessageResult = Result<Result<(), StatementRefusal>, SessionEnd>;

/// Prepared statement of a session.
#[derive(Clone, Debug)]
pub(crate) struct PreparedStatement {
    sql: String,
    shape: StatementShape,
}

/// Portal of a session.
#[derive(Clone, Debug)]
pub(crate) struct PortalState {
    sql: String,
    shape: StatementShape,
    values: Vec<Value>,
    formats: Vec<i16>,
    pending: Option<VecDeque<BytesMut>>,
    tag: String,
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
                    self.statements.remove(&name);
                } else {
                    self.portals.remove(&name);
                }
                let message = PgWireBackendMessage::CloseComplete(CloseComplete::new());
                backend::put(&mut self.output, message);
                Ok(Ok(()))
            }
            _ => Ok(Err(StatementRefusal::new("0A000", "message is not supported"))),
        }
    }

    /// Ends an extended exchange; portals live no longer than their transaction.
    pub(crate) async fn sync(&mut self) -> Result<(), SessionEnd> {
        self.skipping = false;
        if self.state == TransactionState::Idle {
            self.portals.clear();
        }
        self.put_ready();
        Ok(())
    }

    fn parse(&mut self, parse: Parse) -> Result<(), StatementRefusal> {
        self.refresh_engine()?;
        let sql = parse.query.trim().trim_end_matches(';').trim().to_owned();
        let control = BlockAction::of(&sql) != BlockAction::None || sql.is_empty();
        let shape = if control {
            StatementShape::default()
        } else {
            self.engine.describe(&sql, &parse.type_oids)?
        };
        let name = parse.name.unwrap_or_default();
        self.statements.insert(name, PreparedStatement { sql, shape });
        let message = PgWireBackendMessage::ParseComplete(ParseComplete::new());
        backend::put(&mut self.output, message);
        Ok(())
    }

    fn bind(&mut self, bind: Bind) -> Result<(), StatementRefusal> {
        let name = bind.statement_name.unwrap_or_default();
        let Some(statement) = self.statements.get(&name) else {
            return Err(StatementRefusal::new("26000", "prepared statement does not exist"));
        };
        let types = &statement.shape.parameters;
        let values = decode_values(types, &bind.parameters, &bind.parameter_format_codes)?;
        let portal = PortalState {
            sql: statement.sql.clone(),
            shape: statement.shape.clone(),
            values,
            formats: bind.result_column_format_codes,
            pending: None,
            tag: String::new(),
        };
        self.portals.insert(bind.portal_name.unwrap_or_default(), portal);
        let message = PgWireBackendMessage::BindComplete(BindComplete::new());
        backend::put(&mut self.output, message);
        Ok(())
    }

    fn describe(&mut self, describe: &Describe) -> Result<(), StatementRefusal> {
        let name = describe.name.clone().unwrap_or_default();
        let (columns, formats) = if describe.target_type == b'S' {
            let Some(statement) = self.statements.get(&name) else {
                return Err(StatementRefusal::new("26000", "prepared statement does not exist"));
            };
            let types = ParameterDescription::new(statement.shape.parameters.clone());
            backend::put(&mut self.output, PgWireBackendMessage::ParameterDescription(types));
            (statement.shape.columns.clone(), Vec::new())
        } else {
            let Some(portal) = self.portals.get(&name) else {
                return Err(StatementRefusal::new("34000", "portal does not exist"));
            };
            (portal.shape.columns.clone(), portal.formats.clone())
        };
        if columns.is_empty() {
            backend::put(&mut self.output, PgWireBackendMessage::NoData(NoData::new()));
        } else {
            self.put_description(&columns, &formats);
        }
        Ok(())
    }

    async fn execute(&mut self, execute: &Execute) -> MessageResult {
        let name = execute.name.clone().unwrap_or_default();
        let Some(mut portal) = self.portals.remove(&name) else {
            return Ok(Err(StatementRefusal::new("34000", "portal does not exist")));
        };
        if portal.sql.is_empty() {
            backend::put_empty_query_response(&mut self.output);
            return Ok(Ok(()));
        }
        if portal.pending.is_none() {
            self.report_position();
            let run = self.run_statement(&portal.sql, &portal.values, &portal.formats).await;
            let (tag, result) = match run {
                Ok(done) => done,
                Err(refusal) => return Ok(Err(refusal)),
            };
            if self.loses_answer() {
                return Err(SessionEnd::Dropped);
            }
            portal.tag = tag;
            portal.pending = Some(result.rows.into());
        }
        self.put_pending(&mut portal, execute.max_rows).await?;
        self.portals.insert(name, portal);
        Ok(Ok(()))
    }

    async fn put_pending(
        &mut self,
        portal: &mut PortalState,
        max_rows: i32,
    ) -> Result<(), SessionEnd> {
        let limit = if max_rows <= 0 { usize::MAX } else { max_rows as usize };
        let pending = portal.pending.get_or_insert_default();
        for row in pending.drain(..limit.min(pending.len())).collect::<Vec<_>>() {
            self.put_row(row);
            self.flush_if_large().await?;
        }
        if pending.is_empty() {
            backend::put_command_complete(&mut self.output, &portal.tag);
        } else {
            let message = PgWireBackendMessage::PortalSuspended(PortalSuspended::new());
            backend::put(&mut self.output, message);
        }
        Ok(())
    }
}

fn decode_values(
    types: &[u32],
    values: &[Option<Bytes>],
    formats: &[i16],
) -> Result<Vec<Value>, StatementRefusal> {
    if types.len() != values.len() {
        let message =
            format!("bind supplies {} parameters, {} are required", values.len(), types.len());
        return Err(StatementRefusal::new("08P01", message));
    }
    let mut decoded = Vec::with_capacity(values.len());
    for (index, (value, oid)) in values.iter().zip(types).enumerate() {
        let Some(bytes) = value else {
            decoded.push(Value::Null);
            continue;
        };
        let format = ValueFormat::pick(formats, index);
        let value = value::decode(bytes, *oid, format).ok_or_else(|| {
            StatementRefusal::new("22P03", format!("parameter {} does not fit", index + 1))
        })?;
        decoded.push(value);
    }
    Ok(decoded)
}
