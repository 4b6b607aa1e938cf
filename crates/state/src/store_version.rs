//! Versions of the platform's store, which may come back from an older copy.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Version of the store, of one of its rows or of a table.
///
/// A store that comes back from an older copy gives out the numbers after the copy's a second time,
/// and begins a new history. Versions of a later history are newer whatever their numbers are.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct StoreVersion {
    /// History of the store; rises by one each time that the store comes back from an older copy.
    pub history: u64,
    /// Number of the change within the history.
    pub number: u64,
}

impl StoreVersion {
    /// Creates a version.
    pub fn new(history: u64, number: u64) -> Self {
        Self { history, number }
    }

    /// Returns whether no change is included.
    pub fn is_empty(self) -> bool {
        self == Self::default()
    }

    /// Returns the lowest version above this one.
    pub fn successor(self) -> Self {
        Self { number: self.number.saturating_add(1), ..self }
    }

    /// Returns the version below all changes of a history.
    pub fn start_of(history: u64) -> Self {
        Self { history, number: 0 }
    }

    /// Returns whether this is the version below all changes of its history.
    pub fn is_start(self) -> bool {
        self.number == 0
    }
}

impl fmt::Display for StoreVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.history, self.number)
    }
}

/// Version of a document: that of its row, and its number.
///
/// An instance may keep a document with a higher number than the one in the row.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct DocumentVersion {
    /// Version of the document's row.
    pub row: StoreVersion,
    /// Number that the operator gave the document.
    pub number: u64,
}

impl fmt::Display for DocumentVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}#{}", self.row, self.number)
    }
}
