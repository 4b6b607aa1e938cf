//! One member of a database group: its log, role and terms.

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
    /// The member is not the primary, so nothing was committed.
    #[snafu(display("this member is not the primary"))]
    NotPrimary,
    /// The term of a group command is not above the highest accepted one.
    #[snafu(display("term {term} is refused, {promised} was accepted before"))]
    StaleTerm {
        /// Term of the command.
        term: u64,
        /// Highest accepted term.
        promised: u64,
    },
    /// The engine refused an operation.
    #[snafu(display("{source}"), context(false))]
    Sqlite {
        /// Cause reported by the engine.
        source: SqliteError,
    },
}

/// Statement inside a log entry.
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
    /// Label given by the caller, by which the outcome can be asked for.
    pub label: Option<String>,
    /// Statements in the order in which they ran; empty for the first entry of a term.
    pub statements: Vec<LoggedStatement>,
}

/// Part of the primary's log sent to a replica.
#[derive(Clone, Debug)]
pub struct LogBatch {
    /// Term of the primary.
    pub term: u64,
    /// Index at which the primary's term started.
    pub term_start: u64,
    /// Index of the entry before the first one sent.
    pub previous: u64,
    /// Term of that entry.
    pub previous_term: u64,
    /// Entries sent, none for a heartbeat.
    pub entries: Vec<Arc<LogEntry>>,
}

/// Answer of a replica to a batch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BatchResponse {
    /// The replica holds the primary's log up to this index.
    Matched(u64),
    /// The logs differ before the batch; the primary sends from this index on.
    Mismatch(u64),
    /// The replica follows another term.
    NotFollowing,
}

/// Last acknowledgement of a replica.
#[derive(Clone, Copy, Debug)]
struct ReplicaAck {
    held: u64,
    sent_at: Instant,
}

/// State of a member that its operations change together.
#[derive(Debug)]
pub struct ReplicationState {
    role: MemberRole,
    term: u64,
    term_start: u64,
    promised: u64,
    follows: Option<String>,
    log: Vec<Arc<LogEntry>>,
    due: VecDeque<Instant>,
    applied: u64,
    heard: Instant,
    acks: HashMap<usize, ReplicaAck>,
    barrier_at: Option<Instant>,
    labels: HashMap<String, u64>,
    barred: HashSet<String>,
    engine: SqliteDatabase,
    /// Counts replacements of the engine and losses of the primary role.
    pub generation: u64,
    /// Faults in force.
    pub fault: MemberFault,
}

impl ReplicationState {
    fn create() -> Result<Self, SqliteError> {
        Ok(Self {
            role: MemberRole::Replica,
            term: 0,
            term_start: 0,
            promised: 0,
            follows: None,
            log: Vec::new(),
            due: VecDeque::new(),
            applied: 0,
            heard: Instant::now(),
            acks: HashMap::new(),
            barrier_at: None,
            labels: HashMap::new(),
            barred: HashSet::new(),
            engine: SqliteDatabase::create()?,
            generation: 1,
            fault: MemberFault::default(),
        })
    }

    /// Tells whether the member accepts writes.
    pub fn is_primary(&self) -> bool {
        self.role == MemberRole::Primary
    }

