//! Measures for how long the event loop of an instance leaves waiting what is ready.
//!
//! Answers the load of a burst: while an instance reads hundreds of calls, or is not scheduled,
//! answers that have arrived are not read. An owner that takes its own delay for that of the member
//! expects long waits and refuses calls that could be served.

use std::time::{Duration, Instant};

/// Interval between turns of the event loop that are measured.
pub const TURN_INTERVAL: Duration = Duration::from_millis(10);
/// Delay of a turn that does not count: timers are late by so much on an idle instance.
const TIMER_DELAY: Duration = Duration::from_millis(3);

/// Sum of the delays of an event loop, while it is measured.
#[derive(Clone, Copy, Debug, Default)]
pub struct TurnMeter {
    delayed: Duration,
    /// Time at which the next turn is due; `None` while nothing is measured.
    due_at: Option<Instant>,
}

impl TurnMeter {
    /// Begins to measure with a turn that is due at once; returns false if that had begun.
    pub fn begin(&mut self, now: Instant) -> bool {
        let has_begun = self.due_at.is_some();
        self.due_at = self.due_at.or(Some(now));
        !has_begun
    }

    /// Records a turn, and expects the next one after [`TURN_INTERVAL`] unless it was the last one.
    pub fn record_turn(&mut self, is_last: bool, now: Instant) {
        self.delayed = self.delayed(now);
        self.due_at = (!is_last).then(|| now + TURN_INTERVAL);
    }

    /// Returns the sum of the delays until now, that of an overdue turn included.
    pub fn delayed(&self, now: Instant) -> Duration {
        let overdue = self.due_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.delayed + if overdue > TIMER_DELAY { overdue } else { Duration::ZERO }
    }
}
