//! Edges of the process: the platform's services and the protocol of callers and endpoints.

use std::future::Future;
use std::time::Duration;

use coord::dialogue::{BlockState, StatementClass};
use coord::takeover::MemberReport;
use snafu::Snafu;
use state::position::LogPosition;

use crate::record::{EndpointRecord, FleetDocument, InstanceRecord, PromotionLease};
use crate::tables::StoredRow;

/// Failure of a call to the platform.
#[derive(Debug, Snafu)]
pub enum PlatformError {
    /// No usable answer came; the call may have been carried out.
    #[snafu(display("no answer: {reason}"))]
    NoAnswer {
        /// What went wrong.
        reason: String,
    },
    /// The service refused to carry the call out.
    #[snafu(display("refused with status {status}"))]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// The history that was asked for is gone.
    #[snafu(display("history is gone"))]
    HistoryExpired,
    /// The answer cannot be read.
    #[snafu(display("answer cannot be read: {reason}"))]
    Malformed {
        /// What is wrong with it.
        reason: String,
    },
}

/// Table that instances follow.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum WatchedTable {
    /// Holds the document in force.
    Document,
    /// Holds the registered endpoints.
    Endpoints,
}

impl WatchedTable {
    /// All tables.
    pub const ALL: [Self; 2] = [Self::Document, Self::Endpoints];
}

/// Change of one watched row.
#[derive(Clone, Debug)]
pub enum RowChange {
    /// A document came into force.
    Document(FleetDocument),
    /// The document's row cannot be read; the one in force stays.
    DocumentInvalid(String),
    /// An endpoint is registered.
    Endpoint(EndpointRecord),
    /// The row of this name names no usable endpoint.
    EndpointRemoved {
        /// Name of the row.
        name: String,
        /// Why a row that exists cannot be used; none if it does not exist.
        reason: Option<String>,
    },
}

/// Rows of a table or changes to it, with the version from which to follow.
#[derive(Clone, Debug)]
pub struct TableRows {
    /// Rows in the order of their keys or of their changes.
    pub rows: Vec<StoredRow>,
    /// Version of the store up to which they reach.
    pub version: u64,
}

/// Lease as read, with its version and the store's time.
#[derive(Clone, Debug)]
pub struct LeaseSnapshot {
    /// Lease; none if it was never taken.
    pub lease: Option<PromotionLease>,
    /// Version of the row; zero if it does not exist.
    pub version: u64,
    /// Store's time in milliseconds.
    pub now_ms: u64,
}

/// Outcome of a conditional write of the lease.
#[derive(Clone, Debug)]
pub enum LeaseWrite {
    /// Written, with the new version and the store's time.
    Written {
        /// Version of the row.
        version: u64,
        /// Store's time in milliseconds.
        now_ms: u64,
    },
    /// Another instance wrote before.
    Conflict,
}

/// Answer to a call for promotion.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PromotionAnswer {
    /// The member leads soon.
    Accepted,
    /// The token is outdated or the member does not run.
    Rejected,
}

/// Services of the platform.
pub trait PlatformApi: 'static {
    /// Reads a table in full.
    fn read_table(
        &self,
        table: WatchedTable,
    ) -> impl Future<Output = Result<TableRows, PlatformError>>;

    /// Lets the store wait up to `wait` for changes after `version`; gives up after `timeout`.
    fn poll_changes(
        &self,
        table: WatchedTable,
        version: u64,
        wait: Duration,
        timeout: Duration,
    ) -> impl Future<Output = Result<TableRows, PlatformError>>;

    /// Reads the registered instances.
    fn read_instances(&self) -> impl Future<Output = Result<Vec<InstanceRecord>, PlatformError>>;

    /// Registers an instance.
    fn register_instance(
        &self,
        record: &InstanceRecord,
    ) -> impl Future<Output = Result<(), PlatformError>>;

    /// Removes the registration of an instance.
    fn unregister_instance(&self, name: &str) -> impl Future<Output = Result<(), PlatformError>>;

    /// Reads the lease of the promotion duty.
    fn read_lease(&self) -> impl Future<Output = Result<LeaseSnapshot, PlatformError>>;

    /// Writes the lease if its row still has `version`.
    fn write_lease(
        &self,
        version: u64,
        lease: &PromotionLease,
    ) -> impl Future<Output = Result<LeaseWrite, PlatformError>>;

    /// Calls for the promotion of a member.
    fn promote(
        &self,
        service: &str,
        endpoint: &str,
        holder: &str,
        token: u64,
    ) -> impl Future<Output = Result<PromotionAnswer, PlatformError>>;

    /// Decodes a row; none if it says nothing of interest.
    fn decode_row(&self, table: WatchedTable, row: &StoredRow) -> Option<RowChange>;
}

