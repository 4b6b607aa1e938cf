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
const HOLD_SMOOTHING: f64 = 0.1;
/// Holding time assumed before the first sample, in seconds.
const FIRST_HOLD: f64 = 0.012;

/// Bounded permits of an endpoint and the requests that wait for them.
#[derive(Clone, Debug)]
pub struct PriorityQueue<T, R> {
    capacity: usize,
    in_use: usize,
    hold: f64,
    levels: BTreeMap<PriorityLevel, FairQueue<T, R>>,
}

impl<T: Copy + Eq + Hash, R> PriorityQueue<T, R> {
    /// Creates a queue for `capacity` permits.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, in_use: 0, hold: FIRST_HOLD, levels: BTreeMap::new() }
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
        self.wait_behind(self.waiting_up_to(level))
    }

    /// Returns the time after which a request of `team` is expected to start: a team that floods the
    /// queue takes one turn for each of the others.
    pub fn expected_team_wait(&self, level: PriorityLevel, team: T) -> Duration {
        let urgent: usize = self.levels.range(..level).map(|(_, queue)| queue.waiting()).sum();
        let turns = self.levels.get(&level).map_or(0, |queue| queue.requests_ahead(team));
        self.wait_behind(urgent + turns)
    }

    fn wait_behind(&self, ahead: usize) -> Duration {
        if self.in_use < self.capacity && ahead == 0 {
            return Duration::ZERO;
        }
        let turns = (ahead + 1) as f64 / self.capacity.max(1) as f64;
        Duration::from_secs_f64((turns * self.hold).min(3_600.0))
    }

    /// Takes a permit at once if one is free and nobody of the same urgency waits.
    pub fn try_acquire(&mut self, level: PriorityLevel) -> bool {
        let free = self.in_use < self.capacity && self.waiting_up_to(level) == 0;
        if free {
            self.in_use += 1;
        }
        free
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
        latest_start: Instant,
        now: Instant,
    ) -> Result<(), QueueRefusal> {
        let expected = self.expected_team_wait(level, team);
        if now + expected > latest_start {
            return Err(QueueRefusal::DeadlineExceeded { expected_wait: expected });
        }
        let queue = self.levels.entry(level).or_insert_with(|| FairQueue::new(usize::MAX));
        queue.push(team, request, latest_start, now)
    }

    /// Returns a permit after it was held for `held`.
    pub fn release(&mut self, level: PriorityLevel, team: T, held: Duration) {
        self.in_use = self.in_use.saturating_sub(1);
        self.hold += (held.as_secs_f64() - self.hold) * HOLD_SMOOTHING;
        if let Some(queue) = self.levels.get_mut(&level) {
            queue.release(team, held);
        }
    }

    /// Takes the next request that may run; requests past their latest start go to `expired`.
    pub fn pop(&mut self, now: Instant, expired: &mut Vec<R>) -> Option<R> {
        let free = self.in_use < self.capacity;
        let mut next = None;
        for queue in self.levels.values_mut() {
            let found = if free && next.is_none() {
                queue.pop(now, expired)
            } else {
                queue.expire(now, expired);
                None
            };
            next = next.or(found);
        }
        let (_, request) = next?;
        self.in_use += 1;
        Some(request)
    }
}
