//! Brings documents into force on this instance.

use std::sync::Arc;
use std::time::Duration;

use net::store::{DocumentHead, DocumentStore, StoreError};
use state::document::Document;
use telemetry::event::LogEvent;
use telemetry::log_event;
use tokio::time::{MissedTickBehavior, interval};

use crate::instance::ProxyInstance;

/// Interval at which the head in force is read from the table service.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Reads the head again and again and puts newer documents into force.
pub async fn follow(instance: Arc<ProxyInstance>) {
    let mut ticks = interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut answered = true;
    loop {
        ticks.tick().await;
        let poll = poll(&instance).await;
        match &poll {
            Err(error) if answered => log_event!(LogEvent::PlatformLost, "{error}"),
            Ok(()) if !answered => log_event!(LogEvent::PlatformFound, "document head read"),
            _ => {}
        }
        answered = poll.is_ok();
    }
}

async fn poll(instance: &Arc<ProxyInstance>) -> Result<(), StoreError> {
    let store = DocumentStore::new(&instance.platform, &instance.settings.environment);
    let Some(head) = store.head().await? else {
        return Ok(());
    };
    if head.revision > instance.revision() {
        let text = store.body(&head).await?;
        install(instance, &head, &text);
    }
    Ok(())
}

/// Checks a document and puts it into force if it is newer.
pub fn install(instance: &Arc<ProxyInstance>, head: &DocumentHead, text: &str) {
    match Document::parse(text) {
        Ok(document) => {
            if instance.put_in_force(head.revision, &document) {
                let (revision, digest) = (head.revision, &head.digest);
                log_event!(LogEvent::DocumentInForce, "revision={revision} digest={digest}");
            }
        }
        Err(error) => {
            log_event!(LogEvent::DocumentRefused, "revision={}: {error}", head.revision);
        }
    }
}
