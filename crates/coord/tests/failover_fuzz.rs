//! Stateful fuzzing of failover against an oracle of what was acknowledged.

mod common;

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use common::{Choices, check_cases};
use coord::failover::{FailoverEffect, FailoverEvent, FailoverMachine};
use state::position::{LogPosition, MemberPosition, MemberRole, MemberStatus};

const MEMBERS: usize = 3;
const INSTANCES: usize = 3;
const STEP: Duration = Duration::from_millis(25);

/// Rule of the group that a mutation breaks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BrokenRule {
    /// Every rule holds.
    None,
    /// A commit is acknowledged without a majority.
    AcknowledgeAlone,
    /// A member accepts fences of terms it has accepted before.
    FenceTwice,
}

/// Member of the modelled group: a log of terms and the rules of its operations.
#[derive(Clone, Debug)]
struct ModelMember {
    role: MemberRole,
    term: u64,
    promised: u64,
    follows: Option<usize>,
    log: Vec<(u64, u64)>,
    term_start: u64,
    heard: Instant,
    cut: bool,
    paused: bool,
}

impl ModelMember {
    fn status(&self, now: Instant) -> MemberStatus {
        let applied = self.log.len() as u64;
        MemberStatus {
            position: MemberPosition {
                role: self.role,
                term: self.term,
                applied,
                term_start: self.term_start,
            },
            promised: self.promised,
            last_term: self.log.last().map_or(0, |(term, _)| *term),
            received: applied,
            heard_ms: match self.role {
                MemberRole::Primary => 0,
                _ => now.duration_since(self.heard).as_millis() as u64,
            },
        }
    }
}

/// Message on its way to a member or back to an instance.
#[derive(Clone, Debug)]
enum Delivery {
    Command(usize, FailoverEffect),
    Answer(usize, FailoverEvent),
}

struct Model {
    members: Vec<ModelMember>,
    machines: Vec<FailoverMachine>,
    frozen: Vec<u32>,
    deliveries: VecDeque<Delivery>,
    acknowledged: BTreeMap<u64, LogPosition>,
    primaries: BTreeMap<u64, usize>,
    next_value: u64,
    now: Instant,
    rule: BrokenRule,
    promotions: u32,
}

impl Model {
    fn new(rule: BrokenRule) -> Self {
        let now = Instant::now();
        let member = |index: usize| ModelMember {
            role: if index == 0 { MemberRole::Primary } else { MemberRole::Replica },
            term: 1,
            promised: 1,
            follows: (index != 0).then_some(0),
            log: vec![(1, 0)],
            term_start: 0,
            heard: now,
            cut: false,
            paused: false,
        };
        let machine = |rank: usize| {
            let mut machine = FailoverMachine::new(MEMBERS);
            machine.set_rank(rank);
            machine
        };
        Self {
            members: (0..MEMBERS).map(member).collect(),
            machines: (0..INSTANCES).map(machine).collect(),
            frozen: vec![0; INSTANCES],
            deliveries: VecDeque::new(),
            acknowledged: BTreeMap::new(),
            primaries: BTreeMap::from([(1, 0)]),
            next_value: 1,
            now,
            rule,
            promotions: 0,
        }
    }

    fn linked(&self, one: usize, other: usize) -> bool {
        let up = |index: usize| !self.members[index].cut && !self.members[index].paused;
        up(one) && up(other)
    }

    /// Replicates the log of a primary to a replica that follows it.
    fn replicate(&mut self, from: usize, to: usize) {
        let primary = self.members[from].clone();
        let replica = &self.members[to];
        let follows = replica.role == MemberRole::Replica
            && replica.promised == primary.term
            && replica.follows == Some(from);
        if primary.role != MemberRole::Primary || !self.linked(from, to) || !follows {
            return;
        }
        let replica = &mut self.members[to];
        replica.heard = self.now;
        replica.log = primary.log;
        replica.term = primary.term;
        replica.term_start = primary.term_start;
    }

    /// Writes on whatever calls itself primary, and acknowledges what a majority holds.
    fn write(&mut self, index: usize) {
        let member = &self.members[index];
        if member.role != MemberRole::Primary || member.paused {
            return;
        }
        let (term, value) = (member.term, self.next_value);
        self.next_value += 1;
        self.members[index].log.push((term, value));
        for other in 0..MEMBERS {
            self.replicate(index, other);
        }
        let log = &self.members[index].log;
        let holds = |member: &&ModelMember| member.log == *log && member.term == term;
        let holders = self.members.iter().filter(holds).count();
        if holders > MEMBERS / 2 || self.rule == BrokenRule::AcknowledgeAlone {
            self.acknowledged.insert(value, LogPosition::new(term, log.len() as u64));
        }
    }

    fn run_command(&mut self, member: usize, effect: &FailoverEffect) -> Option<MemberStatus> {
        let now = self.now;
        if self.members[member].paused {
            return None;
        }
        let rule = self.rule;
        let state = &mut self.members[member];
        match effect {
            FailoverEffect::Fence(_, term) => {
                let fresh = *term > state.promised
                    || (rule == BrokenRule::FenceTwice && *term == state.promised);
                if !fresh {
                    return None;
                }
                state.promised = *term;
                state.role = MemberRole::Fenced;
            }
            FailoverEffect::Promote(_, term) => {
                if state.role != MemberRole::Fenced || state.promised != *term {
                    return None;
                }
                state.role = MemberRole::Primary;
                state.term = *term;
                state.term_start = state.log.len() as u64;
                state.log.push((*term, 0));
                self.promotions += 1;
                let previous = self.primaries.insert(*term, member);
                assert!(previous.is_none_or(|other| other == member), "one primary for each term");
                self.check_log(member);
            }
            FailoverEffect::Follow { term, primary, .. } => {
                let newer = *term > state.promised;
                let same = *term == state.promised && state.role != MemberRole::Primary;
                if !newer && !same {
                    return None;
                }
                state.promised = *term;
                state.role = MemberRole::Replica;
                state.follows = Some(*primary);
            }
            _ => return None,
        }
        Some(self.members[member].status(now))
    }

