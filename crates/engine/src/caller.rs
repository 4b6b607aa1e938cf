//! Caller sessions: reads requests, forwards statements to endpoints and writes the answers.

use std::rc::Rc;
use std::time::{Duration, Instant};

use coord::session::{
    ForwardPlan, SessionId, SessionMachine, StatementAction, StatementClass, StatementError,
    TransactionState,
};
use coord::stop_schedule::StopPhase;
use metrics::{counter, histogram};
use state::store_version::DocumentVersion;
use telemetry::event::LogEvent;
use telemetry::{log_event, meter};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use crate::document_index::DocumentIndex;
use crate::instance::{EngineTypes, GatewayInstance};
use crate::interface::{CallerRequest, RefusalCode, WireCodec};
use crate::line_buffer::LineBuffer;
use crate::open_sessions::SessionProgress;
use crate::progress;
use crate::record::RouteRecord;
use crate::statement::{PinnedTransaction, StatementContext, StatementResult, failure};

/// Bounds the wait for a caller's startup request.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(3);
/// Explanation of a refusal by an instance whose document is outdated. Others serve a retry at once.
const OUTDATED_EXPLANATION: &str =
    "not run: the document of this instance is not up to date; retry after 0 ms";
/// Explanation of a refusal by an instance that is leaving. Others serve a retry at once.
const STOPPING_EXPLANATION: &str = "not run: the instance is stopping; retry after 0 ms";
/// Explanation of a refusal by an instance that knows no others. They serve a retry at once.
const ALONE_EXPLANATION: &str =
    "not run: the instance has not found the other instances; retry after 0 ms";
/// Bounds the wait of a startup request for the first document; callers give up after 2 s.
const FIRST_DOCUMENT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Interval at which a startup request checks for the first document.
const DOCUMENT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Pause after a failed accept, which usually means that file descriptors ran out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Bounds the time for which a caller takes nothing of an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which idle sessions stay open after the instance announces that it is leaving.
///
/// The load balancer may still route callers to the instance for this long.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(2_300);
/// Time for which a new session stays open for its first request while the instance is leaving.
const FIRST_REQUEST_DELAY: Duration = Duration::from_millis(500);
/// Bounds the wait for a caller to take the last answer and close the connection.
///
/// Closing a connection with unread bytes resets it, which may discard an answer on the way.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);

/// Session of one caller.
struct CallerSession<E: EngineTypes> {
    instance: Rc<GatewayInstance<E>>,
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    input: LineBuffer,
    database: String,
    key: Option<String>,
    machine: SessionMachine,
    session_id: SessionId,
    pinned: Option<PinnedTransaction>,
    /// Route and team under which the pinned transaction began.
    pinned_route: Option<AuthorizedRoute>,
    progress: Rc<SessionProgress>,
    /// Time at which the current statement arrived.
    arrived_at: Instant,
    opened_at: Instant,
}

/// Route that the caller may use, and the caller's team.
#[derive(Clone)]
struct AuthorizedRoute {
    route: Rc<RouteRecord>,
    team: Rc<str>,
    /// Version of the document that both are from.
    document_version: DocumentVersion,
}

/// Event that a session waits for.
enum SessionEvent {
    /// A line of this length, without its terminator, arrived at this time.
    Line(usize, Instant),
    /// The caller closed the connection, or reading from it failed.
    Closed,
    /// The open transaction has been idle for too long.
    TransactionIdleTimeout,
    /// The instance is leaving, and the open transaction has had its time.
    TransactionEnded,
    /// The instance is leaving and the session waits for no answer.
    Leaving,
}

