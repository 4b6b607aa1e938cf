//! Consumer's session on a daemon.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use crate::record::SharedRecorder;

/// Answer to a request.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    pub rows: Vec<String>,
    pub digest: Option<String>,
    pub error: Option<String>,
    /// The connection ended, or nothing arrived in time, before the answer was complete.
    pub is_cut: bool,
}

impl Reply {
    pub fn is_success(&self) -> bool {
        self.digest.is_some() && self.error.is_none() && !self.is_cut
    }
}

pub struct Consumer {
    name: String,
    reader: BufReader<TcpStream>,
    writer: TcpStream,
    record: SharedRecorder,
    next_id: u32,
}

impl Consumer {
    /// Opens a session; returns the error's code if it is refused.
    pub fn open(
        name: &str,
        address: SocketAddr,
        database: &str,
        key: &str,
        record: &SharedRecorder,
    ) -> Result<Self, String> {
        let connect = || -> std::io::Result<Self> {
            let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(Duration::from_secs(10)))?;
            let reader = BufReader::new(stream.try_clone()?);
            Ok(Self { name: name.to_owned(), reader, writer: stream, record: record.clone(), next_id: 1 })
        };
        let mut consumer = connect().map_err(|error| error.to_string())?;
        consumer.record.line(format!("{name}: to {address}: STARTUP {database} {key}"));
        let _ = write!(consumer.writer, "STARTUP {database} {key}\r\n");
        let reply = consumer.read_reply();
        match (reply.error, reply.is_cut) {
            (Some(code), _) => Err(code),
            (None, true) => Err("no answer".to_owned()),
            (None, false) => Ok(consumer),
        }
    }

    pub fn new_id(&mut self) -> String {
        self.next_id += 1;
        format!("{}x{}", self.name, self.next_id)
    }

    pub fn ask(&mut self, text: &str) -> Reply {
        let id = self.new_id();
        self.ask_as(&id, text)
    }

    pub fn ask_as(&mut self, id: &str, text: &str) -> Reply {
        self.record.line(format!("{}: sent QUERY {id} {text}", self.name));
        if write!(self.writer, "QUERY {id} {text}\r\n").is_err() {
            let reply = Reply { is_cut: true, ..Reply::default() };
            self.record.line(format!("{}: QUERY {id} could not be sent", self.name));
            return reply;
        }
        let reply = self.read_reply();
        self.record.line(format!(
            "{}: answer to {id}: rows={:?} digest={:?} error={:?} cut={}",
            self.name, reply.rows, reply.digest, reply.error, reply.is_cut
        ));
        reply
    }

    fn read_reply(&mut self) -> Reply {
        let mut reply = Reply::default();
        loop {
            let mut line = String::new();
            match self.reader.read_line(&mut line) {
                Ok(0) | Err(_) => {
                    reply.is_cut = true;
                    return reply;
                }
                Ok(_) => {}
            }
            let (word, rest) = line.trim_end().split_once(' ').unwrap_or((line.trim_end(), ""));
            match word {
                "ROW" => reply.rows.push(rest.to_owned()),
                "COMPLETE" => reply.digest = Some(rest.to_owned()),
                "ERROR" => reply.error = Some(rest.split(' ').next().unwrap_or("").to_owned()),
                "READY" => return reply,
                _ => {}
            }
        }
    }

    /// Closes the connection, also in the middle of a transaction.
    pub fn leave(self) {
        self.record.line(format!("{}: closes its connection", self.name));
        let _ = self.writer.shutdown(Shutdown::Both);
    }
}
