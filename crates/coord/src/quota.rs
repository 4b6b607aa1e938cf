//! Team limits counted at one instance a team, its counter.
//!
//! Every instance asks the counter of a team, the first in rendezvous order of those it reaches,
//! before an operation starts. Load pattern: a team sends several times its rate through every
//! instance at once, while some instances are cut off. Each side of a partition counts for itself,
//! with the part of the limit that its instances are of all registered ones, so the sides together
//! stay within the whole. Tokens of a team over its limit go to its urgent operations first: the
//! others leave a part of the bucket to them. A bucket starts with a
//! part of the tolerance only whenever the counter may have missed admissions.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use state::bucket::{BucketDelay, TokenBucket};

/// Pause after which a counter assumes that another one stood in for it.
const OWNERSHIP_TIMEOUT: Duration = Duration::from_millis(800);

/// Part of the tolerance that a new bucket starts with, as a divisor: in one window a team may get a
/// new counter twice, when an instance goes and when it comes back.
const START_OVERAGE_DIVISOR: f64 = 3.0;

/// Span in which limits hold, and by how much they may be exceeded when counters change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitWindow {
    /// Span.
    pub length: Duration,
    /// Tolerance as a part of what the limit allows in the span.
    pub overage_ratio: f64,
    /// Tolerance in operations, besides.
    pub slack_operations: f64,
}

/// Declared limits of a team.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamLimit {
    /// Operations a second.
    pub rate: f64,
    /// Operations at once.
    pub burst: f64,
}

/// Part of the bucket that operations of one urgency leave to those of the next higher one.
const PRIORITY_RESERVE_FRACTION: f64 = 0.2;
/// Higher urgencies for which tokens are kept.
const MAX_RESERVED_LEVELS: usize = 2;
/// Longest wait for a token: about the work of one statement. Those who are refused come back, and
/// after longer waits they came too late. The same for all, so that patience gives no precedence.
pub const TOKEN_TIMEOUT: Duration = Duration::from_millis(15);

/// Part of a burst that is admitted at once; the rest is spread over the window of the limit.
const IMMEDIATE_BURST_FRACTION: f64 = 0.5;

impl TeamLimit {
    /// Returns rate and burst of a bucket that admits, in any span of `window`, at most what the
    /// limit allows there: the rate for the whole span and the burst once.
    ///
    /// A bucket of the declared rate and burst would admit the burst once in all, and so refuse
    /// steady load that every window allows.
    fn bucket_parameters(&self, window: LimitWindow) -> (f64, f64) {
        let immediate_burst = (self.burst * IMMEDIATE_BURST_FRACTION).max(self.burst.min(1.0));
        let spread_rate = (self.burst - immediate_burst) / window.length.as_secs_f64().max(1.0);
        (self.rate + spread_rate, immediate_burst)
    }

    /// Returns the operations that a new counter may admit though it does not know what the one
    /// before it admitted.
    fn initial_tokens(&self, window: LimitWindow) -> f64 {
        let allowed = self.rate * window.length.as_secs_f64() + self.burst;
        (allowed * window.overage_ratio + window.slack_operations) / START_OVERAGE_DIVISOR
    }
}

/// Buckets of the teams that an instance counts for.
#[derive(Debug)]
pub struct TeamQuotas {
    window: LimitWindow,
    buckets: HashMap<String, TokenBucket>,
    reachable_fraction: f64,
    recorded_at: Option<Instant>,
}

impl TeamQuotas {
    /// Creates counters for limits that hold in every `window`.
    pub fn new(window: LimitWindow) -> Self {
        Self { window, buckets: HashMap::new(), reachable_fraction: 0.0, recorded_at: None }
    }

    /// Notes which part of all registered instances this one reaches, itself included.
    ///
    /// Must be called more often than every [`COUNTING_GAP`]; after a longer pause, such as a
    /// suspension, every bucket starts anew.
    pub fn record_reachable(&mut self, reached: usize, registered: usize, now: Instant) {
        if self.recorded_at.is_some_and(|at| now.saturating_duration_since(at) > OWNERSHIP_TIMEOUT)
        {
            self.buckets.clear();
        }
        self.recorded_at = Some(now);
        self.reachable_fraction = reached.min(registered) as f64 / registered.max(1) as f64;
    }

    /// Returns the part of all registered instances that this one reaches, itself included.
    pub fn reachable_fraction(&self) -> f64 {
        self.reachable_fraction
    }

    /// Takes one operation of a team and returns the time after which it may start, or tells when
    /// another one would pass if that is longer than `patience`.
    ///
    /// `rank` is the number of urgencies above that of the operation.
    /// `full_start` lets a bucket that is new start full: nothing was admitted before.
    pub fn take(
        &mut self,
        team: &str,
        limit: TeamLimit,
        priority_rank: usize,
        max_wait: Duration,
        starts_full: bool,
        now: Instant,
    ) -> Result<Duration, BucketDelay> {
        let initial_tokens = limit.initial_tokens(self.window) * self.reachable_fraction;
        let (rate, burst) = limit.bucket_parameters(self.window);
        let (rate, burst) =
            (rate * self.reachable_fraction, (burst * self.reachable_fraction).max(1.0));
        let bucket = match self.buckets.get_mut(team) {
            Some(bucket) => bucket,
            None => {
                let mut bucket = TokenBucket::empty(rate, burst, now);
                bucket.deposit(if starts_full { burst } else { initial_tokens }, now);
                self.buckets.entry(team.to_owned()).or_insert(bucket)
            }
        };
        bucket.resize(rate, burst, now);
        let reserved_tokens =
            burst * PRIORITY_RESERVE_FRACTION * priority_rank.min(MAX_RESERVED_LEVELS) as f64;
        bucket.reserve(1.0, reserved_tokens, max_wait, now)
    }

    /// Forgets buckets of teams for which this instance no longer counts.
    pub fn retain(&mut self, is_owned: impl Fn(&str) -> bool) {
        self.buckets.retain(|team, _| is_owned(team));
    }
}
