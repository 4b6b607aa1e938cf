//! An instance that is behind must choose its sources well.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use coord::table_source::{PUSH_DELAY, REMOTE_DELAY, SourceCandidate, SourcePlanner, SourceStep};

/// Names of the candidates, by their key.
const NAMES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
/// Time behind after which the store is read.
const STORE_DELAY: Duration = Duration::from_secs(2);

/// Defines a test with a planner and a function that returns a time in milliseconds.
macro_rules! source_case {
    ($name:ident, $planner:ident, $at:ident => $body:block) => {
        #[test]
        fn $name() {
            let start = Instant::now();
            let $at = |millis: u64| start + Duration::from_millis(millis);
            let mut $planner = SourcePlanner::<usize, u64>::new("own", STORE_DELAY);
            $body
        }
    };
}

fn near(key: usize) -> SourceCandidate<usize, u64> {
    SourceCandidate { key, version: 2, is_in_zone: true }
}

fn remote(key: usize) -> SourceCandidate<usize, u64> {
    SourceCandidate { is_in_zone: false, ..near(key) }
}

fn next(
    planner: &mut SourcePlanner<usize, u64>,
    candidates: &[SourceCandidate<usize, u64>],
    now: Instant,
) -> SourceStep<usize> {
    planner.next_step(1, candidates.iter().copied(), |key| NAMES[key], now)
}

// All that were behind asked the one peer with the highest version.
source_case!(sources_are_spread, planner, at => {
    planner.offered();
    let candidates: Vec<_> = (0..NAMES.len()).map(near).collect();
    let mut asked = BTreeSet::new();
    for _ in 0..40 {
        if let SourceStep::Peer(key) = next(&mut planner, &candidates, at(0)) {
            asked.insert(key);
        }
    }
    assert_eq!(asked.len(), NAMES.len());
});

source_case!(a_push_is_waited_for, planner, at => {
    assert_eq!(next(&mut planner, &[near(0)], at(0)), SourceStep::Wait);
    let due = at(0) + PUSH_DELAY;
    assert_eq!(next(&mut planner, &[near(0)], due), SourceStep::Peer(0));
});

source_case!(other_zones_are_asked_late, planner, at => {
    planner.offered();
    assert_eq!(next(&mut planner, &[remote(0), near(1)], at(0)), SourceStep::Peer(1));
    planner.failed(1, at(0));
    assert_eq!(next(&mut planner, &[remote(0), near(1)], at(10)), SourceStep::Wait);
    let due = at(0) + REMOTE_DELAY;
    assert_eq!(next(&mut planner, &[remote(0), near(1)], due), SourceStep::Peer(0));
});

// A source that had failed was asked again while sound ones were busy for a moment.
source_case!(a_failed_source_is_left_alone_while_others_are_busy, planner, at => {
    planner.offered();
    planner.failed(0, at(0));
    planner.busy(1, Duration::from_millis(100), [], at(0));
    assert_eq!(next(&mut planner, &[near(0), near(1)], at(10)), SourceStep::Wait);
    assert_eq!(next(&mut planner, &[near(0), near(1)], at(700)), SourceStep::Peer(1));
    assert_eq!(next(&mut planner, &[near(0)], at(800)), SourceStep::Peer(0));
});

source_case!(a_busy_source_refers_to_those_it_has_served, planner, at => {
    planner.offered();
    planner.busy(0, Duration::from_millis(100), [near(4)], at(0));
    assert_eq!(next(&mut planner, &[near(0)], at(10)), SourceStep::Peer(4));
    planner.succeeded(4);
    let up_to_date = planner.next_step(2, [near(0)], |key| NAMES[key], at(20));
    assert_eq!(up_to_date, SourceStep::UpToDate);
});

// A holder in another zone counted as near, and its traffic is expensive.
source_case!(a_holder_in_another_zone_is_asked_late, planner, at => {
    planner.offered();
    planner.busy(0, Duration::from_millis(5_000), [remote(4)], at(0));
    assert_eq!(next(&mut planner, &[near(0)], at(10)), SourceStep::Wait);
    let due = at(10) + REMOTE_DELAY;
    assert_eq!(next(&mut planner, &[near(0)], due), SourceStep::Peer(4));
});

// Twice the delay is the most by which the store's turn is spread and put off.
source_case!(the_store_is_read_if_no_source_answers, planner, at => {
    planner.offered();
    let mut reads = 0;
    for millis in (0..6_000).step_by(100) {
        match next(&mut planner, &[near(0), near(1)], at(millis)) {
            SourceStep::Peer(key) => planner.failed(key, at(millis)),
            SourceStep::Store => {
                assert!(millis >= 2_000);
                reads += 1;
            }
            SourceStep::Wait | SourceStep::UpToDate => {}
        }
    }
    assert!((1..=3).contains(&reads), "{reads}");
});
