//! PostgreSQL sessions of a member.

mod extended;
mod simple;
mod transaction;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::BytesMut;
use log::debug;
use parking_lot::Mutex;
use pgwire::messages::startup::{Authentication, BackendKeyData, SecretKey};
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, SslNegotiationMetaMessage,
};
use state::position::MemberPosition;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::sleep;
use wire::backend::{self, TransactionState};
use wire::group::{NOT_PRIMARY, POSITION_PARAMETER, STALE_TERM, TOO_MANY_CONNECTIONS};

use crate::group::{GroupSettings, zone_delay};
use crate::member::{GroupMember, LoggedStatement, MemberError};
use crate::sqlite::{SqliteConnection, SqliteError};

pub(crate) use extended::{PortalState, PreparedStatement};

/// User whose connections are exempt from the connection limit and the connection delay.
pub const CONTROL_USER: &str = "hibiscus-control";
/// Prefix of the application name by which a proxy reports its availability zone.
pub const APPLICATION_NAME_PREFIX: &str = "hibiscus/";
/// Size of the output buffer at which it is written to the socket.
const WRITE_THRESHOLD_BYTES: usize = 64 * 1024;
/// Time after which the transaction of an unresponsive connection is rolled back to free its locks.
const IDLE_TRANSACTION_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which a paused session polls for the end of the pause; also the delay after a failed
/// accept.
const PAUSE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Reason why a session ended.
#[derive(Debug)]
pub(crate) enum SessionEnd {
    /// The client closed the connection or sent a malformed message.
    Closed,
    /// The member closed the connection.
    Dropped,
    /// An operation on the socket failed.
    Socket,
}

impl From<std::io::Error> for SessionEnd {
    fn from(_: std::io::Error) -> Self {
        Self::Socket
    }
}

/// Error that is sent to the client.
#[derive(Clone, Debug)]
pub(crate) struct ErrorResponse {
    pub(crate) sqlstate: &'static str,
    pub(crate) message: String,
}

impl ErrorResponse {
    pub(crate) fn new(sqlstate: &'static str, message: impl Into<String>) -> Self {
        Self { sqlstate, message: message.into() }
    }
}

impl From<SqliteError> for ErrorResponse {
    fn from(error: SqliteError) -> Self {
        match error {
            SqliteError::Busy => Self::new("40001", "could not serialize access"),
            SqliteError::Statement { sqlstate, message } => Self::new(sqlstate, message),
            other => Self::new("XX000", other.to_string()),
        }
    }
}

impl From<MemberError> for ErrorResponse {
    fn from(error: MemberError) -> Self {
        match error {
            MemberError::NotPrimary => Self::new(NOT_PRIMARY, error.to_string()),
            MemberError::StaleTerm { .. } => Self::new(STALE_TERM, error.to_string()),
            MemberError::Sqlite { source } => source.into(),
        }
    }
}

/// Cancellation signals of a member's sessions, by the process ID that each reported at startup.
pub(crate) type CancelRegistry = Mutex<HashMap<i32, Arc<Notify>>>;

/// Session of one connection.
pub(crate) struct MemberSession {
    pub(crate) member: Arc<GroupMember>,
    pub(crate) settings: Arc<GroupSettings>,
    pub(crate) group_size: usize,
    pub(crate) socket: TcpStream,
    pub(crate) input: BytesMut,
    pub(crate) output: BytesMut,
    pub(crate) connection: SqliteConnection,
    /// Generation of the replication state when `connection` was opened.
    pub(crate) generation: u64,
    pub(crate) session_id: u64,
    pub(crate) round_trip_delay: Duration,
    pub(crate) transaction_state: TransactionState,
    /// A transaction is open that is no block: it commits at the end of the text or pipeline.
    pub(crate) in_implicit_transaction: bool,
    /// Write lock of the member, held while a write transaction is open.
    pub(crate) write_guard: Option<tokio::sync::OwnedMutexGuard<()>>,
    /// Writes of the open transaction, in execution order.
    pub(crate) logged_statements: Vec<LoggedStatement>,
    /// Label of the next commit.
    pub(crate) label: Option<String>,
    /// Log index of the last commit or resolved transaction, for which the next confirmation waits.
    pub(crate) unconfirmed_index: Option<u64>,
    /// A commit was made and its response is not written yet.
    pub(crate) has_pending_commit_response: bool,
    pub(crate) reported_position: Option<MemberPosition>,
    pub(crate) prepared_statements: HashMap<String, PreparedStatement>,
    pub(crate) portals: HashMap<String, PortalState>,
    pub(crate) skip_until_sync: bool,
    pub(crate) cancel: Arc<Notify>,
}

