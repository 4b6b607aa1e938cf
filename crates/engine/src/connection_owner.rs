//! Endpoint connections that this instance owns on behalf of all instances.
//!
//! An endpoint has one connection owner as long as all instances agree on which instances are live,
//! so there is one queue and one connection count per endpoint. While they disagree, the endpoint
//! itself refuses connections over its limit, and the refused owner backs off.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use coord::placement::{IdleConnectionKind, connection_limit};
use coord::priority::{PriorityLevel, PriorityQueue};
use coord::promotion::MemberReport;
use coord::rendezvous;
use coord::session::TransactionState;
use coord::watermark::Watermark;
use telemetry::event::LogEvent;
use telemetry::log_event;
use tokio::sync::{Notify, oneshot};
use tokio::time::{sleep, timeout};

use crate::endpoint_connection::{
    CONNECT_TIMEOUT, EndpointConnection, EndpointError, OPEN_TIMEOUT,
};
use crate::instance::{EngineTypes, GatewayInstance};
use crate::interface::{ControlStatement, RefusalCode, WireCodec};
use crate::message::{
    ExecuteCall, ExecuteOutcome, ExecuteReply, NotSentReason, StatementAnswer, millis,
};
use crate::pool::{
    AcquireError, EndpointPool, IdleConnection, PooledConnection, RECONNECT_BACKOFF, RunPermit,
    acquire_idle, remove_oldest_idle,
};

/// Permits beyond the endpoint's slots, which keep the slots busy while answers are in transit.
const EXTRA_PERMITS: usize = 1;
/// Pause before the next connection attempt after the endpoint refused one for capacity.
const CONNECTION_LIMIT_BACKOFF: Duration = Duration::from_millis(100);
/// Shortest timeout for opening a connection, even if the request has less time left.
const MIN_OPEN_TIMEOUT: Duration = Duration::from_millis(60);
/// Time without any response to outstanding statements after which the endpoint is probed on a new
/// connection.
const STALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Bounds a probe, including the opening of its connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(350);
/// Bounds a rollback and the liveness check of an idle connection.
const CLEANUP_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle time after which the liveness of a connection is checked before it carries a call that is
/// not retryable.
const MIN_IDLE_BEFORE_CHECK: Duration = Duration::from_millis(1_500);
/// Setup identifier of a connection whose session settings are not known.
const UNKNOWN_SETUP_ID: u64 = u64::MAX;

/// Identifies the source of calls: a connection from a peer instance, or zero for this instance.
pub type CallOrigin = u64;

/// Pools of the endpoints whose connections this instance owns, and the connections pinned to open
/// transactions.
#[derive(Debug, Default)]
pub struct ConnectionPools {
    by_endpoint: RefCell<HashMap<String, Rc<EndpointPool>>>,
    pinned: RefCell<HashMap<(CallOrigin, u32), PooledConnection>>,
    live_origins: RefCell<HashMap<CallOrigin, ()>>,
    next_origin: Cell<CallOrigin>,
}

impl ConnectionPools {
    /// Registers a connection from a peer instance and returns the origin of its calls.
    pub fn register_origin(&self) -> CallOrigin {
        let origin = self.next_origin.get() + 1;
        self.next_origin.set(origin);
        self.live_origins.borrow_mut().insert(origin, ());
        origin
    }

    /// Returns the sorted names of the endpoints that cannot be reached.
    pub fn unreachable_endpoints(&self) -> Vec<String> {
        let pools = self.by_endpoint.borrow();
        let unreachable = pools.values().filter(|pool| pool.unreachable_since.get().is_some());
        let mut names: Vec<String> = unreachable.map(|pool| pool.endpoint.clone()).collect();
        names.sort();
        names
    }

    /// Returns the number of endpoints that have responded and can be reached.
    pub fn reachable_count(&self) -> usize {
        let is_reachable = |pool: &&Rc<EndpointPool>| {
            pool.unreachable_since.get().is_none() && pool.last_response_at.get().is_some()
        };
        self.by_endpoint.borrow().values().filter(is_reachable).count()
    }

