//! Members: the wire protocol in front of a group, and their heartbeats.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;

use crate::group::Group;
use crate::json::quote;
use crate::sleep_ms;
use crate::store::Platform;

/// Most connections to one member.
pub const MAX_CONNECTIONS: usize = 34;
const HEARTBEAT_MS: u64 = 1_200;

#[derive(Default)]
struct Transaction {
    is_read_only: bool,
    has_failed: bool,
    writes: Vec<(String, String)>,
}

struct Connection {
    group: Arc<Group>,
    member: usize,
    starts: u64,
    tenant: String,
    transaction: Option<Transaction>,
    prepared: HashMap<String, bool>,
}

/// Serves all members of a group and writes their heartbeats.
pub fn serve(group: &Arc<Group>, platform: &Arc<Platform>) -> std::io::Result<()> {
    let count = group.lock().nodes.len();
    for member in 0..count {
        let address = group.lock().nodes[member].address;
        let first = TcpListener::bind(address)?;
        let listening = group.clone();
        std::thread::spawn(move || listen(&listening, member, first));
        let (group, platform) = (group.clone(), platform.clone());
        std::thread::spawn(move || report(&group, member, &platform));
    }
    Ok(())
}

fn listen(group: &Arc<Group>, member: usize, first: TcpListener) {
    let address = group.lock().nodes[member].address;
    let mut listener = Some(first);
    loop {
        let is_up = group.lock().nodes[member].is_up;
        if !is_up {
            listener = None;
        } else if listener.is_none() {
            listener = TcpListener::bind(address).ok();
        }
        let Some(open) = &listener else {
            sleep_ms(2);
            continue;
        };
        let _ = open.set_nonblocking(true);
        match open.accept() {
            Ok((stream, _)) => {
                let group = group.clone();
                std::thread::spawn(move || {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    if let Some(number) = group.add_connection(member, &stream) {
                        serve_connection(&group, member, stream);
                        group.remove_connection(member, number);
                    }
                });
            }
            Err(_) => sleep_ms(1),
        }
    }
}

/// Writes the registration of a member: at every interval, and when its role changes.
fn report(group: &Arc<Group>, member: usize, platform: &Platform) {
    let (mut last_role, mut since_ms, mut last_starts) = (None, 0, 0);
    let mut is_listed = false;
    loop {
        let row = {
            let mut state = group.lock();
            let leads = state.leads(member);
            let node = &mut state.nodes[member];
            let is_due =
                since_ms >= HEARTBEAT_MS || last_role != Some(leads) || last_starts != node.starts;
            (node.is_up && !node.is_cut && is_due).then(|| {
                (last_role, since_ms, last_starts) = (Some(leads), 0, node.starts);
                node.sequence += 1;
                let role = if leads { "primary" } else { "replica" };
                let row = format!(
                    "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":{},\
                     \"state\":\"ready\",\"cold_remaining_ms\":0,\"database_role\":\"{role}\",\
                     \"born\":{},\"sequence\":{}}}",
                    quote(&group.service),
                    node.address,
                    quote(&node.zone),
                    group.slots,
                    node.born,
                    node.sequence
                );
                (node.id.clone(), row)
            })
        };
        if let Some((id, row)) = row {
            platform.put("servers", &id, Some(&row));
            is_listed = true;
        } else if is_listed && since_ms >= 3 * HEARTBEAT_MS {
            // The store removes an entry after three intervals of silence.
            let id = group.lock().nodes[member].id.clone();
            platform.put("servers", &id, None);
            is_listed = false;
        }
        sleep_ms(20);
        since_ms += 20;
    }
}

fn serve_connection(group: &Arc<Group>, member: usize, stream: TcpStream) -> Option<()> {
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    let line = read_line(&mut reader)?;
    group.wait_while_cut(member);
    let fields: Vec<&str> = line.split(' ').collect();
    let (id, starts, open) = {
        let state = group.lock();
        let node = &state.nodes[member];
        (node.id.clone(), node.starts, node.connections.len())
    };
    if open > MAX_CONNECTIONS {
        return writer.write_all(b"ERROR TOOMANY connections\r\n").ok();
    }
    let is_right = fields.len() >= 3
        && fields[0] == "STARTUP"
        && fields[1] == group.service
        && fields.get(3).is_none_or(|expected| *expected == id);
    if !is_right {
        return writer.write_all(format!("ERROR MISROUTED {id}\r\n").as_bytes()).ok();
    }
    let mut connection = Connection {
        group: group.clone(),
        member,
        starts,
        tenant: fields[2].to_owned(),
        transaction: None,
        prepared: HashMap::new(),
    };
    sleep_ms(2);
    writer.write_all(connection.ready().as_bytes()).ok()?;
    loop {
        let line = read_line(&mut reader)?;
        let (keyword, rest) = line.split_once(' ').unwrap_or((&line, ""));
        if keyword != "QUERY" {
            return None;
        }
        let (request_id, text) = rest.split_once(' ')?;
        group.wait_while_cut(member);
        let answer = connection.answer(request_id, text)?;
        group.wait_while_cut(member);
        writer.write_all((answer + &connection.ready()).as_bytes()).ok()?;
    }
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = Vec::new();
    loop {
        if reader.read_until(b'\n', &mut line).ok()? == 0 {
            return None;
        }
        if line.ends_with(b"\r\n") {
            line.truncate(line.len() - 2);
            return String::from_utf8(line).ok();
        }
    }
}

impl Connection {
    fn ready(&self) -> String {
        let state = match &self.transaction {
            None => "I",
            Some(transaction) if transaction.has_failed => "E",
            Some(_) => "T",
        };
        let (term, number) = self.group.lock().nodes[self.member].position();
        format!("READY {state} {term}.{number}\r\n")
    }

