//! Choice of the member that executes a request.

use std::time::{Duration, Instant};

use state::position::{LogPosition, MemberPosition, MemberRole};

/// View that an instance has of a member.
#[derive(Clone, Copy, Debug)]
pub struct MemberView {
    /// Last position that the member reported.
    pub position: MemberPosition,
    /// The member answers this instance.
    pub reachable: bool,
    /// Local time up to which the member's data is known to be complete.
    pub fresh_as_of: Option<Instant>,
    /// Number of this instance's statements that run or are queued at the member.
    pub load: u32,
    /// The member is in the instance's availability zone.
    pub same_zone: bool,
}

/// Requirements of a read on the member that serves it.
#[derive(Clone, Copy, Debug)]
pub struct ReadRequirements {
    /// Largest accepted staleness of the data; none requires the primary.
    pub max_staleness: Option<Duration>,
    /// Position that the session has observed; none requires data complete up to `began_at`.
    pub min_position: Option<LogPosition>,
    /// Local time at which the session began.
    pub began_at: Instant,
}

/// Target of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteTarget {
    /// The primary, by member index.
    Primary(usize),
    /// A replica, by member index.
    Replica(usize),
    /// No member: the request waits until a primary is known.
    Wait,
}

/// Selects the member for a read: the least loaded suitable replica, or else the primary.
pub fn route_read(
    members: &[MemberView],
    requirements: &ReadRequirements,
    now: Instant,
) -> RouteTarget {
    let can_serve_read = |view: &MemberView| {
        view.reachable
            && view.position.role != MemberRole::Primary
            && is_fresh_enough(view, requirements, now)
    };
    let replica = members
        .iter()
        .enumerate()
        .filter(|(_, view)| can_serve_read(view))
        .min_by_key(|(index, view)| (view.load, !view.same_zone, *index));
    match replica {
        Some((index, _)) => RouteTarget::Replica(index),
        None => route_write(members),
    }
}

/// Selects the member for a write: the reachable primary of the highest term.
pub fn route_write(members: &[MemberView]) -> RouteTarget {
    let highest = members.iter().map(|view| view.position.term).max().unwrap_or_default();
    let primary = members.iter().position(|view| {
        let position = &view.position;
        view.reachable && position.role == MemberRole::Primary && position.term == highest
    });
    primary.map_or(RouteTarget::Wait, RouteTarget::Primary)
}

/// Returns whether a member's data meets the requirements of a read.
fn is_fresh_enough(view: &MemberView, requirements: &ReadRequirements, now: Instant) -> bool {
    let (Some(limit), Some(fresh_as_of)) = (requirements.max_staleness, view.fresh_as_of) else {
        return false;
    };
    if now.saturating_duration_since(fresh_as_of) > limit {
        return false;
    }
    match requirements.min_position {
        Some(min_position) => view.position.has_applied(min_position),
        None => fresh_as_of >= requirements.began_at,
    }
}
