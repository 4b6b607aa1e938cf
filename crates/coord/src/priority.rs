//! Queue in front of an endpoint: by priority, and fair between the teams of one priority.
//!
//! Load: more requests arrive than the endpoint's slots can execute, and all would be late if
//! served in order of arrival. Requests of higher priority go first. A request that is not expected
//! to start in time is refused on arrival or, if its answer still has a value, queued in the late
//! band, which is served when no request waits that can be in time.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::hash::Hash;
use std::time::{Duration, Instant};

use slotmap::{SlotMap, new_key_type};

use crate::queue::{FairQueue, QueueRefusal};
use crate::service_time::{ServiceClass, ServiceTimes};
use crate::turn_meter::TurnMeter;

/// Priority of a request; zero is the highest and is served first.
pub type PriorityLevel = u32;

/// Maximum wait that is estimated; longer ones are reported as this.
const MAX_EXPECTED_WAIT: Duration = Duration::from_secs(3_600);
/// Time over which the rate of arriving work is averaged: long enough for some dozens of requests,
/// shorter than the bursts of demand.
const DEMAND_PERIOD_SECONDS: f64 = 1.0;
/// The same for late requests, whose timeouts are longer than the bursts.
const LATE_DEMAND_PERIOD_SECONDS: f64 = 5.0;
/// Shortest time over which a rate of arriving work is computed: some dozens of requests.
const MIN_DEMAND_SECONDS: f64 = 0.3;
/// Smallest fraction of the capacity that is assumed to be left by work that is served first.
/// Under a lasting overload the estimate of the rate varies around the capacity, and 3% of it
/// serve a late request after its timeout.
const MIN_FREE_FRACTION: f64 = 0.03;
/// Interval at which queued requests are checked for those that can no longer be served: a
/// twentieth of the shortest usual target latency.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Number of highest priorities for which instances keep the reports of connection owners.
const TRACKED_LEVELS: usize = 4;
/// Age up to which a report of a connection owner is used; then one request finds out the state
/// of the queue.
const REPORT_TTL: Duration = Duration::from_millis(250);

new_key_type! {
    /// Identifies a permit in use.
    pub struct PermitKey;
}

/// Origin of a request, by which it is ordered and its hold time is estimated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestKind<T> {
    /// Priority.
    pub level: PriorityLevel,
    /// Team.
    pub team: T,
    /// Service class.
    pub class: ServiceClass,
}

/// Times by which a request has to start.
#[derive(Clone, Copy, Debug)]
pub struct StartWindow {
    /// Latest start with which the request can meet its target latency.
    pub in_time: Instant,
    /// Time by which a late answer must be complete, or `None` if it has no value.
    pub answer_deadline: Option<Instant>,
}

impl StartWindow {
    /// Returns the window of a request whose late answer has no value.
    pub fn in_time(in_time: Instant) -> Self {
        Self { in_time, answer_deadline: None }
    }
}

/// Shortest waits that any new request of a priority can expect, whatever its team.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WaitFloor {
    /// Wait of a request that can be in time.
    pub in_time: Duration,
    /// Wait of a request in the late band.
    pub late: Duration,
}

/// What an instance knows of the queue of another instance, from the replies to its calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct WaitFloorView {
    reports: [Option<(WaitFloor, Instant)>; TRACKED_LEVELS],
}

impl WaitFloorView {
    /// Records the report about a priority; low priorities are not tracked.
    pub fn record(&mut self, level: PriorityLevel, floor: WaitFloor, now: Instant) {
        if let Some(report) = self.reports.get_mut(level as usize) {
            *report = Some((floor, now));
        }
    }

    /// Returns the shortest waits that a request of a priority can expect now.
    ///
    /// A lower priority waits at least as long as a higher one. A queue that gets no more requests
    /// drains as fast as time passes, so the age of a report is subtracted.
    pub fn floor(&self, level: PriorityLevel, now: Instant) -> WaitFloor {
        let mut floor = WaitFloor::default();
        for (reported, at) in self.reports.iter().take(level as usize + 1).flatten() {
            let age = now.saturating_duration_since(*at);
            if age < REPORT_TTL {
                floor.in_time = floor.in_time.max(reported.in_time.saturating_sub(age));
                floor.late = floor.late.max(reported.late.saturating_sub(age));
            }
        }
        floor
    }

