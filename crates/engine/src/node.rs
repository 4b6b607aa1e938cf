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

use crate::directory::FleetDirectory;
use crate::holder::ConnectionHolder;
use crate::interface::{PlatformApi, RowChange, WireCodec};
use crate::message::InstanceStatus;
use crate::peer::PeerTable;
use crate::record::InstanceRecord;
use crate::tables::TableCaches;

/// Choice of platform and protocol.
pub trait EngineEdge: 'static {
    /// Services of the platform.
    type Platform: PlatformApi;
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
    pub grace: Duration,
    /// Time after which a leaving endpoint gets no new work.
    pub drain_limit: Duration,
    /// Time within which a new document must be in force.
    pub document_bound: Duration,
    /// Time within which a withdrawn key must stop working on every instance, also on those cut off;
    /// none if only instances that reach the store are held to it.
    pub withdrawal_bound: Option<Duration>,
    /// Span in which the limits of teams hold.
    pub limit_window: LimitWindow,
}

/// Time after its start during which an instance of a first start may fill buckets.
const FIRST_START_TIME: Duration = Duration::from_secs(20);

/// One instance.
pub struct GatewayNode<E: EngineEdge> {
    /// Settings.
    pub settings: EngineSettings,
    /// Time.
    pub clock: SharedClock,
    /// Platform.
    pub platform: E::Platform,
    /// Document, endpoints, leaders.
    pub directory: RefCell<FleetDirectory>,
    /// Copies of the platform's tables.
    pub tables: RefCell<TableCaches>,
    /// Proofs that the document in force is the newest.
    pub confirmation: RefCell<ConfirmationMachine>,
    /// Other instances.
    pub peers: PeerTable,
    /// Connections to endpoints.
    pub holder: ConnectionHolder,
    /// Team limits that this instance counts.
    pub counters: RefCell<TeamCounters>,
    /// Wakes whoever tells other instances the status.
    pub announced: Notify,
    /// Open sessions of callers.
    pub callers: Cell<usize>,
    grace: Cell<Duration>,
    started_at: Instant,
    leaving_since: Cell<Option<Instant>>,
    leave_signal: Notify,
    store_reached: Cell<bool>,
    confirmed: Cell<bool>,
    duty: Cell<Option<u64>>,
    next_channel: Cell<u32>,
    next_session: Cell<u32>,
}

impl<E: EngineEdge> GatewayNode<E> {
    /// Creates an instance that knows nothing yet.
    pub fn new(settings: EngineSettings, clock: SharedClock, platform: E::Platform) -> Rc<Self> {
        let started_at = clock.now();
        let directory = FleetDirectory::new(settings.drain_limit);
        Rc::new(Self {
            peers: PeerTable::new(settings.record.clone()),
            directory: RefCell::new(directory),
            grace: Cell::new(settings.grace),
            counters: RefCell::new(TeamCounters::new(settings.limit_window)),
            settings,
            clock,
            platform,
            holder: ConnectionHolder::default(),
            tables: RefCell::default(),
            confirmation: RefCell::default(),
            confirmed: Cell::new(true),
            announced: Notify::new(),
            started_at,
            callers: Cell::new(0),
            leaving_since: Cell::new(None),
            leave_signal: Notify::new(),
            store_reached: Cell::new(false),
            duty: Cell::new(None),
            next_channel: Cell::new(1),
            next_session: Cell::new(1),
        })
    }

    /// Takes bounds that changed while the instance runs.
    pub fn apply_bounds(&self, grace: Duration, drain_limit: Duration) {
        self.grace.set(grace);
        self.directory.borrow_mut().set_drain_timeout(drain_limit);
    }

    /// Returns the time from the signal to stop until the process is killed.
    pub fn grace(&self) -> Duration {
        self.grace.get()
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
        !self.is_leaving() && self.directory.borrow().is_loaded() && self.is_document_confirmed()
    }

    /// Tells whether keys may be accepted: no withdrawal can have been missed for too long.
    pub fn is_document_confirmed(&self) -> bool {
        !self.withdrawal_limit().is_some_and(|limit| self.proof_is_older(limit))
    }

