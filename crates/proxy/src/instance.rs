//! Shared state of one instance, and the start of its tasks.

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

/// Timeout of an operation on a platform service.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// Error of starting an instance.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum InstanceError {
    /// A listener cannot be opened.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address of the listener.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The client of the platform services cannot be created.
    #[snafu(display("{source}"), context(false))]
    Platform {
        /// Error of the client.
        source: PlatformError,
    },
}

/// Phase of an instance, from serving to closed. Later phases compare greater.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum InstancePhase {
    /// Serves callers.
    Serving,
    /// Still accepts callers, until the load balancer has noticed that the instance is leaving.
    Leaving,
    /// Finishes open requests and transactions.
    Draining,
    /// Closes all connections.
    Closed,
}

/// Database with the tasks that monitor it.
struct MonitoredDatabase {
    handle: Arc<DatabaseHandle>,
    _tasks: JoinSet<()>,
}

/// Validations of the versions on which the instance acts.
#[derive(Debug, Default)]
pub struct InstanceValidations {
    /// Validation of the document's revision.
    pub document: ValidationTracker,
    /// Validation of the ledger's epoch.
    pub epoch: ValidationTracker,
}

/// Epoch as last read from the table service.
#[derive(Debug, Default)]
struct StoredEpoch {
    /// Whether the table service has been read at least once.
    loaded: bool,
    epoch: Option<LedgerEpoch>,
    /// Revision of the epoch's row, zero if the row is absent.
    row_revision: u64,
}

/// State of a proxy instance, shared by its sessions and tasks.
pub struct ProxyInstance {
    /// Settings with which the instance was started.
    pub settings: ProxySettings,
    /// Clock of the instance.
    pub clock: SharedClock,
    /// Client of the platform services.
    pub platform: PlatformClient,
    /// Cache of statement classes by text.
    pub statements: StatementCache,
    /// Codec of session tokens.
    pub tokens: TokenCodec,
    /// Token buckets of the teams on this instance.
    pub limiter: TeamLimiter,
    /// Ledger of this instance's shares of the teams' limits.
    pub ledger: InstanceLedger,
    /// Directory of the other instances.
    pub peers: PeerDirectory,
    /// Sessions by process id, for cancel requests.
    pub cancel_registry: Arc<CancelRegistry>,
    /// Metric counters of the instance.
    pub counters: InstanceCounters,
    /// Number of connected callers.
    pub callers: AtomicUsize,
    catalog: RwLock<Arc<DocumentCatalog>>,
    document: RwLock<Option<Arc<StoredDocument>>>,
    validations: Mutex<InstanceValidations>,
    /// Expiry of the document's validation, in milliseconds after `started_at`; zero without one.
    document_valid_until_ms: AtomicU64,
    /// Expiry of the epoch's validation, in milliseconds after `started_at`; zero without one.
    epoch_valid_until_ms: AtomicU64,
    started_at: Instant,
    stored_epoch: Mutex<StoredEpoch>,
    listed: AtomicBool,
    ready: watch::Sender<bool>,
    poll_requests: Notify,
    list_requests: Notify,
    peer_address: SocketAddr,
    revision: AtomicU64,
    databases: Mutex<HashMap<DatabaseId, MonitoredDatabase>>,
    phase: watch::Sender<InstancePhase>,
    label_count: AtomicU64,
    incarnation: u64,
}

