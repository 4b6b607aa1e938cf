//! Exchange of the statements and answers of a call with a member.

use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use coord::answer_order::{OverdueAnswer, patience};
use metrics::counter;
use telemetry::meter;
use tokio::time::timeout;

use crate::endpoint_connection::{AnswerKind, EndpointConnection};
use crate::instance::{EngineTypes, GatewayInstance};
use crate::message::{ExecuteCall, StatementAnswer};
use crate::pool::{EndpointPool, RunPermit};

/// Interval at which an answer that is overdue is checked for later ones.
const LOST_ANSWER_CHECK_INTERVAL: Duration = Duration::from_millis(10);

impl<E: EngineTypes> GatewayInstance<E> {
    /// Awaits the answers to a call until its deadline. Returns `None` if they are lost.
    ///
    /// Answers that are presumed lost hold no permit, and are awaited only if the call cannot be retried.
    pub(crate) async fn await_answers(
        &self,
        pool: &EndpointPool,
        call: &ExecuteCall,
        exchange: impl Future<Output = Option<Vec<StatementAnswer>>>,
        permit: &mut Option<RunPermit>,
        deadline: Instant,
    ) -> Option<Vec<StatementAnswer>> {
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
            if overdue == OverdueAnswer::Lost && call.retryable && !call.pinned {
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
    /// A statement that opens a transaction must succeed before the others are sent.
    pub(crate) async fn exchange(
        self: &Rc<Self>,
        pool: &Rc<EndpointPool>,
        connection: &mut EndpointConnection,
        call: &ExecuteCall,
    ) -> Option<Vec<StatementAnswer>> {
        let needs_setup = needs_setup(connection, call);
        let setup_count = if needs_setup { call.setup_count } else { 0 };
        let setup_bytes = if setup_count > 0 { call.setup_bytes.as_slice() } else { &[] };
        let opens_transaction = !call.begin_bytes.is_empty();
        let first_bytes = if opens_transaction { &call.begin_bytes } else { &call.bytes };
        if setup_bytes.is_empty() {
            connection.send(first_bytes).await.ok()?;
        } else {
            connection.send(&[setup_bytes, first_bytes].concat()).await.ok()?;
        }
        let mut has_failed = false;
        for _ in 0..setup_count {
            let answer =
                self.read_answer_or_probe(pool, connection, call, AnswerKind::Control).await?;
            has_failed |= answer.error.is_some();
        }
        match (setup_count, call.pinned) {
            (0, _) => {}
            (_, true) => connection.setup.record_change(call.setup_id, has_failed),
            (_, false) => connection.setup.record_reset(call.setup_id, has_failed),
        }
        let mut answers = Vec::with_capacity(1 + usize::from(call.count));
        if opens_transaction {
            let begin_answer =
                self.read_answer_or_probe(pool, connection, call, AnswerKind::Control).await?;
            if begin_answer.error.is_some() {
                return Some(vec![begin_answer]);
            }
            connection.send(&call.bytes).await.ok()?;
            answers.push(begin_answer);
        }
        for index in 0..call.count {
            // The caller's statement comes first.
            let kind = if index == 0 { AnswerKind::Data } else { AnswerKind::Control };
            answers.push(self.read_answer_or_probe(pool, connection, call, kind).await?);
        }
        Some(answers)
    }
}

/// Returns whether the setup of a call must be sent: what the transaction has changed, or all that a
/// connection with another setup must have.
pub(crate) fn needs_setup(connection: &EndpointConnection, call: &ExecuteCall) -> bool {
    call.pinned || !connection.setup.is_current(call.setup_id)
}
