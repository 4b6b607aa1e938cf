//! Minimum shares of a team's rate limit for its lower priorities.
//!
//! Load: a team sends several times its rate with several priorities at once. Without floors the
//! higher priorities take every token and the lowest gets none.
//!
//! All admissions take a token from the one bucket of the team, so the limit holds whatever this
//! module decides. A floor is a claim on tokens of that bucket: it earns a credit at its share of
//! the rate, and other priorities leave as many tokens in the bucket as it has whole credits. A
//! floor that is not used earns up to a bound only; all further tokens are for the others.
//!
//! While a team asks for more than its rate, the floor of each lower priority is 0.45 of its share of
//! the requests, and at least a twentieth of the rate. The highest priority gets what is left, several
//! times its own share of the requests. Shares change at fixed times only, so that a
//! refusal can state a time before which no token can exist.

use std::time::{Duration, Instant};

use state::bucket::TokenBucket;

use crate::quota::{PRIORITY_RESERVE_FRACTION, TOKEN_TIMEOUT};
use crate::refusal_cache::MAX_HOLD;

/// Number of ranks told apart; all lower ones share the last floor.
pub const RANK_COUNT: usize = 3;

/// Time constant of the average over requests. Longer than the bursts of one kind within a second,
/// shorter than the window of 5 s in which the limit holds.
const DEMAND_PERIOD: Duration = Duration::from_secs(2);
/// Time for which the shares are constant; short compared to [`DEMAND_PERIOD`].
const SHARE_PERIOD: Duration = Duration::from_millis(100);
/// Floor of a priority as a fraction of its share of the requests. With 0.9 the highest priority, which
/// is worth most to callers, lost a tenth of its answers over all teams.
const FLOOR_FRACTION: f64 = 0.45;
/// Smallest floor as a fraction of the rate, for kinds that ask rarely.
const MIN_FLOOR_FRACTION: f64 = 0.05;
/// Fraction of the burst that one floor may hold back.
const FLOOR_BURST_FRACTION: f64 = 0.25;
/// Smallest burst, in tokens, that is divided among priorities. A smaller bucket has no room for
/// whole tokens of each of them, and admits in order of arrival instead, which gives each its share
/// of the requests.
const MIN_DIVIDED_BURST: f64 = 4.0;
/// Averaged number of requests below which a priority is not in use, about 5 s after a single one.
const MIN_DEMAND: f64 = 0.08;
/// Fraction of the rate below which a team that was over its limit counts as within it.
const WITHIN_LIMIT_FRACTION: f64 = 0.8;
/// Longest retry delay. Callers give up 0.8 to 12 s after the first attempt and retry twice at
/// most; a later retry would be of no use to most of them.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Rounds of the estimate of when the bucket exceeds the growing claims on it.
const CLAIM_ROUNDS: usize = 6;
/// Stands for a time that the current rates never reach.
const MAX_TOKEN_TIME: Duration = Duration::from_secs(60);

/// Refusal of a token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TokenRefusal {
    /// Time after which a token is expected for the request, behind those refused before it.
    pub retry_after: Duration,
    /// Time for which no request of the same team and priority can get a token; zero if unknown.
    pub hold: Duration,
}

/// Request for a token by a team with floors.
#[derive(Clone, Copy, Debug)]
pub struct FloorRequest {
    /// Number of priorities in use above that of the operation.
    pub rank: usize,
    /// Longest wait for the token, at most [`TOKEN_TIMEOUT`].
    pub max_wait: Duration,
    /// Requests of the same team and priority that were refused without asking the quota owner
    /// since the asking instance's last request.
    pub refused_before: u32,
}

/// Floors of the priorities of one team, beside the team's token bucket.
#[derive(Clone, Debug)]
pub struct PriorityFloors {
    /// Requests by rank, averaged over [`DEMAND_PERIOD`].
    demand: [f64; RANK_COUNT],
    /// Rate of each rank: that of its floor, or for the highest what the floors leave. Zero while
    /// the team is within its limit.
    rates: [f64; RANK_COUNT],
    /// Largest credit of each floor.
    max_credits: [f64; RANK_COUNT],
    /// Tokens of the bucket that each floor claims; the highest rank has no floor.
    credits: [f64; RANK_COUNT],
    credited_at: Instant,
    shares_end: Instant,
    is_over_limit: bool,
    /// Time at which a token is expected behind the requests refused so far, by rank.
    expected_at: [Instant; RANK_COUNT],
}

