//! State that the tasks of one instance share.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use clock::SharedClock;
use coord::confirmation::{ConfirmationMachine, withdrawal_limit};
use coord::quota::{LimitWindow, TeamCounters};
use telemetry::event::LogEvent;
use telemetry::log_event;
use tokio::sync::Notify;

use crate::connection_owner::ConnectionPools;
use crate::directory::FleetDirectory;
use crate::link::{PlatformLink, RowChange, WireCodec};
use crate::message::InstanceStatus;
use crate::peer::PeerTable;
use crate::record::InstanceRecord;
use crate::tables::TableCopies;

/// Choice of platform and protocol.
pub trait EngineTypes: 'static {
    /// Services of the platform.
    type Platform: PlatformLink;
    /// Protocol of callers and endpoints.
    type Codec: WireCodec;
}

/// Settings of an instance.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Own registration.
    pub record: InstanceRecord,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// The whole system starts for the first time.
    pub first_start: bool,
    /// Time from the signal to stop until the process is killed.
    pub grace_period: Duration,
    /// Time after which a leaving endpoint gets no new work.
    pub drain_timeout: Duration,
    /// Time within which a new document must be in force.
    pub document_bound: Duration,
    /// Time within which a withdrawn key must stop working on every instance, also on those cut off;
    /// none if only instances that reach the store are held to it.
    pub revocation_bound: Option<Duration>,
    /// Span in which the limits of teams hold.
    pub limit_window: LimitWindow,
}

/// Time after its start during which an instance of a first start may fill buckets.
const FIRST_START_PERIOD: Duration = Duration::from_secs(20);

/// One instance.
pub struct GatewayInstance<E: EngineTypes> {
    /// Settings.
    pub settings: EngineSettings,
    /// Time.
    pub clock: SharedClock,
    /// Platform.
    pub platform: E::Platform,
    /// Document, endpoints, leaders.
    pub directory: RefCell<FleetDirectory>,
    /// Copies of the platform's tables.
    pub tables: RefCell<TableCopies>,
    /// Proofs that the document in force is the newest.
    pub validation: RefCell<ConfirmationMachine>,
    /// Other instances.
    pub peers: PeerTable,
    /// Connections to endpoints.
    pub pools: ConnectionPools,
    /// Team limits that this instance counts.
    pub quotas: RefCell<TeamCounters>,
    /// Wakes whoever tells other instances the status.
    pub status_changed: Notify,
    /// Open sessions of callers.
    pub caller_count: Cell<usize>,
    grace_period: Cell<Duration>,
    started_at: Instant,
    leaving_since: Cell<Option<Instant>>,
    leave_signal: Notify,
    store_reachable: Cell<bool>,
    was_validated: Cell<bool>,
    promotion_token: Cell<Option<u64>>,
    next_transaction_id: Cell<u32>,
    next_session_id: Cell<u32>,
}

impl<E: EngineTypes> GatewayInstance<E> {
    /// Creates an instance that knows nothing yet.
    pub fn new(settings: EngineSettings, clock: SharedClock, platform: E::Platform) -> Rc<Self> {
        let started_at = clock.now();
        let directory = FleetDirectory::new(settings.drain_timeout);
        Rc::new(Self {
            peers: PeerTable::new(settings.record.clone()),
            directory: RefCell::new(directory),
            grace_period: Cell::new(settings.grace_period),
            quotas: RefCell::new(TeamCounters::new(settings.limit_window)),
            settings,
            clock,
            platform,
            pools: ConnectionPools::default(),
            tables: RefCell::default(),
            validation: RefCell::default(),
            was_validated: Cell::new(true),
            status_changed: Notify::new(),
            started_at,
            caller_count: Cell::new(0),
            leaving_since: Cell::new(None),
            leave_signal: Notify::new(),
            store_reachable: Cell::new(false),
            promotion_token: Cell::new(None),
            next_transaction_id: Cell::new(1),
            next_session_id: Cell::new(1),
        })
    }

    /// Takes bounds that changed while the instance runs.
    pub fn update_limits(&self, grace: Duration, drain_limit: Duration) {
        self.grace_period.set(grace);
        self.directory.borrow_mut().set_drain_limit(drain_limit);
    }

    /// Returns the time from the signal to stop until the process is killed.
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

