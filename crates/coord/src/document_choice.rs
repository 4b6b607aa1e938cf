//! Decides which document is in force when the store comes back from an older copy.
//!
//! Answers the load of a store whose first document after its return is that of the copy, until the
//! operator writes again what was lost. Numbers of documents increase, so the one with the highest
//! number stays in force. An operator may also go on from the number that the copy has: a document
//! with a lower number comes into force once it is certain that it was written after the return, and
//! it was not replaced within a while, as documents that are written again in their order are.
//!
//! A document is certainly new if its row is above one that was written after the return, or if the
//! history before the return cannot have had it: numbers rise with the versions of their rows, and no
//! two transactions of a history have the same version.

use std::cmp::Ordering;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

use state::store_version::{DocumentVersion, StoreVersion};

use crate::row_log::RowLog;

/// Number of documents that are remembered.
const MAX_EARLIER: usize = 64;

/// Document that the store has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OfferedDocument {
    /// Version of its row, and its number.
    pub version: DocumentVersion,
    /// Hash of its content.
    pub digest: u64,
}

impl OfferedDocument {
    /// Returns whether no history can have had both documents, whatever the histories of their rows.
    fn contradicts(&self, other: &Self) -> bool {
        let (row, other_row) = (self.version.row.number, other.version.row.number);
        match (row.cmp(&other_row), self.version.number.cmp(&other.version.number)) {
            (Ordering::Equal, Ordering::Equal) => self.digest != other.digest,
            (by_row, by_number) => by_row != by_number,
        }
    }
}

/// What becomes of a document that the store has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DocumentStep {
    /// It comes into force.
    Adopt,
    /// It is the document in force, which has the version of the row now.
    Confirm,
    /// The document in force stays, under the version of the row.
    Keep,
    /// The document in force stays for now; this one may come into force later.
    Wait,
    /// The row is older than that of the document in force, or the document has a lower number.
    Ignore,
}

/// Document in force, and what is known of those that the store has had.
#[derive(Clone, Debug, Default)]
pub struct DocumentChoice {
    in_force: Option<OfferedDocument>,
    /// History in which the document in force was written.
    origin: u64,
    /// Hashes of the contents that have been in force.
    earlier: VecDeque<u64>,
    /// Documents that the store has had.
    offered: VecDeque<OfferedDocument>,
    /// Versions of rows that hold no document.
    other_rows: RowLog,
    /// Document that may come into force, and since when it is known.
    pending: Option<(OfferedDocument, Instant)>,
    /// Lowest version from which on everything was written after the store's last return.
    written_since: StoreVersion,
}

impl DocumentChoice {
    /// Returns the version of the document in force; empty before the first one.
    pub fn version(&self) -> DocumentVersion {
        self.in_force.map(|document| document.version).unwrap_or_default()
    }

    /// Returns the number for a document whose own cannot be decoded. It comes into force by its row, and
    /// is replaced by any document with a higher number than the one before it.
    pub fn substitute_number(&self) -> u64 {
        self.version().number.max(1)
    }

    /// Returns whether the store has another document than the one in force.
    pub fn is_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Records that everything from this version on was written after the store had its history.
    pub fn record_written(&mut self, version: StoreVersion) {
        let is_first = version.history > self.written_since.history;
        if is_first || version < self.written_since {
            self.written_since = version;
        }
    }

    /// Records that a row other than the document's was written with this version.
    pub fn record_other_row(&mut self, version: StoreVersion) {
        self.other_rows.record(version);
    }

    /// Returns what becomes of a document that the store has.
    pub fn offer(&mut self, offered: OfferedDocument, now: Instant) -> DocumentStep {
        remember(&mut self.offered, offered);
        let Some(in_force) = self.in_force else {
            return self.adopt(offered);
        };
        let (row, number) = (offered.version.row, offered.version.number);
        let newest_row = self.pending.map_or(in_force.version.row, |(pending, _)| {
            pending.version.row.max(in_force.version.row)
        });
        if row <= newest_row {
            return DocumentStep::Ignore;
        }
        self.pending = None;
        if offered.digest == in_force.digest {
            self.origin = row.history;
            self.keep(in_force, row);
            return DocumentStep::Confirm;
        }
        if number > in_force.version.number {
            return self.adopt(offered);
        }
        if row.history == self.origin {
            // Only a substitute number can occur twice in a history.
            return match number == in_force.version.number {
                true => self.adopt(offered),
                false => DocumentStep::Ignore,
            };
        }
        if self.earlier.contains(&offered.digest) {
            return self.keep(in_force, row);
        }
        if number == in_force.version.number {
            return self.adopt(offered);
        }
        self.pending = Some((offered, now));
        DocumentStep::Wait
    }

    /// Brings a document into force that another instance has kept, if it is newer than the own one.
    /// Returns whether it is in force now.
    pub fn adopt_kept(&mut self, kept: OfferedDocument) -> bool {
        if kept.version <= self.version() {
            return false;
        }
        self.adopt(kept);
        // It was written in an earlier history than that of its row.
        self.origin = 0;
        true
    }

    /// Returns whether the pending document comes into force: it was certainly written after the
    /// return of the store, and was not replaced for `settle_time`.
    pub fn settle(&mut self, settle_time: Duration, now: Instant) -> bool {
        let Some((pending, since)) = self.pending else {
            return false;
        };
        let row = pending.version.row;
        let is_above = row >= self.written_since && row.history == self.written_since.history;
        let is_new = is_above || self.contradicts_earlier_histories(pending);
        if !is_new || now.saturating_duration_since(since) < settle_time {
            return false;
        }
        self.adopt(pending);
        true
    }

    fn adopt(&mut self, document: OfferedDocument) -> DocumentStep {
        self.in_force = Some(document);
        self.origin = document.version.row.history;
        self.pending = None;
        remember(&mut self.earlier, document.digest);
        DocumentStep::Adopt
    }

    /// Returns whether the history before the document's own cannot have had it, nor any earlier one
    /// whose known versions reach that of its row.
    fn contradicts_earlier_histories(&self, document: OfferedDocument) -> bool {
        let row = document.version.row;
        let documents = self.offered.iter().map(|known| known.version.row);
        let newest_rows = self.other_rows.newest_before(row.history).chain(documents);
        let reaching = newest_rows.filter(|newest| newest.history < row.history);
        let mut reaching = reaching.filter(|newest| newest.number >= row.number);
        row.history.checked_sub(1).is_some_and(|last| self.is_contradicted_in(last, document))
            && reaching.all(|newest| self.is_contradicted_in(newest.history, document))
    }

    fn is_contradicted_in(&self, history: u64, document: OfferedDocument) -> bool {
        let row = document.version.row;
        // One transaction gives all of its rows the same version.
        let is_shared = self.other_rows.contains(row);
        let is_other_row = self.other_rows.contains(StoreVersion { history, ..row });
        let mut documents =
            self.offered.iter().filter(|known| known.version.row.history == history);
        (is_other_row && !is_shared) || documents.any(|known| known.contradicts(&document))
    }

    fn keep(&mut self, in_force: OfferedDocument, row: StoreVersion) -> DocumentStep {
        let version = DocumentVersion { row, ..in_force.version };
        self.in_force = Some(OfferedDocument { version, ..in_force });
        DocumentStep::Keep
    }
}

/// Appends a new entry, and evicts the oldest one above [`MAX_EARLIER`].
fn remember<T: PartialEq>(entries: &mut VecDeque<T>, entry: T) {
    if entries.contains(&entry) {
        return;
    }
    entries.push_back(entry);
    if entries.len() > MAX_EARLIER {
        entries.pop_front();
    }
}
