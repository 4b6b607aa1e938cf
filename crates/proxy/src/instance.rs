//! State that all sessions of one instance share, and the start of its tasks.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use clock::SharedClock;
use coord::validation::ValidationTracker;
use metrics::gauge;
use net::platform::{PlatformClient, PlatformError};
use net::store::{LedgerEpoch, StoredDocument};
use parking_lot::{Mutex, RwLock};
use snafu::{ResultExt as _, Snafu};
use state::catalog::{DatabaseId, DocumentCatalog};
use state::document::Document;
use state::token::TokenCodec;
use telemetry::meter;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;
use wire::statement::StatementCache;

use crate::cancel::CancelRegistry;
use crate::counters::InstanceCounters;
use crate::database::DatabaseHandle;
use crate::ledger::InstanceLedger;
use crate::limiter::TeamLimiter;
use crate::peers::PeerDirectory;
use crate::settings::ProxySettings;
use crate::{
    document, failover, heartbeat, listener, monitor, peer_service, reconciliation, share_transfer,
};

/// Time that an operation on the platform's services may take.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// Errors of starting an instance.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum InstanceError {
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address that was tried.
        address: SocketAddr,
        /// Cause reported by the system.
        source: std::io::Error,
    },
    /// The client of the platform's services cannot be created.
    #[snafu(display("{source}"), context(false))]
    Platform {
        /// Cause reported by the client.
        source: PlatformError,
    },
}

/// How far the instance is on its way to an end.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum InstancePhase {
    /// Serves callers.
    Serving,
    /// Accepts callers until the balancer has noticed that it leaves.
    Leaving,
    /// Finishes what is open.
    Draining,
    /// Closes every connection.
    Closed,
}

/// Database with the tasks that watch it.
struct WatchedDatabase {
    handle: Arc<DatabaseHandle>,
    _tasks: JoinSet<()>,
}

/// Proofs that what the instance acts on is still in force.
#[derive(Debug, Default)]
pub struct InstanceProofs {
    /// Proof of the document's revision.
    pub document: ValidationTracker,
    /// Proof of the ledger's epoch.
    pub epoch: ValidationTracker,
}

/// Epoch as the table service last named it.
#[derive(Debug, Default)]
struct KnownEpoch {
    asked: bool,
    epoch: Option<LedgerEpoch>,
    row: u64,
}

/// Proxy instance.
pub struct ProxyInstance {
    /// Settings the instance was started with.
    pub settings: ProxySettings,
    /// Clock of the instance.
    pub clock: SharedClock,
    /// Platform's services.
    pub platform: PlatformClient,
    /// Classes of statement texts.
    pub statements: StatementCache,
    /// Codec of session tokens.
    pub tokens: TokenCodec,
    /// This instance's part of the teams' limits.
    pub limiter: TeamLimiter,
    /// Ledger of this instance's shares.
    pub ledger: InstanceLedger,
    /// Other instances.
    pub peers: PeerDirectory,
    /// Sessions by process number.
    pub cancel_registry: Arc<CancelRegistry>,
    /// Counters of the instance.
    pub counters: InstanceCounters,
    /// Callers connected now.
    pub callers: AtomicUsize,
    catalog: RwLock<Arc<DocumentCatalog>>,
    document: RwLock<Option<Arc<StoredDocument>>>,
    proofs: Mutex<InstanceProofs>,
    /// Milliseconds after the start up to which the document and the epoch may be acted on.
    document_valid_ms: AtomicU64,
    epoch_valid_ms: AtomicU64,
    started_at: Instant,
    known_epoch: Mutex<KnownEpoch>,
    listed: AtomicBool,
    ready: watch::Sender<bool>,
    poll: Notify,
    list: Notify,
    peer_address: SocketAddr,
    revision: AtomicU64,
    databases: Mutex<HashMap<DatabaseId, WatchedDatabase>>,
    phase: watch::Sender<InstancePhase>,
    labels: AtomicU64,
    incarnation: u64,
}

impl ProxyInstance {
    /// Creates an instance that serves nothing yet.
    pub fn create(
        settings: ProxySettings,
        clock: SharedClock,
        peer_address: SocketAddr,
    ) -> Result<Arc<Self>, InstanceError> {
        let platform = PlatformClient::new(settings.platform.clone(), PLATFORM_TIMEOUT)?;
        Ok(Arc::new(Self {
            platform,
            statements: StatementCache::default(),
            tokens: TokenCodec::new(settings.token_secret.as_bytes()),
            limiter: TeamLimiter::default(),
            ledger: InstanceLedger::default(),
            peers: PeerDirectory::default(),
            cancel_registry: Arc::default(),
            counters: InstanceCounters::new(&settings.instance),
            callers: AtomicUsize::new(0),
            catalog: RwLock::default(),
            document: RwLock::default(),
            proofs: Mutex::default(),
            document_valid_ms: AtomicU64::new(0),
            epoch_valid_ms: AtomicU64::new(0),
            started_at: clock.now(),
            known_epoch: Mutex::default(),
            listed: AtomicBool::new(false),
            ready: watch::Sender::new(false),
            poll: Notify::new(),
            list: Notify::new(),
            peer_address,
            revision: AtomicU64::new(0),
            databases: Mutex::default(),
            phase: watch::Sender::new(InstancePhase::Serving),
            labels: AtomicU64::new(0),
            incarnation: rand::random(),
            settings,
            clock,
        }))
    }

