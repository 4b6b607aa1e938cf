//! Runs one statement of a caller: where, how often, and what its outcome means.
//!
//! Only what provably did not run is tried again, besides single reads and the first statement of
//! a transaction, which change nothing until a commit that was not sent.

use std::rc::Rc;
use std::time::{Duration, Instant};

use coord::dialogue::{ForwardPlan, SessionDialogue};
use coord::marks::MarkRing;
use metrics::counter;
use state::position::LogPosition;
use telemetry::event::LogEvent;
use telemetry::{log_event, meter};
use tokio::time::sleep;

use crate::interface::{ControlStatement, RefusalCode, WireCodec};
use crate::message::{ExecuteCall, ExecuteOutcome, NotSentReason, StatementAnswer, millis};
use crate::node::{EngineEdge, GatewayNode};
use crate::record::{RouteConsistency, RouteRecord};

/// Places at which one statement is tried.
const TRIED_PLACES: usize = 24;
/// Pause before a statement is tried again at a service that has no leader yet.
const LEADER_PAUSE: Duration = Duration::from_millis(25);
/// Pause before a statement is tried again after an endpoint was full.
const FULL_PAUSE: Duration = Duration::from_millis(8);
/// Part of the target latency that may pass before a statement starts.
const START_PART: f64 = 0.75;
/// Part of the target latency for which an operation waits for the limit of its team.
const LIMIT_PART: f64 = 0.4;
/// Least time to state when a statement is refused.
const LEAST_RETRY: Duration = Duration::from_millis(25);

/// Holder and endpoint of an open transaction.
#[derive(Clone, Debug)]
pub struct PinnedTransaction {
    /// Instance that holds the connection.
    pub owner: String,
    /// Endpoint.
    pub endpoint: String,
    /// Number of the transaction.
    pub transaction_id: u32,
}

/// Statement with all that decides where it runs.
pub struct StatementContext<'a> {
    /// How it must run.
    pub plan: &'a ForwardPlan,
    /// Route of the session.
    pub route: &'a RouteRecord,
    /// Team of the caller.
    pub team: &'a str,
    /// Identifier of the request.
    pub request_id: &'a str,
    /// Text as sent.
    pub text: &'a str,
    /// State of the session.
    pub session_state: &'a SessionDialogue,
    /// Number of the session.
    pub session_id: u64,
    /// Settings that the connection of the open transaction lacks.
    pub pending_setup: Vec<String>,
    /// Arrival of the statement; its transaction may have begun long before.
    pub arrived_at: Instant,
}

/// Outcome of a statement.
pub enum StatementResult {
    /// A member ran it.
    Success {
        /// Lines for the caller.
        content: Vec<u8>,
        /// Position of the member.
        position: Option<LogPosition>,
        /// Where the transaction that it opened goes on.
        transaction: Option<PinnedTransaction>,
    },
    /// It did not succeed.
    Failure {
        /// Lines of the member's answer; empty if no member answered.
        content: Vec<u8>,
        /// Reason.
        code: RefusalCode,
        /// Explanation for the caller.
        explanation: String,
    },
}

/// Way in which a statement is sent to an endpoint.
#[derive(Default)]
struct StatementShape {
    /// Opens a transaction; must succeed before the rest is sent.
    opening: Vec<u8>,
    bytes: Vec<u8>,
    /// Statements in `bytes`.
    count: u8,
    /// Answer that is the caller's.
    answer: u8,
    proof: Option<u8>,
    keeps: bool,
    repeatable: bool,
}

/// What one try brought.
enum TryOutcome {
    Done(StatementResult),
    /// Did not run; another try makes sense after a pause, at the same or another endpoint.
    Again {
        code: RefusalCode,
        cause: &'static str,
        pause: Duration,
    },
    /// Sent and not answered.
    Lost,
}

