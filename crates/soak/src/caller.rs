//! Callers that write, read their own writes and remember what they were told.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Key of the callers' team.
pub const CALLER_KEY: &str = "soak-key";
/// Time in which an answer must come; the route's limit is 800 ms.
const ANSWER_LIMIT: Duration = Duration::from_secs(6);

/// What a caller was told about a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ToldOutcome {
    /// It is kept.
    Acknowledged,
    /// Nothing of it is kept.
    NotKept,
    /// Nothing is known.
    Unknown,
}

/// Write with what the caller was told.
#[derive(Clone, Debug)]
pub struct TriedWrite {
    /// Item.
    pub item: String,
    /// Data, unique over the run.
    pub data: String,
    /// What the caller was told.
    pub told: ToldOutcome,
}

/// What callers saw.
#[derive(Debug, Default)]
pub struct CallerHistory {
    /// Writes in the order in which they ended.
    pub writes: Vec<TriedWrite>,
    /// Breaches of promises that a caller saw itself.
    pub breaches: Vec<String>,
    /// Reads that were answered.
    pub reads: usize,
    /// Data of a read that showed something older than the session's own acknowledged write, with
    /// that write; allowed only if the write was rolled back by a promotion.
    pub regressions: Vec<(String, String)>,
}

/// History shared by all callers.
pub type SharedHistory = Arc<Mutex<CallerHistory>>;

/// One caller.
pub struct SoakCaller {
    number: u32,
    random: StdRng,
    addresses: Vec<SocketAddr>,
    history: SharedHistory,
    next: u32,
}

/// Open session.
struct LineSession {
    lines: tokio::io::Lines<BufReader<tokio::net::tcp::OwnedReadHalf>>,
    writer: tokio::net::tcp::OwnedWriteHalf,
}

impl LineSession {
    async fn open(address: SocketAddr, database: &str) -> Option<Self> {
        let stream = timeout(ANSWER_LIMIT, TcpStream::connect(address)).await.ok()?.ok()?;
        let (reader, writer) = stream.into_split();
        let mut session = Self { lines: BufReader::new(reader).lines(), writer };
        let answer = session.exchange(&format!("STARTUP {database} {CALLER_KEY}\r\n")).await?;
        answer.first()?.starts_with("READY").then_some(session)
    }

    /// Sends a line and returns the lines of the answer; none if it did not come whole.
    async fn exchange(&mut self, line: &str) -> Option<Vec<String>> {
        self.writer.write_all(line.as_bytes()).await.ok()?;
        let mut answer = Vec::new();
        loop {
            let line = timeout(ANSWER_LIMIT, self.lines.next_line()).await.ok()?.ok()??;
            let last = line.starts_with("READY");
            answer.push(line.trim_end().to_owned());
            if last {
                return Some(answer);
            }
        }
    }
}

fn error_of(answer: &[String]) -> Option<&str> {
    answer.iter().find_map(|line| line.strip_prefix("ERROR ")?.split(' ').next())
}

fn told(answer: Option<&[String]>) -> ToldOutcome {
    match answer.map(error_of) {
        Some(None) => ToldOutcome::Acknowledged,
        Some(Some("BUSY" | "ABORTED" | "LAGGING" | "READONLY" | "NOAUTH" | "NODB")) => {
            ToldOutcome::NotKept
        }
        Some(Some(_)) | None => ToldOutcome::Unknown,
    }
}

impl SoakCaller {
    /// Creates a caller with its own stream of choices.
    pub fn new(number: u32, seed: u64, addresses: Vec<SocketAddr>, history: SharedHistory) -> Self {
        let random = StdRng::seed_from_u64(seed ^ u64::from(number).wrapping_mul(0x9e37_79b9));
        Self { number, random, addresses, history, next: 0 }
    }

    /// Works until told to stop.
    pub async fn run(mut self, stop: watch::Receiver<bool>) {
        while !*stop.borrow() {
            let address = self.addresses[self.random.random_range(0..self.addresses.len())];
            let database = if self.random.random_bool(0.5) { "own" } else { "strict" };
            if let Some(session) = LineSession::open(address, database).await {
                self.work(session).await;
            }
            sleep(Duration::from_millis(self.random.random_range(5..60))).await;
        }
    }

