//! Opens, pings and closes the links to peer instances.

use std::rc::Rc;
use std::time::{Duration, Instant};

use coord::membership::{InstanceKey, ViewScope};
use coord::table_age::RefreshScope;
use coord::validation::HeartbeatOutcome;
use metrics::counter;
use telemetry::event::LogEvent;
use telemetry::{log_event, meter};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::{sleep, timeout};

use crate::frame::FrameDecoder;
use crate::instance::{EngineTypes, GatewayInstance};
use crate::interface::WatchedTable;
use crate::message::{PeerReply, PeerRequest, TableEvidence};
use crate::output_queue::OutputQueue;
use crate::peer_link::{PING_TIMEOUT, PeerLink, READ_CHUNK_BYTES};

/// Bounds the opening of a connection to a peer instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Shortest delay between attempts to connect to an unreachable peer.
const MIN_RECONNECT_BACKOFF: Duration = Duration::from_millis(250);
/// Longest delay between attempts to connect to an unreachable peer.
const MAX_RECONNECT_BACKOFF: Duration = Duration::from_secs(2);
/// Interval of the ping loop; peers with calls in flight are pinged every time.
const PING_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between pings to an observer.
///
/// They also tell the observer that the subscriber is alive, so they do not depend on what the
/// observer sends.
const SUBSCRIPTION_PING_INTERVAL: Duration = Duration::from_millis(600);
/// Bounds the wait for a ping's answer of an observer, which serves many instances.
const SUBSCRIPTION_PING_TIMEOUT: Duration = Duration::from_millis(700);
/// Time without a response after which a peer that runs an open transaction is pinged, or any peer
/// before it gets a call that must not be sent in vain.
const IDLE_PING_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time after which an unused connection is closed.
const LINK_IDLE_TIMEOUT: Duration = Duration::from_secs(6);

/// Reason why the connection of a link ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LinkEnd {
    /// The connection was not established in time or was refused.
    ConnectFailed,
    /// The peer closed or reset the connection.
    ClosedByPeer,
    /// A ping was not answered in time.
    PingTimeout,
    /// A message of the peer could not be decoded.
    Malformed,
    /// Nothing used the connection, or another one replaced it.
    Unused,
}

impl LinkEnd {
    /// Returns the label of the reason for logs and metrics.
    fn label(self) -> &'static str {
        match self {
            Self::ConnectFailed => "connect_failed",
            Self::ClosedByPeer => "closed_by_peer",
            Self::PingTimeout => "ping_timeout",
            Self::Malformed => "malformed",
            Self::Unused => "unused",
        }
    }
}

impl<E: EngineTypes> GatewayInstance<E> {
    /// Returns the link to a peer, and opens its connection if necessary.
    ///
    /// Returns `None` if the peer is unknown or cannot be reached.
    pub fn open_link(self: &Rc<Self>, name: &str) -> Option<Rc<PeerLink>> {
        let key = self.peers.membership.borrow().key(name)?;
        self.open_link_by_key(key)
    }

    /// Does the same as [`Self::open_link`], for a peer's key.
    pub(crate) fn open_link_by_key(self: &Rc<Self>, key: InstanceKey) -> Option<Rc<PeerLink>> {
        let link = self.current_link(key)?;
        link.last_used_at.set(self.now());
        if !link.is_open() {
            if link.retry.get().is_some() {
                return None;
            }
            self.connect_link(&link);
        }
        Some(link)
    }

    /// Returns the link to the current process of a peer; closes that to an earlier one.
    pub(crate) fn current_link(&self, key: InstanceKey) -> Option<Rc<PeerLink>> {
        let membership = self.peers.membership.borrow();
        let record = membership.record(key).filter(|_| key != membership.own_key())?;
        let mut links = self.peers.links.borrow_mut();
        if let Some(link) = links.get(key) {
            if link.record.incarnation == record.incarnation {
                return Some(link.clone());
            }
            link.is_closed_idle.set(true);
            link.close();
        }
        let link = Rc::new(PeerLink::new(key, record.clone(), self.now()));
        links.insert(key, link.clone());
        Some(link)
    }

    /// Starts to open the connection of a link. Calls may be sent at once.
    pub(crate) fn connect_link(self: &Rc<Self>, link: &Rc<PeerLink>) {
        if link.output.borrow().is_some() {
            self.end_connection(link, LinkEnd::Unused);
        }
        let output = Rc::new(OutputQueue::default());
        output.push(&PeerRequest::Hello(self.settings.record.clone()));
        link.is_closed_idle.set(false);
        *link.output.borrow_mut() = Some(output.clone());
        let (instance, link) = (self.clone(), link.clone());
        tokio::task::spawn_local(async move {
            let end = instance.run_link(&link, &output).await;
            let is_current =
                link.output.borrow().as_ref().is_some_and(|open| Rc::ptr_eq(open, &output));
            if is_current {
                instance.end_connection(&link, end);
            }
        });
    }

