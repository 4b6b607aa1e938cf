//! Caches of the platform's tables, which instances replicate among each other.
//!
//! Calls to the store cost money, and change feeds make up most of them. One instance of each
//! availability zone therefore reads the feed and pushes the changes to the others of its zone.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use serde::{Deserialize, Serialize};
use state::store_version::StoreVersion;
use telemetry::event::LogEvent;
use telemetry::log_event;

use crate::interface::WatchedTable;
use crate::table_change::{DeltaContent, PackedBytes, RowDelta, TableChange};

/// Size from which a value is sent as a patch of the one that it replaces, in bytes.
const MIN_PATCHED_BYTES: usize = 4 << 10;
/// Number of successive patches of one row that are kept.
const MAX_PATCHES: usize = 16;
/// Patches are sent if they are together at most this part of the whole value.
const MAX_PATCH_FRACTION: usize = 8;

/// Row of the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredRow {
    /// Key.
    pub key: String,
    /// Version of the last change to the row.
    pub version: StoreVersion,
    /// Content; `None` marks a removed row.
    pub value: Option<Vec<u8>>,
}

impl StoredRow {
    /// Returns a hash of the content, which is the same only within this process.
    pub fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.value.hash(&mut hasher);
        hasher.finish()
    }
}

/// Change of a large row from one version to the next.
#[derive(Clone, Debug)]
struct RowPatch {
    base_version: StoreVersion,
    version: StoreVersion,
    patch: PackedBytes,
}

/// Cached row, with the patches that led to its version.
#[derive(Debug)]
struct CachedRow {
    row: StoredRow,
    /// Successive patches, the last of which led to the row's version.
    patches: VecDeque<RowPatch>,
}

impl CachedRow {
    fn new(row: StoredRow) -> Self {
        Self { row, patches: VecDeque::new() }
    }

    /// Replaces the row by the result of a patch.
    fn apply_patch(&mut self, row: StoredRow, patch: PackedBytes) {
        let (base_version, version) = (self.row.version, row.version);
        self.patches.push_back(RowPatch { base_version, version, patch });
        if self.patches.len() > MAX_PATCHES {
            self.patches.pop_front();
        }
        self.row = row;
    }

    /// Appends what a cache that has all changes up to `since` lacks of the row.
    fn append_changes(&self, since: StoreVersion, deltas: &mut Vec<RowDelta>) {
        let delta = |version, content| RowDelta { key: self.row.key.clone(), version, content };
        let Some(value) = &self.row.value else {
            deltas.push(delta(self.row.version, DeltaContent::Removed));
            return;
        };
        // The receiver has the newest version up to `since`, which some patch starts from.
        let first = self.patches.iter().rposition(|patch| patch.base_version <= since);
        let missing = first.map(|first| self.patches.range(first..)).into_iter().flatten();
        let patch_bytes: usize = missing.clone().map(|patch| patch.patch.packed_length()).sum();
        if first.is_none() || patch_bytes > value.len() / MAX_PATCH_FRACTION {
            deltas.push(delta(self.row.version, DeltaContent::Whole(value.clone())));
            return;
        }
        deltas.extend(missing.map(|patch| {
            let (base_version, packed) = (patch.base_version, patch.patch.clone());
            delta(patch.version, DeltaContent::Patch { base_version, patch: packed })
        }));
    }
}

/// Cache of one table. Removed rows stay in it, so that an older version cannot restore them.
#[derive(Debug, Default)]
pub struct TableCache {
    rows: BTreeMap<String, CachedRow>,
    /// Version up to which changes were received.
    version: StoreVersion,
    /// Version from which on the cache knows all removed rows.
    complete_since: StoreVersion,
}

impl TableCache {
    /// Returns the version up to which the cache has received changes.
    pub fn version(&self) -> StoreVersion {
        self.version
    }

    /// Merges rows and returns those that were newer than the cached ones. The version stays.
    pub fn merge_rows(&mut self, rows: Vec<StoredRow>) -> Vec<StoredRow> {
        let mut changed = Vec::new();
        for row in rows {
            if self.rows.get(&row.key).is_some_and(|known| known.row.version >= row.version) {
                continue;
            }
            self.rows.insert(row.key.clone(), CachedRow::new(row.clone()));
            changed.push(row);
        }
        changed
    }

    /// Merges all rows of the table as of `version` and returns those that changed.
    ///
    /// Cached rows that are missing from `rows` are treated as removed. The cache has the version of
    /// the read afterwards, even if the table is empty.
    pub fn merge_snapshot(
        &mut self,
        rows: Vec<StoredRow>,
        version: StoreVersion,
    ) -> Vec<StoredRow> {
        let removed = self.missing_rows(version, |key| rows.iter().any(|row| row.key == key));
        self.complete_since = self.complete_since.max(version);
        self.raise_version(version);
        let mut changed = self.merge_rows(removed);
        changed.extend(self.merge_rows(rows));
        changed
    }

    /// Returns removals of the cached rows up to `version` that are not listed.
    fn missing_rows(
        &self,
        version: StoreVersion,
        is_listed: impl Fn(&str) -> bool,
    ) -> Vec<StoredRow> {
        let rows = self.rows.values().map(|cached| &cached.row);
        let is_missing = |row: &&StoredRow| {
            row.version <= version && row.value.is_some() && !is_listed(&row.key)
        };
        // The version of the removal is unknown; any version above the cached one replaces the row. In
        // a new history the row may be written again under any number.
        let removal = |row: &StoredRow| StoredRow {
            version: row.version.successor().max(StoreVersion::start_of(version.history)),
            value: None,
            ..row.clone()
        };
        rows.filter(is_missing).map(removal).collect()
    }