    /// A new primary holds every acknowledged write.
    fn check_log(&self, member: usize) {
        let log = &self.members[member].log;
        for (value, position) in &self.acknowledged {
            let held = log.get(position.index as usize - 1);
            assert_eq!(held, Some(&(position.term, *value)), "acknowledged write {value}");
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Command(instance, effect) => {
                let (member, answer) = match &effect {
                    FailoverEffect::Fence(member, term) => {
                        let status = self.run_command(*member, &effect);
                        (*member, Some(FailoverEvent::FenceAnswered(*member, *term, status)))
                    }
                    FailoverEffect::Promote(member, term) => {
                        let status = self.run_command(*member, &effect);
                        (*member, Some(FailoverEvent::PromotionAnswered(*member, *term, status)))
                    }
                    FailoverEffect::Follow { member, .. } => {
                        self.run_command(*member, &effect);
                        (*member, None)
                    }
                    _ => (0, None),
                };
                let _ = member;
                if let Some(event) = answer {
                    self.deliveries.push_back(Delivery::Answer(instance, event));
                }
            }
            Delivery::Answer(instance, event) => self.feed(instance, event),
        }
    }

    fn feed(&mut self, instance: usize, event: FailoverEvent) {
        let effects = self.machines[instance].handle(event, self.now);
        let commands = effects.into_iter().map(|effect| Delivery::Command(instance, effect));
        self.deliveries.extend(commands);
    }

    fn tick(&mut self) {
        self.now += STEP;
        for from in 0..MEMBERS {
            for to in 0..MEMBERS {
                self.replicate(from, to);
            }
        }
        for instance in 0..INSTANCES {
            if self.frozen[instance] > 0 {
                self.frozen[instance] -= 1;
                continue;
            }
            for member in 0..MEMBERS {
                let event = if self.members[member].paused {
                    FailoverEvent::Unreachable(member)
                } else {
                    FailoverEvent::Status(member, self.members[member].status(self.now))
                };
                self.feed(instance, event);
            }
            self.feed(instance, FailoverEvent::Tick);
        }
    }

    fn step(&mut self, choices: &mut Choices) {
        match choices.below(20) {
            0 => {
                let member = choices.below(MEMBERS);
                self.members[member].cut ^= true;
            }
            1 => {
                let member = choices.below(MEMBERS);
                self.members[member].paused ^= true;
            }
            2 => {
                let instance = choices.below(INSTANCES);
                self.frozen[instance] = choices.below(60) as u32;
            }
            3..=6 => {
                let member = choices.below(MEMBERS);
                self.write(member);
            }
            7..=12 => self.deliver_some(choices),
            _ => self.tick(),
        }
        assert!(self.deliveries.len() < 100_000, "commands pile up");
    }

    /// Delivers, loses, repeats or reorders a message.
    fn deliver_some(&mut self, choices: &mut Choices) {
        for _ in 0..choices.below(12) {
            if self.deliveries.is_empty() {
                return;
            }
            let index =
                if choices.below(4) == 0 { choices.below(self.deliveries.len()) } else { 0 };
            let Some(delivery) = self.deliveries.remove(index) else {
                return;
            };
            match choices.below(12) {
                0 => {}
                1 => {
                    self.deliveries.push_back(delivery.clone());
                    self.deliver(delivery);
                }
                _ => self.deliver(delivery),
            }
        }
    }

    /// Mends everything; the group must serve again within a bounded time.
    fn recover(&mut self) {
        for member in &mut self.members {
            member.cut = false;
            member.paused = false;
        }
        self.frozen.fill(0);
        for _ in 0..400 {
            self.tick();
            while let Some(delivery) = self.deliveries.pop_front() {
                self.deliver(delivery);
            }
        }
        let before = self.acknowledged.len();
        for member in 0..MEMBERS {
            self.write(member);
        }
        assert!(self.acknowledged.len() > before, "the group serves again after 10 s");
    }
}

fn run(choices: &mut Choices, rule: BrokenRule) {
    let mut model = Model::new(rule);
    while !choices.is_done() {
        model.step(choices);
    }
    model.recover();
    for member in 0..MEMBERS {
        if model.members[member].role == MemberRole::Primary {
            let highest = model.members.iter().map(|other| other.promised).max();
            if highest == Some(model.members[member].term) {
                model.check_log(member);
            }
        }
    }
}

#[test]
fn keeps_acknowledged_writes_and_one_primary_for_each_term() {
    check_cases(400, 1_500, |choices| run(choices, BrokenRule::None));
}

#[test]
fn finds_acknowledgement_without_a_majority() {
    common::expect_failure(2_000, 1_500, |choices| run(choices, BrokenRule::AcknowledgeAlone));
}

#[test]
fn finds_a_fence_accepted_twice() {
    common::expect_failure(2_000, 1_500, |choices| run(choices, BrokenRule::FenceTwice));
}
