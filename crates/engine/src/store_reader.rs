//! Reads the platform's tables from the store, for the availability zone or for this instance alone.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use coord::read_schedule::{ReadEnd, ReadId, ReadSchedule};
use coord::table_age::{POLL_FRACTION, ReadRank};
use metrics::{counter, gauge, histogram};
use state::store_version::StoreVersion;
use telemetry::event::LogEvent;
use telemetry::{log_event, meter};
use tokio::sync::Notify;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::sleep;

use crate::instance::{EngineTypes, GatewayInstance};
use crate::interface::{PlatformApi, PlatformError, TableRows, WatchedTable};

/// Maximum wait of a long poll of the document, as a fraction of the revocation bound: the next
/// answer must arrive well before the validation by the previous one expires.
const VALIDATION_POLL_FRACTION: f64 = 0.25;
/// Age of the validation, as a multiple of the long-poll wait, above which the store is polled
/// without a wait.
const STALE_VALIDATION_FACTOR: f64 = 1.5;
/// Time beyond its wait from which a read is logged as slow.
const SLOW_READ_TIME: Duration = Duration::from_millis(200);
/// Interval at which an instance checks whether another one still reads the store for its zone.
const DELEGATION_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Shortest time between two checks of whether a read is due.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(1);

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

/// What to do about a table.
#[derive(Clone, Copy, Debug)]
enum ReadStep {
    Send(ReadTurn),
    Wait(Duration),
}

/// Reads of one table that this instance has sent to the store.
#[derive(Debug)]
pub(crate) struct StoreReader {
    schedule: RefCell<ReadSchedule>,
    /// A read was requested since no other instance sends the table.
    is_requested: Cell<bool>,
    requested: Notify,
}

impl StoreReader {
    /// Creates the reader of a table whose changes must be in force within the `bound`.
    pub(crate) fn new(bound: Duration) -> Self {
        Self {
            schedule: RefCell::new(ReadSchedule::new(bound)),
            is_requested: Cell::new(false),
            requested: Notify::new(),
        }
    }

    /// Requests a read whatever evidence there is.
    pub(crate) fn request(&self) {
        self.is_requested.set(true);
        self.requested.notify_one();
    }
}

/// Read that was sent.
#[derive(Clone, Copy, Debug)]
struct SentRead {
    turn: ReadTurn,
    sent_at: Instant,
    /// Time for which the store may wait for changes.
    wait: Duration,
    /// Version after which changes are read; `None` for the whole table.
    after: Option<StoreVersion>,
}

type ReadResult = Result<TableRows, PlatformError>;

/// Tasks of the outstanding reads of a table.
#[derive(Default)]
struct ReadTasks {
    tasks: JoinSet<(ReadId, ReadResult)>,
    sent: HashMap<ReadId, (SentRead, AbortHandle)>,
}

impl ReadTasks {
    fn give_up(&mut self, id: ReadId) {
        if let Some((_, handle)) = self.sent.remove(&id) {
            handle.abort();
        }
    }
}

impl<E: EngineTypes> GatewayInstance<E> {
    /// Keeps the cache of a table up to date; never returns.
    pub async fn watch_table(self: Rc<Self>, table: WatchedTable) {
        self.await_peer_table(table).await;
        let mut reads = ReadTasks::default();
        let cached_version = self.tables.borrow().versions()[table.index()];
        // Version from which changes are polled; the whole table is read where there is none.
        let mut position = Some(cached_version).filter(|version| !version.is_empty());
        let mut was_delegated = false;
        loop {
            self.record_overdue_reads(table, &reads);
            let wait = match self.next_read_step(table, position, &mut was_delegated) {
                ReadStep::Send(turn) => {
                    self.send_read(table, turn, position, &mut reads);
                    continue;
                }
                ReadStep::Wait(wait) => wait.max(MIN_CHECK_INTERVAL),
            };
            tokio::select! {
                Some(finished) = reads.tasks.join_next(), if !reads.tasks.is_empty() => {
                    // Reads that were given up end with an error.
                    if let Ok((id, result)) = finished {
                        self.finish_read(table, id, result, &mut position, &mut reads);
                    }
                }
                () = self.store_readers[table.index()].requested.notified() => {}
                () = sleep(wait) => {}
            }
        }
    }

