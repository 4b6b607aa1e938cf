//! Stand-in for the platform's store and for its promotion service, as PROTOCOL.md tells them.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::json::{Json, decode_base64, encode_base64};
use crate::record::SharedRecorder;

/// Duration of a transaction; `platform.transaction_ms`.
const TRANSACTION_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Row {
    value: Option<Vec<u8>>,
    version: u64,
}

type RowKey = (String, String, String);

#[derive(Clone, Default)]
struct Rows {
    rows: BTreeMap<RowKey, Row>,
    version: u64,
}

#[derive(Default)]
struct State {
    content: Rows,
    era: u64,
    is_away: bool,
}

/// Copy of the store from which it can come back.
#[derive(Clone)]
pub struct StoreCopy(Rows);

/// Answer of the promotion service: status, or none at all.
pub type PromotionHandler = Box<dyn Fn(&str, &str, &str, u64) -> Option<u16> + Send + Sync>;

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    started_at: Instant,
    record: SharedRecorder,
    on_promotion: Mutex<Option<Arc<PromotionHandler>>>,
}

impl Store {
    pub fn start(record: SharedRecorder) -> std::io::Result<(Arc<Self>, SocketAddr, SocketAddr)> {
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            started_at: Instant::now(),
            record,
            on_promotion: Mutex::default(),
        });
        let rows_address = store.clone().listen(false)?;
        let promotion_address = store.clone().listen(true)?;
        Ok((store, rows_address, promotion_address))
    }

    fn listen(self: Arc<Self>, is_promotion: bool) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = self.clone();
                thread::spawn(move || {
                    let _ = store.serve(stream, is_promotion);
                });
            }
        });
        Ok(address)
    }

    pub fn set_promotion_handler(&self, handler: PromotionHandler) {
        *self.on_promotion.lock().unwrap() = Some(Arc::new(handler));
    }

    /// Writes a row as the operator or a member does; returns its version, or `None` while the store
    /// is away.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) -> Option<u64> {
        let mut state = self.state.lock().unwrap();
        if state.is_away {
            return None;
        }
        state.content.version += 1;
        let version = state.content.version;
        let row = Row { value: value.map(|text| text.as_bytes().to_vec()), version };
        state.content.rows.insert((table.to_owned(), String::new(), key.to_owned()), row);
        drop(state);
        self.changed.notify_all();
        Some(version)
    }

    pub fn text(&self, table: &str, key: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        let key = (table.to_owned(), String::new(), key.to_owned());
        let value = state.content.rows.get(&key)?.value.clone()?;
        String::from_utf8(value).ok()
    }

    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.state.lock().unwrap().content.clone())
    }

    /// Takes the store away: calls are not answered.
    pub fn go_away(&self) {
        self.state.lock().unwrap().is_away = true;
        self.changed.notify_all();
        self.record.line("store: away".to_owned());
    }

    /// Brings the store back from a copy; its era rises by one.
    pub fn come_back(&self, copy: StoreCopy) {
        let mut state = self.state.lock().unwrap();
        let lost = state.content.version;
        state.content = copy.0;
        state.era += 1;
        state.is_away = false;
        let (version, era) = (state.content.version, state.era);
        drop(state);
        self.changed.notify_all();
        self.record.line(format!("store: back from a copy, version {lost} -> {version}, era {era}"));
    }

    fn now_ms(&self) -> u128 {
        self.started_at.elapsed().as_millis()
    }

    fn serve(&self, stream: TcpStream, is_promotion: bool) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let mut words = line.split_whitespace();
            let (method, target) =
                (words.next().unwrap_or("").to_owned(), words.next().unwrap_or("").to_owned());
            let mut headers = HashMap::new();
            loop {
                let mut header = String::new();
                if reader.read_line(&mut header)? == 0 || header.trim().is_empty() {
                    break;
                }
                if let Some((name, value)) = header.split_once(':') {
                    headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
                }
            }
            let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
            let mut body = vec![0; length];
            reader.read_exact(&mut body)?;
            let body = String::from_utf8_lossy(&body).into_owned();
            let answer = match is_promotion {
                true => self.promote(&method, &target, &headers, &body),
                false => self.answer(&method, &target, &body),
            };
            let Some((status, body)) = answer else {
                return Ok(());
            };
            let era = self.state.lock().unwrap().era;
            let era = if is_promotion { String::new() } else { format!("Store-Era: {era}\r\n") };
            write!(
                writer,
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n{era}Content-Length: {}\r\n\r\n{body}",
                body.len()
            )?;
        }
    }

    fn promote(
        &self,
        method: &str,
        target: &str,
        headers: &HashMap<String, String>,
        body: &str,
    ) -> Option<(u16, String)> {
        if (method, target) != ("POST", "/promotion") {
            return Some((404, String::new()));
        }
        let body = Json::parse(body)?;
        let holder = headers.get("hibiscusworks-lease-holder").cloned().unwrap_or_default();
        let token = headers.get("hibiscusworks-fencing-token")?.parse().ok()?;
        let (service, id) = (body.text("service"), body.text("id"));
        let handler = self.on_promotion.lock().unwrap().clone();
        let status = handler.map_or(Some(503), |handler| handler(&service, &id, &holder, token));
        let shown = status.map_or("none".to_owned(), |status| status.to_string());
        self.record.line(format!(
            "platform: POST /promotion service={service} id={id} holder={holder} token={token} answer={shown}"
        ));
        Some((status?, "{}".to_owned()))
    }

    fn answer(&self, method: &str, target: &str, body: &str) -> Option<(u16, String)> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), decode_percent(value)))
            .collect();
        let query = |name: &str| query.get(name).cloned().unwrap_or_default();
        match (method, path) {
            ("GET", "/v1/rows-get") => {
                let state = self.state.lock().unwrap();
                if state.is_away {
                    return None;
                }
                let (table, part, from, to) = (query("table"), query("part"), query("from"), query("to"));
                let rows = state.content.rows.iter().filter(|((of, in_part, key), row)| {
                    *of == table
                        && *in_part == part
                        && *key >= from
                        && (to.is_empty() || *key < to)
                        && row.value.is_some()
                });
                let rows: Vec<String> = rows.map(|(key, row)| row_json(key, row)).collect();
                Some((200, self.rows_json(&rows, state.content.version)))
            }
            ("GET", "/v1/rows-feed") => {
                let after: u64 = query("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(query("wait_ms").parse().unwrap_or(0));
                self.feed(&query("table"), after, wait.min(Duration::from_secs(30)))
            }
            ("POST", "/v1/rows-tx") => {
                thread::sleep(TRANSACTION_TIME);
                self.transact(&Json::parse(body)?)
            }
            _ => Some((404, String::new())),
        }
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> Option<(u16, String)> {
        let deadline = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        let era = state.era;
        loop {
            if state.is_away || state.era != era {
                return None;
            }
            if after > state.content.version {
                return Some((410, String::new()));
            }
            let changed = state.content.rows.iter();
            let changed = changed.filter(|((of, _, _), row)| of == table && row.version > after);
            let mut changed: Vec<(&RowKey, &Row)> = changed.collect();
            changed.sort_by_key(|(_, row)| row.version);
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !changed.is_empty() || remaining.is_zero() {
                let rows: Vec<String> = changed.iter().map(|(key, row)| row_json(key, row)).collect();
                return Some((200, self.rows_json(&rows, state.content.version)));
            }
            state = self.changed.wait_timeout(state, remaining).unwrap().0;
        }
    }

    fn transact(&self, body: &Json) -> Option<(u16, String)> {
        let key = |entry: &Json| (entry.text("table"), entry.text("part"), entry.text("key"));
        let mut state = self.state.lock().unwrap();
        if state.is_away {
            return None;
        }
        let mut written = body.list("puts").iter().chain(body.list("deletes"));
        if written.any(|entry| matches!(entry.text("table").as_str(), "op" | "servers")) {
            return Some((403, String::new()));
        }
        let current = |state: &State, entry: &Json| {
            let row = state.content.rows.get(&key(entry)).filter(|row| row.value.is_some());
            row.map_or(0, |row| row.version)
        };
        let expected = body.list("expected");
        if !expected.iter().all(|entry| entry.number("row_version") == Some(current(&state, entry))) {
            let rows = expected.iter().filter_map(|entry| {
                let key = key(entry);
                let row = state.content.rows.get(&key).filter(|row| row.value.is_some())?;
                Some(row_json(&key, row))
            });
            let rows: Vec<String> = rows.collect();
            return Some((412, self.rows_json(&rows, state.content.version)));
        }
        state.content.version += 1;
        let version = state.content.version;
        for entry in body.list("puts") {
            let value = Some(decode_base64(&entry.text("value")));
            state.content.rows.insert(key(entry), Row { value, version });
        }
        for entry in body.list("deletes") {
            state.content.rows.insert(key(entry), Row { value: None, version });
        }
        drop(state);
        self.changed.notify_all();
        Some((200, format!("{{\"row_version\":{version},\"now_ms\":{}}}", self.now_ms())))
    }

    fn rows_json(&self, rows: &[String], version: u64) -> String {
        let (rows, now) = (rows.join(","), self.now_ms());
        format!("{{\"rows\":[{rows}],\"has_more\":false,\"row_version\":{version},\"now_ms\":{now}}}")
    }
}

fn row_json((table, part, key): &RowKey, row: &Row) -> String {
    let content = match &row.value {
        Some(value) => format!("\"value\":\"{}\"", encode_base64(value)),
        None => "\"tombstone\":true".to_owned(),
    };
    format!(
        "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",{content},\"row_version\":{}}}",
        row.version
    )
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3).and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                out.push(code);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
