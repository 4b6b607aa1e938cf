//! Directory of an instance: document in force, endpoints, leaders and watermarks.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use coord::cold_budget::ColdPeriod;
use coord::connection_reuse::ConnectionHints;
use coord::document_choice::{DocumentChoice, DocumentStep, OfferedDocument};
use coord::endpoint_health::{EndpointSample, HealthView, ServiceBaseline, sample_duration};
use coord::evacuation::{EvacuationTable, ZonePhase};
use coord::placement::EndpointView;
use coord::rendezvous;
use coord::replica_lag::ReplicaLag;
use coord::service_time::ServiceClass;
use coord::watermark::{Watermark, WatermarkRing};
use state::position::LogPosition;
use state::store_version::{DocumentVersion, StoreVersion};

use crate::document_index::DocumentIndex;
use crate::instance::ZoneSettings;
use crate::message::{KeptDocument, LeavingEndpoint, millis, service_hash};
use crate::record::{EndpointRecord, FleetDocument};
use crate::service_commits::ServiceCommits;
use crate::tables::StoredRow;

/// Time for which an endpoint still takes work after its registration vanished. An outage of the
/// store may remove registrations, which reappear within 2 s of its recovery.
const UNREGISTERED_GRACE_PERIOD: Duration = Duration::from_millis(2_500);

/// Time at which an endpoint announced that it is leaving.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeavingTime {
    /// The endpoint is not leaving.
    Active,
    /// It announced it at this time, as this instance or a peer saw it.
    Since(Instant),
    /// It was leaving when its registration was first read, and no peer has told since when.
    Unknown,
}

impl LeavingTime {
    /// Returns whether an endpoint may have been leaving for `drain_timeout` or longer.
    fn may_exceed(self, drain_timeout: Duration, now: Instant) -> bool {
        match self {
            Self::Active => false,
            Self::Since(at) => now.saturating_duration_since(at) >= drain_timeout,
            Self::Unknown => true,
        }
    }
}

/// Registration of an endpoint with the observations of this instance.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// Last registration.
    pub record: EndpointRecord,
    /// Version of the registration's row.
    pub(crate) row: StoreVersion,
    /// Observations of this instance.
    pub view: EndpointView,
    /// Time at which the registration vanished; `None` while registered.
    pub unregistered_at: Option<Instant>,
    /// Time at which the endpoint announced that it is leaving.
    pub leaving_since: LeavingTime,
    /// Hash of the endpoint's name, for the rendezvous order of each team.
    pub(crate) name_hash: u64,
    /// Hash of the endpoint's service.
    pub(crate) service_hash: u32,
    /// Time for which the endpoint's process is cold.
    pub cold: ColdPeriod,
}

impl EndpointEntry {
    /// Returns whether the endpoint may get new work.
    pub(crate) fn accepts_work(&self, drain_timeout: Duration, now: Instant) -> bool {
        let elapsed = |at: Option<Instant>, limit: Duration| {
            at.is_some_and(|at| now.saturating_duration_since(at) >= limit)
        };
        !elapsed(self.unregistered_at, UNREGISTERED_GRACE_PERIOD)
            && !self.leaving_since.may_exceed(drain_timeout, now)
    }

    /// Returns whether the endpoint is registered and not leaving.
    pub fn is_active(&self) -> bool {
        self.unregistered_at.is_none() && !self.record.leaving
    }
}

/// Leader, watermarks and members of a service.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceState {
    pub(crate) watermarks: WatermarkRing,
    pub(crate) leader: Option<(String, u64)>,
    pub(crate) members: Vec<String>,
    /// Hash of the service's name.
    pub(crate) name_hash: u64,
    pub(crate) baseline: ServiceBaseline,
    pub(crate) commits: ServiceCommits,
}

/// Directory of document, endpoints and leaders, as known to one instance.
#[derive(Debug)]
pub struct FleetDirectory {
    pub(crate) document: Rc<DocumentIndex>,
    choice: DocumentChoice,
    /// Row of the document in force.
    document_row: Option<StoredRow>,
    /// Document that may come into force, with its row.
    pending_document: Option<(FleetDocument, StoredRow)>,
    pub(crate) endpoints: HashMap<String, EndpointEntry>,
    /// Last registrations of members of services with synchronous replicas, and when they vanished.
    pub(crate) unlisted: HashMap<String, (EndpointRecord, Instant)>,
    pub(crate) services: HashMap<String, ServiceState>,
    pub(crate) drain_timeout: Duration,
    endpoints_loaded: bool,
    pub(crate) connection_hints: ConnectionHints,
    pub(crate) evacuations: EvacuationTable,
    /// Region of each availability zone.
    pub(crate) regions: HashMap<String, String>,
}

