//! Decisions by a replaced document must be noticed, but not before all must have its successor.

use std::time::{Duration, Instant};

use coord::document_history::DocumentHistory;

/// Bound on the time until a document is in force.
const BOUND: Duration = Duration::from_secs(3);

/// Defines a test with an empty history and a function that returns a time in milliseconds.
macro_rules! history_case {
    ($name:ident, $history:ident, $at:ident => $body:block) => {
        #[test]
        fn $name() {
            let start = Instant::now();
            let $at = |millis: u64| start + Duration::from_millis(millis);
            let mut $history = DocumentHistory::default();
            $body
        }
    };
}

history_case!(the_bound_counts_from_the_first_newer_document, history, at => {
    history.record(17, at(0));
    history.record(20, at(1_000));
    history.record(24, at(3_500));
    assert!(!history.is_replaced(17, BOUND, at(4_000)));
    assert!(history.is_replaced(17, BOUND, at(4_001)));
    assert!(!history.is_replaced(20, BOUND, at(6_000)));
    assert!(history.is_replaced(20, BOUND, at(6_600)));
    assert!(!history.is_replaced(24, BOUND, at(60_000)));
    assert!(!history.is_replaced(30, BOUND, at(60_000)));
});

history_case!(a_series_of_documents_keeps_decisions_by_old_ones_out, history, at => {
    for version in 1..=500 {
        history.record(version, at(100 * version));
        if version > 40 {
            assert!(history.is_replaced(version - 40, BOUND, at(100 * version)), "{version}");
        }
        assert!(!history.is_replaced(version - 1, BOUND, at(100 * version)), "{version}");
    }
});
