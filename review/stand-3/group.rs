//! Replicated service: logs of its members, replication and promotions.

use std::collections::{BTreeMap, HashSet};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::Recorder;

/// Commit in a log.
#[derive(Clone, Debug)]
pub struct Entry {
    pub term: u64,
    pub number: u64,
    pub writes: Vec<(String, String)>,
    committed_at: Instant,
}

pub struct Node {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    /// Time that a commit takes to reach this member.
    delay: Duration,
    pub is_up: bool,
    /// The member is cut off from the machines of the system and from the store, not from the others.
    pub is_cut: bool,
    /// Number of starts.
    pub starts: u64,
    pub born: u64,
    pub sequence: u64,
    pub log: Vec<Entry>,
    /// Term for which replication is held.
    pub held_term: u64,
    pub connections: BTreeMap<u64, TcpStream>,
}

impl Node {
    pub fn position(&self) -> (u64, u64) {
        self.log.last().map_or((1, 0), |entry| (entry.term, entry.number))
    }

    pub fn find(&self, item: &str) -> Option<&str> {
        let writes = self.log.iter().rev().flat_map(|entry| entry.writes.iter().rev());
        writes.into_iter().find(|(name, _)| name == item).map(|(_, data)| data.as_str())
    }
}

/// Statement that a member ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub tenant: String,
    pub request_id: String,
}

pub struct GroupState {
    pub term: u64,
    pub leader: usize,
    /// The leader was demoted, and nobody leads until the next promotion.
    pub is_demoted: bool,
    pub nodes: Vec<Node>,
    /// Commits that a leader acknowledged on the connection of the system.
    pub acknowledged: Vec<(u64, u64, String)>,
    /// Statements with the id of a consumer's request.
    pub runs: Vec<Run>,
    /// Acknowledged commits that a promoted member did not have.
    pub lost: Vec<(u64, u64, String)>,
    next_connection: u64,
}

impl GroupState {
    pub fn leads(&self, member: usize) -> bool {
        self.leader == member && !self.is_demoted
    }
}

pub struct Group {
    pub service: String,
    pub synchronous_replicas: usize,
    pub work: Duration,
    random: Mutex<crate::Random>,
    /// Statements that a member runs at once.
    pub slots: usize,
    /// What a leader has sent before it goes down arrives.
    delivers_sent: bool,
    state: Mutex<GroupState>,
    changed: Condvar,
    recorder: Recorder,
}

pub fn unix_ms() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

