//! Stand-in for a service of databases: a primary and its replicas, as PROTOCOL.md tells them.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::record::SharedRecorder;
use crate::store::Store;

/// Settings of a service; the figures are those of the installation `vdbv-pool`.
#[derive(Clone)]
pub struct ServiceSettings {
    pub name: String,
    pub sync_replicas: usize,
    /// Time of a read, write or commit at a member.
    pub work: Duration,
    pub slots: usize,
    pub max_connections: usize,
    pub handshake: Duration,
    /// Time until a replica has received a commit.
    pub receive_delay: Duration,
    /// Time until it has applied it.
    pub apply_delay: Duration,
    pub promote_time: Duration,
    pub heartbeat: Duration,
}

impl ServiceSettings {
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            sync_replicas: 0,
            work: Duration::from_millis(6),
            slots: 3,
            max_connections: 23,
            handshake: Duration::from_millis(12),
            receive_delay: Duration::from_millis(1),
            apply_delay: Duration::from_millis(8),
            promote_time: Duration::from_millis(300),
            heartbeat: Duration::from_millis(1_200),
        }
    }
}

struct LogEntry {
    item: String,
    data: String,
    /// Identifier of the commit or of the single write.
    id: String,
    at: Instant,
}

struct Member {
    id: String,
    address: SocketAddr,
    zone: String,
    received: usize,
    applied: usize,
    deaf_until: Option<Instant>,
    /// Term of a `PAUSE`; 0 if it receives.
    held: u64,
    is_draining: bool,
    sequence: u64,
    connections: usize,
    busy: usize,
}

struct GroupState {
    term: u64,
    primary: usize,
    log: Vec<LogEntry>,
    /// Terms before the present one, with the length of the log at their ends.
    earlier_terms: Vec<(u64, usize)>,
    members: Vec<Member>,
    next_connection: u64,
}

/// Statement that a member ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at_ms: u128,
    pub member: String,
    pub tenant: String,
    pub connection: u64,
    pub id: String,
    pub text: String,
    /// Session values of the connection, as `name=value`, sorted.
    pub values: Vec<String>,
}

pub struct Service {
    pub settings: ServiceSettings,
    state: Mutex<GroupState>,
    changed: Condvar,
    runs: Mutex<Vec<Run>>,
    record: SharedRecorder,
    store: Arc<Store>,
    born: u128,
}

