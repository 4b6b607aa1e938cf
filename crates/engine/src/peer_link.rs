//! Connection to another instance, and the calls that wait on it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use coord::urgency::UrgencyLevel;
use telemetry::event::LogEvent;
use telemetry::log_event;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::{Notify, oneshot};
use tokio::time::timeout;

use crate::link::WatchedTable;
use crate::message::{
    CountAnswer, DocumentProof, ExecuteCall, ExecuteOutcome, ExecuteReply, HoldReason,
    InstanceStatus, PeerReply, PeerRequest, encode, millis,
};
use crate::record::InstanceRecord;
use crate::tables::StoredRow;

/// Time without an answer to a ping after which another instance counts as lost.
pub(crate) const PING_TIMEOUT: Duration = Duration::from_millis(500);
/// Bytes waiting for a connection above which it counts as stuck.
const MAX_OUTPUT_BYTES: usize = 8 << 20;

/// Bytes that a connection's writer has still to send.
#[derive(Debug, Default)]
pub(crate) struct OutputQueue {
    pub(crate) bytes: RefCell<Vec<u8>>,
    pub(crate) data_ready: Notify,
    pub(crate) closed: Cell<bool>,
}

impl OutputQueue {
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

    pub(crate) fn close(&self) {
        self.closed.set(true);
        self.data_ready.notify_one();
    }

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

/// Status as told on one connection.
#[derive(Debug, Default)]
pub(crate) struct StatusPublisher {
    pub(crate) published: RefCell<InstanceStatus>,
    pub(crate) version: Cell<u32>,
}

impl StatusPublisher {
    /// Takes the present status; tells whether it has changed.
    pub(crate) fn refresh(&self, status: InstanceStatus) -> bool {
        let changed = self.version.get() == 0 || *self.published.borrow() != status;
        if changed {
            self.version.set(self.version.get() + 1);
            *self.published.borrow_mut() = status;
        }
        changed
    }

