//! Connections between instances: discovery, pings, status updates and requests.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use coord::placement::{OwnerCandidate, order_owners};
use coord::validation::HeartbeatOutcome;
use telemetry::event::LogEvent;
use telemetry::log_event;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use crate::instance::{EngineTypes, GatewayInstance};
use crate::message::{DocumentValidation, InstanceStatus, PeerReply, PeerRequest, decode, millis};
use crate::peer_link::{OutputQueue, PING_TIMEOUT, PeerLink, StatusPublisher, close_link};
use crate::record::InstanceRecord;

/// Bounds the opening of a connection to a peer instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay between attempts to connect to a peer.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(250);
/// Interval of the ping loop; peers with calls in flight are pinged every time.
const PING_INTERVAL: Duration = Duration::from_millis(200);
/// Time without a response after which a peer without calls in flight is pinged.
const IDLE_PING_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time without a request after which an inbound connection is closed and its transactions are
/// rolled back.
const INBOUND_IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time after which the link to an unreachable peer is removed.
const UNREACHABLE_PEER_TTL: Duration = Duration::from_secs(20);
/// Free space reserved before each read, in bytes.
const READ_CHUNK_BYTES: usize = 8_192;

/// Table of the links to all known peer instances.
#[derive(Debug)]
pub struct PeerTable {
    own: InstanceRecord,
    links: RefCell<HashMap<String, Rc<PeerLink>>>,
}

impl PeerTable {
    /// Creates a table without links.
    pub fn new(own: InstanceRecord) -> Self {
        Self { own, links: RefCell::default() }
    }

    /// Returns the link to a peer by its name.
    pub fn link(&self, name: &str) -> Option<Rc<PeerLink>> {
        self.links.borrow().get(name).cloned()
    }

    /// Returns the links to all reachable peers.
    pub fn live(&self) -> Vec<Rc<PeerLink>> {
        self.links.borrow().values().filter(|link| link.is_live()).cloned().collect()
    }

    /// Returns the number of known instances, including this one and unreachable ones.
    pub fn known_count(&self) -> usize {
        self.links.borrow().len() + 1
    }

    /// Returns the names of reachable instances that are not leaving.
    ///
    /// This instance is included unless it is `leaving` and others remain.
    pub fn active_names(&self, leaving: bool) -> Vec<String> {
        let links = self.links.borrow();
        let active = links.values().filter(|link| link.is_live() && !link.status.borrow().leaving);
        let mut names: Vec<String> = active.map(|link| link.record.name.clone()).collect();
        if !leaving || names.is_empty() {
            names.push(self.own.name.clone());
        }
        names
    }

    /// Returns the candidate owners of an endpoint's connections, best first.
    pub fn ordered_owners(&self, endpoint: &str, zone: &str, leaving: bool) -> Vec<String> {
        let names = self.active_names(leaving);
        let links = self.links.borrow();
        let zone_of = |name: &str| links.get(name).map_or(&self.own.zone, |link| &link.record.zone);
        let candidates: Vec<OwnerCandidate<'_>> = names
            .iter()
            .map(|name| OwnerCandidate { name, same_zone: zone_of(name) == zone })
            .collect();
        order_owners(endpoint, &candidates).into_iter().map(str::to_owned).collect()
    }
}

impl<E: EngineTypes> GatewayInstance<E> {
    /// Returns the candidate owners of an endpoint's connections, best first.
    ///
    /// Instances that report the endpoint as unreachable come last, so that all instances agree on
    /// another owner.
    pub fn connection_owners(&self, endpoint: &str) -> Vec<String> {
        let directory = self.directory.borrow();
        let zone = directory.endpoint(endpoint).map_or("", |entry| entry.record.zone.as_str());
        let mut owners = self.peers.ordered_owners(endpoint, zone, self.is_leaving());
        owners.sort_by_key(|name| {
            if name == self.name() {
                return self.pools.unreachable_since(endpoint).is_some();
            }
            let link = self.peers.link(name);
            link.is_some_and(|link| {
                link.status.borrow().unreachable_endpoints.iter().any(|name| name == endpoint)
            })
        });
        owners
    }