    /// Returns whether a request of a priority cannot start within its window, in either band.
    pub fn rules_out(&self, level: PriorityLevel, window: StartWindow, now: Instant) -> bool {
        let floor = self.floor(level, now);
        now + floor.in_time > window.in_time
            && window.answer_deadline.is_none_or(|deadline| now + floor.late > deadline)
    }
}

/// Permit in use.
#[derive(Clone, Copy, Debug)]
struct RunningRequest<T> {
    kind: RequestKind<T>,
    started_at: Instant,
    /// Sum of the delays of the event loop before the start.
    delayed_before: Duration,
}

/// Queued request.
#[derive(Clone, Debug)]
struct QueuedRequest<T, R> {
    kind: RequestKind<T>,
    request: R,
    in_time: Instant,
    /// Latest start in the late band, if the request may enter it.
    latest_start: Option<Instant>,
    cannot_be_served: bool,
}

/// Rates at which admitted work arrives.
#[derive(Clone, Copy, Debug, Default)]
struct DemandMeter {
    /// Hold time that arrived, in seconds, weighted by its age over [`DEMAND_PERIOD_SECONDS`].
    recent: f64,
    /// The same over [`LATE_DEMAND_PERIOD_SECONDS`].
    lasting: f64,
    /// Times of the first and of the last arrival.
    span: Option<(Instant, Instant)>,
}

impl DemandMeter {
    /// Returns the rate over `period` seconds, in seconds of hold time per second.
    fn rate(&self, weighted: f64, period: f64, now: Instant) -> f64 {
        let Some((first_at, last_at)) = self.span else {
            return 0.0;
        };
        let age = now.saturating_duration_since(last_at).as_secs_f64();
        let elapsed = now.saturating_duration_since(first_at).as_secs_f64();
        // Without this, the rate would be too low in the first period.
        let weight = period * (1.0 - (-elapsed.max(MIN_DEMAND_SECONDS) / period).exp());
        weighted * (-age / period).exp() / weight
    }

    /// Returns whether the last arrival still counts for the recent rate.
    fn is_recent(&self, now: Instant) -> bool {
        let age = |(_, last_at): (Instant, Instant)| now.saturating_duration_since(last_at);
        self.span.is_some_and(|span| age(span).as_secs_f64() < 4.0 * DEMAND_PERIOD_SECONDS)
    }

    fn recent_rate(&self, now: Instant) -> f64 {
        self.rate(self.recent, DEMAND_PERIOD_SECONDS, now)
    }

    fn lasting_rate(&self, now: Instant) -> f64 {
        self.rate(self.lasting, LATE_DEMAND_PERIOD_SECONDS, now)
    }

    fn record(&mut self, hold_seconds: f64, now: Instant) {
        let (first_at, last_at) = self.span.unwrap_or((now, now));
        let age = now.saturating_duration_since(last_at).as_secs_f64();
        self.recent = self.recent * (-age / DEMAND_PERIOD_SECONDS).exp() + hold_seconds;
        self.lasting = self.lasting * (-age / LATE_DEMAND_PERIOD_SECONDS).exp() + hold_seconds;
        self.span = Some((first_at, now));
    }
}

/// Rate at which an endpoint works off its queue.
#[derive(Clone, Copy, Debug)]
struct ServicePace {
    permits: f64,
    /// Mean time until a permit that is in use is released, over that of one permit, in seconds.
    remaining: f64,
    /// Factor by which the endpoint is slower than its samples tell.
    slowdown: f64,
    anticipates: bool,
}

impl ServicePace {
    /// Returns the expected wait behind `work` seconds of hold time while requests that are served
    /// first arrive with `demand`; at most [`MAX_EXPECTED_WAIT`].
    fn wait(&self, work: f64, demand: f64) -> Duration {
        let mut seconds = (work + self.remaining) / self.permits;
        if self.anticipates {
            seconds *= self.slowdown / (1.0 - demand / self.permits).max(MIN_FREE_FRACTION);
        }
        Duration::from_secs_f64(seconds.min(MAX_EXPECTED_WAIT.as_secs_f64()))
    }
}

/// Returns the part of a priority's own demand that is served before the request at position
/// `round` of its team: requests that arrive later at earlier positions of other teams.
fn overtaking_fraction(round: usize) -> f64 {
    round as f64 / (round + 1) as f64
}

