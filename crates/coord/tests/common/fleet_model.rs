//! Model of one service: instances that place reads on three members by their own views.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::{Duration, Instant};

use coord::connection_reuse::{ConnectionHints, ConnectionReuse, kept_connections};
use coord::endpoint_health::{
    EndpointHealth, HealthView, ServiceBaseline, TeamConnections, sample_duration,
};
use coord::placement::{
    EndpointView, PlacedRead, RankedCandidate, ReadCandidate, connection_limit,
    order_by_expected_time,
};
use coord::rendezvous::{pair_weight, weight_of};
use coord::replica_lag::RequiredPosition;
use coord::service_time::ServiceClass;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use state::position::LogPosition;

/// Members of the service; the first leads it, and each is in the zone of its index.
pub const MEMBER_COUNT: usize = 3;
/// Kinds of requests: mean service time and target latency, in milliseconds.
const KINDS: [(f64, u64); 3] = [(3.0, 100), (15.0, 600), (9.0, 200)];
const HOP: Duration = Duration::from_micros(700);
const MAX_ATTEMPTS: usize = 3;
const TEAM_COUNT: usize = 84;
/// Time for which opening a connection takes a slot.
const OPEN_TIME: Duration = Duration::from_millis(12);
const UPKEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Behaviour of a member at a time since the start: factor of its service times, share of failed
/// requests, and additional network delay from each zone.
#[derive(Clone, Copy, Default)]
pub struct MemberFault {
    pub slowness: f64,
    pub failure_share: f64,
    pub network_delay: [Duration; MEMBER_COUNT],
}

/// Load and faults of a run.
pub struct FleetLoad {
    pub by_expected_time: bool,
    pub instances: usize,
    pub requests_per_second: f64,
    /// Share of the requests that arrive in each zone.
    pub zone_shares: [f64; MEMBER_COUNT],
    pub slots: usize,
    /// Connections that each member accepts; `None` if opening one costs nothing.
    pub connections: Option<usize>,
    /// Share of the requests that only the leader runs.
    pub leader_share: f64,
    pub duration: Duration,
    pub fault: fn(member: usize, at: Duration) -> MemberFault,
}

impl Default for FleetLoad {
    fn default() -> Self {
        Self {
            by_expected_time: true,
            instances: 84,
            requests_per_second: 134.0,
            zone_shares: [1.0 / 3.0; 3],
            slots: 4,
            connections: None,
            leader_share: 0.0,
            duration: Duration::from_secs(60),
            fault: |_, _| MemberFault { slowness: 1.0, ..MemberFault::default() },
        }
    }
}

/// Figures of a run.
#[derive(Default)]
pub struct FleetResult {
    pub requests: usize,
    /// Requests answered within their target latency.
    pub in_time: usize,
    /// Requests that failed on every attempt.
    pub failed: usize,
    /// Attempts by member.
    pub attempts: [usize; MEMBER_COUNT],
    /// Attempts by member in each second.
    pub by_second: Vec<[usize; MEMBER_COUNT]>,
    pub cross_zone: usize,
    pub total_latency: Duration,
    /// Longest wait for a slot.
    pub max_wait: Duration,
    /// Connections opened to each member.
    pub opened: [usize; MEMBER_COUNT],
    /// Open connections of each member at each upkeep.
    pub open_counts: Vec<[usize; MEMBER_COUNT]>,
}

impl FleetResult {
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.requests as f64
    }

    pub fn attempt_share(&self, member: usize) -> f64 {
        self.attempts[member] as f64 / self.attempts.iter().sum::<usize>() as f64
    }

    pub fn mean_latency(&self) -> Duration {
        self.total_latency / self.requests as u32
    }
}

struct FleetInstance {
    zone: usize,
    views: [EndpointView; MEMBER_COUNT],
    baseline: ServiceBaseline,
    hints: ConnectionHints,
}

