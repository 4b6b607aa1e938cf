//! Holds replicas during a promotion, and resumes replicas that a promotion left held.

use std::cell::RefCell;
use std::time::Duration;

use coord::promotion::{MemberReport, PromotionMachine};
use coord::replica_hold::{HoldState, ReplicaHold};
use telemetry::event::LogEvent;
use telemetry::log_event;
use tokio::time::sleep;

use crate::failover::{HeldLease, join_reports};
use crate::instance::{EngineTypes, GatewayInstance};
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
        service: &str,
        hold: &ReplicaHold,
        candidate: &str,
        members: &[String],
    ) -> bool {
        let statement = ReplicationStatement::Hold { term: hold.term };
        let names = || hold.replicas.iter().map(|index| members[*index].as_str());
        let answers = join_reports(names().map(|name| self.set_replication(name, statement))).await;
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

    /// Resumes replicas.
    pub(crate) async fn resume_replicas(&self, service: &str, names: &[&str]) {
        if names.is_empty() || self.promotion_token().is_none() {
            return;
        }
        let statement = ReplicationStatement::Resume;
        let requests = names.iter().map(|name| self.set_replication(name, statement));
        let answers = join_reports(requests).await;
        log_event!(
            LogEvent::ReplicationChanged,
            "service={service} resumed={names:?} answers={answers:?}"
        );
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
            && machine.borrow().needs_inspection(self.now())
    }

    /// Records which replicas are held, and resumes them if the leader stays.
    ///
    /// `leader` is the index of a leader that is not to be replaced.
    pub(crate) async fn inspect_replicas(
        &self,
        (service, machine, lease): (&str, &RefCell<PromotionMachine>, &RefCell<HeldLease>),
        leader: Option<usize>,
        members: &[String],
        reports: &[Option<MemberReport>],
    ) {
        let is_held = |report: &MemberReport| !report.leads && report.held_term > 0;
        let is_known_free = |(name, report): (&String, &Option<MemberReport>)| {
            self.is_closed(name) || report.is_some_and(|report| !is_held(&report))
        };
        let none_held = members.iter().zip(reports).all(is_known_free);
        machine.borrow_mut().record_inspection(none_held, self.now());
        let leads = |index: &usize| reports[*index].is_some_and(|report| report.leads);
        let Some(leader) = leader.filter(leads) else {
            // Without a leader nothing is received, and a member is to be promoted.
            return;
        };
        let held = members.iter().zip(reports);
        let held = held.filter(|(_, report)| report.is_some_and(|report| is_held(&report)));
        let names: Vec<&str> = held.map(|(name, _)| name.as_str()).collect();
        // An earlier promotion without an answer may still be carried out, for a candidate that
        // would lack commits. One of the present leader changes nothing, but supersedes it.
        if !names.is_empty() && self.request_promotion(service, &members[leader], lease).await {
            self.resume_replicas(service, &names).await;
        }
    }
}
