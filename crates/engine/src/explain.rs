//! Explanation of where an instance would send a request now, and why, without sending it.
//!
//! The decisions are those of the request path. Nothing is sent, and no token, permit, connection or
//! random number is taken.

use std::rc::Rc;
use std::time::{Duration, Instant};

use coord::evacuation::{WorkKind, ZonePhase};
use coord::placement::RankedCandidate;
use coord::regions::RegionScope;
use coord::replica_lag::RequiredPosition;
use coord::session::{ForwardPlan, SessionId, SessionMachine, StatementAction, StatementClass};
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};
use state::position::LogPosition;

use crate::caller::ANONYMOUS_TEAM;
use crate::candidates::{ReadEndpoint, ReadPlacement, RequestScope, Unavailability};
use crate::connection_acquire::team_hash;
use crate::instance::{EngineTypes, GatewayInstance};
use crate::member_load::work_kind;
use crate::message::{AdmissionDecision, ExecuteCall};
use crate::pool::EndpointPool;
use crate::record::RouteRecord;
use crate::statement::{
    ADMISSION_TIMEOUT_FRACTION, MIN_RETRY_DELAY, StatementContext, UNAVAILABLE_RETRY_DELAY,
};

/// Draws with which the best candidate is chosen, and the second one if more than 1% of such
/// requests choose it.
const BEST_DRAW: f64 = 1.0;
const SECOND_DRAW: f64 = 0.01;

/// Kind of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RequestKind {
    /// Single read.
    Read,
    /// Single write.
    Write,
    /// First statement of a read-write transaction.
    Transaction,
}

/// Request to be explained.
#[derive(Clone, Debug)]
pub struct RequestQuery {
    /// Name of the team; `-` for callers without a key.
    pub team: String,
    /// Database that the caller requests.
    pub database: String,
    /// Kind of the request.
    pub kind: RequestKind,
    /// Position of the session's last commit.
    pub position: Option<LogPosition>,
}

/// Request that cannot be explained.
#[derive(Debug, Snafu)]
pub enum ExplainError {
    /// The document in force has no such team.
    #[snafu(display("team {team:?} is unknown in document {version}"))]
    UnknownTeam {
        /// Name of the team.
        team: String,
        /// Version of the document.
        version: u64,
    },
    /// The document in force has no route for the database.
    #[snafu(display("database {database:?} is unknown in document {version}"))]
    UnknownDatabase {
        /// Name of the database.
        database: String,
        /// Version of the document.
        version: u64,
    },
}

/// Where a request would be sent and what would refuse it. Times are in milliseconds.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RequestExplanation {
    /// Instance that explains the request.
    pub instance: String,
    /// Team of the request.
    pub team: String,
    /// Database of the request.
    pub database: String,
    /// Service that the database is routed to.
    pub service: String,
    /// Kind of the request.
    pub kind: RequestKind,
    /// Version of the document in force.
    pub document_version: u64,
    /// Position that a replica must have reached, as `TERM.INDEX`.
    pub required_position: Option<String>,
    /// Endpoint of the first attempt; `None` if no endpoint may run the request now.
    pub endpoint: Option<String>,
    /// Connection owner that the first attempt goes through.
    pub owner: Option<String>,
    /// Expected wait there, if known.
    pub expected_wait_ms: Option<f64>,
    /// Expected service time there, if known.
    pub service_time_ms: Option<f64>,
    /// Endpoints between which the choice is random; empty if it is certain.
    pub random_choice: Vec<ExpectedEndpoint>,
    /// Members of the service: those that would be tried, in this order, then the others.
    pub candidates: Vec<CandidateExplanation>,
    /// What would refuse the request now.
    pub refusals: Vec<RefusalExplanation>,
    /// Decision about the limit of the team.
    pub team_limit: LimitExplanation,
}

/// Endpoint with the expected time to its answer.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ExpectedEndpoint {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Expected time to the answer.
    pub expected_ms: f64,
}