/// Accepts connections until the task is aborted.
pub(crate) async fn serve(
    listener: TcpListener,
    member: Arc<GroupMember>,
    settings: Arc<GroupSettings>,
    group_size: usize,
) {
    let registry = Arc::new(CancelRegistry::default());
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            sleep(PAUSE_POLL_INTERVAL).await;
            continue;
        };
        let _ = socket.set_nodelay(true);
        if member.fault().stopped {
            continue;
        }
        let (member, settings) = (member.clone(), settings.clone());
        let registry = registry.clone();
        tokio::spawn(async move {
            let mut changes = member.changed.subscribe();
            let stopped = async {
                loop {
                    if member.fault().stopped || changes.changed().await.is_err() {
                        return;
                    }
                }
            };
            let run = run_connection(socket, member.clone(), settings, group_size, registry);
            tokio::select! {
                end = run => debug!("session of member {} ended: {end:?}", member.name),
                () = stopped => debug!("member {} stopped, session dropped", member.name),
            }
        });
    }
}

/// Counts a connection against the limit until dropped.
struct ConnectionGuard(Arc<GroupMember>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.open_connections.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn run_connection(
    mut socket: TcpStream,
    member: Arc<GroupMember>,
    settings: Arc<GroupSettings>,
    group_size: usize,
    registry: Arc<CancelRegistry>,
) -> Result<(), SessionEnd> {
    wait_while_paused(&member).await;
    let mut input = BytesMut::with_capacity(4096);
    let Some(startup) = read_startup(&mut socket, &mut input, &registry).await? else {
        return Ok(());
    };
    let user = startup.get("user").cloned().unwrap_or_default();
    let zone = startup
        .get("application_name")
        .and_then(|name| name.strip_prefix(APPLICATION_NAME_PREFIX))
        .unwrap_or(&member.zone)
        .to_owned();
    let mut guard = None;
    if user != CONTROL_USER {
        sleep(Duration::from_millis(settings.connect_ms)).await;
        let previous_count = member.open_connections.fetch_add(1, Ordering::SeqCst);
        guard = Some(ConnectionGuard(member.clone()));
        if previous_count >= settings.connections {
            let mut output = BytesMut::new();
            backend::put_error(&mut output, TOO_MANY_CONNECTIONS, "too many connections");
            socket.write_all(&output).await?;
            return Ok(());
        }
    }
    let (connection, generation) = {
        let state = member.replication.lock();
        (state.connect().map_err(|_| SessionEnd::Dropped)?, state.generation)
    };
    let session_id = member.total_connections.fetch_add(1, Ordering::SeqCst) + 1;
    let cancel = Arc::new(Notify::new());
    registry.lock().insert(session_id as i32, cancel.clone());
    let round_trip_delay = 2 * zone_delay(&settings, &zone, &member.zone);
    let mut session = MemberSession {
        member,
        settings,
        group_size,
        socket,
        input,
        output: BytesMut::new(),
        connection,
        generation,
        session_id,
        round_trip_delay,
        transaction_state: TransactionState::Idle,
        in_implicit_transaction: false,
        write_guard: None,
        logged_statements: Vec::new(),
        label: None,
        unconfirmed_index: None,
        has_pending_commit_response: false,
        reported_position: None,
        prepared_statements: HashMap::new(),
        portals: HashMap::new(),
        skip_until_sync: false,
        cancel,
    };
    let end = session.run().await;
    session.roll_back();
    registry.lock().remove(&(session_id as i32));
    drop(guard);
    end
}

/// Reads messages up to the startup message and returns its parameters.
///
/// Returns `None` if the connection carried a cancel request.
async fn read_startup(
    socket: &mut TcpStream,
    input: &mut BytesMut,
    registry: &CancelRegistry,
) -> Result<Option<std::collections::BTreeMap<String, String>>, SessionEnd> {
    let mut context = DecodeContext::default();
    loop {
        let message =
            PgWireFrontendMessage::decode(input, &context).map_err(|_| SessionEnd::Closed)?;
        match message {
            Some(PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None)) => {
                context.awaiting_frontend_ssl = false;
            }
            Some(PgWireFrontendMessage::SslNegotiation(_)) => socket.write_all(b"N").await?,
            Some(PgWireFrontendMessage::CancelRequest(cancel)) => {
                if let Some(notify) = registry.lock().get(&cancel.pid) {
                    notify.notify_one();
                }
                return Ok(None);
            }
            Some(PgWireFrontendMessage::Startup(startup)) => {
                return Ok(Some(startup.parameters));
            }
            Some(_) => return Err(SessionEnd::Closed),
            None => {
                if socket.read_buf(input).await? == 0 {
                    return Err(SessionEnd::Closed);
                }
            }
        }
    }
}

async fn wait_while_paused(member: &GroupMember) {
    while member.fault().paused {
        sleep(PAUSE_POLL_INTERVAL).await;
    }
}

impl MemberSession {
    async fn run(&mut self) -> Result<(), SessionEnd> {
        self.complete_startup().await?;
        let mut context = DecodeContext::default();
        context.awaiting_frontend_ssl = false;
        context.awaiting_frontend_startup = false;
        loop {
            let message = PgWireFrontendMessage::decode(&mut self.input, &context)
                .map_err(|_| SessionEnd::Closed)?;
            match message {
                Some(PgWireFrontendMessage::Terminate(_)) => return Ok(()),
                Some(message) => self.handle_message(message).await?,
                None => {
                    self.flush().await?;
                    self.read_input().await?;
                }
            }
        }
    }

