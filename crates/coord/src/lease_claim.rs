//! Decision when the promotion lease may be acquired, and with which fencing token.
//!
//! The store may come back older than it was, with a row of the lease that an earlier holder wrote.
//! Tokens are therefore above every token that is known, and start with the number of the store's
//! history and its clock, which counts further than all changes of the holder. A row with an older
//! token than the known ones says nothing about the last holder, so its lease counts as valid for a
//! whole period. The same holds if a write of this instance replaced a row that it had not read.

use std::time::{Duration, Instant};

/// Bits of a fencing token that hold the store's clock, in milliseconds. The history is above them.
const CLOCK_BITS: u32 = 40;
/// Largest number of a history that a token can hold.
const MAX_HISTORY: u64 = (1 << (u64::BITS - 1 - CLOCK_BITS)) - 1;

/// Returns a token above all tokens that were used until this time by the store's clock, in
/// milliseconds, and in all earlier histories, in which the clock may have counted further.
pub fn lowest_token(history: u64, store_now_ms: u64) -> u64 {
    history.min(MAX_HISTORY) << CLOCK_BITS | store_now_ms.min((1 << CLOCK_BITS) - 1)
}

/// Row of the lease as read from the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseRow {
    /// Last fencing token; zero if there is no row.
    pub token: u64,
    /// The row names this instance.
    pub is_own: bool,
    /// Time until the lease expires by the store's clock; zero if it has expired.
    pub remaining: Duration,
    /// History that the store had at the time of the read.
    pub history: u64,
    /// Time of the read by the store's clock, in milliseconds.
    pub now_ms: u64,
}

/// Decision about an attempt to acquire the lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimDecision {
    /// Write the lease with this token.
    Acquire(u64),
    /// Read the row again after this time.
    Postpone(Duration),
}

/// What this instance knows about the holders of the lease.
#[derive(Clone, Debug, Default)]
pub struct LeaseClaim {
    /// Largest token that this instance has held or heard of.
    newest_token: u64,
    /// Time since which the row is known not to show the last lease, while no holder is known.
    outdated_since: Option<Instant>,
}

impl LeaseClaim {
    /// Records a token that this instance held or that another one reported.
    pub fn record_token(&mut self, token: u64) {
        self.newest_token = self.newest_token.max(token);
    }

    /// Records that another instance reports that it holds the lease.
    pub fn record_holder(&mut self) {
        self.outdated_since = None;
    }

    /// Records that a write of this instance replaced a row of a later history, which may have been
    /// the lease of another instance.
    pub fn record_replacement(&mut self, now: Instant) {
        self.outdated_since = Some(now);
    }

    /// Returns a token that no instance has used; `store_now_ms` is the time by the store's clock or
    /// a lower bound.
    pub fn next_token(&self, history: u64, store_now_ms: u64) -> u64 {
        lowest_token(history, store_now_ms).max(self.newest_token + 1)
    }

    /// Decides about a row that was read at `now`; a lease is valid for `period`.
    pub fn decide(&mut self, row: LeaseRow, period: Duration, now: Instant) -> ClaimDecision {
        if row.token < self.newest_token {
            self.outdated_since.get_or_insert(now);
        }
        let unknown = self.outdated_since.map_or(Duration::ZERO, |since| {
            period.saturating_sub(now.saturating_duration_since(since))
        });
        let shown = if row.is_own { Duration::ZERO } else { row.remaining };
        let remaining = unknown.max(shown);
        if !remaining.is_zero() {
            return ClaimDecision::Postpone(remaining);
        }
        self.outdated_since = None;
        self.record_token(row.token);
        ClaimDecision::Acquire(self.next_token(row.history, row.now_ms))
    }
}
