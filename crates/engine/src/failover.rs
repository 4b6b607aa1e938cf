//! Failover coordinator: the instance that holds the promotion lease replaces failed leaders.

use std::cell::RefCell;
use std::collections::HashMap;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

use coord::lease_claim::{ClaimDecision, LeaseClaim, LeaseRow, lowest_token};
use coord::membership::{InstanceRecord, MemberStatus};
use coord::promotion::{
    LEADER_GRACE_PERIOD, MemberObservation, MemberReport, PromotionDecision, PromotionMachine,
};
use coord::rendezvous;
use coord::replica_hold::ReplicaHold;
use metrics::counter;
use state::store_version::StoreVersion;
use telemetry::event::LogEvent;
use telemetry::{log_event, meter};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::instance::{EngineTypes, GatewayInstance};
use crate::interface::{LeaseWrite, PlatformApi, PromotionAnswer};
use crate::record::PromotionLease;

/// Interval between checks of the lease and of the leaders.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between checks of an instance that neither holds the lease nor is next to acquire it.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Validity of the promotion lease; bounds how long a crashed holder blocks failover.
const LEASE_TTL: Duration = Duration::from_secs(3);
/// Time before the expiry of the lease at which it is renewed.
const RENEWAL_MARGIN: Duration = Duration::from_millis(1_800);
/// Delay before a failed read or write of the lease is retried.
const LEASE_RETRY_BACKOFF: Duration = Duration::from_millis(400);
/// Time without a known lease holder after which the lease is read and acquired.
const VACANCY_GRACE_PERIOD: Duration = Duration::from_millis(500);
/// Further time for each instance before this one in the order of election. The first one may not
/// reach the store, and would otherwise leave the lease vacant.
const SUCCESSOR_DELAY: Duration = Duration::from_secs(1);
/// Delay between probe rounds of one service.
const PROBE_ROUND_DELAY: Duration = Duration::from_millis(120);
/// Bounds the wait for the answer to an indirect probe.
const INDIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(450);
/// Maximum number of instances asked for an indirect probe of a leader.
const MAX_INDIRECT_PROBES: usize = 2;
/// Maximum number of instances asked for the position of an acknowledged commit.
const MAX_ASKED_PEERS: usize = 16;
/// Maximum probes of a promoted member until it confirms that it is the leader; after that, the
/// other instances discover it by their own statements.
const MAX_PROMOTION_PROBES: usize = 12;
/// Interval between probes of a promoted member; a promotion takes a few hundred milliseconds.
const PROMOTION_PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Rendezvous hash key that elects the instance which acquires the lease.
const COORDINATOR_ELECTION_KEY: &str = "promotion";

/// Promotion lease as last written by this instance.
#[derive(Debug, Default)]
pub(crate) struct HeldLease {
    lease: PromotionLease,
    claim: LeaseClaim,
    version: StoreVersion,
    /// Local time until which the lease counts as valid, from the time its write was sent.
    valid_until: Option<Instant>,
    /// The token was used by a promotion that may still take effect, and must be incremented before
    /// the next one.
    token_used: bool,
    /// Time of the last read or write that has not succeeded; in the future if the next attempt is
    /// postponed until the lease of another instance expires.
    attempted_at: Option<Instant>,
}

