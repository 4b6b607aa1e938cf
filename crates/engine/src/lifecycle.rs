//! Startup and graceful shutdown of an instance.

use std::rc::Rc;
use std::time::{Duration, Instant};

use coord::stop_schedule::StopPhase;
use metrics::gauge;
use snafu::{ResultExt, Snafu};
use telemetry::event::LogEvent;
use telemetry::{log_event, meter};
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::instance::{EngineSettings, EngineTypes, GatewayInstance};
use crate::interface::{PlatformApi, WatchedTable};

/// Interval at which a draining instance checks for open sessions and transactions.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval of eviction, validation checks and metric updates.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum time from the announcement of leaving to the exit, in which peers learn of it.
const LEAVE_NOTICE_PERIOD: Duration = Duration::from_millis(2_600);

/// Failure to listen on an address.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen on {address}: {source}"))]
pub struct ListenError {
    /// Address that could not be bound.
    address: std::net::SocketAddr,
    /// Cause reported by the operating system.
    source: std::io::Error,
}

/// Bound listeners of an instance.
#[derive(Debug)]
pub struct InstanceListeners {
    /// Accepts connections from other instances.
    pub peers: TcpListener,
    /// Accepts callers.
    pub callers: TcpListener,
}

impl InstanceListeners {
    /// Binds the addresses of an instance.
    pub async fn bind(settings: &EngineSettings) -> Result<Self, ListenError> {
        let address = settings.record.address;
        let peers = TcpListener::bind(address).await.context(ListenSnafu { address })?;
        let address = settings.caller_address;
        let callers = TcpListener::bind(address).await.context(ListenSnafu { address })?;
        Ok(Self { peers, callers })
    }
}

impl<E: EngineTypes> GatewayInstance<E> {
    /// Starts the tasks of the instance on the current local set.
    pub fn start(self: &Rc<Self>, listeners: InstanceListeners) {
        tokio::task::spawn_local(self.clone().accept_peers(listeners.peers));
        tokio::task::spawn_local(self.clone().accept_callers(listeners.callers));
        tokio::task::spawn_local(self.clone().watch_table(WatchedTable::Document));
        tokio::task::spawn_local(self.clone().watch_table(WatchedTable::Endpoints));
        tokio::task::spawn_local(self.clone().register_and_discover());
        tokio::task::spawn_local(self.clone().replicate_table(WatchedTable::Document));
        tokio::task::spawn_local(self.clone().replicate_table(WatchedTable::Endpoints));
        tokio::task::spawn_local(self.clone().replicate_kept_document());
        tokio::task::spawn_local(self.clone().ping_peers());
        tokio::task::spawn_local(self.clone().maintain_subscriptions());
        tokio::task::spawn_local(self.clone().publish_changes());
        tokio::task::spawn_local(self.clone().coordinate_failover());
        let instance = self.clone();
        tokio::task::spawn_local(async move {
            loop {
                sleep(MAINTENANCE_INTERVAL).await;
                instance.settle_document();
                instance.update_evacuations();
                instance.find_new_leaders();
                instance.evict_idle_connections();
                instance.log_validation_change();
                instance.directory.borrow_mut().remove_expired(instance.now());
                instance.update_table_metrics();
                gauge!(meter::CALLERS).set(instance.caller_count.get() as f64);
                gauge!(meter::ENDPOINT_WORK).set(instance.pools.outstanding_requests() as f64);
                let (cold, paced) = instance.pools.held_counts();
                gauge!(meter::HELD_MEMBERS, "state" => "cold").set(cold as f64);
                gauge!(meter::HELD_MEMBERS, "state" => "paced").set(paced as f64);
                gauge!(meter::CONNECTIONS_OPEN).set(instance.pools.open_connections() as f64);
                let (live, known) = instance.peers.counts();
                gauge!(meter::INSTANCES, "state" => "live").set(live as f64);
                gauge!(meter::INSTANCES, "state" => "dead").set((known - live) as f64);
                gauge!(meter::PEER_LINKS).set(instance.peers.open_link_count() as f64);
                gauge!(meter::SUBSCRIBERS).set(instance.peers.subscriber_count() as f64);
            }
        });
    }

    /// Announces that the instance is leaving, unregisters it and waits until open sessions,
    /// transactions and calls of peers have ended, as [`StopPhase`] describes.
    ///
    /// Returns when the process may exit, before the end of the grace period.
    pub async fn stop(self: &Rc<Self>) {
        log_event!(LogEvent::DrainStarted, "callers={}", self.caller_count.get());
        self.start_leaving();
        let instance = self.clone();
        // A store that does not answer must not delay the stop.
        tokio::task::spawn_local(async move {
            if let Err(error) = instance.platform.unregister_instance(instance.name()).await {
                log_event!(LogEvent::PlatformLost, "step=unregister cause=\"{error}\"");
            }
        });
        let earliest_end = self.now() + LEAVE_NOTICE_PERIOD;
        self.wait_for_open_work(StopPhase::Answering, earliest_end).await;
        self.release_peer_transactions();
        self.wait_for_open_work(StopPhase::Closing, earliest_end).await;
        self.start_closing();
        // Connections that were accepted last get the time to send their request.
        self.wait_for_open_work(StopPhase::Ended, self.now() + DRAIN_POLL_INTERVAL).await;
        let work = self.open_sessions.work();
        log_event!(
            LogEvent::DrainEnded,
            "callers={} waiting={} transactions={} peer_calls={}",
            work.callers,
            work.waiting,
            work.transactions,
            work.peer_calls
        );
        self.open_sessions.log_cut_requests(self.now());
    }

    /// Waits until the planned stop reaches `phase`, or until nothing is open after `earliest_end`.
    async fn wait_for_open_work(&self, phase: StopPhase, earliest_end: Instant) {
        while !self.has_stop_reached(phase) {
            let is_open = self.caller_count.get() > 0
                || self.pools.has_pinned_connections()
                || self.open_sessions.work().peer_calls > 0;
            if !is_open && self.now() >= earliest_end {
                return;
            }
            sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}
