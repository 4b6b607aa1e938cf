//! Ledger of the shares of a team's rate and burst that instances hold and transfer.
//!
//! The shares of all instances never add up to more than the full share. A transfer uses cumulative
//! totals: the donor shrinks its share and raises the total granted to the recipient, and the
//! recipient grows by the difference to the total that it has received. Lost, duplicated or
//! reordered messages change nothing.
//!
//! Shares lost with an instance are recovered by a reconciliation: one instance, the issuer, starts
//! a new epoch, every instance reports its shares as it enters the epoch, and the issuer issues the
//! unreported shares again once the validation of the old epoch has expired. A report can be lost,
//! so a reported share is provisional until the issuer confirms that it was counted: it may be used
//! while the old epoch is valid, but not transferred.

use std::collections::HashMap;

use slotmap::SecondaryMap;
use state::catalog::TeamId;

/// Full rate and burst of a team, in millionths; shares are counted in this unit.
pub const FULL_SHARE: u64 = 1_000_000;
/// Lower bound on the demand used to divide a share, as a fraction of the team's rate, so that an
/// idle instance keeps a share.
const MIN_DEMAND: f64 = 0.005;
/// Smallest share worth a transfer, in millionths.
const MIN_TRANSFER: u64 = FULL_SHARE / 1_000;
/// Factor on a donor's own demand, so that it keeps 5 % more share per demand than the recipient.
const DONOR_HEADROOM: f64 = 1.05;

/// Upper bound on a recipient's share, as a multiple of its demand.
const RECIPIENT_HEADROOM: f64 = 1.5;

/// Random number that an instance draws at its start, which identifies this run of it.
pub type Incarnation = u64;

/// Cumulative totals transferred from one instance to another in one epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TransferTotals {
    /// Share transferred so far, in millionths.
    pub share: u64,
    /// Tokens of the team's bucket transferred so far.
    pub tokens: f64,
}

/// Increase that an instance receives with a message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReceivedGrant {
    /// Increase of the share, in millionths.
    pub share: u64,
    /// Tokens that came with it.
    pub tokens: f64,
}

/// Shares of one team on one instance.
#[derive(Clone, Debug, Default)]
struct ShareAccount {
    /// Share issued to this instance in the current epoch, in millionths.
    issued: u64,
    /// Totals granted in the current epoch, by recipient.
    granted: HashMap<Incarnation, TransferTotals>,
    /// Totals received in the current epoch, by donor.
    received: HashMap<Incarnation, TransferTotals>,
    /// Granted share whose receipt was acknowledged, in millionths, by recipient.
    acknowledged: HashMap<Incarnation, u64>,
    /// Requested statements per second, as a fraction of the team's rate.
    demand: f64,
}

impl ShareAccount {
    fn share(&self) -> u64 {
        let received: u64 = self.received.values().map(|totals| totals.share).sum();
        let granted: u64 = self.granted.values().map(|totals| totals.share).sum();
        (self.issued + received).saturating_sub(granted)
    }
}

/// Shares that one instance holds of all teams.
#[derive(Clone, Debug, Default)]
pub struct ShareLedger {
    epoch: u64,
    accounts: SecondaryMap<TeamId, ShareAccount>,
    /// Report made on entering the epoch, so that a repeated request gets the same answer.
    reported: Vec<(TeamId, u64)>,
    /// Last epoch for which this instance claimed the issuance of unreported shares.
    issued_epoch: u64,
    /// The shares were reported for this epoch, and the issuer has not confirmed that it counted
    /// the report.
    provisional: bool,
}

impl ShareLedger {
    /// Returns the current epoch.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the share of a team in millionths.
    pub fn share(&self, team: TeamId) -> u64 {
        self.accounts.get(team).map_or(0, ShareAccount::share)
    }

    /// Sets the demand of a team's callers, as a fraction of the team's rate.
    pub fn set_demand(&mut self, team: TeamId, demand: f64) {
        self.account(team).demand = demand;
    }

    /// Returns the demand of a team's callers, as a fraction of the team's rate.
    pub fn demand(&self, team: TeamId) -> f64 {
        self.accounts.get(team).map_or(0.0, |account| account.demand)
    }

    /// Removes a team that is no longer configured.
    pub fn remove(&mut self, team: TeamId) {
        self.accounts.remove(team);
    }

    /// Enters a higher epoch with the currently held shares and returns their report.
    ///
    /// Returns the same report again for the current epoch, and none for a lower one.
    pub fn enter_epoch(&mut self, epoch: u64) -> Option<&[(TeamId, u64)]> {
        if epoch < self.epoch {
            return None;
        }
        if epoch > self.epoch {
            if self.provisional || epoch > self.epoch + 1 {
                // The last report was not confirmed, or this instance missed an epoch. An issuer
                // may have issued these shares again, so the next one must not count them.
                self.drop_shares();
            }
            self.epoch = epoch;
            self.reported = self.consolidate();
            self.provisional = true;
        }
        Some(&self.reported)
    }

    /// Records that the issuer counted this instance's report; returns false for another epoch.
    pub fn mark_epoch_counted(&mut self, epoch: u64) -> bool {
        let is_current = epoch == self.epoch;
        if is_current {
            self.provisional = false;
        }
        is_current
    }

    /// Returns whether the shares were reported and are not known to have been counted.
    pub fn is_provisional(&self) -> bool {
        self.provisional
    }

    /// Enters `epoch` without any share, because no report was made or it was not counted in time.
    pub fn forfeit_epoch(&mut self, epoch: u64) {
        let uncounted = epoch == self.epoch && self.provisional;
        if epoch <= self.epoch && !uncounted {
            return;
        }
        self.epoch = epoch;
        self.drop_shares();
    }

