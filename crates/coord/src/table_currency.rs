//! Tracks as of when a cached table held all changes of the store.
//!
//! Instances learn of changes through the reader of their availability zone. One that relies on a
//! reader without evidence that nothing is missing cannot tell a quiet store from a reader that is
//! silent, slow or cut off. Evidence is a version and a time: a cache of that version, or of a
//! higher one, holds all changes that were made before that time. Times are on the own clock.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Number of versions for which evidence waits until the cache has reached them.
const MAX_PENDING: usize = 64;

/// Evidence about a version of a table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct CurrencyEvidence {
    version: u64,
    as_of: Instant,
}

/// Evidence about the cache of one table.
#[derive(Clone, Debug)]
pub struct TableCurrency {
    started_at: Instant,
    /// Time up to which the cache holds all changes.
    confirmed_at: Option<Instant>,
    /// Evidence for versions that the cache has not reached, both values ascending.
    pending: VecDeque<CurrencyEvidence>,
}

impl TableCurrency {
    /// Creates the tracker of an empty cache.
    pub fn new(started_at: Instant) -> Self {
        Self { started_at, confirmed_at: None, pending: VecDeque::new() }
    }

    /// Records that a cache of `version` holds all changes before `as_of`; `own` is the version of
    /// the own cache.
    pub fn record(&mut self, own: u64, version: u64, as_of: Instant) {
        if version > own {
            self.insert_pending(CurrencyEvidence { version, as_of });
        } else {
            self.confirm(as_of);
        }
        self.advance(own);
    }

    /// Applies the evidence for versions that the own cache has reached.
    pub fn advance(&mut self, own: u64) {
        while let Some(evidence) = self.pending.pop_front_if(|evidence| evidence.version <= own) {
            self.confirm(evidence.as_of);
        }
    }

    /// Returns the time up to which the cache holds all changes; `None` if that is not known.
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at
    }

    /// Returns for how long the cache may have missed a change: the time since it held all of them.
    ///
    /// Without any evidence it counts from the start of the instance.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.confirmed_at.unwrap_or(self.started_at))
    }

    fn confirm(&mut self, as_of: Instant) {
        if self.confirmed_at.is_none_or(|confirmed_at| as_of > confirmed_at) {
            self.confirmed_at = Some(as_of);
        }
    }

    fn insert_pending(&mut self, evidence: CurrencyEvidence) {
        let is_implied = |known: &CurrencyEvidence| {
            known.version <= evidence.version && known.as_of >= evidence.as_of
        };
        if self.pending.iter().any(is_implied) {
            return;
        }
        // A lower version with a later time says more than a higher one with an earlier time.
        self.pending
            .retain(|known| known.version < evidence.version || (known.as_of > evidence.as_of));
        let position = self.pending.partition_point(|known| known.version < evidence.version);
        self.pending.insert(position, evidence);
        if self.pending.len() > MAX_PENDING {
            // Less evidence makes the cache look older than it is, never newer.
            self.pending.remove(MAX_PENDING - 1);
        }
    }
}
