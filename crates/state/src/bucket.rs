//! Token bucket whose rate and burst may change while it runs.

use std::time::{Duration, Instant};

/// Refusal of a bucket, with the time after which the same request would pass.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InsufficientTokens {
    /// Time until enough tokens have been earned.
    pub retry_after: Duration,
}

/// Token bucket counted in whole and fractional tokens.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    filled_at: Instant,
}

impl TokenBucket {
    /// Creates an empty bucket that earns `rate` tokens a second up to `burst`.
    pub fn empty(rate: f64, burst: f64, now: Instant) -> Self {
        Self { rate, burst, tokens: 0.0, filled_at: now }
    }

    /// Takes `cost` tokens, or tells how long earning them takes.
    pub fn take(&mut self, cost: f64, now: Instant) -> Result<(), InsufficientTokens> {
        self.reserve(cost, 0.0, Duration::ZERO, now).map(|_| ())
    }

    /// Takes `cost` tokens that are earned within `patience` beyond those kept as `floor`, and
    /// returns the time until then.
    ///
    /// The tokens are taken at once, so those who wait are served in the order in which they asked.
    pub fn reserve(
        &mut self,
        cost: f64,
        floor: f64,
        patience: Duration,
        now: Instant,
    ) -> Result<Duration, InsufficientTokens> {
        self.fill(now);
        let needed = cost + floor;
        let delay = if self.tokens >= needed { Duration::ZERO } else { self.delay(needed) };
        if delay > patience {
            return Err(InsufficientTokens { retry_after: delay });
        }
        self.tokens -= cost;
        Ok(delay)
    }

    /// Changes rate and burst; tokens above the new burst are dropped.
    pub fn resize(&mut self, rate: f64, burst: f64, now: Instant) {
        self.fill(now);
        self.rate = rate;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Removes up to `wanted` tokens for a transfer and returns how many were removed.
    pub fn take_up_to(&mut self, wanted: f64, now: Instant) -> f64 {
        self.fill(now);
        let taken = wanted.min(self.tokens).max(0.0);
        self.tokens -= taken;
        taken
    }

    /// Adds tokens received by a transfer, up to the burst.
    pub fn add_tokens(&mut self, tokens: f64, now: Instant) {
        self.fill(now);
        self.tokens = (self.tokens + tokens).min(self.burst);
    }

    /// Returns the tokens available at `now`.
    pub fn available(&mut self, now: Instant) -> f64 {
        self.fill(now);
        self.tokens
    }

    /// Returns the rate in tokens a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the burst in tokens.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    fn fill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.rate).min(self.burst);
    }

    fn delay(&self, cost: f64) -> Duration {
        if self.rate <= 0.0 {
            return Duration::from_secs(1);
        }
        Duration::from_secs_f64(((cost - self.tokens) / self.rate).clamp(0.001, 60.0))
    }
}
