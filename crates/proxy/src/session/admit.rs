//! Checks that a request passes before it may run.

use std::sync::Arc;
use std::time::{Duration, Instant};

use state::catalog::RouteEntry;
use state::document::RouteKind;
use wire::refusal::{RefusalReason, RequestRefusal};
use wire::statement::StatementKind;

use super::request::CallerRequest;
use super::{CallerSession, SessionEnd};
use crate::instance::InstancePhase;
use crate::share_transfer;

/// Time for which a request waits for a share that another instance is expected to give.
const SHARE_PATIENCE: Duration = Duration::from_millis(100);
/// Interval at which such a request looks for tokens.
const SHARE_POLL: Duration = Duration::from_millis(10);

/// Rules under which a request runs.
pub(super) struct RequestTerms {
    /// Route that matches, if any.
    pub(super) route: Option<Arc<RouteEntry>>,
    /// Time up to which the request may run.
    pub(super) deadline: Instant,
}

impl RequestTerms {
    /// Tells whether the route lets the request be repeated.
    pub(super) fn idempotent(&self) -> bool {
        self.route.as_ref().is_some_and(|route| route.idempotent)
    }

    /// Returns the age of data that the route accepts.
    pub(super) fn stated_age(&self) -> Option<Duration> {
        self.route.as_ref().and_then(|route| route.max_staleness)
    }
}

impl CallerSession {
    /// Checks team and key against the document in force; a withdrawn key ends the session.
    pub(super) fn check_key(&mut self) -> Result<(), SessionEnd> {
        let revision = self.instance.revision();
        if revision == self.revision {
            return Ok(());
        }
        let catalog = self.instance.catalog();
        let end =
            |reason, detail: &str| Err(SessionEnd::Refused(RequestRefusal::new(reason, detail)));
        let Some(team) = catalog.team(self.team) else {
            return end(RefusalReason::KeyRevoked, "the team is no longer declared");
        };
        if self.key.is_some_and(|key| !team.keys.contains(&key)) {
            return end(RefusalReason::KeyRevoked, "the key was withdrawn");
        }
        let found = catalog.database(self.database.id);
        let handle = self.instance.database(self.database.id);
        let (Some(entry), Some(handle)) = (found, handle) else {
            return end(RefusalReason::UnknownDatabase, "the database is no longer declared");
        };
        let allowed = team.databases.is_empty()
            || team.databases.iter().any(|allowed| **allowed == *entry.name);
        if !allowed {
            return end(RefusalReason::DatabaseDenied, "the team may no longer use the database");
        }
        self.entry = entry.clone();
        self.database = handle;
        self.revision = revision;
        Ok(())
    }

    /// Checks whether a request may run and takes its cost from the team's rate.
    pub(super) async fn admit(
        &mut self,
        request: &CallerRequest,
    ) -> Result<RequestTerms, RequestRefusal> {
        let class = &request.class;
        if class.kind == StatementKind::Unsupported {
            let detail = format!("{} is not offered by the proxy", class.unsupported_feature);
            return Err(RequestRefusal::new(RefusalReason::Unsupported, detail));
        }
        if self.pinned.is_none() {
            self.check_open_for_work()?;
        }
        if self.key.is_some() && !self.instance.is_document_valid(self.instance.now()) {
            let detail = "the instance cannot tell whether the key is still in force";
            return Err(RequestRefusal::new(RefusalReason::KeyNotValidated, detail));
        }
        let kind =
            if class.kind == StatementKind::Read { RouteKind::Read } else { RouteKind::Write };
        let route = self.entry.find_route(kind, &class.tables).cloned();
        let open = route.as_ref().is_some_and(|route| route.allows_anonymous);
        if self.key.is_none() && !open {
            let detail = "the statement is not on a route that is open to all";
            return Err(RequestRefusal::new(RefusalReason::RouteClosed, detail));
        }
        let limit = route.as_ref().and_then(|route| route.deadline).unwrap_or(self.entry.deadline);
        let own = self.parameters.statement_timeout_ms().map(Duration::from_millis);
        let deadline = self.instance.now() + own.map_or(limit, |own| own.min(limit));
        self.take_tokens(request.cost(), deadline).await?;
        Ok(RequestTerms { route, deadline })
    }

    fn check_open_for_work(&self) -> Result<(), RequestRefusal> {
        if self.instance.phase() >= InstancePhase::Draining {
            let detail = "the instance is stopping";
            return Err(RequestRefusal::new(RefusalReason::Stopping, detail));
        }
        if self.entry.leaving {
            let detail = format!("database {:?} takes no new work", self.entry.name);
            return Err(RequestRefusal::new(RefusalReason::DatabaseLeaving, detail));
        }
        Ok(())
    }

    /// Takes tokens; a shortage may end with a share that arrives from another instance.
    ///
    /// Inside a transaction, whose locks others wait for, the request waits for its token.
    async fn take_tokens(&mut self, cost: f64, deadline: Instant) -> Result<(), RequestRefusal> {
        if cost <= 0.0 {
            return Ok(());
        }
        let instance = self.instance.clone();
        let asked_at = instance.now();
        if !instance.is_epoch_valid(asked_at) {
            let detail = "the instance cannot tell whether its share of the rate is still valid";
            return Err(RequestRefusal::new(RefusalReason::KeyNotValidated, detail));
        }
        let mut taken = instance.limiter.take(self.team, cost, asked_at);
        loop {
            let Err(delay) = taken else {
                return Ok(());
            };
            instance.ledger.record_shortage(self.team);
            let now = instance.now();
            let hopes = now < asked_at + SHARE_PATIENCE
                && share_transfer::is_grant_expected(&instance, self.team);
            if hopes {
                instance.ledger.wait_for_grant(SHARE_POLL).await;
            } else if self.pinned.is_some() && now + delay.retry_after <= deadline {
                tokio::time::sleep(delay.retry_after).await;
            } else {
                let detail = "the team is over its rate and burst";
                let refusal = RequestRefusal::new(RefusalReason::RateExceeded, detail);
                return Err(refusal.with_retry_after(delay.retry_after));
            }
            taken = instance.limiter.retry_take(self.team, cost, instance.now());
        }
    }
}
