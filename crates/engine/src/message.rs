//! Messages between instances, encoded with `postcard` in the frames of [`crate::frame`].

use std::time::Duration;

use coord::connection_setup::SetupId;
use coord::endpoint_health::EndpointSample;
use coord::membership::{MemberStatus, ViewEntry};
use coord::priority::PriorityLevel;
use coord::promotion_order::PromotionOrder;
use coord::rendezvous;
use coord::service_time::ServiceClass;
use coord::session::TransactionState;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use state::position::LogPosition;
use state::store_version::{DocumentVersion, StoreVersion};

use crate::frame::{FrameLane, MAX_MESSAGE_BYTES};
use crate::interface::{RefusalCode, WatchedTable};
use crate::record::{EndpointRecord, InstanceRecord};
use crate::table_change::PackedChange;
use crate::tables::StoredRow;

/// Error of encoding or decoding a message.
#[derive(Debug, Snafu)]
pub enum MessageError {
    /// The message exceeds the maximum size.
    #[snafu(display("message of {length} bytes exceeds the limit of {MAX_MESSAGE_BYTES} bytes"))]
    TooLong {
        /// Length of the message, in bytes.
        length: usize,
    },
    /// The prefix of a frame names an unknown lane or too long a part.
    #[snafu(display("malformed frame prefix {prefix:#010x}"))]
    MalformedFrame {
        /// Prefix as received.
        prefix: u32,
    },
    /// The codec rejected the message.
    #[snafu(display("message cannot be encoded or decoded: {source}"))]
    Codec {
        /// Cause reported by the codec.
        source: postcard::Error,
    },
}

/// Statements to run on one connection to an endpoint.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ExecuteCall {
    /// Endpoint that runs the statements.
    pub endpoint: String,
    /// Hash of the service that the statements are for, as of [`service_hash`].
    pub service_hash: u32,
    /// Team on whose behalf the statements run.
    pub team: String,
    /// Document by which the sender decided that they may run.
    pub document_version: DocumentVersion,
    /// Identifier of the transaction, unique on the sending instance; zero for none.
    pub transaction_id: u32,
    /// The transaction already has a pinned connection.
    pub pinned: bool,
    /// The connection stays pinned to the transaction afterwards.
    pub keep_pinned: bool,
    /// Priority; zero is the highest.
    pub priority: PriorityLevel,
    /// Service class, which groups calls with similar hold times.
    pub service_class: ServiceClass,
    /// Maximum wait before the statements start, in milliseconds. They may start later
    /// if they are expected to be answered within `answer_timeout_ms`, after all calls that can start in
    /// time.
    pub start_timeout_ms: u32,
    /// Maximum time until the last answer, in milliseconds.
    pub answer_timeout_ms: u32,
    /// Identifier of the session settings and prepared statements that the connection must have.
    pub setup_id: SetupId,
    /// Statements that apply these settings to a connection, as sent to the endpoint.
    pub setup_bytes: Vec<u8>,
    /// Number of statements in `setup_bytes`.
    pub setup_count: u32,
    /// Statement that opens a transaction, as sent to the endpoint; empty for none.
    ///
    /// It must succeed before the other statements are sent: a member that refuses it would run
    /// them outside of a transaction.
    pub begin_bytes: Vec<u8>,
    /// Statements as sent to the endpoint.
    pub bytes: Vec<u8>,
    /// Number of statements in `bytes`.
    pub count: u8,
    /// Index of the answer whose success confirms that the endpoint is the leader.
    pub confirming_answer_index: Option<u8>,
    /// The statements may be retried elsewhere if no answer arrives.
    pub retryable: bool,
    /// Success means that written data is committed.
    pub commits_data: bool,
}

/// Answer to one statement.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StatementAnswer {
    /// Lines for the caller, without the line that ends the answer.
    pub content: Vec<u8>,
    /// Error code if the statement failed.
    pub error: Option<RefusalCode>,
    /// Transaction state of the connection afterwards.
    #[serde(with = "block_state")]
    pub state: TransactionState,
    /// Log position that the endpoint has applied, if it reports one.
    pub position: Option<LogPosition>,
}

