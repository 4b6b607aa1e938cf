//! Connections to the endpoints that this instance holds for all instances.
//!
//! An endpoint has one holder as long as all instances agree on who is there, so its queue is one
//! queue and its connections are counted in one place. While two instances disagree, the endpoint
//! refuses what is beyond its own limit, and the refused holder waits.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use coord::dialogue::BlockState;
use coord::marks::ProvedMark;
use coord::placement::{RestingConnection, connection_limit};
use coord::rendezvous;
use coord::takeover::MemberReport;
use coord::urgency::{UrgencyLevel, UrgencyQueue};
use telemetry::event::LogEvent;
use telemetry::log_event;
use tokio::sync::{Notify, oneshot};
use tokio::time::{sleep, timeout};

use crate::interface::{ControlStatement, RefusalCode, WireCodec};
use crate::member::{CONNECT_TIMEOUT, MemberConnection, MemberError, OPEN_TIMEOUT};
use crate::message::{
    ExecuteCall, ExecuteOutcome, ExecuteReply, NotSentReason, StatementAnswer, millis,
};
use crate::node::{EngineEdge, GatewayNode};
use crate::pool::{
    EndpointPool, IdleConnection, PinnedConnection, RETRY_PAUSE, RunPermit, TakeError, take_idle,
    take_oldest_idle,
};

/// Permits beyond the endpoint's slots: keeps the slots busy during the way of an answer.
const SPARE_PERMITS: usize = 1;
/// Time after an endpoint refused a connection for their number until another is tried.
const FULL_PAUSE: Duration = Duration::from_millis(100);
/// Least time given to the opening of a connection, however little is left to its request.
const LEAST_OPEN_TIME: Duration = Duration::from_millis(60);
/// Silence of an endpoint with work outstanding after which a fresh connection is tried.
const SILENCE_TIME: Duration = Duration::from_millis(300);
/// Time in which a fresh connection must answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(350);
/// Time in which a member must roll back or prove that an idle connection works.
const CLEANUP_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle time after which a connection must prove itself before it carries a write.
const PROOF_AGE: Duration = Duration::from_millis(1_500);
/// Setup of a connection whose values are not known.
const UNKNOWN_SETUP: u64 = u64::MAX;

/// Origin of calls: the connection to another instance, or zero for this one.
pub type CallOrigin = u64;

/// Connections that this instance holds.
#[derive(Debug, Default)]
pub struct ConnectionHolder {
    pools: RefCell<HashMap<String, Rc<EndpointPool>>>,
    pinned: RefCell<HashMap<(CallOrigin, u32), PinnedConnection>>,
    origins: RefCell<HashMap<CallOrigin, ()>>,
    next_origin: Cell<CallOrigin>,
}

impl ConnectionHolder {
    /// Returns a new origin for the calls of one connection to another instance.
    pub fn open_origin(&self) -> CallOrigin {
        let origin = self.next_origin.get() + 1;
        self.next_origin.set(origin);
        self.origins.borrow_mut().insert(origin, ());
        origin
    }

    /// Returns the endpoints that have failed for a while.
    pub fn failing(&self) -> Vec<String> {
        let pools = self.pools.borrow();
        let failing = pools.values().filter(|pool| pool.failing_since.get().is_some());
        let mut names: Vec<String> = failing.map(|pool| pool.endpoint.clone()).collect();
        names.sort();
        names
    }

    /// Returns the time since which an endpoint has failed.
    pub fn failing_since(&self, endpoint: &str) -> Option<Instant> {
        self.pools.borrow().get(endpoint).and_then(|pool| pool.failing_since.get())
    }

    /// Returns how many requests run or wait at the endpoints held here.
    pub fn work(&self) -> usize {
        let work = |pool: &Rc<EndpointPool>| {
            let queue = pool.queue.borrow();
            queue.in_use() + queue.waiting_before(UrgencyLevel::MAX)
        };
        self.pools.borrow().values().map(work).sum()
    }

    /// Tells whether transactions of other instances or of this one hold connections.
    pub fn has_pinned(&self) -> bool {
        !self.pinned.borrow().is_empty()
    }