impl ProxyInstance {
    /// Creates an instance without starting its tasks.
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
            validations: Mutex::default(),
            document_valid_until_ms: AtomicU64::new(0),
            epoch_valid_until_ms: AtomicU64::new(0),
            started_at: clock.now(),
            stored_epoch: Mutex::default(),
            listed: AtomicBool::new(false),
            ready: watch::Sender::new(false),
            poll_requests: Notify::new(),
            list_requests: Notify::new(),
            peer_address,
            revision: AtomicU64::new(0),
            databases: Mutex::default(),
            phase: watch::Sender::new(InstancePhase::Serving),
            label_count: AtomicU64::new(0),
            incarnation: rand::random(),
            settings,
            clock,
        }))
    }

    /// Returns the catalog of the document in force, empty before the first document.
    pub fn catalog(&self) -> Arc<DocumentCatalog> {
        self.catalog.read().clone()
    }

    /// Returns the revision of the document in force, zero before the first document.
    pub fn revision(&self) -> u64 {
        self.revision.load(Ordering::Acquire)
    }

    /// Returns the random number that identifies this run of the instance.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the document in force with its head and text.
    pub fn document(&self) -> Option<Arc<StoredDocument>> {
        self.document.read().clone()
    }

    /// Returns the address on which peers reach this instance.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Puts a document in force if its revision is higher than the current one.
    ///
    /// Returns whether it was put in force.
    pub fn apply_document(self: &Arc<Self>, stored: StoredDocument, document: &Document) -> bool {
        let revision = stored.head.revision;
        let mut catalog = self.catalog.write();
        if revision <= catalog.revision() {
            return false;
        }
        let next = Arc::new(catalog.updated(revision, document));
        self.update_databases(&next);
        self.ledger.apply_catalog(&catalog, &next, &self.limiter, self.clock.now());
        *catalog = next;
        *self.document.write() = Some(Arc::new(stored));
        self.revision.store(revision, Ordering::Release);
        drop(catalog);
        self.update_validations(|validations| validations.document.adopt(revision));
        gauge!(meter::DOCUMENT_REVISION, "instance" => self.settings.instance.clone())
            .set(revision as f64);
        true
    }

    /// Runs an operation on the validations and updates the times up to which they are valid.
    pub fn update_validations<T>(
        &self,
        operation: impl FnOnce(&mut InstanceValidations) -> T,
    ) -> T {
        let mut validations = self.validations.lock();
        let result = operation(&mut validations);
        let expiry_ms = |tracker: &ValidationTracker| {
            let expires_at = tracker.valid_until().filter(|_| tracker.version() > 0);
            let valid_for =
                expires_at.map(|expires_at| expires_at.saturating_duration_since(self.started_at));
            valid_for.map_or(0, |valid_for| valid_for.as_millis() as u64)
        };
        self.document_valid_until_ms.store(expiry_ms(&validations.document), Ordering::Release);
        self.epoch_valid_until_ms.store(expiry_ms(&validations.epoch), Ordering::Release);
        result
    }

    /// Returns whether the document may be acted on at `now`.
    pub fn is_document_valid(&self, now: Instant) -> bool {
        self.is_before_expiry(now, &self.document_valid_until_ms)
    }

    /// Returns whether the shares of the ledger may be used at `now`.
    pub fn is_epoch_valid(&self, now: Instant) -> bool {
        self.is_before_expiry(now, &self.epoch_valid_until_ms)
    }

    /// Returns whether a new epoch may be started: the current one is valid, or there is none yet.
    pub fn is_epoch_valid_or_absent(&self, now: Instant) -> bool {
        self.is_epoch_valid(now) || self.is_epoch_absent()
    }

    fn is_before_expiry(&self, now: Instant, valid_until_ms: &AtomicU64) -> bool {
        let elapsed_ms = now.saturating_duration_since(self.started_at).as_millis() as u64;
        elapsed_ms < valid_until_ms.load(Ordering::Acquire)
    }

    /// Records the epoch read from the table service, and the revision of its row.
    pub fn record_stored_epoch(&self, epoch: Option<LedgerEpoch>, row_revision: u64) {
        *self.stored_epoch.lock() = StoredEpoch { loaded: true, epoch, row_revision };
    }

    /// Returns the epoch last read from the table service, zero for none, and its row's revision.
    pub fn stored_epoch(&self) -> (u64, u64) {
        let stored = self.stored_epoch.lock();
        (stored.epoch.as_ref().map_or(0, |epoch| epoch.number), stored.row_revision)
    }

    /// Returns whether the table service has reported that there is no epoch yet.
    pub fn is_epoch_absent(&self) -> bool {
        let stored = self.stored_epoch.lock();
        stored.loaded && stored.epoch.is_none()
    }

    /// Requests a read of the platform's list, after contact by an instance that is not listed.
    pub fn request_instance_list(&self) {
        self.list_requests.notify_one();
    }

    /// Waits until a read of the platform's list is requested.
    pub async fn instance_list_requested(&self) {
        self.list_requests.notified().await;
    }

    /// Records that the platform's list contains this instance.
    pub fn mark_listed(&self) {
        self.listed.store(true, Ordering::Release);
    }

    /// Returns whether the platform's list has contained this instance.
    pub fn is_listed(&self) -> bool {
        self.listed.load(Ordering::Acquire)
    }

    /// Records that document and epoch are validated, so that callers can be served.
    pub fn mark_ready(&self) {
        self.ready.send_if_modified(|ready| !std::mem::replace(ready, true));
    }

    /// Returns whether callers can be served.
    pub fn is_ready(&self) -> bool {
        *self.ready.borrow()
    }

    /// Waits until callers can be served.
    pub async fn wait_until_ready(&self) {
        // The instance keeps the sender, so the wait cannot end because the channel is closed.
        let _ = self.ready.subscribe().wait_for(|ready| *ready).await;
    }

    /// Requests an immediate read of the table service.
    pub fn request_poll(&self) {
        self.poll_requests.notify_one();
    }

    /// Waits until a read of the table service is requested.
    pub async fn poll_requested(&self) {
        self.poll_requests.notified().await;
    }

    fn update_databases(self: &Arc<Self>, catalog: &DocumentCatalog) {
        let mut databases = self.databases.lock();
        databases.retain(|id, _| catalog.database(*id).is_some());
        for (id, entry) in catalog.databases() {
            let has_same_members = |monitored: &MonitoredDatabase| {
                let members = monitored.handle.members.iter().map(|member| &member.name);
                members.eq(entry.members.iter())
            };
            let capacity = self.connections_per_instance(entry.connections);
            match databases.get(&id) {
                Some(monitored) if has_same_members(monitored) => {
                    let members = monitored.handle.members.iter();
                    members.for_each(|member| member.pool.resize(capacity));
                }
                _ => {
                    let handle = DatabaseHandle::new(id, entry, &self.settings, capacity);
                    let handle = Arc::new(handle);
                    let mut tasks = monitor::monitor_database(&handle);
                    tasks.spawn(failover::run(self.clone(), handle.clone()));
                    databases.insert(id, MonitoredDatabase { handle, _tasks: tasks });
                }
            }
        }
    }

    fn connections_per_instance(&self, connections: u32) -> usize {
        (connections as usize / self.settings.expected_instances).max(1)
    }

    /// Returns the handle of a database.
    pub fn database(&self, id: DatabaseId) -> Option<Arc<DatabaseHandle>> {
        self.databases.lock().get(&id).map(|monitored| monitored.handle.clone())
    }

    /// Returns the handles of all databases.
    pub fn databases(&self) -> Vec<Arc<DatabaseHandle>> {
        self.databases.lock().values().map(|monitored| monitored.handle.clone()).collect()
    }

    /// Returns a unique label for a transaction.
    pub fn next_transaction_label(&self) -> String {
        let number = self.label_count.fetch_add(1, Ordering::Relaxed);
        format!("{:016x}-{number:x}", self.incarnation)
    }

    /// Returns the current phase.
    pub fn phase(&self) -> InstancePhase {
        *self.phase.borrow()
    }

    /// Returns a receiver that is notified of every change of the phase.
    pub fn phases(&self) -> watch::Receiver<InstancePhase> {
        self.phase.subscribe()
    }

    /// Moves the instance to a later phase; an earlier one is ignored.
    pub fn advance_phase(&self, phase: InstancePhase) {
        self.phase.send_if_modified(|current| {
            let is_later = phase > *current;
            *current = (*current).max(phase);
            is_later
        });
    }

    /// Returns the current time of the instance's clock.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }
}

