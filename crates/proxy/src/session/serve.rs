//! Runs requests on members, with retries where they are safe.

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

use super::admit::RequestTerms;
use super::exchange::{self, CallerOutput, ExchangeEnd, ExchangePlan};
use super::local::LocalAnswer;
use super::request::CallerRequest;
use super::settle::SettledOutcome;
use super::{CallerSession, PinnedConnection, SessionEnd};
use crate::counters::RetryReason;

/// Attempts that one request may take.
const MAX_ATTEMPTS: u32 = 12;
/// Pause before the first retry; it doubles with every further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(2);
/// Longest pause before a retry.
const MAX_BACKOFF: Duration = Duration::from_millis(100);

/// What an exchange lacked that was given up because its member was replaced or silent.
const GIVEN_UP: &str = "the current primary or a replica that answers";

/// What became of one attempt.
enum AttemptEnd {
    /// The answer is in the caller's output.
    Done,
    /// The request did not run and may be tried again.
    Retry(RetryReason),
    /// The request ends with a refusal.
    Refused(RequestRefusal),
}

/// How an exchange ended and what the caller has of its answer.
struct ExchangeReport {
    end: ExchangeEnd,
    /// Tells that the caller has seen part of the answer.
    sent: bool,
    /// Tells that the whole answer came, though perhaps not its confirmation.
    answered: bool,
}

/// Member chosen for an attempt.
struct AttemptTarget {
    member: usize,
    /// Term of the primary; none on a replica.
    term: Option<u64>,
    floor: Option<LogPosition>,
}

impl CallerSession {
    /// Serves one request from admission to the end of its exchange.
    pub(super) async fn serve(&mut self, request: CallerRequest) -> Result<(), SessionEnd> {
        self.check_key()?;
        self.instance.counters.requests.increment(1);
        if self.block == TransactionState::Failed && self.pinned.is_none() {
            return self.serve_lost_block(&request).await;
        }
        if let Some(answer) = self.local_answer(&request) {
            match answer {
                Ok(answer) => self.put_local(&request.body, &answer),
                Err(refusal) => return self.refuse_in_block(refusal, request.synced).await,
            }
            return self.end_request(request.synced).await;
        }
        let terms = match self.admit(&request).await {
            Ok(terms) => terms,
            Err(refusal) => return self.refuse_in_block(refusal, request.synced).await,
        };
        let served = if self.pinned.is_some() {
            self.serve_pinned(&request, &terms).await
        } else {
            self.serve_unpinned(&request, &terms).await
        };
        match served? {
            Ok(()) => self.end_request(request.synced).await,
            Err(refusal) => self.refuse_in_block(refusal, request.synced).await,
        }
    }

    async fn end_request(&mut self, synced: bool) -> Result<(), SessionEnd> {
        if synced { self.finish().await } else { self.flush().await }
    }

    /// Refuses a request; inside a transaction this ends the transaction.
    async fn refuse_in_block(
        &mut self,
        refusal: RequestRefusal,
        synced: bool,
    ) -> Result<(), SessionEnd> {
        self.lose_transaction();
        self.refuse(refusal, synced).await
    }

    /// Answers requests after a transaction was lost, until the caller ends it.
    async fn serve_lost_block(&mut self, request: &CallerRequest) -> Result<(), SessionEnd> {
        match request.class.kind {
            StatementKind::Commit | StatementKind::Rollback => {
                self.block = TransactionState::Idle;
                self.put_local(&request.body, &LocalAnswer::Command("ROLLBACK"));
                self.end_request(request.synced).await
            }
            _ => {
                let detail = "current transaction is aborted, commands ignored until end of \
                              transaction block";
                backend::put_error(&mut self.output, "25P02", detail);
                self.skipping = !request.synced;
                self.end_request(request.synced).await
            }
        }
    }

    fn local_answer(
        &mut self,
        request: &CallerRequest,
    ) -> Option<Result<LocalAnswer, RequestRefusal>> {
        match request.class.kind {
            StatementKind::Empty => Some(Ok(LocalAnswer::Empty)),
            StatementKind::Session => {
                let statement = request.class.session.clone()?;
                Some(self.run_parameter(&statement))
            }
            _ => None,
        }
    }