    /// Returns the age of a proof up to which keys may be accepted; none if keys need no proof.
    pub fn withdrawal_limit(&self) -> Option<Duration> {
        self.settings.withdrawal_bound.map(withdrawal_limit)
    }

    /// Tells whether withdrawn keys must stop everywhere and the document was not proved for longer
    /// than `age`.
    pub fn proof_is_older(&self, age: Duration) -> bool {
        let proof_age = self.confirmation.borrow().proof_age(self.now());
        self.settings.withdrawal_bound.is_some() && proof_age.is_none_or(|proof| proof > age)
    }

    /// Records that the store, asked at `asked_at`, had no document newer than the copy here.
    pub fn confirm_document(&self, asked_at: Instant) {
        let [version, _] = self.tables.borrow().versions();
        let mut confirmation = self.confirmation.borrow_mut();
        confirmation.adopt(version);
        confirmation.record_store(asked_at, version);
    }

    /// Logs when the document stops or starts to be confirmed.
    pub fn watch_confirmation(&self) {
        let confirmed = self.is_document_confirmed();
        if self.confirmed.replace(confirmed) == confirmed {
            return;
        }
        let version = self.directory.borrow().document().version;
        let age = self.confirmation.borrow().proof_age(self.now());
        if confirmed {
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
    pub fn leave(&self) {
        self.leaving_since.set(Some(self.now()));
        self.leave_signal.notify_waiters();
        self.announced.notify_waiters();
    }

    /// Waits until the instance is about to stop.
    pub async fn left(&self) {
        let signal = self.leave_signal.notified();
        if !self.is_leaving() {
            signal.await;
        }
    }

    /// Tells whether team buckets may start full: nothing was admitted before.
    pub fn is_first_start(&self) -> bool {
        let age = self.now().saturating_duration_since(self.started_at);
        self.settings.first_start && age < FIRST_START_TIME
    }

    /// Returns a number for a transaction, unique on this instance.
    pub fn new_channel(&self) -> u32 {
        let channel = self.next_channel.get();
        self.next_channel.set(channel.wrapping_add(1).max(1));
        channel
    }

    /// Returns a number for a session, unique over all instances.
    pub fn new_session(&self) -> u64 {
        let session = self.next_session.get();
        self.next_session.set(session.wrapping_add(1));
        (self.settings.record.incarnation & 0xffff_ffff) << 32 | u64::from(session)
    }

    /// Records whether the store answers.
    pub fn note_store(&self, reached: bool, detail: &str) {
        if self.store_reached.replace(reached) == reached {
            return;
        }
        // Others rely on whoever reads the store for them.
        self.announced.notify_waiters();
        if reached {
            log_event!(LogEvent::PlatformFound, "service=store");
        } else {
            log_event!(LogEvent::PlatformLost, "service=store cause=\"{detail}\"");
        }
    }

    /// Tells whether the store answered last.
    pub fn is_store_reached(&self) -> bool {
        self.store_reached.get()
    }

    /// Returns the fencing token if this instance is on duty.
    pub fn duty(&self) -> Option<u64> {
        self.duty.get()
    }

    /// Records whether this instance is on duty.
    pub fn set_duty(&self, token: Option<u64>) {
        if self.duty.replace(token) != token {
            self.announced.notify_waiters();
            log_event!(LogEvent::DutyChanged, "token={token:?}");
        }
    }

    /// Returns what the instance tells others about itself.
    pub fn status(&self) -> InstanceStatus {
        let directory = self.directory.borrow();
        InstanceStatus {
            leaving: self.is_leaving(),
            table_versions: self.tables.borrow().versions(),
            promotion_token: self.duty.get(),
            store_reachable: self.store_reached.get(),
            unreachable_endpoints: self.holder.failing(),
            leaders: directory.leaders(),
        }
    }

    /// Takes a change of a watched row.
    pub fn apply(&self, change: RowChange) {
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
            RowChange::DocumentInvalid(reason) => {
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
            RowChange::EndpointRemoved { name, reason } => {
                if self.directory.borrow_mut().unregister_endpoint(&name, now) {
                    let reason = reason.unwrap_or_else(|| "row removed".to_owned());
                    log_event!(LogEvent::EndpointUnlisted, "endpoint={name} cause=\"{reason}\"");
                }
            }
        }
    }
}
