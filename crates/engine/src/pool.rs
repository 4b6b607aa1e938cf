//! Connection pool and request queue of one endpoint.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use clock::SharedClock;
use coord::answer_order::AnswerOrder;
use coord::cold_budget::ColdBudget;
use coord::connection_reuse::{ConnectionReuse, kept_connections};
use coord::endpoint_health::EndpointHealth;
use coord::member_pace::{MemberPace, WorkKind};
use coord::priority::{PermitKey, PriorityLevel, PriorityQueue};
use coord::service_time::EventInterval;
use telemetry::event::LogEvent;
use telemetry::log_event;
use tokio::sync::{Notify, oneshot};

use crate::endpoint_connection::{EndpointConnection, EndpointError};

/// Pause between attempts to reach an unreachable endpoint.
pub(crate) const RECONNECT_BACKOFF: Duration = Duration::from_millis(150);

/// Grants a queued request its permit.
pub(crate) type PermitSender = oneshot::Sender<PermitKey>;

/// Permits of an endpoint and the calls that wait for one, by the hashes of their teams.
pub(crate) type PermitQueue = PriorityQueue<u64, PermitSender>;

/// Idle connection of a team.
#[derive(Debug)]
pub(crate) struct IdleConnection {
    pub(crate) team_hash: u64,
    pub(crate) connection: EndpointConnection,
    pub(crate) idle_since: Instant,
}

/// Connection taken from its pool, to return to it or to stay pinned to an open transaction.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    pub(crate) pool: Rc<EndpointPool>,
    pub(crate) connection: EndpointConnection,
}

/// Request queue, idle connections and health of one endpoint.
#[derive(Debug)]
pub(crate) struct EndpointPool {
    pub(crate) endpoint: String,
    pub(crate) service: String,
    /// Hash of the service, as calls name it.
    pub(crate) service_hash: u32,
    pub(crate) address: SocketAddr,
    pub(crate) started_ms: u64,
    pub(crate) queue: RefCell<PermitQueue>,
    pub(crate) idle: RefCell<Vec<IdleConnection>>,
    /// Connections that are open or being opened.
    pub(crate) open_count: Cell<usize>,
    pub(crate) max_open: Cell<usize>,
    /// Notified when a connection is returned or closed.
    pub(crate) connection_freed: Notify,
    pub(crate) unreachable_since: Cell<Option<Instant>>,
    /// Time of the last attempt to open a connection, or of the last failed probe.
    pub(crate) last_attempt_at: Cell<Option<Instant>>,
    pub(crate) last_response_at: Cell<Option<Instant>>,
    pub(crate) probe_in_flight: Cell<bool>,
    /// Time at which the endpoint last refused a connection for capacity.
    pub(crate) connections_refused_at: Cell<Option<Instant>>,
    /// Calls that hold a permit and wait for a connection.
    pub(crate) connection_waiters: Cell<usize>,
    /// Times at which connections are freed.
    pub(crate) freed: RefCell<EventInterval>,
    /// Speed and failures of the endpoint's answers to calls of this owner.
    pub(crate) health: RefCell<EndpointHealth>,
    /// The endpoint refused or reset a connection since it last responded, so its process may have
    /// ended; a timeout does not show that.
    pub(crate) is_process_lost: Cell<bool>,
    /// Time at which the endpoint last responded after its process may have ended.
    pub(crate) recovered_at: Cell<Option<Instant>>,
    /// Budget of requests while the endpoint is cold; `None` if it is warm.
    pub(crate) cold: RefCell<Option<ColdBudget>>,
    /// This instance was the connection owner when the limits were last updated.
    pub(crate) is_owned: Cell<bool>,
    /// Adaptive limits; `None` until the registration of the endpoint was applied.
    pub(crate) pace: RefCell<Option<MemberPace>>,
    /// Permits for what only a leader runs, used while its limit is below that of all work.
    pub(crate) leader_queue: RefCell<PermitQueue>,
    /// The endpoint was logged as degraded.
    pub(crate) is_degraded: Cell<bool>,
    /// Time of the last answer to a call.
    pub(crate) last_answer_at: Cell<Option<Instant>>,
    /// Order in which calls to the endpoint are answered.
    pub(crate) answers: RefCell<AnswerOrder>,
    /// Intervals at which the teams use connections.
    pub(crate) reuse: RefCell<ConnectionReuse>,
}

/// Permit of [`EndpointPool::leader_queue`]. Dropping it releases it.
pub(crate) struct LeaderPermit {
    pub(crate) pool: Rc<EndpointPool>,
    pub(crate) clock: SharedClock,
    pub(crate) key: PermitKey,
    /// Statements were sent with the permit, so its hold time counts.
    pub(crate) has_run: bool,
}

impl Drop for LeaderPermit {
    fn drop(&mut self) {
        let now = self.clock.now();
        end_permit(&self.pool.leader_queue, self.key, self.has_run, now);
    }
}

/// Permit to run statements on an endpoint. Dropping it releases it.
pub(crate) struct RunPermit {
    pub(crate) pool: Rc<EndpointPool>,
    pub(crate) clock: SharedClock,
    pub(crate) key: PermitKey,
    /// Statements were sent with the permit, so its hold time counts.
    pub(crate) has_run: bool,
    /// Kind of work that counts for the adaptive limits; `None` for an open transaction.
    pub(crate) kind: Option<WorkKind>,
    /// Held until the other permit has been released.
    pub(crate) leader_permit: Option<LeaderPermit>,
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        let now = self.clock.now();
        if let Some(kind) = self.kind
            && let Some(pace) = self.pool.pace.borrow_mut().as_mut()
        {
            pace.finish(kind);
        }
        if let Some(leader_permit) = &mut self.leader_permit {
            leader_permit.has_run = self.has_run;
        }
        end_permit(&self.pool.queue, self.key, self.has_run, now);
    }
}

