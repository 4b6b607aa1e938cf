//! Routes statements to the instance that owns the endpoint's connections.

use std::rc::Rc;
use std::time::{Duration, Instant};

use coord::priority::{StartWindow, WaitFloor};
use coord::regions::RegionScope;
use coord::service_time::ServiceClass;
use coord::watermark::Watermark;
use telemetry::event::LogEvent;
use telemetry::log_event;
use tokio::time::{sleep, timeout};

use crate::connection_acquire::team_hash;
use crate::instance::{EngineTypes, GatewayInstance};
use crate::interface::RefusalCode;
use crate::message::{
    ExecuteCall, ExecuteOutcome, ExecuteReply, NotSentReason, StatementAnswer, millis, service_hash,
};
use crate::peer_link::{LinkLease, PeerLink, no_owner_reply};

/// Shortest time for which a connection owner is given to show that it responds: an instance with a
/// tenth of a core may be suspended for most of a scheduling period of 100 ms.
const MIN_CONFIRM_TIMEOUT: Duration = Duration::from_millis(100);

/// Fraction of the target latency after which an owner that sends nothing is pinged, and after which a
/// read is retried elsewhere if the ping is not answered: together a quarter.
const SILENCE_FRACTION: f64 = 0.125;

/// Times that bound a call.
#[derive(Clone, Copy, Debug)]
pub struct CallTimes {
    /// The statements are in time if they start before this, and otherwise late.
    pub latest_start: Instant,
    /// Their answers are awaited until this time.
    pub deadline: Instant,
    /// While no connection owner reaches the endpoint, no further one is tried after this time.
    pub reach_limit: Instant,
}

impl CallTimes {
    /// Returns the window in which the statements start.
    pub fn start_window(&self) -> StartWindow {
        StartWindow { in_time: self.latest_start, answer_deadline: Some(self.deadline) }
    }

    /// Sets the timeouts of a call that is sent at `now`.
    fn apply(&self, call: &mut ExecuteCall, now: Instant) {
        call.start_timeout_ms = millis(self.latest_start.saturating_duration_since(now)).max(1);
        call.answer_timeout_ms = millis(self.deadline.saturating_duration_since(now)).max(1);
    }
}

/// Reply to a call, with the instance that sent it.
#[derive(Debug)]
pub struct OwnerReply {
    /// Name of the instance that owns the connection.
    pub owner: String,
    /// Reply of that instance.
    pub reply: ExecuteReply,
    /// Keeps the connection to that instance open; `None` if it is this instance.
    pub link_lease: Option<LinkLease>,
}

/// Call whose reply may carry a sample.
#[derive(Clone, Copy, Debug)]
struct SampledCall {
    service_hash: u32,
    service_class: ServiceClass,
    team_hash: u64,
}

impl<E: EngineTypes> GatewayInstance<E> {
    /// Runs a call through the first connection owner that reaches the endpoint.
    ///
    /// Owners in regions that are not allowed are skipped. If all of them are, this instance runs
    /// the call itself: the endpoint refuses connections over its limit.
    pub async fn dispatch(
        self: &Rc<Self>,
        mut call: ExecuteCall,
        regions: &RegionScope<'_>,
        times: CallTimes,
    ) -> OwnerReply {
        let mut last = None;
        let mut skipped = false;
        for owner in self.connection_owners(&call.endpoint).iter() {
            let now = self.now();
            if last.is_some() && now >= times.reach_limit {
                break;
            }
            if !regions.is_unrestricted() && !self.may_forward_to(owner, regions) {
                skipped = true;
                continue;
            }
            times.apply(&mut call, now);
            let confirm_timeout =
                times.reach_limit.saturating_duration_since(now).max(MIN_CONFIRM_TIMEOUT);
            let reply = self.dispatch_to(owner, call.clone(), confirm_timeout).await;
            let try_next_owner = matches!(
                reply.outcome,
                ExecuteOutcome::NotSent {
                    reason: NotSentReason::Unreachable
                        | NotSentReason::NoOwner
                        | NotSentReason::UnknownEndpoint,
                    ..
                }
            );
            let link_lease = self.peers.link_by_name(owner).map(|link| link.lease());
            let owner_reply = OwnerReply { owner: owner.clone(), reply, link_lease };
            if !try_next_owner {
                return owner_reply;
            }
            last = Some(owner_reply);
        }
        if last.is_none() && skipped {
            times.apply(&mut call, self.now());
            let owner = self.name().to_owned();
            let reply = self.dispatch_to(&owner, call, Duration::MAX).await;
            return OwnerReply { owner, reply, link_lease: None };
        }
        last.unwrap_or_else(|| {
            let (owner, reply) = (self.name().to_owned(), no_owner_reply());
            OwnerReply { owner, reply, link_lease: None }
        })
    }

