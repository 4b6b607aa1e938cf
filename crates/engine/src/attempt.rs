//! One attempt of a statement at one endpoint.

use std::rc::Rc;
use std::time::Duration;

use coord::connection_setup::SetupId;
use state::position::LogPosition;

use crate::attempt_history::RetryOrigin;
use crate::candidates::RequestScope;
use crate::dispatch::CallTimes;
use crate::instance::{EngineTypes, GatewayInstance};
use crate::interface::{ControlStatement, RefusalCode, WireCodec};
use crate::message::{ExecuteCall, ExecuteOutcome, NotSentReason, StatementAnswer, service_hash};
use crate::statement::{
    BUSY_BACKOFF, NO_LEADER_BACKOFF, PinnedTransaction, StatementContext, StatementResult, failure,
};

/// Statements that are sent to an endpoint for one statement of a caller.
#[derive(Default)]
pub(crate) struct StatementBatch {
    /// Statement that opens a transaction and must succeed before the rest is sent.
    pub(crate) begin_bytes: Vec<u8>,
    pub(crate) bytes: Vec<u8>,
    /// Number of statements in `bytes`.
    pub(crate) count: u8,
    /// Index of the answer that is returned to the caller, counted like `confirming_answer_index`.
    pub(crate) answer_index: u8,
    /// Index of the answer whose success confirms that the endpoint is the leader, counted from the
    /// answer to `begin_bytes` if there is one.
    pub(crate) confirming_answer_index: Option<u8>,
    pub(crate) keep_pinned: bool,
    pub(crate) retryable: bool,
}

/// Outcome of one attempt.
pub(crate) enum AttemptOutcome {
    Done(StatementResult),
    /// The statement did not run and may be retried after a delay, at any endpoint.
    Retry {
        code: RefusalCode,
        cause: &'static str,
        backoff: Duration,
        origin: RetryOrigin,
    },
    /// The statement did not run, as the connection owner has a newer document than this instance.
    Outdated,
    /// The statement was sent and not answered.
    InDoubt {
        /// The connection owner was lost, which tells nothing about the member.
        is_owner_lost: bool,
    },
}

impl<E: EngineTypes> GatewayInstance<E> {
    pub(crate) async fn execute_attempt(
        self: &Rc<Self>,
        context: &StatementContext<'_>,
        scope: &RequestScope<'_>,
        endpoint: &str,
        leads: bool,
        required: Option<LogPosition>,
        times: CallTimes,
    ) -> AttemptOutcome {
        let batch = build_batch::<E::Codec>(context, leads, required);
        let (answer_index, confirming_answer_index, keep_pinned) =
            (batch.answer_index, batch.confirming_answer_index, batch.keep_pinned);
        let transaction_id = if keep_pinned { self.new_transaction_id() } else { 0 };
        let call = self.build_call(context, endpoint, batch, transaction_id);
        let sent_at = self.now();
        let owner_reply = self.dispatch(call, &scope.regions, times).await;
        match owner_reply.reply.outcome {
            ExecuteOutcome::Answered(answers) => {
                if let Some(confirming_answer) =
                    confirming_answer_index.and_then(|index| answers.get(usize::from(index)))
                {
                    let service = &context.route.service;
                    self.observe_leadership((service, endpoint), confirming_answer, sent_at);
                }
                let transaction = PinnedTransaction {
                    owner: owner_reply.owner,
                    endpoint: endpoint.to_owned(),
                    transaction_id,
                    link_lease: owner_reply.link_lease,
                };
                classify_answers(context, answers, answer_index, keep_pinned.then_some(transaction))
            }
            ExecuteOutcome::NotSent { reason: NotSentReason::DocumentOutdated, .. } => {
                AttemptOutcome::Outdated
            }
            ExecuteOutcome::NotSent { reason, retry_ms } => AttemptOutcome::Retry {
                code: RefusalCode::Busy,
                cause: reason.label(),
                backoff: match reason {
                    NotSentReason::QueueDelay | NotSentReason::NoConnection => {
                        Duration::from_millis(retry_ms.into()).max(BUSY_BACKOFF)
                    }
                    NotSentReason::Evacuated => Duration::ZERO,
                    NotSentReason::SetupRefused | NotSentReason::SetupLost { .. } => BUSY_BACKOFF,
                    _ => NO_LEADER_BACKOFF,
                },
                origin: match reason {
                    NotSentReason::QueueDelay | NotSentReason::NoConnection => RetryOrigin::Queue,
                    NotSentReason::Evacuated => RetryOrigin::Evacuated,
                    NotSentReason::SetupRefused | NotSentReason::SetupLost { .. } => {
                        RetryOrigin::Member
                    }
                    _ => RetryOrigin::Unreached,
                },
            },
            ExecuteOutcome::AnswerLost => AttemptOutcome::InDoubt { is_owner_lost: false },
            ExecuteOutcome::InDoubt => {
                AttemptOutcome::InDoubt { is_owner_lost: owner_reply.reply.wait_floor_ms.is_none() }
            }
        }
    }

