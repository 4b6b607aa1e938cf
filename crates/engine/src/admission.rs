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

use crate::connection_owner::CallOrigin;
use crate::instance::{EngineTypes, GatewayInstance};
use crate::message::{AdmissionDecision, AdmissionRequest, PeerRequest, millis};
use crate::peer_link::PeerLink;

/// Bounds the wait for the answer of a quota owner.
const ADMISSION_TIMEOUT: Duration = Duration::from_millis(150);
/// The same for an instance that asks the owner on behalf of another one.
const RELAY_TIMEOUT: Duration = Duration::from_millis(75);
/// Origin of the requests of this instance.
const OWN_ORIGIN: CallOrigin = 0;
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

    /// Decides about an operation as the quota owner of its team or its substitute; `origin` identifies
    /// the asking instance.
    pub fn admit_locally(
        &self,
        request: &AdmissionRequest,
        origin: CallOrigin,
    ) -> AdmissionDecision {
        let share = self.owned_share(&request.team);
        if share == LimitShare::Substitute {
            self.quotas.borrow_mut().record_asker(origin, self.now());
        }
        self.take_token(request, share)
    }

    /// Asks the quota owner of a team on behalf of an instance that does not reach it, and decides as
    /// its substitute without an answer.
    pub(crate) async fn relay_admission(
        self: &Rc<Self>,
        mut request: AdmissionRequest,
        origin: CallOrigin,
    ) -> AdmissionDecision {
        request.is_relayed = true;
        let owner = self.peers.fleet_owner(&request.team);
        if let Some(link) = owner.and_then(|owner| self.open_link(&owner))
            && let Some(decision) = link.request_admission(request.clone(), RELAY_TIMEOUT).await
        {
            return match decision {
                // The token cannot be returned through this instance.
                AdmissionDecision::Admitted { delay, .. } => {
                    AdmissionDecision::Admitted { delay, bucket_number: 0 }
                }
                refused => refused,
            };
        }
        self.admit_locally(&request, origin)
    }

    /// Returns the part of a team's limit that this instance admits for those that ask it.
    fn owned_share(&self, team: &str) -> LimitShare {
        match self.peers.is_fleet_owner(team) {
            true => LimitShare::Reachable,
            false => LimitShare::Substitute,
        }
    }

    fn take_token(&self, request: &AdmissionRequest, share: LimitShare) -> AdmissionDecision {
        self.update_quota_ownership();
        let quotas = &mut self.quotas.borrow_mut();
        self.decide_admission(quotas, request, share)
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
            Some(owner) => (owner.clone(), self.owned_share(team)),
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
        let request = new_request(team, priority, max_wait);
        // Tokens are taken from a copy.
        let quotas = &mut self.quotas.borrow().clone();
        (owner, Some(self.decide_admission(quotas, &request, share)))
    }

    fn decide_admission(
        &self,
        quotas: &mut TeamQuotas,
        request: &AdmissionRequest,
        share: LimitShare,
    ) -> AdmissionDecision {
        let team = request.team.as_str();
        let document = self.directory.borrow().document();
        let Some(limit) = document.team_limit(team) else {
            return AdmissionDecision::Admitted { delay: Duration::ZERO, bucket_number: 0 };
        };
        let token_request = TokenRequest {
            priority_rank: document.priority_rank(request.priority),
            max_wait: Duration::from_millis(request.max_wait_ms.into()),
            is_starting: self.is_starting(),
            share,
        };
        let refused_before = request.refused_before;
        match quotas.take_with_floors(team, limit, token_request, refused_before, self.now()) {
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
        let signature = self.peers.membership.borrow().fleet_signature();
        if self.fleet_signature.replace(signature) != signature {
            self.quotas.borrow_mut().record_owner_change(self.now());
        }
        let is_owner = |team: &str| self.peers.is_fleet_owner(team);
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
        let request = new_request(team, priority, max_wait);
        let owners = self.peers.fleet_owners(team);
        let is_candidate = owners.iter().any(|name| name == self.name());
        for name in owners.iter() {
            if name == self.name() {
                if !self.peers.is_fleet_owner(team) {
                    // Another one may reach the owner.
                    continue;
                }
                let decision = self.admit_locally(&request, OWN_ORIGIN);
                if let AdmissionDecision::Refused { .. } = decision {
                    counter!(meter::LIMIT_REFUSALS, "by" => "local").increment(1);
                }
                return (TokenOrigin::Own(LimitShare::Reachable), decision);
            }
            let Some(link) = self.open_link(name) else {
                continue;
            };
            if let Some(answer) = self.ask_quota_owner(&link, request.clone()).await {
                return (TokenOrigin::Peer(link), answer);
            }
        }
        if is_candidate {
            let share = self.owned_share(team);
            return (TokenOrigin::Own(share), self.admit_locally(&request, OWN_ORIGIN));
        }
        // Other instances may be in the same situation, so each admits only its own share.
        let share = LimitShare::OneInstance;
        (TokenOrigin::Own(share), self.take_token(&request, share))
    }

    /// Asks a peer for a decision, unless its last refusal is still valid.
    async fn ask_quota_owner(
        &self,
        link: &PeerLink,
        mut request: AdmissionRequest,
    ) -> Option<AdmissionDecision> {
        let (team, priority) = (request.team.clone(), request.priority);
        let team = team.as_str();
        let (owner, sent_at) = (link.record.incarnation, self.now());
        let version = self.directory.borrow().document().version;
        request.refused_before = {
            let mut refusals = self.refusals.borrow_mut();
            if let Some(retry_after) = refusals.refuse(team, priority, owner, sent_at) {
                counter!(meter::LIMIT_REFUSALS, "by" => "cache").increment(1);
                return Some(AdmissionDecision::Refused { retry_after, hold: Duration::ZERO });
            }
            refusals.take_refused_count(team, priority)
        };
        counter!(meter::QUOTA_REQUESTS).increment(1);
        let answer = link.request_admission(request, ADMISSION_TIMEOUT).await?;
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

fn new_request(team: &str, priority: PriorityLevel, max_wait: Duration) -> AdmissionRequest {
    AdmissionRequest {
        team: team.to_owned(),
        priority,
        max_wait_ms: millis(max_wait),
        refused_before: 0,
        is_relayed: false,
    }
}
