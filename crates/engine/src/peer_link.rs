//! Link to a peer instance: its outgoing connection and the calls in flight on it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use coord::membership::{InstanceKey, InstanceRecord};
use state::position::LogPosition;
use state::store_version::{DocumentVersion, StoreVersion};
use tokio::sync::{Notify, oneshot};
use tokio::time::timeout;

use crate::interface::WatchedTable;
use crate::message::{
    AdmissionDecision, AdmissionRequest, ExecuteCall, ExecuteOutcome, ExecuteReply, KeptDocument,
    NotSentReason, PeerReply, PeerRequest, TransferPart,
};
use crate::output_queue::OutputQueue;

/// Bounds the wait for the answer to a ping. A peer that exceeds it is disconnected.
pub(crate) const PING_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a newer ping replaces an unanswered one for the validation of the document.
const EVIDENCE_PING_TTL: Duration = Duration::from_millis(1_000);
/// Free space reserved before each read, in bytes.
pub(crate) const READ_CHUNK_BYTES: usize = 8_192;
/// Time without a byte from the peer after which a part of a table is given up.
const PART_STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Bounds the wait for one part of a table, whatever else the peer sends.
const MAX_PART_WAIT: Duration = Duration::from_secs(4);
/// Interval at which the wait for a part checks for progress.
const PART_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Senders that pass answers to the waiting calls of one kind, by call identifier.
type ReplySenders<T> = HashMap<u32, oneshot::Sender<T>>;

/// Calls in flight.
#[derive(Debug, Default)]
pub(crate) struct PendingCalls {
    pub(crate) execute: ReplySenders<ExecuteReply>,
    pub(crate) admission: ReplySenders<AdmissionDecision>,
    pub(crate) probe: ReplySenders<bool>,
    pub(crate) acknowledged: ReplySenders<Option<LogPosition>>,
    pub(crate) document: ReplySenders<Option<Box<KeptDocument>>>,
    pub(crate) part: ReplySenders<TransferPart>,
}

/// Keeps the connection of a link open while no calls are in flight.
#[derive(Clone, Debug)]
pub struct LinkLease {
    _count: Rc<()>,
}

/// Transaction of a call in flight, which is rolled back on drop unless the call was answered: the peer
/// would keep its connection pinned.
struct PendingTransaction<'a> {
    link: &'a PeerLink,
    transaction_id: Option<u32>,
}

impl Drop for PendingTransaction<'_> {
    fn drop(&mut self) {
        if let Some(transaction_id) = self.transaction_id {
            self.link.release(transaction_id);
        }
    }
}

/// Link to a peer instance, whose connection is opened when it is needed.
#[derive(Debug)]
pub struct PeerLink {
    /// Registration of the peer.
    pub record: InstanceRecord,
    /// Key of the peer in the membership table.
    pub(crate) key: InstanceKey,
    /// Output of the connection that is open or being opened.
    pub(crate) output: RefCell<Option<Rc<OutputQueue>>>,
    pub(crate) pending: RefCell<PendingCalls>,
    /// Next identifier of a call or ping.
    pub(crate) next_call_id: Cell<u32>,
    /// The transport connection is established.
    pub(crate) is_connected: Cell<bool>,
    pub(crate) last_response_at: Cell<Option<Instant>>,
    /// Time at which any byte last arrived; a long message shows that the peer is alive before it is
    /// complete.
    pub(crate) last_byte_at: Cell<Option<Instant>>,
    /// Notified when the peer responds, and when the connection is lost.
    pub(crate) responded: Notify,
    /// Time at which the link was last asked for.
    pub(crate) last_used_at: Cell<Instant>,
    /// Time of the last ping on the open connection.
    pub(crate) last_ping_at: Cell<Option<Instant>>,
    /// Time of the oldest unanswered ping.
    pub(crate) unanswered_since: Cell<Option<Instant>>,
    /// Identifier and time of the ping whose answer is evidence about the tables.
    pub(crate) evidence_ping: Cell<Option<(u32, Instant)>>,
    /// This instance has subscribed to the views of the peer.
    pub(crate) is_subscription: Cell<bool>,
    /// Versions of the peer's table caches, as far as is known.
    pub(crate) table_versions: Cell<[StoreVersion; 2]>,
    /// Document that the peer has in force, as far as is known.
    pub(crate) document_version: Cell<DocumentVersion>,
    /// Connections to the peer fail; when to try again, and the delay after the next failure.
    pub(crate) retry: Cell<Option<(Instant, Duration)>>,
    /// The connection is closed because nothing uses it.
    pub(crate) is_closed_idle: Cell<bool>,
    leases: Rc<()>,
}

