//! Starts epochs of the allotment ledger: counts what is held and issues what is lost.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use coord::ledger::{FULL_SHARE, Incarnation};
use coord::rendezvous;
use coord::validation::VALIDATION_TTL;
use net::store::{DocumentStore, LedgerEpoch};
use telemetry::event::LogEvent;
use telemetry::log_event;
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};
use wire::peer::{CensusReply, CensusRequest};

use crate::instance::{InstancePhase, ProxyInstance};
use crate::ledger::LimitedTeam;
use crate::peers::PeerEntry;

/// Interval at which the holders of shares are looked over.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);
/// Silence after which a holder counts as gone.
const GONE_AFTER: Duration = Duration::from_millis(1_000);
/// Time by which an instance holds back for each instance that ranks before it.
const RANK_DELAY: Duration = Duration::from_millis(400);
/// Bound on what local clocks may drift apart while an epoch runs out.
const DRIFT_MARGIN: Duration = Duration::from_millis(250);
/// Time that one question of a census may take.
const QUESTION_LIMIT: Duration = Duration::from_millis(300);

/// Holders of shares that this instance has met in the current epoch.
#[derive(Debug, Default)]
struct HolderWatch {
    epoch: u64,
    seen: HashMap<Incarnation, Instant>,
    wanted_since: Option<Instant>,
}

/// Starts an epoch when the first one is missing or a holder is gone.
pub async fn run(instance: Arc<ProxyInstance>) {
    let mut watch = HolderWatch::default();
    let mut ticks = interval(LOOK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        forfeit_outdated(&instance);
        instance.ledger.issue_new_teams(&instance.catalog(), &instance.limiter, instance.now());
        if watch.is_census_due(&instance) {
            watch.wanted_since = None;
            conduct(&instance).await;
        }
    }
}

/// Leaves an epoch that is over without having been asked for a report.
fn forfeit_outdated(instance: &ProxyInstance) {
    let now = instance.now();
    let (stored, _) = instance.known_epoch();
    // While the table service is down, peers tell a new instance of the epoch.
    let told = instance.peers.all().into_iter().filter_map(|peer| Some(peer.summary?.epoch)).max();
    let current = stored.max(told.unwrap_or_default());
    let epoch = instance.ledger.epoch();
    let joins = epoch == 0 && current > 0;
    let behind = current > epoch || instance.ledger.is_provisional();
    let current = current.max(epoch);
    if joins || (behind && !instance.is_epoch_valid(now)) {
        let catalog = instance.catalog();
        instance.ledger.forfeit_epoch(current, &catalog, &instance.limiter, now);
        instance.update_proofs(|proofs| proofs.epoch.adopt(current));
    }
}

impl HolderWatch {
    fn is_census_due(&mut self, instance: &ProxyInstance) -> bool {
        let now = instance.now();
        let (epoch, _) = instance.known_epoch();
        if instance.phase() >= InstancePhase::Leaving || instance.revision() == 0 {
            return false;
        }
        let wanted = if epoch == 0 {
            instance.is_epoch_absent()
        } else {
            self.note_holders(instance, now);
            self.has_lost_holder(now)
        };
        self.wanted_since = if wanted { self.wanted_since.or(Some(now)) } else { None };
        let names = instance.peers.names();
        let own = &instance.settings.instance;
        let rank = rendezvous::rank("census", own, names.iter().map(String::as_str));
        let delay = RANK_DELAY * rank as u32;
        let waited = |since: Instant| now.saturating_duration_since(since) >= delay;
        self.wanted_since.is_some_and(waited) && instance.is_epoch_valid_or_absent(now)
    }

    fn note_holders(&mut self, instance: &ProxyInstance, now: Instant) {
        let epoch = instance.ledger.epoch();
        if epoch != self.epoch {
            self.epoch = epoch;
            self.seen.clear();
        }
        for peer in instance.peers.all() {
            let (Some(summary), Some(answered_at)) = (&peer.summary, peer.answered_at) else {
                continue;
            };
            if now.saturating_duration_since(answered_at) >= GONE_AFTER {
                continue;
            }
            let holds = peer.shares.values().any(|held| held.share > 0);
            if summary.epoch == epoch && holds {
                self.seen.insert(summary.incarnation, answered_at);
            } else if summary.epoch == epoch {
                // It has handed back everything; losing it loses nothing.
                self.seen.remove(&summary.incarnation);
            }
        }
    }

