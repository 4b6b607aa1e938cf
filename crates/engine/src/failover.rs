//! Failover coordinator: the instance that holds the promotion lease replaces failed leaders.

use std::cell::RefCell;
use std::collections::HashMap;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

use coord::membership::InstanceRecord;
use coord::promotion::{
    LEADER_GRACE_PERIOD, MemberObservation, MemberReport, PromotionDecision, PromotionMachine,
};
use coord::rendezvous;
use coord::replica_hold::ReplicaHold;
use telemetry::event::LogEvent;
use telemetry::log_event;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::instance::{EngineTypes, GatewayInstance};
use crate::promotion_lease::LeaseKeeper;

/// Interval between checks of the lease and of the leaders.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between checks of an instance that neither holds the lease nor is next to acquire it.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Delay between probe rounds of one service.
const PROBE_ROUND_DELAY: Duration = Duration::from_millis(120);
/// Bounds the wait for the answer to an indirect probe.
pub(crate) const INDIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(450);
/// Maximum number of instances asked for an indirect probe of a leader.
const MAX_INDIRECT_PROBES: usize = 2;
/// Maximum probes of a promoted member until it confirms that it is the leader; after that, the
/// other instances discover it by their own statements.
const MAX_PROMOTION_PROBES: usize = 12;
/// Interval between probes of a promoted member; a promotion takes a few hundred milliseconds.
const PROMOTION_PROBE_INTERVAL: Duration = Duration::from_millis(100);

impl<E: EngineTypes> GatewayInstance<E> {
    /// Maintains the promotion lease, and replaces failed leaders while this instance holds it.
    pub async fn coordinate_failover(self: Rc<Self>) {
        let keeper = Rc::new(LeaseKeeper::default());
        let mut vacant_since = None;
        let mut machines: HashMap<String, Rc<RefCell<PromotionMachine>>> = HashMap::new();
        let mut is_holder = false;
        loop {
            let is_idle = self.promotion_token().is_none() && self.coordinator_rank() != Some(0);
            sleep(if is_idle { IDLE_CHECK_INTERVAL } else { CHECK_INTERVAL }).await;
            if self.is_leaving() {
                self.release_lease(&keeper).await;
                return;
            }
            if !self.directory.borrow().is_loaded() {
                continue;
            }
            self.maintain_lease(&keeper, &mut vacant_since).await;
            if self.promotion_token().is_none() {
                is_holder = false;
                continue;
            }
            if !std::mem::replace(&mut is_holder, true) {
                machines.values().for_each(|machine| machine.borrow_mut().require_inspection());
            }
            let services: Vec<String> =
                self.directory.borrow().document().service_names().map(str::to_owned).collect();
            for service in services {
                let machine = machines.entry(service.clone()).or_default().clone();
                // Two references are held by the map and this loop; a third one belongs to a task that
                // is already evaluating this service.
                if Rc::strong_count(&machine) > 2
                    || !self.is_leader_suspect(&service, &machine)
                        && !self.needs_inspection(&service, &machine)
                {
                    continue;
                }
                let (instance, keeper) = (self.clone(), keeper.clone());
                tokio::task::spawn_local(async move {
                    instance.evaluate_failover(&service, &machine, &keeper).await;
                    sleep(PROBE_ROUND_DELAY).await;
                });
            }
        }
    }

    /// Returns whether any instance suspects that a service has lost its leader or that the leader
    /// is leaving.
    fn is_leader_suspect(&self, service: &str, machine: &RefCell<PromotionMachine>) -> bool {
        let now = self.now();
        let directory = self.directory.borrow();
        let members = directory.members(service);
        if members.iter().all(|name| directory.zone_phase(name, now).is_evacuated())
            && directory.unlisted_members(service).is_empty()
        {
            // No member may be promoted.
            return false;
        }
        let suspected = match directory.leader(service, now) {
            None => true,
            Some(leader) if directory.zone_phase(&leader, now).is_evacuated() => true,
            Some(leader) => {
                let active = directory.endpoint(&leader).is_some_and(|entry| entry.is_active());
                let failing =
                    |since: Instant| now.saturating_duration_since(since) >= LEADER_GRACE_PERIOD;
                !active
                    || self.pools.unreachable_since(&leader).is_some_and(failing)
                    || self.peers.membership.borrow().is_endpoint_suspect(&leader)
            }
        };
        machine.borrow().needs_probe(suspected, now)
    }

