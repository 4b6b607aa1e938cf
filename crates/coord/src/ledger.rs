//! Ledger of a team's allotments: shares of rate and burst that instances hold and move.
//!
//! The shares of all instances never add up to more than the whole. A share moves by cumulative
//! totals: the giver shrinks and raises the total given to the taker, and the taker grows by the
//! difference to the total it has taken. Lost, repeated or reordered messages change nothing.
//! Shares lost with an instance come back by a new epoch: every holder reports its share while it
//! enters the epoch, and what nobody reports is issued again once the old epoch has run out. A
//! report may be lost on its way, so a reported share is provisional until the issuer says that it
//! was counted: it can be used while the proof of the old epoch lasts, but not passed on.

use std::collections::HashMap;

use slotmap::SecondaryMap;
use state::catalog::TeamKey;

/// The whole of a team's rate and burst, in parts.
pub const FULL_SHARE: u64 = 1_000_000;
/// Demand below which an instance still keeps a share, as a part of the whole.
const MIN_DEMAND: f64 = 0.005;
/// Smallest part that is worth moving.
const MIN_TRANSFER: u64 = FULL_SHARE / 1_000;
/// Part of its headroom that a giver keeps.
const DONOR_HEADROOM: f64 = 1.05;

/// Share that a taker gets at most, as a multiple of its stated demand.
const RECIPIENT_HEADROOM: f64 = 1.5;

/// Number drawn by an instance when it starts.
pub type Incarnation = u64;

/// Cumulative totals moved from one instance to another in one epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TransferTotals {
    /// Parts moved so far.
    pub share: u64,
    /// Tokens moved so far.
    pub tokens: f64,
}

/// Increase that an instance takes from a message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReceivedGrant {
    /// Parts by which the share grew.
    pub share: u64,
    /// Tokens that came with them.
    pub tokens: f64,
}

/// Account of one team on one instance.
#[derive(Clone, Debug, Default)]
struct ShareAccount {
    /// Parts issued to this instance in the current epoch.
    issued: u64,
    granted: HashMap<Incarnation, TransferTotals>,
    received: HashMap<Incarnation, TransferTotals>,
    acknowledged: HashMap<Incarnation, u64>,
    /// Statements a second that callers ask for, as a part of the team's rate.
    demand: f64,
}

impl ShareAccount {
    fn share(&self) -> u64 {
        let received: u64 = self.received.values().map(|totals| totals.share).sum();
        let granted: u64 = self.granted.values().map(|totals| totals.share).sum();
        (self.issued + received).saturating_sub(granted)
    }
}

/// Shares of one instance.
#[derive(Clone, Debug, Default)]
pub struct ShareLedger {
    epoch: u64,
    accounts: SecondaryMap<TeamKey, ShareAccount>,
    /// What was reported when the epoch was entered, so a repeated question gets the same answer.
    reported: Vec<(TeamKey, u64)>,
    /// Last epoch for which this instance issued what nobody reported.
    issued_epoch: u64,
    provisional: bool,
}

impl ShareLedger {
    /// Returns the epoch of the shares.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the share of a team.
    pub fn share(&self, team: TeamKey) -> u64 {
        self.accounts.get(team).map_or(0, ShareAccount::share)
    }

    /// Sets what callers ask for, as a part of the team's rate.
    pub fn set_demand(&mut self, team: TeamKey, demand: f64) {
        self.account(team).demand = demand;
    }

    /// Returns what callers ask for, as a part of the team's rate.
    pub fn demand(&self, team: TeamKey) -> f64 {
        self.accounts.get(team).map_or(0.0, |account| account.demand)
    }

    /// Forgets a team that is no longer declared.
    pub fn remove(&mut self, team: TeamKey) {
        self.accounts.remove(team);
    }

