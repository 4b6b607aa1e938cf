//! The platform's store and its promotion service.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::group::Group;
use crate::json::{Json, base64, quote};
use crate::{Recorder, sleep_ms};

/// Time that a transaction takes.
const TRANSACTION_MS: u64 = 4;
/// Time from an accepted promotion until the member leads.
const PROMOTE_MS: u64 = 300;

#[derive(Clone)]
struct Row {
    value: String,
    version: u64,
    is_tombstone: bool,
}

#[derive(Default)]
struct Content {
    /// Rows by table, part and key.
    rows: BTreeMap<(String, String, String), Row>,
    version: u64,
}

impl Content {
    fn write(&mut self, key: (String, String, String), value: Option<String>) {
        let (version, is_tombstone) = (self.version, value.is_none());
        let row = Row { value: value.unwrap_or_default(), version, is_tombstone };
        self.rows.insert(key, row);
    }
}

/// Answer to one order to promote, decided by the run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PromotionFate {
    /// Carried out and answered at once.
    Prompt,
    /// Not answered, and carried out after this time.
    Late(Duration),
}

/// Store, promotion service and the groups that it promotes members of.
pub struct Platform {
    content: Mutex<Content>,
    changed: Condvar,
    started_at: Instant,
    fences: Mutex<HashMap<String, u64>>,
    groups: Vec<Arc<Group>>,
    recorder: Recorder,
    /// Fate of the next orders; prompt if there is none.
    pub fates: Mutex<Vec<PromotionFate>>,
    /// The store answers all calls with 503.
    pub is_busy: AtomicBool,
}

struct Request {
    method: String,
    path: String,
    query: HashMap<String, String>,
    headers: HashMap<String, String>,
    body: String,
}

fn decode_percent(text: &str) -> String {
    let (bytes, mut out, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok()))
            .flatten();
        out.push(code.unwrap_or(bytes[at]));
        at += if code.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pair = |pair: &str| {
        let (name, value) = pair.split_once('=')?;
        Some((name.to_owned(), decode_percent(value)))
    };
    let query = query.split('&').filter_map(pair).collect();
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let Some((name, value)) = line.split_once(':') else {
            break;
        };
        headers.insert(name.trim().to_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let body = String::from_utf8(body).ok()?;
    Some(Request { method, path: path.to_owned(), query, headers, body })
}

