//! Budgets of cold members and adaptive limits, as a connection owner applies them.

use std::rc::Rc;
use std::time::{Duration, Instant};

use coord::cold_budget::{ColdBudget, ColdLimit, ColdRequest, OwnerView};
use coord::member_pace::{MemberPace, PaceCause, PaceOutcome, PaceSample, PaceStart, WorkKind};
use coord::service_time::priority_class;
use metrics::counter;
use telemetry::event::LogEvent;
use telemetry::{log_event, meter};
use tokio::time::sleep;

use crate::connection_acquire::team_hash;
use crate::directory::EndpointEntry;
use crate::instance::{EngineTypes, GatewayInstance};
use crate::interface::RefusalCode;
use crate::message::{ExecuteCall, StatementAnswer};
use crate::pool::{EndpointPool, grant_queued};
use crate::record::ServiceRecord;

/// Permits beyond the endpoint's slots, which keep the slots busy while answers are in transit.
pub(crate) const EXTRA_PERMITS: usize = 1;

/// Time after the first sight of a process for which its limit starts low.
const NEW_PROCESS_PERIOD: Duration = Duration::from_secs(10);
/// Time after an endpoint that refused connections responds again within which a new registration
/// tells whether its process is another one. Until then it counts as cold.
const RESTART_NOTICE_PERIOD: Duration = Duration::from_secs(1);
/// Class of the opening of a connection.
const OPENING_CLASS: u16 = u16::MAX;

/// Returns the kind of work of a call outside of an open transaction.
pub(crate) fn work_kind(call: &ExecuteCall) -> WorkKind {
    match call.confirming_answer_index {
        Some(_) => WorkKind::LeaderOnly,
        None => WorkKind::Read,
    }
}

/// Returns the class of calls that usually take as long as this one.
fn duration_class(call: &ExecuteCall) -> u16 {
    let leads = u16::from(call.confirming_answer_index.is_some());
    let begins = u16::from(!call.begin_bytes.is_empty());
    u16::from(priority_class(call.priority)) << 2 | leads << 1 | begins
}

/// Returns what the answers to a call say about the load of the endpoint, if anything.
fn outcome_of(answers: &[StatementAnswer]) -> Option<PaceOutcome> {
    match answers.iter().find_map(|answer| answer.error) {
        None => Some(PaceOutcome::Answered),
        Some(RefusalCode::Busy | RefusalCode::Timeout) => Some(PaceOutcome::Refused),
        Some(RefusalCode::Failed | RefusalCode::Unknown | RefusalCode::Other) => {
            Some(PaceOutcome::Failed)
        }
        // A replica that lags, a member that does not lead, or a mistake of the caller. Their
        // short duration must not count as the usual one either.
        Some(_) => None,
    }
}

/// Returns the number of statements that a call sends to the endpoint.
fn statement_count(call: &ExecuteCall, needs_setup: bool) -> f64 {
    let setup_count = if needs_setup { call.setup_count } else { 0 };
    let begin_count = u8::from(!call.begin_bytes.is_empty());
    f64::from(call.count) + f64::from(setup_count) + f64::from(begin_count)
}

impl EndpointPool {
    /// Applies the adaptive limits to the queues and grants the permits that became free.
    pub(crate) fn apply_pace(&self, now: Instant) {
        let Some((capacity, leader_limit)) = self
            .pace
            .borrow()
            .as_ref()
            .map(|pace| (pace.capacity(now), pace.limit(WorkKind::LeaderOnly)))
        else {
            return;
        };
        self.queue.borrow_mut().resize(capacity);
        self.leader_queue.borrow_mut().resize(leader_limit);
        grant_queued(&self.leader_queue, now);
        self.grant_permits(now);
    }

    /// Returns whether a call needs a permit of [`EndpointPool::leader_queue`], because the limit of
    /// what only a leader runs is the lower one.
    pub(crate) fn needs_leader_permit(&self, kind: WorkKind, now: Instant) -> bool {
        let pace = self.pace.borrow();
        pace.as_ref().is_some_and(|pace| {
            kind == WorkKind::LeaderOnly && pace.limit(kind) < pace.capacity(now)
        })
    }

    /// Counts a call as in flight; returns its kind if the endpoint has adaptive limits.
    pub(crate) fn begin_paced(&self, call: &ExecuteCall, now: Instant) -> Option<WorkKind> {
        let mut pace = self.pace.borrow_mut();
        let kind = work_kind(call);
        pace.as_mut()?.begin(kind, now);
        Some(kind)
    }

    /// Returns the expected wait of a request like this one that arrives now.
    pub(crate) fn expected_wait(&self, call: &ExecuteCall, now: Instant) -> Duration {
        let queue_wait = self.queue.borrow().expected_wait(call.priority, now);
        let wait = queue_wait.max(self.expected_cold_wait(call, now));
        if !self.needs_leader_permit(work_kind(call), now) {
            return wait;
        }
        wait.max(self.leader_queue.borrow().expected_wait(call.priority, now))
    }

