//! Choice of the endpoint that executes a statement, and limits of its connections.
//!
//! Slots are few and replicas lag at different times. A read goes to the endpoint that is expected
//! to answer first, by queue delay, zone distance and time until it has the required position.

use std::time::{Duration, Instant};

use state::position::LogPosition;

use crate::connection_reuse::ConnectionHint;
use crate::endpoint_health::HealthView;
use crate::priority::WaitFloorView;
use crate::replica_lag::{ReplicaLag, RequiredPosition};

/// Time for which an endpoint is tried last after it failed.
const FAILURE_BACKOFF: Duration = Duration::from_millis(400);
/// Time for which a member is tried last for writes after it refused to lead.
const NOT_LEADER_TTL: Duration = Duration::from_millis(250);
/// Cost of a hop to another availability zone beyond its latency, because cross-zone traffic is
/// expensive.
const CROSS_ZONE_COST: Duration = Duration::from_millis(6);

/// View that an instance has of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointView {
    /// Last position reached by the endpoint's reads, and the time of the answer.
    pub position: Option<(LogPosition, Instant)>,
    /// Queue delay that the connection owner reported last, and the time of the report.
    pub queue_delay: Option<(Duration, Instant)>,
    /// Shortest waits that the connection owner reported last.
    pub wait_floor: WaitFloorView,
    /// Time of the last failure to reach the endpoint.
    pub failed_at: Option<Instant>,
    /// Time at which the endpoint last refused to lead.
    pub not_leader_at: Option<Instant>,
    /// Speed and failures; `None` until a connection owner has reported them.
    pub health: Option<HealthView>,
    /// Replication lag when the endpoint last reported its position.
    pub lag: Option<ReplicaLag>,
}

impl EndpointView {
    /// Returns whether the endpoint failed so recently that it is tried last.
    pub fn failed_recently(&self, now: Instant) -> bool {
        happened_within(self.failed_at, FAILURE_BACKOFF, now)
    }

    /// Returns whether the endpoint refused to lead so recently that writes try it last.
    pub fn refused_to_lead_recently(&self, now: Instant) -> bool {
        happened_within(self.not_leader_at, NOT_LEADER_TTL, now)
    }
}

fn happened_within(at: Option<Instant>, span: Duration, now: Instant) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(at) < span)
}

/// Endpoint that may serve a read.
#[derive(Clone, Copy, Debug)]
pub struct ReadCandidate {
    /// View of the endpoint.
    pub view: EndpointView,
    /// The endpoint is in the caller's availability zone.
    pub same_zone: bool,
    /// The endpoint leads its service.
    pub leads: bool,
}

/// Latency and slot time of a new connection: 12 ms of each.
const CONNECTION_COST: Duration = Duration::from_millis(24);
/// Expected share of that cost at an endpoint that usually has a connection of the team: the
/// preferred replica, and each replica for a team that sends often.
const LIKELY_COST_SHARE: f64 = 0.1;
/// Expected share of that cost at another endpoint.
const OTHER_COST_SHARE: f64 = 0.75;
/// Cost of a failed attempt beyond its time: the retry elsewhere, which also takes a slot there.
const FAILED_ATTEMPT_COST: Duration = Duration::from_millis(100);
/// Largest share of failures that is counted; the cost grows without bound towards 1.
const MAX_FAILURE_SHARE: f64 = 0.9;
/// Age from which a reported queue delay is ignored. Over 80 instances send one or two requests a second
/// each to a service, so a younger report is rare.
const QUEUE_DELAY_TTL: Duration = Duration::from_secs(1);
/// Largest penalty for slowness and failures of the members that must not be left out: about the
/// cost of reading from the leader instead, so that they share the load with it.
const MAX_KEPT_PENALTY: Duration = Duration::from_millis(30);
/// Exponent of the ratio of expected times in the choice between the best two, where the times are
/// certain. With 8, a random 3% of the reads left their team's preferred replica, most of which opened
/// a connection.
const CERTAIN_CHOICE_EXPONENT: f64 = 16.0;
/// The same where they consist of queue delays only: all instances that know of a free member use it
/// at once, so the difference is gone before they learn of each other.
const QUEUE_CHOICE_EXPONENT: f64 = 0.5;

impl EndpointView {
    /// Returns the expected wait until the endpoint's reads reach `required`.
    pub fn catch_up_wait(&self, required: Option<RequiredPosition>, now: Instant) -> Duration {
        let (Some(required), Some(lag)) = (required, self.lag) else {
            return Duration::ZERO;
        };
        match self.position {
            Some((position, _)) if position >= required.position => Duration::ZERO,
            _ => lag.catch_up_wait(required.reached_at, now),
        }
    }

