//! The platform's row store and promotion service, with injectable faults.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use axum::extract::{Query, State};
use axum::http::{HeaderMap, HeaderValue, StatusCode};
use axum::middleware::map_response;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::Notify;

use super::group::SharedGroup;
use super::store_content::{StoreContent, StoreCopy, StoredRow};

/// Time between the acceptance of a promotion and the change of the leader.
const PROMOTION_DURATION: Duration = Duration::from_millis(60);
/// Time for which an order that gets no answer is left open.
const NO_ANSWER_DURATION: Duration = Duration::from_secs(30);
/// Header that numbers the histories of the store.
const ERA_HEADER: &str = "Store-Era";

/// Promotion request that the service accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromotionRequest {
    /// Service whose leader changes.
    pub service: String,
    /// Member that becomes the leader.
    pub endpoint: String,
    /// Instance that holds the promotion lease.
    pub holder: String,
    /// Fencing token of the promotion lease.
    pub token: u64,
}

/// Time for which an answer is held after it was decided.
#[derive(Clone, Copy, Debug)]
struct AnswerDelay(Duration);

#[derive(Debug, Default)]
struct StoreState {
    content: StoreContent,
    /// Number of times that the store was restored from a copy.
    restore_count: u64,
    /// Lowest version from which a poll for changes can continue.
    history_start: u64,
    unavailable: bool,
    /// Transactions are refused with status 429.
    refuses_writes: bool,
    /// Time for which answers are held after they were decided.
    answer_delay: Duration,
    /// Table whose reads are refused with status 429.
    refused_table: Option<String>,
    /// Rows that answers about a table contain as they are, by table.
    raw_rows: Vec<(String, Value)>,
    promotions: Vec<PromotionRequest>,
    /// Delays of the next orders to promote, which get no answer.
    late_promotions: VecDeque<Duration>,
    /// Orders to promote that arrived, whatever became of them.
    orders: Vec<PromotionRequest>,
    /// Number of reads and polls for changes that arrived, by table.
    read_counts: HashMap<String, u64>,
}

impl StoreState {
    /// Returns the number of the present history, from one.
    fn era(&self) -> u64 {
        self.restore_count + 1
    }

    fn record_read(&mut self, table: &str) {
        *self.read_counts.entry(table.to_owned()).or_default() += 1;
    }

    /// Names the present history in an answer.
    fn answer(&self, answer: impl IntoResponse) -> Response {
        let mut response = answer.into_response();
        response.headers_mut().insert(ERA_HEADER, HeaderValue::from(self.era()));
        response.extensions_mut().insert(AnswerDelay(self.answer_delay));
        response
    }

    fn answer_rows(&self, rows: Vec<Value>, now_ms: u64) -> Response {
        let version = self.content.version;
        self.answer(Json(
            json!({ "rows": rows, "has_more": false, "row_version": version, "now_ms": now_ms }),
        ))
    }

    fn raw_rows<'a>(&'a self, table: &'a str) -> impl Iterator<Item = Value> + 'a {
        self.raw_rows.iter().filter(move |(of, _)| of == table).map(|(_, row)| row.clone())
    }
}

/// Stand-in for the row store and the promotion service; clones share their state.
#[derive(Clone, Debug)]
pub struct RowStore {
    state: Arc<Mutex<StoreState>>,
    /// Groups by the name of their service.
    groups: Arc<Mutex<HashMap<String, SharedGroup>>>,
    changed: Arc<Notify>,
    started_at: Instant,
}

impl Default for RowStore {
    fn default() -> Self {
        Self {
            state: Arc::default(),
            groups: Arc::default(),
            changed: Arc::default(),
            started_at: Instant::now(),
        }
    }
}