impl<E: EngineTypes> GatewayInstance<E> {
    /// Maintains the promotion lease, and replaces failed leaders while this instance holds it.
    pub async fn coordinate_failover(self: Rc<Self>) {
        let held = Rc::new(RefCell::new(HeldLease::default()));
        let mut vacant_since = None;
        let mut machines: HashMap<String, Rc<RefCell<PromotionMachine>>> = HashMap::new();
        let mut is_holder = false;
        loop {
            let is_idle = self.promotion_token().is_none() && self.coordinator_rank() != Some(0);
            sleep(if is_idle { IDLE_CHECK_INTERVAL } else { CHECK_INTERVAL }).await;
            if self.is_leaving() {
                self.release_lease(&held).await;
                return;
            }
            if !self.directory.borrow().is_loaded() {
                continue;
            }
            self.maintain_lease(&held, &mut vacant_since).await;
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
                let (instance, held) = (self.clone(), held.clone());
                tokio::task::spawn_local(async move {
                    instance.evaluate_failover(&service, &machine, &held).await;
                    sleep(PROBE_ROUND_DELAY).await;
                });
            }
        }
    }

    /// Acquires the lease when no instance holds it, and renews it before it expires.
    async fn maintain_lease(&self, held: &RefCell<HeldLease>, vacant_since: &mut Option<Instant>) {
        let now = self.now();
        let (valid_until, attempted_at) = {
            let held = held.borrow();
            (held.valid_until, held.attempted_at)
        };
        let backing_off =
            attempted_at.is_some_and(|at| now.saturating_duration_since(at) < LEASE_RETRY_BACKOFF);
        if backing_off {
            return;
        }
        let own_token = held.borrow().lease.token;
        let is_held =
            |status: &MemberStatus| status.promotion_token.is_some_and(|token| token > own_token);
        let held_by_peer = self.peers.membership.borrow().any_live_peer(is_held);
        if held_by_peer {
            held.borrow_mut().claim.record_holder();
        }
        if self.promotion_token().is_some() {
            let expires_at = valid_until.unwrap_or(now);
            if held_by_peer {
                // The store came back older, and gave the version of the row out again.
                self.drop_lease(held, "another instance holds a newer lease");
            } else if self.has_lost_history(held) {
                // Another row may have the version of this lease now.
                self.drop_lease(held, "the store came back older");
            } else if now + RENEWAL_MARGIN >= expires_at {
                self.renew_lease(held).await;
            }
            return;
        }
        let may_acquire = !held_by_peer && self.knows_holders();
        let Some(rank) = self.coordinator_rank().filter(|_| may_acquire) else {
            *vacant_since = None;
            return;
        };
        let since = *vacant_since.get_or_insert(now);
        if now.saturating_duration_since(since) >= VACANCY_GRACE_PERIOD + SUCCESSOR_DELAY * rank {
            self.acquire_lease(held).await;
        }
    }

    /// Returns whether the store has come back older since the lease was written.
    fn has_lost_history(&self, held: &RefCell<HeldLease>) -> bool {
        let history = held.borrow().version.history;
        self.store_history.get().is_some_and(|newest| newest > history)
    }

    /// Returns whether this instance has had the chance to hear from the others who holds the lease.
    fn knows_holders(&self) -> bool {
        let is_alone = || self.peers.membership.borrow().known_count() == 1;
        self.peers.is_discovered.get()
            && (is_alone() || self.peers.live_count() > 1 || !self.is_starting())
    }

    /// Returns the place of this instance among those that acquire a vacant lease.
    fn coordinator_rank(&self) -> Option<u32> {
        let owners = self.peers.fleet_owners(COORDINATOR_ELECTION_KEY);
        let index = owners.iter().position(|name| name == self.name())?;
        u32::try_from(index).ok()
    }

    async fn acquire_lease(&self, held: &RefCell<HeldLease>) {
        held.borrow_mut().attempted_at = Some(self.now());
        let snapshot = match self.platform.read_lease().await {
            Ok(snapshot) => snapshot,
            Err(error) => {
                log_event!(LogEvent::PromotionLeaseFailed, "step=read cause=\"{error}\"");
                return;
            }
        };
        let mut current = snapshot.lease.unwrap_or_default();
        for (service, position) in &current.acknowledged {
            self.directory.borrow_mut().record_acknowledged(service, *position);
        }
        if let Some(row) = &snapshot.refused {
            self.refused_rows.borrow_mut().record("lease", row);
            // The last token is not known, but is lower than this one.
            current.token = lowest_token(snapshot.version.history, snapshot.now_ms);
        }
        // Both times are by the store's clock, so the difference needs no synchronized clocks.
        let row = LeaseRow {
            token: current.token,
            is_own: current.holder == self.name(),
            remaining: Duration::from_millis(current.ends_ms.saturating_sub(snapshot.now_ms)),
            history: snapshot.version.history,
            now_ms: snapshot.now_ms,
        };
        let decision = {
            let claim = &mut held.borrow_mut().claim;
            claim.record_token(self.peers.membership.borrow().newest_promotion_token());
            claim.decide(row, LEASE_TTL, self.now())
        };
        match decision {
            ClaimDecision::Acquire(token) => {
                self.write_lease(held, snapshot.version, snapshot.now_ms, token).await;
            }
            ClaimDecision::Postpone(remaining) => {
                held.borrow_mut().attempted_at =
                    Some(self.now() + remaining.saturating_sub(LEASE_RETRY_BACKOFF));
            }
        }
    }

    async fn renew_lease(&self, held: &RefCell<HeldLease>) {
        let (version, token, ends_ms, valid_until) = {
            let held = held.borrow();
            (held.version, held.lease.token, held.lease.ends_ms, held.valid_until)
        };
        let now = self.now();
        // Lower bound of the store's current time: its clock was at `ends_ms` minus the TTL or
        // later when the last write was sent.
        let remaining =
            valid_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
        let overdue =
            valid_until.map_or(Duration::ZERO, |until| now.saturating_duration_since(until));
        let store_now_ms = (ends_ms + millis(overdue)).saturating_sub(millis(remaining));
        self.write_lease(held, version, store_now_ms, token).await;
    }

    async fn write_lease(
        &self,
        held: &RefCell<HeldLease>,
        version: StoreVersion,
        store_now_ms: u64,
        token: u64,
    ) {
        let sent_at = self.now();
        held.borrow_mut().attempted_at = Some(sent_at);
        let lease = PromotionLease {
            holder: self.name().to_owned(),
            incarnation: self.settings.record.incarnation,
            token,
            ends_ms: store_now_ms + millis(LEASE_TTL),
            acknowledged: self.directory.borrow().lease_positions(),
        };
        match self.platform.write_lease(version, &lease).await {
            Ok(LeaseWrite::Written { version: written, .. })
                if written.history != version.history =>
            {
                held.borrow_mut().claim.record_token(token);
                held.borrow_mut().claim.record_replacement(self.now());
                self.drop_lease(held, "the write replaced a row of a later history");
            }
            Ok(LeaseWrite::Written { version, .. }) => {
                let mut held = held.borrow_mut();
                held.token_used &= held.lease.token == token;
                held.claim.record_token(token);
                held.lease = lease;
                held.version = version;
                held.valid_until = Some(sent_at + LEASE_TTL);
                held.attempted_at = None;
                self.set_promotion_token(Some(token));
            }
            Ok(LeaseWrite::Conflict) => self.drop_lease(held, "another instance wrote the lease"),
            Err(error) => {
                // The write may have taken effect; the next attempt detects it by the version.
                log_event!(LogEvent::PromotionLeaseFailed, "step=write cause=\"{error}\"");
                self.check_expiry(held);
            }
        }
    }

    /// Drops the lease if it expired and an instance that reaches the store may have acquired it.
    fn check_expiry(&self, held: &RefCell<HeldLease>) {
        let expired = held.borrow().valid_until.is_none_or(|until| self.now() > until);
        let may_be_replaced =
            self.peers.membership.borrow().any_live_peer(|status| status.store_reachable);
        if expired && may_be_replaced {
            self.drop_lease(held, "the lease expired");
        }
    }

    fn drop_lease(&self, held: &RefCell<HeldLease>, cause: &str) {
        if self.promotion_token().is_some() {
            log_event!(LogEvent::PromotionLeaseFailed, "step=keep cause=\"{cause}\"");
        }
        held.borrow_mut().valid_until = None;
        self.set_promotion_token(None);
    }

    /// Expires the lease early, so that another instance can acquire it at once.
    async fn release_lease(&self, held: &RefCell<HeldLease>) {
        if self.promotion_token().is_none() {
            return;
        }
        self.set_promotion_token(None);
        if self.has_lost_history(held) {
            return;
        }
        let (version, lease) = {
            let held = held.borrow();
            (held.version, PromotionLease { ends_ms: 0, ..held.lease.clone() })
        };
        if let Err(error) = self.platform.write_lease(version, &lease).await {
            log_event!(LogEvent::PromotionLeaseFailed, "step=release cause=\"{error}\"");
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
        held: &RefCell<HeldLease>,
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
        let decision = machine.borrow().decide(leader_index, &observations, synchronous);
        let decision = self.check_commits((service, machine), decision, &observations).await;
        if synchronous > 0 {
            let is_promoting = matches!(decision, PromotionDecision::Promote(..));
            let leading = leader_index.filter(|_| !is_promoting);
            self.inspect_replicas((service, machine, held), leading, &members, &reports).await;
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
            if self.request_promotion(service, name, held).await && self.await_leader(name).await {
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

    /// Withholds a promotion of a member that may lack commits which any instance knows of.
    async fn check_commits(
        self: &Rc<Self>,
        (service, machine): (&str, &RefCell<PromotionMachine>),
        decision: PromotionDecision,
        observations: &[MemberObservation<'_>],
    ) -> PromotionDecision {
        if let PromotionDecision::Promote(index, _) = decision {
            let term = observations[index].report.map_or(0, |report| report.received.term);
            let (is_synchronous, newest_term) = {
                let directory = self.directory.borrow();
                (directory.is_synchronous(service), directory.newest_term(service))
            };
            if is_synchronous || term < newest_term {
                self.gather_acknowledged(service).await;
            }
        }
        let required = self.directory.borrow().required_commits(service);
        let mut machine = machine.borrow_mut();
        let decision = machine.check_commits(decision, observations, required, self.now());
        if machine.record_decision(decision) {
            log_event!(
                LogEvent::PromotionWithheld,
                "service={service} required={required:?} members={observations:?}"
            );
        }
        decision
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

    /// Asks other instances for the position of an acknowledged commit of a service, those first that
    /// own connections of its members.
    async fn gather_acknowledged(self: &Rc<Self>, service: &str) {
        let mut names: Vec<String> = Vec::new();
        let members = self.directory.borrow().members(service).to_vec();
        let owners = members.iter().flat_map(|name| self.connection_owners(name).to_vec());
        let live: Vec<String> = {
            let membership = self.peers.membership.borrow();
            let records = membership.live_peers().filter_map(|key| membership.record(key));
            records.map(|record| record.name.clone()).collect()
        };
        for name in owners.chain(live) {
            if name != self.name() && !names.contains(&name) && names.len() < MAX_ASKED_PEERS {
                names.push(name);
            }
        }
        let links: Vec<_> = names.iter().filter_map(|name| self.open_link(name)).collect();
        let answers =
            links.iter().map(|link| link.find_acknowledged(service, INDIRECT_PROBE_TIMEOUT));
        let positions = join_all(answers).await;
        let mut directory = self.directory.borrow_mut();
        let known = positions.into_iter().flatten();
        known.for_each(|position| directory.record_acknowledged(service, position));
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

    /// Requests a promotion and returns whether it was accepted.
    ///
    /// Uses a new fencing token if a request with the current one was rejected or not answered.
    pub(crate) async fn request_promotion(
        &self,
        service: &str,
        endpoint: &str,
        held: &RefCell<HeldLease>,
    ) -> bool {
        if held.borrow().token_used {
            let (version, ends_ms, valid_until) = {
                let held = held.borrow();
                (held.version, held.lease.ends_ms, held.valid_until)
            };
            let remaining = valid_until
                .map_or(Duration::ZERO, |until| until.saturating_duration_since(self.now()));
            let store_now_ms = ends_ms.saturating_sub(millis(remaining));
            let token = {
                let claim = &mut held.borrow_mut().claim;
                claim.record_token(self.peers.membership.borrow().newest_promotion_token());
                claim.next_token(version.history, store_now_ms)
            };
            self.write_lease(held, version, store_now_ms, token).await;
        }
        let Some(token) = self.promotion_token() else {
            return false;
        };
        let promoted = self.platform.promote(service, endpoint, self.name(), token).await;
        let outcome = match &promoted {
            Ok(PromotionAnswer::Accepted) => "accepted".to_owned(),
            Ok(PromotionAnswer::Rejected) => {
                held.borrow_mut().token_used = true;
                "rejected".to_owned()
            }
            Err(error) => {
                held.borrow_mut().token_used = true;
                error.to_string()
            }
        };
        let label = match &promoted {
            Ok(PromotionAnswer::Accepted) => "accepted",
            Ok(PromotionAnswer::Rejected) => "rejected",
            Err(_) => "unanswered",
        };
        counter!(meter::PROMOTIONS, "outcome" => label).increment(1);
        log_event!(
            LogEvent::PromotionEnded,
            "service={service} endpoint={endpoint} token={token} outcome=\"{outcome}\""
        );
        matches!(promoted, Ok(PromotionAnswer::Accepted))
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

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
