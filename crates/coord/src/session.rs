//! Dialogue of one caller's session: what is answered at once and what a member must run.
//!
//! A transaction starts at a member only with its first statement, so that callers who rest after
//! `BEGIN` hold no connection.

use std::time::Instant;

use state::position::LogPosition;

/// Statement of a caller as far as the session must know it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StatementClass {
    /// Opens a transaction.
    Begin {
        /// The transaction only reads.
        read_only: bool,
    },
    /// Commits the open transaction.
    Commit,
    /// Rolls the open transaction back.
    Rollback,
    /// Reads.
    Read,
    /// Writes.
    Write,
    /// Sets a session value.
    Set {
        /// Name of the value.
        name: String,
    },
    /// Names a statement.
    Prepare {
        /// Name of the statement.
        name: String,
        /// The statement writes.
        writes: bool,
    },
    /// Runs a named statement.
    Execute {
        /// Name of the statement.
        name: String,
    },
    /// Forgets a named statement.
    Deallocate {
        /// Name of the statement.
        name: String,
    },
    /// None of these.
    Unknown,
}

/// State of a session as its caller sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TransactionState {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// The open transaction failed and can only be ended.
    Failed,
}

/// Why a statement is refused without a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StatementError {
    /// The statement makes no sense in the state of the session.
    InvalidState,
    /// No statement of that name is prepared.
    UnknownStatement,
    /// The transaction had failed, so there is nothing to commit.
    RolledBack,
    /// The statement writes in a transaction that only reads.
    ReadOnly,
}

/// What to do with a statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StatementAction {
    /// Answer success at once.
    Acknowledge,
    /// End the transaction at the member that holds it, and answer success at once.
    RollbackPinned,
    /// Answer an error at once.
    Refuse(StatementError),
    /// Let a member run it.
    Forward(ForwardPlan),
}

/// How a member must run a statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ForwardPlan {
    /// The statement is the first of a transaction, which must be opened before it.
    pub opens_transaction: bool,
    /// The statement runs on the connection that holds the open transaction.
    pub pinned: bool,
    /// The statement ends the transaction.
    pub commits: bool,
    /// The statement writes.
    pub writes: bool,
    /// The operation may be served by a replica.
    pub read_only: bool,
    /// Time at which the first byte of the statement or of its transaction came in.
    pub began_at: Instant,
}

impl ForwardPlan {
    /// Tells whether the statement is a whole operation.
    pub fn is_autocommit(&self) -> bool {
        !self.opens_transaction && !self.pinned
    }

