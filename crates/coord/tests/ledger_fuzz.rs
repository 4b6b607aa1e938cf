//! Stateful fuzzing of the share ledger: shares and admissions never exceed a team's limits.

mod common;

use std::time::{Duration, Instant};

use common::{Choices, check_cases, expect_failure};
use coord::ledger::{FULL_SHARE, ShareLedger, TransferTotals};
use coord::validation::{VALIDATION_TTL, ValidationTracker};
use slotmap::SlotMap;
use state::bucket::TokenBucket;
use state::catalog::TeamId;

const INSTANCES: usize = 4;
/// Rate of the team in statements per second.
const RATE: f64 = 100.0;
/// Burst of the team in statements.
const BURST: f64 = 50.0;

/// Fault that a test injects to prove that the invariants detect it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum InjectedFault {
    /// No fault.
    None,
    /// The issuer does not wait until the old epoch has expired.
    IssueImmediately,
    /// A recipient adds the totals of each message instead of their increase.
    AddFullTotals,
    /// The donor keeps the share that it granted.
    KeepGrantedShare,
    /// An instance uses a reported share before the issuer counted the report.
    TrustUncountedReport,
    /// A restarted instance accepts totals that were granted to its previous incarnation.
    IgnoreRecipient,
}

/// Cumulative totals in flight from a donor to a recipient.
#[derive(Clone, Copy, Debug)]
struct GrantMessage {
    donor_incarnation: u64,
    recipient_index: usize,
    /// Incarnation that the totals are for; a later one on the same instance ignores them.
    recipient_incarnation: u64,
    epoch: u64,
    totals: TransferTotals,
}

struct ModelInstance {
    incarnation: u64,
    ledger: ShareLedger,
    validation: ValidationTracker,
    bucket: TokenBucket,
    partitioned: bool,
}

/// Reconciliation that starts a new epoch.
struct LedgerReconciliation {
    epoch: u64,
    issuer: usize,
    started_at: Instant,
    /// Reported shares in millionths, by instance index.
    reports: Vec<Option<u64>>,
}

struct LedgerModel {
    team: TeamId,
    instances: Vec<ModelInstance>,
    messages_in_flight: Vec<GrantMessage>,
    stored_epoch: u64,
    store_down: bool,
    reconciliation: Option<LedgerReconciliation>,
    admitted_at: Vec<Instant>,
    next_incarnation: u64,
    now: Instant,
    fault: InjectedFault,
}

impl LedgerModel {
    fn new(fault: InjectedFault) -> Self {
        let mut teams: SlotMap<TeamId, ()> = SlotMap::with_key();
        let team = teams.insert(());
        let now = Instant::now() + Duration::from_secs(60);
        let mut model = Self {
            team,
            instances: Vec::new(),
            messages_in_flight: Vec::new(),
            stored_epoch: 1,
            store_down: false,
            reconciliation: None,
            admitted_at: Vec::new(),
            next_incarnation: 1,
            now,
            fault,
        };
        for _ in 0..INSTANCES {
            let instance = model.start_instance();
            model.instances.push(instance);
        }
        let issuer = &mut model.instances[0];
        assert!(issuer.ledger.claim_issuance(1));
        issuer.ledger.issue(team, FULL_SHARE);
        model.resize_bucket(0);
        model
    }

    fn start_instance(&mut self) -> ModelInstance {
        let incarnation = self.next_incarnation;
        self.next_incarnation += 1;
        let mut ledger = ShareLedger::default();
        ledger.forfeit_epoch(self.stored_epoch);
        let mut validation = ValidationTracker::default();
        validation.adopt(self.stored_epoch);
        let bucket = TokenBucket::empty(0.0, 0.0, self.now);
        ModelInstance { incarnation, ledger, validation, bucket, partitioned: false }
    }

    fn resize_bucket(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        let fraction = instance.ledger.share(self.team) as f64 / FULL_SHARE as f64;
        instance.bucket.resize(RATE * fraction, BURST * fraction, self.now);
    }

