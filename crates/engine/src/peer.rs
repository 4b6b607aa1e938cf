//! Connections between instances: calls, signs of life and what instances tell each other.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use coord::placement::{HolderCandidate, order_holders};
use coord::urgency::UrgencyLevel;
use telemetry::event::LogEvent;
use telemetry::log_event;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, oneshot};
use tokio::time::{sleep, timeout};

use crate::link::WatchedTable;
use crate::message::{
    CountAnswer, ExecuteCall, ExecuteOutcome, ExecuteReply, HoldReason, InstanceStatus, PeerReply,
    PeerRequest, decode, encode,
};
use crate::node::{EngineEdge, GatewayNode};
use crate::record::InstanceRecord;
use crate::tables::StoredRow;

/// Time in which a connection to another instance must open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause between attempts to reach another instance.
const RECONNECT_PAUSE: Duration = Duration::from_millis(250);
/// Time between looks at which instances must be asked for a sign of life.
const PING_TICK: Duration = Duration::from_millis(200);
/// Time without a sign of life after which an instance with no call outstanding is asked for one.
const IDLE_PERIOD: Duration = Duration::from_millis(1_000);
/// Time without an answer to a ping after which another instance counts as lost.
const SILENCE_LIMIT: Duration = Duration::from_millis(500);
/// Time without a ping after which the caller's side of a connection counts as gone.
const CALLER_LIMIT: Duration = Duration::from_millis(2_500);
/// Time for which an instance that cannot be reached stays registered.
const MOURNING_TIME: Duration = Duration::from_secs(20);
/// Bytes read at once.
const READ_BYTES: usize = 8_192;
/// Bytes waiting for a connection above which it counts as stuck.
const OUTPUT_LIMIT: usize = 8 << 20;

/// Bytes that a connection's writer has still to send.
#[derive(Debug, Default)]
struct OutputQueue {
    bytes: RefCell<Vec<u8>>,
    filled: Notify,
    closed: Cell<bool>,
}