/// Member of the service, with the reasons for its place.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CandidateExplanation {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Availability zone of the endpoint.
    pub zone: String,
    /// Place in the order of attempts, from 1; `None` if the endpoint gets no attempt.
    pub rank: Option<usize>,
    /// The request would address the endpoint as the leader.
    pub leads: bool,
    /// Reasons for the place, or for getting no attempt.
    pub reasons: Vec<String>,
    /// Expected time to the answer, under an uneven load.
    pub expected_ms: Option<f64>,
    /// Connection owners in the order in which they are tried.
    pub owners: Vec<String>,
    /// Queue and limits, if this instance is the first connection owner and has used the endpoint.
    pub owned: Option<OwnedEndpoint>,
}

/// Queue and limits of an endpoint whose connections this instance owns.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OwnedEndpoint {
    /// Expected wait of the request, for a permit and for the budget of a cold member.
    pub expected_wait_ms: f64,
    /// Expected wait for the budget alone; `None` if the endpoint is warm.
    pub cold_wait_ms: Option<f64>,
    /// Adaptive limit of the calls of this kind in flight, if there is one.
    pub pace_limit: Option<usize>,
    /// Connections that are open or being opened.
    pub open_connections: usize,
    /// Connections that may be opened.
    pub max_connections: usize,
    /// The endpoint cannot be reached.
    pub is_unreachable: bool,
}

/// Reason for which the request would be refused as not run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RefusalExplanation {
    /// Cause.
    pub cause: String,
    /// Retry delay that the caller would be told, before it is spread; `None` if none is stated.
    pub retry_after_ms: Option<f64>,
}

/// Outcome of the team's limit.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LimitOutcome {
    /// The team has no limit.
    Unlimited,
    /// The request would be admitted.
    Admitted,
    /// The request would be refused.
    Refused,
    /// Another instance decides.
    Unknown,
}

/// Decision about the limit of the team, as known without taking a token.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LimitExplanation {
    /// Outcome.
    pub outcome: LimitOutcome,
    /// Instance that decides; `None` if the team has no limit.
    pub quota_owner: Option<String>,
    /// Wait for the token of an admitted request.
    pub wait_ms: Option<f64>,
}

pub(crate) fn to_ms(span: Duration) -> f64 {
    (span.as_secs_f64() * 1e6).round() / 1e3
}

/// Returns the plan of a request in a session whose last commit has the given position.
fn plan_request(query: &RequestQuery, now: Instant) -> (SessionMachine, Option<ForwardPlan>) {
    let mut machine = SessionMachine::default();
    let forward = |machine: &mut SessionMachine, class: &StatementClass| match machine
        .handle_statement(class, "", now)
    {
        StatementAction::Forward(plan) => Some(plan),
        _ => None,
    };
    if query.position.is_some()
        && let Some(plan) = forward(&mut machine, &StatementClass::Write)
    {
        machine.record_success(&plan, query.position);
    }
    let plan = match query.kind {
        RequestKind::Read => forward(&mut machine, &StatementClass::Read),
        RequestKind::Write => forward(&mut machine, &StatementClass::Write),
        RequestKind::Transaction => {
            forward(&mut machine, &StatementClass::Begin { read_only: false });
            forward(&mut machine, &StatementClass::Write)
        }
    };
    (machine, plan)
}