    fn is_open(&self, origin: CallOrigin) -> bool {
        origin == 0 || self.origins.borrow().contains_key(&origin)
    }
}

impl<E: EngineEdge> GatewayNode<E> {
    /// Runs statements at an endpoint that this instance holds connections to.
    pub async fn hold_execute(
        self: &Rc<Self>,
        origin: CallOrigin,
        call: ExecuteCall,
    ) -> ExecuteReply {
        let Some(pool) = self.pool(&call.endpoint) else {
            return refused(NotSentReason::UnknownEndpoint, 0);
        };
        let outcome = self.execute_at(&pool, origin, &call).await;
        let now = self.now();
        let queue_wait = pool.queue.borrow().expected_wait(call.priority);
        let directory = self.directory.borrow();
        let newest = directory.watermarks(&pool.service).and_then(|marks| marks.newest());
        let age = |mark: ProvedMark| {
            (mark.position, millis(now.saturating_duration_since(mark.asked_at)) + 1)
        };
        ExecuteReply { outcome, queue_wait_ms: millis(queue_wait), watermark: newest.map(age) }
    }

    /// Rolls a transaction back and frees its connection.
    pub fn hold_release(self: &Rc<Self>, origin: CallOrigin, channel: u32) {
        let pinned = self.holder.pinned.borrow_mut().remove(&(origin, channel));
        let Some(pinned) = pinned else {
            return;
        };
        self.roll_back(pinned);
    }

    /// Closes the connections of all transactions of an origin that is gone.
    pub fn close_origin(self: &Rc<Self>, origin: CallOrigin) {
        self.holder.origins.borrow_mut().remove(&origin);
        let channels: Vec<(CallOrigin, u32)> =
            self.holder.pinned.borrow().keys().filter(|key| key.0 == origin).copied().collect();
        for (_, channel) in channels {
            self.hold_release(origin, channel);
        }
    }

