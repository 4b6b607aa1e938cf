//! Endpoint connections that this instance owns on behalf of all instances.
//!
//! An endpoint has one connection owner as long as all instances agree on which instances are live,
//! so there is one queue and one connection count per endpoint. While they disagree, the endpoint
//! itself refuses connections over its limit, and the refused owner backs off.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use coord::commit_gate::lowest_position;
use coord::connection_reuse::kept_connections;
use coord::endpoint_health::TeamConnections;
use coord::evacuation::{WorkKind, ZonePhase};
use coord::session::TransactionState;
use coord::stop_schedule::StopPhase;
use coord::watermark::Watermark;
use telemetry::event::LogEvent;
use telemetry::log_event;

use crate::connection_acquire::{request_kind, team_hash};
use crate::endpoint_connection::EndpointConnection;
use crate::exchange::{ExchangeEnd, needs_setup};
use crate::instance::{EngineTypes, GatewayInstance};
use crate::interface::RefusalCode;
use crate::message::{
    ExecuteCall, ExecuteOutcome, ExecuteReply, NotSentReason, StatementAnswer, millis,
};
use crate::pool::{AcquireError, EndpointPool, PooledConnection, RECONNECT_BACKOFF};

/// Bounds a rollback and the liveness check of an idle connection.
pub(crate) const CLEANUP_TIMEOUT: Duration = Duration::from_millis(400);

/// Identifies the source of calls: a connection from a peer instance, or zero for this instance.
pub type CallOrigin = u64;