/// Reason why the statements of a caller were not sent to an endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum NotSentReason {
    /// The connection owner cannot reach the endpoint.
    Unreachable,
    /// The statements could not start in time.
    QueueDelay,
    /// No connection became available in time.
    NoConnection,
    /// The pinned connection of the transaction was lost.
    PinLost,
    /// The connection owner does not know the endpoint, or knows it as a member of another service.
    UnknownEndpoint,
    /// No connection owner is reachable.
    NoOwner,
    /// The zone of the endpoint is evacuated.
    Evacuated,
    /// The endpoint has been leaving, or unregistered, for too long to get new work.
    Leaving,
    /// The connection owner has replaced the document by which the call was decided.
    DocumentOutdated,
    /// The endpoint refused a part of the setup that precedes the statements.
    SetupRefused,
    /// The connection was lost before the endpoint answered what precedes the statements.
    SetupLost {
        /// The endpoint answered later calls.
        answers_others: bool,
    },
}

impl NotSentReason {
    /// Returns the label of the reason for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::QueueDelay => "queue",
            Self::NoConnection => "connections",
            Self::PinLost => "pin_lost",
            Self::UnknownEndpoint => "unknown_endpoint",
            Self::NoOwner => "no_holder",
            Self::Evacuated => "evacuated",
            Self::Leaving => "leaving",
            Self::DocumentOutdated => "document_outdated",
            Self::SetupRefused => "setup_refused",
            Self::SetupLost { .. } => "setup_lost",
        }
    }
}

/// Outcome of an [`ExecuteCall`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum ExecuteOutcome {
    /// The endpoint answered every statement.
    Answered(Vec<StatementAnswer>),
    /// No statement of the caller was sent to the endpoint.
    NotSent {
        /// Reason.
        reason: NotSentReason,
        /// Time after which a retry may succeed, in milliseconds.
        retry_ms: u32,
    },
    /// The statements were sent and may have run.
    InDoubt,
    /// The same, while the endpoint answered later calls.
    AnswerLost,
}

/// Reply of the connection owner to an [`ExecuteCall`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ExecuteReply {
    /// Outcome of the statements.
    pub outcome: ExecuteOutcome,
    /// Expected queueing time of the next request, in milliseconds.
    pub queue_wait_ms: u32,
    /// Priority of the call, and the shortest waits in milliseconds that a request of this priority
    /// can expect: in time, and in the late band. `None` if no connection owner replied.
    pub wait_floor_ms: Option<(PriorityLevel, u32, u32)>,
    /// Newest watermark of the service: a log position confirmed by its leader, and the age of the
    /// confirmation in milliseconds, rounded up.
    pub watermark: Option<(LogPosition, u32)>,
    /// Lowest position of the service's newest acknowledged commit, if the call committed data.
    pub acknowledged: Option<LogPosition>,
    /// Speed and failures of the endpoint, if the deployment's load is uneven.
    pub sample: Option<EndpointSample>,
}

impl ExecuteReply {
    /// Returns the reply for a call that no connection owner replied to.
    pub fn without_owner(outcome: ExecuteOutcome) -> Self {
        Self {
            outcome,
            queue_wait_ms: 0,
            wait_floor_ms: None,
            watermark: None,
            acknowledged: None,
            sample: None,
        }
    }
}

/// Decision of a team's quota owner about an operation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AdmissionDecision {
    /// The operation may start.
    Admitted {
        /// Time to wait before the start.
        delay: Duration,
        /// Number of the bucket that the token came from; zero if the team has no limit.
        bucket_number: u32,
    },
    /// The operation exceeds the limit of the team.
    Refused {
        /// Time after which an operation would be admitted.
        retry_after: Duration,
        /// Time for which every request of the same team and priority would be refused too; zero
        /// if unknown.
        hold: Duration,
    },
}

/// State of an instance that it reports to the observers it subscribes to.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct InstanceReport {
    /// Number of the status, counted from the start of the instance.
    pub sequence: u32,
    /// Status of the instance.
    pub status: MemberStatus,
    /// Table versions, and the leaders that changed since the last report.
    pub heads: FleetHeads,
}

