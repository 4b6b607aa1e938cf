//! Detects that an instance falls behind its own work.
//!
//! Answers the load of a few instances that are many times slower than the others, under a burst: they
//! own connections and limits that all instances need, so callers of healthy instances wait for them,
//! too. An instance whose event loop is late for a third of the time says so, and the others choose it
//! last as an owner until it has kept up for a while.

use std::time::{Duration, Instant};

/// Time over which the delays of the event loop are averaged.
const AVERAGING_PERIOD: Duration = Duration::from_millis(600);
/// Largest weight of one timer: a single one that is very late shows that the process was suspended.
const MAX_WEIGHT: f64 = 0.3;
/// Share of the time for which the event loop is late from which the instance is congested.
const CONGESTED_SHARE: f64 = 0.33;
/// Share below which it keeps up.
const RECOVERED_SHARE: f64 = 0.15;
/// Time for which it must have kept up until it takes new callers again.
const CALLER_RECOVERY_PERIOD: Duration = Duration::from_secs(2);
/// Time for which it must have kept up until it is no longer congested. Doubled each time, as an
/// instance that owns nothing keeps up however slow it is.
const MIN_RECOVERY_PERIOD: Duration = Duration::from_secs(4);
/// Longest such time.
const MAX_RECOVERY_PERIOD: Duration = Duration::from_secs(32);
/// Time without congestion after which the shortest one applies again.
const STEADY_PERIOD: Duration = Duration::from_secs(60);
/// Part of the live instances up to which congested ones are chosen last. If more are congested, the
/// fleet is slow as a whole, and moving what they own would only add work.
const MAX_MOVED_FRACTION: f64 = 1.0 / 3.0;

/// Returns whether so few of the live instances are congested that what they own moves to others.
pub fn may_move(congested_count: usize, live_count: usize) -> bool {
    congested_count as f64 <= live_count as f64 * MAX_MOVED_FRACTION
}

/// Delays of the event loop of an instance.
#[derive(Clone, Copy, Debug)]
pub struct CongestionDetector {
    /// Share of the time for which the event loop was late.
    late_share: f64,
    is_congested: bool,
    /// Time since which the instance keeps up.
    recovered_since: Option<Instant>,
    recovery_period: Duration,
    /// Time at which the instance was last congested.
    congested_at: Option<Instant>,
}

impl Default for CongestionDetector {
    fn default() -> Self {
        Self {
            late_share: 0.0,
            is_congested: false,
            recovered_since: None,
            recovery_period: MIN_RECOVERY_PERIOD,
            congested_at: None,
        }
    }
}

impl CongestionDetector {
    /// Records that a timer of `interval` took `elapsed`.
    pub fn record(&mut self, interval: Duration, elapsed: Duration, now: Instant) {
        let late = elapsed.saturating_sub(interval).as_secs_f64();
        let share = late / elapsed.as_secs_f64().max(f64::MIN_POSITIVE);
        let weight = 1.0 - (-elapsed.as_secs_f64() / AVERAGING_PERIOD.as_secs_f64()).exp();
        let weight = weight.min(MAX_WEIGHT);
        self.late_share += (share - self.late_share) * weight;
        if self.late_share >= RECOVERED_SHARE {
            self.recovered_since = None;
        }
        if self.late_share >= CONGESTED_SHARE && !self.is_congested {
            self.begin_congestion(now);
        }
        if !self.is_congested {
            return;
        }
        self.congested_at = Some(now);
        if self.late_share < RECOVERED_SHARE {
            let since = *self.recovered_since.get_or_insert(now);
            self.is_congested = now.saturating_duration_since(since) < self.recovery_period;
        }
    }

    fn begin_congestion(&mut self, now: Instant) {
        let is_steady = |at: Instant| now.saturating_duration_since(at) >= STEADY_PERIOD;
        self.recovery_period = match self.congested_at {
            Some(at) if !is_steady(at) => (self.recovery_period * 2).min(MAX_RECOVERY_PERIOD),
            _ => MIN_RECOVERY_PERIOD,
        };
        self.is_congested = true;
        self.recovered_since = None;
    }

    /// Returns whether the instance falls behind its work.
    pub fn is_congested(&self) -> bool {
        self.is_congested
    }

    /// Returns whether the instance should get no new callers.
    pub fn avoids_callers(&self, now: Instant) -> bool {
        let keeps_up = self
            .recovered_since
            .is_some_and(|at| now.saturating_duration_since(at) >= CALLER_RECOVERY_PERIOD);
        self.is_congested && !keeps_up
    }

    /// Returns the share of the time for which the event loop was late lately.
    pub fn late_share(&self) -> f64 {
        self.late_share
    }
}