impl<E: EngineTypes> GatewayInstance<E> {
    /// Accepts caller connections and serves each in a task of its own.
    pub async fn accept_callers(self: Rc<Self>, listener: TcpListener) {
        loop {
            // The listener is closed before the process ends, so that no connection is reset.
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                () = self.wait_for_stop(StopPhase::Closing) => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    let instance = self.clone();
                    tokio::task::spawn_local(async move {
                        instance.caller_count.set(instance.caller_count.get() + 1);
                        serve_caller(&instance, stream).await;
                        instance.caller_count.set(instance.caller_count.get() - 1);
                    });
                }
                Err(error) => {
                    log_event!(LogEvent::CallerRefused, "cause=\"accept failed: {error}\"");
                    sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }
}

async fn serve_caller<E: EngineTypes>(instance: &Rc<GatewayInstance<E>>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log_event!(LogEvent::CallerRefused, "cause=\"{error}\"");
        return;
    }
    let (reader, writer) = stream.into_split();
    let session_id = instance.new_session_id();
    let mut session = CallerSession {
        progress: instance.open_sessions.add(session_id),
        session_id,
        arrived_at: instance.now(),
        opened_at: instance.now(),
        instance: instance.clone(),
        reader,
        writer,
        input: LineBuffer::default(),
        database: String::new(),
        key: None,
        machine: SessionMachine::default(),
        pinned: None,
        pinned_route: None,
    };
    if session.open().await.is_some() {
        session.serve().await;
    }
    session.release_transaction();
    session.close().await;
    instance.open_sessions.remove(session_id);
}

impl<E: EngineTypes> CallerSession<E> {
    /// Handles the startup request. Returns `None` if the session was not opened.
    async fn open(&mut self) -> Option<()> {
        let first_line = timeout(STARTUP_TIMEOUT, self.next_line()).await;
        let Ok(Some(length)) = first_line else {
            return None;
        };
        let request = E::Codec::decode_request(self.input.line(length));
        self.input.consume_line(length);
        let CallerRequest::Startup { database, key } = request else {
            self.refuse_startup(
                RefusalCode::Malformed,
                "the first request must be a startup request",
            )
            .await;
            return None;
        };
        (self.database, self.key) = (database, key);
        if !self.wait_for_document().await {
            self.refuse_startup(
                RefusalCode::Busy,
                "not run: the instance has not received a document yet",
            )
            .await;
            return None;
        }
        if self.instance.has_stop_reached(StopPhase::Answering) {
            self.refuse_startup(RefusalCode::Busy, STOPPING_EXPLANATION).await;
            return None;
        }
        if let Err((code, explanation)) = self.authorize() {
            self.refuse_startup(code, explanation).await;
            return None;
        }
        let mut out = Vec::new();
        E::Codec::encode_ready(&mut out, TransactionState::Idle);
        self.write(&out).await
    }

    /// Waits for the first document, without which no database or key is known.
    ///
    /// Returns false after [`FIRST_DOCUMENT_TIMEOUT`].
    async fn wait_for_document(&self) -> bool {
        let started_at = self.instance.now();
        while !self.instance.directory.borrow().is_loaded() {
            if self.instance.has_stop_reached(StopPhase::Closing) {
                return false;
            }
            if self.instance.now().saturating_duration_since(started_at) > FIRST_DOCUMENT_TIMEOUT {
                return false;
            }
            sleep(DOCUMENT_POLL_INTERVAL).await;
        }
        true
    }

    async fn refuse_startup(&mut self, code: RefusalCode, explanation: &str) {
        log_event!(
            LogEvent::CallerRefused,
            "database={} code={code:?} document={}",
            self.database,
            self.document().version
        );
        let mut out = Vec::new();
        E::Codec::encode_error(&mut out, code, explanation);
        // The connection is closed whether the caller takes the answer or not.
        let _ = self.write(&out).await;
    }

    async fn serve(&mut self) {
        loop {
            match self.next_event().await {
                SessionEvent::Line(length, arrived_at) => {
                    let request = E::Codec::decode_request(self.input.line(length));
                    self.input.consume_line(length);
                    match request {
                        CallerRequest::Terminate => return,
                        CallerRequest::Statement { id, text, class } => {
                            self.arrived_at = arrived_at;
                            self.progress.begin_request(&id, &self.database, arrived_at);
                            let answer =
                                self.answer_statement(&id, &text, &class, arrived_at).await;
                            if self.write(&answer).await.is_none() {
                                self.progress.cut_request("write_failed", self.instance.now());
                                return;
                            }
                            let state = self.machine.transaction_state();
                            self.progress.end_request(state != TransactionState::Idle);
                        }
                        CallerRequest::Startup { .. } | CallerRequest::Malformed => {
                            let mut out = Vec::new();
                            let code = RefusalCode::Malformed;
                            E::Codec::encode_error(&mut out, code, "malformed request");
                            E::Codec::encode_ready(&mut out, self.machine.transaction_state());
                            if self.write(&out).await.is_none() {
                                return;
                            }
                        }
                    }
                }
                SessionEvent::TransactionIdleTimeout => {
                    log_event!(LogEvent::TransactionExpired, "database={}", self.database);
                    self.release_transaction();
                    self.machine.abort_transaction();
                }
                SessionEvent::TransactionEnded => {
                    log_event!(
                        LogEvent::TransactionExpired,
                        "database={} cause=\"the instance is stopping\"",
                        self.database
                    );
                    self.release_transaction();
                    self.machine.abort_transaction();
                }
                SessionEvent::Closed | SessionEvent::Leaving => return,
            }
        }
    }

