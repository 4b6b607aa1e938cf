//! Bounds on the age of replicas, without comparing clocks of different machines.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use state::position::{LogPosition, MemberPosition};

/// Primary positions kept; at one every 50 ms they reach back about 13 s.
const KEPT_POSITIONS: usize = 256;

/// Primary position proved current at or after a local time.
#[derive(Clone, Copy, Debug)]
struct ProvedPosition {
    asked_at: Instant,
    position: LogPosition,
}

/// Tracks up to which local time each replica of one database is known to be complete.
///
/// A replica that covers a position the primary proved to a question asked at `t` shows every
/// write acknowledged before `t`.
#[derive(Clone, Debug, Default)]
pub struct FreshnessTracker {
    proved: VecDeque<ProvedPosition>,
    complete: Vec<Option<Instant>>,
}

impl FreshnessTracker {
    /// Creates a tracker for `members` members.
    pub fn new(members: usize) -> Self {
        Self { proved: VecDeque::new(), complete: vec![None; members] }
    }

    /// Records that the primary proved `position` to a question asked at `asked_at`.
    pub fn record_primary(&mut self, asked_at: Instant, position: LogPosition) {
        if self.proved.back().is_some_and(|last| last.asked_at >= asked_at) {
            return;
        }
        self.proved.push_back(ProvedPosition { asked_at, position });
        if self.proved.len() > KEPT_POSITIONS {
            self.proved.pop_front();
        }
    }

    /// Records the position of a member and raises the time up to which it is complete.
    pub fn record_member(&mut self, member: usize, position: &MemberPosition) {
        let covered = |proved: &&ProvedPosition| position.covers(proved.position);
        let latest = self.proved.iter().rev().find(covered).map(|proved| proved.asked_at);
        if let Some(complete) = self.complete.get_mut(member) {
            *complete = (*complete).max(latest);
        }
    }

    /// Returns the local time up to which a member is known to be complete.
    pub fn fresh_as_of(&self, member: usize) -> Option<Instant> {
        self.complete.get(member).copied().flatten()
    }

    /// Returns the greatest age that the data of a member can have.
    pub fn staleness_bound(&self, member: usize, now: Instant) -> Option<Duration> {
        self.fresh_as_of(member).map(|complete| now.saturating_duration_since(complete))
    }
}