    /// Returns the time since which an endpoint cannot be reached.
    pub fn unreachable_since(&self, endpoint: &str) -> Option<Instant> {
        self.by_endpoint.borrow().get(endpoint).and_then(|pool| pool.unreachable_since.get())
    }

    /// Returns the number of running and queued requests in all pools.
    pub fn outstanding_requests(&self) -> usize {
        let outstanding = |pool: &Rc<EndpointPool>| {
            let queue = pool.queue.borrow();
            queue.in_use() + queue.waiting_up_to(PriorityLevel::MAX)
        };
        self.by_endpoint.borrow().values().map(outstanding).sum()
    }

    /// Returns whether any connection is pinned to an open transaction of any instance.
    pub fn has_pinned_connections(&self) -> bool {
        !self.pinned.borrow().is_empty()
    }

    /// Returns whether a connection is pinned to an open transaction of this origin.
    pub fn has_pinned_by(&self, origin: CallOrigin) -> bool {
        self.pinned.borrow().keys().any(|key| key.0 == origin)
    }

    /// Returns whether the calls come from this instance or from a peer connection that is open.
    fn is_live_origin(&self, origin: CallOrigin) -> bool {
        origin == 0 || self.live_origins.borrow().contains_key(&origin)
    }
}

impl<E: EngineTypes> GatewayInstance<E> {
    /// Runs a call on an endpoint as its connection owner.
    pub async fn execute_locally(
        self: &Rc<Self>,
        origin: CallOrigin,
        call: ExecuteCall,
    ) -> ExecuteReply {
        let Some(pool) = self.pool(&call.endpoint) else {
            return not_sent_reply(NotSentReason::UnknownEndpoint, 0);
        };
        let outcome = self.execute_in_pool(&pool, origin, &call).await;
        let now = self.now();
        let queue_wait = pool.queue.borrow().expected_wait(call.priority);
        let directory = self.directory.borrow();
        let newest = directory.watermarks(&pool.service).and_then(|watermarks| watermarks.newest());
        let with_age = |watermark: Watermark| {
            (watermark.position, millis(now.saturating_duration_since(watermark.as_of)) + 1)
        };
        ExecuteReply { outcome, queue_wait_ms: millis(queue_wait), watermark: newest.map(with_age) }
    }

    /// Rolls a transaction back and returns its connection to the pool.
    pub fn release_locally(self: &Rc<Self>, origin: CallOrigin, transaction_id: u32) {
        let pinned = self.pools.pinned.borrow_mut().remove(&(origin, transaction_id));
        let Some(pinned) = pinned else {
            return;
        };
        self.roll_back(pinned);
    }

    /// Unregisters a closed peer connection and rolls back its open transactions.
    pub fn unregister_origin(self: &Rc<Self>, origin: CallOrigin) {
        self.pools.live_origins.borrow_mut().remove(&origin);
        let transactions: Vec<(CallOrigin, u32)> =
            self.pools.pinned.borrow().keys().filter(|key| key.0 == origin).copied().collect();
        for (_, transaction_id) in transactions {
            self.release_locally(origin, transaction_id);
        }
    }

    /// Requests the status of an endpoint on a new connection.
    ///
    /// Returns `None` if the endpoint does not answer within `PROBE_TIMEOUT`.
    pub async fn probe_member(&self, endpoint: &str) -> Option<MemberReport> {
        let (service, address) = {
            let directory = self.directory.borrow();
            let entry = directory.endpoint(endpoint)?;
            (entry.record.service.clone(), entry.record.address)
        };
        let probe = async {
            let mut startup = Vec::new();
            E::Codec::encode_startup(&mut startup, &service, PROBE_TEAM, endpoint);
            E::Codec::encode_control(&mut startup, ControlStatement::Status);
            let mut connection =
                EndpointConnection::open::<E::Codec>(address, &startup, OPEN_TIMEOUT).await?;
            connection.read_answer::<E::Codec>().await
        };
        match timeout(PROBE_TIMEOUT, probe).await {
            Ok(Ok(answer)) => E::Codec::decode_status(&answer.content),
            Ok(Err(_)) | Err(_) => None,
        }
    }

