//! Caches of the platform's tables, which instances replicate among each other.
//!
//! Calls to the store cost money, and change feeds make up most of them. One instance of each
//! availability zone therefore reads the feed and pushes the changes to the others of its zone.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::interface::WatchedTable;

/// Row of the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredRow {
    /// Key.
    pub key: String,
    /// Version of the last change to the row.
    pub version: u64,
    /// Content; `None` marks a removed row.
    pub value: Option<Vec<u8>>,
}

/// Cache of one table. Removed rows stay in it, so that an older version cannot restore them.
#[derive(Debug, Default)]
pub struct TableCache {
    rows: HashMap<String, StoredRow>,
    /// Version up to which changes were received.
    version: u64,
}

impl TableCache {
    /// Returns the version up to which the cache has received changes.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Merges rows and returns those that were newer than the cached ones. The version stays.
    pub fn merge_rows(&mut self, rows: Vec<StoredRow>) -> Vec<StoredRow> {
        let mut changed = Vec::new();
        for row in rows {
            if self.rows.get(&row.key).is_some_and(|known| known.version >= row.version) {
                continue;
            }
            self.rows.insert(row.key.clone(), row.clone());
            changed.push(row);
        }
        changed
    }

    /// Merges all changes after the version `after`, and returns the rows that changed.
    ///
    /// If the cache lacks changes up to `after`, its version stays, so that it is still seen to be
    /// behind.
    pub fn merge_changes(&mut self, after: u64, rows: Vec<StoredRow>) -> Vec<StoredRow> {
        let newest = rows.iter().map(|row| row.version).max();
        if self.version >= after {
            self.version = self.version.max(newest.unwrap_or_default());
        }
        self.merge_rows(rows)
    }

    /// Merges all rows of the table as of `version` and returns those that changed.
    ///
    /// Cached rows that are missing from `rows` are treated as removed. The cache has the version of
    /// the read afterwards, even if the table is empty.
    pub fn merge_snapshot(&mut self, rows: Vec<StoredRow>, version: u64) -> Vec<StoredRow> {
        let is_missing = |known: &&StoredRow| {
            known.version <= version
                && known.value.is_some()
                && !rows.iter().any(|row| row.key == known.key)
        };
        let removed: Vec<StoredRow> = self
            .rows
            .values()
            .filter(is_missing)
            // The snapshot does not state the version of the removal; any version above the cached
            // one replaces the row.
            .map(|known| StoredRow { version: known.version + 1, value: None, ..known.clone() })
            .collect();
        self.raise_version(version);
        let mut changed = self.merge_rows(removed);
        changed.extend(self.merge_rows(rows));
        changed
    }

    /// Returns all rows, including removed ones.
    pub fn rows(&self) -> Vec<StoredRow> {
        self.rows.values().cloned().collect()
    }

    /// Raises the version to that of another instance's cache that is merged in full.
    pub fn raise_version(&mut self, version: u64) {
        self.version = self.version.max(version);
    }
}

/// Caches of all watched tables.
#[derive(Debug, Default)]
pub struct TableCaches {
    document: TableCache,
    endpoints: TableCache,
}

impl TableCaches {
    /// Returns the cache of a table.
    pub fn table(&mut self, table: WatchedTable) -> &mut TableCache {
        match table {
            WatchedTable::Document => &mut self.document,
            WatchedTable::Endpoints => &mut self.endpoints,
        }
    }

    /// Returns the versions of the caches, in the order of [`WatchedTable::ALL`].
    pub fn versions(&self) -> [u64; 2] {
        [self.document.version, self.endpoints.version]
    }
}