/// Connections of a member at its connection owner.
#[derive(Clone, Default)]
struct ModelPool {
    /// Team and time of return, in the order of return.
    idle: Vec<(u64, Instant)>,
    open_count: usize,
    reuse: ConnectionReuse,
}

impl ModelPool {
    /// Takes a connection; returns whether the team had one.
    fn acquire(
        &mut self,
        by_expected_time: bool,
        max_open: usize,
        team: u64,
        now: Instant,
    ) -> bool {
        self.reuse.record_use(team, now);
        if let Some(index) = self.idle.iter().rposition(|idle| idle.0 == team) {
            self.idle.remove(index);
            return true;
        }
        if self.open_count >= max_open && !self.idle.is_empty() {
            let teams = self.idle.iter().map(|idle| idle.0);
            let least_useful = self.reuse.least_useful(teams, now).filter(|_| by_expected_time);
            self.idle.remove(least_useful.unwrap_or(0));
            self.open_count -= 1;
        }
        self.open_count += 1;
        false
    }

    /// Closes idle connections as the upkeep of an instance does.
    fn close_idle(&mut self, by_expected_time: bool, max_open: usize, now: Instant) {
        if !by_expected_time {
            let last_use: HashMap<u64, Instant> = self.idle.iter().copied().collect();
            let before = self.idle.len();
            self.idle.retain(|(team, since)| {
                let is_surplus = last_use[team] > *since;
                now - *since <= Duration::from_secs(if is_surplus { 1 } else { 4 })
            });
            self.open_count -= before - self.idle.len();
            return;
        }
        let kept = kept_connections(max_open);
        loop {
            let teams = self.idle.iter().map(|idle| idle.0);
            let Some(index) = self.reuse.to_close(teams, self.open_count, kept, now) else {
                break;
            };
            self.idle.remove(index);
            self.open_count -= 1;
        }
    }
}

#[derive(Clone, Copy)]
struct Request {
    instance: usize,
    kind: usize,
    team: u64,
    needs_leader: bool,
    had_connection: bool,
    arrived_at: Duration,
    tried: [bool; MEMBER_COUNT],
}

enum Step {
    Upkeep,
    Place(Request),
    /// The member, the time of sending, the time of handling and whether the member failed.
    Answer(Request, usize, Duration, Duration, bool),
}

