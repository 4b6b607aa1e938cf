//! What an instance knows of the load of each service, to refuse what cannot be served.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use coord::placement::EndpointView;
use coord::priority::{PriorityLevel, StartWindow};
use coord::retry_budget::{RetryBudget, ServiceOutage, spread_delay};
use metrics::counter;
use telemetry::event::LogEvent;
use telemetry::{log_event, meter};

use crate::instance::{EngineTypes, GatewayInstance};
use crate::record::RouteRecord;

/// Retry budget and outages of one service.
#[derive(Debug, Default)]
struct ServiceLoad {
    budget: RetryBudget,
    read_outage: ServiceOutage,
    write_outage: ServiceOutage,
}

impl ServiceLoad {
    fn outage(&mut self, read_only: bool) -> &mut ServiceOutage {
        if read_only { &mut self.read_outage } else { &mut self.write_outage }
    }
}

/// Load of the services, as seen by this instance.
#[derive(Debug, Default)]
pub(crate) struct ServiceLoads {
    by_service: RefCell<HashMap<String, ServiceLoad>>,
}

impl ServiceLoads {
    fn with<T>(&self, service: &str, action: impl FnOnce(&mut ServiceLoad) -> T) -> T {
        let mut loads = self.by_service.borrow_mut();
        match loads.get_mut(service) {
            Some(load) => action(load),
            None => action(loads.entry(service.to_owned()).or_default()),
        }
    }

    /// Records a request that is not a retry.
    pub(crate) fn record_request(&self, service: &str) {
        self.with(service, |load| load.budget.record_request());
    }

    /// Takes a retry from the budget of a service; returns whether there was one.
    pub(crate) fn try_retry(&self, service: &str) -> bool {
        let is_allowed = self.with(service, |load| load.budget.try_retry());
        if !is_allowed {
            counter!(meter::RETRIES_DENIED).increment(1);
        }
        is_allowed
    }

    /// Records the final answer of a member to a request that was retried `retries` times.
    pub(crate) fn record_answer(&self, service: &str, read_only: bool, retries: u16) {
        self.with(service, |load| {
            load.budget.refund(retries);
            load.outage(read_only).record_reached();
        });
    }

    /// Records that a member took a request.
    pub(crate) fn record_reached(&self, service: &str, read_only: bool) {
        self.with(service, |load| load.outage(read_only).record_reached());
    }

    /// Records that no member took a request that arrived at `arrived_at`.
    pub(crate) fn record_unreached(
        &self,
        service: &str,
        read_only: bool,
        arrived_at: Instant,
        now: Instant,
    ) {
        let starts =
            self.with(service, |load| load.outage(read_only).record_unreached(arrived_at, now));
        if starts {
            let class = if read_only { "read" } else { "write" };
            log_event!(LogEvent::ServiceUnreached, "service={service} class={class}");
        }
    }

    /// Returns until when a request waits for a member that takes it.
    pub(crate) fn reach_limit(
        &self,
        route: &RouteRecord,
        read_only: bool,
        arrived_at: Instant,
        latest_start: Instant,
        now: Instant,
    ) -> Instant {
        self.with(&route.service, |load| {
            load.outage(read_only).wait_limit(arrived_at, route.target_latency, latest_start, now)
        })
    }

    /// Returns the expected time until a member takes requests again.
    pub(crate) fn expected_rest(&self, service: &str, read_only: bool, now: Instant) -> Duration {
        self.with(service, |load| load.outage(read_only).expected_rest(now))
    }
}

impl<E: EngineTypes> GatewayInstance<E> {
    /// Returns the retry delay to state when capacity is expected after `expected`.
    pub(crate) fn spread_delay(&self, expected: Duration) -> Duration {
        spread_delay(expected, self.random_fraction())
    }
}

/// Returns the shortest expected wait at the candidates of a request if the reports of their
/// connection owners rule out that any of them serves it in its window.
pub(crate) fn ruled_out_wait<'a>(
    candidates: impl Iterator<Item = &'a EndpointView>,
    level: PriorityLevel,
    window: StartWindow,
    now: Instant,
) -> Option<Duration> {
    let mut shortest: Option<Duration> = None;
    for view in candidates {
        if !view.wait_floor.rules_out(level, window, now) {
            return None;
        }
        let wait = view.wait_floor.floor(level, now).in_time;
        shortest = Some(shortest.map_or(wait, |shortest| shortest.min(wait)));
    }
    shortest
}
