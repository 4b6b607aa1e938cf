//! Stand-in for a replicated database: its members speak the platform's line protocol.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::Platform;
use crate::record::Record;

/// Interval at which members write their entries.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);
/// Interval of the replication.
const REPLICATION_INTERVAL: Duration = Duration::from_millis(1);
/// Time for which a new connection occupies a slot.
const HANDSHAKE_TIME: Duration = Duration::from_millis(12);
/// Statements that wait for a slot of a member at most.
const MAX_WAITING: usize = 16;
/// Time from the request of a promotion until the new leader leads.
const PROMOTION_TIME: Duration = Duration::from_millis(300);

/// Settings of a group.
#[derive(Clone, Copy, Debug)]
pub struct GroupSettings {
    pub service: &'static str,
    pub synchronous_replicas: usize,
    pub slots: usize,
    pub max_connections: usize,
    /// Time for which a read, write or commit occupies a slot.
    pub work: Duration,
    /// Delay with which replicas receive commits.
    pub replication_delay: Duration,
}

/// Statement that reached a member.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub member: String,
    /// Tenant that the connection was opened for.
    pub tenant: String,
    pub id: String,
    /// Whether a transaction was open that had run a statement before.
    pub continues_transaction: bool,
}

#[derive(Clone, Debug)]
struct LogEntry {
    number: u64,
    data: String,
    committed_at: Instant,
}

struct MemberState {
    id: String,
    log: Vec<LogEntry>,
    is_running: bool,
    is_draining: bool,
    /// Writes no entries into the store.
    is_cut_from_store: bool,
    /// Delay with which it receives commits.
    receive_delay: Duration,
    held_term: u64,
    running_statements: usize,
    waiting_statements: usize,
    work: Duration,
    streams: HashMap<u64, TcpStream>,
    sequence: u64,
    /// Start of its process in milliseconds since the Unix epoch.
    born_ms: u64,
    /// Entries that the store has accepted.
    entries_written: u64,
}

struct GroupState {
    term: u64,
    leader: usize,
    /// Number of the last entry of the earlier terms.
    term_start: u64,
    members: Vec<MemberState>,
    arrivals: Vec<Arrival>,
    next_connection: u64,
    /// Members that were promoted, with their logs at that moment.
    promotions: Vec<(Instant, String, Vec<String>)>,
    /// Data in the log of the member that crashed last.
    crashed_log: Vec<String>,
}

/// Service with one primary and its replicas.
pub struct Group {
    settings: GroupSettings,
    pub addresses: Vec<SocketAddr>,
    state: Mutex<GroupState>,
    changed: Condvar,
    record: Arc<Record>,
    is_registering: AtomicBool,
}

