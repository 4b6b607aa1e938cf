//! Rate limits of teams, each enforced by one instance, its quota owner.
//!
//! Limits count operations: an operation is a transaction or a single statement outside of one.
//!
//! Before an operation starts, every instance asks the team's quota owner: the first in rendezvous
//! order among the instances that it can reach. This holds the limit also when a team sends several
//! times its rate through all instances at once while some of them are partitioned. Each side of a
//! partition has its own quota owner, which scales the limit by the fraction of all registered
//! instances on its side, so that all sides together stay within the limit.
//!
//! Operations of a lower priority leave a part of the bucket to those of higher priorities. A
//! bucket starts with only a part of the tolerated overage if the quota owner may have missed
//! earlier admissions.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use state::bucket::{InsufficientTokens, TokenBucket};

/// Gap between two calls of [`TeamQuotas::record_reachable`] after which another instance may have
/// become the quota owner meanwhile.
const OWNERSHIP_TIMEOUT: Duration = Duration::from_millis(800);

/// Divisor for the fraction of the tolerated overage that a new bucket starts with: a team may get
/// a new quota owner twice in one window, when an instance leaves and when it comes back.
const START_OVERAGE_DIVISOR: f64 = 3.0;

/// Window over which limits hold, and the overage tolerated in it when quota owners change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitWindow {
    /// Length of the window.
    pub length: Duration,
    /// Tolerated overage as a fraction of what the limit allows in the window.
    pub overage_ratio: f64,
    /// Tolerated overage in operations, in addition.
    pub slack_operations: f64,
}

/// Configured rate limit of a team.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamLimit {
    /// Operations per second.
    pub rate: f64,
    /// Size of a burst in operations.
    pub burst: f64,
}

/// Fraction of the bucket that operations of one priority leave to those of the next higher one.
const PRIORITY_RESERVE_FRACTION: f64 = 0.2;
/// Largest number of higher priorities for which tokens are reserved.
const MAX_RESERVED_LEVELS: usize = 2;
/// Longest wait for a token, about the work of one statement.
///
/// Callers retry refused operations, and if the wait before the refusal is longer, the retry misses
/// the caller's target latency. The bound is the same for all callers, so that a caller with a
/// longer timeout gets no precedence.
pub const TOKEN_TIMEOUT: Duration = Duration::from_millis(15);

/// Fraction of a burst that is admitted at once; the rest is spread over the window.
const IMMEDIATE_BURST_FRACTION: f64 = 0.5;

impl TeamLimit {
    /// Returns rate and burst of a bucket that admits at most what the limit allows in any window:
    /// the rate for its whole length and one burst.
    ///
    /// A bucket with the configured rate and burst would admit the burst only once in total, and so
    /// refuse a steady load that is within the limit in every window.
    fn bucket_parameters(&self, window: LimitWindow) -> (f64, f64) {
        let immediate_burst = (self.burst * IMMEDIATE_BURST_FRACTION).max(self.burst.min(1.0));
        let spread_rate = (self.burst - immediate_burst) / window.length.as_secs_f64().max(1.0);
        (self.rate + spread_rate, immediate_burst)
    }

    /// Returns the operations that a new quota owner may admit without knowing what the previous
    /// one admitted.
    fn initial_tokens(&self, window: LimitWindow) -> f64 {
        let allowed = self.rate * window.length.as_secs_f64() + self.burst;
        (allowed * window.overage_ratio + window.slack_operations) / START_OVERAGE_DIVISOR
    }
}

/// Token buckets of the teams whose quota owner is this instance.
#[derive(Debug)]
pub struct TeamQuotas {
    window: LimitWindow,
    buckets: HashMap<String, TokenBucket>,
    reachable_fraction: f64,
    recorded_at: Option<Instant>,
}

impl TeamQuotas {
    /// Creates an empty set of buckets for limits that hold in every `window`.
    pub fn new(window: LimitWindow) -> Self {
        Self { window, buckets: HashMap::new(), reachable_fraction: 0.0, recorded_at: None }
    }

    /// Records how many of the registered instances this one reaches, itself included.
    ///
    /// Must be called at least every 800 ms (`OWNERSHIP_TIMEOUT`); after a longer gap, as when the
    /// process was suspended, all buckets are dropped.
    pub fn record_reachable(&mut self, reached: usize, registered: usize, now: Instant) {
        if self.recorded_at.is_some_and(|at| now.saturating_duration_since(at) > OWNERSHIP_TIMEOUT)
        {
            self.buckets.clear();
        }
        self.recorded_at = Some(now);
        self.reachable_fraction = reached.min(registered) as f64 / registered.max(1) as f64;
    }

    /// Returns the fraction of registered instances that this one reaches, itself included.
    pub fn reachable_fraction(&self) -> f64 {
        self.reachable_fraction
    }

    /// Takes a token for one operation of a team and returns the delay after which it may start.
    ///
    /// Returns the time after which a retry would succeed if the delay exceeds `max_wait`.
    /// `priority_rank` is the number of priorities in use above that of the operation.
    /// `starts_full` fills a new bucket, for use when nothing can have been admitted before.
    pub fn take(
        &mut self,
        team: &str,
        limit: TeamLimit,
        priority_rank: usize,
        max_wait: Duration,
        starts_full: bool,
        now: Instant,
    ) -> Result<Duration, InsufficientTokens> {
        let initial_tokens = limit.initial_tokens(self.window) * self.reachable_fraction;
        let (rate, burst) = limit.bucket_parameters(self.window);
        let (rate, burst) =
            (rate * self.reachable_fraction, (burst * self.reachable_fraction).max(1.0));
        let bucket = match self.buckets.get_mut(team) {
            Some(bucket) => bucket,
            None => {
                let mut bucket = TokenBucket::empty(rate, burst, now);
                bucket.add_tokens(if starts_full { burst } else { initial_tokens }, now);
                self.buckets.entry(team.to_owned()).or_insert(bucket)
            }
        };
        bucket.resize(rate, burst, now);
        let reserved_tokens =
            burst * PRIORITY_RESERVE_FRACTION * priority_rank.min(MAX_RESERVED_LEVELS) as f64;
        bucket.reserve(1.0, reserved_tokens, max_wait, now)
    }

    /// Drops the buckets of teams for which this instance is no longer the quota owner.
    pub fn retain(&mut self, is_owned: impl Fn(&str) -> bool) {
        self.buckets.retain(|team, _| is_owned(team));
    }
}
