//! Configuration document: one TOML text per environment, promoted unchanged to the next one.

use std::collections::HashSet;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::{ResultExt as _, Snafu, ensure};

use crate::credential::KeyHash;

/// Format version that this program accepts.
pub const FORMAT_VERSION: u32 = 1;
/// Maximum size of a document in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 16 * 1024 * 1024;

/// Errors of parsing or validating a document.
#[derive(Debug, Snafu)]
pub enum DocumentError {
    /// The text is not TOML with the expected fields; the message names line and column.
    #[snafu(display("{source}"))]
    Syntax {
        /// Error of the TOML parser.
        source: Box<toml::de::Error>,
    },
    /// The document exceeds [`MAX_DOCUMENT_BYTES`].
    #[snafu(display("document of {bytes} bytes exceeds the limit of {MAX_DOCUMENT_BYTES} bytes"))]
    TooLarge {
        /// Size of the document.
        bytes: usize,
    },
    /// A value does not meet a requirement.
    #[snafu(display("{section} {name:?}: {requirement}"))]
    InvalidValue {
        /// Kind of section that contains the value.
        section: &'static str,
        /// Name of the entry in that section.
        name: String,
        /// Requirement that is not met.
        requirement: String,
    },
}

/// Settings of one environment, the same on every instance.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Format version of the document.
    pub format: u32,
    /// Teams that may use the databases.
    #[serde(default, rename = "team")]
    pub teams: Vec<TeamSection>,
    /// Databases, each a group of members.
    #[serde(default, rename = "database")]
    pub databases: Vec<DatabaseSection>,
    /// Routes, which override the defaults for matching statements.
    #[serde(default, rename = "route")]
    pub routes: Vec<RouteSection>,
}

/// Settings of one team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TeamSection {
    /// Name, which callers give as the user name.
    pub name: String,
    /// Rate limit in statements per second, over all instances.
    pub rate: f64,
    /// Burst limit in statements, over all instances.
    pub burst: f64,
    /// Salted hashes of the API keys that are valid.
    pub keys: Vec<KeyHash>,
    /// Databases the team may use; empty means all.
    pub databases: Vec<String>,
}

impl Default for TeamSection {
    fn default() -> Self {
        Self {
            name: String::new(),
            rate: 100.0,
            burst: 200.0,
            keys: Vec::new(),
            databases: Vec::new(),
        }
    }
}

/// Settings of one database.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DatabaseSection {
    /// Name, which callers give as the database name.
    pub name: String,
    /// Logical names of the members; their addresses are in the settings of each instance.
    pub members: Vec<String>,
    /// Maximum number of concurrent statements on one member.
    pub slots: u32,
    /// Maximum number of connections to one member, over all instances.
    pub connections: u32,
    /// Maximum time of a statement in milliseconds, including its time in the queue.
    pub deadline_ms: u64,
    /// Whether the database is leaving and accepts no new work.
    pub leaving: bool,
}

impl Default for DatabaseSection {
    fn default() -> Self {
        Self {
            name: String::new(),
            members: Vec::new(),
            slots: 3,
            connections: 25,
            deadline_ms: 5_000,
            leaving: false,
        }
    }
}

impl DatabaseSection {
    /// Returns the deadline as a duration.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

/// Kind of the statements that a route matches.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RouteKind {
    /// Statements that only read.
    #[default]
    Read,
    /// Statements that write.
    Write,
}

/// Settings of the statements that use only tables of the route.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RouteSection {
    /// Name, which appears in logs and metrics.
    pub name: String,
    /// Database that the route belongs to.
    pub database: String,
    /// Kind of the statements that match.
    pub kind: RouteKind,
    /// Tables that a matching statement may use.
    pub tables: Vec<String>,
    /// Maximum staleness that reads accept, in milliseconds; without it they need the primary's
    /// data.
    pub stated_age_ms: Option<u64>,
    /// Whether callers without an API key may use the route.
    pub open: bool,
    /// Whether matching writes may be retried after an unknown outcome.
    pub idempotent: bool,
    /// Deadline in milliseconds that overrides the database's.
    pub deadline_ms: Option<u64>,
}

