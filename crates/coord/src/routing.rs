//! Choice of the member that runs a request.

use std::time::{Duration, Instant};

use state::position::{LogPosition, MemberPosition, MemberRole};

/// What one instance knows of a member.
#[derive(Clone, Copy, Debug)]
pub struct MemberView {
    /// Last position that the member reported.
    pub position: MemberPosition,
    /// Tells that the member answers this instance.
    pub reachable: bool,
    /// Local time up to which the member is known to be complete.
    pub fresh_as_of: Option<Instant>,
    /// Statements of this instance that the member runs or that wait for it.
    pub load: u32,
    /// Tells that the member stands in the instance's availability zone.
    pub same_zone: bool,
}

/// What a request needs of the member that serves it.
#[derive(Clone, Copy, Debug)]
pub struct ReadRequirements {
    /// Greatest accepted age of the data; none means the primary's data.
    pub max_staleness: Option<Duration>,
    /// Position that the session has seen; none means that the session stands behind a barrier.
    pub min_position: Option<LogPosition>,
    /// Local time at which the session began.
    pub began_at: Instant,
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteTarget {
    /// To the primary, the member with this index.
    Primary(usize),
    /// To the replica with this index.
    Replica(usize),
    /// Nowhere until a primary is known.
    Wait,
}

/// Picks the member for a read.
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

/// Picks the member for a write: the reachable primary of the highest term.
pub fn route_write(members: &[MemberView]) -> RouteTarget {
    let highest = members.iter().map(|view| view.position.term).max().unwrap_or_default();
    let primary = members.iter().position(|view| {
        let position = &view.position;
        view.reachable && position.role == MemberRole::Primary && position.term == highest
    });
    primary.map_or(RouteTarget::Wait, RouteTarget::Primary)
}

/// Tells whether a replica may serve a read.
fn is_fresh_enough(view: &MemberView, requirements: &ReadRequirements, now: Instant) -> bool {
    let (Some(limit), Some(fresh_as_of)) = (requirements.max_staleness, view.fresh_as_of) else {
        return false;
    };
    if now.saturating_duration_since(fresh_as_of) > limit {
        return false;
    }
    match requirements.min_position {
        Some(min_position) => view.position.covers(min_position),
        None => fresh_as_of >= requirements.began_at,
    }
}
