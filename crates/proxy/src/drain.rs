//! Planned stop of an instance.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use telemetry::event::LogEvent;
use telemetry::log_event;
use tokio::time::{Instant, sleep};

use crate::instance::{InstancePhase, ProxyInstance};

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
    let cut = instance.callers.load(Ordering::Relaxed);
    instance.advance_phase(InstancePhase::Closed);
    wait_for_callers(instance, CUT_TIME).await;
    log_event!(LogEvent::DrainEnded, "cut={cut}");
}

async fn wait_for_callers(instance: &ProxyInstance, limit: Duration) {
    let end = Instant::now() + limit;
    while instance.callers.load(Ordering::Relaxed) > 0 && Instant::now() < end {
        sleep(COUNT_INTERVAL).await;
    }
}
