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
const IN_FLIGHT_RESERVE: Duration = Duration::from_millis(800);
/// Failed time after which the table service counts as down for an instance.
const STORE_OUTAGE_TIMEOUT: Duration = Duration::from_millis(300);

/// Returns the time after the last proof for which keys of a version may be accepted, if a withdrawn
/// key must stop working within `bound` on every instance, also on those cut off.
///
/// An instance that is cut off cannot be told apart from one that missed nothing, so it stops in
/// time. `bound` less the reserve, and at least half of it.
pub fn key_validation_ttl(revocation_bound: Duration) -> Duration {
    revocation_bound.saturating_sub(IN_FLIGHT_RESERVE).max(revocation_bound / 2)
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
    validated_at: Option<Instant>,
    store_failing_since: Option<Instant>,
    round_started_at: Option<Instant>,
    outcomes: HashMap<u64, HeartbeatOutcome>,
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
    pub fn record_store_version(&mut self, sent_at: Instant, version: u64) {
        self.store_failing_since = None;
        if version == self.version {
            self.record_validation(sent_at);
        }
    }

    /// Records that the table service did not answer a question asked at `asked_at`.
    pub fn record_store_failure(&mut self, sent_at: Instant) {
        self.store_failing_since = self.store_failing_since.or(Some(sent_at));
    }

    /// Tells whether the table service has not answered this instance for a while.
    pub fn is_store_down(&self, now: Instant) -> bool {
        self.store_failing_since
            .is_some_and(|since| now.saturating_duration_since(since) >= STORE_OUTAGE_TIMEOUT)
    }

    /// Starts a round of heartbeats to every listed peer.
    pub fn start_heartbeat_round(&mut self, now: Instant) {
        self.round_started_at = Some(now);
        self.outcomes.clear();
    }

    /// Records what a peer said to a question asked at `asked_at`.
    pub fn record_peer(&mut self, peer: u64, sent_at: Instant, outcome: HeartbeatOutcome) {
        if let HeartbeatOutcome::Answered { version, validation_age: Some(age), .. } = outcome
            && version == self.version
            && let Some(validated_at) = sent_at.checked_sub(age)
        {
            self.record_validation(validated_at);
        }
        if self.round_started_at.is_some_and(|round_started_at| sent_at >= round_started_at) {
            self.outcomes.insert(peer, outcome);
        }
    }

    /// Ends a round to `listed` peers; if all of them agree on an outage, the version is proved.
    pub fn end_heartbeat_round(&mut self, peer_count: usize, now: Instant) {
        let Some(round_started_at) = self.round_started_at.take() else {
            return;
        };
        let confirms_outage = |outcome: &HeartbeatOutcome| match outcome {
            HeartbeatOutcome::Answered { version, store_down, .. } => {
                *store_down && *version == self.version
            }
            HeartbeatOutcome::Refused => true,
            HeartbeatOutcome::Unanswered => false,
        };
        let unanimous =
            self.outcomes.len() >= peer_count && self.outcomes.values().all(confirms_outage);
        // The list lags: an instance that hears nobody may have missed whoever came since.
        let has_answered =
            |outcome: &HeartbeatOutcome| matches!(outcome, HeartbeatOutcome::Answered { .. });
        let isolated = peer_count > 0 && !self.outcomes.values().any(has_answered);
        if unanimous && !isolated && self.is_store_down(now) {
            self.record_validation(round_started_at);
        }
    }

    /// Returns the age of the last proof.
    pub fn validation_age(&self, now: Instant) -> Option<Duration> {
        self.validated_at.map(|at| now.saturating_duration_since(at))
    }

    /// Returns the time up to which the version may be acted on.
    pub fn valid_until(&self) -> Option<Instant> {
        self.validated_at.map(|at| at + VALIDATION_TTL)
    }

    /// Tells whether the version may be acted on at `now`.
    pub fn is_valid(&self, now: Instant) -> bool {
        self.version > 0 && self.valid_until().is_some_and(|until| now <= until)
    }

    fn record_validation(&mut self, at: Instant) {
        self.validated_at = self.validated_at.max(Some(at));
    }
}