impl Service {
    /// Starts the members, one for each zone; the first is the primary.
    pub fn start(
        settings: ServiceSettings,
        zones: &[&str],
        store: Arc<Store>,
        record: SharedRecorder,
    ) -> std::io::Result<Arc<Self>> {
        let mut listeners = Vec::new();
        let mut members = Vec::new();
        for (index, zone) in zones.iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            members.push(Member {
                id: format!("i-{}-{index}", settings.name),
                address: listener.local_addr()?,
                zone: (*zone).to_owned(),
                received: 0,
                applied: 0,
                deaf_until: None,
                held: 0,
                is_draining: false,
                sequence: 0,
                connections: 0,
                busy: 0,
            });
            listeners.push(listener);
        }
        let state = GroupState {
            term: 1,
            primary: 0,
            log: Vec::new(),
            earlier_terms: Vec::new(),
            members,
            next_connection: 1,
        };
        let service = Arc::new(Self {
            settings,
            state: Mutex::new(state),
            changed: Condvar::new(),
            runs: Mutex::default(),
            record,
            store,
            born: SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis()),
        });
        for (index, listener) in listeners.into_iter().enumerate() {
            let accepting = service.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let service = accepting.clone();
                    thread::spawn(move || {
                        let _ = Connection::serve(&service, index, stream);
                    });
                }
            });
            let reporting = service.clone();
            thread::spawn(move || {
                loop {
                    reporting.report(index);
                    thread::sleep(reporting.settings.heartbeat);
                }
            });
        }
        let replicating = service.clone();
        thread::spawn(move || {
            loop {
                replicating.replicate();
                thread::sleep(Duration::from_millis(1));
            }
        });
        Ok(service)
    }

    /// Writes the member's entry in the store.
    fn report(&self, index: usize) {
        let (id, text) = {
            let mut state = self.state.lock().unwrap();
            let role = if state.primary == index { "primary" } else { "replica" };
            let member = &mut state.members[index];
            member.sequence += 1;
            let status = if member.is_draining { "draining" } else { "ready" };
            let text = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
                 \"state\":\"{status}\",\"cold_remaining_ms\":0,\"database_role\":\"{role}\",\
                 \"sequence\":{},\"born\":{}}}",
                self.settings.name, member.address, member.zone, self.settings.slots, member.sequence,
                self.born
            );
            (member.id.clone(), text)
        };
        self.store.put("servers", &id, Some(&text));
    }

    pub fn report_all(&self) {
        let count = self.state.lock().unwrap().members.len();
        (0..count).for_each(|index| self.report(index));
    }

    /// Makes the primary report that it is draining; returns its id.
    pub fn drain_primary(&self) -> String {
        let (index, id) = {
            let mut state = self.state.lock().unwrap();
            let index = state.primary;
            state.members[index].is_draining = true;
            (index, state.members[index].id.clone())
        };
        self.report(index);
        self.record.line(format!("member {id}: the store accepted the report draining"));
        id
    }

    pub fn primary(&self) -> String {
        let state = self.state.lock().unwrap();
        state.members[state.primary].id.clone()
    }

    pub fn has_member(&self, id: &str) -> bool {
        self.state.lock().unwrap().members.iter().any(|member| member.id == id)
    }

    /// Makes a replica receive nothing for a while.
    pub fn deafen(&self, id: &str, span: Duration) {
        let mut state = self.state.lock().unwrap();
        if let Some(member) = state.members.iter_mut().find(|member| member.id == id) {
            member.deaf_until = Some(Instant::now() + span);
            self.record.line(format!("member {id}: receives nothing for up to {} ms", span.as_millis()));
        }
    }

    /// Promotes a member after the time that a promotion takes.
    pub fn promote_later(self: &Arc<Self>, id: &str) {
        let (service, id) = (self.clone(), id.to_owned());
        thread::spawn(move || {
            thread::sleep(service.settings.promote_time);
            service.promote(&id);
        });
    }

    fn promote(&self, id: &str) {
        let (index, old) = {
            let mut state = self.state.lock().unwrap();
            let Some(index) = state.members.iter().position(|member| member.id == id) else {
                return;
            };
            if index == state.primary {
                return;
            }
            let kept = state.members[index].received;
            let old = std::mem::replace(&mut state.primary, index);
            for (_, end) in &mut state.earlier_terms {
                *end = kept.min(*end);
            }
            let term = state.term;
            state.earlier_terms.push((term, kept));
            state.term += 1;
            let lost: Vec<String> = state.log.split_off(kept).into_iter().map(|entry| entry.id).collect();
            for member in &mut state.members {
                (member.received, member.applied) = (member.received.min(kept), member.applied.min(kept));
                member.held = 0;
            }
            let leader = &mut state.members[index];
            (leader.applied, leader.deaf_until) = (leader.received, None);
            self.record.line(format!(
                "member {id}: leads term {} with {kept} commits; rolled back: {lost:?}",
                term + 1
            ));
            (index, old)
        };
        self.changed.notify_all();
        self.report(index);
        self.report(old);
    }

    fn replicate(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let old_enough = |log: &[LogEntry], delay: Duration| log.partition_point(|entry| entry.at + delay <= now);
        let received = old_enough(&state.log, self.settings.receive_delay);
        let applied = old_enough(&state.log, self.settings.apply_delay);
        let (primary, end) = (state.primary, state.log.len());
        for (index, member) in state.members.iter_mut().enumerate() {
            if index == primary {
                (member.received, member.applied) = (end, end);
                continue;
            }
            if member.held == 0 && member.deaf_until.is_none_or(|until| now >= until) {
                member.received = member.received.max(received);
            }
            member.applied = member.applied.max(applied.min(member.received));
        }
        drop(state);
        self.changed.notify_all();
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Returns whether the log of the present primary has the commit with this id.
    pub fn has_commit(&self, id: &str) -> bool {
        self.state.lock().unwrap().log.iter().any(|entry| entry.id == id)
    }
}

impl GroupState {
    /// Position up to which a member has applied its log.
    fn position(&self, member: usize, length: usize) -> (u64, usize) {
        if member == self.primary {
            return (self.term, self.log.len());
        }
        let earlier = self.earlier_terms.iter().find(|(_, end)| length < *end);
        (earlier.map_or(self.term, |(term, _)| *term), length)
    }
}

struct Connection<'a> {
    service: &'a Arc<Service>,
    member: usize,
    number: u64,
    tenant: String,
    /// `I`, `T` or `E`.
    state: char,
    /// Term in which a plain transaction began.
    writable_in: Option<u64>,
    writes: Vec<(String, String)>,
    values: HashMap<String, String>,
    prepared: HashMap<String, (bool, String)>,
}

