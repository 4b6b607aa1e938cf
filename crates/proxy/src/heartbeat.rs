//! Heartbeats between instances: states, proofs, shares.

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
use crate::ledger::LimitedTeam;
use crate::peers::{PeerEntry, PeerShare};

/// Interval between two heartbeats to a peer.
pub const BEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which the platform's list is read.
const LIST_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval at which it is read until it names this instance.
const FIRST_LIST_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a peer counts as silent in a round.
const ROUND_LIMIT: Duration = Duration::from_millis(500);

/// Keeps the directory in line with the platform's list.
pub async fn follow_list(instance: Arc<ProxyInstance>) {
    loop {
        // The list outlives outages of the platform: the last one read stays in force.
        if let Ok(list) = instance.platform.instances().await {
            let own = &instance.settings.instance;
            instance.peers.update(own, &list);
            // A list without this instance is older than it and may miss others as well.
            if list.iter().any(|record| record.name == *own) {
                instance.note_listed();
            }
        }
        let pause = if instance.is_listed() { LIST_INTERVAL } else { FIRST_LIST_INTERVAL };
        let _ = timeout(pause, instance.list_requested()).await;
    }
}

/// Exchanges heartbeats with every listed peer.
pub async fn run(instance: Arc<ProxyInstance>) {
    let mut ticks = interval(BEAT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let catalog = instance.catalog();
        instance.ledger.measure(&catalog, &instance.limiter, instance.now());
        round(&instance).await;
    }
}

async fn round(instance: &Arc<ProxyInstance>) {
    let started_at = instance.now();
    instance.update_proofs(|proofs| {
        proofs.document.start_heartbeat_round(started_at);
        proofs.epoch.start_heartbeat_round(started_at);
    });
    let peers = instance.peers.all();
    let mut beats = JoinSet::new();
    for peer in peers.iter().cloned() {
        let instance = instance.clone();
        beats.spawn(async move { beat(&instance, peer).await });
    }
    beats.join_all().await;
    let now = instance.now();
    // Before the platform's list was read nobody knows whom to ask.
    let listed = if instance.is_listed() { peers.len() } else { usize::MAX };
    instance.update_proofs(|proofs| {
        proofs.document.end_heartbeat_round(listed, now);
        proofs.epoch.end_heartbeat_round(listed, now);
    });
    if !instance.is_ready() && knows_enough(instance, now) {
        instance.note_ready();
    }
}

/// Tells whether document and epoch are proved and no peer that answers is in another epoch.
fn knows_enough(instance: &ProxyInstance, now: Instant) -> bool {
    let epoch = instance.ledger.epoch();
    let fresh = |at: Instant| now.saturating_duration_since(at) < 3 * BEAT_INTERVAL;
    let agrees = |peer: &PeerEntry| {
        let answers = peer.answered_at.is_some_and(fresh);
        !answers || peer.summary.as_ref().is_some_and(|summary| summary.epoch == epoch)
    };
    instance.is_listed()
        && instance.is_document_valid(now)
        && instance.is_epoch_valid(now)
        && !instance.peers.any(|peer| !agrees(peer))
}

async fn beat(instance: &Arc<ProxyInstance>, mut peer: PeerEntry) {
    let asked_at = instance.now();
    let request = BeatRequest {
        summary: Some(summary(instance)),
        shares: instance.ledger.shares_for(&instance.catalog(), peer.incarnation()),
        receiver: peer.incarnation().unwrap_or_default(),
    };
    counter!(meter::PEER_MESSAGES, "kind" => "beat").increment(1);
    let answer = timeout(ROUND_LIMIT, peer.handle.beat(request)).await;
    let id = coord::rendezvous::weight("peer", &peer.name);
    match answer {
        Ok(Ok(reply)) => {
            let BeatReply { summary, shares, receiver } = reply.into_inner();
            if let Some(summary) = summary {
                record_words(instance, id, asked_at, &summary);
                receive(instance, &peer, summary, &shares, receiver);
            }
        }
        Ok(Err(status)) if is_connection_refused(&status) => {
            record_word(instance, id, asked_at, HeartbeatOutcome::Refused);
        }
        _ => record_word(instance, id, asked_at, HeartbeatOutcome::Unanswered),
    }
}

fn record_word(instance: &ProxyInstance, id: u64, asked_at: Instant, word: HeartbeatOutcome) {
    instance.update_proofs(|proofs| {
        proofs.document.record_peer(id, asked_at, word);
        proofs.epoch.record_peer(id, asked_at, word);
    });
}