    /// Returns whether to read the store now: for the zone, or since there is no recent evidence
    /// from the instance that does.
    fn next_read_step(
        &self,
        table: WatchedTable,
        position: Option<StoreVersion>,
        was_delegated: &mut bool,
    ) -> ReadStep {
        let now = self.now();
        let reader = &self.store_readers[table.index()];
        let schedule = reader.schedule.borrow();
        let until = |at: Option<Instant>| at.map(|at| at.saturating_duration_since(now));
        let time_to_send = until(schedule.next_send()).unwrap_or_default();
        let time_to_overdue = until(schedule.next_overdue()).unwrap_or(Duration::MAX);
        if self.has_zone_reader() {
            *was_delegated = true;
            let is_due = position.is_none() || reader.is_requested.get();
            let time_to_read = if is_due { Duration::ZERO } else { self.time_to_read(table) };
            let wait = time_to_read.max(time_to_send);
            if wait.is_zero() && !schedule.has_pending() {
                return ReadStep::Send(ReadTurn::Direct);
            }
            let wait = if wait.is_zero() { DELEGATION_CHECK_INTERVAL } else { wait };
            return ReadStep::Wait(wait.min(DELEGATION_CHECK_INTERVAL).min(time_to_overdue));
        }
        if !time_to_send.is_zero() {
            return ReadStep::Wait(time_to_send.min(time_to_overdue));
        }
        let is_successor = std::mem::take(was_delegated);
        ReadStep::Send(if is_successor { ReadTurn::Successor } else { ReadTurn::Reader })
    }

    fn send_read(
        self: &Rc<Self>,
        table: WatchedTable,
        turn: ReadTurn,
        position: Option<StoreVersion>,
        reads: &mut ReadTasks,
    ) {
        let sent_at = self.now();
        let reader = &self.store_readers[table.index()];
        reader.is_requested.set(false);
        if turn == ReadTurn::Direct {
            let age = self.table_age(table);
            log_event!(LogEvent::StoreReadDirectly, "table={table:?} age={age:?}");
        }
        let cached_version = self.tables.borrow().versions()[table.index()];
        let after = position.map(|version| version.max(cached_version));
        let wait = match turn {
            ReadTurn::Reader if after.is_some() => self.poll_wait(table),
            _ => Duration::ZERO,
        };
        let (id, given_up) = reader.schedule.borrow_mut().send(wait, sent_at);
        if let Some(given_up) = given_up {
            log_event!(LogEvent::StoreReadFailed, "table={table:?} cause=\"given up\"");
            reads.give_up(given_up);
        }
        let instance = self.clone();
        let handle = reads.tasks.spawn_local(async move {
            let on_progress = || {
                let reader = &instance.store_readers[table.index()];
                if reader.schedule.borrow_mut().record_progress(id, instance.now()) {
                    instance.update_table_age(table, |age| age.withdraw_failed_read());
                }
            };
            let platform = &instance.platform;
            let result = match after {
                Some(version) => platform.poll_changes(table, version, wait, &on_progress).await,
                None => platform.read_table(table, &on_progress).await,
            };
            (id, result)
        });
        reads.sent.insert(id, (SentRead { turn, sent_at, wait, after }, handle));
    }

    /// Applies the answer to a read.
    fn finish_read(
        &self,
        table: WatchedTable,
        id: ReadId,
        result: ReadResult,
        position: &mut Option<StoreVersion>,
        reads: &mut ReadTasks,
    ) {
        let Some((read, _)) = reads.sent.remove(&id) else {
            return;
        };
        let now = self.now();
        let elapsed = now.saturating_duration_since(read.sent_at);
        self.log_store_read(table, read.wait, elapsed, &result);
        let end = match result {
            Ok(answer) => {
                self.record_store_status(true, "");
                self.record_store_history(answer.version);
                for row in &answer.refused {
                    self.refused_rows.borrow_mut().record(table.label(), row);
                }
                self.apply_answer(table, &read, answer, elapsed, position)
            }
            Err(PlatformError::HistoryExpired) if read.after.is_some() => {
                counter!(meter::EXPIRED_READS, "table" => table.label()).increment(1);
                let after = read.after.unwrap_or_default();
                log_event!(LogEvent::HistoryExpired, "table={table:?} after={after}");
                *position = None;
                ReadEnd::Answered
            }
            Err(error) => {
                self.record_failed_read(table, &read, &error.to_string());
                ReadEnd::Failed
            }
        };
        let schedule = &self.store_readers[table.index()].schedule;
        for superseded in schedule.borrow_mut().finish(id, end, now) {
            reads.give_up(superseded);
        }
    }

