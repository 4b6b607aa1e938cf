//! Duty to promote: one instance holds the lease, watches leaders and replaces lost ones.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use coord::rendezvous;
use coord::takeover::{FAILING_TIME, MemberOutlook, MemberReport, TakeoverMachine, TakeoverStep};
use metrics::counter;
use telemetry::event::LogEvent;
use telemetry::{log_event, meter};
use tokio::time::sleep;

use crate::interface::{LeaseWrite, PlatformApi, PromotionAnswer};
use crate::node::{EngineEdge, GatewayNode};
use crate::record::PromotionLease;

/// Time between looks at leaders and lease.
const TICK: Duration = Duration::from_millis(100);
/// Time for which the lease runs; bounds how long a dead holder blocks the duty.
const LEASE_TIME: Duration = Duration::from_secs(3);
/// Time before the end of the lease at which it is renewed.
const RENEWAL_RESERVE: Duration = Duration::from_millis(1_800);
/// Pause after a call about the lease that failed.
const LEASE_PAUSE: Duration = Duration::from_millis(400);
/// Time without any holder in sight after which the lease is read.
const VACANCY_TIME: Duration = Duration::from_millis(500);
/// Time between rounds of probes of one service.
const ROUND_PAUSE: Duration = Duration::from_millis(120);
/// Time in which another instance must answer whether it reaches a member.
const WITNESS_TIMEOUT: Duration = Duration::from_millis(450);
/// Other instances asked whether they reach a leader.
const WITNESSES: usize = 2;
/// Looks at a promoted member before it is left to others to find that it leads.
const PROMOTION_LOOKS: usize = 12;
/// Time between those looks; a promotion takes some hundred milliseconds.
const PROMOTION_PAUSE: Duration = Duration::from_millis(100);
/// Subject by which instances order themselves for the duty.
const DUTY_SUBJECT: &str = "promotion";

/// Lease as this instance holds it.
#[derive(Debug, Default)]
struct HeldLease {
    lease: PromotionLease,
    version: u64,
    /// Local time up to which the lease provably runs.
    runs_until: Option<Instant>,
    /// The token must be raised before the next call: an earlier call may still be carried out.
    spent: bool,
    tried_at: Option<Instant>,
}

impl<E: EngineEdge> GatewayNode<E> {
    /// Keeps the duty filled and carries it out while this instance has it.
    pub async fn coordinate_failover(self: Rc<Self>) {
        let held = Rc::new(RefCell::new(HeldLease::default()));
        let mut vacant_since = None;
        let mut machines: HashMap<String, Rc<RefCell<TakeoverMachine>>> = HashMap::new();
        loop {
            sleep(TICK).await;
            if self.is_leaving() {
                self.give_up_duty(&held).await;
                return;
            }
            if !self.directory.borrow().is_loaded() {
                continue;
            }
            self.keep_lease(&held, &mut vacant_since).await;
            if self.duty().is_none() {
                continue;
            }
            let services: Vec<String> =
                self.directory.borrow().document().service_names().map(str::to_owned).collect();
            for service in services {
                let machine = machines.entry(service.clone()).or_default().clone();
                // A third owner is the task that weighs this service already.
                if Rc::strong_count(&machine) > 2 || !self.is_suspect(&service, &machine) {
                    continue;
                }
                let (node, held) = (self.clone(), held.clone());
                tokio::task::spawn_local(async move {
                    node.weigh_takeover(&service, &machine, &held).await;
                    sleep(ROUND_PAUSE).await;
                });
            }
        }
    }