    /// Evicts connections that were idle for too long or that are broken, and removes the pools of
    /// unregistered and restarted endpoints.
    ///
    /// Connections to endpoints that another instance owns have a shorter idle timeout. The limits of
    /// all pools are updated and unreachable endpoints are probed.
    pub fn evict_idle_connections(self: &Rc<Self>) {
        let now = self.now();
        let pools: Vec<Rc<EndpointPool>> =
            self.pools.by_endpoint.borrow().values().cloned().collect();
        for pool in pools {
            if pool.unreachable_since.get().is_some() {
                // Another instance owns its connections meanwhile, so no request here would show
                // that the endpoint has recovered.
                self.spawn_probe(&pool);
            }
            self.resize_pool(&pool);
            let registered_start = self
                .directory
                .borrow()
                .endpoint(&pool.endpoint)
                .map(|entry| entry.record.started_ms);
            let owned_here = registered_start.is_some()
                && self
                    .connection_owners(&pool.endpoint)
                    .first()
                    .is_some_and(|name| name == self.name());
            let last_use = last_use_by_team(&pool);
            let mut evicted = Vec::new();
            pool.idle.borrow_mut().retain_mut(|idle| {
                let kind = match last_use.get(&idle.team) {
                    _ if !owned_here => IdleConnectionKind::Moved,
                    Some(used_at) if *used_at > idle.idle_since => IdleConnectionKind::Surplus,
                    _ => IdleConnectionKind::LastUsed,
                };
                let idle_time = now.saturating_duration_since(idle.idle_since);
                let expired = idle_time > kind.idle_timeout();
                if expired || idle.connection.is_broken() {
                    evicted.push(());
                    return false;
                }
                true
            });
            pool.open_count.set(pool.open_count.get().saturating_sub(evicted.len()));
            while pool.open_count.get() > pool.max_open.get()
                && let Some(idle) = remove_oldest_idle(&pool)
            {
                pool.close_connection(idle.connection);
            }
            if !evicted.is_empty() {
                pool.connection_freed.notify_one();
            }
            let is_stale = registered_start != Some(pool.started_ms);
            if is_stale && pool.open_count.get() == 0 {
                self.pools.by_endpoint.borrow_mut().remove(&pool.endpoint);
            }
        }
    }

    /// Updates connection limit and permits of a pool from the document, the registration and the
    /// reachable fraction of instances.
    fn resize_pool(&self, pool: &EndpointPool) {
        let directory = self.directory.borrow();
        let document = directory.document();
        let reachable_fraction = self.quotas.borrow().reachable_fraction();
        if let Some(service) = document.service(&pool.service) {
            pool.max_open.set(connection_limit(service.max_connections, reachable_fraction));
        }
        if let Some(entry) = directory.endpoint(&pool.endpoint) {
            pool.queue.borrow_mut().resize(entry.record.slots.max(1) + EXTRA_PERMITS);
        }
    }

    /// Returns the pool of a registered endpoint and creates it if needed.
    ///
    /// A restarted endpoint gets a new pool.
    fn pool(&self, endpoint: &str) -> Option<Rc<EndpointPool>> {
        let directory = self.directory.borrow();
        let entry = directory.endpoint(endpoint)?;
        let mut pools = self.pools.by_endpoint.borrow_mut();
        if let Some(pool) =
            pools.get(endpoint).filter(|pool| pool.started_ms == entry.record.started_ms)
        {
            return Some(pool.clone());
        }
        let pool = Rc::new(EndpointPool {
            endpoint: endpoint.to_owned(),
            service: entry.record.service.clone(),
            address: entry.record.address,
            started_ms: entry.record.started_ms,
            queue: RefCell::new(PriorityQueue::new(1)),
            idle: RefCell::default(),
            open_count: Cell::new(0),
            max_open: Cell::new(1),
            connection_freed: Notify::new(),
            unreachable_since: Cell::new(None),
            last_attempt_at: Cell::new(None),
            last_response_at: Cell::new(None),
            probe_in_flight: Cell::new(false),
            connections_refused_at: Cell::new(None),
        });
        self.resize_pool(&pool);
        pools.insert(endpoint.to_owned(), pool.clone());
        Some(pool)
    }