impl OutputQueue {
    fn push<M: serde::Serialize>(&self, message: &M) {
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

    fn close(&self) {
        self.closed.set(true);
        self.filled.notify_one();
    }

    async fn drain(&self, mut stream: OwnedWriteHalf) {
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
struct StatusTeller {
    told: RefCell<InstanceStatus>,
    version: Cell<u32>,
}

impl StatusTeller {
    /// Takes the present status; tells whether it has changed.
    fn refresh(&self, status: InstanceStatus) -> bool {
        let changed = self.version.get() == 0 || *self.told.borrow() != status;
        if changed {
            self.version.set(self.version.get() + 1);
            *self.told.borrow_mut() = status;
        }
        changed
    }

    /// Sends a sign of life, with the status if the other side does not have it.
    fn tell(&self, output: &OutputQueue, known: u32) {
        let version = self.version.get();
        let status = (known != version).then(|| Box::new(self.told.borrow().clone()));
        output.push(&PeerReply::Pong { version, status });
    }
}

/// Calls that wait for an answer.
#[derive(Debug, Default)]
struct PendingCalls {
    execute: HashMap<u32, oneshot::Sender<ExecuteReply>>,
    count: HashMap<u32, oneshot::Sender<CountAnswer>>,
    probe: HashMap<u32, oneshot::Sender<bool>>,
    table: HashMap<u32, oneshot::Sender<(Vec<StoredRow>, u64)>>,
}

/// Connection that this instance opened to another one.
#[derive(Debug)]
pub struct PeerLink {
    /// The other instance.
    pub record: InstanceRecord,
    output: RefCell<Option<Rc<OutputQueue>>>,
    pending: RefCell<PendingCalls>,
    next_call: Cell<u32>,
    /// Open connection, whether the other instance has answered on it or not.
    connection: RefCell<Option<Rc<OutputQueue>>>,
    heard_at: Cell<Option<Instant>>,
    /// Time of the first ping that was not answered.
    asked_at: Cell<Option<Instant>>,
    lost_at: Cell<Option<Instant>>,
    status_version: Cell<u32>,
    status: RefCell<InstanceStatus>,
    dropped: Cell<bool>,
}

impl PeerLink {
    fn new(record: InstanceRecord, now: Instant) -> Self {
        Self {
            record,
            output: RefCell::default(),
            pending: RefCell::default(),
            next_call: Cell::new(1),
            connection: RefCell::default(),
            heard_at: Cell::new(None),
            asked_at: Cell::new(None),
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

    fn has_calls(&self) -> bool {
        let pending = self.pending.borrow();
        !pending.execute.is_empty() || !pending.count.is_empty()
    }

    fn call_number(&self) -> u32 {
        let call = self.next_call.get();
        self.next_call.set(call.wrapping_add(1));
        call
    }

    /// Runs statements at the other instance.
    pub async fn execute(&self, body: ExecuteCall) -> ExecuteReply {
        let Some(output) = self.output.borrow().clone() else {
            return not_held();
        };
        let limit = Duration::from_millis(u64::from(body.answer_within_ms)) + SILENCE_LIMIT;
        let call = self.call_number();
        let (sender, receiver) = oneshot::channel();
        self.pending.borrow_mut().execute.insert(call, sender);
        output.push(&PeerRequest::Execute { call, body: Box::new(body) });
        let reply = timeout(limit, receiver).await;
        self.pending.borrow_mut().execute.remove(&call);
        match reply {
            Ok(Ok(reply)) => reply,
            Ok(Err(_)) | Err(_) => {
                ExecuteReply { outcome: ExecuteOutcome::Lost, queue_ms: 0, mark: None }
            }
        }
    }

    /// Ends a transaction whose connection the other instance holds.
    pub fn release(&self, channel: u32) {
        if let Some(output) = &*self.output.borrow() {
            output.push(&PeerRequest::Release { channel });
        }
    }

    /// Asks whether an operation of a team may start; none without an answer in time.
    pub async fn count(
        &self,
        team: &str,
        level: UrgencyLevel,
        patience: Duration,
        limit: Duration,
    ) -> Option<CountAnswer> {
        let patience_ms = u32::try_from(patience.as_millis()).unwrap_or(u32::MAX);
        let call = self.call_number();
        let (sender, receiver) = oneshot::channel();
        self.pending.borrow_mut().count.insert(call, sender);
        self.send(&PeerRequest::Count { call, team: team.to_owned(), level, patience_ms });
        let answer = timeout(limit, receiver).await;
        self.pending.borrow_mut().count.remove(&call);
        answer.ok()?.ok()
    }

    /// Asks whether the other instance reaches an endpoint; none without an answer in time.
    pub async fn probe(&self, endpoint: &str, limit: Duration) -> Option<bool> {
        let call = self.call_number();
        let (sender, receiver) = oneshot::channel();
        self.pending.borrow_mut().probe.insert(call, sender);
        self.send(&PeerRequest::Probe { call, endpoint: endpoint.to_owned() });
        let reached = timeout(limit, receiver).await;
        self.pending.borrow_mut().probe.remove(&call);
        reached.ok()?.ok()
    }

    /// Fetches the other instance's copy of a table; none without an answer in time.
    pub async fn table(
        &self,
        table: WatchedTable,
        limit: Duration,
    ) -> Option<(Vec<StoredRow>, u64)> {
        let call = self.call_number();
        let (sender, receiver) = oneshot::channel();
        self.pending.borrow_mut().table.insert(call, sender);
        self.send(&PeerRequest::Table { call, table });
        let answer = timeout(limit, receiver).await;
        self.pending.borrow_mut().table.remove(&call);
        answer.ok()?.ok()
    }

    /// Sends a request that brings no answer, or drops it if the other instance is not connected.
    pub(crate) fn send(&self, request: &PeerRequest) {
        if let Some(output) = &*self.output.borrow() {
            output.push(request);
        }
    }

    fn take_reply(&self, reply: PeerReply) {
        let mut pending = self.pending.borrow_mut();
        // A caller that no longer waits has dropped its receiver; the answer is of no use then.
        match reply {
            PeerReply::Pong { version, status } => {
                if let Some(status) = status {
                    self.status_version.set(version);
                    *self.status.borrow_mut() = *status;
                }
            }
            PeerReply::Execute { call, body } => {
                pending.execute.remove(&call).map(|sender| sender.send(*body).ok());
            }
            PeerReply::Count { call, answer } => {
                pending.count.remove(&call).map(|sender| sender.send(answer).ok());
            }
            PeerReply::Probe { call, reached } => {
                pending.probe.remove(&call).map(|sender| sender.send(reached).ok());
            }
            PeerReply::Table { call, rows, version } => {
                pending.table.remove(&call).map(|sender| sender.send((rows, version)).ok());
            }
        }
    }
}

fn not_held() -> ExecuteReply {
    let outcome = ExecuteOutcome::NotSent { reason: HoldReason::NoHolder, retry_ms: 0 };
    ExecuteReply { outcome, queue_ms: 0, mark: None }
}

/// Other instances.
#[derive(Debug)]
pub struct PeerTable {
    own: InstanceRecord,
    links: RefCell<HashMap<String, Rc<PeerLink>>>,
}

impl PeerTable {
    /// Creates a table without other instances.
    pub fn new(own: InstanceRecord) -> Self {
        Self { own, links: RefCell::default() }
    }

    /// Returns the connection to an instance.
    pub fn link(&self, name: &str) -> Option<Rc<PeerLink>> {
        self.links.borrow().get(name).cloned()
    }

    /// Returns the connections to instances that answer.
    pub fn live(&self) -> Vec<Rc<PeerLink>> {
        self.links.borrow().values().filter(|link| link.is_live()).cloned().collect()
    }

    /// Returns how many instances are known, this one included.
    pub fn registered(&self) -> usize {
        self.links.borrow().len() + 1
    }

    /// Returns the names of the instances that answer and stay, this one included.
    pub fn staying(&self, leaving: bool) -> Vec<String> {
        let links = self.links.borrow();
        let stays = links.values().filter(|link| link.is_live() && !link.status.borrow().leaving);
        let mut names: Vec<String> = stays.map(|link| link.record.name.clone()).collect();
        if !leaving || names.is_empty() {
            names.push(self.own.name.clone());
        }
        names
    }

    /// Returns the instances that may hold an endpoint's connections, the first choice first.
    pub fn holders(&self, endpoint: &str, zone: &str, leaving: bool) -> Vec<String> {
        let names = self.staying(leaving);
        let links = self.links.borrow();
        let zone_of = |name: &str| links.get(name).map_or(&self.own.zone, |link| &link.record.zone);
        let candidates: Vec<HolderCandidate<'_>> = names
            .iter()
            .map(|name| HolderCandidate { name, near: zone_of(name) == zone })
            .collect();
        order_holders(endpoint, &candidates).into_iter().map(str::to_owned).collect()
    }
}

impl<E: EngineEdge> GatewayNode<E> {
    /// Returns the instances that may hold an endpoint's connections, the first choice first.
    ///
    /// Those that cannot reach it come last, so that all instances agree on another one.
    pub fn holders_of(&self, endpoint: &str) -> Vec<String> {
        let directory = self.directory.borrow();
        let zone = directory.endpoint(endpoint).map_or("", |entry| entry.record.zone.as_str());
        let mut holders = self.peers.holders(endpoint, zone, self.is_leaving());
        holders.sort_by_key(|name| {
            if name == self.name() {
                return self.holder.failing_since(endpoint).is_some();
            }
            let link = self.peers.link(name);
            link.is_some_and(|link| {
                link.status.borrow().failing.iter().any(|name| name == endpoint)
            })
        });
        holders
    }

    /// Connects to an instance that was heard of.
    pub fn meet(self: &Rc<Self>, record: InstanceRecord) {
        if record.name == self.name() {
            return;
        }
        let known = self.peers.link(&record.name);
        if known.as_ref().is_some_and(|link| link.record == record) {
            return;
        }
        if let Some(link) = known {
            link.dropped.set(true);
            close_link(&link);
        }
        let link = Rc::new(PeerLink::new(record, self.now()));
        self.peers.links.borrow_mut().insert(link.record.name.clone(), link.clone());
        let node = self.clone();
        tokio::task::spawn_local(async move { node.keep_link(link).await });
    }

    /// Keeps a connection to another instance open until it is gone for good.
    async fn keep_link(self: Rc<Self>, link: Rc<PeerLink>) {
        while !link.dropped.get() {
            let opened = timeout(CONNECT_TIMEOUT, TcpStream::connect(link.record.address)).await;
            if let Ok(Ok(stream)) = opened {
                self.serve_link(&link, stream).await;
            }
            let now = self.now();
            let lost_at = link.lost_at.get().unwrap_or(now);
            if now.saturating_duration_since(lost_at) > MOURNING_TIME {
                break;
            }
            sleep(RECONNECT_PAUSE).await;
        }
        if !link.dropped.get() {
            self.peers.links.borrow_mut().remove(&link.record.name);
            log_event!(LogEvent::PeerForgotten, "instance={}", link.record.name);
        }
    }

    async fn serve_link(&self, link: &Rc<PeerLink>, stream: TcpStream) {
        // A socket without the option still works, only with more delay.
        let _ = stream.set_nodelay(true);
        let (reader, writer) = stream.into_split();
        let output = Rc::new(OutputQueue::default());
        output.push(&PeerRequest::Hello(self.settings.record.clone()));
        link.heard_at.set(None);
        link.status_version.set(0);
        link.asked_at.set(None);
        *link.connection.borrow_mut() = Some(output.clone());
        tokio::select! {
            () = output.drain(writer) => {}
            () = self.read_link(link, &output, reader) => {}
        }
        *link.connection.borrow_mut() = None;
        close_link(link);
        if link.lost_at.get().is_none() {
            link.lost_at.set(Some(self.now()));
            log_event!(LogEvent::PeerLost, "instance={}", link.record.name);
        }
    }

    /// Asks the other instances for signs of life, and closes connections that give none.
    ///
    /// Those with calls outstanding are asked at every tick, the others seldom: with many
    /// instances most of them have nothing to say to each other.
    pub async fn ping_peers(self: Rc<Self>) {
        loop {
            sleep(PING_TICK).await;
            let now = self.now();
            let links: Vec<Rc<PeerLink>> = self.peers.links.borrow().values().cloned().collect();
            for link in links {
                let Some(output) = link.connection.borrow().clone() else {
                    continue;
                };
                let older = |at: Option<Instant>, limit: Duration| {
                    at.is_some_and(|at| now.saturating_duration_since(at) > limit)
                };
                if older(link.asked_at.get(), SILENCE_LIMIT) {
                    output.close();
                    continue;
                }
                let quiet =
                    link.heard_at.get().is_none() || older(link.heard_at.get(), IDLE_PERIOD);
                if quiet || link.has_calls() {
                    output.push(&PeerRequest::Ping { known: link.status_version.get() });
                    link.asked_at.set(link.asked_at.get().or(Some(now)));
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
            input.reserve(READ_BYTES);
            match reader.read_buf(&mut input).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
            loop {
                match decode::<PeerReply>(&mut input) {
                    Ok(Some(reply)) => {
                        self.hear(link, output);
                        link.take_reply(reply);
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
            self.hear_status(&status);
        }
    }

    fn hear(&self, link: &PeerLink, output: &Rc<OutputQueue>) {
        link.heard_at.set(Some(self.now()));
        link.asked_at.set(None);
        if link.lost_at.take().is_some() {
            *link.output.borrow_mut() = Some(output.clone());
            log_event!(LogEvent::PeerFound, "instance={}", link.record.name);
        }
    }

    fn hear_status(&self, status: &InstanceStatus) {
        let mut directory = self.directory.borrow_mut();
        for (service, endpoint, term) in &status.leaders {
            if directory.hear_leader(service, endpoint, *term) {
                log_event!(
                    LogEvent::PrimaryChanged,
                    "service={service} endpoint={endpoint} term={term} source=peer"
                );
            }
        }
    }

    /// Accepts connections of other instances.
    pub async fn accept_peers(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let node = self.clone();
                    tokio::task::spawn_local(async move { node.serve_peer(stream).await });
                }
                Err(error) => {
                    log_event!(LogEvent::PeerLost, "cause=\"accept failed: {error}\"");
                    sleep(RECONNECT_PAUSE).await;
                }
            }
        }
    }

    async fn serve_peer(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (reader, writer) = stream.into_split();
        let output = Rc::new(OutputQueue::default());
        let origin = self.holder.open_origin();
        let teller = StatusTeller::default();
        tokio::select! {
            () = output.drain(writer) => {}
            () = self.read_peer(origin, &output, &teller, reader) => {}
            () = self.announce_status(&output, &teller) => {}
        }
        output.close();
        self.close_origin(origin);
    }

    async fn read_peer(
        self: &Rc<Self>,
        origin: u64,
        output: &Rc<OutputQueue>,
        teller: &StatusTeller,
        mut reader: OwnedReadHalf,
    ) {
        let mut input = BytesMut::new();
        loop {
            input.reserve(READ_BYTES);
            // The other side pings; without a sign of life its transactions must not linger.
            match timeout(CALLER_LIMIT, reader.read_buf(&mut input)).await {
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
                    PeerRequest::Ping { known } => {
                        teller.refresh(self.status());
                        teller.tell(output, known);
                    }
                    other => self.take_request(origin, output, other),
                }
            }
        }
    }

    /// Tells the status as soon as it changes in a way that others must know at once.
    async fn announce_status(&self, output: &OutputQueue, teller: &StatusTeller) {
        loop {
            self.announced.notified().await;
            let known = teller.version.get();
            if teller.refresh(self.status()) {
                teller.tell(output, known);
            }
        }
    }

    fn take_request(self: &Rc<Self>, origin: u64, output: &Rc<OutputQueue>, request: PeerRequest) {
        let (node, output) = (self.clone(), output.clone());
        match request {
            PeerRequest::Hello(record) => self.meet(record),
            PeerRequest::Ping { .. } => {}
            PeerRequest::Execute { call, body } => {
                tokio::task::spawn_local(async move {
                    let body = Box::new(node.hold_execute(origin, *body).await);
                    output.push(&PeerReply::Execute { call, body });
                });
            }
            PeerRequest::Release { channel } => self.hold_release(origin, channel),
            PeerRequest::Count { call, team, level, patience_ms } => {
                let patience = Duration::from_millis(patience_ms.into());
                let answer = self.count_here(&team, level, patience);
                output.push(&PeerReply::Count { call, answer });
            }
            PeerRequest::Probe { call, endpoint } => {
                tokio::task::spawn_local(async move {
                    let reached = node.probe_member(&endpoint).await.is_some();
                    output.push(&PeerReply::Probe { call, reached });
                });
            }
            PeerRequest::Rows { table, rows } => self.take_rows(table, rows),
            PeerRequest::Table { call, table } => {
                let mut tables = self.tables.borrow_mut();
                let copy = tables.table(table);
                let (rows, version) = (copy.rows(), copy.version());
                output.push(&PeerReply::Table { call, rows, version });
            }
        }
    }
}

/// Ends a connection; whoever waits on it learns that the answer is lost.
fn close_link(link: &PeerLink) {
    if let Some(output) = link.output.borrow_mut().take() {
        output.close();
    }
    *link.pending.borrow_mut() = PendingCalls::default();
}
