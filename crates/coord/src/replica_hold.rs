//! Decision which replicas are held during a promotion, so that no acknowledged commit is lost.
//!
//! A service with synchronous replicas acknowledges a commit once that number of replicas has
//! received it. Its leader goes on to acknowledge commits until the promotion takes effect, and the
//! promoted member keeps only what it has received itself. Other replicas are therefore held before
//! the promotion is requested: so many that the remaining ones cannot confirm a commit without the
//! candidate. Commits that were confirmed earlier were received by a held replica, so the candidate
//! has them once it has received as much as each held replica.

use std::collections::HashMap;

use crate::promotion::MemberReport;

/// Answer of a replica that was asked to stop receiving, or to receive again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HoldAnswer {
    /// Status of the replica afterwards.
    Status(MemberReport),
    /// The replica answered with an error.
    Refused,
    /// No answer arrived.
    Missing,
}

impl HoldAnswer {
    /// Returns the status, if there is one.
    pub fn report(self) -> Option<MemberReport> {
        match self {
            Self::Status(report) => Some(report),
            Self::Refused | Self::Missing => None,
        }
    }
}

/// Holds that replicas report although they were resumed.
///
/// A replica may report a term at rest, or refuse to be resumed. It is asked once, so that its report
/// does not cause promotions without end.
#[derive(Clone, Debug, Default)]
pub struct LastingHolds {
    /// Terms of the holds, by the name of the replica.
    terms: HashMap<String, u64>,
}

impl LastingHolds {
    /// Returns whether a replica reports a hold that a resume may end.
    pub fn is_resumable(&self, name: &str, report: &MemberReport) -> bool {
        !report.leads && report.held_term > 0 && self.terms.get(name) != Some(&report.held_term)
    }

    /// Records the answer of a replica that was held for `held_term` to a resume. Returns whether the
    /// hold lasts.
    pub fn record_resume(&mut self, name: &str, held_term: u64, answer: HoldAnswer) -> bool {
        let lasting_term = match answer {
            HoldAnswer::Status(report) if report.held_term > 0 => report.held_term,
            HoldAnswer::Refused => held_term,
            HoldAnswer::Status(_) | HoldAnswer::Missing => return false,
        };
        self.terms.insert(name.to_owned(), lasting_term);
        true
    }
}

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
