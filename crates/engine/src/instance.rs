//! State shared by the tasks of an instance.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use clock::SharedClock;
use coord::congestion::CongestionDetector;
use coord::document_history::DocumentHistory;
use coord::document_lag::DocumentLag;
use coord::document_state::DocumentState;
use coord::evacuation::ZonePhase;
use coord::membership::InstanceKey;
use coord::promotion_order::PromotionOrders;
use coord::quota::{LimitWindow, TeamQuotas};
use coord::refusal_cache::RefusalCache;
use coord::rendezvous;
use coord::session::SessionId;
use coord::stop_schedule::{StopPhase, StopSchedule};
use coord::table_age::TableAge;
use coord::validation::{ValidationTracker, key_validation_ttl};
use metrics::gauge;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use state::store_version::{DocumentVersion, StoreVersion};
use telemetry::event::LogEvent;
use telemetry::{log_event, meter};
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::commit_confirmation::CommitConfirmations;
use crate::connection_owner::ConnectionPools;
use crate::directory::FleetDirectory;
use crate::interface::{PlatformApi, WatchedTable, WireCodec};
use crate::open_sessions::OpenSessions;
use crate::peer::PeerTable;
use crate::record::InstanceRecord;
use crate::refused_rows::RefusedRows;
use crate::replication::ReplicationCodec;
use crate::service_load::ServiceLoads;
use crate::store_reader::StoreReader;
use crate::table_server::TableServer;
use crate::tables::TableCaches;

/// Platform and protocol that an instance is built for.
pub trait EngineTypes: 'static {
    /// Services of the platform.
    type Platform: PlatformApi;
    /// Codec of the protocol that callers and endpoints speak.
    type Codec: WireCodec + ReplicationCodec;
}
/// Zones of a deployment and the bounds that hold for them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneSettings {
    /// Region of each availability zone.
    pub regions: HashMap<String, String>,
    /// Bound on the time from an evacuation until its zone gets no more work; `None` if the
    /// deployment has no evacuations.
    pub evacuation_bound: Option<Duration>,
    /// Factor by which requests to a cold member may exceed its rate in one second.
    pub cold_overage: f64,
    /// Requests in one second by which a cold member may get more, in addition.
    pub cold_slack: f64,
}

/// Settings of an instance.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Registration of this instance.
    pub record: InstanceRecord,
    /// Address on which callers are accepted.
    pub caller_address: SocketAddr,
    /// Time from the stop signal until the process is killed.
    pub grace_period: Duration,
    /// Time for which an endpoint still gets new statements after it announces that it is leaving.
    pub drain_timeout: Duration,
    /// Bound on the time from the publication of a document until it is in force here.
    pub document_bound: Duration,
    /// Bound on the time until a revoked key stops working on every instance, partitioned ones
    /// included. `None` if the bound holds only on instances that reach the store.
    pub revocation_bound: Option<Duration>,
    /// Window over which team limits hold, with the tolerated overage.
    pub limit_window: LimitWindow,
    /// Zones and the bounds that hold for them.
    pub zones: ZoneSettings,
}

impl EngineSettings {
    /// Returns the bound on the time until a change of a table is in force.
    pub(crate) fn table_bound(&self, table: WatchedTable) -> Duration {
        match table {
            WatchedTable::Document => self.document_bound,
            WatchedTable::Endpoints => self.drain_timeout,
        }
    }
}

/// Time after its start in which an instance finds the others: the delay of their registrations and
/// the expiry of the views of lost observers.
const DISCOVERY_PERIOD: Duration = Duration::from_secs(2);