    /// Waits for the next request, the end of the session or the idle timeout of a transaction.
    async fn next_event(&mut self) -> SessionEvent {
        if let Some(length) = self.input.line_length() {
            return SessionEvent::Line(length, self.instance.now());
        }
        let instance = self.instance.clone();
        let idle_timeout = match self.document().transaction_idle_timeout {
            Some(limit) if self.machine.is_pinned() => Some(limit),
            _ => None,
        };
        let idle_timer = async {
            match idle_timeout {
                Some(limit) => sleep(limit).await,
                None => std::future::pending().await,
            }
        };
        let state = self.machine.transaction_state();
        let (opened_at, has_partial_request) = (self.opened_at, !self.input.is_empty());
        let leaving = async {
            match state {
                TransactionState::Idle if !has_partial_request => {
                    tokio::select! {
                        () = wait_for_idle_close(&instance, opened_at) => {}
                        () = instance.wait_for_stop(StopPhase::Closing) => {}
                    }
                    SessionEvent::Leaving
                }
                TransactionState::Open => {
                    instance.wait_for_stop(StopPhase::Answering).await;
                    SessionEvent::TransactionEnded
                }
                TransactionState::Idle | TransactionState::Failed => {
                    instance.wait_for_stop(StopPhase::Closing).await;
                    SessionEvent::Leaving
                }
            }
        };
        tokio::select! {
            biased;
            line = next_line::<E>(&mut self.input, &mut self.reader) => match line {
                Some(length) => SessionEvent::Line(length, instance.now()),
                None => SessionEvent::Closed,
            },
            () = idle_timer => SessionEvent::TransactionIdleTimeout,
            event = leaving => event,
        }
    }

    async fn next_line(&mut self) -> Option<usize> {
        next_line::<E>(&mut self.input, &mut self.reader).await
    }

    /// Handles a statement and returns the encoded answer.
    async fn answer_statement(
        &mut self,
        id: &str,
        text: &str,
        class: &StatementClass,
        arrived_at: Instant,
    ) -> Vec<u8> {
        let mut out = Vec::new();
        if self.instance.has_stop_reached(StopPhase::Answering) {
            self.release_transaction();
            self.machine.abort_transaction();
        }
        let authorized = match self.authorize_statement(class) {
            Ok(authorized) => authorized,
            Err((code, explanation)) => {
                self.release_transaction();
                self.machine.fail_transaction();
                if *class == StatementClass::Commit {
                    // A commit ends its transaction, also if it is refused.
                    let _ = self.machine.handle_statement(class, text, arrived_at);
                }
                self.log_refusal(id, code, explanation);
                E::Codec::encode_error(&mut out, code, explanation);
                E::Codec::encode_ready(&mut out, self.machine.transaction_state());
                return out;
            }
        };
        match self.machine.handle_statement(class, text, arrived_at) {
            StatementAction::Acknowledge => E::Codec::encode_acknowledgement(&mut out),
            StatementAction::RollbackPinned => {
                self.release_transaction();
                E::Codec::encode_acknowledgement(&mut out);
            }
            StatementAction::Refuse(error) => {
                if self.machine.transaction_state() == TransactionState::Failed {
                    self.release_transaction();
                }
                let (code, explanation) = describe_error(error);
                E::Codec::encode_error(&mut out, code, explanation);
            }
            StatementAction::Forward(plan) => {
                self.forward(&plan, &authorized, id, text, &mut out).await;
            }
        }
        E::Codec::encode_ready(&mut out, self.machine.transaction_state());
        out
    }

