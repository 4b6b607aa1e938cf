//! Creation, resizing and eviction of the connection pools of an instance.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

use coord::endpoint_health::is_degraded;
use coord::placement::{MOVED_IDLE_TIMEOUT, connection_limit};
use coord::priority::PriorityQueue;
use metrics::{counter, gauge};
use telemetry::event::LogEvent;
use telemetry::{log_event, meter};
use tokio::sync::Notify;

use crate::instance::{EngineTypes, GatewayInstance};
use crate::member_load::EXTRA_PERMITS;
use crate::pool::{EndpointPool, remove_least_useful, remove_unneeded};

impl<E: EngineTypes> GatewayInstance<E> {
    /// Evicts connections that were idle for too long or that are broken, and removes the pools of
    /// unregistered and restarted endpoints.
    ///
    /// Connections to endpoints that this instance owns are kept by their expected next use, others for
    /// a short time. The limits of all pools are updated and unreachable endpoints are probed.
    pub fn evict_idle_connections(self: &Rc<Self>) {
        let now = self.now();
        let pools: Vec<Rc<EndpointPool>> =
            self.pools.by_endpoint.borrow().values().cloned().collect();
        for pool in pools {
            if self.is_closed(&pool.endpoint) {
                self.close_connections(&pool);
            }
            if pool.unreachable_since.get().is_some() {
                // Another instance owns its connections meanwhile, so no request here would show
                // that the endpoint has recovered.
                self.spawn_probe(&pool);
            }
            self.resize_pool(&pool);
            let registered_start = self
                .directory
                .borrow()
                .endpoint(&pool.endpoint)
                .map(|entry| entry.record.started_ms);
            let owned_here = registered_start.is_some()
                && self
                    .connection_owners(&pool.endpoint)
                    .first()
                    .is_some_and(|name| name == self.name());
            let mut evicted = Vec::new();
            pool.idle.borrow_mut().retain_mut(|idle| {
                let idle_time = now.saturating_duration_since(idle.idle_since);
                let expired = !owned_here && idle_time > MOVED_IDLE_TIMEOUT;
                if expired || idle.connection.is_broken() {
                    evicted.push(());
                    return false;
                }
                true
            });
            pool.open_count.set(pool.open_count.get().saturating_sub(evicted.len()));
            if owned_here {
                self.report_health(&pool, now);
                while let Some(idle) = remove_unneeded(&pool, now) {
                    pool.close_connection(idle.connection);
                    counter!(meter::CONNECTIONS_EVICTED, "reason" => "unneeded").increment(1);
                }
            }
            pool.reuse.borrow_mut().remove_expired(now);
            while pool.open_count.get() > pool.max_open.get()
                && let Some(idle) = remove_least_useful(&pool, now)
            {
                pool.close_connection(idle.connection);
            }
            if !evicted.is_empty() {
                pool.connection_freed.notify_one();
            }
            let is_stale = registered_start != Some(pool.started_ms);
            if is_stale && pool.open_count.get() == 0 {
                self.pools.by_endpoint.borrow_mut().remove(&pool.endpoint);
            }
        }
    }

    /// Exports slowness and failures of an endpoint whose connections this instance owns, and logs when
    /// it becomes degraded or recovers.
    fn report_health(&self, pool: &EndpointPool, now: Instant) {
        let view =
            self.directory.borrow().endpoint(&pool.endpoint).and_then(|entry| entry.view.health);
        let slowness = view.map_or(1.0, |view| view.slowness(now));
        let failure_share = pool.health.borrow().failure_share(now);
        let endpoint = pool.endpoint.clone();
        gauge!(meter::ENDPOINT_SLOWNESS, "endpoint" => endpoint.clone()).set(slowness);
        gauge!(meter::ENDPOINT_FAILURE_SHARE, "endpoint" => endpoint).set(failure_share);
        let is_degraded = is_degraded(pool.is_degraded.get(), slowness, failure_share);
        if pool.is_degraded.replace(is_degraded) == is_degraded {
            return;
        }
        let event = if is_degraded { LogEvent::MemberDegraded } else { LogEvent::MemberRecovered };
        log_event!(
            event,
            "endpoint={} service={} slowness={slowness:.1} failure_share={failure_share:.2}",
            pool.endpoint,
            pool.service
        );
    }

    /// Updates connection limit and permits of a pool from the document, the registration and the
    /// reachable fraction of instances.
    fn resize_pool(&self, pool: &EndpointPool) {
        let directory = self.directory.borrow();
        let document = directory.document();
        let reachable_fraction = self.quotas.borrow().reachable_fraction();
        if let Some(service) = document.service(&pool.service) {
            pool.max_open.set(connection_limit(service.max_connections, reachable_fraction));
        }
        if let Some(entry) = directory.endpoint(&pool.endpoint)
            && pool.pace.borrow().is_none()
        {
            pool.queue.borrow_mut().resize(entry.record.slots.max(1) + EXTRA_PERMITS);
        }
    }

    /// Returns the pool of a registered endpoint and creates it if needed.
    ///
    /// A restarted endpoint gets a new pool.
    pub(crate) fn pool(&self, endpoint: &str) -> Option<Rc<EndpointPool>> {
        let directory = self.directory.borrow();
        let entry = directory.endpoint(endpoint)?;
        let mut pools = self.pools.by_endpoint.borrow_mut();
        let is_current = |pool: &&Rc<EndpointPool>| {
            pool.started_ms == entry.record.started_ms
                && pool.service_hash == entry.service_hash
                && pool.address == entry.record.address
        };
        if let Some(pool) = pools.get(endpoint).filter(is_current) {
            return Some(pool.clone());
        }
        let new_queue = || PriorityQueue::new(1).with_anticipation(true);
        let pool = Rc::new(EndpointPool {
            endpoint: endpoint.to_owned(),
            service: entry.record.service.clone(),
            service_hash: entry.service_hash,
            address: entry.record.address,
            started_ms: entry.record.started_ms,
            queue: RefCell::new(new_queue()),
            idle: RefCell::default(),
            open_count: Cell::new(0),
            max_open: Cell::new(1),
            connection_freed: Notify::new(),
            unreachable_since: Cell::new(None),
            last_attempt_at: Cell::new(None),
            last_response_at: Cell::new(None),
            probe_in_flight: Cell::new(false),
            connections_refused_at: Cell::new(None),
            connection_waiters: Cell::new(0),
            freed: RefCell::default(),
            health: RefCell::default(),
            is_process_lost: Cell::new(false),
            recovered_at: Cell::new(None),
            cold: RefCell::default(),
            is_owned: Cell::new(true),
            pace: RefCell::default(),
            leader_queue: RefCell::new(new_queue()),
            is_degraded: Cell::new(false),
            last_answer_at: Cell::new(None),
            answers: RefCell::default(),
            reuse: RefCell::default(),
        });
        self.update_cold_budget(&pool, entry, directory.document().service(&pool.service));
        self.update_pace(&pool, entry);
        self.adopt_durations(&pool, pools.values());
        self.resize_pool(&pool);
        pools.insert(endpoint.to_owned(), pool.clone());
        Some(pool)
    }
}
