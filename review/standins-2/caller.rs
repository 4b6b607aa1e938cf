//! Stand-in for a consumer.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::record::Record;

/// Time for which a consumer waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(12);
/// Number of the last request of all consumers.
static LAST_REQUEST: AtomicU64 = AtomicU64::new(0);

/// Answer to a statement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// Success with the digest.
    Complete(String),
    /// Error with its code and text.
    Error(String, String),
    /// The connection ended or no answer arrived.
    Lost,
}

impl Answer {
    /// Returns whether a statement about data succeeded.
    pub fn is_success(&self) -> bool {
        matches!(self, Self::Complete(_))
    }
}

/// Session of a consumer.
pub struct Caller {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
    record: Arc<Record>,
    /// Identifier of the last request.
    pub last_id: String,
    /// Time before the last request was sent.
    pub sent_at: Instant,
}

impl Caller {
    /// Opens a session; returns the error if it is refused.
    pub fn open(
        address: SocketAddr,
        database: &str,
        key: &str,
        record: &Arc<Record>,
    ) -> Result<Self, Answer> {
        let connected = TcpStream::connect_timeout(&address, Duration::from_secs(2));
        let stream = connected.map_err(|_| Answer::Lost)?;
        let ready = stream
            .set_read_timeout(Some(ANSWER_TIMEOUT))
            .and_then(|()| stream.set_nodelay(true))
            .and_then(|()| stream.try_clone());
        let reader = BufReader::new(ready.map_err(|_| Answer::Lost)?);
        let mut caller = Self {
            stream,
            reader,
            record: record.clone(),
            last_id: String::new(),
            sent_at: Instant::now(),
        };
        match caller.exchange(&format!("STARTUP {database} {key}\r\n"), true) {
            Answer::Complete(_) => Ok(caller),
            refused => Err(refused),
        }
    }

    /// Sends a statement with a new identifier and returns the answer.
    pub fn query(&mut self, text: &str) -> Answer {
        let number = LAST_REQUEST.fetch_add(1, Ordering::Relaxed) + 1;
        self.last_id = format!("{number:016x}");
        self.sent_at = Instant::now();
        let id = self.last_id.clone();
        let shown: String = text.chars().take(80).collect();
        self.record.line(&format!("sent id={id} text=\"{shown}\""));
        let answer = self.exchange(&format!("QUERY {id} {text}\r\n"), false);
        self.record.line(&format!("answered id={id} answer={answer:?}"));
        answer
    }

    fn exchange(&mut self, request: &str, is_startup: bool) -> Answer {
        if self.stream.write_all(request.as_bytes()).is_err() {
            return Answer::Lost;
        }
        let mut answer = None;
        loop {
            let mut line = String::new();
            if !matches!(self.reader.read_line(&mut line), Ok(1..)) {
                return match answer {
                    Some(refused) if is_startup => refused,
                    _ => Answer::Lost,
                };
            }
            let line = line.trim_end();
            let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
            match word {
                "COMPLETE" => answer = Some(Answer::Complete(rest.to_owned())),
                "ERROR" => {
                    let (code, text) = rest.split_once(' ').unwrap_or((rest, ""));
                    answer = Some(Answer::Error(code.to_owned(), text.to_owned()));
                }
                "READY" if is_startup => return Answer::Complete(String::new()),
                "READY" => return answer.unwrap_or(Answer::Lost),
                _ => {}
            }
        }
    }
}