    /// Returns the last reported queue delay in seconds, less the more the older the report is.
    pub fn expected_queue_delay(&self, now: Instant) -> f64 {
        let Some((wait, at)) = self.queue_delay else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        wait.as_secs_f64() * (1.0 - age / QUEUE_DELAY_TTL.as_secs_f64()).max(0.0)
    }
}

/// Endpoint that may serve a read, with what counts for its rank.
#[derive(Clone, Copy, Debug)]
pub struct RankedCandidate {
    /// Endpoint.
    pub candidate: ReadCandidate,
    /// Rendezvous weight of the team and the endpoint; the replica with the highest is preferred.
    pub affinity: u64,
    /// What is known of the team's connection to the endpoint.
    pub connection: ConnectionHint,
    expected: ExpectedTime,
}

impl RankedCandidate {
    /// Creates a candidate.
    pub fn new(candidate: ReadCandidate, affinity: u64, connection: ConnectionHint) -> Self {
        Self { candidate, affinity, connection, expected: ExpectedTime::default() }
    }

    /// Returns the expected wait until the endpoint has the position that a read requires.
    pub fn catch_up_wait(&self, required: Option<RequiredPosition>, now: Instant) -> Duration {
        let ReadCandidate { view, leads, .. } = &self.candidate;
        if *leads { Duration::ZERO } else { view.catch_up_wait(required, now) }
    }

    /// Returns the expected time to the answer that the last ordering computed.
    pub fn expected_time(&self) -> Duration {
        Duration::from_secs_f64(self.expected.total())
    }
}

/// Parts of the expected time to an answer, in seconds.
#[derive(Clone, Copy, Debug, Default)]
struct ExpectedTime {
    /// Service time of a usual member, connection, network, lag and reserve of the leader.
    base: f64,
    queue: f64,
    /// Additional time for slowness and failures.
    penalty: f64,
    /// The candidate may be avoided for its penalty, however few reads it gets.
    is_avoidable: bool,
}

impl ExpectedTime {
    fn total(&self) -> f64 {
        self.base + self.queue + self.penalty
    }
}

/// Read that is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct PlacedRead {
    /// Position that a replica must have reached; `None` if only the leader can serve the read.
    pub required: Option<RequiredPosition>,
    /// Usual service time of the read's class.
    pub service_time: Duration,
    /// Random number from 0 to 1, of a seeded generator.
    pub draw: f64,
}

/// Returns the indices of the candidates from best to worst for a read, by the expected time to its
/// answer.
///
/// Handles members that are several times slower than others or fail part of their requests, demand
/// that moves to one zone, and many teams that compete for few connections. At most half of the
/// candidates are avoided for their health; the others keep a share of the reads. Between the best
/// two the choice is random by their expected times, so that instances which all know the same do
/// not all choose the same.
pub fn order_by_expected_time(
    candidates: &mut [RankedCandidate],
    read: &PlacedRead,
    now: Instant,
) -> Vec<usize> {
    let replicas = candidates.iter().filter(|candidate| !candidate.candidate.leads);
    let preferred = replicas.map(|candidate| candidate.affinity).max();
    for candidate in &mut *candidates {
        candidate.expected = expected_time(candidate, preferred, read, now);
    }
    cap_penalties(candidates, now);
    let can_serve = |index: &usize| candidates[*index].candidate.leads || read.required.is_some();
    let mut order: Vec<usize> = (0..candidates.len()).filter(can_serve).collect();
    order.sort_by(|left, right| {
        let key = |index: &usize| {
            let candidate = &candidates[*index];
            (candidate.candidate.view.failed_recently(now), candidate.expected.total())
        };
        let ((left_failed, left_time), (right_failed, right_time)) = (key(left), key(right));
        left_failed.cmp(&right_failed).then(left_time.total_cmp(&right_time))
    });
    if let [first, second, ..] = order[..]
        && chooses_second(&candidates[first], &candidates[second], read, now)
    {
        order.swap(0, 1);
    }
    order
}