    /// Opens a link to a discovered instance, or replaces it if the registration changed.
    pub fn connect_peer(self: &Rc<Self>, record: InstanceRecord) {
        if record.name == self.name() {
            return;
        }
        let existing = self.peers.link(&record.name);
        if existing.as_ref().is_some_and(|link| link.record == record) {
            return;
        }
        if let Some(link) = existing {
            link.superseded.set(true);
            close_link(&link);
        }
        let link = Rc::new(PeerLink::new(record, self.now()));
        self.peers.links.borrow_mut().insert(link.record.name.clone(), link.clone());
        let instance = self.clone();
        tokio::task::spawn_local(async move { instance.maintain_link(link).await });
    }

    /// Keeps a link connected until it is replaced or its peer is unreachable for too long.
    async fn maintain_link(self: Rc<Self>, link: Rc<PeerLink>) {
        while !link.superseded.get() {
            let opened = timeout(CONNECT_TIMEOUT, TcpStream::connect(link.record.address)).await;
            if let Ok(Ok(stream)) = opened {
                self.run_link(&link, stream).await;
            }
            let now = self.now();
            let lost_at = link.unreachable_since.get().unwrap_or(now);
            if now.saturating_duration_since(lost_at) > UNREACHABLE_PEER_TTL {
                break;
            }
            sleep(RECONNECT_BACKOFF).await;
        }
        if !link.superseded.get() {
            self.peers.links.borrow_mut().remove(&link.record.name);
            log_event!(LogEvent::PeerExpired, "instance={}", link.record.name);
        }
    }

    async fn run_link(&self, link: &Rc<PeerLink>, stream: TcpStream) {
        // Without this option the connection works, only with higher latency.
        let _ = stream.set_nodelay(true);
        let (reader, writer) = stream.into_split();
        let output = Rc::new(OutputQueue::default());
        output.push(&PeerRequest::Hello(self.settings.record.clone()));
        link.last_response_at.set(None);
        link.status_version.set(0);
        link.unanswered_since.set(None);
        *link.open_output.borrow_mut() = Some(output.clone());
        tokio::select! {
            () = output.drain(writer) => {}
            () = self.read_link(link, &output, reader) => {}
        }
        *link.open_output.borrow_mut() = None;
        close_link(link);
        if link.unreachable_since.get().is_none() {
            link.unreachable_since.set(Some(self.now()));
            log_event!(LogEvent::PeerLost, "instance={}", link.record.name);
        }
    }

    /// Pings the peers, and closes connections whose ping times out.
    ///
    /// Peers with calls in flight are pinged at every interval, others only when idle for longer:
    /// among many instances, most pairs have no traffic.
    pub async fn ping_peers(self: Rc<Self>) {
        loop {
            sleep(PING_INTERVAL).await;
            let now = self.now();
            let needs_validation =
                self.max_validation_age().is_some_and(|limit| self.validation_is_older(limit / 2));
            let links: Vec<Rc<PeerLink>> = self.peers.links.borrow().values().cloned().collect();
            for link in links {
                let Some(output) = link.open_output.borrow().clone() else {
                    continue;
                };
                let older = |at: Option<Instant>, limit: Duration| {
                    at.is_some_and(|at| now.saturating_duration_since(at) > limit)
                };
                if older(link.unanswered_since.get(), PING_TIMEOUT) {
                    output.close();
                    continue;
                }
                let idle = link.last_response_at.get().is_none()
                    || older(link.last_response_at.get(), IDLE_PING_INTERVAL);
                if idle || needs_validation || link.has_pending_calls() {
                    let ping_id = link.new_call_id();
                    output.push(&PeerRequest::Ping {
                        ping_id,
                        known_version: link.status_version.get(),
                    });
                    // Only the answer to the recorded ping is accepted. Recording each newer ping
                    // would discard all answers that take longer than the ping interval.
                    if link
                        .validation_ping
                        .get()
                        .is_none_or(|(_, at)| older(Some(at), IDLE_PING_INTERVAL))
                    {
                        link.validation_ping.set(Some((ping_id, now)));
                    }
                    link.unanswered_since.set(link.unanswered_since.get().or(Some(now)));
                }
            }
        }
    }