    /// Returns the position that every answer carries.
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
        let heard = match self.role {
            MemberRole::Primary => Duration::ZERO,
            MemberRole::Replica | MemberRole::Fenced => self.heard.elapsed(),
        };
        MemberStatus {
            position: self.position(),
            promised: self.promised,
            last_term: self.log.last().map_or(0, |entry| entry.term),
            received: self.log.len() as u64,
            last_contact_ms: heard.as_millis() as u64,
        }
    }

    /// Opens a connection to the current engine.
    pub fn connect(&self) -> Result<SqliteConnection, SqliteError> {
        self.engine.connect()
    }

    /// Returns the index at which a labelled transaction stands in the log, or bars the label.
    ///
    /// A barred label never commits on this member, so the answer stays true.
    pub fn settle(&mut self, label: &str) -> Option<u64> {
        let found = self.labels.get(label).copied();
        if found.is_none() {
            self.barred.insert(label.to_owned());
        }
        found
    }

    /// Commits the open transaction of `connection` and appends it to the log.
    pub fn commit(
        &mut self,
        connection: &SqliteConnection,
        entry: LogEntry,
    ) -> Result<u64, MemberError> {
        let barred = entry.label.as_ref().is_some_and(|label| self.barred.contains(label));
        if self.role != MemberRole::Primary || barred {
            return NotPrimarySnafu.fail();
        }
        connection.control("COMMIT")?;
        self.push(LogEntry { term: self.term, ..entry });
        self.applied = self.log.len() as u64;
        Ok(self.applied)
    }

    /// Accepts a fence and stops accepting writes and batches of lower terms.
    pub fn fence(&mut self, term: u64) -> Result<MemberStatus, MemberError> {
        if term <= self.promised {
            return StaleTermSnafu { term, promised: self.promised }.fail();
        }
        self.promised = term;
        self.leave_primary(MemberRole::Fenced);
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
        self.due.clear();
        self.role = MemberRole::Primary;
        self.term = term;
        self.term_start = self.log.len() as u64;
        self.acks.clear();
        self.push(LogEntry { term, ..LogEntry::default() });
        self.applied = self.log.len() as u64;
        Ok(self.status())
    }

    /// Follows the primary of a term from now on.
    pub fn follow(&mut self, term: u64, primary: &str) -> Result<MemberStatus, MemberError> {
        let same = term == self.promised && self.role != MemberRole::Primary;
        if term < self.promised || (term == self.promised && !same) {
            return StaleTermSnafu { term, promised: self.promised }.fail();
        }
        self.promised = term;
        self.follows = Some(primary.to_owned());
        self.leave_primary(MemberRole::Replica);
        Ok(self.status())
    }

    /// Takes a batch from the primary called `primary`.
    pub fn append_batch(
        &mut self,
        primary: &str,
        batch: &LogBatch,
    ) -> Result<BatchResponse, MemberError> {
        let follows = self.follows.as_deref() == Some(primary);
        if self.role != MemberRole::Replica || self.promised != batch.term || !follows {
            return Ok(BatchResponse::NotFollowing);
        }
        self.heard = Instant::now();
        let held = self.log.len() as u64;
        if batch.previous > held {
            return Ok(BatchResponse::Mismatch(held));
        }
        if self.term_at(batch.previous) != batch.previous_term {
            return Ok(BatchResponse::Mismatch(batch.previous.saturating_sub(1)));
        }
        for (offset, entry) in batch.entries.iter().enumerate() {
            let index = batch.previous + offset as u64 + 1;
            if self.term_at(index) == entry.term {
                continue;
            }
            self.truncate(index - 1)?;
            self.push((**entry).clone());
            self.due.push_back(Instant::now() + Duration::from_millis(self.fault.lag_ms));
        }
        let end = batch.previous + batch.entries.len() as u64;
        // The first entry of a term replaces whatever an older primary left in its place.
        if self.term != batch.term && end > batch.term_start {
            self.term = batch.term;
            self.term_start = batch.term_start;
        }
        Ok(BatchResponse::Matched(end))
    }

    /// Returns the batch for a replica that holds `held` entries, or none on a replica.
    pub fn batch_after(&self, held: u64, limit: usize) -> Option<LogBatch> {
        if !self.is_primary() {
            return None;
        }
        let start = (held as usize).min(self.log.len());
        let end = (start + limit).min(self.log.len());
        Some(LogBatch {
            term: self.term,
            term_start: self.term_start,
            previous: start as u64,
            previous_term: self.term_at(start as u64),
            entries: self.log[start..end].to_vec(),
        })
    }

    /// Records an acknowledgement of the replica `peer`.
    pub fn acknowledge(&mut self, peer: usize, term: u64, held: u64, sent_at: Instant) {
        if self.role == MemberRole::Primary && self.term == term {
            self.acks.insert(peer, ReplicaAck { held, sent_at });
        }
    }

    /// Tells whether a majority of `size` members holds `index` in the term of this primary.
    ///
    /// With `since`, only acknowledgements of batches sent at or after it count.
    pub fn is_confirmed(&self, index: u64, size: usize, since: Option<Instant>) -> bool {
        let target = index.max(self.term_start + 1);
        let counts = |ack: &&ReplicaAck| {
            ack.held >= target && since.is_none_or(|since| ack.sent_at >= since)
        };
        1 + self.acks.values().filter(counts).count() > size / 2
    }

    /// Asks for batches sent from now on, whose acknowledgements prove that the term goes on.
    pub fn request_barrier(&mut self) -> Instant {
        let now = Instant::now();
        self.barrier_at = Some(now);
        now
    }

    /// Returns when the last barrier was requested.
    pub fn confirmation_requested_at(&self) -> Option<Instant> {
        self.barrier_at
    }

    /// Returns the last index of the log.
    pub fn last_index(&self) -> u64 {
        self.log.len() as u64
    }

    /// Applies entries whose time has come and returns when the next one is due.
    pub fn apply_due(&mut self) -> Result<Option<Instant>, MemberError> {
        while let Some(due) = self.due.front().copied() {
            if due > Instant::now() {
                return Ok(Some(due));
            }
            self.apply_next()?;
            self.due.pop_front();
        }
        Ok(None)
    }

    fn apply_next(&mut self) -> Result<(), MemberError> {
        let entry = self.log[self.applied as usize].clone();
        apply_entry(&self.engine, &entry)?;
        self.applied += 1;
        Ok(())
    }

    fn leave_primary(&mut self, role: MemberRole) {
        if self.role == MemberRole::Primary {
            self.generation += 1;
            self.heard = Instant::now();
        }
        self.role = role;
    }

    fn push(&mut self, entry: LogEntry) {
        if let Some(label) = &entry.label {
            self.labels.insert(label.clone(), self.log.len() as u64 + 1);
        }
        self.log.push(Arc::new(entry));
    }

    fn term_at(&self, index: u64) -> u64 {
        let slot = (index as usize).checked_sub(1);
        slot.and_then(|slot| self.log.get(slot)).map_or(0, |entry| entry.term)
    }

    /// Drops entries past `end` and rebuilds the database if some of them were applied.
    fn truncate(&mut self, end: u64) -> Result<(), MemberError> {
        if self.log.len() as u64 <= end {
            return Ok(());
        }
        self.log.truncate(end as usize);
        self.labels.retain(|_, index| *index <= end);
        if self.applied <= end {
            self.due.truncate((end - self.applied) as usize);
            return Ok(());
        }
        self.due.clear();
        self.engine = SqliteDatabase::create()?;
        self.generation += 1;
        for entry in &self.log {
            apply_entry(&self.engine, entry)?;
        }
        self.applied = end;
        Ok(())
    }
}