impl<E: EngineTypes> GatewayInstance<E> {
    /// Explains where a request would be sent now, without sending it.
    pub fn explain(&self, query: &RequestQuery) -> Result<RequestExplanation, ExplainError> {
        let now = self.now();
        let document = self.directory.borrow().document();
        let (version, database, team) = (document.version, &query.database, &query.team);
        let route = document.route(database).context(UnknownDatabaseSnafu { database, version })?;
        let is_anonymous = route.public && team == ANONYMOUS_TEAM;
        if !is_anonymous && !document.has_team(team) {
            return UnknownTeamSnafu { team, version }.fail();
        }
        let (machine, plan) = plan_request(query, now);
        let plan = plan.expect("a new session forwards reads, writes and first statements");
        let context = StatementContext {
            plan: &plan,
            route: &route,
            team,
            document_version: self.directory.borrow().document_version(),
            request_id: "explain",
            text: "",
            machine: &machine,
            session_id: SessionId::default(),
            pending_setup: Vec::new(),
            arrived_at: now,
        };
        let regions =
            RegionScope { route: &route.permitted_regions, team: document.team_regions(team) };
        let scope = RequestScope { team, regions };
        let mut refusals = self.document_refusals(is_anonymous);
        let chosen = self.find_endpoint(&context, &scope, &[], || BEST_DRAW, now);
        match &chosen {
            Ok(Some(_)) => {}
            Ok(None) => refusals.push(RefusalExplanation {
                cause: "no endpoint is available; it is looked for until the latest start"
                    .to_owned(),
                retry_after_ms: Some(to_ms(MIN_RETRY_DELAY)),
            }),
            Err(unavailability) => refusals.push(RefusalExplanation {
                cause: match unavailability {
                    Unavailability::Evacuated => "the members that could run it are evacuated",
                    Unavailability::Region => "no member that could run it is in an allowed region",
                }
                .to_owned(),
                retry_after_ms: Some(to_ms(UNAVAILABLE_RETRY_DELAY)),
            }),
        }
        let chosen = chosen.ok().flatten();
        let team_limit = self.explain_limit(team, &route, &mut refusals);
        let (candidates, random_choice, required) = self.explain_candidates(
            &context,
            &scope,
            chosen.as_ref().map(|chosen| &chosen.endpoint.name),
            now,
        );
        let first = candidates.first().filter(|candidate| candidate.rank == Some(1));
        let directory = self.directory.borrow();
        let view =
            first.and_then(|first| directory.endpoint(&first.endpoint)).map(|entry| entry.view);
        let reported = view.filter(|view| view.queue_delay.is_some());
        let reported = reported.map(|view| Duration::from_secs_f64(view.expected_queue_delay(now)));
        let owned = first.and_then(|first| first.owned.as_ref());
        let slowness = view.and_then(|view| view.health).map_or(1.0, |health| health.slowness(now));
        let usual = directory.usual_service_time(&route.service, route.service_class());
        Ok(RequestExplanation {
            instance: self.name().to_owned(),
            team: team.clone(),
            database: database.clone(),
            service: route.service.clone(),
            kind: query.kind,
            document_version: version,
            required_position: required
                .map(|required| required.position)
                .map(|position| format!("{}.{}", position.term, position.index)),
            endpoint: first.map(|first| first.endpoint.clone()),
            owner: first.and_then(|first| first.owners.first().cloned()),
            expected_wait_ms: owned
                .map(|owned| owned.expected_wait_ms)
                .or_else(|| reported.map(to_ms)),
            service_time_ms: first.is_some().then(|| to_ms(usual.mul_f64(slowness.max(0.0)))),
            random_choice,
            candidates,
            refusals,
            team_limit,
        })
    }

    /// Returns why requests are refused whatever their endpoint.
    fn document_refusals(&self, is_anonymous: bool) -> Vec<RefusalExplanation> {
        let refusal =
            |cause: &str| RefusalExplanation { cause: cause.to_owned(), retry_after_ms: None };
        let mut refusals = Vec::new();
        if self.is_document_outdated() {
            refusals.push(refusal("the document of this instance is not up to date"));
        }
        if !self.has_joined() {
            refusals.push(refusal("the instance has not found the other instances"));
        }
        if !is_anonymous && !self.is_document_validated() {
            refusals.push(refusal("the instance cannot confirm that keys are still valid"));
        }
        refusals
    }

    fn explain_limit(
        &self,
        team: &str,
        route: &RouteRecord,
        refusals: &mut Vec<RefusalExplanation>,
    ) -> LimitExplanation {
        if self.directory.borrow().document().team_limit(team).is_none() {
            let outcome = LimitOutcome::Unlimited;
            return LimitExplanation { outcome, quota_owner: None, wait_ms: None };
        }
        let max_wait = route.target_latency.mul_f64(ADMISSION_TIMEOUT_FRACTION);
        let (quota_owner, decision) = self.preview_admission(team, route.priority, max_wait);
        let (outcome, wait_ms) = match decision {
            None => (LimitOutcome::Unknown, None),
            Some(AdmissionDecision::Admitted { delay, .. }) => {
                (LimitOutcome::Admitted, Some(to_ms(delay)))
            }
            Some(AdmissionDecision::Refused { retry_after, .. }) => {
                refusals.push(RefusalExplanation {
                    cause: "over the limit of the team".to_owned(),
                    retry_after_ms: Some(to_ms(retry_after.max(MIN_RETRY_DELAY))),
                });
                (LimitOutcome::Refused, None)
            }
        };
        LimitExplanation { outcome, quota_owner: Some(quota_owner), wait_ms }
    }

