//! Choice of the endpoint for an attempt of a statement.

use std::time::{Duration, Instant};

use coord::regions::RegionScope;
use coord::replica_lag::RequiredPosition;
use coord::watermark::WatermarkRing;
use metrics::counter;
use state::position::LogPosition;
use telemetry::meter;

use crate::candidates::{ReadEndpoint, ReadPlacement, RequestScope, Unavailability};
use crate::connection_acquire::team_hash;
use crate::document_index::DocumentIndex;
use crate::instance::{EngineTypes, GatewayInstance};
use crate::record::RouteConsistency;
use crate::statement::StatementContext;

/// Endpoint of an attempt, and the position that a replica must have reached.
pub(crate) struct ChosenEndpoint {
    pub(crate) endpoint: ReadEndpoint,
    pub(crate) required: Option<LogPosition>,
}

impl<E: EngineTypes> GatewayInstance<E> {
    /// Chooses the endpoint of the next attempt, and counts where a read is placed.
    pub(crate) fn choose_endpoint(
        &self,
        context: &StatementContext<'_>,
        scope: &RequestScope<'_>,
        failed: &[String],
        now: Instant,
    ) -> Result<Option<ChosenEndpoint>, Unavailability> {
        let chosen = self.find_endpoint(context, scope, failed, || self.random_fraction(), now)?;
        if context.plan.read_only
            && let Some(ChosenEndpoint { endpoint, .. }) = &chosen
        {
            let directory = self.directory.borrow();
            let entry = directory.endpoint(&endpoint.name);
            let zone = &self.settings.record.zone;
            count_placement(endpoint.leads, entry.is_some_and(|entry| entry.record.zone == *zone));
        }
        Ok(chosen)
    }

    /// Finds the best endpoint that has not failed. `draw` is a random number from 0 to 1.
    ///
    /// Returns `None` if a later attempt may find one, and an error if it may not.
    pub(crate) fn find_endpoint(
        &self,
        context: &StatementContext<'_>,
        scope: &RequestScope<'_>,
        failed: &[String],
        draw: impl FnOnce() -> f64,
        now: Instant,
    ) -> Result<Option<ChosenEndpoint>, Unavailability> {
        let directory = self.directory.borrow();
        let service = &context.route.service;
        let untried = |name: &String| !failed.contains(name);
        let leading = || {
            let order = directory.write_candidates(service, scope, now);
            order.into_iter().find(untried).map(|name| {
                let endpoint = ReadEndpoint { name, leads: true, catch_up_wait: Duration::ZERO };
                ChosenEndpoint { endpoint, required: None }
            })
        };
        let unavailable = || directory.unavailability(service, scope, now);
        if !context.plan.read_only {
            return match leading() {
                Some(chosen) => Ok(Some(chosen)),
                None => unavailable().map_or(Ok(None), Err),
            };
        }
        let (order, required) = self.read_order(context, scope, draw, now);
        let has_candidates = !order.is_empty();
        let candidate = order.into_iter().find(|endpoint| untried(&endpoint.name));
        match candidate {
            Some(endpoint) => {
                let required = required.map(|required| required.position);
                Ok(Some(ChosenEndpoint { endpoint, required }))
            }
            // The leader may be a member other than the one known to this instance.
            None => match leading() {
                None if !has_candidates => unavailable().map_or(Ok(None), Err),
                chosen => Ok(chosen),
            },
        }
    }

    /// Returns the endpoints to try for a read, best first, and the position that a replica must have
    /// reached.
    pub(crate) fn read_order(
        &self,
        context: &StatementContext<'_>,
        scope: &RequestScope<'_>,
        draw: impl FnOnce() -> f64,
        now: Instant,
    ) -> (Vec<ReadEndpoint>, Option<RequiredPosition>) {
        let directory = self.directory.borrow();
        let service = &context.route.service;
        let required = context.route.consistency.max_staleness().and_then(|max_staleness| {
            let watermarks = directory.watermarks(service)?;
            let watermark = watermarks.oldest_within(context.plan.began_at, max_staleness)?;
            let last_commit = match context.route.consistency {
                RouteConsistency::ReadYourWrites { .. } => context.machine.last_commit(),
                _ => None,
            };
            let position = WatermarkRing::required_position(watermark, last_commit);
            let reached_at = watermarks.reached_at(position).unwrap_or(now);
            Some(RequiredPosition { position, reached_at })
        });
        let zone = &self.settings.record.zone;
        let read = ReadPlacement {
            service_class: context.route.service_class(),
            team_hash: team_hash(context.team),
            draw: draw(),
        };
        let order = directory.read_candidates(service, zone, scope, required, read, now);
        (order, required)
    }
}

/// Returns the team and the regions of a statement.
pub(crate) fn request_scope<'a>(
    context: &StatementContext<'a>,
    document: &'a DocumentIndex,
) -> RequestScope<'a> {
    let route = &context.route.permitted_regions;
    let regions = RegionScope { route, team: document.team_regions(context.team) };
    RequestScope { team: context.team, regions }
}

/// Counts a read by the member that it is placed on. Constant labels need no allocation.
fn count_placement(leads: bool, same_zone: bool) {
    match (leads, same_zone) {
        (true, _) => counter!(meter::PLACEMENTS, "member" => "leader").increment(1),
        (false, true) => counter!(meter::PLACEMENTS, "member" => "same_zone").increment(1),
        (false, false) => counter!(meter::PLACEMENTS, "member" => "other_zone").increment(1),
    }
}