    fn drop_shares(&mut self) {
        self.provisional = false;
        for (_, account) in &mut self.accounts {
            *account = ShareAccount { demand: account.demand, ..ShareAccount::default() };
        }
        self.reported.clear();
    }

    /// Claims the issuance of unreported shares for the current epoch; succeeds at most once.
    pub fn claim_issuance(&mut self, epoch: u64) -> bool {
        if epoch != self.epoch || epoch <= self.issued_epoch {
            return false;
        }
        self.issued_epoch = epoch;
        true
    }

    /// Adds a share that no instance holds in the current epoch.
    pub fn issue(&mut self, team: TeamId, share: u64) {
        self.account(team).issued += share;
    }

    /// Returns the share to grant to a recipient, after which donor and recipient have about the
    /// same ratio of share to demand.
    pub fn plan_grant(&self, team: TeamId, recipient_share: u64, recipient_demand: f64) -> u64 {
        let Some(account) = self.accounts.get(team).filter(|_| !self.provisional) else {
            return 0;
        };
        fair_grant(account.share(), account.demand, recipient_share, recipient_demand)
    }

    /// Transfers a share with the tokens taken from the team's bucket for it.
    ///
    /// Returns the totals to send.
    ///
    /// `amount` is in millionths; nothing is transferred while the shares are provisional. The
    /// team's bucket must be resized to the smaller share before the totals are sent, or donor and
    /// recipient would both admit statements with the transferred share.
    pub fn grant(
        &mut self,
        team: TeamId,
        recipient: Incarnation,
        amount: u64,
        tokens: f64,
    ) -> TransferTotals {
        let amount = if self.provisional { 0 } else { amount };
        let account = self.account(team);
        let amount = amount.min(account.share());
        let totals = account.granted.entry(recipient).or_default();
        if amount > 0 {
            totals.share += amount;
            totals.tokens += tokens;
        }
        *totals
    }

    /// Receives the difference between a donor's totals and those received before.
    ///
    /// Returns none for another epoch or if nothing is new.
    pub fn receive_grant(
        &mut self,
        team: TeamId,
        donor: Incarnation,
        epoch: u64,
        totals: TransferTotals,
    ) -> Option<ReceivedGrant> {
        if epoch != self.epoch {
            return None;
        }
        let received = self.account(team).received.entry(donor).or_default();
        if totals.share <= received.share {
            return None;
        }
        let share = totals.share - received.share;
        let tokens = (totals.tokens - received.tokens).max(0.0);
        *received = totals;
        Some(ReceivedGrant { share, tokens })
    }

    /// Records that a recipient has received a total share of `share`; ignored for another epoch.
    pub fn record_acknowledgement(
        &mut self,
        team: TeamId,
        recipient: Incarnation,
        epoch: u64,
        share: u64,
    ) {
        if epoch == self.epoch {
            let acknowledged = self.account(team).acknowledged.entry(recipient).or_default();
            *acknowledged = share.max(*acknowledged);
        }
    }

    /// Returns the totals that a recipient has not acknowledged yet.
    pub fn unacknowledged(&self, recipient: Incarnation) -> Vec<(TeamId, TransferTotals)> {
        let pending = |(team, account): (TeamId, &ShareAccount)| {
            let totals = account.granted.get(&recipient).copied()?;
            let known = account.acknowledged.get(&recipient).copied().unwrap_or_default();
            (totals.share > known).then_some((team, totals))
        };
        self.accounts.iter().filter_map(pending).collect()
    }

    /// Returns the total share received from a donor, in millionths.
    ///
    /// Sent back to the donor, it acknowledges the grants.
    pub fn received_from(&self, team: TeamId, donor: Incarnation) -> u64 {
        let account = self.accounts.get(team);
        account.and_then(|account| account.received.get(&donor)).map_or(0, |totals| totals.share)
    }

    fn account(&mut self, team: TeamId) -> &mut ShareAccount {
        if !self.accounts.contains_key(team) {
            self.accounts.insert(team, ShareAccount::default());
        }
        &mut self.accounts[team]
    }

    /// Replaces each account by its share, which counts as issued in the next epoch.
    fn consolidate(&mut self) -> Vec<(TeamId, u64)> {
        let mut report = Vec::new();
        for (team, account) in &mut self.accounts {
            let share = account.share();
            let demand = account.demand;
            *account = ShareAccount { issued: share, demand, ..ShareAccount::default() };
            if share > 0 {
                report.push((team, share));
            }
        }
        report
    }
}

/// Returns the share whose transfer makes the donor's and the recipient's ratios of share to demand
/// equal, but no more than the recipient needs.
///
/// Without the second bound an idle donor would grant nearly its whole share to the first
/// recipient, and later ones would get nothing.
pub fn fair_grant(
    donor_share: u64,
    donor_demand: f64,
    recipient_share: u64,
    recipient_demand: f64,
) -> u64 {
    let donor_demand = donor_demand.max(MIN_DEMAND);
    let recipient_demand = recipient_demand.max(MIN_DEMAND);
    let (donor, recipient) = (donor_share as f64, recipient_share as f64);
    let balanced = (donor * recipient_demand - recipient * donor_demand * DONOR_HEADROOM)
        / (donor_demand * DONOR_HEADROOM + recipient_demand);
    let needed = recipient_demand * RECIPIENT_HEADROOM * FULL_SHARE as f64 - recipient;
    let amount = balanced.min(needed).max(0.0) as u64;
    if amount < MIN_TRANSFER { 0 } else { amount.min(donor_share) }
}
