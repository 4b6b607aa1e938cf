//! Fair queue in front of a member: deficit round robin over the waiting teams.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;
use std::time::{Duration, Instant};

/// Largest number of queued requests of one team.
pub const MAX_QUEUED_PER_TEAM: usize = 1_024;
/// Weight of the newest sample in the moving average of hold times.
const HOLD_TIME_SMOOTHING: f64 = 0.1;

/// Reason for which a queue refuses a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueRefusal {
    /// The team has reached [`MAX_QUEUED_PER_TEAM`].
    Full,
    /// The request is not expected to start before its start deadline.
    DeadlineExceeded {
        /// Expected wait until it would start.
        expected_wait: Duration,
    },
}

/// Queued request and the latest time at which it may start.
#[derive(Clone, Debug)]
struct QueuedRequest<R> {
    request: R,
    start_deadline: Instant,
}

/// Queued requests of one team and its service deficit.
#[derive(Clone, Debug)]
struct TeamQueue<R> {
    waiting: VecDeque<QueuedRequest<R>>,
    /// Service time by which the team is behind its fair share, in seconds.
    deficit: f64,
    running: usize,
}

impl<R> Default for TeamQueue<R> {
    fn default() -> Self {
        Self { waiting: VecDeque::new(), deficit: 0.0, running: 0 }
    }
}

/// Fair queue for a bounded number of permits.
///
/// Teams are served round robin, and each is charged the time for which it held its permits, so a
/// team of slow statements is served less often. A single team may hold all permits but one, or all
/// of them if no other team has used the queue recently.
#[derive(Clone, Debug)]
pub struct FairQueue<T, R> {
    capacity: usize,
    in_use: usize,
    teams: HashMap<T, TeamQueue<R>>,
    waiting_teams: VecDeque<T>,
    mean_hold_seconds: f64,
    /// Last time at which a team asked for a permit while another team used the queue.
    shared_at: Option<Instant>,
}

/// Time after two teams used the queue for which one team may not hold all permits.
const RESERVE_DURATION: Duration = Duration::from_secs(5);

