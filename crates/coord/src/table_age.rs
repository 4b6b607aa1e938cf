//! Tracks as of when a cached table held all changes of the store, and decides when to read it.
//!
//! Instances learn of changes through the reader of their availability zone. One that relies on a
//! reader without evidence that nothing is missing cannot tell a quiet store from a reader that is
//! silent, slow or cut off. Evidence is a version and a time: a cache of that version, or of a
//! higher one, holds all changes that were made before that time. Times are on the own clock.
//!
//! Answers the load of readers that stop passing changes on, several of them in a row: each instance
//! reads the store itself once its evidence is too old, whatever the others say. The first
//! observers of a zone come first, so that the others have new evidence before it is their turn, and
//! a zone of a hundred instances does not read at the same moment.
//!
//! All ages are parts of the bound within which a change must be in force. They add up: a change
//! that the reader misses is read by the last instance at the latest `LAST_READ_FRACTION` after it was
//! made, and a failed read is known to have failed before `EXPIRY_FRACTION`. Evidence of a store that
//! takes long to answer is as old as that from the start, which is no sign of a silent reader, so
//! reads by other instances are put off by the time that the store takes.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Longest wait of the reader's requests for changes.
pub const POLL_FRACTION: f64 = 0.42;
/// Age from which the reader of the zone is asked for evidence at short intervals.
const REFRESH_FRACTION: f64 = 0.47;
/// Age from which all observers of the zone are asked.
const WIDE_REFRESH_FRACTION: f64 = 0.56;
/// Age at which the first instance after the reader reads the store.
const FIRST_READ_FRACTION: f64 = 0.56;
/// Difference between the ages at which the next ones do.
const RANK_STEP_FRACTION: f64 = 0.04;
/// Rank from which the instances of a zone read at ages that are spread at random.
const SPREAD_RANK: usize = 3;
/// Age at which the last instance reads the store.
pub const LAST_READ_FRACTION: f64 = 0.7;
/// Longest time by which reads are put off since the store takes long to answer.
const MAX_ANSWER_TIME_FRACTION: f64 = 0.35;
/// Time after a failed read before the next one.
const RETRY_FRACTION: f64 = 0.5;
/// Age from which no decisions are made, unless a failed read shows that the store is out of reach.
pub const EXPIRY_FRACTION: f64 = 0.95;
/// Number of versions for which evidence waits until the cache has reached them.
const MAX_PENDING: usize = 64;

/// Evidence about a version of a table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct VersionEvidence<V> {
    version: V,
    as_of: Instant,
}

/// Peers to ask for newer evidence.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RefreshScope {
    /// None: the evidence is new enough.
    Nobody,
    /// The instance that reads the store for the zone.
    Reader,
    /// All observers of the zone.
    Observers,
}

/// Place of an instance in the order in which the instances of a zone read the store.
#[derive(Clone, Copy, Debug)]
pub struct ReadRank {
    /// Number of live instances before this one.
    pub rank: usize,
    /// Number from zero to one that differs between instances.
    pub spread: f64,
}

impl ReadRank {
    /// Returns the part of the bound after which the instance reads the store itself.
    fn read_fraction(self) -> f64 {
        let step = |rank: usize| FIRST_READ_FRACTION + RANK_STEP_FRACTION * rank as f64;
        let after_first = self.rank.saturating_sub(1);
        if after_first + 1 < SPREAD_RANK {
            return step(after_first);
        }
        let first_spread = step(SPREAD_RANK - 1);
        first_spread + (LAST_READ_FRACTION - first_spread) * self.spread.clamp(0.0, 1.0)
    }
}

/// Evidence about the cache of one table.
#[derive(Clone, Debug)]
pub struct TableAge<V> {
    started_at: Instant,
    /// Time up to which the cache holds all changes.
    confirmed_at: Option<Instant>,
    /// Evidence for versions that the cache has not reached, both values ascending.
    pending: VecDeque<VersionEvidence<V>>,
    /// Time at which the last failed read of the store was sent, and when it failed.
    failed_read: Option<(Instant, Instant)>,
    /// Time that the store took for the answer that the evidence comes from.
    answer_time: Duration,
}

