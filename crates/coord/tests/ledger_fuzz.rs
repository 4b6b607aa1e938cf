//! Stateful fuzzing of the allotment ledger against sums kept by an oracle.

mod common;

use std::time::{Duration, Instant};

use common::{Choices, check_cases, expect_failure};
use coord::ledger::{FULL_SHARE, ShareLedger, TransferTotals};
use coord::validation::{VALIDATION_TTL, ValidationTracker};
use slotmap::SlotMap;
use state::bucket::TokenBucket;
use state::catalog::TeamKey;

const INSTANCES: usize = 4;
const RATE: f64 = 100.0;
const BURST: f64 = 50.0;

/// Rule that a mutation breaks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BrokenRule {
    /// Every rule holds.
    None,
    /// The issuer does not wait until the old epoch has run out.
    IssueAtOnce,
    /// A taker adds what a message says, not what it adds to the last one.
    TakeTwice,
    /// The giver keeps its share.
    GiveWithoutShrinking,
    /// A holder goes on with a reported share before it was counted.
    TrustReport,
    /// A restarted instance takes what was given to the one before it.
    IgnoreAddressee,
}

/// Totals on their way to a taker.
#[derive(Clone, Copy, Debug)]
struct Message {
    from: u64,
    to: usize,
    /// Incarnation that the totals are for; a later one at the same place ignores them.
    taker: u64,
    epoch: u64,
    totals: TransferTotals,
}

struct ModelInstance {
    id: u64,
    ledger: ShareLedger,
    proof: ValidationTracker,
    bucket: TokenBucket,
    cut: bool,
}

/// Epoch that is being started.
struct Census {
    number: u64,
    issuer: usize,
    started_at: Instant,
    reports: Vec<Option<u64>>,
}

struct Model {
    team: TeamKey,
    instances: Vec<ModelInstance>,
    messages: Vec<Message>,
    stored_epoch: u64,
    store_down: bool,
    census: Option<Census>,
    admitted: Vec<Instant>,
    next_id: u64,
    now: Instant,
    rule: BrokenRule,
}

impl Model {
    fn new(rule: BrokenRule) -> Self {
        let mut keys: SlotMap<TeamKey, ()> = SlotMap::with_key();
        let team = keys.insert(());
        let now = Instant::now() + Duration::from_secs(60);
        let mut model = Self {
            team,
            instances: Vec::new(),
            messages: Vec::new(),
            stored_epoch: 1,
            store_down: false,
            census: None,
            admitted: Vec::new(),
            next_id: 1,
            now,
            rule,
        };
        for _ in 0..INSTANCES {
            let instance = model.fresh_instance();
            model.instances.push(instance);
        }
        let first = &mut model.instances[0];
        assert!(first.ledger.claim_issuance(1));
        first.ledger.issue(team, FULL_SHARE);
        model.resize(0);
        model
    }

    fn fresh_instance(&mut self) -> ModelInstance {
        let id = self.next_id;
        self.next_id += 1;
        let mut ledger = ShareLedger::default();
        ledger.forfeit_epoch(self.stored_epoch);
        let mut proof = ValidationTracker::default();
        proof.adopt(self.stored_epoch);
        let bucket = TokenBucket::empty(0.0, 0.0, self.now);
        ModelInstance { id, ledger, proof, bucket, cut: false }
    }

    fn resize(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        let part = instance.ledger.share(self.team) as f64 / FULL_SHARE as f64;
        instance.bucket.resize(RATE * part, BURST * part, self.now);
    }

    fn step(&mut self, choices: &mut Choices) {
        let action = choices.below(16);
        match action {
            0..=3 => self.pass_time(choices.below(400) as u64),
            4..=7 => self.admit(choices),
            8..=9 => self.ask(choices),
            10 => self.deliver(choices),
            11 => self.start_census(choices),
            12 => self.answer_census(choices),
            13 => {
                let index = choices.below(INSTANCES);
                self.instances[index].cut ^= true;
            }
            14 => self.store_down ^= choices.below(3) == 0,
            _ => {
                // Replaced at any time: the share goes with the instance.
                let index = choices.below(INSTANCES);
                let fresh = self.fresh_instance();
                if self.census.as_ref().is_some_and(|census| census.issuer == index) {
                    self.census = None;
                }
                // The report of the old incarnation stays counted; its share is lost with it.
                self.instances[index] = fresh;
            }
        }
        if std::env::var_os("HIBISCUS_TRACE").is_some() {
            self.trace(action);
        }
        self.check();
    }

    fn trace(&self, action: usize) {
        let states: Vec<String> = self
            .instances
            .iter()
            .map(|instance| {
                format!(
                    "{}:e{}{} s{} v{}{}{}",
                    instance.id,
                    instance.ledger.epoch(),
                    if instance.ledger.is_provisional() { "?" } else { "" },
                    instance.ledger.share(self.team),
                    instance.proof.version(),
                    if instance.proof.is_valid(self.now) { "+" } else { "-" },
                    if instance.cut { " cut" } else { "" }
                )
            })
            .collect();
        println!("{action}: store e{} down {} {states:?}", self.stored_epoch, self.store_down);
    }

