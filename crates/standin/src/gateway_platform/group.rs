//! Shared state of a replicated database: its log, its term, and what each member applied and ran.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

/// Statement that a member ran, even if it failed afterwards.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExecutedStatement {
    /// Identifier of the statement, chosen by its sender.
    pub id: String,
    /// Statement text without the required position.
    pub text: String,
    /// Team of the connection.
    pub team: String,
    /// ID of the connection, unique in the group.
    pub connection: u64,
    /// Whether a transaction was open on the connection.
    pub in_transaction: bool,
    /// Session values of the connection.
    pub values: BTreeMap<String, String>,
    /// Time at which it had run.
    pub ended_at: Instant,
}

/// Faults that are injected into a member.
#[derive(Clone, Debug, Default)]
pub struct MemberFaults {
    /// Applies no new log entries.
    pub replication_stopped: bool,
    /// Accepts connections and statements but sends no responses to statements.
    pub unresponsive: bool,
    /// The member opens sessions but answers no statement, and notices closed connections.
    pub ignores_statements: bool,
    /// Closes the connection instead of responding to commits and to writes outside a transaction.
    pub loses_commit_responses: bool,
    /// Responds to reads with an error while everything else works.
    pub fails_reads: bool,
    /// States its term as the term of a hold while it is not held.
    pub states_hold_at_rest: bool,
    /// Answers reads, writes and commits without a digest, as other statements.
    pub omits_digests: bool,
    /// Answers statements about its replication with an error.
    pub refuses_holds: bool,
    /// Answers statements that change session values or prepared statements with an error, and does not
    /// run them.
    pub refuses_setups: bool,
    /// Runs such statements and sends no answer to them, while it answers the later ones.
    pub loses_setup_responses: bool,
    /// Number of rows with which each read is answered; zero for one.
    pub rows_per_read: usize,
    /// A rollback takes back what its transaction changed of the session values and prepared statements.
    pub rollback_reverts_setups: bool,
    /// Team whose statements are slow, with the duration of each statement.
    pub slow_team: Option<(String, Duration)>,
    /// Duration of each statement of the other teams; `None` for the usual one.
    pub statement_duration: Option<Duration>,
}

/// State of one member.
#[derive(Clone, Debug)]
pub struct MemberState {
    /// Identifier of the member.
    pub id: String,
    /// Number of log entries that are visible to its reads.
    pub applied: u64,
    /// Term for which its replication is held; zero if it receives.
    pub held_term: u64,
    /// Active faults.
    pub faults: MemberFaults,
    /// Statements in execution order.
    pub executed: Vec<ExecutedStatement>,
    /// IDs of the open connections.
    pub connections: HashSet<u64>,
    /// Peak number of open connections.
    pub peak_connections: usize,
    /// Times at which statements arrived, probes of the status excluded.
    pub arrivals: Vec<Instant>,
}

impl MemberState {
    /// Returns the largest number of statements that arrived within one second.
    pub fn peak_arrivals(&self) -> usize {
        let second = Duration::from_secs(1);
        let within = |first: &Instant| {
            self.arrivals.iter().filter(|at| **at >= *first && **at < *first + second).count()
        };
        self.arrivals.iter().map(within).max().unwrap_or_default()
    }
}

/// Committed write in the log.
#[derive(Clone, Debug)]
struct LogEntry {
    item: String,
    data: String,
}

/// State that all members of a group share.
#[derive(Debug)]
pub struct GroupState {
    /// Name of the service that the group provides.
    pub service: String,
    /// Term of the current leader.
    pub term: u64,
    /// Index of the leader in `members`.
    pub leader: usize,
    /// The leader was demoted, and no member leads until the next promotion.
    pub is_demoted: bool,
    /// Members.
    pub members: Vec<MemberState>,
    /// Maximum number of connections to each member.
    pub max_connections: usize,
    /// Number of replicas that receive a commit before it is acknowledged.
    pub synchronous_replicas: usize,
    log: Vec<LogEntry>,
    /// Terms before the current one, in order, with the index at which the next one started.
    earlier_terms: Vec<(u64, u64)>,
    rolled_back: Vec<LogEntry>,
    next_connection: u64,
}

/// Group state shared by the tasks of its members and by tests.
pub type SharedGroup = Arc<Mutex<GroupState>>;

