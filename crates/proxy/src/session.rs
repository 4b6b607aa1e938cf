//! Session of one caller, from the end of startup to the end of the connection.

mod admit;
mod batch;
mod exchange;
mod local;
mod request;
mod serve;
mod settle;

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
use crate::startup::StartedCaller;

use batch::{BatchMessage, CallerBatch, PreparedText};
use request::{CallerRequest, RequestBody};

/// Bytes that the messages of one extended exchange may have together.
const BATCH_LIMIT_BYTES: usize = 32 * 1024 * 1024;

/// Why a session ends.
#[derive(Debug)]
enum SessionEnd {
    /// The caller closed the connection.
    Closed,
    /// The caller is told why its connection closes.
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

/// Connection that a transaction or an unfinished exchange holds.
struct PinnedConnection {
    connection: PooledConnection,
    member: usize,
    /// Tells that a sync is still due, so the connection stays pinned outside transactions too.
    unfinished: bool,
}

/// Session of one caller.
pub struct CallerSession {
    instance: Arc<ProxyInstance>,
    socket: FramedSocket,
    output: BytesMut,
    phases: watch::Receiver<InstancePhase>,
    team: TeamId,
    key: Option<KeyHash>,
    revision: u64,
    entry: Arc<DatabaseEntry>,
    database: Arc<DatabaseHandle>,
    positions: SessionPositions,
    positions_moved: bool,
    began_at: Instant,
    parameters: SessionParameters,
    prepared: HashMap<String, Arc<PreparedText>>,
    batch: CallerBatch,
    pinned: Option<Box<PinnedConnection>>,
    block: TransactionState,
    /// Tells that messages are ignored until the next sync.
    skipping: bool,
    registration: CancelRegistration,
}

impl CallerSession {
    /// Creates the session of a caller that has passed startup.
    pub fn new(
        socket: FramedSocket,
        instance: Arc<ProxyInstance>,
        caller: StartedCaller,
    ) -> Option<Self> {
        let catalog = instance.catalog();
        let entry = catalog.database(caller.identity.database)?.clone();
        let database = instance.database(caller.identity.database)?;
        Some(Self {
            socket,
            output: BytesMut::new(),
            phases: instance.phases(),
            team: caller.identity.team,
            key: caller.identity.key,
            // Zero makes the first request check the key against the document in force then.
            revision: 0,
            entry,
            database,
            positions: caller.positions,
            positions_moved: false,
            began_at: instance.now(),
            parameters: caller.parameters,
            prepared: HashMap::new(),
            batch: CallerBatch::default(),
            pinned: None,
            block: TransactionState::Idle,
            skipping: false,
            registration: caller.registration,
            instance,
        })
    }