impl FleetDirectory {
    /// Creates an empty directory; a leaving endpoint gets no new work after `drain_timeout`.
    pub fn new(drain_timeout: Duration) -> Self {
        Self {
            document: Rc::default(),
            choice: DocumentChoice::default(),
            document_row: None,
            pending_document: None,
            endpoints: HashMap::new(),
            unlisted: HashMap::new(),
            services: HashMap::new(),
            drain_timeout,
            endpoints_loaded: false,
            connection_hints: ConnectionHints::default(),
            evacuations: EvacuationTable::default(),
            regions: HashMap::new(),
        }
    }

    /// Sets the regions of the zones and the bound on evacuations, before any zone is evacuated.
    pub fn set_zones(&mut self, zones: &ZoneSettings) {
        self.regions.clone_from(&zones.regions);
        if let Some(bound) = zones.evacuation_bound {
            self.evacuations = EvacuationTable::new(bound);
        }
    }

    /// Returns the evacuations that are known.
    pub fn evacuations(&self) -> &EvacuationTable {
        &self.evacuations
    }

    /// Returns the evacuations that are known, to be changed.
    pub fn evacuations_mut(&mut self) -> &mut EvacuationTable {
        &mut self.evacuations
    }

    /// Returns the phase of an endpoint's zone.
    pub fn zone_phase(&self, endpoint: &str, now: Instant) -> ZonePhase {
        if self.evacuations.is_empty() {
            return ZonePhase::Open;
        }
        let record = self.known_record(endpoint);
        record.map_or(ZonePhase::Open, |record| self.evacuations.phase(&record.zone, now))
    }

    /// Sets the time after which a leaving endpoint gets no new work.
    pub fn set_drain_timeout(&mut self, drain_timeout: Duration) {
        self.drain_timeout = drain_timeout;
    }

    /// Returns the document in force.
    pub fn document(&self) -> Rc<DocumentIndex> {
        self.document.clone()
    }

    /// Returns whether a document and the table of endpoints have been loaded.
    pub fn is_loaded(&self) -> bool {
        self.document.version > 0 && self.endpoints_loaded
    }

    /// Records that the table of endpoints has been loaded in full.
    pub fn set_endpoints_loaded(&mut self) {
        self.endpoints_loaded = true;
    }

    /// Returns the version of the document in force.
    pub fn document_version(&self) -> DocumentVersion {
        self.choice.version()
    }

    /// Returns what becomes of the document of a row; it may be in force afterwards.
    pub fn offer_document(
        &mut self,
        document: FleetDocument,
        row: &StoredRow,
        now: Instant,
    ) -> DocumentStep {
        let number = document.version.unwrap_or_else(|| self.choice.substitute_number());
        let version = DocumentVersion { row: row.version, number };
        let step = self.choice.offer(OfferedDocument { version, digest: row.digest() }, now);
        match step {
            DocumentStep::Adopt => self.set_document(document, row.clone()),
            DocumentStep::Wait => self.pending_document = Some((document, row.clone())),
            DocumentStep::Confirm | DocumentStep::Keep => self.pending_document = None,
            DocumentStep::Ignore => {}
        }
        step
    }

    /// Brings the pending document into force if nothing has replaced it for `settle_time`; returns
    /// whether it is in force now.
    pub fn settle_document(&mut self, settle_time: Duration, now: Instant) -> bool {
        if !self.choice.settle(settle_time, now) {
            return false;
        }
        if let Some((document, row)) = self.pending_document.take() {
            self.set_document(document, row);
        }
        true
    }

    /// Brings the document into force that another instance has, if it is newer; returns whether it is
    /// in force now.
    pub fn adopt_kept_document(&mut self, document: FleetDocument, kept: &KeptDocument) -> bool {
        let offered = OfferedDocument { version: kept.version, digest: kept.row.digest() };
        let is_adopted = self.choice.adopt_kept(offered);
        if is_adopted {
            self.set_document(document, kept.row.clone());
        }
        is_adopted
    }