    async fn read_link(
        &self,
        link: &PeerLink,
        output: &Rc<OutputQueue>,
        mut reader: OwnedReadHalf,
    ) {
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
                        self.record_response(link, output);
                        if let PeerReply::Pong { ping_id, validation: Some(validation), .. } =
                            &reply
                        {
                            self.record_validation(link, *ping_id, *validation);
                        }
                        link.handle_reply(reply);
                    }
                    Ok(None) => break,
                    Err(error) => {
                        let name = &link.record.name;
                        log_event!(LogEvent::PeerLost, "instance={name} cause=\"{error}\"");
                        return;
                    }
                }
            }
            let status = link.status.borrow();
            self.record_leaders(&status);
        }
    }

    fn record_response(&self, link: &PeerLink, output: &Rc<OutputQueue>) {
        link.last_response_at.set(Some(self.now()));
        link.unanswered_since.set(None);
        if link.unreachable_since.take().is_some() {
            *link.live_output.borrow_mut() = Some(output.clone());
            log_event!(LogEvent::PeerFound, "instance={}", link.record.name);
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

    fn record_leaders(&self, status: &InstanceStatus) {
        let mut directory = self.directory.borrow_mut();
        for (service, endpoint, term) in &status.leaders {
            if directory.record_leader(service, endpoint, *term) {
                log_event!(
                    LogEvent::PrimaryChanged,
                    "service={service} endpoint={endpoint} term={term} source=peer"
                );
            }
        }
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
                    sleep(RECONNECT_BACKOFF).await;
                }
            }
        }
    }

    async fn serve_peer(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (reader, writer) = stream.into_split();
        let output = Rc::new(OutputQueue::default());
        let origin = self.pools.register_origin();
        let publisher = StatusPublisher::default();
        tokio::select! {
            () = output.drain(writer) => {}
            () = self.read_peer(origin, &output, &publisher, reader) => {}
            () = self.push_status(&output, &publisher) => {}
        }
        output.close();
        self.unregister_origin(origin);
    }

    async fn read_peer(
        self: &Rc<Self>,
        origin: u64,
        output: &Rc<OutputQueue>,
        publisher: &StatusPublisher,
        mut reader: OwnedReadHalf,
    ) {
        let mut input = BytesMut::new();
        loop {
            input.reserve(READ_CHUNK_BYTES);
            // The peer pings regularly; without a ping its transactions must not stay open.
            match timeout(INBOUND_IDLE_TIMEOUT, reader.read_buf(&mut input)).await {
                Ok(Ok(0) | Err(_)) | Err(_) => return,
                Ok(Ok(_)) => {}
            }
            loop {
                let request = match decode::<PeerRequest>(&mut input) {
                    Ok(Some(request)) => request,
                    Ok(None) => break,
                    Err(error) => {
                        log_event!(LogEvent::PeerLost, "cause=\"{error}\"");
                        return;
                    }
                };
                match request {
                    PeerRequest::Ping { ping_id, known_version } => {
                        publisher.refresh(self.status());
                        publisher.publish(
                            output,
                            ping_id,
                            known_version,
                            self.document_validation(),
                        );
                    }
                    other => self.handle_request(origin, output, other),
                }
            }
        }
    }

    /// Sends the status when it changes in a way that peers must learn without a ping.
    async fn push_status(&self, output: &OutputQueue, publisher: &StatusPublisher) {
        loop {
            self.status_changed.notified().await;
            let previous_version = publisher.version.get();
            if publisher.refresh(self.status()) {
                publisher.publish(output, 0, previous_version, None);
            }
        }
    }

    fn handle_request(
        self: &Rc<Self>,
        origin: u64,
        output: &Rc<OutputQueue>,
        request: PeerRequest,
    ) {
        let (instance, output) = (self.clone(), output.clone());
        match request {
            PeerRequest::Hello(record) => self.connect_peer(record),
            // Answered by `read_peer`, which has the publisher of the status.
            PeerRequest::Ping { .. } => {}
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
            PeerRequest::Rows { table, rows } => self.merge_rows(table, rows),
            PeerRequest::Table { call_id, table } => {
                let mut tables = self.tables.borrow_mut();
                let cache = tables.table(table);
                let (rows, version) = (cache.rows(), cache.version());
                output.push(&PeerReply::Table { call_id, rows, version });
            }
        }
    }
}
