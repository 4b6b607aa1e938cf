//! Connections between instances: links to the peers that are needed, and the calls of peers.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use coord::membership::{InstanceKey, MembershipTable};
use coord::validation::HeartbeatOutcome;
use slotmap::{SecondaryMap, SlotMap};
use telemetry::event::LogEvent;
use telemetry::log_event;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::instance::{EngineTypes, GatewayInstance};
use crate::message::{DocumentValidation, PeerReply, PeerRequest, decode, millis};
use crate::peer_link::{OutputQueue, PING_TIMEOUT, PeerLink};
use crate::record::InstanceRecord;
use crate::subscription::{Subscriber, SubscriberKey, SubscriptionFeed};

/// Bounds the opening of a connection to a peer instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Shortest delay between attempts to connect to an unreachable peer.
const MIN_RECONNECT_BACKOFF: Duration = Duration::from_millis(250);
/// Longest delay between attempts to connect to an unreachable peer.
const MAX_RECONNECT_BACKOFF: Duration = Duration::from_secs(2);
/// Interval of the ping loop; peers with calls in flight are pinged every time.
const PING_INTERVAL: Duration = Duration::from_millis(200);
/// Time without a response after which an observer is pinged.
const SUBSCRIPTION_PING_INTERVAL: Duration = Duration::from_millis(600);
/// Bounds the wait for a ping's answer of an observer, which serves many instances.
const SUBSCRIPTION_PING_TIMEOUT: Duration = Duration::from_millis(700);
/// Time without a response after which a peer that runs an open transaction is pinged, or any peer
/// before it gets a call that must not be sent in vain.
const IDLE_PING_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time after which an unused connection is closed.
const LINK_IDLE_TIMEOUT: Duration = Duration::from_secs(6);
/// Time without a message after which the subscription of a peer ends.
const SUBSCRIBER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time without a message after which an inbound connection with open transactions is closed, and
/// they are rolled back.
const TRANSACTION_IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time without a message after which any inbound connection is closed.
const INBOUND_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Free space reserved before each read, in bytes.
const READ_CHUNK_BYTES: usize = 8_192;
/// Connection owners that are tried for one call, as long as none has sent it to the endpoint.
const MAX_CONNECTION_OWNERS: usize = 3;
/// Candidates that are asked for the whole fleet's decision before an instance decides locally.
const MAX_FLEET_OWNERS: usize = 2;
/// Most owners that are kept in the cache.
const MAX_CACHED_OWNERS: usize = 4_096;

/// Instances that own something, best first.
pub type OwnerNames = Rc<[String]>;

/// Owners as of one generation of the membership table.
#[derive(Debug, Default)]
struct OwnerCache {
    generation: u64,
    connections: HashMap<String, OwnerNames>,
    fleet: HashMap<String, OwnerNames>,
}

/// Known instances, links to them and their subscriptions.
#[derive(Debug)]
pub struct PeerTable {
    pub(crate) membership: RefCell<MembershipTable>,
    /// Notified when the membership table has changes to publish or act upon.
    pub(crate) changed: Notify,
    /// Notified when subscriptions may be missing: an observer was lost or instances were read.
    pub(crate) subscriptions_due: Notify,
    /// Notified when an observer has tables that this instance has not loaded yet.
    pub(crate) tables_offered: Notify,
    /// The registered instances were read at least once.
    pub(crate) is_discovered: Cell<bool>,
    pub(crate) links: RefCell<SecondaryMap<InstanceKey, Rc<PeerLink>>>,
    pub(crate) subscribers: RefCell<SlotMap<SubscriberKey, Subscriber>>,
    pub(crate) feed: RefCell<SubscriptionFeed>,
    owners: RefCell<OwnerCache>,
}

impl PeerTable {
    /// Creates a table that knows only the own instance.
    pub fn new(own: InstanceRecord, now: Instant) -> Self {
        Self {
            membership: RefCell::new(MembershipTable::new(own, now)),
            changed: Notify::new(),
            subscriptions_due: Notify::new(),
            tables_offered: Notify::new(),
            is_discovered: Cell::new(false),
            links: RefCell::default(),
            subscribers: RefCell::default(),
            feed: RefCell::default(),
            owners: RefCell::default(),
        }
    }

    /// Returns the number of live instances, this one included.
    pub fn live_count(&self) -> usize {
        self.membership.borrow().live_count()
    }

    /// Returns the numbers of live and of known instances, this one included.
    pub fn counts(&self) -> (usize, usize) {
        let membership = self.membership.borrow();
        (membership.live_count(), membership.known_count())
    }