    fn pass_time(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
        let down = self.store_down;
        let (stored, now) = (self.stored_epoch, self.now);
        for instance in &mut self.instances {
            if instance.cut {
                continue;
            }
            if down {
                instance.proof.record_store_failure(now);
            } else {
                instance.proof.record_store_version(now, stored);
            }
        }
        self.heartbeat();
        self.forfeit_outdated();
        self.finish_census();
    }

    fn heartbeat(&mut self) {
        let now = self.now;
        let words: Vec<_> = self
            .instances
            .iter()
            .map(|instance| {
                let word = coord::validation::HeartbeatOutcome::Answered {
                    version: instance.proof.version(),
                    validation_age: instance.proof.validation_age(now),
                    store_down: instance.proof.is_store_down(now),
                };
                if instance.cut { coord::validation::HeartbeatOutcome::Unanswered } else { word }
            })
            .collect();
        for index in 0..INSTANCES {
            let cut = self.instances[index].cut;
            let proof = &mut self.instances[index].proof;
            proof.start_heartbeat_round(now);
            for (peer, word) in words.iter().enumerate().filter(|(peer, _)| *peer != index) {
                let word =
                    if cut { coord::validation::HeartbeatOutcome::Unanswered } else { *word };
                proof.record_peer(peer as u64, now, word);
            }
            proof.end_heartbeat_round(INSTANCES - 1, now);
        }
    }

    fn forfeit_outdated(&mut self) {
        for index in 0..INSTANCES {
            let (stored, now) = (self.stored_epoch, self.now);
            let instance = &mut self.instances[index];
            let uncounted = instance.ledger.is_provisional();
            let behind = (instance.ledger.epoch() < stored || uncounted) && !instance.cut;
            if behind && !instance.proof.is_valid(now) {
                instance.ledger.forfeit_epoch(stored);
                instance.proof.adopt(stored);
                self.resize(index);
            }
        }
    }

    fn admit(&mut self, choices: &mut Choices) {
        let index = choices.below(INSTANCES);
        let now = self.now;
        for _ in 0..choices.below(30) {
            let instance = &mut self.instances[index];
            instance.ledger.set_demand(self.team, 0.5);
            if instance.proof.is_valid(now) && instance.bucket.take(1.0, now).is_ok() {
                self.admitted.push(now);
            }
        }
    }

    fn ask(&mut self, choices: &mut Choices) {
        let (taker, giver) = (choices.below(INSTANCES), choices.below(INSTANCES));
        let linked = !self.instances[taker].cut && !self.instances[giver].cut;
        if taker == giver || !linked {
            return;
        }
        let taker_share = self.instances[taker].ledger.share(self.team);
        let taker_id = self.instances[taker].id;
        let epoch = self.instances[taker].ledger.epoch();
        let (team, now, rule) = (self.team, self.now, self.rule);
        let instance = &mut self.instances[giver];
        if instance.ledger.epoch() != epoch || !instance.proof.is_valid(now) {
            return;
        }
        let own = instance.ledger.share(team);
        let part = instance.ledger.plan_grant(team, taker_share, 0.4);
        let part = part.min(own);
        let wanted = instance.bucket.available(now) * part as f64 / own.max(1) as f64;
        let tokens = instance.bucket.withdraw(wanted, now);
        let totals = instance.ledger.grant(team, taker_id, part, tokens);
        if rule == BrokenRule::GiveWithoutShrinking {
            instance.ledger.issue(team, part);
        }
        let from = instance.id;
        self.resize(giver);
        self.messages.push(Message { from, to: taker, taker: taker_id, epoch, totals });
    }

    /// Delivers, loses or repeats a message, in any order.
    fn deliver(&mut self, choices: &mut Choices) {
        if self.messages.is_empty() {
            return;
        }
        let index = choices.below(self.messages.len());
        let message = match choices.below(3) {
            0 => self.messages[index],
            _ => self.messages.swap_remove(index),
        };
        if choices.below(5) == 0 || self.instances[message.to].cut {
            return;
        }
        let addressed = self.instances[message.to].id == message.taker;
        if !addressed && self.rule != BrokenRule::IgnoreAddressee {
            return;
        }
        let (team, now, rule) = (self.team, self.now, self.rule);
        let instance = &mut self.instances[message.to];
        let grant =
            instance.ledger.receive_grant(team, message.from, message.epoch, message.totals);
        if rule == BrokenRule::TakeTwice && message.epoch == instance.ledger.epoch() {
            instance.ledger.issue(team, message.totals.share);
        }
        self.resize(message.to);
        if let Some(grant) = grant {
            self.instances[message.to].bucket.deposit(grant.tokens, now);
        }
    }

