//! Queue in front of an endpoint: by priority, and fair between the teams of one priority.
//!
//! When more requests arrive than the endpoint's slots can execute, all would be late if served in
//! order of arrival. Requests of higher priority go first, and a request whose expected wait
//! exceeds its time budget is refused on arrival, so that the others are in time.

use std::collections::BTreeMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

use crate::queue::{FairQueue, QueueRefusal};

/// Priority of a request; zero is the highest and is served first.
pub type PriorityLevel = u8;

/// Weight of the newest sample in the moving average of hold times.
const HOLD_TIME_SMOOTHING: f64 = 0.1;
/// Hold time assumed before the first sample, in seconds.
const INITIAL_HOLD_SECONDS: f64 = 0.012;

/// Permits to execute requests on an endpoint, and the requests queued for a permit.
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

    /// Changes the number of permits; permits in use beyond it are not revoked.
    pub fn resize(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Returns the number of permits in use.
    pub fn in_use(&self) -> usize {
        self.in_use
    }

    /// Returns the number of requests queued at the priority `level` or a higher one.
    pub fn waiting_up_to(&self, level: PriorityLevel) -> usize {
        self.levels.range(..=level).map(|(_, queue)| queue.waiting()).sum()
    }

    /// Returns the expected wait of a request of `level` that arrives now, behind all queued
    /// requests of this and higher priorities, whatever its team.
    pub fn expected_wait(&self, level: PriorityLevel) -> Duration {
        self.estimate_wait(self.waiting_up_to(level))
    }

    /// Returns the expected wait of a request of `team` that arrives now.
    ///
    /// Teams of one priority are served round robin, so a team that floods the queue does not delay
    /// the others by its whole backlog.
    pub fn expected_team_wait(&self, level: PriorityLevel, team: T) -> Duration {
        let higher_priority: usize =
            self.levels.range(..level).map(|(_, queue)| queue.waiting()).sum();
        let same_priority = self.levels.get(&level).map_or(0, |queue| queue.requests_ahead(team));
        self.estimate_wait(higher_priority + same_priority)
    }

    /// Returns the expected wait behind `ahead` queued requests, at most one hour.
    fn estimate_wait(&self, ahead: usize) -> Duration {
        if self.in_use < self.capacity && ahead == 0 {
            return Duration::ZERO;
        }
        let rounds = (ahead + 1) as f64 / self.capacity.max(1) as f64;
        Duration::from_secs_f64((rounds * self.mean_hold_seconds).min(3_600.0))
    }

    /// Acquires a permit at once if one is free and no request of this or a higher priority is
    /// queued.
    pub fn try_acquire(&mut self, level: PriorityLevel) -> bool {
        let is_free = self.in_use < self.capacity && self.waiting_up_to(level) == 0;
        if is_free {
            self.in_use += 1;
        }
        is_free
    }

    /// Acquires a permit beyond the capacity, for a transaction that already holds a connection.
    pub fn acquire_pinned(&mut self) {
        self.in_use += 1;
    }

    /// Queues a request, or refuses it because it is not expected to start by `start_deadline`.
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

    /// Releases a permit that was held for `hold_time`.
    pub fn release(&mut self, level: PriorityLevel, team: T, hold_time: Duration) {
        self.in_use = self.in_use.saturating_sub(1);
        self.mean_hold_seconds +=
            (hold_time.as_secs_f64() - self.mean_hold_seconds) * HOLD_TIME_SMOOTHING;
        if let Some(queue) = self.levels.get_mut(&level) {
            queue.release(team, hold_time);
        }
    }

    /// Removes the next request that may start and acquires a permit for it.
    ///
    /// Requests past their start deadline are moved to `expired`.
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
