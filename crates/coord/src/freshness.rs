//! Upper bounds on the staleness of replicas, without comparing clocks of different hosts.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use state::position::{LogPosition, MemberPosition};

/// Kept primary positions; at one every 50 ms they cover about 13 s.
const MAX_WATERMARKS: usize = 256;

/// Position of the primary that includes every commit acknowledged before a local time.
#[derive(Clone, Copy, Debug)]
struct PrimaryWatermark {
    as_of: Instant,
    position: LogPosition,
}

/// Tracks for each replica of a database the local time up to which its data is complete.
///
/// A replica that has reached a position which the primary returned to a request sent at `t` shows
/// every write acknowledged before `t`.
#[derive(Clone, Debug, Default)]
pub struct FreshnessTracker {
    watermarks: VecDeque<PrimaryWatermark>,
    fresh_as_of: Vec<Option<Instant>>,
}

impl FreshnessTracker {
    /// Creates a tracker for a group of `members` members.
    pub fn new(members: usize) -> Self {
        Self { watermarks: VecDeque::new(), fresh_as_of: vec![None; members] }
    }

    /// Records that the primary returned `position` to a request sent at `sent_at`.
    pub fn record_primary(&mut self, sent_at: Instant, position: LogPosition) {
        if self.watermarks.back().is_some_and(|last| last.as_of >= sent_at) {
            return;
        }
        self.watermarks.push_back(PrimaryWatermark { as_of: sent_at, position });
        if self.watermarks.len() > MAX_WATERMARKS {
            self.watermarks.pop_front();
        }
    }

    /// Records the position of a member and advances the time up to which its data is complete.
    pub fn record_member(&mut self, member: usize, position: &MemberPosition) {
        let covered = |watermark: &&PrimaryWatermark| position.has_applied(watermark.position);
        let latest = self.watermarks.iter().rev().find(covered).map(|watermark| watermark.as_of);
        if let Some(fresh_as_of) = self.fresh_as_of.get_mut(member) {
            *fresh_as_of = (*fresh_as_of).max(latest);
        }
    }

    /// Returns the local time up to which a member's data is known to be complete.
    pub fn fresh_as_of(&self, member: usize) -> Option<Instant> {
        self.fresh_as_of.get(member).copied().flatten()
    }

    /// Returns an upper bound on the staleness of a member's data.
    pub fn staleness_bound(&self, member: usize, now: Instant) -> Option<Duration> {
        self.fresh_as_of(member).map(|fresh_as_of| now.saturating_duration_since(fresh_as_of))
    }
}