    /// Returns the document in force.
    pub fn catalog(&self) -> Arc<DocumentCatalog> {
        self.catalog.read().clone()
    }

    /// Returns the revision of the document in force, zero before the first one.
    pub fn revision(&self) -> u64 {
        self.revision.load(Ordering::Acquire)
    }

    /// Returns the number drawn when the instance started.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the document in force with its text.
    pub fn document(&self) -> Option<Arc<StoredDocument>> {
        self.document.read().clone()
    }

    /// Returns the address on which peers reach this instance.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Puts a document into force if its revision is higher than the one in force.
    pub fn apply_document(self: &Arc<Self>, stored: StoredDocument, document: &Document) -> bool {
        let revision = stored.head.revision;
        let mut catalog = self.catalog.write();
        if revision <= catalog.revision() {
            return false;
        }
        let next = Arc::new(catalog.updated(revision, document));
        self.replace_databases(&next);
        self.ledger.apply_catalog(&catalog, &next, &self.limiter, self.clock.now());
        *catalog = next;
        *self.document.write() = Some(Arc::new(stored));
        self.revision.store(revision, Ordering::Release);
        drop(catalog);
        self.update_proofs(|proofs| proofs.document.adopt(revision));
        gauge!(meter::DOCUMENT_REVISION, "instance" => self.settings.instance.clone())
            .set(revision as f64);
        true
    }

    /// Runs an operation on the proofs and publishes up to when they hold.
    pub fn update_proofs<T>(&self, operation: impl FnOnce(&mut InstanceProofs) -> T) -> T {
        let mut proofs = self.proofs.lock();
        let result = operation(&mut proofs);
        let millis = |machine: &ValidationTracker| {
            let until = machine.valid_until().filter(|_| machine.version() > 0);
            let after = until.map(|until| until.saturating_duration_since(self.started_at));
            after.map_or(0, |after| after.as_millis() as u64)
        };
        self.document_valid_ms.store(millis(&proofs.document), Ordering::Release);
        self.epoch_valid_ms.store(millis(&proofs.epoch), Ordering::Release);
        result
    }

    /// Tells whether the document may be acted on at `now`.
    pub fn is_document_valid(&self, now: Instant) -> bool {
        self.is_before(now, &self.document_valid_ms)
    }

    /// Tells whether shares of the ledger may be used at `now`.
    pub fn is_epoch_valid(&self, now: Instant) -> bool {
        self.is_before(now, &self.epoch_valid_ms)
    }

    /// Tells whether a census may start: the epoch is proved, or the first one is missing.
    pub fn is_epoch_valid_or_absent(&self, now: Instant) -> bool {
        self.is_epoch_valid(now) || self.is_epoch_absent()
    }

    fn is_before(&self, now: Instant, limit: &AtomicU64) -> bool {
        let passed = now.saturating_duration_since(self.started_at).as_millis() as u64;
        passed < limit.load(Ordering::Acquire)
    }

    /// Records the epoch that the table service named.
    pub fn note_epoch(&self, epoch: Option<LedgerEpoch>, row: u64) {
        *self.known_epoch.lock() = KnownEpoch { asked: true, epoch, row };
    }

    /// Returns the epoch that the table service named last and its row's revision.
    pub fn known_epoch(&self) -> (u64, u64) {
        let known = self.known_epoch.lock();
        (known.epoch.as_ref().map_or(0, |epoch| epoch.number), known.row)
    }

    /// Tells whether the table service has said that there is no epoch yet.
    pub fn is_epoch_absent(&self) -> bool {
        let known = self.known_epoch.lock();
        known.asked && known.epoch.is_none()
    }

    /// Asks for a read of the platform's list, after an instance was heard that it lacks.
    pub fn request_list(&self) {
        self.list.notify_one();
    }

    /// Waits until a read of the platform's list is asked for.
    pub async fn list_requested(&self) {
        self.list.notified().await;
    }

    /// Notes that the platform's list names this instance.
    pub fn note_listed(&self) {
        self.listed.store(true, Ordering::Release);
    }

    /// Tells whether the platform's list has named this instance.
    pub fn is_listed(&self) -> bool {
        self.listed.load(Ordering::Acquire)
    }

