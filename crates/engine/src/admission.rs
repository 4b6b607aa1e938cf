//! Admission of operations within the rate limits of teams.

use std::rc::Rc;
use std::time::Duration;

use coord::priority::PriorityLevel;
use coord::priority_floors::TokenRefusal;
use coord::quota::{LimitShare, TOKEN_TIMEOUT, TeamQuotas, TokenRequest, spread_retry};
use metrics::counter;
use telemetry::event::LogEvent;
use telemetry::{log_event, meter};
use tokio::time::sleep;

use crate::instance::{EngineTypes, GatewayInstance};
use crate::message::{AdmissionDecision, PeerRequest};
use crate::peer_link::PeerLink;

/// Bounds the wait for the answer of a quota owner.
const ADMISSION_TIMEOUT: Duration = Duration::from_millis(150);
/// Shortest retry delay stated in a refusal.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Token that an operation took from the limit of its team.
#[derive(Clone, Debug)]
pub struct AdmissionToken {
    origin: TokenOrigin,
    /// Number of the bucket that the token came from; zero if the team has no limit.
    bucket_number: u32,
}

/// Quota owner that a token came from.
#[derive(Clone, Debug)]
enum TokenOrigin {
    /// This instance.
    Own(LimitShare),
    /// Another instance.
    Peer(Rc<PeerLink>),
}

impl<E: EngineTypes> GatewayInstance<E> {
    /// Admits an operation of a team, or returns the delay after which a retry may be admitted.
    ///
    /// Sleeps until the next token is available if that takes at most `max_wait`.
    pub async fn admit(
        self: &Rc<Self>,
        team: &str,
        priority: PriorityLevel,
        max_wait: Duration,
    ) -> Result<Option<AdmissionToken>, Duration> {
        let max_wait = max_wait.min(TOKEN_TIMEOUT);
        if self.directory.borrow().document().team_limit(team).is_none() {
            return Ok(None);
        }
        let (origin, decision) = self.request_admission(team, priority, max_wait).await;
        match decision {
            AdmissionDecision::Admitted { delay, bucket_number } => {
                if !delay.is_zero() {
                    sleep(delay).await;
                }
                Ok(Some(AdmissionToken { origin, bucket_number }))
            }
            AdmissionDecision::Refused { retry_after, .. } => {
                Err(self.retry_delay(retry_after.max(MIN_RETRY_DELAY)))
            }
        }
    }

    /// Returns the token of an operation that certainly did not run to where it came from.
    pub(crate) fn return_token(&self, team: &str, token: AdmissionToken, priority: PriorityLevel) {
        let bucket_number = token.bucket_number;
        counter!(meter::RETURNED_TOKENS).increment(1);
        match token.origin {
            TokenOrigin::Own(share) => self.take_back_token(team, share, bucket_number, priority),
            TokenOrigin::Peer(link) => {
                let team = team.to_owned();
                link.send(&PeerRequest::ReturnToken { team, bucket_number, priority });
            }
        }
    }

    /// Takes back a token as the quota owner of its team.
    pub(crate) fn take_back_token(
        &self,
        team: &str,
        share: LimitShare,
        bucket_number: u32,
        priority: PriorityLevel,
    ) {
        let rank = self.directory.borrow().document().priority_rank(priority);
        let now = self.now();
        self.quotas.borrow_mut().return_token(team, share, bucket_number, rank, now);
    }

    /// Decides about an operation as the quota owner of its team.
    ///
    /// `refused_before` is the number of operations of the same priority that the asking instance
    /// has refused by itself since its last request.
    pub fn admit_locally(
        &self,
        team: &str,
        priority: PriorityLevel,
        max_wait: Duration,
        refused_before: u32,
    ) -> AdmissionDecision {
        self.take_token(team, priority, max_wait, refused_before, LimitShare::Reachable)
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
        self.take_token(team, priority, max_wait, 0, LimitShare::OneInstance)
    }

    fn take_token(
        &self,
        team: &str,
        priority: PriorityLevel,
        max_wait: Duration,
        refused_before: u32,
        share: LimitShare,
    ) -> AdmissionDecision {
        self.update_quota_ownership();
        let quotas = &mut self.quotas.borrow_mut();
        self.decide_admission(quotas, team, priority, max_wait, refused_before, share)
    }

    /// Returns the decision that an operation would get now, without taking a token; `None` if
    /// another instance decides and has refused none lately. With it comes the deciding instance.
    pub(crate) fn preview_admission(
        &self,
        team: &str,
        priority: PriorityLevel,
        max_wait: Duration,
    ) -> (String, Option<AdmissionDecision>) {
        let max_wait = max_wait.min(TOKEN_TIMEOUT);
        let owners = self.peers.fleet_owners(team);
        let (owner, share) = match owners.first() {
            Some(owner) => (owner.clone(), LimitShare::Reachable),
            None => (self.name().to_owned(), LimitShare::OneInstance),
        };
        if owner != self.name() {
            let link = self.peers.link_by_name(&owner);
            let retry_after = link.and_then(|link| {
                let refusals = self.refusals.borrow();
                refusals.valid_refusal(team, priority, link.record.incarnation, self.now())
            });
            let refused =
                |retry_after| AdmissionDecision::Refused { retry_after, hold: Duration::ZERO };
            return (owner, retry_after.map(refused));
        }
        // Tokens are taken from a copy.
        let quotas = &mut self.quotas.borrow().clone();
        (owner, Some(self.decide_admission(quotas, team, priority, max_wait, 0, share)))
    }

