//! Chooses where an instance that is behind fetches a table from.
//!
//! Answers the load of many instances that are behind at once, some of them slow: if all ask the peer
//! with the newest version, its link is choked, and a slow peer is asked again and again. Sources
//! here are spread by hash, a failed or busy one is left alone for a while, the own availability zone
//! comes first, and the store is the last resort.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

use crate::rendezvous;

/// Time for which a push may still be on its way before the table is fetched.
pub const PUSH_DELAY: Duration = Duration::from_millis(300);
/// Time behind after which sources in other availability zones are asked; their traffic is expensive.
pub const REMOTE_DELAY: Duration = Duration::from_millis(900);
/// Shortest time for which a source is left alone after a failure.
const MIN_FAILURE_BACKOFF: Duration = Duration::from_millis(500);
/// Longest time for which a source is left alone after a failure.
const MAX_FAILURE_BACKOFF: Duration = Duration::from_secs(4);
/// Shortest interval between reads of the store by one instance.
const STORE_INTERVAL: Duration = Duration::from_secs(2);
/// Part of the delay until the store is read in which a source must have answered to be waited for.
const ANSWER_FRACTION: f64 = 1.0 / 3.0;
/// Largest part of a delay by which it is spread over the instances.
const SPREAD_FRACTION: f64 = 0.5;

/// Peer from which a table may be fetched.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SourceCandidate<K, V> {
    /// Key of the peer.
    pub key: K,
    /// Version of the peer's table, as far as is known.
    pub version: V,
    /// The peer is in the own availability zone.
    pub is_in_zone: bool,
}

/// What to do about a table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SourceStep<K> {
    /// No known peer has a newer version.
    UpToDate,
    /// Wait for a push, or for a source that may be asked again.
    Wait,
    /// Fetch from this peer.
    Peer(K),
    /// Read the store.
    Store,
}

#[derive(Clone, Copy, Debug)]
struct AvoidedSource {
    until: Instant,
    backoff: Duration,
}

/// Sources of one table, as one instance has experienced them.
#[derive(Clone, Debug)]
pub struct SourcePlanner<K, V> {
    own_name: String,
    /// Time behind after which the store is read if no source answers; after twice that time it is
    /// read in any case.
    store_delay: Duration,
    avoided: HashMap<K, AvoidedSource>,
    /// Peers that a busy source named, with the version that they have.
    referred: Vec<SourceCandidate<K, V>>,
    behind_since: Option<Instant>,
    /// A version was announced whose change is not pushed.
    is_offered: bool,
    store_read_at: Option<Instant>,
    /// Time at which a source last answered that it serves others.
    answered_at: Option<Instant>,
    attempts: u32,
}

impl<K: Copy + Eq + Hash, V: Copy + Default + Ord> SourcePlanner<K, V> {
    /// Creates a planner for the instance `own_name`, which reads the store if it has been behind for
    /// `store_delay`.
    pub fn new(own_name: &str, store_delay: Duration) -> Self {
        let spread = 1.0 + SPREAD_FRACTION * fraction(rendezvous::weight(own_name, "store"));
        Self {
            own_name: own_name.to_owned(),
            store_delay: store_delay.mul_f64(spread),
            avoided: HashMap::new(),
            referred: Vec::new(),
            behind_since: None,
            is_offered: false,
            store_read_at: None,
            answered_at: None,
            attempts: 0,
        }
    }

