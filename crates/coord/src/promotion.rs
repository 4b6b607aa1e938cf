//! Decision whether to replace a service's leader, and by which member.
//!
//! A leader that still answers is replaced when it is leaving or no longer registered. Any other
//! leader is replaced when neither this instance nor those that it asks reach it on a new
//! connection in two consecutive rounds of probes. A leader that only some instances cannot reach
//! stays: the instances that reach it own its connections meanwhile.
//!
//! Members of evacuated zones are never promoted, and a leader in such a zone is replaced.

use std::time::{Duration, Instant};

use state::position::LogPosition;

use crate::commit_gate::{CommitGate, RequiredCommits};
use crate::evacuation::ZonePhase;
use crate::replica_hold::{HoldAnswer, LastingHolds};

/// Time for which the owner of a leader's connections must fail to reach the leader before it is
/// suspected.
pub const LEADER_GRACE_PERIOD: Duration = Duration::from_millis(300);
/// Time after which a promotion that brought no new leader may be requested again.
const PROMOTION_RETRY_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time after which the result of a round of probes expires.
const PROBE_TTL: Duration = Duration::from_millis(900);
/// Consecutive failed rounds of probes after which a leader is replaced.
const MIN_FAILED_ROUNDS: u32 = 2;
/// Log positions by which a candidate may be behind an evacuated leader that still takes writes.
///
/// A service of 117 requests a second, a third of them writes, with a burst of 2.4 times the rate
/// and a replication lag of 60 ms is up to 6 positions behind at any time. With a gap of zero the
/// leader would hardly ever be replaced before its zone is closed. A candidate receives the rest
/// during the promotion, which takes longer than the lag.
pub const MAX_CANDIDATE_GAP: u64 = 8;
/// Interval between rounds of probes that look for replicas which are still held.
const INSPECTION_INTERVAL: Duration = Duration::from_secs(1);
/// The same while an order may still be carried out, perhaps seconds after it was sent.
const OPEN_ORDER_INTERVAL: Duration = Duration::from_millis(250);
/// Consecutive rounds of probes without progress after which a candidate has received all that a
/// closed leader had to send.
const MIN_SETTLED_ROUNDS: u32 = 1;
/// Rounds of probes after which a closed leader is replaced even if the candidates still receive
/// writes: an instance that has not learned of the evacuation sends them.
const MAX_CLOSED_ROUNDS: u32 = 12;

/// Status that a member reported to a probe on a new connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberReport {
    /// The member leads its service.
    pub leads: bool,
    /// Term in which it follows or leads.
    pub term: u64,
    /// Last log position that it received.
    pub received: LogPosition,
    /// Term for which its replication is held; zero if it receives.
    pub held_term: u64,
}

/// Member of a service as observed in the last round of probes.
#[derive(Clone, Debug)]
pub struct MemberObservation<'a> {
    /// Name of the member.
    pub name: &'a str,
    /// The member is registered and not leaving.
    pub is_active: bool,
    /// Phase of the member's zone.
    pub zone: ZonePhase,
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
    /// The zone of the leader is evacuated.
    Evacuated,
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
    /// Do not promote the member with this index, which may lack commits.
    Withhold(usize),
}

/// Promotion state machine of one service, run by the holder of the promotion lease.
#[derive(Clone, Debug, Default)]
pub struct PromotionMachine {
    failed_rounds: u32,
    probed_at: Option<Instant>,
    /// Time of the last promotion that was requested, or that a replica prevented.
    attempted_at: Option<Instant>,
    /// Position of the most advanced candidate in the last round of probes.
    candidate_position: Option<LogPosition>,
    /// Consecutive rounds in which that position did not change.
    settled_rounds: u32,
    /// Consecutive rounds in which the zone of the leader was closed.
    closed_rounds: u32,
    /// All members answered that they are not held.
    is_inspected: bool,
    /// Earlier promotions without an answer are certainly refused from now on.
    is_superseded: bool,
    lasting_holds: LastingHolds,
    gate: CommitGate,
    /// The last decision was to withhold a promotion.
    is_withheld: bool,
    /// Time of the last round of probes that looked for held replicas.
    inspected_at: Option<Instant>,
}

impl PromotionMachine {
    /// Returns whether members must be probed before a decision: the leader is suspected, and no
    /// promotion was requested recently.
    pub fn needs_probe(&self, suspected: bool, now: Instant) -> bool {
        suspected && !self.is_promoting(now)
    }

    /// Returns whether a promotion was requested recently.
    pub fn is_promoting(&self, now: Instant) -> bool {
        self.attempted_at
            .is_some_and(|at| now.saturating_duration_since(at) < PROMOTION_RETRY_INTERVAL)
    }

    /// Returns whether members must be probed for replicas that a promotion left held, by this
    /// holder of the lease or an earlier one.
    ///
    /// `has_open_order` tells whether an order may still be carried out, which is not to wait for the
    /// end of the present promotion.
    pub fn needs_inspection(&self, has_open_order: bool, now: Instant) -> bool {
        let interval = if has_open_order { OPEN_ORDER_INTERVAL } else { INSPECTION_INTERVAL };
        let is_due = |at: Instant| now.saturating_duration_since(at) >= interval;
        (has_open_order || !self.is_inspected && !self.is_promoting(now))
            && self.inspected_at.is_none_or(is_due)
    }

    /// Requires an inspection: replicas may be held.
    pub fn require_inspection(&mut self) {
        (self.is_inspected, self.is_superseded) = (false, false);
        self.lasting_holds = LastingHolds::default();
    }