fn expected_time(
    candidate: &RankedCandidate,
    preferred: Option<u64>,
    read: &PlacedRead,
    now: Instant,
) -> ExpectedTime {
    let ReadCandidate { view, same_zone, leads } = candidate.candidate;
    let is_preferred = !leads && preferred == Some(candidate.affinity);
    let connection_share = match candidate.connection {
        // A connection that writes keep open is not free for reads.
        _ if leads => OTHER_COST_SHARE,
        ConnectionHint::Open => 0.0,
        ConnectionHint::Likely => LIKELY_COST_SHARE,
        ConnectionHint::Unknown | ConnectionHint::Missing if is_preferred => LIKELY_COST_SHARE,
        ConnectionHint::Unknown => OTHER_COST_SHARE,
        ConnectionHint::Missing => 1.0,
    };
    let mut base = read.service_time + CONNECTION_COST.mul_f64(connection_share);
    if !same_zone {
        base += CROSS_ZONE_COST;
    }
    base += if leads {
        // Writes run only on the leader, so reads leave its slots and connections to them.
        2 * CROSS_ZONE_COST
    } else {
        view.catch_up_wait(read.required, now)
    };
    let mut penalty = 0.0;
    if let Some(health) = view.health {
        base += health.network_delay(now);
        let service_time = read.service_time.as_secs_f64();
        let slow_time = service_time * (health.slowness(now) - 1.0).max(0.0);
        let failed = health.failure_share(now).min(MAX_FAILURE_SHARE);
        let attempt = base.as_secs_f64() + slow_time + FAILED_ATTEMPT_COST.as_secs_f64();
        penalty = slow_time + attempt * failed / (1.0 - failed);
    }
    ExpectedTime {
        base: base.as_secs_f64(),
        queue: view.expected_queue_delay(now),
        penalty,
        is_avoidable: false,
    }
}

/// Caps the penalties of all but the worst candidates, at most half of them. Those that failed
/// recently count as avoided.
fn cap_penalties(candidates: &mut [RankedCandidate], now: Instant) {
    let is_unreachable =
        |candidate: &RankedCandidate| candidate.candidate.view.failed_recently(now);
    let unreachable = candidates.iter().filter(|candidate| is_unreachable(candidate)).count();
    let avoidable = (candidates.len() / 2).saturating_sub(unreachable);
    for _ in 0..avoidable {
        let others = candidates
            .iter_mut()
            .filter(|candidate| !candidate.expected.is_avoidable && !is_unreachable(candidate));
        let worst =
            others.max_by(|left, right| left.expected.penalty.total_cmp(&right.expected.penalty));
        if let Some(worst) = worst {
            worst.expected.is_avoidable = true;
        }
    }
    for candidate in candidates {
        if !candidate.expected.is_avoidable {
            let penalty = &mut candidate.expected.penalty;
            *penalty = penalty.min(MAX_KEPT_PENALTY.as_secs_f64());
        }
    }
}

/// Returns whether the second best candidate is chosen instead of the best.
fn chooses_second(
    first: &RankedCandidate,
    second: &RankedCandidate,
    read: &PlacedRead,
    now: Instant,
) -> bool {
    let view = &second.candidate.view;
    if view.failed_recently(now) || !view.catch_up_wait(read.required, now).is_zero() {
        return false;
    }
    let (first_time, second_time) = (first.expected.total(), second.expected.total());
    if second_time <= 0.0 {
        return false;
    }
    let queue_share = first.expected.queue.max(second.expected.queue) / second_time;
    let certain_share = 1.0 - queue_share.min(1.0);
    let exponent = QUEUE_CHOICE_EXPONENT
        + (CERTAIN_CHOICE_EXPONENT - QUEUE_CHOICE_EXPONENT) * certain_share * certain_share;
    let odds = (first_time / second_time).powf(exponent);
    read.draw < odds / (1.0 + odds)
}

/// Divisor for the fraction of an endpoint's connections that owners leave free: for probes, and
/// for the moments in which two instances both act as the owner.
const SPARE_CONNECTION_DIVISOR: usize = 6;

/// Returns the number of connections that an owner may open to an endpoint which accepts
/// `connections`.
///
/// A partition leaves several owners of one endpoint, and if each opened what it needs, the
/// endpoint would reset those beyond its limit. Each side therefore uses only `reachable_fraction`,
/// the fraction of all registered instances on its side, so that all sides together stay within the
/// limit.
pub fn connection_limit(connections: usize, reachable_fraction: f64) -> usize {
    let usable = connections - connections / SPARE_CONNECTION_DIVISOR;
    ((usable as f64 * reachable_fraction) as usize).max(1)
}

/// Idle timeout of a connection after the endpoint moved to another owner, which needs the connection's
/// part of the endpoint's connection limit but may lose the ownership again soon.
pub const MOVED_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