    /// Waits for a permit and a connection, and runs a call on them.
    async fn execute_in_pool(
        self: &Rc<Self>,
        pool: &Rc<EndpointPool>,
        origin: CallOrigin,
        call: &ExecuteCall,
    ) -> ExecuteOutcome {
        let received_at = self.now();
        let deadline = received_at + Duration::from_millis(call.answer_timeout_ms.into());
        let permit = if call.pinned {
            pool.queue.borrow_mut().acquire_pinned();
            self.new_permit(pool, call.priority, team_hash(&call.team))
        } else {
            if pool.is_in_backoff(received_at) {
                return not_sent(NotSentReason::Unreachable, RECONNECT_BACKOFF);
            }
            match self.acquire_permit(pool, call, received_at).await {
                Ok(permit) => permit,
                Err(retry) => return not_sent(NotSentReason::QueueDelay, retry),
            }
        };
        let mut connection = if call.pinned {
            let taken = self.pools.pinned.borrow_mut().remove(&(origin, call.transaction_id));
            match taken {
                Some(pinned) => pinned.connection,
                None => return not_sent(NotSentReason::PinLost, Duration::ZERO),
            }
        } else {
            let latest_start = received_at + Duration::from_millis(call.start_timeout_ms.into());
            match self.acquire_connection(pool, call, latest_start).await {
                Ok(connection) => connection,
                Err(AcquireError::Unreachable) => {
                    return not_sent(NotSentReason::Unreachable, RECONNECT_BACKOFF);
                }
                Err(AcquireError::Full) => {
                    let retry =
                        pool.queue.borrow().expected_team_wait(permit.priority, permit.team_hash);
                    return not_sent(NotSentReason::NoConnection, retry);
                }
            }
        };
        let sent_at = self.now();
        let remaining = deadline.saturating_duration_since(sent_at);
        let exchange = self.exchange(pool, &mut connection, call);
        let answers = match timeout(remaining, exchange).await {
            Ok(Some(answers)) => answers,
            Ok(None) | Err(_) => {
                pool.close_connection(connection);
                return ExecuteOutcome::InDoubt;
            }
        };
        drop(permit);
        self.record_answers(pool, call, &answers, sent_at);
        self.recycle_connection(pool, origin, call, connection, &answers);
        ExecuteOutcome::Answered(answers)
    }

    fn new_permit(
        &self,
        pool: &Rc<EndpointPool>,
        priority: PriorityLevel,
        team_hash: u64,
    ) -> RunPermit {
        let (clock, acquired_at) = (self.clock.clone(), self.now());
        RunPermit { pool: pool.clone(), clock, priority, team_hash, acquired_at }
    }

    /// Acquires a permit, or returns the expected wait if the call would start too late.
    async fn acquire_permit(
        &self,
        pool: &Rc<EndpointPool>,
        call: &ExecuteCall,
        now: Instant,
    ) -> Result<RunPermit, Duration> {
        let (priority, team_hash) = (call.priority, team_hash(&call.team));
        if pool.queue.borrow_mut().try_acquire(priority) {
            return Ok(self.new_permit(pool, priority, team_hash));
        }
        let wait = Duration::from_millis(call.start_timeout_ms.into());
        let (sender, mut receiver) = oneshot::channel();
        let pushed = pool.queue.borrow_mut().push(priority, team_hash, sender, now + wait, now);
        let expected =
            |pool: &EndpointPool| pool.queue.borrow().expected_team_wait(priority, team_hash);
        if pushed.is_err() {
            return Err(expected(pool));
        }
        match timeout(wait, &mut receiver).await {
            Ok(Ok(())) => Ok(self.new_permit(pool, priority, team_hash)),
            Ok(Err(_)) => Err(expected(pool)),
            Err(_) => {
                receiver.close();
                match receiver.try_recv() {
                    Ok(()) => Ok(self.new_permit(pool, priority, team_hash)),
                    Err(_) => Err(expected(pool)),
                }
            }
        }
    }

