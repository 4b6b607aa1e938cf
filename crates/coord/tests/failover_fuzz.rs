//! Stateful fuzzing of failover: no acknowledged write is lost, and each term has one primary.

mod common;

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use common::{Choices, check_cases};
use coord::failover::{FailoverEffect, FailoverEvent, FailoverMachine};
use state::position::{LogPosition, MemberPosition, MemberRole, MemberStatus};

const MEMBERS: usize = 3;
const INSTANCES: usize = 3;
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Fault that a test injects to prove that the invariants detect it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum InjectedFault {
    /// No fault.
    None,
    /// A primary acknowledges a write that no majority has received.
    AcknowledgeWithoutMajority,
    /// A member accepts a second fence of the same term.
    AcceptFenceTwice,
}

/// Member of the modelled group, with its log of (term, value) entries.
#[derive(Clone, Debug)]
struct ModelMember {
    role: MemberRole,
    term: u64,
    promised: u64,
    followed_primary: Option<usize>,
    log: Vec<(u64, u64)>,
    term_start: u64,
    last_contact_at: Instant,
    /// Cut off from the other members, but not from the instances.
    partitioned: bool,
    /// Answers neither members nor instances.
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
            last_contact_ms: match self.role {
                MemberRole::Primary => 0,
                _ => now.duration_since(self.last_contact_at).as_millis() as u64,
            },
        }
    }
}

/// Message in flight: a command to a member, or its answer. The number is the index of the instance
/// that sent the command.
#[derive(Clone, Debug)]
enum GroupMessage {
    Command(usize, FailoverEffect),
    Answer(usize, FailoverEvent),
}

struct FailoverModel {
    members: Vec<ModelMember>,
    machines: Vec<FailoverMachine>,
    /// Ticks for which each instance remains stalled.
    stalled_ticks: Vec<u32>,
    messages_in_flight: VecDeque<GroupMessage>,
    /// Positions of the acknowledged writes, by value.
    acknowledged: BTreeMap<u64, LogPosition>,
    primary_by_term: BTreeMap<u64, usize>,
    next_value: u64,
    now: Instant,
    fault: InjectedFault,
    promotions: u32,
}

impl FailoverModel {
    fn new(fault: InjectedFault) -> Self {
        let now = Instant::now();
        let member = |index: usize| ModelMember {
            role: if index == 0 { MemberRole::Primary } else { MemberRole::Replica },
            term: 1,
            promised: 1,
            followed_primary: (index != 0).then_some(0),
            log: vec![(1, 0)],
            term_start: 0,
            last_contact_at: now,
            partitioned: false,
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
            stalled_ticks: vec![0; INSTANCES],
            messages_in_flight: VecDeque::new(),
            acknowledged: BTreeMap::new(),
            primary_by_term: BTreeMap::from([(1, 0)]),
            next_value: 1,
            now,
            fault,
            promotions: 0,
        }
    }

    fn connected(&self, from: usize, to: usize) -> bool {
        let is_reachable =
            |index: usize| !self.members[index].partitioned && !self.members[index].paused;
        is_reachable(from) && is_reachable(to)
    }

    /// Replicates the log of a primary to a replica that follows it.
    fn replicate(&mut self, from: usize, to: usize) {
        let primary = self.members[from].clone();
        let replica = &self.members[to];
        let is_following = replica.role == MemberRole::Replica
            && replica.promised == primary.term
            && replica.followed_primary == Some(from);
        if primary.role != MemberRole::Primary || !self.connected(from, to) || !is_following {
            return;
        }
        let replica = &mut self.members[to];
        replica.last_contact_at = self.now;
        replica.log = primary.log;
        replica.term = primary.term;
        replica.term_start = primary.term_start;
    }

    /// Writes to a member that considers itself primary, and acknowledges the write once a majority
    /// has it.
    fn write(&mut self, index: usize) {
        let member = &self.members[index];
        if member.role != MemberRole::Primary || member.paused {
            return;
        }
        let (term, value) = (member.term, self.next_value);
        self.next_value += 1;
        self.members[index].log.push((term, value));
        for replica in 0..MEMBERS {
            self.replicate(index, replica);
        }
        let log = &self.members[index].log;
        let is_replicated = |member: &&ModelMember| member.log == *log && member.term == term;
        let copies = self.members.iter().filter(is_replicated).count();
        if copies > MEMBERS / 2 || self.fault == InjectedFault::AcknowledgeWithoutMajority {
            self.acknowledged.insert(value, LogPosition::new(term, log.len() as u64));
        }
    }

