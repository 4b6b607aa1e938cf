//! Execution of one statement of a caller: choice of the endpoint, retries and the outcome.
//!
//! A statement is retried only if it certainly did not run. The exceptions are single reads and the
//! first statement of a transaction, which change nothing before a commit is sent.

use std::rc::Rc;
use std::time::{Duration, Instant};

use coord::evacuation::WorkKind;
use coord::session::{ForwardPlan, SessionId, SessionMachine};
use metrics::counter;
use state::position::LogPosition;
use state::store_version::DocumentVersion;
use telemetry::event::LogEvent;
use telemetry::{log_event, meter};
use tokio::time::sleep;

use crate::attempt::{AttemptOutcome, StatementBatch, build_result};
use crate::attempt_history::{AttemptHistory, RetryOrigin, adds_load};
use crate::candidates::{ReadEndpoint, RequestScope, Unavailability};
use crate::dispatch::CallTimes;
use crate::endpoint_choice::{ChosenEndpoint, request_scope};
use crate::instance::{EngineTypes, GatewayInstance};
use crate::interface::{ControlStatement, RefusalCode, WatchedTable, WireCodec};
use crate::message::{ExecuteOutcome, NotSentReason, millis};
use crate::peer_link::LinkLease;
use crate::record::RouteRecord;
use crate::service_load::ruled_out_wait;

/// Maximum attempts of one statement, over all endpoints.
const MAX_ATTEMPTS: usize = 24;
/// Delay before a retry while the service has no leader or its endpoint cannot be reached.
pub(crate) const NO_LEADER_BACKOFF: Duration = Duration::from_millis(25);
/// Delay before a retry after an endpoint had no capacity.
pub(crate) const BUSY_BACKOFF: Duration = Duration::from_millis(8);
/// Fraction of the target latency within which a statement must start.
const START_TIMEOUT_FRACTION: f64 = 0.75;
/// Fraction of the target latency that an operation may wait for the rate limit of its team.
pub(crate) const ADMISSION_TIMEOUT_FRACTION: f64 = 0.4;
/// Minimum retry delay reported to a caller.
pub(crate) const MIN_RETRY_DELAY: Duration = Duration::from_millis(25);
/// Retry delay reported while only members of evacuated zones or other regions could serve: half of
/// the duration of a promotion.
pub(crate) const UNAVAILABLE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Cause of a refusal as the instance has missed a document. Others serve a retry at once.
const OUTDATED_CAUSE: &str = "the document of this instance is not up to date";

/// Open transaction that is pinned to a connection.
#[derive(Clone, Debug)]
pub struct PinnedTransaction {
    /// Instance that owns the connection.
    pub owner: String,
    /// Endpoint that runs the transaction.
    pub endpoint: String,
    /// Identifier of the transaction, unique on the instance of its session.
    pub transaction_id: u32,
    /// Keeps the connection to the owner open; `None` if it is this instance.
    pub link_lease: Option<LinkLease>,
}

/// Statement with the context of its session.
pub struct StatementContext<'a> {
    /// Forwarding plan of the statement.
    pub plan: &'a ForwardPlan,
    /// Route of the session.
    pub route: &'a RouteRecord,
    /// Team of the caller.
    pub team: &'a str,
    /// Version of the document that the route and the team are from.
    pub document_version: DocumentVersion,
    /// Identifier of the request.
    pub request_id: &'a str,
    /// Text as sent by the caller.
    pub text: &'a str,
    /// State machine of the session.
    pub machine: &'a SessionMachine,
    /// Identifier of the session, unique over all instances.
    pub session_id: SessionId,
    /// Session settings that the pinned connection of the transaction does not have yet.
    pub pending_setup: Vec<String>,
    /// Time at which the statement arrived; its transaction may have begun long before.
    pub arrived_at: Instant,
}

/// Outcome of a statement.
pub enum StatementResult {
    /// A member ran the statement.
    Success {
        /// Lines for the caller.
        content: Vec<u8>,
        /// Log position of the member after the statement.
        position: Option<LogPosition>,
        /// Transaction that the statement opened, if it stays open.
        transaction: Option<PinnedTransaction>,
    },
    /// The statement failed.
    Failure {
        /// Lines of the member's answer; empty if no member answered.
        content: Vec<u8>,
        /// Error code.
        code: RefusalCode,
        /// Explanation for the caller.
        explanation: String,
    },
}

impl StatementResult {
    /// Returns whether the caller is told that the statement did not run.
    fn is_not_run(&self) -> bool {
        matches!(self, Self::Failure { content, code: RefusalCode::Busy, .. } if content.is_empty())
    }
}