    /// Returns whether a statement with restricted regions may be sent to an instance.
    pub(crate) fn may_forward_to(&self, owner: &str, regions: &RegionScope<'_>) -> bool {
        let membership = self.peers.membership.borrow();
        let record = membership.key(owner).and_then(|key| membership.record(key));
        owner == self.name()
            || record
                .is_some_and(|record| self.directory.borrow().allows_zone(regions, &record.zone))
    }

    /// Runs a call through the given connection owner.
    ///
    /// A call that is not retryable is sent only if the owner responds within `confirm_timeout`.
    pub async fn dispatch_to(
        self: &Rc<Self>,
        owner: &str,
        call: ExecuteCall,
        confirm_timeout: Duration,
    ) -> ExecuteReply {
        let endpoint = call.endpoint.clone();
        let sampled_call = SampledCall {
            service_hash: call.service_hash,
            service_class: call.service_class,
            team_hash: team_hash(&call.team),
        };
        let sent_at = self.now();
        if owner == self.name() {
            let reply = self.execute_locally(0, call).await;
            self.record_reply(&endpoint, &reply, sampled_call, sent_at);
            return reply;
        }
        let Some(link) = self.open_link(owner) else {
            return no_owner_reply();
        };
        if !call.retryable {
            let confirmed = timeout(confirm_timeout, self.confirm_link(&link)).await;
            if !confirmed.unwrap_or(false) {
                return no_owner_reply();
            }
        }
        let sent_at = self.now();
        // A call that opens a transaction is awaited: its connection would stay pinned at the owner.
        let is_abandoned = call.retryable && !call.keep_pinned;
        let silence_timeout = call
            .service_class
            .target_latency()
            .mul_f64(SILENCE_FRACTION)
            .max(MIN_CONFIRM_TIMEOUT / 2);
        let execution = link.execute(call);
        let reply = if is_abandoned {
            tokio::select! {
                reply = execution => reply,
                () = self.wait_for_silence(&link, silence_timeout) => {
                    ExecuteReply::without_owner(ExecuteOutcome::InDoubt)
                }
            }
        } else {
            execution.await
        };
        // Subtracting the age from the time of sending ignores the round trip, so the watermark is
        // never taken for newer than it is.
        if let Some((position, age_ms)) = reply.watermark
            && let Some(as_of) = sent_at.checked_sub(Duration::from_millis(age_ms.into()))
        {
            let mut directory = self.directory.borrow_mut();
            let is_member = directory.is_member(&endpoint, sampled_call.service_hash);
            let service = directory.endpoint(&endpoint).map(|entry| entry.record.service.clone());
            if let Some(service) = service.filter(|_| is_member) {
                directory.record_watermark(&service, Watermark { as_of, position });
            }
        }
        self.record_reply(&endpoint, &reply, sampled_call, sent_at);
        reply
    }