/// Runs a load and returns its figures.
pub fn run_fleet(load: &FleetLoad, seed: u64) -> FleetResult {
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(seed);
    let new_instance = |index: usize| FleetInstance {
        zone: index % MEMBER_COUNT,
        views: Default::default(),
        baseline: ServiceBaseline::default(),
        hints: ConnectionHints::default(),
    };
    let mut pools = vec![ModelPool::default(); MEMBER_COUNT];
    let max_open = load.connections.map(|connections| connection_limit(connections, 1.0));
    // A few of the teams are large: the weight of the nth is n to the power of -1.2. With it the rule
    // for an even load opens connections for 15% of the requests, as measured with 84 teams.
    let team_weights: Vec<f64> =
        (1..=TEAM_COUNT).map(|rank| 1.0 / (rank as f64).powf(1.2)).collect();
    let total_weight: f64 = team_weights.iter().sum();
    let mut instances: Vec<FleetInstance> = (0..load.instances).map(new_instance).collect();
    let mut health: [EndpointHealth; MEMBER_COUNT] = Default::default();
    let mut slots = vec![vec![Duration::ZERO; load.slots]; MEMBER_COUNT];
    let mut steps = BinaryHeap::new();
    let mut bodies = Vec::new();
    let mut result = FleetResult::default();
    let mut at = Duration::ZERO;
    while at < load.duration {
        at += exponential(&mut rng, 1.0 / load.requests_per_second);
        let mut zone_draw: f64 = rng.random();
        let zone = load.zone_shares.iter().position(|share| {
            zone_draw -= share;
            zone_draw < 0.0
        });
        let in_zone = rng.random_range(0..load.instances / MEMBER_COUNT) * MEMBER_COUNT;
        let request = Request {
            instance: in_zone + zone.unwrap_or_default(),
            kind: rng.random_range(0..KINDS.len()),
            team: draw_team(&team_weights, total_weight, &mut rng),
            needs_leader: rng.random_bool(load.leader_share),
            had_connection: true,
            arrived_at: at,
            tried: [false; MEMBER_COUNT],
        };
        steps.push(Reverse((at, bodies.len())));
        bodies.push(Step::Place(request));
    }
    result.requests = bodies.len();
    for tick in 1..=(load.duration.as_millis() / UPKEEP_INTERVAL.as_millis()) as u32 {
        steps.push(Reverse((tick * UPKEEP_INTERVAL, bodies.len())));
        bodies.push(Step::Upkeep);
    }
    result.by_second = vec![Default::default(); load.duration.as_secs() as usize + 60];
    while let Some(Reverse((at, index))) = steps.pop() {
        let now = start + at;
        let next = match bodies[index] {
            Step::Upkeep => {
                if let Some(max_open) = max_open {
                    pools
                        .iter_mut()
                        .for_each(|pool| pool.close_idle(load.by_expected_time, max_open, now));
                }
                result.open_counts.push(std::array::from_fn(|member| pools[member].open_count));
                continue;
            }
            Step::Place(mut request) => {
                let instance = &instances[request.instance];
                let member = place(load.by_expected_time, instance, &request, &mut rng, now);
                if let Some(max_open) = max_open {
                    request.had_connection =
                        pools[member].acquire(load.by_expected_time, max_open, request.team, now);
                    result.opened[member] += usize::from(!request.had_connection);
                }
                let opening = if request.had_connection { Duration::ZERO } else { OPEN_TIME };
                request.tried[member] = true;
                let fault = (load.fault)(member, at);
                let is_local = instance.zone == member;
                let delay = if is_local { Duration::ZERO } else { HOP }
                    + fault.network_delay[instance.zone];
                let received_at = at + delay;
                let (mean_ms, _) = KINDS[request.kind];
                let service = exponential(&mut rng, mean_ms / 1_000.0).mul_f64(fault.slowness);
                let slot = slots[member].iter_mut().min().expect("a member has slots");
                let started_at = received_at.max(*slot);
                *slot = started_at + opening + service;
                let failed = rng.random_bool(fault.failure_share);
                result.attempts[member] += 1;
                result.by_second[at.as_secs() as usize][member] += 1;
                result.cross_zone += usize::from(!is_local);
                result.max_wait = result.max_wait.max(started_at - received_at);
                let handling = *slot - received_at;
                if !failed {
                    health[member].record_time(class_of(request.kind), service, start + *slot);
                }
                let answer = Step::Answer(request, member, at, handling, failed);
                (received_at + handling + delay, answer)
            }
            Step::Answer(request, member, sent_at, handling, failed) => {
                health[member].record_outcome(failed, now);
                if max_open.is_some() {
                    pools[member].idle.push((request.team, now));
                }
                let free_at = slots[member].iter().min().copied().unwrap_or_default();
                let instance = &mut instances[request.instance];
                let view = &mut instance.views[member];
                view.queue_delay = Some((free_at.saturating_sub(at), now));
                view.position = Some((LogPosition::new(1, 1), now));
                if load.by_expected_time {
                    let class = class_of(request.kind);
                    let sample = {
                        let is_frequent = pools[member].reuse.is_frequent(request.team, 0);
                        let team =
                            TeamConnections { had_connection: request.had_connection, is_frequent };
                        health[member].sample(class, team, handling, now)
                    };
                    let handled = sample_duration(sample.handling_time);
                    let network = (at - sent_at).saturating_sub(handled);
                    let key = connection_key(request.team, member);
                    if max_open.is_some() {
                        instance.hints.record_connection(key, request.had_connection, now);
                        if member != 0 {
                            instance.hints.record_frequent(request.team, sample.is_frequent, now);
                        }
                    }
                    let baseline = &mut instance.baseline;
                    HealthView::update(&mut view.health, baseline, class, sample, network, now);
                }
                let tried = request.tried.iter().filter(|tried| **tried).count();
                if failed && tried < MAX_ATTEMPTS {
                    (at, Step::Place(request))
                } else {
                    let latency = at - request.arrived_at;
                    let target = Duration::from_millis(KINDS[request.kind].1);
                    result.failed += usize::from(failed);
                    result.in_time += usize::from(!failed && latency <= target);
                    result.total_latency += latency;
                    continue;
                }
            }
        };
        steps.push(Reverse((next.0, bodies.len())));
        bodies.push(next.1);
    }
    result
}

