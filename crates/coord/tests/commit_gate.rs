//! Promotions of members that may lack what their service has committed.

mod common;

use std::time::{Duration, Instant};

use common::check_cases;
use coord::commit_gate::{CommitGate, MAX_TERM_WAIT, RequiredCommits, lowest_position};
use state::position::LogPosition;

/// Defines a test of a first check: position of the member, acknowledged position, whether replicas
/// confirm commits, and whether the member is admitted.
macro_rules! gate_case {
    ($name:ident, $received:expr, $acknowledged:expr, $is_synchronous:expr => $admitted:expr) => {
        #[test]
        fn $name() {
            let position = |(term, index)| LogPosition::new(term, index);
            let required = RequiredCommits {
                acknowledged: $acknowledged.map(position),
                is_synchronous: $is_synchronous,
            };
            let (mut gate, now) = (CommitGate::default(), Instant::now());
            assert_eq!(gate.admits(position($received), required, now), $admitted);
            let later = now + 10 * MAX_TERM_WAIT;
            assert_eq!(gate.admits(position($received), required, later), $admitted);
        }
    };
}

// Acknowledged commits were lost with the replica that had confirmed them (review/6).
gate_case!(a_member_without_an_acknowledged_commit_is_not_promoted, (3, 40), Some((3, 41)), true => false);
gate_case!(a_member_with_the_acknowledged_commits_is_promoted, (3, 41), Some((3, 41)), true => true);
gate_case!(without_known_commits_any_member_is_promoted, (3, 40), None::<(u64, u64)>, true => true);
gate_case!(a_member_of_a_later_term_is_promoted, (4, 2), Some((3, 41)), true => true);
gate_case!(unconfirmed_commits_of_a_term_may_be_lost, (3, 40), Some((3, 41)), false => true);
// Reads lacked the commits of a whole term (review/9).
gate_case!(a_member_of_an_older_term_is_not_promoted_at_once, (2, 90), Some((3, 41)), false => false);

#[test]
fn a_member_of_an_older_term_is_promoted_when_none_of_the_newer_returns() {
    let (mut gate, start) = (CommitGate::default(), Instant::now());
    let acknowledged = Some(LogPosition::new(3, 41));
    let required = RequiredCommits { acknowledged, is_synchronous: false };
    let step = Duration::from_millis(500);
    let admitted =
        (0..).find(|round| gate.admits(LogPosition::new(2, 90), required, start + step * *round));
    assert_eq!(admitted.map(|round| step * round), Some(MAX_TERM_WAIT));
}

/// Commits of several callers run at once; the leader answers each with the end of its log.
#[test]
fn the_lowest_position_is_never_above_that_of_the_commit() {
    check_cases(2_000, 60, |choices| {
        let (mut log_end, mut known) = (0, None);
        let mut running: Vec<(Option<LogPosition>, Option<u64>)> = Vec::new();
        for _ in 0..40 {
            match choices.below(3) {
                0 => running.push((known, None)),
                1 => {
                    if let Some(commit) = running.iter_mut().find(|commit| commit.1.is_none()) {
                        log_end += 1;
                        commit.1 = Some(log_end);
                    }
                }
                _ => {
                    let Some(at) = running.iter().position(|commit| commit.1.is_some()) else {
                        continue;
                    };
                    let (before, index) = running.swap_remove(at);
                    let after = LogPosition::new(1, log_end);
                    let lowest = lowest_position(before, after);
                    assert!(lowest <= LogPosition::new(1, index.unwrap_or_default()));
                    known = known.max(Some(after));
                }
            }
        }
    });
}