/// What instances pass on about the services: leaders and versions of the tables.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FleetHeads {
    /// Versions of the table caches, in the order of [`WatchedTable::ALL`].
    pub table_versions: [StoreVersion; 2],
    /// Document in force.
    pub document_version: DocumentVersion,
    /// Known leaders: service, endpoint, term.
    pub leaders: Vec<(String, String, u64)>,
    /// Positions of acknowledged commits of the services with synchronous replicas.
    pub acknowledged: Vec<(String, LogPosition)>,
    /// Last orders to promote members of services with synchronous replicas.
    pub orders: Vec<PromotionOrder>,
}

impl FleetHeads {
    /// Returns the versions with only those leaders, positions and orders that differ from `previous`.
    pub fn changes_since(&self, previous: &Self) -> Self {
        let is_new = |leader: &&(String, String, u64)| !previous.leaders.contains(leader);
        let leaders = self.leaders.iter().filter(is_new).cloned().collect();
        let is_new = |known: &&(String, LogPosition)| !previous.acknowledged.contains(known);
        let acknowledged = self.acknowledged.iter().filter(is_new).cloned().collect();
        let is_new = |order: &&PromotionOrder| !previous.orders.contains(order);
        let orders = self.orders.iter().filter(is_new).cloned().collect();
        Self { leaders, acknowledged, orders, ..*self }
    }
}

/// Update that an observer publishes to its subscribers.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ViewUpdate {
    /// The entries replace the earlier view; otherwise they change it.
    pub is_full: bool,
    /// Instances of the view.
    pub entries: Vec<ViewEntry>,
    /// Table versions and changed leaders, if any of them changed.
    pub heads: Option<FleetHeads>,
}

/// Evidence that a table's cache held all changes at some time.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableEvidence {
    /// Version of the cache.
    pub version: StoreVersion,
    /// Age of the evidence in milliseconds, rounded up.
    pub age_ms: u32,
    /// Time that the store took for the answer that the evidence comes from, in milliseconds.
    pub answer_ms: u32,
}

impl TableEvidence {
    /// Creates evidence of this age.
    pub fn new(version: StoreVersion, age: Duration) -> Self {
        Self { version, age_ms: millis(age).saturating_add(1), answer_ms: 0 }
    }

    /// Sets the time that the store took for the answer that the evidence comes from.
    pub fn with_answer_time(self, answer_time: Duration) -> Self {
        Self { answer_ms: millis(answer_time), ..self }
    }

    /// Returns the time that the store took for the answer that the evidence comes from.
    pub fn answer_time(&self) -> Duration {
        Duration::from_millis(self.answer_ms.into())
    }

    /// Returns the age of the evidence.
    pub fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms.into())
    }
}

/// Request to admit an operation of a team.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AdmissionRequest {
    /// Team.
    pub team: String,
    /// Priority of the operation; zero is the highest.
    pub priority: PriorityLevel,
    /// Maximum wait for a token, in milliseconds.
    pub max_wait_ms: u32,
    /// Requests of the team and priority that the sender has refused by itself since its last request.
    pub refused_before: u32,
    /// The sender asks on behalf of another instance, so the receiver decides.
    pub is_relayed: bool,
}

