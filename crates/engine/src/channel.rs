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

use crate::interface::WatchedTable;
use crate::message::{
    AdmissionDecision, DocumentValidation, ExecuteCall, ExecuteOutcome, ExecuteReply,
    InstanceStatus, NotSentReason, PeerReply, PeerRequest, encode, millis,
};
use crate::record::InstanceRecord;
use crate::tables::StoredRow;

/// Time without an answer to a ping after which another instance counts as lost.
pub(crate) const SILENCE_LIMIT: Duration = Duration::from_millis(500);
/// Bytes waiting for a connection above which it counts as stuck.
const OUTPUT_LIMIT: usize = 8 << 20;

/// Bytes that a connection's writer has still to send.
#[derive(Debug, Default)]
pub(crate) struct OutputQueue {
    pub(crate) bytes: RefCell<Vec<u8>>,
    pub(crate) filled: Notify,
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
        if bytes.len() > OUTPUT_LIMIT {
            self.closed.set(true);
        }
        self.filled.notify_one();
    }

    pub(crate) fn close(&self) {
        self.closed.set(true);
        self.filled.notify_one();
    }

    pub(crate) async fn drain(&self, mut stream: OwnedWriteHalf) {
        loop {
            let bytes = std::mem::take(&mut *self.bytes.borrow_mut());
            if self.closed.get() {
                return;
            }
            if bytes.is_empty() {
                self.filled.notified().await;
            } else if stream.write_all(&bytes).await.is_err() {
                self.closed.set(true);
                return;
            }
        }
    }
}

/// Status as told on one connection.
#[derive(Debug, Default)]
pub(crate) struct StatusTeller {
    pub(crate) told: RefCell<InstanceStatus>,
    pub(crate) version: Cell<u32>,
}

impl StatusTeller {
    /// Takes the present status; tells whether it has changed.
    pub(crate) fn refresh(&self, status: InstanceStatus) -> bool {
        let changed = self.version.get() == 0 || *self.told.borrow() != status;
        if changed {
            self.version.set(self.version.get() + 1);
            *self.told.borrow_mut() = status;
        }
        changed
    }

    /// Answers a ping, or tells the status without one; with the status if the other side lacks it.
    pub(crate) fn tell(
        &self,
        output: &OutputQueue,
        ping_id: u32,
        known: u32,
        validation: Option<DocumentValidation>,
    ) {
        let version = self.version.get();
        let status = (known != version).then(|| Box::new(self.told.borrow().clone()));
        output.push(&PeerReply::Pong { ping_id, validation, status_version: version, status });
    }
}

/// Who waits for the answers to calls of one kind, by the number of the call.
type CallWaiters<T> = HashMap<u32, oneshot::Sender<T>>;

/// Calls that wait for an answer.
#[derive(Debug, Default)]
pub(crate) struct PendingCalls {
    pub(crate) execute: CallWaiters<ExecuteReply>,
    pub(crate) count: CallWaiters<AdmissionDecision>,
    pub(crate) probe: CallWaiters<bool>,
    pub(crate) table: CallWaiters<(Vec<StoredRow>, u64)>,
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
    pub(crate) connection: RefCell<Option<Rc<OutputQueue>>>,
    pub(crate) heard_at: Cell<Option<Instant>>,
    /// Time of the first ping that was not answered.
    pub(crate) asked_at: Cell<Option<Instant>>,
    /// Number and time of the ping whose answer may carry a proof.
    pub(crate) proof_ping: Cell<Option<(u32, Instant)>>,
    pub(crate) lost_at: Cell<Option<Instant>>,
    pub(crate) status_version: Cell<u32>,
    pub(crate) status: RefCell<InstanceStatus>,
    pub(crate) dropped: Cell<bool>,
}

impl PeerLink {
    pub(crate) fn new(record: InstanceRecord, now: Instant) -> Self {
        Self {
            record,
            output: RefCell::default(),
            pending: RefCell::default(),
            next_call: Cell::new(1),
            connection: RefCell::default(),
            heard_at: Cell::new(None),
            asked_at: Cell::new(None),
            proof_ping: Cell::new(None),
            lost_at: Cell::new(Some(now)),
            status_version: Cell::new(0),
            status: RefCell::default(),
            dropped: Cell::new(false),
        }
    }

    /// Tells whether the other instance answers.
    pub fn is_live(&self) -> bool {
        self.lost_at.get().is_none()
    }

    /// Returns what the other instance told last.
    pub fn status(&self) -> InstanceStatus {
        self.status.borrow().clone()
    }

    pub(crate) fn has_calls(&self) -> bool {
        let pending = self.pending.borrow();
        !pending.execute.is_empty() || !pending.count.is_empty()
    }