    /// Merges all changes that the store made after the version `after`.
    ///
    /// Returns the rows that changed, and the change as other instances need it.
    pub fn merge_store_changes(
        &mut self,
        after: StoreVersion,
        rows: Vec<StoredRow>,
    ) -> (Vec<StoredRow>, TableChange) {
        let newest = rows.iter().map(|row| row.version).max().unwrap_or_default();
        let (mut changed, mut deltas) = (Vec::new(), Vec::new());
        for row in rows {
            if self.rows.get(&row.key).is_some_and(|known| known.row.version >= row.version) {
                continue;
            }
            deltas.push(self.replace_row(row.clone()));
            changed.push(row);
        }
        if self.version >= after {
            self.raise_version(newest);
        }
        let change =
            TableChange { after, version: newest.max(after), is_full: false, rows: deltas };
        (changed, change)
    }

    /// Replaces a row, and returns the change: a patch if both values are large.
    fn replace_row(&mut self, row: StoredRow) -> RowDelta {
        let (key, version) = (row.key.clone(), row.version);
        let content = match (self.rows.get_mut(&key), &row.value) {
            (Some(cached), Some(value)) if value.len() >= MIN_PATCHED_BYTES => {
                let base_version = cached.row.version;
                let base = cached.row.value.as_deref().unwrap_or_default();
                match PackedBytes::pack(value, base) {
                    Ok(patch) if !base.is_empty() => {
                        cached.apply_patch(row, patch.clone());
                        return RowDelta {
                            key,
                            version,
                            content: DeltaContent::Patch { base_version, patch },
                        };
                    }
                    Ok(_) => {}
                    Err(error) => {
                        log_event!(LogEvent::TableFetchFailed, "key={key} cause=\"{error}\"");
                    }
                }
                DeltaContent::Whole(value.clone())
            }
            (_, Some(value)) => DeltaContent::Whole(value.clone()),
            (_, None) => DeltaContent::Removed,
        };
        self.rows.insert(key.clone(), CachedRow::new(row));
        RowDelta { key, version, content }
    }

    /// Returns what a cache lacks that has all changes up to `since`; zero for an empty one.
    pub fn changes_since(&self, since: StoreVersion) -> TableChange {
        let is_full = since < self.complete_since;
        let mut rows = Vec::new();
        for cached in self.rows.values() {
            let (row, is_removed) = (&cached.row, cached.row.value.is_none());
            if row.version > since {
                if !is_full || !is_removed {
                    cached.append_changes(since, &mut rows);
                }
            } else if is_full && !is_removed {
                let (key, version) = (row.key.clone(), row.version);
                rows.push(RowDelta { key, version, content: DeltaContent::Unchanged });
            }
        }
        TableChange { after: since, version: self.version, is_full, rows }
    }

    /// Merges changes that another instance sent.
    ///
    /// Returns the rows that changed, and whether the cache has all of the changes now. If it has
    /// not, its version stays, so that it is still seen to be behind.
    pub fn merge_change(&mut self, change: TableChange) -> (Vec<StoredRow>, bool) {
        let mut is_complete = self.version >= change.after;
        let mut changed = Vec::new();
        if change.is_full {
            let is_listed = |key: &str| change.rows.iter().any(|delta| delta.key == key);
            let removed = self.missing_rows(change.version, is_listed);
            changed.extend(self.merge_rows(removed));
        }
        for delta in change.rows {
            match self.merge_delta(delta) {
                Ok(Some(row)) => {
                    // Only the last of several patches of a row matters.
                    changed.retain(|earlier: &StoredRow| earlier.key != row.key);
                    changed.push(row);
                }
                Ok(None) => {}
                Err(()) => is_complete = false,
            }
        }
        if is_complete {
            if change.is_full {
                self.complete_since = self.complete_since.max(change.version);
            }
            self.raise_version(change.version);
        }
        (changed, is_complete)
    }

    /// Merges one change; returns the row if it is newer than the cached one, and an error if the
    /// cache lacks what the change refers to.
    fn merge_delta(&mut self, delta: RowDelta) -> Result<Option<StoredRow>, ()> {
        let RowDelta { key, version, content } = delta;
        let known = self.rows.get_mut(&key);
        if known.as_ref().is_some_and(|cached| cached.row.version >= version) {
            return Ok(None);
        }
        let value = match content {
            DeltaContent::Removed => None,
            DeltaContent::Whole(value) => Some(value),
            DeltaContent::Unchanged => return Err(()),
            DeltaContent::Patch { base_version, patch } => {
                let cached = known.filter(|cached| cached.row.version == base_version).ok_or(())?;
                let base = cached.row.value.as_deref().unwrap_or_default();
                let value = patch.unpack(base).map_err(|error| {
                    log_event!(LogEvent::TableFetchFailed, "key={key} cause=\"{error}\"");
                })?;
                let row = StoredRow { key, version, value: Some(value) };
                cached.apply_patch(row.clone(), patch);
                return Ok(Some(row));
            }
        };
        let row = StoredRow { key: key.clone(), version, value };
        self.rows.insert(key, CachedRow::new(row.clone()));
        Ok(Some(row))
    }

    /// Returns all rows in the order of their keys, including removed ones.
    pub fn rows(&self) -> Vec<StoredRow> {
        self.rows.values().map(|cached| cached.row.clone()).collect()
    }

    /// Raises the version to that of another instance's cache that is merged in full.
    pub fn raise_version(&mut self, version: StoreVersion) {
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
    pub fn versions(&self) -> [StoreVersion; 2] {
        [self.document.version, self.endpoints.version]
    }
}
