//! Speed and failures of an endpoint, as its connection owner measures them and as other instances
//! know them from replies.
//!
//! An endpoint may be several times slower than the others of its service, or fail part of its
//! requests while it reports itself healthy. Its connection owner sees all its answers, and sends
//! what it measured with each reply, so one reply tells an instance what many answers have shown.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::service_time::ServiceClass;

/// Number of service classes that are tracked; a further one replaces the least recently used.
const MAX_CLASSES: usize = 8;
/// Weight of the newest service time in the moving average of its class.
const TIME_SMOOTHING: f64 = 0.15;
/// Factor by which one service time counts at most above the average. Some kinds have a tail of 3%
/// that takes 7 times as long, which must not pass for a slow endpoint.
const MAX_TIME_RATIO: f64 = 3.0;
/// Weight of the newest answer in the moving share of failures.
const FAILURE_SMOOTHING: f64 = 0.1;
/// Time in which the share of failures halves without answers.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Age from which a measured service time is no longer reported.
const TIME_TTL: Duration = Duration::from_secs(8);
/// Weight with which the usual time of a class follows a faster answer.
const BASELINE_FALL: f64 = 0.3;
/// Weight with which it follows a slower one. It stays near the time of the fastest endpoint, so
/// that a slow endpoint is not taken for the usual one.
const BASELINE_RISE: f64 = 0.01;
/// Service time assumed for a class without samples, in seconds.
const DEFAULT_SERVICE_SECONDS: f64 = 0.012;
/// Weight of the newest sample in the slowness and the network delay that an instance knows.
const VIEW_SMOOTHING: f64 = 0.5;
/// Age up to which a view is trusted in full.
const FULL_TRUST_AGE: Duration = Duration::from_secs(1);
/// Age from which a view is treated as unknown. An instance that avoids an endpoint uses it again
/// about once in this time for each service, which is how it learns of its recovery.
const VIEW_TTL: Duration = Duration::from_secs(8);

/// Measurements of an endpoint that travel with a reply of its connection owner.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointSample {
    /// Average service time of the call's class, in units of 100 µs; `None` if not known.
    pub service_time: Option<u32>,
    /// Share of the answers that were errors of the endpoint, in thousandths.
    pub failure_permille: u16,
    /// The team of the call had an open connection that the call could use at once.
    pub had_connection: bool,
    /// The team of the call uses the endpoint frequently.
    pub is_frequent: bool,
    /// Time that the call spent at the connection owner, in units of 100 µs.
    pub handling_time: u32,
}

/// Connections of a team at an endpoint, as its connection owner sees them at a call.
#[derive(Clone, Copy, Debug, Default)]
pub struct TeamConnections {
    /// The call could use an open connection at once.
    pub had_connection: bool,
    /// The team uses the endpoint frequently.
    pub is_frequent: bool,
}

/// Returns a duration in units of 100 µs.
pub fn sample_units(span: Duration) -> u32 {
    u32::try_from(span.as_micros() / 100).unwrap_or(u32::MAX)
}

/// Returns the duration of a number of units of 100 µs.
pub fn sample_duration(units: u32) -> Duration {
    Duration::from_micros(u64::from(units) * 100)
}

#[derive(Clone, Copy, Debug)]
struct ClassTime {
    class: ServiceClass,
    seconds: f64,
    updated_at: Instant,
}

/// Average times of a few service classes, without allocation.
#[derive(Clone, Copy, Debug, Default)]
struct ClassTimes {
    entries: [Option<ClassTime>; MAX_CLASSES],
}

impl ClassTimes {
    fn get(&self, class: ServiceClass) -> Option<&ClassTime> {
        self.entries.iter().flatten().find(|entry| entry.class == class)
    }

    /// Updates the time of a class, or inserts `initial` in place of the least recently used class.
    fn update(
        &mut self,
        class: ServiceClass,
        initial: f64,
        now: Instant,
        change: impl FnOnce(&mut f64),
    ) {
        let known = self.entries.iter_mut().flatten().find(|entry| entry.class == class);
        if let Some(entry) = known {
            change(&mut entry.seconds);
            entry.updated_at = now;
            return;
        }
        let last_used = |entry: &&mut Option<ClassTime>| entry.map(|entry| entry.updated_at);
        if let Some(entry) = self.entries.iter_mut().min_by_key(last_used) {
            *entry = Some(ClassTime { class, seconds: initial, updated_at: now });
        }
    }
}

/// Measurements of the connection owner about one endpoint.
#[derive(Clone, Debug, Default)]
pub struct EndpointHealth {
    times: ClassTimes,
    failure_share: f64,
    failure_updated_at: Option<Instant>,
}

impl EndpointHealth {
    /// Records the time from sending a call of a class until its last answer.
    pub fn record_time(&mut self, class: ServiceClass, service_time: Duration, now: Instant) {
        let seconds = service_time.as_secs_f64();
        self.times.update(class, seconds, now, |average| {
            let counted = seconds.min(*average * MAX_TIME_RATIO);
            *average += (counted - *average) * TIME_SMOOTHING;
        });
    }

    /// Records whether the endpoint failed a call.
    pub fn record_outcome(&mut self, failed: bool, now: Instant) {
        let share = self.failure_share(now);
        let newest = if failed { 1.0 } else { 0.0 };
        self.failure_share = share + (newest - share) * FAILURE_SMOOTHING;
        self.failure_updated_at = Some(now);
    }

    /// Returns the share of calls that the endpoint failed.
    pub fn failure_share(&self, now: Instant) -> f64 {
        let Some(at) = self.failure_updated_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        self.failure_share * 0.5_f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
    }

