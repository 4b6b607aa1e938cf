//! Tokens of operations that did not run go back to their bucket, and never beyond the limit.

use std::time::{Duration, Instant};

use coord::quota::{LimitShare, LimitWindow, TOKEN_TIMEOUT, TeamLimit, TeamQuotas, TokenRequest};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const WINDOW: LimitWindow =
    LimitWindow { length: Duration::from_secs(5), overage_ratio: 0.1, slack_operations: 20.0 };
const LIMIT: TeamLimit = TeamLimit { rate: 20.0, burst: 20.0 };
/// Operations that the limit and its tolerance allow in one window.
const ALLOWED: usize = 152;
const TEAM: &str = "gent";
/// Time in which an unused bucket becomes full.
const FILL_TIME: Duration = Duration::from_secs(60);
/// Interval at which the quota owner counts the instances that it reaches.
const TICK: Duration = Duration::from_millis(100);

/// Quota owner of one team, alone in its fleet.
struct TestOwner {
    quotas: TeamQuotas,
    now: Instant,
}

impl TestOwner {
    fn new() -> Self {
        let mut owner = Self { quotas: TeamQuotas::new(WINDOW), now: Instant::now() };
        owner.quotas.record_reachable(1, 1, owner.now);
        owner.quotas.record_owner_change(owner.now - FILL_TIME);
        owner
    }

    fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += TICK.min(end - self.now);
            self.quotas.record_reachable(1, 1, self.now);
        }
    }

    /// Takes a token, and returns the number of its bucket.
    fn take(&mut self) -> Option<u32> {
        let request = TokenRequest {
            priority_rank: 0,
            max_wait: TOKEN_TIMEOUT,
            is_starting: false,
            share: LimitShare::Reachable,
        };
        self.quotas.take_with_floors(TEAM, LIMIT, request, 0, self.now).ok()?;
        Some(self.quotas.bucket_number(TEAM, LimitShare::Reachable))
    }

    fn give_back(&mut self, bucket_number: u32) -> bool {
        self.quotas.return_token(TEAM, LimitShare::Reachable, bucket_number, 0, self.now)
    }
}

// After a loss of power the members refuse for a moment, and the retries found no tokens left.
#[test]
fn retries_of_operations_that_did_not_run_find_their_tokens() {
    let mut owner = TestOwner::new();
    for round in 0..50 {
        let taken: Vec<u32> = (0..5).filter_map(|_| owner.take()).collect();
        assert_eq!(taken.len(), 5, "round {round}");
        assert!(taken.into_iter().all(|number| owner.give_back(number)));
        owner.advance(Duration::from_millis(10));
    }
}

// The owner was suspended, and others admitted the team meanwhile.
#[test]
fn a_token_of_an_earlier_bucket_is_not_taken_back() {
    let mut owner = TestOwner::new();
    let number = owner.take().expect("the bucket starts full");
    owner.now += Duration::from_secs(3);
    owner.quotas.record_reachable(1, 1, owner.now);
    owner.take();
    assert!(!owner.give_back(number));
    // The same holds once another instance has been the owner.
    let number = owner.quotas.bucket_number(TEAM, LimitShare::Reachable);
    owner.quotas.record_ownership(|_| false, owner.now);
    owner.quotas.record_ownership(|_| true, owner.now);
    assert!(!owner.give_back(number));
}

// A team over its limit used each returned token at once, and ran more than its limit where reads are
// repeated.
#[test]
fn a_team_over_its_limit_gets_no_tokens_back() {
    let mut owner = TestOwner::new();
    let mut number = 0;
    for _ in 0..400 {
        number = owner.take().unwrap_or(number);
        owner.advance(Duration::from_millis(10));
    }
    assert!(!owner.give_back(number));
}

// Returned tokens must not add up to a second burst.
#[test]
fn operations_that_run_stay_within_the_limit_whatever_is_returned() {
    for seed in 0..200 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut owner = TestOwner::new();
        let mut pending: Vec<u32> = Vec::new();
        let mut ran: Vec<Instant> = Vec::new();
        for _ in 0..2_000 {
            match random.random_range(0..4) {
                0 | 1 => pending.extend(owner.take()),
                // Part of the operations do not run, and others only after a while.
                2 if !pending.is_empty() => {
                    let number = pending.swap_remove(random.random_range(0..pending.len()));
                    if random.random_bool(0.5) {
                        owner.give_back(number);
                    } else {
                        ran.push(owner.now);
                    }
                }
                _ => owner.advance(Duration::from_millis(random.random_range(0..40))),
            }
            // Operations wait for a member up to their timeout.
            if pending.len() > 10 {
                pending.drain(..).for_each(|_| ran.push(owner.now));
            }
        }
        for (index, first) in ran.iter().enumerate() {
            let count = ran[index..].iter().take_while(|at| **at < *first + WINDOW.length).count();
            assert!(count <= ALLOWED, "seed {seed}: {count} in one window");
        }
    }
}
