//! Index of the current configuration document, with ids that stay stable across revisions.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use crate::credential::KeyHash;
use crate::document::{DatabaseSection, Document, RouteKind, RouteSection, TeamSection};

new_key_type! {
    /// Id of a team, stable while consecutive revisions declare its name.
    pub struct TeamId;
    /// Id of a database, stable while consecutive revisions declare its name.
    pub struct DatabaseId;
}

/// Team of the current document.
#[derive(Clone, Debug)]
pub struct TeamEntry {
    /// Name of the team.
    pub name: Arc<str>,
    /// Rate limit in statements per second, over all instances.
    pub rate: f64,
    /// Burst limit in statements, over all instances.
    pub burst: f64,
    /// Hashes of the API keys that are valid.
    pub keys: Vec<KeyHash>,
    /// Databases the team may use; empty means all.
    pub databases: Vec<String>,
}

/// Route of the current document.
#[derive(Clone, Debug)]
pub struct RouteEntry {
    /// Name of the route.
    pub name: Arc<str>,
    /// Kind of the statements that match.
    pub kind: RouteKind,
    /// Tables that a matching statement may use, in lower case.
    pub tables: BTreeSet<String>,
    /// Maximum staleness that reads accept; none means that they need the primary's data.
    pub max_staleness: Option<Duration>,
    /// Whether callers without an API key may use the route.
    pub allows_anonymous: bool,
    /// Whether matching writes may be retried after an unknown outcome.
    pub idempotent: bool,
    /// Deadline that overrides the database's.
    pub deadline: Option<Duration>,
}

/// Database of the current document, with its routes.
#[derive(Clone, Debug)]
pub struct DatabaseEntry {
    /// Name of the database.
    pub name: Arc<str>,
    /// Logical names of the members.
    pub members: Vec<Arc<str>>,
    /// Maximum number of concurrent statements on one member.
    pub slots: u32,
    /// Maximum number of connections to one member, over all instances.
    pub connections: u32,
    /// Maximum time of a statement, including its time in the queue.
    pub deadline: Duration,
    /// Whether the database is leaving and accepts no new work.
    pub leaving: bool,
    /// Routes of the database, in the document's order.
    pub routes: Vec<Arc<RouteEntry>>,
}

impl DatabaseEntry {
    /// Returns the first route of this kind whose tables include all of `tables`.
    pub fn find_route(&self, kind: RouteKind, tables: &[String]) -> Option<&Arc<RouteEntry>> {
        if tables.is_empty() {
            return None;
        }
        self.routes.iter().find(|route| {
            route.kind == kind && tables.iter().all(|table| route.tables.contains(table))
        })
    }
}

/// Teams and databases of the current document, with its revision.
#[derive(Clone, Debug, Default)]
pub struct DocumentCatalog {
    revision: u64,
    teams: SlotMap<TeamId, Arc<TeamEntry>>,
    databases: SlotMap<DatabaseId, Arc<DatabaseEntry>>,
    team_ids: HashMap<Arc<str>, TeamId>,
    database_ids: HashMap<Arc<str>, DatabaseId>,
}

impl DocumentCatalog {
    /// Returns the catalog of `document`; names that both documents declare keep their ids.
    pub fn updated(&self, revision: u64, document: &Document) -> Self {
        let mut catalog = self.clone();
        catalog.revision = revision;
        catalog.replace_teams(&document.teams);
        catalog.replace_databases(document);
        catalog
    }

    /// Returns the revision of the document; zero before the first one.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the id of the team with this name.
    pub fn team_id(&self, name: &str) -> Option<TeamId> {
        self.team_ids.get(name).copied()
    }

    /// Returns a team, or `None` if the document no longer declares it.
    pub fn team(&self, id: TeamId) -> Option<&Arc<TeamEntry>> {
        self.teams.get(id)
    }

    /// Returns the id of the database with this name.
    pub fn database_id(&self, name: &str) -> Option<DatabaseId> {
        self.database_ids.get(name).copied()
    }

    /// Returns a database, or `None` if the document no longer declares it.
    pub fn database(&self, id: DatabaseId) -> Option<&Arc<DatabaseEntry>> {
        self.databases.get(id)
    }

    /// Iterates over all teams.
    pub fn teams(&self) -> impl Iterator<Item = (TeamId, &Arc<TeamEntry>)> {
        self.teams.iter()
    }

    /// Iterates over all databases.
    pub fn databases(&self) -> impl Iterator<Item = (DatabaseId, &Arc<DatabaseEntry>)> {
        self.databases.iter()
    }

    fn replace_teams(&mut self, sections: &[TeamSection]) {
        let ids = &mut self.team_ids;
        let declared_names: HashSet<&str> =
            sections.iter().map(|section| section.name.as_str()).collect();
        let is_declared = |name: &str| declared_names.contains(name);
        self.teams.retain(|_, team| is_declared(&team.name));
        ids.retain(|name, _| is_declared(name));
        for section in sections {
            let team = Arc::new(team_entry(section));
            match ids.get(section.name.as_str()) {
                Some(id) => self.teams[*id] = team,
                None => {
                    let name = team.name.clone();
                    ids.insert(name, self.teams.insert(team));
                }
            }
        }
    }

    fn replace_databases(&mut self, document: &Document) {
        let sections = &document.databases;
        let ids = &mut self.database_ids;
        let declared_names: HashSet<&str> =
            sections.iter().map(|section| section.name.as_str()).collect();
        let is_declared = |name: &str| declared_names.contains(name);
        let mut routes: HashMap<&str, Vec<Arc<RouteEntry>>> = HashMap::new();
        for route in &document.routes {
            routes.entry(&route.database).or_default().push(Arc::new(route_entry(route)));
        }
        self.databases.retain(|_, database| is_declared(&database.name));
        ids.retain(|name, _| is_declared(name));
        for section in sections {
            let database_routes = routes.remove(section.name.as_str()).unwrap_or_default();
            let database = Arc::new(database_entry(section, database_routes));
            match ids.get(section.name.as_str()) {
                Some(id) => self.databases[*id] = database,
                None => {
                    let name = database.name.clone();
                    ids.insert(name, self.databases.insert(database));
                }
            }
        }
    }
}

fn team_entry(section: &TeamSection) -> TeamEntry {
    TeamEntry {
        name: section.name.as_str().into(),
        rate: section.rate,
        burst: section.burst,
        keys: section.keys.clone(),
        databases: section.databases.clone(),
    }
}

fn database_entry(section: &DatabaseSection, routes: Vec<Arc<RouteEntry>>) -> DatabaseEntry {
    DatabaseEntry {
        name: section.name.as_str().into(),
        members: section.members.iter().map(|member| member.as_str().into()).collect(),
        slots: section.slots,
        connections: section.connections,
        deadline: section.deadline(),
        leaving: section.leaving,
        routes,
    }
}

fn route_entry(section: &RouteSection) -> RouteEntry {
    RouteEntry {
        name: section.name.as_str().into(),
        kind: section.kind,
        tables: section.tables.iter().map(|table| table.to_lowercase()).collect(),
        max_staleness: section.stated_age_ms.map(Duration::from_millis),
        allows_anonymous: section.open,
        idempotent: section.idempotent,
        deadline: section.deadline_ms.map(Duration::from_millis),
    }
}
