//! Link to a peer instance: its outgoing connection and the calls in flight on it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use coord::priority::PriorityLevel;
use telemetry::event::LogEvent;
use telemetry::log_event;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::{Notify, oneshot};
use tokio::time::timeout;

use crate::interface::WatchedTable;
use crate::message::{
    AdmissionDecision, DocumentValidation, ExecuteCall, ExecuteOutcome, ExecuteReply,
    InstanceStatus, NotSentReason, PeerReply, PeerRequest, encode, millis,
};
use crate::record::InstanceRecord;
use crate::tables::StoredRow;

/// Bounds the wait for the answer to a ping. A peer that exceeds it is disconnected.
pub(crate) const PING_TIMEOUT: Duration = Duration::from_millis(500);
/// Queued bytes above which a connection counts as stuck and is closed.
const MAX_OUTPUT_BYTES: usize = 8 << 20;

/// Encoded messages that wait to be written to a connection.
#[derive(Debug, Default)]
pub(crate) struct OutputQueue {
    pub(crate) bytes: RefCell<Vec<u8>>,
    pub(crate) data_ready: Notify,
    pub(crate) closed: Cell<bool>,
}

impl OutputQueue {
    /// Appends a message. Closes the connection if too many bytes are queued.
    pub(crate) fn push<M: serde::Serialize>(&self, message: &M) {
        let mut bytes = self.bytes.borrow_mut();
        if self.closed.get() {
            return;
        }
        if let Err(error) = encode(message, &mut bytes) {
            log_event!(LogEvent::PeerLost, "cause=\"message not sent: {error}\"");
        }
        if bytes.len() > MAX_OUTPUT_BYTES {
            self.closed.set(true);
        }
        self.data_ready.notify_one();
    }

    /// Closes the connection without writing what is queued.
    pub(crate) fn close(&self) {
        self.closed.set(true);
        self.data_ready.notify_one();
    }

    /// Writes queued messages to `stream` until the queue is closed or a write fails.
    pub(crate) async fn drain(&self, mut stream: OwnedWriteHalf) {
        loop {
            let bytes = std::mem::take(&mut *self.bytes.borrow_mut());
            if self.closed.get() {
                return;
            }
            if bytes.is_empty() {
                self.data_ready.notified().await;
            } else if stream.write_all(&bytes).await.is_err() {
                self.closed.set(true);
                return;
            }
        }
    }
}

/// Status as last published on one connection.
#[derive(Debug, Default)]
pub(crate) struct StatusPublisher {
    pub(crate) published: RefCell<InstanceStatus>,
    pub(crate) version: Cell<u32>,
}

impl StatusPublisher {
    /// Sets the current status and returns whether it differs from the last one.
    pub(crate) fn refresh(&self, status: InstanceStatus) -> bool {
        let changed = self.version.get() == 0 || *self.published.borrow() != status;
        if changed {
            self.version.set(self.version.get() + 1);
            *self.published.borrow_mut() = status;
        }
        changed
    }

    /// Sends the answer to ping `ping_id`, or an unsolicited status if `ping_id` is zero.
    ///
    /// The status is left out if the peer already has `known_version`.
    pub(crate) fn publish(
        &self,
        output: &OutputQueue,
        ping_id: u32,
        known_version: u32,
        validation: Option<DocumentValidation>,
    ) {
        let version = self.version.get();
        let status = (known_version != version).then(|| Box::new(self.published.borrow().clone()));
        output.push(&PeerReply::Pong { ping_id, validation, status_version: version, status });
    }
}

/// Senders that pass answers to the waiting calls of one kind, by call identifier.
type ReplySenders<T> = HashMap<u32, oneshot::Sender<T>>;

/// Calls in flight.
#[derive(Debug, Default)]
pub(crate) struct PendingCalls {
    pub(crate) execute: ReplySenders<ExecuteReply>,
    pub(crate) admission: ReplySenders<AdmissionDecision>,
    pub(crate) probe: ReplySenders<bool>,
    pub(crate) table: ReplySenders<(Vec<StoredRow>, u64)>,
}

