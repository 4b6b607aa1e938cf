//! Reconciliation of the share ledger: starts an epoch, counts the reported shares and issues the
//! unreported ones.

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
use crate::ledger::TeamBucket;
use crate::peers::PeerEntry;

/// Interval at which the holders of shares are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a message after which a holder of shares counts as lost.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay per instance that ranks higher, so that usually only one instance starts an epoch.
const RANK_DELAY: Duration = Duration::from_millis(400);
/// Bound on the drift between two instances' clocks while the old epoch's validations expire.
const CLOCK_DRIFT_MARGIN: Duration = Duration::from_millis(250);
/// Timeout of a request for a peer's report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Tracks the peers that hold shares in the current epoch.
#[derive(Debug, Default)]
struct HolderTracker {
    epoch: u64,
    /// Time of the last message from each holder.
    last_contacts: HashMap<Incarnation, Instant>,
    /// Time since which a reconciliation has been due without interruption.
    due_since: Option<Instant>,
}

/// Reconciles the ledger when there is no epoch yet or a holder of shares is lost.
pub async fn run(instance: Arc<ProxyInstance>) {
    let mut tracker = HolderTracker::default();
    let mut ticks = interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        forfeit_expired_epoch(&instance);
        instance.ledger.issue_new_teams(&instance.catalog(), &instance.limiter, instance.now());
        if tracker.is_reconciliation_due(&instance) {
            tracker.due_since = None;
            reconcile(&instance).await;
        }
    }
}

/// Forfeits all shares if their epoch has expired and this instance was not counted for the next
/// one.
///
/// A new instance enters the current epoch without shares.
fn forfeit_expired_epoch(instance: &ProxyInstance) {
    let now = instance.now();
    let (stored, _) = instance.stored_epoch();
    // While the table service is down, a new instance learns the epoch from its peers.
    let reported =
        instance.peers.all().into_iter().filter_map(|peer| Some(peer.summary?.epoch)).max();
    let current = stored.max(reported.unwrap_or_default());
    let epoch = instance.ledger.epoch();
    let is_new = epoch == 0 && current > 0;
    let is_uncounted = current > epoch || instance.ledger.is_provisional();
    let current = current.max(epoch);
    if is_new || (is_uncounted && !instance.is_epoch_valid(now)) {
        let catalog = instance.catalog();
        instance.ledger.forfeit_epoch(current, &catalog, &instance.limiter, now);
        instance.update_validations(|validations| validations.epoch.adopt(current));
    }
}

impl HolderTracker {
    fn is_reconciliation_due(&mut self, instance: &ProxyInstance) -> bool {
        let now = instance.now();
        let (epoch, _) = instance.stored_epoch();
        if instance.phase() >= InstancePhase::Leaving || instance.revision() == 0 {
            return false;
        }
        let is_due = if epoch == 0 {
            instance.is_epoch_absent()
        } else {
            self.track_holders(instance, now);
            self.has_unreachable_holder(now)
        };
        self.due_since = if is_due { self.due_since.or(Some(now)) } else { None };
        let names = instance.peers.active_names();
        let own_name = &instance.settings.instance;
        let rank = rendezvous::rank("census", own_name, names.iter().map(String::as_str));
        let delay = RANK_DELAY * rank as u32;
        let has_waited = |since: Instant| now.saturating_duration_since(since) >= delay;
        self.due_since.is_some_and(has_waited) && instance.is_epoch_valid_or_absent(now)
    }

    fn track_holders(&mut self, instance: &ProxyInstance, now: Instant) {
        let epoch = instance.ledger.epoch();
        if epoch != self.epoch {
            self.epoch = epoch;
            self.last_contacts.clear();
        }
        for peer in instance.peers.all() {
            let (Some(summary), Some(last_contact_at)) = (&peer.summary, peer.last_contact_at)
            else {
                continue;
            };
            if now.saturating_duration_since(last_contact_at) >= HOLDER_TIMEOUT {
                continue;
            }
            let holds_share = peer.shares.values().any(|peer_share| peer_share.share > 0);
            if summary.epoch == epoch && holds_share {
                self.last_contacts.insert(summary.incarnation, last_contact_at);
            } else if summary.epoch == epoch {
                // The peer has transferred all its shares, so its loss loses no share.
                self.last_contacts.remove(&summary.incarnation);
            }
        }
    }

    fn has_unreachable_holder(&self, now: Instant) -> bool {
        self.last_contacts.values().any(|at| now.saturating_duration_since(*at) >= HOLDER_TIMEOUT)
    }
}

