//! Database member that speaks the gateway's line protocol.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use super::group::{ExecutedStatement, MemberFaults, SharedGroup};

/// Simulated duration of a read, write or commit.
const STATEMENT_DURATION: Duration = Duration::from_millis(2);

/// Interval at which an unresponsive member checks whether it responds again.
const HANG_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Interval at which a commit waits for the replicas that confirm it.
const CONFIRMATION_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// Serves a member of a group on a free loopback port and returns the address.
pub async fn serve(group: SharedGroup, member: usize) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_connection(group.clone(), member, stream));
        }
    });
    Ok(address)
}

/// State of one connection to a member.
struct MemberConnection {
    group: SharedGroup,
    member: usize,
    connection_id: u64,
    team: String,
    /// `I` outside a transaction, `T` in one, `E` after it failed.
    transaction_state: char,
    is_writable: bool,
    /// Writes of the open transaction: item and data.
    writes: Vec<(String, String)>,
    /// Whether each prepared statement is a write, by statement name.
    prepared: HashMap<String, bool>,
    values: BTreeMap<String, String>,
    /// `prepared` and `values` at the begin of the transaction.
    saved_setup: (HashMap<String, bool>, BTreeMap<String, String>),
}

/// Outcome of a statement that ran.
struct StatementResult {
    /// Lines of the answer.
    content: String,
    /// Faults of the member when it ran.
    faults: MemberFaults,
    /// Term and end of the log after its commit, if it wrote.
    committed: Option<(u64, u64)>,
}

async fn serve_connection(group: SharedGroup, member: usize, stream: TcpStream) {
    // A failure only adds latency.
    let _ = stream.set_nodelay(true);
    let (reader, mut writer) = stream.into_split();
    let mut lines = BufReader::new(reader).lines();
    let Ok(Some(line)) = lines.next_line().await else {
        return;
    };
    let words: Vec<&str> = line.trim_end().split(' ').collect();
    let connected = {
        let mut state = group.lock();
        let service_matches = words.len() >= 3 && words[1] == state.service;
        let id_matches = words.get(3).is_none_or(|id| *id == state.members[member].id);
        match service_matches && id_matches {
            false => Err("MISROUTED"),
            true => state.connect(member).ok_or("TOOMANY"),
        }
    };
    let connection_id = match connected {
        Ok(connection_id) => connection_id,
        Err(code) => {
            // The client may have closed the connection already.
            let _ = writer.write_all(format!("ERROR {code} -\r\n").as_bytes()).await;
            return;
        }
    };
    let mut connection = MemberConnection {
        group,
        member,
        connection_id,
        team: words[2].to_owned(),
        transaction_state: 'I',
        is_writable: false,
        writes: Vec::new(),
        prepared: HashMap::new(),
        values: BTreeMap::new(),
        saved_setup: Default::default(),
    };
    let ready_line = connection.ready_line();
    if writer.write_all(ready_line.as_bytes()).await.is_ok() {
        while let Ok(Some(line)) = lines.next_line().await {
            if connection.is_unresponsive() || connection.ignores_statements() {
                connection.hang().await;
                // The statement stays without an answer; the client closes the connection.
                while let Ok(Some(_)) = lines.next_line().await {}
                break;
            }
            let Some(response) = connection.respond(line.trim_end()).await else {
                break;
            };
            if writer.write_all(response.as_bytes()).await.is_err() {
                break;
            }
        }
    }
    let mut state = connection.group.lock();
    state.members[member].connections.remove(&connection_id);
}

impl MemberConnection {
    fn ready_line(&self) -> String {
        let (term, index) = self.group.lock().position(self.member);
        format!("READY {} {term}.{index}\r\n", self.transaction_state)
    }

    /// Waits until the member responds again. Meanwhile it does not notice closed connections either.
    async fn hang(&self) {
        while self.is_unresponsive() {
            sleep(HANG_CHECK_INTERVAL).await;
        }
    }

    fn faults(&self) -> MemberFaults {
        self.group.lock().members[self.member].faults.clone()
    }

    fn ignores_statements(&self) -> bool {
        self.group.lock().members[self.member].faults.ignores_statements
    }

    fn is_unresponsive(&self) -> bool {
        self.group.lock().members[self.member].faults.unresponsive
    }