    /// Takes the lease when nobody has it, and renews it ahead of its end.
    async fn keep_lease(&self, held: &RefCell<HeldLease>, vacant_since: &mut Option<Instant>) {
        let now = self.now();
        let (runs_until, tried_at) = {
            let held = held.borrow();
            (held.runs_until, held.tried_at)
        };
        let pausing = tried_at.is_some_and(|at| now.saturating_duration_since(at) < LEASE_PAUSE);
        if pausing {
            return;
        }
        if self.duty().is_some() {
            let ends = runs_until.unwrap_or(now);
            if now + RENEWAL_RESERVE >= ends {
                self.renew_lease(held).await;
            }
            return;
        }
        let peers = self.peers.live();
        let own_token = held.borrow().lease.token;
        let filled = peers
            .iter()
            .any(|peer| peer.status().promotion_token.is_some_and(|token| token > own_token));
        let names = self.peers.active_names(false);
        let rank = rendezvous::rank(DUTY_SUBJECT, self.name(), names.iter().map(String::as_str));
        if filled || rank > 0 {
            *vacant_since = None;
            return;
        }
        let since = *vacant_since.get_or_insert(now);
        if now.saturating_duration_since(since) >= VACANCY_TIME {
            self.acquire_lease(held).await;
        }
    }

    async fn acquire_lease(&self, held: &RefCell<HeldLease>) {
        held.borrow_mut().tried_at = Some(self.now());
        let view = match self.platform.read_lease().await {
            Ok(view) => view,
            Err(error) => {
                log_event!(LogEvent::DutyRefused, "step=read cause=\"{error}\"");
                return;
            }
        };
        let current = view.lease.unwrap_or_default();
        let own = current.holder == self.name();
        if !own && current.ends_ms > view.now_ms {
            // The store's clock tells when the lease of another instance ends.
            let left = Duration::from_millis(current.ends_ms - view.now_ms);
            held.borrow_mut().tried_at = Some(self.now() + left.saturating_sub(LEASE_PAUSE));
            return;
        }
        self.write_lease(held, view.version, view.now_ms, current.token + 1).await;
    }

    async fn renew_lease(&self, held: &RefCell<HeldLease>) {
        let (version, token, ends_ms, runs_until) = {
            let held = held.borrow();
            (held.version, held.lease.token, held.lease.ends_ms, held.runs_until)
        };
        let now = self.now();
        // The store's time now, at least: the lease ends there when it ends here, or later.
        let left = runs_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
        let over = runs_until.map_or(Duration::ZERO, |until| now.saturating_duration_since(until));
        let store_now = (ends_ms + millis(over)).saturating_sub(millis(left));
        self.write_lease(held, version, store_now, token).await;
    }

    async fn write_lease(
        &self,
        held: &RefCell<HeldLease>,
        version: u64,
        store_ms: u64,
        token: u64,
    ) {
        let asked_at = self.now();
        held.borrow_mut().tried_at = Some(asked_at);
        let lease = PromotionLease {
            holder: self.name().to_owned(),
            incarnation: self.settings.record.incarnation,
            token,
            ends_ms: store_ms + millis(LEASE_TIME),
        };
        match self.platform.write_lease(version, &lease).await {
            Ok(LeaseWrite::Written { version, .. }) => {
                let mut held = held.borrow_mut();
                held.spent &= held.lease.token == token;
                held.lease = lease;
                held.version = version;
                held.runs_until = Some(asked_at + LEASE_TIME);
                held.tried_at = None;
                self.set_duty(Some(token));
            }
            Ok(LeaseWrite::Conflict) => self.lose_duty(held, "another instance wrote the lease"),
            Err(error) => {
                // The write may have been carried out; the version tells at the next try.
                log_event!(LogEvent::DutyRefused, "step=write cause=\"{error}\"");
                self.check_lapsed(held);
            }
        }
    }

    /// Gives the duty up if another instance that reaches the store may have taken it.
    fn check_lapsed(&self, held: &RefCell<HeldLease>) {
        let lapsed = held.borrow().runs_until.is_none_or(|until| self.now() > until);
        let replaced = self.peers.live().iter().any(|peer| peer.status().store_reachable);
        if lapsed && replaced {
            self.lose_duty(held, "the lease ran out");
        }
    }

