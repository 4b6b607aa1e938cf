//! Connection pool of one member, shared among teams by a fair queue.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coord::queue::{FairQueue, QueueRefusal};
use metrics::counter;
use parking_lot::Mutex;
use snafu::Snafu;
use state::catalog::TeamId;
use telemetry::event::LogEvent;
use telemetry::{log_event, meter};
use tokio::sync::oneshot;
use tokio::time::timeout_at;
use wire::group::TOO_MANY_CONNECTIONS;

use crate::member::{MemberConnection, MemberError, MemberTarget};

/// Idle time after which a connection's liveness is checked before it is used again.
const LIVENESS_CHECK_THRESHOLD: Duration = Duration::from_secs(1);
/// Timeout of a liveness check, and retry delay after the member's limit or the deadline is reached.
const LIVENESS_CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Bounds the reset of a session; it waits for no locks.
const RESET_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle time after which a connection is evicted.
const MAX_IDLE_TIME: Duration = Duration::from_secs(120);

/// Error on acquiring a connection.
#[derive(Debug, Snafu)]
pub enum PoolError {
    /// The team has too many queued requests.
    #[snafu(display("connection queue is full"))]
    QueueFull,
    /// No connection is available before the deadline, or the member has reached its limit.
    #[snafu(display("no connection before the deadline"))]
    DeadlineExceeded {
        /// Delay after which a retry may succeed.
        retry_after: Duration,
    },
    /// A connection could not be opened.
    #[snafu(display("{source}"))]
    Connect {
        /// Error on opening the connection.
        source: MemberError,
    },
}

/// Permit to use one connection, released to the queue on drop.
#[derive(Debug)]
struct PoolPermit {
    pool: Arc<PoolShared>,
    team: TeamId,
    acquired_at: Instant,
}

impl Drop for PoolPermit {
    fn drop(&mut self) {
        let held_for = self.acquired_at.elapsed();
        self.pool.state.lock().queue.release(self.team, held_for);
        self.pool.dispatch();
    }
}

#[derive(Debug)]
struct PoolState {
    queue: FairQueue<TeamId, oneshot::Sender<PoolPermit>>,
    idle: Vec<MemberConnection>,
    /// Incremented on invalidation; connections of older generations are not reused.
    generation: u64,
}

#[derive(Debug)]
struct PoolShared {
    target: MemberTarget,
    state: Mutex<PoolState>,
}

impl PoolShared {
    /// Hands free permits to the next queued requests.
    fn dispatch(self: &Arc<Self>) {
        loop {
            let mut expired = Vec::new();
            let next = self.state.lock().queue.pop(Instant::now(), &mut expired);
            // Dropping the sender of an expired request fails its wait.
            drop(expired);
            let Some((team, sender)) = next else {
                return;
            };
            let permit = PoolPermit { pool: self.clone(), team, acquired_at: Instant::now() };
            // If the request has been cancelled, the unsent permit is dropped and thereby released.
            drop(sender.send(permit));
        }
    }
}

/// Connection pool of one member.
#[derive(Clone, Debug)]
pub struct MemberPool {
    shared: Arc<PoolShared>,
}

/// Connection acquired from a pool; dropping it closes the connection.
#[derive(Debug)]
pub struct PooledConnection {
    connection: MemberConnection,
    generation: u64,
    permit: PoolPermit,
}

impl PooledConnection {
    /// Returns the underlying connection.
    pub fn connection_mut(&mut self) -> &mut MemberConnection {
        &mut self.connection
    }

    /// Returns the connection to the pool, after a reset if its session may have state that a caller
    /// left. All responses on it must have been read.
    pub fn release(self) {
        if self.connection.has_session_state() {
            tokio::spawn(self.reset_and_release());
        } else {
            self.put_back();
        }
    }

    /// Resets the session and returns the connection; closes the connection if that fails.
    async fn reset_and_release(mut self) {
        match self.connection.reset_session(RESET_TIMEOUT).await {
            Ok(()) => {
                counter!(meter::SESSION_RESETS, "outcome" => "reset").increment(1);
                self.put_back();
            }
            Err(error) => {
                counter!(meter::SESSION_RESETS, "outcome" => "closed").increment(1);
                log_event!(LogEvent::SessionResetFailed, "cause=\"{error}\"");
            }
        }
    }

    fn put_back(self) {
        let Self { connection, generation, permit } = self;
        let mut state = permit.pool.state.lock();
        if state.generation == generation && state.idle.len() < state.queue.capacity() {
            state.idle.push(connection);
        }
        drop(state);
        drop(permit);
    }
}

