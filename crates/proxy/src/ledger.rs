//! This instance's shares of the teams' limits: the ledger tied to the buckets.

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
/// Least demand that an instance states when it is short, as a part of the team's rate.
const SHORT_DEMAND: f64 = 0.05;

/// Team whose bucket a movement of shares changes.
#[derive(Clone, Copy)]
pub struct LimitedTeam<'a> {
    /// Buckets of the instance.
    pub limiter: &'a TeamLimiter,
    /// Key of the team.
    pub key: TeamId,
    /// Declared limits of the team.
    pub entry: &'a TeamEntry,
}

impl LimitedTeam<'_> {
    /// Brings the bucket in line with the share held.
    fn resize(&self, ledger: &ShareLedger, now: Instant) {
        let part = ledger.share(self.key) as f64 / FULL_SHARE as f64;
        let (rate, burst) = (self.entry.rate * part, self.entry.burst * part);
        self.limiter.update(self.key, now, |bucket| bucket.resize(rate, burst, now));
    }

    /// Moves a part to a taker; the bucket shrinks first, so that the part is in use on one
    /// instance at a time.
    fn move_part(
        &self,
        ledger: &mut ShareLedger,
        taker: Incarnation,
        part: u64,
        now: Instant,
    ) -> TransferTotals {
        let own = ledger.share(self.key);
        let part = part.min(own);
        if part == 0 {
            return ledger.grant(self.key, taker, 0, 0.0);
        }
        let tokens = self.limiter.update(self.key, now, |bucket| {
            let moved = bucket.available(now) * part as f64 / own as f64;
            bucket.take_up_to(moved, now)
        });
        let totals = ledger.grant(self.key, taker, part, tokens);
        self.resize(ledger, now);
        totals
    }
}

/// Ledger of this instance and the buckets that follow it.
#[derive(Default)]
pub struct InstanceLedger {
    ledger: Mutex<ShareLedger>,
    measured_at: Mutex<Option<Instant>>,
    shortage: Notify,
    short_teams: Mutex<SecondaryMap<TeamId, ()>>,
    arrived: Notify,
    issued: Mutex<IssuedTeams>,
}

/// Teams whose whole this instance has issued or counted in an epoch that it started.
#[derive(Debug, Default)]
struct IssuedTeams {
    epoch: u64,
    names: HashSet<Arc<str>>,
}

impl InstanceLedger {
    /// Returns the epoch of the shares.
    pub fn epoch(&self) -> u64 {
        self.ledger.lock().epoch()
    }

    /// Brings the buckets in line with a document: rates, bursts, teams that went.
    pub fn apply_catalog(
        &self,
        before: &DocumentCatalog,
        after: &DocumentCatalog,
        limiter: &TeamLimiter,
        now: Instant,
    ) {
        let mut ledger = self.ledger.lock();
        for (key, _) in before.teams() {
            if after.team(key).is_none() {
                ledger.remove(key);
                limiter.remove(key);
            }
        }
        for (key, entry) in after.teams() {
            LimitedTeam { limiter, key, entry }.resize(&ledger, now);
        }
    }

    /// Measures what callers asked for since the last measurement.
    pub fn measure(&self, catalog: &DocumentCatalog, limiter: &TeamLimiter, now: Instant) {
        let Some(since) = self.measured_at.lock().replace(now) else {
            return;
        };
        let seconds = now.duration_since(since).as_secs_f64().max(0.001);
        let mut ledger = self.ledger.lock();
        for (key, team) in catalog.teams() {
            let asked = limiter.drain_asked(key) / seconds / team.rate.max(1e-9);
            let demand = ledger.demand(key);
            ledger.set_demand(key, demand + (asked - demand) * DEMAND_SMOOTHING);
        }
    }

    /// Notes that a team had no token, and wakes the task that asks for more.
    pub fn record_shortage(&self, team: TeamId) {
        self.short_teams.lock().insert(team, ());
        self.shortage.notify_one();
    }

