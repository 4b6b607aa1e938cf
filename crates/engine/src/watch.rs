//! Applies changes of the platform's tables.

use std::time::Duration;

use state::store_version::StoreVersion;
use telemetry::event::LogEvent;
use telemetry::log_event;
use tokio::time::sleep;

use crate::instance::{EngineTypes, GatewayInstance};
use crate::interface::{PlatformApi, RowChange, WatchedTable};
use crate::table_change::PackedChange;
use crate::tables::StoredRow;

/// Time for which a starting instance waits for a table of its zone's reader, since the start or
/// since a part of the table arrived.
const PEER_TABLE_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval at which a starting instance checks whether it has the table.
const PEER_TABLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

impl<E: EngineTypes> GatewayInstance<E> {
    /// Waits until the table was fetched from an observer, or until no other instance is known to
    /// read the store for this zone.
    ///
    /// When a whole fleet starts, one read for each zone spares the store one for each instance.
    pub(crate) async fn await_peer_table(&self, table: WatchedTable) {
        let started_at = self.now();
        loop {
            let is_loaded = !self.tables.borrow_mut().table(table).version().is_empty();
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

    /// Merges changes read from the store, and passes them on to the zone.
    pub(crate) fn merge_store_changes(&self, table: WatchedTable, rows: Vec<StoredRow>) {
        let (changed, change) = {
            let mut tables = self.tables.borrow_mut();
            let cache = tables.table(table);
            cache.merge_store_changes(cache.version(), rows)
        };
        self.push_change(table, &change);
        // Other removals have versions that the store did not give.
        let removed = changed.iter().filter(|row| row.value.is_none());
        removed.for_each(|row| self.directory.borrow_mut().record_other_row(row.version));
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
        self.record_store_history(change.version);
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
    pub(crate) fn merge_snapshot(
        &self,
        table: WatchedTable,
        rows: Vec<StoredRow>,
        version: StoreVersion,
    ) {
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
            let change = self.platform.decode_row(table, row);
            if row.value.is_some() && !matches!(change, Some(RowChange::Document(_))) {
                self.directory.borrow_mut().record_other_row(row.version);
            }
            if let Some(change) = change {
                self.apply_row_change(change, row);
            }
        }
        if table == WatchedTable::Document && is_first {
            // The instance starts and cannot know for how long the zones have been evacuated.
            self.directory.borrow_mut().evacuations_mut().close_evacuated(self.now());
        }
    }
}