    /// Returns the number of connections to peers that are open or being opened.
    pub fn open_link_count(&self) -> usize {
        self.links.borrow().values().filter(|link| link.is_open()).count()
    }

    /// Returns the number of peers that subscribe to this instance.
    pub fn subscriber_count(&self) -> usize {
        self.subscribers.borrow().len()
    }

    /// Returns the link to a peer if it was ever opened.
    pub fn link_by_name(&self, name: &str) -> Option<Rc<PeerLink>> {
        let key = self.membership.borrow().key(name)?;
        self.links.borrow().get(key).cloned()
    }

    /// Changes the membership table, and notifies those who act upon changes.
    pub(crate) fn update<T>(&self, change: impl FnOnce(&mut MembershipTable) -> T) -> T {
        let mut membership = self.membership.borrow_mut();
        let generation = membership.generation();
        let result = change(&mut membership);
        if membership.generation() != generation || membership.has_changes() {
            self.changed.notify_one();
        }
        result
    }

    /// Returns the cached names, or computes them with `rank` for the current membership.
    fn cached_owners(
        &self,
        caches: fn(&mut OwnerCache) -> &mut HashMap<String, OwnerNames>,
        subject: &str,
        rank: impl FnOnce(&MembershipTable) -> Vec<InstanceKey>,
    ) -> OwnerNames {
        let membership = self.membership.borrow();
        let mut cache = self.owners.borrow_mut();
        if cache.generation != membership.generation() {
            *cache = OwnerCache { generation: membership.generation(), ..OwnerCache::default() };
        }
        let names = caches(&mut cache);
        if let Some(owners) = names.get(subject) {
            return owners.clone();
        }
        let keys = rank(&membership).into_iter();
        let records = keys.filter_map(|key| membership.record(key));
        let owners: OwnerNames = records.map(|record| record.name.clone()).collect();
        if names.len() < MAX_CACHED_OWNERS {
            names.insert(subject.to_owned(), owners.clone());
        }
        owners
    }
}

impl<E: EngineTypes> GatewayInstance<E> {
    /// Returns the first candidate owners of an endpoint's connections, best first.
    ///
    /// Instances that report the endpoint as unreachable come last, so that all instances agree on
    /// another owner.
    pub fn connection_owners(&self, endpoint: &str) -> OwnerNames {
        let directory = self.directory.borrow();
        let zone = directory.endpoint(endpoint).map_or("", |entry| entry.record.zone.as_str());
        self.peers.cached_owners(
            |cache| &mut cache.connections,
            endpoint,
            |table| table.connection_owners(endpoint, zone, MAX_CONNECTION_OWNERS),
        )
    }

    /// Returns the first candidates to decide about `subject`, such as a team's quota, for the whole
    /// fleet.
    pub fn fleet_owners(&self, subject: &str) -> OwnerNames {
        self.peers.cached_owners(
            |cache| &mut cache.fleet,
            subject,
            |table| table.fleet_owners(subject, MAX_FLEET_OWNERS),
        )
    }