/// Request of a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallerRequest {
    /// Opens a session.
    Startup {
        /// Database that is asked for.
        database: String,
        /// Key of the caller, if any.
        key: Option<String>,
    },
    /// Runs a statement.
    Statement {
        /// Identifier of the request.
        id: String,
        /// Text as sent.
        text: String,
        /// What it does.
        class: StatementClass,
    },
    /// Ends the session.
    Terminate,
    /// Cannot be understood.
    Malformed,
}

/// Reason that an answer states in place of success.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum RefusalCode {
    /// Did not run: no capacity.
    Busy,
    /// Nothing of the transaction is kept.
    Aborted,
    /// Did not run: the replica lacks the position.
    Lagging,
    /// Did not run: the member does not lead.
    ReadOnly,
    /// Did not run: another process has the address.
    WrongMember,
    /// Did not run: too many connections.
    TooManyConnections,
    /// The outcome is not known.
    Unknown,
    /// Took too long; the outcome is not known.
    Timeout,
    /// Ran and failed.
    Failed,
    /// Did not run: no statement of that name.
    UnknownName,
    /// Makes no sense where it stands.
    Malformed,
    /// No database of that name.
    UnknownDatabase,
    /// The key is not known.
    UnknownKey,
    /// Another reason.
    Other,
}

impl RefusalCode {
    /// Returns the label of the code in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::Aborted => "aborted",
            Self::Lagging => "lagging",
            Self::ReadOnly => "read_only",
            Self::WrongMember => "wrong_member",
            Self::TooManyConnections => "too_many_connections",
            Self::Unknown => "unknown",
            Self::Timeout => "timeout",
            Self::Failed => "failed",
            Self::UnknownName => "unknown_name",
            Self::Malformed => "malformed",
            Self::UnknownDatabase => "unknown_database",
            Self::UnknownKey => "unknown_key",
            Self::Other => "other",
        }
    }
}

/// Line of an endpoint's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerLine {
    /// Data or its end; passed on as it is.
    Content {
        /// The statement succeeded.
        completes: bool,
    },
    /// The statement did not succeed.
    Error(RefusalCode),
    /// The answer is complete.
    Ready {
        /// State of the connection.
        state: BlockState,
        /// Position that the endpoint's reads reach.
        position: Option<LogPosition>,
    },
    /// Cannot be understood.
    Malformed,
}

/// Statement that this system issues itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ControlStatement<'a> {
    /// Opens a transaction that may write; only a leader accepts it.
    Begin,
    /// Opens a transaction that only reads.
    BeginRead,
    /// Rolls back.
    Rollback,
    /// Drops values and prepared names.
    Reset,
    /// Asks a member about itself.
    Status,
    /// Repeats a session's own setting.
    Setup(&'a str),
}

/// Protocol of callers and endpoints. Lines come without their terminator.
pub trait WireCodec: 'static {
    /// Longest line accepted, in bytes.
    const MAX_LINE_BYTES: usize;

    /// Reads a request of a caller.
    fn decode_request(line: &[u8]) -> CallerRequest;

    /// Reads a line of an endpoint's answer.
    fn decode_answer(line: &[u8]) -> AnswerLine;

    /// Reads the content of the answer to [`ControlStatement::Status`].
    fn decode_status(content: &[u8]) -> Option<MemberReport>;

    /// Appends the end of an answer to a caller.
    fn encode_ready(out: &mut Vec<u8>, state: BlockState);

    /// Appends a success that no member had a part in.
    fn encode_acknowledgement(out: &mut Vec<u8>);

    /// Appends an error; `explanation` is one line of text.
    fn encode_error(out: &mut Vec<u8>, code: RefusalCode, explanation: &str);

    /// Appends the opening of a connection to an endpoint.
    fn encode_startup(out: &mut Vec<u8>, service: &str, team: &str, endpoint: &str);

    /// Appends a caller's statement, to run at or after a position.
    fn encode_statement(out: &mut Vec<u8>, id: &str, after: Option<LogPosition>, text: &str);

    /// Appends a statement of this system.
    fn encode_control(out: &mut Vec<u8>, statement: ControlStatement<'_>);
}