/// Message of the instance that opened the connection.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum PeerRequest {
    /// Introduces the instance that opened the connection.
    Hello(InstanceRecord),
    /// Checks that the receiver is alive.
    Ping {
        /// Identifier of the ping, repeated in the answer.
        ping_id: u32,
    },
    /// Subscribes to the views that the receiver publishes, starting with a full one.
    Subscribe,
    /// Ends the subscription.
    Unsubscribe,
    /// Reports the state of the subscriber.
    Report(Box<InstanceReport>),
    /// Runs statements.
    Execute {
        /// Identifier of the call, repeated in the answer.
        call_id: u32,
        /// Statements to run.
        body: Box<ExecuteCall>,
    },
    /// Rolls a transaction back and releases its connection.
    Release {
        /// Identifier of the transaction, unique on the sending instance.
        transaction_id: u32,
    },
    /// Requests admission of an operation from the team's quota owner.
    Admit {
        /// Identifier of the call, repeated in the answer.
        call_id: u32,
        /// Request.
        request: AdmissionRequest,
    },
    /// Returns the token of an operation that did not run.
    ReturnToken {
        /// Team.
        team: String,
        /// Number of the bucket that the token came from.
        bucket_number: u32,
        /// Priority of the operation.
        priority: PriorityLevel,
    },
    /// Requests an indirect probe: whether the receiver reaches an endpoint on a new connection.
    Probe {
        /// Identifier of the call, repeated in the answer.
        call_id: u32,
        /// Endpoint.
        endpoint: String,
    },
    /// Requests the position of an acknowledged commit of a service.
    FindAcknowledged {
        /// Identifier of the call, repeated in the answer.
        call_id: u32,
        /// Service.
        service: String,
    },
    /// Pushes a small change of a table, to be passed on to the receiver's subscribers.
    Change {
        /// Table.
        table: WatchedTable,
        /// Change.
        change: PackedChange,
    },
    /// Announces a version of a table whose change is too large to be pushed.
    Offer {
        /// Table.
        table: WatchedTable,
        /// Version of the sender's cache.
        version: StoreVersion,
    },
    /// Requests one part of the changes of a table.
    Fetch {
        /// Identifier of the call, repeated in the answer.
        call_id: u32,
        /// Table.
        table: WatchedTable,
        /// Version after which changes are wanted; zero for all rows.
        since: StoreVersion,
        /// Transfer to go on with, and the bytes of it that were received.
        resume: Option<(u64, u32)>,
    },
    /// Requests the document that the receiver has in force, which the store may have lost.
    FetchDocument {
        /// Identifier of the call, repeated in the answer.
        call_id: u32,
    },
}

/// Message of the instance that accepted the connection.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum PeerReply {
    /// Answer to [`PeerRequest::Ping`].
    Pong {
        /// Identifier of the ping.
        ping_id: u32,
        /// Validation of the sender's document, if a revocation bound is set.
        validation: Option<TableEvidence>,
        /// Evidence about the sender's caches, in the order of [`WatchedTable::ALL`].
        evidence: [Option<TableEvidence>; WatchedTable::ALL.len()],
    },
    /// Published view, in answer to [`PeerRequest::Subscribe`] and after changes.
    View(Box<ViewUpdate>),
    /// Pushes a small change of a table to a subscriber.
    Change {
        /// Table.
        table: WatchedTable,
        /// Change.
        change: PackedChange,
    },
    /// Announces a version of a table whose change is too large to be pushed.
    Offer {
        /// Table.
        table: WatchedTable,
        /// Version of the sender's cache.
        version: StoreVersion,
    },
    /// Answer to [`PeerRequest::Execute`].
    Execute {
        /// Identifier of the call.
        call_id: u32,
        /// Reply of the connection owner.
        body: Box<ExecuteReply>,
    },
    /// Answer to [`PeerRequest::Admit`].
    Admit {
        /// Identifier of the call.
        call_id: u32,
        /// Decision of the quota owner.
        decision: AdmissionDecision,
    },
    /// Answer to [`PeerRequest::Probe`].
    Probe {
        /// Identifier of the call.
        call_id: u32,
        /// The endpoint answered the probe.
        reached: bool,
    },
    /// Answer to [`PeerRequest::FindAcknowledged`].
    Acknowledged {
        /// Identifier of the call.
        call_id: u32,
        /// Position, if any is known.
        position: Option<LogPosition>,
    },
    /// Answer to [`PeerRequest::Fetch`].
    Part {
        /// Identifier of the call.
        call_id: u32,
        /// Part of the changes, or the reason why none is sent.
        part: TransferPart,
    },
    /// Answer to [`PeerRequest::FetchDocument`].
    Document {
        /// Identifier of the call.
        call_id: u32,
        /// Document in force, if there is one.
        document: Option<Box<KeptDocument>>,
    },
    /// Endpoints that are leaving, after an answer to [`PeerRequest::Ping`]; not sent without any.
    Leaving(Vec<LeavingEndpoint>),
    /// Replicas whose registration has vanished, after the first view; not sent without any.
    Unlisted(Vec<UnlistedEndpoint>),
}

