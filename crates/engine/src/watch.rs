//! Follows the platform's tables, in the store or through another instance, and registers there.

use std::rc::Rc;
use std::time::{Duration, Instant};

use coord::rendezvous;
use tokio::time::sleep;

use crate::interface::{PlatformApi, PlatformError, WatchedTable};
use crate::message::PeerRequest;
use crate::node::{EngineEdge, GatewayNode};
use crate::tables::StoredRow;

/// Part of the time within which a change must be in force for which the store is asked to wait.
///
/// It bounds how long a reader that is cut off goes unnoticed while others rely on it, and costs a
/// call each time: 8 s left all instances without three documents for 6 s.
const LONG_POLL_FRACTION: f64 = 0.4;
/// Part of the time within which a withdrawn key must stop everywhere for which the store is asked
/// to wait: the next answer must come well before the proof of this one is too old.
const VALIDATION_POLL_FRACTION: f64 = 0.25;
/// Age of a proof, as a multiple of the wait, beyond which the store is asked without a wait.
const STALE_VALIDATION_FACTOR: f64 = 1.5;
/// Time beyond the wait in which the store must answer; it may be slow.
const ANSWER_MARGIN: Duration = Duration::from_millis(600);
/// Pause after a call that failed.
const RETRY_BACKOFF: Duration = Duration::from_millis(300);
/// Time between looks at whether another instance reads the store for this one.
const DELEGATION_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time between comparisons with the copies of other instances.
const ANTI_ENTROPY_INTERVAL: Duration = Duration::from_millis(300);
/// Time in which a peer must hand over a table.
const TABLE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time between readings of the registered instances.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(12);
/// Time after the start in which others that start at the same time register.
const FIRST_DISCOVERY_DELAY: Duration = Duration::from_millis(600);
/// Subject by which instances of an availability zone order themselves for reading the store.
const READER_ELECTION_KEY: &str = "reader";

impl<E: EngineEdge> GatewayNode<E> {
    /// Follows a table for good.
    pub async fn watch_table(self: Rc<Self>, table: WatchedTable) {
        loop {
            let asked_at = self.now();
            let version = match self.platform.read_table(table).await {
                Ok(read) => {
                    self.note_store(true, "");
                    self.merge_snapshot(table, read.rows, read.version);
                    self.record_up_to_date(table, asked_at);
                    read.version
                }
                Err(error) => {
                    self.note_store(false, &error.to_string());
                    sleep(RETRY_BACKOFF).await;
                    continue;
                }
            };
            self.poll_from(table, version).await;
        }
    }

    /// Follows a table until its history is gone.
    async fn poll_from(&self, table: WatchedTable, mut version: u64) {
        let bound = match table {
            WatchedTable::Document => self.settings.document_bound,
            WatchedTable::Endpoints => self.settings.drain_limit,
        };
        let mut wait = bound.mul_f64(LONG_POLL_FRACTION);
        if let (WatchedTable::Document, Some(bound)) = (table, self.settings.withdrawal_bound) {
            wait = wait.min(bound.mul_f64(VALIDATION_POLL_FRACTION));
        }
        loop {
            while self.has_zone_reader() {
                sleep(DELEGATION_CHECK_INTERVAL).await;
            }
            let asked_at = self.now();
            // Whoever takes over from a reader that was cut off needs a proof at once.
            let wait = match table {
                WatchedTable::Document
                    if self.proof_is_older(wait.mul_f64(STALE_VALIDATION_FACTOR)) =>
                {
                    Duration::ZERO
                }
                WatchedTable::Document | WatchedTable::Endpoints => wait,
            };
            match self.platform.poll_changes(table, version, wait, wait + ANSWER_MARGIN).await {
                Ok(read) => {
                    self.note_store(true, "");
                    version = read.version.max(version);
                    self.push_rows(table, &read.rows);
                    self.merge_rows(table, read.rows);
                    self.record_up_to_date(table, asked_at);
                }
                Err(PlatformError::HistoryExpired) => return,
                Err(error) => {
                    self.note_store(false, &error.to_string());
                    sleep(RETRY_BACKOFF).await;
                }
            }
        }
    }