    /// Waits for a shortage and returns the teams concerned.
    pub async fn wait_for_shortage(&self) -> Vec<TeamId> {
        self.shortage.notified().await;
        let short = std::mem::take(&mut *self.short_teams.lock());
        short.keys().collect()
    }

    /// Waits until a share arrived or the time is over.
    pub async fn wait_for_grant(&self, limit: Duration) {
        let _ = tokio::time::timeout(limit, self.arrived.notified()).await;
    }

    /// Returns the share of a team and its demand.
    pub fn holding(&self, team: TeamId) -> (u64, f64) {
        let ledger = self.ledger.lock();
        (ledger.share(team), ledger.demand(team))
    }

    /// Returns share and demand with which this instance asks for more.
    pub fn ask_terms(&self, team: TeamId) -> (u64, f64) {
        let ledger = self.ledger.lock();
        let share = ledger.share(team);
        let held = share as f64 / FULL_SHARE as f64;
        (share, ledger.demand(team).max(2.0 * held).max(SHORT_DEMAND))
    }

    /// Returns the parts that asking a peer is expected to bring.
    pub fn expected_gift(&self, team: TeamId, peer_share: u64, peer_demand: f64) -> u64 {
        let (share, demand) = self.ask_terms(team);
        ledger::fair_grant(peer_share, peer_demand, share, demand)
    }

    /// Gives a peer its part of a team's share and returns the totals to send.
    pub fn give(
        &self,
        team: LimitedTeam<'_>,
        taker: Incarnation,
        taker_share: u64,
        taker_demand: f64,
        now: Instant,
    ) -> TransferTotals {
        let mut ledger = self.ledger.lock();
        let part = ledger.plan_grant(team.key, taker_share, taker_demand);
        team.move_part(&mut ledger, taker, part, now)
    }

    /// Gives every share to a peer, for an instance that leaves.
    pub fn give_everything(
        &self,
        limiter: &TeamLimiter,
        catalog: &DocumentCatalog,
        taker: Incarnation,
        now: Instant,
    ) {
        let mut ledger = self.ledger.lock();
        for (key, entry) in catalog.teams() {
            let part = ledger.share(key);
            LimitedTeam { limiter, key, entry }.move_part(&mut ledger, taker, part, now);
        }
    }

    /// Takes what a peer's totals add, and grows the bucket.
    pub fn take(
        &self,
        team: LimitedTeam<'_>,
        giver: Incarnation,
        epoch: u64,
        totals: TransferTotals,
        now: Instant,
    ) {
        let mut ledger = self.ledger.lock();
        let Some(grant) = ledger.receive_grant(team.key, giver, epoch, totals) else {
            return;
        };
        team.resize(&ledger, now);
        team.limiter.update(team.key, now, |bucket| bucket.add_tokens(grant.tokens, now));
        drop(ledger);
        self.arrived.notify_waiters();
    }

    /// Records what a peer has taken from this instance.
    pub fn acknowledge(&self, key: TeamId, taker: Incarnation, epoch: u64, share: u64) {
        self.ledger.lock().record_acknowledgement(key, taker, epoch, share);
    }

    /// Returns the shares to tell a peer, with what it has not acknowledged.
    pub fn shares_for(
        &self,
        catalog: &DocumentCatalog,
        peer: Option<Incarnation>,
    ) -> Vec<TeamShare> {
        let ledger = self.ledger.lock();
        let pending = peer.map(|peer| ledger.unacknowledged(peer)).unwrap_or_default();
        let totals = |key: TeamId| {
            let found = pending.iter().find(|(team, _)| *team == key);
            found.map(|(_, totals)| *totals).unwrap_or_default()
        };
        let mut shares = Vec::new();
        for (key, team) in catalog.teams() {
            let given = totals(key);
            let taken_share = peer.map_or(0, |peer| ledger.received_from(key, peer));
            let (share, demand) = (ledger.share(key), ledger.demand(key));
            if share > 0 || demand > 0.0 || given.share > 0 || taken_share > 0 {
                shares.push(TeamShare {
                    team: team.name.to_string(),
                    share,
                    demand,
                    given_share: given.share,
                    given_tokens: given.tokens,
                    taken_share,
                });
            }
        }
        shares
    }

