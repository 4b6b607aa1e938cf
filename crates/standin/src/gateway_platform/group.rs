//! State of a group of members: one log, terms, what each member has applied and run.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

/// Statement that a member ran.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExecutedStatement {
    /// Identifier of the request.
    pub id: String,
    /// Text without the position before it.
    pub text: String,
    /// Team of the connection.
    pub team: String,
    /// Connection.
    pub connection: u64,
    /// A transaction was open on the connection.
    pub in_transaction: bool,
}

/// Misbehaviour of a member.
#[derive(Clone, Debug, Default)]
pub struct MemberFaults {
    /// Applies nothing new.
    pub replication_stopped: bool,
    /// Takes connections and answers nothing.
    pub unresponsive: bool,
    /// Closes the connection in place of the answer to commits and single writes.
    pub loses_commit_responses: bool,
    /// Fails reads though it is healthy.
    pub fails_reads: bool,
    /// Team whose statements take long, with the time that each takes.
    pub slow_team: Option<(String, Duration)>,
}

/// One member.
#[derive(Clone, Debug)]
pub struct MemberState {
    /// Identifier.
    pub id: String,
    /// Entries of the log that its reads show.
    pub applied: u64,
    /// Misbehaviour.
    pub faults: MemberFaults,
    /// Statements in the order in which they ran.
    pub executed: Vec<ExecutedStatement>,
    /// Open connections.
    pub connections: HashSet<u64>,
    /// Most connections that were open at a time.
    pub peak_connections: usize,
}

/// Entry of the log.
#[derive(Clone, Debug)]
struct LogEntry {
    item: String,
    data: String,
}

/// State that the members of a group share.
#[derive(Debug)]
pub struct GroupState {
    /// Name of the service.
    pub service: String,
    /// Term of the leader.
    pub term: u64,
    /// Place of the leader among the members.
    pub leader: usize,
    /// Members.
    pub members: Vec<MemberState>,
    /// Connections that each member takes.
    pub max_connections: usize,
    log: Vec<LogEntry>,
    rolled_back: Vec<LogEntry>,
    next_connection: u64,
}

/// Group shared by its members' tasks and by tests.
pub type SharedGroup = Arc<Mutex<GroupState>>;

impl GroupState {
    /// Creates a group whose first member leads.
    pub fn new(service: &str, ids: &[&str]) -> SharedGroup {
        let member = |id: &&str| MemberState {
            id: (*id).to_owned(),
            applied: 0,
            faults: MemberFaults::default(),
            executed: Vec::new(),
            connections: HashSet::new(),
            peak_connections: 0,
        };
        Arc::new(Mutex::new(Self {
            service: service.to_owned(),
            term: 1,
            leader: 0,
            members: ids.iter().map(member).collect(),
            max_connections: 20,
            log: Vec::new(),
            rolled_back: Vec::new(),
            next_connection: 1,
        }))
    }

    /// Makes a member lead the next term with what it has applied.
    pub fn promote(&mut self, id: &str) -> bool {
        let Some(index) = self.members.iter().position(|member| member.id == id) else {
            return false;
        };
        if index == self.leader {
            return true;
        }
        self.leader = index;
        self.term += 1;
        let kept_entries = self.members[index].applied;
        self.rolled_back.extend(self.log.split_off(kept_entries as usize));
        for member in &mut self.members {
            member.applied = member.applied.min(kept_entries);
        }
        true
    }

    /// Returns the position of a member's reads.
    pub fn position(&self, member: usize) -> (u64, u64) {
        (self.term, self.members[member].applied)
    }

    /// Opens a connection; none if the member takes no more.
    pub fn connect(&mut self, member: usize) -> Option<u64> {
        let limit = self.max_connections;
        let state = &mut self.members[member];
        if state.connections.len() >= limit {
            return None;
        }
        let connection = self.next_connection;
        self.next_connection += 1;
        state.connections.insert(connection);
        state.peak_connections = state.peak_connections.max(state.connections.len());
        Some(connection)
    }

    /// Commits writes and ships them to the members that do not lag.
    pub fn commit(&mut self, writes: Vec<(String, String)>) {
        self.log.extend(writes.into_iter().map(|(item, data)| LogEntry { item, data }));
        let end = self.log.len() as u64;
        let leader = self.leader;
        for (index, member) in self.members.iter_mut().enumerate() {
            if index == leader || !member.faults.replication_stopped {
                member.applied = end;
            }
        }
    }

    /// Lets a member that no longer lags show the whole log.
    pub fn catch_up(&mut self, member: usize) {
        if !self.members[member].faults.replication_stopped {
            self.members[member].applied = self.log.len() as u64;
        }
    }

    /// Returns the data of all committed writes.
    pub fn committed(&self) -> impl Iterator<Item = &str> {
        self.log.iter().map(|entry| entry.data.as_str())
    }

    /// Returns the data of committed writes that promotions rolled back.
    pub fn rolled_back(&self) -> impl Iterator<Item = &str> {
        self.rolled_back.iter().map(|entry| entry.data.as_str())
    }

    /// Reads an item as a member shows it.
    pub fn read(&self, member: usize, item: &str) -> Option<String> {
        let visible = self.members[member].applied as usize;
        let found = self.log[..visible].iter().rev().find(|entry| entry.item == item);
        found.map(|entry| entry.data.clone())
    }

    /// Returns how often each request ran a committed or single write, over all members.
    pub fn write_executions(&self) -> HashMap<String, usize> {
        let mut executions = HashMap::new();
        for statement in self.members.iter().flat_map(|member| &member.executed) {
            if statement.text.starts_with("WRITE") || statement.text == "COMMIT" {
                *executions.entry(statement.id.clone()).or_default() += 1;
            }
        }
        executions
    }
}
