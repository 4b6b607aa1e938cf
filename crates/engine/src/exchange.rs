//! Exchange of the statements and answers of a call with a member.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use coord::answer_order::{OverdueAnswer, patience};
use coord::session::TransactionState;
use metrics::counter;
use telemetry::event::LogEvent;
use telemetry::{log_event, meter};
use tokio::time::timeout;

use crate::endpoint_connection::{AnswerKind, EndpointConnection};
use crate::instance::{EngineTypes, GatewayInstance};
use crate::interface::RefusalCode;
use crate::message::{ExecuteCall, StatementAnswer};
use crate::pool::{EndpointPool, RunPermit};

/// Interval at which an answer that is overdue is checked for later ones.
const LOST_ANSWER_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// End of an exchange whose connection is not lost.
pub(crate) enum ExchangeEnd {
    /// The endpoint answered the statements of the caller.
    Answered(Vec<StatementAnswer>),
    /// The endpoint refused a part of the setup, and no statement of the caller was sent.
    SetupRefused {
        /// Reason stated by the endpoint.
        code: RefusalCode,
        /// State of the connection afterwards.
        state: TransactionState,
    },
}

impl<E: EngineTypes> GatewayInstance<E> {
    /// Awaits the end of an exchange until the deadline of its call. Returns `None` if answers are lost.
    ///
    /// Answers that are presumed lost hold no permit, and are awaited only if the call cannot be retried.
    pub(crate) async fn await_exchange(
        &self,
        pool: &EndpointPool,
        call: &ExecuteCall,
        exchange: impl Future<Output = Option<ExchangeEnd>>,
        is_sent: &Cell<bool>,
        permit: &mut Option<RunPermit>,
        deadline: Instant,
    ) -> Option<ExchangeEnd> {
        let mut exchange = pin!(exchange);
        let usual_maximum = {
            let queue = pool.queue.borrow();
            queue.service_times().estimate(call.service_class, self.now()).usual_maximum()
        };
        let mut pause = patience(usual_maximum);
        let key = pool.answers.borrow_mut().begin(pause, self.now());
        let answered = loop {
            let remaining = deadline.saturating_duration_since(self.now());
            if let Ok(answered) = timeout(pause.min(remaining), &mut exchange).await {
                break answered;
            }
            if pause >= remaining {
                break None;
            }
            pause = LOST_ANSWER_CHECK_INTERVAL;
            let overdue = pool.answers.borrow_mut().judge(key, self.now());
            if overdue == OverdueAnswer::Expected {
                continue;
            }
            if let Some(mut permit) = permit.take() {
                permit.has_run = false;
            }
            // A statement of an open transaction may wait for locks of other ones.
            let is_retryable = (call.retryable && !call.pinned) || !is_sent.get();
            if overdue == OverdueAnswer::Lost && is_retryable {
                counter!(meter::PRESUMED_LOST_ANSWERS).increment(1);
                break None;
            }
        };
        match &answered {
            Some(_) => pool.answers.borrow_mut().record_answer(key),
            None => pool.answers.borrow_mut().abandon(key),
        }
        answered
    }

    /// Sends the statements and reads their answers. Returns `None` if the connection is lost.
    ///
    /// The setup, and a statement that opens a transaction, must succeed before the others are sent;
    /// `is_sent` is set then.
    pub(crate) async fn exchange(
        self: &Rc<Self>,
        pool: &Rc<EndpointPool>,
        connection: &mut EndpointConnection,
        call: &ExecuteCall,
        is_sent: &Cell<bool>,
    ) -> Option<ExchangeEnd> {
        let setup_count = if needs_setup(connection, call) { call.setup_count } else { 0 };
        let setup_bytes = if setup_count > 0 { call.setup_bytes.as_slice() } else { &[] };
        let opens_transaction = !call.begin_bytes.is_empty();
        if setup_count > 0 || opens_transaction {
            connection.send(&[setup_bytes, &call.begin_bytes].concat()).await.ok()?;
        }
        let mut refusal = None;
        let mut state = TransactionState::Idle;
        for _ in 0..setup_count {
            let answer =
                self.read_answer_or_probe(pool, connection, call, AnswerKind::Control).await?;
            refusal = refusal.or(answer.error);
            state = answer.state;
        }
        match (setup_count, call.pinned) {
            (0, _) => {}
            (_, true) => connection.setup.record_change(call.setup_id, refusal.is_some()),
            (_, false) => connection.setup.record_reset(call.setup_id, refusal.is_some()),
        }
        let mut answers = Vec::with_capacity(1 + usize::from(call.count));
        if opens_transaction {
            let begin_answer =
                self.read_answer_or_probe(pool, connection, call, AnswerKind::Control).await?;
            if begin_answer.error.is_some() {
                return Some(ExchangeEnd::Answered(vec![begin_answer]));
            }
            state = begin_answer.state;
            answers.push(begin_answer);
        }
        if let Some(code) = refusal {
            log_event!(
                LogEvent::SetupRefused,
                "endpoint={} service={} team={} code={code:?} statements={setup_count} pinned={}",
                pool.endpoint,
                pool.service,
                call.team,
                call.pinned
            );
            return Some(ExchangeEnd::SetupRefused { code, state });
        }
        is_sent.set(true);
        connection.send(&call.bytes).await.ok()?;
        for index in 0..call.count {
            // The caller's statement comes first.
            let kind = if index == 0 { AnswerKind::Data } else { AnswerKind::Control };
            answers.push(self.read_answer_or_probe(pool, connection, call, kind).await?);
        }
        Some(ExchangeEnd::Answered(answers))
    }
}

/// Returns whether the setup of a call must be sent: what the transaction has changed, or all that a
/// connection with another setup must have.
pub(crate) fn needs_setup(connection: &EndpointConnection, call: &ExecuteCall) -> bool {
    call.pinned || !connection.setup.is_current(call.setup_id)
}