    /// Returns the document in force with its row.
    pub fn kept_document(&self) -> Option<KeptDocument> {
        let row = self.document_row.clone()?;
        Some(KeptDocument { version: self.document_version(), row })
    }

    fn set_document(&mut self, document: FleetDocument, row: StoredRow) {
        let number = self.document_version().number;
        let index = Rc::new(DocumentIndex::new(document, number));
        let previous = std::mem::replace(&mut self.document, index);
        let is_synchronous = |document: &DocumentIndex, name: &str| {
            document.service(name).is_some_and(|service| service.synchronous_replicas > 0)
        };
        for (name, state) in &mut self.services {
            if is_synchronous(&previous, name) && !is_synchronous(&self.document, name) {
                state.commits.clear_acknowledged();
            }
        }
        self.document_row = Some(row);
        self.pending_document = None;
    }

    /// Records that everything from this version on was written after the store had its history.
    pub fn record_written(&mut self, version: StoreVersion) {
        self.choice.record_written(version);
    }

    /// Records that a row other than the document's was written with this version.
    pub fn record_other_row(&mut self, version: StoreVersion) {
        self.choice.record_other_row(version);
    }

    /// Returns whether the store has another document than the one in force.
    pub fn has_pending_document(&self) -> bool {
        self.choice.is_pending()
    }

    /// Applies a registration; returns whether it differs from the previous one in more than the time
    /// for which the endpoint stays cold, which counts down.
    ///
    /// `row` is the version of the row. The first row of a new history of the store may be older than
    /// the known registration, which stays then.
    pub fn apply_endpoint(
        &mut self,
        record: EndpointRecord,
        row: StoreVersion,
        now: Instant,
    ) -> bool {
        if let Some(entry) = self.endpoints.get_mut(&record.name) {
            let is_registered = entry.unregistered_at.is_none();
            if entry.row.history < row.history {
                entry.row = row;
                match record.report().cmp(&entry.record.report()) {
                    Ordering::Less => return false,
                    Ordering::Equal if !is_registered => return false,
                    Ordering::Equal => {}
                    Ordering::Greater => self.choice.record_written(row),
                }
            }
            if is_registered && entry.record.is_same_state(&record) {
                entry.record.sequence = record.sequence;
                entry.row = row;
                return false;
            }
        }
        let known = self.endpoints.get(&record.name);
        let is_changed = known.is_none_or(|entry| {
            let cold_remaining = record.cold_remaining;
            let known = EndpointRecord { cold_remaining, ..entry.record.clone() };
            entry.unregistered_at.is_some() || !known.is_same_state(&record)
        });
        let is_new_process = known.is_none_or(|entry| !entry.record.is_same_process(&record));
        self.leave_service(&record);
        let known = self.endpoints.get(&record.name);
        let view = match known {
            Some(entry) if !is_new_process => entry.view,
            _ => EndpointView::default(),
        };
        let cold = match known {
            Some(entry) if !is_new_process => entry.cold.reported(record.cold_remaining, now),
            _ => ColdPeriod::first_seen(record.cold_remaining, !self.endpoints_loaded, now),
        };
        let leaving_since = match known {
            _ if !record.leaving => LeavingTime::Active,
            None => LeavingTime::Unknown,
            Some(entry) if entry.record.leaving && !is_new_process => entry.leaving_since,
            Some(_) => LeavingTime::Since(now),
        };
        let service = self.services.entry(record.service.clone()).or_default();
        service.name_hash = rendezvous::weight(&record.service, "");
        if !service.members.contains(&record.name) {
            service.members.push(record.name.clone());
        }
        let name_hash = rendezvous::weight(&record.name, "");
        let service_hash = service_hash(&record.service);
        let entry = EndpointEntry {
            view,
            unregistered_at: None,
            leaving_since,
            cold,
            name_hash,
            service_hash,
            row,
            record,
        };
        self.unlisted.remove(&entry.record.name);
        self.endpoints.insert(entry.record.name.clone(), entry);
        is_changed
    }

