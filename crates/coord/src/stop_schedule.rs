//! Schedule of a planned stop: what an instance still takes until the process ends.

use std::time::{Duration, Instant};

/// Fraction of the grace period in which open transactions may end.
const FINISHING_FRACTION: f64 = 0.5;
/// Fraction of the grace period until which members are waited for.
const ANSWERING_FRACTION: f64 = 0.85;
/// Fraction of the grace period until which written answers are delivered.
const CLOSING_FRACTION: f64 = 0.93;

/// Phase of a planned stop.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum StopPhase {
    /// Requests are served, and open transactions may go on.
    Finishing,
    /// Requests that were passed on are waited for; new ones are refused, and open transactions are
    /// rolled back.
    Answering,
    /// Requests without an answer are answered with what is known, and all sessions are closed.
    Closing,
    /// The process ends.
    Ended,
}

/// Times of a planned stop.
#[derive(Clone, Copy, Debug)]
pub struct StopSchedule {
    began_at: Instant,
    grace_period: Duration,
    /// Time at which nothing was left to wait for.
    drained_at: Option<Instant>,
}

impl StopSchedule {
    /// Creates the schedule of a stop that began at `began_at`, for a process that is killed
    /// `grace_period` later. `drained_at` is the time at which nothing was left to wait for.
    pub fn new(began_at: Instant, grace_period: Duration, drained_at: Option<Instant>) -> Self {
        Self { began_at, grace_period, drained_at }
    }

    /// Returns the time at which a phase begins.
    pub fn start_of(&self, phase: StopPhase) -> Instant {
        let after = |fraction| self.began_at + self.grace_period.mul_f64(fraction);
        let planned_at = match phase {
            StopPhase::Finishing => self.began_at,
            StopPhase::Answering => after(FINISHING_FRACTION),
            StopPhase::Closing => after(ANSWERING_FRACTION),
            StopPhase::Ended => return after(CLOSING_FRACTION),
        };
        self.drained_at.map_or(planned_at, |drained_at| planned_at.min(drained_at))
    }

    /// Returns whether a phase has begun at `now`.
    pub fn has_reached(&self, phase: StopPhase, now: Instant) -> bool {
        now >= self.start_of(phase)
    }
}