/// Link to a peer instance, which this instance reconnects when the connection is lost.
#[derive(Debug)]
pub struct PeerLink {
    /// Registration of the peer.
    pub record: InstanceRecord,
    /// Output of the open connection; set once the peer has responded on it.
    pub(crate) live_output: RefCell<Option<Rc<OutputQueue>>>,
    pub(crate) pending: RefCell<PendingCalls>,
    /// Next identifier of a call or ping.
    pub(crate) next_call_id: Cell<u32>,
    /// Output of the open connection, whether the peer has responded on it or not.
    pub(crate) open_output: RefCell<Option<Rc<OutputQueue>>>,
    pub(crate) last_response_at: Cell<Option<Instant>>,
    /// Time of the oldest unanswered ping.
    pub(crate) unanswered_since: Cell<Option<Instant>>,
    /// Identifier and time of the ping whose answer may validate the document.
    pub(crate) validation_ping: Cell<Option<(u32, Instant)>>,
    pub(crate) unreachable_since: Cell<Option<Instant>>,
    /// Version of `status` on the open connection; zero before the first one.
    pub(crate) status_version: Cell<u32>,
    /// Last reported status of the peer.
    pub(crate) status: RefCell<InstanceStatus>,
    /// A newer registration of the peer has replaced this link.
    pub(crate) superseded: Cell<bool>,
}

impl PeerLink {
    pub(crate) fn new(record: InstanceRecord, now: Instant) -> Self {
        Self {
            record,
            live_output: RefCell::default(),
            pending: RefCell::default(),
            next_call_id: Cell::new(1),
            open_output: RefCell::default(),
            last_response_at: Cell::new(None),
            unanswered_since: Cell::new(None),
            validation_ping: Cell::new(None),
            unreachable_since: Cell::new(Some(now)),
            status_version: Cell::new(0),
            status: RefCell::default(),
            superseded: Cell::new(false),
        }
    }

    /// Returns whether the peer responds.
    pub fn is_live(&self) -> bool {
        self.unreachable_since.get().is_none()
    }

    /// Returns the last reported status of the peer.
    pub fn status(&self) -> InstanceStatus {
        self.status.borrow().clone()
    }

    /// Returns whether statements or admission requests are in flight.
    pub(crate) fn has_pending_calls(&self) -> bool {
        let pending = self.pending.borrow();
        !pending.execute.is_empty() || !pending.admission.is_empty()
    }

    /// Returns a new identifier for a call or ping.
    pub(crate) fn new_call_id(&self) -> u32 {
        let call_id = self.next_call_id.get();
        self.next_call_id.set(call_id.wrapping_add(1));
        call_id
    }

    /// Runs statements through the peer, which owns the endpoint's connections.
    pub async fn execute(&self, body: ExecuteCall) -> ExecuteReply {
        if self.live_output.borrow().is_none() {
            return no_owner_reply();
        }
        let answer_timeout =
            Duration::from_millis(u64::from(body.answer_timeout_ms)) + PING_TIMEOUT;
        let request = |call_id| PeerRequest::Execute { call_id, body: Box::new(body) };
        let reply = self.send_call(|pending| &mut pending.execute, answer_timeout, request).await;
        let in_doubt =
            ExecuteReply { outcome: ExecuteOutcome::InDoubt, queue_wait_ms: 0, watermark: None };
        reply.unwrap_or(in_doubt)
    }

    /// Rolls back a transaction whose connection the peer owns.
    pub fn release(&self, transaction_id: u32) {
        self.send(&PeerRequest::Release { transaction_id });
    }

