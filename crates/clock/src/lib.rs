//! Monotonic clocks behind a trait, so that tests can control the time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};

/// Source of monotonic time.
pub trait Clock: Send + Sync {
    /// Returns the current time.
    fn now(&self) -> Instant;
}

/// Monotonic clock of the operating system; it stops while the machine is suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct MonotonicClock;

impl Clock for MonotonicClock {
    fn now(&self) -> Instant {
        Instant::now()
    }
}

/// Monotonic clock that also advances while the machine is suspended.
///
/// Ages of data and of leases are measured on it, so that neither seems younger after a suspension.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    created_at: Instant,
    uptime_at_creation: Duration,
}

impl BootClock {
    /// Creates a clock whose instants equal those of [`Instant::now`] at the time of the call.
    pub fn new() -> Self {
        Self { created_at: Instant::now(), uptime_at_creation: uptime() }
    }
}

impl Default for BootClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for BootClock {
    fn now(&self) -> Instant {
        self.created_at + uptime().saturating_sub(self.uptime_at_creation)
    }
}

/// Clock that the tasks of a program share.
pub type SharedClock = Arc<dyn Clock>;

/// Returns the time since boot, suspended time included.
fn uptime() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), u32::try_from(time.tv_nsec).unwrap_or_default())
}