impl RowStore {
    /// Serves the store and the promotion service on a free loopback port and returns the address.
    pub async fn serve(&self) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let router = Router::new()
            .route("/v1/rows-get", get(rows_get))
            .route("/v1/rows-feed", get(rows_feed))
            .route("/v1/rows-tx", post(rows_tx))
            .layer(map_response(delay_answer))
            .route("/promotion", post(promote))
            .with_state(self.clone());
        tokio::spawn(async move { axum::serve(listener, router).await });
        Ok(address)
    }

    /// Registers a group with the promotion service.
    pub fn register_group(&self, group: SharedGroup) {
        let service = group.lock().service.clone();
        self.groups.lock().insert(service, group);
    }

    /// Writes a row as an operator or a database member would.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        self.put_bytes(table, key, Some(value.to_string().into_bytes()));
    }

    /// Writes a row with arbitrary content, or deletes it if `value` is `None`.
    pub fn put_bytes(&self, table: &str, key: &str, value: Option<Vec<u8>>) {
        self.state.lock().content.put(table, key, value);
        self.changed.notify_waiters();
    }

    /// Returns whether a row exists.
    pub fn has_row(&self, table: &str, key: &str) -> bool {
        self.state.lock().content.row(table, key).is_some()
    }

    /// Returns the version of a row; zero if it does not exist.
    pub fn row_version(&self, table: &str, key: &str) -> u64 {
        self.state.lock().content.row(table, key).map_or(0, |row| row.version)
    }

    /// Returns the version of the last write.
    pub fn version(&self) -> u64 {
        self.state.lock().content.version
    }

    /// Copies the present rows.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.state.lock().content.clone())
    }

    /// Replaces all rows and their version counter by a copy, and starts a new history.
    ///
    /// Promotions, which belong to another service, stay.
    pub fn restore(&self, copy: StoreCopy) {
        let mut state = self.state.lock();
        state.content = copy.0;
        state.history_start = state.content.version;
        state.restore_count += 1;
        drop(state);
        self.changed.notify_waiters();
    }

    /// Makes reads and transactions fail with status 503, or work again.
    pub fn set_unavailable(&self, unavailable: bool) {
        self.state.lock().unavailable = unavailable;
        self.changed.notify_waiters();
    }

    /// Makes transactions fail with status 429, or work again.
    pub fn set_writes_refused(&self, refused: bool) {
        self.state.lock().refuses_writes = refused;
    }

    /// Holds the answers that are decided from now on for this long.
    pub fn set_answer_delay(&self, delay: Duration) {
        self.state.lock().answer_delay = delay;
    }

    /// Makes reads of this table fail with status 429, and those of all others work.
    pub fn refuse_table(&self, table: Option<&str>) {
        self.state.lock().refused_table = table.map(str::to_owned);
    }

    /// Adds a row to all answers about a table, in any form.
    pub fn add_raw_row(&self, table: &str, row: Value) {
        let mut state = self.state.lock();
        state.content.version += 1;
        state.raw_rows.push((table.to_owned(), row));
        drop(state);
        self.changed.notify_waiters();
    }

    /// Discards the change history; polls from an earlier version get status 410.
    pub fn compact_history(&self) {
        let mut state = self.state.lock();
        state.history_start = state.content.version;
    }

    /// Returns the accepted promotion requests in order of arrival.
    pub fn promotions(&self) -> Vec<PromotionRequest> {
        self.state.lock().promotions.clone()
    }

    /// Leaves the next orders to promote without an answer, and carries each out after its delay if its
    /// fencing token is still valid then.
    pub fn delay_promotions(&self, delays: &[Duration]) {
        self.state.lock().late_promotions = delays.iter().copied().collect();
    }

    /// Returns the orders to promote in order of arrival.
    pub fn orders(&self) -> Vec<PromotionRequest> {
        self.state.lock().orders.clone()
    }

    /// Returns the number of reads and polls for changes of a table that have arrived.
    pub fn read_count(&self, table: &str) -> u64 {
        self.state.lock().read_counts.get(table).copied().unwrap_or_default()
    }

    /// Carries out an order to promote unless its fencing token is outdated.
    fn carry_out(&self, order: PromotionRequest) -> StatusCode {
        let PromotionRequest { service, endpoint, token, .. } = order.clone();
        {
            let mut state = self.state.lock();
            let is_newer =
                |known: &PromotionRequest| known.service == service && known.token > token;
            if state.promotions.iter().any(is_newer) {
                return StatusCode::CONFLICT;
            }
            state.promotions.push(order);
        }
        let Some(group) = self.groups.lock().get(&service).cloned() else {
            return StatusCode::NOT_FOUND;
        };
        tokio::spawn(async move {
            tokio::time::sleep(PROMOTION_DURATION).await;
            group.lock().promote(&endpoint);
        });
        StatusCode::OK
    }

    /// Returns the time by the store's clock, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

fn row_json(row: &StoredRow, part: &str) -> Value {
    let mut fields = json!({
        "table": row.table, "part": part, "key": row.key, "row_version": row.version,
    });
    match &row.value {
        Some(value) => fields["value"] = STANDARD.encode(value).into(),
        None => fields["tombstone"] = true.into(),
    }
    fields
}

type StoreQuery = Query<HashMap<String, String>>;

fn query_number(query: &HashMap<String, String>, name: &str) -> u64 {
    query.get(name).and_then(|text| text.parse().ok()).unwrap_or_default()
}

