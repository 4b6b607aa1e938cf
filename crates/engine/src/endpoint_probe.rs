//! Probes of endpoints on new connections.

use std::rc::Rc;
use std::time::{Duration, Instant};

use coord::promotion::MemberReport;
use coord::replica_hold::HoldAnswer;
use telemetry::event::LogEvent;
use telemetry::log_event;
use tokio::time::{sleep, timeout};

use crate::endpoint_connection::{
    AnswerKind, EndpointConnection, EndpointError, EndpointSession, OPEN_TIMEOUT,
};
use crate::instance::{EngineTypes, GatewayInstance};
use crate::interface::{ControlStatement, RefusalCode, WireCodec};
use crate::message::{ExecuteCall, StatementAnswer};
use crate::pool::EndpointPool;
use crate::replication::{ReplicationCodec, ReplicationStatement};

/// Time without any response to outstanding statements after which the endpoint is probed on a new
/// connection.
const STALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Bounds a probe, including the opening of its connection.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(350);
/// Team name sent with probes, which belong to no team.
pub(crate) const PROBE_TEAM: &str = "-";

impl<E: EngineTypes> GatewayInstance<E> {
    /// Requests the status of an endpoint on a new connection.
    ///
    /// Returns `None` if the endpoint does not answer within `PROBE_TIMEOUT`, or if its zone is
    /// closed, so that nothing may be sent to it.
    pub async fn probe_member(&self, endpoint: &str) -> Option<MemberReport> {
        let encode = |out: &mut Vec<u8>| E::Codec::encode_control(out, ControlStatement::Status);
        E::Codec::decode_status(&self.run_on_new_connection(endpoint, encode).await?.content)
    }

    /// Changes whether a replica receives commits.
    pub(crate) async fn set_replication(
        &self,
        endpoint: &str,
        statement: ReplicationStatement,
    ) -> HoldAnswer {
        let encode = |out: &mut Vec<u8>| E::Codec::encode_replication(out, statement);
        let Some(answer) = self.run_on_new_connection(endpoint, encode).await else {
            return HoldAnswer::Missing;
        };
        match E::Codec::decode_status(&answer.content) {
            Some(report) => HoldAnswer::Status(report),
            // The replica has not looked at the statement.
            None if answer.error == Some(RefusalCode::Busy) => HoldAnswer::Missing,
            None => HoldAnswer::Refused,
        }
    }

    /// Runs a statement of the engine on a new connection; `None` as for a probe.
    async fn run_on_new_connection(
        &self,
        endpoint: &str,
        encode: impl FnOnce(&mut Vec<u8>),
    ) -> Option<StatementAnswer> {
        if self.is_closed(endpoint) {
            return None;
        }
        let (service, address) = {
            let directory = self.directory.borrow();
            let record = directory.known_record(endpoint)?;
            (record.service.clone(), record.address)
        };
        let probe = async {
            let session = EndpointSession { service: &service, team: PROBE_TEAM, endpoint };
            let mut statement = Vec::new();
            encode(&mut statement);
            let mut connection =
                EndpointConnection::open::<E::Codec>(address, session, &statement, OPEN_TIMEOUT)
                    .await?;
            connection.read_answer::<E::Codec>(AnswerKind::Control).await
        };
        timeout(PROBE_TIMEOUT, probe).await.ok()?.ok()
    }

    /// Reads an answer, and probes the endpoint on a new connection while it does not respond.
    ///
    /// Returns `None` if the connection is lost, or if the probe fails and the call is retryable.
    pub(crate) async fn read_answer_or_probe(
        self: &Rc<Self>,
        pool: &Rc<EndpointPool>,
        connection: &mut EndpointConnection,
        call: &ExecuteCall,
        kind: AnswerKind,
    ) -> Option<StatementAnswer> {
        let reading = connection.read_answer::<E::Codec>(kind);
        tokio::pin!(reading);
        loop {
            tokio::select! {
                answer = &mut reading => {
                    if let Err(EndpointError::MalformedAnswer) = answer {
                        log_event!(
                            LogEvent::AnswerMalformed,
                            "endpoint={} service={} kind={kind:?}",
                            pool.endpoint,
                            pool.service
                        );
                    }
                    let answer = answer.ok()?;
                    pool.record_response(self.now());
                    return Some(answer);
                }
                () = sleep(STALL_TIMEOUT) => {
                    if call.retryable && pool.unreachable_since.get().is_some() {
                        return None;
                    }
                    self.probe_if_stalled(pool);
                }
            }
        }
    }

    /// Probes an endpoint if none of its connections has had a response for [`STALL_TIMEOUT`].
    fn probe_if_stalled(self: &Rc<Self>, pool: &Rc<EndpointPool>) {
        let now = self.now();
        let responded_recently = |at: Instant| now.saturating_duration_since(at) < STALL_TIMEOUT;
        if !pool.last_response_at.get().is_some_and(responded_recently) {
            self.spawn_probe(pool);
        }
    }

    /// Starts a probe of an endpoint unless one is in flight.
    pub(crate) fn spawn_probe(self: &Rc<Self>, pool: &Rc<EndpointPool>) {
        if self.is_closed(&pool.endpoint) || pool.probe_in_flight.replace(true) {
            return;
        }
        let (instance, pool) = (self.clone(), pool.clone());
        tokio::task::spawn_local(async move {
            let reached = instance.probe_member(&pool.endpoint).await.is_some();
            let now = instance.now();
            if instance.is_closed(&pool.endpoint) {
                // The zone was closed meanwhile, so the result says nothing about the endpoint.
            } else if reached {
                pool.record_response(now);
                instance.refresh_status();
            } else {
                pool.record_failure(now, &EndpointError::ConnectTimeout);
                instance.refresh_status();
                pool.last_attempt_at.set(Some(now));
            }
            pool.probe_in_flight.set(false);
        });
    }
}
