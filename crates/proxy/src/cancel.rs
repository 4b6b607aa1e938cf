//! Cancel requests: which session a process number stands for and what it runs.

use std::sync::Arc;

use net::member::CancelHandle;
use parking_lot::Mutex;
use slab::Slab;
use tokio::sync::Notify;

/// Independently locked parts of the registry.
const SHARDS: usize = 16;

/// What a session runs at the moment.
#[derive(Debug, Default)]
pub struct CancelSlot {
    secret: i32,
    running: Mutex<Option<CancelHandle>>,
    waiting: Notify,
}

impl CancelSlot {
    /// Notes the statement that runs, or that none does.
    pub fn set_running(&self, handle: Option<CancelHandle>) {
        *self.running.lock() = handle;
    }

    /// Waits for a cancel request that finds no running statement.
    pub async fn cancelled(&self) {
        self.waiting.notified().await;
    }
}

/// Sessions of an instance by process number.
#[derive(Debug)]
pub struct CancelRegistry {
    shards: Vec<Mutex<Slab<Arc<CancelSlot>>>>,
}

impl Default for CancelRegistry {
    fn default() -> Self {
        Self { shards: (0..SHARDS).map(|_| Mutex::default()).collect() }
    }
}

/// Registration of a session, removed when dropped.
#[derive(Debug)]
pub struct CancelRegistration {
    registry: Arc<CancelRegistry>,
    process: i32,
    slot: Arc<CancelSlot>,
}

impl CancelRegistration {
    /// Returns the process number told to the caller.
    pub fn process(&self) -> i32 {
        self.process
    }

    /// Returns the secret told to the caller.
    pub fn secret(&self) -> i32 {
        self.slot.secret
    }

    /// Returns what the session runs.
    pub fn slot(&self) -> &CancelSlot {
        &self.slot
    }
}

impl Drop for CancelRegistration {
    fn drop(&mut self) {
        let (shard, key) = split(self.process);
        self.registry.shards[shard].lock().try_remove(key);
    }
}

impl CancelRegistry {
    /// Registers a session.
    pub fn register(self: &Arc<Self>) -> CancelRegistration {
        let secret: i32 = rand::random();
        let slot = Arc::new(CancelSlot { secret, ..CancelSlot::default() });
        let shard = secret.unsigned_abs() as usize % SHARDS;
        let key = self.shards[shard].lock().insert(slot.clone());
        let process = (key * SHARDS + shard) as i32;
        CancelRegistration { registry: self.clone(), process, slot }
    }

    /// Cancels what the session with this process number runs, if the secret fits.
    pub async fn cancel(&self, process: i32, secret: i32) {
        let (shard, key) = split(process);
        let Some(slot) = self.shards[shard].lock().get(key).cloned() else {
            return;
        };
        if slot.secret != secret {
            return;
        }
        let running = slot.running.lock().clone();
        match running {
            // A cancel request that fails leaves the statement to its deadline.
            Some(handle) => drop(handle.send().await),
            None => slot.waiting.notify_waiters(),
        }
    }
}

fn split(process: i32) -> (usize, usize) {
    let number = process.unsigned_abs() as usize;
    (number % SHARDS, number / SHARDS)
}