    /// Asks a member about itself on a fresh connection.
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
                MemberConnection::open::<E::Codec>(address, &startup, OPEN_TIMEOUT).await?;
            connection.read_answer::<E::Codec>().await
        };
        match timeout(PROBE_TIMEOUT, probe).await {
            Ok(Ok(answer)) => E::Codec::decode_status(&answer.content),
            Ok(Err(_)) | Err(_) => None,
        }
    }

    /// Closes connections that are of no use: idle for long, or of endpoints held by others.
    pub fn tidy_connections(self: &Rc<Self>) {
        let now = self.now();
        let pools: Vec<Rc<EndpointPool>> = self.holder.pools.borrow().values().cloned().collect();
        for pool in pools {
            if pool.failing_since.get().is_some() {
                // Others hold its connections meanwhile, so no request tells when it is back.
                self.probe_endpoint(&pool);
            }
            self.resize_pool(&pool);
            let entry_born = self
                .directory
                .borrow()
                .endpoint(&pool.endpoint)
                .map(|entry| entry.record.started_ms);
            let held_here = entry_born.is_some()
                && self
                    .connection_owners(&pool.endpoint)
                    .first()
                    .is_some_and(|name| name == self.name());
            let newest = newest_of_teams(&pool);
            let mut closed = Vec::new();
            pool.idle.borrow_mut().retain_mut(|idle| {
                let resting = match newest.get(&idle.team) {
                    _ if !held_here => RestingConnection::Foreign,
                    Some(newest) if *newest > idle.idle_since => RestingConnection::Spare,
                    _ => RestingConnection::Last,
                };
                let rested = now.saturating_duration_since(idle.idle_since);
                let old = rested > resting.longest_rest();
                if old || idle.connection.is_spoilt() {
                    closed.push(());
                    return false;
                }
                true
            });
            pool.open.set(pool.open.get().saturating_sub(closed.len()));
            while pool.open.get() > pool.limit.get()
                && let Some(idle) = take_oldest_idle(&pool)
            {
                pool.close(idle.connection);
            }
            if !closed.is_empty() {
                pool.freed.notify_one();
            }
            let outdated = entry_born != Some(pool.born_ms);
            if outdated && pool.open.get() == 0 {
                self.holder.pools.borrow_mut().remove(&pool.endpoint);
            }
        }
    }

    /// Brings limit and permits of a pool in line with document, registration and reach.
    fn resize_pool(&self, pool: &EndpointPool) {
        let directory = self.directory.borrow();
        let document = directory.document();
        let reach = self.counters.borrow().reach();
        if let Some(service) = document.service(&pool.service) {
            pool.limit.set(connection_limit(service.max_connections, reach));
        }
        if let Some(entry) = directory.endpoint(&pool.endpoint) {
            pool.queue.borrow_mut().resize(entry.record.slots.max(1) + SPARE_PERMITS);
        }
    }

    /// Returns the pool of a registered endpoint; a restarted endpoint gets a new one.
    fn pool(&self, endpoint: &str) -> Option<Rc<EndpointPool>> {
        let directory = self.directory.borrow();
        let entry = directory.endpoint(endpoint)?;
        let mut pools = self.holder.pools.borrow_mut();
        if let Some(pool) =
            pools.get(endpoint).filter(|pool| pool.born_ms == entry.record.started_ms)
        {
            return Some(pool.clone());
        }
        let pool = Rc::new(EndpointPool {
            endpoint: endpoint.to_owned(),
            service: entry.record.service.clone(),
            address: entry.record.address,
            born_ms: entry.record.started_ms,
            queue: RefCell::new(UrgencyQueue::new(1)),
            idle: RefCell::default(),
            open: Cell::new(0),
            limit: Cell::new(1),
            freed: Notify::new(),
            failing_since: Cell::new(None),
            tried_at: Cell::new(None),
            heard_at: Cell::new(None),
            probing: Cell::new(false),
            refused_at: Cell::new(None),
        });
        self.resize_pool(&pool);
        pools.insert(endpoint.to_owned(), pool.clone());
        Some(pool)
    }

    async fn execute_at(
        self: &Rc<Self>,
        pool: &Rc<EndpointPool>,
        origin: CallOrigin,
        call: &ExecuteCall,
    ) -> ExecuteOutcome {
        let begun_at = self.now();
        let deadline = begun_at + Duration::from_millis(call.answer_timeout_ms.into());
        let permit = if call.pinned {
            pool.queue.borrow_mut().take_pinned();
            self.permit(pool, call.priority, team_number(&call.team))
        } else {
            if pool.is_shunned(begun_at) {
                return not_sent(NotSentReason::Unreachable, RETRY_PAUSE);
            }
            match self.wait_for_permit(pool, call, begun_at).await {
                Ok(permit) => permit,
                Err(retry) => return not_sent(NotSentReason::QueueDelay, retry),
            }
        };
        let mut connection = if call.pinned {
            let taken = self.holder.pinned.borrow_mut().remove(&(origin, call.transaction_id));
            match taken {
                Some(pinned) => pinned.connection,
                None => return not_sent(NotSentReason::PinLost, Duration::ZERO),
            }
        } else {
            let latest = begun_at + Duration::from_millis(call.start_timeout_ms.into());
            match self.take_connection(pool, call, latest).await {
                Ok(connection) => connection,
                Err(TakeError::Unreachable) => {
                    return not_sent(NotSentReason::Unreachable, RETRY_PAUSE);
                }
                Err(TakeError::Full) => {
                    let retry = pool.queue.borrow().expected_turn(permit.level, permit.team);
                    return not_sent(NotSentReason::NoConnection, retry);
                }
            }
        };
        let asked_at = self.now();
        let left = deadline.saturating_duration_since(asked_at);
        let exchange = self.exchange(pool, &mut connection, call);
        let answers = match timeout(left, exchange).await {
            Ok(Some(answers)) => answers,
            Ok(None) | Err(_) => {
                pool.close(connection);
                return ExecuteOutcome::InDoubt;
            }
        };
        drop(permit);
        self.observe_answers(pool, call, &answers, asked_at);
        self.put_back(pool, origin, call, connection, &answers);
        ExecuteOutcome::Answered(answers)
    }

    fn permit(&self, pool: &Rc<EndpointPool>, level: UrgencyLevel, team: u64) -> RunPermit {
        let (clock, taken_at) = (self.clock.clone(), self.now());
        RunPermit { pool: pool.clone(), clock, level, team, taken_at }
    }

    async fn wait_for_permit(
        &self,
        pool: &Rc<EndpointPool>,
        call: &ExecuteCall,
        now: Instant,
    ) -> Result<RunPermit, Duration> {
        let (level, team) = (call.priority, team_number(&call.team));
        if pool.queue.borrow_mut().try_take(level) {
            return Ok(self.permit(pool, level, team));
        }
        let wait = Duration::from_millis(call.start_timeout_ms.into());
        let (sender, mut receiver) = oneshot::channel();
        let pushed = pool.queue.borrow_mut().push(level, team, sender, now + wait, now);
        let expected = |pool: &EndpointPool| pool.queue.borrow().expected_turn(level, team);
        if pushed.is_err() {
            return Err(expected(pool));
        }
        match timeout(wait, &mut receiver).await {
            Ok(Ok(())) => Ok(self.permit(pool, level, team)),
            Ok(Err(_)) => Err(expected(pool)),
            Err(_) => {
                receiver.close();
                match receiver.try_recv() {
                    Ok(()) => Ok(self.permit(pool, level, team)),
                    Err(_) => Err(expected(pool)),
                }
            }
        }
    }

    async fn take_connection(
        self: &Rc<Self>,
        pool: &Rc<EndpointPool>,
        call: &ExecuteCall,
        latest: Instant,
    ) -> Result<MemberConnection, TakeError> {
        loop {
            let now = self.now();
            if let Some(idle) = take_idle(pool, &call.team) {
                let rested = now.saturating_duration_since(idle.idle_since);
                if rested < PROOF_AGE || call.retryable {
                    return Ok(idle.connection);
                }
                match self.prove(idle.connection).await {
                    Some(connection) => return Ok(connection),
                    None => {
                        pool.open.set(pool.open.get().saturating_sub(1));
                        continue;
                    }
                }
            }
            let refused = |at: Instant| now.saturating_duration_since(at) < FULL_PAUSE;
            let full = pool.refused_at.get().is_some_and(refused);
            if pool.open.get() < pool.limit.get() && !full {
                let limit =
                    latest.saturating_duration_since(now).clamp(LEAST_OPEN_TIME, OPEN_TIMEOUT);
                return self.open_connection(pool, &call.team, limit).await;
            }
            if let Some(idle) = take_oldest_idle(pool) {
                pool.close(idle.connection);
                continue;
            }
            let left = latest.saturating_duration_since(now);
            if left.is_zero() || timeout(left, pool.freed.notified()).await.is_err() {
                return Err(TakeError::Full);
            }
        }
    }

    async fn open_connection(
        &self,
        pool: &Rc<EndpointPool>,
        team: &str,
        limit: Duration,
    ) -> Result<MemberConnection, TakeError> {
        pool.open.set(pool.open.get() + 1);
        pool.tried_at.set(Some(self.now()));
        let mut startup = Vec::new();
        E::Codec::encode_startup(&mut startup, &pool.service, team, &pool.endpoint);
        let opened = MemberConnection::open::<E::Codec>(pool.address, &startup, limit).await;
        let now = self.now();
        match opened {
            Ok(connection) => {
                pool.note_reached(now);
                Ok(connection)
            }
            Err(error) => {
                pool.open.set(pool.open.get().saturating_sub(1));
                pool.freed.notify_one();
                if let MemberError::Refused {
                    code: RefusalCode::TooManyConnections | RefusalCode::Busy,
                } = error
                {
                    pool.refused_at.set(Some(now));
                    return Err(TakeError::Full);
                }
                // A request with little time left proves nothing about the endpoint.
                if limit >= CONNECT_TIMEOUT || !matches!(error, MemberError::ConnectTimeout) {
                    pool.note_failed(now, &error);
                }
                self.announced.notify_waiters();
                Err(TakeError::Unreachable)
            }
        }
    }

    /// Lets an idle connection prove that it still works.
    async fn prove(&self, mut connection: MemberConnection) -> Option<MemberConnection> {
        let mut bytes = Vec::new();
        E::Codec::encode_control(&mut bytes, ControlStatement::Reset);
        connection.setup = 0;
        let proof = async {
            connection.send(&bytes).await.ok()?;
            connection.read_answer::<E::Codec>().await.ok()
        };
        timeout(CLEANUP_TIMEOUT, proof).await.ok().flatten()?;
        Some(connection)
    }

    /// Sends the statements and reads their answers; none if the connection is lost.
    async fn exchange(
        self: &Rc<Self>,
        pool: &Rc<EndpointPool>,
        connection: &mut MemberConnection,
        call: &ExecuteCall,
    ) -> Option<Vec<StatementAnswer>> {
        let prepares = call.pinned || connection.setup != call.setup_id;
        let skipped = if prepares { call.setup_count } else { 0 };
        let setup_bytes = if skipped > 0 { call.setup_bytes.as_slice() } else { &[] };
        let gated = !call.begin_bytes.is_empty();
        let first = if gated { &call.begin_bytes } else { &call.bytes };
        if setup_bytes.is_empty() {
            connection.send(first).await.ok()?;
        } else {
            connection.send(&[setup_bytes, first].concat()).await.ok()?;
        }
        if !call.pinned {
            connection.setup = call.setup_id;
        }
        for _ in 0..skipped {
            let answer = self.watched_answer(pool, connection, call).await?;
            if answer.error.is_some() {
                connection.setup = UNKNOWN_SETUP;
            }
        }
        if gated {
            let opened = self.watched_answer(pool, connection, call).await?;
            if opened.error.is_some() {
                return Some(vec![opened]);
            }
            connection.send(&call.bytes).await.ok()?;
            let mut answers = vec![opened];
            for _ in 0..call.count {
                answers.push(self.watched_answer(pool, connection, call).await?);
            }
            return Some(answers);
        }
        let mut answers = Vec::with_capacity(call.count.into());
        for _ in 0..call.count {
            answers.push(self.watched_answer(pool, connection, call).await?);
        }
        Some(answers)
    }

    /// Reads an answer; tries a fresh connection if the endpoint stays silent.
    async fn watched_answer(
        self: &Rc<Self>,
        pool: &Rc<EndpointPool>,
        connection: &mut MemberConnection,
        call: &ExecuteCall,
    ) -> Option<StatementAnswer> {
        let reading = connection.read_answer::<E::Codec>();
        tokio::pin!(reading);
        loop {
            tokio::select! {
                answer = &mut reading => {
                    let answer = answer.ok()?;
                    pool.note_reached(self.now());
                    return Some(answer);
                }
                () = sleep(SILENCE_TIME) => {
                    if call.retryable && pool.failing_since.get().is_some() {
                        return None;
                    }
                    self.probe_silent(pool);
                }
            }
        }
    }

    /// Tries a fresh connection to an endpoint that has been silent.
    fn probe_silent(self: &Rc<Self>, pool: &Rc<EndpointPool>) {
        let now = self.now();
        let heard = |at: Instant| now.saturating_duration_since(at) < SILENCE_TIME;
        if !pool.heard_at.get().is_some_and(heard) {
            self.probe_endpoint(pool);
        }
    }

    /// Tries a fresh connection to an endpoint.
    fn probe_endpoint(self: &Rc<Self>, pool: &Rc<EndpointPool>) {
        if pool.probing.replace(true) {
            return;
        }
        let (node, pool) = (self.clone(), pool.clone());
        tokio::task::spawn_local(async move {
            let reached = node.probe_member(&pool.endpoint).await.is_some();
            let now = node.now();
            if reached {
                pool.note_reached(now);
                node.announced.notify_waiters();
            } else {
                pool.note_failed(now, &MemberError::ConnectTimeout);
                node.announced.notify_waiters();
                pool.tried_at.set(Some(now));
            }
            pool.probing.set(false);
        });
    }

    fn observe_answers(
        &self,
        pool: &EndpointPool,
        call: &ExecuteCall,
        answers: &[StatementAnswer],
        asked_at: Instant,
    ) {
        let now = self.now();
        let mut directory = self.directory.borrow_mut();
        if let Some(position) = answers.iter().rev().find_map(|answer| answer.position) {
            directory.update_view(&pool.endpoint, |view| view.position = Some((position, now)));
        }
        let Some(proof) = call.confirming_answer.and_then(|index| answers.get(usize::from(index)))
        else {
            return;
        };
        match (proof.error, proof.position) {
            (None, Some(position)) => {
                let mark = ProvedMark { asked_at, position };
                if directory.record_leader_watermark(&pool.endpoint, mark) {
                    self.announced.notify_waiters();
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
                directory.update_view(&pool.endpoint, |view| view.followed_at = Some(now));
            }
            _ => {}
        }
    }

    /// Keeps a connection for its transaction, for others, or rolls it back first.
    fn put_back(
        self: &Rc<Self>,
        pool: &Rc<EndpointPool>,
        origin: CallOrigin,
        call: &ExecuteCall,
        connection: MemberConnection,
        answers: &[StatementAnswer],
    ) {
        let state = answers.last().map_or(BlockState::Failed, |answer| answer.state);
        let pinned = PinnedConnection { pool: pool.clone(), team: call.team.clone(), connection };
        // A refused statement may leave the transaction open, but its caller gives it up.
        let failed = answers.iter().any(|answer| answer.error.is_some());
        let kept = call.keep_pinned && !failed && self.holder.is_open(origin);
        match state {
            BlockState::Open if kept => {
                self.holder.pinned.borrow_mut().insert((origin, call.transaction_id), pinned);
            }
            BlockState::Idle => self.rest(pinned),
            BlockState::Open | BlockState::Failed => self.roll_back(pinned),
        }
    }

    fn rest(&self, pinned: PinnedConnection) {
        let PinnedConnection { pool, team, connection } = pinned;
        let idle_since = self.now();
        pool.idle.borrow_mut().push(IdleConnection { team, connection, idle_since });
        pool.freed.notify_one();
    }

    fn roll_back(self: &Rc<Self>, mut pinned: PinnedConnection) {
        let node = self.clone();
        tokio::task::spawn_local(async move {
            let mut bytes = Vec::new();
            E::Codec::encode_control(&mut bytes, ControlStatement::Rollback);
            let rolled_back = async {
                pinned.connection.send(&bytes).await.ok()?;
                let answer = pinned.connection.read_answer::<E::Codec>().await.ok()?;
                (answer.state == BlockState::Idle).then_some(())
            };
            match timeout(CLEANUP_TIMEOUT, rolled_back).await {
                Ok(Some(())) => node.rest(pinned),
                Ok(None) | Err(_) => pinned.pool.close(pinned.connection),
            }
        });
    }
}

/// Returns when each team last gave back a connection of a pool.
fn newest_of_teams(pool: &EndpointPool) -> HashMap<String, Instant> {
    // Connections stand in the order in which they were given back, so the last one wins.
    let idle = pool.idle.borrow();
    idle.iter().map(|idle| (idle.team.clone(), idle.idle_since)).collect()
}

/// Name under which members are asked about themselves; no caller has a part in it.
const PROBE_TEAM: &str = "-";

/// Returns the number of a team in queues.
fn team_number(team: &str) -> u64 {
    rendezvous::weight(team, "")
}

fn refused(reason: NotSentReason, queue_ms: u32) -> ExecuteReply {
    ExecuteReply {
        outcome: not_sent(reason, Duration::ZERO),
        queue_wait_ms: queue_ms,
        watermark: None,
    }
}

fn not_sent(reason: NotSentReason, retry: Duration) -> ExecuteOutcome {
    ExecuteOutcome::NotSent { reason, retry_ms: millis(retry) }
}