/// Endpoint of a service with synchronous replicas whose registration has vanished, and which may
/// still confirm commits.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UnlistedEndpoint {
    /// Last registration.
    pub record: EndpointRecord,
    /// Time since the registration vanished, in milliseconds.
    pub age_ms: u32,
}

/// Document in force on an instance, with the row that it was read from.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct KeptDocument {
    /// Version under which it is in force.
    pub version: DocumentVersion,
    /// Row, which the store may have lost.
    pub row: StoredRow,
}

/// Endpoint that is leaving, as the sender saw it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeavingEndpoint {
    /// Name of the endpoint.
    pub name: String,
    /// Start time of its process, as registered.
    pub started_ms: u64,
    /// Time since the endpoint announced that it is leaving, in milliseconds.
    pub age_ms: u32,
}

/// Answer to a request for a part of the changes of a table.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum TransferPart {
    /// Part of the encoded changes.
    Data {
        /// Identifies the encoded changes, which are the same at all peers with the same rows.
        transfer: u64,
        /// Length of the encoded changes, in bytes.
        total_length: u32,
        /// Position of the part.
        offset: u32,
        /// Bytes of the part.
        bytes: Vec<u8>,
    },
    /// The sender has nothing newer.
    UpToDate,
    /// The sender serves as many receivers as its link allows.
    Busy {
        /// Time after which to ask again, in milliseconds.
        retry_ms: u32,
        /// Instances that have received the same changes.
        holders: Vec<String>,
    },
}

/// Message between instances, with its place on a connection.
pub trait PeerMessage: Serialize {
    /// Returns the lane on which the message travels.
    fn lane(&self) -> FrameLane;

    /// Returns the label of the message's kind for metrics.
    fn label(&self) -> &'static str;
}

impl PeerMessage for PeerRequest {
    fn lane(&self) -> FrameLane {
        match self {
            Self::Ping { .. } => FrameLane::Urgent,
            _ => FrameLane::Ordered,
        }
    }

    fn label(&self) -> &'static str {
        match self {
            Self::Hello(_) => "hello",
            Self::Ping { .. } => "ping",
            Self::Subscribe | Self::Unsubscribe => "subscribe",
            Self::Report(_) => "report",
            Self::Execute { .. } => "execute",
            Self::Release { .. } => "release",
            Self::Admit { .. } | Self::ReturnToken { .. } => "admit",
            Self::Probe { .. } | Self::FindAcknowledged { .. } => "probe",
            Self::Change { .. } => "change",
            Self::Offer { .. } => "offer",
            Self::Fetch { .. } | Self::FetchDocument { .. } => "fetch",
        }
    }
}

impl PeerMessage for PeerReply {
    fn lane(&self) -> FrameLane {
        match self {
            Self::Pong { .. } => FrameLane::Urgent,
            Self::Part { .. } | Self::Document { .. } => FrameLane::Bulk,
            _ => FrameLane::Ordered,
        }
    }

    fn label(&self) -> &'static str {
        match self {
            Self::Pong { .. } => "pong",
            Self::View(_) => "view",
            Self::Change { .. } => "change",
            Self::Offer { .. } => "offer",
            Self::Execute { .. } => "execute_reply",
            Self::Admit { .. } => "admit_reply",
            Self::Probe { .. } | Self::Acknowledged { .. } => "probe_reply",
            Self::Part { .. } | Self::Document { .. } => "part",
            Self::Leaving(_) | Self::Unlisted(_) => "leaving",
        }
    }
}

/// Returns the hash by which calls name their service.
pub fn service_hash(service: &str) -> u32 {
    rendezvous::weight(service, "") as u32
}

/// Returns a duration in whole milliseconds, at most [`u32::MAX`].
pub fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

mod block_state {
    //! Encodes a transaction state as a number.

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
