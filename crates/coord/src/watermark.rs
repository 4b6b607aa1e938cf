//! Recent positions that a leader proved, from which bounded reads pick the one they need.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use state::position::LogPosition;

/// Marks kept; at one every [`MARK_SPACING`] they reach back further than any stated age.
const KEPT_MARKS: usize = 160;
/// Least time between two kept marks; closer ones tell a read nothing more.
const MARK_SPACING: Duration = Duration::from_millis(20);
/// Reserve by which a mark must be younger than the stated age, for rounding on the wire.
const AGE_RESERVE: Duration = Duration::from_millis(20);

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
    marks: VecDeque<Watermark>,
}

impl WatermarkRing {
    /// Records a mark; marks of older terms go, because their commits may have been rolled back.
    pub fn record(&mut self, mark: Watermark) {
        let term = self.newest().map_or(0, |newest| newest.position.term);
        if mark.position.term < term {
            return;
        }
        if mark.position.term > term {
            self.marks.clear();
        }
        match self.marks.back_mut() {
            Some(last) if mark.as_of <= last.as_of => return,
            Some(last) if mark.position == last.position => {
                // The same position, proved later, covers more. The earlier instant is of no use.
                last.as_of = mark.as_of;
                return;
            }
            Some(last) if mark.as_of - last.as_of < MARK_SPACING => {
                let newer = self.marks.len() >= 2
                    && mark.as_of - self.marks[self.marks.len() - 2].as_of < MARK_SPACING;
                if newer {
                    self.marks.pop_back();
                }
            }
            _ => {}
        }
        self.marks.push_back(mark);
        if self.marks.len() > KEPT_MARKS {
            self.marks.pop_front();
        }
    }

    /// Returns the mark with the latest instant.
    pub fn newest(&self) -> Option<Watermark> {
        self.marks.back().copied()
    }

    /// Returns the oldest mark that a read begun at `began_at` may use under a stated age.
    ///
    /// The oldest is best: a lagging replica reaches it first.
    pub fn oldest_within(&self, began_at: Instant, stated_age: Duration) -> Option<Watermark> {
        let limit = stated_age.saturating_sub(AGE_RESERVE);
        let young = |mark: &&Watermark| mark.as_of + limit >= began_at;
        self.marks.iter().find(young).copied()
    }

    /// Returns the position that a read needs: the mark and the session's own last commit.
    ///
    /// A commit of an older term is covered by any mark of a newer one, or was rolled back.
    pub fn required_position(mark: Watermark, own_commit: Option<LogPosition>) -> LogPosition {
        match own_commit {
            Some(own) if own.term >= mark.position.term => own.max(mark.position),
            _ => mark.position,
        }
    }
}
