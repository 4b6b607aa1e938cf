//! Session of a caller, from the end of startup to the end of the connection.

mod admission;
mod batch;
mod exchange;
mod in_doubt;
mod local_response;
mod request;
mod serve;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use bytes::BytesMut;
use net::pool::PooledConnection;
use net::socket::{FramedSocket, SocketError};
use state::catalog::{DatabaseEntry, TeamId};
use state::credential::KeyHash;
use state::session::SessionPositions;
use telemetry::event::LogEvent;
use telemetry::log_event;
use tokio::sync::watch;
use wire::backend::{self, TransactionState};
use wire::frame::RawFrame;
use wire::frontend::{self, FieldError};
use wire::refusal::{RefusalReason, RequestRefusal};

use crate::cancel::CancelRegistration;
use crate::database::DatabaseHandle;
use crate::instance::{InstancePhase, ProxyInstance};
use crate::parameter::{SESSION_TOKEN, SessionParameters};
use crate::startup::AuthenticatedCaller;

use batch::{BatchMessage, CallerBatch, PreparedStatement};
use request::{CallerRequest, RequestBody};

/// Maximum total size of the extended-query messages before a sync or flush, in bytes.
const MAX_BATCH_BYTES: usize = 32 * 1024 * 1024;

/// Reason for which a session ends.
#[derive(Debug)]
enum SessionEnd {
    /// The caller closed the connection, or it failed.
    Closed,
    /// The caller is sent an error before the connection is closed.
    Refused(RequestRefusal),
}

impl From<SocketError> for SessionEnd {
    fn from(error: SocketError) -> Self {
        let SocketError::Malformed { source } = error else {
            return Self::Closed;
        };
        let reason = match source {
            wire::frame::FrameError::TooLarge { .. } => RefusalReason::MessageTooLarge,
            wire::frame::FrameError::LengthTooSmall { .. } => RefusalReason::ProtocolViolation,
        };
        Self::Refused(RequestRefusal::new(reason, source.to_string()))
    }
}

impl From<FieldError> for SessionEnd {
    fn from(error: FieldError) -> Self {
        let reason = RefusalReason::ProtocolViolation;
        Self::Refused(RequestRefusal::new(reason, error.to_string()))
    }
}

/// Connection reserved for an open transaction, or until the sync after a flush.
struct PinnedConnection {
    connection: PooledConnection,
    member_index: usize,
    /// The sync is still missing, so the connection stays pinned outside transactions too.
    awaiting_sync: bool,
    /// Statements before the missing sync have written, and commit with it.
    has_written: bool,
}

/// Session of a caller.
pub struct CallerSession {
    instance: Arc<ProxyInstance>,
    socket: FramedSocket,
    /// Bytes not sent to the caller yet.
    output: BytesMut,
    phases: watch::Receiver<InstancePhase>,
    team: TeamId,
    key: Option<KeyHash>,
    /// Revision of the document against which access was last checked.
    checked_revision: u64,
    database_entry: Arc<DatabaseEntry>,
    database: Arc<DatabaseHandle>,
    positions: SessionPositions,
    positions_changed: bool,
    /// Start time of the session.
    began_at: Instant,
    parameters: SessionParameters,
    prepared_statements: HashMap<String, Arc<PreparedStatement>>,
    batch: CallerBatch,
    pinned: Option<Box<PinnedConnection>>,
    transaction_state: TransactionState,
    /// Messages are ignored until the next sync.
    skipping_to_sync: bool,
    cancel_registration: CancelRegistration,
}

impl CallerSession {
    /// Creates the session of a caller that has completed startup. Returns none if its database has
    /// been removed since.
    pub fn new(
        socket: FramedSocket,
        instance: Arc<ProxyInstance>,
        caller: AuthenticatedCaller,
    ) -> Option<Self> {
        let catalog = instance.catalog();
        let database_entry = catalog.database(caller.identity.database)?.clone();
        let database = instance.database(caller.identity.database)?;
        Some(Self {
            socket,
            output: BytesMut::new(),
            phases: instance.phases(),
            team: caller.identity.team,
            key: caller.identity.key,
            // Zero makes the first request check the key against the document then in force.
            checked_revision: 0,
            database_entry,
            database,
            positions: caller.positions,
            positions_changed: false,
            began_at: instance.now(),
            parameters: caller.parameters,
            prepared_statements: HashMap::new(),
            batch: CallerBatch::default(),
            pinned: None,
            transaction_state: TransactionState::Idle,
            skipping_to_sync: false,
            cancel_registration: caller.cancel_registration,
            instance,
        })
    }

    /// Serves requests until the session ends.
    pub async fn run(mut self) {
        let end = loop {
            let frame = match self.next_frame().await {
                Ok(frame) => frame,
                Err(end) => break end,
            };
            // Boxed, so that an idle session does not hold the memory of a running request.
            if let Err(end) = Box::pin(self.handle_frame(frame)).await {
                break end;
            }
        };
        if let SessionEnd::Refused(refusal) = &end {
            self.instance.counters.record_refusal(refusal.reason);
            log_event!(LogEvent::RequestRefused, "reason={}", refusal.reason.label());
            backend::put_refusal(&mut self.output, refusal, true);
            if self.socket.write(&self.output).await.is_ok() {
                self.socket.shutdown().await;
            }
        }
        log_event!(LogEvent::SessionClosed, "process={}", self.cancel_registration.process_id());
    }

