//! Messages between instances, encoded with `postcard` behind a four-byte length.

use std::time::Duration;

use bytes::{Buf, BytesMut};
use coord::dialogue::BlockState;
use coord::urgency::UrgencyLevel;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use state::position::LogPosition;

use crate::interface::{RefusalCode, WatchedTable};
use crate::record::InstanceRecord;
use crate::tables::StoredRow;

/// Longest message, in bytes; holds a document or an answer of the longest kind.
const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// Bytes of the length before a message.
const LENGTH_PREFIX_BYTES: usize = 4;

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
    Codec {
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
    pub transaction_id: u32,
    /// The transaction holds a connection already.
    pub pinned: bool,
    /// The connection stays with the transaction afterwards.
    pub keep_pinned: bool,
    /// Urgency.
    pub priority: UrgencyLevel,
    /// Longest wait before they start, in milliseconds.
    pub start_timeout_ms: u32,
    /// Longest time to the last answer, in milliseconds.
    pub answer_timeout_ms: u32,
    /// Session values and prepared names that the connection must have; zero for none.
    pub setup_id: u64,
    /// Statements that give a connection those values, as sent to the endpoint.
    pub setup_bytes: Vec<u8>,
    /// Number of statements in `setup_bytes`.
    pub setup_count: u8,
    /// Statement that opens a transaction and must succeed before the others are sent; may be empty.
    ///
    /// A member that refuses it would run what follows outside of a transaction.
    pub begin_bytes: Vec<u8>,
    /// Statements as sent to the endpoint.
    pub bytes: Vec<u8>,
    /// Number of statements in `bytes`.
    pub count: u8,
    /// Answer that proves that the endpoint leads, if it is a success.
    pub confirming_answer: Option<u8>,
    /// The statements may be sent again elsewhere if they bring no answer.
    pub retryable: bool,
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
    pub state: BlockState,
    /// Position that the endpoint's reads reach.
    pub position: Option<LogPosition>,
}

/// Why statements were not sent to an endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum NotSentReason {
    /// The holder cannot reach the endpoint.
    Unreachable,
    /// They would start too late.
    QueueDelay,
    /// No connection became free in time.
    NoConnection,
    /// The connection of the transaction is gone.
    PinLost,
    /// The endpoint is not registered as far as the holder knows.
    UnknownEndpoint,
    /// No instance that could hold the connection is reachable.
    NoOwner,
}

impl NotSentReason {
    /// Returns the label of the reason in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::QueueDelay => "queue",
            Self::NoConnection => "connections",
            Self::PinLost => "pin_lost",
            Self::UnknownEndpoint => "unknown_endpoint",
            Self::NoOwner => "no_holder",
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
        reason: NotSentReason,
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
    pub queue_wait_ms: u32,
    /// Newest position proved by the leader of the service, with its age in milliseconds.
    pub watermark: Option<(LogPosition, u32)>,
}

/// Decision of a team's counter about an operation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AdmissionDecision {
    /// It may start.
    Admitted {
        /// Time to wait before.
        delay: Duration,
    },
    /// It is over the limit.
    Refused {
        /// Time after which another one would pass.
        retry_after: Duration,
    },
}

/// What an instance tells about itself.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceStatus {
    /// It stops soon and takes no new work from others.
    pub leaving: bool,
    /// Versions of its copies of the platform's tables, in the order of [`WatchedTable::ALL`].
    pub table_versions: [u64; 2],
    /// Fencing token if it is on duty.
    pub promotion_token: Option<u64>,
    /// The store answers it.
    pub store_reachable: bool,
    /// Endpoints that it cannot reach.
    pub unreachable_endpoints: Vec<String>,
    /// Leaders it knows: service, endpoint, term.
    pub leaders: Vec<(String, String, u64)>,
}

/// Proof that a document is the newest.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DocumentValidation {
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
        ping_id: u32,
        /// Version of the status that the sender has.
        known_version: u32,
    },
    /// Runs statements.
    Execute {
        /// Number for the answer.
        call_id: u32,
        /// The statements.
        body: Box<ExecuteCall>,
    },
    /// Rolls a transaction back and frees its connection.
    Release {
        /// Transaction of the sender.
        transaction_id: u32,
    },
    /// Asks whether an operation of a team is within its limit.
    Admit {
        /// Number for the answer.
        call_id: u32,
        /// Team.
        team: String,
        /// Urgency of the operation.
        priority: UrgencyLevel,
        /// Longest wait for the next token, in milliseconds.
        max_wait_ms: u32,
    },
    /// Asks whether an endpoint can be reached by a fresh connection.
    Probe {
        /// Number for the answer.
        call_id: u32,
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
        call_id: u32,
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
        ping_id: u32,
        /// What proves the sender's document, if withdrawn keys must stop everywhere.
        validation: Option<DocumentValidation>,
        /// Version of the status.
        status_version: u32,
        /// The status, if the asking side does not have this version.
        status: Option<Box<InstanceStatus>>,
    },
    /// Answer to [`PeerRequest::Execute`].
    Execute {
        /// Number of the call.
        call_id: u32,
        /// The answer.
        body: Box<ExecuteReply>,
    },
    /// Answer to [`PeerRequest::Count`].
    Admit {
        /// Number of the call.
        call_id: u32,
        /// The answer.
        decision: AdmissionDecision,
    },
    /// Answer to [`PeerRequest::Probe`].
    Probe {
        /// Number of the call.
        call_id: u32,
        /// The endpoint answered.
        reached: bool,
    },
    /// Answer to [`PeerRequest::Table`].
    Table {
        /// Number of the call.
        call_id: u32,
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
    out.extend_from_slice(&[0; LENGTH_PREFIX_BYTES]);
    let filled = postcard::to_extend(message, std::mem::take(out));
    *out = filled.map_err(|source| MessageError::Codec { source })?;
    let length = out.len() - start - LENGTH_PREFIX_BYTES;
    let prefix = u32::try_from(length).map_err(|_| MessageError::TooLong { length })?;
    out[start..start + LENGTH_PREFIX_BYTES].copy_from_slice(&prefix.to_le_bytes());
    Ok(())
}

/// Takes the next whole message from a buffer.
pub fn decode<M: for<'a> Deserialize<'a>>(input: &mut BytesMut) -> Result<Option<M>, MessageError> {
    let Some(prefix) = input.first_chunk::<LENGTH_PREFIX_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_le_bytes(*prefix) as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(MessageError::TooLong { length });
    }
    if input.len() < LENGTH_PREFIX_BYTES + length {
        return Ok(None);
    }
    input.advance(LENGTH_PREFIX_BYTES);
    let body = input.split_to(length);
    let message = postcard::from_bytes(&body).map_err(|source| MessageError::Codec { source })?;
    Ok(Some(message))
}

mod block_state {
    //! Session state as a number.

    use coord::dialogue::BlockState;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(
        state: &BlockState,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_u8(match state {
            BlockState::Idle => 0,
            BlockState::Open => 1,
            BlockState::Failed => 2,
        })
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<BlockState, D::Error> {
        Ok(match u8::deserialize(deserializer)? {
            0 => BlockState::Idle,
            1 => BlockState::Open,
            _ => BlockState::Failed,
        })
    }
}