fn record_words(instance: &ProxyInstance, id: u64, asked_at: Instant, summary: &InstanceSummary) {
    let word = |version, age: Option<u64>| HeartbeatOutcome::Answered {
        version,
        validation_age: age.map(Duration::from_millis),
        store_down: summary.store_down,
    };
    let document = word(summary.revision, summary.revision_proof_age_ms);
    let epoch = word(summary.epoch, summary.epoch_proof_age_ms);
    instance.update_proofs(|proofs| {
        proofs.document.record_peer(id, asked_at, document);
        proofs.epoch.record_peer(id, asked_at, epoch);
    });
}

/// Answers a peer's heartbeat.
pub fn answer(instance: &Arc<ProxyInstance>, request: BeatRequest) -> Result<BeatReply, Status> {
    let summary_of_peer =
        request.summary.ok_or_else(|| Status::invalid_argument("a beat carries a summary"))?;
    let incarnation = summary_of_peer.incarnation;
    let known = instance.peers.find(|peer| peer.name == summary_of_peer.instance);
    match known {
        Some(peer) => {
            receive(instance, &peer, summary_of_peer, &request.shares, request.receiver);
        }
        None => instance.request_list(),
    }
    Ok(BeatReply {
        summary: Some(summary(instance)),
        shares: instance.ledger.shares_for(&instance.catalog(), Some(incarnation)),
        receiver: incarnation,
    })
}

/// Takes over what a peer says of itself and of its shares.
fn receive(
    instance: &Arc<ProxyInstance>,
    peer: &PeerEntry,
    summary: InstanceSummary,
    shares: &[TeamShare],
    receiver: Incarnation,
) {
    let now = instance.now();
    let (incarnation, epoch) = (summary.incarnation, summary.epoch);
    if summary.revision > instance.revision() {
        document::fetch_from(instance.clone(), peer.handle.clone());
    }
    instance.peers.record(&peer.name, summary, now);
    let giver = ShareGiver {
        name: &peer.name,
        incarnation,
        epoch,
        addressed: receiver == instance.incarnation(),
    };
    receive_shares(instance, &giver, shares, now);
}

/// Sender of shares.
struct ShareGiver<'a> {
    name: &'a str,
    incarnation: Incarnation,
    epoch: u64,
    /// Tells that the totals are for this incarnation and not for one before it.
    addressed: bool,
}

fn receive_shares(
    instance: &ProxyInstance,
    giver: &ShareGiver<'_>,
    shares: &[TeamShare],
    now: Instant,
) {
    let ShareGiver { incarnation, epoch, addressed, .. } = *giver;
    let catalog = instance.catalog();
    let mut held = SecondaryMap::new();
    for (key, _) in catalog.teams() {
        held.insert(key, PeerShare::default());
    }
    for share in shares {
        let Some(key) = catalog.team_id(&share.team) else {
            continue;
        };
        let Some(entry) = catalog.team(key) else {
            continue;
        };
        held.insert(key, PeerShare { share: share.share, demand: share.demand });
        if !addressed {
            continue;
        }
        instance.ledger.acknowledge(key, incarnation, epoch, share.taken_share);
        if share.given_share > 0 {
            let totals = TransferTotals { share: share.given_share, tokens: share.given_tokens };
            let team = LimitedTeam { limiter: &instance.limiter, key, entry };
            instance.ledger.take(team, incarnation, epoch, totals, now);
        }
    }
    instance.peers.record_shares(giver.name, held);
}

/// Returns what this instance says of itself.
pub fn summary(instance: &ProxyInstance) -> InstanceSummary {
    let now = instance.now();
    let millis = |age: Duration| age.as_millis() as u64 + 1;
    let epoch = instance.ledger.epoch();
    let (revision_age, epoch_age, store_down) = instance.update_proofs(|proofs| {
        let document = &proofs.document;
        // A provisional epoch has no proof of its own yet.
        let epoch_age =
            proofs.epoch.validation_age(now).filter(|_| proofs.epoch.version() == epoch);
        (document.validation_age(now), epoch_age, document.is_store_down(now))
    });
    InstanceSummary {
        instance: instance.settings.instance.clone(),
        zone: instance.settings.zone.clone(),
        incarnation: instance.incarnation(),
        revision: instance.revision(),
        // Rounded up, so that a proof never looks younger than it is.
        revision_proof_age_ms: revision_age.map(millis),
        epoch,
        epoch_proof_age_ms: epoch_age.map(millis),
        store_down,
        leaving: instance.phase() >= InstancePhase::Leaving,
    }
}
