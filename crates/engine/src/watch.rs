//! Replicates the platform's tables from the store or other instances, and registers this instance.

use std::rc::Rc;
use std::time::{Duration, Instant};

use coord::table_age::{POLL_FRACTION, READ_TIMEOUT_FRACTION, ReadRank};
use metrics::histogram;
use telemetry::event::LogEvent;
use telemetry::{log_event, meter};
use tokio::time::sleep;

use crate::instance::{EngineTypes, GatewayInstance};
use crate::interface::{PlatformApi, PlatformError, TableRows, WatchedTable};
use crate::table_change::PackedChange;
use crate::tables::StoredRow;

/// Maximum wait of a long poll of the document, as a fraction of the revocation bound: the next
/// answer must arrive well before the validation by the previous one expires.
const VALIDATION_POLL_FRACTION: f64 = 0.25;
/// Age of the validation, as a multiple of the long-poll wait, above which the store is polled
/// without a wait.
const STALE_VALIDATION_FACTOR: f64 = 1.5;
/// Time beyond the long-poll wait that a slow store has to answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(600);
/// Delay before a failed call to the store is retried.
const RETRY_BACKOFF: Duration = Duration::from_millis(300);
/// Time beyond its wait from which a read is logged as slow.
const SLOW_READ_TIME: Duration = Duration::from_millis(200);
/// Interval at which an instance checks whether another one still reads the store for its zone.
const DELEGATION_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which a starting instance waits for a table of its zone's reader, since the start or
/// since a part of the table arrived.
const PEER_TABLE_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval at which a starting instance checks whether it has the table.
const PEER_TABLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between reads of the registered instances.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(12);
/// Delay before the second read of the registered instances: instances that start at the same time
/// have registered by then.
const FIRST_DISCOVERY_DELAY: Duration = Duration::from_millis(600);

/// Reason why an instance reads the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ReadTurn {
    /// It reads for its zone, as before.
    Reader,
    /// It has begun to read for its zone: it needs evidence at once, and must soon notice whether it
    /// reaches the store itself.
    Successor,
    /// Another instance reads for the zone, without recent evidence.
    Direct,
}

impl<E: EngineTypes> GatewayInstance<E> {
    /// Keeps the cache of a table up to date; never returns.
    pub async fn watch_table(self: Rc<Self>, table: WatchedTable) {
        self.await_peer_table(table).await;
        loop {
            let cached_version = self.tables.borrow_mut().table(table).version();
            if cached_version > 0 {
                self.poll_from(table, cached_version).await;
            }
            let sent_at = self.now();
            let result = self.platform.read_table(table).await;
            self.log_store_read(table, sent_at, Duration::ZERO, &result);
            let version = match result {
                Ok(read) => {
                    self.record_store_status(true, "");
                    self.merge_snapshot(table, read.rows, read.version);
                    self.record_up_to_date(table, sent_at, Duration::ZERO);
                    read.version
                }
                Err(error) => {
                    self.record_failed_read(table, sent_at);
                    self.record_store_status(false, &error.to_string());
                    sleep(RETRY_BACKOFF).await;
                    continue;
                }
            };
            self.poll_from(table, version).await;
        }
    }

    /// Waits until the table was fetched from an observer, or until no other instance is known to
    /// read the store for this zone.
    ///
    /// When a whole fleet starts, one read for each zone spares the store one for each instance.
    async fn await_peer_table(&self, table: WatchedTable) {
        let started_at = self.now();
        loop {
            let is_loaded = self.tables.borrow_mut().table(table).version() > 0;
            let is_reader = self.peers.is_discovered.get()
                && !self.peers.membership.borrow().subscribed().is_empty()
                && !self.has_zone_reader();
            let is_alone =
                self.peers.is_discovered.get() && self.peers.membership.borrow().known_count() == 1;
            let progress_at = self.peers.table_offers[table.index()].progress_at.get();
            let waits_since = progress_at.map_or(started_at, |at| at.max(started_at));
            let waited = self.now().saturating_duration_since(waits_since);
            if is_loaded || is_reader || is_alone || waited >= PEER_TABLE_TIMEOUT {
                return;
            }
            sleep(PEER_TABLE_CHECK_INTERVAL).await;
        }
    }

