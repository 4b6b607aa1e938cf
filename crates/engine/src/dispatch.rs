//! Sends statements to the instance that holds the endpoint's connections.

use std::rc::Rc;
use std::time::{Duration, Instant};

use coord::marks::ProvedMark;
use telemetry::event::LogEvent;
use telemetry::log_event;

use crate::interface::RefusalCode;
use crate::message::{
    ExecuteCall, ExecuteOutcome, ExecuteReply, NotSentReason, StatementAnswer, millis,
};
use crate::node::{EngineEdge, GatewayNode};

/// Holders tried for statements that none has sent yet.
const TRIED_HOLDERS: usize = 3;

/// Reply with the instance that gave it.
#[derive(Debug)]
pub struct HeldReply {
    /// Instance that holds the connection.
    pub holder: String,
    /// Its reply.
    pub reply: ExecuteReply,
}

impl<E: EngineEdge> GatewayNode<E> {
    /// Runs statements through the first holder that reaches the endpoint.
    ///
    /// They start before `latest_start` and are answered before `deadline`, or not at all.
    pub async fn dispatch(
        self: &Rc<Self>,
        mut call: ExecuteCall,
        latest_start: Instant,
        deadline: Instant,
    ) -> HeldReply {
        let mut last = None;
        for holder in self.connection_owners(&call.endpoint).into_iter().take(TRIED_HOLDERS) {
            let now = self.now();
            if last.is_some() && now >= latest_start {
                break;
            }
            call.start_timeout_ms = millis(latest_start.saturating_duration_since(now)).max(1);
            call.answer_timeout_ms = millis(deadline.saturating_duration_since(now)).max(1);
            let reply = self.dispatch_to(&holder, call.clone()).await;
            let goes_on = matches!(
                reply.outcome,
                ExecuteOutcome::NotSent {
                    reason: NotSentReason::Unreachable
                        | NotSentReason::NoOwner
                        | NotSentReason::UnknownEndpoint,
                    ..
                }
            );
            let held = HeldReply { holder, reply };
            if !goes_on {
                return held;
            }
            last = Some(held);
        }
        last.unwrap_or_else(|| {
            let outcome = ExecuteOutcome::NotSent { reason: NotSentReason::NoOwner, retry_ms: 0 };
            let reply = ExecuteReply { outcome, queue_wait_ms: 0, watermark: None };
            HeldReply { holder: self.name().to_owned(), reply }
        })
    }

    /// Runs statements through a given holder.
    pub async fn dispatch_to(self: &Rc<Self>, holder: &str, call: ExecuteCall) -> ExecuteReply {
        let endpoint = call.endpoint.clone();
        if holder == self.name() {
            let reply = self.hold_execute(0, call).await;
            self.learn_queue(&endpoint, &reply);
            return reply;
        }
        let Some(link) = self.peers.link(holder) else {
            let outcome = ExecuteOutcome::NotSent { reason: NotSentReason::NoOwner, retry_ms: 0 };
            return ExecuteReply { outcome, queue_wait_ms: 0, watermark: None };
        };
        let sent_at = self.now();
        let reply = link.execute(call).await;
        self.learn_queue(&endpoint, &reply);
        let Some((position, age_ms)) = reply.watermark else {
            return reply;
        };
        // Counted from before the question, the age is an upper bound however long the way took.
        if let Some(asked_at) = sent_at.checked_sub(Duration::from_millis(age_ms.into())) {
            let mut directory = self.directory.borrow_mut();
            let service = directory.endpoint(&endpoint).map(|entry| entry.record.service.clone());
            if let Some(service) = service {
                directory.record_watermark(&service, ProvedMark { asked_at, position });
            }
        }
        reply
    }

    /// Ends a transaction at the instance that holds its connection.
    pub fn dispatch_release(self: &Rc<Self>, holder: &str, channel: u32) {
        if holder == self.name() {
            self.hold_release(0, channel);
        } else if let Some(link) = self.peers.link(holder) {
            link.release(channel);
        }
    }

    /// Remembers what a reply tells about an endpoint.
    fn learn_queue(&self, endpoint: &str, reply: &ExecuteReply) {
        let now = self.now();
        let mut directory = self.directory.borrow_mut();
        directory.update_view(endpoint, |view| {
            view.queue = Some((Duration::from_millis(reply.queue_wait_ms.into()), now));
            match &reply.outcome {
                ExecuteOutcome::Answered(answers) => {
                    view.failed_at = None;
                    if let Some(position) = answers.iter().rev().find_map(|answer| answer.position)
                    {
                        view.position = Some((position, now));
                    }
                }
                ExecuteOutcome::InDoubt
                | ExecuteOutcome::NotSent { reason: NotSentReason::Unreachable, .. } => {
                    view.failed_at = Some(now);
                }
                ExecuteOutcome::NotSent { .. } => {}
            }
        });
    }

    /// Learns from the proof that a statement carried whether the endpoint leads.
    pub(crate) fn learn_leader(&self, endpoint: &str, proof: &StatementAnswer, sent_at: Instant) {
        let now = self.now();
        let mut directory = self.directory.borrow_mut();
        match (proof.error, proof.position) {
            (None, Some(position)) => {
                let mark = ProvedMark { asked_at: sent_at, position };
                if directory.record_leader_watermark(endpoint, mark) {
                    log_event!(
                        LogEvent::PrimaryChanged,
                        "endpoint={endpoint} term={} source=proof",
                        position.term
                    );
                }
            }
            (Some(RefusalCode::ReadOnly), _) => {
                directory.update_view(endpoint, |view| view.followed_at = Some(now));
            }
            _ => {}
        }
    }
}