impl PeerLink {
    pub(crate) fn new(key: InstanceKey, record: InstanceRecord, now: Instant) -> Self {
        Self {
            record,
            key,
            output: RefCell::default(),
            pending: RefCell::default(),
            next_call_id: Cell::new(1),
            is_connected: Cell::new(false),
            last_response_at: Cell::new(None),
            last_byte_at: Cell::new(None),
            responded: Notify::new(),
            last_used_at: Cell::new(now),
            last_ping_at: Cell::new(None),
            unanswered_since: Cell::new(None),
            evidence_ping: Cell::new(None),
            is_subscription: Cell::new(false),
            table_versions: Cell::default(),
            document_version: Cell::default(),
            retry: Cell::new(None),
            is_closed_idle: Cell::new(false),
            leases: Rc::default(),
        }
    }

    /// Keeps the connection open until the lease is dropped.
    pub fn lease(&self) -> LinkLease {
        LinkLease { _count: self.leases.clone() }
    }

    /// Returns whether open transactions need the connection.
    pub(crate) fn is_leased(&self) -> bool {
        Rc::strong_count(&self.leases) > 1
    }

    /// Returns whether a connection is open or being opened.
    pub(crate) fn is_open(&self) -> bool {
        self.output.borrow().as_ref().is_some_and(|output| !output.is_closed())
    }

    /// Returns whether any calls are in flight.
    pub(crate) fn has_pending_calls(&self) -> bool {
        let pending = self.pending.borrow();
        !pending.execute.is_empty()
            || !pending.admission.is_empty()
            || !pending.probe.is_empty()
            || !pending.acknowledged.is_empty()
            || !pending.document.is_empty()
            || !pending.part.is_empty()
    }

    /// Records the version of one of the peer's table caches.
    pub(crate) fn set_table_version(&self, index: usize, version: StoreVersion) {
        let mut versions = self.table_versions.get();
        versions[index] = version;
        self.table_versions.set(versions);
    }

    /// Returns a new identifier for a call or ping.
    pub(crate) fn new_call_id(&self) -> u32 {
        let call_id = self.next_call_id.get();
        self.next_call_id.set(call_id.wrapping_add(1));
        call_id
    }

    /// Sends a ping. Its answer is evidence about the tables.
    pub(crate) fn send_ping(&self, now: Instant) {
        let ping_id = self.new_call_id();
        self.send(&PeerRequest::Ping { ping_id });
        self.last_ping_at.set(Some(now));
        // Only the answer to the recorded ping is accepted. Recording each newer ping would discard
        // all answers that take longer than the ping interval.
        let expired = |at: Instant| now.saturating_duration_since(at) > EVIDENCE_PING_TTL;
        if self.evidence_ping.get().is_none_or(|(_, at)| expired(at)) {
            self.evidence_ping.set(Some((ping_id, now)));
        }
        self.unanswered_since.set(self.unanswered_since.get().or(Some(now)));
    }

    /// Runs statements through the peer, which owns the endpoint's connections.
    pub async fn execute(&self, body: ExecuteCall) -> ExecuteReply {
        if !self.is_open() {
            return no_owner_reply();
        }
        let answer_timeout =
            Duration::from_millis(u64::from(body.answer_timeout_ms)) + PING_TIMEOUT;
        let transaction_id = body.keep_pinned.then_some(body.transaction_id);
        let mut pending_transaction = PendingTransaction { link: self, transaction_id };
        let request = |call_id| PeerRequest::Execute { call_id, body: Box::new(body) };
        let reply = self.send_call(|pending| &mut pending.execute, answer_timeout, request).await;
        let Some(reply) = reply else {
            return ExecuteReply::without_owner(ExecuteOutcome::InDoubt);
        };
        pending_transaction.transaction_id = None;
        reply
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
        request: AdmissionRequest,
        answer_timeout: Duration,
    ) -> Option<AdmissionDecision> {
        let message = |call_id| PeerRequest::Admit { call_id, request };
        self.send_call(|pending| &mut pending.admission, answer_timeout, message).await
    }

    /// Asks whether the peer reaches an endpoint.
    ///
    /// Returns `None` without an answer within `answer_timeout`.
    pub async fn probe(&self, endpoint: &str, answer_timeout: Duration) -> Option<bool> {
        let request = |call_id| PeerRequest::Probe { call_id, endpoint: endpoint.to_owned() };
        self.send_call(|pending| &mut pending.probe, answer_timeout, request).await
    }