    /// Polls changes of a table until the store no longer has the history after `version`.
    async fn poll_from(&self, table: WatchedTable, mut version: u64) {
        loop {
            let turn = self.await_read_turn(table).await;
            version = version.max(self.tables.borrow().versions()[table.index()]);
            let sent_at = self.now();
            let (wait, margin) = match turn {
                ReadTurn::Reader => (self.poll_wait(table), ANSWER_MARGIN),
                ReadTurn::Successor => (Duration::ZERO, ANSWER_MARGIN),
                ReadTurn::Direct => {
                    let longest = self.table_bound(table).mul_f64(READ_TIMEOUT_FRACTION);
                    (Duration::ZERO, ANSWER_MARGIN.min(longest))
                }
            };
            let result = self.platform.poll_changes(table, version, wait, wait + margin).await;
            self.log_store_read(table, sent_at, wait, &result);
            match result {
                Ok(read) => {
                    self.record_store_status(true, "");
                    // An answer without changes took the whole wait, and includes it.
                    let elapsed = self.now().saturating_duration_since(sent_at);
                    let covers_wait = read.rows.is_empty() && elapsed >= wait;
                    let waited = if covers_wait { wait } else { Duration::ZERO };
                    version = read.version.max(version);
                    self.merge_store_changes(table, read.rows);
                    self.record_up_to_date(table, sent_at, waited);
                }
                Err(PlatformError::HistoryExpired) => return,
                Err(error) => {
                    self.record_failed_read(table, sent_at);
                    // The status tells others whether to rely on this instance, which they do not.
                    if turn != ReadTurn::Direct {
                        self.record_store_status(false, &error.to_string());
                    }
                    sleep(RETRY_BACKOFF).await;
                }
            }
        }
    }

    /// Waits until this instance has to read the store: for its zone, or since it has no recent
    /// evidence from the instance that does.
    async fn await_read_turn(&self, table: WatchedTable) -> ReadTurn {
        let mut turn = ReadTurn::Reader;
        while self.has_zone_reader() {
            turn = ReadTurn::Successor;
            let time_to_read = self.time_to_read(table);
            if time_to_read.is_zero() {
                let age = self.table_age(table);
                log_event!(LogEvent::StoreReadDirectly, "table={table:?} age={age:?}");
                return ReadTurn::Direct;
            }
            sleep(DELEGATION_CHECK_INTERVAL.min(time_to_read)).await;
        }
        turn
    }

    fn time_to_read(&self, table: WatchedTable) -> Duration {
        let rank = ReadRank {
            rank: self.peers.membership.borrow().reader_rank(),
            spread: self.read_spread,
        };
        let (bound, now) = (self.table_bound(table), self.now());
        self.update_table_age(table, |age| age.time_to_read(bound, rank, now))
    }

    /// Returns for how long a request for changes waits, so that the evidence that it gives replaces
    /// the last one in time.
    fn poll_wait(&self, table: WatchedTable) -> Duration {
        let mut longest = self.table_bound(table).mul_f64(POLL_FRACTION);
        if let (WatchedTable::Document, Some(bound)) = (table, self.settings.revocation_bound) {
            longest = longest.min(bound.mul_f64(VALIDATION_POLL_FRACTION));
            if self.validation_is_older(longest.mul_f64(STALE_VALIDATION_FACTOR)) {
                return Duration::ZERO;
            }
        }
        longest.saturating_sub(self.table_age(table))
    }

    /// Measures a read of the store that was sent at `sent_at` and asked it to wait for changes for
    /// up to `wait`. Logs it if it failed or took long.
    pub(crate) fn log_store_read(
        &self,
        table: WatchedTable,
        sent_at: Instant,
        wait: Duration,
        result: &Result<TableRows, PlatformError>,
    ) {
        let elapsed = self.now().saturating_duration_since(sent_at);
        let beyond_wait = elapsed.saturating_sub(wait);
        let outcome = if result.is_ok() { "answered" } else { "failed" };
        histogram!(meter::STORE_READ_SECONDS, "table" => table.label(), "outcome" => outcome)
            .record(beyond_wait.as_secs_f64());
        match result {
            Ok(read) if beyond_wait >= SLOW_READ_TIME => log_event!(
                LogEvent::StoreReadSlow,
                "table={table:?} wait={wait:?} elapsed={elapsed:?} rows={}",
                read.rows.len()
            ),
            Ok(_) | Err(PlatformError::HistoryExpired) => {}
            Err(error) => log_event!(
                LogEvent::StoreReadFailed,
                "table={table:?} wait={wait:?} elapsed={elapsed:?} cause=\"{error}\""
            ),
        }
    }

    /// Records that a read of the store, sent at `sent_at`, failed.
    pub(crate) fn record_failed_read(&self, table: WatchedTable, sent_at: Instant) {
        let now = self.now();
        self.update_table_age(table, |age| age.record_failed_read(sent_at, now));
    }

    /// Returns the bound on the time until a change of a table is in force.
    pub(crate) fn table_bound(&self, table: WatchedTable) -> Duration {
        match table {
            WatchedTable::Document => self.settings.document_bound,
            WatchedTable::Endpoints => self.settings.drain_timeout,
        }
    }