impl GroupState {
    /// Creates a group whose first member is the leader.
    pub fn new(service: &str, ids: &[&str]) -> SharedGroup {
        let member = |id: &&str| MemberState {
            id: (*id).to_owned(),
            applied: 0,
            held_term: 0,
            faults: MemberFaults::default(),
            executed: Vec::new(),
            connections: HashSet::new(),
            peak_connections: 0,
            arrivals: Vec::new(),
        };
        Arc::new(Mutex::new(Self {
            service: service.to_owned(),
            term: 1,
            leader: 0,
            is_demoted: false,
            members: ids.iter().map(member).collect(),
            max_connections: 20,
            synchronous_replicas: 0,
            log: Vec::new(),
            earlier_terms: Vec::new(),
            rolled_back: Vec::new(),
            next_connection: 1,
        }))
    }

    /// Makes a member the leader of the next term and rolls back what it has not applied.
    ///
    /// Does nothing if the member is the leader already. Returns false if it does not exist.
    pub fn promote(&mut self, id: &str) -> bool {
        let Some(index) = self.members.iter().position(|member| member.id == id) else {
            return false;
        };
        if self.leads(index) {
            return true;
        }
        let kept_entries = self.members[index].applied;
        (self.leader, self.is_demoted) = (index, false);
        for (_, end) in &mut self.earlier_terms {
            *end = kept_entries.min(*end);
        }
        self.earlier_terms.push((self.term, kept_entries));
        self.term += 1;
        self.rolled_back.extend(self.log.split_off(kept_entries as usize));
        for member in &mut self.members {
            member.applied = member.applied.min(kept_entries);
            member.held_term = 0;
        }
        true
    }

    /// Returns the term and log index that a member's reads reflect.
    ///
    /// A member that lags is still in the term of the entries that it has applied.
    pub fn position(&self, member: usize) -> (u64, u64) {
        let applied = self.members[member].applied;
        let earlier = self.earlier_terms.iter().find(|(_, end)| applied < *end);
        (earlier.map_or(self.term, |(term, _)| *term), applied)
    }

    /// Opens a connection and returns its ID, or `None` if the member has too many already.
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

    /// Commits writes and applies them on every member that receives.
    pub fn commit(&mut self, writes: Vec<(String, String)>) {
        self.log.extend(writes.into_iter().map(|(item, data)| LogEntry { item, data }));
        self.members[self.leader].applied = self.log.len() as u64;
        (0..self.members.len()).for_each(|member| self.catch_up(member));
    }

    /// Returns whether enough replicas have received the log up to this index.
    pub fn is_confirmed(&self, end: u64) -> bool {
        let members = self.members.iter().enumerate();
        let received =
            members.filter(|(index, member)| *index != self.leader && member.applied >= end);
        received.count() >= self.synchronous_replicas
    }

    /// Applies the whole log on a member unless its replication is stopped or held.
    pub fn catch_up(&mut self, member: usize) {
        let state = &mut self.members[member];
        if !state.faults.replication_stopped && state.held_term == 0 {
            state.applied = self.log.len() as u64;
        }
    }

    /// Returns whether a member leads.
    pub fn leads(&self, member: usize) -> bool {
        member == self.leader && !self.is_demoted
    }

    /// Makes the leader a replica, if the term is above its own.
    pub fn demote(&mut self, member: usize, term: u64) {
        self.is_demoted |= member == self.leader && term > self.term;
    }

    /// Stops a replica from receiving, if the term is above all that it knows.
    pub fn hold(&mut self, member: usize, term: u64) {
        let state = &mut self.members[member];
        if member != self.leader && term > self.term.max(state.held_term) {
            state.held_term = term;
        }
    }

    /// Lets a replica receive again.
    pub fn resume(&mut self, member: usize) {
        self.members[member].held_term = 0;
        self.catch_up(member);
    }

    /// Returns the data of all committed writes that were not rolled back.
    pub fn committed(&self) -> impl Iterator<Item = &str> {
        self.log.iter().map(|entry| entry.data.as_str())
    }

    /// Returns the data of the committed writes that promotions rolled back.
    pub fn rolled_back(&self) -> impl Iterator<Item = &str> {
        self.rolled_back.iter().map(|entry| entry.data.as_str())
    }

    /// Returns the latest value of an item that is visible on a member.
    pub fn read(&self, member: usize, item: &str) -> Option<String> {
        let visible = self.members[member].applied as usize;
        let found = self.log[..visible].iter().rev().find(|entry| entry.item == item);
        found.map(|entry| entry.data.clone())
    }

    /// Returns how many times a `WRITE` or `COMMIT` ran on any member, by statement identifier.
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
