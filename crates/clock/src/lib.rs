//! Clock interface, so that tests decide what time it is.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};

/// Source of monotonic time.
pub trait Clock: Send + Sync {
    /// Returns the current time.
    fn now(&self) -> Instant;
}

/// Clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct MonotonicClock;

impl Clock for MonotonicClock {
    fn now(&self) -> Instant {
        Instant::now()
    }
}

/// Clock that also counts the time for which the machine was suspended.
///
/// Ages of data and of leases are measured on it.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    started_at: Instant,
    booted_for: Duration,
}

impl BootClock {
    /// Creates a clock whose instants agree with the steady clock at the time of the call.
    pub fn new() -> Self {
        Self { started_at: Instant::now(), booted_for: boot_time() }
    }
}

impl Default for BootClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for BootClock {
    fn now(&self) -> Instant {
        self.started_at + boot_time().saturating_sub(self.booted_for)
    }
}

/// Clock shared by the tasks of a program.
pub type SharedClock = Arc<dyn Clock>;

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), u32::try_from(time.tv_nsec).unwrap_or_default())
}
