//! Permits and connections for the calls of a connection owner.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use coord::connection_setup::SetupId;
use coord::priority::{PermitKey, RequestKind, StartWindow};
use coord::rendezvous;
use coord::turn_meter::TURN_INTERVAL;
use metrics::counter;
use telemetry::meter;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use crate::connection_owner::CLEANUP_TIMEOUT;
use crate::endpoint_connection::{
    AnswerKind, CONNECT_TIMEOUT, EndpointConnection, EndpointError, EndpointSession, OPEN_TIMEOUT,
};
use crate::instance::{EngineTypes, GatewayInstance};
use crate::interface::{ControlStatement, RefusalCode, WireCodec};
use crate::member_load::work_kind;
use crate::message::ExecuteCall;
use crate::pool::{
    AcquireError, EndpointPool, LeaderPermit, PermitQueue, RunPermit, acquire_idle, grant_queued,
    remove_least_useful,
};

/// Pause before the next connection attempt after the endpoint refused one for capacity.
const CONNECTION_LIMIT_BACKOFF: Duration = Duration::from_millis(100);
/// Shortest timeout for opening a connection, even if the request has less time left.
const MIN_OPEN_TIMEOUT: Duration = Duration::from_millis(60);
/// Idle time after which the liveness of a connection is checked before it carries a call that is
/// not retryable.
const MIN_IDLE_BEFORE_CHECK: Duration = Duration::from_millis(1_500);

/// Returns one of the queues of a pool.
type QueueSelector = fn(&EndpointPool) -> &RefCell<PermitQueue>;

impl<E: EngineTypes> GatewayInstance<E> {
    pub(crate) fn new_permit(&self, pool: &Rc<EndpointPool>, key: PermitKey) -> RunPermit {
        let (pool, clock) = (pool.clone(), self.clock.clone());
        RunPermit { pool, clock, key, has_run: false, kind: None, leader_permit: None }
    }

    /// Acquires the permits of a call, or returns the expected wait if it would start too late.
    pub(crate) async fn acquire_permits(
        &self,
        pool: &Rc<EndpointPool>,
        call: &ExecuteCall,
        received_at: Instant,
    ) -> Result<RunPermit, Duration> {
        let leader_permit = self.acquire_leader_permit(pool, call, received_at).await?;
        let mut permit = self.acquire_permit(pool, call, received_at).await?;
        permit.kind = pool.begin_paced(call, self.now());
        permit.leader_permit = leader_permit;
        Ok(permit)
    }

    /// Acquires a permit for what only a leader runs, if the endpoint has a lower limit for it.
    async fn acquire_leader_permit(
        &self,
        pool: &Rc<EndpointPool>,
        call: &ExecuteCall,
        received_at: Instant,
    ) -> Result<Option<LeaderPermit>, Duration> {
        if !pool.needs_leader_permit(work_kind(call), received_at) {
            return Ok(None);
        }
        let key = self.wait_for_permit(pool, |pool| &pool.leader_queue, call, received_at).await?;
        let (pool, clock) = (pool.clone(), self.clock.clone());
        Ok(Some(LeaderPermit { pool, clock, key, has_run: false }))
    }

    /// Acquires a permit, or returns the time until the queue has drained if the call would start too
    /// late.
    pub(crate) async fn acquire_permit(
        &self,
        pool: &Rc<EndpointPool>,
        call: &ExecuteCall,
        received_at: Instant,
    ) -> Result<RunPermit, Duration> {
        let key = self.wait_for_permit(pool, |pool| &pool.queue, call, received_at).await?;
        Ok(self.new_permit(pool, key))
    }

    /// Waits for a permit of a queue, or returns the expected wait if the call would start too late.
    async fn wait_for_permit(
        &self,
        pool: &Rc<EndpointPool>,
        queue_of: QueueSelector,
        call: &ExecuteCall,
        received_at: Instant,
    ) -> Result<PermitKey, Duration> {
        let (queue, kind, now) = (queue_of(pool), request_kind(call), self.now());
        let acquired = queue.borrow_mut().try_acquire(kind, now);
        if let Some(key) = acquired {
            return Ok(key);
        }
        let in_time = received_at + Duration::from_millis(call.start_timeout_ms.into());
        let deadline = received_at + Duration::from_millis(call.answer_timeout_ms.into());
        let (sender, mut receiver) = oneshot::channel();
        let window = StartWindow { in_time, answer_deadline: Some(deadline) };
        let pushed = queue.borrow_mut().push(kind, sender, window, now);
        self.measure_turns(pool, queue_of);
        // Refuses queued calls that can no longer be served, also while no permit is released.
        grant_queued(queue, now);
        let expected = || queue.borrow().drain_time(&kind, self.now());
        if pushed.is_err() {
            return Err(expected());
        }
        let wait = deadline.saturating_duration_since(now);
        match timeout(wait, &mut receiver).await {
            Ok(granted) => granted.map_err(|_| expected()),
            Err(_) => {
                receiver.close();
                receiver.try_recv().map_err(|_| expected())
            }
        }
    }

    /// Measures the delays of the event loop for as long as calls are queued.
    fn measure_turns(&self, pool: &Rc<EndpointPool>, queue_of: QueueSelector) {
        let (pool, clock) = (pool.clone(), self.clock.clone());
        if !queue_of(&pool).borrow_mut().begin_turns(clock.now()) {
            return;
        }
        tokio::task::spawn_local(async move {
            while queue_of(&pool).borrow_mut().record_turn(clock.now()) {
                sleep(TURN_INTERVAL).await;
            }
        });
    }

