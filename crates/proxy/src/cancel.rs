//! Cancel requests: maps process ids to sessions and their running statements.

use std::sync::Arc;

use net::member::CancelHandle;
use parking_lot::Mutex;
use slab::Slab;
use tokio::sync::Notify;

/// Number of independently locked shards of the registry.
const SHARD_COUNT: usize = 16;

/// Session as the target of cancel requests, with its running statement.
#[derive(Debug, Default)]
pub struct CancelTarget {
    secret_key: i32,
    running: Mutex<Option<CancelHandle>>,
    cancel_requested: Notify,
}

impl CancelTarget {
    /// Sets the handle of the running statement, or none.
    pub fn set_running(&self, handle: Option<CancelHandle>) {
        *self.running.lock() = handle;
    }

    /// Waits for a cancel request that arrives while no statement runs, such as during the wait
    /// for a pooled connection.
    pub async fn cancelled(&self) {
        self.cancel_requested.notified().await;
    }
}

/// Sessions of an instance by process id.
#[derive(Debug)]
pub struct CancelRegistry {
    shards: Vec<Mutex<Slab<Arc<CancelTarget>>>>,
}

impl Default for CancelRegistry {
    fn default() -> Self {
        Self { shards: (0..SHARD_COUNT).map(|_| Mutex::default()).collect() }
    }
}

/// Registration of a session, which ends on drop.
#[derive(Debug)]
pub struct CancelRegistration {
    registry: Arc<CancelRegistry>,
    process_id: i32,
    target: Arc<CancelTarget>,
}

impl CancelRegistration {
    /// Returns the process id that the caller was sent.
    pub fn process_id(&self) -> i32 {
        self.process_id
    }

    /// Returns the secret key that the caller was sent.
    pub fn secret_key(&self) -> i32 {
        self.target.secret_key
    }

    /// Returns the target of cancel requests for the session.
    pub fn cancel_target(&self) -> &CancelTarget {
        &self.target
    }
}

impl Drop for CancelRegistration {
    fn drop(&mut self) {
        let (shard, index) = split_process_id(self.process_id);
        self.registry.shards[shard].lock().try_remove(index);
    }
}

impl CancelRegistry {
    /// Registers a session.
    pub fn register(self: &Arc<Self>) -> CancelRegistration {
        let secret_key: i32 = rand::random();
        let target = Arc::new(CancelTarget { secret_key, ..CancelTarget::default() });
        let shard = secret_key.unsigned_abs() as usize % SHARD_COUNT;
        let index = self.shards[shard].lock().insert(target.clone());
        let process_id = (index * SHARD_COUNT + shard) as i32;
        CancelRegistration { registry: self.clone(), process_id, target }
    }

    /// Cancels the running statement of a session, if the secret key matches its process id.
    pub async fn cancel(&self, process_id: i32, secret_key: i32) {
        let (shard, index) = split_process_id(process_id);
        let Some(target) = self.shards[shard].lock().get(index).cloned() else {
            return;
        };
        if target.secret_key != secret_key {
            return;
        }
        let running = target.running.lock().clone();
        match running {
            // If the cancel request cannot be sent, the statement runs until its deadline.
            Some(handle) => drop(handle.send().await),
            None => target.cancel_requested.notify_waiters(),
        }
    }
}

/// Returns the shard that a process id encodes, and the index within the shard.
fn split_process_id(process_id: i32) -> (usize, usize) {
    let unsigned_id = process_id.unsigned_abs() as usize;
    (unsigned_id % SHARD_COUNT, unsigned_id / SHARD_COUNT)
}