    /// Runs a statement on an endpoint and appends the encoded answer to `out`.
    async fn forward(
        &mut self,
        plan: &ForwardPlan,
        authorized: &AuthorizedRoute,
        id: &str,
        text: &str,
        out: &mut Vec<u8>,
    ) {
        let pending_setup =
            if plan.pinned { self.machine.take_pending_setup() } else { Vec::new() };
        let context = StatementContext {
            plan,
            route: &authorized.route,
            team: &authorized.team,
            document_version: authorized.document_version,
            request_id: id,
            text,
            machine: &self.machine,
            session_id: self.session_id,
            pending_setup,
            arrived_at: self.arrived_at,
        };
        let result = tokio::select! {
            biased;
            result = self.instance.run_statement(&context, self.pinned.as_ref()) => result,
            () = self.instance.wait_for_stop(StopPhase::Closing) => unanswered(plan),
        };
        let class = if plan.read_only { "read" } else { "write" };
        counter!(meter::REQUESTS, "class" => class).increment(1);
        let waited = self.instance.now().saturating_duration_since(self.arrived_at);
        histogram!(meter::REQUEST_SECONDS, "class" => class).record(waited.as_secs_f64());
        match result {
            StatementResult::Success { content, position, transaction } => {
                self.machine.record_success(plan, position);
                if transaction.is_some() {
                    self.pinned_route = Some(authorized.clone());
                }
                self.pinned = if plan.commits { None } else { transaction.or(self.pinned.take()) };
                if self.pinned.is_none() {
                    self.pinned_route = None;
                }
                out.extend_from_slice(&content);
            }
            StatementResult::Failure { content, code, explanation } => {
                self.machine.record_failure(plan);
                if !plan.is_autocommit() {
                    self.release_transaction();
                }
                if content.is_empty() {
                    self.log_refusal(id, code, &explanation);
                    E::Codec::encode_error(out, code, &explanation);
                } else {
                    self.log_refusal(id, code, "error response of the endpoint");
                    out.extend_from_slice(&content);
                }
            }
        }
    }

    /// Returns the route and the team for a statement, or the code and explanation of a refusal.
    fn authorize_statement(
        &self,
        class: &StatementClass,
    ) -> Result<AuthorizedRoute, (RefusalCode, &'static str)> {
        let ends_transaction = matches!(class, StatementClass::Commit | StatementClass::Rollback);
        if self.machine.transaction_state() == TransactionState::Idle
            && !ends_transaction
            && self.instance.has_stop_reached(StopPhase::Answering)
        {
            return Err((RefusalCode::Busy, STOPPING_EXPLANATION));
        }
        self.authorize()
    }

    /// Returns the route and the team of the caller, or the code and explanation of a refusal.
    fn authorize(&self) -> Result<AuthorizedRoute, (RefusalCode, &'static str)> {
        // An open transaction goes on under the document that it began with.
        if self.machine.transaction_state() == TransactionState::Idle {
            if self.instance.is_document_outdated() {
                return Err((RefusalCode::Busy, OUTDATED_EXPLANATION));
            }
            if !self.instance.has_joined() {
                return Err((RefusalCode::Busy, ALONE_EXPLANATION));
            }
        }
        let authorized = self.authorize_by_document()?;
        match &self.pinned_route {
            // A change of the route applies from the next transaction on.
            Some(pinned) if pinned.team == authorized.team => Ok(pinned.clone()),
            Some(_) => Err((RefusalCode::Aborted, "the key belongs to another team now")),
            None => Ok(authorized),
        }
    }

    /// Returns route and team by the document in force.
    fn authorize_by_document(&self) -> Result<AuthorizedRoute, (RefusalCode, &'static str)> {
        let document = self.document();
        let document_version = self.instance.directory.borrow().document_version();
        let Some(route) = document.route(&self.database) else {
            return Err((RefusalCode::UnknownDatabase, "unknown database"));
        };
        let team = self.key.as_deref().and_then(|key| document.team_by_key(key));
        match team {
            Some(_) if !self.instance.is_document_validated() => Err((
                RefusalCode::Busy,
                "not run: the instance cannot confirm that the key is still valid",
            )),
            Some(team) => Ok(AuthorizedRoute { route, team, document_version }),
            None if route.public => {
                Ok(AuthorizedRoute { route, team: ANONYMOUS_TEAM.into(), document_version })
            }
            None => Err((RefusalCode::UnknownKey, "unknown key")),
        }
    }

    fn document(&self) -> Rc<DocumentIndex> {
        self.instance.directory.borrow().document()
    }

