//! Graceful shutdown of an instance.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use telemetry::event::LogEvent;
use telemetry::log_event;
use tokio::time::{Instant, sleep};

use crate::heartbeat;
use crate::instance::{InstancePhase, ProxyInstance};

/// Timeout of the transfer of all shares to a peer.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time since the last message from a peer for a transfer to it.
const MAX_CONTACT_AGE: Duration = Duration::from_millis(600);
/// Interval at which the wait conditions are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time limit for sessions to end after the instance closes them.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Drains an instance: announces that it leaves, waits for open sessions until the drain deadline,
/// transfers its shares to a peer and closes the remaining sessions.
pub async fn drain(instance: &Arc<ProxyInstance>) {
    log_event!(LogEvent::DrainStarted, "callers={}", instance.callers.load(Ordering::Relaxed));
    instance.advance_phase(InstancePhase::Leaving);
    sleep(instance.settings.drain_notice).await;
    instance.advance_phase(InstancePhase::Draining);
    wait_for_callers(instance, instance.settings.drain_deadline).await;
    transfer_shares(instance).await;
    let remaining_callers = instance.callers.load(Ordering::Relaxed);
    instance.advance_phase(InstancePhase::Closed);
    wait_for_callers(instance, CLOSE_TIMEOUT).await;
    log_event!(LogEvent::DrainEnded, "cut={remaining_callers}");
}

/// Grants all shares to an active peer and waits for the acknowledgement.
async fn transfer_shares(instance: &Arc<ProxyInstance>) {
    let now = instance.now();
    let active_peer = instance.peers.find(|peer| {
        let summary = peer.summary.as_ref();
        let is_reachable =
            peer.last_contact_at.is_some_and(|at| now.duration_since(at) < MAX_CONTACT_AGE);
        is_reachable && summary.is_some_and(|summary| !summary.leaving)
    });
    let Some(recipient) = active_peer.and_then(|peer| peer.incarnation()) else {
        return;
    };
    let catalog = instance.catalog();
    instance.ledger.grant_all(&instance.limiter, &catalog, recipient, now);
    let deadline = Instant::now() + TRANSFER_TIMEOUT;
    while !instance.ledger.is_acknowledged(&[recipient]) && Instant::now() < deadline {
        sleep(POLL_INTERVAL).await;
    }
    // Lets another heartbeat report to all peers that this instance holds no shares, so that its
    // end causes no reconciliation.
    sleep(heartbeat::HEARTBEAT_INTERVAL * 2).await;
}

async fn wait_for_callers(instance: &ProxyInstance, limit: Duration) {
    let deadline = Instant::now() + limit;
    while instance.callers.load(Ordering::Relaxed) > 0 && Instant::now() < deadline {
        sleep(POLL_INTERVAL).await;
    }
}
