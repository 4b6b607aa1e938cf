//! Admission of requests: access, route, deadline and the team's rate.

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

/// Bounds the wait of a request for a share that another instance is expected to grant.
const SHARE_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest pause between two attempts of such a request to take tokens.
const SHARE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Route and deadline of an admitted request.
pub(super) struct RequestPolicy {
    /// Route that the request matches, if any.
    pub(super) route: Option<Arc<RouteEntry>>,
    /// Deadline of the request.
    pub(super) deadline: Instant,
}

impl RequestPolicy {
    /// Returns whether the route declares its requests idempotent, so that a retry is safe.
    pub(super) fn is_idempotent(&self) -> bool {
        self.route.as_ref().is_some_and(|route| route.idempotent)
    }

    /// Returns the largest staleness that the route accepts, or none if only the primary may serve.
    pub(super) fn max_staleness(&self) -> Option<Duration> {
        self.route.as_ref().and_then(|route| route.max_staleness)
    }
}

impl CallerSession {
    /// Checks team, key and database against the current document; a revoked key ends the session.
    pub(super) fn check_access(&mut self) -> Result<(), SessionEnd> {
        let revision = self.instance.revision();
        if revision == self.checked_revision {
            return Ok(());
        }
        let catalog = self.instance.catalog();
        let refuse =
            |reason, detail: &str| Err(SessionEnd::Refused(RequestRefusal::new(reason, detail)));
        let Some(team) = catalog.team(self.team) else {
            return refuse(RefusalReason::KeyRevoked, "the team is no longer declared");
        };
        if self.key.is_some_and(|key| !team.keys.contains(&key)) {
            return refuse(RefusalReason::KeyRevoked, "the key was withdrawn");
        }
        let catalog_entry = catalog.database(self.database.id);
        let handle = self.instance.database(self.database.id);
        let (Some(database_entry), Some(handle)) = (catalog_entry, handle) else {
            return refuse(RefusalReason::UnknownDatabase, "the database is no longer declared");
        };
        let allowed = team.databases.is_empty()
            || team.databases.iter().any(|allowed| **allowed == *database_entry.name);
        if !allowed {
            return refuse(
                RefusalReason::DatabaseDenied,
                "the team may no longer use the database",
            );
        }
        self.database_entry = database_entry.clone();
        self.database = handle;
        self.checked_revision = revision;
        Ok(())
    }

    /// Checks whether a request may run, and takes its cost from the team's tokens.
    pub(super) async fn admit(
        &mut self,
        request: &CallerRequest,
    ) -> Result<RequestPolicy, RequestRefusal> {
        let class = &request.class;
        if class.kind == StatementKind::Unsupported {
            let detail = format!("{} is not supported by the proxy", class.unsupported_feature);
            return Err(RequestRefusal::new(RefusalReason::Unsupported, detail));
        }
        if self.pinned.is_none() {
            self.check_accepts_requests()?;
        }
        if self.key.is_some() && !self.instance.is_document_valid(self.instance.now()) {
            let detail = "the instance cannot tell whether the key is still in force";
            return Err(RequestRefusal::new(RefusalReason::KeyNotValidated, detail));
        }
        let kind =
            if class.kind == StatementKind::Read { RouteKind::Read } else { RouteKind::Write };
        let route = self.database_entry.find_route(kind, &class.tables).cloned();
        let allows_anonymous = route.as_ref().is_some_and(|route| route.allows_anonymous);
        if self.key.is_none() && !allows_anonymous {
            let detail = "the statement matches no route that allows callers without a key";
            return Err(RequestRefusal::new(RefusalReason::RouteClosed, detail));
        }
        let max_duration =
            route.as_ref().and_then(|route| route.deadline).unwrap_or(self.database_entry.deadline);
        let statement_timeout = self.parameters.statement_timeout_ms().map(Duration::from_millis);
        let deadline = self.instance.now()
            + statement_timeout
                .map_or(max_duration, |statement_timeout| statement_timeout.min(max_duration));
        self.take_tokens(request.cost(), deadline).await?;
        Ok(RequestPolicy { route, deadline })
    }

    fn check_accepts_requests(&self) -> Result<(), RequestRefusal> {
        if self.instance.phase() >= InstancePhase::Draining {
            let detail = "the instance is stopping";
            return Err(RequestRefusal::new(RefusalReason::Stopping, detail));
        }
        if self.database_entry.leaving {
            let detail = format!("database {:?} takes no new work", self.database_entry.name);
            return Err(RequestRefusal::new(RefusalReason::DatabaseLeaving, detail));
        }
        Ok(())
    }

    /// Takes tokens, and waits for a share that another instance is expected to grant.
    ///
    /// A request inside a transaction also waits for its tokens to be refilled, since others may
    /// be waiting for the transaction's locks.
    async fn take_tokens(&mut self, cost: f64, deadline: Instant) -> Result<(), RequestRefusal> {
        if cost <= 0.0 {
            return Ok(());
        }
        let instance = self.instance.clone();
        let requested_at = instance.now();
        if !instance.is_epoch_valid(requested_at) {
            let detail = "the instance cannot tell whether its share of the rate is still valid";
            return Err(RequestRefusal::new(RefusalReason::KeyNotValidated, detail));
        }
        let mut result = instance.limiter.take(self.team, cost, requested_at);
        loop {
            let Err(shortage) = result else {
                return Ok(());
            };
            instance.ledger.record_shortage(self.team);
            let now = instance.now();
            let grant_expected = now < requested_at + SHARE_TIMEOUT
                && share_transfer::is_grant_expected(&instance, self.team);
            if grant_expected {
                instance.ledger.wait_for_grant(SHARE_POLL_INTERVAL).await;
            } else if self.pinned.is_some() && now + shortage.retry_after <= deadline {
                tokio::time::sleep(shortage.retry_after).await;
            } else {
                let detail = "the team is over its rate and burst";
                let refusal = RequestRefusal::new(RefusalReason::RateExceeded, detail);
                return Err(refusal.with_retry_after(shortage.retry_after));
            }
            result = instance.limiter.retry_take(self.team, cost, instance.now());
        }
    }
}
