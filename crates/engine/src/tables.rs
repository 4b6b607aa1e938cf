//! Copies of the platform's tables, which instances pass on to each other.
//!
//! One instance in an availability zone reads the store and pushes what changes to the others;
//! every call to the store is paid for, and a feed for each instance is most of them.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::interface::WatchedTable;

/// Row as the store holds it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredRow {
    /// Key.
    pub key: String,
    /// Version of its last change.
    pub version: u64,
    /// Content; none if it was removed.
    pub value: Option<Vec<u8>>,
}

/// Copy of one table.
#[derive(Debug, Default)]
pub struct TableCache {
    rows: HashMap<String, StoredRow>,
    version: u64,
}

impl TableCache {
    /// Returns the version of the last change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Takes changed rows and returns those that are news.
    pub fn merge_changes(&mut self, rows: Vec<StoredRow>) -> Vec<StoredRow> {
        let mut changed = Vec::new();
        for row in rows {
            self.version = self.version.max(row.version);
            if self.rows.get(&row.key).is_some_and(|known| known.version >= row.version) {
                continue;
            }
            self.rows.insert(row.key.clone(), row.clone());
            changed.push(row);
        }
        changed
    }

    /// Takes all rows as of `version` and returns those that are news; rows that are missing were
    /// removed.
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
            .map(|known| StoredRow { version: known.version + 1, value: None, ..known.clone() })
            .collect();
        let mut changed = self.merge_changes(removed);
        changed.extend(self.merge_changes(rows));
        changed
    }

    /// Returns all rows, removed ones included.
    pub fn rows(&self) -> Vec<StoredRow> {
        self.rows.values().cloned().collect()
    }

    /// Raises the version after a copy from another instance was taken in full.
    pub fn raise_version(&mut self, version: u64) {
        self.version = self.version.max(version);
    }
}

/// Copies of all tables.
#[derive(Debug, Default)]
pub struct TableCaches {
    document: TableCache,
    endpoints: TableCache,
}

impl TableCaches {
    /// Returns the copy of a table.
    pub fn table(&mut self, table: WatchedTable) -> &mut TableCache {
        match table {
            WatchedTable::Document => &mut self.document,
            WatchedTable::Endpoints => &mut self.endpoints,
        }
    }

    /// Returns the versions of the copies, in the order of [`WatchedTable::ALL`].
    pub fn versions(&self) -> [u64; 2] {
        [self.document.version, self.endpoints.version]
    }
}