impl MemberPool {
    /// Creates a pool of at most `capacity` connections.
    pub fn new(target: MemberTarget, capacity: usize) -> Self {
        let state = PoolState { queue: FairQueue::new(capacity), idle: Vec::new(), generation: 0 };
        Self { shared: Arc::new(PoolShared { target, state: Mutex::new(state) }) }
    }

    /// Sets the maximum number of connections and closes surplus idle ones.
    pub fn resize(&self, capacity: usize) {
        let mut state = self.shared.state.lock();
        state.queue.resize(capacity);
        let free_capacity = capacity.saturating_sub(state.queue.in_use());
        let surplus = state.idle.len().saturating_sub(free_capacity);
        state.idle.drain(..surplus);
        drop(state);
        self.shared.dispatch();
    }

    /// Returns the number of requests that are in flight or queued.
    pub fn load(&self) -> u32 {
        let state = self.shared.state.lock();
        (state.queue.in_use() + state.queue.waiting()) as u32
    }

    /// Closes all idle connections at once and those in use on their release.
    pub fn invalidate_all(&self) {
        let mut state = self.shared.state.lock();
        state.generation += 1;
        state.idle.clear();
    }

    /// Closes connections that have been idle for `MAX_IDLE_TIME`.
    pub fn evict_idle(&self, now: Instant) {
        let mut state = self.shared.state.lock();
        state.idle.retain(|idle| now.duration_since(idle.last_active_at()) < MAX_IDLE_TIME);
    }

    /// Acquires a connection, queued with the requests of all teams until `deadline`.
    pub async fn acquire(
        &self,
        team: TeamId,
        deadline: Instant,
    ) -> Result<PooledConnection, PoolError> {
        let permit = self.acquire_permit(team, deadline).await?;
        while let Some((connection, generation)) = self.pop_idle() {
            if let Some(connection) = check_liveness(connection).await {
                return Ok(PooledConnection { connection, generation, permit });
            }
        }
        let generation = self.shared.state.lock().generation;
        let open = MemberConnection::open(&self.shared.target);
        let opened = timeout_at(deadline.into(), open).await;
        match opened {
            Ok(Ok(connection)) => Ok(PooledConnection { connection, generation, permit }),
            Ok(Err(MemberError::ErrorResponse { sqlstate, .. }))
                if sqlstate == TOO_MANY_CONNECTIONS =>
            {
                DeadlineExceededSnafu { retry_after: LIVENESS_CHECK_TIMEOUT }.fail()
            }
            Ok(Err(source)) => Err(PoolError::Connect { source }),
            Err(_) => DeadlineExceededSnafu { retry_after: LIVENESS_CHECK_TIMEOUT }.fail(),
        }
    }

    async fn acquire_permit(
        &self,
        team: TeamId,
        deadline: Instant,
    ) -> Result<PoolPermit, PoolError> {
        let now = Instant::now();
        let receiver = {
            let mut state = self.shared.state.lock();
            if state.queue.try_acquire(team, now) {
                drop(state);
                return Ok(PoolPermit { pool: self.shared.clone(), team, acquired_at: now });
            }
            let (sender, receiver) = oneshot::channel();
            match state.queue.push(team, sender, deadline, now) {
                Ok(()) => receiver,
                Err(QueueRefusal::Full) => return QueueFullSnafu.fail(),
                Err(QueueRefusal::DeadlineExceeded { expected_wait }) => {
                    return DeadlineExceededSnafu { retry_after: expected_wait }.fail();
                }
            }
        };
        self.shared.dispatch();
        match timeout_at(deadline.into(), receiver).await {
            Ok(Ok(permit)) => Ok(permit),
            _ => {
                let retry_after = self.shared.state.lock().queue.expected_wait(team);
                DeadlineExceededSnafu { retry_after }.fail()
            }
        }
    }

    fn pop_idle(&self) -> Option<(MemberConnection, u64)> {
        let mut state = self.shared.state.lock();
        let connection = state.idle.pop()?;
        Some((connection, state.generation))
    }
}

/// Returns the connection if it was active recently or responds to a status query.
async fn check_liveness(mut connection: MemberConnection) -> Option<MemberConnection> {
    if connection.last_active_at().elapsed() < LIVENESS_CHECK_THRESHOLD {
        return Some(connection);
    }
    connection.status(LIVENESS_CHECK_TIMEOUT).await.ok()?;
    Some(connection)
}
