//! Obtains new documents from the table service or from peers and puts them in force.

use std::sync::Arc;
use std::time::Duration;

use coord::rendezvous;
use net::peer::PeerHandle;
use net::store::{DocumentHead, DocumentStore, StoreError, StoredDocument};
use state::credential::sha256_hex;
use state::document::Document;
use telemetry::event::LogEvent;
use telemetry::log_event;
use tokio::time::{MissedTickBehavior, interval, timeout};
use wire::peer::{Announcement, FetchRequest};

use crate::instance::ProxyInstance;

/// Interval at which head and epoch are read from the table service.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a read of head and epoch.
const POLL_TIMEOUT: Duration = Duration::from_millis(800);
/// Number of instances in each availability zone that poll the table service.
const POLLERS_PER_ZONE: usize = 2;
/// Validation age above which every instance polls the table service itself.
const MAX_VALIDATION_AGE: Duration = Duration::from_millis(900);

/// Polls head and epoch, periodically and on request, and puts newer documents in force.
pub async fn poll_store(instance: Arc<ProxyInstance>) {
    let mut ticks = interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut is_reachable = true;
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                if !is_poller(&instance) {
                    continue;
                }
            }
            () = instance.poll_requested() => {}
        }
        let result = poll(&instance).await;
        match &result {
            Err(error) if is_reachable => log_event!(LogEvent::PlatformLost, "{error}"),
            Ok(()) if !is_reachable => log_event!(LogEvent::PlatformFound, "head and epoch read"),
            _ => {}
        }
        is_reachable = result.is_ok();
    }
}

/// Returns whether this instance polls the table service: it ranks high enough in its availability
/// zone, or its own validations are too old.
fn is_poller(instance: &ProxyInstance) -> bool {
    let now = instance.now();
    let validation_age = instance.update_validations(|validations| {
        let (document, epoch) =
            (validations.document.validation_age(now), validations.epoch.validation_age(now));
        document.zip(epoch).map(|(document, epoch)| document.max(epoch))
    });
    if validation_age.is_none_or(|age| age > MAX_VALIDATION_AGE) {
        return true;
    }
    let settings = &instance.settings;
    let peers = instance.peers.all();
    let zone_peers =
        peers.iter().filter(|peer| peer.zone == settings.zone).map(|peer| peer.name.as_str());
    rendezvous::rank("poller", &settings.instance, zone_peers) < POLLERS_PER_ZONE
}

async fn poll(instance: &Arc<ProxyInstance>) -> Result<(), StoreError> {
    let sent_at = instance.now();
    let store = DocumentStore::new(&instance.platform, &instance.settings.environment);
    let result = timeout(POLL_TIMEOUT, store.snapshot()).await;
    let snapshot = match result {
        Ok(Ok(snapshot)) => snapshot,
        failed => {
            instance.update_validations(|validations| {
                validations.document.record_store_failure(sent_at);
                validations.epoch.record_store_failure(sent_at);
            });
            return match failed {
                Ok(Err(error)) => Err(error),
                _ => Err(StoreError::Timeout { limit: POLL_TIMEOUT }),
            };
        }
    };
    instance.record_stored_epoch(snapshot.epoch.clone(), snapshot.epoch_row_revision);
    let epoch = snapshot.epoch.map_or(0, |epoch| epoch.number);
    let revision = snapshot.head.as_ref().map_or(0, |head| head.revision);
    if let Some(head) = snapshot.head.filter(|head| head.revision > instance.revision()) {
        let text = store.body(&head).await?;
        apply_if_newer(instance, head, text);
    }
    instance.update_validations(|validations| {
        validations.document.record_store_version(sent_at, revision);
        validations.epoch.record_store_version(sent_at, epoch);
    });
    Ok(())
}

/// Fetches the document of a peer that reports a newer revision.
pub fn fetch_from_peer(instance: Arc<ProxyInstance>, mut peer: PeerHandle) {
    tokio::spawn(async move {
        let response = match peer.fetch_document(FetchRequest {}).await {
            Ok(response) => response,
            Err(status) => {
                // The next heartbeat of a peer that is ahead starts another attempt.
                log_event!(LogEvent::TableFetchFailed, "cause=\"{status}\"");
                return;
            }
        };
        let body = response.into_inner();
        if sha256_hex(body.text.as_bytes()) != body.digest {
            log_event!(LogEvent::DocumentRefused, "revision={}: digest mismatch", body.revision);
            return;
        }
        let head = DocumentHead {
            revision: body.revision,
            digest: body.digest,
            request: body.request,
            operator: body.operator,
        };
        apply_if_newer(&instance, head, body.text);
    });
}

/// Parses a document, puts it in force if it is newer, and announces it to peers with an older one.
fn apply_if_newer(instance: &Arc<ProxyInstance>, head: DocumentHead, text: String) {
    if head.revision <= instance.revision() {
        return;
    }
    let document = match Document::parse(&text) {
        Ok(document) => document,
        Err(error) => {
            log_event!(LogEvent::DocumentRefused, "revision={}: {error}", head.revision);
            return;
        }
    };
    let (revision, digest) = (head.revision, head.digest.clone());
    if instance.apply_document(StoredDocument { head, text }, &document) {
        log_event!(LogEvent::DocumentInForce, "revision={revision} digest={digest}");
        announce(instance, revision);
    }
}

fn announce(instance: &Arc<ProxyInstance>, revision: u64) {
    let announcement = Announcement {
        revision,
        epoch: instance.ledger.epoch(),
        source: instance.peer_address().to_string(),
    };
    for peer in instance.peers.all() {
        let behind = peer.summary.as_ref().is_none_or(|summary| summary.revision < revision);
        if behind {
            let (mut client, announcement) = (peer.client, announcement.clone());
            tokio::spawn(async move { client.announce(announcement).await.map(|_| ()) });
        }
    }
}