impl EndpointPool {
    /// Grants free permits to queued requests.
    pub(crate) fn grant_permits(&self, now: Instant) {
        grant_queued(&self.queue, now);
    }

    /// Returns the number of running and queued requests.
    pub(crate) fn outstanding_requests(&self) -> usize {
        let queue = self.queue.borrow();
        let waiting = self.leader_queue.borrow().waiting_up_to(PriorityLevel::MAX);
        queue.in_use() + queue.waiting_up_to(PriorityLevel::MAX) + waiting
    }

    /// Closes a connection and lets another one be opened.
    pub(crate) fn close_connection(&self, connection: EndpointConnection) {
        drop(connection);
        self.open_count.set(self.open_count.get().saturating_sub(1));
        self.connection_freed.notify_one();
    }

    /// Returns whether the team has an idle connection.
    pub(crate) fn has_idle(&self, team: &str) -> bool {
        self.idle.borrow().iter().any(|idle| idle.connection.team() == team)
    }

    /// Returns the expected wait for a connection, if one has to be freed first.
    pub(crate) fn connection_wait(&self, now: Instant) -> Option<Duration> {
        let has_idle = !self.idle.borrow().is_empty();
        if has_idle || self.open_count.get() < self.max_open.get() {
            return None;
        }
        Some(self.return_wait(now))
    }

    /// Returns the expected time until a connection is returned for one more call that waits.
    pub(crate) fn return_wait(&self, now: Instant) -> Duration {
        let interval = self.freed.borrow().expected_interval(now);
        let calls = u32::try_from(self.connection_waiters.get() + 1).unwrap_or(u32::MAX);
        interval.saturating_mul(calls)
    }

    /// Records a response of the endpoint.
    pub(crate) fn record_response(&self, now: Instant) {
        self.last_response_at.set(Some(now));
        if self.unreachable_since.replace(None).is_some() {
            if self.is_process_lost.take() {
                self.recovered_at.set(Some(now));
            }
            self.restart_pace(now);
            log_event!(LogEvent::MemberFound, "endpoint={}", self.endpoint);
        }
    }

    /// Records that the endpoint could not be reached.
    pub(crate) fn record_failure(&self, now: Instant, cause: &EndpointError) {
        if !matches!(cause, EndpointError::ConnectTimeout) {
            self.is_process_lost.set(true);
        }
        if self.unreachable_since.get().is_none() {
            self.unreachable_since.set(Some(now));
            log_event!(LogEvent::MemberLost, "endpoint={} cause=\"{cause}\"", self.endpoint);
        }
    }

    /// Returns whether the endpoint is unreachable and the last attempt was less than
    /// [`RECONNECT_BACKOFF`] ago.
    pub(crate) fn is_in_backoff(&self, now: Instant) -> bool {
        let recent = |at: Instant| now.saturating_duration_since(at) < RECONNECT_BACKOFF;
        self.unreachable_since.get().is_some() && self.last_attempt_at.get().is_some_and(recent)
    }
}

/// Grants free permits to the requests of a queue.
pub(crate) fn grant_queued(queue: &RefCell<PermitQueue>, now: Instant) {
    // Dropping the senders of refused requests ends their wait.
    let mut refused = Vec::new();
    loop {
        let next = queue.borrow_mut().pop(now, &mut refused);
        let Some((sender, key)) = next else {
            break;
        };
        // The request has stopped waiting.
        if let Err(key) = sender.send(key) {
            queue.borrow_mut().cancel(key);
        }
    }
}

/// Releases a permit and grants it to the next request of its queue.
fn end_permit(queue: &RefCell<PermitQueue>, key: PermitKey, has_run: bool, now: Instant) {
    if has_run {
        queue.borrow_mut().release(key, now);
    } else {
        queue.borrow_mut().cancel(key);
    }
    grant_queued(queue, now);
}

/// Reason why no connection was acquired.
pub(crate) enum AcquireError {
    /// The endpoint cannot be reached.
    Unreachable,
    /// No connection became available in time, or the endpoint refused one for capacity.
    Full,
}

/// Takes the most recently used idle connection of a team. Drops broken ones.
pub(crate) fn acquire_idle(pool: &EndpointPool, team: &str) -> Option<IdleConnection> {
    let mut idle = pool.idle.borrow_mut();
    loop {
        let index = idle.iter().rposition(|idle| idle.connection.team() == team)?;
        let found = idle.remove(index);
        if !found.connection.is_broken() {
            return Some(found);
        }
        pool.open_count.set(pool.open_count.get().saturating_sub(1));
    }
}

/// Takes the connection that is least worth keeping: the one with the latest expected next use.
pub(crate) fn remove_least_useful(pool: &EndpointPool, now: Instant) -> Option<IdleConnection> {
    let mut idle = pool.idle.borrow_mut();
    let teams = idle.iter().map(|idle| idle.team_hash);
    let index = pool.reuse.borrow().least_useful(teams, now)?;
    Some(idle.remove(index))
}

/// Takes an idle connection that is not worth keeping.
pub(crate) fn remove_unneeded(pool: &EndpointPool, now: Instant) -> Option<IdleConnection> {
    let mut idle = pool.idle.borrow_mut();
    let kept = kept_connections(pool.max_open.get());
    let teams = idle.iter().map(|idle| idle.team_hash);
    let index = pool.reuse.borrow().to_close(teams, pool.open_count.get(), kept, now)?;
    Some(idle.remove(index))
}