    /// Returns the expected wait of a call until a cold endpoint may get it; zero if it is warm.
    pub(crate) fn expected_cold_wait(&self, call: &ExecuteCall, now: Instant) -> Duration {
        let cost = statement_count(call, false);
        let mut cold = self.cold.borrow_mut();
        cold.as_mut().map_or(Duration::ZERO, |budget| budget.expected_delay(cost, now))
    }

    /// Records the answers to a call, or that they did not arrive in time.
    pub(crate) fn record_pace(
        &self,
        call: &ExecuteCall,
        answers: Option<&[StatementAnswer]>,
        sent_at: Instant,
        now: Instant,
    ) {
        if let Some(outcome) = answers.map_or(Some(PaceOutcome::Refused), outcome_of) {
            self.record_pace_sample(call, duration_class(call), outcome, sent_at, now);
        }
        let position = answers.and_then(|answers| {
            let index = usize::from(call.confirming_answer_index.unwrap_or_default());
            let answer = answers.get(index)?;
            Some((answer.position?.term, answer.error.is_none()))
        });
        let Some((term, is_success)) = position else {
            return;
        };
        let is_confirmed = is_success && call.confirming_answer_index.is_some();
        let promoted = self
            .pace
            .borrow_mut()
            .as_mut()
            .is_some_and(|pace| pace.record_term(term, is_confirmed, now));
        if promoted {
            self.log_pace(PaceCause::Started, now);
        }
    }

    /// Records the opening of a connection, which occupies a slot of the endpoint.
    pub(crate) fn record_opening(
        &self,
        call: &ExecuteCall,
        is_open: bool,
        sent_at: Instant,
        now: Instant,
    ) {
        let outcome = if is_open { PaceOutcome::Answered } else { PaceOutcome::Refused };
        self.record_pace_sample(call, OPENING_CLASS, outcome, sent_at, now);
    }

    fn record_pace_sample(
        &self,
        call: &ExecuteCall,
        class: u16,
        outcome: PaceOutcome,
        sent_at: Instant,
        now: Instant,
    ) {
        let team = team_hash(&call.team);
        let kind = work_kind(call);
        let sample = PaceSample { kind, class, team, sent_at, outcome };
        let change = self.pace.borrow_mut().as_mut().and_then(|pace| pace.record(sample, now));
        if let Some(cause) = change {
            self.log_pace(cause, now);
        }
    }

    /// Lowers the limits of an endpoint that responds again after it was unreachable.
    pub(crate) fn restart_pace(&self, now: Instant) {
        let is_paced = self.pace.borrow_mut().as_mut().map(|pace| pace.restart(now)).is_some();
        if is_paced {
            self.log_pace(PaceCause::Started, now);
        }
    }

    /// Logs a change of the limits and applies it.
    fn log_pace(&self, cause: PaceCause, now: Instant) {
        counter!(meter::PACE_CHANGES, "cause" => cause.label()).increment(1);
        self.apply_pace(now);
        let pace = self.pace.borrow();
        let Some(pace) = pace.as_ref() else {
            return;
        };
        let (read, leader) = (pace.limit(WorkKind::Read), pace.limit(WorkKind::LeaderOnly));
        let endpoint = &self.endpoint;
        match cause {
            PaceCause::Grown if !pace.is_full() => {}
            // Repeats every second while the member is congested.
            PaceCause::Congested => {}
            PaceCause::Grown => {
                log_event!(LogEvent::PaceRestored, "endpoint={endpoint} limit={read}");
            }
            _ => {
                let cause = cause.label();
                log_event!(
                    LogEvent::PaceLowered,
                    "endpoint={endpoint} limit={read} leader_limit={leader} cause={cause}"
                );
            }
        }
    }

    /// Takes tokens for a control statement that a cold endpoint gets in any case.
    pub(crate) fn charge_cold(&self, now: Instant) {
        if let Some(budget) = self.cold.borrow_mut().as_mut() {
            budget.charge(1.0, now);
        }
    }
}