    fn step(&mut self, choices: &mut Choices) {
        let action = choices.below(16);
        match action {
            0..=3 => self.advance_time(choices.below(400) as u64),
            4..=7 => self.admit(choices),
            8..=9 => self.request_grant(choices),
            10 => self.deliver(choices),
            11 => self.start_reconciliation(choices),
            12 => self.answer_reconciliation(choices),
            13 => {
                let index = choices.below(INSTANCES);
                self.instances[index].partitioned ^= true;
            }
            14 => self.store_down ^= choices.below(3) == 0,
            _ => {
                // An instance may be replaced at any time; its share is lost.
                let index = choices.below(INSTANCES);
                let replacement = self.start_instance();
                if self
                    .reconciliation
                    .as_ref()
                    .is_some_and(|reconciliation| reconciliation.issuer == index)
                {
                    self.reconciliation = None;
                }
                // The report of the old incarnation stays counted, although its share is lost.
                self.instances[index] = replacement;
            }
        }
        if std::env::var_os("HIBISCUS_TRACE").is_some() {
            self.trace(action);
        }
        self.check_invariants();
    }

    /// Prints the state after an action: for each instance its incarnation, epoch (`?` if its
    /// shares are provisional), share, and validated version (`+` if valid, `-` if expired).
    fn trace(&self, action: usize) {
        let states: Vec<String> = self
            .instances
            .iter()
            .map(|instance| {
                format!(
                    "{}:e{}{} s{} v{}{}{}",
                    instance.incarnation,
                    instance.ledger.epoch(),
                    if instance.ledger.is_provisional() { "?" } else { "" },
                    instance.ledger.share(self.team),
                    instance.validation.version(),
                    if instance.validation.is_valid(self.now) { "+" } else { "-" },
                    if instance.partitioned { " partitioned" } else { "" }
                )
            })
            .collect();
        println!("{action}: store e{} down {} {states:?}", self.stored_epoch, self.store_down);
    }

    fn advance_time(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
        let store_down = self.store_down;
        let (stored, now) = (self.stored_epoch, self.now);
        for instance in &mut self.instances {
            if instance.partitioned {
                continue;
            }
            if store_down {
                instance.validation.record_store_failure(now);
            } else {
                instance.validation.record_store_version(now, stored);
            }
        }
        self.run_heartbeat_round();
        self.forfeit_outdated_epochs();
        self.finish_reconciliation();
    }

    fn run_heartbeat_round(&mut self) {
        let now = self.now;
        let outcomes: Vec<_> = self
            .instances
            .iter()
            .map(|instance| {
                let outcome = coord::validation::HeartbeatOutcome::Answered {
                    version: instance.validation.version(),
                    validation_age: instance.validation.validation_age(now),
                    store_down: instance.validation.is_store_down(now),
                };
                if instance.partitioned {
                    coord::validation::HeartbeatOutcome::Unanswered
                } else {
                    outcome
                }
            })
            .collect();
        for index in 0..INSTANCES {
            let partitioned = self.instances[index].partitioned;
            let validation = &mut self.instances[index].validation;
            validation.start_heartbeat_round(now);
            for (peer, outcome) in outcomes.iter().enumerate().filter(|(peer, _)| *peer != index) {
                let outcome = if partitioned {
                    coord::validation::HeartbeatOutcome::Unanswered
                } else {
                    *outcome
                };
                validation.record_peer(peer as u64, now, outcome);
            }
            validation.end_heartbeat_round(INSTANCES - 1, now);
        }
    }

    fn forfeit_outdated_epochs(&mut self) {
        for index in 0..INSTANCES {
            let (stored, now) = (self.stored_epoch, self.now);
            let instance = &mut self.instances[index];
            let is_provisional = instance.ledger.is_provisional();
            let is_outdated =
                (instance.ledger.epoch() < stored || is_provisional) && !instance.partitioned;
            if is_outdated && !instance.validation.is_valid(now) {
                instance.ledger.forfeit_epoch(stored);
                instance.validation.adopt(stored);
                self.resize_bucket(index);
            }
        }
    }

    fn admit(&mut self, choices: &mut Choices) {
        let index = choices.below(INSTANCES);
        let now = self.now;
        for _ in 0..choices.below(30) {
            let instance = &mut self.instances[index];
            instance.ledger.set_demand(self.team, 0.5);
            if instance.validation.is_valid(now) && instance.bucket.take(1.0, now).is_ok() {
                self.admitted_at.push(now);
            }
        }
    }

