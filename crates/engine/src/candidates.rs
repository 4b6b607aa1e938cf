//! Endpoints that may run a request, best first.

use std::time::{Duration, Instant};

use coord::evacuation::{WorkKind, ZonePhase};
use coord::placement::{PlacedRead, RankedCandidate, ReadCandidate, order_by_expected_time};
use coord::regions::RegionScope;
use coord::rendezvous;
use coord::replica_lag::RequiredPosition;
use coord::service_time::ServiceClass;

use crate::directory::FleetDirectory;

/// Team of a request and the regions that may serve it.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestScope<'a> {
    /// Team of the caller.
    pub team: &'a str,
    /// Regions that route and team allow.
    pub regions: RegionScope<'a>,
}

/// Reason why no endpoint may run a request before the zones or the document change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unavailability {
    /// The members that could run the request are in evacuated zones.
    Evacuated,
    /// No member that could run the request is in an allowed region.
    Region,
}

/// Read whose endpoint is to be chosen.
#[derive(Clone, Copy, Debug)]
pub struct ReadPlacement {
    /// Service class of the read.
    pub service_class: ServiceClass,
    /// Hash of the team's name.
    pub team_hash: u64,
    /// Random number from 0 to 1, of a seeded generator.
    pub draw: f64,
}

/// Endpoint to try for a read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReadEndpoint {
    /// Name.
    pub name: String,
    /// The endpoint is addressed as the leader.
    pub leads: bool,
    /// Expected wait until the endpoint has the required position.
    pub catch_up_wait: Duration,
}

impl FleetDirectory {
    /// Returns whether an endpoint may get work of a team, as far as evacuations decide.
    pub fn admits(&self, endpoint: &str, kind: WorkKind, team: &str, now: Instant) -> bool {
        if self.evacuations.is_empty() {
            return true;
        }
        self.endpoints.get(endpoint).is_none_or(|entry| {
            let team_hash = || rendezvous::weight(endpoint, team);
            self.evacuations.admits(&entry.record.zone, kind, team_hash, now)
        })
    }

    /// Returns whether members and instances of a zone may serve a request.
    pub fn allows_zone(&self, regions: &RegionScope<'_>, zone: &str) -> bool {
        regions.is_unrestricted() || regions.allows(self.regions.get(zone).map(String::as_str))
    }

    /// Returns whether zone and region of an endpoint permit it to run a request.
    fn permits(
        &self,
        endpoint: &str,
        kind: WorkKind,
        scope: &RequestScope<'_>,
        now: Instant,
    ) -> bool {
        self.admits(endpoint, kind, scope.team, now)
            && (scope.regions.is_unrestricted()
                || self.allows_zone(&scope.regions, &self.endpoints[endpoint].record.zone))
    }

    /// Returns whether zones or regions may forbid endpoints to run a request.
    pub fn may_restrict(&self, scope: &RequestScope<'_>) -> bool {
        !self.evacuations.is_empty() || !scope.regions.is_unrestricted()
    }

    /// Returns why no endpoint may run a request that found no candidate.
    ///
    /// `None` if an endpoint may run it later without a change of zones or document, such as a
    /// leader that is not known yet.
    pub fn unavailability(
        &self,
        service: &str,
        scope: &RequestScope<'_>,
        now: Instant,
    ) -> Option<Unavailability> {
        if !self.may_restrict(scope) {
            return None;
        }
        let usable = |name: &&String| {
            let entry = &self.endpoints[*name];
            entry.accepts_work(self.drain_timeout, now)
        };
        let leaders = self.leader_candidates(service, now);
        let known: Vec<&String> = leaders.into_iter().filter(usable).collect();
        let members: Vec<&String> = match known.is_empty() {
            true => self.members(service).iter().filter(usable).collect(),
            false => known,
        };
        let in_region =
            |name: &&&String| self.allows_zone(&scope.regions, &self.endpoints[**name].record.zone);
        let admitted = |name: &String| self.admits(name, WorkKind::Leader, scope.team, now);
        let mut allowed = members.iter().filter(in_region).copied().peekable();
        if allowed.peek().is_none() {
            return (!members.is_empty()).then_some(Unavailability::Region);
        }
        (!allowed.any(admitted)).then_some(Unavailability::Evacuated)
    }