/// Running instance. Its tasks end when it is dropped.
pub struct RunningInstance {
    /// State of the instance.
    pub instance: Arc<ProxyInstance>,
    /// Address on which callers connect.
    pub address: SocketAddr,
    /// Address on which peers connect.
    pub peer_address: SocketAddr,
    _tasks: JoinSet<()>,
}

/// Opens the listeners of an instance and starts its tasks. Fails if an address is in use.
pub async fn start(
    settings: ProxySettings,
    clock: SharedClock,
) -> Result<RunningInstance, InstanceError> {
    let address = settings.listen;
    let caller_listener = TcpListener::bind(address).await.context(ListenSnafu { address })?;
    let address = caller_listener.local_addr().context(ListenSnafu { address })?;
    let peer_address = settings.peer_listen;
    let peer_listener = TcpListener::bind(peer_address).await;
    let peer_listener = peer_listener.context(ListenSnafu { address: peer_address })?;
    let peer_address = peer_listener.local_addr().context(ListenSnafu { address: peer_address })?;
    let instance = ProxyInstance::create(settings, clock, peer_address)?;
    let mut tasks = JoinSet::new();
    tasks.spawn(peer_service::serve(peer_listener, instance.clone()));
    tasks.spawn(heartbeat::poll_instance_list(instance.clone()));
    tasks.spawn(heartbeat::run(instance.clone()));
    tasks.spawn(document::poll_store(instance.clone()));
    tasks.spawn(reconciliation::run(instance.clone()));
    tasks.spawn(share_transfer::run(instance.clone()));
    tasks.spawn(listener::serve(caller_listener, instance.clone()));
    Ok(RunningInstance { instance, address, peer_address, _tasks: tasks })
}
