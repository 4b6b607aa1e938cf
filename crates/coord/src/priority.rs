//! Queue before an endpoint: urgent requests first, teams fair among those of one urgency.
//!
//! Load pattern: more requests arrive than the endpoint's slots can run. Served in order of
//! arrival, all of them would be late. Urgent ones pass, and a request whose wait would use up its
//! time budget is refused on arrival, so that the others are in time.

use std::collections::BTreeMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

use crate::queue::{FairQueue, QueueRefusal};

/// Urgency of a request; zero is served first.
pub type PriorityLevel = u8;

/// Weight of the newest sample in the smoothed holding time.
const HOLD_TIME_SMOOTHING: f64 = 0.1;
/// Holding time assumed before the first sample, in seconds.
const INITIAL_HOLD_SECONDS: f64 = 0.012;

/// Bounded permits of an endpoint and the requests that wait for them.
#[derive(Clone, Debug)]
pub struct PriorityQueue<T, R> {
    capacity: usize,
    in_use: usize,
    mean_hold_seconds: f64,
    levels: BTreeMap<PriorityLevel, FairQueue<T, R>>,
}

impl<T: Copy + Eq + Hash, R> PriorityQueue<T, R> {
    /// Creates a queue for `capacity` permits.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            in_use: 0,
            mean_hold_seconds: INITIAL_HOLD_SECONDS,
            levels: BTreeMap::new(),
        }
    }

    /// Changes the number of permits; permits in use above it are not taken away.
    pub fn resize(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Returns the permits in use.
    pub fn in_use(&self) -> usize {
        self.in_use
    }

    /// Returns the requests that wait at `level` or before it.
    pub fn waiting_up_to(&self, level: PriorityLevel) -> usize {
        self.levels.range(..=level).map(|(_, queue)| queue.waiting()).sum()
    }

    /// Returns the time after which a request of `level` that comes now is expected to start, whatever
    /// its team.
    pub fn expected_wait(&self, level: PriorityLevel) -> Duration {
        self.wait_for(self.waiting_up_to(level))
    }

    /// Returns the time after which a request of `team` is expected to start: a team that floods the
    /// queue takes one turn for each of the others.
    pub fn expected_team_wait(&self, level: PriorityLevel, team: T) -> Duration {
        let higher_priority: usize =
            self.levels.range(..level).map(|(_, queue)| queue.waiting()).sum();
        let same_priority = self.levels.get(&level).map_or(0, |queue| queue.requests_ahead(team));
        self.wait_for(higher_priority + same_priority)
    }

    fn wait_for(&self, ahead: usize) -> Duration {
        if self.in_use < self.capacity && ahead == 0 {
            return Duration::ZERO;
        }
        let rounds = (ahead + 1) as f64 / self.capacity.max(1) as f64;
        Duration::from_secs_f64((rounds * self.mean_hold_seconds).min(3_600.0))
    }

    /// Takes a permit at once if one is free and nobody of the same urgency waits.
    pub fn try_acquire(&mut self, level: PriorityLevel) -> bool {
        let is_free = self.in_use < self.capacity && self.waiting_up_to(level) == 0;
        if is_free {
            self.in_use += 1;
        }
        is_free
    }

    /// Takes a permit beyond the capacity, for a transaction that holds a connection already.
    pub fn acquire_pinned(&mut self) {
        self.in_use += 1;
    }

    /// Lets a request wait until `latest_start`, or refuses it because it would start later.
    pub fn push(
        &mut self,
        level: PriorityLevel,
        team: T,
        request: R,
        start_deadline: Instant,
        now: Instant,
    ) -> Result<(), QueueRefusal> {
        let expected_wait = self.expected_team_wait(level, team);
        if now + expected_wait > start_deadline {
            return Err(QueueRefusal::DeadlineExceeded { expected_wait });
        }
        let queue = self.levels.entry(level).or_insert_with(|| FairQueue::new(usize::MAX));
        queue.push(team, request, start_deadline, now)
    }

    /// Returns a permit after it was held for `held`.
    pub fn release(&mut self, level: PriorityLevel, team: T, hold_time: Duration) {
        self.in_use = self.in_use.saturating_sub(1);
        self.mean_hold_seconds +=
            (hold_time.as_secs_f64() - self.mean_hold_seconds) * HOLD_TIME_SMOOTHING;
        if let Some(queue) = self.levels.get_mut(&level) {
            queue.release(team, hold_time);
        }
    }

    /// Takes the next request that may run; requests past their latest start go to `expired`.
    pub fn pop(&mut self, now: Instant, expired: &mut Vec<R>) -> Option<R> {
        let is_free = self.in_use < self.capacity;
        let mut next = None;
        for queue in self.levels.values_mut() {
            let popped = if is_free && next.is_none() {
                queue.pop(now, expired)
            } else {
                queue.expire(now, expired);
                None
            };
            next = next.or(popped);
        }
        let (_, request) = next?;
        self.in_use += 1;
        Some(request)
    }
}