    /// Probes the members of a service and replaces its leader if it is unreachable or leaving.
    async fn evaluate_failover(
        self: &Rc<Self>,
        service: &str,
        machine: &RefCell<PromotionMachine>,
        keeper: &Rc<LeaseKeeper>,
    ) {
        let (leader, mut members, unlisted, synchronous) = {
            let directory = self.directory.borrow();
            let document = directory.document();
            let synchronous =
                document.service(service).map_or(0, |service| service.synchronous_replicas);
            let leader = directory.leader(service, self.now());
            let unlisted = directory.unlisted_members(service);
            (leader, directory.members(service).to_vec(), unlisted, synchronous)
        };
        let probed_indirectly = async {
            match &leader {
                // Nothing is sent to a closed zone, so its leader does not count as lost.
                Some(leader) if self.is_closed(leader) => true,
                Some(leader) => self.probe_indirectly(leader).await,
                None => false,
            }
        };
        let (mut reports, unlisted_reports, probed_indirectly) = tokio::join!(
            self.probe_members(&members),
            self.probe_members(&unlisted),
            probed_indirectly
        );
        // A replica that is not registered but answers may have confirmed commits that no other has.
        for (name, report) in unlisted.into_iter().zip(unlisted_reports) {
            if report.is_some() {
                members.push(name);
                reports.push(report);
            }
        }
        let now = self.now();
        let leading = self.record_reports(&members, &reports);
        let leader = leading.or(leader);
        let leader_index =
            leader.as_ref().and_then(|name| members.iter().position(|other| other == name));
        let leader_answered = leader_index.is_some_and(|index| reports[index].is_some());
        machine.borrow_mut().record_probe_round(leader_answered || probed_indirectly, now);
        let observations = self.observe_members(&members, &reports, now);
        machine.borrow_mut().record_candidates(leader_index, &observations);
        let decision = match machine.borrow().is_promoting(now) {
            true => PromotionDecision::Wait,
            false => machine.borrow().decide(leader_index, &observations, synchronous),
        };
        let decision = self.check_commits((service, machine), decision, &observations).await;
        if synchronous > 0 {
            let is_promoting = matches!(decision, PromotionDecision::Promote(..));
            let leading = leader_index.filter(|_| !is_promoting);
            self.inspect_replicas((service, machine, keeper), leading, &members, &reports).await;
        }
        if let PromotionDecision::Promote(index, cause) = decision {
            let mut held_replicas = Vec::new();
            if synchronous > 0 {
                let Some(hold) = ReplicaHold::new(leader_index, index, &reports, synchronous)
                else {
                    return;
                };
                machine.borrow_mut().require_inspection();
                let subject = (service, machine);
                if !self.hold_replicas(subject, &hold, &members[index], &members).await {
                    return;
                }
                let leading = |index: &usize| reports[*index].is_some_and(|report| report.leads);
                if let Some(leader) = leader_index.filter(leading)
                    && !self.demote_leader((service, &members), leader, index, hold.term).await
                {
                    return;
                }
                let held = |index: &usize| (members[*index].as_str(), hold.term);
                held_replicas = hold.replicas.iter().map(held).collect();
            }
            let (name, was) = (&members[index], leader.as_deref().unwrap_or("none"));
            log_event!(
                LogEvent::PromotionStarted,
                "service={service} endpoint={name} cause={cause:?} was={was} reports={reports:?}"
            );
            machine.borrow_mut().record_promotion(now);
            if !self.request_promotion(service, name, keeper).await {
                if let Some(leader) = leader.as_deref().filter(|_| synchronous > 0) {
                    self.supersede_if_leading((service, machine, keeper), leader).await;
                }
            } else if self.await_leader(name).await {
                self.resume_replicas((service, machine), &held_replicas).await;
            }
        }
    }

