//! Checks that requests around planned stops of instances get complete answers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::document::ROUTE_TIMEOUT;

/// Time from the stop signal until a process is killed; stated in the settings of the instances.
pub const GRACE_PERIOD: Duration = Duration::from_secs(4);
/// Time after the grace period for which requests count.
const STOP_MARGIN: Duration = Duration::from_secs(1);
/// Time after which a request that has been sent counts as read.
const READ_PERIOD: Duration = Duration::from_millis(200);
/// Time after the stop signal until which requests may be sent whose statement a member is still
/// running when the grace period ends.
const LAST_SEND_PERIOD: Duration = Duration::from_secs(3);
/// Part of the grace period after which a statement that a member is still running may be cut.
const CUT_FRACTION: f64 = 5.0 / 6.0;
/// Time without unplanned faults before a request that is held to the check.
const CALM_PERIOD: Duration = Duration::from_secs(4);

/// Request whose connection ended before its answer was complete.
#[derive(Clone, Debug)]
pub struct CutRequest {
    /// Address of the instance.
    pub address: SocketAddr,
    /// ID of the request's statement.
    pub id: String,
    /// Time at which its last byte was sent.
    pub sent_at: Instant,
    /// Time at which the connection ended.
    pub ended_at: Instant,
}

/// Planned stop of an instance.
#[derive(Clone, Copy, Debug)]
pub struct PlannedStop {
    /// Address of the instance for callers.
    pub address: SocketAddr,
    /// Time of the stop signal.
    pub signalled_at: Instant,
}

/// Planned stops, and unplanned faults that may cut requests.
#[derive(Debug, Default)]
pub struct StopLog {
    /// Planned stops.
    pub stops: Vec<PlannedStop>,
    /// Start and end of each unplanned fault.
    pub unplanned: Vec<(Instant, Instant)>,
}

impl StopLog {
    /// Returns a line for each request that was lost around a planned stop.
    ///
    /// `executed` holds the times at which statements had run on a member, by ID.
    pub fn lost_requests(
        &self,
        cuts: &[CutRequest],
        executed: &HashMap<&str, Instant>,
    ) -> Vec<String> {
        let mut lost = Vec::new();
        for cut in cuts {
            let held = cut.ended_at.saturating_duration_since(cut.sent_at);
            let ran_at = executed.get(cut.id.as_str()).copied();
            let is_read = held > READ_PERIOD || ran_at.is_some();
            if !is_read || held >= ROUTE_TIMEOUT || !self.is_calm(cut) {
                continue;
            }
            let loses = |stop: &&PlannedStop| stop.covers(cut) && !stop.may_cut(cut, ran_at);
            lost.extend(self.stops.iter().filter(loses).map(|stop| {
                let since_signal =
                    |at: Instant| at.saturating_duration_since(stop.signalled_at).as_secs_f64();
                format!(
                    "request {} on {} got no complete answer: sent {:.3} s and cut {:.3} s after \
                     the stop signal, run {:?} s after it",
                    cut.id,
                    cut.address,
                    since_signal(cut.sent_at),
                    since_signal(cut.ended_at),
                    ran_at.map(since_signal)
                )
            }));
        }
        lost
    }

    fn is_calm(&self, cut: &CutRequest) -> bool {
        let harms = |(start, end): &(Instant, Instant)| {
            *start <= cut.ended_at && *end + CALM_PERIOD >= cut.sent_at
        };
        !self.unplanned.iter().any(harms)
    }
}

impl PlannedStop {
    fn covers(&self, cut: &CutRequest) -> bool {
        let end = self.signalled_at + GRACE_PERIOD + STOP_MARGIN;
        cut.address == self.address && (self.signalled_at..=end).contains(&cut.ended_at)
    }

    /// Returns whether a member was still running the statement of an early request near the end.
    fn may_cut(&self, cut: &CutRequest, ran_at: Option<Instant>) -> bool {
        cut.sent_at <= self.signalled_at + LAST_SEND_PERIOD
            && cut.ended_at >= self.signalled_at + GRACE_PERIOD.mul_f64(CUT_FRACTION)
            && ran_at.is_some_and(|ran_at| ran_at > cut.ended_at)
    }
}
