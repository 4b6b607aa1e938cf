//! Member of a database group: its log, role and terms.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use rusqlite::types::Value;
use snafu::Snafu;
use state::position::{MemberPosition, MemberRole, MemberStatus};
use tokio::sync::{Semaphore, watch};
use tokio::time::Instant;

use crate::fault::{FaultChange, MemberFault};
use crate::sqlite::{SqliteConnection, SqliteDatabase, SqliteError};

/// Errors of a member's operations.
#[derive(Debug, Snafu)]
pub enum MemberError {
    /// The member is not the primary or the label was rejected, so nothing was committed.
    #[snafu(display("this member is not the primary"))]
    NotPrimary,
    /// The term of a group command is stale, or the member was not fenced for that term.
    #[snafu(display("term {term} rejected, the highest accepted term is {promised}"))]
    StaleTerm {
        /// Term of the command.
        term: u64,
        /// Highest accepted term.
        promised: u64,
    },
    /// An operation on the SQLite database failed.
    #[snafu(display("{source}"), context(false))]
    Sqlite {
        /// Cause reported by SQLite.
        source: SqliteError,
    },
}

/// Statement in a log entry.
#[derive(Clone, Debug)]
pub struct LoggedStatement {
    /// Statement text.
    pub sql: String,
    /// Parameter values.
    pub parameters: Vec<Value>,
}

/// Committed transaction in the log.
#[derive(Clone, Debug, Default)]
pub struct LogEntry {
    /// Term under which the entry was written.
    pub term: u64,
    /// Label chosen by the client, by which it can resolve the outcome later.
    pub label: Option<String>,
    /// Statements in execution order; empty for the first entry of a term.
    pub statements: Vec<LoggedStatement>,
}

/// Consecutive log entries that a primary sends to a replica.
#[derive(Clone, Debug)]
pub struct LogBatch {
    /// Term of the primary.
    pub term: u64,
    /// Index at which the primary's term started.
    pub term_start: u64,
    /// Index of the entry before the first one sent.
    pub previous_index: u64,
    /// Term of that entry.
    pub previous_term: u64,
    /// Entries to append; empty for a heartbeat.
    pub entries: Vec<Arc<LogEntry>>,
}

/// Response of a replica to a batch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BatchResponse {
    /// The replica's log matches the primary's up to this index.
    Matched(u64),
    /// The logs differ before the batch; the primary retries with the entries after this index.
    Mismatch(u64),
    /// The member does not replicate from this primary in this term.
    NotFollowing,
}

/// Latest acknowledgement of a replica.
#[derive(Clone, Copy, Debug)]
struct ReplicaAck {
    match_index: u64,
    sent_at: Instant,
}

/// Replication state of a member, guarded by a single lock.
#[derive(Debug)]
pub struct ReplicationState {
    role: MemberRole,
    /// Term of the newest primary from which the log has an entry.
    term: u64,
    /// Last index of the log before the first entry of `term`.
    term_start: u64,
    /// Highest accepted term; group commands and batches of lower terms are rejected.
    promised: u64,
    followed_primary: Option<String>,
    log: Vec<Arc<LogEntry>>,
    /// Times at which the entries after `applied` are due, in log order.
    apply_times: VecDeque<Instant>,
    /// Index of the last entry applied to the database.
    applied: u64,
    /// Time of the last batch from the followed primary, or of the loss of the primary role.
    last_contact: Instant,
    acks: HashMap<usize, ReplicaAck>,
    confirmation_requested_at: Option<Instant>,
    /// Log index of each labelled transaction.
    labels: HashMap<String, u64>,
    rejected_labels: HashSet<String>,
    database: SqliteDatabase,
    /// Counts rebuilds of the database and losses of the primary role.
    pub generation: u64,
    /// Active faults.
    pub fault: MemberFault,
}

impl ReplicationState {
    fn create() -> Result<Self, SqliteError> {
        Ok(Self {
            role: MemberRole::Replica,
            term: 0,
            term_start: 0,
            promised: 0,
            followed_primary: None,
            log: Vec::new(),
            apply_times: VecDeque::new(),
            applied: 0,
            last_contact: Instant::now(),
            acks: HashMap::new(),
            confirmation_requested_at: None,
            labels: HashMap::new(),
            rejected_labels: HashSet::new(),
            database: SqliteDatabase::create()?,
            generation: 1,
            fault: MemberFault::default(),
        })
    }