    fn lose_duty(&self, held: &RefCell<HeldLease>, cause: &str) {
        if self.duty().is_some() {
            log_event!(LogEvent::DutyRefused, "step=keep cause=\"{cause}\"");
        }
        held.borrow_mut().runs_until = None;
        self.set_duty(None);
    }

    /// Ends the lease early, so that another instance can take the duty at once.
    async fn give_up_duty(&self, held: &RefCell<HeldLease>) {
        if self.duty().is_none() {
            return;
        }
        self.set_duty(None);
        let (version, lease) = {
            let held = held.borrow();
            (held.version, PromotionLease { ends_ms: 0, ..held.lease.clone() })
        };
        if let Err(error) = self.platform.write_lease(version, &lease).await {
            log_event!(LogEvent::DutyRefused, "step=release cause=\"{error}\"");
        }
    }

    /// Tells whether a service's leader is lost or leaves, as far as anybody noticed.
    fn is_suspect(&self, service: &str, machine: &RefCell<TakeoverMachine>) -> bool {
        let now = self.now();
        let directory = self.directory.borrow();
        if directory.members(service).is_empty() {
            return false;
        }
        let suspected = match directory.leader(service, now) {
            None => true,
            Some(leader) => {
                let stays = directory.endpoint(&leader).is_some_and(|entry| entry.is_active());
                let failing = |since: Instant| now.saturating_duration_since(since) >= FAILING_TIME;
                !stays
                    || self.holder.failing_since(&leader).is_some_and(failing)
                    || self
                        .peers
                        .live()
                        .iter()
                        .any(|peer| peer.status().unreachable_endpoints.contains(&leader))
            }
        };
        machine.borrow().wants_probe(suspected, now)
    }

    /// Probes the members of a service and replaces its leader if it is lost or leaves.
    async fn weigh_takeover(
        self: &Rc<Self>,
        service: &str,
        machine: &RefCell<TakeoverMachine>,
        held: &RefCell<HeldLease>,
    ) {
        let (leader, members, synchronous) = {
            let directory = self.directory.borrow();
            let document = directory.document();
            let synchronous =
                document.service(service).map_or(0, |service| service.synchronous_replicas);
            let leader = directory.leader(service, self.now());
            (leader, directory.members(service).to_vec(), synchronous)
        };
        let witnessed = async {
            match &leader {
                Some(leader) => self.ask_witnesses(leader).await,
                None => false,
            }
        };
        let (reports, witnessed) = tokio::join!(self.probe_members(&members), witnessed);
        let now = self.now();
        let leading = self.note_reports(&members, &reports);
        let leader = leading.or(leader);
        let place = leader.as_ref().and_then(|name| members.iter().position(|other| other == name));
        let answered = place.is_some_and(|index| reports[index].is_some());
        machine.borrow_mut().note_round(answered || witnessed, now);
        let step = {
            let directory = self.directory.borrow();
            let outlook = |(name, report): (&String, &Option<MemberReport>)| {
                let stays = directory.endpoint(name).is_some_and(|entry| entry.is_active());
                (name.clone(), stays, *report)
            };
            let outlooks: Vec<_> = members.iter().zip(&reports).map(outlook).collect();
            let borrowed: Vec<MemberOutlook<'_>> = outlooks
                .iter()
                .map(|(name, stays, report)| MemberOutlook { name, stays: *stays, report: *report })
                .collect();
            machine.borrow().weigh(place, &borrowed, synchronous)
        };
        if let TakeoverStep::Promote(index, cause) = step {
            let (name, was) = (&members[index], leader.as_deref().unwrap_or("none"));
            log_event!(
                LogEvent::PromotionStarted,
                "service={service} endpoint={name} cause={cause:?} was={was} reports={reports:?}"
            );
            machine.borrow_mut().note_call(now);
            if self.call_promotion(service, name, held).await {
                self.await_leader(name).await;
            }
        }
    }

