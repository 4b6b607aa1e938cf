//! State machine of a caller's session: which statements are answered at once, and which are
//! forwarded to a member.
//!
//! A transaction is opened at a member only with its first statement, so that callers that stay
//! idle after `BEGIN` hold no connection.

use std::time::Instant;

use serde::{Deserialize, Serialize};
use state::position::LogPosition;

/// Maximum number of parameters and prepared statements of a session.
///
/// The member's answers to them must fit into the buffers of a connection, as they are read only
/// after all of these statements have been sent.
pub const MAX_SETUP_ENTRIES: usize = 4_096;
/// Maximum length of the statements that set a session's parameters and prepare its statements, in
/// bytes.
///
/// They travel between instances in one message with a statement of up to 1 MiB.
pub const MAX_SETUP_BYTES: usize = 2 << 20;

/// Identifies a session, unique over all instances.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct SessionId {
    /// Random number that the instance chose at its start.
    pub incarnation: u64,
    /// Number of the session on its instance.
    pub number: u64,
}

/// Statement of a caller, reduced to what the session must know about it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StatementClass {
    /// Opens a transaction.
    Begin {
        /// The transaction is read-only.
        read_only: bool,
    },
    /// Commits the open transaction.
    Commit,
    /// Rolls the open transaction back.
    Rollback,
    /// Reads data.
    Read,
    /// Writes data.
    Write,
    /// Sets a session parameter.
    Set {
        /// Name of the parameter.
        name: String,
    },
    /// Prepares a named statement.
    Prepare {
        /// Name of the statement.
        name: String,
        /// The prepared statement writes data.
        writes: bool,
    },
    /// Executes a prepared statement.
    Execute {
        /// Name of the statement.
        name: String,
    },
    /// Deallocates a prepared statement.
    Deallocate {
        /// Name of the statement.
        name: String,
    },
    /// A statement that is none of these.
    Unknown,
}

/// State of a session's transaction as its caller sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TransactionState {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// The open transaction failed and can only be ended.
    Failed,
}

/// Reason why a statement is refused without being forwarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StatementError {
    /// The statement is not allowed in the session's current state.
    InvalidState,
    /// No statement of that name is prepared.
    UnknownStatement,
    /// The transaction had failed and is rolled back instead of committed.
    RolledBack,
    /// The statement writes in a read-only transaction.
    ReadOnly,
    /// The session cannot hold more parameters and prepared statements.
    SetupFull,
}

/// Action to take for a statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StatementAction {
    /// Answer success at once.
    Acknowledge,
    /// Answer success at once, and roll the transaction back at the member that holds it.
    RollbackPinned,
    /// Answer an error at once.
    Refuse(StatementError),
    /// Forward the statement to a member.
    Forward(ForwardPlan),
}

/// Describes how a member must execute a forwarded statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ForwardPlan {
    /// The statement is the first of a transaction, which the member must open before it.
    pub opens_transaction: bool,
    /// The statement runs on the connection that holds the open transaction.
    pub pinned: bool,
    /// The statement commits the transaction.
    pub commits: bool,
    /// The statement writes data.
    pub writes: bool,
    /// The statement's success means that written data is committed.
    pub commits_data: bool,
    /// A replica may execute the statement.
    pub read_only: bool,
    /// Arrival time of the first byte of the statement, or of the `BEGIN` of its transaction.
    pub began_at: Instant,
}

impl ForwardPlan {
    /// Returns whether the statement runs outside an explicit transaction.
    pub fn is_autocommit(&self) -> bool {
        !self.opens_transaction && !self.pinned
    }

    /// Returns whether the statement's success may change data durably.
    pub fn changes_data(&self) -> bool {
        self.commits || (self.is_autocommit() && self.writes)
    }
}

/// Phase of a session's transaction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum TransactionPhase {
    /// No transaction is open.
    Idle,
    /// `BEGIN` was acknowledged, but no member has opened the transaction yet.
    Begun { read_only: bool, began_at: Instant },
    /// A member's connection holds the open transaction.
    Pinned { read_only: bool, began_at: Instant },
    /// The transaction was rolled back, and the next answer tells the caller so.
    Aborted,
    /// The transaction failed and can only be ended.
    Failed,
}

/// Session parameter or prepared statement that a connection of the session must have executed.
#[derive(Clone, Debug)]
struct SetupEntry {
    name: String,
    /// Text of the `SET` or `PREPARE` statement.
    text: String,
    /// The entry is a prepared statement, not a session parameter.
    is_prepared: bool,
    /// The prepared statement writes data.
    writes: bool,
}

/// State machine of one session.
#[derive(Clone, Debug)]
pub struct SessionMachine {
    phase: TransactionPhase,
    setup: Vec<SetupEntry>,
    setup_version: u32,
    /// Setup statements that the connection of the open transaction has not executed yet.
    pending_setup: Vec<String>,
    /// The open transaction has written data.
    has_written: bool,
    last_commit: Option<LogPosition>,
}

