//! Decision to replace a service's leader, and by which member.
//!
//! A leader is replaced when it leaves, when its registration is gone, or when fresh connections
//! from two instances fail. One that only some instances cannot reach keeps the lead: the others
//! hold its connections meanwhile.

use std::time::{Duration, Instant};

use state::position::LogPosition;

/// Time for which the holder of a leader's connections must fail before a takeover is weighed.
pub const LEADER_GRACE_PERIOD: Duration = Duration::from_millis(300);
/// Time after which a call for promotion that brought no new leader is made again.
const PROMOTION_RETRY_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time after which probes tell nothing any more.
const PROBE_TTL: Duration = Duration::from_millis(900);
/// Failed rounds of probes after which a leader is replaced.
const MIN_FAILED_ROUNDS: u32 = 2;

/// Member's own account of itself, from a probe on a fresh connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberReport {
    /// Tells whether it leads.
    pub leads: bool,
    /// Term that it follows or leads.
    pub term: u64,
    /// Position up to which it received the log.
    pub received: LogPosition,
}

/// What is known of a member when a takeover is weighed.
#[derive(Clone, Debug)]
pub struct MemberObservation<'a> {
    /// Name of the member.
    pub name: &'a str,
    /// Registered and not leaving.
    pub is_active: bool,
    /// Answer to the last probe.
    pub report: Option<MemberReport>,
}

/// Why a leader is replaced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PromotionCause {
    /// No member leads.
    Missing,
    /// The leader leaves.
    Leaving,
    /// The leader answers nobody.
    Dead,
}

/// What to do about a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PromotionDecision {
    /// Nothing.
    Wait,
    /// Probe all members on fresh connections, here and at other instances.
    Probe,
    /// Promote the member of this index.
    Promote(usize, PromotionCause),
}

/// Takeover of one service as weighed by the instance on duty.
#[derive(Clone, Debug, Default)]
pub struct PromotionMachine {
    failed_rounds: u32,
    probed_at: Option<Instant>,
    promotion_requested_at: Option<Instant>,
}

impl PromotionMachine {
    /// Tells whether members must be probed before a takeover can be weighed.
    pub fn needs_probe(&self, suspected: bool, now: Instant) -> bool {
        let is_promoting = self
            .promotion_requested_at
            .is_some_and(|at| now.saturating_duration_since(at) < PROMOTION_RETRY_INTERVAL);
        suspected && !is_promoting
    }

    /// Records a round of probes: whether anybody reached the leader.
    pub fn record_probe_round(&mut self, leader_answered: bool, now: Instant) {
        let stale = self.probed_at.is_none_or(|at| now.saturating_duration_since(at) > PROBE_TTL);
        self.failed_rounds = match leader_answered {
            true => 0,
            false if stale => 1,
            false => self.failed_rounds + 1,
        };
        self.probed_at = Some(now);
    }

    /// Records that a promotion was called for.
    pub fn record_promotion(&mut self, now: Instant) {
        self.promotion_requested_at = Some(now);
        self.failed_rounds = 0;
    }

    /// Weighs a takeover after a round of probes.
    ///
    /// `synchronous` is the number of replicas that confirm a commit before it is acknowledged;
    /// an acknowledged commit must be in the member that is promoted.
    pub fn decide(
        &self,
        leader: Option<usize>,
        members: &[MemberObservation<'_>],
        synchronous: usize,
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
        if synchronous > 0 && answered + synchronous <= others().count() {
            return PromotionDecision::Wait;
        }
        let received = |index: &usize| members[*index].report.map(|report| report.received);
        let reachable = others().filter(|index| members[*index].report.is_some());
        let best = reachable.max_by_key(|index| (members[*index].is_active, received(index)));
        match best {
            Some(best) if synchronous > 0 => {
                let most_advanced = others().max_by_key(received);
                PromotionDecision::Promote(most_advanced.unwrap_or(best), cause)
            }
            Some(best) if members[best].is_active => PromotionDecision::Promote(best, cause),
            _ => PromotionDecision::Wait,
        }
    }
}
