//! Retry budget of a service at one instance, and the retry delays that callers are told.
//!
//! Load: a member answers with errors or has no capacity, and every request to it is retried. The
//! retries add to the load that caused them, and refused callers that return at the same time are
//! refused again.

use std::time::{Duration, Instant};

/// Retries for each request. With one of three members failing half of its requests, a sixth of
/// all reads has to be retried.
const RETRIES_PER_REQUEST: f32 = 0.25;
/// Maximum balance. An instance sends few requests to a service each second, and all instances
/// together must not save up a multiple of the load.
const MAX_BALANCE: f32 = 4.0;
/// Balance before the first request: one request can try every member of a group of three.
const INITIAL_BALANCE: f32 = 2.0;
/// Fraction of the expected time by which retry delays are spread.
const DELAY_SPREAD: f64 = 0.5;
/// Smallest range over which retry delays are spread: some service times.
const MIN_SPREAD: Duration = Duration::from_millis(25);
/// Expected duration of the outage of a leader: its detection and a promotion of 1,000 ms.
const EXPECTED_OUTAGE: Duration = Duration::from_millis(1_500);
/// Shortest expected rest of an outage: some attempts.
const MIN_OUTAGE_REST: Duration = Duration::from_millis(100);
/// Time without a failed request after which an outage is assumed to have ended.
const OUTAGE_TTL: Duration = Duration::from_millis(1_000);
/// Fraction of its target latency for which a request waits for a member that takes it, unless the
/// outage is expected to end in time. Callers have other instances to try and lose what they wait.
const UNREACHED_WAIT_FRACTION: f64 = 0.25;

/// Retries in vain that an instance may send to the members of a service, as a share of its
/// requests.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    balance: f32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { balance: INITIAL_BALANCE }
    }
}

impl RetryBudget {
    /// Records a request that is not a retry.
    pub fn record_request(&mut self) {
        self.balance = (self.balance + RETRIES_PER_REQUEST).min(MAX_BALANCE);
    }

    /// Takes a retry from the budget; returns whether there was one.
    pub fn try_retry(&mut self) -> bool {
        let is_allowed = self.balance >= 1.0;
        if is_allowed {
            self.balance -= 1.0;
        }
        is_allowed
    }

    /// Returns the retries of a request that a member answered in the end to the budget: a service
    /// with a healthy member gains by them, however many of the others fail.
    pub fn refund(&mut self, retries: u16) {
        self.balance = (self.balance + f32::from(retries)).min(MAX_BALANCE);
    }
}

/// Outage of a service for one kind of request, as seen by one instance: no member takes requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceOutage {
    /// Arrival of the first request that no member took, and time of the last such failure.
    span: Option<(Instant, Instant)>,
}

impl ServiceOutage {
    /// Records that a member took a request.
    pub fn record_reached(&mut self) {
        self.span = None;
    }

    /// Records that no member took a request that arrived at `arrived_at`; returns whether this
    /// starts an outage.
    pub fn record_unreached(&mut self, arrived_at: Instant, now: Instant) -> bool {
        let since = self.since(now);
        self.span = Some((since.unwrap_or(arrived_at), now));
        since.is_none()
    }

    fn since(&self, now: Instant) -> Option<Instant> {
        let is_current = |at: Instant| now.saturating_duration_since(at) < OUTAGE_TTL;
        self.span.filter(|(_, failed_at)| is_current(*failed_at)).map(|(since, _)| since)
    }

    /// Returns the expected time until a member takes requests again. An outage that has exceeded
    /// its expected duration is expected to last as long again.
    pub fn expected_rest(&self, now: Instant) -> Duration {
        let elapsed =
            self.since(now).map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        elapsed.abs_diff(EXPECTED_OUTAGE).max(MIN_OUTAGE_REST)
    }

    /// Returns until when a request waits for a member that takes it: until its latest start if the
    /// outage is expected to end before, otherwise for a part of its target latency, counted from
    /// the start of the outage. Requests that arrive later do not wait.
    pub fn wait_limit(
        &self,
        arrived_at: Instant,
        target_latency: Duration,
        latest_start: Instant,
        now: Instant,
    ) -> Instant {
        let since = self.since(now);
        if since.is_some() && now + self.expected_rest(now) <= latest_start {
            return latest_start;
        }
        let waits_since = since.map_or(arrived_at, |since| since.min(arrived_at));
        waits_since + target_latency.mul_f64(UNREACHED_WAIT_FRACTION)
    }
}

/// Returns the retry delay to state when capacity is expected after `expected`.
///
/// `random` is uniform between 0 and 1. It spreads the callers that are refused at the same time.
pub fn spread_delay(expected: Duration, random: f64) -> Duration {
    expected + expected.mul_f64(DELAY_SPREAD).max(MIN_SPREAD).mul_f64(random.clamp(0.0, 1.0))
}
