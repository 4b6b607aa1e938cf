//! An instance must not decide by a document that it cannot know to be the newest while others can.

use std::time::{Duration, Instant};

use coord::document_lag::DocumentLag;
use coord::document_state::DocumentState;
use coord::table_age::TableAge;

/// Bound on the time until a document is in force.
const BOUND: Duration = Duration::from_secs(3);

/// Defines a test with the trackers of an instance that starts, and a function that returns a time in
/// milliseconds.
macro_rules! state_case {
    ($name:ident, $lag:ident, $age:ident, $at:ident => $body:block) => {
        #[test]
        fn $name() {
            let start = Instant::now();
            let $at = |millis: u64| start + Duration::from_millis(millis);
            let (mut $lag, mut $age) = (DocumentLag::default(), TableAge::<u64>::new(start));
            $body
        }
    };
}

// A read that had failed allowed decisions, although a peer had reported a newer document.
state_case!(a_newer_document_of_a_peer_counts_although_the_store_does_not_answer, lag, age, at => {
    age.record(1, 1, at(0));
    age.record_failed_read(at(2_100), at(2_700));
    lag.record(1, 1, at(2_900));
    assert_eq!(DocumentState::assess(&lag, &age, BOUND, at(3_000)), DocumentState::Assumed);
    lag.record(1, 2, at(3_100));
    assert_eq!(DocumentState::assess(&lag, &age, BOUND, at(3_200)), DocumentState::Outdated);
    // The peer is gone, so nobody that can be reached knows better.
    lag.record(1, 1, at(3_300));
    assert_eq!(DocumentState::assess(&lag, &age, BOUND, at(3_400)), DocumentState::Assumed);
});

// The age counted from the start, so a table that an observer had held for long looked new.
state_case!(an_instance_that_starts_decides_nothing_before_it_has_evidence, lag, age, at => {
    lag.record(1, 1, at(10));
    assert_eq!(DocumentState::assess(&lag, &age, BOUND, at(20)), DocumentState::Outdated);
    age.record(1, 1, at(15));
    assert_eq!(DocumentState::assess(&lag, &age, BOUND, at(20)), DocumentState::Confirmed);
});

// The successor of the document may be in the answer.
state_case!(a_read_whose_answer_arrives_late_allows_no_decisions, lag, age, at => {
    age.record(1, 1, at(0));
    lag.record(1, 1, at(0));
    age.record_failed_read(at(2_100), at(2_700));
    age.withdraw_failed_read();
    assert_eq!(DocumentState::assess(&lag, &age, BOUND, at(3_000)), DocumentState::Outdated);
    age.record(1, 1, at(2_100));
    assert_eq!(DocumentState::assess(&lag, &age, BOUND, at(3_100)), DocumentState::Confirmed);
});

state_case!(an_instance_that_starts_without_the_store_goes_on, lag, age, at => {
    lag.record(1, 1, at(10));
    age.record_failed_read(at(20), at(600));
    assert_eq!(DocumentState::assess(&lag, &age, BOUND, at(700)), DocumentState::Assumed);
});
