//! Remembers which versions the store gave to rows in its last histories.

use std::collections::{BTreeMap, BTreeSet};

use state::store_version::StoreVersion;

/// Number of histories that are remembered.
const MAX_HISTORIES: usize = 4;
/// Number of versions of each history that are remembered, the highest ones.
const MAX_ROWS: usize = 4_096;

/// Versions of rows, by the history of the store in which they were read.
#[derive(Clone, Debug, Default)]
pub struct RowLog {
    histories: BTreeMap<u64, BTreeSet<u64>>,
}

impl RowLog {
    /// Records the version of a row.
    pub fn record(&mut self, version: StoreVersion) {
        let rows = self.histories.entry(version.history).or_default();
        rows.insert(version.number);
        if rows.len() > MAX_ROWS {
            rows.pop_first();
        }
        if self.histories.len() > MAX_HISTORIES {
            self.histories.pop_first();
        }
    }

    /// Returns whether a row had this version.
    pub fn contains(&self, version: StoreVersion) -> bool {
        self.histories.get(&version.history).is_some_and(|rows| rows.contains(&version.number))
    }

    /// Returns the remembered histories before `history`, each with the highest version of a row.
    pub fn newest_before(&self, history: u64) -> impl Iterator<Item = StoreVersion> + '_ {
        let newest = |(history, rows): (&u64, &BTreeSet<u64>)| {
            Some(StoreVersion::new(*history, *rows.last()?))
        };
        self.histories.range(..history).filter_map(newest)
    }
}
