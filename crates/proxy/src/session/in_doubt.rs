//! Finds out from the group whether a write took effect whose answer was lost.

use std::time::{Duration, Instant};

use coord::routing::RouteTarget;
use state::position::LogPosition;
use telemetry::event::LogEvent;
use telemetry::log_event;
use tokio::time::{sleep, timeout_at};
use wire::group::GroupCommand;

use super::CallerSession;

/// Pause between two questions to the group.
const RESOLVE_INTERVAL: Duration = Duration::from_millis(20);
/// Time that one question may take.
const RESOLVE_TIMEOUT: Duration = Duration::from_millis(500);

/// What the group says of a labelled transaction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ResolvedOutcome {
    /// It is in the log at this position, and a majority holds it.
    Committed(LogPosition),
    /// It is not in the log and never will be.
    Absent,
    /// No primary answered before the deadline.
    Unknown,
}

impl CallerSession {
    /// Asks the current primary for the outcome of a labelled transaction until the deadline.
    pub(super) async fn resolve_outcome(&self, label: &str, deadline: Instant) -> ResolvedOutcome {
        let command = GroupCommand::Outcome(label.to_owned());
        while self.instance.now() < deadline {
            match timeout_at(deadline.into(), self.query_outcome(&command)).await {
                Ok(Some(outcome)) => {
                    log_event!(LogEvent::OutcomeResolved, "label={label} outcome={outcome:?}");
                    return outcome;
                }
                Ok(None) => sleep(RESOLVE_INTERVAL).await,
                Err(_) => break,
            }
        }
        ResolvedOutcome::Unknown
    }

    async fn query_outcome(&self, command: &GroupCommand) -> Option<ResolvedOutcome> {
        let RouteTarget::Primary(member_index) = self.database.route_write() else {
            return None;
        };
        let mut connection = self.database.members[member_index].open_control().await.ok()?;
        let response = connection.command(command, RESOLVE_TIMEOUT).await.ok()?;
        if response == "absent" {
            return Some(ResolvedOutcome::Absent);
        }
        let index = response.strip_prefix("committed ")?.parse().ok()?;
        let term = connection.position()?.term;
        Some(ResolvedOutcome::Committed(LogPosition::new(term, index)))
    }
}