    fn observe_members<'a>(
        &self,
        members: &'a [String],
        reports: &[Option<MemberReport>],
        now: Instant,
    ) -> Vec<MemberObservation<'a>> {
        let directory = self.directory.borrow();
        let observation = |(name, report): (&'a String, &Option<MemberReport>)| MemberObservation {
            name,
            is_active: directory.endpoint(name).is_some_and(|entry| entry.is_active()),
            zone: directory.zone_phase(name, now),
            report: *report,
        };
        members.iter().zip(reports).map(observation).collect()
    }

    /// Asks the members that this instance owns connections of whether they lead, while the leader
    /// of their service is in a closed zone.
    ///
    /// The promoter may have died after the promotion while the store is down.
    pub(crate) fn find_new_leaders(self: &Rc<Self>) {
        let members = self.directory.borrow().members_of_closed_leaders(self.now());
        for member in members {
            if self.connection_owners(&member).first().is_none_or(|name| name != self.name()) {
                continue;
            }
            let instance = self.clone();
            tokio::task::spawn_local(async move {
                let reports = [instance.probe_member(&member).await];
                if instance.record_reports(&[member], &reports).is_some() {
                    instance.refresh_status();
                }
            });
        }
    }

    /// Probes a promoted member until it leads, so that other instances learn of it without the
    /// store. Returns whether it leads.
    async fn await_leader(&self, endpoint: &str) -> bool {
        for _ in 0..MAX_PROMOTION_PROBES {
            sleep(PROMOTION_PROBE_INTERVAL).await;
            let members = [endpoint.to_owned()];
            let reports = [self.probe_member(endpoint).await];
            if self.record_reports(&members, &reports).is_some() {
                self.refresh_status();
                return true;
            }
        }
        false
    }

    /// Records the member that reports that it leads in the newest term, and returns its name.
    fn record_reports(
        &self,
        members: &[String],
        reports: &[Option<MemberReport>],
    ) -> Option<String> {
        let leading = members.iter().zip(reports).filter_map(|(name, report)| {
            let report = report.filter(|report| report.leads)?;
            Some((report.term, name))
        });
        let (term, name) = leading.max()?;
        let mut directory = self.directory.borrow_mut();
        let service = directory.known_record(name)?.service.clone();
        directory.record_leader(&service, name, term);
        Some(name.clone())
    }

    async fn probe_members(&self, members: &[String]) -> Vec<Option<MemberReport>> {
        join_all(members.iter().map(|member| self.probe_member(member))).await
    }

    /// Returns whether another instance reaches a member; asks other availability zones first.
    ///
    /// The instances are asked concurrently: asked in turn, they took longer than the result of a
    /// round of probes is valid, so that no leader was ever found unreachable in two rounds.
    async fn probe_indirectly(self: &Rc<Self>, endpoint: &str) -> bool {
        let mut peers: Vec<InstanceRecord> = {
            let membership = self.peers.membership.borrow();
            let records = membership.live_peers().filter_map(|key| membership.record(key));
            records.cloned().collect()
        };
        let zone = &self.settings.record.zone;
        peers.sort_by_cached_key(|peer| {
            (peer.zone == *zone, rendezvous::weight(endpoint, &peer.name))
        });
        let mut probes = JoinSet::new();
        for peer in peers.into_iter().take(MAX_INDIRECT_PROBES) {
            if let Some(link) = self.open_link(&peer.name) {
                let endpoint = endpoint.to_owned();
                probes.spawn_local(
                    async move { link.probe(&endpoint, INDIRECT_PROBE_TIMEOUT).await },
                );
            }
        }
        while let Some(reached) = probes.join_next().await {
            if matches!(reached, Ok(Some(true))) {
                return true;
            }
        }
        false
    }
}

/// Awaits answers concurrently, so that an unreachable member does not delay the others.
pub(crate) async fn join_all<T>(requests: impl Iterator<Item = impl Future<Output = T>>) -> Vec<T> {
    let mut requests: Vec<_> = requests.map(|request| (Box::pin(request), None)).collect();
    let joined = poll_fn(|context| {
        for (request, answer) in &mut requests {
            if answer.is_none()
                && let Poll::Ready(answered) = request.as_mut().poll(context)
            {
                *answer = Some(answered);
            }
        }
        let is_done = requests.iter().all(|(_, answer)| answer.is_some());
        if is_done { Poll::Ready(()) } else { Poll::Pending }
    });
    joined.await;
    requests.into_iter().filter_map(|(_, answer)| answer).collect()
}
