//! Token bucket whose rate and burst may change at run time.

use std::time::{Duration, Instant};

/// Error of a token bucket that holds too few tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InsufficientTokens {
    /// Time until the bucket holds enough tokens, if nothing else takes any.
    pub retry_after: Duration,
}

/// Token bucket with fractional tokens.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates an empty bucket that refills at `rate` tokens per second up to `burst`.
    pub fn empty(rate: f64, burst: f64, now: Instant) -> Self {
        Self { rate, burst, tokens: 0.0, refilled_at: now }
    }

    /// Takes `cost` tokens, or returns how long the bucket needs to refill that far.
    pub fn take(&mut self, cost: f64, now: Instant) -> Result<(), InsufficientTokens> {
        self.reserve(cost, 0.0, Duration::ZERO, now).map(|_| ())
    }

    /// Takes `cost` tokens that are available within `max_wait` while `min_remaining` stay in the
    /// bucket, and returns the time until they are available.
    ///
    /// The tokens are taken at once, and the bucket may go into debt, so that waiting requests are
    /// served in order of arrival.
    pub fn reserve(
        &mut self,
        cost: f64,
        min_remaining: f64,
        max_wait: Duration,
        now: Instant,
    ) -> Result<Duration, InsufficientTokens> {
        self.refill(now);
        let needed = cost + min_remaining;
        let delay = if self.tokens >= needed { Duration::ZERO } else { self.time_until(needed) };
        if delay > max_wait {
            return Err(InsufficientTokens { retry_after: delay });
        }
        self.tokens -= cost;
        Ok(delay)
    }

    /// Changes rate and burst; drops the tokens above the new burst.
    pub fn resize(&mut self, rate: f64, burst: f64, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Removes up to `requested` tokens for a transfer and returns how many were removed.
    pub fn take_up_to(&mut self, requested: f64, now: Instant) -> f64 {
        self.refill(now);
        let taken = requested.min(self.tokens).max(0.0);
        self.tokens -= taken;
        taken
    }

    /// Adds tokens received in a transfer; drops those above the burst.
    pub fn add_tokens(&mut self, tokens: f64, now: Instant) {
        self.refill(now);
        self.tokens = (self.tokens + tokens).min(self.burst);
    }

    /// Returns the tokens available at `now`.
    pub fn available(&mut self, now: Instant) -> f64 {
        self.refill(now);
        self.tokens
    }

    /// Returns the rate in tokens per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the burst in tokens.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.rate).min(self.burst);
    }

    fn time_until(&self, needed: f64) -> Duration {
        if self.rate <= 0.0 {
            // At this rate the bucket never refills, but the rate may change, so callers retry
            // after a second.
            return Duration::from_secs(1);
        }
        Duration::from_secs_f64(((needed - self.tokens) / self.rate).clamp(0.001, 60.0))
    }
}
