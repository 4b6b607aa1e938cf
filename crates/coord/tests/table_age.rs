//! What is known of the age of a cached table must never make it look newer than it is.

use std::time::{Duration, Instant};

use coord::read_schedule::ANSWER_TIMEOUT_FRACTION;
use coord::table_age::{LAST_READ_FRACTION, POLL_FRACTION, ReadRank, RefreshScope, TableAge};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Bound on the time until a change is in force.
const BOUND: Duration = Duration::from_secs(3);
/// Rank of an instance that reads the store after all others.
const LAST_RANK: ReadRank = ReadRank { rank: 20, spread: 1.0 };

/// Defines a test with a new tracker and a function that returns a time in milliseconds.
macro_rules! age_case {
    ($name:ident, $age:ident, $at:ident => $body:block) => {
        #[test]
        fn $name() {
            let start = Instant::now();
            let $at = |millis: u64| start + Duration::from_millis(millis);
            let mut $age = TableAge::<u64>::new(start);
            $body
        }
    };
}

// A cache that lacks a version looked as new as that version.
age_case!(evidence_for_a_newer_version_counts_once_the_cache_has_it, age, at => {
    age.record(17, 17, at(100));
    age.record(17, 20, at(900));
    assert_eq!(age.confirmed_at(), Some(at(100)));
    age.advance(20);
    assert_eq!(age.confirmed_at(), Some(at(900)));
    assert_eq!(age.elapsed(at(1_000)), Duration::from_millis(100));
});

// While documents follow each other quickly, the cache is always one behind its evidence.
age_case!(a_series_of_versions_keeps_the_evidence_for_each, age, at => {
    for step in 1..500 {
        age.record(step - 1, step, at(10 * step));
        age.advance(step - 1);
        assert!(age.elapsed(at(10 * step)) <= Duration::from_millis(10), "step {step}");
    }
});

age_case!(too_much_evidence_makes_the_cache_look_older, age, at => {
    for step in 1..=200 {
        age.record(0, step, at(10 * step));
    }
    age.advance(100);
    assert!(age.confirmed_at().is_none_or(|confirmed_at| confirmed_at <= at(1_000)));
    age.advance(200);
    assert_eq!(age.confirmed_at(), Some(at(2_000)));
});

age_case!(later_evidence_for_a_lower_version_replaces_that_for_a_higher_one, age, at => {
    age.record(1, 5, at(100));
    age.record(1, 3, at(400));
    age.advance(3);
    assert_eq!(age.confirmed_at(), Some(at(400)));
    age.record(3, 5, at(200));
    age.advance(5);
    assert_eq!(age.confirmed_at(), Some(at(400)));
});

age_case!(without_evidence_the_age_counts_from_the_start, age, at => {
    assert_eq!(age.confirmed_at(), None);
    assert_eq!(age.elapsed(at(700)), Duration::from_millis(700));
    age.record(1, 1, at(600));
    assert_eq!(age.elapsed(at(700)), Duration::from_millis(100));
});

// Each reader that fell silent was noticed only after the one before it, so their waits added up.
age_case!(any_number_of_silent_readers_delays_a_read_by_a_part_of_the_bound, age, at => {
    for seed in 0..20 {
        let rank = ReadRank { rank: seed as usize, spread: seed as f64 / 20.0 };
        let time_to_read = age.time_to_read(BOUND, rank, at(0));
        assert!(time_to_read > BOUND.mul_f64(POLL_FRACTION), "readers poll in time: {rank:?}");
        assert!(time_to_read <= BOUND.mul_f64(LAST_READ_FRACTION), "{rank:?}");
    }
    age.record(1, 1, at(500));
    assert_eq!(
        age.time_to_read(BOUND, LAST_RANK, at(500)),
        BOUND.mul_f64(LAST_READ_FRACTION)
    );
});