    fn start_census(&mut self, choices: &mut Choices) {
        let issuer = choices.below(INSTANCES);
        let now = self.now;
        let able = !self.instances[issuer].cut
            && self.instances[issuer].proof.is_valid(now)
            && self.instances[issuer].ledger.epoch() == self.stored_epoch;
        if self.store_down || !able || choices.below(3) > 0 {
            return;
        }
        self.stored_epoch += 1;
        let number = self.stored_epoch;
        let mut reports = vec![None; INSTANCES];
        reports[issuer] = self.report(issuer, number);
        self.confirm(issuer, number);
        self.instances[issuer].proof.record_store_version(now, number);
        self.census = Some(Census { number, issuer, started_at: now, reports });
        if self.rule == BrokenRule::IssueAtOnce {
            self.issue_missing();
        }
    }

    fn report(&mut self, index: usize, epoch: u64) -> Option<u64> {
        let team = self.team;
        let instance = &mut self.instances[index];
        let report = instance.ledger.enter_epoch(epoch)?;
        Some(report.iter().find(|(key, _)| *key == team).map_or(0, |(_, share)| *share))
    }

    fn answer_census(&mut self, choices: &mut Choices) {
        let index = choices.below(INSTANCES);
        let Some(number) = self.census.as_ref().map(|census| census.number) else {
            return;
        };
        if self.instances[index].cut {
            return;
        }
        // A question says whether the report before it arrived.
        let counted = self.census.as_ref().and_then(|census| census.reports[index]).is_some();
        let report = self.report(index, number);
        if counted || self.rule == BrokenRule::TrustReport {
            self.confirm(index, number);
        }
        // The question may arrive and its answer be lost.
        if let Some(census) = self.census.as_mut().filter(|_| choices.below(4) > 0) {
            census.reports[index] = census.reports[index].or(report);
        }
    }

    fn confirm(&mut self, index: usize, epoch: u64) {
        let instance = &mut self.instances[index];
        if instance.ledger.mark_epoch_counted(epoch) {
            instance.proof.adopt(epoch);
        }
    }

    fn finish_census(&mut self) {
        let over = self.census.as_ref().is_some_and(|census| {
            let limit = VALIDATION_TTL + Duration::from_millis(250);
            self.now.duration_since(census.started_at) > limit
        });
        if over {
            self.issue_missing();
        }
    }

    fn issue_missing(&mut self) {
        let Some(census) = self.census.take() else {
            return;
        };
        let known: u64 = census.reports.iter().flatten().sum();
        let issuer = &mut self.instances[census.issuer];
        if issuer.ledger.claim_issuance(census.number) {
            issuer.ledger.issue(self.team, FULL_SHARE.saturating_sub(known));
            self.resize(census.issuer);
        }
    }

    /// Shares in use never exceed the whole, and admissions stay within rate and burst.
    fn check(&self) {
        let usable = |instance: &&ModelInstance| instance.proof.is_valid(self.now);
        let sum: u64 = self
            .instances
            .iter()
            .filter(usable)
            .map(|instance| instance.ledger.share(self.team))
            .sum();
        assert!(sum <= FULL_SHARE, "shares in use add up to {sum}");
        let Some(last) = self.admitted.last() else {
            return;
        };
        for (index, first) in self.admitted.iter().enumerate() {
            let window = last.duration_since(*first).as_secs_f64();
            let count = (self.admitted.len() - index) as f64;
            assert!(count <= RATE * window + BURST + 1e-6, "{count} admitted in {window} s");
        }
    }
}

fn run(choices: &mut Choices, rule: BrokenRule) {
    let mut model = Model::new(rule);
    while !choices.is_done() {
        model.step(choices);
    }
}

#[test]
fn never_exceeds_the_whole_nor_rate_and_burst() {
    check_cases(1_500, 600, |choices| run(choices, BrokenRule::None));
}

#[test]
fn finds_issue_before_the_old_epoch_ran_out() {
    expect_failure(5_000, 600, |choices| run(choices, BrokenRule::IssueAtOnce));
}

#[test]
fn finds_totals_taken_twice() {
    expect_failure(2_000, 600, |choices| run(choices, BrokenRule::TakeTwice));
}

#[test]
fn finds_a_giver_that_does_not_shrink() {
    expect_failure(2_000, 600, |choices| run(choices, BrokenRule::GiveWithoutShrinking));
}

#[test]
fn finds_trust_in_a_report_that_was_not_counted() {
    expect_failure(5_000, 600, |choices| run(choices, BrokenRule::TrustReport));
}

#[test]
fn finds_totals_taken_by_a_later_incarnation() {
    expect_failure(5_000, 600, |choices| run(choices, BrokenRule::IgnoreAddressee));
}
