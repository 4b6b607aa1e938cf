//! Proof that a version kept in the table service is still the one in force.
//!
//! An instance acts on a version only for a short time after it was last proved current. Proof is
//! an answer of the table service, the word of a peer that has such proof, or the agreement of
//! every listed peer that the table service answers nobody: then nothing can have been changed
//! through it. Ages are measured on local clocks only.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time after the last proof for which a version may be acted on.
pub const VALIDATION_TTL: Duration = Duration::from_millis(2_500);
/// Part of the time for which a withdrawn key may still work that a request admitted last needs: it
/// waits for its token, its connection and its turn.
const ADMITTED_RESERVE: Duration = Duration::from_millis(800);
/// Failed time after which the table service counts as down for an instance.
const OUTAGE_AFTER: Duration = Duration::from_millis(300);

/// Returns the time after the last proof for which keys of a version may be accepted, if a withdrawn
/// key must stop working within `bound` on every instance, also on those cut off.
///
/// An instance that is cut off cannot be told apart from one that missed nothing, so it stops in
/// time. `bound` less the reserve, and at least half of it.
pub fn key_validation_ttl(bound: Duration) -> Duration {
    bound.saturating_sub(ADMITTED_RESERVE).max(bound / 2)
}

/// Answer of a peer in a round of heartbeats.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatOutcome {
    /// The peer answered.
    Answered {
        /// Version that the peer acts on.
        version: u64,
        /// Age of the peer's proof; none if it has none.
        validation_age: Option<Duration>,
        /// Tells that the table service does not answer the peer.
        store_down: bool,
    },
    /// The peer's machine refused the connection: no process serves there.
    Refused,
    /// The peer did not answer.
    Unanswered,
}

/// Proofs of one version on one instance.
#[derive(Clone, Debug, Default)]
pub struct ValidationTracker {
    version: u64,
    proved_at: Option<Instant>,
    store_failing_since: Option<Instant>,
    round_at: Option<Instant>,
    words: HashMap<u64, HeartbeatOutcome>,
}

impl ValidationTracker {
    /// Returns the version that is acted on.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Acts on a higher version from now on.
    ///
    /// The proof of the lower one carries over: whatever replaces the higher one comes later than
    /// what replaced the lower one, so the time for which it may be acted on is over in time.
    pub fn adopt(&mut self, version: u64) {
        self.version = self.version.max(version);
    }

    /// Records that the table service, asked at `asked_at`, named `version`.
    pub fn record_store_version(&mut self, asked_at: Instant, version: u64) {
        self.store_failing_since = None;
        if version == self.version {
            self.prove(asked_at);
        }
    }

    /// Records that the table service did not answer a question asked at `asked_at`.
    pub fn record_store_failure(&mut self, asked_at: Instant) {
        self.store_failing_since = self.store_failing_since.or(Some(asked_at));
    }

    /// Tells whether the table service has not answered this instance for a while.
    pub fn is_store_down(&self, now: Instant) -> bool {
        self.store_failing_since
            .is_some_and(|since| now.saturating_duration_since(since) >= OUTAGE_AFTER)
    }

    /// Starts a round of heartbeats to every listed peer.
    pub fn start_heartbeat_round(&mut self, now: Instant) {
        self.round_at = Some(now);
        self.words.clear();
    }

    /// Records what a peer said to a question asked at `asked_at`.
    pub fn record_peer(&mut self, peer: u64, asked_at: Instant, word: HeartbeatOutcome) {
        if let HeartbeatOutcome::Answered { version, validation_age: Some(age), .. } = word
            && version == self.version
            && let Some(proved_at) = asked_at.checked_sub(age)
        {
            self.prove(proved_at);
        }
        if self.round_at.is_some_and(|round_at| asked_at >= round_at) {
            self.words.insert(peer, word);
        }
    }

    /// Ends a round to `listed` peers; if all of them agree on an outage, the version is proved.
    pub fn end_heartbeat_round(&mut self, listed: usize, now: Instant) {
        let Some(round_at) = self.round_at.take() else {
            return;
        };
        let agrees = |word: &HeartbeatOutcome| match word {
            HeartbeatOutcome::Answered { version, store_down, .. } => {
                *store_down && *version == self.version
            }
            HeartbeatOutcome::Refused => true,
            HeartbeatOutcome::Unanswered => false,
        };
        let unanimous = self.words.len() >= listed && self.words.values().all(agrees);
        // The list lags: an instance that hears nobody may have missed whoever came since.
        let answered = |word: &HeartbeatOutcome| matches!(word, HeartbeatOutcome::Answered { .. });
        let alone = listed > 0 && !self.words.values().any(answered);
        if unanimous && !alone && self.is_store_down(now) {
            self.prove(round_at);
        }
    }

    /// Returns the age of the last proof.
    pub fn validation_age(&self, now: Instant) -> Option<Duration> {
        self.proved_at.map(|at| now.saturating_duration_since(at))
    }

    /// Returns the time up to which the version may be acted on.
    pub fn valid_until(&self) -> Option<Instant> {
        self.proved_at.map(|at| at + VALIDATION_TTL)
    }

    /// Tells whether the version may be acted on at `now`.
    pub fn is_valid(&self, now: Instant) -> bool {
        self.version > 0 && self.valid_until().is_some_and(|until| now <= until)
    }

    fn prove(&mut self, at: Instant) {
        self.proved_at = self.proved_at.max(Some(at));
    }
}