    /// Takes an idle connection of the team, opens one or waits for one until `latest_start`.
    pub(crate) async fn acquire_connection(
        self: &Rc<Self>,
        pool: &Rc<EndpointPool>,
        call: &ExecuteCall,
        latest_start: Instant,
    ) -> Result<EndpointConnection, AcquireError> {
        pool.reuse.borrow_mut().record_use(team_hash(&call.team), self.now());
        let mut has_made_room = false;
        loop {
            let now = self.now();
            if let Some(idle) = acquire_idle(pool, &call.team) {
                let idle_time = now.saturating_duration_since(idle.idle_since);
                if idle_time < MIN_IDLE_BEFORE_CHECK || call.retryable {
                    return Ok(idle.connection);
                }
                match self.check_connection(pool, idle.connection).await {
                    Some(connection) => return Ok(connection),
                    None => {
                        pool.open_count.set(pool.open_count.get().saturating_sub(1));
                        continue;
                    }
                }
            }
            let refusal_ends_at = pool
                .connections_refused_at
                .get()
                .map(|refused_at| refused_at + CONNECTION_LIMIT_BACKOFF)
                .filter(|ends_at| *ends_at > now);
            let has_room = pool.open_count.get() < pool.max_open.get();
            if has_room && (refusal_ends_at.is_none() || has_made_room) {
                let open_timeout = latest_start
                    .saturating_duration_since(now)
                    .clamp(MIN_OPEN_TIMEOUT, OPEN_TIMEOUT);
                match self.open_connection(pool, call, open_timeout).await {
                    // The endpoint counts connections of instances that are gone: one of this owner's
                    // is exchanged.
                    Err(AcquireError::Full) if !has_made_room => continue,
                    result => return result,
                }
            }
            if let Some(idle) = remove_least_useful(pool, now) {
                pool.close_connection(idle.connection);
                counter!(meter::CONNECTIONS_EVICTED, "reason" => "full").increment(1);
                // The endpoint has room for the connection that replaces the closed one. Closing all
                // others while the endpoint's refusal is recent would not make it accept more.
                has_made_room = true;
                continue;
            }
            let remaining = latest_start.saturating_duration_since(now);
            // With room, the next attempt is made when the pause after the refusal ends: the endpoint
            // may accept a connection before one is returned here. An endpoint that counts the
            // connections of lost instances does so for seconds, so a call stakes only a third of its
            // time on the next attempt.
            let next_attempt =
                refusal_ends_at.filter(|ends_at| has_room && 3 * (*ends_at - now) <= remaining);
            let cannot_connect_in_time = next_attempt.is_none()
                && (pool.open_count.get() == 0 || pool.return_wait(now) > remaining);
            if remaining.is_zero() || cannot_connect_in_time {
                return Err(AcquireError::Full);
            }
            let pause = next_attempt.map_or(remaining, |ends_at| ends_at - now);
            pool.connection_waiters.set(pool.connection_waiters.get() + 1);
            let freed = timeout(pause, pool.connection_freed.notified()).await;
            pool.connection_waiters.set(pool.connection_waiters.get().saturating_sub(1));
            if freed.is_err() && next_attempt.is_none() {
                return Err(AcquireError::Full);
            }
        }
    }

    async fn open_connection(
        &self,
        pool: &Rc<EndpointPool>,
        call: &ExecuteCall,
        open_timeout: Duration,
    ) -> Result<EndpointConnection, AcquireError> {
        pool.open_count.set(pool.open_count.get() + 1);
        let started_at = self.now();
        pool.last_attempt_at.set(Some(started_at));
        let session =
            EndpointSession { service: &pool.service, team: &call.team, endpoint: &pool.endpoint };
        let opened =
            EndpointConnection::open::<E::Codec>(pool.address, session, &[], open_timeout).await;
        let now = self.now();
        match opened {
            Ok(connection) => {
                pool.record_response(now);
                pool.record_opening(call, true, started_at, now);
                counter!(meter::CONNECTIONS_OPENED).increment(1);
                Ok(connection)
            }
            Err(error) => {
                // A refusal for the number of connections says nothing about the load.
                if matches!(
                    error,
                    EndpointError::ConnectTimeout
                        | EndpointError::SessionRefused { code: RefusalCode::Busy }
                ) {
                    pool.record_opening(call, false, started_at, now);
                }
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
        pool: &EndpointPool,
        mut connection: EndpointConnection,
    ) -> Option<EndpointConnection> {
        let mut bytes = Vec::new();
        E::Codec::encode_control(&mut bytes, ControlStatement::Reset);
        pool.charge_cold(self.now());
        let check = async {
            connection.send(&bytes).await.ok()?;
            connection.read_answer::<E::Codec>(AnswerKind::Control).await.ok()
        };
        let answer = timeout(CLEANUP_TIMEOUT, check).await.ok().flatten()?;
        connection.setup.record_reset(SetupId::NONE, answer.error.is_some());
        Some(connection)
    }
}

/// Returns the kind of a call for its request queue.
pub(crate) fn request_kind(call: &ExecuteCall) -> RequestKind<u64> {
    RequestKind { level: call.priority, team: team_hash(&call.team), class: call.service_class }
}

/// Returns the hash by which request queues identify a team.
pub(crate) fn team_hash(team: &str) -> u64 {
    rendezvous::weight(team, "")
}