    /// Executes a line and returns the response, or `None` if the connection is closed instead.
    async fn respond(&mut self, line: &str) -> Option<String> {
        let arguments = line.strip_prefix("QUERY ")?;
        let (id, text) = arguments.split_once(' ')?;
        if text != "STATUS" {
            self.group.lock().members[self.member].arrivals.push(Instant::now());
        }
        let outcome = self.execute(id, text).await?;
        if is_setup(text) && self.faults().loses_setup_responses {
            return Some(String::new());
        }
        let body = match outcome {
            Ok(content) => content,
            Err(code) => {
                if self.transaction_state == 'T' && !matches!(code, "LAGGING" | "BUSY") {
                    self.transaction_state = 'E';
                }
                format!("ERROR {code} -\r\n")
            }
        };
        Some(body + &self.ready_line())
    }

    async fn execute(&mut self, id: &str, text: &str) -> Option<Result<String, &'static str>> {
        let (required_position, text) = split_required_position(text);
        let words: Vec<&str> = text.split(' ').collect();
        let is_leader = self.is_leader();
        let complete = || Some(Ok("COMPLETE -\r\n".to_owned()));
        if self.transaction_state == 'E' && !matches!(words[0], "ROLLBACK" | "COMMIT") {
            return Some(Err("MALFORMED"));
        }
        if let Some(required_position) = required_position
            && self.group.lock().position(self.member) < required_position
        {
            return Some(Err("LAGGING"));
        }
        match words[0] {
            "STATUS" => Some(Ok(self.status())),
            "PAUSE" | "RESUME" if self.refuses_holds() => Some(Err("MALFORMED")),
            "PAUSE" => {
                let Some(term) = words.get(1).and_then(|term| term.parse().ok()) else {
                    return Some(Err("MALFORMED"));
                };
                self.group.lock().hold(self.member, term);
                Some(Ok(self.status()))
            }
            "DEMOTE" => {
                let Some(term) = words.get(1).and_then(|term| term.parse().ok()) else {
                    return Some(Err("MALFORMED"));
                };
                self.group.lock().demote(self.member, term);
                Some(Ok(self.status()))
            }
            "RESUME" => {
                self.group.lock().resume(self.member);
                Some(Ok(self.status()))
            }
            _ if is_setup(text) && self.faults().refuses_setups => Some(Err("BUSY")),
            "RESET" => {
                self.prepared.clear();
                self.values.clear();
                complete()
            }
            "SET" => {
                self.values.insert(words[1].to_owned(), words[2..].join(" "));
                complete()
            }
            "PREPARE" => {
                self.prepared.insert(words[1].to_owned(), words[2] == "WRITE");
                complete()
            }
            "DEALLOCATE" => match self.prepared.remove(words[1]) {
                Some(_) => complete(),
                None => Some(Err("NOSTMT")),
            },
            "BEGIN" if self.transaction_state != 'I' => Some(Err("MALFORMED")),
            "BEGIN" if words.len() == 1 && !is_leader => Some(Err("READONLY")),
            "BEGIN" => {
                (self.transaction_state, self.is_writable) = ('T', words.len() == 1);
                self.saved_setup = (self.prepared.clone(), self.values.clone());
                complete()
            }
            "ROLLBACK" => {
                self.writes.clear();
                if self.transaction_state != 'I' && self.faults().rollback_reverts_setups {
                    (self.prepared, self.values) = std::mem::take(&mut self.saved_setup);
                }
                self.transaction_state = 'I';
                complete()
            }
            _ => self.execute_statement(id, text, &words, is_leader).await,
        }
    }

    async fn execute_statement(
        &mut self,
        id: &str,
        text: &str,
        words: &[&str],
        is_leader: bool,
    ) -> Option<Result<String, &'static str>> {
        let is_write = match words[0] {
            "READ" => false,
            "WRITE" => true,
            "EXECUTE" => match self.prepared.get(words[1]) {
                Some(is_write) => *is_write,
                None => return Some(Err("NOSTMT")),
            },
            "COMMIT" if self.transaction_state == 'T' => true,
            _ => return Some(Err("MALFORMED")),
        };
        let is_commit = words[0] == "COMMIT";
        let in_transaction = self.transaction_state == 'T';
        let modifies_data = if is_commit { !self.writes.is_empty() } else { is_write };
        if modifies_data && !is_leader {
            return Some(Err("READONLY"));
        }
        let faults = self.faults();
        let duration = faults
            .slow_team
            .filter(|(team, _)| *team == self.team)
            .map(|(_, duration)| duration)
            .or(faults.statement_duration)
            .unwrap_or(STATEMENT_DURATION);
        sleep(duration).await;
        let StatementResult { content, faults, committed } =
            match self.run_statement(id, text, words, is_write) {
                Ok(result) => result,
                Err(code) => return Some(Err(code)),
            };
        if let Some(position) = committed
            && !self.is_acknowledged(position).await
        {
            return None;
        }
        let is_commit_response = is_commit || is_write && !in_transaction;
        if is_commit_response && faults.loses_commit_responses {
            return None;
        }
        Some(Ok(content))
    }

    /// Runs a statement that has taken its time.
    fn run_statement(
        &mut self,
        id: &str,
        text: &str,
        words: &[&str],
        is_write: bool,
    ) -> Result<StatementResult, &'static str> {
        let in_transaction = self.transaction_state == 'T';
        let mut state = self.group.lock();
        let faults = state.members[self.member].faults.clone();
        state.members[self.member].executed.push(ExecutedStatement {
            id: id.to_owned(),
            text: text.to_owned(),
            team: self.team.clone(),
            connection: self.connection_id,
            in_transaction,
            values: self.values.clone(),
            ended_at: Instant::now(),
        });
        if !is_write && faults.fails_reads {
            return Err("FAILED");
        }
        let mut content = String::new();
        let mut writes = Vec::new();
        if words[0] == "COMMIT" {
            self.transaction_state = 'I';
            writes = std::mem::take(&mut self.writes);
        } else if is_write {
            let (item, data) =
                (words[words.len() - 2].to_owned(), words[words.len() - 1].to_owned());
            if in_transaction { &mut self.writes } else { &mut writes }.push((item, data));
        } else {
            let row = state.read(self.member, words[words.len() - 1]).unwrap_or_default();
            content = format!("ROW {row}\r\n").repeat(faults.rows_per_read.max(1));
        }
        let digest = format!("{}.{id}", state.members[self.member].id);
        let digest = if faults.omits_digests { "-" } else { &digest };
        content += &format!("COMPLETE {digest}\r\n");
        let mut committed = None;
        if !writes.is_empty() {
            state.commit(writes);
            committed = Some((state.term, state.members[state.leader].applied));
        }
        Ok(StatementResult { content, faults, committed })
    }

    fn refuses_holds(&self) -> bool {
        self.group.lock().members[self.member].faults.refuses_holds
    }

    fn status(&self) -> String {
        let state = self.group.lock();
        let (term, index) = state.position(self.member);
        let role = if state.leads(self.member) { "primary" } else { "replica" };
        let member = &state.members[self.member];
        let stated_at_rest = if member.faults.states_hold_at_rest { term } else { 0 };
        let held_term = member.held_term.max(stated_at_rest);
        let open = member.connections.len();
        format!("ROW {role} {term} {term}.{index} {held_term} 0 0 {open}\r\nCOMPLETE -\r\n")
    }

    /// Waits until a commit may be acknowledged; returns false if the lead was lost before.
    async fn is_acknowledged(&self, (term, end): (u64, u64)) -> bool {
        loop {
            {
                let state = self.group.lock();
                if state.term != term || state.is_demoted {
                    return false;
                }
                if state.is_confirmed(end) {
                    return true;
                }
            }
            sleep(CONFIRMATION_CHECK_INTERVAL).await;
        }
    }

    fn is_leader(&self) -> bool {
        self.group.lock().leads(self.member)
    }
}

/// Returns whether a statement changes the session values or prepared statements of its connection.
fn is_setup(text: &str) -> bool {
    matches!(text.split(' ').next(), Some("RESET" | "SET" | "PREPARE" | "DEALLOCATE"))
}

/// Splits the position that the member must have applied from the statement text.
fn split_required_position(text: &str) -> (Option<(u64, u64)>, &str) {
    let position = text.strip_prefix("AFTER ").and_then(|arguments| {
        let (position, text) = arguments.split_once(' ')?;
        let (term, index) = position.split_once('.')?;
        Some(((term.parse().ok()?, index.parse().ok()?), text))
    });
    match position {
        Some((position, text)) => (Some(position), text),
        None => (None, text),
    }
}