    /// Explains all members of the service, with the two between which the choice is random and the
    /// position that a replica must have reached.
    fn explain_candidates(
        &self,
        context: &StatementContext<'_>,
        scope: &RequestScope<'_>,
        chosen: Option<&String>,
        now: Instant,
    ) -> (Vec<CandidateExplanation>, Vec<ExpectedEndpoint>, Option<RequiredPosition>) {
        let directory = self.directory.borrow();
        let service = &context.route.service;
        let (mut order, mut required, mut may_swap) = (Vec::new(), None, false);
        if context.plan.read_only {
            (order, required) = self.read_order(context, scope, || BEST_DRAW, now);
            let (other, _) = self.read_order(context, scope, || SECOND_DRAW, now);
            may_swap = order != other;
        }
        // Without a candidate for a read, those for a write are tried.
        if chosen.is_some_and(|chosen| order.first().is_none_or(|first| first.name != *chosen)) {
            let writes = directory.write_candidates(service, scope, now);
            let leader = |name| ReadEndpoint { name, leads: true, catch_up_wait: Duration::ZERO };
            order = writes.into_iter().map(leader).collect();
        }
        let read = ReadPlacement {
            service_class: context.route.service_class(),
            team_hash: team_hash(context.team),
            draw: BEST_DRAW,
        };
        let zone = &self.settings.record.zone;
        let expected: Vec<(&String, RankedCandidate)> = if context.plan.read_only {
            directory.expect_reads(service, zone, scope, required, read, now)
        } else {
            Vec::new()
        };
        let others = directory.members(service).iter();
        let others = others.filter(|name| !order.iter().any(|ranked| ranked.name == **name));
        let mut excluded: Vec<&String> = others.collect();
        excluded.sort();
        let ranked = order.iter().enumerate();
        let ranked = ranked.map(|(index, ranked)| (&ranked.name, ranked.leads, Some(index + 1)));
        let excluded = excluded.into_iter().map(|name| (name, false, None));
        let explain = |(name, leads, rank): (&String, bool, Option<usize>)| {
            let ranked = expected.iter().find(|(other, _)| *other == name);
            let ranked = ranked.map(|(_, candidate)| candidate);
            let is_preferred = ranked.is_some_and(|candidate| {
                let replicas = expected.iter().filter(|(_, other)| !other.candidate.leads);
                let best = replicas.map(|(_, other)| other.affinity).max();
                !candidate.candidate.leads && best == Some(candidate.affinity)
            });
            let mut reasons = self.candidate_reasons(context, name, ranked, required, now);
            if is_preferred {
                reasons.push("preferred replica of the team".to_owned());
            }
            if rank.is_none() {
                reasons.push(self.exclusion(context, scope, name, required, now));
            }
            let owners = self.permitted_owners(name, &scope.regions);
            let pool = self.pools.by_endpoint.borrow().get(name).cloned();
            let is_owner = owners.first().is_some_and(|owner| owner == self.name());
            let position = required.map(|required| required.position);
            let call = self.preview_call(context, name, leads, position);
            CandidateExplanation {
                endpoint: name.clone(),
                zone: directory
                    .endpoint(name)
                    .map(|entry| entry.record.zone.clone())
                    .unwrap_or_default(),
                rank,
                leads,
                reasons,
                expected_ms: ranked.map(|candidate| to_ms(candidate.expected_time())),
                owners,
                owned: pool.filter(|_| is_owner).map(|pool| owned_endpoint(&pool, &call, now)),
            }
        };
        let candidates = ranked.chain(excluded).map(explain).collect();
        let best_two = expected.iter().take(if may_swap { 2 } else { 0 });
        let random_choice = best_two.map(|(name, candidate)| ExpectedEndpoint {
            endpoint: (*name).clone(),
            expected_ms: to_ms(candidate.expected_time()),
        });
        (candidates, random_choice.collect(), required)
    }

    /// Returns the connection owners that a request may be sent to, in order.
    fn permitted_owners(&self, endpoint: &str, regions: &RegionScope<'_>) -> Vec<String> {
        let owners = self.connection_owners(endpoint);
        let is_permitted =
            |name: &&String| regions.is_unrestricted() || self.may_forward_to(name, regions);
        let permitted: Vec<String> = owners.iter().filter(is_permitted).cloned().collect();
        // If all owners are in other regions, this instance runs the call itself.
        if permitted.is_empty() && !owners.is_empty() {
            return vec![self.name().to_owned()];
        }
        permitted
    }

