//! Stand-in for the platform: the metadata store and the promotion service.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::json::{Json, base64};

/// Duration of a transaction of the store.
const TRANSACTION_TIME: Duration = Duration::from_millis(4);
/// Time without a heartbeat after which the entry of a member is removed: three intervals.
const ENTRY_TTL: Duration = Duration::from_millis(3 * 1_200);

#[derive(Clone)]
struct Row {
    /// Base64 of the value; `None` after the row was deleted.
    value: Option<String>,
    version: u64,
    written_at: Instant,
}

type RowKey = (String, String, String);

#[derive(Default)]
struct StoreState {
    rows: BTreeMap<RowKey, Row>,
    newest: u64,
}

/// Request to promote a member.
#[derive(Clone, Debug)]
pub struct PromotionRequest {
    pub service: String,
    pub member: String,
    pub token: u64,
}

/// Carries out a promotion; returns whether the member exists and runs.
pub type PromotionHandler = Box<dyn Fn(&PromotionRequest) -> bool + Send + Sync>;

/// Metadata store and promotion service on loopback addresses.
pub struct Platform {
    started_at: Instant,
    state: Mutex<StoreState>,
    changed: Condvar,
    fences: Mutex<BTreeMap<String, u64>>,
    /// Requests for promotions are not answered and not carried out.
    is_promotion_down: AtomicBool,
    handler: PromotionHandler,
    pub store_address: SocketAddr,
    pub promotion_address: SocketAddr,
}