    /// Runs a request on the connection that the transaction holds.
    async fn serve_pinned(
        &mut self,
        request: &CallerRequest,
        terms: &RequestTerms,
    ) -> Result<Result<(), RequestRefusal>, SessionEnd> {
        let Some(mut pinned) = self.pinned.take() else {
            return Ok(Ok(()));
        };
        let commits = request.may_commit(self.block != TransactionState::Idle)
            && self.block != TransactionState::Failed;
        let plan = ExchangePlan {
            label: commits.then(|| self.instance.next_transaction_label()),
            confirm: commits,
            in_transaction: true,
            ..ExchangePlan::default()
        };
        let run = self.exchange(&mut pinned.connection, request, &plan, pinned.member, terms).await;
        let ExchangeReport { end, sent, answered } = run;
        match end {
            ExchangeEnd::Complete => {
                self.keep_or_recycle(pinned.connection, pinned.member, request);
                Ok(Ok(()))
            }
            ExchangeEnd::CallerGone => Err(SessionEnd::Closed),
            ExchangeEnd::Lost(_) if commits && !sent => {
                drop(pinned);
                self.block = TransactionState::Idle;
                let label = plan.label.unwrap_or_default();
                Ok(self.end_lost_commit(&label, answered, request, terms).await)
            }
            ExchangeEnd::NotRun | ExchangeEnd::Stale | ExchangeEnd::Lost(_) => {
                drop(pinned);
                self.block = TransactionState::Failed;
                if sent {
                    return Err(broken_answer());
                }
                let detail = "the primary was lost and the transaction is rolled back";
                Ok(Err(RequestRefusal::new(RefusalReason::TransactionLost, detail)))
            }
        }
    }

    /// Settles a commit whose answer was lost.
    async fn end_lost_commit(
        &mut self,
        label: &str,
        answered: bool,
        request: &CallerRequest,
        terms: &RequestTerms,
    ) -> Result<(), RequestRefusal> {
        match self.settle(label, terms.deadline).await {
            SettledOutcome::Committed(position) => {
                self.note_position(position);
                if !answered {
                    self.put_local(&request.body, &LocalAnswer::Command("COMMIT"));
                }
                Ok(())
            }
            SettledOutcome::Absent => {
                self.output.clear();
                let detail = "the primary was replaced before the commit and the transaction is \
                              rolled back";
                Err(RequestRefusal::new(RefusalReason::TransactionLost, detail))
            }
            SettledOutcome::Unknown => {
                self.output.clear();
                Err(outcome_unknown("the commit was sent and its answer is lost"))
            }
        }
    }

