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
pub enum BlockState {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// The open transaction failed and can only be ended.
    Failed,
}

/// Why a statement is refused without a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DialogueError {
    /// The statement makes no sense in the state of the session.
    Malformed,
    /// No statement of that name is prepared.
    UnknownName,
    /// The transaction had failed, so there is nothing to commit.
    RolledBack,
    /// The statement writes in a transaction that only reads.
    ReadOnly,
}

/// What to do with a statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DialogueStep {
    /// Answer success at once.
    Acknowledge,
    /// End the transaction at the member that holds it, and answer success at once.
    Release,
    /// Answer an error at once.
    Refuse(DialogueError),
    /// Let a member run it.
    Forward(ForwardPlan),
}

/// How a member must run a statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ForwardPlan {
    /// The statement is the first of a transaction, which must be opened before it.
    pub opens: bool,
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
    pub fn is_single(&self) -> bool {
        !self.opens && !self.pinned
    }

    /// Tells whether the caller's data may change for good when the statement runs.
    pub fn changes_data(&self) -> bool {
        self.commits || (self.is_single() && self.writes)
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
pub struct SessionDialogue {
    block: TransactionBlock,
    setup: Vec<SetupEntry>,
    setup_version: u32,
    /// Texts that the connection of the open transaction has not run yet.
    pending: Vec<String>,
    own_commit: Option<LogPosition>,
}

impl Default for SessionDialogue {
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

impl SessionDialogue {
    /// Returns the state that the caller sees.
    pub fn state(&self) -> BlockState {
        match self.block {
            TransactionBlock::Idle => BlockState::Idle,
            TransactionBlock::Begun { .. } | TransactionBlock::Pinned { .. } => BlockState::Open,
            TransactionBlock::Failed => BlockState::Failed,
        }
    }

    /// Tells whether a member holds the open transaction.
    pub fn is_pinned(&self) -> bool {
        matches!(self.block, TransactionBlock::Pinned { .. })
    }

    /// Returns the position of the session's last commit.
    pub fn own_commit(&self) -> Option<LogPosition> {
        self.own_commit
    }

    /// Returns the version of values and prepared names; zero if there are none.
    pub fn setup_version(&self) -> u32 {
        if self.setup.is_empty() { 0 } else { self.setup_version }
    }

    /// Returns the texts that give a fresh connection the session's values and names.
    pub fn setup_texts(&self) -> impl Iterator<Item = &str> {
        self.setup.iter().map(|entry| entry.text.as_str())
    }

    /// Takes the texts that the connection of the open transaction has not run yet.
    pub fn take_pending(&mut self) -> Vec<String> {
        std::mem::take(&mut self.pending)
    }

    /// Decides about a statement whose first byte came in at `began_at`.
    pub fn handle(
        &mut self,
        class: &StatementClass,
        text: &str,
        began_at: Instant,
    ) -> DialogueStep {
        use StatementClass as Class;
        match class {
            Class::Commit | Class::Rollback => return self.handle_end(class, began_at),
            _ if self.block == TransactionBlock::Failed => {
                return DialogueStep::Refuse(DialogueError::Malformed);
            }
            _ => {}
        }
        match class {
            Class::Begin { read_only } => {
                if self.block != TransactionBlock::Idle {
                    return DialogueStep::Refuse(DialogueError::Malformed);
                }
                self.block = TransactionBlock::Begun { read_only: *read_only, began_at };
                DialogueStep::Acknowledge
            }
            Class::Set { name } => {
                self.set_up(name, text, false, false);
                DialogueStep::Acknowledge
            }
            Class::Prepare { name, writes } => {
                self.set_up(name, text, true, *writes);
                DialogueStep::Acknowledge
            }
            Class::Deallocate { name } => {
                let known = self.find_statement(name).is_some();
                if !known {
                    return DialogueStep::Refuse(DialogueError::UnknownName);
                }
                self.setup.retain(|entry| !(entry.statement && entry.name == *name));
                self.setup_changed(text);
                DialogueStep::Acknowledge
            }
            Class::Execute { name } => match self.find_statement(name) {
                Some(entry) => {
                    let writes = entry.writes;
                    self.handle_work(writes, began_at)
                }
                None => {
                    self.fail_open();
                    DialogueStep::Refuse(DialogueError::UnknownName)
                }
            },
            Class::Read => self.handle_work(false, began_at),
            Class::Write => self.handle_work(true, began_at),
            Class::Unknown | Class::Commit | Class::Rollback => {
                DialogueStep::Refuse(DialogueError::Malformed)
            }
        }
    }

    /// Records that a member ran a forwarded statement with success.
    pub fn note_success(&mut self, plan: &ForwardPlan, position: Option<LogPosition>) {
        if plan.changes_data() && (plan.commits && !plan.read_only || plan.writes) {
            self.own_commit = self.own_commit.max(position);
        }
        if plan.commits {
            self.end_block();
        } else if plan.opens {
            self.block =
                TransactionBlock::Pinned { read_only: plan.read_only, began_at: plan.began_at };
        }
    }

    /// Records that a forwarded statement failed; an open transaction is lost with it.
    pub fn note_failure(&mut self, plan: &ForwardPlan) {
        if plan.commits {
            self.end_block();
        } else if !plan.is_single() {
            self.pending.clear();
            self.block = TransactionBlock::Failed;
        }
    }

    /// Fails the open transaction, because its connection is gone or it rested for too long.
    pub fn fail_open(&mut self) {
        if self.state() == BlockState::Open {
            self.pending.clear();
            self.block = TransactionBlock::Failed;
        }
    }

    fn handle_end(&mut self, class: &StatementClass, began_at: Instant) -> DialogueStep {
        let commits = *class == StatementClass::Commit;
        let plan = |opens, read_only, began_at| {
            DialogueStep::Forward(ForwardPlan {
                opens,
                pinned: !opens,
                commits: true,
                writes: false,
                read_only,
                began_at,
            })
        };
        match self.block {
            TransactionBlock::Idle => DialogueStep::Refuse(DialogueError::Malformed),
            TransactionBlock::Failed => {
                self.end_block();
                if commits {
                    return DialogueStep::Refuse(DialogueError::RolledBack);
                }
                DialogueStep::Acknowledge
            }
            TransactionBlock::Begun { read_only, .. } if commits => plan(true, read_only, began_at),
            TransactionBlock::Pinned { read_only, .. } if commits => {
                plan(false, read_only, began_at)
            }
            TransactionBlock::Begun { .. } => {
                self.end_block();
                DialogueStep::Acknowledge
            }
            TransactionBlock::Pinned { .. } => {
                self.end_block();
                DialogueStep::Release
            }
        }
    }

    fn handle_work(&mut self, writes: bool, now: Instant) -> DialogueStep {
        let plan = |opens, pinned, read_only, began_at| {
            let commits = false;
            DialogueStep::Forward(ForwardPlan {
                opens,
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
                DialogueStep::Refuse(DialogueError::ReadOnly)
            }
            TransactionBlock::Idle => plan(false, false, !writes, now),
            TransactionBlock::Begun { read_only, began_at } => {
                plan(true, false, read_only, began_at)
            }
            TransactionBlock::Pinned { read_only, began_at } => {
                plan(false, true, read_only, began_at)
            }
            TransactionBlock::Failed => DialogueStep::Refuse(DialogueError::Malformed),
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
