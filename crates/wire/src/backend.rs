//! Messages from a PostgreSQL server to its client, encoded and decoded with `pgwire`.

use bytes::BytesMut;
use pgwire::messages::response::{
    CommandComplete, EmptyQueryResponse, ErrorResponse, ReadyForQuery, TransactionStatus,
};
use pgwire::messages::startup::ParameterStatus;
use pgwire::messages::{DecodeContext, Message as _, PgWireBackendMessage};

use crate::frame::{HEADER_BYTES, RawFrame};
use crate::refusal::RequestRefusal;

/// Tag of an error response.
pub const ERROR_RESPONSE: u8 = b'E';
/// Tag of a ready-for-query message.
pub const READY_FOR_QUERY: u8 = b'Z';
/// Tag of a parameter status message.
pub const PARAMETER_STATUS: u8 = b'S';
/// Tag of a command completion.
pub const COMMAND_COMPLETE: u8 = b'C';
/// Tag of the response to an empty query.
pub const EMPTY_QUERY_RESPONSE: u8 = b'I';
/// Tag of a portal suspension.
pub const PORTAL_SUSPENDED: u8 = b's';
/// Tag of a parse completion.
pub const PARSE_COMPLETE: u8 = b'1';
/// Tag of a bind completion.
pub const BIND_COMPLETE: u8 = b'2';
/// Tag of a close completion.
pub const CLOSE_COMPLETE: u8 = b'3';
/// Tag of a row description.
pub const ROW_DESCRIPTION: u8 = b'T';
/// Tag of the description of a statement that returns no rows.
pub const NO_DATA: u8 = b'n';
/// Tag of a data row.
pub const DATA_ROW: u8 = b'D';
/// Tag of a notice response.
pub const NOTICE_RESPONSE: u8 = b'N';
/// Tag of a notification response.
pub const NOTIFICATION_RESPONSE: u8 = b'A';

/// Transaction state that a ready-for-query message reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TransactionState {
    /// Outside a transaction block.
    Idle,
    /// Inside a transaction block.
    Open,
    /// Inside a failed transaction block, which can only be rolled back.
    Failed,
}

impl TransactionState {
    fn status(self) -> TransactionStatus {
        match self {
            Self::Idle => TransactionStatus::Idle,
            Self::Open => TransactionStatus::Transaction,
            Self::Failed => TransactionStatus::Error,
        }
    }
}

/// Reads the transaction state from the body of a ready-for-query message.
pub fn read_transaction_state(body: &[u8]) -> Option<TransactionState> {
    match body.first()? {
        b'I' => Some(TransactionState::Idle),
        b'T' => Some(TransactionState::Open),
        b'E' => Some(TransactionState::Failed),
        _ => None,
    }
}

/// Reads name and value from the body of a parameter status message.
pub fn read_parameter_status(body: &[u8]) -> Option<(&str, &str)> {
    let mut parts = body.split(|byte| *byte == 0);
    let name = std::str::from_utf8(parts.next()?).ok()?;
    let value = std::str::from_utf8(parts.next()?).ok()?;
    Some((name, value))
}

/// Reads the field with the given code from the body of an error or notice response.
pub fn read_error_field(body: &[u8], code: u8) -> Option<&str> {
    let mut parts = body.split(|byte| *byte == 0);
    let field = parts.find(|part| part.first() == Some(&code))?;
    std::str::from_utf8(&field[1..]).ok()
}

/// Reads the columns of a data row in text format; a null is `None`.
pub fn read_data_row(body: &[u8]) -> Vec<Option<String>> {
    let mut columns = Vec::new();
    let mut remaining = body.get(2..).unwrap_or_default();
    while let Some((length, tail)) = remaining.split_first_chunk::<4>() {
        let length = i32::from_be_bytes(*length);
        if length < 0 {
            columns.push(None);
            remaining = tail;
            continue;
        }
        let Some((value, tail)) = tail.split_at_checked(length as usize) else {
            break;
        };
        columns.push(Some(String::from_utf8_lossy(value).into_owned()));
        remaining = tail;
    }
    columns
}

/// Decodes a message. Returns `None` if it is malformed.
pub fn decode(frame: RawFrame, context: &DecodeContext) -> Option<PgWireBackendMessage> {
    let mut bytes = frame.bytes;
    debug_assert!(bytes.len() >= HEADER_BYTES);
    PgWireBackendMessage::decode(&mut bytes, context).ok().flatten()
}

/// Writes one message.
pub fn put(buffer: &mut BytesMut, message: PgWireBackendMessage) {
    message.encode(buffer).expect("messages written here stay below the codec's limits");
}

/// Writes a ready-for-query message.
pub fn put_ready_for_query(buffer: &mut BytesMut, state: TransactionState) {
    put(buffer, PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(state.status())));
}

/// Writes a parameter status message.
pub fn put_parameter_status(buffer: &mut BytesMut, name: &str, value: &str) {
    let message = ParameterStatus::new(name.to_owned(), value.to_owned());
    put(buffer, PgWireBackendMessage::ParameterStatus(message));
}

/// Writes a command completion with its command tag.
pub fn put_command_complete(buffer: &mut BytesMut, tag: &str) {
    put(buffer, PgWireBackendMessage::CommandComplete(CommandComplete::new(tag.to_owned())));
}

/// Writes the response to an empty query.
pub fn put_empty_query_response(buffer: &mut BytesMut) {
    put(buffer, PgWireBackendMessage::EmptyQueryResponse(EmptyQueryResponse::new()));
}

/// Writes an error response after which the connection stays open.
pub fn put_error(buffer: &mut BytesMut, sqlstate: &str, message: &str) {
    put_error_fields(buffer, "ERROR", sqlstate, message, None);
}

/// Writes a refusal as an error response; after a `fatal` one the connection is closed.
pub fn put_refusal(buffer: &mut BytesMut, refusal: &RequestRefusal, fatal: bool) {
    let severity = if fatal { "FATAL" } else { "ERROR" };
    let hint =
        refusal.retry_after.map(|delay| format!("retry after {} ms", delay.as_millis().max(1)));
    put_error_fields(buffer, severity, refusal.reason.sqlstate(), &refusal.to_string(), hint);
}

fn put_error_fields(
    buffer: &mut BytesMut,
    severity: &str,
    sqlstate: &str,
    message: &str,
    hint: Option<String>,
) {
    let mut fields = vec![
        (b'S', severity.to_owned()),
        (b'V', severity.to_owned()),
        (b'C', sqlstate.to_owned()),
        (b'M', message.to_owned()),
    ];
    fields.extend(hint.map(|hint| (b'H', hint)));
    let error = ErrorResponse::new(fields);
    // A message above the codec's limit is replaced, so that the connection need not be closed.
    if error.encode(buffer).is_err() {
        put_error_fields(buffer, severity, sqlstate, "message too long", None);
    }
}