    fn request_grant(&mut self, choices: &mut Choices) {
        let (recipient, donor) = (choices.below(INSTANCES), choices.below(INSTANCES));
        let connected =
            !self.instances[recipient].partitioned && !self.instances[donor].partitioned;
        if recipient == donor || !connected {
            return;
        }
        let recipient_share = self.instances[recipient].ledger.share(self.team);
        let recipient_incarnation = self.instances[recipient].incarnation;
        let epoch = self.instances[recipient].ledger.epoch();
        let (team, now, fault) = (self.team, self.now, self.fault);
        let instance = &mut self.instances[donor];
        if instance.ledger.epoch() != epoch || !instance.validation.is_valid(now) {
            return;
        }
        let donor_share = instance.ledger.share(team);
        let granted = instance.ledger.plan_grant(team, recipient_share, 0.4);
        let granted = granted.min(donor_share);
        let moved_tokens =
            instance.bucket.available(now) * granted as f64 / donor_share.max(1) as f64;
        let tokens = instance.bucket.take_up_to(moved_tokens, now);
        let totals = instance.ledger.grant(team, recipient_incarnation, granted, tokens);
        if fault == InjectedFault::KeepGrantedShare {
            instance.ledger.issue(team, granted);
        }
        let donor_incarnation = instance.incarnation;
        self.resize_bucket(donor);
        self.messages_in_flight.push(GrantMessage {
            donor_incarnation,
            recipient_index: recipient,
            recipient_incarnation,
            epoch,
            totals,
        });
    }

    /// Delivers, loses or duplicates a message, in any order.
    fn deliver(&mut self, choices: &mut Choices) {
        if self.messages_in_flight.is_empty() {
            return;
        }
        let index = choices.below(self.messages_in_flight.len());
        let message = match choices.below(3) {
            0 => self.messages_in_flight[index],
            _ => self.messages_in_flight.swap_remove(index),
        };
        if choices.below(5) == 0 || self.instances[message.recipient_index].partitioned {
            return;
        }
        let is_recipient =
            self.instances[message.recipient_index].incarnation == message.recipient_incarnation;
        if !is_recipient && self.fault != InjectedFault::IgnoreRecipient {
            return;
        }
        let (team, now, fault) = (self.team, self.now, self.fault);
        let instance = &mut self.instances[message.recipient_index];
        let grant = instance.ledger.receive_grant(
            team,
            message.donor_incarnation,
            message.epoch,
            message.totals,
        );
        if fault == InjectedFault::AddFullTotals && message.epoch == instance.ledger.epoch() {
            instance.ledger.issue(team, message.totals.share);
        }
        self.resize_bucket(message.recipient_index);
        if let Some(grant) = grant {
            self.instances[message.recipient_index].bucket.add_tokens(grant.tokens, now);
        }
    }

    fn start_reconciliation(&mut self, choices: &mut Choices) {
        let issuer = choices.below(INSTANCES);
        let now = self.now;
        let can_start = !self.instances[issuer].partitioned
            && self.instances[issuer].validation.is_valid(now)
            && self.instances[issuer].ledger.epoch() == self.stored_epoch;
        if self.store_down || !can_start || choices.below(3) > 0 {
            return;
        }
        self.stored_epoch += 1;
        let epoch = self.stored_epoch;
        let mut reports = vec![None; INSTANCES];
        reports[issuer] = self.report(issuer, epoch);
        self.mark_counted(issuer, epoch);
        self.instances[issuer].validation.record_store_version(now, epoch);
        self.reconciliation =
            Some(LedgerReconciliation { epoch, issuer, started_at: now, reports });
        if self.fault == InjectedFault::IssueImmediately {
            self.issue_unreported();
        }
    }

    fn report(&mut self, index: usize, epoch: u64) -> Option<u64> {
        let team = self.team;
        let instance = &mut self.instances[index];
        let report = instance.ledger.enter_epoch(epoch)?;
        Some(report.iter().find(|(reported, _)| *reported == team).map_or(0, |(_, share)| *share))
    }