/// State of one instance.
pub struct GatewayInstance<E: EngineTypes> {
    /// Settings at the start; see [`Self::update_limits`].
    pub settings: EngineSettings,
    /// Source of the current time.
    pub clock: SharedClock,
    /// Client of the platform's services.
    pub platform: E::Platform,
    /// Document in force, endpoints and leaders.
    pub directory: RefCell<FleetDirectory>,
    /// Cached tables of the platform.
    pub tables: RefCell<TableCaches>,
    /// Changes of tables that other instances fetch.
    pub(crate) table_server: RefCell<TableServer>,
    /// Tracks when the document in force was last validated as the newest.
    pub validation: RefCell<ValidationTracker<StoreVersion>>,
    /// Links to peer instances.
    pub peers: PeerTable,
    /// Endpoint connections that this instance owns.
    pub pools: ConnectionPools,
    /// What replicas have received, while commits wait for it.
    pub(crate) confirmations: CommitConfirmations,
    /// Token buckets of the teams whose quota owner this instance is.
    pub quotas: RefCell<TeamQuotas>,
    /// Valid refusals of other quota owners.
    pub(crate) refusals: RefCell<RefusalCache>,
    /// Generation of the membership table at the last check of the teams' quota owners.
    pub(crate) quota_generation: Cell<u64>,
    /// Instances that decided for the whole fleet at that check, see
    /// [`coord::membership::MembershipTable::fleet_signature`].
    pub(crate) fleet_signature: Cell<u64>,
    /// Load of the services.
    pub(crate) service_loads: ServiceLoads,
    /// Number of open caller sessions.
    pub caller_count: Cell<usize>,
    /// Open caller sessions and calls of peers.
    pub open_sessions: OpenSessions,
    grace_period: Cell<Duration>,
    started_at: Instant,
    leaving_since: Cell<Option<Instant>>,
    /// Time at which a leaving instance had nothing left to wait for.
    drained_at: Cell<Option<Instant>>,
    /// Notified when the schedule of a planned stop begins or changes.
    leave_signal: Notify,
    store_reachable: Cell<bool>,
    was_validated: Cell<bool>,
    pub(crate) document_lag: RefCell<DocumentLag<DocumentVersion>>,
    /// Documents that came into force on this instance.
    pub(crate) document_history: RefCell<DocumentHistory<DocumentVersion>>,
    /// As of when the table caches hold all changes, in the order of [`WatchedTable::ALL`].
    pub(crate) table_ages: RefCell<[TableAge<StoreVersion>; WatchedTable::ALL.len()]>,
    /// Reads of the tables from the store, in the order of [`WatchedTable::ALL`].
    pub(crate) store_readers: [StoreReader; WatchedTable::ALL.len()],
    pub(crate) refused_rows: RefCell<RefusedRows>,
    pub(crate) logged_document_state: Cell<DocumentState>,
    pub(crate) logged_readiness: Cell<bool>,
    congestion: Cell<CongestionDetector>,
    /// Instance that last read the store for the availability zone.
    pub(crate) last_reader: Cell<Option<InstanceKey>>,
    /// Newest history of the store that is known.
    pub(crate) store_history: Cell<Option<u64>>,
    /// Notified when the store has another history.
    pub(crate) history_changed: Notify,
    /// Notified when this instance is registered.
    pub(crate) registered: Notify,
    promotion_token: Cell<Option<u64>>,
    /// Last orders to promote, of this instance and of others.
    pub(crate) promotion_orders: RefCell<PromotionOrders>,
    next_transaction_id: Cell<u32>,
    next_session_number: Cell<u64>,
    /// Place of this instance among those that read the store at spread times, from zero to one.
    pub(crate) read_spread: f64,
    rng: RefCell<StdRng>,
}

impl<E: EngineTypes> GatewayInstance<E> {
    /// Creates an instance without document, endpoints and peers.
    pub fn new(settings: EngineSettings, clock: SharedClock, platform: E::Platform) -> Rc<Self> {
        let started_at = clock.now();
        // Seeded by name and incarnation, so that instances choose differently.
        let seed = rendezvous::weight(&settings.record.name, "") ^ settings.record.incarnation;
        let mut rng = StdRng::seed_from_u64(seed);
        let mut directory = FleetDirectory::new(settings.drain_timeout);
        directory.set_zones(&settings.zones);
        let store_readers =
            WatchedTable::ALL.map(|table| StoreReader::new(settings.table_bound(table)));
        Rc::new(Self {
            peers: PeerTable::new(settings.record.clone(), started_at),
            directory: RefCell::new(directory),
            grace_period: Cell::new(settings.grace_period),
            quotas: RefCell::new(TeamQuotas::new(settings.limit_window)),
            refusals: RefCell::default(),
            quota_generation: Cell::new(0),
            fleet_signature: Cell::new(0),
            service_loads: ServiceLoads::default(),
            settings,
            clock,
            platform,
            pools: ConnectionPools::default(),
            confirmations: CommitConfirmations::default(),
            tables: RefCell::default(),
            table_server: RefCell::default(),
            validation: RefCell::default(),
            was_validated: Cell::new(true),
            document_lag: RefCell::default(),
            document_history: RefCell::default(),
            table_ages: RefCell::new(WatchedTable::ALL.map(|_| TableAge::new(started_at))),
            store_readers,
            refused_rows: RefCell::default(),
            logged_document_state: Cell::new(DocumentState::Outdated),
            logged_readiness: Cell::new(false),
            congestion: Cell::default(),
            last_reader: Cell::new(None),
            store_history: Cell::new(None),
            history_changed: Notify::new(),
            registered: Notify::new(),
            started_at,
            caller_count: Cell::new(0),
            open_sessions: OpenSessions::default(),
            leaving_since: Cell::new(None),
            drained_at: Cell::new(None),
            leave_signal: Notify::new(),
            store_reachable: Cell::new(false),
            promotion_token: Cell::new(None),
            promotion_orders: RefCell::default(),
            next_transaction_id: Cell::new(1),
            next_session_number: Cell::new(1),
            read_spread: rng.random(),
            rng: RefCell::new(rng),
        })
    }