/// Queued requests of one priority.
#[derive(Clone, Debug)]
struct QueueLevel<T, R> {
    in_time: FairQueue<T, QueuedRequest<T, R>>,
    /// Late requests in the order of their latest start.
    late: VecDeque<QueuedRequest<T, R>>,
    demand: DemandMeter,
    /// Part of `demand` of each team that used the queue lately.
    team_demand: HashMap<T, DemandMeter>,
}

impl<T: Copy + Eq + Hash, R> QueueLevel<T, R> {
    fn new() -> Self {
        Self {
            in_time: FairQueue::new(usize::MAX),
            late: VecDeque::new(),
            demand: DemandMeter::default(),
            team_demand: HashMap::new(),
        }
    }

    fn waiting(&self) -> usize {
        self.in_time.waiting() + self.late.len()
    }

    /// Removes the late request that is served next: one that can still be in time after all, or
    /// the one with the earliest deadline.
    fn pop_late(&mut self, now: Instant) -> Option<QueuedRequest<T, R>> {
        let index = self.late.iter().position(|late| now < late.in_time).unwrap_or(0);
        self.late.remove(index)
    }

    fn push_late(&mut self, request: QueuedRequest<T, R>) {
        let index = self.late.partition_point(|other| other.latest_start <= request.latest_start);
        self.late.insert(index, request);
    }
}

/// Permits to execute requests on an endpoint, and the requests queued for a permit.
#[derive(Clone, Debug)]
pub struct PriorityQueue<T, R> {
    capacity: usize,
    running: SlotMap<PermitKey, RunningRequest<T>>,
    service_times: ServiceTimes,
    levels: BTreeMap<PriorityLevel, QueueLevel<T, R>>,
    /// The estimates include requests that are expected to arrive, and queued requests that can no
    /// longer be served are refused.
    anticipates: bool,
    checked_at: Option<Instant>,
    /// Delays of the event loop that reads the answers, which do not count as hold time.
    turns: TurnMeter,
}

