//! Decides whether a row that is read from a new history of the store is newer than the cached one.
//!
//! Answers the load of a store that comes back from an older copy: its first rows are as old as the
//! copy, until operators and members write theirs again. Within one history the version of a row
//! decides. Between two histories versions say nothing, so the content does.

use std::cmp::Ordering;
use std::collections::VecDeque;

use state::store_version::StoreVersion;

/// Number of earlier contents that are remembered.
const MAX_EARLIER: usize = 64;

/// Order of the contents of a row that its writer states.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RowRecency {
    /// Document, by its number. An operator may go on from the number that the copy has.
    Document {
        /// Number of the document.
        number: u64,
    },
    /// Registration of an endpoint.
    Endpoint {
        /// Start time of the endpoint's process, in milliseconds since the Unix epoch.
        started_ms: u64,
        /// Number of the report, counted from the start of the process.
        sequence: u64,
    },
}

/// Earlier contents of a cached row.
#[derive(Clone, Debug, Default)]
pub struct RowTrail {
    /// Documents, or registrations with the number of the last one, with their versions; the oldest
    /// first.
    earlier: VecDeque<(RowRecency, StoreVersion)>,
}

impl RowTrail {
    /// Records that a row was cached.
    pub fn record(&mut self, recency: Option<RowRecency>, version: StoreVersion) {
        let Some(recency) = recency else {
            return;
        };
        let is_endpoint = matches!(recency, RowRecency::Endpoint { .. });
        if is_endpoint && self.earlier.back().is_some_and(|(last, _)| *last != recency) {
            self.earlier.clear();
        }
        self.earlier.push_back((recency, version));
        if self.earlier.len() > MAX_EARLIER {
            self.earlier.pop_front();
        }
    }

    /// Returns whether a row of a new history is older than the cached one, so that the copy from
    /// which the store came back had it.
    pub fn is_older(
        &self,
        cached: Option<RowRecency>,
        incoming: Option<RowRecency>,
        version: StoreVersion,
    ) -> bool {
        let (Some(cached), Some(incoming)) = (cached, incoming) else {
            return false;
        };
        match (incoming.cmp(&cached), incoming) {
            (Ordering::Greater, _) => false,
            (Ordering::Less, RowRecency::Endpoint { .. }) => true,
            (Ordering::Less, RowRecency::Document { .. }) => {
                self.was_cached(incoming, version) || !self.is_covered(version)
            }
            (Ordering::Equal, _) => self.was_cached(incoming, version),
        }
    }

    /// Returns whether the row was cached with the same version before, so that the copy has it.
    fn was_cached(&self, recency: RowRecency, version: StoreVersion) -> bool {
        self.earlier.iter().any(|(earlier, at)| *earlier == recency && at.number == version.number)
    }

    /// Returns whether anything is known from before a version; the copy may have any row otherwise.
    fn is_covered(&self, version: StoreVersion) -> bool {
        self.earlier.iter().any(|(_, at)| at.number < version.number)
    }
}
