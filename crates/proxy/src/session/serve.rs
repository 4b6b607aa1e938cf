//! Runs requests on members, and retries those that did not run or can safely run again.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use coord::routing::{ReadRequirements, RouteTarget};
use net::member::MemberError;
use net::pool::{PoolError, PooledConnection};
use state::position::LogPosition;
use telemetry::event::LogEvent;
use telemetry::log_event;
use tokio::time::{sleep, timeout_at};
use wire::backend::{self, TransactionState};
use wire::refusal::{RefusalReason, RequestRefusal};
use wire::statement::StatementKind;

use super::admission::RequestPolicy;
use super::exchange::{self, CallerOutput, ExchangeOutcome, ExchangePlan};
use super::in_doubt::ResolvedOutcome;
use super::local_response::LocalResponse;
use super::request::CallerRequest;
use super::{CallerSession, PinnedConnection, SessionEnd};
use crate::counters::RetryReason;

/// Maximum number of attempts of a request.
const MAX_ATTEMPTS: u32 = 12;
/// Pause before the first retry, doubled before each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(2);
/// Upper bound on the pause before a retry.
const MAX_BACKOFF: Duration = Duration::from_millis(100);

/// Expectation named in the error of an exchange whose member was replaced or is unreachable.
const EXPECTED_MEMBER: &str = "the current primary or a reachable replica";

/// Outcome of an attempt.
enum AttemptOutcome {
    /// The response is complete; what was not sent yet is in the caller's output.
    Complete,
    /// The request may be retried: it did not run, or running it again is safe.
    Retry(RetryReason),
    /// The request is refused.
    Refused(RequestRefusal),
}

/// Outcome of an exchange, and how far its response got.
struct ExchangeResult {
    outcome: ExchangeOutcome,
    /// Part of the response has been sent to the caller.
    partly_sent: bool,
    /// The whole response was received, though perhaps not the confirmation of its commit.
    response_complete: bool,
}

/// Member selected for an attempt.
struct AttemptTarget {
    member_index: usize,
    /// Term of the primary, or none for a replica.
    term: Option<u64>,
    /// Position that the member must have applied.
    required_position: Option<LogPosition>,
}

impl CallerSession {
    /// Serves a request from admission to the end of its response.
    pub(super) async fn serve(&mut self, request: CallerRequest) -> Result<(), SessionEnd> {
        self.check_access()?;
        self.instance.counters.requests.increment(1);
        if self.transaction_state == TransactionState::Failed && self.pinned.is_none() {
            return self.serve_failed_transaction(&request).await;
        }
        if let Some(responses) = self.local_responses(&request) {
            match responses {
                Ok(responses) => {
                    for response in &responses {
                        self.put_local_response(&request.body, response);
                    }
                }
                Err(refusal) => return self.refuse_request(refusal, request.ends_with_sync).await,
            }
            return self.end_request(request.ends_with_sync).await;
        }
        let policy = match self.admit(&request).await {
            Ok(policy) => policy,
            Err(refusal) => return self.refuse_request(refusal, request.ends_with_sync).await,
        };
        let result = if self.pinned.is_some() {
            self.serve_pinned(&request, &policy).await
        } else {
            self.serve_unpinned(&request, &policy).await
        };
        match result? {
            Ok(()) => self.end_request(request.ends_with_sync).await,
            Err(refusal) => self.refuse_request(refusal, request.ends_with_sync).await,
        }
    }

    async fn end_request(&mut self, ends_with_sync: bool) -> Result<(), SessionEnd> {
        if ends_with_sync { self.send_ready_for_query().await } else { self.flush().await }
    }

    /// Refuses a request, and fails the transaction if one is open.
    async fn refuse_request(
        &mut self,
        refusal: RequestRefusal,
        ends_with_sync: bool,
    ) -> Result<(), SessionEnd> {
        self.fail_transaction();
        self.send_refusal(refusal, ends_with_sync).await
    }