    /// Takes an idle connection of the team, opens one or waits for one until `latest_start`.
    async fn acquire_connection(
        self: &Rc<Self>,
        pool: &Rc<EndpointPool>,
        call: &ExecuteCall,
        latest_start: Instant,
    ) -> Result<EndpointConnection, AcquireError> {
        loop {
            let now = self.now();
            if let Some(idle) = acquire_idle(pool, &call.team) {
                let idle_time = now.saturating_duration_since(idle.idle_since);
                if idle_time < MIN_IDLE_BEFORE_CHECK || call.retryable {
                    return Ok(idle.connection);
                }
                match self.check_connection(idle.connection).await {
                    Some(connection) => return Ok(connection),
                    None => {
                        pool.open_count.set(pool.open_count.get().saturating_sub(1));
                        continue;
                    }
                }
            }
            let recently_refused =
                |at: Instant| now.saturating_duration_since(at) < CONNECTION_LIMIT_BACKOFF;
            let full = pool.connections_refused_at.get().is_some_and(recently_refused);
            if pool.open_count.get() < pool.max_open.get() && !full {
                let open_timeout = latest_start
                    .saturating_duration_since(now)
                    .clamp(MIN_OPEN_TIMEOUT, OPEN_TIMEOUT);
                return self.open_connection(pool, &call.team, open_timeout).await;
            }
            if let Some(idle) = remove_oldest_idle(pool) {
                pool.close_connection(idle.connection);
                continue;
            }
            let remaining = latest_start.saturating_duration_since(now);
            if remaining.is_zero()
                || timeout(remaining, pool.connection_freed.notified()).await.is_err()
            {
                return Err(AcquireError::Full);
            }
        }
    }

    async fn open_connection(
        &self,
        pool: &Rc<EndpointPool>,
        team: &str,
        open_timeout: Duration,
    ) -> Result<EndpointConnection, AcquireError> {
        pool.open_count.set(pool.open_count.get() + 1);
        pool.last_attempt_at.set(Some(self.now()));
        let mut startup = Vec::new();
        E::Codec::encode_startup(&mut startup, &pool.service, team, &pool.endpoint);
        let opened =
            EndpointConnection::open::<E::Codec>(pool.address, &startup, open_timeout).await;
        let now = self.now();
        match opened {
            Ok(connection) => {
                pool.record_response(now);
                Ok(connection)
            }
            Err(error) => {
                pool.open_count.set(pool.open_count.get().saturating_sub(1));
                pool.connection_freed.notify_one();
                if let EndpointError::SessionRefused {
                    code: RefusalCode::TooManyConnections | RefusalCode::Busy,
                } = error
                {
                    pool.connections_refused_at.set(Some(now));
                    return Err(AcquireError::Full);
                }
                // A timeout shorter than `CONNECT_TIMEOUT` does not show that the endpoint is
                // unreachable.
                if open_timeout >= CONNECT_TIMEOUT
                    || !matches!(error, EndpointError::ConnectTimeout)
                {
                    pool.record_failure(now, &error);
                }
                self.refresh_status();
                Err(AcquireError::Unreachable)
            }
        }
    }

    /// Checks the liveness of an idle connection by a reset, which removes its session settings.
    ///
    /// Returns `None` if the check fails or times out.
    async fn check_connection(
        &self,
        mut connection: EndpointConnection,
    ) -> Option<EndpointConnection> {
        let mut bytes = Vec::new();
        E::Codec::encode_control(&mut bytes, ControlStatement::Reset);
        connection.applied_setup_id = 0;
        let check = async {
            connection.send(&bytes).await.ok()?;
            connection.read_answer::<E::Codec>().await.ok()
        };
        timeout(CLEANUP_TIMEOUT, check).await.ok().flatten()?;
        Some(connection)
    }

