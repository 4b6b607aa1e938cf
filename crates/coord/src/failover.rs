//! Failover of one database group: failure detection, fencing, promotion and reattaching members.
//!
//! Safety relies on the members' terms: a promotion needs the fence of a majority, and the fenced
//! member with the most advanced log is promoted. Timers and ranks only affect when a promotion
//! starts and which instance runs it.
//!
//! A fence carries a term higher than any that the member has accepted. A member that accepts it
//! stops being a primary or following one, and rejects the primaries of lower terms from then on.

use std::time::{Duration, Instant};

use state::position::{LogPosition, MemberRole, MemberStatus};

/// Time without contact to the primary after which it is suspected to have failed.
pub const PRIMARY_TIMEOUT: Duration = Duration::from_millis(700);
/// Time for which a status counts as current.
const STATUS_TTL: Duration = Duration::from_millis(250);
/// Additional delay for each instance that ranks before this one.
pub const RANK_DELAY: Duration = Duration::from_millis(150);
/// Time within which the answers to one step of a promotion must arrive.
const PROMOTION_STEP_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which a member may stay fenced above the primary's term. Such a member rejects the
/// primary, so after that time a promotion starts a still higher term, which it accepts.
const HIGHER_TERM_GRACE_PERIOD: Duration = Duration::from_secs(2);
/// Period between follow commands to the same member.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(200);

/// Index of a member in its group.
pub type MemberIndex = usize;

/// Input of the failover machine.
#[derive(Clone, Debug)]
pub enum FailoverEvent {
    /// A member answered with its status.
    Status(MemberIndex, MemberStatus),
    /// A member did not answer on a new connection.
    Unreachable(MemberIndex),
    /// Other availability zones answered an indirect probe of a member.
    ProbedIndirectly {
        /// Member that was probed.
        member: MemberIndex,
        /// Number of availability zones that cannot reach it.
        unreachable_zones: usize,
        /// Number of availability zones that can reach it.
        reachable_zones: usize,
    },
    /// A member answered a fence of a term; none if it refused or did not answer.
    FenceAnswered(MemberIndex, u64, Option<MemberStatus>),
    /// A member answered a promotion to a term; none if it refused or did not answer.
    PromotionAnswered(MemberIndex, u64, Option<MemberStatus>),
    /// Time passed.
    Tick,
}

/// Output of the failover machine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FailoverEffect {
    /// Ask the other availability zones whether they can reach a member.
    ProbeIndirectly(MemberIndex),
    /// Send a fence with a term.
    Fence(MemberIndex, u64),
    /// Send a promotion with a term.
    Promote(MemberIndex, u64),
    /// Command a member to follow the primary of a term.
    Follow {
        /// Member to command.
        member: MemberIndex,
        /// Term of the primary.
        term: u64,
        /// Index of the primary.
        primary: MemberIndex,
    },
    /// Record a finished promotion in the table service.
    RecordPromotion {
        /// Term of the primary.
        term: u64,
        /// Index of the primary.
        primary: MemberIndex,
    },
}

/// Last status and reachability of a member.
#[derive(Clone, Copy, Debug, Default)]
struct MemberState {
    status: Option<MemberStatus>,
    status_at: Option<Instant>,
    unreachable_since: Option<Instant>,
    /// Time of the last follow command; when the member is first seen not to follow the primary,
    /// one [`FOLLOW_INTERVAL`] before that.
    follow_sent_at: Option<Instant>,
}

impl MemberState {
    fn is_fresh(&self, now: Instant) -> bool {
        self.status_at.is_some_and(|at| now.saturating_duration_since(at) <= STATUS_TTL)
    }

    fn fresh_status(&self, now: Instant) -> Option<MemberStatus> {
        self.status.filter(|_| self.is_fresh(now))
    }

    fn is_unreachable_for(&self, limit: Duration, now: Instant) -> bool {
        self.unreachable_since.is_some_and(|since| now.saturating_duration_since(since) >= limit)
    }
}