    /// Tells whether the caller's data may change for good when the statement runs.
    pub fn changes_data(&self) -> bool {
        self.commits || (self.is_autocommit() && self.writes)
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum TransactionBlock {
    Idle,
    Begun { read_only: bool, began_at: Instant },
    Pinned { read_only: bool, began_at: Instant },
    Failed,
}

/// Named text that a session's connection must have run.
#[derive(Clone, Debug)]
struct SetupEntry {
    name: String,
    text: String,
    statement: bool,
    writes: bool,
}

/// State of one session.
#[derive(Clone, Debug)]
pub struct SessionMachine {
    block: TransactionBlock,
    setup: Vec<SetupEntry>,
    setup_version: u32,
    /// Texts that the connection of the open transaction has not run yet.
    pending: Vec<String>,
    own_commit: Option<LogPosition>,
}

impl Default for SessionMachine {
    fn default() -> Self {
        Self {
            block: TransactionBlock::Idle,
            setup: Vec::new(),
            setup_version: 0,
            pending: Vec::new(),
            own_commit: None,
        }
    }
}

impl SessionMachine {
    /// Returns the state that the caller sees.
    pub fn transaction_state(&self) -> TransactionState {
        match self.block {
            TransactionBlock::Idle => TransactionState::Idle,
            TransactionBlock::Begun { .. } | TransactionBlock::Pinned { .. } => {
                TransactionState::Open
            }
            TransactionBlock::Failed => TransactionState::Failed,
        }
    }

    /// Tells whether a member holds the open transaction.
    pub fn is_pinned(&self) -> bool {
        matches!(self.block, TransactionBlock::Pinned { .. })
    }

    /// Returns the position of the session's last commit.
    pub fn last_commit(&self) -> Option<LogPosition> {
        self.own_commit
    }

    /// Returns the version of values and prepared names; zero if there are none.
    pub fn setup_version(&self) -> u32 {
        if self.setup.is_empty() { 0 } else { self.setup_version }
    }

    /// Returns the texts that give a fresh connection the session's values and names.
    pub fn setup_statements(&self) -> impl Iterator<Item = &str> {
        self.setup.iter().map(|entry| entry.text.as_str())
    }

    /// Takes the texts that the connection of the open transaction has not run yet.
    pub fn take_pending_setup(&mut self) -> Vec<String> {
        std::mem::take(&mut self.pending)
    }

    /// Decides about a statement whose first byte came in at `began_at`.
    pub fn handle_statement(
        &mut self,
        class: &StatementClass,
        text: &str,
        began_at: Instant,
    ) -> StatementAction {
        use StatementClass as Class;
        match class {
            Class::Commit | Class::Rollback => return self.handle_end(class, began_at),
            _ if self.block == TransactionBlock::Failed => {
                return StatementAction::Refuse(StatementError::InvalidState);
            }
            _ => {}
        }
        match class {
            Class::Begin { read_only } => {
                if self.block != TransactionBlock::Idle {
                    return StatementAction::Refuse(StatementError::InvalidState);
                }
                self.block = TransactionBlock::Begun { read_only: *read_only, began_at };
                StatementAction::Acknowledge
            }
            Class::Set { name } => {
                self.set_up(name, text, false, false);
                StatementAction::Acknowledge
            }
            Class::Prepare { name, writes } => {
                self.set_up(name, text, true, *writes);
                StatementAction::Acknowledge
            }
            Class::Deallocate { name } => {
                let known = self.find_statement(name).is_some();
                if !known {
                    return StatementAction::Refuse(StatementError::UnknownStatement);
                }
                self.setup.retain(|entry| !(entry.statement && entry.name == *name));
                self.setup_changed(text);
                StatementAction::Acknowledge
            }
            Class::Execute { name } => match self.find_statement(name) {
                Some(entry) => {
                    let writes = entry.writes;
                    self.handle_work(writes, began_at)
                }
                None => {
                    self.fail_transaction();
                    StatementAction::Refuse(StatementError::UnknownStatement)
                }
            },
            Class::Read => self.handle_work(false, began_at),
            Class::Write => self.handle_work(true, began_at),
            Class::Unknown | Class::Commit | Class::Rollback => {
                StatementAction::Refuse(StatementError::InvalidState)
            }
        }
    }

    /// Records that a member ran a forwarded statement with success.
    pub fn record_success(&mut self, plan: &ForwardPlan, position: Option<LogPosition>) {
        if plan.changes_data() && (plan.commits && !plan.read_only || plan.writes) {
            self.own_commit = self.own_commit.max(position);
        }
        if plan.commits {
            self.end_block();
        } else if plan.opens_transaction {
            self.block =
                TransactionBlock::Pinned { read_only: plan.read_only, began_at: plan.began_at };
        }
    }

    /// Records that a forwarded statement failed; an open transaction is lost with it.
    pub fn record_failure(&mut self, plan: &ForwardPlan) {
        if plan.commits {
            self.end_block();
        } else if !plan.is_autocommit() {
            self.pending.clear();
            self.block = TransactionBlock::Failed;
        }
    }

    /// Fails the open transaction, because its connection is gone or it rested for too long.
    pub fn fail_transaction(&mut self) {
        if self.transaction_state() == TransactionState::Open {
            self.pending.clear();
            self.block = TransactionBlock::Failed;
        }
    }

    fn handle_end(&mut self, class: &StatementClass, began_at: Instant) -> StatementAction {
        let commits = *class == StatementClass::Commit;
        let plan = |opens, read_only, began_at| {
            StatementAction::Forward(ForwardPlan {
                opens_transaction: opens,
                pinned: !opens,
                commits: true,
                writes: false,
                read_only,
                began_at,
            })
        };
        match self.block {
            TransactionBlock::Idle => StatementAction::Refuse(StatementError::InvalidState),
            TransactionBlock::Failed => {
                self.end_block();
                if commits {
                    return StatementAction::Refuse(StatementError::RolledBack);
                }
                StatementAction::Acknowledge
            }
            TransactionBlock::Begun { read_only, .. } if commits => plan(true, read_only, began_at),
            TransactionBlock::Pinned { read_only, .. } if commits => {
                plan(false, read_only, began_at)
            }
            TransactionBlock::Begun { .. } => {
                self.end_block();
                StatementAction::Acknowledge
            }
            TransactionBlock::Pinned { .. } => {
                self.end_block();
                StatementAction::RollbackPinned
            }
        }
    }

    fn handle_work(&mut self, writes: bool, now: Instant) -> StatementAction {
        let plan = |opens, pinned, read_only, began_at| {
            let commits = false;
            StatementAction::Forward(ForwardPlan {
                opens_transaction: opens,
                pinned,
                commits,
                writes,
                read_only,
                began_at,
            })
        };
        match self.block {
            TransactionBlock::Begun { read_only: true, .. }
            | TransactionBlock::Pinned { read_only: true, .. }
                if writes =>
            {
                StatementAction::Refuse(StatementError::ReadOnly)
            }
            TransactionBlock::Idle => plan(false, false, !writes, now),
            TransactionBlock::Begun { read_only, began_at } => {
                plan(true, false, read_only, began_at)
            }
            TransactionBlock::Pinned { read_only, began_at } => {
                plan(false, true, read_only, began_at)
            }
            TransactionBlock::Failed => StatementAction::Refuse(StatementError::InvalidState),
        }
    }

    fn end_block(&mut self) {
        self.pending.clear();
        self.block = TransactionBlock::Idle;
    }

    fn find_statement(&self, name: &str) -> Option<&SetupEntry> {
        self.setup.iter().find(|entry| entry.statement && entry.name == name)
    }

    fn set_up(&mut self, name: &str, text: &str, statement: bool, writes: bool) {
        self.setup.retain(|entry| !(entry.statement == statement && entry.name == name));
        let (name, kept) = (name.to_owned(), text.to_owned());
        self.setup.push(SetupEntry { name, text: kept, statement, writes });
        self.setup_changed(text);
    }

    fn setup_changed(&mut self, text: &str) {
        self.setup_version += 1;
        if self.is_pinned() {
            self.pending.push(text.to_owned());
        }
    }
}
