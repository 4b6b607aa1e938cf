//! This instance's shares of the teams' limits, and the token buckets sized by them.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coord::ledger::{self, FULL_SHARE, Incarnation, ShareLedger, TransferTotals};
use parking_lot::Mutex;
use slotmap::SecondaryMap;
use state::catalog::{DocumentCatalog, TeamEntry, TeamId};
use tokio::sync::Notify;
use wire::peer::{HeldShare, TeamShare};

use crate::limiter::TeamLimiter;

/// Weight of the newest measurement in the smoothed demand.
const DEMAND_SMOOTHING: f64 = 0.5;
/// Lowest demand in a request for a grant, as a fraction of the team's rate.
const MIN_SHORTAGE_DEMAND: f64 = 0.05;

/// Token bucket of one team on this instance, with the team's configured limits.
#[derive(Clone, Copy)]
pub struct TeamBucket<'a> {
    /// Limiter that contains the bucket.
    pub limiter: &'a TeamLimiter,
    /// Id of the team.
    pub id: TeamId,
    /// Configuration of the team, with its full rate and burst.
    pub entry: &'a TeamEntry,
}

impl TeamBucket<'_> {
    /// Sets rate and burst of the bucket to the held share of the team's limits.
    fn resize(&self, ledger: &ShareLedger, now: Instant) {
        let fraction = ledger.share(self.id) as f64 / FULL_SHARE as f64;
        let (rate, burst) = (self.entry.rate * fraction, self.entry.burst * fraction);
        self.limiter.update(self.id, now, |bucket| bucket.resize(rate, burst, now));
    }

    /// Transfers a share of `amount` millionths to a recipient and returns the totals to send.
    ///
    /// The bucket shrinks before the totals are sent, so that only one instance at a time admits
    /// requests with this share.
    fn transfer_share(
        &self,
        ledger: &mut ShareLedger,
        recipient: Incarnation,
        amount: u64,
        now: Instant,
    ) -> TransferTotals {
        let held_share = ledger.share(self.id);
        let amount = amount.min(held_share);
        if amount == 0 {
            return ledger.grant(self.id, recipient, 0, 0.0);
        }
        let tokens = self.limiter.update(self.id, now, |bucket| {
            let proportional_tokens = bucket.available(now) * amount as f64 / held_share as f64;
            bucket.take_up_to(proportional_tokens, now)
        });
        let totals = ledger.grant(self.id, recipient, amount, tokens);
        self.resize(ledger, now);
        totals
    }
}

/// Share ledger of this instance. Its operations keep the token buckets in line with the shares.
#[derive(Default)]
pub struct InstanceLedger {
    ledger: Mutex<ShareLedger>,
    demand_measured_at: Mutex<Option<Instant>>,
    shortage: Notify,
    short_teams: Mutex<SecondaryMap<TeamId, ()>>,
    grant_received: Notify,
    issued: Mutex<IssuedTeams>,
}

/// Teams whose unreported share, possibly zero, this instance has issued in the latest epoch that
/// it started.
#[derive(Debug, Default)]
struct IssuedTeams {
    epoch: u64,
    team_names: HashSet<Arc<str>>,
}

impl InstanceLedger {
    /// Returns the current epoch of the ledger.
    pub fn epoch(&self) -> u64 {
        self.ledger.lock().epoch()
    }

    /// Applies the limits of a new document and removes the teams that it no longer contains.
    pub fn apply_catalog(
        &self,
        before: &DocumentCatalog,
        after: &DocumentCatalog,
        limiter: &TeamLimiter,
        now: Instant,
    ) {
        let mut ledger = self.ledger.lock();
        for (id, _) in before.teams() {
            if after.team(id).is_none() {
                ledger.remove(id);
                limiter.remove(id);
            }
        }
        for (id, entry) in after.teams() {
            TeamBucket { limiter, id, entry }.resize(&ledger, now);
        }
    }

    /// Updates the smoothed demand of every team with the tokens requested since the last call.
    pub fn measure_demand(&self, catalog: &DocumentCatalog, limiter: &TeamLimiter, now: Instant) {
        let Some(since) = self.demand_measured_at.lock().replace(now) else {
            return;
        };
        // The lower bounds of 0.001 and 1e-9 avoid a division by zero.
        let seconds = now.duration_since(since).as_secs_f64().max(0.001);
        let mut ledger = self.ledger.lock();
        for (id, team) in catalog.teams() {
            let requested_rate = limiter.take_requested_tokens(id) / seconds / team.rate.max(1e-9);
            let demand = ledger.demand(id);
            ledger.set_demand(id, demand + (requested_rate - demand) * DEMAND_SMOOTHING);
        }
    }