impl Group {
    /// Creates a service whose first member leads; each member has an id, an address, a zone and the
    /// time in milliseconds that a commit takes to reach it.
    pub fn new(
        service: &str,
        members: &[(&str, SocketAddr, &str, u64)],
        synchronous_replicas: usize,
        (work, slots, delivers_sent): (Duration, usize, bool),
        recorder: &Recorder,
    ) -> Arc<Self> {
        let node = |(id, address, zone, delay): &(&str, SocketAddr, &str, u64)| Node {
            id: (*id).to_owned(),
            address: *address,
            zone: (*zone).to_owned(),
            delay: Duration::from_millis(*delay),
            is_up: true,
            is_cut: false,
            starts: 1,
            born: unix_ms(),
            sequence: 0,
            log: Vec::new(),
            held_term: 0,
            connections: BTreeMap::new(),
        };
        let state = GroupState {
            term: 1,
            leader: 0,
            is_demoted: false,
            nodes: members.iter().map(node).collect(),
            acknowledged: Vec::new(),
            runs: Vec::new(),
            lost: Vec::new(),
            next_connection: 1,
        };
        let group = Arc::new(Self {
            service: service.to_owned(),
            synchronous_replicas,
            work,
            random: Mutex::new(crate::Random::new(7)),
            slots,
            delivers_sent,
            state: Mutex::new(state),
            changed: Condvar::new(),
            recorder: recorder.clone(),
        });
        let replicator = group.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(1));
                replicator.replicate();
            }
        });
        group
    }

    pub fn lock(&self) -> MutexGuard<'_, GroupState> {
        self.state.lock().unwrap()
    }

    /// Delivers the commits whose time has come. Those that a leader has sent before it goes down arrive
    /// too, unless its connections break with it.
    fn replicate(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let leader = state.leader;
        if !state.nodes[leader].is_up && !self.delivers_sent {
            return;
        }
        let is_leader_up = state.nodes[leader].is_up;
        let sent = std::mem::take(&mut state.nodes[leader].log);
        let mut has_changed = false;
        for (index, node) in state.nodes.iter_mut().enumerate() {
            if index == leader || !node.is_up || node.held_term > 0 {
                continue;
            }
            if is_leader_up {
                let is_ahead = |log: &[Entry]| {
                    let last = log.last().map(|entry| (entry.term, entry.number));
                    last.is_some()
                        && last
                            != log
                                .len()
                                .checked_sub(1)
                                .and_then(|index| sent.get(index))
                                .map(|entry| (entry.term, entry.number))
                };
                while is_ahead(&node.log) {
                    node.log.pop();
                    has_changed = true;
                }
            }
            while let Some(entry) = sent.get(node.log.len()) {
                if entry.committed_at + node.delay > now {
                    break;
                }
                node.log.push(entry.clone());
                has_changed = true;
            }
        }
        state.nodes[leader].log = sent;
        drop(state);
        if has_changed {
            self.changed.notify_all();
        }
    }

    /// Commits at a member. Returns the position, or `None` if the member lost the lead or went down
    /// before enough replicas had the commit.
    pub fn commit(
        &self,
        member: usize,
        starts: u64,
        request_id: &str,
        writes: Vec<(String, String)>,
    ) -> Option<(u64, u64)> {
        let mut state = self.lock();
        let leads = |state: &GroupState| {
            let node = &state.nodes[member];
            state.leads(member) && node.is_up && node.starts == starts
        };
        if !leads(&state) {
            return None;
        }
        let (term, number) = (state.term, state.nodes[member].position().1 + 1);
        let request_id = request_id.to_owned();
        let committed_at = Instant::now();
        let entry = Entry { term, number, writes, committed_at };
        state.nodes[member].log.push(entry);
        let length = state.nodes[member].log.len();
        loop {
            if !leads(&state) || state.term != term {
                return None;
            }
            let others = state.nodes.iter().enumerate().filter(|(index, _)| *index != member);
            let received = others.filter(|(_, node)| node.log.len() >= length).count();
            if received >= self.synchronous_replicas {
                state.acknowledged.push((term, number, request_id));
                return Some((term, number));
            }
            let wait = Duration::from_millis(50);
            state = self.changed.wait_timeout(state, wait).unwrap().0;
        }
    }

    pub fn record_run(&self, tenant: &str, request_id: &str) {
        if request_id != "-" {
            let (tenant, request_id) = (tenant.to_owned(), request_id.to_owned());
            self.lock().runs.push(Run { at: Instant::now(), tenant, request_id });
        }
    }

    /// Works for the usual time of a statement, give or take a fifth.
    pub fn run_statement(&self) {
        let percent = 80 + self.random.lock().unwrap().below(41) as u32;
        std::thread::sleep(self.work * percent / 100);
    }

    pub fn is_running(&self, id: &str) -> bool {
        self.lock().nodes.iter().any(|node| node.id == id && node.is_up)
    }

    pub fn is_leader(&self, id: &str) -> bool {
        let state = self.lock();
        state.nodes[state.leader].id == id && !state.is_demoted
    }

    /// Makes a member the leader of the next term with the log that it has.
    pub fn promote(&self, id: &str) {
        let mut state = self.lock();
        let Some(member) = state.nodes.iter().position(|node| node.id == id && node.is_up) else {
            return;
        };
        if state.leads(member) {
            return;
        }
        state.term += 1;
        let length = state.nodes[member].log.len();
        let kept: HashSet<(u64, u64)> =
            state.nodes[member].log.iter().map(|entry| (entry.term, entry.number)).collect();
        let lost: Vec<_> = state
            .acknowledged
            .iter()
            .filter(|(term, number, _)| !kept.contains(&(*term, *number)))
            .cloned()
            .collect();
        let before = state.nodes[state.leader].id.clone();
        let known = (state.nodes[state.leader].position(), state.nodes[member].position());
        self.recorder.line(&format!(
            "{}: {id} leads term {} instead of {before}; log of {before} ends at {:?}, of {id} at \
             {:?}; {} acknowledged commits missing",
            self.service,
            state.term,
            known.0,
            known.1,
            lost.len()
        ));
        for (term, number, request_id) in &lost {
            self.recorder.line(&format!("missing at {id}: {term}.{number} of {request_id}"));
        }
        state.lost.extend(lost);
        (state.leader, state.is_demoted) = (member, false);
        // A member that is down comes back with its log, and is rolled back when it meets the leader.
        for node in state.nodes.iter_mut().filter(|node| node.is_up) {
            node.log.truncate(length);
            node.held_term = 0;
        }
        self.changed.notify_all();
    }

    /// Ends a member's process: its connections break, and new ones are refused.
    pub fn crash(&self, index: usize) {
        let mut state = self.lock();
        let node = &mut state.nodes[index];
        node.is_up = false;
        for connection in std::mem::take(&mut node.connections).into_values() {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.recorder.line(&format!("{}: {} goes down", self.service, node.id));
        self.changed.notify_all();
    }

    /// Starts a member's process again, with its log.
    pub fn restart(&self, index: usize) {
        let mut state = self.lock();
        let node = &mut state.nodes[index];
        (node.is_up, node.held_term, node.sequence, node.born) = (true, 0, 0, unix_ms());
        node.starts += 1;
        self.recorder.line(&format!("{}: {} is up again", self.service, node.id));
    }

    /// Cuts a member off from the machines of the system and from the store, or ends that.
    pub fn set_cut(&self, index: usize, is_cut: bool) {
        let mut state = self.lock();
        let node = &mut state.nodes[index];
        node.is_cut = is_cut;
        self.recorder.line(&format!("{}: {} cut off: {is_cut}", self.service, node.id));
    }

    /// Waits while a member is cut off: nothing passes meanwhile, and nothing breaks.
    pub fn wait_while_cut(&self, index: usize) {
        while self.lock().nodes[index].is_cut {
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn add_connection(&self, index: usize, stream: &TcpStream) -> Option<u64> {
        let mut state = self.lock();
        let number = state.next_connection;
        state.next_connection += 1;
        let node = &mut state.nodes[index];
        if !node.is_up {
            return None;
        }
        node.connections.insert(number, stream.try_clone().ok()?);
        Some(number)
    }

    pub fn remove_connection(&self, index: usize, number: u64) {
        self.lock().nodes[index].connections.remove(&number);
    }
}