    fn leads(&self) -> bool {
        self.group.lock().leads(self.member)
    }

    fn error(&mut self, code: &str) -> Option<String> {
        if let Some(transaction) = &mut self.transaction {
            transaction.has_failed = true;
        }
        Some(format!("ERROR {code} -\r\n"))
    }

    fn digest(&self, request_id: &str) -> String {
        let (term, number) = self.group.lock().nodes[self.member].position();
        format!("{term}.{number:x}.{request_id}")
    }

    /// Returns the answer without its end, or `None` if the connection breaks.
    fn answer(&mut self, request_id: &str, text: &str) -> Option<String> {
        let (text, after) = match text.strip_prefix("AFTER ") {
            Some(rest) => {
                let (position, text) = rest.split_once(' ')?;
                let (term, number) = position.split_once('.')?;
                (text, Some((term.parse::<u64>().ok()?, number.parse::<u64>().ok()?)))
            }
            None => (text, None),
        };
        let position = self.group.lock().nodes[self.member].position();
        if after.is_some_and(|after| position < after) {
            return self.error("LAGGING");
        }
        let words: Vec<&str> = text.split(' ').collect();
        let acknowledged = Some("COMPLETE -\r\n".to_owned());
        if self.transaction.as_ref().is_some_and(|transaction| transaction.has_failed) {
            return match words[0] {
                "ROLLBACK" | "COMMIT" => {
                    self.transaction = None;
                    if words[0] == "COMMIT" { self.error("ABORTED") } else { acknowledged }
                }
                _ => self.error("MALFORMED"),
            };
        }
        match words[..] {
            ["BEGIN"] if !self.leads() => self.error("READONLY"),
            ["BEGIN"] | ["BEGIN", "READ"] => {
                let is_read_only = words.len() > 1;
                self.transaction = Some(Transaction { is_read_only, ..Transaction::default() });
                acknowledged
            }
            ["ROLLBACK"] => {
                self.transaction = None;
                acknowledged
            }
            ["COMMIT"] => {
                let transaction = self.transaction.take()?;
                self.work(request_id);
                if !transaction.writes.is_empty() {
                    if !self.leads() {
                        return self.error("READONLY");
                    }
                    self.group.commit(self.member, self.starts, request_id, transaction.writes)?;
                }
                Some(format!("COMPLETE {}\r\n", self.digest(request_id)))
            }
            ["READ", item] => self.read(request_id, item),
            ["WRITE", item, data] => self.write(request_id, item, data),
            ["EXECUTE", name, ref arguments @ ..] => match self.prepared.get(name) {
                None => self.error("NOSTMT"),
                Some(true) => self.write(request_id, arguments.first()?, arguments.last()?),
                Some(false) => self.read(request_id, arguments.first()?),
            },
            ["SET", ..] => acknowledged,
            ["PREPARE", name, kind, ..] => {
                self.prepared.insert(name.to_owned(), kind == "WRITE");
                acknowledged
            }
            ["DEALLOCATE", name] => {
                self.prepared.remove(name);
                acknowledged
            }
            ["RESET"] => {
                self.prepared.clear();
                acknowledged
            }
            ["STATUS"] => Some(self.status()),
            ["PAUSE", term] => {
                let term = term.parse().ok()?;
                let mut state = self.group.lock();
                let newest = state.term;
                let is_replica = !state.leads(self.member);
                let node = &mut state.nodes[self.member];
                if is_replica && term > newest && term >= node.held_term {
                    node.held_term = term;
                    drop(state);
                    return Some(self.status());
                }
                drop(state);
                self.error("READONLY")
            }
            ["DEMOTE", term] => {
                let mut state = self.group.lock();
                if state.leads(self.member) && state.term < term.parse().ok()? {
                    state.is_demoted = true;
                }
                drop(state);
                Some(self.status())
            }
            ["RESUME"] => {
                self.group.lock().nodes[self.member].held_term = 0;
                Some(self.status())
            }
            _ => self.error("MALFORMED"),
        }
    }

    fn status(&self) -> String {
        let state = self.group.lock();
        let role = if state.leads(self.member) { "primary" } else { "replica" };
        let node = &state.nodes[self.member];
        let (term, number) = node.position();
        format!(
            "ROW {role} {} {term}.{number} {} 1 0 {}\r\nCOMPLETE -\r\n",
            state.term,
            node.held_term,
            node.connections.len()
        )
    }

    fn work(&self, request_id: &str) {
        self.group.record_run(&self.tenant, request_id);
        self.group.run_statement();
    }

    fn read(&mut self, request_id: &str, item: &str) -> Option<String> {
        let is_plain = self.transaction.as_ref().is_some_and(|open| !open.is_read_only);
        if is_plain && !self.leads() {
            return self.error("READONLY");
        }
        self.work(request_id);
        let row = self.group.lock().nodes[self.member].find(item).map(str::to_owned);
        let row = row.map_or(String::new(), |data| format!("ROW {data}\r\n"));
        Some(format!("{row}COMPLETE {}\r\n", self.digest(request_id)))
    }

    fn write(&mut self, request_id: &str, item: &str, data: &str) -> Option<String> {
        let is_read_only = self.transaction.as_ref().is_some_and(|open| open.is_read_only);
        if is_read_only || !self.leads() {
            return self.error("READONLY");
        }
        self.work(request_id);
        let written = (item.to_owned(), data.to_owned());
        match &mut self.transaction {
            Some(transaction) => transaction.writes.push(written),
            None => {
                self.group.commit(self.member, self.starts, request_id, vec![written])?;
            }
        }
        Some(format!("COMPLETE {}\r\n", self.digest(request_id)))
    }
}
