//! Recent watermarks of a service, from which bounded-staleness reads choose their position.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use state::position::LogPosition;

/// Kept watermarks; at one every [`WATERMARK_INTERVAL`] they cover 3.2 s, more than any maximum
/// staleness in use.
const MAX_WATERMARKS: usize = 160;
/// Shortest interval between two kept watermarks; closer ones do not help a read.
const WATERMARK_INTERVAL: Duration = Duration::from_millis(20);
/// Margin by which a watermark must be fresher than the staleness limit, for rounding on the wire.
const ROUNDING_MARGIN: Duration = Duration::from_millis(20);

/// Log position that includes every commit acknowledged before a point in time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Watermark {
    /// Local time taken before sending the request that the leader answered with `position`.
    pub as_of: Instant,
    /// Position of the leader when it answered.
    pub position: LogPosition,
}

/// Watermarks of one service in order of time.
#[derive(Clone, Debug, Default)]
pub struct WatermarkRing {
    watermarks: VecDeque<Watermark>,
}

impl WatermarkRing {
    /// Records a watermark. Those of older terms are dropped, as their commits may be rolled back.
    pub fn record(&mut self, watermark: Watermark) {
        let term = self.newest().map_or(0, |newest| newest.position.term);
        if watermark.position.term < term {
            return;
        }
        if watermark.position.term > term {
            self.watermarks.clear();
        }
        match self.watermarks.back_mut() {
            Some(last) if watermark.as_of <= last.as_of => return,
            Some(last) if watermark.position == last.position => {
                // The same position with a later time covers more, so the earlier time is not
                // needed.
                last.as_of = watermark.as_of;
                return;
            }
            Some(last) if watermark.as_of - last.as_of < WATERMARK_INTERVAL => {
                // The ring always keeps the newest watermark, even one closer than the interval.
                // The next one replaces it unless that leaves a gap of an interval or more.
                let is_dense = self.watermarks.len() >= 2
                    && watermark.as_of - self.watermarks[self.watermarks.len() - 2].as_of
                        < WATERMARK_INTERVAL;
                if is_dense {
                    self.watermarks.pop_back();
                }
            }
            _ => {}
        }
        self.watermarks.push_back(watermark);
        if self.watermarks.len() > MAX_WATERMARKS {
            self.watermarks.pop_front();
        }
    }

    /// Returns the watermark with the latest time.
    pub fn newest(&self) -> Option<Watermark> {
        self.watermarks.back().copied()
    }

    /// Returns the oldest watermark that a read begun at `began_at` may use with `max_staleness`.
    ///
    /// The oldest is best, because a lagging replica reaches it first.
    pub fn oldest_within(&self, began_at: Instant, max_staleness: Duration) -> Option<Watermark> {
        let limit = max_staleness.saturating_sub(ROUNDING_MARGIN);
        let is_fresh = |watermark: &&Watermark| watermark.as_of + limit >= began_at;
        self.watermarks.iter().find(is_fresh).copied()
    }

    /// Returns the time up to which a member at `position` has what the leader had, interpolated between
    /// watermarks; an error with the time of the oldest one if the member lacks that, and `None` without
    /// watermarks.
    pub fn covered_until(
        &self,
        position: LogPosition,
        now: Instant,
    ) -> Option<Result<Instant, Instant>> {
        let next = self.watermarks.partition_point(|known| known.position <= position);
        let Some(after) = self.watermarks.get(next) else {
            return self.newest().map(|_| Ok(now));
        };
        let Some(before) = next.checked_sub(1).and_then(|index| self.watermarks.get(index)) else {
            return Some(Err(after.as_of));
        };
        // All watermarks are of one term.
        let entries = after.position.index - before.position.index;
        let applied = position.index - before.position.index;
        let span = after.as_of - before.as_of;
        Some(Ok(before.as_of + span.mul_f64(applied as f64 / entries as f64)))
    }

    /// Returns the time at which the leader had reached `position`, or `None` if no watermark shows it.
    pub fn reached_at(&self, position: LogPosition) -> Option<Instant> {
        let first = self.watermarks.partition_point(|known| known.position < position);
        self.watermarks.get(first).map(|known| known.as_of)
    }

    /// Returns the position that a read requires: the later of the watermark and the session's last
    /// commit.
    ///
    /// A commit of an older term is covered by any watermark of a newer term, or was rolled back.
    pub fn required_position(
        watermark: Watermark,
        last_commit: Option<LogPosition>,
    ) -> LogPosition {
        match last_commit {
            Some(commit) if commit.term >= watermark.position.term => {
                commit.max(watermark.position)
            }
            _ => watermark.position,
        }
    }
}