    /// Returns what to do with a table of version `own`; `name` returns a candidate's name.
    pub fn next_step<'a>(
        &mut self,
        own: V,
        candidates: impl IntoIterator<Item = SourceCandidate<K, V>>,
        name: impl Fn(K) -> &'a str,
        now: Instant,
    ) -> SourceStep<K> {
        self.referred.retain(|candidate| candidate.version > own);
        let mut newer: Vec<SourceCandidate<K, V>> =
            candidates.into_iter().filter(|candidate| candidate.version > own).collect();
        for referred in &self.referred {
            if newer.iter().all(|candidate| candidate.key != referred.key) {
                newer.push(*referred);
            }
        }
        if newer.is_empty() {
            self.behind_since = None;
            self.is_offered = false;
            self.store_read_at = None;
            return SourceStep::UpToDate;
        }
        let behind_since = *self.behind_since.get_or_insert(now);
        let behind = now.saturating_duration_since(behind_since);
        if own > V::default() && !self.is_offered && behind < PUSH_DELAY {
            return SourceStep::Wait;
        }
        let is_store_due =
            self.store_read_at.is_none_or(|at| now.saturating_duration_since(at) >= STORE_INTERVAL);
        let answer_limit = self.store_delay.mul_f64(ANSWER_FRACTION);
        let was_answered =
            self.answered_at.is_some_and(|at| now.saturating_duration_since(at) < answer_limit);
        let patience = if was_answered { 2 * self.store_delay } else { self.store_delay };
        if own > V::default() && behind >= patience && is_store_due {
            self.store_read_at = Some(now);
            return SourceStep::Store;
        }
        self.avoided.retain(|_, source| now < source.until + MAX_FAILURE_BACKOFF);
        let avoided = |candidate: &SourceCandidate<K, V>| self.avoided.get(&candidate.key);
        let has_failed = |candidate: &SourceCandidate<K, V>| {
            avoided(candidate).is_some_and(|source| !source.backoff.is_zero())
        };
        let is_near = |candidate: &SourceCandidate<K, V>| {
            candidate.is_in_zone || own == V::default() || behind >= REMOTE_DELAY
        };
        // To wait for a busy source costs less than to find a failed one still silent.
        let has_sound_source =
            newer.iter().any(|candidate| is_near(candidate) && !has_failed(candidate));
        let may_ask = |candidate: &&SourceCandidate<K, V>| {
            let is_avoided = avoided(candidate).is_some_and(|source| now < source.until);
            is_near(candidate) && !is_avoided && !(has_sound_source && has_failed(candidate))
        };
        // The turn changes with each attempt, so that no source is asked by the same ones each time.
        let subject = format!("{} {}", self.own_name, self.attempts);
        let chosen = newer.iter().filter(may_ask).max_by_key(|candidate| {
            (candidate.is_in_zone, rendezvous::weight(&subject, name(candidate.key)))
        });
        match chosen {
            Some(candidate) => {
                self.attempts = self.attempts.wrapping_add(1);
                SourceStep::Peer(candidate.key)
            }
            None => SourceStep::Wait,
        }
    }

    /// Records that a version was announced whose change is not pushed.
    pub fn offered(&mut self) {
        self.is_offered = true;
    }

    /// Records that a source did not answer, or broke off.
    pub fn failed(&mut self, source: K, now: Instant) {
        let backoff = match self.avoided.get(&source) {
            Some(known) => (2 * known.backoff).clamp(MIN_FAILURE_BACKOFF, MAX_FAILURE_BACKOFF),
            None => MIN_FAILURE_BACKOFF,
        };
        self.avoided.insert(source, AvoidedSource { until: now + backoff, backoff });
    }

    /// Records that a source serves others, and who has the table from it.
    pub fn busy(
        &mut self,
        source: K,
        retry_after: Duration,
        holders: impl IntoIterator<Item = SourceCandidate<K, V>>,
        now: Instant,
    ) {
        self.answered_at = Some(now);
        let seed = rendezvous::weight(&self.own_name, &self.attempts.to_string());
        let spread = 1.0 - SPREAD_FRACTION + 2.0 * SPREAD_FRACTION * fraction(seed);
        let avoided =
            AvoidedSource { until: now + retry_after.mul_f64(spread), backoff: Duration::ZERO };
        self.avoided.insert(source, avoided);
        for holder in holders {
            self.referred.retain(|candidate| candidate.key != holder.key);
            self.referred.push(holder);
        }
    }

    /// Records that a source sent the whole table, or has nothing newer.
    pub fn succeeded(&mut self, source: K) {
        self.avoided.remove(&source);
        self.referred.retain(|candidate| candidate.key != source);
    }
}

/// Maps a hash to the range from zero to one.
fn fraction(hash: u64) -> f64 {
    hash as f64 / u64::MAX as f64
}
