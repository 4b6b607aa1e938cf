//! Resolves in-doubt outcomes: queries whether a write whose response was lost has committed.

use std::time::{Duration, Instant};

use coord::routing::RouteTarget;
use state::position::LogPosition;
use telemetry::event::LogEvent;
use telemetry::log_event;
use tokio::time::{sleep, timeout_at};
use wire::group::GroupCommand;

use super::CallerSession;

/// Pause between two queries of an outcome.
const RESOLVE_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Bounds the wait for the response to a query of an outcome.
const RESOLVE_TIMEOUT: Duration = Duration::from_millis(500);

/// Outcome of a labelled transaction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ResolvedOutcome {
    /// It is in the log at this position, and a majority has replicated it.
    Committed(LogPosition),
    /// It is not in the log and can no longer be added.
    Absent,
    /// No primary responded before the deadline.
    Unknown,
}

impl CallerSession {
    /// Queries the current primary for the outcome of a labelled transaction until the deadline.
    pub(super) async fn resolve_outcome(&self, label: &str, deadline: Instant) -> ResolvedOutcome {
        let command = GroupCommand::Outcome(label.to_owned());
        while self.instance.now() < deadline {
            match timeout_at(deadline.into(), self.query_outcome(&command)).await {
                Ok(Some(outcome)) => {
                    log_event!(LogEvent::OutcomeResolved, "label={label} outcome={outcome:?}");
                    return outcome;
                }
                Ok(None) => sleep(RESOLVE_RETRY_DELAY).await,
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