    /// Records that the cache of a table includes the answer of the store to a request sent at
    /// `sent_at`; the store found no change for the time `waited` after it.
    pub(crate) fn record_up_to_date(
        &self,
        table: WatchedTable,
        sent_at: Instant,
        waited: Duration,
    ) {
        let version = self.tables.borrow().versions()[table.index()];
        self.record_evidence(table, version, sent_at + waited);
        match table {
            WatchedTable::Document => self.record_document_validation(sent_at),
            WatchedTable::Endpoints => {}
        }
    }

    /// Returns whether another instance of this availability zone reads the store on behalf of this
    /// one.
    fn has_zone_reader(&self) -> bool {
        let membership = self.peers.membership.borrow();
        membership.zone_reader() != membership.own_key()
    }

    /// Logs a change of the instance that reads the store for this availability zone.
    pub(crate) fn log_reader_change(&self) {
        let membership = self.peers.membership.borrow();
        let reader = membership.zone_reader();
        if self.last_reader.replace(Some(reader)) == Some(reader) {
            return;
        }
        let name = membership.record(reader).map_or("", |record| record.name.as_str());
        let age = self.table_age(WatchedTable::Document);
        log_event!(LogEvent::StoreReaderChanged, "reader={name} document_age={age:?}");
    }

    /// Merges changes read from the store, and passes them on to the zone.
    fn merge_store_changes(&self, table: WatchedTable, rows: Vec<StoredRow>) {
        let (changed, change) = {
            let mut tables = self.tables.borrow_mut();
            let cache = tables.table(table);
            cache.merge_store_changes(cache.version(), rows)
        };
        self.push_change(table, &change);
        self.apply_changed_rows(table, &changed);
        self.peers.changed.notify_one();
    }

    /// Merges changes of another instance.
    ///
    /// Returns whether anything changed, and whether the cache has all of the changes now.
    pub(crate) fn merge_peer_change(
        &self,
        table: WatchedTable,
        change: &PackedChange,
    ) -> (bool, bool) {
        let change = match change.unpack() {
            Ok(change) => change,
            Err(error) => {
                log_event!(LogEvent::TableFetchFailed, "table={table:?} cause=\"{error}\"");
                return (false, false);
            }
        };
        let is_full = change.is_full;
        let (changed, is_complete) = self.tables.borrow_mut().table(table).merge_change(change);
        self.apply_changed_rows(table, &changed);
        // Endpoints of the first full read are not known to have started just now.
        if table == WatchedTable::Endpoints && is_full && is_complete {
            self.directory.borrow_mut().set_endpoints_loaded();
        }
        self.peers.changed.notify_one();
        (!changed.is_empty(), is_complete)
    }

    /// Merges a full read of a table; cached rows missing from it are removed.
    pub(crate) fn merge_snapshot(&self, table: WatchedTable, rows: Vec<StoredRow>, version: u64) {
        let changed = self.tables.borrow_mut().table(table).merge_snapshot(rows, version);
        self.apply_changed_rows(table, &changed);
        if table == WatchedTable::Endpoints {
            self.directory.borrow_mut().set_endpoints_loaded();
        }
        self.peers.changed.notify_one();
    }

    fn apply_changed_rows(&self, table: WatchedTable, rows: &[StoredRow]) {
        let is_first = self.directory.borrow().document().version == 0;
        for row in rows {
            if let Some(change) = self.platform.decode_row(table, row) {
                self.apply_row_change(change);
            }
        }
        if table == WatchedTable::Document && is_first {
            // The instance starts and cannot know for how long the zones have been evacuated.
            self.directory.borrow_mut().evacuations_mut().close_evacuated(self.now());
        }
    }

    /// Registers this instance and discovers the others.
    pub async fn register_and_discover(self: Rc<Self>) {
        while let Err(error) = self.platform.register_instance(&self.settings.record).await {
            self.record_store_status(false, &error.to_string());
            sleep(RETRY_BACKOFF).await;
        }
        self.record_store_status(true, "");
        let mut delay = FIRST_DISCOVERY_DELAY;
        loop {
            match self.platform.read_instances().await {
                Ok(records) => {
                    records.iter().for_each(|record| self.add_peer(record));
                    self.peers.is_discovered.set(true);
                    self.peers.subscriptions_due.notify_one();
                }
                Err(error) => {
                    self.record_store_status(false, &error.to_string());
                    sleep(RETRY_BACKOFF).await;
                    continue;
                }
            }
            // Observers report instances that start later; repeated reads find any missed ones.
            sleep(delay).await;
            delay = DISCOVERY_INTERVAL;
            while self.has_zone_reader() {
                sleep(DISCOVERY_INTERVAL).await;
            }
        }
    }
}
