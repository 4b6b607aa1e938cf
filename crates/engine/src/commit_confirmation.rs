//! Confirmation of commits by replicas in sight.
//!
//! Load: a replica that is cut off from the instances and the store goes on confirming commits to its
//! leader. It no longer counts when the leader fails, so a commit that only it has confirmed would be
//! lost. While such a replica may exist, a commit is acknowledged to its caller once the replicas that
//! are registered have received it, as if the other one had ended.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use state::position::LogPosition;
use telemetry::event::LogEvent;
use telemetry::log_event;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::endpoint_connection::{AnswerKind, EndpointConnection, EndpointSession, OPEN_TIMEOUT};
use crate::endpoint_probe::{PROBE_TEAM, PROBE_TIMEOUT};
use crate::instance::{EngineTypes, GatewayInstance};
use crate::interface::{ControlStatement, WireCodec};

/// Interval between requests for the status of a replica while commits wait for it.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Delay before a replica that cannot be asked is asked again.
const POLL_RETRY_BACKOFF: Duration = Duration::from_millis(50);
/// Time without waiting commits after which the connection to a replica is closed.
const POLL_IDLE_TIMEOUT: Duration = Duration::from_millis(500);

/// What is known of a commit that its leader has acknowledged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Confirmation {
    /// Enough replicas in sight have received it.
    Confirmed,
    /// Replicas may still receive it.
    Pending,
    /// A replica in sight follows a later term, which may lack it.
    InDoubt,
}

/// What replicas have received, as far as commits wait for it.
#[derive(Debug, Default)]
pub(crate) struct CommitConfirmations {
    received: RefCell<HashMap<String, LogPosition>>,
    /// Replicas that are being asked.
    polled: RefCell<HashSet<String>>,
    /// Times at which a commit last waited, by service.
    waited_at: RefCell<HashMap<String, Instant>>,
    /// Notified when a replica has answered, or can be asked again.
    changed: Notify,
}

impl CommitConfirmations {
    /// Returns what these replicas, of which a number must confirm it, tell of a commit.
    fn check(&self, replicas: &[String], required: usize, position: LogPosition) -> Confirmation {
        let received = self.received.borrow();
        let known = || replicas.iter().filter_map(|name| received.get(name));
        let has_received =
            |known: &&LogPosition| known.term == position.term && known.index >= position.index;
        if known().filter(has_received).count() >= required {
            return Confirmation::Confirmed;
        }
        match known().any(|known| known.term > position.term) {
            true => Confirmation::InDoubt,
            false => Confirmation::Pending,
        }
    }
}

impl<E: EngineTypes> GatewayInstance<E> {
    /// Waits until a commit that the leader has acknowledged cannot be lost with a replica that is out
    /// of sight; returns false if that is not certain at the deadline, or never will be.
    pub(crate) async fn await_confirmation(
        self: &Rc<Self>,
        service: &str,
        leader: &str,
        position: LogPosition,
        deadline: Instant,
    ) -> bool {
        loop {
            let changed = self.confirmations.changed.notified();
            let now = self.now();
            let unseen = self.directory.borrow().replicas_beside_unseen(service, leader);
            let Some((mut replicas, synchronous)) = unseen else {
                return true;
            };
            replicas.retain(|name| !self.is_closed(name));
            let required = synchronous.min(replicas.len());
            let confirmation = self.confirmations.check(&replicas, required, position);
            if confirmation == Confirmation::Confirmed {
                return true;
            }
            self.confirmations.waited_at.borrow_mut().insert(service.to_owned(), now);
            for replica in replicas {
                self.spawn_poll(service, replica);
            }
            let remaining = deadline.saturating_duration_since(now);
            if confirmation == Confirmation::InDoubt
                || remaining.is_zero()
                || timeout(remaining, changed).await.is_err()
            {
                log_event!(
                    LogEvent::CommitUnconfirmed,
                    "service={service} leader={leader} position={position:?}"
                );
                return false;
            }
        }
    }

    fn spawn_poll(self: &Rc<Self>, service: &str, replica: String) {
        if !self.confirmations.polled.borrow_mut().insert(replica.clone()) {
            return;
        }
        let (instance, service) = (self.clone(), service.to_owned());
        tokio::task::spawn_local(async move {
            if instance.poll_replica(&service, &replica).await.is_none() {
                sleep(POLL_RETRY_BACKOFF).await;
            }
            instance.confirmations.received.borrow_mut().remove(&replica);
            instance.confirmations.polled.borrow_mut().remove(&replica);
            instance.confirmations.changed.notify_waiters();
        });
    }

    /// Asks a replica for its status while commits wait for it; `None` if it does not answer.
    async fn poll_replica(&self, service: &str, replica: &str) -> Option<()> {
        let address = self.directory.borrow().known_record(replica)?.address;
        let mut status = Vec::new();
        E::Codec::encode_control(&mut status, ControlStatement::Status);
        let session = EndpointSession { service, team: PROBE_TEAM, endpoint: replica };
        let opening = EndpointConnection::open::<E::Codec>(address, session, &status, OPEN_TIMEOUT);
        let mut connection = opening.await.ok()?;
        let is_idle = || {
            let waited_at = self.confirmations.waited_at.borrow().get(service).copied();
            waited_at.is_none_or(|at| self.now().saturating_duration_since(at) >= POLL_IDLE_TIMEOUT)
        };
        while !is_idle() {
            let answer = connection.read_answer::<E::Codec>(AnswerKind::Control);
            let answer = timeout(PROBE_TIMEOUT, answer).await.ok()?.ok()?;
            // A replica without a free slot answers with an error.
            if let Some(report) = E::Codec::decode_status(&answer.content) {
                let mut received = self.confirmations.received.borrow_mut();
                received.insert(replica.to_owned(), report.received);
            }
            self.confirmations.changed.notify_waiters();
            sleep(POLL_INTERVAL).await;
            connection.send(&status).await.ok()?;
        }
        Some(())
    }
}