    /// Waits for the next message. An idle session ends when the instance drains.
    async fn next_frame(&mut self) -> Result<RawFrame, SessionEnd> {
        loop {
            if let Some(frame) = self.socket.take_frame()? {
                return Ok(frame);
            }
            let is_idle = self.pinned.is_none() && self.batch.is_empty();
            let closing_phase =
                if is_idle { InstancePhase::Draining } else { InstancePhase::Closed };
            tokio::select! {
                biased;
                filled = self.socket.fill() => filled?,
                _ = self.phases.wait_for(|phase| *phase >= closing_phase) => {
                    let reason = RefusalReason::Stopping;
                    let refusal = RequestRefusal::new(reason, "the instance is stopping");
                    return Err(SessionEnd::Refused(refusal));
                }
            }
        }
    }

    async fn handle_frame(&mut self, frame: RawFrame) -> Result<(), SessionEnd> {
        match frame.tag {
            frontend::TERMINATE => Err(SessionEnd::Closed),
            frontend::SYNC => {
                if std::mem::take(&mut self.skipping_to_sync) {
                    self.batch.clear();
                    return self.send_ready_for_query().await;
                }
                let batch = std::mem::take(&mut self.batch);
                self.serve_batch(batch, true).await
            }
            // After an error, messages are ignored up to the sync.
            _ if self.skipping_to_sync => Ok(()),
            frontend::FLUSH => {
                let batch = std::mem::take(&mut self.batch);
                self.serve_batch(batch, false).await
            }
            frontend::QUERY => {
                let text = frontend::read_query(&frame)?;
                let class = self.instance.statements.classify(text);
                let body = RequestBody::Simple(frame);
                self.serve(CallerRequest { body, class, ends_with_sync: true }).await
            }
            frontend::PARSE
            | frontend::BIND
            | frontend::DESCRIBE
            | frontend::EXECUTE
            | frontend::CLOSE => self.add_to_batch(frame),
            // CopyData, CopyDone and CopyFail may follow a refused COPY and are ignored.
            b'd' | b'c' | b'f' => Ok(()),
            tag => {
                let detail = format!("unexpected message of type {:?}", char::from(tag));
                let refusal = RequestRefusal::new(RefusalReason::ProtocolViolation, detail);
                Err(SessionEnd::Refused(refusal))
            }
        }
    }

    /// Adds an extended-query message to the current batch.
    fn add_to_batch(&mut self, frame: RawFrame) -> Result<(), SessionEnd> {
        if self.batch.bytes() + frame.bytes.len() > MAX_BATCH_BYTES {
            let detail = format!(
                "extended-query messages before a sync or flush exceed {MAX_BATCH_BYTES} bytes"
            );
            let refusal = RequestRefusal::new(RefusalReason::MessageTooLarge, detail);
            return Err(SessionEnd::Refused(refusal));
        }
        let statement_cache = &self.instance.statements;
        match BatchMessage::read(frame, statement_cache, &mut self.prepared_statements)? {
            Ok(message) => self.batch.push(message),
            Err(statement_name) => {
                // The batch is discarded unsent; the caller gets one error and, after its sync, a
                // ready-for-query message.
                self.batch.clear();
                self.skipping_to_sync = true;
                let detail = format!("prepared statement {statement_name:?} does not exist");
                backend::put_error(&mut self.output, "26000", &detail);
                if self.pinned.is_some() {
                    self.fail_transaction();
                }
            }
        }
        Ok(())
    }

    async fn serve_batch(
        &mut self,
        batch: CallerBatch,
        ends_with_sync: bool,
    ) -> Result<(), SessionEnd> {
        if batch.is_empty() && self.pinned.as_ref().is_none_or(|pinned| !pinned.awaiting_sync) {
            return if ends_with_sync {
                self.send_ready_for_query().await
            } else {
                self.flush().await
            };
        }
        let class = batch.class();
        let body = RequestBody::Batch(batch);
        self.serve(CallerRequest { body, class, ends_with_sync }).await
    }

    /// Sends the session token if it has changed, then ready-for-query and all buffered output.
    async fn send_ready_for_query(&mut self) -> Result<(), SessionEnd> {
        if std::mem::take(&mut self.positions_changed) {
            let token = self.instance.tokens.encode(&self.positions);
            backend::put_parameter_status(&mut self.output, SESSION_TOKEN, &token);
        }
        backend::put_ready_for_query(&mut self.output, self.transaction_state);
        self.flush().await
    }

    async fn flush(&mut self) -> Result<(), SessionEnd> {
        let output = std::mem::take(&mut self.output);
        if !output.is_empty() {
            self.socket.write(&output).await?;
        }
        Ok(())
    }

    /// Drops the pinned connection, if any, which rolls its transaction back.
    fn fail_transaction(&mut self) {
        if let Some(pinned) = self.pinned.take() {
            drop(pinned);
            self.transaction_state = TransactionState::Failed;
        }
    }

    /// Sends the refusal of a request to the caller.
    async fn send_refusal(
        &mut self,
        refusal: RequestRefusal,
        ends_with_sync: bool,
    ) -> Result<(), SessionEnd> {
        self.instance.counters.record_refusal(refusal.reason);
        log_event!(
            LogEvent::RequestRefused,
            "reason={} process={}",
            refusal.reason.label(),
            self.cancel_registration.process_id()
        );
        backend::put_refusal(&mut self.output, &refusal, false);
        if ends_with_sync {
            return self.send_ready_for_query().await;
        }
        self.skipping_to_sync = true;
        self.flush().await
    }
}