impl Default for SessionMachine {
    fn default() -> Self {
        Self {
            phase: TransactionPhase::Idle,
            setup: Vec::new(),
            setup_version: 0,
            pending_setup: Vec::new(),
            has_written: false,
            last_commit: None,
        }
    }
}

impl SessionMachine {
    /// Returns the transaction state that the caller sees.
    pub fn transaction_state(&self) -> TransactionState {
        match self.phase {
            TransactionPhase::Idle => TransactionState::Idle,
            TransactionPhase::Begun { .. } | TransactionPhase::Pinned { .. } => {
                TransactionState::Open
            }
            TransactionPhase::Aborted | TransactionPhase::Failed => TransactionState::Failed,
        }
    }

    /// Returns whether a member's connection holds the open transaction.
    pub fn is_pinned(&self) -> bool {
        matches!(self.phase, TransactionPhase::Pinned { .. })
    }

    /// Returns the position of the session's last commit.
    pub fn last_commit(&self) -> Option<LogPosition> {
        self.last_commit
    }

    /// Returns the version of the session's parameters and prepared statements; zero if it has
    /// none.
    pub fn setup_version(&self) -> u32 {
        if self.setup.is_empty() { 0 } else { self.setup_version }
    }

    /// Returns the statements that give a new connection the session's parameters and prepared
    /// statements.
    pub fn setup_statements(&self) -> impl Iterator<Item = &str> {
        self.setup.iter().map(|entry| entry.text.as_str())
    }

    /// Takes the setup statements that the connection of the open transaction has not executed yet.
    pub fn take_pending_setup(&mut self) -> Vec<String> {
        std::mem::take(&mut self.pending_setup)
    }

    /// Returns the action for a statement whose first byte arrived at `began_at`.
    pub fn handle_statement(
        &mut self,
        class: &StatementClass,
        text: &str,
        began_at: Instant,
    ) -> StatementAction {
        use StatementClass as Class;
        match class {
            Class::Commit | Class::Rollback => return self.handle_transaction_end(class, began_at),
            _ if self.phase == TransactionPhase::Aborted => {
                self.phase = TransactionPhase::Failed;
                return StatementAction::Refuse(StatementError::RolledBack);
            }
            _ if self.phase == TransactionPhase::Failed => {
                return StatementAction::Refuse(StatementError::InvalidState);
            }
            _ => {}
        }
        match class {
            Class::Begin { read_only } => {
                if self.phase != TransactionPhase::Idle {
                    return StatementAction::Refuse(StatementError::InvalidState);
                }
                self.phase = TransactionPhase::Begun { read_only: *read_only, began_at };
                StatementAction::Acknowledge
            }
            Class::Set { name } => self.add_setup(name, text, false, false),
            Class::Prepare { name, writes } => self.add_setup(name, text, true, *writes),
            Class::Deallocate { name } => {
                let exists = self.find_prepared(name).is_some();
                if !exists {
                    return StatementAction::Refuse(StatementError::UnknownStatement);
                }
                if !self.may_add_pending(text) {
                    return StatementAction::Refuse(StatementError::SetupFull);
                }
                self.setup.retain(|entry| !(entry.is_prepared && entry.name == *name));
                self.record_setup_change(text);
                StatementAction::Acknowledge
            }
            Class::Execute { name } => match self.find_prepared(name) {
                Some(entry) => {
                    let writes = entry.writes;
                    self.handle_query(writes, began_at)
                }
                None => {
                    self.fail_transaction();
                    StatementAction::Refuse(StatementError::UnknownStatement)
                }
            },
            Class::Read => self.handle_query(false, began_at),
            Class::Write => self.handle_query(true, began_at),
            Class::Unknown | Class::Commit | Class::Rollback => {
                StatementAction::Refuse(StatementError::InvalidState)
            }
        }
    }

    /// Records that a member executed a forwarded statement successfully.
    pub fn record_success(&mut self, plan: &ForwardPlan, position: Option<LogPosition>) {
        if plan.changes_data() && (plan.commits && !plan.read_only || plan.writes) {
            self.last_commit = self.last_commit.max(position);
        }
        self.has_written |= plan.writes && !plan.is_autocommit();
        if plan.commits {
            self.end_transaction();
        } else if plan.opens_transaction {
            self.phase =
                TransactionPhase::Pinned { read_only: plan.read_only, began_at: plan.began_at };
        }
    }

    /// Records that a forwarded statement failed, which also fails an open transaction; a failed
    /// commit ends it.
    pub fn record_failure(&mut self, plan: &ForwardPlan) {
        if plan.commits {
            self.end_transaction();
        } else if !plan.is_autocommit() {
            self.pending_setup.clear();
            self.phase = TransactionPhase::Failed;
        }
    }