impl<T: Copy + Eq + Hash, R> PriorityQueue<T, R> {
    /// Creates a queue for `capacity` permits.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            running: SlotMap::with_key(),
            service_times: ServiceTimes::default(),
            levels: BTreeMap::new(),
            anticipates: false,
            checked_at: None,
            turns: TurnMeter::default(),
        }
    }

    /// Begins to measure the delays of the event loop that reads the answers; returns false if that
    /// had begun.
    pub fn begin_turns(&mut self, now: Instant) -> bool {
        self.turns.begin(now)
    }

    /// Records a turn of the event loop; returns whether the next one is needed, as requests are
    /// queued.
    pub fn record_turn(&mut self, now: Instant) -> bool {
        let is_last = self.waiting_up_to(PriorityLevel::MAX) == 0;
        self.turns.record_turn(is_last, now);
        !is_last
    }

    /// Returns for how long a permit has been held, without the delays of the event loop.
    fn held(&self, running: &RunningRequest<T>, now: Instant) -> Duration {
        let delayed = self.turns.delayed(now).saturating_sub(running.delayed_before);
        now.saturating_duration_since(running.started_at).saturating_sub(delayed)
    }

    /// Makes the queue expect further arrivals of higher priority, and refuse queued requests as
    /// soon as they can no longer be served.
    pub fn with_anticipation(mut self, anticipates: bool) -> Self {
        self.anticipates = anticipates;
        self
    }

    /// Changes the number of permits; permits in use beyond it are not revoked.
    pub fn resize(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Returns the number of permits in use.
    pub fn in_use(&self) -> usize {
        self.running.len()
    }

    /// Returns the hold times observed at the endpoint.
    pub fn service_times(&self) -> &ServiceTimes {
        &self.service_times
    }

    /// Returns the number of requests queued at the priority `level` or a higher one.
    pub fn waiting_up_to(&self, level: PriorityLevel) -> usize {
        self.levels.range(..=level).map(|(_, queue)| queue.waiting()).sum()
    }

    /// Returns the number of queued requests that can be in time, at `level` or a higher priority.
    fn in_time_up_to(&self, level: PriorityLevel) -> usize {
        self.levels.range(..=level).map(|(_, queue)| queue.in_time.waiting()).sum()
    }

    /// Returns the expected wait of a request of `level` that arrives now, behind all queued
    /// requests of this and higher priorities, whatever its team.
    pub fn expected_wait(&self, level: PriorityLevel, now: Instant) -> Duration {
        if self.is_free_for(level) {
            return Duration::ZERO;
        }
        let queued = self.levels.range(..=level).flat_map(|(_, queue)| queue.in_time.requests());
        self.pace(now).wait(self.work_of(queued, now), self.demand_above(level, now))
    }

    /// Returns the expected wait of a request that arrives now, if it can be in time.
    ///
    /// Teams of one priority are served round robin, so a team that floods the queue does not delay
    /// the others by its whole backlog.
    pub fn expected_team_wait(&self, kind: &RequestKind<T>, now: Instant) -> Duration {
        if self.is_free_for(kind.level) {
            return Duration::ZERO;
        }
        let mut demand = self.demand_above(kind.level, now);
        if let Some(queue) = self.levels.get(&kind.level) {
            let round = queue.in_time.waiting_of(kind.team);
            // Requests of the same team do not overtake each other.
            let own = queue.team_demand.get(&kind.team);
            let own_rate = own.map_or(0.0, |own| own.recent_rate(now));
            let others = (queue.demand.recent_rate(now) - own_rate).max(0.0);
            demand += others * overtaking_fraction(round);
        }
        self.pace(now).wait(self.team_work(kind, now), demand)
    }

    /// Returns the time after which what is queued before a request that arrives now has started.
    ///
    /// A refused caller that returns then competes with those that arrive, as it would later.
    pub fn drain_time(&self, kind: &RequestKind<T>, now: Instant) -> Duration {
        self.pace(now).wait(self.team_work(kind, now), 0.0)
    }

    /// Returns the work that is queued before a request that arrives now.
    fn team_work(&self, kind: &RequestKind<T>, now: Instant) -> f64 {
        let same = self.levels.get(&kind.level).into_iter();
        let before = same.flat_map(|queue| queue.in_time.requests_before(kind.team));
        self.work_above(kind.level, now) + self.work_of(before, now)
    }

    /// Returns the shortest waits that any new request of `level` can expect.
    pub fn wait_floor(&self, level: PriorityLevel, now: Instant) -> WaitFloor {
        if self.is_free_for(PriorityLevel::MAX) {
            return WaitFloor::default();
        }
        let pace = self.pace(now);
        let mut floor = WaitFloor::default();
        if !self.is_free_for(level) {
            let same = self.levels.get(&level).into_iter();
            let first = same.flat_map(|queue| queue.in_time.first_requests());
            let work = self.work_above(level, now) + self.work_of(first, now);
            floor.in_time = pace.wait(work, self.demand_above(level, now));
        }
        let late = self.levels.range(..level).flat_map(|(_, queue)| &queue.late);
        let work = self.in_time_work(now) + self.work_of(late, now);
        floor.late = pace.wait(work, self.lasting_demand(now));
        floor
    }

    /// Returns whether a permit is free and no request of this or a higher priority that can be in
    /// time is queued.
    fn is_free_for(&self, level: PriorityLevel) -> bool {
        self.in_use() < self.capacity && self.in_time_up_to(level) == 0
    }

    fn work_of<'a>(
        &self,
        requests: impl Iterator<Item = &'a QueuedRequest<T, R>>,
        now: Instant,
    ) -> f64
    where
        T: 'a,
        R: 'a,
    {
        requests.map(|queued| self.service_times.estimate(queued.kind.class, now).mean).sum()
    }

    fn work_above(&self, level: PriorityLevel, now: Instant) -> f64 {
        let queued = self.levels.range(..level).flat_map(|(_, queue)| queue.in_time.requests());
        self.work_of(queued, now)
    }

    fn in_time_work(&self, now: Instant) -> f64 {
        self.work_of(self.levels.values().flat_map(|queue| queue.in_time.requests()), now)
    }

    fn demand_above(&self, level: PriorityLevel, now: Instant) -> f64 {
        self.levels.range(..level).map(|(_, queue)| queue.demand.recent_rate(now)).sum()
    }

    fn lasting_demand(&self, now: Instant) -> f64 {
        self.levels.values().map(|queue| queue.demand.lasting_rate(now)).sum()
    }

    fn pace(&self, now: Instant) -> ServicePace {
        let is_full = self.in_use() >= self.capacity;
        ServicePace {
            permits: self.capacity.max(1) as f64,
            remaining: if is_full { self.mean_remaining(now) } else { 0.0 },
            slowdown: if is_full { self.slowdown(now) } else { 1.0 },
            anticipates: self.anticipates,
        }
    }

    /// Returns the mean remaining hold time of the permits in use, in seconds.
    fn mean_remaining(&self, now: Instant) -> f64 {
        let remaining = |running: &RunningRequest<T>| {
            self.service_times.estimate(running.kind.class, now).mean_remaining()
        };
        let total: f64 = self.running.values().map(remaining).sum();
        total / self.in_use().max(1) as f64
    }

    /// Returns the factor by which the endpoint is slower than its samples tell: more than 1 if
    /// all permits have been in use for longer than is usual for their classes.
    ///
    /// A member that stops answering yields no samples.
    fn slowdown(&self, now: Instant) -> f64 {
        let excess = |running: &RunningRequest<T>| {
            let age = self.held(running, now).as_secs_f64();
            let usual = self.service_times.estimate(running.kind.class, now).usual_maximum();
            age / usual.max(f64::MIN_POSITIVE)
        };
        let smallest = self.running.values().map(excess).reduce(f64::min);
        smallest.map_or(1.0, |smallest| smallest.clamp(1.0, 1e6))
    }

    /// Acquires a permit at once if one is free and no request is queued that is served before.
    pub fn try_acquire(&mut self, kind: RequestKind<T>, now: Instant) -> Option<PermitKey> {
        self.is_free_for(kind.level).then(|| {
            self.record_demand(&kind, now);
            self.start(kind, now)
        })
    }

    /// Acquires a permit beyond the capacity, for a transaction that already holds a connection.
    pub fn acquire_pinned(&mut self, kind: RequestKind<T>, now: Instant) -> PermitKey {
        self.record_demand(&kind, now);
        self.start(kind, now)
    }

    /// Queues a request, or refuses it because it is not expected to start in its window.
    pub fn push(
        &mut self,
        kind: RequestKind<T>,
        request: R,
        window: StartWindow,
        now: Instant,
    ) -> Result<(), QueueRefusal> {
        let expected_wait = self.expected_team_wait(&kind, now);
        let usual_hold =
            Duration::from_secs_f64(self.service_times.estimate(kind.class, now).usual_maximum());
        let latest_start =
            window.answer_deadline.and_then(|deadline| deadline.checked_sub(usual_hold));
        let queued = QueuedRequest {
            kind,
            request,
            in_time: window.in_time,
            latest_start,
            cannot_be_served: false,
        };
        if now + expected_wait <= window.in_time {
            let queue = self.levels.entry(kind.level).or_insert_with(QueueLevel::new);
            return queue.in_time.push(kind.team, queued, window.in_time, now);
        }
        if !self.can_be_served_late(&queued, now) {
            return Err(QueueRefusal::DeadlineExceeded { expected_wait });
        }
        self.levels.entry(kind.level).or_insert_with(QueueLevel::new).push_late(queued);
        Ok(())
    }

    /// Returns whether a request is expected to start in the late band before its latest start.
    fn can_be_served_late(&self, queued: &QueuedRequest<T, R>, now: Instant) -> bool {
        let Some(latest_start) = queued.latest_start.filter(|latest_start| *latest_start > now)
        else {
            return false;
        };
        let level = queued.kind.level;
        let higher = self.levels.range(..level).flat_map(|(_, queue)| &queue.late);
        let same = self.levels.get(&level).into_iter().flat_map(|queue| {
            queue.late.iter().take_while(|other| other.latest_start <= queued.latest_start)
        });
        let late_work = self.work_of(higher.chain(same), now);
        let work = self.in_time_work(now) + late_work;
        now + self.pace(now).wait(work, self.lasting_demand(now)) <= latest_start
    }

    /// Releases the permit of a request that ran.
    pub fn release(&mut self, permit: PermitKey, now: Instant) {
        let Some(running) = self.running.remove(permit) else {
            return;
        };
        let (kind, hold_time) = (running.kind, self.held(&running, now));
        self.service_times.record(kind.class, hold_time, now);
        if let Some(queue) = self.levels.get_mut(&kind.level) {
            queue.in_time.release(kind.team, hold_time);
        }
    }

    /// Releases the permit of a request that did not run, which tells nothing about hold times.
    pub fn cancel(&mut self, permit: PermitKey) {
        let Some(RunningRequest { kind, .. }) = self.running.remove(permit) else {
            return;
        };
        if let Some(queue) = self.levels.get_mut(&kind.level) {
            queue.in_time.cancel(kind.team);
        }
    }

    /// Removes the next request that may start and acquires a permit for it.
    ///
    /// Requests that can no longer be in time move to the late band; those that can no longer be
    /// served at all are moved to `refused`.
    pub fn pop(&mut self, now: Instant, refused: &mut Vec<R>) -> Option<(R, PermitKey)> {
        self.expire(now, refused);
        self.refuse_unservable(now, refused);
        if self.in_use() >= self.capacity {
            return None;
        }
        // Expired requests were removed above.
        let mut expired = Vec::new();
        let in_time =
            self.levels.values_mut().find_map(|queue| queue.in_time.pop(now, &mut expired));
        let next = match in_time {
            Some((_, queued)) => {
                self.record_demand(&queued.kind, now);
                queued
            }
            None => self.levels.values_mut().find_map(|queue| queue.pop_late(now))?,
        };
        let permit = self.start(next.kind, now);
        Some((next.request, permit))
    }

    /// Moves requests that can no longer be in time to the late band or to `refused`, and late ones
    /// past their latest start to `refused`.
    fn expire(&mut self, now: Instant, refused: &mut Vec<R>) {
        let mut expired = Vec::new();
        for queue in self.levels.values_mut() {
            queue.in_time.expire(now, &mut expired);
            while queue.late.front().is_some_and(|late| late.latest_start <= Some(now)) {
                refused.extend(queue.late.pop_front().map(|late| late.request));
            }
        }
        for queued in expired {
            if self.can_be_served_late(&queued, now)
                && let Some(queue) = self.levels.get_mut(&queued.kind.level)
            {
                queue.push_late(queued);
            } else {
                refused.push(queued.request);
            }
        }
    }

    /// Moves queued requests that can be served in neither band to `refused`: others of higher
    /// priority have arrived, the endpoint became slower, or it has fewer permits.
    ///
    /// Requests that may still arrive do not count, because what is expected varies and a request
    /// that has waited has a better claim than one that arrives.
    fn refuse_unservable(&mut self, now: Instant, refused: &mut Vec<R>) {
        let is_due =
            self.checked_at.is_none_or(|at| now.saturating_duration_since(at) >= CHECK_INTERVAL);
        if !self.anticipates || !is_due || self.waiting_up_to(PriorityLevel::MAX) == 0 {
            return;
        }
        self.checked_at = Some(now);
        let pace = self.pace(now);
        let in_time_work = self.in_time_work(now);
        // In the late band a request is served after all that can be in time.
        let first_late = now + pace.wait(in_time_work, 0.0);
        let times = &self.service_times;
        let mut ahead = 0.0;
        let mut unservable = Vec::new();
        for queue in self.levels.values_mut() {
            queue.in_time.visit_rounds(|queued| {
                let in_time = now + pace.wait(ahead, 0.0) <= queued.in_time;
                let late = queued.latest_start.is_some_and(|latest| first_late <= latest);
                queued.cannot_be_served = !in_time && !late;
                if in_time {
                    ahead += times.estimate(queued.kind.class, now).mean;
                }
            });
            queue.in_time.remove_if(|queued| queued.cannot_be_served, &mut unservable);
        }
        let mut late_ahead = in_time_work;
        for queue in self.levels.values_mut() {
            let mut index = 0;
            while let Some(queued) = queue.late.get(index) {
                let start = now + pace.wait(late_ahead, 0.0);
                if queued.latest_start.is_some_and(|latest| start <= latest) {
                    late_ahead += times.estimate(queued.kind.class, now).mean;
                    index += 1;
                } else {
                    unservable.extend(queue.late.remove(index));
                }
            }
        }
        refused.extend(unservable.into_iter().map(|queued| queued.request));
    }

    fn record_demand(&mut self, kind: &RequestKind<T>, now: Instant) {
        if !self.anticipates {
            return;
        }
        let hold_seconds = self.service_times.estimate(kind.class, now).mean;
        let queue = self.levels.entry(kind.level).or_insert_with(QueueLevel::new);
        queue.demand.record(hold_seconds, now);
        queue.team_demand.retain(|_, demand| demand.is_recent(now));
        queue.team_demand.entry(kind.team).or_default().record(hold_seconds, now);
    }

    fn start(&mut self, kind: RequestKind<T>, now: Instant) -> PermitKey {
        let delayed_before = self.turns.delayed(now);
        self.running.insert(RunningRequest { kind, started_at: now, delayed_before })
    }
}
