//! Transactions of a session: begin, commit to the log, roll back, confirm.

use tokio::net::TcpStream;
use tokio::time::Duration;
use wire::backend::TransactionState;
use wire::group::NOT_PRIMARY;

use super::{ErrorResponse, MemberSession};
use crate::member::{LogEntry, MemberError};
use crate::sqlite::SqliteError;

/// Delay before a locked database is tried again.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(1);
/// Attempts to lock the database before the transaction fails, for about 2 s in total.
const MAX_BUSY_ATTEMPTS: u32 = 2_000;

/// Interval at which a connection with unread input is checked for its end.
const CLIENT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until the client has closed its connection.
///
/// A closed connection is noticed once the input before its end has been read.
pub(super) async fn client_gone(socket: &TcpStream) {
    loop {
        let mut byte = [0];
        match socket.peek(&mut byte).await {
            Ok(0) | Err(_) => return,
            Ok(_) => tokio::time::sleep(CLIENT_CHECK_INTERVAL).await,
        }
    }
}

pub(super) fn cancelled() -> ErrorResponse {
    ErrorResponse::new("57014", "canceling statement due to user request")
}

/// Reason why a confirmation failed.
pub(crate) enum ConfirmError {
    /// The member lost the primary role before a majority had replicated the position.
    NotPrimary,
    /// The client cancelled the request.
    Cancelled,
}

impl MemberSession {
    /// Opens a database transaction; a write transaction waits for the member's write lock.
    pub(crate) async fn begin(&mut self, is_write: bool) -> Result<(), ErrorResponse> {
        self.refresh_connection()?;
        if !is_write {
            return Ok(self.connection.control_transaction("BEGIN")?);
        }
        if !self.member.replication.lock().is_primary() {
            return Err(ErrorResponse::new(NOT_PRIMARY, "this member is not the primary"));
        }
        let write_guard = tokio::select! {
            guard = self.member.write_lock.clone().lock_owned() => guard,
            () = self.cancel.notified() => return Err(cancelled()),
            () = client_gone(&self.socket) => return Err(cancelled()),
        };
        self.refresh_connection()?;
        for _ in 0..MAX_BUSY_ATTEMPTS {
            match self.connection.control_transaction("BEGIN IMMEDIATE") {
                Err(SqliteError::Busy) => tokio::time::sleep(BUSY_RETRY_DELAY).await,
                Err(error) => return Err(error.into()),
                Ok(()) => {
                    self.write_guard = Some(write_guard);
                    return Ok(());
                }
            }
        }
        Err(SqliteError::Busy.into())
    }

    /// Commits the open transaction and appends it to the log if it has writes.
    pub(crate) async fn commit(&mut self) -> Result<(), ErrorResponse> {
        if self.is_outdated() {
            self.roll_back();
            return Err(ErrorResponse::new(NOT_PRIMARY, "the primary was replaced"));
        }
        let statements = std::mem::take(&mut self.logged_statements);
        if statements.is_empty() {
            self.write_guard = None;
            return Ok(self.connection.control_transaction("COMMIT")?);
        }
        let entry = LogEntry { term: 0, label: self.label.take(), statements };
        for _ in 0..MAX_BUSY_ATTEMPTS {
            let connection = &self.connection;
            match self.member.update(|state| state.commit(connection, entry.clone())) {
                Err(MemberError::Sqlite { source: SqliteError::Busy }) => {
                    tokio::time::sleep(BUSY_RETRY_DELAY).await;
                }
                Err(error) => {
                    self.roll_back();
                    return Err(error.into());
                }
                Ok(index) => {
                    self.write_guard = None;
                    self.unconfirmed_index = Some(index);
                    self.has_pending_commit_response = true;
                    return Ok(());
                }
            }
        }
        self.roll_back();
        Err(SqliteError::Busy.into())
    }

    /// Commits what the statements of a text or pipeline have written outside of blocks.
    pub(crate) async fn commit_implicit(&mut self) -> Result<(), ErrorResponse> {
        match std::mem::take(&mut self.in_implicit_transaction) {
            true => self.commit().await,
            false => Ok(()),
        }
    }

    /// Rolls back what the statements of a text or pipeline have written outside of blocks.
    pub(crate) fn roll_back_implicit(&mut self) {
        if self.in_implicit_transaction {
            self.roll_back();
        }
    }

    /// Rolls back the open transaction, if any.
    pub(crate) fn roll_back(&mut self) {
        let _ = self.connection.control_transaction("ROLLBACK");
        self.write_guard = None;
        self.logged_statements.clear();
        self.transaction_state = TransactionState::Idle;
        self.in_implicit_transaction = false;
    }

    /// Waits until a majority has replicated this session's last commit in this primary's term.
    ///
    /// A session without a commit waits for acknowledgements of batches sent after the call, which
    /// prove that no other primary was promoted before it.
    pub(crate) async fn confirm(&mut self) -> Result<(), ConfirmError> {
        let committed_index = self.unconfirmed_index.take();
        let mut changes = self.member.changed.subscribe();
        let (target, sent_since) = self.member.update(|state| match committed_index {
            Some(index) => (index, None),
            None => (state.last_index(), Some(state.request_confirmation())),
        });
        loop {
            {
                let state = self.member.replication.lock();
                if !state.is_primary() || state.generation != self.generation {
                    return Err(ConfirmError::NotPrimary);
                }
                if state.has_quorum(target, self.group_size, sent_since) {
                    return Ok(());
                }
            }
            tokio::select! {
                changed = changes.changed() => {
                    if changed.is_err() {
                        return Err(ConfirmError::NotPrimary);
                    }
                }
                () = self.cancel.notified() => return Err(ConfirmError::Cancelled),
                () = client_gone(&self.socket) => return Err(ConfirmError::Cancelled),
            }
        }
    }

    /// Returns whether the response to a commit just made must be dropped with the connection.
    ///
    /// Counts down the number of responses to drop.
    pub(crate) fn take_response_loss(&mut self) -> bool {
        if !std::mem::take(&mut self.has_pending_commit_response) {
            return false;
        }
        self.member.update(|state| {
            let is_lost = state.fault.lose_answers > 0;
            state.fault.lose_answers = state.fault.lose_answers.saturating_sub(1);
            is_lost
        })
    }
}
