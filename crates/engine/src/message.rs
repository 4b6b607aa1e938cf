//! Messages between instances, encoded with `postcard` behind a four-byte length.

use std::time::Duration;

use bytes::{Buf, BytesMut};
use coord::priority::PriorityLevel;
use coord::session::TransactionState;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use state::position::LogPosition;

use crate::link::{RefusalCode, WatchedTable};
use crate::record::InstanceRecord;
use crate::tables::StoredRow;

/// Longest message, in bytes; holds a document or an answer of the longest kind.
const MESSAGE_LIMIT: usize = 4 << 20;
/// Bytes of the length before a message.
const LENGTH_BYTES: usize = 4;

/// Message that cannot be read.
#[derive(Debug, Snafu)]
pub enum MessageError {
    /// The length is out of bounds.
    #[snafu(display("message of {length} bytes"))]
    TooLong {
        /// Length that was stated.
        length: usize,
    },
    /// The content does not fit the format.
    #[snafu(display("message cannot be decoded: {source}"))]
    Undecodable {
        /// Cause reported by the codec.
        source: postcard::Error,
    },
}

/// Statements to run on one connection of an endpoint.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ExecuteCall {
    /// Endpoint that runs them.
    pub endpoint: String,
    /// Team on whose behalf they run.
    pub team: String,
    /// Transaction of the sender that they belong to; zero for none.
    pub channel: u32,
    /// The transaction holds a connection already.
    pub pinned: bool,
    /// The connection stays with the transaction afterwards.
    pub keeps: bool,
    /// Urgency.
    pub level: PriorityLevel,
    /// Longest wait before they start, in milliseconds.
    pub start_within_ms: u32,
    /// Longest time to the last answer, in milliseconds.
    pub answer_within_ms: u32,
    /// Session values and prepared names that the connection must have; zero for none.
    pub setup: u64,
    /// Statements that give a connection those values, as sent to the endpoint.
    pub setup_bytes: Vec<u8>,
    /// Number of statements in `setup_bytes`.
    pub setup_count: u8,
    /// Statement that opens a transaction and must succeed before the others are sent; may be empty.
    ///
    /// A member that refuses it would run what follows outside of a transaction.
    pub opening: Vec<u8>,
    /// Statements as sent to the endpoint.
    pub bytes: Vec<u8>,
    /// Number of statements in `bytes`.
    pub count: u8,
    /// Answer that proves that the endpoint leads, if it is a success.
    pub proof: Option<u8>,
    /// The statements may be sent again elsewhere if they bring no answer.
    pub repeatable: bool,
}

/// Answer to one statement.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StatementAnswer {
    /// Lines for the caller without the last one.
    pub content: Vec<u8>,
    /// Reason of a failure.
    pub error: Option<RefusalCode>,
    /// State of the connection afterwards.
    #[serde(with = "block_state")]
    pub state: TransactionState,
    /// Position that the endpoint's reads reach.
    pub position: Option<LogPosition>,
}

/// Why statements were not sent to an endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum HoldReason {
    /// The holder cannot reach the endpoint.
    Unreachable,
    /// They would start too late.
    Queue,
    /// No connection became free in time.
    Connections,
    /// The connection of the transaction is gone.
    PinLost,
    /// The endpoint is not registered as far as the holder knows.
    UnknownEndpoint,
    /// No instance that could hold the connection is reachable.
    NoHolder,
}

impl HoldReason {
    /// Returns the label of the reason in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Queue => "queue",
            Self::Connections => "connections",
            Self::PinLost => "pin_lost",
            Self::UnknownEndpoint => "unknown_endpoint",
            Self::NoHolder => "no_holder",
        }
    }
}

/// What became of statements.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum ExecuteOutcome {
    /// The endpoint answered each of them.
    Answered(Vec<StatementAnswer>),
    /// None was sent to the endpoint.
    NotSent {
        /// Why.
        reason: HoldReason,
        /// Time after which another try has a chance, in milliseconds.
        retry_ms: u32,
    },
    /// They were sent and may have run.
    Lost,
}

/// Outcome with what the holder knows besides.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ExecuteReply {
    /// What became of the statements.
    pub outcome: ExecuteOutcome,
    /// Expected wait of the next request, in milliseconds.
    pub queue_ms: u32,
    /// Newest position proved by the leader of the service, with its age in milliseconds.
    pub mark: Option<(LogPosition, u32)>,
}

/// Decision of a team's counter about an operation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CountAnswer {
    /// It may start.
    Admitted {
        /// Time to wait before.
        after: Duration,
    },
    /// It is over the limit.
    Refused {
        /// Time after which another one would pass.
        retry: Duration,
    },
}