/// Phase of a promotion.
#[derive(Clone, Debug)]
enum PromotionPhase {
    /// No promotion is in progress.
    Idle,
    /// Fences were sent; collects the answers.
    Fencing { term: u64, since: Instant, fenced: Vec<Option<MemberStatus>> },
    /// The promotion was sent to the candidate.
    Promoting { term: u64, since: Instant, candidate: MemberIndex },
}

/// Result of an indirect probe through other availability zones.
#[derive(Clone, Copy, Debug)]
struct IndirectProbeResult {
    member: MemberIndex,
    unreachable_zones: usize,
    reachable_zones: usize,
    received_at: Instant,
}

/// Failover state machine of one instance for one group.
#[derive(Clone, Debug)]
pub struct FailoverMachine {
    members: Vec<MemberState>,
    rank: usize,
    phase: PromotionPhase,
    suspected_since: Option<Instant>,
    higher_term_since: Option<Instant>,
    probe_result: Option<IndirectProbeResult>,
    probe_requested_at: Option<Instant>,
    backoff_until: Option<Instant>,
}

impl FailoverMachine {
    /// Creates the machine of a group with `size` members.
    pub fn new(size: usize) -> Self {
        Self {
            members: vec![MemberState::default(); size],
            rank: 0,
            phase: PromotionPhase::Idle,
            suspected_since: None,
            higher_term_since: None,
            probe_result: None,
            probe_requested_at: None,
            backoff_until: None,
        }
    }

    /// Sets the rank of this instance among those that may promote; zero acts first.
    pub fn set_rank(&mut self, rank: usize) {
        self.rank = rank;
    }

    /// Returns the primary with the highest term among members whose status is current.
    pub fn primary(&self, now: Instant) -> Option<(MemberIndex, u64)> {
        let members = self.members.iter().enumerate();
        let primaries = members.filter_map(|(index, member)| {
            let status = member.fresh_status(now)?;
            let is_primary = status.position.role == MemberRole::Primary;
            is_primary.then_some((index, status.position.term))
        });
        primaries.max_by_key(|(_, term)| *term)
    }

    /// Returns whether this instance has a promotion in progress.
    pub fn is_promoting(&self) -> bool {
        !matches!(self.phase, PromotionPhase::Idle)
    }

    /// Processes an event and returns the resulting effects.
    pub fn handle(&mut self, event: FailoverEvent, now: Instant) -> Vec<FailoverEffect> {
        match event {
            FailoverEvent::Status(index, status) => self.record_status(index, status, now),
            FailoverEvent::Unreachable(index) => {
                let member = &mut self.members[index];
                member.unreachable_since = member.unreachable_since.or(Some(now));
            }
            FailoverEvent::ProbedIndirectly { member, unreachable_zones, reachable_zones } => {
                self.probe_result = Some(IndirectProbeResult {
                    member,
                    unreachable_zones,
                    reachable_zones,
                    received_at: now,
                });
            }
            FailoverEvent::FenceAnswered(index, term, answer) => {
                return self.record_fence_answer(index, term, answer, now);
            }
            FailoverEvent::PromotionAnswered(index, term, answer) => {
                return self.record_promotion_answer(index, term, answer, now);
            }
            FailoverEvent::Tick => return self.tick(now),
        }
        Vec::new()
    }

    fn record_status(&mut self, index: MemberIndex, status: MemberStatus, now: Instant) {
        let member = &mut self.members[index];
        member.status = Some(status);
        member.status_at = Some(now);
        member.unreachable_since = None;
    }

    fn tick(&mut self, now: Instant) -> Vec<FailoverEffect> {
        match &self.phase {
            PromotionPhase::Fencing { since, .. } | PromotionPhase::Promoting { since, .. } => {
                if now.saturating_duration_since(*since) > PROMOTION_STEP_TIMEOUT {
                    self.abort_promotion(now);
                }
                return Vec::new();
            }
            PromotionPhase::Idle => {}
        }
        let mut effects = Vec::from_iter(self.request_indirect_probe(now));
        if self.should_promote(now) {
            effects.extend(self.start_promotion(now));
            return effects;
        }
        effects.extend(self.follow_effects(now));
        effects
    }