/// Pools of the endpoints whose connections this instance owns, and the connections pinned to open
/// transactions.
#[derive(Debug, Default)]
pub struct ConnectionPools {
    pub(crate) by_endpoint: RefCell<HashMap<String, Rc<EndpointPool>>>,
    pub(crate) pinned: RefCell<HashMap<(CallOrigin, u32), PooledConnection>>,
    /// Transactions that run a statement, and whether they were released meanwhile.
    pub(crate) running: RefCell<HashMap<(CallOrigin, u32), bool>>,
    pub(crate) live_origins: RefCell<HashMap<CallOrigin, ()>>,
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
        self.by_endpoint.borrow().values().map(|pool| pool.outstanding_requests()).sum()
    }

    /// Returns the number of endpoints that are cold here, and of those below their largest limit.
    pub fn held_counts(&self) -> (usize, usize) {
        let pools = self.by_endpoint.borrow();
        let cold = pools.values().filter(|pool| pool.cold.borrow().is_some()).count();
        let is_paced = |pool: &&Rc<EndpointPool>| {
            pool.pace.borrow().as_ref().is_some_and(|pace| !pace.is_full())
        };
        (cold, pools.values().filter(is_paced).count())
    }

    /// Returns the number of connections to all endpoints that are open or being opened.
    pub fn open_connections(&self) -> usize {
        self.by_endpoint.borrow().values().map(|pool| pool.open_count.get()).sum()
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
    pub(crate) fn is_live_origin(&self, origin: CallOrigin) -> bool {
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
        if self.is_call_outdated(&call) {
            let outcome = not_sent(NotSentReason::DocumentOutdated, Duration::ZERO);
            return ExecuteReply::without_owner(outcome);
        }
        if origin != 0 && self.has_stop_reached(StopPhase::Answering) {
            return ExecuteReply::without_owner(self.refuse_as_stopping(origin, &call));
        }
        let pool = self.pool(&call.endpoint);
        let Some(pool) = pool.filter(|pool| pool.service_hash == call.service_hash) else {
            let outcome = not_sent(NotSentReason::UnknownEndpoint, Duration::ZERO);
            return ExecuteReply::without_owner(outcome);
        };
        if let Err(reason) = self.check_endpoint(&call) {
            return ExecuteReply::without_owner(not_sent(reason, Duration::ZERO));
        }
        let received_at = self.now();
        let mut had_connection = true;
        let transaction = call.keep_pinned.then_some((origin, call.transaction_id));
        self.pools.running.borrow_mut().extend(transaction.map(|key| (key, false)));
        let outcome = self.execute_in_pool(&pool, origin, &call, &mut had_connection).await;
        if let Some(key) = transaction {
            self.pools.running.borrow_mut().remove(&key);
        }
        let now = self.now();
        let handling_time = now.saturating_duration_since(received_at);
        let kept = kept_connections(pool.max_open.get());
        let is_frequent = pool.reuse.borrow().is_frequent(team_hash(&call.team), kept);
        let team = TeamConnections { had_connection, is_frequent };
        let sample = pool.health.borrow().sample(call.service_class, team, handling_time, now);
        let queue_wait = pool.expected_wait(&call, now);
        let floor = pool.queue.borrow().wait_floor(call.priority, now);
        let directory = self.directory.borrow();
        let newest = directory.watermarks(&pool.service).and_then(|watermarks| watermarks.newest());
        let with_age = |watermark: Watermark| {
            (watermark.position, millis(now.saturating_duration_since(watermark.as_of)) + 1)
        };
        ExecuteReply {
            outcome,
            queue_wait_ms: millis(queue_wait),
            wait_floor_ms: Some((call.priority, millis(floor.in_time), millis(floor.late))),
            watermark: newest.map(with_age),
            acknowledged: call
                .commits_data
                .then(|| directory.acknowledged(&pool.service))
                .flatten(),
            sample: Some(sample),
        }
    }

    /// Refuses a call of a peer that arrives too late in a planned stop, and rolls back its open
    /// transaction. Another owner serves any other call.
    fn refuse_as_stopping(
        self: &Rc<Self>,
        origin: CallOrigin,
        call: &ExecuteCall,
    ) -> ExecuteOutcome {
        if !call.pinned {
            return not_sent(NotSentReason::NoOwner, Duration::ZERO);
        }
        self.release_locally(origin, call.transaction_id);
        not_sent(NotSentReason::PinLost, Duration::ZERO)
    }

    /// Checks whether the endpoint may still get a call; the error is the reason why not.
    ///
    /// A call may have waited since its endpoint was chosen, so it is checked again before it is sent.
    fn check_endpoint(&self, call: &ExecuteCall) -> Result<(), NotSentReason> {
        let kind = match call {
            _ if call.pinned => WorkKind::Pinned,
            _ if call.confirming_answer_index.is_some() => WorkKind::Leader,
            _ => WorkKind::Replica,
        };
        let (directory, now) = (self.directory.borrow(), self.now());
        if !directory.admits(&call.endpoint, kind, &call.team, now) {
            return Err(NotSentReason::Evacuated);
        }
        // Open transactions end at the endpoint that they began at.
        match call.pinned || directory.accepts_work(&call.endpoint, now) {
            true => Ok(()),
            false => Err(NotSentReason::Leaving),
        }
    }

    /// Returns whether the zone of an endpoint gets no request at all.
    pub(crate) fn is_closed(&self, endpoint: &str) -> bool {
        self.directory.borrow().zone_phase(endpoint, self.now()) == ZonePhase::Closed
    }

    /// Waits for a permit and a connection, and runs a call on them.
    async fn execute_in_pool(
        self: &Rc<Self>,
        pool: &Rc<EndpointPool>,
        origin: CallOrigin,
        call: &ExecuteCall,
        had_connection: &mut bool,
    ) -> ExecuteOutcome {
        let received_at = self.now();
        let deadline = received_at + Duration::from_millis(call.answer_timeout_ms.into());
        let latest_start = received_at + Duration::from_millis(call.start_timeout_ms.into());
        let mut permit = if call.pinned {
            let key = pool.queue.borrow_mut().acquire_pinned(request_kind(call), received_at);
            self.new_permit(pool, key)
        } else {
            if pool.is_in_backoff(received_at) {
                return not_sent(NotSentReason::Unreachable, RECONNECT_BACKOFF);
            }
            // Without a connection the call would wait for one to an endpoint that may not answer; a
            // probe finds out without holding a call.
            if pool.unreachable_since.get().is_some() && !pool.has_idle(&call.team) {
                self.spawn_probe(pool);
                return not_sent(NotSentReason::Unreachable, RECONNECT_BACKOFF);
            }
            // Waiting for a connection holds a permit that calls with a connection could use.
            if let Some(wait) = pool.connection_wait(received_at)
                && wait > Duration::from_millis(call.start_timeout_ms.into())
            {
                return not_sent(NotSentReason::NoConnection, wait);
            }
            match self.acquire_permits(pool, call, received_at).await {
                Ok(permit) => permit,
                Err(retry) => return not_sent(NotSentReason::QueueDelay, retry),
            }
        };
        // A call of the late band got its permit after its latest start, when no call waited that
        // can be in time.
        let is_late = self.now() > latest_start;
        let latest_send = if call.pinned || is_late { deadline } else { latest_start };
        if !call.pinned
            && let Err(reason) = self.check_endpoint(call)
        {
            return not_sent(reason, Duration::ZERO);
        }
        let mut connection = if call.pinned {
            let taken = self.pools.pinned.borrow_mut().remove(&(origin, call.transaction_id));
            match taken {
                Some(pinned)
                    if pinned.connection.team() == call.team && Rc::ptr_eq(&pinned.pool, pool) =>
                {
                    pinned.connection
                }
                Some(pinned) => {
                    // Since the transaction began, the key of the caller has moved to another team, or
                    // the endpoint is another process.
                    self.roll_back(pinned);
                    return not_sent(NotSentReason::PinLost, Duration::ZERO);
                }
                None => return not_sent(NotSentReason::PinLost, Duration::ZERO),
            }
        } else {
            // A connection for a call that a cold endpoint gets too late would only take a slot.
            if pool.cold.borrow().is_some() {
                let now = self.now();
                let cold_wait = pool.expected_cold_wait(call, now);
                if now + cold_wait > latest_send {
                    return not_sent(NotSentReason::QueueDelay, cold_wait);
                }
            }
            *had_connection = false;
            match self.acquire_connection(pool, call, latest_start).await {
                Ok(connection) => connection,
                Err(AcquireError::Unreachable) => {
                    return not_sent(NotSentReason::Unreachable, RECONNECT_BACKOFF);
                }
                Err(AcquireError::Full) => {
                    let retry =
                        pool.queue.borrow().expected_team_wait(&request_kind(call), self.now());
                    return not_sent(NotSentReason::NoConnection, retry);
                }
            }
        };
        *had_connection = !connection.is_new;
        connection.is_new = false;
        // Only a cold endpoint has a budget.
        if pool.cold.borrow().is_some() {
            let needs_setup = needs_setup(&connection, call);
            if let Err(retry) = self.wait_while_cold(pool, call, needs_setup, latest_send).await {
                self.recycle_unsent(pool, call, connection);
                return not_sent(NotSentReason::QueueDelay, retry);
            }
        }
        if let Err(reason) = self.check_endpoint(call) {
            pool.close_connection(connection);
            return not_sent(reason, Duration::ZERO);
        }
        let sent_at = self.now();
        let known_position = self.directory.borrow().newest_position(&pool.service);
        if !call.pinned && sent_at >= deadline {
            // The instance was suspended while the call waited.
            self.recycle_unsent(pool, call, connection);
            return not_sent(NotSentReason::QueueDelay, Duration::ZERO);
        }
        permit.has_run = true;
        let mut permit = Some(permit);
        let is_sent = Cell::new(false);
        let exchange = self.exchange(pool, &mut connection, call, &is_sent);
        let end = self.await_exchange(pool, call, exchange, &is_sent, &mut permit, deadline).await;
        // A statement of an open transaction may wait for locks of another one.
        if !call.pinned && pool.pace.borrow().is_some() {
            let answers = match &end {
                Some(ExchangeEnd::Answered(answers)) => Some(answers.as_slice()),
                Some(ExchangeEnd::SetupRefused { .. }) | None => None,
            };
            pool.record_pace(call, answers, sent_at, self.now());
        }
        let answers = match end {
            None => return self.close_lost(pool, connection, is_sent.get(), sent_at),
            Some(ExchangeEnd::SetupRefused { code, state }) => {
                // The hold time of the permit says nothing about the statements.
                if let Some(permit) = &mut permit {
                    permit.has_run = false;
                }
                drop(permit);
                let now = self.now();
                pool.last_answer_at.set(Some(now));
                pool.health.borrow_mut().record_outcome(is_endpoint_failure(code), now);
                self.recycle_connection(pool, origin, call, connection, state, true);
                return not_sent(NotSentReason::SetupRefused, Duration::ZERO);
            }
            Some(ExchangeEnd::Answered(answers)) => answers,
        };
        drop(permit);
        pool.last_answer_at.set(Some(self.now()));
        self.record_answers(pool, call, &answers, sent_at);
        let has_failed = answers.iter().any(|answer| answer.error.is_some());
        let position = answers.iter().rev().find_map(|answer| answer.position);
        let committed = position.filter(|_| call.commits_data && !has_failed);
        if let Some(position) = committed {
            let lowest = lowest_position(known_position, position);
            self.directory.borrow_mut().record_commit(&pool.service, position, lowest);
        }
        let state = answers.last().map_or(TransactionState::Failed, |answer| answer.state);
        self.recycle_connection(pool, origin, call, connection, state, has_failed);
        if let Some(position) = committed
            && !self.await_confirmation(&pool.service, &pool.endpoint, position, deadline).await
        {
            return ExecuteOutcome::InDoubt;
        }
        ExecuteOutcome::Answered(answers)
    }

    /// Closes a connection on which answers are lost, and returns the outcome of its call.
    fn close_lost(
        &self,
        pool: &Rc<EndpointPool>,
        connection: EndpointConnection,
        is_sent: bool,
        sent_at: Instant,
    ) -> ExecuteOutcome {
        pool.close_connection(connection);
        pool.health.borrow_mut().record_outcome(true, self.now());
        let answers_others = pool.last_answer_at.get().is_some_and(|at| at > sent_at);
        match (is_sent, answers_others) {
            (false, _) => not_sent(NotSentReason::SetupLost { answers_others }, Duration::ZERO),
            (true, true) => ExecuteOutcome::AnswerLost,
            (true, false) => ExecuteOutcome::InDoubt,
        }
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
        self.record_health(pool, call, answers, now.saturating_duration_since(sent_at), now);
        let mut directory = self.directory.borrow_mut();
        if !directory.is_member(&pool.endpoint, pool.service_hash) {
            return;
        }
        if let Some(position) = answers.iter().rev().find_map(|answer| answer.position) {
            directory.record_position(&pool.endpoint, position, now);
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

    /// Records speed and failures of an endpoint from the answers to a call.
    fn record_health(
        &self,
        pool: &EndpointPool,
        call: &ExecuteCall,
        answers: &[StatementAnswer],
        service_time: Duration,
        now: Instant,
    ) {
        // Writes fail for reasons of their own, and only the leader runs them.
        if !call.retryable {
            return;
        }
        let error = answers.iter().find_map(|answer| answer.error);
        let mut health = pool.health.borrow_mut();
        health.record_outcome(error.is_some_and(is_endpoint_failure), now);
        // Statements of transactions share the class of the route's reads but not their duration.
        if error.is_none() && !call.pinned && !call.keep_pinned {
            health.record_time(call.service_class, service_time, now);
        }
    }
}

/// Returns whether an error shows a fault of the endpoint.
///
/// A statement that fails anywhere counts too, but it is retried on the other endpoints and counts
/// there as well.
fn is_endpoint_failure(code: RefusalCode) -> bool {
    matches!(
        code,
        RefusalCode::Failed | RefusalCode::Timeout | RefusalCode::Aborted | RefusalCode::Other
    )
}

fn not_sent(reason: NotSentReason, retry: Duration) -> ExecuteOutcome {
    ExecuteOutcome::NotSent { reason, retry_ms: millis(retry) }
}
