//! Replication lag of a member, from the log positions that it reports.
//!
//! Load: replicas fall behind by seconds, in turn or all at once, and catch up again. Without an estimate
//! reads were tried at each replica in turn, refused there, and then queued at the leader.

use std::time::{Duration, Instant};

use state::position::LogPosition;

use crate::watermark::WatermarkRing;

/// Age from which a report says nothing about the lag, so that the next read finds it out.
const REPORT_TTL: Duration = Duration::from_secs(1);

/// Least lag that is assumed of a member that lacks the oldest known position.
const MIN_UNKNOWN_LAG: Duration = Duration::from_millis(60);

/// Position that a read requires, and the time at which the leader had reached it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequiredPosition {
    /// Position.
    pub position: LogPosition,
    /// Time at which the leader had reached the position.
    pub reached_at: Instant,
}

/// Time by which a member was behind its leader when it reported its position.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReplicaLag {
    lag: Duration,
    reported_at: Instant,
}

impl ReplicaLag {
    /// Returns the lag of a member that reports `position` at `now`, or `None` while no position of the
    /// leader is known.
    pub fn observe(
        position: LogPosition,
        watermarks: &WatermarkRing,
        now: Instant,
    ) -> Option<Self> {
        let lag = match watermarks.covered_until(position, now)? {
            Ok(covered_until) => now.saturating_duration_since(covered_until),
            // How far the member is behind the oldest watermark is not known.
            Err(oldest) => (2 * now.saturating_duration_since(oldest)).max(MIN_UNKNOWN_LAG),
        };
        Some(Self { lag, reported_at: now })
    }

    /// Returns the expected wait until the member has what the leader had at `reached_at`, if it stays
    /// as far behind; zero if the report is too old.
    pub fn catch_up_wait(&self, reached_at: Instant, now: Instant) -> Duration {
        if now.saturating_duration_since(self.reported_at) >= REPORT_TTL {
            return Duration::ZERO;
        }
        (reached_at + self.lag).saturating_duration_since(now)
    }
}