// A store that nobody reaches made all instances of a zone ask it without a pause.
age_case!(a_failed_read_is_not_repeated_at_once, age, at => {
    let sent_at = at(0) + BOUND.mul_f64(LAST_READ_FRACTION);
    let failed_at = sent_at + BOUND.mul_f64(ANSWER_TIMEOUT_FRACTION);
    age.record_failed_read(sent_at, failed_at);
    let time_to_read = age.time_to_read(BOUND, LAST_RANK, failed_at);
    assert!(time_to_read >= BOUND / 3, "{time_to_read:?}");
});

// While nobody reaches the store, an old document is better than none.
age_case!(an_instance_that_cannot_read_the_store_goes_on, age, at => {
    age.record(1, 1, at(0));
    let sent_at = at(0) + BOUND.mul_f64(LAST_READ_FRACTION);
    let failed_at = sent_at + BOUND.mul_f64(ANSWER_TIMEOUT_FRACTION);
    assert!(!age.is_expired(BOUND, failed_at));
    age.record_failed_read(sent_at, failed_at);
    assert!(!age.is_expired(BOUND, at(60_000)));
    // Evidence from after the failed read shows that the store can be reached.
    age.record(1, 1, at(60_000));
    assert!(age.is_expired(BOUND, at(60_000) + BOUND));
});

// An instance that was suspended went on by the document that it had before.
age_case!(an_instance_that_wakes_decides_nothing_before_it_has_evidence, age, at => {
    age.record(1, 1, at(0));
    assert!(!age.is_expired(BOUND, at(2_000)));
    assert!(age.is_expired(BOUND, at(8_000)));
    assert_eq!(age.time_to_read(BOUND, LAST_RANK, at(8_000)), Duration::ZERO);
    assert_eq!(age.refresh_scope(BOUND, at(8_000)), RefreshScope::Observers);
    age.record(1, 1, at(8_010));
    assert!(!age.is_expired(BOUND, at(8_020)));
    assert_eq!(age.refresh_scope(BOUND, at(8_020)), RefreshScope::Nobody);
});

/// Instance whose reads of the store succeed, and whose evidence from others comes at random.
struct SimulatedInstance {
    age: TableAge<u64>,
    version: u64,
    rank: ReadRank,
}

/// Returns the version that the store had at a time; changes are at `written`, in ascending order.
fn stored_version(written: &[Instant], time: Instant) -> u64 {
    written.partition_point(|at| *at <= time) as u64
}

// No order of documents, late news and suspensions lets an instance that reaches the store decide by
// a document that was replaced longer ago than the bound.
#[test]
fn an_instance_that_reaches_the_store_never_decides_by_a_replaced_document() {
    for seed in 0..500 {
        let mut random = SmallRng::seed_from_u64(seed);
        let start = Instant::now();
        let mut written = Vec::new();
        let mut now = start;
        let rank = ReadRank { rank: random.random_range(1..8), spread: random.random() };
        let mut instance = SimulatedInstance { age: TableAge::new(start), version: 0, rank };
        for _ in 0..400 {
            now += Duration::from_millis(random.random_range(5..100));
            match random.random_range(0..20) {
                0 => written.push(now),
                1 => now += Duration::from_millis(random.random_range(500..6_000)),
                // News of another instance, as of some time ago; the document itself may follow later.
                2..=4 => {
                    let as_of = now - Duration::from_millis(random.random_range(0..4_000));
                    let version = stored_version(&written, as_of);
                    instance.age.record(instance.version, version, as_of);
                    if random.random() {
                        instance.version = instance.version.max(version);
                        instance.age.advance(instance.version);
                    }
                }
                _ => {}
            }
            if instance.age.time_to_read(BOUND, instance.rank, now).is_zero() && random.random() {
                let sent_at = now;
                now += Duration::from_millis(random.random_range(1..600));
                instance.version = instance.version.max(stored_version(&written, sent_at));
                instance.age.record(instance.version, instance.version, sent_at);
            }
            let is_replaced = instance.version < stored_version(&written, now - BOUND);
            let decides = !instance.age.is_expired(BOUND, now);
            assert!(!(decides && is_replaced), "seed {seed} after {:?}", now - start);
        }
    }
}
