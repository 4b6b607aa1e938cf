//! Failover of one database group: suspicion, fencing, promotion and healing.
//!
//! Safety rests on the members' terms: a promotion needs the fence of a majority, and the fenced
//! member with the highest position wins. Timers and ranks only decide how soon and by whom.

use std::time::{Duration, Instant};

use state::position::{LogPosition, MemberRole, MemberStatus};

/// Time without a sign of the primary after which it is suspected.
pub const PRIMARY_TIMEOUT: Duration = Duration::from_millis(700);
/// Age above which a status says nothing about the present.
const STATUS_LIMIT: Duration = Duration::from_millis(250);
/// Time by which an instance holds back for each instance that ranks before it.
pub const RANK_DELAY: Duration = Duration::from_millis(150);
/// Time that one step of a promotion may take.
const STEP_LIMIT: Duration = Duration::from_millis(400);
/// Time for which a member fenced above the primary's term is left alone before a new term.
const STRAY_LIMIT: Duration = Duration::from_secs(2);
/// Time between two follow commands to the same member.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(200);

/// Index of a member in its group.
pub type MemberIndex = usize;

/// Input of the machine.
#[derive(Clone, Debug)]
pub enum FailoverEvent {
    /// A member answered with its status.
    Status(MemberIndex, MemberStatus),
    /// A member did not answer on a fresh connection.
    Unreachable(MemberIndex),
    /// Other availability zones were asked whether they reach the primary.
    ProbedIndirectly {
        /// Member that they were asked about.
        member: MemberIndex,
        /// Availability zones that do not reach it.
        unreachable_zones: usize,
        /// Availability zones that reach it.
        reachable_zones: usize,
    },
    /// A member answered a fence; none if it refused or did not answer.
    FenceAnswered(MemberIndex, u64, Option<MemberStatus>),
    /// A member answered a promotion.
    PromotionAnswered(MemberIndex, u64, Option<MemberStatus>),
    /// Time passed.
    Tick,
}

/// Output of the machine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FailoverEffect {
    /// Ask the other availability zones whether they reach a member.
    ProbeIndirectly(MemberIndex),
    /// Send a fence.
    Fence(MemberIndex, u64),
    /// Send a promotion.
    Promote(MemberIndex, u64),
    /// Tell a member to follow the primary of a term.
    Follow {
        /// Member that is told.
        member: MemberIndex,
        /// Term of the primary.
        term: u64,
        /// Member that is the primary.
        primary: MemberIndex,
    },
    /// Record a finished promotion in the table service.
    RecordPromotion {
        /// Term of the primary.
        term: u64,
        /// Member that is the primary.
        primary: MemberIndex,
    },
}

/// Last knowledge of a member.
#[derive(Clone, Copy, Debug, Default)]
struct MemberKnowledge {
    status: Option<MemberStatus>,
    answered_at: Option<Instant>,
    lost_since: Option<Instant>,
    followed_at: Option<Instant>,
}

impl MemberKnowledge {
    fn is_fresh(&self, now: Instant) -> bool {
        self.answered_at.is_some_and(|at| now.saturating_duration_since(at) <= STATUS_LIMIT)
    }

    fn fresh_status(&self, now: Instant) -> Option<MemberStatus> {
        self.status.filter(|_| self.is_fresh(now))
    }

    fn is_lost_for(&self, limit: Duration, now: Instant) -> bool {
        self.lost_since.is_some_and(|since| now.saturating_duration_since(since) >= limit)
    }
}

/// Step of a promotion under way.
#[derive(Clone, Debug)]
enum PromotionStep {
    /// No promotion is under way.
    Watching,
    /// Fences were sent.
    Fencing { term: u64, since: Instant, fenced: Vec<Option<MemberStatus>> },
    /// A promotion was sent.
    Promoting { term: u64, since: Instant, candidate: MemberIndex },
}

/// Answer of other availability zones.
#[derive(Clone, Copy, Debug)]
struct WitnessAnswer {
    member: MemberIndex,
    unreachable_zones: usize,
    reachable_zones: usize,
    at: Instant,
}

/// Failover decisions of one instance for one group.
#[derive(Clone, Debug)]
pub struct FailoverMachine {
    members: Vec<MemberKnowledge>,
    rank: usize,
    step: PromotionStep,
    suspected_since: Option<Instant>,
    stray_since: Option<Instant>,
    witness: Option<WitnessAnswer>,
    asked_at: Option<Instant>,
    quiet_until: Option<Instant>,
}

impl FailoverMachine {
    /// Creates the machine of a group with `size` members.
    pub fn new(size: usize) -> Self {
        Self {
            members: vec![MemberKnowledge::default(); size],
            rank: 0,
            step: PromotionStep::Watching,
            suspected_since: None,
            stray_since: None,
            witness: None,
            asked_at: None,
            quiet_until: None,
        }
    }