    /// Returns whether the member accepts writes.
    pub fn is_primary(&self) -> bool {
        self.role == MemberRole::Primary
    }

    /// Returns the position that the member reports with its responses.
    pub fn position(&self) -> MemberPosition {
        MemberPosition {
            role: self.role,
            term: self.term,
            applied: self.applied,
            term_start: self.term_start,
        }
    }

    /// Returns the full status.
    pub fn status(&self) -> MemberStatus {
        let contact_age = match self.role {
            MemberRole::Primary => Duration::ZERO,
            MemberRole::Replica | MemberRole::Fenced => self.last_contact.elapsed(),
        };
        MemberStatus {
            position: self.position(),
            promised: self.promised,
            last_term: self.log.last().map_or(0, |entry| entry.term),
            received: self.log.len() as u64,
            last_contact_ms: contact_age.as_millis() as u64,
        }
    }

    /// Opens a connection to the current database.
    pub fn connect(&self) -> Result<SqliteConnection, SqliteError> {
        self.database.connect()
    }

    /// Returns the log index of a labelled transaction, or rejects the label from now on.
    ///
    /// A rejected label never commits on this member, so a result of `None` stays valid.
    pub fn resolve_outcome(&mut self, label: &str) -> Option<u64> {
        let index = self.labels.get(label).copied();
        if index.is_none() {
            self.rejected_labels.insert(label.to_owned());
        }
        index
    }

    /// Commits the open transaction of `connection` and appends it to the log.
    pub fn commit(
        &mut self,
        connection: &SqliteConnection,
        entry: LogEntry,
    ) -> Result<u64, MemberError> {
        let is_rejected =
            entry.label.as_ref().is_some_and(|label| self.rejected_labels.contains(label));
        if self.role != MemberRole::Primary || is_rejected {
            return NotPrimarySnafu.fail();
        }
        connection.control_transaction("COMMIT")?;
        self.append_entry(LogEntry { term: self.term, ..entry });
        self.applied = self.log.len() as u64;
        Ok(self.applied)
    }

    /// Accepts a fence: from now on, rejects writes and batches of lower terms.
    pub fn fence(&mut self, term: u64) -> Result<MemberStatus, MemberError> {
        if term <= self.promised {
            return StaleTermSnafu { term, promised: self.promised }.fail();
        }
        self.promised = term;
        self.step_down(MemberRole::Fenced);
        Ok(self.status())
    }

    /// Becomes the primary of the term that was fenced last.
    pub fn promote(&mut self, term: u64) -> Result<MemberStatus, MemberError> {
        if self.role != MemberRole::Fenced || term != self.promised {
            return StaleTermSnafu { term, promised: self.promised }.fail();
        }
        while self.applied < self.log.len() as u64 {
            self.apply_next()?;
        }
        self.apply_times.clear();
        self.role = MemberRole::Primary;
        self.term = term;
        self.term_start = self.log.len() as u64;
        self.acks.clear();
        self.append_entry(LogEntry { term, ..LogEntry::default() });
        self.applied = self.log.len() as u64;
        Ok(self.status())
    }

    /// Replicates from the primary of a term from now on.
    pub fn follow(&mut self, term: u64, primary: &str) -> Result<MemberStatus, MemberError> {
        let may_follow_promised_term = term == self.promised && self.role != MemberRole::Primary;
        if term < self.promised || (term == self.promised && !may_follow_promised_term) {
            return StaleTermSnafu { term, promised: self.promised }.fail();
        }
        self.promised = term;
        self.followed_primary = Some(primary.to_owned());
        self.step_down(MemberRole::Replica);
        Ok(self.status())
    }