fn respond(stream: &mut TcpStream, status: u16, body: &str) -> Option<()> {
    let head = format!(
        "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes()).ok()
}

impl Platform {
    pub fn new(groups: Vec<Arc<Group>>, recorder: &Recorder) -> Arc<Self> {
        Arc::new(Self {
            content: Mutex::default(),
            changed: Condvar::new(),
            started_at: Instant::now(),
            fences: Mutex::default(),
            groups,
            recorder: recorder.clone(),
            fates: Mutex::default(),
            is_busy: AtomicBool::new(false),
        })
    }

    /// Serves the store and the promotion service on two addresses.
    pub fn serve(self: &Arc<Self>, store: SocketAddr, cloud: SocketAddr) -> std::io::Result<()> {
        for address in [store, cloud] {
            let listener = TcpListener::bind(address)?;
            let platform = self.clone();
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let platform = platform.clone();
                    std::thread::spawn(move || platform.serve_connection(stream));
                }
            });
        }
        Ok(())
    }

    /// Writes a row as the operator or a member does.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        self.put_in_part(table, "", key, value);
    }

    /// Writes a row of any part.
    pub fn put_in_part(&self, table: &str, part: &str, key: &str, value: Option<&str>) {
        let mut content = self.content.lock().unwrap();
        content.version += 1;
        let row = (table.to_owned(), part.to_owned(), key.to_owned());
        content.write(row, value.map(base64));
        self.changed.notify_all();
    }

    fn serve_connection(self: Arc<Self>, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let request = read_request(&mut reader)?;
            let closes = request.headers.get("connection").is_some_and(|value| value == "close");
            let is_refused = self.is_busy.load(Ordering::Relaxed) && request.path != "/promotion";
            let (status, body) = match (request.method.as_str(), request.path.as_str()) {
                _ if is_refused => (503, "{}".to_owned()),
                ("GET", "/v1/rows-get") => self.get_rows(&request),
                ("GET", "/v1/rows-feed") => self.feed(&request),
                ("POST", "/v1/rows-tx") => self.transact(&request),
                ("POST", "/promotion") => match self.promote(&request) {
                    Some(answer) => answer,
                    None => {
                        // The caller waits for an answer that never comes.
                        let mut rest = Vec::new();
                        let _ = reader.read_to_end(&mut rest);
                        return None;
                    }
                },
                _ => (404, "{}".to_owned()),
            };
            respond(&mut writer, status, &body)?;
            if closes {
                return None;
            }
        }
    }

    fn now_ms(&self) -> u64 {
        50_000 + self.started_at.elapsed().as_millis() as u64
    }

    fn rows_body(&self, rows: &[(&(String, String, String), &Row)], version: u64) -> String {
        let row = |(key, row): &(&(String, String, String), &Row)| {
            let mut text = format!(
                "{{\"table\":{},\"part\":{},\"key\":{},\"row_version\":{}",
                quote(&key.0),
                quote(&key.1),
                quote(&key.2),
                row.version
            );
            match row.is_tombstone {
                true => text.push_str(",\"tombstone\":true}"),
                false => text.push_str(&format!(",\"value\":{}}}", quote(&row.value))),
            }
            text
        };
        let rows: Vec<String> = rows.iter().map(row).collect();
        format!(
            "{{\"rows\":[{}],\"has_more\":false,\"row_version\":{version},\"now_ms\":{}}}",
            rows.join(","),
            self.now_ms()
        )
    }

    fn get_rows(&self, request: &Request) -> (u16, String) {
        let field = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let (table, part, from) = (field("table"), field("part"), field("from"));
        let content = self.content.lock().unwrap();
        let matches = |(key, row): &(&(String, String, String), &Row)| {
            key.0 == table && key.1 == part && key.2 >= from && !row.is_tombstone
        };
        let rows: Vec<_> = content.rows.iter().filter(matches).collect();
        (200, self.rows_body(&rows, content.version))
    }

    fn feed(&self, request: &Request) -> (u16, String) {
        let field = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let table = field("table");
        let after: u64 = field("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(field("wait_ms").parse().unwrap_or(0));
        let deadline = Instant::now() + wait;
        let mut content = self.content.lock().unwrap();
        loop {
            let matches = |(key, row): &(&(String, String, String), &Row)| {
                key.0 == table && row.version > after
            };
            let mut rows: Vec<_> = content.rows.iter().filter(matches).collect();
            rows.sort_by_key(|(_, row)| row.version);
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !rows.is_empty() || remaining.is_zero() {
                return (200, self.rows_body(&rows, content.version));
            }
            content = self.changed.wait_timeout(content, remaining).unwrap().0;
        }
    }

    fn transact(&self, request: &Request) -> (u16, String) {
        sleep_ms(TRANSACTION_MS);
        let Some(body) = Json::parse(&request.body) else {
            return (400, "{}".to_owned());
        };
        let key = |row: &Json| (row.text("table"), row.text("part"), row.text("key"));
        let mut content = self.content.lock().unwrap();
        let entries = || body.list("puts").iter().chain(body.list("deletes"));
        if entries().any(|row| ["op", "servers"].contains(&row.text("table").as_str())) {
            return (403, "{}".to_owned());
        }
        let version = |content: &Content, row: &Json| {
            let known = content.rows.get(&key(row)).filter(|known| !known.is_tombstone);
            known.map_or(0, |known| known.version)
        };
        let expected = body.list("expected");
        if expected.iter().any(|row| version(&content, row) != row.number("row_version")) {
            let keys: Vec<_> = expected.iter().map(key).collect();
            let is_expected = |(key, row): &(&(String, String, String), &Row)| {
                keys.contains(key) && !row.is_tombstone
            };
            let rows: Vec<_> = content.rows.iter().filter(is_expected).collect();
            return (412, self.rows_body(&rows, content.version));
        }
        content.version += 1;
        for row in body.list("puts") {
            content.write(key(row), Some(row.text("value")));
        }
        for row in body.list("deletes") {
            content.write(key(row), None);
        }
        self.changed.notify_all();
        (200, format!("{{\"row_version\":{},\"now_ms\":{}}}", content.version, self.now_ms()))
    }

    /// Handles an order to promote. Returns `None` if it is not answered.
    fn promote(self: &Arc<Self>, request: &Request) -> Option<(u16, String)> {
        let body = Json::parse(&request.body)?;
        let (service, id) = (body.text("service"), body.text("id"));
        let header = |name: &str| request.headers.get(name).cloned().unwrap_or_default();
        let holder = header("hibiscusworks-lease-holder");
        let token: u64 = header("hibiscusworks-fencing-token").parse().ok()?;
        let order = format!("promote {id} of {service}, holder {holder}, token {token}");
        let fate = {
            let mut fates = self.fates.lock().unwrap();
            if fates.is_empty() { PromotionFate::Prompt } else { fates.remove(0) }
        };
        match fate {
            PromotionFate::Prompt => {
                let status = self.carry_out(&service, &id, token);
                self.recorder.line(&format!("cloud: {order}: answered {status}"));
                Some((status, "{}".to_owned()))
            }
            PromotionFate::Late(delay) => {
                self.recorder.line(&format!("cloud: {order}: no answer"));
                let platform = self.clone();
                std::thread::spawn(move || {
                    std::thread::sleep(delay);
                    let status = platform.carry_out(&service, &id, token);
                    platform.recorder.line(&format!("cloud: {order}: carried out, {status}"));
                });
                None
            }
        }
    }

    /// Checks the fence of an order and starts the promotion.
    fn carry_out(&self, service: &str, id: &str, token: u64) -> u16 {
        let Some(group) = self.groups.iter().find(|group| group.service == service) else {
            return 404;
        };
        let mut fences = self.fences.lock().unwrap();
        let seen = fences.entry(service.to_owned()).or_default();
        if token < *seen {
            return 409;
        }
        *seen = token;
        if !group.is_running(id) {
            return 409;
        }
        if !group.is_leader(id) {
            let (group, id) = (group.clone(), id.to_owned());
            std::thread::spawn(move || {
                sleep_ms(PROMOTE_MS);
                group.promote(&id);
            });
        }
        200
    }
}
