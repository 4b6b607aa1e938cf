//! Starts the tasks of an instance and stops it.

use std::rc::Rc;
use std::time::Duration;

use metrics::gauge;
use snafu::{ResultExt, Snafu};
use telemetry::event::LogEvent;
use telemetry::{log_event, meter};
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::interface::{PlatformApi, WatchedTable};
use crate::node::{EngineEdge, GatewayNode};

/// Part of the grace period after which the instance ends whatever is still open.
const STOP_PART: f64 = 0.85;
/// Time between looks at what is still open.
const STOP_TICK: Duration = Duration::from_millis(50);
/// Time between closings of connections that are of no use.
const TIDY_PERIOD: Duration = Duration::from_millis(500);
/// Time for which other instances learn that this one leaves before it may end.
const NOTICE_TIME: Duration = Duration::from_millis(2_600);

/// Error of starting an instance.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen on {address}: {source}"))]
pub struct ListenError {
    /// Address.
    address: std::net::SocketAddr,
    /// Cause reported by the operating system.
    source: std::io::Error,
}

impl<E: EngineEdge> GatewayNode<E> {
    /// Starts all tasks of the instance on the current local set.
    pub async fn start(self: &Rc<Self>) -> Result<(), ListenError> {
        let address = self.settings.record.address;
        let peers = TcpListener::bind(address).await.context(ListenSnafu { address })?;
        let address = self.settings.caller_address;
        let callers = TcpListener::bind(address).await.context(ListenSnafu { address })?;
        tokio::task::spawn_local(self.clone().accept_peers(peers));
        tokio::task::spawn_local(self.clone().accept_callers(callers));
        tokio::task::spawn_local(self.clone().watch_table(WatchedTable::Document));
        tokio::task::spawn_local(self.clone().watch_table(WatchedTable::Endpoints));
        tokio::task::spawn_local(self.clone().register_and_discover());
        tokio::task::spawn_local(self.clone().run_anti_entropy());
        tokio::task::spawn_local(self.clone().ping_peers());
        tokio::task::spawn_local(self.clone().observe_reach());
        tokio::task::spawn_local(self.clone().coordinate_failover());
        let node = self.clone();
        tokio::task::spawn_local(async move {
            loop {
                sleep(TIDY_PERIOD).await;
                node.tidy_connections();
                node.watch_confirmation();
                gauge!(meter::CALLERS).set(node.callers.get() as f64);
                gauge!(meter::ENDPOINT_WORK).set(node.holder.work() as f64);
            }
        });
        Ok(())
    }

    /// Takes nothing new, lets open work end and returns when the process may end.
    pub async fn stop(self: &Rc<Self>) {
        log_event!(LogEvent::DrainStarted, "callers={}", self.callers.get());
        self.leave();
        let removal = self.platform.unregister_instance(self.name());
        let begun_at = self.now();
        tokio::pin!(removal);
        let removed = tokio::time::timeout(NOTICE_TIME, removal).await;
        if let Ok(Err(error)) = &removed {
            log_event!(LogEvent::PlatformLost, "step=unregister cause=\"{error}\"");
        }
        let latest = self.grace().mul_f64(STOP_PART);
        loop {
            let over = self.now().saturating_duration_since(begun_at);
            let open = self.callers.get() > 0 || self.holder.has_pinned();
            if over >= latest || (over >= NOTICE_TIME && !open) {
                break;
            }
            sleep(STOP_TICK).await;
        }
        log_event!(LogEvent::DrainEnded, "callers={}", self.callers.get());
    }
}
