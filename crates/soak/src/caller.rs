//! Callers that write, read their own writes and record the outcomes reported to them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use crate::planned_stop::CutRequest;

/// API key of the callers' team.
pub const CALLER_API_KEY: &str = "soak-key";
/// Timeout of a connect and of each response line; the timeout of the routes is 800 ms.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(6);

/// Outcome of a write as reported to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportedOutcome {
    /// The write is committed.
    Acknowledged,
    /// The write is not committed.
    NotCommitted,
    /// The write may or may not be committed.
    Unknown,
}

/// Write that a caller attempted, with its reported outcome.
#[derive(Clone, Debug)]
pub struct AttemptedWrite {
    /// Item that was written.
    pub item: String,
    /// Written data, unique in the run.
    pub data: String,
    /// Outcome reported to the caller.
    pub outcome: ReportedOutcome,
}

/// Operations of all callers and their results.
#[derive(Debug, Default)]
pub struct CallerHistory {
    /// Writes in order of completion.
    pub writes: Vec<AttemptedWrite>,
    /// Violations of invariants that a caller detected itself.
    pub violations: Vec<String>,
    /// Number of successful reads.
    pub reads: usize,
    /// Reads that did not return the session's last acknowledged write: the data read and that
    /// write. Allowed only if a promotion rolled the write back.
    pub regressions: Vec<(String, String)>,
    /// Requests whose connections ended before their answers were complete.
    pub cuts: Vec<CutRequest>,
}

impl CallerHistory {
    /// Records the reported outcome of a write.
    pub(crate) fn record_write(&mut self, item: &str, data: &str, outcome: ReportedOutcome) {
        let (item, data) = (item.to_owned(), data.to_owned());
        self.writes.push(AttemptedWrite { item, data, outcome });
    }
}

/// History shared by all callers.
pub type SharedHistory = Arc<Mutex<CallerHistory>>;

/// One caller; only it writes its item.
pub struct SoakCaller {
    number: u32,
    rng: StdRng,
    addresses: Vec<SocketAddr>,
    history: SharedHistory,
    last_operation: u32,
}

/// Open session with an instance.
pub(crate) struct CallerSession {
    /// The connection has ended, or its answers are out of step with the requests.
    pub(crate) is_lost: bool,
    lines: tokio::io::Lines<BufReader<tokio::net::tcp::OwnedReadHalf>>,
    writer: tokio::net::tcp::OwnedWriteHalf,
    address: SocketAddr,
    history: SharedHistory,
}

impl CallerSession {
    /// Opens a session with the callers' key. Returns `None` if the instance refuses it.
    pub(crate) async fn open(
        address: SocketAddr,
        database: &str,
        history: &SharedHistory,
    ) -> Option<Self> {
        let mut session = Self::connect(address, history.clone()).await?;
        let response =
            session.exchange(&format!("STARTUP {database} {CALLER_API_KEY}\r\n")).await?;
        response.first()?.starts_with("READY").then_some(session)
    }

    /// Returns the first line of the answer to a new session, or `None` if there is none.
    pub(crate) async fn open_with(
        address: SocketAddr,
        database: &str,
        key: &str,
    ) -> Option<String> {
        let mut session = Self::connect(address, SharedHistory::default()).await?;
        let startup = format!("STARTUP {database} {key}\r\n");
        session.writer.write_all(startup.as_bytes()).await.ok()?;
        timeout(RESPONSE_TIMEOUT, session.lines.next_line()).await.ok()?.ok()?
    }

    async fn connect(address: SocketAddr, history: SharedHistory) -> Option<Self> {
        let stream = timeout(RESPONSE_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
        let (reader, writer) = stream.into_split();
        let lines = BufReader::new(reader).lines();
        Some(Self { is_lost: false, lines, writer, address, history })
    }

    /// Sends a line and returns the lines of the response, or `None` if it is incomplete.
    pub(crate) async fn exchange(&mut self, line: &str) -> Option<Vec<String>> {
        if self.writer.write_all(line.as_bytes()).await.is_err() {
            self.is_lost = true;
            return None;
        }
        let sent_at = Instant::now();
        let mut response = Vec::new();
        loop {
            let received = timeout(RESPONSE_TIMEOUT, self.lines.next_line()).await;
            let Ok(Ok(Some(received))) = received else {
                self.is_lost = true;
                if received.is_ok() {
                    self.record_cut(line, sent_at);
                }
                return None;
            };
            let is_last = received.starts_with("READY");
            response.push(received.trim_end().to_owned());
            if is_last {
                return Some(response);
            }
        }
    }

    /// Records that the connection ended before the answer to a statement was complete.
    fn record_cut(&self, line: &str, sent_at: Instant) {
        let id = line.strip_prefix("QUERY ").and_then(|line| line.split(' ').next());
        if let Some(id) = id {
            let (address, id, ended_at) = (self.address, id.to_owned(), Instant::now());
            self.history.lock().cuts.push(CutRequest { address, id, sent_at, ended_at });
        }
    }
}

pub(crate) fn error_code(response: &[String]) -> Option<&str> {
    response.iter().find_map(|line| line.strip_prefix("ERROR ")?.split(' ').next())
}

pub(crate) fn reported_outcome(response: Option<&[String]>) -> ReportedOutcome {
    match response.map(error_code) {
        Some(None) => ReportedOutcome::Acknowledged,
        Some(Some("BUSY" | "ABORTED" | "LAGGING" | "READONLY" | "NOAUTH" | "NODB")) => {
            ReportedOutcome::NotCommitted
        }
        Some(Some(_)) | None => ReportedOutcome::Unknown,
    }
}

impl SoakCaller {
    /// Creates a caller whose random choices depend on `seed` and `number`.
    pub fn new(number: u32, seed: u64, addresses: Vec<SocketAddr>, history: SharedHistory) -> Self {
        // Without the multiplication, a caller would repeat another caller of a neighbouring seed.
        let rng = StdRng::seed_from_u64(seed ^ u64::from(number).wrapping_mul(0x9e37_79b9));
        Self { number, rng, addresses, history, last_operation: 0 }
    }