    async fn complete_startup(&mut self) -> Result<(), SessionEnd> {
        backend::put(&mut self.output, PgWireBackendMessage::Authentication(Authentication::Ok));
        for (name, value) in [
            ("server_version", "15.0"),
            ("server_encoding", "UTF8"),
            ("client_encoding", "UTF8"),
            ("DateStyle", "ISO, MDY"),
            ("integer_datetimes", "on"),
            ("standard_conforming_strings", "on"),
        ] {
            backend::put_parameter_status(&mut self.output, name, value);
        }
        let key =
            BackendKeyData::new(self.session_id as i32, SecretKey::I32(self.session_id as i32));
        backend::put(&mut self.output, PgWireBackendMessage::BackendKeyData(key));
        self.put_ready_for_query();
        self.flush().await
    }

    /// Waits for input. Ends the session if its transaction is open when the member loses the
    /// primary role.
    async fn read_input(&mut self) -> Result<(), SessionEnd> {
        let mut changes = self.member.changed.subscribe();
        loop {
            if self.has_open_transaction() && self.is_outdated() {
                backend::put_error(&mut self.output, NOT_PRIMARY, "the primary was replaced");
                self.flush().await?;
                return Err(SessionEnd::Dropped);
            }
            let in_transaction = self.has_open_transaction();
            tokio::select! {
                read = self.socket.read_buf(&mut self.input) => {
                    if read? == 0 {
                        return Err(SessionEnd::Closed);
                    }
                    break;
                }
                _ = changes.changed(), if in_transaction => {}
            }
        }
        wait_while_paused(&self.member).await;
        if self.session_id <= self.member.unresponsive_up_to.load(Ordering::SeqCst) {
            // An unresponsive connection stays open and never responds. Its transaction is rolled
            // back, or it would keep its locks forever.
            sleep(IDLE_TRANSACTION_TIMEOUT).await;
            self.roll_back();
            std::future::pending::<()>().await;
        }
        if !self.round_trip_delay.is_zero() {
            sleep(self.round_trip_delay).await;
        }
        Ok(())
    }

    async fn handle_message(&mut self, message: PgWireFrontendMessage) -> Result<(), SessionEnd> {
        if self.skip_until_sync && !matches!(message, PgWireFrontendMessage::Sync(_)) {
            return Ok(());
        }
        match message {
            PgWireFrontendMessage::Query(query) => self.simple_query(&query.query).await,
            PgWireFrontendMessage::Sync(_) => self.sync().await,
            PgWireFrontendMessage::Flush(_) => self.flush().await,
            other => {
                if let Err(error) = self.extended_message(other).await? {
                    self.fail_statement(&error);
                    self.roll_back_implicit();
                    self.skip_until_sync = true;
                }
                Ok(())
            }
        }
    }

    /// Reconnects to the database if it was rebuilt or the primary role was lost.
    ///
    /// Fails if a transaction is open.
    pub(crate) fn refresh_connection(&mut self) -> Result<(), ErrorResponse> {
        if !self.is_outdated() {
            return Ok(());
        }
        if self.has_open_transaction() {
            return Err(ErrorResponse::new(NOT_PRIMARY, "the primary was replaced"));
        }
        let state = self.member.replication.lock();
        self.connection = state.connect()?;
        self.generation = state.generation;
        Ok(())
    }

    fn has_open_transaction(&self) -> bool {
        self.transaction_state != TransactionState::Idle || self.in_implicit_transaction
    }

    fn is_outdated(&self) -> bool {
        self.member.replication.lock().generation != self.generation
    }

    pub(crate) fn fail_statement(&mut self, error: &ErrorResponse) {
        if self.transaction_state == TransactionState::Open {
            self.transaction_state = TransactionState::Failed;
        }
        backend::put_error(&mut self.output, error.sqlstate, &error.message);
    }

    /// Reports the member's position if it has changed since the last report.
    pub(crate) fn report_position(&mut self) {
        let position = self.member.replication.lock().position();
        if self.reported_position != Some(position) {
            self.reported_position = Some(position);
            backend::put_parameter_status(
                &mut self.output,
                POSITION_PARAMETER,
                &position.to_string(),
            );
        }
    }

    pub(crate) fn put_ready_for_query(&mut self) {
        self.report_position();
        backend::put_ready_for_query(&mut self.output, self.transaction_state);
    }

    pub(crate) async fn flush_if_large(&mut self) -> Result<(), SessionEnd> {
        if self.output.len() >= WRITE_THRESHOLD_BYTES {
            self.flush().await?;
        }
        Ok(())
    }

    async fn flush(&mut self) -> Result<(), SessionEnd> {
        wait_while_paused(&self.member).await;
        if !self.output.is_empty() {
            self.socket.write_all(&self.output).await?;
            self.output.clear();
        }
        Ok(())
    }
}