    /// Answers a ping, or tells the status without one; with the status if the other side lacks it.
    pub(crate) fn publish(
        &self,
        output: &OutputQueue,
        number: u32,
        known: u32,
        proof: Option<DocumentProof>,
    ) {
        let version = self.version.get();
        let status = (known != version).then(|| Box::new(self.published.borrow().clone()));
        output.push(&PeerReply::Pong { number, proof, version, status });
    }
}

/// Who waits for the answers to calls of one kind, by the number of the call.
type ReplySenders<T> = HashMap<u32, oneshot::Sender<T>>;

/// Calls that wait for an answer.
#[derive(Debug, Default)]
pub(crate) struct PendingCalls {
    pub(crate) execute: ReplySenders<ExecuteReply>,
    pub(crate) admission: ReplySenders<CountAnswer>,
    pub(crate) probe: ReplySenders<bool>,
    pub(crate) table: ReplySenders<(Vec<StoredRow>, u64)>,
}

/// Connection that this instance opened to another one.
#[derive(Debug)]
pub struct PeerLink {
    /// The other instance.
    pub record: InstanceRecord,
    pub(crate) output: RefCell<Option<Rc<OutputQueue>>>,
    pub(crate) pending: RefCell<PendingCalls>,
    pub(crate) next_call: Cell<u32>,
    /// Open connection, whether the other instance has answered on it or not.
    pub(crate) open_output: RefCell<Option<Rc<OutputQueue>>>,
    pub(crate) last_response_at: Cell<Option<Instant>>,
    /// Time of the first ping that was not answered.
    pub(crate) unanswered_since: Cell<Option<Instant>>,
    /// Number and time of the ping whose answer may carry a proof.
    pub(crate) validation_ping: Cell<Option<(u32, Instant)>>,
    pub(crate) unreachable_since: Cell<Option<Instant>>,
    pub(crate) status_version: Cell<u32>,
    pub(crate) status: RefCell<InstanceStatus>,
    pub(crate) superseded: Cell<bool>,
}

impl PeerLink {
    pub(crate) fn new(record: InstanceRecord, now: Instant) -> Self {
        Self {
            record,
            output: RefCell::default(),
            pending: RefCell::default(),
            next_call: Cell::new(1),
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

    /// Tells whether the other instance answers.
    pub fn is_live(&self) -> bool {
        self.unreachable_since.get().is_none()
    }

    /// Returns what the other instance told last.
    pub fn status(&self) -> InstanceStatus {
        self.status.borrow().clone()
    }

    pub(crate) fn has_pending_calls(&self) -> bool {
        let pending = self.pending.borrow();
        !pending.execute.is_empty() || !pending.admission.is_empty()
    }

    pub(crate) fn next_call_number(&self) -> u32 {
        let call = self.next_call.get();
        self.next_call.set(call.wrapping_add(1));
        call
    }

    /// Runs statements at the other instance.
    pub async fn execute(&self, body: ExecuteCall) -> ExecuteReply {
        if self.output.borrow().is_none() {
            return no_owner_reply();
        }
        let answer_timeout = Duration::from_millis(u64::from(body.answer_within_ms)) + PING_TIMEOUT;
        let request = |call| PeerRequest::Execute { call, body: Box::new(body) };
        let reply = self.send_call(|pending| &mut pending.execute, answer_timeout, request).await;
        let lost = ExecuteReply { outcome: ExecuteOutcome::Lost, queue_ms: 0, mark: None };
        reply.unwrap_or(lost)
    }

    /// Ends a transaction whose connection the other instance holds.
    pub fn release(&self, transaction_id: u32) {
        self.send(&PeerRequest::Release { channel: transaction_id });
    }

    /// Asks whether an operation of a team may start; none without an answer in time.
    pub async fn request_admission(
        &self,
        team: &str,
        priority: UrgencyLevel,
        max_wait: Duration,
        answer_timeout: Duration,
    ) -> Option<CountAnswer> {
        let (team, patience_ms) = (team.to_owned(), millis(max_wait));
        let request = |call| PeerRequest::Count { call, team, level: priority, patience_ms };
        self.send_call(|pending| &mut pending.admission, answer_timeout, request).await
    }

    /// Asks whether the other instance reaches an endpoint; none without an answer in time.
    pub async fn probe(&self, endpoint: &str, answer_timeout: Duration) -> Option<bool> {
        let request = |call| PeerRequest::Probe { call, endpoint: endpoint.to_owned() };
        self.send_call(|pending| &mut pending.probe, answer_timeout, request).await
    }

    /// Fetches the other instance's copy of a table; none without an answer in time.
    pub async fn fetch_table(
        &self,
        table: WatchedTable,
        answer_timeout: Duration,
    ) -> Option<(Vec<StoredRow>, u64)> {
        let request = |call| PeerRequest::Table { call, table };
        self.send_call(|pending| &mut pending.table, answer_timeout, request).await
    }

    /// Sends a request under a new number and waits for its answer; none without one in time.
    async fn send_call<T>(
        &self,
        senders: fn(&mut PendingCalls) -> &mut ReplySenders<T>,
        answer_timeout: Duration,
        request: impl FnOnce(u32) -> PeerRequest,
    ) -> Option<T> {
        let call = self.next_call_number();
        let (sender, receiver) = oneshot::channel();
        senders(&mut self.pending.borrow_mut()).insert(call, sender);
        self.send(&request(call));
        let answer = timeout(answer_timeout, receiver).await;
        senders(&mut self.pending.borrow_mut()).remove(&call);
        answer.ok()?.ok()
    }

    /// Sends a request that brings no answer, or drops it if the other instance is not connected.
    pub(crate) fn send(&self, request: &PeerRequest) {
        if let Some(output) = &*self.output.borrow() {
            output.push(request);
        }
    }

    pub(crate) fn handle_reply(&self, reply: PeerReply) {
        let mut pending = self.pending.borrow_mut();
        match reply {
            PeerReply::Pong { version, status, .. } => {
                if let Some(status) = status {
                    self.status_version.set(version);
                    *self.status.borrow_mut() = *status;
                }
            }
            PeerReply::Execute { call, body } => {
                deliver(&mut pending.execute, call, *body);
            }
            PeerReply::Count { call, answer: counted } => {
                deliver(&mut pending.admission, call, counted);
            }
            PeerReply::Probe { call, reached } => {
                deliver(&mut pending.probe, call, reached);
            }
            PeerReply::Table { call, rows, version } => {
                deliver(&mut pending.table, call, (rows, version));
            }
        }
    }
}

/// Hands an answer to whoever waits for it.
fn deliver<T>(senders: &mut ReplySenders<T>, call: u32, content: T) {
    if let Some(sender) = senders.remove(&call) {
        // A caller that no longer waits has dropped its receiver; the answer is of no use then.
        let _ = sender.send(content);
    }
}

fn no_owner_reply() -> ExecuteReply {
    let outcome = ExecuteOutcome::NotSent { reason: HoldReason::NoHolder, retry_ms: 0 };
    ExecuteReply { outcome, queue_ms: 0, mark: None }
}

/// Ends a connection; whoever waits on it learns that the answer is lost.
pub(crate) fn close_link(link: &PeerLink) {
    if let Some(output) = link.output.borrow_mut().take() {
        output.close();
    }
    *link.pending.borrow_mut() = PendingCalls::default();
}