impl<'a> Connection<'a> {
    fn serve(service: &'a Arc<Service>, member: usize, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let words: Vec<String> = line.split_whitespace().map(str::to_owned).collect();
        let refused = {
            let mut state = service.state.lock().unwrap();
            let number = state.next_connection;
            state.next_connection += 1;
            let found = &mut state.members[member];
            if words.len() < 3 || words[0] != "STARTUP" || words[1] != service.settings.name {
                Err("MISROUTED")
            } else if words.get(3).is_some_and(|id| *id != found.id) {
                Err("MISROUTED")
            } else if found.connections >= service.settings.max_connections {
                Err("TOOMANY")
            } else {
                found.connections += 1;
                Ok(number)
            }
        };
        let number = match refused {
            Ok(number) => number,
            Err(code) => return write!(writer, "ERROR {code} -\r\n"),
        };
        let mut connection = Self {
            service,
            member,
            number,
            tenant: words[2].clone(),
            state: 'I',
            writable_in: None,
            writes: Vec::new(),
            values: HashMap::new(),
            prepared: HashMap::new(),
        };
        connection.occupy_slot(service.settings.handshake);
        let result = connection.answer_lines(&mut reader, &mut writer);
        service.state.lock().unwrap().members[member].connections -= 1;
        result
    }