    /// Runs some operations in one session.
    async fn work(&mut self, mut session: LineSession) {
        let mut own: Option<String> = None;
        for _ in 0..self.random.random_range(1..8) {
            let item = format!("i{}", self.number);
            let kept = match self.random.random_range(0..3) {
                0 => self.write(&mut session, &item).await,
                1 => self.transact(&mut session, &item).await,
                _ => {
                    if self.read(&mut session, &item, own.as_deref()).await.is_none() {
                        return;
                    }
                    continue;
                }
            };
            match kept {
                Some((data, ToldOutcome::Acknowledged)) => own = Some(data),
                // What may or may not be there makes later reads undecided.
                Some((_, ToldOutcome::Unknown)) => own = None,
                Some((_, ToldOutcome::NotKept)) => {}
                None => return,
            }
            sleep(Duration::from_millis(self.random.random_range(0..25))).await;
        }
        // The session ends anyway; an instance that is gone needs no farewell.
        let _ = session.writer.write_all(b"TERMINATE\r\n").await;
    }

    fn fresh(&mut self, kind: char) -> String {
        self.next += 1;
        format!("{kind}{}n{}", self.number, self.next)
    }

    async fn write(
        &mut self,
        session: &mut LineSession,
        item: &str,
    ) -> Option<(String, ToldOutcome)> {
        let data = self.fresh('w');
        let answer = session.exchange(&format!("QUERY {data} WRITE {item} {data}\r\n")).await;
        self.note(item, &data, told(answer.as_deref()));
        answer.map(|answer| (data, told(Some(&answer))))
    }

    async fn transact(
        &mut self,
        session: &mut LineSession,
        item: &str,
    ) -> Option<(String, ToldOutcome)> {
        let data = self.fresh('t');
        let steps = ["BEGIN".to_owned(), format!("WRITE {item} {data}"), format!("READ {item}")];
        for (step, text) in steps.iter().enumerate() {
            let answer = session.exchange(&format!("QUERY {data}s{step} {text}\r\n")).await;
            let Some(answer) = answer else {
                // Without a commit nothing can be kept, whatever became of the connection.
                self.note(item, &data, ToldOutcome::NotKept);
                return None;
            };
            if error_of(&answer).is_some() {
                self.note(item, &data, ToldOutcome::NotKept);
                session.exchange(&format!("QUERY {data}r ROLLBACK\r\n")).await?;
                return Some((data, ToldOutcome::NotKept));
            }
            sleep(Duration::from_millis(self.random.random_range(0..20))).await;
        }
        let answer = session.exchange(&format!("QUERY {data}c COMMIT\r\n")).await;
        self.note(item, &data, told(answer.as_deref()));
        answer.map(|answer| (data, told(Some(&answer))))
    }

    /// Reads an item that only this caller writes; none if the session is lost.
    async fn read(
        &mut self,
        session: &mut LineSession,
        item: &str,
        own: Option<&str>,
    ) -> Option<()> {
        let id = self.fresh('r');
        let answer = session.exchange(&format!("QUERY {id} READ {item}\r\n")).await?;
        if error_of(&answer).is_some() {
            return Some(());
        }
        let shown = answer.iter().find_map(|line| line.strip_prefix("ROW")).map(str::trim);
        let mut history = self.history.lock();
        history.reads += 1;
        match shown {
            None => history.breaches.push(format!("{id}: success without a row: {answer:?}")),
            Some(shown) if own.is_some_and(|own| own != shown) => {
                let own = own.unwrap_or_default().to_owned();
                history.regressions.push((shown.to_owned(), own));
            }
            Some(_) => {}
        }
        Some(())
    }

    fn note(&self, item: &str, data: &str, told: ToldOutcome) {
        let (item, data) = (item.to_owned(), data.to_owned());
        self.history.lock().writes.push(TriedWrite { item, data, told });
    }
}