impl<E: EngineEdge> GatewayNode<E> {
    /// Runs a statement and tells what became of it.
    pub async fn run_statement(
        self: &Rc<Self>,
        context: &StatementContext<'_>,
        pinned: Option<&PinnedTransaction>,
    ) -> StatementResult {
        if context.plan.pinned {
            return self.run_pinned(context, pinned).await;
        }
        let patience = context.route.target_latency.mul_f64(LIMIT_PART);
        if let Err(wait) = self.admit(context.team, context.route.priority, patience).await {
            return not_run("over the limit of the team", wait);
        }
        // The caller's pause after the opening of a transaction is not the statement's wait.
        let arrived_at = context.arrived_at;
        let soft = arrived_at + context.route.target_latency.mul_f64(START_PART);
        let deadline = arrived_at + context.route.statement_timeout;
        let mut failed: Vec<String> = Vec::new();
        let mut last = (RefusalCode::Busy, "no endpoint", LEAST_RETRY);
        for attempt in 0..TRIED_PLACES {
            let now = self.now();
            if attempt > 0 && now >= soft {
                break;
            }
            let Some((endpoint, leads, needed)) = self.choose(context, &failed, now) else {
                if failed.is_empty() {
                    sleep(LEADER_PAUSE).await;
                }
                failed.clear();
                continue;
            };
            match self.try_at(context, &endpoint, leads, needed, soft, deadline).await {
                TryOutcome::Done(result) => return result,
                TryOutcome::Lost if context.plan.changes_data() => {
                    let explanation = "the answer of the member is lost".to_owned();
                    return failure(RefusalCode::Unknown, explanation);
                }
                TryOutcome::Lost => {
                    last = (RefusalCode::Aborted, "the answer of the member is lost", LEAST_RETRY);
                    self.log_retry(context, &endpoint, "answer_lost", attempt);
                    failed.push(endpoint);
                }
                TryOutcome::Again { code, cause, pause } => {
                    last = (code, cause, pause);
                    self.log_retry(context, &endpoint, cause, attempt);
                    let leaderless = code == RefusalCode::ReadOnly;
                    failed.push(endpoint);
                    let pause = if leaderless && failed.len() >= 2 { LEADER_PAUSE } else { pause };
                    if failed.len() >= 2 || !context.plan.read_only {
                        sleep(pause.min(soft.saturating_duration_since(self.now()))).await;
                    }
                }
            }
        }
        let (code, cause, pause) = last;
        match code {
            RefusalCode::Aborted | RefusalCode::Failed | RefusalCode::Timeout => {
                failure(code, cause.to_owned())
            }
            _ => not_run(cause, pause),
        }
    }

    /// Runs a statement on the connection of the open transaction.
    async fn run_pinned(
        self: &Rc<Self>,
        context: &StatementContext<'_>,
        pinned: Option<&PinnedTransaction>,
    ) -> StatementResult {
        let Some(place) = pinned else {
            return failure(RefusalCode::Aborted, "the transaction is gone".to_owned());
        };
        let mut bytes = Vec::new();
        E::Codec::encode_statement(&mut bytes, context.request_id, None, context.text);
        let commits = context.plan.commits;
        let shape =
            StatementShape { bytes, count: 1, keeps: !commits, ..StatementShape::default() };
        let mut call = self.build_call(context, &place.endpoint, shape, place.transaction_id);
        call.pinned = true;
        call.setup_bytes.clear();
        for text in &context.pending_setup {
            E::Codec::encode_control(&mut call.setup_bytes, ControlStatement::Setup(text));
        }
        call.setup_count = u8::try_from(context.pending_setup.len()).unwrap_or(u8::MAX);
        call.answer_timeout_ms = millis(context.route.statement_timeout);
        let reply = self.dispatch_to(&place.owner, call).await;
        match reply.outcome {
            ExecuteOutcome::Answered(answers) => finish(answers, 0, None),
            ExecuteOutcome::Lost if commits => {
                failure(RefusalCode::Unknown, "the answer to the commit is lost".to_owned())
            }
            ExecuteOutcome::Lost | ExecuteOutcome::NotSent { .. } => failure(
                RefusalCode::Aborted,
                "the connection of the transaction is lost".to_owned(),
            ),
        }
    }

