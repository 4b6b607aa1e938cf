//! An instance must notice that it misses documents, and only then stop deciding.

use std::time::{Duration, Instant};

use coord::document_lag::DocumentLag;

/// Bound on the time until a document is in force.
const BOUND: Duration = Duration::from_secs(5);

/// Defines a test with an empty tracker and a function that returns a time in milliseconds.
macro_rules! lag_case {
    ($name:ident, $lag:ident, $at:ident => $body:block) => {
        #[test]
        fn $name() {
            let start = Instant::now();
            let $at = |millis: u64| start + Duration::from_millis(millis);
            let mut $lag = DocumentLag::default();
            $body
        }
    };
}

// An instance served callers by a document that had been replaced long before.
lag_case!(a_missed_document_outdates_the_own_one, lag, at => {
    lag.record(17, 20, at(0));
    assert!(!lag.is_outdated(BOUND, at(3_900)));
    assert!(lag.is_outdated(BOUND, at(4_100)));
    lag.record(20, 20, at(4_200));
    assert!(!lag.is_outdated(BOUND, at(9_000)));
});

// While documents follow each other quickly, an instance is always one behind.
lag_case!(a_series_of_documents_that_arrive_late_outdates_nothing, lag, at => {
    for step in 0..100 {
        // Each document arrives two steps of 500 ms after the others have it.
        lag.record(step, step + 2, at(step * 500));
        assert!(!lag.is_outdated(BOUND, at(step * 500)), "step {step}");
        assert!(lag.lag(at(step * 500)) <= Duration::from_millis(1_000));
    }
});

lag_case!(the_lag_counts_from_the_first_missed_document, lag, at => {
    lag.record(17, 20, at(0));
    lag.record(17, 24, at(3_000));
    assert!(lag.is_outdated(BOUND, at(4_100)));
    lag.record(20, 24, at(4_200));
    assert!(!lag.is_outdated(BOUND, at(4_200)), "document 24 is only 1.2 s old");
    assert_eq!(lag.newest_missed(), Some(24));
});

// If no other instance can serve instead, a late document is better than none.
lag_case!(nothing_is_outdated_without_an_instance_that_is_newer, lag, at => {
    lag.record(17, 20, at(0));
    lag.record(17, 17, at(4_000));
    assert!(!lag.is_outdated(BOUND, at(9_000)));
});

// What came after many missed documents was not tracked, so the lag began anew.
lag_case!(many_missed_documents_keep_the_time_of_the_first, lag, at => {
    for version in 1..=200 {
        lag.record(0, version, at(version * 10));
    }
    assert_eq!(lag.newest_missed(), Some(200));
    lag.record(100, 200, at(2_100));
    assert!(lag.lag(at(2_100)) >= Duration::from_millis(1_400), "{:?}", lag.lag(at(2_100)));
});