    fn has_lost_holder(&self, now: Instant) -> bool {
        self.seen.values().any(|at| now.saturating_duration_since(*at) >= GONE_AFTER)
    }
}

/// Starts the next epoch, counts the shares and issues what nobody reports.
async fn conduct(instance: &Arc<ProxyInstance>) {
    let (current, row) = instance.known_epoch();
    if instance.ledger.epoch() > current {
        // The table service has not been read since the last epoch began.
        return;
    }
    let epoch = LedgerEpoch { number: current + 1, issuer: instance.incarnation() };
    let store = DocumentStore::new(&instance.platform, &instance.settings.environment);
    if !matches!(store.start_epoch(row, &epoch).await, Ok(true)) {
        return;
    }
    let started_at = instance.now();
    instance.request_poll();
    let catalog = instance.catalog();
    let Some(own) = instance.ledger.enter_epoch(epoch.number, &catalog) else {
        return;
    };
    instance.ledger.confirm_epoch(epoch.number);
    instance.update_proofs(|proofs| {
        proofs.epoch.adopt(epoch.number);
        proofs.epoch.record_store_version(started_at, epoch.number);
    });
    let mut held: BTreeMap<String, u64> = BTreeMap::new();
    let mut add = |reply: CensusReply| {
        for share in reply.shares {
            *held.entry(share.team).or_default() += share.share;
        }
    };
    add(CensusReply { incarnation: instance.incarnation(), entered: true, shares: own });
    let replies = question_peers(instance, epoch.number, started_at).await;
    let holders = replies.len() + 1;
    replies.into_values().for_each(add);
    if !instance.ledger.claim_issue(epoch.number) {
        return;
    }
    let now = instance.now();
    for (key, entry) in catalog.teams() {
        let known = held.get(&*entry.name).copied().unwrap_or_default();
        let missing = FULL_SHARE.saturating_sub(known);
        // Nothing was admitted before the first epoch, so its buckets may start full.
        let tokens = if epoch.number == 1 { entry.burst } else { 0.0 };
        let team = LimitedTeam { limiter: &instance.limiter, key, entry };
        instance.ledger.issue(team, missing, tokens, now);
    }
    log_event!(LogEvent::LedgerReconciled, "epoch={} holders={holders}", epoch.number);
}

/// Asks every listed peer until the epoch before this one has run out for all who do not answer.
async fn question_peers(
    instance: &Arc<ProxyInstance>,
    epoch: u64,
    started_at: Instant,
) -> HashMap<Incarnation, CensusReply> {
    let mut replies: HashMap<Incarnation, CensusReply> = HashMap::new();
    // Nobody holds anything before the first epoch, so there is nothing to wait for.
    let end = match epoch {
        1 => started_at,
        _ => started_at + VALIDATION_TTL + DRIFT_MARGIN,
    };
    loop {
        let mut questions = JoinSet::new();
        for peer in instance.peers.all() {
            // Those who have answered are told that their report is counted.
            let counted = peer.incarnation().filter(|id| replies.contains_key(id));
            questions.spawn(question(peer, epoch, counted.unwrap_or_default()));
        }
        for reply in questions.join_all().await.into_iter().flatten() {
            replies.entry(reply.incarnation).or_insert(reply);
        }
        if instance.now() >= end {
            return replies;
        }
        sleep(LOOK_INTERVAL).await;
    }
}

async fn question(mut peer: PeerEntry, epoch: u64, counted: Incarnation) -> Option<CensusReply> {
    let request = CensusRequest { epoch, counted };
    let asked = timeout(QUESTION_LIMIT, peer.handle.census(request)).await;
    let reply = asked.ok()?.ok()?.into_inner();
    reply.entered.then_some(reply)
}

/// Answers a question of a census.
pub fn answer(instance: &ProxyInstance, request: CensusRequest) -> CensusReply {
    let catalog = instance.catalog();
    let incarnation = instance.incarnation();
    match instance.ledger.enter_epoch(request.epoch, &catalog) {
        Some(shares) => {
            let counted = request.counted == incarnation;
            if counted && instance.ledger.confirm_epoch(request.epoch) {
                instance.update_proofs(|proofs| proofs.epoch.adopt(request.epoch));
            }
            CensusReply { incarnation, entered: true, shares }
        }
        None => CensusReply { incarnation, entered: false, shares: Vec::new() },
    }
}
