//! Admission of operations within the limits of their teams.

use std::rc::Rc;
use std::time::Duration;

use coord::quota::LIMIT_PATIENCE;
use coord::rendezvous;
use coord::urgency::UrgencyLevel;
use tokio::time::sleep;

use crate::message::AdmissionDecision;
use crate::node::{EngineEdge, GatewayNode};

/// Time in which the counter of a team must answer.
const COUNT_TIMEOUT: Duration = Duration::from_millis(150);
/// Counters asked before an instance counts for itself.
const ASKED_COUNTERS: usize = 2;
/// Least time to state when an operation is refused.
const LEAST_RETRY: Duration = Duration::from_millis(20);
/// Time between observations of who can be reached.
const OBSERVATION_PERIOD: Duration = Duration::from_millis(200);

impl<E: EngineEdge> GatewayNode<E> {
    /// Admits an operation of a team, or tells after which time it could be admitted.
    ///
    /// A short wait for the next token is spent here, up to `patience`.
    pub async fn admit(
        self: &Rc<Self>,
        team: &str,
        level: UrgencyLevel,
        patience: Duration,
    ) -> Result<(), Duration> {
        let patience = patience.min(LIMIT_PATIENCE);
        if self.directory.borrow().document().team_limit(team).is_none() {
            return Ok(());
        }
        match self.count(team, level, patience).await {
            AdmissionDecision::Admitted { delay } if delay.is_zero() => Ok(()),
            AdmissionDecision::Admitted { delay } => {
                sleep(delay).await;
                Ok(())
            }
            AdmissionDecision::Refused { retry_after } => Err(retry_after.max(LEAST_RETRY)),
        }
    }

    /// Counts an operation here, as the counter of its team.
    pub fn count_here(
        &self,
        team: &str,
        level: UrgencyLevel,
        patience: Duration,
    ) -> AdmissionDecision {
        let document = self.directory.borrow().document();
        let Some(limit) = document.team_limit(team) else {
            return AdmissionDecision::Admitted { delay: Duration::ZERO };
        };
        let (first, now) = (self.is_first_start(), self.now());
        match self.counters.borrow_mut().take(
            team,
            limit,
            document.priority_rank(level),
            patience,
            first,
            now,
        ) {
            Ok(after) => AdmissionDecision::Admitted { delay: after },
            Err(delay) => AdmissionDecision::Refused { retry_after: delay.retry_after },
        }
    }

    /// Keeps the counters informed about who can be reached.
    pub async fn observe_reach(self: Rc<Self>) {
        loop {
            let reached = self.peers.live().len() + 1;
            let registered = self.peers.registered_count();
            self.counters.borrow_mut().observe(reached, registered, self.now());
            sleep(OBSERVATION_PERIOD).await;
        }
    }

    async fn count(
        self: &Rc<Self>,
        team: &str,
        level: UrgencyLevel,
        patience: Duration,
    ) -> AdmissionDecision {
        let names = self.peers.active_names(self.is_leaving());
        let order = rendezvous::first(team, names.iter().map(String::as_str), ASKED_COUNTERS);
        for name in order {
            if name == self.name() {
                break;
            }
            let Some(link) = self.peers.link(name) else {
                continue;
            };
            if let Some(answer) = link.count(team, level, patience, COUNT_TIMEOUT).await {
                return answer;
            }
        }
        self.count_here(team, level, patience)
    }
}