    /// Tells whether the instance can serve callers and is not about to stop.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.directory.borrow().is_complete() && self.is_document_validated()
    }

    /// Tells whether keys may be accepted: no withdrawal can have been missed for too long.
    pub fn is_document_validated(&self) -> bool {
        !self.max_validation_age().is_some_and(|limit| self.validation_is_older(limit))
    }

    /// Returns the age of a proof up to which keys may be accepted; none if keys need no proof.
    pub fn max_validation_age(&self) -> Option<Duration> {
        self.settings.revocation_bound.map(withdrawal_limit)
    }

    /// Tells whether withdrawn keys must stop everywhere and the document was not proved for longer
    /// than `age`.
    pub fn validation_is_older(&self, age: Duration) -> bool {
        let proof_age = self.validation.borrow().proof_age(self.now());
        self.settings.revocation_bound.is_some() && proof_age.is_none_or(|proof| proof > age)
    }

    /// Records that the store, asked at `asked_at`, had no document newer than the copy here.
    pub fn record_document_validation(&self, asked_at: Instant) {
        let [version, _] = self.tables.borrow().versions();
        let mut confirmation = self.validation.borrow_mut();
        confirmation.adopt(version);
        confirmation.record_store(asked_at, version);
    }

    /// Logs when the document stops or starts to be confirmed.
    pub fn log_validation_change(&self) {
        let validated = self.is_document_validated();
        if self.was_validated.replace(validated) == validated {
            return;
        }
        let version = self.directory.borrow().document().version;
        let age = self.validation.borrow().proof_age(self.now());
        if validated {
            log_event!(LogEvent::DocumentConfirmed, "version={version} proof_age={age:?}");
        } else {
            log_event!(LogEvent::DocumentUnconfirmed, "version={version} proof_age={age:?}");
        }
    }

    /// Tells whether the instance is about to stop.
    pub fn is_leaving(&self) -> bool {
        self.leaving_since.get().is_some()
    }

    /// Returns the time at which the instance said that it is about to stop.
    pub fn leaving_since(&self) -> Option<Instant> {
        self.leaving_since.get()
    }

    /// Announces that the instance is about to stop.
    pub fn start_leaving(&self) {
        self.leaving_since.set(Some(self.now()));
        self.leave_signal.notify_waiters();
        self.status_changed.notify_waiters();
    }

    /// Waits until the instance is about to stop.
    pub async fn wait_for_leaving(&self) {
        let signal = self.leave_signal.notified();
        if !self.is_leaving() {
            signal.await;
        }
    }

    /// Tells whether team buckets may start full: nothing was admitted before.
    pub fn is_first_start(&self) -> bool {
        let age = self.now().saturating_duration_since(self.started_at);
        self.settings.first_start && age < FIRST_START_PERIOD
    }

    /// Returns a number for a transaction, unique on this instance.
    pub fn new_transaction_id(&self) -> u32 {
        let transaction_id = self.next_transaction_id.get();
        self.next_transaction_id.set(transaction_id.wrapping_add(1).max(1));
        transaction_id
    }

    /// Returns a number for a session, unique over all instances.
    pub fn new_session_id(&self) -> u64 {
        let session_id = self.next_session_id.get();
        self.next_session_id.set(session_id.wrapping_add(1));
        (self.settings.record.incarnation & 0xffff_ffff) << 32 | u64::from(session_id)
    }

    /// Records whether the store answers.
    pub fn record_store_status(&self, reachable: bool, detail: &str) {
        if self.store_reachable.replace(reachable) == reachable {
            return;
        }
        // Others rely on whoever reads the store for them.
        self.status_changed.notify_waiters();
        if reachable {
            log_event!(LogEvent::PlatformFound, "service=store");
        } else {
            log_event!(LogEvent::PlatformLost, "service=store cause=\"{detail}\"");
        }
    }

    /// Tells whether the store answered last.
    pub fn is_store_reachable(&self) -> bool {
        self.store_reachable.get()
    }

    /// Returns the fencing token if this instance is on duty.
    pub fn promotion_token(&self) -> Option<u64> {
        self.promotion_token.get()
    }

    /// Records whether this instance is on duty.
    pub fn set_promotion_token(&self, token: Option<u64>) {
        if self.promotion_token.replace(token) != token {
            self.status_changed.notify_waiters();
            log_event!(LogEvent::DutyChanged, "token={token:?}");
        }
    }

    /// Returns what the instance tells others about itself.
    pub fn status(&self) -> InstanceStatus {
        let directory = self.directory.borrow();
        InstanceStatus {
            leaving: self.is_leaving(),
            tables: self.tables.borrow().versions(),
            duty: self.promotion_token.get(),
            store_reached: self.store_reachable.get(),
            failing: self.pools.failing_endpoints(),
            leaders: directory.leaders(),
        }
    }

    /// Takes a change of a watched row.
    pub fn apply_row_change(&self, change: RowChange) {
        let now = self.now();
        match change {
            RowChange::Document(document) => {
                let (version, routes) = (document.version, document.routes.len());
                let teams = document.teams.len();
                if self.directory.borrow_mut().apply_document(document) {
                    log_event!(
                        LogEvent::DocumentInForce,
                        "version={version} routes={routes} teams={teams}"
                    );
                }
            }
            RowChange::DocumentUnreadable(reason) => {
                log_event!(LogEvent::DocumentRefused, "cause=\"{reason}\"");
            }
            RowChange::Endpoint(record) => {
                let line = format!(
                    "endpoint={} service={} zone={} leaving={} leads={}",
                    record.name, record.service, record.zone, record.leaving, record.leads
                );
                if self.directory.borrow_mut().apply_endpoint(record, now) {
                    log_event!(LogEvent::EndpointListed, "{line}");
                }
            }
            RowChange::EndpointGone { name, reason } => {
                if self.directory.borrow_mut().remove_endpoint(&name, now) {
                    let reason = reason.unwrap_or_else(|| "row removed".to_owned());
                    log_event!(LogEvent::EndpointUnlisted, "endpoint={name} cause=\"{reason}\"");
                }
            }
        }
    }
}
