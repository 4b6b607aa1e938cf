//! Responses that the proxy generates without a member: session parameters, empty queries, and
//! the end of failed transactions.

use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::data::{
    DataRow, FieldDescription, NoData, ParameterDescription, RowDescription,
};
use pgwire::messages::extendedquery::{BindComplete, CloseComplete, ParseComplete};
use wire::backend::{self, TransactionState};
use wire::refusal::{RefusalReason, RequestRefusal};
use wire::statement::SessionStatement;

use super::CallerSession;
use super::batch::{BatchMessage, CallerBatch};
use super::request::RequestBody;
use crate::parameter::{INSTANCE_NAME, ParameterError, SESSION_TOKEN};

/// Object id of the type `text`.
const TEXT_OID: u32 = 25;

/// Response to a statement that is not sent to a member.
pub(super) enum LocalResponse {
    /// Command completion with this tag and no rows.
    Command(&'static str),
    /// One row with one text column.
    Value {
        /// Name of the column.
        name: String,
        /// Value of the column.
        value: String,
        /// Command tag.
        tag: &'static str,
    },
    /// Response to an empty query.
    Empty,
}

impl CallerSession {
    /// Runs a statement on what the proxy itself keeps for the session.
    pub(super) fn run_session_statement(
        &mut self,
        statement: &SessionStatement,
    ) -> Result<LocalResponse, RequestRefusal> {
        match statement {
            SessionStatement::Set { name, value } => self.set_parameter(name, value),
            SessionStatement::Show { name } => self.show_parameter(name),
            SessionStatement::Reset { name } => {
                self.parameters.reset(name.as_deref());
                Ok(LocalResponse::Command("RESET"))
            }
            SessionStatement::Deallocate { name: None } => {
                self.prepared_statements.clear();
                Ok(LocalResponse::Command("DEALLOCATE ALL"))
            }
            SessionStatement::Deallocate { name: Some(name) } => {
                match self.prepared_statements.remove(name) {
                    Some(_) => Ok(LocalResponse::Command("DEALLOCATE")),
                    None => {
                        let detail = format!("prepared statement {name:?} does not exist");
                        Err(RequestRefusal::new(RefusalReason::UnknownStatement, detail))
                    }
                }
            }
            SessionStatement::CloseAll => Ok(LocalResponse::Command("CLOSE CURSOR ALL")),
            SessionStatement::UnlockAll => Ok(LocalResponse::Value {
                name: "pg_advisory_unlock_all".to_owned(),
                value: String::new(),
                tag: "SELECT 1",
            }),
            SessionStatement::UnlistenAll => Ok(LocalResponse::Command("UNLISTEN")),
            SessionStatement::DiscardAll if self.transaction_state != TransactionState::Idle => {
                let detail = "DISCARD ALL cannot run inside a transaction";
                Err(RequestRefusal::new(RefusalReason::InsideTransaction, detail))
            }
            SessionStatement::DiscardAll => {
                self.parameters.reset(None);
                self.prepared_statements.clear();
                Ok(LocalResponse::Command("DISCARD ALL"))
            }
        }
    }

    fn set_parameter(&mut self, name: &str, value: &str) -> Result<LocalResponse, RequestRefusal> {
        if name == SESSION_TOKEN {
            let decoded = self.instance.tokens.decode(value);
            let positions = decoded.map_err(|error| {
                RequestRefusal::new(RefusalReason::InvalidToken, error.to_string())
            })?;
            self.positions.merge(&positions);
            self.positions_changed = true;
            return Ok(LocalResponse::Command("SET"));
        }
        match self.parameters.set(name, value) {
            Ok(()) => Ok(LocalResponse::Command("SET")),
            Err(refusal) => {
                let detail = match refusal {
                    ParameterError::Unsupported => {
                        format!("parameter {name:?} cannot be set through the proxy")
                    }
                    ParameterError::FixedValue(value) => {
                        format!("parameter {name:?} is fixed to {value:?}")
                    }
                };
                Err(RequestRefusal::new(RefusalReason::Unsupported, detail))
            }
        }
    }

    fn show_parameter(&self, name: &str) -> Result<LocalResponse, RequestRefusal> {
        let value = match name {
            SESSION_TOKEN => self.instance.tokens.encode(&self.positions),
            INSTANCE_NAME => self.instance.settings.instance.clone(),
            name => {
                let known = self.parameters.get(name).map(str::to_owned);
                known.ok_or_else(|| {
                    let detail = format!("parameter {name:?} is not known");
                    RequestRefusal::new(RefusalReason::Unsupported, detail)
                })?
            }
        };
        Ok(LocalResponse::Value { name: name.to_owned(), value, tag: "SHOW" })
    }

    /// Encodes a response for the protocol and the messages of a request.
    pub(super) fn put_local_response(&mut self, body: &RequestBody, response: &LocalResponse) {
        match body {
            RequestBody::Simple(_) => {
                if let LocalResponse::Value { name, .. } = response {
                    self.put_row_description(name);
                }
                self.put_execute_response(response);
            }
            RequestBody::Batch(batch) => self.put_batch_response(batch, response),
        }
    }

    fn put_batch_response(&mut self, batch: &CallerBatch, response: &LocalResponse) {
        for message in batch.messages() {
            let output = &mut self.output;
            match message {
                BatchMessage::Parse { .. } => {
                    backend::put(output, PgWireBackendMessage::ParseComplete(ParseComplete::new()));
                }
                BatchMessage::Bind { .. } => {
                    backend::put(output, PgWireBackendMessage::BindComplete(BindComplete::new()));
                }
                BatchMessage::CloseStatement | BatchMessage::ClosePortal(_) => {
                    backend::put(output, PgWireBackendMessage::CloseComplete(CloseComplete::new()));
                }
                BatchMessage::DescribeStatement { .. } => {
                    let types = ParameterDescription::new(Vec::new());
                    backend::put(output, PgWireBackendMessage::ParameterDescription(types));
                    self.put_result_description(response);
                }
                BatchMessage::DescribePortal(_) => self.put_result_description(response),
                BatchMessage::Execute(_) => self.put_execute_response(response),
            }
        }
    }

    fn put_result_description(&mut self, response: &LocalResponse) {
        match response {
            LocalResponse::Value { name, .. } => self.put_row_description(name),
            LocalResponse::Command(_) | LocalResponse::Empty => {
                backend::put(&mut self.output, PgWireBackendMessage::NoData(NoData::new()));
            }
        }
    }

    fn put_row_description(&mut self, name: &str) {
        let field = FieldDescription::new(name.to_owned(), 0, 0, TEXT_OID, -1, -1, 0);
        let message = RowDescription::new(vec![field]);
        backend::put(&mut self.output, PgWireBackendMessage::RowDescription(message));
    }

    fn put_execute_response(&mut self, response: &LocalResponse) {
        match response {
            LocalResponse::Command(tag) => backend::put_command_complete(&mut self.output, tag),
            LocalResponse::Empty => backend::put_empty_query_response(&mut self.output),
            LocalResponse::Value { value, tag, .. } => {
                let mut data = bytes::BytesMut::new();
                data.extend_from_slice(&(value.len() as i32).to_be_bytes());
                data.extend_from_slice(value.as_bytes());
                let row = PgWireBackendMessage::DataRow(DataRow::new(data, 1));
                backend::put(&mut self.output, row);
                backend::put_command_complete(&mut self.output, tag);
            }
        }
    }
}