fn apply_entry(engine: &SqliteDatabase, entry: &LogEntry) -> Result<(), SqliteError> {
    if entry.statements.is_empty() {
        return Ok(());
    }
    engine.control("BEGIN IMMEDIATE")?;
    for statement in &entry.statements {
        if let Err(error) = engine.replay(&statement.sql, &statement.parameters) {
            engine.control("ROLLBACK")?;
            return Err(error);
        }
    }
    engine.control("COMMIT")
}

/// Member of a group as its tasks share it.
#[derive(Debug)]
pub struct GroupMember {
    /// Place of the member in its group.
    pub index: usize,
    /// Logical name of the member.
    pub name: String,
    /// Availability zone of the member.
    pub zone: String,
    /// State that operations change together.
    pub replication: Mutex<ReplicationState>,
    /// Counts changes of the state, so that tasks can wait for the next one.
    pub changed: watch::Sender<u64>,
    /// Statements that may run at once.
    pub slots: Semaphore,
    /// Serialises writing transactions in the order of their arrival.
    pub writer: Arc<tokio::sync::Mutex<()>>,
    /// Open connections of callers.
    pub open_connections: AtomicU32,
    /// Connections opened before this count have gone silent.
    pub silenced: AtomicU64,
    /// Counts connections opened so far.
    pub opened: AtomicU64,
    /// Counts statements run so far, group commands left out.
    pub statements: AtomicU64,
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
            slots: Semaphore::new(slots),
            writer: Arc::default(),
            open_connections: AtomicU32::new(0),
            silenced: AtomicU64::new(0),
            opened: AtomicU64::new(0),
            statements: AtomicU64::new(0),
        })
    }

    /// Runs an operation on the state and wakes the tasks that wait for a change.
    pub fn update<T>(&self, operation: impl FnOnce(&mut ReplicationState) -> T) -> T {
        let result = operation(&mut self.replication.lock());
        self.changed.send_modify(|count| *count += 1);
        result
    }

    /// Changes the faults in force.
    pub fn change_fault(&self, change: &FaultChange) {
        self.update(|core| core.fault.change(change));
        if change.silence {
            let opened = self.opened.load(Ordering::SeqCst);
            self.silenced.store(opened, Ordering::SeqCst);
            self.changed.send_modify(|count| *count += 1);
        }
    }

    /// Returns the number of statements run so far.
    pub fn executed_statements(&self) -> u64 {
        self.statements.load(Ordering::Relaxed)
    }

    /// Returns the faults in force.
    pub fn fault(&self) -> MemberFault {
        self.replication.lock().fault.clone()
    }
}