impl Group {
    /// Starts the members with these names; the first one leads.
    pub fn start(settings: GroupSettings, names: &[&str], record: Arc<Record>) -> Arc<Self> {
        let listeners: Vec<TcpListener> =
            names.iter().map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
        let member = |name: &&str| MemberState {
            id: (*name).to_owned(),
            log: Vec::new(),
            is_running: true,
            is_draining: false,
            is_cut_from_store: false,
            receive_delay: settings.replication_delay,
            held_term: 0,
            running_statements: 0,
            waiting_statements: 0,
            work: settings.work,
            streams: HashMap::new(),
            sequence: 0,
            born_ms: 1_700_000_000_000,
            entries_written: 0,
        };
        let group = Arc::new(Self {
            settings,
            addresses: listeners.iter().map(|l| l.local_addr().expect("an address")).collect(),
            state: Mutex::new(GroupState {
                term: 1,
                leader: 0,
                term_start: 0,
                members: names.iter().map(member).collect(),
                arrivals: Vec::new(),
                next_connection: 1,
                promotions: Vec::new(),
                crashed_log: Vec::new(),
            }),
            changed: Condvar::new(),
            record,
            is_registering: AtomicBool::new(false),
        });
        for (index, listener) in listeners.into_iter().enumerate() {
            let group = group.clone();
            thread::spawn(move || group.accept(index, &listener));
        }
        let replicating = group.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(REPLICATION_INTERVAL);
                replicating.replicate();
            }
        });
        group
    }

    /// Lets the members write their entries into the store.
    pub fn register(self: &Arc<Self>, platform: &Arc<Platform>) {
        if self.is_registering.swap(true, Ordering::Relaxed) {
            return;
        }
        for index in 0..self.addresses.len() {
            let (group, platform) = (self.clone(), platform.clone());
            thread::spawn(move || {
                loop {
                    let before = group.registered_state(index);
                    if let Some((id, entry)) = group.entry(index) {
                        platform.put("servers", &id, &entry);
                        group.lock().members[index].entries_written += 1;
                    }
                    let started_at = Instant::now();
                    // A change is reported immediately.
                    while started_at.elapsed() < HEARTBEAT_INTERVAL
                        && group.registered_state(index) == before
                    {
                        thread::sleep(Duration::from_millis(20));
                    }
                }
            });
        }
    }

    fn registered_state(&self, index: usize) -> (bool, bool) {
        let state = self.lock();
        (state.leader == index, state.members[index].is_draining)
    }

    /// Returns the entry of a member, unless it writes none.
    fn entry(&self, index: usize) -> Option<(String, String)> {
        let mut state = self.lock();
        let role = if state.leader == index { "primary" } else { "replica" };
        let member = &mut state.members[index];
        if !member.is_running || member.is_cut_from_store {
            return None;
        }
        member.sequence += 1;
        let state = if member.is_draining { "draining" } else { "ready" };
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"zone-{index}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"{state}\",\"cold_remaining_ms\":0,\
             \"database_role\":\"{role}\",\"sequence\":{},\"born\":{}}}",
            self.settings.service,
            self.addresses[index],
            self.settings.slots,
            member.sequence,
            member.born_ms
        );
        Some((member.id.clone(), entry))
    }

    fn lock(&self) -> MutexGuard<'_, GroupState> {
        self.state.lock().expect("no holder panics")
    }

    /// Returns the statements that reached the members.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.lock().arrivals.clone()
    }

    /// Returns the members that were promoted, with the data in their logs at that moment.
    pub fn promotions(&self) -> Vec<(Instant, String, Vec<String>)> {
        self.lock().promotions.clone()
    }

    /// Returns the data in the log of the member that crashed last, as it was then.
    pub fn crashed_log(&self) -> Vec<String> {
        self.lock().crashed_log.clone()
    }

    /// Returns the number of entries of a member that the store has accepted.
    pub fn entries_written(&self, index: usize) -> u64 {
        self.lock().members[index].entries_written
    }

    /// Returns the index of the leader.
    pub fn leader(&self) -> usize {
        self.lock().leader
    }

    /// Ends the process of a member: its connections are reset.
    pub fn crash(&self, index: usize) {
        let mut state = self.lock();
        let member = &mut state.members[index];
        member.is_running = false;
        for stream in member.streams.values() {
            // The far end may have closed it.
            let _ = stream.shutdown(Shutdown::Both);
        }
        state.crashed_log =
            state.members[index].log.iter().map(|entry| entry.data.clone()).collect();
        self.changed.notify_all();
    }

    /// Sets that a member does not run yet.
    pub fn set_stopped(&self, index: usize) {
        self.lock().members[index].is_running = false;
    }

    /// Starts a member that does not run, as a new process.
    pub fn start_member(&self, index: usize) {
        let mut state = self.lock();
        let member = &mut state.members[index];
        (member.is_running, member.sequence) = (true, 0);
        member.born_ms += 60_000;
    }

    /// Sets whether a member reports that it is draining.
    pub fn set_draining(&self, index: usize) {
        self.lock().members[index].is_draining = true;
    }

    /// Cuts a member from the store.
    pub fn cut_from_store(&self, index: usize) {
        self.lock().members[index].is_cut_from_store = true;
    }

    /// Sets the delay with which a replica receives commits.
    pub fn set_receive_delay(&self, index: usize, delay: Duration) {
        self.lock().members[index].receive_delay = delay;
    }

    /// Carries out a promotion; returns whether the member exists and runs.
    pub fn promote(self: &Arc<Self>, id: &str) -> bool {
        let index = {
            let state = self.lock();
            let found =
                state.members.iter().position(|member| member.id == id && member.is_running);
            match found {
                None => return false,
                Some(index) if index == state.leader => return true,
                Some(index) => index,
            }
        };
        let group = self.clone();
        thread::spawn(move || {
            thread::sleep(PROMOTION_TIME);
            group.take_lead(index);
        });
        true
    }

    fn take_lead(&self, index: usize) {
        let mut state = self.lock();
        if !state.members[index].is_running || state.leader == index {
            return;
        }
        let kept = state.members[index].log.len();
        (state.leader, state.term, state.term_start) = (index, state.term + 1, kept as u64);
        for member in &mut state.members {
            member.log.truncate(kept);
            member.held_term = 0;
        }
        let member = &state.members[index];
        let log = member.log.iter().map(|entry| entry.data.clone()).collect();
        let id = member.id.clone();
        self.record.line(&format!("promoted member={id} term={} log_length={kept}", state.term));
        state.promotions.push((Instant::now(), id, log));
        self.changed.notify_all();
    }

    fn replicate(&self) {
        let mut state = self.lock();
        let leader = state.leader;
        if !state.members[leader].is_running {
            return;
        }
        let log = state.members[leader].log.clone();
        let mut has_received = false;
        for index in (0..state.members.len()).filter(|index| *index != leader) {
            let member = &mut state.members[index];
            if !member.is_running || member.held_term > 0 {
                continue;
            }
            for entry in &log[member.log.len().min(log.len())..] {
                if entry.committed_at.elapsed() < member.receive_delay {
                    break;
                }
                member.log.push(entry.clone());
                has_received = true;
            }
        }
        if has_received {
            self.changed.notify_all();
        }
    }

    fn accept(self: &Arc<Self>, index: usize, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            if !self.lock().members[index].is_running {
                // Closing with unread bytes resets the connection.
                continue;
            }
            let group = self.clone();
            thread::spawn(move || {
                let connection = {
                    let mut state = group.lock();
                    state.next_connection += 1;
                    state.next_connection
                };
                group.serve(index, connection, stream);
                group.lock().members[index].streams.remove(&connection);
            });
        }
    }

    fn serve(self: &Arc<Self>, index: usize, connection: u64, stream: TcpStream) {
        // A failure only adds latency.
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().expect("a second handle");
        let mut lines = BufReader::new(stream).lines();
        let Some(Ok(line)) = lines.next() else {
            return;
        };
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        let refusal = {
            let mut state = self.lock();
            let member = &mut state.members[index];
            let is_expected = words.len() >= 3
                && words[0] == "STARTUP"
                && words[1] == self.settings.service
                && words.get(3).is_none_or(|id| *id == member.id);
            if !is_expected {
                Some("MISROUTED")
            } else if member.streams.len() >= self.settings.max_connections {
                Some("TOOMANY")
            } else {
                member.streams.insert(connection, writer.try_clone().expect("a third handle"));
                None
            }
        };
        if let Some(code) = refusal {
            let _ = writer.write_all(format!("ERROR {code} -\r\n").as_bytes());
            return;
        }
        if self.take_slot(index) {
            thread::sleep(HANDSHAKE_TIME);
            self.release_slot(index);
        }
        let mut session = MemberSession {
            group: self.clone(),
            index,
            connection,
            tenant: words[2].to_owned(),
            state: 'I',
            is_writable: false,
            term: 0,
            has_run: false,
            writes: Vec::new(),
            prepared: BTreeMap::new(),
        };
        if writer.write_all(session.ready_line().as_bytes()).is_err() {
            return;
        }
        while let Some(Ok(line)) = lines.next() {
            let Some(answer) = session.answer(line.trim_end_matches('\r')) else {
                return;
            };
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Waits for a slot of a member; returns false if too many statements wait already.
    fn take_slot(&self, index: usize) -> bool {
        let mut state = self.lock();
        if state.members[index].waiting_statements >= MAX_WAITING {
            return false;
        }
        state.members[index].waiting_statements += 1;
        while state.members[index].running_statements >= self.settings.slots {
            state = self.changed.wait(state).expect("no holder panics");
        }
        state.members[index].waiting_statements -= 1;
        state.members[index].running_statements += 1;
        true
    }

    fn release_slot(&self, index: usize) {
        self.lock().members[index].running_statements -= 1;
        self.changed.notify_all();
    }

    fn position(&self, index: usize) -> (u64, u64) {
        let state = self.lock();
        let number = state.members[index].log.len() as u64;
        let term = if number >= state.term_start { state.term } else { state.term - 1 };
        (term, number)
    }
}

/// Session of a member on one connection.
struct MemberSession {
    group: Arc<Group>,
    index: usize,
    connection: u64,
    tenant: String,
    /// `I` outside a transaction, `T` in one, `E` after it failed.
    state: char,
    is_writable: bool,
    /// Term in which the transaction was opened.
    term: u64,
    /// A statement has run in the open transaction.
    has_run: bool,
    writes: Vec<String>,
    /// Whether each prepared statement writes.
    prepared: BTreeMap<String, bool>,
}

impl MemberSession {
    fn ready_line(&self) -> String {
        let (term, number) = self.group.position(self.index);
        format!("READY {} {term}.{number}\r\n", self.state)
    }

    /// Answers a line, or returns `None` if the connection ends instead.
    fn answer(&mut self, line: &str) -> Option<String> {
        let (id, text) = line.strip_prefix("QUERY ")?.split_once(' ')?;
        if !self.group.lock().members[self.index].is_running {
            return None;
        }
        let answer = match self.run(id, text)? {
            Ok(content) => content,
            Err(code) => {
                if self.state == 'T' && code != "LAGGING" {
                    self.state = 'E';
                }
                let name = self.group.lock().members[self.index].id.clone();
                format!("ERROR {code} {name}\r\n")
            }
        };
        Some(answer + &self.ready_line())
    }

    fn leads(&self) -> bool {
        let state = self.group.lock();
        state.leader == self.index && (self.state == 'I' || state.term == self.term)
    }

    fn run(&mut self, id: &str, text: &str) -> Option<Result<String, &'static str>> {
        let (after, text) = split_position(text);
        let words: Vec<&str> = text.split(' ').collect();
        if self.state == 'E' && !matches!(words[0], "ROLLBACK" | "COMMIT") {
            return Some(Err("MALFORMED"));
        }
        if after.is_some_and(|after| self.group.position(self.index) < after) {
            return Some(Err("LAGGING"));
        }
        let complete = || Some(Ok("COMPLETE -\r\n".to_owned()));
        match words[0] {
            "STATUS" => return Some(Ok(self.status())),
            "PAUSE" => {
                let term = words.get(1).and_then(|term| term.parse().ok()).unwrap_or(0);
                {
                    let mut state = self.group.lock();
                    let newest = state.term;
                    let leads = state.leader == self.index;
                    let member = &mut state.members[self.index];
                    if !leads && term > newest.max(member.held_term) {
                        member.held_term = term;
                    }
                }
                return Some(Ok(self.status()));
            }
            "RESUME" => {
                self.group.lock().members[self.index].held_term = 0;
                return Some(Ok(self.status()));
            }
            "RESET" => {
                self.prepared.clear();
                return complete();
            }
            "SET" => return complete(),
            "PREPARE" => {
                let writes = words.get(2) == Some(&"WRITE");
                self.prepared.insert(words[1].to_owned(), writes);
                return complete();
            }
            "DEALLOCATE" => {
                return match self.prepared.remove(words[1]) {
                    Some(_) => complete(),
                    None => Some(Err("NOSTMT")),
                };
            }
            "BEGIN" if self.state != 'I' => return Some(Err("MALFORMED")),
            "BEGIN" => {
                let is_plain = words.len() == 1;
                if is_plain && !self.leads() {
                    return Some(Err("READONLY"));
                }
                (self.state, self.is_writable, self.has_run) = ('T', is_plain, false);
                self.term = self.group.lock().term;
                return complete();
            }
            "ROLLBACK" => {
                self.writes.clear();
                self.state = 'I';
                return complete();
            }
            _ => {}
        }
        let is_commit = words[0] == "COMMIT";
        let is_write = match words[0] {
            "WRITE" => true,
            "READ" | "COMMIT" => false,
            "EXECUTE" => match self.prepared.get(words[1]) {
                Some(writes) => *writes,
                None => return Some(Err("NOSTMT")),
            },
            _ => return Some(Err("MALFORMED")),
        };
        if is_commit && self.state == 'E' {
            self.writes.clear();
            self.state = 'I';
            return Some(Err("ABORTED"));
        }
        let in_transaction = self.state == 'T';
        let (group, index) = (self.group.clone(), self.index);
        {
            let mut state = group.lock();
            let member = state.members[index].id.clone();
            let continues = in_transaction && self.has_run;
            group.record.line(&format!(
                "arrived member={member} connection={} tenant={} id={id} text=\"{text}\"",
                self.connection, self.tenant
            ));
            state.arrivals.push(Arrival {
                at: Instant::now(),
                member,
                tenant: self.tenant.clone(),
                id: id.to_owned(),
                continues_transaction: continues,
            });
        }
        self.has_run = true;
        if !group.take_slot(index) {
            return Some(Err("BUSY"));
        }
        let work = group.lock().members[index].work;
        thread::sleep(work);
        group.release_slot(index);
        if !group.lock().members[index].is_running {
            return None;
        }
        let must_lead = is_write || (in_transaction && self.is_writable);
        if must_lead && !(is_commit && self.writes.is_empty()) && !self.leads() {
            return Some(Err("READONLY"));
        }
        let mut content = String::new();
        if is_commit {
            self.state = 'I';
            let writes = std::mem::take(&mut self.writes);
            if !writes.is_empty() && !group.commit(index, writes) {
                return None;
            }
        } else if is_write {
            let data = words[words.len() - 1].to_owned();
            if in_transaction {
                self.writes.push(data);
            } else if !group.commit(index, vec![data]) {
                return None;
            }
        } else {
            content = format!("ROW {}\r\n", words[words.len() - 1]);
        }
        let member = group.lock().members[index].id.clone();
        Some(Ok(content + &format!("COMPLETE {member}.{id}\r\n")))
    }

    fn status(&self) -> String {
        let (term, number) = self.group.position(self.index);
        let state = self.group.lock();
        let member = &state.members[self.index];
        let role = if state.leader == self.index { "primary" } else { "replica" };
        let (held, busy) = (member.held_term, member.running_statements);
        let open = member.streams.len();
        format!("ROW {role} {term} {term}.{number} {held} 0 {busy} {open}\r\nCOMPLETE -\r\n")
    }
}

