//! Decision whether a member may be promoted although the service has commits that it may lack.
//!
//! Load: the members that confirmed the last commits do not answer, or are not registered, while the
//! leader fails. Counting the members that answer cannot show that, so the candidate is compared with
//! the position that the service is known to have acknowledged.

use std::time::{Duration, Instant};

use state::position::LogPosition;

/// Longest time for which a member with the log of an older term is not promoted. A leader that
/// crashed usually returns within it.
pub const MAX_TERM_WAIT: Duration = Duration::from_millis(7_500);

/// Longest interval between two checks of one failure.
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(3);

/// Returns the lowest position that an acknowledged commit can have.
///
/// `before` is a position that the leader had reached before the commit was sent, and `after` the one
/// that it answered with, which may include commits that are not acknowledged.
pub fn lowest_position(before: Option<LogPosition>, after: LogPosition) -> LogPosition {
    let known = before.filter(|before| before.term == after.term);
    let next = known.map_or(0, |before| before.index.saturating_add(1));
    LogPosition { index: next.min(after.index), ..after }
}

/// What a service is known to have committed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RequiredCommits {
    /// Lowest position of the newest acknowledged commit; `None` if none is known.
    pub acknowledged: Option<LogPosition>,
    /// No acknowledged commit may be lost.
    pub is_synchronous: bool,
}

/// Gate of the promotions of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct CommitGate {
    /// Times of the first and the last of consecutive checks of members with the log of an older term.
    closed: Option<(Instant, Instant)>,
}

impl CommitGate {
    /// Returns whether a member that has received the log up to `received` may be promoted.
    ///
    /// Without synchronous replicas the last commits of a leader may be lost with it, but those of a
    /// whole term only after [`MAX_TERM_WAIT`].
    pub fn admits(
        &mut self,
        received: LogPosition,
        required: RequiredCommits,
        now: Instant,
    ) -> bool {
        let acknowledged = required.acknowledged.unwrap_or_default();
        if required.is_synchronous {
            return received >= acknowledged;
        }
        if received.term >= acknowledged.term {
            self.closed = None;
            return true;
        }
        let is_recent = |last: Instant| now.saturating_duration_since(last) < MAX_CHECK_INTERVAL;
        let first =
            self.closed.filter(|(_, last)| is_recent(*last)).map_or(now, |(first, _)| first);
        self.closed = Some((first, now));
        now.saturating_duration_since(first) >= MAX_TERM_WAIT
    }
}
