//! Hold times of an endpoint's permits, by service class.
//!
//! Load: requests of 3, 9, 15 and 47 ms share one endpoint, and some take several times as long as
//! usual. One mean for all of them is wrong for any queue whose mix differs from the past one, so
//! the mean and the deviation are kept for each class.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::priority::PriorityLevel;

/// Weight of the newest sample in the moving averages.
const SMOOTHING: f64 = 0.1;
/// Hold time assumed before the first sample, in seconds: a statement of 12 ms.
const INITIAL_HOLD_SECONDS: f64 = 0.012;
/// Time without a sample after which earlier samples of a class are discarded: the member may have
/// become slower or faster since.
const SAMPLE_TTL: Duration = Duration::from_secs(10);
/// Maximum number of classes kept for an endpoint; the one used least recently is replaced.
const MAX_CLASSES: usize = 16;
/// Number of deviations by which a hold time may exceed its mean before it is unusually long.
const USUAL_DEVIATIONS: f64 = 2.0;

/// Returns the number by which estimates tell priorities apart; those from 255 on share one.
pub fn priority_class(priority: PriorityLevel) -> u8 {
    u8::try_from(priority).unwrap_or(u8::MAX)
}

/// Class of requests with similar service times: those of routes with the same consistency,
/// priority and target latency.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceClass(u32);

impl ServiceClass {
    const TARGET_BITS: u32 = 22;
    const TARGET_MASK: u32 = (1 << Self::TARGET_BITS) - 1;

    /// Returns the class of a route; `consistency` numbers the kinds of read consistency.
    pub fn new(consistency: u8, priority: PriorityLevel, target_latency: Duration) -> Self {
        let target_ms = u32::try_from(target_latency.as_millis())
            .map_or(Self::TARGET_MASK, |target_ms| target_ms.min(Self::TARGET_MASK));
        let consistency = u32::from(consistency & 3) << (u32::BITS - 2);
        Self(consistency | u32::from(priority_class(priority)) << Self::TARGET_BITS | target_ms)
    }

    /// Returns the target latency of the class.
    pub fn target_latency(self) -> Duration {
        Duration::from_millis((self.0 & Self::TARGET_MASK).into())
    }
}

/// Expected hold time of a class, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HoldEstimate {
    /// Mean.
    pub mean: f64,
    /// Standard deviation.
    pub deviation: f64,
}

impl HoldEstimate {
    /// Returns the hold time that most requests do not exceed.
    pub fn usual_maximum(&self) -> f64 {
        self.mean + USUAL_DEVIATIONS * self.deviation
    }

    /// Returns the mean remaining hold time of a request seen at a random time of its hold.
    ///
    /// Long requests are more likely to be seen, so it grows with the deviation.
    pub fn mean_remaining(&self) -> f64 {
        if self.mean <= 0.0 {
            return 0.0;
        }
        (self.mean * self.mean + self.deviation * self.deviation) / (2.0 * self.mean)
    }
}

/// Moving averages of one class.
#[derive(Clone, Copy, Debug)]
struct ClassSamples {
    class: ServiceClass,
    mean: f64,
    variance: f64,
    count: u32,
    last_at: Instant,
}

impl ClassSamples {
    fn new(class: ServiceClass, hold_seconds: f64, now: Instant) -> Self {
        Self { class, mean: hold_seconds, variance: 0.0, count: 1, last_at: now }
    }

    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_at) < SAMPLE_TTL
    }

    fn record(&mut self, hold_seconds: f64, now: Instant) {
        if !self.is_fresh(now) {
            *self = Self::new(self.class, hold_seconds, now);
            return;
        }
        self.count = self.count.saturating_add(1);
        self.last_at = now;
        let gain = f64::from(self.count).recip().max(SMOOTHING);
        let difference = hold_seconds - self.mean;
        self.mean += gain * difference;
        self.variance = (1.0 - gain) * (self.variance + gain * difference * difference);
    }

    fn estimate(&self) -> HoldEstimate {
        HoldEstimate { mean: self.mean, deviation: self.variance.sqrt() }
    }
}

/// Mean and deviation of the hold times at one endpoint, by service class.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    classes: Vec<ClassSamples>,
    /// Averages over all classes, for those without samples.
    overall: Option<ClassSamples>,
}

impl ServiceTimes {
    /// Records the hold time of a request that ran.
    pub fn record(&mut self, class: ServiceClass, hold_time: Duration, now: Instant) {
        let hold_seconds = hold_time.as_secs_f64();
        match &mut self.overall {
            Some(samples) => samples.record(hold_seconds, now),
            None => self.overall = Some(ClassSamples::new(class, hold_seconds, now)),
        }
        if let Some(samples) = self.classes.iter_mut().find(|samples| samples.class == class) {
            samples.record(hold_seconds, now);
            return;
        }
        let samples = ClassSamples::new(class, hold_seconds, now);
        if self.classes.len() < MAX_CLASSES {
            self.classes.push(samples);
        } else if let Some(oldest) = self.classes.iter_mut().min_by_key(|samples| samples.last_at) {
            *oldest = samples;
        }
    }

    /// Returns the expected hold time of a class: from its own samples, from those of all classes,
    /// or an assumed one.
    pub fn estimate(&self, class: ServiceClass, now: Instant) -> HoldEstimate {
        let own = self.classes.iter().find(|samples| samples.class == class);
        let fresh = own.filter(|samples| samples.is_fresh(now));
        let samples = fresh.or(self.overall.as_ref().filter(|samples| samples.is_fresh(now)));
        let initial = HoldEstimate { mean: INITIAL_HOLD_SECONDS, deviation: INITIAL_HOLD_SECONDS };
        samples.map_or(initial, ClassSamples::estimate)
    }
}

/// Interval between events that someone waits for, such as connections that are returned.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventInterval {
    mean_seconds: f64,
    last_at: Option<Instant>,
}

impl EventInterval {
    /// Records an event.
    pub fn record(&mut self, now: Instant) {
        if let Some(last_at) = self.last_at {
            let interval = now.saturating_duration_since(last_at).as_secs_f64();
            self.mean_seconds += (interval - self.mean_seconds) * SMOOTHING;
        }
        self.last_at = Some(now);
    }

    /// Returns the expected time until the next event: the mean interval or, if it was exceeded, the
    /// time since the last event.
    pub fn expected_interval(&self, now: Instant) -> Duration {
        let elapsed =
            self.last_at.map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        Duration::from_secs_f64(self.mean_seconds.max(elapsed))
    }
}