    /// Returns the endpoints to try for a write, best first.
    ///
    /// Endpoints neither known nor registered as leader are included only if all leader candidates
    /// have recently answered that they are followers: an unreachable leader is still the only one
    /// that may accept a write. There is none while zone or region forbid all leader candidates:
    /// asking the other members would delay the refusal of every request.
    pub fn write_candidates(
        &self,
        service: &str,
        scope: &RequestScope<'_>,
        now: Instant,
    ) -> Vec<String> {
        let serves = |name: &&String| self.endpoints[*name].accepts_work(self.drain_timeout, now);
        let permits = |name: &&String| self.permits(name, WorkKind::Leader, scope, now);
        let usable = |name: &&String| serves(name) && permits(name);
        let mut candidates = self.leader_candidates(service, now);
        candidates.retain(serves);
        let knows_leader = !candidates.is_empty();
        candidates.retain(permits);
        if knows_leader && candidates.is_empty() {
            return Vec::new();
        }
        let is_evacuated = |name: &String| self.zone_phase(name, now).is_evacuated();
        if !self.evacuations.is_empty()
            && candidates
                .iter()
                .any(|name| self.is_known_leader(service, name) && !is_evacuated(name))
        {
            // Once a member outside leads, an evacuated one gets no more work, even if its
            // registration still names it as leader.
            candidates.retain(|name| !is_evacuated(name));
        }
        let has_leader =
            candidates.iter().any(|name| !self.endpoints[*name].view.refused_to_lead_recently(now));
        let mut order: Vec<String> = candidates.iter().map(|name| (*name).clone()).collect();
        if !has_leader {
            let mut others: Vec<&String> = self
                .members(service)
                .iter()
                .filter(usable)
                .filter(|name| !candidates.contains(name))
                .filter(|name| !is_evacuated(name))
                .collect();
            others.sort_by_key(|name| {
                let entry = &self.endpoints[*name];
                (
                    entry.view.refused_to_lead_recently(now),
                    !entry.is_active(),
                    entry.view.failed_recently(now),
                )
            });
            order.extend(others.into_iter().cloned());
        }
        order
    }

    /// Returns the members that are asked whether they lead: those outside of evacuated zones of
    /// services whose leader candidates are all in closed zones.
    pub fn members_of_closed_leaders(&self, now: Instant) -> Vec<String> {
        if self.evacuations.is_empty() {
            return Vec::new();
        }
        let is_closed = |name: &&String| self.zone_phase(name, now) == ZonePhase::Closed;
        let lacks_leader = |service: &&String| {
            let leaders = self.leader_candidates(service, now);
            !leaders.is_empty() && leaders.iter().all(is_closed)
        };
        let services = self.services.keys().filter(lacks_leader);
        let members = services.flat_map(|service| self.members(service));
        members.filter(|name| !self.zone_phase(name, now).is_evacuated()).cloned().collect()
    }

    /// Returns the endpoints known or registered as leader, the most credible first.
    pub(crate) fn leader_candidates(&self, service: &str, now: Instant) -> Vec<&String> {
        let Some(state) = self.services.get(service) else {
            return Vec::new();
        };
        let known_leader = state.leader.as_ref().map(|(endpoint, _)| endpoint);
        let may_lead = |name: &&String| {
            self.endpoints[*name].record.leads || known_leader.is_some_and(|leader| leader == *name)
        };
        let mut order: Vec<&String> = state.members.iter().filter(may_lead).collect();
        order.sort_by_key(|name| {
            let entry = &self.endpoints[*name];
            // A leader that failed recently may have been replaced by a member that so far only its
            // registration names as leader.
            (
                entry.view.refused_to_lead_recently(now),
                entry.view.failed_recently(now),
                known_leader != Some(*name),
            )
        });
        order
    }

