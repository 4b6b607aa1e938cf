//! Asks other instances for parts of a team's allotment when this one is short.

use std::sync::Arc;
use std::time::Duration;

use coord::ledger::TransferTotals;
use metrics::counter;
use state::catalog::TeamId;
use telemetry::meter;
use tokio::time::sleep;
use wire::peer::{ShareReply, ShareRequest};

use crate::instance::ProxyInstance;
use crate::ledger::LimitedTeam;
use crate::peers::{PeerEntry, PeerShare};

/// Peers asked in one round for one team.
const ASKED_PEERS: usize = 2;
/// Pause after a round of questions, so that a team over its rate does not cause a flood.
const ASK_PAUSE: Duration = Duration::from_millis(5);

/// Asks for more whenever a team is short on this instance.
pub async fn run(instance: Arc<ProxyInstance>) {
    loop {
        for team in instance.ledger.wait_for_shortage().await {
            ask_for(&instance, team).await;
        }
        sleep(ASK_PAUSE).await;
    }
}

/// Tells whether some peer is expected to part with a share of the team.
pub fn is_grant_expected(instance: &ProxyInstance, team: TeamId) -> bool {
    let (share, _) = instance.ledger.ask_terms(team);
    // Without a share of its own an instance asks whoever is there, heard of or not.
    (share == 0 && !instance.peers.is_empty())
        || instance.peers.any(|peer| expected_gift(instance, peer, team) > 0)
}

fn expected_gift(instance: &ProxyInstance, peer: &PeerEntry, team: TeamId) -> u64 {
    let Some(held) = peer.shares.get(team) else {
        return 0;
    };
    let same_epoch =
        peer.summary.as_ref().is_some_and(|summary| summary.epoch == instance.ledger.epoch());
    if !same_epoch {
        return 0;
    }
    instance.ledger.expected_gift(team, held.share, held.demand)
}

async fn ask_for(instance: &Arc<ProxyInstance>, team: TeamId) {
    let (share, _) = instance.ledger.ask_terms(team);
    let mut peers: Vec<(u64, PeerEntry)> = instance
        .peers
        .all()
        .into_iter()
        .map(|peer| (expected_gift(instance, &peer, team), peer))
        .filter(|(gift, _)| *gift > 0 || share == 0)
        .collect();
    peers.sort_by_key(|(gift, _)| std::cmp::Reverse(*gift));
    for (_, peer) in peers.into_iter().take(ASKED_PEERS) {
        ask(instance, peer, team).await;
    }
}

async fn ask(instance: &Arc<ProxyInstance>, mut peer: PeerEntry, team: TeamId) {
    let catalog = instance.catalog();
    let Some(entry) = catalog.team(team) else {
        return;
    };
    let (share, demand) = instance.ledger.ask_terms(team);
    let request = ShareRequest {
        incarnation: instance.incarnation(),
        epoch: instance.ledger.epoch(),
        team: entry.name.to_string(),
        share,
        demand,
    };
    counter!(meter::PEER_MESSAGES, "kind" => "ask_share").increment(1);
    let Ok(reply) = peer.handle.ask_share(request).await else {
        return;
    };
    let reply = reply.into_inner();
    let left = PeerShare { share: reply.left_share, demand: reply.demand };
    instance.peers.record_shares(&peer.name, [(team, left)]);
    let totals = TransferTotals { share: reply.given_share, tokens: reply.given_tokens };
    let (giver, epoch) = (reply.incarnation, reply.epoch);
    let team = LimitedTeam { limiter: &instance.limiter, key: team, entry };
    instance.ledger.take(team, giver, epoch, totals, instance.now());
}

/// Answers a peer that asks for a part of a team's allotment.
pub fn answer(instance: &ProxyInstance, request: &ShareRequest) -> ShareReply {
    let epoch = instance.ledger.epoch();
    let mut reply =
        ShareReply { incarnation: instance.incarnation(), epoch, ..ShareReply::default() };
    let now = instance.now();
    let catalog = instance.catalog();
    let key = catalog.team_id(&request.team);
    let found = key.and_then(|key| Some((key, catalog.team(key)?)));
    // A share whose epoch may be over must not be passed on.
    let valid = request.epoch == epoch && instance.is_epoch_valid(now);
    let Some((key, entry)) = found.filter(|_| valid) else {
        return reply;
    };
    let team = LimitedTeam { limiter: &instance.limiter, key, entry };
    let (share, demand) = (request.share, request.demand);
    let totals = instance.ledger.give(team, request.incarnation, share, demand, now);
    reply.given_share = totals.share;
    reply.given_tokens = totals.tokens;
    (reply.left_share, reply.demand) = instance.ledger.holding(key);
    reply
}