impl PriorityFloors {
    /// Creates floors of a team that has not asked for a token yet.
    pub fn new(now: Instant) -> Self {
        Self {
            demand: [0.0; RANK_COUNT],
            rates: [0.0; RANK_COUNT],
            max_credits: [0.0; RANK_COUNT],
            credits: [0.0; RANK_COUNT],
            credited_at: now,
            shares_end: now + SHARE_PERIOD,
            is_over_limit: false,
            expected_at: [now; RANK_COUNT],
        }
    }

    /// Returns whether the team asks for more than its limit.
    pub fn is_over_limit(&self) -> bool {
        self.is_over_limit
    }

    /// Returns the operations per second that the team asks for, refused ones included.
    pub fn demand_rate(&self) -> f64 {
        self.demand.iter().sum::<f64>() / DEMAND_PERIOD.as_secs_f64()
    }

    /// Forgets a request that did not run, which shows no demand beyond the limit.
    pub fn withdraw_request(&mut self, rank: usize) {
        let demand = &mut self.demand[rank.min(RANK_COUNT - 1)];
        *demand = (*demand - 1.0).max(0.0);
    }

    /// Drops what was derived from an earlier limit of the team.
    pub fn reset_limit(&mut self, now: Instant) {
        self.credits = [0.0; RANK_COUNT];
        self.expected_at = [now; RANK_COUNT];
        self.shares_end = now;
    }

    /// Takes a token from the team's bucket and returns the delay after which the operation may
    /// start.
    pub fn take(
        &mut self,
        bucket: &mut TokenBucket,
        request: &FloorRequest,
        now: Instant,
    ) -> Result<Duration, TokenRefusal> {
        self.advance(bucket, now);
        let rank = request.rank.min(RANK_COUNT - 1);
        let request_count = 1.0 + f64::from(request.refused_before);
        self.demand[rank] += request_count;
        let uses_floor = self.credits[rank] >= 1.0;
        let min_remaining =
            if uses_floor { 0.0 } else { self.claims_besides(rank, 0.0) + reserve(bucket, rank) };
        match bucket.reserve(1.0, min_remaining, request.max_wait, now) {
            Ok(delay) => {
                if uses_floor {
                    self.credits[rank] -= 1.0;
                }
                Ok(delay)
            }
            Err(_) => {
                let earliest = self.earliest_token(bucket, rank, now);
                let retry_after =
                    self.expect_token(rank, bucket.rate(), earliest, request_count, now);
                Err(TokenRefusal { retry_after, hold: earliest.min(MAX_HOLD) })
            }
        }
    }

    /// Adds the credits earned since the last call, and renews the shares when they end.
    pub fn advance(&mut self, bucket: &TokenBucket, now: Instant) {
        let elapsed = now.saturating_duration_since(self.credited_at).as_secs_f64();
        self.credited_at = self.credited_at.max(now);
        for rank in 1..RANK_COUNT {
            let earned = self.credits[rank] + self.rates[rank] * elapsed;
            self.credits[rank] = earned.min(self.max_credits[rank]);
        }
        if now >= self.shares_end {
            let share_age = (now - self.shares_end + SHARE_PERIOD).as_secs_f64();
            let decay = (-share_age / DEMAND_PERIOD.as_secs_f64()).exp();
            self.demand.iter_mut().for_each(|count| *count *= decay);
            self.shares_end = now + SHARE_PERIOD;
            self.renew_shares(bucket);
        }
    }