impl Platform {
    /// Starts both services.
    pub fn start(handler: PromotionHandler) -> Arc<Self> {
        let store = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let promotion = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let platform = Arc::new(Self {
            started_at: Instant::now(),
            state: Mutex::default(),
            changed: Condvar::new(),
            fences: Mutex::default(),
            is_promotion_down: AtomicBool::new(false),
            handler,
            store_address: store.local_addr().expect("an address"),
            promotion_address: promotion.local_addr().expect("an address"),
        });
        for listener in [store, promotion] {
            let platform = platform.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let platform = platform.clone();
                    thread::spawn(move || platform.serve(stream));
                }
            });
        }
        let sweeper = platform.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                sweeper.remove_silent_members();
            }
        });
        platform
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().expect("no holder panics")
    }

    /// Takes the promotion service down.
    pub fn stop_promotions(&self) {
        self.is_promotion_down.store(true, Ordering::Relaxed);
    }

    /// Writes a row of the operator or of a member, and returns when it is acknowledged.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        thread::sleep(TRANSACTION_TIME);
        let row_key = (table.to_owned(), String::new(), key.to_owned());
        self.write(&mut self.lock(), vec![(row_key, Some(base64(value.as_bytes())))]);
    }

    /// Returns whether a row exists.
    pub fn has_row(&self, table: &str, key: &str) -> bool {
        let row_key = (table.to_owned(), String::new(), key.to_owned());
        self.lock().rows.get(&row_key).is_some_and(|row| row.value.is_some())
    }

    fn write(&self, state: &mut StoreState, rows: Vec<(RowKey, Option<String>)>) {
        state.newest += 1;
        let (version, written_at) = (state.newest, Instant::now());
        for (key, value) in rows {
            state.rows.insert(key, Row { value, version, written_at });
        }
        self.changed.notify_all();
    }

    fn remove_silent_members(&self) {
        let mut state = self.lock();
        let is_silent = |(key, row): (&RowKey, &Row)| {
            let silent = key.0 == "servers" && row.value.is_some();
            (silent && row.written_at.elapsed() > ENTRY_TTL).then(|| key.clone())
        };
        let silent: Vec<RowKey> = state.rows.iter().filter_map(is_silent).collect();
        for key in silent {
            self.write(&mut state, vec![(key, None)]);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut writer = stream.try_clone().expect("a second handle");
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        if !matches!(reader.read_line(&mut line), Ok(1..)) {
            return;
        }
        let target = line.split(' ').nth(1).unwrap_or_default().to_owned();
        let mut headers = BTreeMap::new();
        loop {
            line.clear();
            if !matches!(reader.read_line(&mut line), Ok(1..)) {
                return;
            }
            let Some((name, value)) = line.trim_end().split_once(':') else {
                break;
            };
            headers.insert(name.to_lowercase(), value.trim().to_owned());
        }
        let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        if reader.read_exact(&mut body).is_err() {
            return;
        }
        let body = String::from_utf8_lossy(&body).into_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query: BTreeMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, decode_percent(value)))
            .collect();
        let (status, answer) = match path {
            "/v1/rows-tx" => self.run_transaction(&body),
            "/v1/rows-get" => (200, self.read_rows(&query)),
            "/v1/rows-feed" => (200, self.read_changes(&query)),
            "/promotion" => match self.promote(&headers, &body) {
                Some(status) => (status, "{}".to_owned()),
                None => return,
            },
            _ => (404, "{}".to_owned()),
        };
        let response = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 1\r\n\
             Content-Length: {}\r\nConnection: close\r\n\r\n{answer}",
            answer.len()
        );
        // The caller may have given up.
        let _ = writer.write_all(response.as_bytes());
    }

    fn run_transaction(&self, body: &str) -> (u16, String) {
        thread::sleep(TRANSACTION_TIME);
        let Some(body) = Json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let key_of = |row: &Json| {
            let text = |name| row.text(name).to_owned();
            (text("table"), text("part"), text("key"))
        };
        let mut state = self.lock();
        let version_of = |state: &StoreState, key: &RowKey| {
            state.rows.get(key).filter(|row| row.value.is_some()).map_or(0, |row| row.version)
        };
        let expected = body.list("expected");
        if expected.iter().any(|row| version_of(&state, &key_of(row)) != row.number("row_version"))
        {
            let keys: Vec<RowKey> = expected.iter().map(key_of).collect();
            let rows = keys.iter().filter_map(|key| Some((key, state.rows.get(key)?)));
            let rows = rows.filter(|(_, row)| row.value.is_some());
            return (412, self.encode_rows(rows, state.newest));
        }
        let puts =
            body.list("puts").iter().map(|row| (key_of(row), Some(row.text("value").into())));
        let deletes = body.list("deletes").iter().map(|row| (key_of(row), None));
        self.write(&mut state, puts.chain(deletes).collect());
        let now_ms = self.started_at.elapsed().as_millis();
        (200, format!("{{\"row_version\":{},\"now_ms\":{now_ms}}}", state.newest))
    }

    fn read_rows(&self, query: &BTreeMap<&str, String>) -> String {
        let empty = String::new();
        let parameter = |name| query.get(name).unwrap_or(&empty);
        let state = self.lock();
        let rows = state.rows.iter().filter(|((table, part, key), row)| {
            table == parameter("table")
                && part == parameter("part")
                && key >= parameter("from")
                && row.value.is_some()
        });
        self.encode_rows(rows, state.newest)
    }

    fn read_changes(&self, query: &BTreeMap<&str, String>) -> String {
        let number = |name| query.get(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let table = query.get("table").cloned().unwrap_or_default();
        let after = number("after");
        let deadline = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
        let mut state = self.lock();
        loop {
            let is_new = |(key, row): &(&RowKey, &Row)| key.0 == table && row.version > after;
            let mut rows: Vec<_> = state.rows.iter().filter(is_new).collect();
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !rows.is_empty() || remaining.is_zero() {
                rows.sort_by_key(|(_, row)| row.version);
                return self.encode_rows(rows.into_iter(), state.newest);
            }
            state = self.changed.wait_timeout(state, remaining).expect("no holder panics").0;
        }
    }

    fn encode_rows<'a>(
        &self,
        rows: impl Iterator<Item = (&'a RowKey, &'a Row)>,
        newest: u64,
    ) -> String {
        let encode = |((table, part, key), row): (&RowKey, &Row)| {
            let content = match &row.value {
                Some(value) => format!("\"value\":\"{value}\""),
                None => "\"tombstone\":true".to_owned(),
            };
            let version = row.version;
            format!(
                "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",{content},\
                 \"row_version\":{version}}}"
            )
        };
        let rows: Vec<String> = rows.map(encode).collect();
        let now_ms = self.started_at.elapsed().as_millis();
        format!(
            "{{\"rows\":[{}],\"has_more\":false,\"row_version\":{newest},\"now_ms\":{now_ms}}}",
            rows.join(",")
        )
    }

    /// Returns the status of the answer, or `None` if there is none.
    fn promote(&self, headers: &BTreeMap<String, String>, body: &str) -> Option<u16> {
        if self.is_promotion_down.load(Ordering::Relaxed) {
            // The caller's timeout ends the connection.
            thread::sleep(Duration::from_secs(10));
            return None;
        }
        let body = Json::parse(body)?;
        let token = headers.get("hibiscusworks-fencing-token")?.parse().ok()?;
        let request = PromotionRequest {
            service: body.text("service").to_owned(),
            member: body.text("id").to_owned(),
            token,
        };
        {
            let mut fences = self.fences.lock().expect("no holder panics");
            let newest = fences.entry(request.service.clone()).or_default();
            if request.token < *newest {
                return Some(409);
            }
            *newest = request.token;
        }
        Some(if (self.handler)(&request) { 200 } else { 409 })
    }
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        let digits = tail.get(..2).and_then(|digits| std::str::from_utf8(digits).ok());
        let decoded = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (first, decoded) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            _ => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