async fn rows_get(State(store): State<RowStore>, Query(query): StoreQuery) -> Response {
    let table = query.get("table").cloned().unwrap_or_default();
    let mut state = store.state.lock();
    state.record_read(&table);
    if state.unavailable {
        return state.answer(StatusCode::SERVICE_UNAVAILABLE);
    }
    if state.refused_table.as_ref() == Some(&table) {
        return state.answer(StatusCode::TOO_MANY_REQUESTS);
    }
    let is_present = |row: &&StoredRow| row.table == table && row.value.is_some();
    let part = query.get("part").map_or("", String::as_str);
    let rows = state.content.rows.iter().filter(is_present).map(|row| row_json(row, part));
    let rows = rows.chain(state.raw_rows(&table)).collect();
    state.answer_rows(rows, store.now_ms())
}

async fn rows_feed(State(store): State<RowStore>, Query(query): StoreQuery) -> Response {
    let (after, wait) = (query_number(&query, "after"), query_number(&query, "wait_ms"));
    let table = query.get("table").cloned().unwrap_or_default();
    let deadline = Instant::now() + Duration::from_millis(wait);
    let era = {
        let mut state = store.state.lock();
        state.record_read(&table);
        state.era()
    };
    loop {
        let changed = store.changed.notified();
        let remaining = deadline.saturating_duration_since(Instant::now());
        {
            let state = store.state.lock();
            if state.unavailable {
                return state.answer(StatusCode::SERVICE_UNAVAILABLE);
            }
            let is_known = (state.history_start..=state.content.version).contains(&after);
            if !is_known || state.era() != era {
                return state.answer(StatusCode::GONE);
            }
            let is_newer = |row: &&StoredRow| row.table == table && row.version > after;
            let rows = state.content.rows.iter().filter(is_newer);
            let mut rows: Vec<Value> = rows.map(|row| row_json(row, "")).collect();
            if !rows.is_empty() {
                rows.extend(state.raw_rows(&table));
            }
            if !rows.is_empty() || remaining.is_zero() {
                return state.answer_rows(rows, store.now_ms());
            }
        }
        // When the wait times out, the response has no rows.
        let _ = tokio::time::timeout(remaining, changed).await;
    }
}

async fn rows_tx(State(store): State<RowStore>, Json(body): Json<Value>) -> Response {
    let text = |row: &Value, name: &str| row[name].as_str().unwrap_or_default().to_owned();
    let entries = |name: &str| body[name].as_array().cloned().unwrap_or_default();
    let mut state = store.state.lock();
    if state.unavailable {
        return state.answer(StatusCode::SERVICE_UNAVAILABLE);
    }
    if state.refuses_writes {
        return state.answer(StatusCode::TOO_MANY_REQUESTS);
    }
    let version_matches = |expected: &Value| {
        let (table, key) = (text(expected, "table"), text(expected, "key"));
        let version = state.content.row(&table, &key).map_or(0, |row| row.version);
        expected["row_version"].as_u64() == Some(version)
    };
    if !entries("expected").iter().all(version_matches) {
        return state.answer(StatusCode::PRECONDITION_FAILED);
    }
    for put in entries("puts") {
        let value = STANDARD.decode(text(&put, "value")).unwrap_or_default();
        state.content.put(&text(&put, "table"), &text(&put, "key"), Some(value));
    }
    for delete in entries("deletes") {
        state.content.put(&text(&delete, "table"), &text(&delete, "key"), None);
    }
    store.changed.notify_waiters();
    let version = state.content.version;
    state.answer(Json(json!({ "row_version": version, "now_ms": store.now_ms() })))
}

/// Holds an answer; what happens meanwhile does not change it.
async fn delay_answer(response: Response) -> Response {
    if let Some(AnswerDelay(delay)) = response.extensions().get().copied() {
        tokio::time::sleep(delay).await;
    }
    response
}

async fn promote(
    State(store): State<RowStore>,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> Response {
    let token = headers
        .get("Hibiscusworks-Fencing-Token")
        .and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    let holder = headers.get("Hibiscusworks-Lease-Holder").and_then(|value| value.to_str().ok());
    let (Some(token), Some(service), Some(id)) =
        (token, body["service"].as_str(), body["id"].as_str())
    else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let order = PromotionRequest {
        service: service.to_owned(),
        endpoint: id.to_owned(),
        holder: holder.unwrap_or_default().to_owned(),
        token,
    };
    let delay = {
        let mut state = store.state.lock();
        state.orders.push(order.clone());
        state.late_promotions.pop_front()
    };
    let Some(delay) = delay else {
        return store.carry_out(order).into_response();
    };
    tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        store.carry_out(order);
    });
    tokio::time::sleep(NO_ANSWER_DURATION).await;
    StatusCode::GATEWAY_TIMEOUT.into_response()
}