    /// Runs a request outside a transaction, on whichever member suits it.
    async fn serve_unpinned(
        &mut self,
        request: &CallerRequest,
        terms: &RequestTerms,
    ) -> Result<Result<(), RequestRefusal>, SessionEnd> {
        let mut backoff = FIRST_BACKOFF;
        let mut primary_only = false;
        for _ in 0..MAX_ATTEMPTS {
            let target = match self.choose_target(request, terms, primary_only).await {
                Ok(target) => target,
                Err(refusal) => return Ok(Err(refusal)),
            };
            let reason = match self.attempt(request, terms, &target).await? {
                AttemptEnd::Done => return Ok(Ok(())),
                AttemptEnd::Refused(refusal) => return Ok(Err(refusal)),
                AttemptEnd::Retry(reason) => reason,
            };
            self.instance.counters.record_retry(reason);
            log_event!(LogEvent::RequestRetried, "reason={}", reason.label());
            primary_only |= reason == RetryReason::StaleResponse;
            if self.instance.now() + backoff >= terms.deadline {
                break;
            }
            sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
        let detail = "no attempt could run before the deadline";
        Ok(Err(RequestRefusal::new(RefusalReason::DeadlinePassed, detail)))
    }

    /// Picks a member, waiting for a primary until the deadline.
    async fn choose_target(
        &self,
        request: &CallerRequest,
        terms: &RequestTerms,
        primary_only: bool,
    ) -> Result<AttemptTarget, RequestRefusal> {
        let mut changes = self.database.subscribe();
        let seen = self.positions.get(&self.entry.name);
        let stated_age = terms.stated_age().filter(|_| !primary_only);
        loop {
            changes.borrow_and_update();
            let now = self.instance.now();
            let target = if request.class.kind == StatementKind::Read && request.synced {
                let needs = ReadRequirements {
                    max_staleness: stated_age,
                    min_position: seen,
                    began_at: self.began_at,
                };
                let (target, views) = self.database.route_read(&needs, now);
                if let RouteTarget::Replica(member) = target {
                    // Without a token the answer must at least reach what the choice rests on.
                    let floor = seen.or(Some(views[member].position.applied_position()));
                    return Ok(AttemptTarget { member, term: None, floor });
                }
                target
            } else {
                self.database.route_write()
            };
            if let RouteTarget::Primary(member) = target {
                let status = self.database.members[member].last_state().status;
                let term = status.map(|status| status.position.term);
                return Ok(AttemptTarget { member, term, floor: seen });
            }
            let waited = timeout_at(terms.deadline.into(), changes.changed()).await;
            if !matches!(waited, Ok(Ok(()))) {
                let detail = format!("database {:?} has no primary", self.entry.name);
                return Err(RequestRefusal::new(RefusalReason::NoPrimary, detail));
            }
        }
    }

    async fn attempt(
        &mut self,
        request: &CallerRequest,
        terms: &RequestTerms,
        target: &AttemptTarget,
    ) -> Result<AttemptEnd, SessionEnd> {
        let mut connection = match self.take_connection(target, terms.deadline).await {
            Ok(connection) => connection,
            Err(end) => return Ok(end),
        };
        let commits = request.may_commit(false);
        let is_write = request.class.kind == StatementKind::Write;
        let plan = ExchangePlan {
            barrier: target.term.is_some() && target.floor.is_none() && !is_write,
            label: commits.then(|| self.instance.next_transaction_label()),
            confirm: commits && request.synced,
            floor: target.floor,
            on_replica: target.term.is_none(),
            in_transaction: false,
        };
        let run = self.exchange(&mut connection, request, &plan, target.member, terms).await;
        let ExchangeReport { end, sent, answered } = run;
        match end {
            ExchangeEnd::Complete => {
                self.count_read(request, target);
                self.keep_or_recycle(connection, target.member, request);
                Ok(AttemptEnd::Done)
            }
            ExchangeEnd::CallerGone => Err(SessionEnd::Closed),
            _ if sent => Err(broken_answer()),
            ExchangeEnd::NotRun => Ok(AttemptEnd::Retry(RetryReason::NotPrimary)),
            ExchangeEnd::Stale => {
                log_event!(LogEvent::AnswerStale, "database={}", self.entry.name);
                Ok(AttemptEnd::Retry(RetryReason::StaleResponse))
            }
            ExchangeEnd::Lost(error) => {
                log_event!(LogEvent::ExchangeLost, "database={}: {error}", self.entry.name);
                drop(connection);
                Ok(self.end_lost(request, terms, &plan, answered).await)
            }
        }
    }

    /// Decides what follows after the connection of an attempt was lost.
    async fn end_lost(
        &mut self,
        request: &CallerRequest,
        terms: &RequestTerms,
        plan: &ExchangePlan,
        answered: bool,
    ) -> AttemptEnd {
        let repeatable = matches!(
            request.class.kind,
            StatementKind::Read | StatementKind::Begin | StatementKind::BeginReadOnly
        );
        if repeatable {
            self.output.clear();
            return AttemptEnd::Retry(RetryReason::ReadLost);
        }
        let label = plan.label.clone().unwrap_or_default();
        match self.settle(&label, terms.deadline).await {
            SettledOutcome::Committed(position) if answered => {
                self.note_position(position);
                AttemptEnd::Done
            }
            SettledOutcome::Committed(position) if !terms.idempotent() => {
                self.note_position(position);
                self.output.clear();
                AttemptEnd::Refused(outcome_unknown("the write is committed, its answer is lost"))
            }
            SettledOutcome::Absent => {
                self.output.clear();
                AttemptEnd::Retry(RetryReason::NotExecuted)
            }
            _ if terms.idempotent() => {
                self.output.clear();
                AttemptEnd::Retry(RetryReason::IdempotentWriteLost)
            }
            _ => {
                self.output.clear();
                AttemptEnd::Refused(outcome_unknown("the write was sent and its answer is lost"))
            }
        }
    }

    async fn take_connection(
        &self,
        target: &AttemptTarget,
        deadline: Instant,
    ) -> Result<PooledConnection, AttemptEnd> {
        let pool = &self.database.members[target.member].pool;
        let taken = tokio::select! {
            biased;
            taken = pool.acquire(self.team, deadline) => taken,
            () = self.replaced(target) => return Err(AttemptEnd::Retry(RetryReason::NotPrimary)),
            () = self.registration.slot().cancelled() => {
                let detail = "the statement was cancelled before it started";
                let refusal = RequestRefusal::new(RefusalReason::Cancelled, detail);
                return Err(AttemptEnd::Refused(refusal));
            }
        };
        taken.map_err(|error| match error {
            PoolError::QueueFull => {
                let detail = "the team has too many requests waiting";
                AttemptEnd::Refused(RequestRefusal::new(RefusalReason::QueueFull, detail))
            }
            PoolError::DeadlineExceeded { retry_after } => {
                let detail = "the request cannot start before its deadline";
                let refusal = RequestRefusal::new(RefusalReason::DeadlinePassed, detail);
                AttemptEnd::Refused(refusal.with_retry_after(retry_after))
            }
            PoolError::Connect { .. } => AttemptEnd::Retry(RetryReason::ConnectFailed),
        })
    }

    async fn replaced(&self, target: &AttemptTarget) {
        match target.term {
            Some(term) => self.database.wait_until_replaced(target.member, term).await,
            None => std::future::pending().await,
        }
    }

    /// Runs an exchange until it ends, another primary takes the member's place, or a replica no
    /// longer answers.
    async fn exchange(
        &mut self,
        connection: &mut PooledConnection,
        request: &CallerRequest,
        plan: &ExchangePlan,
        member: usize,
        terms: &RequestTerms,
    ) -> ExchangeReport {
        let connection = connection.connection_mut();
        self.registration.slot().set_running(connection.cancel_handle());
        let term = connection.position().map(|position| position.term);
        let mark = self.output.len();
        let sent = AtomicBool::new(false);
        let mut output = CallerOutput {
            socket: &mut self.socket,
            buffer: &mut self.output,
            mark,
            sent: &sent,
            answered: false,
        };
        let database = self.database.clone();
        let given_up = async {
            match term {
                _ if plan.on_replica => database.wait_until_unreachable(member).await,
                Some(term) => database.wait_until_replaced(member, term).await,
                None => std::future::pending().await,
            }
        };
        let end = {
            let run = exchange::run(connection, request, plan, &mut output, terms.deadline);
            tokio::pin!(run);
            tokio::select! {
                biased;
                end = &mut run => end,
                // Of a plain read that the caller has in part only this member has the rest.
                () = given_up => match plan.is_plain_read() && sent.load(Ordering::Relaxed) {
                    true => run.await,
                    false => ExchangeEnd::Lost(MemberError::Protocol { expected: GIVEN_UP }),
                },
            }
        };
        let (sent, answered) = (output.is_sent(), output.answered);
        if !matches!(end, ExchangeEnd::Complete) && !answered {
            output.rewind();
        }
        self.registration.slot().set_running(None);
        if let (ExchangeEnd::Complete, Some(position)) = (&end, connection.position()) {
            self.database.record_position(member, position);
            self.note_position(position.applied_position());
        }
        ExchangeReport { end, sent, answered }
    }

    /// Returns a connection to its pool, or keeps it for an open transaction.
    fn keep_or_recycle(
        &mut self,
        mut connection: PooledConnection,
        member: usize,
        request: &CallerRequest,
    ) {
        let unfinished = !request.synced;
        self.block = connection.connection_mut().transaction_state();
        if self.block == TransactionState::Idle && !unfinished {
            connection.release();
            return;
        }
        let pinned = PinnedConnection { connection, member, unfinished };
        self.pinned = Some(Box::new(pinned));
    }

    fn note_position(&mut self, position: LogPosition) {
        let name = self.entry.name.clone();
        self.positions_moved |= self.positions.advance(&name, position);
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

/// Ends the session after part of an answer was sent and the rest is lost.
fn broken_answer() -> SessionEnd {
    SessionEnd::Refused(outcome_unknown("the answer broke off"))
}