    /// Applies limits that changed in the settings while the instance runs.
    ///
    /// The grace period of a planned stop that has begun does not change.
    pub fn update_limits(&self, grace_period: Duration, drain_timeout: Duration) {
        if !self.is_leaving() {
            self.grace_period.set(grace_period);
        }
        self.directory.borrow_mut().set_drain_timeout(drain_timeout);
    }

    /// Returns the time from the stop signal until the process is killed.
    pub fn grace_period(&self) -> Duration {
        self.grace_period.get()
    }

    /// Returns the name of the instance.
    pub fn name(&self) -> &str {
        &self.settings.record.name
    }

    /// Returns the current time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns whether the instance can serve callers and is not leaving.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving()
            && self.has_joined()
            && self.directory.borrow().is_loaded()
            && self.is_document_validated()
            && !self.is_document_outdated()
            && !(self.congestion.get().avoids_callers(self.now()) && self.peers.avoids_congested())
    }

    /// Returns whether the instance knows the others, or has had too little time to find them.
    ///
    /// One that knows none takes itself for the only owner of all connections, and of all limits
    /// once it no longer starts.
    pub fn has_joined(&self) -> bool {
        self.peers.is_discovered.get() || self.is_starting()
    }

    /// Returns whether the instance falls behind its own work.
    pub fn is_congested(&self) -> bool {
        self.congestion.get().is_congested()
    }

    /// Records that a timer of `interval` took `elapsed`, and logs when the instance becomes congested.
    pub(crate) fn record_timer(&self, interval: Duration, elapsed: Duration) {
        let mut detector = self.congestion.get();
        let was_congested = detector.is_congested();
        detector.record(interval, elapsed, self.now());
        self.congestion.set(detector);
        let late_share = detector.late_share();
        match (was_congested, detector.is_congested()) {
            (false, true) => {
                log_event!(LogEvent::InstanceCongested, "late_share={late_share:.2}");
            }
            (true, false) => {
                log_event!(LogEvent::InstanceKeepsUp, "late_share={late_share:.2}");
            }
            _ => {}
        }
    }

    /// Returns whether keys may be accepted, because the document was validated recently enough to
    /// rule out a missed revocation.
    pub fn is_document_validated(&self) -> bool {
        !self.max_validation_age().is_some_and(|limit| self.validation_is_older(limit))
    }

    /// Returns the validation age up to which keys may be accepted, or `None` if it is unbounded.
    pub fn max_validation_age(&self) -> Option<Duration> {
        self.settings.revocation_bound.map(key_validation_ttl)
    }

    /// Returns whether the document was not validated within `age`.
    ///
    /// Always false if revoked keys need not stop working on partitioned instances.
    pub fn validation_is_older(&self, age: Duration) -> bool {
        let validation_age = self.validation.borrow().validation_age(self.now());
        self.settings.revocation_bound.is_some()
            && validation_age.is_none_or(|current| current > age)
    }

    /// Records that the store had no document newer than the cached one in answer to a request sent
    /// at `sent_at`.
    pub fn record_document_validation(&self, sent_at: Instant) {
        let [version, _] = self.tables.borrow().versions();
        let mut tracker = self.validation.borrow_mut();
        tracker.adopt(version);
        tracker.record_store_version(sent_at, version);
    }

    /// Logs a change of [`Self::is_document_validated`] since the last call.
    pub fn log_validation_change(&self) {
        let validated = self.is_document_validated();
        if self.was_validated.replace(validated) == validated {
            return;
        }
        let version = self.directory.borrow().document().version;
        let age = self.validation.borrow().validation_age(self.now());
        if validated {
            log_event!(LogEvent::DocumentValidationRestored, "version={version} proof_age={age:?}");
        } else {
            log_event!(LogEvent::DocumentValidationExpired, "version={version} proof_age={age:?}");
        }
    }

    /// Returns whether the instance has announced that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving_since.get().is_some()
    }

    /// Returns the time at which the instance announced that it is leaving.
    pub fn leaving_since(&self) -> Option<Instant> {
        self.leaving_since.get()
    }

    /// Announces to caller sessions and peers that the instance is leaving.
    pub fn start_leaving(&self) {
        self.leaving_since.set(Some(self.now()));
        self.leave_signal.notify_waiters();
        self.refresh_status();
    }

    /// Waits until the instance announces that it is leaving.
    pub async fn wait_for_leaving(&self) {
        let signal = self.leave_signal.notified();
        if !self.is_leaving() {
            signal.await;
        }
    }

    /// Ends the wait for open sessions of an instance that is leaving.
    pub(crate) fn start_closing(&self) {
        self.drained_at.set(Some(self.now()));
        self.leave_signal.notify_waiters();
    }

    /// Returns the schedule of the planned stop, if the instance is leaving.
    pub(crate) fn stop_schedule(&self) -> Option<StopSchedule> {
        let began_at = self.leaving_since()?;
        Some(StopSchedule::new(began_at, self.grace_period(), self.drained_at.get()))
    }

    /// Returns whether the planned stop has reached a phase.
    pub(crate) fn has_stop_reached(&self, phase: StopPhase) -> bool {
        self.stop_schedule().is_some_and(|schedule| schedule.has_reached(phase, self.now()))
    }

    /// Waits until the planned stop reaches a phase.
    pub(crate) async fn wait_for_stop(&self, phase: StopPhase) {
        loop {
            let changed = self.leave_signal.notified();
            let Some(schedule) = self.stop_schedule() else {
                changed.await;
                continue;
            };
            let remaining = schedule.start_of(phase).saturating_duration_since(self.now());
            if remaining.is_zero() {
                return;
            }
            tokio::select! {
                () = changed => {}
                () = sleep(remaining) => {}
            }
        }
    }

    /// Returns whether the instance started so recently that it may not know all others yet.
    pub fn is_starting(&self) -> bool {
        self.now().saturating_duration_since(self.started_at) < DISCOVERY_PERIOD
    }

    /// Returns a transaction identifier, unique on this instance and never zero.
    pub fn new_transaction_id(&self) -> u32 {
        let transaction_id = self.next_transaction_id.get();
        self.next_transaction_id.set(transaction_id.wrapping_add(1).max(1));
        transaction_id
    }

    /// Returns the identifier of a new session.
    pub fn new_session_id(&self) -> SessionId {
        let number = self.next_session_number.get();
        self.next_session_number.set(number + 1);
        SessionId { incarnation: self.settings.record.incarnation, number }
    }

    /// Returns a random number from 0 to 1 for the choice between endpoints and the spread of retry
    /// delays.
    pub(crate) fn random_fraction(&self) -> f64 {
        self.rng.borrow_mut().random()
    }

    /// Records whether the store answered the last call. Logs changes.
    pub fn record_store_status(&self, reachable: bool, detail: &str) {
        if self.store_reachable.replace(reachable) == reachable {
            return;
        }
        // Peers in the availability zone may rely on this instance to read the store.
        self.refresh_status();
        if reachable {
            log_event!(LogEvent::PlatformFound, "service=store");
        } else {
            log_event!(LogEvent::PlatformLost, "service=store cause=\"{detail}\"");
        }
    }

    /// Returns whether the store answered the last call.
    pub fn is_store_reachable(&self) -> bool {
        self.store_reachable.get()
    }

    /// Returns the fencing token if this instance holds the promotion lease.
    pub fn promotion_token(&self) -> Option<u64> {
        self.promotion_token.get()
    }

    /// Sets the fencing token of the promotion lease, or `None` when the lease is lost.
    pub fn set_promotion_token(&self, token: Option<u64>) {
        if self.promotion_token.replace(token) != token {
            self.refresh_status();
            log_event!(LogEvent::PromotionLeaseChanged, "token={token:?}");
        }
    }

    /// Logs the zones whose phase changed, and updates their number in each phase.
    pub(crate) fn update_evacuations(&self) {
        let now = self.now();
        let mut directory = self.directory.borrow_mut();
        if directory.evacuations().is_empty() {
            return;
        }
        for (zone, phase) in directory.evacuations_mut().advance(now) {
            log_event!(LogEvent::ZonePhaseChanged, "zone={zone} phase={}", phase.label());
        }
        for phase in [ZonePhase::Leaving, ZonePhase::Closed, ZonePhase::Returning] {
            let count = directory.evacuations().count(phase, now);
            gauge!(meter::EVACUATED_ZONES, "phase" => phase.label()).set(count as f64);
        }
    }
}
