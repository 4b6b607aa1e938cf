//! Decides whether an instance may still make decisions by its document.

use std::time::{Duration, Instant};

use crate::document_lag::DocumentLag;
use crate::table_age::TableAge;

/// What an instance knows about its document.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DocumentState {
    /// Evidence from within the bound shows that it is the newest.
    Confirmed,
    /// There is no such evidence, and neither the store nor any other instance that can be reached
    /// has a newer one. The instance goes on with the document.
    Assumed,
    /// A newer document must be in force by now: nothing may be decided by this one.
    Outdated,
}

impl DocumentState {
    /// All states.
    pub const ALL: [Self; 3] = [Self::Confirmed, Self::Assumed, Self::Outdated];

    /// Returns the state of a document that must be replaced within the `bound`.
    pub fn assess<D: Copy + Default + Ord, V: Copy + Ord>(
        lag: &DocumentLag<D>,
        age: &TableAge<V>,
        bound: Duration,
        now: Instant,
    ) -> Self {
        if lag.is_outdated(bound, now) || age.is_expired(bound, now) {
            Self::Outdated
        } else if age.is_confirmed(bound, now) {
            Self::Confirmed
        } else if lag.has_newer_peer() {
            Self::Outdated
        } else {
            Self::Assumed
        }
    }

    /// Returns the label of the state for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Confirmed => "confirmed",
            Self::Assumed => "assumed",
            Self::Outdated => "outdated",
        }
    }
}
