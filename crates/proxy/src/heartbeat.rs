//! Heartbeats between instances, which exchange state, validation ages and shares.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coord::ledger::{Incarnation, TransferTotals};
use coord::validation::HeartbeatOutcome;
use metrics::counter;
use net::peer::is_connection_refused;
use net::platform::InstanceList as _;
use slotmap::SecondaryMap;
use telemetry::meter;
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval, timeout};
use tonic::Status;
use wire::peer::{BeatReply, BeatRequest, InstanceSummary, TeamShare};

use crate::document;
use crate::instance::{InstancePhase, ProxyInstance};
use crate::ledger::TeamBucket;
use crate::peers::{PeerEntry, PeerShare};

/// Interval of heartbeats to every peer.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which the platform's list of instances is read.
const LIST_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval at which the list is read until it contains this instance.
const STARTUP_LIST_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a heartbeat, after which it counts as unanswered in its round.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(500);

/// Polls the platform's list of instances and updates the peer directory.
pub async fn poll_instance_list(instance: Arc<ProxyInstance>) {
    loop {
        // During an outage of the platform the last list stays in use.
        if let Ok(list) = instance.platform.instances().await {
            let own = &instance.settings.instance;
            instance.peers.update(own, &list);
            // A list without this instance is outdated and may lack other instances as well.
            if list.iter().any(|record| record.name == *own) {
                instance.mark_listed();
            }
        }
        let pause = if instance.is_listed() { LIST_INTERVAL } else { STARTUP_LIST_INTERVAL };
        let _ = timeout(pause, instance.instance_list_requested()).await;
    }
}

/// Sends heartbeats to all listed peers in periodic rounds.
pub async fn run(instance: Arc<ProxyInstance>) {
    let mut ticks = interval(HEARTBEAT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let catalog = instance.catalog();
        instance.ledger.measure_demand(&catalog, &instance.limiter, instance.now());
        run_heartbeat_round(&instance).await;
    }
}

async fn run_heartbeat_round(instance: &Arc<ProxyInstance>) {
    let started_at = instance.now();
    instance.update_validations(|validations| {
        validations.document.start_heartbeat_round(started_at);
        validations.epoch.start_heartbeat_round(started_at);
    });
    let peers = instance.peers.all();
    let mut heartbeats = JoinSet::new();
    for peer in peers.iter().cloned() {
        let instance = instance.clone();
        heartbeats.spawn(async move { send_heartbeat(&instance, peer).await });
    }
    heartbeats.join_all().await;
    let now = instance.now();
    // Until the list contains this instance, the number of peers is unknown. A count that no round
    // can reach prevents a validation by the peers.
    let peer_count = if instance.is_listed() { peers.len() } else { usize::MAX };
    instance.update_validations(|validations| {
        validations.document.end_heartbeat_round(peer_count, now);
        validations.epoch.end_heartbeat_round(peer_count, now);
    });
    if !instance.is_ready() && is_ready_to_serve(instance, now) {
        instance.mark_ready();
    }
}

/// Returns whether this instance is listed, document and epoch are validated, and no responding
/// peer is in another epoch.
fn is_ready_to_serve(instance: &ProxyInstance, now: Instant) -> bool {
    let epoch = instance.ledger.epoch();
    let is_recent = |at: Instant| now.saturating_duration_since(at) < 3 * HEARTBEAT_INTERVAL;
    let has_same_epoch = |peer: &PeerEntry| {
        let responds = peer.last_contact_at.is_some_and(is_recent);
        !responds || peer.summary.as_ref().is_some_and(|summary| summary.epoch == epoch)
    };
    instance.is_listed()
        && instance.is_document_valid(now)
        && instance.is_epoch_valid(now)
        && !instance.peers.any(|peer| !has_same_epoch(peer))
}

async fn send_heartbeat(instance: &Arc<ProxyInstance>, mut peer: PeerEntry) {
    let sent_at = instance.now();
    let request = BeatRequest {
        summary: Some(summary(instance)),
        shares: instance.ledger.team_shares(&instance.catalog(), peer.incarnation()),
        receiver: peer.incarnation().unwrap_or_default(),
    };
    counter!(meter::PEER_MESSAGES, "kind" => "beat").increment(1);
    let response = timeout(HEARTBEAT_TIMEOUT, peer.client.beat(request)).await;
    let peer_id = coord::rendezvous::weight("peer", &peer.name);
    match response {
        Ok(Ok(reply)) => {
            let BeatReply { summary, shares, receiver } = reply.into_inner();
            if let Some(summary) = summary {
                record_response(instance, peer_id, sent_at, &summary);
                apply_summary(instance, &peer, summary, &shares, receiver);
            }
        }
        Ok(Err(status)) if is_connection_refused(&status) => {
            record_outcome(instance, peer_id, sent_at, HeartbeatOutcome::Refused);
        }
        _ => record_outcome(instance, peer_id, sent_at, HeartbeatOutcome::Unanswered),
    }
}

