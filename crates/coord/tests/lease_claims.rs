//! Claims of the promotion lease against a store that comes back older than it was.

mod common;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use common::check_cases;
use coord::lease_claim::{ClaimDecision, LeaseClaim, LeaseRow, lowest_token};

const PERIOD: Duration = Duration::from_secs(3);

fn row(token: u64, is_own: bool, remaining: Duration) -> LeaseRow {
    LeaseRow { token, is_own, remaining, history: 0, now_ms: 40_000 }
}

/// Holders, restarts without memory and returns of the store to earlier rows in any order, its clock
/// included: no two acquisitions have the same token, and each has a larger one than those before.
#[test]
fn no_token_is_used_twice_after_the_store_came_back_older() {
    check_cases(500, 400, |choices| {
        let start = Instant::now();
        let mut claims = vec![LeaseClaim::default(); 3];
        let mut rows = vec![(0, 9)];
        let mut used: HashMap<u64, usize> = HashMap::new();
        let (mut elapsed_ms, mut clock_start_ms, mut history) = (1_000, 0, 0);
        while !choices.is_done() {
            elapsed_ms += 1 + choices.below(2_000) as u64;
            let instance = choices.below(3);
            match choices.below(8) {
                0 => claims[instance] = LeaseClaim::default(),
                1 => {
                    rows.truncate(1 + choices.below(rows.len()));
                    history += 1;
                    if choices.below(2) == 0 {
                        clock_start_ms = elapsed_ms;
                    }
                }
                2 => {
                    let newest = used.keys().max().copied().unwrap_or(0);
                    claims[instance].record_token(newest);
                }
                _ => {
                    let (token, holder) = rows[rows.len() - 1];
                    let is_own = holder == instance;
                    let now_ms = elapsed_ms - clock_start_ms;
                    let remaining = Duration::ZERO;
                    let read = LeaseRow { token, is_own, remaining, history, now_ms };
                    let now = start + Duration::from_millis(elapsed_ms);
                    let decision = claims[instance].decide(read, PERIOD, now);
                    if let ClaimDecision::Acquire(token) = decision {
                        let newest = used.keys().max().copied().unwrap_or(0);
                        assert!(token > newest, "{token} after {newest}");
                        used.insert(token, instance);
                        claims[instance].record_token(token);
                        rows.push((token, instance));
                    }
                }
            }
        }
    });
}

#[test]
fn a_lease_that_an_older_row_does_not_show_is_awaited_for_a_period() {
    let now = Instant::now();
    let mut claim = LeaseClaim::default();
    claim.record_token(30_000);
    let older = row(7, true, Duration::ZERO);
    assert_eq!(claim.decide(older, PERIOD, now), ClaimDecision::Postpone(PERIOD));
    let second = now + Duration::from_secs(1);
    assert_eq!(claim.decide(older, PERIOD, second), ClaimDecision::Postpone(PERIOD * 2 / 3));
    claim.record_holder();
    assert_eq!(claim.decide(older, PERIOD, second), ClaimDecision::Postpone(PERIOD));
    assert_eq!(claim.decide(older, PERIOD, second + PERIOD), ClaimDecision::Acquire(40_000));
}

#[test]
fn tokens_are_above_every_known_token() {
    let mut claim = LeaseClaim::default();
    claim.record_token(90_000);
    assert_eq!(claim.next_token(0, 40_000), 90_001);
    let decision = claim.decide(row(95_000, false, Duration::ZERO), PERIOD, Instant::now());
    assert_eq!(decision, ClaimDecision::Acquire(95_001));
}

#[test]
fn tokens_of_a_later_history_are_above_those_of_earlier_ones() {
    assert_eq!(lowest_token(0, 40_000), 40_000);
    assert!(lowest_token(3, 0) > lowest_token(2, u64::MAX));
    assert!(lowest_token(u64::MAX, u64::MAX) <= u64::MAX / 2);
}

// The row named this instance after its write, which had replaced the lease of another one.
#[test]
fn a_lease_that_a_write_may_have_replaced_is_awaited_for_a_period() {
    let now = Instant::now();
    let mut claim = LeaseClaim::default();
    claim.record_token(30_000);
    claim.record_replacement(now);
    let own = row(30_000, true, Duration::ZERO);
    assert_eq!(claim.decide(own, PERIOD, now), ClaimDecision::Postpone(PERIOD));
    assert_eq!(claim.decide(own, PERIOD, now + PERIOD), ClaimDecision::Acquire(40_000));
}

#[test]
fn a_valid_lease_of_another_instance_is_awaited() {
    let remaining = Duration::from_secs(2);
    let mut claim = LeaseClaim::default();
    let decision = claim.decide(row(5, false, remaining), PERIOD, Instant::now());
    assert_eq!(decision, ClaimDecision::Postpone(remaining));
    let decision = claim.decide(row(5, true, remaining), PERIOD, Instant::now());
    assert_eq!(decision, ClaimDecision::Acquire(40_000));
}