impl<E: EngineTypes> GatewayInstance<E> {
    /// Runs a statement and returns its result.
    pub async fn run_statement(
        self: &Rc<Self>,
        context: &StatementContext<'_>,
        pinned: Option<&PinnedTransaction>,
    ) -> StatementResult {
        if context.plan.pinned {
            return self.run_pinned(context, pinned).await;
        }
        // Deadlines count from the statement, not from the begin of its transaction: the caller may
        // have been idle in between.
        let (arrived_at, route) = (context.arrived_at, context.route);
        let latest_start = arrived_at + route.target_latency.mul_f64(START_TIMEOUT_FRACTION);
        let deadline = arrived_at + route.statement_timeout;
        let times = CallTimes { latest_start, deadline, reach_limit: latest_start };
        // Refused before it waits for the limit of its team, and without taking a token.
        if let Some(refusal) = self.refuse_before_admission(context, times) {
            return refusal;
        }
        let max_wait = route.target_latency.mul_f64(ADMISSION_TIMEOUT_FRACTION);
        let token = match self.admit(context.team, route.priority, max_wait).await {
            Ok(token) => token,
            Err(retry_after) => return not_run("over the limit of the team", retry_after),
        };
        let mut history = AttemptHistory::default();
        let result = self.run_admitted(context, times, &mut history).await;
        if result.is_not_run()
            && !history.may_have_run
            && let Some(token) = token
        {
            self.return_token(context.team, token, route.priority);
        }
        result
    }

    /// Runs a statement that was admitted, at one member after the other as long as it did not run.
    async fn run_admitted(
        self: &Rc<Self>,
        context: &StatementContext<'_>,
        mut times: CallTimes,
        history: &mut AttemptHistory,
    ) -> StatementResult {
        let route = context.route;
        // The document may have changed while the statement waited for a token.
        let document = self.directory.borrow().document();
        let scope = request_scope(context, &document);
        for attempt in 0..MAX_ATTEMPTS {
            let now = self.now();
            times.reach_limit = self.reach_limit(context, times, now);
            let retry_limit = if history.was_taken { times.deadline } else { times.reach_limit };
            if attempt > 0 && now >= retry_limit {
                break;
            }
            let chosen = match self.choose_endpoint(context, &scope, &history.failed, now) {
                Ok(chosen) => chosen,
                Err(unavailability) => return self.refuse_unavailable(context, unavailability),
            };
            let Some(ChosenEndpoint { endpoint, required }) = chosen else {
                if history.has_only_evacuated() {
                    return self.refuse_unavailable(context, Unavailability::Evacuated);
                }
                let pause = history.pause();
                if history.has_only_full_queues() || now + pause >= retry_limit {
                    break;
                }
                sleep(pause).await;
                history.start_round();
                continue;
            };
            let ReadEndpoint { name: endpoint, leads, catch_up_wait } = endpoint;
            if !catch_up_wait.is_zero() {
                if now + catch_up_wait > self.latest_catch_up(context, times) {
                    let (cause, origin) = ("member_lags", RetryOrigin::Queue);
                    history.record(RefusalCode::Busy, cause, catch_up_wait, origin);
                    history.failed.push(endpoint);
                    continue;
                }
                sleep(catch_up_wait).await;
            }
            match self.execute_attempt(context, &scope, &endpoint, leads, required, times).await {
                AttemptOutcome::Done(result) => {
                    let (service, read_only) = (&route.service, context.plan.read_only);
                    self.service_loads.record_answer(service, read_only, history.retries);
                    return result;
                }
                AttemptOutcome::InDoubt { .. } if context.plan.changes_data() => {
                    let explanation = "the answer of the member is lost".to_owned();
                    return failure(RefusalCode::Unknown, explanation);
                }
                AttemptOutcome::InDoubt { is_owner_lost } => {
                    history.last_failure =
                        (RefusalCode::Aborted, "the answer of the member is lost", MIN_RETRY_DELAY);
                    (history.was_taken, history.may_have_run) = (true, true);
                    history.has_other_failures = true;
                    self.log_retry(context, &endpoint, "answer_lost", attempt);
                    history.failed.push(endpoint);
                    if !is_owner_lost && !self.take_retry(context, history) {
                        break;
                    }
                }
                AttemptOutcome::Outdated => {
                    self.store_readers[WatchedTable::Document.index()].request();
                    if history.may_have_run {
                        return failure(RefusalCode::Aborted, OUTDATED_CAUSE.to_owned());
                    }
                    return not_run(OUTDATED_CAUSE, Duration::ZERO);
                }
                AttemptOutcome::Retry { code, cause, backoff, origin } => {
                    history.record(code, cause, backoff, origin);
                    self.log_retry(context, &endpoint, cause, attempt);
                    history.failed.push(endpoint);
                    if history.was_taken {
                        let read_only = context.plan.read_only;
                        self.service_loads.record_reached(&route.service, read_only);
                    }
                    if origin == RetryOrigin::Member
                        && adds_load(code)
                        && !self.take_retry(context, history)
                    {
                        break;
                    }
                }
            }
        }
        let (code, cause, _) = history.last_failure;
        match code {
            RefusalCode::Aborted | RefusalCode::Failed | RefusalCode::Timeout => {
                failure(code, cause.to_owned())
            }
            // A read whose answer was lost has run, whatever its retries met.
            _ if history.may_have_run => failure(RefusalCode::Aborted, cause.to_owned()),
            _ if history.has_only_evacuated() => {
                self.refuse_unavailable(context, Unavailability::Evacuated)
            }
            _ => not_run(cause, self.expected_capacity(context, history)),
        }
    }