    /// Records that a team has run out of tokens, and wakes the task that requests grants.
    pub fn record_shortage(&self, team: TeamId) {
        self.short_teams.lock().insert(team, ());
        self.shortage.notify_one();
    }

    /// Waits for a shortage and returns the teams that have run out of tokens.
    pub async fn wait_for_shortage(&self) -> Vec<TeamId> {
        self.shortage.notified().await;
        let short = std::mem::take(&mut *self.short_teams.lock());
        short.keys().collect()
    }

    /// Waits until a share is received or issued, for at most `limit`.
    pub async fn wait_for_grant(&self, limit: Duration) {
        let _ = tokio::time::timeout(limit, self.grant_received.notified()).await;
    }

    /// Returns the share of a team in millionths, and its demand.
    pub fn share_and_demand(&self, team: TeamId) -> (u64, f64) {
        let ledger = self.ledger.lock();
        (ledger.share(team), ledger.demand(team))
    }

    /// Returns the share, in millionths, and the demand that a request for a grant states.
    ///
    /// The demand is at least twice the held share, since the instance is short of tokens.
    pub fn share_and_raised_demand(&self, team: TeamId) -> (u64, f64) {
        let ledger = self.ledger.lock();
        let share = ledger.share(team);
        let held_fraction = share as f64 / FULL_SHARE as f64;
        (share, ledger.demand(team).max(2.0 * held_fraction).max(MIN_SHORTAGE_DEMAND))
    }

    /// Returns the share, in millionths, that a peer is expected to grant on request.
    pub fn expected_grant(&self, team: TeamId, peer_share: u64, peer_demand: f64) -> u64 {
        let (share, demand) = self.share_and_raised_demand(team);
        ledger::fair_grant(peer_share, peer_demand, share, demand)
    }

    /// Grants a peer a fair part of a team's share and returns the totals to send.
    pub fn grant(
        &self,
        team: TeamBucket<'_>,
        recipient: Incarnation,
        recipient_share: u64,
        recipient_demand: f64,
        now: Instant,
    ) -> TransferTotals {
        let mut ledger = self.ledger.lock();
        let amount = ledger.plan_grant(team.id, recipient_share, recipient_demand);
        team.transfer_share(&mut ledger, recipient, amount, now)
    }

    /// Grants all shares to one peer, when this instance shuts down.
    pub fn grant_all(
        &self,
        limiter: &TeamLimiter,
        catalog: &DocumentCatalog,
        recipient: Incarnation,
        now: Instant,
    ) {
        let mut ledger = self.ledger.lock();
        for (id, entry) in catalog.teams() {
            let amount = ledger.share(id);
            TeamBucket { limiter, id, entry }.transfer_share(&mut ledger, recipient, amount, now);
        }
    }

    /// Receives the increase in a donor's totals and enlarges the bucket.
    pub fn receive_grant(
        &self,
        team: TeamBucket<'_>,
        donor: Incarnation,
        epoch: u64,
        totals: TransferTotals,
        now: Instant,
    ) {
        let mut ledger = self.ledger.lock();
        let Some(grant) = ledger.receive_grant(team.id, donor, epoch, totals) else {
            return;
        };
        team.resize(&ledger, now);
        team.limiter.update(team.id, now, |bucket| bucket.add_tokens(grant.tokens, now));
        drop(ledger);
        self.grant_received.notify_waiters();
    }

    /// Records the total share, in millionths, that a recipient has received from this instance.
    pub fn record_acknowledgement(
        &self,
        id: TeamId,
        recipient: Incarnation,
        epoch: u64,
        share: u64,
    ) {
        self.ledger.lock().record_acknowledgement(id, recipient, epoch, share);
    }

