//! Queue and connections of one endpoint.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use clock::SharedClock;
use coord::urgency::{UrgencyLevel, UrgencyQueue};
use telemetry::event::LogEvent;
use telemetry::log_event;
use tokio::sync::{Notify, oneshot};

use crate::endpoint_connection::{EndpointConnection, EndpointError};

/// Time between attempts to reach an endpoint that failed.
pub(crate) const RECONNECT_BACKOFF: Duration = Duration::from_millis(150);

pub(crate) type PermitSender = oneshot::Sender<()>;

/// Connection that waits for work.
#[derive(Debug)]
pub(crate) struct IdleConnection {
    pub(crate) team: String,
    pub(crate) connection: EndpointConnection,
    pub(crate) idle_since: Instant,
}

/// Connection of an open transaction.
#[derive(Debug)]
pub(crate) struct PinnedConnection {
    pub(crate) pool: Rc<EndpointPool>,
    pub(crate) team: String,
    pub(crate) connection: EndpointConnection,
}

/// Queue and connections of one endpoint.
#[derive(Debug)]
pub(crate) struct EndpointPool {
    pub(crate) endpoint: String,
    pub(crate) service: String,
    pub(crate) address: SocketAddr,
    pub(crate) started_ms: u64,
    pub(crate) queue: RefCell<UrgencyQueue<u64, PermitSender>>,
    pub(crate) idle: RefCell<Vec<IdleConnection>>,
    pub(crate) open_count: Cell<usize>,
    pub(crate) max_open: Cell<usize>,
    pub(crate) connection_freed: Notify,
    pub(crate) failing_since: Cell<Option<Instant>>,
    pub(crate) last_attempt_at: Cell<Option<Instant>>,
    pub(crate) last_response_at: Cell<Option<Instant>>,
    pub(crate) probe_in_flight: Cell<bool>,
    pub(crate) connections_refused_at: Cell<Option<Instant>>,
}

/// Permit to run at an endpoint; given back when dropped.
pub(crate) struct RunPermit {
    pub(crate) pool: Rc<EndpointPool>,
    pub(crate) clock: SharedClock,
    pub(crate) priority: UrgencyLevel,
    pub(crate) team: u64,
    pub(crate) acquired_at: Instant,
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        let now = self.clock.now();
        let held = now.saturating_duration_since(self.acquired_at);
        self.pool.queue.borrow_mut().release(self.priority, self.team, held);
        self.pool.wake_next(now);
    }
}

impl EndpointPool {
    /// Starts waiting requests while permits are free.
    pub(crate) fn wake_next(&self, now: Instant) {
        let mut expired = Vec::new();
        loop {
            let next = self.queue.borrow_mut().pop(now, &mut expired);
            let Some(sender) = next else {
                break;
            };
            if sender.send(()).is_err() {
                self.queue.borrow_mut().release(0, 0, Duration::ZERO);
            }
        }
    }

    pub(crate) fn close_connection(&self, connection: EndpointConnection) {
        drop(connection);
        self.open_count.set(self.open_count.get().saturating_sub(1));
        self.connection_freed.notify_one();
    }

    pub(crate) fn record_response(&self, now: Instant) {
        self.last_response_at.set(Some(now));
        if self.failing_since.replace(None).is_some() {
            log_event!(LogEvent::MemberFound, "endpoint={}", self.endpoint);
        }
    }

    pub(crate) fn record_failure(&self, now: Instant, cause: &EndpointError) {
        if self.failing_since.get().is_none() {
            self.failing_since.set(Some(now));
            log_event!(LogEvent::MemberLost, "endpoint={} cause=\"{cause}\"", self.endpoint);
        }
    }

    /// Tells whether the endpoint failed so recently that another attempt is not worth while.
    pub(crate) fn is_in_backoff(&self, now: Instant) -> bool {
        let recent = |at: Instant| now.saturating_duration_since(at) < RECONNECT_BACKOFF;
        self.failing_since.get().is_some() && self.last_attempt_at.get().is_some_and(recent)
    }
}

/// Why no connection could be had.
pub(crate) enum AcquireError {
    Unreachable,
    Full,
}

/// Takes the connection of a team that was used last.
pub(crate) fn acquire_idle(pool: &EndpointPool, team: &str) -> Option<IdleConnection> {
    let mut idle = pool.idle.borrow_mut();
    loop {
        let index = idle.iter().rposition(|idle| idle.team == team)?;
        let found = idle.remove(index);
        if !found.connection.is_broken() {
            return Some(found);
        }
        pool.open_count.set(pool.open_count.get().saturating_sub(1));
    }
}

/// Takes the connection that has been idle for longest.
pub(crate) fn remove_oldest_idle(pool: &EndpointPool) -> Option<IdleConnection> {
    let mut idle = pool.idle.borrow_mut();
    if idle.is_empty() { None } else { Some(idle.remove(0)) }
}
