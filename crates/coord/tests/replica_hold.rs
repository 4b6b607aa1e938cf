//! Holds of replicas during promotions: no acknowledged commit is missing from the promoted member.

mod common;

use std::sync::atomic::{AtomicUsize, Ordering};

use common::{Choices, check_cases};
use coord::promotion::MemberReport;
use coord::replica_hold::{HoldState, ReplicaHold};
use state::position::LogPosition;

/// Service whose first member leads and whose others receive its log at any pace.
struct ReplicaModel {
    synchronous: usize,
    committed: u64,
    received: Vec<u64>,
    held_terms: Vec<u64>,
}

impl ReplicaModel {
    fn report(&self, member: usize) -> MemberReport {
        MemberReport {
            leads: member == 0,
            term: 1,
            received: LogPosition::new(1, self.received[member]),
            held_term: self.held_terms[member],
        }
    }

    /// Commits, and delivers to some of the replicas that are not held.
    fn run(&mut self, choices: &mut Choices) {
        for _ in 0..choices.below(6) {
            self.committed += 1;
            self.received[0] = self.committed;
            for replica in 1..self.received.len() {
                if self.held_terms[replica] == 0 && choices.below(3) > 0 {
                    self.received[replica] = self.committed;
                }
            }
        }
    }

    /// Returns the last commit that enough replicas have received.
    fn acknowledged(&self) -> u64 {
        let mut received = self.received[1..].to_vec();
        received.sort_unstable();
        received[received.len() - self.synchronous]
    }
}

#[test]
fn a_promoted_member_has_all_that_was_acknowledged_until_it_leads() {
    let complete = AtomicUsize::new(0);
    check_cases(3_000, 200, |choices| {
        let replicas = 1 + choices.below(4);
        let mut model = ReplicaModel {
            synchronous: 1 + choices.below(replicas.min(2)),
            committed: 0,
            received: vec![0; replicas + 1],
            held_terms: vec![0; replicas + 1],
        };
        model.run(choices);
        let answers = |_| choices.below(5) > 0;
        let answered: Vec<bool> = (0..=replicas).map(answers).collect();
        let reports: Vec<Option<MemberReport>> =
            (0..=replicas).map(|member| answered[member].then(|| model.report(member))).collect();
        let candidate = 1 + choices.below(replicas);
        let Some(hold) = ReplicaHold::new(Some(0), candidate, &reports, model.synchronous) else {
            return;
        };
        let mut held = Vec::new();
        for replica in &hold.replicas {
            model.run(choices);
            let is_reached = choices.below(5) > 0;
            if is_reached {
                model.held_terms[*replica] = hold.term;
            }
            held.push(is_reached.then(|| model.report(*replica)));
        }
        model.run(choices);
        if hold.state(&held, Some(model.report(candidate))) != HoldState::Complete {
            return;
        }
        complete.fetch_add(1, Ordering::Relaxed);
        model.run(choices);
        assert!(model.acknowledged() <= model.received[candidate], "candidate {candidate}");
    });
    assert!(complete.into_inner() > 300, "holds are complete");
}

/// Defines a test of the replicas held for the promotion of member 1: the positions of all members,
/// none without an answer, the number of synchronous replicas and the replicas to hold.
macro_rules! hold_case {
    ($name:ident, $positions:expr, $synchronous:expr => $replicas:expr) => {
        #[test]
        fn $name() {
            let report = |(member, index): (usize, Option<u64>)| {
                let received = LogPosition::new(1, index?);
                Some(MemberReport { leads: member == 0, term: 4, received, held_term: 6 })
            };
            let reports: Vec<_> = $positions.into_iter().enumerate().map(report).collect();
            let hold = ReplicaHold::new(Some(0), 1, &reports, $synchronous);
            let expected: Option<Vec<usize>> = $replicas;
            assert_eq!(hold.as_ref().map(|hold| hold.replicas.clone()), expected);
            assert!(hold.is_none_or(|hold| hold.term == 7));
        }
    };
}

hold_case!(every_other_replica_is_held_when_one_confirms,
    [Some(9), Some(9), Some(8), Some(9)], 1 => Some(vec![2, 3]));
hold_case!(no_replica_is_held_when_all_confirm, [Some(9), Some(9), Some(9)], 2 => Some(vec![]));
hold_case!(the_replica_that_is_behind_is_held, [Some(9), Some(9), Some(9), Some(7)], 2
    => Some(vec![3]));
hold_case!(a_replica_that_cannot_be_held_prevents_the_promotion, [None, Some(9), None], 1 => None);
