//! Platform services: transactional table, object store and instance list, with injectable faults.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};
use wire::platform::{InstanceRecord, TableRow, TableTransaction, TransactionReply};

/// Maximum number of versions of the instance list that are retained for stale reads.
const MAX_LIST_VERSIONS: usize = 256;

/// Faults of the platform.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFault {
    /// Fails every operation on the table and the object store.
    pub down: bool,
    /// Delays every operation, in milliseconds.
    pub slow_ms: u64,
    /// Number of writes that take effect but whose response is lost.
    pub lose_answers: u32,
    /// Age of the instance list that is returned, in milliseconds.
    pub list_lag_ms: u64,
}

/// Reason why an operation has no response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlatformError {
    /// The service is unavailable; nothing took effect.
    Unavailable,
    /// The operation took effect, but its response was lost.
    ResponseLost,
}

/// Number of operations since the start.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct OperationCounts {
    /// Transactions and object writes.
    pub writes: u64,
    /// Row, prefix and object reads.
    pub reads: u64,
}

#[derive(Default)]
struct PlatformState {
    fault: PlatformFault,
    revision: u64,
    rows: BTreeMap<String, TableRow>,
    objects: BTreeMap<String, Vec<u8>>,
    instances: BTreeMap<String, InstanceRecord>,
    list_versions: VecDeque<(Instant, Vec<InstanceRecord>)>,
    counts: OperationCounts,
}

/// Stand-in for the platform's services.
#[derive(Default)]
pub struct PlatformService {
    state: Mutex<PlatformState>,
}

impl PlatformService {
    /// Checks the expected revisions and applies the writes atomically.
    pub async fn transact(
        &self,
        transaction: TableTransaction,
    ) -> Result<TransactionReply, PlatformError> {
        self.begin_operation(true).await?;
        let response = self.state.lock().transact(transaction);
        self.finish_write()?;
        Ok(response)
    }

    /// Reads the rows whose key starts with `prefix`.
    pub async fn scan(&self, prefix: &str) -> Result<Vec<TableRow>, PlatformError> {
        self.begin_operation(false).await?;
        let state = self.state.lock();
        let range = state.rows.range(prefix.to_owned()..);
        Ok(range
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, row)| row.clone())
            .collect())
    }

    /// Reads one row.
    pub async fn row(&self, key: &str) -> Result<Option<TableRow>, PlatformError> {
        self.begin_operation(false).await?;
        Ok(self.state.lock().rows.get(key).cloned())
    }

    /// Writes an object.
    pub async fn put_object(&self, name: &str, bytes: Vec<u8>) -> Result<(), PlatformError> {
        self.begin_operation(true).await?;
        self.state.lock().objects.insert(name.to_owned(), bytes);
        self.finish_write()
    }

    /// Reads an object.
    pub async fn object(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        self.begin_operation(false).await?;
        Ok(self.state.lock().objects.get(name).cloned())
    }

    /// Returns the instance list as it was `list_lag_ms` ago; empty if no version is that old.
    pub fn instances(&self) -> Vec<InstanceRecord> {
        let state = self.state.lock();
        let lag = Duration::from_millis(state.fault.list_lag_ms);
        let old_enough =
            |(recorded_at, _): &&(Instant, Vec<InstanceRecord>)| recorded_at.elapsed() >= lag;
        let list = state.list_versions.iter().rev().find(old_enough);
        list.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    /// Adds or replaces an instance in the list.
    pub fn put_instance(&self, record: InstanceRecord) {
        let mut state = self.state.lock();
        state.instances.insert(record.name.clone(), record);
        state.record_list_version();
    }

    /// Removes an instance from the list.
    pub fn remove_instance(&self, name: &str) {
        let mut state = self.state.lock();
        state.instances.remove(name);
        state.record_list_version();
    }

    /// Replaces the active faults.
    pub fn set_fault(&self, fault: PlatformFault) {
        self.state.lock().fault = fault;
    }

    /// Returns the active faults.
    pub fn fault(&self) -> PlatformFault {
        self.state.lock().fault.clone()
    }

    /// Returns the number of operations since the start.
    pub fn counts(&self) -> OperationCounts {
        self.state.lock().counts
    }

    async fn begin_operation(&self, is_write: bool) -> Result<(), PlatformError> {
        let fault = {
            let mut state = self.state.lock();
            let counts = &mut state.counts;
            if is_write {
                counts.writes += 1;
            } else {
                counts.reads += 1;
            }
            state.fault.clone()
        };
        if fault.slow_ms > 0 {
            sleep(Duration::from_millis(fault.slow_ms)).await;
        }
        if fault.down { Err(PlatformError::Unavailable) } else { Ok(()) }
    }

    fn finish_write(&self) -> Result<(), PlatformError> {
        let mut state = self.state.lock();
        if state.fault.lose_answers == 0 {
            return Ok(());
        }
        state.fault.lose_answers -= 1;
        Err(PlatformError::ResponseLost)
    }
}

impl PlatformState {
    fn transact(&mut self, transaction: TableTransaction) -> TransactionReply {
        let current = |key: &str| self.rows.get(key).map_or(0, |row| row.revision);
        let conflicting: Vec<&str> = transaction
            .checks
            .iter()
            .filter(|check| current(&check.key) != check.revision)
            .map(|check| check.key.as_str())
            .collect();
        if !conflicting.is_empty() {
            let rows = conflicting.iter().filter_map(|key| self.rows.get(*key).cloned()).collect();
            return TransactionReply::Conflict { rows };
        }
        self.revision += 1;
        let revision = self.revision;
        for write in transaction.writes {
            match write.value {
                Some(value) => {
                    let row = TableRow { key: write.key.clone(), value, revision };
                    self.rows.insert(write.key, row);
                }
                None => {
                    self.rows.remove(&write.key);
                }
            }
        }
        TransactionReply::Applied { revision }
    }

    fn record_list_version(&mut self) {
        let list = self.instances.values().cloned().collect();
        self.list_versions.push_back((Instant::now(), list));
        if self.list_versions.len() > MAX_LIST_VERSIONS {
            self.list_versions.pop_front();
        }
    }
}