    /// Sends the statements and reads their answers. Returns `None` if the connection is lost.
    ///
    /// A statement that opens a transaction must succeed before the others are sent.
    async fn exchange(
        self: &Rc<Self>,
        pool: &Rc<EndpointPool>,
        connection: &mut EndpointConnection,
        call: &ExecuteCall,
    ) -> Option<Vec<StatementAnswer>> {
        let needs_setup = call.pinned || connection.applied_setup_id != call.setup_id;
        let setup_count = if needs_setup { call.setup_count } else { 0 };
        let setup_bytes = if setup_count > 0 { call.setup_bytes.as_slice() } else { &[] };
        let opens_transaction = !call.begin_bytes.is_empty();
        let first_bytes = if opens_transaction { &call.begin_bytes } else { &call.bytes };
        if setup_bytes.is_empty() {
            connection.send(first_bytes).await.ok()?;
        } else {
            connection.send(&[setup_bytes, first_bytes].concat()).await.ok()?;
        }
        if !call.pinned {
            connection.applied_setup_id = call.setup_id;
        }
        for _ in 0..setup_count {
            let answer = self.read_answer_or_probe(pool, connection, call).await?;
            if answer.error.is_some() {
                connection.applied_setup_id = UNKNOWN_SETUP_ID;
            }
        }
        if opens_transaction {
            let begin_answer = self.read_answer_or_probe(pool, connection, call).await?;
            if begin_answer.error.is_some() {
                return Some(vec![begin_answer]);
            }
            connection.send(&call.bytes).await.ok()?;
            let mut answers = vec![begin_answer];
            for _ in 0..call.count {
                answers.push(self.read_answer_or_probe(pool, connection, call).await?);
            }
            return Some(answers);
        }
        let mut answers = Vec::with_capacity(call.count.into());
        for _ in 0..call.count {
            answers.push(self.read_answer_or_probe(pool, connection, call).await?);
        }
        Some(answers)
    }

    /// Reads an answer, and probes the endpoint on a new connection while it does not respond.
    ///
    /// Returns `None` if the connection is lost, or if the probe fails and the call is retryable.
    async fn read_answer_or_probe(
        self: &Rc<Self>,
        pool: &Rc<EndpointPool>,
        connection: &mut EndpointConnection,
        call: &ExecuteCall,
    ) -> Option<StatementAnswer> {
        let reading = connection.read_answer::<E::Codec>();
        tokio::pin!(reading);
        loop {
            tokio::select! {
                answer = &mut reading => {
                    let answer = answer.ok()?;
                    pool.record_response(self.now());
                    return Some(answer);
                }
                () = sleep(STALL_TIMEOUT) => {
                    if call.retryable && pool.unreachable_since.get().is_some() {
                        return None;
                    }
                    self.probe_if_stalled(pool);
                }
            }
        }
    }

    /// Probes an endpoint if none of its connections has had a response for [`STALL_TIMEOUT`].
    fn probe_if_stalled(self: &Rc<Self>, pool: &Rc<EndpointPool>) {
        let now = self.now();
        let responded_recently = |at: Instant| now.saturating_duration_since(at) < STALL_TIMEOUT;
        if !pool.last_response_at.get().is_some_and(responded_recently) {
            self.spawn_probe(pool);
        }
    }

    /// Starts a probe of an endpoint unless one is in flight.
    fn spawn_probe(self: &Rc<Self>, pool: &Rc<EndpointPool>) {
        if pool.probe_in_flight.replace(true) {
            return;
        }
        let (instance, pool) = (self.clone(), pool.clone());
        tokio::task::spawn_local(async move {
            let reached = instance.probe_member(&pool.endpoint).await.is_some();
            let now = instance.now();
            if reached {
                pool.record_response(now);
                instance.refresh_status();
            } else {
                pool.record_failure(now, &EndpointError::ConnectTimeout);
                instance.refresh_status();
                pool.last_attempt_at.set(Some(now));
            }
            pool.probe_in_flight.set(false);
        });
    }