    /// Sets the place of this instance among those that may promote, zero for the first.
    pub fn set_rank(&mut self, rank: usize) {
        self.rank = rank;
    }

    /// Returns the primary of the highest term that answers at present.
    pub fn primary(&self, now: Instant) -> Option<(MemberIndex, u64)> {
        let fresh = self.members.iter().enumerate();
        let primaries = fresh.filter_map(|(index, member)| {
            let status = member.fresh_status(now)?;
            let is_primary = status.position.role == MemberRole::Primary;
            is_primary.then_some((index, status.position.term))
        });
        primaries.max_by_key(|(_, term)| *term)
    }

    /// Tells whether a promotion of this instance is under way.
    pub fn is_promoting(&self) -> bool {
        !matches!(self.step, PromotionStep::Watching)
    }

    /// Takes an event and returns what to do.
    pub fn handle(&mut self, event: FailoverEvent, now: Instant) -> Vec<FailoverEffect> {
        match event {
            FailoverEvent::Status(index, status) => self.note_status(index, status, now),
            FailoverEvent::Unreachable(index) => {
                let member = &mut self.members[index];
                member.lost_since = member.lost_since.or(Some(now));
            }
            FailoverEvent::ProbedIndirectly { member, unreachable_zones, reachable_zones } => {
                self.witness =
                    Some(WitnessAnswer { member, unreachable_zones, reachable_zones, at: now });
            }
            FailoverEvent::FenceAnswered(index, term, answer) => {
                return self.note_fence(index, term, answer, now);
            }
            FailoverEvent::PromotionAnswered(index, term, answer) => {
                return self.note_promotion(index, term, answer, now);
            }
            FailoverEvent::Tick => return self.tick(now),
        }
        Vec::new()
    }

    fn note_status(&mut self, index: MemberIndex, status: MemberStatus, now: Instant) {
        let member = &mut self.members[index];
        member.status = Some(status);
        member.answered_at = Some(now);
        member.lost_since = None;
    }

    fn tick(&mut self, now: Instant) -> Vec<FailoverEffect> {
        match &self.step {
            PromotionStep::Fencing { since, .. } | PromotionStep::Promoting { since, .. } => {
                if now.saturating_duration_since(*since) > STEP_LIMIT {
                    self.abandon(now);
                }
                return Vec::new();
            }
            PromotionStep::Watching => {}
        }
        let mut effects = Vec::from_iter(self.witness_question(now));
        if self.should_promote(now) {
            effects.extend(self.start_promotion(now));
            return effects;
        }
        effects.extend(self.heal(now));
        effects
    }

    /// Asks other availability zones once the primary is lost to this instance.
    fn witness_question(&mut self, now: Instant) -> Option<FailoverEffect> {
        let lost = self.lost_primary(now)?;
        let recent =
            self.asked_at.is_some_and(|at| now.saturating_duration_since(at) < STATUS_LIMIT);
        if recent {
            return None;
        }
        self.asked_at = Some(now);
        Some(FailoverEffect::ProbeIndirectly(lost))
    }

    /// Returns the last known primary if it has been lost to this instance for long.
    fn lost_primary(&self, now: Instant) -> Option<MemberIndex> {
        let known = self.members.iter().enumerate().filter_map(|(index, member)| {
            let status = member.status?;
            let is_primary = status.position.role == MemberRole::Primary;
            is_primary.then_some((index, status.position.term))
        });
        let (index, _) = known.max_by_key(|(_, term)| *term)?;
        self.members[index].is_lost_for(PRIMARY_TIMEOUT, now).then_some(index)
    }

    fn should_promote(&mut self, now: Instant) -> bool {
        let suspected = self.is_deaf_majority(now) || self.is_lost_to_all(now);
        self.suspected_since = if suspected { self.suspected_since.or(Some(now)) } else { None };
        let stray = !suspected && self.has_stray(now);
        self.stray_since = if stray { self.stray_since.or(Some(now)) } else { None };
        if self.quiet_until.is_some_and(|until| now < until) {
            return false;
        }
        let held_back = RANK_DELAY * self.rank as u32;
        let over = |since: Option<Instant>, limit: Duration| {
            since.is_some_and(|since| now.saturating_duration_since(since) >= limit)
        };
        over(self.suspected_since, held_back) || over(self.stray_since, STRAY_LIMIT + held_back)
    }

    /// Tells whether a majority of the group answers and has not heard a primary for long.
    ///
    /// Their word is enough: no primary can have its commits confirmed without them.
    fn is_deaf_majority(&self, now: Instant) -> bool {
        self.deaf_members(now).len() >= self.majority()
    }

    /// Returns the members that answer and have not heard a primary for long.
    fn deaf_members(&self, now: Instant) -> Vec<MemberIndex> {
        let deaf = |member: &MemberKnowledge| {
            member.fresh_status(now).is_some_and(|status| {
                status.position.role != MemberRole::Primary
                    && Duration::from_millis(status.heard_ms) >= PRIMARY_TIMEOUT
            })
        };
        (0..self.members.len()).filter(|index| deaf(&self.members[*index])).collect()
    }