fn draw_team(weights: &[f64], total: f64, rng: &mut StdRng) -> u64 {
    let mut draw = rng.random::<f64>() * total;
    let team = weights.iter().position(|weight| {
        draw -= weight;
        draw < 0.0
    });
    weight_of(&[team.unwrap_or_default() as u8])
}

fn class_of(kind: usize) -> ServiceClass {
    ServiceClass::new(0, kind as u32, Duration::ZERO)
}

fn connection_key(team: u64, member: usize) -> u64 {
    pair_weight(team, weight_of(&[member as u8]))
}

/// Returns the member that an instance sends a read to.
fn place(
    by_expected_time: bool,
    instance: &FleetInstance,
    request: &Request,
    rng: &mut StdRng,
    now: Instant,
) -> usize {
    let required = (!request.needs_leader).then(|| LogPosition::new(1, 1));
    let candidate = |member: usize| ReadCandidate {
        view: instance.views[member],
        same_zone: instance.zone == member,
        leads: member == 0,
    };
    let order = if by_expected_time {
        let uneven = |member| {
            let key = connection_key(request.team, member);
            RankedCandidate::new(candidate(member), key, instance.hints.get(key, request.team, now))
        };
        let mut candidates: [RankedCandidate; MEMBER_COUNT] = std::array::from_fn(uneven);
        let service_time = instance.baseline.service_time(class_of(request.kind));
        let required = required.map(|position| RequiredPosition { position, reached_at: now });
        let read = PlacedRead { required, service_time, draw: rng.random() };
        order_by_expected_time(&mut candidates, &read, now)
    } else {
        let candidates: [ReadCandidate; MEMBER_COUNT] = std::array::from_fn(candidate);
        order_by_queue_and_zone(&candidates, required, now)
    };
    order.into_iter().find(|member| !request.tried[*member]).unwrap_or(0)
}

/// Orders the candidates of a read by reported queue delay and zone only, the leader last, for
/// comparison.
fn order_by_queue_and_zone(
    candidates: &[ReadCandidate],
    required: Option<LogPosition>,
    now: Instant,
) -> Vec<usize> {
    let cost = |index: &usize| {
        let ReadCandidate { view, same_zone, leads } = candidates[*index];
        let report = view.queue_delay.filter(|(_, at)| now - *at <= Duration::from_millis(250));
        let delay = report.map_or(Duration::ZERO, |(wait, at)| wait.saturating_sub((now - at) / 2));
        let zone_ms = if same_zone { 0 } else { 6 };
        let leader_ms = if leads { 12 } else { 0 };
        (view.failed_recently(now), delay + Duration::from_millis(zone_ms + leader_ms))
    };
    let can_serve = |index: &usize| candidates[*index].leads || required.is_some();
    let mut order: Vec<usize> = (0..candidates.len()).filter(can_serve).collect();
    order.sort_by_key(cost);
    order
}

/// Returns a random time from an exponential distribution with this mean in seconds.
pub fn exponential(rng: &mut StdRng, mean_seconds: f64) -> Duration {
    let draw: f64 = rng.random();
    Duration::from_secs_f64(-mean_seconds * (1.0 - draw).ln())
}
