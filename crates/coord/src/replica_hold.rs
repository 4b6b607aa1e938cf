//! Decision which replicas are held during a promotion, so that no acknowledged commit is lost.
//!
//! A service with synchronous replicas acknowledges a commit once that number of replicas has
//! received it. Its leader goes on to acknowledge commits until the promotion takes effect, and the
//! promoted member keeps only what it has received itself. Other replicas are therefore held before
//! the promotion is requested: so many that the remaining ones cannot confirm a commit without the
//! candidate. Commits that were confirmed earlier were received by a held replica, so the candidate
//! has them once it has received as much as each held replica.

use crate::promotion::MemberReport;

/// State of a hold after its members were asked to stop receiving.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HoldState {
    /// Replicas that are not held can confirm commits that the candidate has not received.
    Incomplete,
    /// The candidate has yet to receive what a held replica has received.
    Behind,
    /// The candidate has every acknowledged commit, now and until the hold ends.
    Complete,
}

/// Replicas to hold during the promotion of a candidate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaHold {
    /// Term of the hold, above all terms that any member reported.
    pub term: u64,
    /// Indices of the replicas to hold.
    pub replicas: Vec<usize>,
}

impl ReplicaHold {
    /// Creates a hold for the promotion of `candidate`, the index of a member that answered.
    ///
    /// `leader` is the index of the leader, if it is registered. Returns `None` if too few members
    /// answered.
    pub fn new(
        leader: Option<usize>,
        candidate: usize,
        reports: &[Option<MemberReport>],
        synchronous_replicas: usize,
    ) -> Option<Self> {
        let follows = |index: &usize| reports[*index].is_some_and(|report| !report.leads);
        let leader = leader.filter(|leader| !follows(leader));
        let replica_count = reports.len() - usize::from(leader.is_some());
        let required_count = replica_count.saturating_sub(synchronous_replicas);
        let mut replicas: Vec<usize> =
            (0..reports.len()).filter(|index| *index != candidate && follows(index)).collect();
        // A replica that is behind confirms commits later than the others.
        replicas.sort_by_key(|index| reports[*index].map(|report| report.received));
        replicas.truncate(required_count);
        if replicas.len() < required_count {
            return None;
        }
        let newest = |report: &MemberReport| report.term.max(report.held_term);
        let term = reports.iter().flatten().map(newest).max().unwrap_or(0) + 1;
        Some(Self { term, replicas })
    }

    /// Returns the state of the hold.
    ///
    /// `held` contains the answers of the held replicas, and `candidate` a later status of the
    /// candidate; the order of the requests matters.
    pub fn state(
        &self,
        held: &[Option<MemberReport>],
        candidate: Option<MemberReport>,
    ) -> HoldState {
        let is_held = |report: &&MemberReport| !report.leads && report.held_term >= self.term;
        let held = held.iter().flatten().filter(is_held);
        if held.clone().count() < self.replicas.len() {
            return HoldState::Incomplete;
        }
        let newest = held.map(|report| report.received).max();
        match candidate {
            Some(candidate) if newest.is_none_or(|newest| candidate.received >= newest) => {
                HoldState::Complete
            }
            _ => HoldState::Behind,
        }
    }
}