    /// Returns whether a replica reports a hold that a resume may end.
    pub fn is_resumable(&self, name: &str, report: &MemberReport) -> bool {
        self.lasting_holds.is_resumable(name, report)
    }

    /// Records the answer of a replica that was held for `held_term` to a resume. Returns whether the
    /// hold lasts.
    pub fn record_resume(&mut self, name: &str, held_term: u64, answer: HoldAnswer) -> bool {
        self.lasting_holds.record_resume(name, held_term, answer)
    }

    /// Returns whether a promotion of the present leader must supersede earlier ones before replicas
    /// are resumed.
    pub fn must_supersede(&self) -> bool {
        !self.is_superseded
    }

    /// Records that the promotion of the present leader was accepted.
    pub fn record_superseded(&mut self) {
        self.is_superseded = true;
    }

    /// Records whether all members answered a round of probes that they are not held.
    pub fn record_inspection(&mut self, none_held: bool, now: Instant) {
        self.is_inspected = none_held;
        self.inspected_at = Some(now);
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

    /// Records the positions of the candidates in a round of probes.
    pub fn record_candidates(&mut self, leader: Option<usize>, members: &[MemberObservation<'_>]) {
        let is_closed = leader.is_some_and(|leader| members[leader].zone == ZonePhase::Closed);
        if !is_closed {
            (self.candidate_position, self.settled_rounds, self.closed_rounds) = (None, 0, 0);
            return;
        }
        let candidates = members.iter().filter(|member| !member.zone.is_evacuated());
        let newest = candidates.filter_map(|member| Some(member.report?.received)).max();
        let is_settled = newest.is_some() && newest == self.candidate_position;
        self.settled_rounds = if is_settled { self.settled_rounds + 1 } else { 0 };
        self.closed_rounds += 1;
        self.candidate_position = newest;
    }

    /// Records that a promotion was requested.
    pub fn record_promotion(&mut self, now: Instant) {
        self.record_attempt(now);
        self.is_superseded = false;
    }

    /// Records that a replica refused to be held, so that the promotion was not requested.
    pub fn record_refused_hold(&mut self, now: Instant) {
        self.record_attempt(now);
    }

    fn record_attempt(&mut self, now: Instant) {
        self.attempted_at = Some(now);
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
            Some(leader) if members[leader].zone.is_evacuated() => PromotionCause::Evacuated,
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
        let candidates = || {
            others().filter(|index| {
                members[*index].report.is_some() && !members[*index].zone.is_evacuated()
            })
        };
        let best = candidates().max_by_key(|index| (members[*index].is_active, received(index)));
        let Some(best) = best else {
            return PromotionDecision::Wait;
        };
        let chosen = if synchronous_replicas > 0 {
            // Only the most advanced member is sure to hold every acknowledged commit, so it is
            // promoted even if it is leaving. While it is in an evacuated zone, a candidate has to
            // catch up with it.
            let most_advanced = candidates().max_by_key(received).unwrap_or(best);
            if others().any(|index| received(&index) > received(&most_advanced)) {
                return PromotionDecision::Wait;
            }
            most_advanced
        } else {
            best
        };
        let may_lead = members[chosen].is_active || synchronous_replicas > 0;
        if !may_lead || !self.has_caught_up(cause, leader, chosen, members) {
            return PromotionDecision::Wait;
        }
        PromotionDecision::Promote(chosen, cause)
    }

    /// Withholds the promotion of a member that may lack what the service has committed.
    pub fn check_commits(
        &mut self,
        decision: PromotionDecision,
        members: &[MemberObservation<'_>],
        required: RequiredCommits,
        now: Instant,
    ) -> PromotionDecision {
        let PromotionDecision::Promote(index, _) = decision else {
            return decision;
        };
        let received = members[index].report.map(|report| report.received).unwrap_or_default();
        match self.gate.admits(received, required, now) {
            true => decision,
            false => PromotionDecision::Withhold(index),
        }
    }

    /// Records a decision; returns whether it is the first of several to withhold a promotion.
    pub fn record_decision(&mut self, decision: PromotionDecision) -> bool {
        let is_withheld = matches!(decision, PromotionDecision::Withhold(_));
        !std::mem::replace(&mut self.is_withheld, is_withheld) && is_withheld
    }

    /// Returns whether a candidate has received what an evacuated leader had received.
    fn has_caught_up(
        &self,
        cause: PromotionCause,
        leader: Option<usize>,
        candidate: usize,
        members: &[MemberObservation<'_>],
    ) -> bool {
        let leader = leader.map(|leader| &members[leader]);
        let (PromotionCause::Evacuated, Some(leader)) = (cause, leader) else {
            return true;
        };
        if leader.zone == ZonePhase::Closed {
            // The leader is not probed any more, so its position is not known.
            return self.settled_rounds >= MIN_SETTLED_ROUNDS
                || self.closed_rounds >= MAX_CLOSED_ROUNDS;
        }
        match (leader.report, members[candidate].report) {
            (Some(leader), Some(candidate)) => {
                let (newest, received) = (leader.received, candidate.received);
                newest.term < received.term
                    || newest.term == received.term
                        && newest.index.saturating_sub(received.index) <= MAX_CANDIDATE_GAP
            }
            // A leader that does not answer is replaced like any other after its failed rounds.
            (None, Some(_)) => self.failed_rounds >= MIN_FAILED_ROUNDS,
            (_, None) => false,
        }
    }
}
