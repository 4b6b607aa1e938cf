//! Requests and grants shares of a team's limits between instances.

use std::sync::Arc;
use std::time::Duration;

use coord::ledger::TransferTotals;
use metrics::counter;
use state::catalog::TeamId;
use telemetry::meter;
use tokio::time::sleep;
use wire::peer::{ShareReply, ShareRequest};

use crate::instance::ProxyInstance;
use crate::ledger::TeamBucket;
use crate::peers::{PeerEntry, PeerShare};

/// Number of peers from which one round requests a grant for a team.
const MAX_PEERS_PER_ROUND: usize = 2;
/// Pause after a round of requests, so that a team over its rate does not cause a flood of them.
const REQUEST_DELAY: Duration = Duration::from_millis(5);

/// Requests grants for the teams that run out of tokens on this instance.
pub async fn run(instance: Arc<ProxyInstance>) {
    loop {
        for team in instance.ledger.wait_for_shortage().await {
            request_grants(&instance, team).await;
        }
        sleep(REQUEST_DELAY).await;
    }
}

/// Returns whether a peer is expected to grant a share of the team.
pub fn is_grant_expected(instance: &ProxyInstance, team: TeamId) -> bool {
    let (share, _) = instance.ledger.share_and_raised_demand(team);
    // Without a share of its own, an instance asks any peer, also one that has not responded yet.
    (share == 0 && !instance.peers.is_empty())
        || instance.peers.any(|peer| expected_grant(instance, peer, team) > 0)
}

fn expected_grant(instance: &ProxyInstance, peer: &PeerEntry, team: TeamId) -> u64 {
    let Some(peer_share) = peer.shares.get(team) else {
        return 0;
    };
    let same_epoch =
        peer.summary.as_ref().is_some_and(|summary| summary.epoch == instance.ledger.epoch());
    if !same_epoch {
        return 0;
    }
    instance.ledger.expected_grant(team, peer_share.share, peer_share.demand)
}

async fn request_grants(instance: &Arc<ProxyInstance>, team: TeamId) {
    let (share, _) = instance.ledger.share_and_raised_demand(team);
    let mut peers: Vec<(u64, PeerEntry)> = instance
        .peers
        .all()
        .into_iter()
        .map(|peer| (expected_grant(instance, &peer, team), peer))
        .filter(|(grant, _)| *grant > 0 || share == 0)
        .collect();
    peers.sort_by_key(|(grant, _)| std::cmp::Reverse(*grant));
    for (_, peer) in peers.into_iter().take(MAX_PEERS_PER_ROUND) {
        request_grant(instance, peer, team).await;
    }
}

async fn request_grant(instance: &Arc<ProxyInstance>, mut peer: PeerEntry, team: TeamId) {
    let catalog = instance.catalog();
    let Some(entry) = catalog.team(team) else {
        return;
    };
    let (share, demand) = instance.ledger.share_and_raised_demand(team);
    let request = ShareRequest {
        incarnation: instance.incarnation(),
        epoch: instance.ledger.epoch(),
        team: entry.name.to_string(),
        share,
        demand,
    };
    counter!(meter::PEER_MESSAGES, "kind" => "ask_share").increment(1);
    let Ok(reply) = peer.client.ask_share(request).await else {
        return;
    };
    let reply = reply.into_inner();
    let remaining = PeerShare { share: reply.left_share, demand: reply.demand };
    instance.peers.record_shares(&peer.name, [(team, remaining)]);
    let totals = TransferTotals { share: reply.given_share, tokens: reply.given_tokens };
    let (donor, epoch) = (reply.incarnation, reply.epoch);
    let team = TeamBucket { limiter: &instance.limiter, id: team, entry };
    instance.ledger.receive_grant(team, donor, epoch, totals, instance.now());
}

/// Handles a peer's request for a share of a team's limits.
pub fn handle_grant_request(instance: &ProxyInstance, request: &ShareRequest) -> ShareReply {
    let epoch = instance.ledger.epoch();
    let mut reply =
        ShareReply { incarnation: instance.incarnation(), epoch, ..ShareReply::default() };
    let now = instance.now();
    let catalog = instance.catalog();
    let id = catalog.team_id(&request.team);
    let team_entry = id.and_then(|id| Some((id, catalog.team(id)?)));
    // A share whose epoch may have expired must not be transferred.
    let is_valid = request.epoch == epoch && instance.is_epoch_valid(now);
    let Some((id, entry)) = team_entry.filter(|_| is_valid) else {
        return reply;
    };
    let team = TeamBucket { limiter: &instance.limiter, id, entry };
    let (share, demand) = (request.share, request.demand);
    let totals = instance.ledger.grant(team, request.incarnation, share, demand, now);
    reply.given_share = totals.share;
    reply.given_tokens = totals.tokens;
    (reply.left_share, reply.demand) = instance.ledger.share_and_demand(id);
    reply
}