fn record_outcome(
    instance: &ProxyInstance,
    peer_id: u64,
    sent_at: Instant,
    outcome: HeartbeatOutcome,
) {
    instance.update_validations(|validations| {
        validations.document.record_peer(peer_id, sent_at, outcome);
        validations.epoch.record_peer(peer_id, sent_at, outcome);
    });
}

fn record_response(
    instance: &ProxyInstance,
    peer_id: u64,
    sent_at: Instant,
    summary: &InstanceSummary,
) {
    let outcome = |version, age: Option<u64>| HeartbeatOutcome::Answered {
        version,
        validation_age: age.map(Duration::from_millis),
        store_down: summary.store_down,
    };
    let document = outcome(summary.revision, summary.revision_proof_age_ms);
    let epoch = outcome(summary.epoch, summary.epoch_proof_age_ms);
    instance.update_validations(|validations| {
        validations.document.record_peer(peer_id, sent_at, document);
        validations.epoch.record_peer(peer_id, sent_at, epoch);
    });
}

/// Handles a peer's heartbeat and returns the response. Fails if the request has no summary.
pub fn handle_heartbeat(
    instance: &Arc<ProxyInstance>,
    request: BeatRequest,
) -> Result<BeatReply, Status> {
    let peer_summary =
        request.summary.ok_or_else(|| Status::invalid_argument("heartbeat has no summary"))?;
    let incarnation = peer_summary.incarnation;
    let listed_peer = instance.peers.find(|peer| peer.name == peer_summary.instance);
    match listed_peer {
        Some(peer) => {
            apply_summary(instance, &peer, peer_summary, &request.shares, request.receiver);
        }
        None => instance.request_instance_list(),
    }
    Ok(BeatReply {
        summary: Some(summary(instance)),
        shares: instance.ledger.team_shares(&instance.catalog(), Some(incarnation)),
        receiver: incarnation,
    })
}

/// Records a peer's state and applies its shares.
fn apply_summary(
    instance: &Arc<ProxyInstance>,
    peer: &PeerEntry,
    summary: InstanceSummary,
    shares: &[TeamShare],
    receiver: Incarnation,
) {
    let now = instance.now();
    let (incarnation, epoch) = (summary.incarnation, summary.epoch);
    if summary.revision > instance.revision() {
        document::fetch_from_peer(instance.clone(), peer.client.clone());
    }
    instance.peers.record_summary(&peer.name, summary, now);
    let sender = ShareSender {
        name: &peer.name,
        incarnation,
        epoch,
        addressed: receiver == instance.incarnation(),
    };
    apply_shares(instance, &sender, shares, now);
}

/// Peer that has sent shares.
struct ShareSender<'a> {
    name: &'a str,
    incarnation: Incarnation,
    epoch: u64,
    /// Whether the totals are addressed to this incarnation of the instance, not to an earlier one.
    addressed: bool,
}

fn apply_shares(
    instance: &ProxyInstance,
    sender: &ShareSender<'_>,
    shares: &[TeamShare],
    now: Instant,
) {
    let ShareSender { incarnation, epoch, addressed, .. } = *sender;
    let catalog = instance.catalog();
    let mut peer_shares = SecondaryMap::new();
    // A peer leaves out teams of which it has neither share nor demand.
    for (id, _) in catalog.teams() {
        peer_shares.insert(id, PeerShare::default());
    }
    for share in shares {
        let Some(id) = catalog.team_id(&share.team) else {
            continue;
        };
        let Some(entry) = catalog.team(id) else {
            continue;
        };
        peer_shares.insert(id, PeerShare { share: share.share, demand: share.demand });
        if !addressed {
            continue;
        }
        instance.ledger.record_acknowledgement(id, incarnation, epoch, share.taken_share);
        if share.given_share > 0 {
            let totals = TransferTotals { share: share.given_share, tokens: share.given_tokens };
            let team = TeamBucket { limiter: &instance.limiter, id, entry };
            instance.ledger.receive_grant(team, incarnation, epoch, totals, now);
        }
    }
    instance.peers.record_shares(sender.name, peer_shares);
}

/// Returns the state of this instance that is sent to peers.
pub fn summary(instance: &ProxyInstance) -> InstanceSummary {
    let now = instance.now();
    let millis = |age: Duration| age.as_millis() as u64 + 1;
    let epoch = instance.ledger.epoch();
    let (revision_age, epoch_age, store_down) = instance.update_validations(|validations| {
        let document = &validations.document;
        // An epoch that the instance has entered provisionally is not validated yet.
        let epoch_age =
            validations.epoch.validation_age(now).filter(|_| validations.epoch.version() == epoch);
        (document.validation_age(now), epoch_age, document.is_store_down(now))
    });
    InstanceSummary {
        instance: instance.settings.instance.clone(),
        zone: instance.settings.zone.clone(),
        incarnation: instance.incarnation(),
        revision: instance.revision(),
        // Rounded up, so that a validation never appears younger than it is.
        revision_proof_age_ms: revision_age.map(millis),
        epoch,
        epoch_proof_age_ms: epoch_age.map(millis),
        store_down,
        leaving: instance.phase() >= InstancePhase::Leaving,
    }
}
