//! Holds replicas during a promotion, and resumes replicas that a promotion left held.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use coord::promotion::{MemberReport, PromotionMachine};
use coord::replica_hold::{HoldAnswer, HoldState, ReplicaHold};
use telemetry::event::LogEvent;
use telemetry::log_event;
use tokio::time::sleep;

use crate::failover::join_all;
use crate::instance::{EngineTypes, GatewayInstance};
use crate::promotion_lease::LeaseKeeper;
use crate::replication::ReplicationStatement;

/// Maximum probes of a candidate until it has received as much as the held replicas.
const MAX_CANDIDATE_PROBES: usize = 10;
/// Interval between these probes.
const CANDIDATE_PROBE_INTERVAL: Duration = Duration::from_millis(20);

impl<E: EngineTypes> GatewayInstance<E> {
    /// Holds replicas for a promotion, and returns whether the candidate has and keeps every
    /// acknowledged commit. The replicas stay held if it has not.
    pub(crate) async fn hold_replicas(
        &self,
        (service, machine): (&str, &RefCell<PromotionMachine>),
        hold: &ReplicaHold,
        candidate: &str,
        members: &[String],
    ) -> bool {
        let statement = ReplicationStatement::Hold { term: hold.term };
        let names = || hold.replicas.iter().map(|index| members[*index].as_str());
        let answers = join_all(names().map(|name| self.set_replication(name, statement))).await;
        let refused = names().zip(&answers).filter(|(_, answer)| **answer == HoldAnswer::Refused);
        let refused: Vec<&str> = refused.map(|(name, _)| name).collect();
        if !refused.is_empty() {
            log_event!(
                LogEvent::ReplicationRefused,
                "service={service} step=hold replicas={refused:?} term={} candidate={candidate}",
                hold.term
            );
            machine.borrow_mut().record_refused_hold(self.now());
            return false;
        }
        let answers: Vec<_> = answers.into_iter().map(HoldAnswer::report).collect();
        let mut state = HoldState::Incomplete;
        for _ in 0..MAX_CANDIDATE_PROBES {
            // The positions of the held replicas no longer change.
            state = hold.state(&answers, self.probe_member(candidate).await);
            if state != HoldState::Behind {
                break;
            }
            sleep(CANDIDATE_PROBE_INTERVAL).await;
        }
        log_event!(
            LogEvent::ReplicationChanged,
            "service={service} held={:?} term={} candidate={candidate} state={state:?}",
            names().collect::<Vec<_>>(),
            hold.term
        );
        state == HoldState::Complete
    }

    /// Demotes a leader that is to be replaced, so that it acknowledges no commit until the candidate
    /// leads: a held replica that restarts would confirm commits that the candidate lacks.
    ///
    /// Returns whether no member has received more than the candidate. A leader that does not answer,
    /// or refuses, goes on as the leader.
    pub(crate) async fn demote_leader(
        &self,
        (service, members): (&str, &[String]),
        leader: usize,
        candidate: usize,
        term: u64,
    ) -> bool {
        let statement = ReplicationStatement::Demote { term };
        let answer = self.set_replication(&members[leader], statement).await;
        log_event!(
            LogEvent::ReplicationChanged,
            "service={service} demoted={} term={term} answer={answer:?}",
            members[leader]
        );
        if answer.report().is_none_or(|report| report.leads) {
            return true;
        }
        let reports = join_all(members.iter().map(|member| self.probe_member(member))).await;
        let received = |index: usize| reports[index].map(|report| report.received);
        let others = (0..members.len()).filter(|index| *index != leader);
        received(candidate).is_some() && others.map(received).max() <= Some(received(candidate))
    }

    /// Resumes replicas, given with the terms for which they are held.
    pub(crate) async fn resume_replicas(
        &self,
        (service, machine): (&str, &RefCell<PromotionMachine>),
        held: &[(&str, u64)],
    ) {
        if held.is_empty() || self.promotion_token().is_none() {
            return;
        }
        let statement = ReplicationStatement::Resume;
        let requests = held.iter().map(|(name, _)| self.set_replication(name, statement));
        let answers = join_all(requests).await;
        log_event!(
            LogEvent::ReplicationChanged,
            "service={service} resumed={held:?} answers={answers:?}"
        );
        for ((name, held_term), answer) in held.iter().zip(answers) {
            if machine.borrow_mut().record_resume(name, *held_term, answer) {
                log_event!(
                    LogEvent::ReplicationRefused,
                    "service={service} step=resume replicas={name} term={held_term} answer={answer:?}"
                );
            }
        }
    }