    /// Returns the endpoints to try for a read, by the expected time to its answer.
    pub fn read_candidates(
        &self,
        service: &str,
        zone: &str,
        scope: &RequestScope<'_>,
        required: Option<RequiredPosition>,
        read: ReadPlacement,
        now: Instant,
    ) -> Vec<ReadEndpoint> {
        let candidates = self.expect_reads(service, zone, scope, required, read, now);
        let endpoint = |(name, candidate): (&String, RankedCandidate)| ReadEndpoint {
            name: name.clone(),
            leads: candidate.candidate.leads,
            catch_up_wait: candidate.catch_up_wait(required, now),
        };
        candidates.into_iter().map(endpoint).collect()
    }

    /// Returns the endpoints to try for a read, best first, with what is known of each and its
    /// expected time.
    pub fn expect_reads(
        &self,
        service: &str,
        zone: &str,
        scope: &RequestScope<'_>,
        required: Option<RequiredPosition>,
        read: ReadPlacement,
        now: Instant,
    ) -> Vec<(&String, RankedCandidate)> {
        let leader = self.leader(service, now);
        let members = self.read_members(service, scope, leader.as_ref(), now);
        let name_hash = self.services.get(service).map_or(0, |state| state.name_hash);
        let service_key = rendezvous::pair_weight(read.team_hash, name_hash);
        let candidate = |name: &&String| {
            let key = rendezvous::pair_weight(read.team_hash, self.endpoints[*name].name_hash);
            let connection = self.connection_hints.get(key, service_key, now);
            let candidate = self.read_candidate(name, leader.as_ref(), zone);
            RankedCandidate::new(candidate, key, connection)
        };
        let mut candidates: Vec<RankedCandidate> = members.iter().map(candidate).collect();
        let service_time = self.usual_service_time(service, read.service_class);
        let read = PlacedRead { required, service_time, draw: read.draw };
        let mut order = order_by_expected_time(&mut candidates, &read, now);
        self.move_evacuated_last(&members, &mut order, now);
        order.into_iter().map(|index| (members[index], candidates[index])).collect()
    }

    /// Returns the usual service time of a class of requests of a service.
    pub fn usual_service_time(&self, service: &str, service_class: ServiceClass) -> Duration {
        let state = self.services.get(service);
        state.map_or(Duration::ZERO, |state| state.baseline.service_time(service_class))
    }

    /// Returns whether a registered or leaving endpoint may still get new work.
    pub fn accepts_work(&self, endpoint: &str, now: Instant) -> bool {
        let entry = self.endpoints.get(endpoint);
        entry.is_some_and(|entry| entry.accepts_work(self.drain_timeout, now))
    }

    /// Returns the members of a service that may serve a read.
    fn read_members(
        &self,
        service: &str,
        scope: &RequestScope<'_>,
        leader: Option<&String>,
        now: Instant,
    ) -> Vec<&String> {
        let serves = |name: &&String| {
            let entry = &self.endpoints[*name];
            let leads = leader == Some(*name);
            let kind = if leads { WorkKind::Leader } else { WorkKind::Replica };
            entry.accepts_work(self.drain_timeout, now)
                && (entry.is_active() || leads)
                && self.permits(name, kind, scope, now)
        };
        self.members(service).iter().filter(serves).collect()
    }

    /// Orders a leader that is still open in an evacuated zone last: it reads only what no other
    /// member can.
    fn move_evacuated_last(&self, members: &[&String], order: &mut [usize], now: Instant) {
        if !self.evacuations.is_empty() {
            order.sort_by_key(|index| self.zone_phase(members[*index], now).is_evacuated());
        }
    }

    fn read_candidate(&self, name: &String, leader: Option<&String>, zone: &str) -> ReadCandidate {
        let entry = &self.endpoints[name];
        let same_zone = entry.record.zone == zone;
        ReadCandidate { view: entry.view, same_zone, leads: leader == Some(name) }
    }
}