    /// Records that the store had nothing newer than the copy of a table when it was asked.
    fn record_up_to_date(&self, table: WatchedTable, asked_at: Instant) {
        match table {
            WatchedTable::Document => self.confirm_document(asked_at),
            WatchedTable::Endpoints => {}
        }
    }

    /// Tells whether another instance of this availability zone reads the store for this one.
    fn has_zone_reader(&self) -> bool {
        let zone = &self.settings.record.zone;
        let reads = self.peers.live().into_iter().filter(|peer| {
            let status = peer.status();
            peer.record.zone == *zone && status.store_reachable && !status.leaving
        });
        let names: Vec<String> = reads.map(|peer| peer.record.name.clone()).collect();
        rendezvous::rank(READER_ELECTION_KEY, self.name(), names.iter().map(String::as_str)) > 0
    }

    /// Pushes changes to the instances of this availability zone.
    fn push_rows(&self, table: WatchedTable, rows: &[StoredRow]) {
        if rows.is_empty() {
            return;
        }
        let zone = &self.settings.record.zone;
        for peer in self.peers.live().into_iter().filter(|peer| peer.record.zone == *zone) {
            peer.send(&PeerRequest::Rows { table, rows: rows.to_vec() });
        }
    }

    /// Takes changed rows.
    pub(crate) fn merge_rows(&self, table: WatchedTable, rows: Vec<StoredRow>) {
        let changed = self.tables.borrow_mut().table(table).merge_changes(rows);
        self.apply_changed_rows(table, changed);
    }

    /// Takes all rows of a table; what is not among them is gone.
    fn merge_snapshot(&self, table: WatchedTable, rows: Vec<StoredRow>, version: u64) {
        let changed = self.tables.borrow_mut().table(table).merge_snapshot(rows, version);
        if table == WatchedTable::Endpoints {
            self.directory.borrow_mut().set_endpoints_loaded();
        }
        self.apply_changed_rows(table, changed);
    }

    fn apply_changed_rows(&self, table: WatchedTable, rows: Vec<StoredRow>) {
        for row in rows {
            if let Some(change) = self.platform.decode_row(table, &row) {
                self.apply(change);
            }
        }
    }

    /// Registers this instance and looks for the others.
    pub async fn register_and_discover(self: Rc<Self>) {
        while let Err(error) = self.platform.register_instance(&self.settings.record).await {
            self.note_store(false, &error.to_string());
            sleep(RETRY_BACKOFF).await;
        }
        let mut delay = FIRST_DISCOVERY_DELAY;
        loop {
            match self.platform.read_instances().await {
                Ok(records) => records.into_iter().for_each(|record| self.connect_peer(record)),
                Err(error) => {
                    self.note_store(false, &error.to_string());
                    sleep(RETRY_BACKOFF).await;
                    continue;
                }
            }
            // Instances that start later connect to this one; reading again heals what was missed.
            sleep(delay).await;
            delay = DISCOVERY_INTERVAL;
            while self.has_zone_reader() {
                sleep(DISCOVERY_INTERVAL).await;
            }
        }
    }

    /// Compares the copies of tables with those of other instances and fetches what is newer.
    pub async fn run_anti_entropy(self: Rc<Self>) {
        let mut behind = [false; 2];
        loop {
            sleep(ANTI_ENTROPY_INTERVAL).await;
            self.directory.borrow_mut().remove_expired(self.now());
            for (index, table) in WatchedTable::ALL.into_iter().enumerate() {
                let own = self.tables.borrow().versions()[index];
                let live = self.peers.live();
                let newest =
                    live.into_iter().max_by_key(|peer| peer.status().table_versions[index]);
                let ahead = newest.filter(|peer| peer.status().table_versions[index] > own);
                let Some(peer) = ahead else {
                    behind[index] = false;
                    continue;
                };
                // What is on its way from the reader needs no healing.
                if !std::mem::replace(&mut behind[index], true) && own > 0 {
                    continue;
                }
                if let Some((rows, version)) = peer.table(table, TABLE_TIMEOUT).await {
                    self.tables.borrow_mut().table(table).raise_version(version);
                    self.merge_rows(table, rows);
                    if table == WatchedTable::Endpoints {
                        self.directory.borrow_mut().set_endpoints_loaded();
                    }
                }
            }
        }
    }
}