    /// Refuses a statement that no member may run, or that none can run in time.
    fn refuse_before_admission(
        &self,
        context: &StatementContext<'_>,
        times: CallTimes,
    ) -> Option<StatementResult> {
        let document = self.directory.borrow().document();
        let scope = request_scope(context, &document);
        if self.directory.borrow().may_restrict(&scope)
            && let Err(unavailability) =
                self.find_endpoint(context, &scope, &[], || 0.0, self.now())
        {
            return Some(self.refuse_unavailable(context, unavailability));
        }
        self.service_loads.record_request(&context.route.service);
        self.refuse_on_arrival(context, &scope, times)
    }

    /// Runs a statement on the connection of the open transaction.
    async fn run_pinned(
        self: &Rc<Self>,
        context: &StatementContext<'_>,
        pinned: Option<&PinnedTransaction>,
    ) -> StatementResult {
        let Some(transaction) = pinned else {
            return failure(RefusalCode::Aborted, "the transaction is no longer open".to_owned());
        };
        let mut bytes = Vec::new();
        E::Codec::encode_statement(&mut bytes, context.request_id, None, context.text);
        let commits = context.plan.commits;
        let batch =
            StatementBatch { bytes, count: 1, keep_pinned: !commits, ..StatementBatch::default() };
        let mut call =
            self.build_call(context, &transaction.endpoint, batch, transaction.transaction_id);
        call.pinned = true;
        (call.setup_bytes, call.setup_count) = (Vec::new(), 0);
        for text in &context.pending_setup {
            E::Codec::encode_control(&mut call.setup_bytes, ControlStatement::Setup(text));
            call.setup_count += 1;
        }
        call.answer_timeout_ms = millis(context.route.statement_timeout);
        let admits = |instance: &Self| {
            let now = instance.now();
            let directory = instance.directory.borrow();
            directory.admits(&transaction.endpoint, WorkKind::Pinned, context.team, now)
        };
        if !admits(self) {
            return evacuated_transaction();
        }
        let reply = self.dispatch_to(&transaction.owner, call, Duration::MAX).await;
        match reply.outcome {
            ExecuteOutcome::NotSent { reason: NotSentReason::Evacuated, .. } => {
                evacuated_transaction()
            }
            ExecuteOutcome::NotSent { reason: NotSentReason::SetupRefused, .. } => {
                let explanation = "the member refused a setting of the session".to_owned();
                failure(RefusalCode::Aborted, explanation)
            }
            ExecuteOutcome::Answered(answers) => build_result(answers, 0, None),
            ExecuteOutcome::InDoubt | ExecuteOutcome::AnswerLost if commits => {
                failure(RefusalCode::Unknown, "the answer to the commit is lost".to_owned())
            }
            _ => failure(
                RefusalCode::Aborted,
                "the connection of the transaction is lost".to_owned(),
            ),
        }
    }

    /// Refuses a statement that none of its candidates can serve by what their connection owners have
    /// reported.
    fn refuse_on_arrival(
        &self,
        context: &StatementContext<'_>,
        scope: &RequestScope<'_>,
        times: CallTimes,
    ) -> Option<StatementResult> {
        let (now, service, level) = (self.now(), &context.route.service, context.route.priority);
        let window = times.start_window();
        let directory = self.directory.borrow();
        let view = |name: &String| directory.endpoint(name).map(|entry| &entry.view);
        // While no member is overloaded, the candidates need not be determined here.
        let mut views = directory.members(service).iter().filter_map(view);
        if !views.any(|view| view.wait_floor.rules_out(level, window, now)) {
            return None;
        }
        let mut candidates = directory.write_candidates(service, scope, now);
        if context.plan.read_only {
            let (order, _) = self.read_order(context, scope, || self.random_fraction(), now);
            candidates.extend(order.into_iter().map(|endpoint| endpoint.name));
        }
        if candidates.is_empty() {
            let unavailability = directory.unavailability(service, scope, now)?;
            return Some(self.refuse_unavailable(context, unavailability));
        }
        let wait = ruled_out_wait(candidates.iter().filter_map(view), level, window, now)?;
        counter!(meter::SHED_REQUESTS, "cause" => "queue_known").increment(1);
        let wait = wait.min(context.route.statement_timeout);
        Some(not_run(NotSentReason::QueueDelay.label(), self.spread_delay(wait)))
    }

