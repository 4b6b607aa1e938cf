//! Choice of the endpoint that runs a statement and of the instance that holds its connections.
//!
//! Load pattern: slots are few and replicas lag by turns. A read goes to the replica that is
//! expected to answer first: its queue, the way to it and the time until it has the position.

use std::time::{Duration, Instant};

use state::position::LogPosition;

use crate::rendezvous;

/// Time for which an endpoint that failed is passed over, unless no other is left.
const FAILURE_BACKOFF: Duration = Duration::from_millis(400);
/// Time after which an observation of an endpoint's queue tells nothing.
const QUEUE_DELAY_TTL: Duration = Duration::from_millis(250);
/// Time for which a member that refused to lead is tried last for writes.
const NOT_LEADER_TTL: Duration = Duration::from_millis(250);
/// Cost of a hop to another availability zone, beside its delay: bytes between zones are dear.
const CROSS_ZONE_COST: Duration = Duration::from_millis(6);
/// Wait assumed for a replica that lacks the position and whose lag is not known.
const UNKNOWN_LAG_WAIT: Duration = Duration::from_millis(60);
/// Part of a stated lag beyond which waiting for a replica is not worth while.
const POSITION_TTL: Duration = Duration::from_millis(40);

/// What an instance knows of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointView {
    /// Position that the endpoint's reads reached last, with the time of the answer.
    pub position: Option<(LogPosition, Instant)>,
    /// Queueing time that the holder of its connections stated last.
    pub queue_delay: Option<(Duration, Instant)>,
    /// Time of the last failure to reach it.
    pub failed_at: Option<Instant>,
    /// Time at which it last refused to lead.
    pub not_leader_at: Option<Instant>,
}

impl EndpointView {
    /// Tells whether the endpoint failed a moment ago.
    pub fn failed_recently(&self, now: Instant) -> bool {
        happened_within(self.failed_at, FAILURE_BACKOFF, now)
    }

    /// Tells whether the endpoint said a moment ago that it does not lead.
    pub fn is_follower(&self, now: Instant) -> bool {
        happened_within(self.not_leader_at, NOT_LEADER_TTL, now)
    }

    fn expected_queue_delay(&self, now: Instant) -> Duration {
        let Some((wait, at)) = self.queue_delay else {
            return Duration::ZERO;
        };
        wait.saturating_sub(now.saturating_duration_since(at).mul_f64(0.5)).min(
            if now.saturating_duration_since(at) > QUEUE_DELAY_TTL { Duration::ZERO } else { wait },
        )
    }

    fn catch_up_wait(&self, needed: Option<LogPosition>, now: Instant) -> Duration {
        let Some(needed) = needed else {
            return Duration::ZERO;
        };
        match self.position {
            Some((position, _)) if position >= needed => Duration::ZERO,
            Some((_, at)) if now.saturating_duration_since(at) < POSITION_TTL => UNKNOWN_LAG_WAIT,
            _ => Duration::ZERO,
        }
    }
}

fn happened_within(at: Option<Instant>, span: Duration, now: Instant) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(at) < span)
}

/// Endpoint among which a read chooses.
#[derive(Clone, Copy, Debug)]
pub struct ReadCandidate {
    /// What is known of it.
    pub view: EndpointView,
    /// Tells whether it lies in the caller's availability zone.
    pub same_zone: bool,
    /// Tells whether it leads its service.
    pub leads: bool,
}

/// Returns the candidates from best to worst for a read that needs `needed`.
///
/// Without a position only the leader serves, because only it can prove that it is current.
pub fn order_for_read(
    candidates: &[ReadCandidate],
    needed: Option<LogPosition>,
    now: Instant,
) -> Vec<usize> {
    let cost = |candidate: &ReadCandidate| {
        let zone_cost = if candidate.same_zone { Duration::ZERO } else { CROSS_ZONE_COST };
        // Writes run only on the leader; reads leave its slots to them.
        let leader_cost = if candidate.leads { 2 * CROSS_ZONE_COST } else { Duration::ZERO };
        let lag = if candidate.leads {
            Duration::ZERO
        } else {
            candidate.view.catch_up_wait(needed, now)
        };
        (
            candidate.view.failed_recently(now),
            candidate.view.expected_queue_delay(now) + zone_cost + leader_cost + lag,
        )
    };
    let can_serve = |index: &usize| candidates[*index].leads || needed.is_some();
    let mut order: Vec<usize> = (0..candidates.len()).filter(can_serve).collect();
    order.sort_by_key(|index| cost(&candidates[*index]));
    order
}

/// Instance that may hold an endpoint's connections.
#[derive(Clone, Copy, Debug)]
pub struct OwnerCandidate<'a> {
    /// Name of the instance.
    pub name: &'a str,
    /// Tells whether it lies in the endpoint's availability zone.
    pub same_zone: bool,
}

/// Returns the instances that may hold an endpoint's connections, the first choice first.
pub fn order_owners<'a>(endpoint: &str, candidates: &[OwnerCandidate<'a>]) -> Vec<&'a str> {
    let mut order: Vec<&OwnerCandidate<'a>> = candidates.iter().collect();
    order.sort_by_key(|candidate| {
        (!candidate.same_zone, std::cmp::Reverse(rendezvous::weight(endpoint, candidate.name)))
    });
    order.into_iter().map(|candidate| candidate.name).collect()
}

/// Part of an endpoint's connections that its holders leave free, as a divisor: for probes and for
/// the moments in which two instances take themselves for the holder.
const SPARE_CONNECTION_DIVISOR: usize = 6;

/// Returns the connections that a holder may open to an endpoint which takes `connections`.
///
/// Load pattern: a partition leaves several holders of one endpoint, and each opens what it needs
/// until the endpoint resets whatever is beyond its cap. Each side takes the part that its
/// instances are of all registered ones, `reach`, so the sides together stay within the cap.
pub fn connection_limit(connections: usize, reachable_fraction: f64) -> usize {
    let usable = connections - connections / SPARE_CONNECTION_DIVISOR;
    ((usable as f64 * reachable_fraction) as usize).max(1)
}

/// Standing of a connection without work.
///
/// Load pattern: all instances lose power at once. The endpoint counts their connections until it
/// notices, for seconds, and whoever takes over works with what was left free. A team that needed
/// several connections for a moment soon keeps one only.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IdleConnectionKind {
    /// The only one of its team, or the one that it used last.
    LastUsed,
    /// Its team has used another one since.
    Surplus,
    /// Another instance now holds the connections of the endpoint.
    Moved,
}

/// Rest of a team's last connection: opening one takes a slot for as long as two statements do.
const LAST_USED_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Rest of a connection that its team did not need for so long.
const SURPLUS_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Rest of a connection whose endpoint moved: its new holder needs the place, but may be gone
/// again in a moment.
const MOVED_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);

impl IdleConnectionKind {
    /// Returns the time without work after which the connection is closed.
    pub fn idle_timeout(self) -> Duration {
        match self {
            Self::LastUsed => LAST_USED_IDLE_TIMEOUT,
            Self::Surplus => SURPLUS_IDLE_TIMEOUT,
            Self::Moved => MOVED_IDLE_TIMEOUT,
        }
    }
}
