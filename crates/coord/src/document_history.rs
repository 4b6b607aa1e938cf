//! Remembers since when documents have been in force, so that decisions by replaced ones are noticed.
//!
//! Answers the load of an instance that goes on by a document that was replaced, and passes its
//! callers' requests to owners that have the newer one.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Number of documents that are remembered.
const MAX_DOCUMENTS: usize = 64;

/// Documents that came into force on this instance.
#[derive(Clone, Debug, Default)]
pub struct DocumentHistory<V> {
    /// Versions in ascending order, with the times at which they came into force.
    documents: VecDeque<(V, Instant)>,
}

impl<V: Copy + Default + Ord> DocumentHistory<V> {
    /// Records that a document came into force.
    pub fn record(&mut self, version: V, now: Instant) {
        if self.documents.back().is_some_and(|(newest, _)| *newest >= version) {
            return;
        }
        self.documents.push_back((version, now));
        if self.documents.len() > MAX_DOCUMENTS {
            self.documents.pop_front();
        }
    }

    /// Returns whether a document must have been replaced everywhere by now, according to the `bound`
    /// within which documents are in force.
    pub fn is_replaced(&self, version: V, bound: Duration, now: Instant) -> bool {
        let next = self.documents.iter().find(|(newer, _)| *newer > version);
        next.is_some_and(|(_, since)| now.saturating_duration_since(*since) > bound)
    }
}