    /// Returns the measurements for a reply to a call of a class.
    pub fn sample(
        &self,
        class: ServiceClass,
        team: TeamConnections,
        handling_time: Duration,
        now: Instant,
    ) -> EndpointSample {
        let is_recent =
            |time: &&ClassTime| now.saturating_duration_since(time.updated_at) < TIME_TTL;
        let time = self.times.get(class).filter(is_recent);
        EndpointSample {
            service_time: time.map(|time| sample_units(Duration::from_secs_f64(time.seconds))),
            failure_permille: (self.failure_share(now) * 1_000.0) as u16,
            had_connection: team.had_connection,
            is_frequent: team.is_frequent,
            handling_time: sample_units(handling_time),
        }
    }
}

/// Usual service times of the classes of one service over all its endpoints, as known to one
/// instance.
#[derive(Clone, Debug, Default)]
pub struct ServiceBaseline {
    times: ClassTimes,
}

impl ServiceBaseline {
    /// Returns the usual service time of a class.
    pub fn service_time(&self, class: ServiceClass) -> Duration {
        let seconds = self.times.get(class).map_or(DEFAULT_SERVICE_SECONDS, |time| time.seconds);
        Duration::from_secs_f64(seconds)
    }

    /// Records a service time and returns its ratio to the usual one.
    ///
    /// `slowness` is what is known of the endpoint from other classes.
    fn record(
        &mut self,
        class: ServiceClass,
        service_time: Duration,
        slowness: f64,
        now: Instant,
    ) -> f64 {
        // A time below the resolution of samples would make each later one infinitely slow.
        let seconds = service_time.as_secs_f64().max(0.000_5);
        self.times.update(class, seconds / slowness.max(1.0), now, |usual| {
            let weight = if seconds < *usual { BASELINE_FALL } else { BASELINE_RISE };
            *usual += (seconds - *usual) * weight;
        });
        self.times.get(class).map_or(1.0, |usual| seconds / usual.seconds)
    }
}

/// What an instance knows of the speed and the failures of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct HealthView {
    slowness: f64,
    failure_share: f64,
    network_seconds: f64,
    updated_at: Instant,
    /// Time of the last sample with a service time. Samples of a new connection owner have none.
    slowness_updated_at: Instant,
}

impl HealthView {
    /// Updates a view by a sample that arrived with a reply.
    ///
    /// `network_delay` is the time of the reply that its connection owner does not account for.
    pub fn update(
        view: &mut Option<Self>,
        baseline: &mut ServiceBaseline,
        class: ServiceClass,
        sample: EndpointSample,
        network_delay: Duration,
        now: Instant,
    ) {
        let network = network_delay.as_secs_f64();
        let known = view.unwrap_or(Self {
            slowness: 1.0,
            failure_share: 0.0,
            network_seconds: network,
            updated_at: now,
            slowness_updated_at: now,
        });
        let blend = |old: f64, new: f64| old + (new - old) * VIEW_SMOOTHING;
        let known_network = known.network_seconds * trust(known.updated_at, now);
        let mut updated = Self {
            failure_share: f64::from(sample.failure_permille.min(1_000)) / 1_000.0,
            network_seconds: blend(known_network, network),
            updated_at: now,
            ..known
        };
        if let Some(units) = sample.service_time {
            let slowness = known.slowness(now);
            let ratio = baseline.record(class, sample_duration(units), slowness, now);
            updated.slowness = if view.is_some() { blend(slowness, ratio) } else { ratio };
            updated.slowness_updated_at = now;
        }
        *view = Some(updated);
    }

    /// Returns the expected ratio of the endpoint's service time to the usual one; 1 once the view
    /// is unknown.
    pub fn slowness(&self, now: Instant) -> f64 {
        1.0 + (self.slowness - 1.0) * trust(self.slowness_updated_at, now)
    }

    /// Returns the expected share of failures; 0 once the view is unknown.
    pub fn failure_share(&self, now: Instant) -> f64 {
        self.failure_share * trust(self.updated_at, now)
    }

    /// Returns the expected time in the network and in the scheduling of the connection owner.
    pub fn network_delay(&self, now: Instant) -> Duration {
        Duration::from_secs_f64(
            (self.network_seconds * trust(self.updated_at, now)).clamp(0.0, 10.0),
        )
    }
}

/// Returns how far a view is trusted at its age, from 0 to 1.
fn trust(updated_at: Instant, now: Instant) -> f64 {
    let age = now.saturating_duration_since(updated_at);
    let past_full = age.saturating_sub(FULL_TRUST_AGE).as_secs_f64();
    (1.0 - past_full / (VIEW_TTL - FULL_TRUST_AGE).as_secs_f64()).max(0.0)
}

/// Slowness from which an endpoint is reported as degraded, and below which it has recovered.
const DEGRADED_SLOWNESS: (f64, f64) = (2.0, 1.5);
/// Share of failures from which an endpoint is reported as degraded, and below which it has recovered.
const DEGRADED_FAILURE_SHARE: (f64, f64) = (0.2, 0.1);

/// Returns whether an endpoint counts as degraded in logs, given whether it did before. The two
/// limits of each figure keep it from changing with every answer.
pub fn is_degraded(was_degraded: bool, slowness: f64, failure_share: f64) -> bool {
    let limit = |(enter, leave): (f64, f64)| if was_degraded { leave } else { enter };
    slowness >= limit(DEGRADED_SLOWNESS) || failure_share >= limit(DEGRADED_FAILURE_SHARE)
}