    /// Responds to requests in a failed transaction without a connection, until the caller ends it.
    async fn serve_failed_transaction(
        &mut self,
        request: &CallerRequest,
    ) -> Result<(), SessionEnd> {
        match request.class.kind {
            StatementKind::Commit | StatementKind::Rollback => {
                self.transaction_state = TransactionState::Idle;
                self.put_local_response(&request.body, &LocalResponse::Command("ROLLBACK"));
                self.end_request(request.ends_with_sync).await
            }
            _ => {
                let detail = "current transaction is aborted, commands ignored until end of \
                              transaction block";
                backend::put_error(&mut self.output, "25P02", detail);
                self.skipping_to_sync = !request.ends_with_sync;
                self.end_request(request.ends_with_sync).await
            }
        }
    }

    /// Runs a request that needs no member, and returns the responses to its statements.
    fn local_responses(
        &mut self,
        request: &CallerRequest,
    ) -> Option<Result<Vec<LocalResponse>, RequestRefusal>> {
        let class = &request.class;
        match class.kind {
            StatementKind::Empty => Some(Ok(vec![LocalResponse::Empty])),
            StatementKind::Session => {
                let run = |statement| self.run_session_statement(statement);
                Some(class.session.iter().map(run).collect())
            }
            _ => None,
        }
    }

    /// Runs a request on the pinned connection.
    async fn serve_pinned(
        &mut self,
        request: &CallerRequest,
        policy: &RequestPolicy,
    ) -> Result<Result<(), RequestRefusal>, SessionEnd> {
        let Some(mut pinned) = self.pinned.take() else {
            return Ok(Ok(()));
        };
        let commits_at_sync = pinned.has_written && request.ends_with_sync;
        let may_commit = self.transaction_state != TransactionState::Failed
            && (commits_at_sync
                || request.may_commit(self.transaction_state != TransactionState::Idle));
        let plan = ExchangePlan {
            label: may_commit.then(|| self.instance.next_transaction_label()),
            confirm_commit: may_commit,
            commits_repeatedly: request.may_commit_repeatedly(),
            in_transaction: true,
            ..ExchangePlan::default()
        };
        let result = self
            .run_exchange(&mut pinned.connection, request, &plan, pinned.member_index, policy)
            .await;
        let ExchangeResult { outcome, partly_sent, response_complete } = result;
        match outcome {
            ExchangeOutcome::Complete => {
                let has_written = pinned.has_written;
                self.pin_or_release(pinned.connection, pinned.member_index, request);
                if let Some(pinned) = &mut self.pinned {
                    pinned.has_written |= has_written && pinned.awaiting_sync;
                }
                Ok(Ok(()))
            }
            ExchangeOutcome::CallerDisconnected => Err(SessionEnd::Closed),
            ExchangeOutcome::ConnectionLost(_) if may_commit && !partly_sent => {
                drop(pinned);
                self.transaction_state = TransactionState::Idle;
                Ok(self.resolve_in_doubt_commit(&plan, response_complete, request, policy).await)
            }
            ExchangeOutcome::NotPrimary
            | ExchangeOutcome::Stale
            | ExchangeOutcome::ConnectionLost(_) => {
                drop(pinned);
                self.transaction_state = TransactionState::Failed;
                if partly_sent {
                    return Err(interrupted_response());
                }
                let detail = "the primary was replaced or its connection was lost, and the \
                              transaction was rolled back";
                Ok(Err(RequestRefusal::new(RefusalReason::TransactionLost, detail)))
            }
        }
    }

    /// Resolves a commit that is in doubt because its response or confirmation was lost.
    async fn resolve_in_doubt_commit(
        &mut self,
        plan: &ExchangePlan,
        response_complete: bool,
        request: &CallerRequest,
        policy: &RequestPolicy,
    ) -> Result<(), RequestRefusal> {
        let label = plan.label.clone().unwrap_or_default();
        match self.resolve_outcome(&label, policy.deadline).await {
            ResolvedOutcome::Committed(position) if plan.commits_repeatedly => {
                self.observe_position(position);
                self.output.clear();
                Err(partly_committed())
            }
            ResolvedOutcome::Committed(position) => {
                self.observe_position(position);
                if !response_complete {
                    self.put_local_response(&request.body, &LocalResponse::Command("COMMIT"));
                }
                Ok(())
            }
            ResolvedOutcome::Absent => {
                self.output.clear();
                let detail = "the primary was replaced before the commit and the transaction was \
                              rolled back";
                Err(RequestRefusal::new(RefusalReason::TransactionLost, detail))
            }
            ResolvedOutcome::Unknown => {
                self.output.clear();
                Err(outcome_unknown("the commit was sent but its response was lost"))
            }
        }
    }

