//! State that all sessions of one instance share, and the start of its tasks.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use net::clock::SharedClock;
use net::platform::{PlatformClient, PlatformError};
use parking_lot::{Mutex, RwLock};
use snafu::{ResultExt as _, Snafu};
use state::catalog::{DatabaseKey, DocumentCatalog};
use state::document::Document;
use state::token::TokenCodec;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use wire::statement::StatementCache;

use crate::cancel::CancelRegistry;
use crate::counters::InstanceCounters;
use crate::database::DatabaseHandle;
use crate::limiter::TeamLimiter;
use crate::settings::ProxySettings;
use crate::{document, listener, watcher};

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
    /// Sessions by process number.
    pub cancels: Arc<CancelRegistry>,
    /// Counters of the instance.
    pub counters: InstanceCounters,
    /// Callers connected now.
    pub callers: AtomicUsize,
    catalog: RwLock<Arc<DocumentCatalog>>,
    revision: AtomicU64,
    databases: Mutex<HashMap<DatabaseKey, WatchedDatabase>>,
    phase: watch::Sender<InstancePhase>,
    labels: AtomicU64,
    incarnation: u64,
}

impl ProxyInstance {
    /// Creates an instance that serves nothing yet.
    pub fn create(settings: ProxySettings, clock: SharedClock) -> Result<Arc<Self>, InstanceError> {
        let platform = PlatformClient::new(settings.platform.clone(), PLATFORM_TIMEOUT)?;
        Ok(Arc::new(Self {
            platform,
            statements: StatementCache::default(),
            tokens: TokenCodec::new(settings.token_secret.as_bytes()),
            limiter: TeamLimiter::default(),
            cancels: Arc::default(),
            counters: InstanceCounters::new(&settings.instance),
            callers: AtomicUsize::new(0),
            catalog: RwLock::default(),
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

    /// Puts a document into force if its revision is higher than the one in force.
    pub fn put_in_force(&self, revision: u64, document: &Document) -> bool {
        let mut catalog = self.catalog.write();
        if revision <= catalog.revision() {
            return false;
        }
        let next = Arc::new(catalog.updated(revision, document));
        self.replace_databases(&next);
        self.replace_limits(&catalog, &next);
        *catalog = next;
        self.revision.store(revision, Ordering::Release);
        true
    }

    fn replace_databases(&self, catalog: &DocumentCatalog) {
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
                    let tasks = watcher::watch(&handle);
                    databases.insert(key, WatchedDatabase { handle, _tasks: tasks });
                }
            }
        }
    }

    fn replace_limits(&self, before: &DocumentCatalog, after: &DocumentCatalog) {
        let now = self.clock.now();
        for (key, _) in before.teams() {
            if after.team(key).is_none() {
                self.limiter.remove(key);
            }
        }
        let instances = self.settings.expected_instances as f64;
        for (key, team) in after.teams() {
            self.limiter.update(key, now, |bucket| {
                bucket.resize(team.rate / instances, team.burst / instances, now);
            });
        }
    }

    fn connection_share(&self, connections: u32) -> usize {
        (connections as usize / self.settings.expected_instances).max(1)
    }

    /// Returns the handle of a database.
    pub fn database(&self, key: DatabaseKey) -> Option<Arc<DatabaseHandle>> {
        self.databases.lock().get(&key).map(|watched| watched.handle.clone())
    }

    /// Returns the handles of all databases.
    pub fn databases(&self) -> Vec<Arc<DatabaseHandle>> {
        self.databases.lock().values().map(|watched| watched.handle.clone()).collect()
    }

    /// Returns a label that no other transaction carries.
    pub fn next_label(&self) -> String {
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
    let instance = ProxyInstance::create(settings, clock)?;
    let mut tasks = JoinSet::new();
    tasks.spawn(document::follow(instance.clone()));
    tasks.spawn(listener::serve(callers, instance.clone()));
    Ok(RunningInstance { instance, address, _tasks: tasks })
}