impl<E: EngineTypes> GatewayInstance<E> {
    /// Waits until a cold endpoint may get the statements of a call, at most until `latest_start`.
    ///
    /// Returns the time after which a retry may succeed if it may not get them by then.
    pub(crate) async fn wait_while_cold(
        &self,
        pool: &EndpointPool,
        call: &ExecuteCall,
        needs_setup: bool,
        latest_start: Instant,
    ) -> Result<(), Duration> {
        let now = self.now();
        let request = if call.pinned { ColdRequest::Pinned } else { ColdRequest::New };
        let max_wait = latest_start.saturating_duration_since(now);
        let reserved = match pool.cold.borrow_mut().as_mut() {
            None => return Ok(()),
            Some(budget) => {
                budget.reserve(statement_count(call, needs_setup), request, max_wait, now)
            }
        };
        let count = |outcome: &'static str| {
            counter!(meter::COLD_REQUESTS, "outcome" => outcome).increment(1);
        };
        let grant = reserved.inspect_err(|_| count("refused"))?;
        if grant.delay.is_zero() {
            count("sent");
            return Ok(());
        }
        sleep(grant.delay).await;
        let now = self.now();
        // A member that is warm by now has no budget any more.
        let is_valid =
            pool.cold.borrow_mut().as_mut().is_none_or(|budget| budget.is_valid(grant, now));
        count(if is_valid { "delayed" } else { "refused" });
        if is_valid { Ok(()) } else { Err(grant.delay) }
    }

    /// Updates the budgets and the adaptive limits of all pools.
    ///
    /// Must be called several times a second; see [`ColdBudget::observe`] and
    /// [`MemberPace::observe`].
    pub(crate) fn update_member_limits(&self) {
        let directory = self.directory.borrow();
        for pool in self.pools.by_endpoint.borrow().values() {
            if let Some(entry) = directory.endpoint(&pool.endpoint)
                && entry.record.started_ms == pool.started_ms
            {
                let document = directory.document();
                self.update_cold_budget(pool, entry, document.service(&pool.service));
                self.update_pace(pool, entry);
            }
        }
    }

    /// Creates, updates or removes the budget of an endpoint.
    pub(crate) fn update_cold_budget(
        &self,
        pool: &EndpointPool,
        entry: &EndpointEntry,
        service: Option<&ServiceRecord>,
    ) {
        let now = self.now();
        let service = service.filter(|service| service.cold_rate > 0.0);
        let may_have_restarted = pool.is_process_lost.get()
            || pool
                .recovered_at
                .get()
                .is_some_and(|at| now.saturating_duration_since(at) < RESTART_NOTICE_PERIOD);
        let is_cold = |service: &ServiceRecord| {
            entry.cold.is_cold(service.cold_start, now) || may_have_restarted
        };
        let mut budget = pool.cold.borrow_mut();
        let Some(service) = service.filter(|service| is_cold(service)) else {
            if budget.take().is_some() {
                log_event!(LogEvent::MemberWarm, "endpoint={}", pool.endpoint);
            }
            return;
        };
        let (overage, slack) = (self.settings.zones.cold_overage, self.settings.zones.cold_slack);
        let limit = ColdLimit { rate: service.cold_rate, overage, slack };
        let view = OwnerView {
            is_owner: self.is_connection_owner(&pool.endpoint),
            reachable_fraction: self.quotas.borrow().reachable_fraction(),
        };
        match budget.as_mut() {
            Some(budget) => budget.observe(limit, view, now),
            None => {
                log_event!(
                    LogEvent::MemberCold,
                    "endpoint={} rate={} owner={}",
                    pool.endpoint,
                    limit.rate,
                    view.is_owner
                );
                *budget = Some(ColdBudget::new(limit, view, now));
            }
        }
    }

    /// Creates or updates the adaptive limits of an endpoint.
    pub(crate) fn update_pace(&self, pool: &EndpointPool, entry: &EndpointEntry) {
        let now = self.now();
        let max = entry.record.slots.max(1) + EXTRA_PERMITS;
        let is_recent = |at: Instant| now.saturating_duration_since(at) < NEW_PROCESS_PERIOD;
        let is_new = entry.cold.first_seen.is_some_and(is_recent)
            || entry.cold.is_cold(Duration::ZERO, now)
            || pool.unreachable_since.get().is_some();
        let start = if is_new { PaceStart::New } else { PaceStart::Settled };
        let is_owned = self.is_connection_owner(&pool.endpoint);
        let is_new_owner = is_owned && !pool.is_owned.replace(is_owned);
        {
            let mut pace = pool.pace.borrow_mut();
            let pace = pace.get_or_insert_with(|| MemberPace::new(max, start, now));
            pace.observe(max, now);
            if is_new_owner {
                pace.take_over(start, now);
            }
        }
        pool.apply_pace(now);
    }

    /// Returns whether this instance is the connection owner of an endpoint, as far as it knows.
    pub(crate) fn is_connection_owner(&self, endpoint: &str) -> bool {
        self.connection_owners(endpoint).first().is_some_and(|name| name == self.name())
    }

    /// Lets a new pool start with the usual durations of another member of its service.
    pub(crate) fn adopt_durations<'a>(
        &self,
        pool: &EndpointPool,
        others: impl Iterator<Item = &'a Rc<EndpointPool>>,
    ) {
        let mut pace = pool.pace.borrow_mut();
        let known = others.filter(|other| other.service == pool.service);
        if let Some(pace) = pace.as_mut()
            // The previous process of the endpoint is the best model.
            && let Some(other) = known.max_by_key(|other| other.endpoint == pool.endpoint)
            && let Some(other) = other.pace.borrow().as_ref()
        {
            pace.adopt_durations(other);
        }
    }
}
