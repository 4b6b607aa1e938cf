//! What is known of the age of a cached table must never make it look newer than it is.

use std::time::{Duration, Instant};

use coord::table_currency::TableCurrency;

/// Defines a test with a new tracker and a function that returns a time in milliseconds.
macro_rules! currency_case {
    ($name:ident, $currency:ident, $at:ident => $body:block) => {
        #[test]
        fn $name() {
            let start = Instant::now();
            let $at = |millis: u64| start + Duration::from_millis(millis);
            let mut $currency = TableCurrency::new(start);
            $body
        }
    };
}

// A cache that lacks a version looked as new as that version.
currency_case!(evidence_for_a_newer_version_counts_once_the_cache_has_it, currency, at => {
    currency.record(17, 17, at(100));
    currency.record(17, 20, at(900));
    assert_eq!(currency.confirmed_at(), Some(at(100)));
    currency.advance(20);
    assert_eq!(currency.confirmed_at(), Some(at(900)));
    assert_eq!(currency.age(at(1_000)), Duration::from_millis(100));
});

// While documents follow each other quickly, the cache is always one behind its evidence.
currency_case!(a_series_of_versions_keeps_the_evidence_for_each, currency, at => {
    for step in 1..500 {
        currency.record(step - 1, step, at(10 * step));
        currency.advance(step - 1);
        assert!(currency.age(at(10 * step)) <= Duration::from_millis(10), "step {step}");
    }
});

currency_case!(too_much_evidence_makes_the_cache_look_older, currency, at => {
    for step in 1..=200 {
        currency.record(0, step, at(10 * step));
    }
    currency.advance(100);
    assert!(currency.confirmed_at().is_none_or(|confirmed_at| confirmed_at <= at(1_000)));
    currency.advance(200);
    assert_eq!(currency.confirmed_at(), Some(at(2_000)));
});

currency_case!(later_evidence_for_a_lower_version_replaces_that_for_a_higher_one, currency, at => {
    currency.record(1, 5, at(100));
    currency.record(1, 3, at(400));
    currency.advance(3);
    assert_eq!(currency.confirmed_at(), Some(at(400)));
    currency.record(3, 5, at(200));
    currency.advance(5);
    assert_eq!(currency.confirmed_at(), Some(at(400)));
});

currency_case!(without_evidence_the_age_counts_from_the_start, currency, at => {
    assert_eq!(currency.confirmed_at(), None);
    assert_eq!(currency.age(at(700)), Duration::from_millis(700));
    currency.record(1, 1, at(600));
    assert_eq!(currency.age(at(700)), Duration::from_millis(100));
});
