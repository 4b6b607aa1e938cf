//! Decision whether to replace a service's leader, and by which member.
//!
//! A leader that still answers is replaced when it is leaving or no longer registered. Any other
//! leader is replaced when neither this instance nor those that it asks reach it on a new
//! connection in two consecutive rounds of probes. A leader that only some instances cannot reach
//! stays: the instances that reach it own its connections meanwhile.

use std::time::{Duration, Instant};

use state::position::LogPosition;

/// Time for which the owner of a leader's connections must fail to reach the leader before it is
/// suspected.
pub const LEADER_GRACE_PERIOD: Duration = Duration::from_millis(300);
/// Time after which a promotion that brought no new leader may be requested again.
const PROMOTION_RETRY_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time after which the result of a round of probes expires.
const PROBE_TTL: Duration = Duration::from_millis(900);
/// Consecutive failed rounds of probes after which a leader is replaced.
const MIN_FAILED_ROUNDS: u32 = 2;

/// Status that a member reported to a probe on a new connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberReport {
    /// The member leads its service.
    pub leads: bool,
    /// Term in which it follows or leads.
    pub term: u64,
    /// Last log position that it received.
    pub received: LogPosition,
}

/// Member of a service as observed in the last round of probes.
#[derive(Clone, Debug)]
pub struct MemberObservation<'a> {
    /// Name of the member.
    pub name: &'a str,
    /// The member is registered and not leaving.
    pub is_active: bool,
    /// Answer to the last probe; none if there was no answer.
    pub report: Option<MemberReport>,
}

/// Reason for which a leader is replaced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PromotionCause {
    /// No leader is known.
    Missing,
    /// The leader answers, but is leaving or no longer registered.
    Leaving,
    /// No probing instance reached the leader in the last rounds of probes.
    Dead,
}

/// Decision about a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PromotionDecision {
    /// Take no action.
    Wait,
    /// Probe all members on new connections, from here and from other instances.
    Probe,
    /// Promote the member with this index.
    Promote(usize, PromotionCause),
}

/// Promotion state machine of one service, run by the holder of the promotion lease.
#[derive(Clone, Debug, Default)]
pub struct PromotionMachine {
    failed_rounds: u32,
    probed_at: Option<Instant>,
    promotion_requested_at: Option<Instant>,
}

impl PromotionMachine {
    /// Returns whether members must be probed before a decision: the leader is suspected, and no
    /// promotion was requested recently.
    pub fn needs_probe(&self, suspected: bool, now: Instant) -> bool {
        let is_promoting = self
            .promotion_requested_at
            .is_some_and(|at| now.saturating_duration_since(at) < PROMOTION_RETRY_INTERVAL);
        suspected && !is_promoting
    }

    /// Records the result of a round of probes: whether any instance reached the leader.
    pub fn record_probe_round(&mut self, leader_answered: bool, now: Instant) {
        let stale = self.probed_at.is_none_or(|at| now.saturating_duration_since(at) > PROBE_TTL);
        self.failed_rounds = match leader_answered {
            true => 0,
            false if stale => 1,
            false => self.failed_rounds + 1,
        };
        self.probed_at = Some(now);
    }

    /// Records that a promotion was requested.
    pub fn record_promotion(&mut self, now: Instant) {
        self.promotion_requested_at = Some(now);
        self.failed_rounds = 0;
    }

    /// Decides about a promotion after a round of probes.
    ///
    /// `synchronous_replicas` is the number of replicas that confirm a commit before it is
    /// acknowledged. The promoted member must hold every acknowledged commit, so enough members
    /// must have answered to include one of these replicas.
    pub fn decide(
        &self,
        leader: Option<usize>,
        members: &[MemberObservation<'_>],
        synchronous_replicas: usize,
    ) -> PromotionDecision {
        let cause = match leader {
            None => PromotionCause::Missing,
            Some(leader) if !members[leader].is_active && members[leader].report.is_some() => {
                PromotionCause::Leaving
            }
            Some(_) if self.failed_rounds >= MIN_FAILED_ROUNDS => PromotionCause::Dead,
            Some(_) => return PromotionDecision::Wait,
        };
        let others = || (0..members.len()).filter(|index| Some(*index) != leader);
        let answered = others().filter(|index| members[*index].report.is_some()).count();
        if synchronous_replicas > 0 && answered + synchronous_replicas <= others().count() {
            return PromotionDecision::Wait;
        }
        let received = |index: &usize| members[*index].report.map(|report| report.received);
        let reachable = others().filter(|index| members[*index].report.is_some());
        let best = reachable.max_by_key(|index| (members[*index].is_active, received(index)));
        match best {
            Some(best) if synchronous_replicas > 0 => {
                // Only the most advanced member is sure to hold every acknowledged commit, so it is
                // promoted even if it is leaving.
                let most_advanced = others().max_by_key(received);
                PromotionDecision::Promote(most_advanced.unwrap_or(best), cause)
            }
            Some(best) if members[best].is_active => PromotionDecision::Promote(best, cause),
            _ => PromotionDecision::Wait,
        }
    }
}