    /// Looks for a promoted member to lead, so that others learn of it without the store.
    async fn await_leader(&self, endpoint: &str) {
        for _ in 0..PROMOTION_LOOKS {
            sleep(PROMOTION_PAUSE).await;
            let members = [endpoint.to_owned()];
            let reports = [self.probe_member(endpoint).await];
            if self.note_reports(&members, &reports).is_some() {
                self.announced.notify_waiters();
                return;
            }
        }
    }

    /// Learns from members which of them leads in the newest term.
    fn note_reports(&self, members: &[String], reports: &[Option<MemberReport>]) -> Option<String> {
        let leading = members.iter().zip(reports).filter_map(|(name, report)| {
            let report = report.filter(|report| report.leads)?;
            Some((report.term, name))
        });
        let (term, name) = leading.max()?;
        let mut directory = self.directory.borrow_mut();
        let service = directory.endpoint(name)?.record.service.clone();
        directory.record_leader(&service, name, term);
        Some(name.clone())
    }

    async fn probe_members(&self, members: &[String]) -> Vec<Option<MemberReport>> {
        let mut reports = Vec::with_capacity(members.len());
        let mut probes: Vec<_> =
            members.iter().map(|member| Box::pin(self.probe_member(member))).collect();
        // Polled together: a dark member must not delay the others' answers.
        let joined = std::future::poll_fn(|context| {
            let mut ready = true;
            for (index, probe) in probes.iter_mut().enumerate() {
                if reports.len() <= index {
                    reports.resize(index + 1, None);
                }
                if reports[index].is_none() {
                    match probe.as_mut().poll(context) {
                        std::task::Poll::Ready(report) => reports[index] = Some(report),
                        std::task::Poll::Pending => ready = false,
                    }
                }
            }
            if ready { std::task::Poll::Ready(()) } else { std::task::Poll::Pending }
        });
        joined.await;
        reports.into_iter().map(Option::flatten).collect()
    }

    /// Asks other instances, in other availability zones first, whether they reach a member.
    async fn ask_witnesses(&self, endpoint: &str) -> bool {
        let mut peers = self.peers.live();
        let zone = &self.settings.record.zone;
        peers.sort_by_key(|peer| (peer.record.zone == *zone, peer.record.name.clone()));
        for peer in peers.into_iter().take(WITNESSES) {
            if peer.probe(endpoint, WITNESS_TIMEOUT).await == Some(true) {
                return true;
            }
        }
        false
    }

    async fn call_promotion(
        &self,
        service: &str,
        endpoint: &str,
        held: &RefCell<HeldLease>,
    ) -> bool {
        if held.borrow().spent {
            let (version, token, runs_until) = {
                let held = held.borrow();
                (held.version, held.lease.token + 1, held.runs_until)
            };
            let left = runs_until
                .map_or(Duration::ZERO, |until| until.saturating_duration_since(self.now()));
            let store_now = held.borrow().lease.ends_ms.saturating_sub(millis(left));
            self.write_lease(held, version, store_now, token).await;
        }
        let Some(token) = self.duty() else {
            return false;
        };
        let called = self.platform.promote(service, endpoint, self.name(), token).await;
        let outcome = match &called {
            Ok(PromotionAnswer::Accepted) => "accepted".to_owned(),
            Ok(PromotionAnswer::Rejected) => {
                held.borrow_mut().spent = true;
                "rejected".to_owned()
            }
            Err(error) => {
                held.borrow_mut().spent = true;
                error.to_string()
            }
        };
        let label = match &called {
            Ok(PromotionAnswer::Accepted) => "accepted",
            Ok(PromotionAnswer::Rejected) => "rejected",
            Err(_) => "unanswered",
        };
        counter!(meter::PROMOTIONS, "outcome" => label).increment(1);
        log_event!(
            LogEvent::PromotionEnded,
            "service={service} endpoint={endpoint} token={token} outcome=\"{outcome}\""
        );
        matches!(called, Ok(PromotionAnswer::Accepted))
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