    /// Tells whether every peer has acknowledged what it was given.
    pub fn is_settled(&self, peers: &[Incarnation]) -> bool {
        let ledger = self.ledger.lock();
        peers.iter().all(|peer| ledger.unacknowledged(*peer).is_empty())
    }

    /// Enters an epoch and returns the report of the shares held; none about a lower epoch.
    pub fn enter_epoch(&self, epoch: u64, catalog: &DocumentCatalog) -> Option<Vec<HeldShare>> {
        let mut ledger = self.ledger.lock();
        let report = ledger.enter_epoch(epoch)?;
        let held = |(key, share): &(TeamId, u64)| {
            let team = catalog.team(*key)?;
            Some(HeldShare { team: team.name.to_string(), share: *share })
        };
        Some(report.iter().filter_map(held).collect())
    }

    /// Records that the issuer counted the report of an epoch; false about another epoch.
    pub fn confirm_epoch(&self, epoch: u64) -> bool {
        self.ledger.lock().mark_epoch_counted(epoch)
    }

    /// Tells whether the shares were reported and may not have been counted.
    pub fn is_provisional(&self) -> bool {
        self.ledger.lock().is_provisional()
    }

    /// Enters an epoch without a counted report and loses every share.
    pub fn forfeit_epoch(
        &self,
        epoch: u64,
        catalog: &DocumentCatalog,
        limiter: &TeamLimiter,
        now: Instant,
    ) {
        let mut ledger = self.ledger.lock();
        ledger.forfeit_epoch(epoch);
        for (key, entry) in catalog.teams() {
            LimitedTeam { limiter, key, entry }.resize(&ledger, now);
        }
    }

    /// Claims the right to issue what nobody reported in an epoch, at most once.
    pub fn claim_issue(&self, epoch: u64) -> bool {
        let claimed = self.ledger.lock().claim_issuance(epoch);
        if claimed {
            *self.issued.lock() = IssuedTeams { epoch, names: HashSet::new() };
        }
        claimed
    }

    /// Adds parts of a team that nobody holds; only in an epoch that this instance started.
    ///
    /// Tokens come along only if nothing can have been admitted before.
    pub fn issue(&self, team: LimitedTeam<'_>, share: u64, tokens: f64, now: Instant) {
        if !self.issued.lock().names.insert(team.entry.name.clone()) {
            return;
        }
        let mut ledger = self.ledger.lock();
        ledger.issue(team.key, share);
        team.resize(&ledger, now);
        team.limiter.update(team.key, now, |bucket| bucket.add_tokens(tokens, now));
        drop(ledger);
        self.arrived.notify_waiters();
    }

    /// Issues teams that were declared after this instance started the current epoch.
    pub fn issue_new_teams(&self, catalog: &DocumentCatalog, limiter: &TeamLimiter, now: Instant) {
        let epoch = self.epoch();
        let new: Vec<_> = {
            let issued = self.issued.lock();
            let is_new = |team: &TeamEntry| !issued.names.contains(&team.name);
            let own = issued.epoch == epoch && epoch > 0;
            catalog.teams().filter(|(_, team)| own && is_new(team)).collect()
        };
        for (key, entry) in new {
            self.issue(LimitedTeam { limiter, key, entry }, FULL_SHARE, 0.0, now);
        }
    }

    /// Returns the share of every team.
    pub fn shares(&self, catalog: &DocumentCatalog) -> Vec<(TeamId, u64)> {
        let ledger = self.ledger.lock();
        catalog.teams().map(|(key, _)| (key, ledger.share(key))).collect()
    }
}