    /// Asks for the position of an acknowledged commit of a service.
    ///
    /// Returns `None` without an answer within `answer_timeout`, or if the peer knows none.
    pub async fn find_acknowledged(
        &self,
        service: &str,
        answer_timeout: Duration,
    ) -> Option<LogPosition> {
        let request =
            |call_id| PeerRequest::FindAcknowledged { call_id, service: service.to_owned() };
        self.send_call(|pending| &mut pending.acknowledged, answer_timeout, request).await?
    }

    /// Requests the document that the peer has in force.
    ///
    /// Returns `None` without an answer within `answer_timeout`, or if the peer has none.
    pub async fn fetch_document(&self, answer_timeout: Duration) -> Option<Box<KeptDocument>> {
        let request = |call_id| PeerRequest::FetchDocument { call_id };
        self.send_call(|pending| &mut pending.document, answer_timeout, request).await?
    }

    /// Requests a part of the peer's changes of a table after the version `since`.
    ///
    /// `resume` is the transfer to go on with and the number of its bytes that were received. Returns
    /// `None` if the peer stops sending before the part is complete; `now` is the source of the time.
    pub async fn fetch_part(
        &self,
        table: WatchedTable,
        since: StoreVersion,
        resume: Option<(u64, u32)>,
        now: impl Fn() -> Instant,
    ) -> Option<TransferPart> {
        let call_id = self.new_call_id();
        let (sender, mut receiver) = oneshot::channel();
        self.pending.borrow_mut().part.insert(call_id, sender);
        self.send(&PeerRequest::Fetch { call_id, table, since, resume });
        let sent_at = now();
        let part = loop {
            if let Ok(answer) = timeout(PART_CHECK_INTERVAL, &mut receiver).await {
                break answer.ok();
            }
            let age = |at: Instant| now().saturating_duration_since(at);
            let progress_at = self.last_byte_at.get().map_or(sent_at, |at| at.max(sent_at));
            if age(progress_at) > PART_STALL_TIMEOUT || age(sent_at) > MAX_PART_WAIT {
                break None;
            }
        };
        self.pending.borrow_mut().part.remove(&call_id);
        part
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

    /// Sends a request, or drops it if no connection is open or being opened.
    pub(crate) fn send(&self, request: &PeerRequest) {
        if let Some(output) = &*self.output.borrow() {
            output.push(request);
        }
    }

    /// Completes the call that a reply answers; other replies are ignored.
    pub(crate) fn complete_call(&self, reply: PeerReply) {
        let mut pending = self.pending.borrow_mut();
        match reply {
            PeerReply::Execute { call_id, body } => {
                deliver(&mut pending.execute, call_id, *body);
            }
            PeerReply::Admit { call_id, decision } => {
                deliver(&mut pending.admission, call_id, decision);
            }
            PeerReply::Document { call_id, document } => {
                deliver(&mut pending.document, call_id, document);
            }
            PeerReply::Probe { call_id, reached } => {
                deliver(&mut pending.probe, call_id, reached);
            }
            PeerReply::Acknowledged { call_id, position } => {
                deliver(&mut pending.acknowledged, call_id, position);
            }
            PeerReply::Part { call_id, part } => deliver(&mut pending.part, call_id, part),
            PeerReply::Pong { .. }
            | PeerReply::Leaving(_)
            | PeerReply::Unlisted(_)
            | PeerReply::View(_)
            | PeerReply::Change { .. }
            | PeerReply::Offer { .. } => {}
        }
    }

    /// Closes the connection and ends the calls in flight.
    ///
    /// Calls on a connection that was never established were not sent, and are answered so.
    pub(crate) fn close(&self) {
        if let Some(output) = self.output.borrow_mut().take() {
            output.close();
        }
        let pending = std::mem::take(&mut *self.pending.borrow_mut());
        if !self.is_connected.replace(false) {
            for sender in pending.execute.into_values() {
                // The receiver is dropped if the call timed out.
                let _ = sender.send(no_owner_reply());
            }
        }
        self.last_ping_at.set(None);
        self.unanswered_since.set(None);
        self.last_response_at.set(None);
        self.last_byte_at.set(None);
        self.responded.notify_waiters();
    }
}

/// Completes a call with its answer.
fn deliver<T>(senders: &mut ReplySenders<T>, call_id: u32, content: T) {
    if let Some(sender) = senders.remove(&call_id) {
        // The receiver is dropped if the call timed out.
        let _ = sender.send(content);
    }
}

/// Returns the reply to a call that was not sent to any owner.
pub(crate) fn no_owner_reply() -> ExecuteReply {
    let outcome = ExecuteOutcome::NotSent { reason: NotSentReason::NoOwner, retry_ms: 0 };
    ExecuteReply::without_owner(outcome)
}
