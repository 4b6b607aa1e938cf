//! Profiles of the two reference deployments.

use std::time::Duration;

use clap::ValueEnum;
use state::credential::KeyHash;
use state::document::{
    DatabaseSection, Document, FORMAT_VERSION, RouteKind, RouteSection, TeamSection,
};

/// Name of a deployment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, ValueEnum)]
pub enum ProfileName {
    /// Hall and seat bookings in Vlaanderen.
    #[default]
    Volksdans,
    /// Register of door repairs in Portugal.
    Apmpa,
}

impl ProfileName {
    /// Returns the name in lower case.
    pub fn label(self) -> &'static str {
        match self {
            Self::Volksdans => "volksdans",
            Self::Apmpa => "apmpa",
        }
    }
}

/// Team of a deployment and its admission limit.
#[derive(Clone, Copy, Debug)]
pub struct TeamProfile {
    /// Name of the team.
    pub name: &'static str,
    /// Admitted statements per second.
    pub rate: f64,
}

/// Topology, capacities and teams of a deployment.
#[derive(Clone, Debug)]
pub struct DeploymentProfile {
    /// Name of the deployment.
    pub name: ProfileName,
    /// Availability zones.
    pub zones: [&'static str; 3],
    /// One-way delay between availability zones.
    pub zone_delay: Duration,
    /// One-way delay to callers; not emulated.
    pub caller_delay: Duration,
    /// Databases, each with one member in every availability zone.
    pub databases: [&'static str; 3],
    /// Maximum number of statements that a member runs concurrently.
    pub slots: u32,
    /// Maximum number of connections to a member.
    pub connections: u32,
    /// Time that a member takes to open a connection.
    pub connect_time: Duration,
    /// Table that callers read most, on a route that accepts stale data.
    pub browse_table: &'static str,
    /// Maximum staleness of reads from that table.
    pub browse_max_staleness: Duration,
    /// Teams with an API key.
    pub teams: [TeamProfile; 8],
}

const fn team(name: &'static str, rate: f64) -> TeamProfile {
    TeamProfile { name, rate }
}

impl DeploymentProfile {
    /// Returns the profile of a deployment.
    pub fn from_name(name: ProfileName) -> Self {
        match name {
            ProfileName::Volksdans => volksdans(),
            ProfileName::Apmpa => apmpa(),
        }
    }

    /// Builds the configuration document.
    ///
    /// Each team has the hash of one of `keys`; the team `open` has none.
    pub fn document(&self, keys: &[String]) -> Document {
        let team = |(profile, key): (&TeamProfile, &String)| TeamSection {
            name: profile.name.to_owned(),
            rate: profile.rate,
            burst: 2.0 * profile.rate,
            keys: vec![KeyHash::generate(key)],
            databases: Vec::new(),
        };
        let anonymous = TeamSection {
            name: "open".to_owned(),
            rate: 200.0,
            burst: 400.0,
            ..TeamSection::default()
        };
        Document {
            format: FORMAT_VERSION,
            teams: self.teams.iter().zip(keys).map(team).chain([anonymous]).collect(),
            databases: self.databases.iter().map(|name| self.database(name)).collect(),
            routes: self.databases.iter().flat_map(|name| self.routes(name)).collect(),
        }
    }

    fn database(&self, name: &str) -> DatabaseSection {
        DatabaseSection {
            name: name.to_owned(),
            members: self.zones.iter().map(|zone| (*zone).to_owned()).collect(),
            slots: self.slots,
            connections: self.connections,
            ..DatabaseSection::default()
        }
    }

    fn routes(&self, database: &str) -> [RouteSection; 2] {
        let browse_route = RouteSection {
            name: format!("{database}-browse"),
            database: database.to_owned(),
            tables: vec![self.browse_table.to_owned()],
            stated_age_ms: Some(self.browse_max_staleness.as_millis() as u64),
            ..RouteSection::default()
        };
        let notices_route = RouteSection {
            name: format!("{database}-notices"),
            database: database.to_owned(),
            kind: RouteKind::Read,
            tables: vec!["notices".to_owned()],
            stated_age_ms: Some(60_000),
            open: true,
            ..RouteSection::default()
        };
        [browse_route, notices_route]
    }
}

fn volksdans() -> DeploymentProfile {
    DeploymentProfile {
        name: ProfileName::Volksdans,
        zones: ["gent", "leuven", "brugge"],
        zone_delay: Duration::from_micros(1_500),
        caller_delay: Duration::from_millis(1),
        databases: ["bookings", "halls", "workshops"],
        slots: 3,
        connections: 25,
        connect_time: Duration::from_millis(10),
        browse_table: "seats",
        browse_max_staleness: Duration::from_secs(2),
        teams: [
            team("gent-dans", 400.0),
            team("leuven-dans", 400.0),
            team("brugge-dans", 200.0),
            team("mechelen", 100.0),
            team("aalst", 60.0),
            team("kortrijk", 60.0),
            team("hasselt", 40.0),
            team("oostende", 40.0),
        ],
    }
}

fn apmpa() -> DeploymentProfile {
    DeploymentProfile {
        name: ProfileName::Apmpa,
        zones: ["lisboa", "porto", "coimbra"],
        zone_delay: Duration::from_millis(1),
        caller_delay: Duration::from_millis(3),
        databases: ["contracts", "breakdowns", "inspections"],
        slots: 2,
        connections: 35,
        connect_time: Duration::from_millis(30),
        browse_table: "visits",
        browse_max_staleness: Duration::from_secs(5),
        teams: [
            team("dispatch", 300.0),
            team("billing", 300.0),
            team("lisboa-norte", 150.0),
            team("porto-centro", 100.0),
            team("coimbra", 60.0),
            team("braga", 60.0),
            team("faro", 40.0),
            team("evora", 40.0),
        ],
    }
}
