//! Decoded records of the platform: the document in force, endpoints, instances and the lease.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

pub use coord::membership::InstanceRecord;
use coord::priority::PriorityLevel;
use coord::promotion_order::PromotionOrder;
use coord::quota::TeamLimit;
use coord::service_time::ServiceClass;
use serde::{Deserialize, Serialize};
use state::position::LogPosition;

/// Read consistency of a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteConsistency {
    /// Every statement runs on the leader.
    Leader,
    /// Reads may be stale up to a bound.
    BoundedStaleness {
        /// Maximum age of the data that a read returns.
        max_staleness: Duration,
    },
    /// Reads may be stale up to a bound but include the session's own commits.
    ReadYourWrites {
        /// Maximum age of the data that a read returns.
        max_staleness: Duration,
    },
}

impl RouteConsistency {
    /// Returns the maximum staleness of reads, or `None` if they must run on the leader.
    pub fn max_staleness(&self) -> Option<Duration> {
        match self {
            Self::Leader => None,
            Self::BoundedStaleness { max_staleness } | Self::ReadYourWrites { max_staleness } => {
                Some(*max_staleness)
            }
        }
    }
}

/// Route from a database name to a service.
#[derive(Clone, Debug)]
pub struct RouteRecord {
    /// Database name that callers request.
    pub database: String,
    /// Service that runs the statements.
    pub service: String,
    /// Consistency of reads.
    pub consistency: RouteConsistency,
    /// Priority; zero is the highest.
    pub priority: PriorityLevel,
    /// Time limit of one statement.
    pub statement_timeout: Duration,
    /// Latency that callers expect of a whole operation.
    pub target_latency: Duration,
    /// Callers need no key.
    pub public: bool,
    /// Regions whose members may serve the route; empty for all.
    pub permitted_regions: Vec<String>,
}

impl RouteRecord {
    /// Returns the class of the route's statements for the estimate of their hold times.
    pub fn service_class(&self) -> ServiceClass {
        let consistency = match self.consistency {
            RouteConsistency::Leader => 0,
            RouteConsistency::BoundedStaleness { .. } => 1,
            RouteConsistency::ReadYourWrites { .. } => 2,
        };
        ServiceClass::new(consistency, self.priority, self.target_latency)
    }
}

/// Service that a group of endpoints provides.
#[derive(Clone, Debug)]
pub struct ServiceRecord {
    /// Name of the service.
    pub name: String,
    /// Maximum connections to one endpoint, over all instances together.
    pub max_connections: usize,
    /// Number of replicas that must confirm a commit before it is acknowledged.
    pub synchronous_replicas: usize,
    /// Time for which a member is cold after its start; zero if members start warm.
    pub cold_start: Duration,
    /// Requests per second that a cold member may get over all instances; zero for no limit.
    pub cold_rate: f64,
}

/// Team with its keys and limits.
#[derive(Clone, Debug)]
pub struct TeamRecord {
    /// Name of the team, as sent to endpoints.
    pub name: String,
    /// Keys that the team's callers present.
    pub keys: Vec<String>,
    /// Rate limit over all instances; `None` if unlimited.
    pub limit: Option<TeamLimit>,
    /// Regions whose members may serve the team; empty for all.
    pub permitted_regions: Vec<String>,
}

/// What becomes of a field of a document that cannot be decoded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DefectEffect {
    /// The field has its strictest value, or its default if none is stricter.
    Replaced,
    /// The items of the list that cannot be decoded are left out.
    ItemsLeftOut,
    /// The entry with the field is left out.
    EntryLeftOut,
}

impl DefectEffect {
    /// Returns the label of the effect for logs and the status.
    pub fn label(self) -> &'static str {
        match self {
            Self::Replaced => "replaced",
            Self::ItemsLeftOut => "items left out",
            Self::EntryLeftOut => "entry left out",
        }
    }
}

/// Field of a document that cannot be decoded; the rest of the document comes into force without it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DocumentDefect {
    /// Kind and name of the entry with the field.
    pub entry: String,
    /// Name of the field.
    pub field: &'static str,
    /// What becomes of the field.
    pub effect: DefectEffect,
}

impl fmt::Display for DocumentDefect {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}: {}, {}", self.entry, self.field, self.effect.label())
    }
}

/// Document of an environment: its routes, services and teams.
#[derive(Clone, Debug, Default)]
pub struct FleetDocument {
    /// Version, which every change increases; `None` if it cannot be decoded.
    pub version: Option<u64>,
    /// Routes.
    pub routes: Vec<RouteRecord>,
    /// Services.
    pub services: Vec<ServiceRecord>,
    /// Teams.
    pub teams: Vec<TeamRecord>,
    /// Time after which an idle open transaction is rolled back; `None` for no limit.
    pub transaction_idle_timeout: Option<Duration>,
    /// Fields that cannot be decoded.
    pub defects: Vec<DocumentDefect>,
}

/// Registered endpoint.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EndpointRecord {
    /// Name of the endpoint's process; a new process usually has a new name.
    pub name: String,
    /// Service that the endpoint belongs to.
    pub service: String,
    /// Address that accepts statements.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Number of statements that the endpoint runs concurrently.
    pub slots: usize,
    /// The endpoint drains before it shuts down and takes no new work.
    pub leaving: bool,
    /// The registration claims that the endpoint leads its service.
    pub leads: bool,
    /// Time for which the endpoint stays cold, counted from the registration.
    pub cold_remaining: Duration,
    /// Start time by the endpoint's own clock, in milliseconds since the Unix epoch. A change
    /// means that the endpoint restarted under the same name.
    pub started_ms: u64,
    /// Number of the report, counted from the start of the endpoint.
    pub sequence: u64,
}

impl EndpointRecord {
    /// Returns the order of the reports of an endpoint: its start and the number of the report.
    pub fn report(&self) -> (u64, u64) {
        (self.started_ms, self.sequence)
    }

    /// Returns whether another registration is one of the same process: a process has one service and
    /// one address.
    pub fn is_same_process(&self, other: &Self) -> bool {
        self.started_ms == other.started_ms
            && self.service == other.service
            && self.address == other.address
    }

    /// Returns whether another report says the same.
    pub fn is_same_state(&self, other: &Self) -> bool {
        let sequence = self.sequence;
        *self == Self { sequence, ..other.clone() }
    }
}

/// Promotion lease, as kept in the store.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PromotionLease {
    /// Name of the instance that holds the lease.
    pub holder: String,
    /// Incarnation of the holder.
    pub incarnation: u64,
    /// Last fencing token that the holder may use; the next holder starts above it.
    pub token: u64,
    /// Time at which the lease expires by the store's clock, in milliseconds.
    pub ends_ms: u64,
    /// Positions of acknowledged commits of the services with synchronous replicas, for a holder that
    /// no other instance can tell them.
    #[serde(default)]
    pub acknowledged: Vec<(String, LogPosition)>,
    /// Orders to promote that may still be carried out, for the next holder.
    #[serde(default)]
    pub orders: Vec<PromotionOrder>,
}