    fn answer_reconciliation(&mut self, choices: &mut Choices) {
        let index = choices.below(INSTANCES);
        let Some(epoch) = self.reconciliation.as_ref().map(|reconciliation| reconciliation.epoch)
        else {
            return;
        };
        if self.instances[index].partitioned {
            return;
        }
        // A request tells the instance whether the issuer counted its previous report.
        let is_counted = self
            .reconciliation
            .as_ref()
            .and_then(|reconciliation| reconciliation.reports[index])
            .is_some();
        let report = self.report(index, epoch);
        if is_counted || self.fault == InjectedFault::TrustUncountedReport {
            self.mark_counted(index, epoch);
        }
        // The request may arrive although its reply is lost.
        if let Some(reconciliation) = self.reconciliation.as_mut().filter(|_| choices.below(4) > 0)
        {
            reconciliation.reports[index] = reconciliation.reports[index].or(report);
        }
    }

    fn mark_counted(&mut self, index: usize, epoch: u64) {
        let instance = &mut self.instances[index];
        if instance.ledger.mark_epoch_counted(epoch) {
            instance.validation.adopt(epoch);
        }
    }

    fn finish_reconciliation(&mut self) {
        let is_over = self.reconciliation.as_ref().is_some_and(|reconciliation| {
            // The margin is that of the proxy for clock drift between instances.
            let wait = VALIDATION_TTL + Duration::from_millis(250);
            self.now.duration_since(reconciliation.started_at) > wait
        });
        if is_over {
            self.issue_unreported();
        }
    }

    fn issue_unreported(&mut self) {
        let Some(reconciliation) = self.reconciliation.take() else {
            return;
        };
        let reported: u64 = reconciliation.reports.iter().flatten().sum();
        let issuer = &mut self.instances[reconciliation.issuer];
        if issuer.ledger.claim_issuance(reconciliation.epoch) {
            issuer.ledger.issue(self.team, FULL_SHARE.saturating_sub(reported));
            self.resize_bucket(reconciliation.issuer);
        }
    }

    /// Checks that the usable shares do not exceed the full share, and that admissions stay within
    /// rate and burst.
    fn check_invariants(&self) {
        let is_usable = |instance: &&ModelInstance| instance.validation.is_valid(self.now);
        let sum: u64 = self
            .instances
            .iter()
            .filter(is_usable)
            .map(|instance| instance.ledger.share(self.team))
            .sum();
        assert!(sum <= FULL_SHARE, "usable shares add up to {sum}");
        let Some(last) = self.admitted_at.last() else {
            return;
        };
        for (index, first) in self.admitted_at.iter().enumerate() {
            let window = last.duration_since(*first).as_secs_f64();
            let count = (self.admitted_at.len() - index) as f64;
            assert!(count <= RATE * window + BURST + 1e-6, "{count} admitted in {window} s");
        }
    }
}

fn run(choices: &mut Choices, fault: InjectedFault) {
    let mut model = LedgerModel::new(fault);
    while !choices.is_done() {
        model.step(choices);
    }
}

#[test]
fn never_exceeds_the_full_share_or_rate_and_burst() {
    check_cases(1_500, 600, |choices| run(choices, InjectedFault::None));
}

#[test]
fn detects_issuance_before_the_old_epoch_expired() {
    expect_failure(5_000, 600, |choices| run(choices, InjectedFault::IssueImmediately));
}

#[test]
fn detects_totals_received_twice() {
    expect_failure(2_000, 600, |choices| run(choices, InjectedFault::AddFullTotals));
}

#[test]
fn detects_a_donor_that_keeps_its_share() {
    expect_failure(2_000, 600, |choices| run(choices, InjectedFault::KeepGrantedShare));
}

#[test]
fn detects_use_of_an_uncounted_report() {
    expect_failure(5_000, 600, |choices| run(choices, InjectedFault::TrustUncountedReport));
}

#[test]
fn detects_totals_received_by_a_later_incarnation() {
    expect_failure(5_000, 600, |choices| run(choices, InjectedFault::IgnoreRecipient));
}