/// Starts the next epoch, counts the reported shares and issues the unreported ones.
async fn reconcile(instance: &Arc<ProxyInstance>) {
    let (current, row_revision) = instance.stored_epoch();
    if instance.ledger.epoch() > current {
        // The stored epoch was read before the current one started.
        return;
    }
    let epoch = LedgerEpoch { number: current + 1, issuer: instance.incarnation() };
    let store = DocumentStore::new(&instance.platform, &instance.settings.environment);
    if !matches!(store.start_epoch(row_revision, &epoch).await, Ok(true)) {
        return;
    }
    let started_at = instance.now();
    instance.request_poll();
    let catalog = instance.catalog();
    let Some(own_shares) = instance.ledger.enter_epoch(epoch.number, &catalog) else {
        return;
    };
    instance.ledger.mark_epoch_counted(epoch.number);
    instance.update_validations(|validations| {
        validations.epoch.adopt(epoch.number);
        validations.epoch.record_store_version(started_at, epoch.number);
    });
    let mut held_shares: BTreeMap<String, u64> = BTreeMap::new();
    let mut add = |reply: CensusReply| {
        for share in reply.shares {
            *held_shares.entry(share.team).or_default() += share.share;
        }
    };
    add(CensusReply { incarnation: instance.incarnation(), entered: true, shares: own_shares });
    let replies = collect_reports(instance, epoch.number, started_at).await;
    let reporter_count = replies.len() + 1;
    replies.into_values().for_each(add);
    if !instance.ledger.claim_issuance(epoch.number) {
        return;
    }
    let now = instance.now();
    for (id, entry) in catalog.teams() {
        let reported_share = held_shares.get(&*entry.name).copied().unwrap_or_default();
        let unreported_share = FULL_SHARE.saturating_sub(reported_share);
        // No request was admitted before the first epoch, so its buckets may start full.
        let tokens = if epoch.number == 1 { entry.burst } else { 0.0 };
        let team = TeamBucket { limiter: &instance.limiter, id, entry };
        instance.ledger.issue(team, unreported_share, tokens, now);
    }
    log_event!(LogEvent::LedgerReconciled, "epoch={} holders={reporter_count}", epoch.number);
}

/// Requests reports from all listed peers until the validation of the previous epoch has expired
/// on every peer that does not respond.
async fn collect_reports(
    instance: &Arc<ProxyInstance>,
    epoch: u64,
    started_at: Instant,
) -> HashMap<Incarnation, CensusReply> {
    let mut replies: HashMap<Incarnation, CensusReply> = HashMap::new();
    // No instance holds a share before the first epoch, so one round is enough.
    let ends_at = match epoch {
        1 => started_at,
        _ => started_at + VALIDATION_TTL + CLOCK_DRIFT_MARGIN,
    };
    loop {
        let mut requests = JoinSet::new();
        for peer in instance.peers.all() {
            // Confirms to a peer that its report is counted.
            let counted =
                peer.incarnation().filter(|incarnation| replies.contains_key(incarnation));
            requests.spawn(request_report(peer, epoch, counted.unwrap_or_default()));
        }
        for reply in requests.join_all().await.into_iter().flatten() {
            replies.entry(reply.incarnation).or_insert(reply);
        }
        if instance.now() >= ends_at {
            return replies;
        }
        sleep(CHECK_INTERVAL).await;
    }
}

async fn request_report(
    mut peer: PeerEntry,
    epoch: u64,
    counted: Incarnation,
) -> Option<CensusReply> {
    let request = CensusRequest { epoch, counted };
    let response = timeout(REPORT_TIMEOUT, peer.client.census(request)).await;
    let reply = response.ok()?.ok()?.into_inner();
    reply.entered.then_some(reply)
}

/// Handles an issuer's request: enters its epoch and returns the report of the held shares.
pub fn handle_report_request(instance: &ProxyInstance, request: CensusRequest) -> CensusReply {
    let catalog = instance.catalog();
    let incarnation = instance.incarnation();
    match instance.ledger.enter_epoch(request.epoch, &catalog) {
        Some(shares) => {
            let is_counted = request.counted == incarnation;
            if is_counted && instance.ledger.mark_epoch_counted(request.epoch) {
                instance.update_validations(|validations| validations.epoch.adopt(request.epoch));
            }
            CensusReply { incarnation, entered: true, shares }
        }
        None => CensusReply { incarnation, entered: false, shares: Vec::new() },
    }
}
