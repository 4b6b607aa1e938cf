//! Recent positions that a leader proved, from which bounded reads pick the one they need.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use state::position::LogPosition;

/// Marks kept; at one every [`MARK_SPACING`] they reach back further than any stated age.
const MAX_WATERMARKS: usize = 160;
/// Least time between two kept marks; closer ones tell a read nothing more.
const WATERMARK_INTERVAL: Duration = Duration::from_millis(20);
/// Reserve by which a mark must be younger than the stated age, for rounding on the wire.
const ROUNDING_MARGIN: Duration = Duration::from_millis(20);

/// Position that covers every commit acknowledged before an instant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Watermark {
    /// Instant before the question that proved the position was sent.
    pub as_of: Instant,
    /// Position of the leader when it answered.
    pub position: LogPosition,
}

/// Marks of one service in the order of their instants.
#[derive(Clone, Debug, Default)]
pub struct WatermarkRing {
    watermarks: VecDeque<Watermark>,
}

impl WatermarkRing {
    /// Records a mark; marks of older terms go, because their commits may have been rolled back.
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
                // The same position, proved later, covers more. The earlier instant is of no use.
                last.as_of = watermark.as_of;
                return;
            }
            Some(last) if watermark.as_of - last.as_of < WATERMARK_INTERVAL => {
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

    /// Returns the mark with the latest instant.
    pub fn newest(&self) -> Option<Watermark> {
        self.watermarks.back().copied()
    }

    /// Returns the oldest mark that a read begun at `began_at` may use under a stated age.
    ///
    /// The oldest is best: a lagging replica reaches it first.
    pub fn oldest_within(&self, began_at: Instant, max_staleness: Duration) -> Option<Watermark> {
        let limit = max_staleness.saturating_sub(ROUNDING_MARGIN);
        let is_fresh = |watermark: &&Watermark| watermark.as_of + limit >= began_at;
        self.watermarks.iter().find(is_fresh).copied()
    }

    /// Returns the position that a read needs: the mark and the session's own last commit.
    ///
    /// A commit of an older term is covered by any mark of a newer one, or was rolled back.
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
