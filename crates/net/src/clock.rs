//! Clock interface, so that tests decide what time it is.

use std::sync::Arc;
use std::time::Instant;

/// Source of monotonic time.
pub trait Clock: Send + Sync {
    /// Returns the current time.
    fn now(&self) -> Instant;
}

/// Clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }
}

/// Clock shared by the tasks of a program.
pub type SharedClock = Arc<dyn Clock>;