    /// Returns what is known of an endpoint that counts for its place.
    fn candidate_reasons(
        &self,
        context: &StatementContext<'_>,
        endpoint: &str,
        ranked: Option<&RankedCandidate>,
        required: Option<RequiredPosition>,
        now: Instant,
    ) -> Vec<String> {
        let directory = self.directory.borrow();
        let Some(entry) = directory.endpoint(endpoint) else {
            return Vec::new();
        };
        let view = &entry.view;
        let mut reasons = Vec::new();
        let mut add = |applies: bool, reason: String| {
            if applies {
                reasons.push(reason);
            }
        };
        let leads =
            directory.leader(&context.route.service, now).is_some_and(|name| name == endpoint);
        add(leads, "leader".to_owned());
        add(view.refused_to_lead_recently(now), "refused to lead recently".to_owned());
        let zone = &self.settings.record.zone;
        let relation = if entry.record.zone == *zone { "same zone" } else { "another zone" };
        add(true, relation.to_owned());
        let queue_delay = Duration::from_secs_f64(view.expected_queue_delay(now));
        let lag = view.catch_up_wait(required, now);
        add(!queue_delay.is_zero(), format!("queue delay {} ms", to_ms(queue_delay)));
        add(!leads && !lag.is_zero(), format!("lags, expected for {} ms", to_ms(lag)));
        if let Some(health) = view.health {
            let (slowness, failed) = (health.slowness(now), health.failure_share(now));
            add(true, format!("slowness {slowness:.2}, failure share {failed:.2}"));
        }
        if let Some(candidate) = ranked {
            let connection = format!("{:?}", candidate.connection).to_lowercase();
            add(true, format!("connection of the team: {connection}"));
        }
        add(view.failed_recently(now), "failed recently".to_owned());
        let phase = directory.zone_phase(endpoint, now);
        add(phase != ZonePhase::Open, format!("zone is {}", phase.label()));
        add(entry.record.leaving, "leaving".to_owned());
        add(entry.unregistered_at.is_some(), "registration vanished".to_owned());
        reasons
    }

    /// Returns why an endpoint gets no attempt.
    fn exclusion(
        &self,
        context: &StatementContext<'_>,
        scope: &RequestScope<'_>,
        endpoint: &str,
        required: Option<RequiredPosition>,
        now: Instant,
    ) -> String {
        let directory = self.directory.borrow();
        let Some(entry) = directory.endpoint(endpoint) else {
            return "not tried: not registered".to_owned();
        };
        let leads =
            directory.leader(&context.route.service, now).is_some_and(|name| name == endpoint);
        let reads = context.plan.read_only;
        let kind = if leads || !reads { WorkKind::Leader } else { WorkKind::Replica };
        let reason = if !directory.accepts_work(endpoint, now) {
            "its drain or grace period has ended, or it is not known since when it drains"
        } else if !directory.allows_zone(&scope.regions, &entry.record.zone) {
            "not in an allowed region"
        } else if !directory.admits(endpoint, kind, scope.team, now) {
            "its zone is evacuated, or the team has not returned to it yet"
        } else if !reads {
            "it does not lead"
        } else if !entry.is_active() {
            "a replica that leaves gets no reads"
        } else if required.is_none() {
            "only the leader can show that its data is current"
        } else {
            "other candidates are tried"
        };
        format!("not tried: {reason}")
    }
}

fn owned_endpoint(pool: &Rc<EndpointPool>, call: &ExecuteCall, now: Instant) -> OwnedEndpoint {
    let is_cold = pool.cold.borrow().is_some();
    OwnedEndpoint {
        expected_wait_ms: to_ms(pool.expected_wait(call, now)),
        cold_wait_ms: is_cold.then(|| to_ms(pool.expected_cold_wait(call, now))),
        pace_limit: pool.pace.borrow().as_ref().map(|pace| pace.limit(work_kind(call))),
        open_connections: pool.open_count.get(),
        max_connections: pool.max_open.get(),
        is_unreachable: pool.unreachable_since.get().is_some(),
    }
}
