//! Planned stop of an instance.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use telemetry::event::LogEvent;
use telemetry::log_event;
use tokio::time::{Instant, sleep};

use crate::heartbeat;
use crate::instance::{InstancePhase, ProxyInstance};

/// Time that a peer has to take over the shares.
const HAND_BACK_TIME: Duration = Duration::from_secs(2);
/// Age of a peer's last answer up to which shares are handed to it.
const PEER_FRESH: Duration = Duration::from_millis(600);
/// Interval at which open connections are counted.
const COUNT_INTERVAL: Duration = Duration::from_millis(20);
/// Time that connections have to end after they were cut.
const CUT_TIME: Duration = Duration::from_millis(500);

/// Drains an instance: leaves, finishes what is open, cuts the rest at the deadline.
pub async fn drain(instance: &Arc<ProxyInstance>) {
    log_event!(LogEvent::DrainStarted, "callers={}", instance.callers.load(Ordering::Relaxed));
    instance.advance_phase(InstancePhase::Leaving);
    sleep(instance.settings.drain_notice).await;
    instance.advance_phase(InstancePhase::Draining);
    wait_for_callers(instance, instance.settings.drain_deadline).await;
    hand_back(instance).await;
    let cut = instance.callers.load(Ordering::Relaxed);
    instance.advance_phase(InstancePhase::Closed);
    wait_for_callers(instance, CUT_TIME).await;
    log_event!(LogEvent::DrainEnded, "cut={cut}");
}

/// Gives every share to a peer that stays, and waits until it has arrived.
async fn hand_back(instance: &Arc<ProxyInstance>) {
    let now = instance.now();
    let staying = instance.peers.find(|peer| {
        let summary = peer.summary.as_ref();
        let fresh = peer.answered_at.is_some_and(|at| now.duration_since(at) < PEER_FRESH);
        fresh && summary.is_some_and(|summary| !summary.leaving)
    });
    let Some(taker) = staying.and_then(|peer| peer.incarnation()) else {
        return;
    };
    let catalog = instance.catalog();
    instance.ledger.give_everything(&instance.limiter, &catalog, taker, now);
    let end = Instant::now() + HAND_BACK_TIME;
    while !instance.ledger.is_settled(&[taker]) && Instant::now() < end {
        sleep(COUNT_INTERVAL).await;
    }
    // One more heartbeat tells every peer that nothing is held here.
    sleep(heartbeat::BEAT_INTERVAL * 2).await;
}

async fn wait_for_callers(instance: &ProxyInstance, limit: Duration) {
    let end = Instant::now() + limit;
    while instance.callers.load(Ordering::Relaxed) > 0 && Instant::now() < end {
        sleep(COUNT_INTERVAL).await;
    }
}
