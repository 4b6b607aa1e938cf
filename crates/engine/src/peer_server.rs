//! Serves the connections that peer instances open.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use coord::quota::LimitShare;
use coord::stop_schedule::StopPhase;
use telemetry::event::LogEvent;
use telemetry::log_event;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use crate::frame::FrameDecoder;
use crate::instance::{EngineTypes, GatewayInstance};
use crate::interface::WatchedTable;
use crate::message::{ExecuteOutcome, ExecuteReply, PeerReply, PeerRequest, TableEvidence};
use crate::output_queue::OutputQueue;
use crate::peer_link::READ_CHUNK_BYTES;
use crate::record::InstanceRecord;
use crate::subscription::SubscriberKey;

/// Pause after a failed accept, which usually means that file descriptors ran out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(250);
/// Time without a message after which the subscription of a peer ends.
const SUBSCRIBER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time without a message after which an inbound connection with open transactions is closed, and
/// they are rolled back.
const TRANSACTION_IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time without a message after which any inbound connection is closed.
const INBOUND_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

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

impl<E: EngineTypes> GatewayInstance<E> {
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
                    sleep(ACCEPT_BACKOFF).await;
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
        let cause = tokio::select! {
            () = output.drain(writer) => "write_failed",
            cause = self.read_peer(&connection, reader) => cause,
        };
        output.close();
        if connection.subscriber.get().is_some() {
            let peer = connection.peer.borrow();
            let name = peer.as_ref().map_or("", |record| record.name.as_str());
            let unsent_bytes = output.queued_bytes();
            log_event!(
                LogEvent::SubscriberLost,
                "instance={name} cause={cause} unsent_bytes={unsent_bytes}"
            );
        }
        self.unsubscribe_peer(&connection);
        self.unregister_origin(connection.origin);
    }

    /// Serves requests until the connection ends; returns the reason for its end.
    async fn read_peer(
        self: &Rc<Self>,
        connection: &InboundConnection,
        mut reader: OwnedReadHalf,
    ) -> &'static str {
        let mut decoder = FrameDecoder::default();
        let mut last_message_at = self.now();
        loop {
            decoder.input().reserve(READ_CHUNK_BYTES);
            let check_interval = match connection.subscriber.get() {
                Some(_) => SUBSCRIBER_TIMEOUT,
                None => TRANSACTION_IDLE_TIMEOUT,
            };
            match timeout(check_interval, reader.read_buf(decoder.input())).await {
                Ok(Ok(0) | Err(_)) => return "closed_by_peer",
                Ok(Ok(_)) => last_message_at = self.now(),
                Err(_) => {
                    let silence = self.now().saturating_duration_since(last_message_at);
                    if silence >= self.max_silence(connection) {
                        return "silent";
                    }
                    continue;
                }
            }
            loop {
                match decoder.next_message::<PeerRequest>() {
                    Ok(Some(request)) => self.handle_request(connection, request),
                    Ok(None) => break,
                    Err(error) => {
                        log_event!(LogEvent::PeerLost, "cause=\"{error}\"");
                        return "malformed";
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
                let evidence = WatchedTable::ALL.map(|table| self.table_evidence(table));
                output.push(&PeerReply::Pong { ping_id, validation, evidence });
                let leaving = self.directory.borrow().leaving_endpoints(self.now());
                if !leaving.is_empty() {
                    output.push(&PeerReply::Leaving(leaving));
                }
            }
            PeerRequest::Subscribe => self.subscribe_peer(connection),
            PeerRequest::Unsubscribe => self.unsubscribe_peer(connection),
            PeerRequest::Report(report) => self.receive_report(connection, *report),
            PeerRequest::Execute { call_id, body } => {
                self.open_sessions.begin_peer_call();
                tokio::task::spawn_local(async move {
                    let reply = tokio::select! {
                        biased;
                        reply = instance.execute_locally(origin, *body) => reply,
                        () = instance.wait_for_stop(StopPhase::Closing) => {
                            ExecuteReply::without_owner(ExecuteOutcome::InDoubt)
                        }
                    };
                    output.push(&PeerReply::Execute { call_id, body: Box::new(reply) });
                    if instance.is_leaving() {
                        output.wait_until_written().await;
                    }
                    instance.open_sessions.end_peer_call();
                });
            }
            PeerRequest::Release { transaction_id } => self.release_locally(origin, transaction_id),
            PeerRequest::Admit { call_id, request } => {
                if request.is_relayed || self.peers.is_fleet_owner(&request.team) {
                    let decision = self.admit_locally(&request, origin);
                    output.push(&PeerReply::Admit { call_id, decision });
                    return;
                }
                tokio::task::spawn_local(async move {
                    let decision = instance.relay_admission(request, origin).await;
                    output.push(&PeerReply::Admit { call_id, decision });
                });
            }
            PeerRequest::ReturnToken { team, bucket_number, priority } => {
                self.take_back_token(&team, LimitShare::Reachable, bucket_number, priority);
            }
            PeerRequest::FetchDocument { call_id } => {
                let document = self.directory.borrow().kept_document().map(Box::new);
                output.push(&PeerReply::Document { call_id, document });
            }
            PeerRequest::Probe { call_id, endpoint } => {
                tokio::task::spawn_local(async move {
                    let reached = instance.probe_member(&endpoint).await.is_some();
                    output.push(&PeerReply::Probe { call_id, reached });
                });
            }
            PeerRequest::FindAcknowledged { call_id, service } => {
                let position = self.directory.borrow().acknowledged(&service);
                output.push(&PeerReply::Acknowledged { call_id, position });
            }
            PeerRequest::Change { table, change } => self.relay_change(table, change),
            PeerRequest::Offer { table, version } => {
                self.receive_relayed_offer(connection, table, version);
            }
            PeerRequest::Fetch { call_id, table, since, resume } => {
                let part = self.serve_fetch(connection, table, since, resume);
                output.push(&PeerReply::Part { call_id, part });
            }
        }
    }

    /// Returns the validation of the own document for peers.
    fn document_validation(&self) -> Option<TableEvidence> {
        self.settings.revocation_bound?;
        let tracker = self.validation.borrow();
        let age = tracker.validation_age(self.now())?;
        Some(TableEvidence::new(tracker.version(), age))
    }

    /// Returns the evidence about the own cache of a table for peers.
    fn table_evidence(&self, table: WatchedTable) -> Option<TableEvidence> {
        let version = self.tables.borrow().versions()[table.index()];
        let (confirmed_at, answer_time) =
            self.update_table_age(table, |age| (age.confirmed_at(), age.answer_time()));
        let age = self.now().saturating_duration_since(confirmed_at?);
        Some(TableEvidence::new(version, age).with_answer_time(answer_time))
    }
}
