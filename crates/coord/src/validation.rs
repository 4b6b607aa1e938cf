//! Validation that a version read from the table service (`store` in names) is still current.
//!
//! An instance acts on a version only for a short time after it was last validated. A validation is
//! a response of the table service, a response of a peer that has a validation, or the agreement of
//! all registered peers that the table service is down for each of them: then nothing can have
//! changed through it. Ages are measured on local clocks only.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time after the last validation for which a version may be acted on.
pub const VALIDATION_TTL: Duration = Duration::from_millis(2_500);
/// Part of the revocation bound reserved for requests that were admitted just before the key
/// stopped being accepted: they still wait for a token, a connection and a queue position.
const IN_FLIGHT_RESERVE: Duration = Duration::from_millis(800);
/// Time without an answer after which an instance counts the table service as down.
const STORE_OUTAGE_TIMEOUT: Duration = Duration::from_millis(300);

/// Returns the time after the last validation for which the keys of a version may be accepted, if a
/// revoked key must stop working within `revocation_bound` on every instance, partitioned ones
/// included.
///
/// An instance cannot tell a partition from a quiet period, so it stops accepting keys before the
/// bound: by the reserve earlier, but not before half of the bound.
pub fn key_validation_ttl(revocation_bound: Duration) -> Duration {
    revocation_bound.saturating_sub(IN_FLIGHT_RESERVE).max(revocation_bound / 2)
}

/// Outcome of a heartbeat to one peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatOutcome<V = u64> {
    /// The peer answered.
    Answered {
        /// Version on which the peer acts.
        version: V,
        /// Age of the peer's last validation; none if it has none.
        validation_age: Option<Duration>,
        /// The table service does not answer the peer.
        store_down: bool,
    },
    /// The peer's host refused the connection, so no process serves there.
    Refused,
    /// The peer did not answer in time.
    Unanswered,
}

/// Tracks the validations of one version on one instance.
#[derive(Clone, Debug, Default)]
pub struct ValidationTracker<V = u64> {
    version: V,
    validated_at: Option<Instant>,
    store_failing_since: Option<Instant>,
    round_started_at: Option<Instant>,
    /// Outcomes of the current heartbeat round, by peer id.
    outcomes: HashMap<u64, HeartbeatOutcome<V>>,
}

impl<V: Copy + Default + Ord> ValidationTracker<V> {
    /// Returns the current version; zero before the first.
    pub fn version(&self) -> V {
        self.version
    }

    /// Moves on to a higher version.
    ///
    /// The last validation carries over: the higher version cannot have been superseded earlier
    /// than the lower one, so its validity still ends in time.
    pub fn adopt(&mut self, version: V) {
        self.version = self.version.max(version);
    }

    /// Records that the table service returned `version` to a request sent at `sent_at`.
    pub fn record_store_version(&mut self, sent_at: Instant, version: V) {
        self.store_failing_since = None;
        if version == self.version {
            self.record_validation(sent_at);
        }
    }

    /// Records that the table service did not answer a request sent at `sent_at`.
    pub fn record_store_failure(&mut self, sent_at: Instant) {
        self.store_failing_since = self.store_failing_since.or(Some(sent_at));
    }

    /// Returns whether the table service counts as down for this instance.
    pub fn is_store_down(&self, now: Instant) -> bool {
        self.store_failing_since
            .is_some_and(|since| now.saturating_duration_since(since) >= STORE_OUTAGE_TIMEOUT)
    }

    /// Starts a round of heartbeats to all registered peers.
    pub fn start_heartbeat_round(&mut self, now: Instant) {
        self.round_started_at = Some(now);
        self.outcomes.clear();
    }

    /// Records the outcome of a heartbeat to a peer that was sent at `sent_at`.
    pub fn record_peer(&mut self, peer: u64, sent_at: Instant, outcome: HeartbeatOutcome<V>) {
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

    /// Ends a round of heartbeats to `peer_count` registered peers.
    ///
    /// Validates the version if all of them agree that the table service is down. A peer whose host
    /// refuses the connection counts as agreeing.
    pub fn end_heartbeat_round(&mut self, peer_count: usize, now: Instant) {
        let Some(round_started_at) = self.round_started_at.take() else {
            return;
        };
        let confirms_outage = |outcome: &HeartbeatOutcome<V>| match outcome {
            HeartbeatOutcome::Answered { version, store_down, .. } => {
                *store_down && *version == self.version
            }
            HeartbeatOutcome::Refused => true,
            HeartbeatOutcome::Unanswered => false,
        };
        let unanimous =
            self.outcomes.len() >= peer_count && self.outcomes.values().all(confirms_outage);
        // The list of peers lags: an instance that no peer answers may have missed new peers.
        let has_answered =
            |outcome: &HeartbeatOutcome<V>| matches!(outcome, HeartbeatOutcome::Answered { .. });
        let isolated = peer_count > 0 && !self.outcomes.values().any(has_answered);
        if unanimous && !isolated && self.is_store_down(now) {
            self.record_validation(round_started_at);
        }
    }

    /// Returns the age of the last validation.
    pub fn validation_age(&self, now: Instant) -> Option<Duration> {
        self.validated_at.map(|at| now.saturating_duration_since(at))
    }

    /// Returns the time up to which the version may be acted on.
    pub fn valid_until(&self) -> Option<Instant> {
        self.validated_at.map(|at| at + VALIDATION_TTL)
    }

    /// Returns whether the version may be acted on at `now`.
    pub fn is_valid(&self, now: Instant) -> bool {
        self.version > V::default() && self.valid_until().is_some_and(|until| now <= until)
    }

    fn record_validation(&mut self, at: Instant) {
        self.validated_at = self.validated_at.max(Some(at));
    }
}