    /// Serves requests until the connection ends.
    pub async fn run(mut self) {
        let end = loop {
            let frame = match self.next_frame().await {
                Ok(frame) => frame,
                Err(end) => break end,
            };
            // Boxed, so that an idle session does not keep the space of a running request.
            if let Err(end) = Box::pin(self.handle(frame)).await {
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
        log_event!(LogEvent::SessionClosed, "process={}", self.registration.process());
    }

    /// Waits for the next message; an idle session ends when the instance drains.
    async fn next_frame(&mut self) -> Result<RawFrame, SessionEnd> {
        loop {
            if let Some(frame) = self.socket.take_frame()? {
                return Ok(frame);
            }
            let idle = self.pinned.is_none() && self.batch.is_empty();
            let last = if idle { InstancePhase::Draining } else { InstancePhase::Closed };
            tokio::select! {
                biased;
                filled = self.socket.fill() => filled?,
                _ = self.phases.wait_for(|phase| *phase >= last) => {
                    let reason = RefusalReason::Stopping;
                    let refusal = RequestRefusal::new(reason, "the instance is stopping");
                    return Err(SessionEnd::Refused(refusal));
                }
            }
        }
    }

    async fn handle(&mut self, frame: RawFrame) -> Result<(), SessionEnd> {
        match frame.tag {
            frontend::TERMINATE => Err(SessionEnd::Closed),
            frontend::SYNC => {
                if std::mem::take(&mut self.skipping) {
                    self.batch.clear();
                    return self.finish().await;
                }
                let batch = std::mem::take(&mut self.batch);
                self.serve_batch(batch, true).await
            }
            // Messages after an error are ignored up to the sync.
            _ if self.skipping => Ok(()),
            frontend::FLUSH => {
                let batch = std::mem::take(&mut self.batch);
                self.serve_batch(batch, false).await
            }
            frontend::QUERY => {
                let text = frontend::read_query(&frame)?;
                let class = self.instance.statements.classify(text);
                let body = RequestBody::Simple(frame);
                self.serve(CallerRequest { body, class, synced: true }).await
            }
            frontend::PARSE
            | frontend::BIND
            | frontend::DESCRIBE
            | frontend::EXECUTE
            | frontend::CLOSE => self.collect(frame),
            // Copy messages that arrive after a refused copy are to be ignored.
            b'd' | b'c' | b'f' => Ok(()),
            tag => {
                let detail = format!("unexpected message of type {:?}", char::from(tag));
                let refusal = RequestRefusal::new(RefusalReason::ProtocolViolation, detail);
                Err(SessionEnd::Refused(refusal))
            }
        }
    }

    /// Adds a message to the extended exchange under way.
    fn collect(&mut self, frame: RawFrame) -> Result<(), SessionEnd> {
        if self.batch.bytes() + frame.bytes.len() > BATCH_LIMIT_BYTES {
            let detail = format!("an exchange may have {BATCH_LIMIT_BYTES} bytes before its sync");
            let refusal = RequestRefusal::new(RefusalReason::MessageTooLarge, detail);
            return Err(SessionEnd::Refused(refusal));
        }
        let statements = &self.instance.statements;
        match BatchMessage::read(frame, statements, &mut self.prepared)? {
            Ok(message) => self.batch.push(message),
            Err(missing) => {
                // What came before is dropped unsent; the caller sees one error and a sync.
                self.batch.clear();
                self.skipping = true;
                let detail = format!("prepared statement {missing:?} does not exist");
                backend::put_error(&mut self.output, "26000", &detail);
                if self.pinned.is_some() {
                    self.lose_transaction();
                }
            }
        }
        Ok(())
    }

    async fn serve_batch(&mut self, batch: CallerBatch, synced: bool) -> Result<(), SessionEnd> {
        if batch.is_empty() && self.pinned.as_ref().is_none_or(|pinned| !pinned.unfinished) {
            return if synced { self.finish().await } else { self.flush().await };
        }
        let class = batch.class();
        let body = RequestBody::Batch(batch);
        self.serve(CallerRequest { body, class, synced }).await
    }

    /// Ends an exchange towards the caller: token if it moved, transaction state, flush.
    async fn finish(&mut self) -> Result<(), SessionEnd> {
        if std::mem::take(&mut self.positions_moved) {
            let token = self.instance.tokens.encode(&self.positions);
            backend::put_parameter_status(&mut self.output, SESSION_TOKEN, &token);
        }
        backend::put_ready_for_query(&mut self.output, self.block);
        self.flush().await
    }

    async fn flush(&mut self) -> Result<(), SessionEnd> {
        let output = std::mem::take(&mut self.output);
        if !output.is_empty() {
            self.socket.write(&output).await?;
        }
        Ok(())
    }

    /// Gives up the pinned connection, which rolls its transaction back.
    fn lose_transaction(&mut self) {
        if let Some(pinned) = self.pinned.take() {
            drop(pinned);
            self.block = TransactionState::Failed;
        }
    }

    /// Tells the caller that its request was refused.
    async fn refuse(&mut self, refusal: RequestRefusal, synced: bool) -> Result<(), SessionEnd> {
        self.instance.counters.record_refusal(refusal.reason);
        log_event!(
            LogEvent::RequestRefused,
            "reason={} process={}",
            refusal.reason.label(),
            self.registration.process()
        );
        backend::put_refusal(&mut self.output, &refusal, false);
        if synced {
            return self.finish().await;
        }
        self.skipping = true;
        self.flush().await
    }
}