/// What an instance tells about itself.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceStatus {
    /// It stops soon and takes no new work from others.
    pub leaving: bool,
    /// Versions of its copies of the platform's tables, in the order of [`WatchedTable::ALL`].
    pub tables: [u64; 2],
    /// Fencing token if it is on duty.
    pub duty: Option<u64>,
    /// The store answers it.
    pub store_reached: bool,
    /// Endpoints that it cannot reach.
    pub failing: Vec<String>,
    /// Leaders it knows: service, endpoint, term.
    pub leaders: Vec<(String, String, u64)>,
}

/// Proof that a document is the newest.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DocumentProof {
    /// Version of the copy of the document's table.
    pub version: u64,
    /// Time since the store was asked, in milliseconds, rounded up.
    pub age_ms: u32,
}

/// Message of the side that opened a connection.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum PeerRequest {
    /// Says who opened the connection.
    Hello(InstanceRecord),
    /// Asks for a sign of life; carries the version of the status known so far.
    Ping {
        /// Number for the answer.
        number: u32,
        /// Version of the status that the sender has.
        known: u32,
    },
    /// Runs statements.
    Execute {
        /// Number for the answer.
        call: u32,
        /// The statements.
        body: Box<ExecuteCall>,
    },
    /// Rolls a transaction back and frees its connection.
    Release {
        /// Transaction of the sender.
        channel: u32,
    },
    /// Asks whether an operation of a team is within its limit.
    Count {
        /// Number for the answer.
        call: u32,
        /// Team.
        team: String,
        /// Urgency of the operation.
        level: PriorityLevel,
        /// Longest wait for the next token, in milliseconds.
        patience_ms: u32,
    },
    /// Asks whether an endpoint can be reached by a fresh connection.
    Probe {
        /// Number for the answer.
        call: u32,
        /// Endpoint.
        endpoint: String,
    },
    /// Passes on rows that changed.
    Rows {
        /// Table.
        table: WatchedTable,
        /// Rows in the order of their changes.
        rows: Vec<StoredRow>,
    },
    /// Asks for a table.
    Table {
        /// Number for the answer.
        call: u32,
        /// Table.
        table: WatchedTable,
    },
}

/// Message of the side that accepted a connection.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum PeerReply {
    /// Sign of life, with the status if it has changed.
    Pong {
        /// Number of the ping; zero if the status is told without one.
        number: u32,
        /// What proves the sender's document, if withdrawn keys must stop everywhere.
        proof: Option<DocumentProof>,
        /// Version of the status.
        version: u32,
        /// The status, if the asking side does not have this version.
        status: Option<Box<InstanceStatus>>,
    },
    /// Answer to [`PeerRequest::Execute`].
    Execute {
        /// Number of the call.
        call: u32,
        /// The answer.
        body: Box<ExecuteReply>,
    },
    /// Answer to [`PeerRequest::Count`].
    Count {
        /// Number of the call.
        call: u32,
        /// The answer.
        answer: CountAnswer,
    },
    /// Answer to [`PeerRequest::Probe`].
    Probe {
        /// Number of the call.
        call: u32,
        /// The endpoint answered.
        reached: bool,
    },
    /// Answer to [`PeerRequest::Table`].
    Table {
        /// Number of the call.
        call: u32,
        /// All rows.
        rows: Vec<StoredRow>,
        /// Version of the last change.
        version: u64,
    },
}

/// Returns a span in whole milliseconds, as messages carry it.
pub fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

/// Appends a message to a buffer.
pub fn encode<M: Serialize>(message: &M, out: &mut Vec<u8>) -> Result<(), MessageError> {
    let start = out.len();
    out.extend_from_slice(&[0; LENGTH_BYTES]);
    let filled = postcard::to_extend(message, std::mem::take(out));
    *out = filled.map_err(|source| MessageError::Undecodable { source })?;
    let length = out.len() - start - LENGTH_BYTES;
    let stated = u32::try_from(length).map_err(|_| MessageError::TooLong { length })?;
    out[start..start + LENGTH_BYTES].copy_from_slice(&stated.to_le_bytes());
    Ok(())
}

/// Takes the next whole message from a buffer.
pub fn decode<M: for<'a> Deserialize<'a>>(input: &mut BytesMut) -> Result<Option<M>, MessageError> {
    let Some(stated) = input.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_le_bytes(*stated) as usize;
    if length > MESSAGE_LIMIT {
        return Err(MessageError::TooLong { length });
    }
    if input.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    input.advance(LENGTH_BYTES);
    let body = input.split_to(length);
    let message =
        postcard::from_bytes(&body).map_err(|source| MessageError::Undecodable { source })?;
    Ok(Some(message))
}

mod block_state {
    //! Session state as a number.

    use coord::session::TransactionState;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(
        state: &TransactionState,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_u8(match state {
            TransactionState::Idle => 0,
            TransactionState::Open => 1,
            TransactionState::Failed => 2,
        })
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<TransactionState, D::Error> {
        Ok(match u8::deserialize(deserializer)? {
            0 => TransactionState::Idle,
            1 => TransactionState::Open,
            _ => TransactionState::Failed,
        })
    }
}