    /// Records the position and the leadership of an endpoint from the answers to a call.
    fn record_answers(
        &self,
        pool: &EndpointPool,
        call: &ExecuteCall,
        answers: &[StatementAnswer],
        sent_at: Instant,
    ) {
        let now = self.now();
        let mut directory = self.directory.borrow_mut();
        if let Some(position) = answers.iter().rev().find_map(|answer| answer.position) {
            directory.update_view(&pool.endpoint, |view| view.position = Some((position, now)));
        }
        let Some(confirming_answer) =
            call.confirming_answer_index.and_then(|index| answers.get(usize::from(index)))
        else {
            return;
        };
        match (confirming_answer.error, confirming_answer.position) {
            (None, Some(position)) => {
                let watermark = Watermark { as_of: sent_at, position };
                if directory.record_leader_watermark(&pool.endpoint, watermark) {
                    self.peers.changed.notify_one();
                    log_event!(
                        LogEvent::PrimaryChanged,
                        "service={} endpoint={} term={}",
                        pool.service,
                        pool.endpoint,
                        position.term
                    );
                }
            }
            (Some(RefusalCode::ReadOnly), _) => {
                directory.update_view(&pool.endpoint, |view| view.not_leader_at = Some(now));
            }
            _ => {}
        }
    }

    /// Pins a connection to its transaction, or returns it to the pool, after a rollback if needed.
    fn recycle_connection(
        self: &Rc<Self>,
        pool: &Rc<EndpointPool>,
        origin: CallOrigin,
        call: &ExecuteCall,
        connection: EndpointConnection,
        answers: &[StatementAnswer],
    ) {
        let state = answers.last().map_or(TransactionState::Failed, |answer| answer.state);
        let pooled = PooledConnection { pool: pool.clone(), team: call.team.clone(), connection };
        // A failed statement may leave the transaction open at the endpoint, but its session
        // abandons it.
        let failed = answers.iter().any(|answer| answer.error.is_some());
        let kept = call.keep_pinned && !failed && self.pools.is_live_origin(origin);
        match state {
            TransactionState::Open if kept => {
                self.pools.pinned.borrow_mut().insert((origin, call.transaction_id), pooled);
            }
            TransactionState::Idle => self.return_idle(pooled),
            TransactionState::Open | TransactionState::Failed => self.roll_back(pooled),
        }
    }

    /// Returns a connection to its pool.
    fn return_idle(&self, pooled: PooledConnection) {
        let PooledConnection { pool, team, connection } = pooled;
        let idle_since = self.now();
        pool.idle.borrow_mut().push(IdleConnection { team, connection, idle_since });
        pool.connection_freed.notify_one();
    }

    /// Rolls back on a connection and returns it to its pool, or closes it if that fails.
    fn roll_back(self: &Rc<Self>, mut pooled: PooledConnection) {
        let instance = self.clone();
        tokio::task::spawn_local(async move {
            let mut bytes = Vec::new();
            E::Codec::encode_control(&mut bytes, ControlStatement::Rollback);
            let rolled_back = async {
                pooled.connection.send(&bytes).await.ok()?;
                let answer = pooled.connection.read_answer::<E::Codec>().await.ok()?;
                (answer.state == TransactionState::Idle).then_some(())
            };
            match timeout(CLEANUP_TIMEOUT, rolled_back).await {
                Ok(Some(())) => instance.return_idle(pooled),
                Ok(None) | Err(_) => pooled.pool.close_connection(pooled.connection),
            }
        });
    }
}

/// Returns the time at which each team last returned a connection to a pool.
fn last_use_by_team(pool: &EndpointPool) -> HashMap<String, Instant> {
    // Connections are ordered by the time of their return, so the latest one overwrites the others.
    let idle = pool.idle.borrow();
    idle.iter().map(|idle| (idle.team.clone(), idle.idle_since)).collect()
}

/// Team name sent with probes, which belong to no team.
const PROBE_TEAM: &str = "-";

/// Returns the hash by which request queues identify a team.
fn team_hash(team: &str) -> u64 {
    rendezvous::weight(team, "")
}

fn not_sent_reply(reason: NotSentReason, queue_wait_ms: u32) -> ExecuteReply {
    ExecuteReply { outcome: not_sent(reason, Duration::ZERO), queue_wait_ms, watermark: None }
}

fn not_sent(reason: NotSentReason, retry: Duration) -> ExecuteOutcome {
    ExecuteOutcome::NotSent { reason, retry_ms: millis(retry) }
}
