//! Admission of operations within the rate limits of teams.

use std::rc::Rc;
use std::time::Duration;

use coord::priority::PriorityLevel;
use coord::quota::{LimitShare, TOKEN_TIMEOUT, TokenRequest};
use tokio::time::sleep;

use crate::instance::{EngineTypes, GatewayInstance};
use crate::message::AdmissionDecision;

/// Bounds the wait for the answer of a quota owner.
const ADMISSION_TIMEOUT: Duration = Duration::from_millis(150);
/// Shortest retry delay stated in a refusal.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(20);

impl<E: EngineTypes> GatewayInstance<E> {
    /// Admits an operation of a team, or returns the delay after which a retry may be admitted.
    ///
    /// Sleeps until the next token is available if that takes at most `max_wait`.
    pub async fn admit(
        self: &Rc<Self>,
        team: &str,
        priority: PriorityLevel,
        max_wait: Duration,
    ) -> Result<(), Duration> {
        let max_wait = max_wait.min(TOKEN_TIMEOUT);
        if self.directory.borrow().document().team_limit(team).is_none() {
            return Ok(());
        }
        match self.request_admission(team, priority, max_wait).await {
            AdmissionDecision::Admitted { delay } if delay.is_zero() => Ok(()),
            AdmissionDecision::Admitted { delay } => {
                sleep(delay).await;
                Ok(())
            }
            AdmissionDecision::Refused { retry_after } => Err(retry_after.max(MIN_RETRY_DELAY)),
        }
    }

    /// Decides about an operation as the quota owner of its team.
    pub fn admit_locally(
        &self,
        team: &str,
        priority: PriorityLevel,
        max_wait: Duration,
    ) -> AdmissionDecision {
        self.take_token(team, priority, max_wait, LimitShare::Reachable)
    }

    /// Decides about an operation while no candidate for the quota owner answers.
    ///
    /// Other instances may be in the same situation, so each admits only its own share.
    fn admit_own_share(
        &self,
        team: &str,
        priority: PriorityLevel,
        max_wait: Duration,
    ) -> AdmissionDecision {
        self.take_token(team, priority, max_wait, LimitShare::OneInstance)
    }

    fn take_token(
        &self,
        team: &str,
        priority: PriorityLevel,
        max_wait: Duration,
        share: LimitShare,
    ) -> AdmissionDecision {
        let document = self.directory.borrow().document();
        let Some(limit) = document.team_limit(team) else {
            return AdmissionDecision::Admitted { delay: Duration::ZERO };
        };
        let request = TokenRequest {
            priority_rank: document.priority_rank(priority),
            max_wait,
            starts_full: self.is_first_start(),
            share,
        };
        match self.quotas.borrow_mut().take(team, limit, request, self.now()) {
            Ok(delay) => AdmissionDecision::Admitted { delay },
            Err(insufficient) => {
                AdmissionDecision::Refused { retry_after: insufficient.retry_after }
            }
        }
    }

    /// Updates the fraction of live instances that the quotas are scaled by.
    ///
    /// Must be called several times a second; see [`coord::quota::TeamQuotas::record_reachable`].
    pub(crate) fn update_reachable_fraction(&self) {
        let (live, known) = self.peers.counts();
        self.quotas.borrow_mut().record_reachable(live, known, self.now());
    }

    /// Asks the quota owner of a team for a decision.
    ///
    /// Decides locally if this instance is the owner or no candidate answers.
    async fn request_admission(
        self: &Rc<Self>,
        team: &str,
        priority: PriorityLevel,
        max_wait: Duration,
    ) -> AdmissionDecision {
        for name in self.peers.fleet_owners(team).iter() {
            if name == self.name() {
                return self.admit_locally(team, priority, max_wait);
            }
            let Some(link) = self.open_link(name) else {
                continue;
            };
            if let Some(answer) =
                link.request_admission(team, priority, max_wait, ADMISSION_TIMEOUT).await
            {
                return answer;
            }
        }
        self.admit_own_share(team, priority, max_wait)
    }
}
