//! Read-only status of an instance.

use coord::cold_budget::ColdBudget;
use coord::evacuation::ZonePhase;
use coord::member_pace::WorkKind;
use serde::{Deserialize, Serialize};

use crate::explain::to_ms;
use crate::instance::{EngineTypes, GatewayInstance};
use crate::pool::EndpointPool;

/// Number of the document's defects in the status.
const MAX_LISTED_DEFECTS: usize = 20;

/// Status of an instance.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct InstanceStatus {
    /// Name of the instance.
    pub instance: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// The instance can serve callers and is not leaving.
    pub is_ready: bool,
    /// Version of the document in force; zero before the first one.
    pub document_version: u64,
    /// First fields of the document that cannot be decoded, with what became of them.
    #[serde(default)]
    pub document_defects: Vec<String>,
    /// Another instance has a newer document, which must have been in force here by now.
    pub is_document_outdated: bool,
    /// The instance falls behind its own work.
    pub is_congested: bool,
    /// Instances that are live, this one included.
    pub live_instances: usize,
    /// Instances that are registered, this one included.
    pub known_instances: usize,
    /// Zones that are evacuated or return.
    pub zones: Vec<ZoneStatus>,
    /// Requests that run or wait at all endpoints.
    pub outstanding_requests: usize,
    /// Connections to all endpoints that are open or being opened.
    pub open_connections: usize,
    /// Endpoints that this instance has used as a connection owner, by name.
    pub endpoints: Vec<EndpointStatus>,
}

/// Zone that is evacuated or returns.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ZoneStatus {
    /// Name of the zone.
    pub zone: String,
    /// Phase: `leaving`, `closed` or `returning`.
    pub phase: String,
}

/// Endpoint with the queue, limits and connections that this instance has for it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EndpointStatus {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Service of the endpoint.
    pub service: String,
    /// Availability zone of the endpoint; `None` if it is no longer registered.
    pub zone: Option<String>,
    /// This instance is the first connection owner.
    pub is_owned: bool,
    /// The endpoint cannot be reached.
    pub is_unreachable: bool,
    /// Cold endpoint: expected wait in ms for one statement; `None` if the endpoint is warm.
    pub cold_wait_ms: Option<f64>,
    /// Adaptive limits; `None` if the load is even.
    pub pace: Option<PaceStatus>,
    /// Requests that run or wait.
    pub outstanding_requests: usize,
    /// Connections that are open or being opened.
    pub open_connections: usize,
    /// Connections that may be opened.
    pub max_connections: usize,
}

/// Adaptive limits of the calls in flight at an endpoint.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PaceStatus {
    /// Limit of reads.
    pub read_limit: usize,
    /// Limit of what only a leader runs.
    pub leader_limit: usize,
    /// Both limits have their largest value.
    pub is_full: bool,
}

impl<E: EngineTypes> GatewayInstance<E> {
    /// Returns the status of the instance.
    pub fn status(&self) -> InstanceStatus {
        let now = self.now();
        let directory = self.directory.borrow();
        let (live_instances, known_instances) = self.peers.counts();
        let zone = |(zone, phase): (&str, ZonePhase)| ZoneStatus {
            zone: zone.to_owned(),
            phase: phase.label().to_owned(),
        };
        let mut zones: Vec<ZoneStatus> = directory.evacuations().phases(now).map(zone).collect();
        zones.sort_by(|left, right| left.zone.cmp(&right.zone));
        let endpoint_status = |pool: &EndpointPool| {
            let cold_wait = |budget: &ColdBudget| to_ms(budget.clone().expected_delay(1.0, now));
            let pace = pool.pace.borrow().as_ref().map(|pace| PaceStatus {
                read_limit: pace.limit(WorkKind::Read),
                leader_limit: pace.limit(WorkKind::LeaderOnly),
                is_full: pace.is_full(),
            });
            let entry = directory.endpoint(&pool.endpoint);
            EndpointStatus {
                endpoint: pool.endpoint.clone(),
                service: pool.service.clone(),
                zone: entry.map(|entry| entry.record.zone.clone()),
                is_owned: self.is_connection_owner(&pool.endpoint),
                is_unreachable: pool.unreachable_since.get().is_some(),
                cold_wait_ms: pool.cold.borrow().as_ref().map(cold_wait),
                pace,
                outstanding_requests: pool.outstanding_requests(),
                open_connections: pool.open_count.get(),
                max_connections: pool.max_open.get(),
            }
        };
        let pools = self.pools.by_endpoint.borrow();
        let mut endpoints: Vec<EndpointStatus> =
            pools.values().map(|pool| endpoint_status(pool)).collect();
        endpoints.sort_by(|left, right| left.endpoint.cmp(&right.endpoint));
        let document = directory.document();
        let defects = document.defects.iter().take(MAX_LISTED_DEFECTS);
        InstanceStatus {
            instance: self.name().to_owned(),
            zone: self.settings.record.zone.clone(),
            is_ready: self.is_ready(),
            document_version: document.version,
            document_defects: defects.map(ToString::to_string).collect(),
            is_document_outdated: self.is_document_outdated(),
            is_congested: self.is_congested(),
            live_instances,
            known_instances,
            zones,
            outstanding_requests: self.pools.outstanding_requests(),
            open_connections: self.pools.open_connections(),
            endpoints,
        }
    }
}