    fn decide_admission(
        &self,
        quotas: &mut TeamQuotas,
        team: &str,
        priority: PriorityLevel,
        max_wait: Duration,
        refused_before: u32,
        share: LimitShare,
    ) -> AdmissionDecision {
        let document = self.directory.borrow().document();
        let Some(limit) = document.team_limit(team) else {
            return AdmissionDecision::Admitted { delay: Duration::ZERO, bucket_number: 0 };
        };
        let request = TokenRequest {
            priority_rank: document.priority_rank(priority),
            max_wait,
            starts_full: self.is_first_start(),
            is_starting: self.is_starting(),
            share,
        };
        match quotas.take_with_floors(team, limit, request, refused_before, self.now()) {
            Ok(delay) => {
                let bucket_number = quotas.bucket_number(team, share);
                AdmissionDecision::Admitted { delay, bucket_number }
            }
            Err(TokenRefusal { retry_after, hold }) => {
                AdmissionDecision::Refused { retry_after, hold }
            }
        }
    }

    /// Checks of which teams this instance is the quota owner if the membership has changed.
    fn update_quota_ownership(&self) {
        let generation = self.peers.generation();
        if self.quota_generation.replace(generation) == generation {
            return;
        }
        let is_owner = |team: &str| {
            self.peers.fleet_owners(team).first().is_some_and(|name| name == self.name())
        };
        self.quotas.borrow_mut().record_ownership(is_owner, self.now());
    }

    /// Returns the delay that a refused caller is told, spread where many are refused together.
    fn retry_delay(&self, retry_after: Duration) -> Duration {
        spread_retry(retry_after, self.random_fraction())
    }

    /// Updates the fraction of live instances that the quotas are scaled by.
    ///
    /// Must be called several times a second; see [`coord::quota::TeamQuotas::record_reachable`].
    pub(crate) fn update_reachable_fraction(&self) {
        let (live, known) = self.peers.counts();
        self.quotas.borrow_mut().record_reachable(live, known, self.now());
        self.update_quota_ownership();
        for change in self.quotas.borrow_mut().take_load_changes(self.now()) {
            let (event, label) = match change.is_over_limit {
                true => (LogEvent::TeamOverLimit, "over"),
                false => (LogEvent::TeamWithinLimit, "within"),
            };
            counter!(meter::TEAM_LOAD_CHANGES, "to" => label).increment(1);
            log_event!(
                event,
                "team={} asked_per_s={:.1} admitted_per_s={:.1}",
                change.team,
                change.demand_rate,
                change.admitted_rate
            );
        }
    }

    /// Asks the quota owner of a team for a decision; returns it with the owner.
    ///
    /// Decides locally if this instance is the owner or no candidate answers.
    async fn request_admission(
        self: &Rc<Self>,
        team: &str,
        priority: PriorityLevel,
        max_wait: Duration,
    ) -> (TokenOrigin, AdmissionDecision) {
        for name in self.peers.fleet_owners(team).iter() {
            if name == self.name() {
                let decision = self.admit_locally(team, priority, max_wait, 0);
                if let AdmissionDecision::Refused { .. } = decision {
                    counter!(meter::LIMIT_REFUSALS, "by" => "local").increment(1);
                }
                return (TokenOrigin::Own(LimitShare::Reachable), decision);
            }
            let Some(link) = self.open_link(name) else {
                continue;
            };
            if let Some(answer) = self.ask_quota_owner(&link, team, priority, max_wait).await {
                return (TokenOrigin::Peer(link), answer);
            }
        }
        let decision = self.admit_own_share(team, priority, max_wait);
        (TokenOrigin::Own(LimitShare::OneInstance), decision)
    }

    /// Asks a peer for a decision, unless its last refusal is still valid.
    async fn ask_quota_owner(
        &self,
        link: &PeerLink,
        team: &str,
        priority: PriorityLevel,
        max_wait: Duration,
    ) -> Option<AdmissionDecision> {
        let (owner, sent_at) = (link.record.incarnation, self.now());
        let version = self.directory.borrow().document().version;
        let refused_before = {
            let mut refusals = self.refusals.borrow_mut();
            if let Some(retry_after) = refusals.refuse(team, priority, owner, sent_at) {
                counter!(meter::LIMIT_REFUSALS, "by" => "cache").increment(1);
                return Some(AdmissionDecision::Refused { retry_after, hold: Duration::ZERO });
            }
            refusals.take_refused_count(team, priority)
        };
        counter!(meter::QUOTA_REQUESTS).increment(1);
        let answer = link
            .request_admission(team, priority, max_wait, refused_before, ADMISSION_TIMEOUT)
            .await?;
        if let AdmissionDecision::Refused { retry_after, hold } = answer {
            counter!(meter::LIMIT_REFUSALS, "by" => "owner").increment(1);
            // An answer that was sent before a new document came into force may state the old limit.
            if self.directory.borrow().document().version == version {
                let mut refusals = self.refusals.borrow_mut();
                refusals.record(team, priority, owner, sent_at, hold, retry_after);
            }
        }
        Some(answer)
    }
}