    /// Enters a higher epoch with the shares held now, and returns the report of them.
    ///
    /// A question that was answered before gets the same report; one about a lower epoch none.
    pub fn enter_epoch(&mut self, epoch: u64) -> Option<&[(TeamKey, u64)]> {
        if epoch < self.epoch {
            return None;
        }
        if epoch > self.epoch {
            if self.provisional || epoch > self.epoch + 1 {
                // Shares that the last issuer may have issued again must not count for this one.
                self.drop_shares();
            }
            self.epoch = epoch;
            self.reported = self.consolidate();
            self.provisional = true;
        }
        Some(&self.reported)
    }

    /// Records that the issuer counted the report of this epoch.
    pub fn mark_epoch_counted(&mut self, epoch: u64) -> bool {
        let is_current = epoch == self.epoch;
        if is_current {
            self.provisional = false;
        }
        is_current
    }

    /// Tells whether the shares were reported and may not have been counted.
    pub fn is_provisional(&self) -> bool {
        self.provisional
    }

    /// Loses every share and stands in `epoch`, without a report or with one not counted in time.
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

    /// Claims the right to issue what nobody reported in the current epoch, at most once.
    pub fn claim_issuance(&mut self, epoch: u64) -> bool {
        if epoch != self.epoch || epoch <= self.issued_epoch {
            return false;
        }
        self.issued_epoch = epoch;
        true
    }

    /// Adds parts that nobody holds in the current epoch.
    pub fn issue(&mut self, team: TeamKey, share: u64) {
        self.account(team).issued += share;
    }

    /// Returns the parts that a taker gets when it asks: afterwards giver and taker have about the
    /// same ratio of share to demand.
    pub fn plan_grant(&self, team: TeamKey, recipient_share: u64, recipient_demand: f64) -> u64 {
        let Some(account) = self.accounts.get(team).filter(|_| !self.provisional) else {
            return 0;
        };
        fair_grant(account.share(), account.demand, recipient_share, recipient_demand)
    }

    /// Moves parts and the tokens taken from the bucket for them, and returns the totals to send.
    ///
    /// The bucket must have shrunk before the totals are sent.
    pub fn grant(
        &mut self,
        team: TeamKey,
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

    /// Takes what a giver's totals add to those taken before, in the same epoch only.
    pub fn receive_grant(
        &mut self,
        team: TeamKey,
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

    /// Records that a taker has taken parts up to `share`, in the same epoch only.
    pub fn record_acknowledgement(
        &mut self,
        team: TeamKey,
        recipient: Incarnation,
        epoch: u64,
        share: u64,
    ) {
        if epoch == self.epoch {
            let acknowledged = self.account(team).acknowledged.entry(recipient).or_default();
            *acknowledged = share.max(*acknowledged);
        }
    }

    /// Returns the totals that a taker has not acknowledged yet.
    pub fn unacknowledged(&self, recipient: Incarnation) -> Vec<(TeamKey, TransferTotals)> {
        let pending = |(team, account): (TeamKey, &ShareAccount)| {
            let totals = account.granted.get(&recipient).copied()?;
            let known = account.acknowledged.get(&recipient).copied().unwrap_or_default();
            (totals.share > known).then_some((team, totals))
        };
        self.accounts.iter().filter_map(pending).collect()
    }

    /// Returns the parts taken from a giver, by which it learns what arrived.
    pub fn received_from(&self, team: TeamKey, donor: Incarnation) -> u64 {
        let account = self.accounts.get(team);
        account.and_then(|account| account.received.get(&donor)).map_or(0, |totals| totals.share)
    }

    fn account(&mut self, team: TeamKey) -> &mut ShareAccount {
        if !self.accounts.contains_key(team) {
            self.accounts.insert(team, ShareAccount::default());
        }
        &mut self.accounts[team]
    }

    /// Replaces every account by its share, which is issued anew in the next epoch.
    fn consolidate(&mut self) -> Vec<(TeamKey, u64)> {
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

/// Returns the part by which the giver's and the taker's ratios of share to demand become equal,
/// but no more than the taker needs.
///
/// Without the second bound an idle giver would part with nearly all at the first question, and
/// those who ask next would find nothing.
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