    /// Appends a batch from the primary named `primary`.
    pub fn append_batch(
        &mut self,
        primary: &str,
        batch: &LogBatch,
    ) -> Result<BatchResponse, MemberError> {
        let is_followed = self.followed_primary.as_deref() == Some(primary);
        if self.role != MemberRole::Replica || self.promised != batch.term || !is_followed {
            return Ok(BatchResponse::NotFollowing);
        }
        self.last_contact = Instant::now();
        let last_index = self.log.len() as u64;
        if batch.previous_index > last_index {
            return Ok(BatchResponse::Mismatch(last_index));
        }
        if self.term_at(batch.previous_index) != batch.previous_term {
            return Ok(BatchResponse::Mismatch(batch.previous_index.saturating_sub(1)));
        }
        for (offset, entry) in batch.entries.iter().enumerate() {
            let index = batch.previous_index + offset as u64 + 1;
            if self.term_at(index) == entry.term {
                continue;
            }
            self.truncate_log(index - 1)?;
            self.append_entry((**entry).clone());
            self.apply_times.push_back(Instant::now() + Duration::from_millis(self.fault.lag_ms));
        }
        let end = batch.previous_index + batch.entries.len() as u64;
        // A term starts with its first entry, which replaces any entry that an older primary left
        // at that index.
        if self.term != batch.term && end > batch.term_start {
            self.term = batch.term;
            self.term_start = batch.term_start;
        }
        Ok(BatchResponse::Matched(end))
    }

    /// Returns the batch after `match_index`, or `None` if the member is not the primary.
    pub fn batch_after(&self, match_index: u64, max_entries: usize) -> Option<LogBatch> {
        if !self.is_primary() {
            return None;
        }
        let start = (match_index as usize).min(self.log.len());
        let end = (start + max_entries).min(self.log.len());
        Some(LogBatch {
            term: self.term,
            term_start: self.term_start,
            previous_index: start as u64,
            previous_term: self.term_at(start as u64),
            entries: self.log[start..end].to_vec(),
        })
    }

    /// Records an acknowledgement from the replica at index `replica`.
    ///
    /// Ignores it if this member is not the primary of `term`.
    pub fn acknowledge(&mut self, replica: usize, term: u64, match_index: u64, sent_at: Instant) {
        if self.role == MemberRole::Primary && self.term == term {
            self.acks.insert(replica, ReplicaAck { match_index, sent_at });
        }
    }

    /// Returns whether a majority of `group_size` members has replicated `index` in this primary's
    /// term.
    ///
    /// With `sent_since`, only acknowledgements of batches sent at or after it count.
    pub fn has_quorum(&self, index: u64, group_size: usize, sent_since: Option<Instant>) -> bool {
        // As in Raft, an entry of an older term counts only once the first entry of this term is
        // replicated too.
        let required_index = index.max(self.term_start + 1);
        let acknowledges = |ack: &&ReplicaAck| {
            ack.match_index >= required_index && sent_since.is_none_or(|since| ack.sent_at >= since)
        };
        1 + self.acks.values().filter(acknowledges).count() > group_size / 2
    }

    /// Requests a leadership confirmation and returns the time of the request.
    ///
    /// Acknowledgements of batches sent after it prove that the term is still current.
    pub fn request_confirmation(&mut self) -> Instant {
        let now = Instant::now();
        self.confirmation_requested_at = Some(now);
        now
    }

    /// Returns when a leadership confirmation was last requested.
    pub fn confirmation_requested_at(&self) -> Option<Instant> {
        self.confirmation_requested_at
    }

    /// Returns the last index of the log.
    pub fn last_index(&self) -> u64 {
        self.log.len() as u64
    }

    /// Applies the entries that are due and returns when the next one is.
    pub fn apply_due(&mut self) -> Result<Option<Instant>, MemberError> {
        while let Some(due) = self.apply_times.front().copied() {
            if due > Instant::now() {
                return Ok(Some(due));
            }
            self.apply_next()?;
            self.apply_times.pop_front();
        }
        Ok(None)
    }

    fn apply_next(&mut self) -> Result<(), MemberError> {
        let entry = self.log[self.applied as usize].clone();
        replay_entry(&self.database, &entry)?;
        self.applied += 1;
        Ok(())
    }

    fn step_down(&mut self, role: MemberRole) {
        if self.role == MemberRole::Primary {
            self.generation += 1;
            self.last_contact = Instant::now();
        }
        self.role = role;
    }