    async fn run_link(self: &Rc<Self>, link: &Rc<PeerLink>, output: &Rc<OutputQueue>) -> LinkEnd {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(link.record.address)).await;
        let Ok(Ok(stream)) = connected else {
            return LinkEnd::ConnectFailed;
        };
        // Without this option the connection works, only with higher latency.
        let _ = stream.set_nodelay(true);
        link.is_connected.set(true);
        if link.retry.get().is_some() {
            link.send_ping(self.now());
        }
        let (reader, writer) = stream.into_split();
        tokio::select! {
            () = output.drain(writer) => LinkEnd::ClosedByPeer,
            end = self.read_link(link, reader) => end,
        }
    }

    /// Closes a connection. Unless nothing used it, the peer counts as unreachable from here until
    /// it responds on a new one.
    fn end_connection(&self, link: &PeerLink, end: LinkEnd) {
        let now = self.now();
        let silence = link.last_response_at.get().map(|at| now.saturating_duration_since(at));
        let fetches = link.pending.borrow().part.len();
        let is_subscription = link.is_subscription.get();
        link.close();
        if link.is_subscription.replace(false) {
            self.peers.update(|table| table.observer_lost(link.key, now));
            self.peers.subscriptions_due.notify_one();
        }
        if link.is_closed_idle.get() {
            return;
        }
        let backoff = match link.retry.get() {
            Some((_, backoff)) => (2 * backoff).min(MAX_RECONNECT_BACKOFF),
            None => MIN_RECONNECT_BACKOFF,
        };
        if link.retry.replace(Some((now + backoff, backoff))).is_none() {
            counter!(meter::PEER_LOSSES, "reason" => end.label()).increment(1);
            log_event!(
                LogEvent::PeerLost,
                "instance={} cause={} silence={silence:?} subscribed={is_subscription} \
                 table_fetches={fetches}",
                link.record.name,
                end.label()
            );
        }
        self.peers.update(|table| table.set_unreachable(link.key, true));
    }

    /// Pings peers, closes connections whose ping times out, and those that nothing uses.
    pub async fn ping_peers(self: Rc<Self>) {
        loop {
            self.update_reachable_fraction();
            self.update_member_limits();
            let slept_at = self.now();
            sleep(PING_INTERVAL).await;
            let now = self.now();
            self.record_timer(PING_INTERVAL, now.saturating_duration_since(slept_at));
            let needs_validation =
                self.max_validation_age().is_some_and(|limit| self.validation_is_older(limit / 2));
            let links: Vec<Rc<PeerLink>> = {
                let links = self.peers.links.borrow();
                links.values().filter(|link| link.is_connected.get()).cloned().collect()
            };
            let refresh_scope = self.refresh_scope(now);
            for link in links {
                let needs_ping = needs_validation || self.is_in_scope(&link, refresh_scope);
                self.check_link(&link, needs_ping, now);
            }
            self.refresh_status();
            self.update_document_state();
            self.log_reader_change();
        }
    }

    /// Returns which peers to ask for newer evidence about any table.
    fn refresh_scope(&self, now: Instant) -> RefreshScope {
        let scopes = WatchedTable::ALL.map(|table| {
            let bound = self.table_bound(table);
            self.update_table_age(table, |age| age.refresh_scope(bound, now))
        });
        scopes.into_iter().max().unwrap_or(RefreshScope::Nobody)
    }

    fn is_in_scope(&self, link: &PeerLink, scope: RefreshScope) -> bool {
        let membership = self.peers.membership.borrow();
        match scope {
            RefreshScope::Nobody => false,
            RefreshScope::Reader => membership.zone_reader() == link.key,
            RefreshScope::Observers => membership.scope_of(link.key) == ViewScope::Zone,
        }
    }

    fn check_link(&self, link: &PeerLink, needs_evidence: bool, now: Instant) {
        let older = |at: Option<Instant>, limit: Duration| {
            at.is_some_and(|at| now.saturating_duration_since(at) > limit)
        };
        let is_subscription = link.is_subscription.get();
        let ping_timeout = if is_subscription { SUBSCRIPTION_PING_TIMEOUT } else { PING_TIMEOUT };
        // Bytes of a long message are an answer too: the pong may be behind them.
        let silent_since = link.unanswered_since.get().max(link.last_byte_at.get());
        if link.unanswered_since.get().is_some() && older(silent_since, ping_timeout) {
            self.end_connection(link, LinkEnd::PingTimeout);
            return;
        }
        let (is_leased, has_calls) = (link.is_leased(), link.has_pending_calls());
        let is_used = is_subscription || is_leased || has_calls;
        if !is_used && older(Some(link.last_used_at.get()), LINK_IDLE_TIMEOUT) {
            link.is_closed_idle.set(true);
            self.end_connection(link, LinkEnd::Unused);
            return;
        }
        let silent = |limit| {
            link.last_response_at.get().is_none() || older(link.last_response_at.get(), limit)
        };
        let is_ping_due = link.last_ping_at.get().is_none()
            || older(link.last_ping_at.get(), SUBSCRIPTION_PING_INTERVAL);
        if has_calls
            || (is_subscription && (needs_evidence || is_ping_due))
            || (is_leased && silent(IDLE_PING_INTERVAL))
        {
            link.send_ping(now);
        }
    }

    /// Makes sure that a peer responds before it gets a call that must not be sent in vain.
    ///
    /// The connection may have gone silent, or the peer may be suspended, since it was last used.
    pub(crate) async fn confirm_link(&self, link: &PeerLink) -> bool {
        let responded = || {
            let age = |at| self.now().saturating_duration_since(at);
            link.last_response_at.get().is_some_and(|at| age(at) < IDLE_PING_INTERVAL)
        };
        if responded() {
            return true;
        }
        link.send_ping(self.now());
        let answered = async {
            while link.is_open() && !responded() {
                link.responded.notified().await;
            }
        };
        timeout(CONNECT_TIMEOUT + PING_TIMEOUT, answered).await.is_ok() && responded()
    }

    async fn read_link(self: &Rc<Self>, link: &Rc<PeerLink>, mut reader: OwnedReadHalf) -> LinkEnd {
        let mut decoder = FrameDecoder::default();
        loop {
            decoder.input().reserve(READ_CHUNK_BYTES);
            match reader.read_buf(decoder.input()).await {
                Ok(0) | Err(_) => return LinkEnd::ClosedByPeer,
                Ok(_) => link.last_byte_at.set(Some(self.now())),
            }
            loop {
                match decoder.next_message::<PeerReply>() {
                    Ok(Some(reply)) => {
                        self.record_response(link);
                        self.handle_reply(link, reply);
                    }
                    Ok(None) => break,
                    Err(error) => {
                        let name = &link.record.name;
                        log_event!(LogEvent::PeerLost, "instance={name} cause=\"{error}\"");
                        return LinkEnd::Malformed;
                    }
                }
            }
        }
    }

    fn handle_reply(self: &Rc<Self>, link: &PeerLink, reply: PeerReply) {
        match reply {
            PeerReply::Pong { ping_id, validation, evidence } => {
                self.record_pong(link, ping_id, validation, evidence);
            }
            PeerReply::Leaving(endpoints) => {
                let (mut directory, now) = (self.directory.borrow_mut(), self.now());
                for leaving in &endpoints {
                    directory.record_leaving(leaving, now);
                }
            }
            PeerReply::Unlisted(endpoints) => {
                let (mut directory, now) = (self.directory.borrow_mut(), self.now());
                endpoints.into_iter().for_each(|unlisted| directory.add_unlisted(unlisted, now));
            }
            PeerReply::View(update) => self.receive_view(link, *update),
            PeerReply::Change { table, change } => self.receive_change(link, table, change),
            PeerReply::Offer { table, version } => self.receive_offer(link, table, version),
            other => link.complete_call(other),
        }
    }

    fn record_response(&self, link: &PeerLink) {
        link.last_response_at.set(Some(self.now()));
        link.unanswered_since.set(None);
        link.responded.notify_waiters();
        if link.retry.take().is_some() {
            log_event!(LogEvent::PeerFound, "instance={}", link.record.name);
            self.peers.update(|table| table.set_unreachable(link.key, false));
        }
    }

    /// Records what the answer to a ping says about the peer's tables.
    ///
    /// Its age counts from the time the ping was sent, so that the delay of the answer cannot make
    /// it look newer.
    fn record_pong(
        &self,
        link: &PeerLink,
        ping_id: u32,
        validation: Option<TableEvidence>,
        evidence: [Option<TableEvidence>; WatchedTable::ALL.len()],
    ) {
        let Some((_, sent_at)) = link.evidence_ping.get().filter(|(sent, _)| *sent == ping_id)
        else {
            return;
        };
        link.evidence_ping.set(None);
        if let Some(validation) = validation {
            self.record_validation(ping_id, sent_at, validation);
        }
        for (table, evidence) in WatchedTable::ALL.into_iter().zip(evidence) {
            let Some(evidence) = evidence else {
                continue;
            };
            if let Some(as_of) = sent_at.checked_sub(evidence.age()) {
                self.record_evidence(table, evidence.version, as_of, evidence.answer_time());
            }
        }
    }

    /// Records the document validation of a peer.
    fn record_validation(&self, ping_id: u32, sent_at: Instant, validation: TableEvidence) {
        let [version, _] = self.tables.borrow().versions();
        let mut tracker = self.validation.borrow_mut();
        tracker.adopt(version);
        let outcome = HeartbeatOutcome::Answered {
            version: validation.version,
            validation_age: Some(validation.age()),
            store_down: false,
        };
        tracker.record_peer(ping_id.into(), sent_at, outcome);
    }
}