    /// Takes a registered endpoint out of its service if it registers for another one.
    fn leave_service(&mut self, record: &EndpointRecord) {
        let Some(known) = self.endpoints.get(&record.name) else {
            return;
        };
        if known.record.service != record.service
            && let Some(state) = self.services.get_mut(&known.record.service)
        {
            state.members.retain(|member| *member != record.name);
            state.leader = state.leader.take().filter(|(leader, _)| *leader != record.name);
        }
    }

    /// Returns the endpoints that are leaving, as far as the time is known.
    pub fn leaving_endpoints(&self, now: Instant) -> Vec<LeavingEndpoint> {
        let leaving = self.endpoints.values().filter_map(|entry| match entry.leaving_since {
            LeavingTime::Since(at) => Some(LeavingEndpoint {
                name: entry.record.name.clone(),
                started_ms: entry.record.started_ms,
                age_ms: millis(now.saturating_duration_since(at)),
            }),
            LeavingTime::Active | LeavingTime::Unknown => None,
        });
        leaving.collect()
    }

    /// Records for how long an endpoint has been leaving, as a peer saw it. The earliest time that
    /// any instance saw counts.
    pub fn record_leaving(&mut self, leaving: &LeavingEndpoint, now: Instant) {
        let Some(entry) = self.endpoints.get_mut(&leaving.name) else {
            return;
        };
        let Some(at) = now.checked_sub(Duration::from_millis(leaving.age_ms.into())) else {
            return;
        };
        if entry.record.started_ms != leaving.started_ms {
            return;
        }
        entry.leaving_since = match entry.leaving_since {
            LeavingTime::Active => LeavingTime::Active,
            LeavingTime::Since(known_at) => LeavingTime::Since(known_at.min(at)),
            LeavingTime::Unknown => LeavingTime::Since(at),
        };
    }

    /// Records that a registration vanished; returns whether the endpoint was registered before.
    pub fn unregister_endpoint(&mut self, name: &str, now: Instant) -> bool {
        let Some(entry) = self.endpoints.get_mut(name) else {
            return false;
        };
        let newly_unregistered = entry.unregistered_at.is_none();
        entry.unregistered_at = entry.unregistered_at.or(Some(now));
        if newly_unregistered {
            self.require_answered(name);
        }
        newly_unregistered
    }