    /// Asks the peer, as quota owner of a team, whether an operation may start.
    ///
    /// Returns `None` without an answer within `answer_timeout`.
    pub async fn request_admission(
        &self,
        team: &str,
        priority: PriorityLevel,
        max_wait: Duration,
        answer_timeout: Duration,
    ) -> Option<AdmissionDecision> {
        let (team, max_wait_ms) = (team.to_owned(), millis(max_wait));
        let request = |call_id| PeerRequest::Admit { call_id, team, priority, max_wait_ms };
        self.send_call(|pending| &mut pending.admission, answer_timeout, request).await
    }

    /// Asks whether the peer reaches an endpoint.
    ///
    /// Returns `None` without an answer within `answer_timeout`.
    pub async fn probe(&self, endpoint: &str, answer_timeout: Duration) -> Option<bool> {
        let request = |call_id| PeerRequest::Probe { call_id, endpoint: endpoint.to_owned() };
        self.send_call(|pending| &mut pending.probe, answer_timeout, request).await
    }

    /// Fetches the peer's cached copy of a table and its version.
    ///
    /// Returns `None` without an answer within `answer_timeout`.
    pub async fn fetch_table(
        &self,
        table: WatchedTable,
        answer_timeout: Duration,
    ) -> Option<(Vec<StoredRow>, u64)> {
        let request = |call_id| PeerRequest::Table { call_id, table };
        self.send_call(|pending| &mut pending.table, answer_timeout, request).await
    }

    /// Sends a request with a new call identifier and waits for the answer up to `answer_timeout`.
    async fn send_call<T>(
        &self,
        senders: fn(&mut PendingCalls) -> &mut ReplySenders<T>,
        answer_timeout: Duration,
        request: impl FnOnce(u32) -> PeerRequest,
    ) -> Option<T> {
        let call_id = self.new_call_id();
        let (sender, receiver) = oneshot::channel();
        senders(&mut self.pending.borrow_mut()).insert(call_id, sender);
        self.send(&request(call_id));
        let answer = timeout(answer_timeout, receiver).await;
        senders(&mut self.pending.borrow_mut()).remove(&call_id);
        answer.ok()?.ok()
    }

    /// Sends a request, or drops it if the peer is not connected.
    pub(crate) fn send(&self, request: &PeerRequest) {
        if let Some(output) = &*self.live_output.borrow() {
            output.push(request);
        }
    }

    /// Handles a message of the peer: stores its status or completes a call.
    pub(crate) fn handle_reply(&self, reply: PeerReply) {
        let mut pending = self.pending.borrow_mut();
        match reply {
            PeerReply::Pong { status_version: version, status, .. } => {
                if let Some(status) = status {
                    self.status_version.set(version);
                    *self.status.borrow_mut() = *status;
                }
            }
            PeerReply::Execute { call_id, body } => {
                deliver(&mut pending.execute, call_id, *body);
            }
            PeerReply::Admit { call_id, decision } => {
                deliver(&mut pending.admission, call_id, decision);
            }
            PeerReply::Probe { call_id, reached } => {
                deliver(&mut pending.probe, call_id, reached);
            }
            PeerReply::Table { call_id, rows, version } => {
                deliver(&mut pending.table, call_id, (rows, version));
            }
        }
    }
}

/// Completes a call with its answer.
fn deliver<T>(senders: &mut ReplySenders<T>, call_id: u32, content: T) {
    if let Some(sender) = senders.remove(&call_id) {
        // The receiver is dropped if the call timed out.
        let _ = sender.send(content);
    }
}

fn no_owner_reply() -> ExecuteReply {
    let outcome = ExecuteOutcome::NotSent { reason: NotSentReason::NoOwner, retry_ms: 0 };
    ExecuteReply { outcome, queue_wait_ms: 0, watermark: None }
}

/// Closes the output of a link and fails its calls in flight.
pub(crate) fn close_link(link: &PeerLink) {
    if let Some(output) = link.live_output.borrow_mut().take() {
        output.close();
    }
    *link.pending.borrow_mut() = PendingCalls::default();
}