    /// Returns the shares to send to a peer, with the totals that it has not acknowledged.
    pub fn team_shares(
        &self,
        catalog: &DocumentCatalog,
        peer: Option<Incarnation>,
    ) -> Vec<TeamShare> {
        let ledger = self.ledger.lock();
        let pending = peer.map(|peer| ledger.unacknowledged(peer)).unwrap_or_default();
        let totals = |id: TeamId| {
            let pending_totals = pending.iter().find(|(team, _)| *team == id);
            pending_totals.map(|(_, totals)| *totals).unwrap_or_default()
        };
        let mut shares = Vec::new();
        for (id, team) in catalog.teams() {
            let granted = totals(id);
            let taken_share = peer.map_or(0, |peer| ledger.received_from(id, peer));
            let (share, demand) = (ledger.share(id), ledger.demand(id));
            if share > 0 || demand > 0.0 || granted.share > 0 || taken_share > 0 {
                shares.push(TeamShare {
                    team: team.name.to_string(),
                    share,
                    demand,
                    given_share: granted.share,
                    given_tokens: granted.tokens,
                    taken_share,
                });
            }
        }
        shares
    }

    /// Returns whether the given peers have acknowledged all grants.
    pub fn is_acknowledged(&self, peers: &[Incarnation]) -> bool {
        let ledger = self.ledger.lock();
        peers.iter().all(|peer| ledger.unacknowledged(*peer).is_empty())
    }

    /// Enters an epoch and returns the report of the held shares; none for a lower epoch.
    pub fn enter_epoch(&self, epoch: u64, catalog: &DocumentCatalog) -> Option<Vec<HeldShare>> {
        let mut ledger = self.ledger.lock();
        let report = ledger.enter_epoch(epoch)?;
        let to_held_share = |(id, share): &(TeamId, u64)| {
            let team = catalog.team(*id)?;
            Some(HeldShare { team: team.name.to_string(), share: *share })
        };
        Some(report.iter().filter_map(to_held_share).collect())
    }

    /// Records that the issuer counted this instance's report; returns false for another epoch.
    pub fn mark_epoch_counted(&self, epoch: u64) -> bool {
        self.ledger.lock().mark_epoch_counted(epoch)
    }

    /// Returns whether the shares were reported and are not known to have been counted.
    pub fn is_provisional(&self) -> bool {
        self.ledger.lock().is_provisional()
    }

    /// Enters an epoch without a counted report and drops all shares.
    pub fn forfeit_epoch(
        &self,
        epoch: u64,
        catalog: &DocumentCatalog,
        limiter: &TeamLimiter,
        now: Instant,
    ) {
        let mut ledger = self.ledger.lock();
        ledger.forfeit_epoch(epoch);
        for (id, entry) in catalog.teams() {
            TeamBucket { limiter, id, entry }.resize(&ledger, now);
        }
    }

    /// Claims the issuance of unreported shares for an epoch; succeeds at most once.
    pub fn claim_issuance(&self, epoch: u64) -> bool {
        let claimed = self.ledger.lock().claim_issuance(epoch);
        if claimed {
            *self.issued.lock() = IssuedTeams { epoch, team_names: HashSet::new() };
        }
        claimed
    }

    /// Issues a team's unreported share to this instance, at most once per team and epoch.
    ///
    /// The epoch must be one that this instance started. `tokens` is zero unless no request can
    /// have been admitted before.
    pub fn issue(&self, team: TeamBucket<'_>, share: u64, tokens: f64, now: Instant) {
        if !self.issued.lock().team_names.insert(team.entry.name.clone()) {
            return;
        }
        let mut ledger = self.ledger.lock();
        ledger.issue(team.id, share);
        team.resize(&ledger, now);
        team.limiter.update(team.id, now, |bucket| bucket.add_tokens(tokens, now));
        drop(ledger);
        self.grant_received.notify_waiters();
    }

    /// Issues the full share of teams that were configured after this instance started the current
    /// epoch.
    pub fn issue_new_teams(&self, catalog: &DocumentCatalog, limiter: &TeamLimiter, now: Instant) {
        let epoch = self.epoch();
        let new_teams: Vec<_> = {
            let issued = self.issued.lock();
            let is_new = |team: &TeamEntry| !issued.team_names.contains(&team.name);
            let is_issuer = issued.epoch == epoch && epoch > 0;
            catalog.teams().filter(|(_, team)| is_issuer && is_new(team)).collect()
        };
        for (id, entry) in new_teams {
            self.issue(TeamBucket { limiter, id, entry }, FULL_SHARE, 0.0, now);
        }
    }

    /// Returns the share of every team, in millionths.
    pub fn shares(&self, catalog: &DocumentCatalog) -> Vec<(TeamId, u64)> {
        let ledger = self.ledger.lock();
        catalog.teams().map(|(id, _)| (id, ledger.share(id))).collect()
    }
}