impl<T: Copy + Eq + Hash, R> FairQueue<T, R> {
    /// Creates a queue for `capacity` permits.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            in_use: 0,
            teams: HashMap::new(),
            waiting_teams: VecDeque::new(),
            mean_hold_seconds: 0.0,
            shared_at: None,
        }
    }

    /// Changes the number of permits; permits in use beyond it are not revoked.
    pub fn resize(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Returns the number of permits, in use or free.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Returns the number of permits in use.
    pub fn in_use(&self) -> usize {
        self.in_use
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> usize {
        self.teams.values().map(|team| team.waiting.len()).sum()
    }

    /// Acquires a permit for `team` at once if one is free for it and no request is queued.
    pub fn try_acquire(&mut self, team: T, now: Instant) -> bool {
        self.record_sharing(team, now);
        let has_queued = self.teams.get(&team).is_some_and(|queue| !queue.waiting.is_empty());
        if has_queued || !self.can_start(team, now) || !self.waiting_teams.is_empty() {
            return false;
        }
        self.start(team);
        true
    }

    /// Queues a request for a permit.
    ///
    /// Refuses it if it is not expected to start by `start_deadline` or if the team's queue is
    /// full.
    pub fn push(
        &mut self,
        team: T,
        request: R,
        start_deadline: Instant,
        now: Instant,
    ) -> Result<(), QueueRefusal> {
        let expected_wait = self.expected_wait(team);
        if now + expected_wait > start_deadline {
            return Err(QueueRefusal::DeadlineExceeded { expected_wait });
        }
        let queue = self.teams.entry(team).or_default();
        if queue.waiting.len() >= MAX_QUEUED_PER_TEAM {
            return Err(QueueRefusal::Full);
        }
        if queue.waiting.is_empty() {
            self.waiting_teams.push_back(team);
        }
        queue.waiting.push_back(QueuedRequest { request, start_deadline });
        Ok(())
    }

    /// Releases a permit that was held for `hold_time`.
    pub fn release(&mut self, team: T, hold_time: Duration) {
        self.in_use = self.in_use.saturating_sub(1);
        let hold_time = hold_time.as_secs_f64();
        self.mean_hold_seconds += (hold_time - self.mean_hold_seconds) * HOLD_TIME_SMOOTHING;
        let Some(queue) = self.teams.get_mut(&team) else {
            return;
        };
        queue.running = queue.running.saturating_sub(1);
        queue.deficit -= hold_time;
        if queue.waiting.is_empty() && queue.running == 0 {
            self.teams.remove(&team);
        }
    }

    /// Removes the next request that may start and acquires a permit for it.
    ///
    /// Requests past their start deadline are moved to `expired`.
    pub fn pop(&mut self, now: Instant, expired: &mut Vec<R>) -> Option<(T, R)> {
        self.drop_expired(now, expired);
        let team = self.next_team(now)?;
        let queue = self.teams.get_mut(&team)?;
        let next = queue.waiting.pop_front()?;
        if queue.waiting.is_empty() {
            self.waiting_teams.retain(|waiting| *waiting != team);
        }
        self.start(team);
        Some((team, next.request))
    }

    /// Returns the expected wait of a request of `team` that arrives now, at most one hour.
    pub fn expected_wait(&self, team: T) -> Duration {
        let ahead = self.teams.get(&team).map_or(0, |queue| queue.waiting.len());
        let other_teams = self.waiting_teams.iter().filter(|waiting| **waiting != team).count();
        let requests_before = ahead * (other_teams + 1) + other_teams;
        let rounds = requests_before as f64 / self.capacity.max(1) as f64;
        Duration::from_secs_f64((rounds * self.mean_hold_seconds).clamp(0.0, 3_600.0))
    }

    /// Moves requests past their start deadline to `expired`.
    pub fn expire(&mut self, now: Instant, expired: &mut Vec<R>) {
        self.drop_expired(now, expired);
    }

    /// Releases a permit of a request that did not run, without charging its team.
    pub fn cancel(&mut self, team: T) {
        self.in_use = self.in_use.saturating_sub(1);
        if let Some(queue) = self.teams.get_mut(&team) {
            queue.running = queue.running.saturating_sub(1);
            if queue.waiting.is_empty() && queue.running == 0 {
                self.teams.remove(&team);
            }
        }
    }

    /// Returns the queued requests, in no particular order.
    pub fn requests(&self) -> impl Iterator<Item = &R> {
        self.teams.values().flat_map(|queue| &queue.waiting).map(|waiting| &waiting.request)
    }

    /// Returns the first queued request of each team.
    pub fn first_requests(&self) -> impl Iterator<Item = &R> {
        self.teams.values().filter_map(|queue| queue.waiting.front()).map(|first| &first.request)
    }

    /// Returns the number of queued requests of `team`.
    pub fn waiting_of(&self, team: T) -> usize {
        self.teams.get(&team).map_or(0, |queue| queue.waiting.len())
    }

    /// Returns the requests that start before one of `team` that arrives now, by round robin.
    pub fn requests_before(&self, team: T) -> impl Iterator<Item = &R> {
        let own = self.teams.get(&team).map_or(0, |queue| queue.waiting.len());
        self.teams
            .iter()
            .flat_map(move |(other, queue)| {
                let count = if *other == team { own } else { own + 1 };
                queue.waiting.iter().take(count)
            })
            .map(|waiting| &waiting.request)
    }

    /// Visits the queued requests in rounds: the first ones of all teams, then the second ones. In a
    /// round, teams come in the order in which they are served next.
    pub fn visit_rounds(&mut self, mut visit: impl FnMut(&mut R)) {
        let mut order: Vec<T> = self.waiting_teams.iter().copied().collect();
        order.sort_by(|one, other| self.teams[other].deficit.total_cmp(&self.teams[one].deficit));
        let rounds = self.teams.values().map(|queue| queue.waiting.len()).max().unwrap_or(0);
        for round in 0..rounds {
            for team in &order {
                let queue = self.teams.get_mut(team);
                if let Some(waiting) = queue.and_then(|queue| queue.waiting.get_mut(round)) {
                    visit(&mut waiting.request);
                }
            }
        }
    }

    /// Moves the queued requests that `is_removed` selects to `removed`.
    pub fn remove_if(&mut self, is_removed: impl Fn(&R) -> bool, removed: &mut Vec<R>) {
        for queue in self.teams.values_mut() {
            let mut index = 0;
            while let Some(waiting) = queue.waiting.get(index) {
                if is_removed(&waiting.request) {
                    removed.extend(queue.waiting.remove(index).map(|waiting| waiting.request));
                } else {
                    index += 1;
                }
            }
        }
        self.remove_empty_teams();
    }

    fn drop_expired(&mut self, now: Instant, expired: &mut Vec<R>) {
        for team in &self.waiting_teams {
            let Some(queue) = self.teams.get_mut(team) else {
                continue;
            };
            while queue.waiting.front().is_some_and(|waiting| waiting.start_deadline <= now) {
                expired.extend(queue.waiting.pop_front().map(|waiting| waiting.request));
            }
        }
        self.remove_empty_teams();
    }

    fn remove_empty_teams(&mut self) {
        let teams = &mut self.teams;
        self.waiting_teams
            .retain(|team| teams.get(team).is_some_and(|queue| !queue.waiting.is_empty()));
        teams.retain(|_, queue| queue.running > 0 || !queue.waiting.is_empty());
    }

    /// Returns the waiting team with the largest deficit; the order of arrival breaks ties.
    fn next_team(&mut self, now: Instant) -> Option<T> {
        let startable: Vec<T> =
            self.waiting_teams.iter().copied().filter(|team| self.can_start(*team, now)).collect();
        let deficit = |team: &T| self.teams[team].deficit;
        let best = startable
            .iter()
            .copied()
            .reduce(|best, team| if deficit(&team) > deficit(&best) { team } else { best })?;
        self.normalize_deficits(deficit(&best));
        self.waiting_teams.retain(|team| *team != best);
        self.waiting_teams.push_back(best);
        Some(best)
    }

    /// Shifts all deficits so that the team served next has a deficit of zero, as has a team that
    /// joins the queue.
    fn normalize_deficits(&mut self, deficit: f64) {
        for queue in self.teams.values_mut() {
            queue.deficit -= deficit;
        }
    }

    fn can_start(&self, team: T, now: Instant) -> bool {
        if self.in_use >= self.capacity {
            return false;
        }
        let shared = self.shared_at.is_some_and(|at| now.duration_since(at) < RESERVE_DURATION);
        let running = self.teams.get(&team).map_or(0, |queue| queue.running);
        !shared || self.capacity < 2 || running < self.capacity - 1
    }

    fn record_sharing(&mut self, team: T, now: Instant) {
        if self.teams.keys().any(|other| *other != team) {
            self.shared_at = Some(now);
        }
    }

    fn start(&mut self, team: T) {
        self.in_use += 1;
        self.teams.entry(team).or_default().running += 1;
    }
}