    /// Runs a request outside a transaction, on a member selected for each attempt.
    async fn serve_unpinned(
        &mut self,
        request: &CallerRequest,
        policy: &RequestPolicy,
    ) -> Result<Result<(), RequestRefusal>, SessionEnd> {
        let mut backoff = INITIAL_BACKOFF;
        let mut primary_only = false;
        for _ in 0..MAX_ATTEMPTS {
            let target = match self.select_target(request, policy, primary_only).await {
                Ok(target) => target,
                Err(refusal) => return Ok(Err(refusal)),
            };
            let reason = match self.attempt(request, policy, &target).await? {
                AttemptOutcome::Complete => return Ok(Ok(())),
                AttemptOutcome::Refused(refusal) => return Ok(Err(refusal)),
                AttemptOutcome::Retry(reason) => reason,
            };
            self.instance.counters.record_retry(reason);
            log_event!(LogEvent::RequestRetried, "reason={}", reason.label());
            primary_only |= reason == RetryReason::StaleResponse;
            if self.instance.now() + backoff >= policy.deadline {
                break;
            }
            sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
        let detail = "no attempt succeeded before the deadline or the maximum number of attempts";
        Ok(Err(RequestRefusal::new(RefusalReason::DeadlinePassed, detail)))
    }

    /// Selects a member, and waits for a primary until the deadline if there is none.
    async fn select_target(
        &self,
        request: &CallerRequest,
        policy: &RequestPolicy,
        primary_only: bool,
    ) -> Result<AttemptTarget, RequestRefusal> {
        let mut changes = self.database.subscribe();
        let min_position = self.positions.get(&self.database_entry.name);
        let max_staleness = policy.max_staleness().filter(|_| !primary_only);
        loop {
            changes.borrow_and_update();
            let now = self.instance.now();
            let target = if request.class.kind == StatementKind::Read && request.ends_with_sync {
                let requirements =
                    ReadRequirements { max_staleness, min_position, began_at: self.began_at };
                let (target, views) = self.database.route_read(&requirements, now);
                if let RouteTarget::Replica(member_index) = target {
                    // Without an observed position, the replica must have applied at least the
                    // position by which it was selected.
                    let required_position =
                        min_position.or(Some(views[member_index].position.applied_position()));
                    return Ok(AttemptTarget { member_index, term: None, required_position });
                }
                target
            } else {
                self.database.route_write()
            };
            if let RouteTarget::Primary(member_index) = target {
                let status = self.database.members[member_index].last_state().status;
                let term = status.map(|status| status.position.term);
                return Ok(AttemptTarget { member_index, term, required_position: min_position });
            }
            let waited = timeout_at(policy.deadline.into(), changes.changed()).await;
            if !matches!(waited, Ok(Ok(()))) {
                let detail =
                    format!("database {:?} has no reachable primary", self.database_entry.name);
                return Err(RequestRefusal::new(RefusalReason::NoPrimary, detail));
            }
        }
    }

    async fn attempt(
        &mut self,
        request: &CallerRequest,
        policy: &RequestPolicy,
        target: &AttemptTarget,
    ) -> Result<AttemptOutcome, SessionEnd> {
        let mut connection = match self.acquire_connection(target, policy.deadline).await {
            Ok(connection) => connection,
            Err(outcome) => return Ok(outcome),
        };
        let may_commit = request.may_commit(false);
        let is_write = request.class.kind == StatementKind::Write;
        // Without a position to check, the primary must confirm before a read that it still leads.
        // A write is confirmed by its commit.
        let plan = ExchangePlan {
            confirm_leadership: target.term.is_some()
                && target.required_position.is_none()
                && !is_write,
            label: may_commit.then(|| self.instance.next_transaction_label()),
            confirm_commit: may_commit && request.ends_with_sync,
            commits_repeatedly: request.may_commit_repeatedly(),
            required_position: target.required_position,
            on_replica: target.term.is_none(),
            in_transaction: false,
        };
        let result =
            self.run_exchange(&mut connection, request, &plan, target.member_index, policy).await;
        let ExchangeResult { outcome, partly_sent, response_complete } = result;
        match outcome {
            ExchangeOutcome::Complete => {
                self.count_read(request, target);
                self.pin_or_release(connection, target.member_index, request);
                Ok(AttemptOutcome::Complete)
            }
            ExchangeOutcome::CallerDisconnected => Err(SessionEnd::Closed),
            _ if partly_sent => Err(interrupted_response()),
            ExchangeOutcome::NotPrimary => Ok(AttemptOutcome::Retry(RetryReason::NotPrimary)),
            ExchangeOutcome::Stale => {
                log_event!(LogEvent::AnswerStale, "database={}", self.database_entry.name);
                Ok(AttemptOutcome::Retry(RetryReason::StaleResponse))
            }
            ExchangeOutcome::ConnectionLost(error) => {
                log_event!(
                    LogEvent::ExchangeLost,
                    "database={}: {error}",
                    self.database_entry.name
                );
                drop(connection);
                Ok(self.handle_lost_connection(request, policy, &plan, response_complete).await)
            }
        }
    }

    /// Decides whether to retry after the connection of an attempt was lost.
    async fn handle_lost_connection(
        &mut self,
        request: &CallerRequest,
        policy: &RequestPolicy,
        plan: &ExchangePlan,
        response_complete: bool,
    ) -> AttemptOutcome {
        let retryable = matches!(
            request.class.kind,
            StatementKind::Read | StatementKind::Begin | StatementKind::BeginReadOnly
        );
        if retryable {
            self.output.clear();
            return AttemptOutcome::Retry(RetryReason::ReadLost);
        }
        let label = plan.label.clone().unwrap_or_default();
        match self.resolve_outcome(&label, policy.deadline).await {
            ResolvedOutcome::Committed(position) if plan.commits_repeatedly => {
                self.observe_position(position);
                self.output.clear();
                AttemptOutcome::Refused(partly_committed())
            }
            ResolvedOutcome::Committed(position) if response_complete => {
                self.observe_position(position);
                AttemptOutcome::Complete
            }
            ResolvedOutcome::Committed(position) if !policy.is_idempotent() => {
                self.observe_position(position);
                self.output.clear();
                AttemptOutcome::Refused(outcome_unknown(
                    "the write is committed but its response was lost",
                ))
            }
            ResolvedOutcome::Absent => {
                self.output.clear();
                AttemptOutcome::Retry(RetryReason::NotExecuted)
            }
            _ if policy.is_idempotent() => {
                self.output.clear();
                AttemptOutcome::Retry(RetryReason::IdempotentWriteLost)
            }
            _ => {
                self.output.clear();
                AttemptOutcome::Refused(outcome_unknown(
                    "the write was sent but its response was lost",
                ))
            }
        }
    }

    async fn acquire_connection(
        &self,
        target: &AttemptTarget,
        deadline: Instant,
    ) -> Result<PooledConnection, AttemptOutcome> {
        let pool = &self.database.members[target.member_index].pool;
        let result = tokio::select! {
            biased;
            acquired = pool.acquire(self.team, deadline) => acquired,
            () = self.wait_until_replaced(target) => {
                return Err(AttemptOutcome::Retry(RetryReason::NotPrimary))
            }
            () = self.cancel_registration.cancel_target().cancelled() => {
                let detail = "the statement was cancelled before it was sent";
                let refusal = RequestRefusal::new(RefusalReason::Cancelled, detail);
                return Err(AttemptOutcome::Refused(refusal));
            }
        };
        result.map_err(|error| match error {
            PoolError::QueueFull => {
                let detail = "the team has too many queued requests";
                AttemptOutcome::Refused(RequestRefusal::new(RefusalReason::QueueFull, detail))
            }
            PoolError::DeadlineExceeded { retry_after } => {
                let detail = "no connection becomes free before the request's deadline";
                let refusal = RequestRefusal::new(RefusalReason::DeadlinePassed, detail);
                AttemptOutcome::Refused(refusal.with_retry_after(retry_after))
            }
            PoolError::Connect { .. } => AttemptOutcome::Retry(RetryReason::ConnectFailed),
        })
    }

    /// Waits until the target is no longer the primary; pending forever for a replica.
    async fn wait_until_replaced(&self, target: &AttemptTarget) {
        match target.term {
            Some(term) => self.database.wait_until_replaced(target.member_index, term).await,
            None => std::future::pending().await,
        }
    }

    /// Runs an exchange until it ends, the primary is replaced, or the replica is unreachable.
    async fn run_exchange(
        &mut self,
        connection: &mut PooledConnection,
        request: &CallerRequest,
        plan: &ExchangePlan,
        member_index: usize,
        policy: &RequestPolicy,
    ) -> ExchangeResult {
        let connection = connection.connection_mut();
        self.cancel_registration.cancel_target().set_running(connection.cancel_handle());
        let term = connection.position().map(|position| position.term);
        let initial_len = self.output.len();
        let partly_sent = AtomicBool::new(false);
        let mut output = CallerOutput {
            socket: &mut self.socket,
            buffer: &mut self.output,
            initial_len,
            partly_sent: &partly_sent,
            response_complete: false,
        };
        let database = self.database.clone();
        let member_unavailable = async {
            match term {
                _ if plan.on_replica => database.wait_until_unreachable(member_index).await,
                Some(term) => database.wait_until_replaced(member_index, term).await,
                None => std::future::pending().await,
            }
        };
        let outcome = {
            let exchange_run =
                exchange::run(connection, request, plan, &mut output, policy.deadline);
            tokio::pin!(exchange_run);
            tokio::select! {
                biased;
                outcome = &mut exchange_run => outcome,
                // A partly sent response of an unconfirmed read can only be completed by the same
                // member, so the exchange goes on.
                () = member_unavailable => {
                    match plan.is_unconfirmed_read() && partly_sent.load(Ordering::Relaxed) {
                        true => exchange_run.await,
                        false => ExchangeOutcome::ConnectionLost(MemberError::Protocol {
                            expected: EXPECTED_MEMBER,
                        }),
                    }
                }
            }
        };
        let (partly_sent, response_complete) = (output.is_partly_sent(), output.response_complete);
        if !matches!(outcome, ExchangeOutcome::Complete) && !response_complete {
            output.discard_unsent();
        }
        self.cancel_registration.cancel_target().set_running(None);
        if let (ExchangeOutcome::Complete, Some(position)) = (&outcome, connection.position()) {
            self.database.record_position(member_index, position);
            self.observe_position(position.applied_position());
        }
        ExchangeResult { outcome, partly_sent, response_complete }
    }

    /// Returns a connection to its pool, or pins it for an open transaction or a missing sync.
    fn pin_or_release(
        &mut self,
        mut connection: PooledConnection,
        member_index: usize,
        request: &CallerRequest,
    ) {
        let awaiting_sync = !request.ends_with_sync;
        self.transaction_state = connection.connection_mut().transaction_state();
        if self.transaction_state == TransactionState::Idle && !awaiting_sync {
            connection.release();
            return;
        }
        let has_written = awaiting_sync
            && matches!(request.class.kind, StatementKind::Write | StatementKind::Mixed);
        let pinned = PinnedConnection { connection, member_index, awaiting_sync, has_written };
        self.pinned = Some(Box::new(pinned));
    }

    fn observe_position(&mut self, position: LogPosition) {
        let name = self.database_entry.name.clone();
        self.positions_changed |= self.positions.advance(&name, position);
    }

    fn count_read(&self, request: &CallerRequest, target: &AttemptTarget) {
        if request.class.kind == StatementKind::Read {
            self.instance.counters.record_read(target.term.is_none());
        }
    }
}

fn outcome_unknown(detail: &str) -> RequestRefusal {
    RequestRefusal::new(RefusalReason::OutcomeUnknown, detail)
}

/// Returns the refusal of a request of which the first of several commits is in the log.
fn partly_committed() -> RequestRefusal {
    outcome_unknown("the response was lost, and a part of the request may be committed")
}

/// Returns the end of a session whose caller was sent part of a response and cannot get the rest.
fn interrupted_response() -> SessionEnd {
    SessionEnd::Refused(outcome_unknown("the response was interrupted after part of it was sent"))
}