    /// Merges the rows of an answer into the cache of a table.
    fn apply_answer(
        &self,
        table: WatchedTable,
        read: &SentRead,
        answer: TableRows,
        elapsed: Duration,
        position: &mut Option<StoreVersion>,
    ) -> ReadEnd {
        let history = answer.version.history;
        if self.store_history.get().is_some_and(|newest| history < newest) {
            // The store was replaced by an older copy while the answer was on its way.
            return ReadEnd::Failed;
        }
        if read.after.is_some_and(|after| after.history != history) {
            // The changes count from a version of another history, so they are not all.
            *position = None;
            return ReadEnd::Answered;
        }
        // An answer without changes took the whole wait, and includes it.
        let covers_wait = answer.rows.is_empty() && elapsed >= read.wait;
        let waited = if covers_wait { read.wait } else { Duration::ZERO };
        *position = Some(position.unwrap_or_default().max(answer.version));
        match read.after {
            Some(_) => self.merge_store_changes(table, answer.rows),
            None => self.merge_snapshot(table, answer.rows, answer.version),
        }
        self.record_up_to_date(table, read.sent_at, waited);
        ReadEnd::Answered
    }

    /// Records a version of the store, learnt from itself or from another instance, and notices a new
    /// history.
    pub(crate) fn record_store_history(&self, version: StoreVersion) {
        let (known, history) = (self.store_history.get(), version.history);
        if known.is_some_and(|known| known >= history) {
            return;
        }
        self.store_history.set(Some(history));
        self.directory.borrow_mut().record_written(version.successor());
        gauge!(meter::STORE_HISTORY).set(history as f64);
        if let Some(known) = known {
            counter!(meter::STORE_HISTORY_CHANGES).increment(1);
            log_event!(LogEvent::StoreHistoryChanged, "history={history} before={known}");
            self.history_changed.notify_waiters();
        }
    }

    /// Takes note of reads that the store should have answered by now.
    fn record_overdue_reads(&self, table: WatchedTable, reads: &ReadTasks) {
        let now = self.now();
        let overdue = self.store_readers[table.index()].schedule.borrow_mut().take_overdue(now);
        for id in overdue {
            if let Some((read, _)) = reads.sent.get(&id) {
                self.record_failed_read(table, read, "no answer in time");
            }
        }
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
        let (bound, now) = (self.table_bound(table), self.now());
        let mut longest = bound.mul_f64(POLL_FRACTION);
        if let (WatchedTable::Document, Some(bound)) = (table, self.settings.revocation_bound) {
            longest = longest.min(bound.mul_f64(VALIDATION_POLL_FRACTION));
            if self.validation_is_older(longest.mul_f64(STALE_VALIDATION_FACTOR)) {
                return Duration::ZERO;
            }
        }
        // The evidence of a read whose answer is on its way counts as if it were here.
        if self.store_readers[table.index()].schedule.borrow().has_pending() {
            return longest;
        }
        longest.saturating_sub(self.update_table_age(table, |age| age.excess_age(bound, now)))
    }

    /// Measures a read of the store that asked it to wait for changes for up to `wait`. Logs it if it
    /// failed or took long.
    fn log_store_read(
        &self,
        table: WatchedTable,
        wait: Duration,
        elapsed: Duration,
        result: &ReadResult,
    ) {
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

    /// Records that a read of the store failed, or has no answer although it is overdue.
    fn record_failed_read(&self, table: WatchedTable, read: &SentRead, cause: &str) {
        let now = self.now();
        self.update_table_age(table, |age| age.record_failed_read(read.sent_at, now));
        // The status tells others whether to rely on this instance, which they do not.
        if read.turn != ReadTurn::Direct {
            self.record_store_status(false, cause);
        }
    }

    /// Returns the bound on the time until a change of a table is in force.
    pub(crate) fn table_bound(&self, table: WatchedTable) -> Duration {
        self.settings.table_bound(table)
    }

    /// Records that the cache of a table includes the answer of the store to a request sent at
    /// `sent_at`; the store found no change for the time `waited` after it.
    fn record_up_to_date(&self, table: WatchedTable, sent_at: Instant, waited: Duration) {
        let version = self.tables.borrow().versions()[table.index()];
        let answer_time = self.store_readers[table.index()].schedule.borrow().answer_time();
        self.record_evidence(table, version, sent_at + waited, answer_time);
        match table {
            WatchedTable::Document => self.record_document_validation(sent_at),
            WatchedTable::Endpoints => {}
        }
    }

    /// Returns whether another instance of this availability zone reads the store on behalf of this
    /// one.
    pub(crate) fn has_zone_reader(&self) -> bool {
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
}