    /// Requests an indirect probe once this instance cannot reach the primary.
    fn request_indirect_probe(&mut self, now: Instant) -> Option<FailoverEffect> {
        let unreachable = self.unreachable_primary(now)?;
        let recent = self
            .probe_requested_at
            .is_some_and(|at| now.saturating_duration_since(at) < STATUS_TTL);
        if recent {
            return None;
        }
        self.probe_requested_at = Some(now);
        Some(FailoverEffect::ProbeIndirectly(unreachable))
    }

    /// Returns the last known primary if it has been unreachable for [`PRIMARY_TIMEOUT`].
    fn unreachable_primary(&self, now: Instant) -> Option<MemberIndex> {
        let known = self.members.iter().enumerate().filter_map(|(index, member)| {
            let status = member.status?;
            let is_primary = status.position.role == MemberRole::Primary;
            is_primary.then_some((index, status.position.term))
        });
        let (index, _) = known.max_by_key(|(_, term)| *term)?;
        self.members[index].is_unreachable_for(PRIMARY_TIMEOUT, now).then_some(index)
    }

    fn should_promote(&mut self, now: Instant) -> bool {
        let suspected = self.majority_lost_primary(now) || self.is_primary_unreachable(now);
        self.suspected_since = if suspected { self.suspected_since.or(Some(now)) } else { None };
        let higher_term = !suspected && self.has_higher_term(now);
        self.higher_term_since =
            if higher_term { self.higher_term_since.or(Some(now)) } else { None };
        if self.backoff_until.is_some_and(|until| now < until) {
            return false;
        }
        let rank_delay = RANK_DELAY * self.rank as u32;
        let has_elapsed = |since: Option<Instant>, limit: Duration| {
            since.is_some_and(|since| now.saturating_duration_since(since) >= limit)
        };
        has_elapsed(self.suspected_since, rank_delay)
            || has_elapsed(self.higher_term_since, HIGHER_TERM_GRACE_PERIOD + rank_delay)
    }

    /// Returns whether a majority of the group answers but has lost contact to the primary.
    ///
    /// This suffices to suspect the primary: without these members it cannot commit.
    fn majority_lost_primary(&self, now: Instant) -> bool {
        self.members_without_primary(now).len() >= self.majority()
    }

    /// Returns the members that answer but have had no contact to a primary for
    /// [`PRIMARY_TIMEOUT`].
    fn members_without_primary(&self, now: Instant) -> Vec<MemberIndex> {
        let lost_primary = |member: &MemberState| {
            member.fresh_status(now).is_some_and(|status| {
                status.position.role != MemberRole::Primary
                    && Duration::from_millis(status.last_contact_ms) >= PRIMARY_TIMEOUT
            })
        };
        (0..self.members.len()).filter(|index| lost_primary(&self.members[*index])).collect()
    }

    /// Returns whether the primary is unreachable from this instance and from at least one other
    /// availability zone, and reachable from none.
    ///
    /// Its replicas may still reach it.
    fn is_primary_unreachable(&self, now: Instant) -> bool {
        let Some(unreachable) = self.unreachable_primary(now) else {
            return false;
        };
        self.probe_result.is_some_and(|result| {
            result.member == unreachable
                && result.unreachable_zones >= 1
                && result.reachable_zones == 0
                && now.saturating_duration_since(result.received_at) <= 2 * STATUS_TTL
        })
    }

    /// Returns whether a member was fenced above the primary's term, so that it rejects this
    /// primary.
    fn has_higher_term(&self, now: Instant) -> bool {
        let Some((_, term)) = self.primary(now) else {
            return false;
        };
        let above = |member: &MemberState| {
            member.fresh_status(now).is_some_and(|status| status.promised > term)
        };
        self.members.iter().any(above)
    }

    fn start_promotion(&mut self, now: Instant) -> Vec<FailoverEffect> {
        // A primary that cannot reach its replicas must be excluded: with the most advanced log it
        // would be promoted again and stay partitioned.
        let mut reachable = self.members_without_primary(now);
        if reachable.len() < self.majority() {
            let fresh = |index: &MemberIndex| self.members[*index].is_fresh(now);
            reachable = (0..self.members.len()).filter(fresh).collect();
        }
        if reachable.len() < self.majority() {
            return Vec::new();
        }
        let promised = self.members.iter().filter_map(|member| member.status);
        let term = 1 + promised.map(|status| status.promised).max().unwrap_or_default();
        let fenced = vec![None; self.members.len()];
        self.phase = PromotionPhase::Fencing { term, since: now, fenced };
        reachable.into_iter().map(|index| FailoverEffect::Fence(index, term)).collect()
    }