    /// Returns whether replicas of a service may still be held.
    pub(crate) fn needs_inspection(
        &self,
        service: &str,
        machine: &RefCell<PromotionMachine>,
    ) -> bool {
        let directory = self.directory.borrow();
        let document = directory.document();
        document.service(service).is_some_and(|service| service.synchronous_replicas > 0)
            && machine.borrow().needs_inspection(self.has_open_order(service), self.now())
    }

    /// Records which replicas are held, and resumes them if the leader stays.
    ///
    /// `leader` is the index of a leader that is not to be replaced.
    pub(crate) async fn inspect_replicas(
        self: &Rc<Self>,
        (service, machine, keeper): (&str, &RefCell<PromotionMachine>, &Rc<LeaseKeeper>),
        leader: Option<usize>,
        members: &[String],
        reports: &[Option<MemberReport>],
    ) {
        let observed = || members.iter().zip(reports);
        let mut held: Vec<(&str, u64)> = {
            let machine = machine.borrow();
            let held = observed().filter_map(|(name, report)| Some((name.as_str(), (*report)?)));
            let held = held.filter(|(name, report)| machine.is_resumable(name, report));
            held.map(|(name, report)| (name, report.held_term)).collect()
        };
        let is_known =
            |(name, report): (&String, &Option<_>)| self.is_closed(name) || report.is_some();
        let none_held = held.is_empty() && observed().all(is_known);
        machine.borrow_mut().record_inspection(none_held, self.now());
        let leads = |index: &usize| reports[*index].is_some_and(|report| report.leads);
        let Some(leader) = leader.filter(leads) else {
            // Without a leader nothing is received, and a member is to be promoted.
            return;
        };
        // An earlier promotion without an answer may still be carried out, for a candidate that
        // would lack commits. One of the present leader changes nothing, but supersedes it. That the
        // replicas held for it receive again says nothing about the order: they may have restarted.
        let has_open_order = self.has_open_order(service);
        if has_open_order || !held.is_empty() && machine.borrow().must_supersede() {
            held.extend(self.restore_hold(service, leader, members, reports).await);
            if !self.request_promotion(service, &members[leader], keeper).await {
                return;
            }
            machine.borrow_mut().record_superseded();
        }
        self.resume_replicas((service, machine), &held).await;
    }

    /// Holds replicas again that no longer are, until an open order is superseded, and returns them.
    ///
    /// A held replica that has restarted confirms commits that the member named by the order lacks.
    async fn restore_hold<'a>(
        &self,
        service: &str,
        leader: usize,
        members: &'a [String],
        reports: &[Option<MemberReport>],
    ) -> Vec<(&'a str, u64)> {
        let (candidate, synchronous) = {
            let (orders, directory) = (self.promotion_orders.borrow(), self.directory.borrow());
            let named = orders.open(service).map(|order| order.endpoint.clone());
            let candidate = members.iter().position(|name| Some(name) == named.as_ref());
            let document = directory.document();
            let service = document.service(service);
            (candidate, service.map_or(0, |service| service.synchronous_replicas))
        };
        // A candidate that does not receive could not confirm commits alone.
        let receives = |index: &usize| reports[*index].is_some_and(|report| report.held_term == 0);
        let Some(candidate) = candidate.filter(|index| *index != leader && receives(index)) else {
            return Vec::new();
        };
        let Some(hold) = ReplicaHold::new(Some(leader), candidate, reports, synchronous) else {
            return Vec::new();
        };
        let free: Vec<&str> = {
            let free = hold.replicas.iter().filter(|index| receives(index));
            free.map(|index| members[*index].as_str()).collect()
        };
        if free.is_empty() {
            return Vec::new();
        }
        let statement = ReplicationStatement::Hold { term: hold.term };
        let answers = join_all(free.iter().map(|name| self.set_replication(name, statement))).await;
        log_event!(
            LogEvent::ReplicationChanged,
            "service={service} held_again={free:?} term={} answers={answers:?}",
            hold.term
        );
        free.into_iter().map(|name| (name, hold.term)).collect()
    }
}