    pub(crate) fn build_call(
        &self,
        context: &StatementContext<'_>,
        endpoint: &str,
        batch: StatementBatch,
        transaction_id: u32,
    ) -> ExecuteCall {
        let setup_id = SetupId::new(context.session_id, context.machine.setup_version());
        let mut setup_bytes = Vec::new();
        // Counts the reset that precedes the session's own statements.
        let mut setup_count = 1;
        E::Codec::encode_control(&mut setup_bytes, ControlStatement::Reset);
        for text in context.machine.setup_statements() {
            E::Codec::encode_control(&mut setup_bytes, ControlStatement::Setup(text));
            setup_count += 1;
        }
        ExecuteCall {
            endpoint: endpoint.to_owned(),
            service_hash: service_hash(&context.route.service),
            team: context.team.to_owned(),
            document_version: context.document_version,
            transaction_id,
            pinned: false,
            keep_pinned: batch.keep_pinned,
            priority: context.route.priority,
            service_class: context.route.service_class(),
            start_timeout_ms: 0,
            answer_timeout_ms: 0,
            setup_id,
            setup_bytes,
            setup_count,
            begin_bytes: batch.begin_bytes,
            bytes: batch.bytes,
            count: batch.count,
            confirming_answer_index: batch.confirming_answer_index,
            retryable: batch.retryable,
            commits_data: context.plan.commits_data,
        }
    }

    /// Returns the call that an attempt at an endpoint would send to its connection owner.
    pub(crate) fn preview_call(
        &self,
        context: &StatementContext<'_>,
        endpoint: &str,
        leads: bool,
        required: Option<LogPosition>,
    ) -> ExecuteCall {
        let batch = build_batch::<E::Codec>(context, leads, required);
        self.build_call(context, endpoint, batch, 0)
    }
}

/// Builds the statements for a leader, or for a replica that must have reached `required`.
fn build_batch<C: WireCodec>(
    context: &StatementContext<'_>,
    leads: bool,
    required: Option<LogPosition>,
) -> StatementBatch {
    let plan = context.plan;
    let mut batch = StatementBatch { count: 1, ..StatementBatch::default() };
    let statement = |bytes: &mut Vec<u8>, after| {
        C::encode_statement(bytes, context.request_id, after, context.text);
    };
    if plan.opens_transaction {
        // Only a leader accepts a read-write transaction, so its success confirms the leader for
        // the whole transaction.
        let begin = if leads { ControlStatement::Begin } else { ControlStatement::BeginRead };
        C::encode_control(&mut batch.begin_bytes, begin);
        statement(&mut batch.bytes, if leads || plan.commits { None } else { required });
        batch.answer_index = 1;
        batch.confirming_answer_index = leads.then_some(0);
        (batch.keep_pinned, batch.retryable) = (!plan.commits, !plan.commits);
    } else if plan.writes {
        statement(&mut batch.bytes, None);
        batch.confirming_answer_index = Some(0);
    } else if leads {
        C::encode_control(&mut batch.begin_bytes, ControlStatement::Begin);
        statement(&mut batch.bytes, None);
        C::encode_control(&mut batch.bytes, ControlStatement::Rollback);
        (batch.count, batch.answer_index, batch.confirming_answer_index) = (2, 1, Some(0));
        batch.retryable = true;
    } else {
        statement(&mut batch.bytes, required);
        batch.retryable = true;
    }
    batch
}

/// Classifies the answers to the first statement of an operation as final or worth a retry.
fn classify_answers(
    context: &StatementContext<'_>,
    answers: Vec<StatementAnswer>,
    answer_index: u8,
    transaction: Option<PinnedTransaction>,
) -> AttemptOutcome {
    let error = answers.iter().take(usize::from(answer_index) + 1).find_map(|answer| answer.error);
    let Some(code) = error else {
        return AttemptOutcome::Done(build_result(answers, answer_index, transaction));
    };
    let origin = RetryOrigin::Member;
    let retry = |cause| AttemptOutcome::Retry { code, cause, backoff: BUSY_BACKOFF, origin };
    match code {
        RefusalCode::Busy => retry("member_busy"),
        RefusalCode::Lagging => retry("member_lags"),
        RefusalCode::ReadOnly => retry("member_follows"),
        RefusalCode::UnknownName => retry("member_lacks_name"),
        RefusalCode::WrongMember => retry("member_wrong"),
        RefusalCode::TooManyConnections => retry("member_connections"),
        RefusalCode::Aborted if !context.plan.changes_data() => retry("member_aborted"),
        RefusalCode::Failed | RefusalCode::Timeout if context.plan.read_only => {
            retry("member_failed")
        }
        _ => AttemptOutcome::Done(build_result(answers, answer_index, transaction)),
    }
}

/// Builds the result for the caller from the answers of a member.
pub(crate) fn build_result(
    mut answers: Vec<StatementAnswer>,
    answer_index: u8,
    transaction: Option<PinnedTransaction>,
) -> StatementResult {
    let first_error =
        answers.iter().take(usize::from(answer_index)).find_map(|answer| answer.error);
    let index = usize::from(answer_index).min(answers.len().saturating_sub(1));
    let answer = answers.swap_remove(index);
    match (first_error, answer.error) {
        (None, None) => StatementResult::Success {
            content: answer.content,
            position: answer.position,
            transaction,
        },
        (Some(code), _) => failure(code, "the transaction could not be opened".to_owned()),
        (None, Some(code)) => {
            StatementResult::Failure { content: answer.content, code, explanation: String::new() }
        }
    }
}