    pub(crate) fn call_number(&self) -> u32 {
        let call = self.next_call.get();
        self.next_call.set(call.wrapping_add(1));
        call
    }

    /// Runs statements at the other instance.
    pub async fn execute(&self, body: ExecuteCall) -> ExecuteReply {
        if self.output.borrow().is_none() {
            return not_held();
        }
        let limit = Duration::from_millis(u64::from(body.answer_timeout_ms)) + SILENCE_LIMIT;
        let request = |call| PeerRequest::Execute { call_id: call, body: Box::new(body) };
        let reply = self.ask(|pending| &mut pending.execute, limit, request).await;
        let lost =
            ExecuteReply { outcome: ExecuteOutcome::InDoubt, queue_wait_ms: 0, watermark: None };
        reply.unwrap_or(lost)
    }

    /// Ends a transaction whose connection the other instance holds.
    pub fn release(&self, channel: u32) {
        self.send(&PeerRequest::Release { transaction_id: channel });
    }

    /// Asks whether an operation of a team may start; none without an answer in time.
    pub async fn count(
        &self,
        team: &str,
        priority: UrgencyLevel,
        patience: Duration,
        limit: Duration,
    ) -> Option<AdmissionDecision> {
        let (team, max_wait_ms) = (team.to_owned(), millis(patience));
        let request = |call_id| PeerRequest::Admit { call_id, team, priority, max_wait_ms };
        self.ask(|pending| &mut pending.count, limit, request).await
    }

    /// Asks whether the other instance reaches an endpoint; none without an answer in time.
    pub async fn probe(&self, endpoint: &str, limit: Duration) -> Option<bool> {
        let request = |call| PeerRequest::Probe { call_id: call, endpoint: endpoint.to_owned() };
        self.ask(|pending| &mut pending.probe, limit, request).await
    }

    /// Fetches the other instance's copy of a table; none without an answer in time.
    pub async fn table(
        &self,
        table: WatchedTable,
        limit: Duration,
    ) -> Option<(Vec<StoredRow>, u64)> {
        let request = |call| PeerRequest::Table { call_id: call, table };
        self.ask(|pending| &mut pending.table, limit, request).await
    }

    /// Sends a request under a new number and waits for its answer; none without one in time.
    async fn ask<T>(
        &self,
        waiters: fn(&mut PendingCalls) -> &mut CallWaiters<T>,
        limit: Duration,
        request: impl FnOnce(u32) -> PeerRequest,
    ) -> Option<T> {
        let call = self.call_number();
        let (sender, receiver) = oneshot::channel();
        waiters(&mut self.pending.borrow_mut()).insert(call, sender);
        self.send(&request(call));
        let answer = timeout(limit, receiver).await;
        waiters(&mut self.pending.borrow_mut()).remove(&call);
        answer.ok()?.ok()
    }

    /// Sends a request that brings no answer, or drops it if the other instance is not connected.
    pub(crate) fn send(&self, request: &PeerRequest) {
        if let Some(output) = &*self.output.borrow() {
            output.push(request);
        }
    }

    pub(crate) fn take_reply(&self, reply: PeerReply) {
        let mut pending = self.pending.borrow_mut();
        match reply {
            PeerReply::Pong { status_version: version, status, .. } => {
                if let Some(status) = status {
                    self.status_version.set(version);
                    *self.status.borrow_mut() = *status;
                }
            }
            PeerReply::Execute { call_id, body } => {
                answer(&mut pending.execute, call_id, *body);
            }
            PeerReply::Admit { call_id, decision: counted } => {
                answer(&mut pending.count, call_id, counted);
            }
            PeerReply::Probe { call_id, reached } => {
                answer(&mut pending.probe, call_id, reached);
            }
            PeerReply::Table { call_id, rows, version } => {
                answer(&mut pending.table, call_id, (rows, version));
            }
        }
    }
}

/// Hands an answer to whoever waits for it.
fn answer<T>(waiters: &mut CallWaiters<T>, call: u32, content: T) {
    if let Some(sender) = waiters.remove(&call) {
        // A caller that no longer waits has dropped its receiver; the answer is of no use then.
        let _ = sender.send(content);
    }
}

fn not_held() -> ExecuteReply {
    let outcome = ExecuteOutcome::NotSent { reason: NotSentReason::NoOwner, retry_ms: 0 };
    ExecuteReply { outcome, queue_wait_ms: 0, watermark: None }
}

/// Ends a connection; whoever waits on it learns that the answer is lost.
pub(crate) fn close_link(link: &PeerLink) {
    if let Some(output) = link.output.borrow_mut().take() {
        output.close();
    }
    *link.pending.borrow_mut() = PendingCalls::default();
}