    fn run_command(&mut self, member: usize, effect: &FailoverEffect) -> Option<MemberStatus> {
        let now = self.now;
        if self.members[member].paused {
            return None;
        }
        let fault = self.fault;
        let state = &mut self.members[member];
        match effect {
            FailoverEffect::Fence(_, term) => {
                let accepted = *term > state.promised
                    || (fault == InjectedFault::AcceptFenceTwice && *term == state.promised);
                if !accepted {
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
                let previous = self.primary_by_term.insert(*term, member);
                assert!(previous.is_none_or(|earlier| earlier == member), "one primary per term");
                self.check_acknowledged_writes(member);
            }
            FailoverEffect::Follow { term, primary, .. } => {
                let is_newer = *term > state.promised;
                let is_current = *term == state.promised && state.role != MemberRole::Primary;
                if !is_newer && !is_current {
                    return None;
                }
                state.promised = *term;
                state.role = MemberRole::Replica;
                state.followed_primary = Some(*primary);
            }
            _ => return None,
        }
        Some(self.members[member].status(now))
    }

    /// Checks that the log of a primary contains every acknowledged write.
    fn check_acknowledged_writes(&self, member: usize) {
        let log = &self.members[member].log;
        for (value, position) in &self.acknowledged {
            let entry = log.get(position.index as usize - 1);
            assert_eq!(entry, Some(&(position.term, *value)), "acknowledged write {value}");
        }
    }

    fn deliver(&mut self, message: GroupMessage) {
        match message {
            GroupMessage::Command(instance, effect) => {
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
                    self.messages_in_flight.push_back(GroupMessage::Answer(instance, event));
                }
            }
            GroupMessage::Answer(instance, event) => self.handle_event(instance, event),
        }
    }

    fn handle_event(&mut self, instance: usize, event: FailoverEvent) {
        let effects = self.machines[instance].handle(event, self.now);
        let commands = effects.into_iter().map(|effect| GroupMessage::Command(instance, effect));
        self.messages_in_flight.extend(commands);
    }

    fn tick(&mut self) {
        self.now += TICK_INTERVAL;
        for from in 0..MEMBERS {
            for to in 0..MEMBERS {
                self.replicate(from, to);
            }
        }
        for instance in 0..INSTANCES {
            if self.stalled_ticks[instance] > 0 {
                self.stalled_ticks[instance] -= 1;
                continue;
            }
            for member in 0..MEMBERS {
                let event = if self.members[member].paused {
                    FailoverEvent::Unreachable(member)
                } else {
                    FailoverEvent::Status(member, self.members[member].status(self.now))
                };
                self.handle_event(instance, event);
            }
            self.handle_event(instance, FailoverEvent::Tick);
        }
    }

    fn step(&mut self, choices: &mut Choices) {
        match choices.below(20) {
            0 => {
                let member = choices.below(MEMBERS);
                self.members[member].partitioned ^= true;
            }
            1 => {
                let member = choices.below(MEMBERS);
                self.members[member].paused ^= true;
            }
            2 => {
                let instance = choices.below(INSTANCES);
                self.stalled_ticks[instance] = choices.below(60) as u32;
            }
            3..=6 => {
                let member = choices.below(MEMBERS);
                self.write(member);
            }
            7..=12 => self.deliver_messages(choices),
            _ => self.tick(),
        }
        assert!(self.messages_in_flight.len() < 100_000, "messages accumulate");
    }

    /// Delivers, loses, duplicates or reorders messages.
    fn deliver_messages(&mut self, choices: &mut Choices) {
        for _ in 0..choices.below(12) {
            if self.messages_in_flight.is_empty() {
                return;
            }
            let index = if choices.below(4) == 0 {
                choices.below(self.messages_in_flight.len())
            } else {
                0
            };
            let Some(message) = self.messages_in_flight.remove(index) else {
                return;
            };
            match choices.below(12) {
                0 => {}
                1 => {
                    self.messages_in_flight.push_back(message.clone());
                    self.deliver(message);
                }
                _ => self.deliver(message),
            }
        }
    }

    /// Repairs every fault; the group must accept writes again within 10 s.
    fn recover(&mut self) {
        for member in &mut self.members {
            member.partitioned = false;
            member.paused = false;
        }
        self.stalled_ticks.fill(0);
        for _ in 0..400 {
            self.tick();
            while let Some(message) = self.messages_in_flight.pop_front() {
                self.deliver(message);
            }
        }
        let acknowledged_before = self.acknowledged.len();
        for member in 0..MEMBERS {
            self.write(member);
        }
        assert!(
            self.acknowledged.len() > acknowledged_before,
            "the group accepts writes after 10 s"
        );
    }
}

fn run(choices: &mut Choices, fault: InjectedFault) {
    let mut model = FailoverModel::new(fault);
    while !choices.is_done() {
        model.step(choices);
    }
    model.recover();
    for member in 0..MEMBERS {
        if model.members[member].role == MemberRole::Primary {
            let highest_term = model.members.iter().map(|other| other.promised).max();
            if highest_term == Some(model.members[member].term) {
                model.check_acknowledged_writes(member);
            }
        }
    }
}

#[test]
fn keeps_acknowledged_writes_and_one_primary_per_term() {
    check_cases(400, 1_500, |choices| run(choices, InjectedFault::None));
}

#[test]
fn detects_acknowledgement_without_a_majority() {
    common::expect_failure(2_000, 1_500, |choices| {
        run(choices, InjectedFault::AcknowledgeWithoutMajority)
    });
}

#[test]
fn detects_a_fence_accepted_twice() {
    common::expect_failure(2_000, 1_500, |choices| run(choices, InjectedFault::AcceptFenceTwice));
}
