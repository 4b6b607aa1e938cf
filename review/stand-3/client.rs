//! Consumers.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Answer to a query: its rows, and the digest or the code and text of an error.
#[derive(Clone, Debug)]
pub struct Answer {
    pub rows: Vec<String>,
    pub outcome: Result<String, String>,
}

/// Session of a consumer.
pub struct Session {
    writer: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Session {
    /// Opens a session. Returns the error's text if it is refused.
    pub fn open(address: SocketAddr, database: &str, key: &str) -> Result<Self, String> {
        let limit = Duration::from_secs(2);
        let stream = TcpStream::connect_timeout(&address, limit).map_err(|e| e.to_string())?;
        stream.set_read_timeout(Some(limit)).map_err(|e| e.to_string())?;
        stream.set_nodelay(true).map_err(|e| e.to_string())?;
        let writer = stream.try_clone().map_err(|e| e.to_string())?;
        let mut session = Self { writer, reader: BufReader::new(stream) };
        session.send(&format!("STARTUP {database} {key}"))?;
        let line = session.line()?;
        if line.starts_with("READY") { Ok(session) } else { Err(line) }
    }

    fn send(&mut self, line: &str) -> Result<(), String> {
        self.writer.write_all(format!("{line}\r\n").as_bytes()).map_err(|e| e.to_string())
    }

    fn line(&mut self) -> Result<String, String> {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(0) => Err("closed".to_owned()),
            Ok(_) => Ok(line.trim_end().to_owned()),
            Err(error) => Err(error.to_string()),
        }
    }

    /// Sends a query and reads its answer; an error if there is no whole answer.
    pub fn query(&mut self, id: &str, text: &str) -> Result<Answer, String> {
        self.send(&format!("QUERY {id} {text}"))?;
        let (mut rows, mut outcome) = (Vec::new(), Err("no outcome".to_owned()));
        loop {
            let line = self.line()?;
            let (keyword, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match keyword {
                "ROW" => rows.push(rest.to_owned()),
                "COMPLETE" => outcome = Ok(rest.to_owned()),
                "ERROR" => outcome = Err(rest.to_owned()),
                "READY" => return Ok(Answer { rows, outcome }),
                _ => return Err(format!("unexpected line {line}")),
            }
        }
    }
}