    /// Opens one session after another until `stop` is set.
    pub async fn run(mut self, stop: watch::Receiver<bool>) {
        while !*stop.borrow() {
            let address = self.addresses[self.rng.random_range(0..self.addresses.len())];
            let database = if self.rng.random_bool(0.5) { "own" } else { "strict" };
            if let Some(session) = CallerSession::open(address, database, &self.history).await {
                self.run_session(session).await;
            }
            sleep(Duration::from_millis(self.rng.random_range(5..60))).await;
        }
    }

    /// Runs a random number of operations in one session.
    async fn run_session(&mut self, mut session: CallerSession) {
        let mut last_write: Option<String> = None;
        for _ in 0..self.rng.random_range(1..8) {
            let item = format!("i{}", self.number);
            let result = match self.rng.random_range(0..3) {
                0 => self.write(&mut session, &item).await,
                1 => self.run_transaction(&mut session, &item).await,
                _ => {
                    if self.read(&mut session, &item, last_write.as_deref()).await.is_none() {
                        return;
                    }
                    continue;
                }
            };
            match result {
                Some((data, ReportedOutcome::Acknowledged)) => last_write = Some(data),
                // After an unknown outcome either value is a valid read.
                Some((_, ReportedOutcome::Unknown)) => last_write = None,
                Some((_, ReportedOutcome::NotCommitted)) => {}
                None => return,
            }
            sleep(Duration::from_millis(self.rng.random_range(0..25))).await;
        }
        // The connection is closed next, so a failure to send does not matter.
        let _ = session.writer.write_all(b"TERMINATE\r\n").await;
    }

    fn next_id(&mut self, kind: char) -> String {
        self.last_operation += 1;
        format!("{kind}{}n{}", self.number, self.last_operation)
    }

    async fn write(
        &mut self,
        session: &mut CallerSession,
        item: &str,
    ) -> Option<(String, ReportedOutcome)> {
        let data = self.next_id('w');
        let response = session.exchange(&format!("QUERY {data} WRITE {item} {data}\r\n")).await;
        self.record_write(item, &data, reported_outcome(response.as_deref()));
        response.map(|response| (data, reported_outcome(Some(&response))))
    }

    async fn run_transaction(
        &mut self,
        session: &mut CallerSession,
        item: &str,
    ) -> Option<(String, ReportedOutcome)> {
        let data = self.next_id('t');
        let steps = ["BEGIN".to_owned(), format!("WRITE {item} {data}"), format!("READ {item}")];
        for (step, text) in steps.iter().enumerate() {
            let response = session.exchange(&format!("QUERY {data}s{step} {text}\r\n")).await;
            let Some(response) = response else {
                // `COMMIT` was not sent, so the write cannot be committed.
                self.record_write(item, &data, ReportedOutcome::NotCommitted);
                return None;
            };
            if error_code(&response).is_some() {
                self.record_write(item, &data, ReportedOutcome::NotCommitted);
                session.exchange(&format!("QUERY {data}r ROLLBACK\r\n")).await?;
                return Some((data, ReportedOutcome::NotCommitted));
            }
            sleep(Duration::from_millis(self.rng.random_range(0..20))).await;
        }
        let response = session.exchange(&format!("QUERY {data}c COMMIT\r\n")).await;
        self.record_write(item, &data, reported_outcome(response.as_deref()));
        response.map(|response| (data, reported_outcome(Some(&response))))
    }

    /// Reads an item that only this caller writes. Returns `None` if the session is lost.
    async fn read(
        &mut self,
        session: &mut CallerSession,
        item: &str,
        last_write: Option<&str>,
    ) -> Option<()> {
        let id = self.next_id('r');
        let response = session.exchange(&format!("QUERY {id} READ {item}\r\n")).await?;
        if error_code(&response).is_some() {
            return Some(());
        }
        let value = response.iter().find_map(|line| line.strip_prefix("ROW")).map(str::trim);
        let mut history = self.history.lock();
        history.reads += 1;
        match value {
            None => {
                history.violations.push(format!("read {id} succeeded without a row: {response:?}"))
            }
            Some(value) if last_write.is_some_and(|last_write| last_write != value) => {
                let last_write = last_write.unwrap_or_default().to_owned();
                history.regressions.push((value.to_owned(), last_write));
            }
            Some(_) => {}
        }
        Some(())
    }

    fn record_write(&self, item: &str, data: &str, outcome: ReportedOutcome) {
        self.history.lock().record_write(item, data, outcome);
    }
}
