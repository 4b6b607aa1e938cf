//! Transactions of a session: begin, commit into the log, roll back, confirm.

use tokio::time::Duration;
use wire::backend::TransactionState;
use wire::group::NOT_PRIMARY;

use super::{MemberSession, StatementRefusal};
use crate::member::{LogEntry, MemberError};
use crate::sqlite::SqliteError;

/// Interval at which a locked database is tried again.
const BUSY_INTERVAL: Duration = Duration::from_millis(1);
/// Attempts at a locked database before the transaction fails.
const BUSY_ATTEMPTS: u32 = 2_000;

/// How a confirmation failed.
pub(crate) enum ConfirmEnd {
    /// The member lost the primary role before a majority held the position.
    Replaced,
    /// The caller cancelled.
    Cancelled,
}

impl MemberSession {
    /// Opens a transaction in the engine; a writing one waits for the member's write lock.
    pub(crate) async fn begin(&mut self, writes: bool) -> Result<(), StatementRefusal> {
        self.refresh_engine()?;
        if !writes {
            return Ok(self.engine.control("BEGIN")?);
        }
        if !self.member.replication.lock().is_primary() {
            return Err(StatementRefusal::new(NOT_PRIMARY, "this member is not the primary"));
        }
        let writer = self.member.writer.clone().lock_owned().await;
        self.refresh_engine()?;
        for _ in 0..BUSY_ATTEMPTS {
            match self.engine.control("BEGIN IMMEDIATE") {
                Err(SqliteError::Busy) => tokio::time::sleep(BUSY_INTERVAL).await,
                Err(error) => return Err(error.into()),
                Ok(()) => {
                    self.writer = Some(writer);
                    return Ok(());
                }
            }
        }
        Err(SqliteError::Busy.into())
    }

    /// Commits the open transaction and appends it to the log if it wrote.
    pub(crate) async fn commit(&mut self) -> Result<(), StatementRefusal> {
        if self.is_outdated() {
            self.abandon();
            return Err(StatementRefusal::new(NOT_PRIMARY, "the primary was replaced"));
        }
        let statements = std::mem::take(&mut self.logged);
        let label = self.label.take();
        if statements.is_empty() {
            self.writer = None;
            return Ok(self.engine.control("COMMIT")?);
        }
        let entry = LogEntry { term: 0, label, statements };
        for _ in 0..BUSY_ATTEMPTS {
            let engine = &self.engine;
            match self.member.update(|core| core.commit(engine, entry.clone())) {
                Err(MemberError::Sqlite { source: SqliteError::Busy }) => {
                    tokio::time::sleep(BUSY_INTERVAL).await;
                }
                Err(error) => {
                    self.abandon();
                    return Err(error.into());
                }
                Ok(index) => {
                    self.writer = None;
                    self.unconfirmed = Some(index);
                    self.committed = true;
                    return Ok(());
                }
            }
        }
        self.abandon();
        Err(SqliteError::Busy.into())
    }

    /// Rolls back whatever is open.
    pub(crate) fn abandon(&mut self) {
        let _ = self.engine.control("ROLLBACK");
        self.writer = None;
        self.logged.clear();
        self.label = None;
        self.state = TransactionState::Idle;
    }

    /// Waits until a majority holds what this session committed, in the term of this primary.
    ///
    /// A session that committed nothing waits for a round of batches sent after the call, which
    /// proves that no other primary was promoted before it.
    pub(crate) async fn confirm(&mut self) -> Result<(), ConfirmEnd> {
        let committed = self.unconfirmed.take();
        let mut changes = self.member.changed.subscribe();
        let (target, since) = self.member.update(|core| match committed {
            Some(index) => (index, None),
            None => (core.last_index(), Some(core.request_barrier())),
        });
        loop {
            {
                let core = self.member.replication.lock();
                if !core.is_primary() || core.generation != self.generation {
                    return Err(ConfirmEnd::Replaced);
                }
                if core.is_confirmed(target, self.group_size, since) {
                    return Ok(());
                }
            }
            tokio::select! {
                changed = changes.changed() => {
                    if changed.is_err() {
                        return Err(ConfirmEnd::Replaced);
                    }
                }
                () = self.cancel.notified() => return Err(ConfirmEnd::Cancelled),
            }
        }
    }

    /// Tells whether the answer to a commit just made is to be lost with the connection.
    pub(crate) fn loses_answer(&mut self) -> bool {
        if !std::mem::take(&mut self.committed) {
            return false;
        }
        self.member.update(|core| {
            let armed = core.fault.lose_answers > 0;
            core.fault.lose_answers = core.fault.lose_answers.saturating_sub(1);
            armed
        })
    }
}