    /// Chooses the endpoint for the next try, with the position that a replica must have.
    fn choose(
        &self,
        context: &StatementContext<'_>,
        failed: &[String],
        now: Instant,
    ) -> Option<(String, bool, Option<LogPosition>)> {
        let directory = self.directory.borrow();
        let service = &context.route.service;
        let is_new = |name: &String| !failed.contains(name);
        if !context.plan.read_only {
            let order = directory.write_candidates(service, now);
            return order.into_iter().find(is_new).map(|endpoint| (endpoint, true, None));
        }
        let needed = context.route.consistency.max_staleness().and_then(|stated_age| {
            let marks = directory.watermarks(service)?;
            let mark = marks.oldest_within(context.plan.began_at, stated_age)?;
            let own = match context.route.consistency {
                RouteConsistency::ReadYourWrites { .. } => context.session_state.own_commit(),
                _ => None,
            };
            Some(MarkRing::needed_position(mark, own))
        });
        let zone = &self.settings.record.zone;
        let order = directory.read_candidates(service, zone, needed, now);
        let found = order.into_iter().find(|(name, _)| is_new(name));
        match found {
            Some((endpoint, leads)) => Some((endpoint, leads, needed)),
            // The leader may be another member than this instance believes.
            None => {
                let order = directory.write_candidates(service, now);
                order.into_iter().find(is_new).map(|endpoint| (endpoint, true, None))
            }
        }
    }

    async fn try_at(
        self: &Rc<Self>,
        context: &StatementContext<'_>,
        endpoint: &str,
        leads: bool,
        needed: Option<LogPosition>,
        soft: Instant,
        deadline: Instant,
    ) -> TryOutcome {
        let shape = shape_statement::<E::Codec>(context, leads, needed);
        let (answer, proof, keeps) = (shape.answer, shape.proof, shape.keeps);
        let channel = if keeps { self.new_channel() } else { 0 };
        let call = self.build_call(context, endpoint, shape, channel);
        let now = self.now();
        let held = self.dispatch(call, soft, deadline).await;
        match held.reply.outcome {
            ExecuteOutcome::Answered(answers) => {
                if let Some(proof) = proof.and_then(|index| answers.get(usize::from(index))) {
                    self.learn_leader(endpoint, proof, now);
                }
                let opened = PinnedTransaction {
                    owner: held.holder,
                    endpoint: endpoint.to_owned(),
                    transaction_id: channel,
                };
                judge(context, answers, answer, keeps.then_some(opened))
            }
            ExecuteOutcome::NotSent { reason, retry_ms } => TryOutcome::Again {
                code: RefusalCode::Busy,
                cause: reason.label(),
                pause: match reason {
                    NotSentReason::QueueDelay | NotSentReason::NoConnection => {
                        Duration::from_millis(retry_ms.into()).max(FULL_PAUSE)
                    }
                    _ => LEADER_PAUSE,
                },
            },
            ExecuteOutcome::Lost => TryOutcome::Lost,
        }
    }