    fn answer_lines(
        &mut self,
        reader: &mut BufReader<TcpStream>,
        writer: &mut TcpStream,
    ) -> std::io::Result<()> {
        writer.write_all(self.ready().as_bytes())?;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let line = line.strip_suffix("\r\n").unwrap_or(&line);
            let Some((id, text)) = line.strip_prefix("QUERY ").and_then(|rest| rest.split_once(' ')) else {
                return Ok(());
            };
            let Some(outcome) = self.run(id, text) else {
                return Ok(());
            };
            let content = match outcome {
                Ok(content) => content,
                Err(code) => {
                    if self.state == 'T' {
                        self.state = 'E';
                    }
                    format!("ERROR {code} -\r\n")
                }
            };
            writer.write_all((content + &self.ready()).as_bytes())?;
        }
    }

    fn ready(&self) -> String {
        let state = self.service.state.lock().unwrap();
        let (term, number) = state.position(self.member, state.members[self.member].applied);
        format!("READY {} {term}.{number}\r\n", self.state)
    }

    /// Waits for a slot and holds it for the time of the work.
    fn occupy_slot(&self, work: Duration) {
        let service = self.service;
        let mut state = service.state.lock().unwrap();
        while state.members[self.member].busy >= service.settings.slots {
            state = service.changed.wait(state).unwrap();
        }
        state.members[self.member].busy += 1;
        drop(state);
        thread::sleep(work);
        service.state.lock().unwrap().members[self.member].busy -= 1;
        service.changed.notify_all();
    }

    fn leads(&self) -> bool {
        self.service.state.lock().unwrap().primary == self.member
    }

    /// Runs a statement; returns `None` if the connection breaks off without an answer.
    fn run(&mut self, id: &str, text: &str) -> Option<Result<String, &'static str>> {
        let (after, text) = split_after(text);
        let words: Vec<&str> = text.split(' ').collect();
        let complete = || Some(Ok("COMPLETE -\r\n".to_owned()));
        if self.state == 'E' && words[0] != "ROLLBACK" && words[0] != "COMMIT" {
            return Some(Err("MALFORMED"));
        }
        if let Some(after) = after {
            let state = self.service.state.lock().unwrap();
            let (term, number) = state.position(self.member, state.members[self.member].applied);
            if (term, number as u64) < after {
                return Some(Err("LAGGING"));
            }
        }
        match words[0] {
            "STATUS" => Some(Ok(self.status())),
            "PAUSE" | "RESUME" => {
                let term: u64 = words.get(1).and_then(|word| word.parse().ok()).unwrap_or(0);
                {
                    let mut state = self.service.state.lock().unwrap();
                    let (newest, is_replica) = (state.term, state.primary != self.member);
                    let member = &mut state.members[self.member];
                    match words[0] {
                        "PAUSE" if is_replica && term > newest.max(member.held) => member.held = term,
                        "RESUME" => member.held = 0,
                        _ => {}
                    }
                }
                self.service.record.line(format!("member {}: {text}", self.member));
                Some(Ok(self.status()))
            }
            "RESET" => {
                self.values.clear();
                self.prepared.clear();
                complete()
            }
            "SET" if words.len() >= 3 => {
                self.values.insert(words[1].to_owned(), words[2..].join(" "));
                complete()
            }
            "PREPARE" if words.len() >= 4 => {
                let shape = (words[2] == "WRITE", words[3..].join(" "));
                self.prepared.insert(words[1].to_owned(), shape);
                complete()
            }
            "DEALLOCATE" if words.len() == 2 => match self.prepared.remove(words[1]) {
                Some(_) => complete(),
                None => Some(Err("NOSTMT")),
            },
            "BEGIN" if self.state != 'I' => Some(Err("MALFORMED")),
            "BEGIN" if words.len() == 1 && !self.leads() => Some(Err("READONLY")),
            "BEGIN" => {
                let term = self.service.state.lock().unwrap().term;
                (self.state, self.writable_in) = ('T', (words.len() == 1).then_some(term));
                complete()
            }
            "ROLLBACK" if self.state == 'I' => Some(Err("MALFORMED")),
            "ROLLBACK" => {
                self.end_transaction();
                complete()
            }
            "COMMIT" if self.state == 'I' => Some(Err("MALFORMED")),
            "COMMIT" if self.state == 'E' => {
                self.end_transaction();
                Some(Err("ABORTED"))
            }
            "READ" | "WRITE" | "EXECUTE" | "COMMIT" => self.work(id, text, &words),
            _ => Some(Err("MALFORMED")),
        }
    }

    fn status(&self) -> String {
        let state = self.service.state.lock().unwrap();
        let member = &state.members[self.member];
        let role = if state.primary == self.member { "primary" } else { "replica" };
        let (term, received) = state.position(self.member, member.received);
        format!(
            "ROW {role} {} {term}.{received} {} 0 {} {}\r\nCOMPLETE -\r\n",
            state.term, member.held, member.busy, member.connections
        )
    }

    fn end_transaction(&mut self) {
        self.writes.clear();
        (self.state, self.writable_in) = ('I', None);
    }

    fn work(&mut self, id: &str, text: &str, words: &[&str]) -> Option<Result<String, &'static str>> {
        let is_write = match words[0] {
            "EXECUTE" => match self.prepared.get(*words.get(1)?) {
                Some((writes, _)) => *writes,
                None => return Some(Err("NOSTMT")),
            },
            word => word == "WRITE",
        };
        let is_commit = words[0] == "COMMIT";
        self.occupy_slot(self.service.settings.work);
        let mut state = self.service.state.lock().unwrap();
        let leads = state.primary == self.member;
        let has_lost_lead = self.writable_in.is_some_and(|term| !leads || term != state.term);
        if has_lost_lead && !(is_commit && self.writes.is_empty()) || is_write && !leads {
            return Some(Err("READONLY"));
        }
        let member = state.members[self.member].id.clone();
        let mut values: Vec<String> =
            self.values.iter().map(|(name, value)| format!("{name}={value}")).collect();
        values.sort();
        let run = Run {
            at_ms: self.service.record.now_ms(),
            member: member.clone(),
            tenant: self.tenant.clone(),
            connection: self.number,
            id: id.to_owned(),
            text: text.to_owned(),
            values,
        };
        self.service.record.line(format!(
            "member {}: ran id={} tenant={} connection={} values={:?} text={}",
            run.member, run.id, run.tenant, run.connection, run.values, run.text
        ));
        self.service.runs.lock().unwrap().push(run);
        let digest = format!("COMPLETE {member}.{id}\r\n");
        let item = words.get(if words[0] == "EXECUTE" { 2 } else { 1 }).copied().unwrap_or("");
        if is_write && self.state == 'T' {
            self.writes.push((item.to_owned(), words.last()?.to_string()));
            return Some(Ok(digest));
        }
        if !is_write && !is_commit {
            let applied = state.members[self.member].applied;
            let found = state.log[..applied].iter().rev().find(|entry| entry.item == item);
            let row = found.map_or("-".to_owned(), |entry| entry.data.clone());
            return Some(Ok(format!("ROW {row}\r\n{digest}")));
        }
        let writes = match is_commit {
            true => std::mem::take(&mut self.writes),
            false => vec![(item.to_owned(), words.last()?.to_string())],
        };
        if is_commit {
            self.end_transaction();
        }
        if writes.is_empty() {
            return Some(Ok(digest));
        }
        let (term, at) = (state.term, Instant::now());
        for (item, data) in writes {
            state.log.push(LogEntry { item, data, id: id.to_owned(), at });
        }
        let (number, primary) = (state.log.len(), state.primary);
        state.members[primary].received = number;
        state.members[primary].applied = number;
        // With `sync_replicas`, the commit is acknowledged once enough replicas have received it.
        loop {
            if state.term != term {
                // It lost the lead meanwhile: nothing is known of the commit.
                return None;
            }
            let members = state.members.iter().enumerate();
            let received = members.filter(|(index, member)| *index != primary && member.received >= number);
            if received.count() >= self.service.settings.sync_replicas {
                return Some(Ok(digest));
            }
            state = self.service.changed.wait(state).unwrap();
        }
    }
}

/// Splits the position that a member must have applied from the text.
fn split_after(text: &str) -> (Option<(u64, u64)>, &str) {
    let split = text.strip_prefix("AFTER ").and_then(|rest| {
        let (position, text) = rest.split_once(' ')?;
        let (term, number) = position.split_once('.')?;
        Some(((term.parse().ok()?, number.parse().ok()?), text))
    });
    split.map_or((None, text), |(position, text)| (Some(position), text))
}
