//! Member that speaks the line protocol.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

use super::group::{ExecutedStatement, SharedGroup};

/// Time that a read, write or commit takes.
const WORK_TIME: Duration = Duration::from_millis(2);

/// Serves a member of a group on a free loopback port.
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

/// State of one connection.
struct LineConnection {
    group: SharedGroup,
    member: usize,
    number: u64,
    team: String,
    state: char,
    writable: bool,
    writes: Vec<(String, String)>,
    prepared: HashMap<String, bool>,
}

async fn serve_connection(group: SharedGroup, member: usize, stream: TcpStream) {
    // Without the option answers only take longer.
    let _ = stream.set_nodelay(true);
    let (reader, mut writer) = stream.into_split();
    let mut lines = BufReader::new(reader).lines();
    let Ok(Some(line)) = lines.next_line().await else {
        return;
    };
    let words: Vec<&str> = line.trim_end().split(' ').collect();
    let opened = {
        let mut state = group.lock();
        let right = words.len() >= 3 && words[1] == state.service;
        let expected = words.get(3).is_none_or(|id| *id == state.members[member].id);
        match right && expected {
            false => Err("MISROUTED"),
            true => state.connect(member).ok_or("TOOMANY"),
        }
    };
    let number = match opened {
        Ok(number) => number,
        Err(code) => {
            // The caller learns the reason if it still listens.
            let _ = writer.write_all(format!("ERROR {code} -\r\n").as_bytes()).await;
            return;
        }
    };
    let mut connection = LineConnection {
        group,
        member,
        number,
        team: words[2].to_owned(),
        state: 'I',
        writable: false,
        writes: Vec::new(),
        prepared: HashMap::new(),
    };
    let ready = connection.ready();
    if writer.write_all(ready.as_bytes()).await.is_ok() {
        while let Ok(Some(line)) = lines.next_line().await {
            let Some(answer) = connection.answer(line.trim_end()).await else {
                break;
            };
            if writer.write_all(answer.as_bytes()).await.is_err() {
                break;
            }
        }
    }
    let mut state = connection.group.lock();
    state.members[member].connections.remove(&number);
}

impl LineConnection {
    fn ready(&self) -> String {
        let (term, index) = self.group.lock().position(self.member);
        format!("READY {} {term}.{index}\r\n", self.state)
    }

    /// Runs a line; none if the connection ends in place of an answer.
    async fn answer(&mut self, line: &str) -> Option<String> {
        let silent = self.group.lock().members[self.member].faults.unresponsive;
        if silent {
            std::future::pending::<()>().await;
        }
        let rest = line.strip_prefix("QUERY ")?;
        let (id, text) = rest.split_once(' ')?;
        let outcome = self.run(id, text).await?;
        let body = match outcome {
            Ok(content) => content,
            Err(code) => {
                if self.state == 'T' && code != "LAGGING" {
                    self.state = 'E';
                }
                format!("ERROR {code} -\r\n")
            }
        };
        Some(body + &self.ready())
    }

    async fn run(&mut self, id: &str, text: &str) -> Option<Result<String, &'static str>> {
        let (after, text) = split_position(text);
        let words: Vec<&str> = text.split(' ').collect();
        let leads = self.leads();
        let done = || Some(Ok("COMPLETE -\r\n".to_owned()));
        if self.state == 'E' && !matches!(words[0], "ROLLBACK" | "COMMIT") {
            return Some(Err("MALFORMED"));
        }
        if let Some(after) = after
            && self.group.lock().position(self.member) < after
        {
            return Some(Err("LAGGING"));
        }
        match words[0] {
            "STATUS" => {
                let state = self.group.lock();
                let (term, index) = state.position(self.member);
                let role = if leads { "primary" } else { "replica" };
                let open = state.members[self.member].connections.len();
                Some(Ok(format!("ROW {role} {term} {term}.{index} 0 0 0 {open}\r\nCOMPLETE -\r\n")))
            }
            "RESET" => {
                self.prepared.clear();
                done()
            }
            "SET" => done(),
            "PREPARE" => {
                self.prepared.insert(words[1].to_owned(), words[2] == "WRITE");
                done()
            }
            "BEGIN" if self.state != 'I' => Some(Err("MALFORMED")),
            "BEGIN" if words.len() == 1 && !leads => Some(Err("READONLY")),
            "BEGIN" => {
                (self.state, self.writable) = ('T', words.len() == 1);
                done()
            }
            "ROLLBACK" => {
                self.writes.clear();
                self.state = 'I';
                done()
            }
            _ => self.work(id, text, &words, leads).await,
        }
    }

    async fn work(
        &mut self,
        id: &str,
        text: &str,
        words: &[&str],
        leads: bool,
    ) -> Option<Result<String, &'static str>> {
        let writes = match words[0] {
            "READ" => false,
            "WRITE" => true,
            "EXECUTE" => match self.prepared.get(words[1]) {
                Some(writes) => *writes,
                None => return Some(Err("NOSTMT")),
            },
            "COMMIT" if self.state == 'T' => true,
            _ => return Some(Err("MALFORMED")),
        };
        let commits = words[0] == "COMMIT";
        let in_transaction = self.state == 'T';
        let changes = if commits { !self.writes.is_empty() } else { writes };
        if changes && !leads {
            return Some(Err("READONLY"));
        }
        let slow = self.group.lock().members[self.member].faults.slow_team.clone();
        let work = slow.filter(|(team, _)| *team == self.team).map_or(WORK_TIME, |(_, work)| work);
        tokio::time::sleep(work).await;
        let mut state = self.group.lock();
        let faults = state.members[self.member].faults.clone();
        state.members[self.member].executed.push(ExecutedStatement {
            id: id.to_owned(),
            text: text.to_owned(),
            team: self.team.clone(),
            connection: self.number,
            in_transaction,
        });
        if !writes && faults.fails_reads {
            return Some(Err("FAILED"));
        }
        let mut content = String::new();
        if commits {
            self.state = 'I';
            let writes = std::mem::take(&mut self.writes);
            if !writes.is_empty() {
                state.commit(writes);
            }
        } else if writes {
            let (item, data) =
                (words[words.len() - 2].to_owned(), words[words.len() - 1].to_owned());
            if in_transaction {
                self.writes.push((item, data));
            } else {
                state.commit(vec![(item, data)]);
            }
        } else {
            let row = state.read(self.member, words[words.len() - 1]).unwrap_or_default();
            content = format!("ROW {row}\r\n");
        }
        let settles = commits || writes && !in_transaction;
        if settles && faults.loses_commit_responses {
            return None;
        }
        let digest = format!("COMPLETE {}.{id}\r\n", state.members[self.member].id);
        Some(Ok(content + &digest))
    }

    fn leads(&self) -> bool {
        self.group.lock().leader == self.member
    }
}

/// Splits the position that the log must have reached from a text.
fn split_position(text: &str) -> (Option<(u64, u64)>, &str) {
    let position = text.strip_prefix("AFTER ").and_then(|rest| {
        let (position, text) = rest.split_once(' ')?;
        let (term, index) = position.split_once('.')?;
        Some(((term.parse().ok()?, index.parse().ok()?), text))
    });
    match position {
        Some((position, text)) => (Some(position), text),
        None => (None, text),
    }
}