    fn append_entry(&mut self, entry: LogEntry) {
        if let Some(label) = &entry.label {
            self.labels.insert(label.clone(), self.log.len() as u64 + 1);
        }
        self.log.push(Arc::new(entry));
    }

    fn term_at(&self, index: u64) -> u64 {
        let offset = (index as usize).checked_sub(1);
        offset.and_then(|offset| self.log.get(offset)).map_or(0, |entry| entry.term)
    }

    /// Removes entries past `end` and rebuilds the database if any of them was applied.
    fn truncate_log(&mut self, end: u64) -> Result<(), MemberError> {
        if self.log.len() as u64 <= end {
            return Ok(());
        }
        self.log.truncate(end as usize);
        self.labels.retain(|_, index| *index <= end);
        if self.applied <= end {
            self.apply_times.truncate((end - self.applied) as usize);
            return Ok(());
        }
        self.apply_times.clear();
        self.database = SqliteDatabase::create()?;
        self.generation += 1;
        for entry in &self.log {
            replay_entry(&self.database, entry)?;
        }
        self.applied = end;
        Ok(())
    }
}

fn replay_entry(database: &SqliteDatabase, entry: &LogEntry) -> Result<(), SqliteError> {
    if entry.statements.is_empty() {
        return Ok(());
    }
    database.control_transaction("BEGIN IMMEDIATE")?;
    for statement in &entry.statements {
        if let Err(error) = database.replay(&statement.sql, &statement.parameters) {
            database.control_transaction("ROLLBACK")?;
            return Err(error);
        }
    }
    database.control_transaction("COMMIT")
}

/// Group member that its tasks share.
#[derive(Debug)]
pub struct GroupMember {
    /// Index of the member in its group.
    pub index: usize,
    /// Logical name of the member.
    pub name: String,
    /// Availability zone of the member.
    pub zone: String,
    /// Replication state.
    pub replication: Mutex<ReplicationState>,
    /// Counts state changes, so that tasks can wait for the next one.
    pub changed: watch::Sender<u64>,
    /// Limits the statements that run concurrently.
    pub statement_slots: Semaphore,
    /// Serializes write transactions in order of arrival.
    pub write_lock: Arc<tokio::sync::Mutex<()>>,
    /// Number of open connections, those of the control user excluded.
    pub open_connections: AtomicU32,
    /// ID of the last session made unresponsive; all earlier ones are unresponsive too.
    pub unresponsive_up_to: AtomicU64,
    /// Number of sessions opened so far, which is also the ID of the latest one.
    pub total_connections: AtomicU64,
    /// Number of statements executed so far, group commands excluded.
    pub executed_statements: AtomicU64,
}

impl GroupMember {
    /// Creates an empty member.
    pub fn create(index: usize, name: &str, zone: &str, slots: usize) -> Result<Self, SqliteError> {
        Ok(Self {
            index,
            name: name.to_owned(),
            zone: zone.to_owned(),
            replication: Mutex::new(ReplicationState::create()?),
            changed: watch::Sender::new(0),
            statement_slots: Semaphore::new(slots),
            write_lock: Arc::default(),
            open_connections: AtomicU32::new(0),
            unresponsive_up_to: AtomicU64::new(0),
            total_connections: AtomicU64::new(0),
            executed_statements: AtomicU64::new(0),
        })
    }

    /// Runs an operation on the replication state and wakes the tasks that wait for a change.
    pub fn update<T>(&self, operation: impl FnOnce(&mut ReplicationState) -> T) -> T {
        let result = operation(&mut self.replication.lock());
        self.changed.send_modify(|count| *count += 1);
        result
    }

    /// Changes the active faults.
    pub fn change_fault(&self, change: &FaultChange) {
        self.update(|state| state.fault.change(change));
        if change.silence {
            let total = self.total_connections.load(Ordering::SeqCst);
            self.unresponsive_up_to.store(total, Ordering::SeqCst);
            self.changed.send_modify(|count| *count += 1);
        }
    }

    /// Returns the number of statements executed so far.
    pub fn executed_statements(&self) -> u64 {
        self.executed_statements.load(Ordering::Relaxed)
    }

    /// Returns the active faults.
    pub fn fault(&self) -> MemberFault {
        self.replication.lock().fault.clone()
    }
}
