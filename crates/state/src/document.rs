//! Configuration document: one TOML text per environment, promoted byte for byte.

use std::collections::HashSet;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::{ResultExt as _, Snafu, ensure};

use crate::credential::KeyHash;

/// Format version that this program reads.
pub const FORMAT_VERSION: u32 = 1;
/// Largest accepted document in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 16 * 1024 * 1024;

/// Errors of reading a document.
#[derive(Debug, Snafu)]
pub enum DocumentError {
    /// The text is not TOML of the expected shape; the message carries line and column.
    #[snafu(display("{source}"))]
    Syntax {
        /// Cause reported by the TOML reader.
        source: Box<toml::de::Error>,
    },
    /// The document is larger than the limit.
    #[snafu(display("document has {bytes} bytes, {MAX_DOCUMENT_BYTES} are accepted"))]
    TooLarge {
        /// Size found.
        bytes: usize,
    },
    /// A value breaks a rule.
    #[snafu(display("{section} {name:?}: {rule}"))]
    InvalidValue {
        /// Section that holds the value.
        section: &'static str,
        /// Name of the entry.
        name: String,
        /// Rule that was broken.
        rule: String,
    },
}

/// Settings of one environment, the same on every instance.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Format version of the document.
    pub format: u32,
    /// Teams that share the databases.
    #[serde(default, rename = "team")]
    pub teams: Vec<TeamSection>,
    /// Databases that the teams share.
    #[serde(default, rename = "database")]
    pub databases: Vec<DatabaseSection>,
    /// Routes that give matching statements other rules than the default ones.
    #[serde(default, rename = "route")]
    pub routes: Vec<RouteSection>,
}

/// Settings of one team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TeamSection {
    /// Name, used as the user name of its connections.
    pub name: String,
    /// Statements a second over all instances.
    pub rate: f64,
    /// Statements that may run at once after a pause, over all instances.
    pub burst: f64,
    /// Salted hashes of the keys in force.
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

/// Settings of one database group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DatabaseSection {
    /// Name, used as the database name of connections.
    pub name: String,
    /// Logical names of the members; addresses stand in each instance's settings.
    pub members: Vec<String>,
    /// Statements that one member runs at once.
    pub slots: u32,
    /// Connections that one member accepts from all instances together.
    pub connections: u32,
    /// Longest time a statement may take, queue included, in milliseconds.
    pub deadline_ms: u64,
    /// Tells that the database is leaving and gets no new work.
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

/// Kind of statements that a route matches.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RouteKind {
    /// Statements that only read.
    #[default]
    Read,
    /// Statements that write.
    Write,
}

/// Rules of the statements whose tables all belong to the route.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RouteSection {
    /// Name, shown in logs and metrics.
    pub name: String,
    /// Database that the route belongs to.
    pub database: String,
    /// Kind of statements that match.
    pub kind: RouteKind,
    /// Tables that matching statements may name.
    pub tables: Vec<String>,
    /// Age of data that reads accept, in milliseconds; absent means the primary's data.
    pub stated_age_ms: Option<u64>,
    /// Tells that callers without a key may use the route.
    pub open: bool,
    /// Tells that matching writes may be repeated without harm.
    pub idempotent: bool,
    /// Deadline that replaces the database's, in milliseconds.
    pub deadline_ms: Option<u64>,
}

impl Document {
    /// Reads and checks a document.
    pub fn parse(text: &str) -> Result<Self, DocumentError> {
        let bytes = text.len();
        ensure!(bytes <= MAX_DOCUMENT_BYTES, TooLargeSnafu { bytes });
        let document: Self = toml::from_str(text).map_err(Box::new).context(SyntaxSnafu)?;
        document.validate()?;
        Ok(document)
    }

    /// Checks the rules that the types do not express.
    pub fn validate(&self) -> Result<(), DocumentError> {
        let rule = format!("format must be {FORMAT_VERSION}");
        ensure!(
            self.format == FORMAT_VERSION,
            InvalidValueSnafu { section: "document", name: "format", rule }
        );
        check_names("team", self.teams.iter().map(|team| team.name.as_str()))?;
        check_names("database", self.databases.iter().map(|database| database.name.as_str()))?;
        check_names("route", self.routes.iter().map(|route| route.name.as_str()))?;
        self.teams.iter().try_for_each(|team| self.check_team(team))?;
        self.databases.iter().try_for_each(check_database)?;
        self.routes.iter().try_for_each(|route| self.check_route(route))
    }

    fn check_team(&self, team: &TeamSection) -> Result<(), DocumentError> {
        let name = &team.name;
        let usable = |value: f64| value.is_finite() && (0.0..=1e9).contains(&value);
        let rule = "rate must lie between 0 and 1e9 statements a second";
        ensure!(usable(team.rate), InvalidValueSnafu { section: "team", name, rule });
        let rule = "burst must lie between 1 and 1e9 statements";
        ensure!(
            usable(team.burst) && team.burst >= 1.0,
            InvalidValueSnafu { section: "team", name, rule }
        );
        for database in &team.databases {
            let known = self.databases.iter().any(|section| section.name == *database);
            let rule = format!("database {database:?} is not declared");
            ensure!(known, InvalidValueSnafu { section: "team", name, rule });
        }
        Ok(())
    }

    fn check_route(&self, route: &RouteSection) -> Result<(), DocumentError> {
        let name = &route.name;
        let known = self.databases.iter().any(|database| database.name == route.database);
        let rule = format!("database {:?} is not declared", route.database);
        ensure!(known, InvalidValueSnafu { section: "route", name, rule });
        let rule = "at least one table must be named";
        ensure!(!route.tables.is_empty(), InvalidValueSnafu { section: "route", name, rule });
        let write = route.kind == RouteKind::Write;
        let rule = "stated_age_ms is for reads only";
        ensure!(
            !(write && route.stated_age_ms.is_some()),
            InvalidValueSnafu { section: "route", name, rule }
        );
        Ok(())
    }
}

fn check_database(database: &DatabaseSection) -> Result<(), DocumentError> {
    let name = &database.name;
    let section = "database";
    check_names("member", database.members.iter().map(String::as_str))?;
    let rule = "at least one member must be named";
    ensure!(!database.members.is_empty(), InvalidValueSnafu { section, name, rule });
    let rule = "slots and connections must be at least 1";
    ensure!(
        database.slots > 0 && database.connections > 0,
        InvalidValueSnafu { section, name, rule }
    );
    let rule = "deadline_ms must lie between 1 and 3600000";
    ensure!(
        (1..=3_600_000).contains(&database.deadline_ms),
        InvalidValueSnafu { section, name, rule }
    );
    Ok(())
}

fn check_names<'a>(
    section: &'static str,
    names: impl Iterator<Item = &'a str>,
) -> Result<(), DocumentError> {
    let mut seen = HashSet::new();
    for name in names {
        let plain = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
        let valid = !name.is_empty() && name.len() <= 63 && name.chars().all(plain);
        let rule = "a name has 1 to 63 letters, digits, dots, dashes or underscores";
        ensure!(valid, InvalidValueSnafu { section, name, rule });
        ensure!(
            seen.insert(name),
            InvalidValueSnafu { section, name, rule: "the name stands twice" }
        );
    }
    Ok(())
}