    fn record_fence_answer(
        &mut self,
        index: MemberIndex,
        fenced_term: u64,
        answer: Option<MemberStatus>,
        now: Instant,
    ) -> Vec<FailoverEffect> {
        let majority = self.majority();
        let PromotionPhase::Fencing { term, fenced, .. } = &mut self.phase else {
            return Vec::new();
        };
        if *term != fenced_term {
            return Vec::new();
        }
        fenced[index] = answer;
        if fenced.iter().flatten().count() < majority {
            return Vec::new();
        }
        let last_entry = |index: &MemberIndex| -> Option<LogPosition> {
            fenced[*index].map(|status| status.last_entry())
        };
        let best =
            (0..fenced.len()).filter(|index| fenced[*index].is_some()).max_by_key(last_entry);
        let (Some(candidate), term) = (best, *term) else {
            return Vec::new();
        };
        self.phase = PromotionPhase::Promoting { term, since: now, candidate };
        vec![FailoverEffect::Promote(candidate, term)]
    }

    fn record_promotion_answer(
        &mut self,
        index: MemberIndex,
        promoted_term: u64,
        answer: Option<MemberStatus>,
        now: Instant,
    ) -> Vec<FailoverEffect> {
        let PromotionPhase::Promoting { term, candidate, .. } = self.phase else {
            return Vec::new();
        };
        if term != promoted_term || candidate != index {
            return Vec::new();
        }
        let Some(status) = answer else {
            self.abort_promotion(now);
            return Vec::new();
        };
        self.phase = PromotionPhase::Idle;
        self.suspected_since = None;
        self.higher_term_since = None;
        // The replicas have had no contact to the new primary yet, which must not count as its
        // failure.
        self.backoff_until = Some(now + PRIMARY_TIMEOUT);
        self.record_status(index, status, now);
        let others = (0..self.members.len()).filter(|other| *other != index);
        let follows: Vec<FailoverEffect> =
            others.map(|member| FailoverEffect::Follow { member, term, primary: index }).collect();
        for member in &mut self.members {
            member.follow_sent_at = Some(now);
        }
        std::iter::once(FailoverEffect::RecordPromotion { term, primary: index })
            .chain(follows)
            .collect()
    }

    /// Aborts a promotion. The next attempt starts later on instances with a higher rank number.
    fn abort_promotion(&mut self, now: Instant) {
        self.phase = PromotionPhase::Idle;
        self.suspected_since = None;
        self.backoff_until = Some(now + RANK_DELAY * (self.rank as u32 + 1) / 2);
    }

    /// Returns follow commands for members that do not replicate from the primary.
    fn follow_effects(&mut self, now: Instant) -> Vec<FailoverEffect> {
        let Some((primary, term)) = self.primary(now) else {
            return Vec::new();
        };
        let interval = FOLLOW_INTERVAL + RANK_DELAY * self.rank as u32;
        let mut effects = Vec::new();
        for (index, member) in self.members.iter_mut().enumerate() {
            let Some(status) = member.fresh_status(now).filter(|_| index != primary) else {
                continue;
            };
            let needs_follow = status.promised < term
                || (status.promised == term && status.position.role != MemberRole::Replica);
            if !needs_follow {
                member.follow_sent_at = None;
                continue;
            }
            // The rank delay starts when the member is first seen not to follow the primary, so
            // instances that rank later send nothing while those before them act.
            let since = *member.follow_sent_at.get_or_insert(now - FOLLOW_INTERVAL);
            if now.saturating_duration_since(since) >= interval {
                member.follow_sent_at = Some(now);
                effects.push(FailoverEffect::Follow { member: index, term, primary });
            }
        }
        effects
    }

    fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }
}