impl<V: Copy + Ord> TableAge<V> {
    /// Creates the tracker of an empty cache.
    pub fn new(started_at: Instant) -> Self {
        Self {
            started_at,
            confirmed_at: None,
            pending: VecDeque::new(),
            failed_read: None,
            answer_time: Duration::ZERO,
        }
    }

    /// Records that a cache of `version` holds all changes before `as_of`; `own` is the version of
    /// the own cache.
    pub fn record(&mut self, own: V, version: V, as_of: Instant) {
        if version > own {
            self.insert_pending(VersionEvidence { version, as_of });
        } else {
            self.confirm(as_of);
        }
        self.advance(own);
    }

    /// Applies the evidence for versions that the own cache has reached.
    pub fn advance(&mut self, own: V) {
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
    pub fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.confirmed_at.unwrap_or(self.started_at))
    }

    /// Returns the age that the evidence would have if the store answered at once.
    pub fn excess_age(&self, bound: Duration, now: Instant) -> Duration {
        let answer_time = self.answer_time.min(bound.mul_f64(MAX_ANSWER_TIME_FRACTION));
        self.elapsed(now).saturating_sub(answer_time)
    }

    /// Returns the time that the store took for the answer that the evidence comes from.
    pub fn answer_time(&self) -> Duration {
        self.answer_time
    }

    /// Records the time that the store took for the answer that the evidence comes from.
    pub fn record_answer_time(&mut self, answer_time: Duration) {
        self.answer_time = answer_time;
    }

    /// Records that the own read of the store, sent at `sent_at`, failed.
    pub fn record_failed_read(&mut self, sent_at: Instant, now: Instant) {
        self.failed_read = Some((sent_at, now));
    }

    /// Records that the answer to a read that counted as failed arrives: the store can be reached.
    pub fn withdraw_failed_read(&mut self) {
        self.failed_read = None;
    }

    /// Returns who should be asked for newer evidence.
    pub fn refresh_scope(&self, bound: Duration, now: Instant) -> RefreshScope {
        let age = self.excess_age(bound, now);
        if self.confirmed_at.is_none() || age >= bound.mul_f64(WIDE_REFRESH_FRACTION) {
            RefreshScope::Observers
        } else if age >= bound.mul_f64(REFRESH_FRACTION) {
            RefreshScope::Reader
        } else {
            RefreshScope::Nobody
        }
    }

    /// Returns the time until this instance has to read the store itself, although another one reads
    /// for its zone.
    pub fn time_to_read(&self, bound: Duration, rank: ReadRank, now: Instant) -> Duration {
        let by_age =
            bound.mul_f64(rank.read_fraction()).saturating_sub(self.excess_age(bound, now));
        let by_failure = self.failed_read.map_or(Duration::ZERO, |(_, failed_at)| {
            (failed_at + bound.mul_f64(RETRY_FRACTION)).saturating_duration_since(now)
        });
        by_age.max(by_failure)
    }

    /// Returns whether evidence from within the `bound` shows that the cache holds all changes.
    ///
    /// An instance that has just started has none: its table may be as old as the store was away.
    pub fn is_confirmed(&self, bound: Duration, now: Instant) -> bool {
        self.confirmed_at.is_some() && self.elapsed(now) <= bound.mul_f64(EXPIRY_FRACTION)
    }

    /// Returns whether a change may have been missed for the whole bound although the store can be
    /// read: nothing may be decided by the cache until it is confirmed again.
    pub fn is_expired(&self, bound: Duration, now: Instant) -> bool {
        // Without the store nothing better is known here.
        let is_out_of_reach = self.failed_read.is_some_and(|(sent_at, _)| {
            self.confirmed_at.is_none_or(|confirmed_at| sent_at > confirmed_at)
        });
        !is_out_of_reach && !self.is_confirmed(bound, now)
    }

    fn confirm(&mut self, as_of: Instant) {
        if self.confirmed_at.is_none_or(|confirmed_at| as_of > confirmed_at) {
            self.confirmed_at = Some(as_of);
        }
        self.failed_read = self.failed_read.filter(|(sent_at, _)| *sent_at > as_of);
    }

    fn insert_pending(&mut self, evidence: VersionEvidence<V>) {
        let is_implied = |known: &VersionEvidence<V>| {
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