    fn log_refusal(&self, id: &str, code: RefusalCode, explanation: &str) {
        counter!(meter::REFUSALS, "reason" => code.label()).increment(1);
        let document = self.document();
        let team = self.key.as_deref().and_then(|key| document.team_by_key(key));
        log_event!(
            LogEvent::RequestRefused,
            "request={id} database={} team={} code={} document={} state={:?} waited_ms={} \
             cause=\"{explanation}\"",
            self.database,
            team.as_deref().unwrap_or(ANONYMOUS_TEAM),
            code.label(),
            document.version,
            self.machine.transaction_state(),
            self.instance.now().saturating_duration_since(self.arrived_at).as_millis()
        );
    }

    /// Rolls back the open transaction at its endpoint, if there is one.
    fn release_transaction(&mut self) {
        self.pinned_route = None;
        if let Some(transaction) = self.pinned.take() {
            self.instance.dispatch_release(&transaction.owner, transaction.transaction_id);
        }
    }

    /// Closes the connection after the caller has taken what was written, within
    /// [`LINGER_TIMEOUT`].
    async fn close(&mut self) {
        // Fails if the caller has closed the connection already.
        if self.writer.shutdown().await.is_err() {
            return;
        }
        let drain = async {
            loop {
                self.input = LineBuffer::default();
                if !matches!(self.input.fill(&mut self.reader).await, Ok(1..)) {
                    return;
                }
            }
        };
        // A caller that keeps the connection open has had the time to take the answer.
        let _ = timeout(LINGER_TIMEOUT, drain).await;
    }

    /// Writes to the caller. Returns `None` on failure or after [`WRITE_TIMEOUT`] without progress.
    async fn write(&mut self, bytes: &[u8]) -> Option<()> {
        progress::write_all(&mut self.writer, bytes, WRITE_TIMEOUT).await.ok()
    }
}

/// Team name that endpoints see for callers without a key.
pub(crate) const ANONYMOUS_TEAM: &str = "-";

/// Reads until the buffer holds a whole line and returns its length.
///
/// Returns `None` at the end of the stream, on a read error or if the line exceeds the limit.
async fn next_line<E: EngineTypes>(
    input: &mut LineBuffer,
    reader: &mut OwnedReadHalf,
) -> Option<usize> {
    loop {
        if let Some(length) = input.line_length() {
            return Some(length);
        }
        if input.len() > E::Codec::MAX_LINE_BYTES {
            return None;
        }
        match input.fill(reader).await {
            Ok(0) | Err(_) => return None,
            Ok(_) => {}
        }
    }
}

/// Waits until a session without a transaction and a request is closed as the instance is leaving.
async fn wait_for_idle_close<E: EngineTypes>(instance: &GatewayInstance<E>, opened_at: Instant) {
    instance.wait_for_leaving().await;
    // If sessions closed before the balancer stops using this instance, callers would reconnect to
    // it.
    let leaving_since = instance.leaving_since().unwrap_or_else(|| instance.now());
    let close_at = (leaving_since + IDLE_CLOSE_DELAY).max(opened_at + FIRST_REQUEST_DELAY);
    sleep(close_at.saturating_duration_since(instance.now())).await;
}

/// Returns the result of a statement whose answer did not arrive before the end of the process.
fn unanswered(plan: &ForwardPlan) -> StatementResult {
    let explanation = "the instance is stopping, and the member has not answered";
    // Nothing is kept of a transaction that is not committed.
    let code = if plan.changes_data() { RefusalCode::Unknown } else { RefusalCode::Aborted };
    failure(code, explanation.to_owned())
}

/// Returns the code and the explanation for a statement that the session refused.
fn describe_error(error: StatementError) -> (RefusalCode, &'static str) {
    match error {
        StatementError::InvalidState => {
            (RefusalCode::Malformed, "statement is not allowed in the current transaction state")
        }
        StatementError::UnknownStatement => {
            (RefusalCode::UnknownName, "unknown prepared statement")
        }
        StatementError::RolledBack => (RefusalCode::Aborted, "the transaction was rolled back"),
        StatementError::ReadOnly => (RefusalCode::ReadOnly, "the transaction is read-only"),
        StatementError::SetupFull => (
            RefusalCode::Malformed,
            "the session has too many or too long values and prepared statements",
        ),
    }
}
