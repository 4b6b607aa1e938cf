//! Tracks for how long other instances have had a newer document in force.
//!
//! An instance that has missed the bound within which a document must be in force must not decide by
//! the old one while others can.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Part of the bound after which an instance stops deciding by its document.
///
/// Requests that are under way must have ended before the bound.
const MAX_LAG_FRACTION: f64 = 0.8;
/// Number of missed documents that are tracked.
const MAX_MISSED: usize = 64;

/// Documents that other instances have in force and this one has not.
#[derive(Clone, Debug, Default)]
pub struct DocumentLag<V> {
    /// Missed documents in their order, with the time at which another instance reported them.
    missed: VecDeque<(V, Instant)>,
    /// A live instance has a newer document.
    has_newer_peer: bool,
}

impl<V: Copy + Default + Ord> DocumentLag<V> {
    /// Records the own document and the newest one that a live instance reports.
    pub fn record(&mut self, own: V, newest_elsewhere: V, now: Instant) {
        while self.missed.front().is_some_and(|(version, _)| *version <= own) {
            self.missed.pop_front();
        }
        self.has_newer_peer = newest_elsewhere > own;
        let newest_missed = self.missed.back().map_or(own, |(version, _)| *version);
        if newest_elsewhere <= newest_missed {
            return;
        }
        let is_full = self.missed.len() >= MAX_MISSED;
        match self.missed.back_mut().filter(|_| is_full) {
            // The newest one takes the time of an earlier one, which can only end decisions sooner.
            Some((version, _)) => *version = newest_elsewhere,
            None => self.missed.push_back((newest_elsewhere, now)),
        }
    }

    /// Returns whether an instance that can be reached has a newer document.
    pub fn has_newer_peer(&self) -> bool {
        self.has_newer_peer
    }

    /// Returns for how long the oldest missed document has been in force elsewhere.
    pub fn lag(&self, now: Instant) -> Duration {
        let oldest = self.missed.front();
        oldest.map_or(Duration::ZERO, |(_, since)| now.saturating_duration_since(*since))
    }

    /// Returns the newest missed document.
    pub fn newest_missed(&self) -> Option<V> {
        self.missed.back().map(|(version, _)| *version)
    }

    /// Returns whether the own document must have been replaced by now, according to the `bound`
    /// within which documents are in force, and another instance has a newer one.
    pub fn is_outdated(&self, bound: Duration, now: Instant) -> bool {
        self.has_newer_peer && self.lag(now) > bound.mul_f64(MAX_LAG_FRACTION)
    }
}