    /// Fails the open transaction with an answer that tells the caller so.
    pub fn fail_transaction(&mut self) {
        if self.transaction_state() == TransactionState::Open {
            self.pending_setup.clear();
            self.phase = TransactionPhase::Failed;
        }
    }

    /// Aborts the open transaction between two requests; the next statement is refused as rolled back.
    pub fn abort_transaction(&mut self) {
        if self.transaction_state() == TransactionState::Open {
            self.pending_setup.clear();
            self.phase = TransactionPhase::Aborted;
        }
    }

    fn handle_transaction_end(
        &mut self,
        class: &StatementClass,
        began_at: Instant,
    ) -> StatementAction {
        let commits = *class == StatementClass::Commit;
        let commits_data = self.has_written;
        let plan = |opens, read_only, began_at| {
            StatementAction::Forward(ForwardPlan {
                opens_transaction: opens,
                pinned: !opens,
                commits: true,
                writes: false,
                commits_data,
                read_only,
                began_at,
            })
        };
        match self.phase {
            TransactionPhase::Idle => StatementAction::Refuse(StatementError::InvalidState),
            TransactionPhase::Aborted | TransactionPhase::Failed => {
                self.end_transaction();
                if commits {
                    return StatementAction::Refuse(StatementError::RolledBack);
                }
                StatementAction::Acknowledge
            }
            TransactionPhase::Begun { read_only, .. } if commits => plan(true, read_only, began_at),
            TransactionPhase::Pinned { read_only, .. } if commits => {
                plan(false, read_only, began_at)
            }
            TransactionPhase::Begun { .. } => {
                self.end_transaction();
                StatementAction::Acknowledge
            }
            TransactionPhase::Pinned { .. } => {
                self.end_transaction();
                StatementAction::RollbackPinned
            }
        }
    }

    fn handle_query(&mut self, writes: bool, statement_began_at: Instant) -> StatementAction {
        let plan = |opens, pinned, read_only, began_at| {
            let commits = false;
            StatementAction::Forward(ForwardPlan {
                opens_transaction: opens,
                pinned,
                commits,
                writes,
                commits_data: writes && !opens && !pinned,
                read_only,
                began_at,
            })
        };
        match self.phase {
            TransactionPhase::Begun { read_only: true, .. }
            | TransactionPhase::Pinned { read_only: true, .. }
                if writes =>
            {
                StatementAction::Refuse(StatementError::ReadOnly)
            }
            TransactionPhase::Idle => plan(false, false, !writes, statement_began_at),
            TransactionPhase::Begun { read_only, began_at } => {
                plan(true, false, read_only, began_at)
            }
            TransactionPhase::Pinned { read_only, began_at } => {
                plan(false, true, read_only, began_at)
            }
            TransactionPhase::Aborted | TransactionPhase::Failed => {
                StatementAction::Refuse(StatementError::InvalidState)
            }
        }
    }

    fn end_transaction(&mut self) {
        self.pending_setup.clear();
        self.has_written = false;
        self.phase = TransactionPhase::Idle;
    }

    fn find_prepared(&self, name: &str) -> Option<&SetupEntry> {
        self.setup.iter().find(|entry| entry.is_prepared && entry.name == name)
    }

    /// Adds a parameter or a prepared statement, in place of one of the same name.
    fn add_setup(
        &mut self,
        name: &str,
        text: &str,
        is_prepared: bool,
        writes: bool,
    ) -> StatementAction {
        let is_replaced =
            |entry: &SetupEntry| entry.is_prepared == is_prepared && entry.name == name;
        let kept = self.setup.iter().filter(|entry| !is_replaced(entry));
        if !has_room(kept.map(|entry| entry.text.as_str()), text) || !self.may_add_pending(text) {
            return StatementAction::Refuse(StatementError::SetupFull);
        }
        self.setup.retain(|entry| !is_replaced(entry));
        let (name, owned_text) = (name.to_owned(), text.to_owned());
        self.setup.push(SetupEntry { name, text: owned_text, is_prepared, writes });
        self.record_setup_change(text);
        StatementAction::Acknowledge
    }

    /// Returns whether the statements that wait for the pinned connection leave room for this one.
    fn may_add_pending(&self, text: &str) -> bool {
        !self.is_pinned() || has_room(self.pending_setup.iter().map(String::as_str), text)
    }

    fn record_setup_change(&mut self, text: &str) {
        self.setup_version += 1;
        if self.is_pinned() {
            self.pending_setup.push(text.to_owned());
        }
    }
}

/// Returns whether a session can hold one more statement beside these.
fn has_room<'a>(texts: impl Iterator<Item = &'a str>, text: &str) -> bool {
    let (count, length) =
        texts.fold((1, text.len()), |(count, length), text| (count + 1, length + text.len()));
    count <= MAX_SETUP_ENTRIES && length <= MAX_SETUP_BYTES
}