    /// Tells whether this instance and at least one other availability zone lost the primary, and
    /// no availability zone reaches it, though its replicas may.
    fn is_lost_to_all(&self, now: Instant) -> bool {
        let Some(lost) = self.lost_primary(now) else {
            return false;
        };
        self.witness.is_some_and(|witness| {
            witness.member == lost
                && witness.unreachable_zones >= 1
                && witness.reachable_zones == 0
                && now.saturating_duration_since(witness.at) <= 2 * STATUS_LIMIT
        })
    }

    /// Tells whether a member was fenced above the primary's term and so is lost to the group.
    fn has_stray(&self, now: Instant) -> bool {
        let Some((_, term)) = self.primary(now) else {
            return false;
        };
        let above = |member: &MemberKnowledge| {
            member.fresh_status(now).is_some_and(|status| status.promised > term)
        };
        self.members.iter().any(above)
    }

    fn start_promotion(&mut self, now: Instant) -> Vec<FailoverEffect> {
        // A primary that its replicas do not hear must not be counted in: with the highest position
        // it would be promoted again and stay cut off.
        let mut reachable = self.deaf_members(now);
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
        self.step = PromotionStep::Fencing { term, since: now, fenced };
        reachable.into_iter().map(|index| FailoverEffect::Fence(index, term)).collect()
    }

    fn note_fence(
        &mut self,
        index: MemberIndex,
        fenced_term: u64,
        answer: Option<MemberStatus>,
        now: Instant,
    ) -> Vec<FailoverEffect> {
        let majority = self.majority();
        let PromotionStep::Fencing { term, fenced, .. } = &mut self.step else {
            return Vec::new();
        };
        if *term != fenced_term {
            return Vec::new();
        }
        fenced[index] = answer;
        if fenced.iter().flatten().count() < majority {
            return Vec::new();
        }
        let held = |index: &MemberIndex| -> Option<LogPosition> {
            fenced[*index].map(|status| status.held())
        };
        let best = (0..fenced.len()).filter(|index| fenced[*index].is_some()).max_by_key(held);
        let (Some(candidate), term) = (best, *term) else {
            return Vec::new();
        };
        self.step = PromotionStep::Promoting { term, since: now, candidate };
        vec![FailoverEffect::Promote(candidate, term)]
    }

    fn note_promotion(
        &mut self,
        index: MemberIndex,
        promoted_term: u64,
        answer: Option<MemberStatus>,
        now: Instant,
    ) -> Vec<FailoverEffect> {
        let PromotionStep::Promoting { term, candidate, .. } = self.step else {
            return Vec::new();
        };
        if term != promoted_term || candidate != index {
            return Vec::new();
        }
        let Some(status) = answer else {
            self.abandon(now);
            return Vec::new();
        };
        self.step = PromotionStep::Watching;
        self.suspected_since = None;
        self.stray_since = None;
        // The replicas have not heard the new primary yet; their silence must not count.
        self.quiet_until = Some(now + PRIMARY_TIMEOUT);
        self.note_status(index, status, now);
        let others = (0..self.members.len()).filter(|other| *other != index);
        let follows: Vec<FailoverEffect> =
            others.map(|member| FailoverEffect::Follow { member, term, primary: index }).collect();
        for member in &mut self.members {
            member.followed_at = Some(now);
        }
        std::iter::once(FailoverEffect::RecordPromotion { term, primary: index })
            .chain(follows)
            .collect()
    }

    /// Gives up a promotion; the next try comes later for those that rank behind.
    fn abandon(&mut self, now: Instant) {
        self.step = PromotionStep::Watching;
        self.suspected_since = None;
        self.quiet_until = Some(now + RANK_DELAY * (self.rank as u32 + 1) / 2);
    }

    /// Tells members that do not follow the primary to do so.
    fn heal(&mut self, now: Instant) -> Vec<FailoverEffect> {
        let Some((primary, term)) = self.primary(now) else {
            return Vec::new();
        };
        let interval = FOLLOW_INTERVAL + RANK_DELAY * self.rank as u32;
        let mut effects = Vec::new();
        for (index, member) in self.members.iter_mut().enumerate() {
            let Some(status) = member.fresh_status(now).filter(|_| index != primary) else {
                continue;
            };
            let strays = status.promised < term
                || (status.promised == term && status.position.role != MemberRole::Replica);
            if !strays {
                member.followed_at = None;
                continue;
            }
            // The first sight starts the wait, so instances that rank behind stay silent while
            // those before them do the work.
            let since = *member.followed_at.get_or_insert(now - FOLLOW_INTERVAL);
            if now.saturating_duration_since(since) >= interval {
                member.followed_at = Some(now);
                effects.push(FailoverEffect::Follow { member: index, term, primary });
            }
        }
        effects
    }

    fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }
}