impl Document {
    /// Parses and validates a document.
    pub fn parse(text: &str) -> Result<Self, DocumentError> {
        let bytes = text.len();
        ensure!(bytes <= MAX_DOCUMENT_BYTES, TooLargeSnafu { bytes });
        let document: Self = toml::from_str(text).map_err(Box::new).context(SyntaxSnafu)?;
        document.validate()?;
        Ok(document)
    }

    /// Checks the requirements that the types do not express.
    pub fn validate(&self) -> Result<(), DocumentError> {
        let requirement = format!("format must be {FORMAT_VERSION}");
        ensure!(
            self.format == FORMAT_VERSION,
            InvalidValueSnafu { section: "document", name: "format", requirement }
        );
        validate_names("team", self.teams.iter().map(|team| team.name.as_str()))?;
        validate_names("database", self.databases.iter().map(|database| database.name.as_str()))?;
        validate_names("route", self.routes.iter().map(|route| route.name.as_str()))?;
        self.teams.iter().try_for_each(|team| self.validate_team(team))?;
        self.databases.iter().try_for_each(validate_database)?;
        self.routes.iter().try_for_each(|route| self.validate_route(route))
    }

    fn validate_team(&self, team: &TeamSection) -> Result<(), DocumentError> {
        let name = &team.name;
        let in_range = |value: f64| value.is_finite() && (0.0..=1e9).contains(&value);
        let requirement = "rate must be between 0 and 1e9 statements per second";
        ensure!(in_range(team.rate), InvalidValueSnafu { section: "team", name, requirement });
        let requirement = "burst must be between 1 and 1e9 statements";
        ensure!(
            in_range(team.burst) && team.burst >= 1.0,
            InvalidValueSnafu { section: "team", name, requirement }
        );
        for database in &team.databases {
            let declared = self.databases.iter().any(|section| section.name == *database);
            let requirement = format!("database {database:?} is not declared");
            ensure!(declared, InvalidValueSnafu { section: "team", name, requirement });
        }
        Ok(())
    }

    fn validate_route(&self, route: &RouteSection) -> Result<(), DocumentError> {
        let name = &route.name;
        let declared = self.databases.iter().any(|database| database.name == route.database);
        let requirement = format!("database {:?} is not declared", route.database);
        ensure!(declared, InvalidValueSnafu { section: "route", name, requirement });
        let requirement = "at least one table must be named";
        ensure!(
            !route.tables.is_empty(),
            InvalidValueSnafu { section: "route", name, requirement }
        );
        let is_write = route.kind == RouteKind::Write;
        let requirement = "stated_age_ms is allowed on read routes only";
        ensure!(
            !(is_write && route.stated_age_ms.is_some()),
            InvalidValueSnafu { section: "route", name, requirement }
        );
        Ok(())
    }
}

fn validate_database(database: &DatabaseSection) -> Result<(), DocumentError> {
    let name = &database.name;
    let section = "database";
    validate_names("member", database.members.iter().map(String::as_str))?;
    let requirement = "at least one member must be named";
    ensure!(!database.members.is_empty(), InvalidValueSnafu { section, name, requirement });
    let requirement = "slots and connections must be at least 1";
    ensure!(
        database.slots > 0 && database.connections > 0,
        InvalidValueSnafu { section, name, requirement }
    );
    let requirement = "deadline_ms must be between 1 and 3600000";
    ensure!(
        (1..=3_600_000).contains(&database.deadline_ms),
        InvalidValueSnafu { section, name, requirement }
    );
    Ok(())
}

fn validate_names<'a>(
    section: &'static str,
    names: impl Iterator<Item = &'a str>,
) -> Result<(), DocumentError> {
    let mut names_seen = HashSet::new();
    for name in names {
        let is_allowed =
            |character: char| character.is_ascii_alphanumeric() || "-_.".contains(character);
        let valid = !name.is_empty() && name.len() <= 63 && name.chars().all(is_allowed);
        let requirement = "name must have 1 to 63 letters, digits, dots, dashes or underscores";
        ensure!(valid, InvalidValueSnafu { section, name, requirement });
        ensure!(
            names_seen.insert(name),
            InvalidValueSnafu { section, name, requirement: "name is declared more than once" }
        );
    }
    Ok(())
}
