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
const WAIT_PART: f64 = 0.4;
/// Part of the time within which a withdrawn key must stop everywhere for which the store is asked
/// to wait: the next answer must come well before the proof of this one is too old.
const PROOF_PART: f64 = 0.25;
/// Age of a proof, as a multiple of the wait, beyond which the store is asked without a wait.
const OLD_PROOF: f64 = 1.5;
/// Time beyond the wait in which the store must answer; it may be slow.
const ANSWER_RESERVE: Duration = Duration::from_millis(600);
/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Time between looks at whether another instance reads the store for this one.
const DELEGATE_PERIOD: Duration = Duration::from_millis(200);
/// Time between comparisons with the copies of other instances.
const HEALING_PERIOD: Duration = Duration::from_millis(300);
/// Time in which a peer must hand over a table.
const TABLE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time between readings of the registered instances.
const INSTANCES_PERIOD: Duration = Duration::from_secs(12);
/// Time after the start in which others that start at the same time register.
const START_TIME: Duration = Duration::from_millis(600);
/// Subject by which instances of an availability zone order themselves for reading the store.
const READER_SUBJECT: &str = "reader";

impl<E: EngineEdge> GatewayNode<E> {
    /// Follows a table for good.
    pub async fn watch_table(self: Rc<Self>, table: WatchedTable) {
        loop {
            let asked_at = self.now();
            let version = match self.platform.read_table(table).await {
                Ok(read) => {
                    self.note_store(true, "");
                    self.take_table(table, read.rows, read.version);
                    self.note_current(table, asked_at);
                    read.version
                }
                Err(error) => {
                    self.note_store(false, &error.to_string());
                    sleep(RETRY_PAUSE).await;
                    continue;
                }
            };
            self.follow_from(table, version).await;
        }
    }

    /// Follows a table until its history is gone.
    async fn follow_from(&self, table: WatchedTable, mut version: u64) {
        let bound = match table {
            WatchedTable::Document => self.settings.document_bound,
            WatchedTable::Endpoints => self.settings.drain_limit,
        };
        let mut wait = bound.mul_f64(WAIT_PART);
        if let (WatchedTable::Document, Some(bound)) = (table, self.settings.withdrawal_bound) {
            wait = wait.min(bound.mul_f64(PROOF_PART));
        }
        loop {
            while self.is_read_for() {
                sleep(DELEGATE_PERIOD).await;
            }
            let asked_at = self.now();
            // Whoever takes over from a reader that was cut off needs a proof at once.
            let wait = match table {
                WatchedTable::Document if self.proof_is_older(wait.mul_f64(OLD_PROOF)) => {
                    Duration::ZERO
                }
                WatchedTable::Document | WatchedTable::Endpoints => wait,
            };
            match self.platform.poll_changes(table, version, wait, wait + ANSWER_RESERVE).await {
                Ok(read) => {
                    self.note_store(true, "");
                    version = read.version.max(version);
                    self.pass_on(table, &read.rows);
                    self.take_rows(table, read.rows);
                    self.note_current(table, asked_at);
                }
                Err(PlatformError::HistoryExpired) => return,
                Err(error) => {
                    self.note_store(false, &error.to_string());
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Records that the store had nothing newer than the copy of a table when it was asked.
    fn note_current(&self, table: WatchedTable, asked_at: Instant) {
        match table {
            WatchedTable::Document => self.confirm_document(asked_at),
            WatchedTable::Endpoints => {}
        }
    }

    /// Tells whether another instance of this availability zone reads the store for this one.
    fn is_read_for(&self) -> bool {
        let zone = &self.settings.record.zone;
        let reads = self.peers.live().into_iter().filter(|peer| {
            let status = peer.status();
            peer.record.zone == *zone && status.store_reachable && !status.leaving
        });
        let names: Vec<String> = reads.map(|peer| peer.record.name.clone()).collect();
        rendezvous::rank(READER_SUBJECT, self.name(), names.iter().map(String::as_str)) > 0
    }

    /// Pushes changes to the instances of this availability zone.
    fn pass_on(&self, table: WatchedTable, rows: &[StoredRow]) {
        if rows.is_empty() {
            return;
        }
        let zone = &self.settings.record.zone;
        for peer in self.peers.live().into_iter().filter(|peer| peer.record.zone == *zone) {
            peer.send(&PeerRequest::Rows { table, rows: rows.to_vec() });
        }
    }

    /// Takes changed rows.
    pub(crate) fn take_rows(&self, table: WatchedTable, rows: Vec<StoredRow>) {
        let news = self.tables.borrow_mut().table(table).take_changes(rows);
        self.apply_rows(table, news);
    }

    /// Takes all rows of a table; what is not among them is gone.
    fn take_table(&self, table: WatchedTable, rows: Vec<StoredRow>, version: u64) {
        let news = self.tables.borrow_mut().table(table).take_all(rows, version);
        if table == WatchedTable::Endpoints {
            self.directory.borrow_mut().set_endpoints_loaded();
        }
        self.apply_rows(table, news);
    }

    fn apply_rows(&self, table: WatchedTable, rows: Vec<StoredRow>) {
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
            sleep(RETRY_PAUSE).await;
        }
        let mut pause = START_TIME;
        loop {
            match self.platform.read_instances().await {
                Ok(records) => records.into_iter().for_each(|record| self.meet(record)),
                Err(error) => {
                    self.note_store(false, &error.to_string());
                    sleep(RETRY_PAUSE).await;
                    continue;
                }
            }
            // Instances that start later connect to this one; reading again heals what was missed.
            sleep(pause).await;
            pause = INSTANCES_PERIOD;
            while self.is_read_for() {
                sleep(INSTANCES_PERIOD).await;
            }
        }
    }

    /// Compares the copies of tables with those of other instances and fetches what is newer.
    pub async fn run_anti_entropy(self: Rc<Self>) {
        let mut behind = [false; 2];
        loop {
            sleep(HEALING_PERIOD).await;
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
                    self.tables.borrow_mut().table(table).note_version(version);
                    self.take_rows(table, rows);
                    if table == WatchedTable::Endpoints {
                        self.directory.borrow_mut().set_endpoints_loaded();
                    }
                }
            }
        }
    }
}