    fn renew_shares(&mut self, bucket: &TokenBucket) {
        let (rate, burst) = (bucket.rate(), bucket.burst());
        let threshold = if self.is_over_limit { rate * WITHIN_LIMIT_FRACTION } else { rate };
        self.is_over_limit = self.demand_rate() > threshold;
        let has_floors = self.is_over_limit && burst >= MIN_DIVIDED_BURST;
        let total: f64 = self.demand.iter().sum();
        let mut left = rate;
        for rank in 1..RANK_COUNT {
            let count = self.demand[rank];
            let is_used = has_floors && count >= MIN_DEMAND;
            let share = (FLOOR_FRACTION * count / total).max(MIN_FLOOR_FRACTION);
            self.rates[rank] = if is_used { rate * share } else { 0.0 };
            let max_credit = (burst * FLOOR_BURST_FRACTION).max(1.0);
            self.max_credits[rank] = if is_used { count.clamp(1.0, max_credit) } else { 0.0 };
            self.credits[rank] = self.credits[rank].min(self.max_credits[rank]);
            left -= self.rates[rank];
        }
        self.rates[0] = if has_floors { left } else { 0.0 };
    }

    /// Returns the tokens that the floors of other ranks claim after `elapsed` seconds.
    fn claims_besides(&self, rank: usize, elapsed: f64) -> f64 {
        let claim = |other: usize| {
            let earned = self.credits[other] + self.rates[other] * elapsed;
            earned.min(self.max_credits[other]).floor()
        };
        (1..RANK_COUNT).filter(|other| *other != rank).map(claim).sum()
    }

    /// Returns the time before which no request of a rank can get a token, if the limit and the
    /// reachable fraction stay as they are.
    ///
    /// Other requests only take tokens, and one that uses a floor takes a claim along. Only new
    /// shares can make a token available earlier, so beyond their start the rates and claims of
    /// the most favourable shares are assumed.
    fn earliest_token(&self, bucket: &mut TokenBucket, rank: usize, now: Instant) -> Duration {
        let (rate, tokens) = (bucket.rate(), bucket.available(now));
        let until_shares = self.shares_end.saturating_duration_since(now);
        // A token is taken up to the longest wait before it exists.
        let time_until =
            |needed: f64| seconds((needed - tokens) / rate).saturating_sub(TOKEN_TIMEOUT);
        let needed = 1.0 + reserve(bucket, rank);
        let mut with_claims = Duration::ZERO;
        // Claims grow meanwhile, so each round states a later time that is still a lower bound.
        for _ in 0..CLAIM_ROUNDS {
            let claims = self.claims_besides(rank, with_claims.min(until_shares).as_secs_f64());
            with_claims = time_until(needed + claims);
        }
        let from_bucket = with_claims.min(time_until(needed).max(until_shares));
        if rank == 0 {
            return from_bucket;
        }
        let missing = (1.0 - self.credits[rank]).max(0.0);
        let earns = if self.max_credits[rank] >= 1.0 { self.rates[rank] } else { 0.0 };
        let earned_in_shares = earns * until_shares.as_secs_f64();
        let credit_time = if earned_in_shares >= missing {
            if missing > 0.0 { seconds(missing / earns) } else { Duration::ZERO }
        } else {
            until_shares + seconds((missing - earned_in_shares) / rate)
        };
        from_bucket.min(credit_time.max(time_until(1.0)))
    }

    /// Returns the time after which a token is expected behind the requests refused before.
    fn expect_token(
        &mut self,
        rank: usize,
        rate: f64,
        earliest: Duration,
        request_count: f64,
        now: Instant,
    ) -> Duration {
        let latest = now + MAX_RETRY_DELAY;
        let expected_at = self.expected_at[rank].max(now + earliest).min(latest);
        let rank_rate = if self.rates[rank] > 0.0 { self.rates[rank] } else { rate };
        self.expected_at[rank] = (expected_at + seconds(request_count / rank_rate)).min(latest);
        expected_at - now
    }
}

/// Returns the tokens that a rank leaves to higher ones.
fn reserve(bucket: &TokenBucket, rank: usize) -> f64 {
    let burst = bucket.burst();
    if burst < MIN_DIVIDED_BURST {
        return 0.0;
    }
    burst * PRIORITY_RESERVE_FRACTION * rank as f64
}

/// Returns a time of this many seconds, zero if negative, bounded by [`MAX_TOKEN_TIME`].
fn seconds(count: f64) -> Duration {
    let max = MAX_TOKEN_TIME.as_secs_f64();
    // `min` returns `max` for a quotient that is not a number, as 0 / 0.
    Duration::from_secs_f64(count.min(max).max(0.0))
}