    fn build_call(
        &self,
        context: &StatementContext<'_>,
        endpoint: &str,
        shape: StatementShape,
        channel: u32,
    ) -> ExecuteCall {
        let version = context.session_state.setup_version();
        let mut setup_bytes = Vec::new();
        let mut setup_count = 1;
        E::Codec::encode_control(&mut setup_bytes, ControlStatement::Reset);
        for text in context.session_state.setup_texts() {
            E::Codec::encode_control(&mut setup_bytes, ControlStatement::Setup(text));
            setup_count += 1;
        }
        let setup = match version {
            0 => 0,
            _ => context.session_id.rotate_left(20) ^ u64::from(version),
        };
        ExecuteCall {
            endpoint: endpoint.to_owned(),
            team: context.team.to_owned(),
            transaction_id: channel,
            pinned: false,
            keep_pinned: shape.keeps,
            priority: context.route.priority,
            start_timeout_ms: 0,
            answer_timeout_ms: 0,
            setup_id: setup,
            setup_bytes,
            setup_count,
            begin_bytes: shape.opening,
            bytes: shape.bytes,
            count: shape.count,
            confirming_answer: shape.proof,
            retryable: shape.repeatable,
        }
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

/// Builds the bytes for an endpoint that leads or follows.
fn shape_statement<C: WireCodec>(
    context: &StatementContext<'_>,
    leads: bool,
    needed: Option<LogPosition>,
) -> StatementShape {
    let plan = context.plan;
    let mut shape = StatementShape { count: 1, ..StatementShape::default() };
    let statement = |bytes: &mut Vec<u8>, after| {
        C::encode_statement(bytes, context.request_id, after, context.text);
    };
    if plan.opens {
        // Only a leader accepts the plain form, so it proves the lead for the whole transaction.
        let begin = if leads { ControlStatement::Begin } else { ControlStatement::BeginRead };
        C::encode_control(&mut shape.opening, begin);
        statement(&mut shape.bytes, if leads || plan.commits { None } else { needed });
        shape.answer = 1;
        shape.proof = leads.then_some(0);
        (shape.keeps, shape.repeatable) = (!plan.commits, !plan.commits);
    } else if plan.writes {
        statement(&mut shape.bytes, None);
        shape.proof = Some(0);
    } else if leads {
        C::encode_control(&mut shape.opening, ControlStatement::Begin);
        statement(&mut shape.bytes, None);
        C::encode_control(&mut shape.bytes, ControlStatement::Rollback);
        (shape.count, shape.answer, shape.proof) = (2, 1, Some(0));
        shape.repeatable = true;
    } else {
        statement(&mut shape.bytes, needed);
        shape.repeatable = true;
    }
    shape
}

/// Decides what the answers to an operation's first statement mean.
fn judge(
    context: &StatementContext<'_>,
    answers: Vec<StatementAnswer>,
    answer: u8,
    place: Option<PinnedTransaction>,
) -> TryOutcome {
    let error = answers.iter().take(usize::from(answer) + 1).find_map(|answer| answer.error);
    let Some(code) = error else {
        return TryOutcome::Done(finish(answers, answer, place));
    };
    let again = |cause| TryOutcome::Again { code, cause, pause: FULL_PAUSE };
    match code {
        RefusalCode::Busy => again("member_busy"),
        RefusalCode::Lagging => again("member_lags"),
        RefusalCode::ReadOnly => again("member_follows"),
        RefusalCode::UnknownName => again("member_lacks_name"),
        RefusalCode::WrongMember => again("member_wrong"),
        RefusalCode::TooManyConnections => again("member_connections"),
        RefusalCode::Aborted if !context.plan.changes_data() => again("member_aborted"),
        RefusalCode::Failed | RefusalCode::Timeout if context.plan.read_only => {
            again("member_failed")
        }
        _ => TryOutcome::Done(finish(answers, answer, place)),
    }
}

/// Turns the answers of a member into the outcome for the caller.
fn finish(
    mut answers: Vec<StatementAnswer>,
    answer: u8,
    place: Option<PinnedTransaction>,
) -> StatementResult {
    let first_error = answers.iter().take(usize::from(answer)).find_map(|answer| answer.error);
    let index = usize::from(answer).min(answers.len().saturating_sub(1));
    let answer = answers.swap_remove(index);
    match (first_error, answer.error) {
        (None, None) => StatementResult::Success {
            content: answer.content,
            position: answer.position,
            transaction: place,
        },
        (Some(code), _) => failure(code, "the transaction could not be opened".to_owned()),
        (None, Some(code)) => {
            StatementResult::Failure { content: answer.content, code, explanation: String::new() }
        }
    }
}

fn failure(code: RefusalCode, explanation: String) -> StatementResult {
    StatementResult::Failure { content: Vec::new(), code, explanation }
}

/// Refuses what provably did not run, with the time after which another try has a chance.
fn not_run(cause: &str, retry: Duration) -> StatementResult {
    let retry = retry.max(LEAST_RETRY).as_millis();
    failure(RefusalCode::Busy, format!("not run: {cause}; retry after {retry} ms"))
}
