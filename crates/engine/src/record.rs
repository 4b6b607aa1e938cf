//! What the platform keeps, decoded: the document in force, registered endpoints and instances.

use std::net::SocketAddr;
use std::time::Duration;

use coord::quota::TeamLimit;
use coord::urgency::UrgencyLevel;
use serde::{Deserialize, Serialize};

/// How reads of a route are kept consistent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteConsistency {
    /// Every statement runs on the leader.
    Leader,
    /// Reads may be of a stated age.
    BoundedStaleness {
        /// Greatest age of the data.
        max_staleness: Duration,
    },
    /// Reads may be of a stated age but show the session's own commits.
    ReadYourWrites {
        /// Greatest age of the data.
        max_staleness: Duration,
    },
}

impl RouteConsistency {
    /// Returns the age that reads may have; none if they need the leader.
    pub fn max_staleness(&self) -> Option<Duration> {
        match self {
            Self::Leader => None,
            Self::BoundedStaleness { max_staleness } | Self::ReadYourWrites { max_staleness } => {
                Some(*max_staleness)
            }
        }
    }
}

/// Route of a database name to a service.
#[derive(Clone, Debug)]
pub struct RouteRecord {
    /// Name of the database that callers ask for.
    pub database: String,
    /// Service that runs its statements.
    pub service: String,
    /// How reads are kept consistent.
    pub consistency: RouteConsistency,
    /// Urgency, zero first.
    pub priority: UrgencyLevel,
    /// Time that one statement may take.
    pub statement_timeout: Duration,
    /// Time in which callers want an operation answered.
    pub target_latency: Duration,
    /// No key is needed.
    pub public: bool,
}

/// Service of endpoints.
#[derive(Clone, Debug)]
pub struct ServiceRecord {
    /// Name of the service.
    pub name: String,
    /// Connections that one endpoint takes from all instances together.
    pub max_connections: usize,
    /// Replicas that confirm a commit before it is acknowledged.
    pub synchronous_replicas: usize,
}

/// Team with its keys and limits.
#[derive(Clone, Debug)]
pub struct TeamRecord {
    /// Name by which endpoints know the team.
    pub name: String,
    /// Keys of the team's callers.
    pub keys: Vec<String>,
    /// Limits over all instances; none if unlimited.
    pub limit: Option<TeamLimit>,
}

/// Document of an environment as the platform keeps it.
#[derive(Clone, Debug, Default)]
pub struct FleetDocument {
    /// Version, raised by every change.
    pub version: u64,
    /// Routes.
    pub routes: Vec<RouteRecord>,
    /// Services.
    pub services: Vec<ServiceRecord>,
    /// Teams.
    pub teams: Vec<TeamRecord>,
    /// Time for which an open transaction may rest.
    pub transaction_idle_timeout: Option<Duration>,
}

/// Registered endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// Name of the endpoint's process; a new process has a new one as a rule.
    pub name: String,
    /// Service to which it belongs.
    pub service: String,
    /// Address for statements.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Statements that it runs at once.
    pub slots: usize,
    /// It leaves and takes no new work.
    pub leaving: bool,
    /// It says that it leads its service.
    pub leads: bool,
    /// Time of its start in milliseconds of the epoch, by its own clock; tells a restart.
    pub started_ms: u64,
}

/// Registered instance of this system.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct InstanceRecord {
    /// Name of the instance.
    pub name: String,
    /// Address for other instances.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Number drawn at its start.
    pub incarnation: u64,
}

/// Lease of the duty to promote, as kept in the store.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PromotionLease {
    /// Name of the instance on duty.
    pub holder: String,
    /// Number drawn at the start of the holder.
    pub incarnation: u64,
    /// Fencing token, raised whenever the holder changes.
    pub token: u64,
    /// Time of the store's clock at which the lease ends, in milliseconds.
    pub ends_ms: u64,
}
