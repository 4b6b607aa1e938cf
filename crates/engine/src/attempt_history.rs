//! Attempts of one statement so far, and what they say about the next one.

use std::time::Duration;

use crate::interface::RefusalCode;
use crate::statement::{BUSY_BACKOFF, MIN_RETRY_DELAY, NO_LEADER_BACKOFF};

/// Origin of the decision that a statement did not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RetryOrigin {
    /// The connection owner expects no capacity in time.
    Queue,
    /// No connection owner reaches the endpoint.
    Unreached,
    /// The connection owner learned of an evacuation before this instance.
    Evacuated,
    /// The member answered.
    Member,
}

/// Attempts of one statement so far.
pub(crate) struct AttemptHistory {
    /// Endpoints tried in this round; all may be tried again in the next one.
    pub(crate) failed: Vec<String>,
    pub(crate) last_failure: (RefusalCode, &'static str, Duration),
    /// Retries taken from the budget of the service.
    pub(crate) retries: u16,
    /// A member took the statement, and did not run it.
    pub(crate) was_taken: bool,
    /// A member may have run the statement, or ran it without success.
    pub(crate) may_have_run: bool,
    /// Some attempt of this round failed for another reason than a full queue or an evacuation.
    pub(crate) has_other_failures: bool,
    /// Endpoints in `failed` whose connection owner learned of an evacuation before this instance.
    pub(crate) evacuated_count: usize,
    /// Shortest wait that the queues of this statement's endpoints expect.
    pub(crate) queue_wait: Option<Duration>,
}

impl Default for AttemptHistory {
    fn default() -> Self {
        Self {
            failed: Vec::new(),
            last_failure: (RefusalCode::Busy, "no endpoint is available", MIN_RETRY_DELAY),
            retries: 0,
            was_taken: false,
            may_have_run: false,
            has_other_failures: false,
            evacuated_count: 0,
            queue_wait: None,
        }
    }
}

impl AttemptHistory {
    pub(crate) fn record(
        &mut self,
        code: RefusalCode,
        cause: &'static str,
        backoff: Duration,
        origin: RetryOrigin,
    ) {
        self.last_failure = (code, cause, backoff);
        self.may_have_run |= may_have_run(code);
        match origin {
            RetryOrigin::Queue => {
                let shortest = self.queue_wait.map_or(backoff, |wait| wait.min(backoff));
                self.queue_wait = Some(shortest);
                return;
            }
            RetryOrigin::Evacuated => {
                self.evacuated_count += 1;
                return;
            }
            // A member that does not lead takes no writes.
            RetryOrigin::Member => self.was_taken |= code != RefusalCode::ReadOnly,
            RetryOrigin::Unreached => {}
        }
        self.has_other_failures = true;
    }

    pub(crate) fn start_round(&mut self) {
        self.failed.clear();
        self.has_other_failures = false;
        self.evacuated_count = 0;
    }

    /// Returns whether all endpoints tried in this round are evacuated.
    pub(crate) fn has_only_evacuated(&self) -> bool {
        self.evacuated_count > 0 && self.evacuated_count == self.failed.len()
    }

    /// Returns whether a further round would only find the same queues and evacuated endpoints.
    pub(crate) fn has_only_full_queues(&self) -> bool {
        !self.failed.is_empty() && !self.has_other_failures
    }

    /// Returns the pause before the next round.
    pub(crate) fn pause(&self) -> Duration {
        if self.was_taken { BUSY_BACKOFF } else { NO_LEADER_BACKOFF }
    }
}

/// Returns whether a member that answers with this code may have run the statement.
fn may_have_run(code: RefusalCode) -> bool {
    matches!(code, RefusalCode::Failed | RefusalCode::Timeout | RefusalCode::Aborted)
}

/// Returns whether a retry after this answer adds to the load of a member, and does not only
/// correct the choice of the member.
pub(crate) fn adds_load(code: RefusalCode) -> bool {
    matches!(
        code,
        RefusalCode::Busy
            | RefusalCode::TooManyConnections
            | RefusalCode::Failed
            | RefusalCode::Timeout
            | RefusalCode::Aborted
    )
}
