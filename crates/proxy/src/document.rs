//! Brings documents into force on this instance and passes them on.

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
/// Time that a read of head and epoch may take.
const POLL_TIMEOUT: Duration = Duration::from_millis(800);
/// Instances in each availability zone that read the table service.
const ZONE_POLLERS: usize = 2;
/// Age of the last proof above which an instance reads the table service itself.
const PROOF_PATIENCE: Duration = Duration::from_millis(900);

/// Reads head and epoch again and again and puts newer documents into force.
pub async fn follow(instance: Arc<ProxyInstance>) {
    let mut ticks = interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut answered = true;
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                if !is_poller(&instance) {
                    continue;
                }
            }
            () = instance.poll_requested() => {}
        }
        let poll = poll(&instance).await;
        match &poll {
            Err(error) if answered => log_event!(LogEvent::PlatformLost, "{error}"),
            Ok(()) if !answered => log_event!(LogEvent::PlatformFound, "head and epoch read"),
            _ => {}
        }
        answered = poll.is_ok();
    }
}

/// Tells whether this instance reads the table service for its availability zone.
fn is_poller(instance: &ProxyInstance) -> bool {
    let now = instance.now();
    let age = instance.update_proofs(|proofs| {
        let (document, epoch) =
            (proofs.document.validation_age(now), proofs.epoch.validation_age(now));
        document.zip(epoch).map(|(document, epoch)| document.max(epoch))
    });
    if age.is_none_or(|age| age > PROOF_PATIENCE) {
        return true;
    }
    let own = &instance.settings;
    let peers = instance.peers.all();
    let near = peers.iter().filter(|peer| peer.zone == own.zone).map(|peer| peer.name.as_str());
    rendezvous::rank("poller", &own.instance, near) < ZONE_POLLERS
}

async fn poll(instance: &Arc<ProxyInstance>) -> Result<(), StoreError> {
    let asked_at = instance.now();
    let store = DocumentStore::new(&instance.platform, &instance.settings.environment);
    let read = timeout(POLL_TIMEOUT, store.snapshot()).await;
    let rows = match read {
        Ok(Ok(rows)) => rows,
        failed => {
            instance.update_proofs(|proofs| {
                proofs.document.record_store_failure(asked_at);
                proofs.epoch.record_store_failure(asked_at);
            });
            return match failed {
                Ok(Err(error)) => Err(error),
                _ => Err(StoreError::Timeout { limit: POLL_TIMEOUT }),
            };
        }
    };
    instance.note_epoch(rows.epoch.clone(), rows.epoch_row_revision);
    let epoch = rows.epoch.map_or(0, |epoch| epoch.number);
    let revision = rows.head.as_ref().map_or(0, |head| head.revision);
    if let Some(head) = rows.head.filter(|head| head.revision > instance.revision()) {
        let text = store.body(&head).await?;
        install(instance, head, text);
    }
    instance.update_proofs(|proofs| {
        proofs.document.record_store_version(asked_at, revision);
        proofs.epoch.record_store_version(asked_at, epoch);
    });
    Ok(())
}

/// Fetches the document in force on a peer that says it has a newer one.
pub fn fetch_from(instance: Arc<ProxyInstance>, mut peer: PeerHandle) {
    tokio::spawn(async move {
        let Ok(reply) = peer.fetch_document(FetchRequest {}).await else {
            return;
        };
        let body = reply.into_inner();
        if sha256_hex(body.text.as_bytes()) != body.digest {
            log_event!(LogEvent::DocumentRefused, "revision={}: wrong digest", body.revision);
            return;
        }
        let head = DocumentHead {
            revision: body.revision,
            digest: body.digest,
            request: body.request,
            operator: body.operator,
        };
        install(&instance, head, body.text);
    });
}

/// Checks a document, puts it into force if it is newer, and tells the peers.
fn install(instance: &Arc<ProxyInstance>, head: DocumentHead, text: String) {
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
            let (mut handle, announcement) = (peer.handle, announcement.clone());
            tokio::spawn(async move { handle.announce(announcement).await.map(|_| ()) });
        }
    }
}