    /// Returns until when a read may wait for a replica to catch up: it is served before its deadline.
    fn latest_catch_up(&self, context: &StatementContext<'_>, times: CallTimes) -> Instant {
        let (service, class) = (&context.route.service, context.route.service_class());
        let usual_time = self.directory.borrow().usual_service_time(service, class);
        times.deadline.checked_sub(2 * usual_time).unwrap_or(context.arrived_at)
    }

    /// Takes a retry from the budget of the service; returns whether there was one.
    fn take_retry(&self, context: &StatementContext<'_>, history: &mut AttemptHistory) -> bool {
        let is_allowed = self.service_loads.try_retry(&context.route.service);
        history.retries += u16::from(is_allowed);
        is_allowed
    }

    /// Returns until when the statement waits for a member that takes it.
    fn reach_limit(
        &self,
        context: &StatementContext<'_>,
        times: CallTimes,
        now: Instant,
    ) -> Instant {
        let read_only = context.plan.read_only;
        let (arrived_at, latest_start) = (context.arrived_at, times.latest_start);
        self.service_loads.reach_limit(context.route, read_only, arrived_at, latest_start, now)
    }

    /// Returns the retry delay for a statement that did not run.
    fn expected_capacity(
        &self,
        context: &StatementContext<'_>,
        history: &AttemptHistory,
    ) -> Duration {
        let (service, read_only) = (&context.route.service, context.plan.read_only);
        let (expected, cause) = if let Some(wait) = history.queue_wait {
            (wait, "queue")
        } else if history.was_taken {
            (history.last_failure.2, "retries")
        } else {
            let now = self.now();
            self.service_loads.record_unreached(service, read_only, context.arrived_at, now);
            // Without a connection owner this instance may be cut off, and others serve a retry.
            let is_cut_off = history.last_failure.1 == NotSentReason::NoOwner.label();
            let rest = self.service_loads.expected_rest(service, read_only, now);
            (if is_cut_off { Duration::ZERO } else { rest }, "unreached")
        };
        counter!(meter::SHED_REQUESTS, "cause" => cause).increment(1);
        self.spread_delay(expected)
    }

    /// Refuses a request that only members of evacuated zones or of other regions could run.
    fn refuse_unavailable(
        &self,
        context: &StatementContext<'_>,
        unavailability: Unavailability,
    ) -> StatementResult {
        let (label, cause) = match unavailability {
            Unavailability::Evacuated => {
                ("evacuated", "the members that could run the statement are evacuated")
            }
            Unavailability::Region => {
                log_event!(
                    LogEvent::RegionUnavailable,
                    "request={} team={} database={} service={}",
                    context.request_id,
                    context.team,
                    context.route.database,
                    context.route.service
                );
                ("region", "no member that could run the statement is in an allowed region")
            }
        };
        counter!(meter::UNAVAILABLE, "reason" => label).increment(1);
        not_run(cause, UNAVAILABLE_RETRY_DELAY)
    }

    fn log_retry(
        &self,
        context: &StatementContext<'_>,
        endpoint: &str,
        cause: &'static str,
        attempt: usize,
    ) {
        counter!(meter::RETRIES, "reason" => cause).increment(1);
        let waited = self.now().saturating_duration_since(context.arrived_at);
        log_event!(
            LogEvent::RequestRetried,
            "request={} team={} service={} endpoint={endpoint} cause={cause} attempt={attempt} \
             waited_ms={} timeout_ms={}",
            context.request_id,
            context.team,
            context.route.service,
            waited.as_millis(),
            context.route.statement_timeout.as_millis()
        );
    }
}

pub(crate) fn failure(code: RefusalCode, explanation: String) -> StatementResult {
    StatementResult::Failure { content: Vec::new(), code, explanation }
}

fn evacuated_transaction() -> StatementResult {
    let explanation = "the zone of the transaction's member is evacuated".to_owned();
    failure(RefusalCode::Aborted, explanation)
}

/// Returns the failure of a statement that certainly did not run, with a retry delay.
fn not_run(cause: &str, retry_after: Duration) -> StatementResult {
    let retry_after_ms = retry_after.max(MIN_RETRY_DELAY).as_millis();
    failure(RefusalCode::Busy, format!("not run: {cause}; retry after {retry_after_ms} ms"))
}