impl Group {
    /// Commits writes, one entry for each, and waits until enough replicas have received them.
    ///
    /// Returns false if the member stops or loses the lead before.
    fn commit(&self, index: usize, writes: Vec<String>) -> bool {
        let mut state = self.lock();
        let term = state.term;
        if state.leader != index || !state.members[index].is_running {
            return false;
        }
        let log = &mut state.members[index].log;
        for data in writes {
            let number = log.len() as u64 + 1;
            log.push(LogEntry { number, data, committed_at: Instant::now() });
        }
        let number = log.last().map_or(0, |entry| entry.number);
        loop {
            if state.term != term || !state.members[index].is_running {
                return false;
            }
            let members = state.members.iter().enumerate();
            let received = members
                .filter(|(other, member)| *other != index && member.log.len() as u64 >= number)
                .count();
            if received >= self.settings.synchronous_replicas {
                return true;
            }
            state = self.changed.wait(state).expect("no holder panics");
        }
    }
}

/// Splits the position that the member must have from a statement.
fn split_position(text: &str) -> (Option<(u64, u64)>, &str) {
    let parsed = text.strip_prefix("AFTER ").and_then(|rest| {
        let (position, text) = rest.split_once(' ')?;
        let (term, number) = position.split_once('.')?;
        Some(((term.parse().ok()?, number.parse().ok()?), text))
    });
    parsed.map_or((None, text), |(position, text)| (Some(position), text))
}