    /// Notes that document, epoch and peers are known, so that callers can be served.
    pub fn note_ready(&self) {
        self.ready.send_if_modified(|ready| !std::mem::replace(ready, true));
    }

    /// Tells whether callers can be served.
    pub fn is_ready(&self) -> bool {
        *self.ready.borrow()
    }

    /// Waits until callers can be served.
    pub async fn wait_until_ready(&self) {
        // The sender lives as long as the instance, so the wait ends only by readiness.
        let _ = self.ready.subscribe().wait_for(|ready| *ready).await;
    }

    /// Asks for a read of the table service now.
    pub fn request_poll(&self) {
        self.poll.notify_one();
    }

    /// Waits until a read of the table service is asked for.
    pub async fn poll_requested(&self) {
        self.poll.notified().await;
    }

    fn replace_databases(self: &Arc<Self>, catalog: &DocumentCatalog) {
        let mut databases = self.databases.lock();
        databases.retain(|key, _| catalog.database(*key).is_some());
        for (key, entry) in catalog.databases() {
            let same = |watched: &WatchedDatabase| {
                let members = watched.handle.members.iter().map(|member| &member.name);
                members.eq(entry.members.iter())
            };
            let capacity = self.connection_share(entry.connections);
            match databases.get(&key) {
                Some(watched) if same(watched) => {
                    let members = watched.handle.members.iter();
                    members.for_each(|member| member.pool.resize(capacity));
                }
                _ => {
                    let handle = DatabaseHandle::new(key, entry, &self.settings, capacity);
                    let handle = Arc::new(handle);
                    let mut tasks = monitor::watch(&handle);
                    tasks.spawn(failover::run(self.clone(), handle.clone()));
                    databases.insert(key, WatchedDatabase { handle, _tasks: tasks });
                }
            }
        }
    }

    fn connection_share(&self, connections: u32) -> usize {
        (connections as usize / self.settings.expected_instances).max(1)
    }

    /// Returns the handle of a database.
    pub fn database(&self, key: DatabaseId) -> Option<Arc<DatabaseHandle>> {
        self.databases.lock().get(&key).map(|watched| watched.handle.clone())
    }

    /// Returns the handles of all databases.
    pub fn databases(&self) -> Vec<Arc<DatabaseHandle>> {
        self.databases.lock().values().map(|watched| watched.handle.clone()).collect()
    }

    /// Returns a label that no other transaction carries.
    pub fn next_transaction_label(&self) -> String {
        let number = self.labels.fetch_add(1, Ordering::Relaxed);
        format!("{:016x}-{number:x}", self.incarnation)
    }

    /// Returns how far the instance is on its way to an end.
    pub fn phase(&self) -> InstancePhase {
        *self.phase.borrow()
    }

    /// Returns a receiver of the instance's phases.
    pub fn phases(&self) -> watch::Receiver<InstancePhase> {
        self.phase.subscribe()
    }

    /// Moves the instance to a later phase.
    pub fn advance_phase(&self, phase: InstancePhase) {
        self.phase.send_if_modified(|current| {
            let later = phase > *current;
            *current = (*current).max(phase);
            later
        });
    }

    /// Returns the current time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }
}

/// Running instance; its tasks end when it is dropped.
pub struct RunningInstance {
    /// State of the instance.
    pub instance: Arc<ProxyInstance>,
    /// Address on which callers connect.
    pub address: SocketAddr,
    /// Address on which peers connect.
    pub peer_address: SocketAddr,
    _tasks: JoinSet<()>,
}

/// Opens the listeners of an instance and starts its tasks.
pub async fn start(
    settings: ProxySettings,
    clock: SharedClock,
) -> Result<RunningInstance, InstanceError> {
    let address = settings.listen;
    let callers = TcpListener::bind(address).await.context(ListenSnafu { address })?;
    let address = callers.local_addr().context(ListenSnafu { address })?;
    let peer_address = settings.peer_listen;
    let peers = TcpListener::bind(peer_address).await;
    let peers = peers.context(ListenSnafu { address: peer_address })?;
    let peer_address = peers.local_addr().context(ListenSnafu { address: peer_address })?;
    let instance = ProxyInstance::create(settings, clock, peer_address)?;
    let mut tasks = JoinSet::new();
    tasks.spawn(peer_service::serve(peers, instance.clone()));
    tasks.spawn(heartbeat::follow_list(instance.clone()));
    tasks.spawn(heartbeat::run(instance.clone()));
    tasks.spawn(document::follow(instance.clone()));
    tasks.spawn(reconciliation::run(instance.clone()));
    tasks.spawn(share_transfer::run(instance.clone()));
    tasks.spawn(listener::serve(callers, instance.clone()));
    Ok(RunningInstance { instance, address, peer_address, _tasks: tasks })
}