    /// Waits until a peer sends nothing for `silence_timeout`, and for as long again after a ping.
    async fn wait_for_silence(&self, link: &PeerLink, silence_timeout: Duration) {
        let is_silent_since = |at| link.last_byte_at.get().is_none_or(|last_at| last_at < at);
        loop {
            let began_at = self.now();
            sleep(silence_timeout).await;
            if !is_silent_since(began_at) {
                continue;
            }
            let pinged_at = self.now();
            link.send_ping(pinged_at);
            sleep(silence_timeout).await;
            if is_silent_since(pinged_at) {
                return;
            }
        }
    }

    /// Rolls back a transaction at the instance that owns its connection.
    pub fn dispatch_release(self: &Rc<Self>, owner: &str, transaction_id: u32) {
        if owner == self.name() {
            self.release_locally(0, transaction_id);
        } else if let Some(link) = self.peers.link_by_name(owner) {
            link.release(transaction_id);
        }
    }

    /// Records queue delay, reachability and position of an endpoint from a reply.
    fn record_reply(
        &self,
        endpoint: &str,
        reply: &ExecuteReply,
        call: SampledCall,
        sent_at: Instant,
    ) {
        let now = self.now();
        let mut directory = self.directory.borrow_mut();
        if !directory.is_member(endpoint, call.service_hash) {
            return;
        }
        if let Some(sample) = reply.sample {
            let elapsed = now.saturating_duration_since(sent_at);
            directory.record_sample(
                endpoint,
                (call.service_class, call.team_hash),
                sample,
                elapsed,
                now,
            );
        }
        directory.update_view(endpoint, |view| {
            // Without a reply of the connection owner nothing is known of its queue.
            if let Some((level, in_time_ms, late_ms)) = reply.wait_floor_ms {
                view.queue_delay = Some((Duration::from_millis(reply.queue_wait_ms.into()), now));
                let floor = WaitFloor {
                    in_time: Duration::from_millis(in_time_ms.into()),
                    late: Duration::from_millis(late_ms.into()),
                };
                view.wait_floor.record(level, floor, now);
            }
            match &reply.outcome {
                ExecuteOutcome::Answered(_) => view.failed_at = None,
                ExecuteOutcome::InDoubt
                | ExecuteOutcome::NotSent {
                    reason:
                        NotSentReason::Unreachable
                        | NotSentReason::SetupLost { answers_others: false },
                    ..
                } => {
                    view.failed_at = Some(now);
                }
                ExecuteOutcome::NotSent { .. } | ExecuteOutcome::AnswerLost => {}
            }
        });
        if let Some(position) = reply.acknowledged {
            let service = directory.endpoint(endpoint).map(|entry| entry.record.service.clone());
            service.iter().for_each(|service| directory.record_acknowledged(service, position));
        }
        if let ExecuteOutcome::Answered(answers) = &reply.outcome
            && let Some(position) = answers.iter().rev().find_map(|answer| answer.position)
        {
            directory.record_position(endpoint, position, now);
        }
    }

    /// Records whether the endpoint leads, from its answer to a statement that only leaders accept.
    ///
    /// `sent_at` is the time before the statement was sent.
    pub(crate) fn observe_leadership(
        &self,
        (service, endpoint): (&str, &str),
        confirming_answer: &StatementAnswer,
        sent_at: Instant,
    ) {
        let now = self.now();
        let mut directory = self.directory.borrow_mut();
        if !directory.is_member(endpoint, service_hash(service)) {
            // It has joined another service since the call was sent.
            return;
        }
        match (confirming_answer.error, confirming_answer.position) {
            (None, Some(position)) => {
                let watermark = Watermark { as_of: sent_at, position };
                if directory.record_leader_watermark(endpoint, watermark) {
                    log_event!(
                        LogEvent::PrimaryChanged,
                        "endpoint={endpoint} term={} source=proof",
                        position.term
                    );
                }
            }
            (Some(RefusalCode::ReadOnly), _) => {
                directory.update_view(endpoint, |view| view.not_leader_at = Some(now));
            }
            _ => {}
        }
    }
}