    /// Removes endpoints that have been unregistered for more than four times
    /// `UNREGISTERED_GRACE_PERIOD`, and returns their names.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<String> {
        let is_expired = |entry: &EndpointEntry| {
            entry
                .unregistered_at
                .is_some_and(|at| now.saturating_duration_since(at) > 4 * UNREGISTERED_GRACE_PERIOD)
        };
        let expired = self.endpoints.iter().filter(|(_, entry)| is_expired(entry));
        let names: Vec<String> = expired.map(|(name, _)| name.clone()).collect();
        for name in &names {
            if let Some(entry) = self.endpoints.remove(name) {
                self.retire(entry.record, entry.unregistered_at.unwrap_or(now));
            }
            for service in self.services.values_mut() {
                service.members.retain(|member| member != name);
            }
        }
        self.forget_unlisted(now);
        names
    }

    /// Returns an endpoint by its name.
    pub fn endpoint(&self, name: &str) -> Option<&EndpointEntry> {
        self.endpoints.get(name)
    }

    /// Returns whether an endpoint is a member of the service with this hash.
    pub fn is_member(&self, endpoint: &str, service_hash: u32) -> bool {
        self.endpoints.get(endpoint).is_some_and(|entry| entry.service_hash == service_hash)
    }

    /// Returns the names of all endpoints.
    pub fn endpoint_names(&self) -> Vec<String> {
        self.endpoints.keys().cloned().collect()
    }

    /// Updates the observations of an endpoint; unknown endpoints are ignored.
    pub fn update_view(&mut self, name: &str, change: impl FnOnce(&mut EndpointView)) {
        if let Some(entry) = self.endpoints.get_mut(name) {
            change(&mut entry.view);
        }
    }

    /// Records the log position that an endpoint reports.
    pub fn record_position(&mut self, endpoint: &str, position: LogPosition, now: Instant) {
        let Some(entry) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        entry.view.position = Some((position, now));
        if let Some(service) = self.services.get(&entry.record.service) {
            entry.view.lag = ReplicaLag::observe(position, &service.watermarks, now);
        }
    }

    /// Records a watermark confirmed by a leader; returns whether the leader is new.
    pub fn record_leader_watermark(&mut self, endpoint: &str, watermark: Watermark) -> bool {
        let Some(entry) = self.endpoints.get_mut(endpoint) else {
            return false;
        };
        entry.view.not_leader_at = None;
        let service = entry.record.service.clone();
        let state = self.services.entry(service.clone()).or_default();
        state.watermarks.record(watermark);
        state.commits.record_newest(watermark.position);
        self.record_leader(&service, endpoint, watermark.position.term)
    }

    /// Records the leader of a service in a term; returns whether the leader is new.
    ///
    /// A replaced leader that was running a write may answer in the term of its successor. While it
    /// is evacuated nothing else would show that it does not lead, so the successor replaces it.
    pub fn record_leader(&mut self, service: &str, endpoint: &str, term: u64) -> bool {
        let is_evacuated = |name: &str| {
            !self.evacuations.is_empty()
                && self
                    .endpoints
                    .get(name)
                    .is_some_and(|entry| self.evacuations.is_evacuated(&entry.record.zone))
        };
        let known = self.services.get(service).and_then(|state| state.leader.as_ref());
        let is_outdated = known.is_some_and(|(known, known_term)| match term.cmp(known_term) {
            Ordering::Greater => false,
            Ordering::Equal => is_evacuated(endpoint) || !is_evacuated(known),
            Ordering::Less => true,
        });
        if is_outdated {
            return false;
        }
        let state = self.services.entry(service.to_owned()).or_default();
        state.leader = Some((endpoint.to_owned(), term));
        true
    }

    /// Records a watermark received from another instance.
    pub fn record_watermark(&mut self, service: &str, watermark: Watermark) {
        let state = self.services.entry(service.to_owned()).or_default();
        state.watermarks.record(watermark);
        state.commits.record_newest(watermark.position);
    }

    /// Returns the watermarks of a service.
    pub fn watermarks(&self, service: &str) -> Option<&WatermarkRing> {
        self.services.get(service).map(|state| &state.watermarks)
    }

    /// Returns the known leaders, sorted: service, endpoint, term.
    pub fn leaders(&self) -> Vec<(String, String, u64)> {
        let known = self.services.iter().filter_map(|(service, state)| {
            let (endpoint, term) = state.leader.clone()?;
            Some((service.clone(), endpoint, term))
        });
        let mut leaders: Vec<_> = known.collect();
        leaders.sort();
        leaders
    }

    /// Returns the names of the members of a service.
    pub fn members(&self, service: &str) -> &[String] {
        self.services.get(service).map_or(&[], |state| &state.members)
    }

    /// Returns the most credible leader of a service that has not recently answered that it is a
    /// follower.
    pub fn leader(&self, service: &str, now: Instant) -> Option<String> {
        let candidates = self.leader_candidates(service, now);
        candidates
            .into_iter()
            .find(|name| !self.endpoints[*name].view.refused_to_lead_recently(now))
            .cloned()
    }

    pub(crate) fn is_known_leader(&self, service: &str, name: &str) -> bool {
        let leader = self.services.get(service).and_then(|state| state.leader.as_ref());
        leader.is_some_and(|(endpoint, _)| endpoint == name)
    }

    /// Records a sample that arrived with the reply to a call of a team, `elapsed` after the call.
    pub fn record_sample(
        &mut self,
        endpoint: &str,
        call: (ServiceClass, u64),
        sample: EndpointSample,
        elapsed: Duration,
        now: Instant,
    ) {
        let (service_class, team_hash) = call;
        let Some(entry) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        let Some(service) = self.services.get_mut(&entry.record.service) else {
            return;
        };
        // The leader also gets what only it can run, so a team may be frequent only there.
        let leads = service.leader.as_ref().is_some_and(|(leader, _)| leader == endpoint);
        let network_delay = elapsed.saturating_sub(sample_duration(sample.handling_time));
        HealthView::update(
            &mut entry.view.health,
            &mut service.baseline,
            service_class,
            sample,
            network_delay,
            now,
        );
        let key = rendezvous::pair_weight(team_hash, entry.name_hash);
        self.connection_hints.record_connection(key, sample.had_connection, now);
        if !leads {
            let service_key = rendezvous::pair_weight(team_hash, service.name_hash);
            self.connection_hints.record_frequent(service_key, sample.is_frequent, now);
        }
    }
}