    /// Adds a discovered instance, or replaces the record of a restarted one.
    pub fn add_peer(&self, record: &InstanceRecord) {
        let now = self.now();
        self.peers.update(|table| table.add(record, now));
    }

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
            self.end_connection(link);
        }
        let output = Rc::new(OutputQueue::default());
        output.push(&PeerRequest::Hello(self.settings.record.clone()));
        link.is_closed_idle.set(false);
        *link.output.borrow_mut() = Some(output.clone());
        let (instance, link) = (self.clone(), link.clone());
        tokio::task::spawn_local(async move {
            instance.run_link(&link, &output).await;
            let is_current =
                link.output.borrow().as_ref().is_some_and(|open| Rc::ptr_eq(open, &output));
            if is_current {
                instance.end_connection(&link);
            }
        });
    }

    async fn run_link(self: &Rc<Self>, link: &Rc<PeerLink>, output: &Rc<OutputQueue>) {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(link.record.address)).await;
        let Ok(Ok(stream)) = connected else {
            return;
        };
        // Without this option the connection works, only with higher latency.
        let _ = stream.set_nodelay(true);
        link.is_connected.set(true);
        if link.retry.get().is_some() {
            link.send_ping(self.now());
        }
        let (reader, writer) = stream.into_split();
        tokio::select! {
            () = output.drain(writer) => {}
            () = self.read_link(link, reader) => {}
        }
    }

    /// Closes a connection. Unless nothing used it, the peer counts as unreachable from here until
    /// it responds on a new one.
    fn end_connection(&self, link: &PeerLink) {
        link.close();
        let now = self.now();
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
            log_event!(LogEvent::PeerLost, "instance={}", link.record.name);
        }
        self.peers.update(|table| table.set_unreachable(link.key, true));
    }

    /// Pings peers, closes connections whose ping times out, and those that nothing uses.
    pub async fn ping_peers(self: Rc<Self>) {
        loop {
            self.update_reachable_fraction();
            sleep(PING_INTERVAL).await;
            let now = self.now();
            let needs_validation =
                self.max_validation_age().is_some_and(|limit| self.validation_is_older(limit / 2));
            let links: Vec<Rc<PeerLink>> = {
                let links = self.peers.links.borrow();
                links.values().filter(|link| link.is_connected.get()).cloned().collect()
            };
            for link in links {
                self.check_link(&link, needs_validation, now);
            }
            self.refresh_status();
        }
    }

    fn check_link(&self, link: &PeerLink, needs_validation: bool, now: Instant) {
        let older = |at: Option<Instant>, limit: Duration| {
            at.is_some_and(|at| now.saturating_duration_since(at) > limit)
        };
        let is_subscription = link.is_subscription.get();
        let ping_timeout = if is_subscription { SUBSCRIPTION_PING_TIMEOUT } else { PING_TIMEOUT };
        if older(link.unanswered_since.get(), ping_timeout) {
            self.end_connection(link);
            return;
        }
        let (is_leased, has_calls) = (link.is_leased(), link.has_pending_calls());
        let is_used = is_subscription || is_leased || has_calls;
        if !is_used && older(Some(link.last_used_at.get()), LINK_IDLE_TIMEOUT) {
            link.is_closed_idle.set(true);
            self.end_connection(link);
            return;
        }
        let silent = |limit| {
            link.last_response_at.get().is_none() || older(link.last_response_at.get(), limit)
        };
        if has_calls
            || (is_subscription && (needs_validation || silent(SUBSCRIPTION_PING_INTERVAL)))
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

    async fn read_link(self: &Rc<Self>, link: &Rc<PeerLink>, mut reader: OwnedReadHalf) {
        let mut input = BytesMut::new();
        loop {
            input.reserve(READ_CHUNK_BYTES);
            match reader.read_buf(&mut input).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
            loop {
                match decode::<PeerReply>(&mut input) {
                    Ok(Some(reply)) => {
                        self.record_response(link);
                        self.handle_reply(link, reply);
                    }
                    Ok(None) => break,
                    Err(error) => {
                        let name = &link.record.name;
                        log_event!(LogEvent::PeerLost, "instance={name} cause=\"{error}\"");
                        return;
                    }
                }
            }
        }
    }

    fn handle_reply(self: &Rc<Self>, link: &PeerLink, reply: PeerReply) {
        match reply {
            PeerReply::Pong { ping_id, validation: Some(validation) } => {
                self.record_validation(link, ping_id, validation);
            }
            PeerReply::View(update) => self.receive_view(link, *update),
            PeerReply::Rows { table, after, rows } => self.receive_rows(link, table, after, rows),
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

    /// Records the document validation of a peer.
    ///
    /// Its age counts from the time the ping was sent, so that the delay of the answer cannot make
    /// it look newer.
    fn record_validation(&self, link: &PeerLink, ping_id: u32, validation: DocumentValidation) {
        let Some((_, sent_at)) = link.validation_ping.get().filter(|(sent, _)| *sent == ping_id)
        else {
            return;
        };
        link.validation_ping.set(None);
        let [version, _] = self.tables.borrow().versions();
        let mut tracker = self.validation.borrow_mut();
        tracker.adopt(version);
        let outcome = HeartbeatOutcome::Answered {
            version: validation.version,
            validation_age: Some(Duration::from_millis(validation.age_ms.into())),
            store_down: false,
        };
        tracker.record_peer(ping_id.into(), sent_at, outcome);
    }

    /// Returns the validation of the own document for peers.
    fn document_validation(&self) -> Option<DocumentValidation> {
        self.settings.revocation_bound?;
        let tracker = self.validation.borrow();
        let age = tracker.validation_age(self.now())?;
        Some(DocumentValidation { version: tracker.version(), age_ms: millis(age) + 1 })
    }

    /// Accepts connections from peers.
    pub async fn accept_peers(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let instance = self.clone();
                    tokio::task::spawn_local(async move { instance.serve_peer(stream).await });
                }
                Err(error) => {
                    log_event!(LogEvent::PeerLost, "cause=\"accept failed: {error}\"");
                    sleep(MIN_RECONNECT_BACKOFF).await;
                }
            }
        }
    }

    async fn serve_peer(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (reader, writer) = stream.into_split();
        let output = Rc::new(OutputQueue::default());
        let connection = InboundConnection {
            origin: self.pools.register_origin(),
            output: output.clone(),
            peer: RefCell::default(),
            subscriber: Cell::new(None),
        };
        tokio::select! {
            () = output.drain(writer) => {}
            () = self.read_peer(&connection, reader) => {}
        }
        output.close();
        self.unsubscribe_peer(&connection);
        self.unregister_origin(connection.origin);
    }

    async fn read_peer(self: &Rc<Self>, connection: &InboundConnection, mut reader: OwnedReadHalf) {
        let mut input = BytesMut::new();
        let mut last_message_at = self.now();
        loop {
            input.reserve(READ_CHUNK_BYTES);
            let check_interval = match connection.subscriber.get() {
                Some(_) => SUBSCRIBER_TIMEOUT,
                None => TRANSACTION_IDLE_TIMEOUT,
            };
            match timeout(check_interval, reader.read_buf(&mut input)).await {
                Ok(Ok(0) | Err(_)) => return,
                Ok(Ok(_)) => last_message_at = self.now(),
                Err(_) => {
                    let silence = self.now().saturating_duration_since(last_message_at);
                    if silence >= self.max_silence(connection) {
                        return;
                    }
                    continue;
                }
            }
            loop {
                match decode::<PeerRequest>(&mut input) {
                    Ok(Some(request)) => self.handle_request(connection, request),
                    Ok(None) => break,
                    Err(error) => {
                        log_event!(LogEvent::PeerLost, "cause=\"{error}\"");
                        return;
                    }
                }
            }
        }
    }

    /// Returns the time without a message after which an inbound connection is closed.
    fn max_silence(&self, connection: &InboundConnection) -> Duration {
        if connection.subscriber.get().is_some() {
            SUBSCRIBER_TIMEOUT
        } else if self.pools.has_pinned_by(connection.origin) {
            TRANSACTION_IDLE_TIMEOUT
        } else {
            INBOUND_IDLE_TIMEOUT
        }
    }

    fn handle_request(self: &Rc<Self>, connection: &InboundConnection, request: PeerRequest) {
        let (instance, output) = (self.clone(), connection.output.clone());
        let origin = connection.origin;
        match request {
            PeerRequest::Hello(record) => {
                self.add_peer(&record);
                *connection.peer.borrow_mut() = Some(record);
            }
            PeerRequest::Ping { ping_id } => {
                let validation = self.document_validation();
                output.push(&PeerReply::Pong { ping_id, validation });
            }
            PeerRequest::Subscribe => self.subscribe_peer(connection),
            PeerRequest::Unsubscribe => self.unsubscribe_peer(connection),
            PeerRequest::Report(report) => self.receive_report(connection, *report),
            PeerRequest::Execute { call_id, body } => {
                tokio::task::spawn_local(async move {
                    let body = Box::new(instance.execute_locally(origin, *body).await);
                    output.push(&PeerReply::Execute { call_id, body });
                });
            }
            PeerRequest::Release { transaction_id } => self.release_locally(origin, transaction_id),
            PeerRequest::Admit { call_id, team, priority, max_wait_ms } => {
                let max_wait = Duration::from_millis(max_wait_ms.into());
                let answer = self.admit_locally(&team, priority, max_wait);
                output.push(&PeerReply::Admit { call_id, decision: answer });
            }
            PeerRequest::Probe { call_id, endpoint } => {
                tokio::task::spawn_local(async move {
                    let reached = instance.probe_member(&endpoint).await.is_some();
                    output.push(&PeerReply::Probe { call_id, reached });
                });
            }
            PeerRequest::Rows { table, after, rows } => self.relay_rows(table, after, rows),
            PeerRequest::Table { call_id, table } => {
                let mut tables = self.tables.borrow_mut();
                let cache = tables.table(table);
                let (rows, version) = (cache.rows(), cache.version());
                output.push(&PeerReply::Table { call_id, rows, version });
            }
        }
    }
}

/// Connection that a peer opened.
#[derive(Debug)]
pub(crate) struct InboundConnection {
    /// Origin of the calls on the connection.
    origin: u64,
    pub(crate) output: Rc<OutputQueue>,
    /// Registration of the peer, once it has introduced itself.
    pub(crate) peer: RefCell<Option<InstanceRecord>>,
    /// Subscription of the peer.
    pub(crate) subscriber: Cell<Option<SubscriberKey>>,
}
