//! Document in force, arranged in arenas whose keys outlive a change of the document.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use crate::credential::KeyHash;
use crate::document::{DatabaseSection, Document, RouteKind, RouteSection, TeamSection};

new_key_type! {
    /// Key of a team.
    pub struct TeamId;
    /// Key of a database.
    pub struct DatabaseId;
}

/// Team in force.
#[derive(Clone, Debug)]
pub struct TeamEntry {
    /// Name of the team.
    pub name: Arc<str>,
    /// Statements a second over all instances.
    pub rate: f64,
    /// Statements that may run at once after a pause, over all instances.
    pub burst: f64,
    /// Key hashes in force.
    pub keys: Vec<KeyHash>,
    /// Databases the team may use; empty means all.
    pub databases: Vec<String>,
}

/// Route in force.
#[derive(Clone, Debug)]
pub struct RouteEntry {
    /// Name of the route.
    pub name: Arc<str>,
    /// Kind of statements that match.
    pub kind: RouteKind,
    /// Tables that matching statements may name, in lower case.
    pub tables: BTreeSet<String>,
    /// Age of data that reads accept.
    pub max_staleness: Option<Duration>,
    /// Tells that callers without a key may use the route.
    pub allows_anonymous: bool,
    /// Tells that matching writes may be repeated.
    pub idempotent: bool,
    /// Deadline that replaces the database's.
    pub deadline: Option<Duration>,
}

/// Database in force, with its routes.
#[derive(Clone, Debug)]
pub struct DatabaseEntry {
    /// Name of the database.
    pub name: Arc<str>,
    /// Logical names of the members.
    pub members: Vec<Arc<str>>,
    /// Statements that one member runs at once.
    pub slots: u32,
    /// Connections that one member accepts from all instances together.
    pub connections: u32,
    /// Longest time a statement may take.
    pub deadline: Duration,
    /// Tells that the database gets no new work.
    pub leaving: bool,
    /// Routes of the database, in the document's order.
    pub routes: Vec<Arc<RouteEntry>>,
}

impl DatabaseEntry {
    /// Finds the first route whose kind matches and whose tables include all of `tables`.
    pub fn find_route(&self, kind: RouteKind, tables: &[String]) -> Option<&Arc<RouteEntry>> {
        if tables.is_empty() {
            return None;
        }
        self.routes.iter().find(|route| {
            route.kind == kind && tables.iter().all(|table| route.tables.contains(table))
        })
    }
}

/// Document in force with its revision.
#[derive(Clone, Debug, Default)]
pub struct DocumentCatalog {
    revision: u64,
    teams: SlotMap<TeamId, Arc<TeamEntry>>,
    databases: SlotMap<DatabaseId, Arc<DatabaseEntry>>,
    team_names: HashMap<Arc<str>, TeamId>,
    database_names: HashMap<Arc<str>, DatabaseId>,
}

impl DocumentCatalog {
    /// Returns the catalog of `document`, keeping the keys of names that stay.
    pub fn updated(&self, revision: u64, document: &Document) -> Self {
        let mut catalog = self.clone();
        catalog.revision = revision;
        catalog.replace_teams(&document.teams);
        catalog.replace_databases(document);
        catalog
    }

    /// Returns the revision of the document, zero before the first one.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Finds a team by name.
    pub fn team_id(&self, name: &str) -> Option<TeamId> {
        self.team_names.get(name).copied()
    }

    /// Returns a team, or none once the document no longer declares it.
    pub fn team(&self, key: TeamId) -> Option<&Arc<TeamEntry>> {
        self.teams.get(key)
    }

    /// Finds a database by name.
    pub fn database_id(&self, name: &str) -> Option<DatabaseId> {
        self.database_names.get(name).copied()
    }

    /// Returns a database, or none once the document no longer declares it.
    pub fn database(&self, key: DatabaseId) -> Option<&Arc<DatabaseEntry>> {
        self.databases.get(key)
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
        let names = &mut self.team_names;
        let known: HashSet<&str> = sections.iter().map(|section| section.name.as_str()).collect();
        let declared = |name: &str| known.contains(name);
        self.teams.retain(|_, team| declared(&team.name));
        names.retain(|name, _| declared(name));
        for section in sections {
            let team = Arc::new(team_entry(section));
            match names.get(section.name.as_str()) {
                Some(key) => self.teams[*key] = team,
                None => {
                    let name = team.name.clone();
                    names.insert(name, self.teams.insert(team));
                }
            }
        }
    }

    fn replace_databases(&mut self, document: &Document) {
        let sections = &document.databases;
        let names = &mut self.database_names;
        let known: HashSet<&str> = sections.iter().map(|section| section.name.as_str()).collect();
        let declared = |name: &str| known.contains(name);
        let mut routes: HashMap<&str, Vec<Arc<RouteEntry>>> = HashMap::new();
        for route in &document.routes {
            routes.entry(&route.database).or_default().push(Arc::new(route_entry(route)));
        }
        self.databases.retain(|_, database| declared(&database.name));
        names.retain(|name, _| declared(name));
        for section in sections {
            let own = routes.remove(section.name.as_str()).unwrap_or_default();
            let database = Arc::new(database_entry(section, own));
            match names.get(section.name.as_str()) {
                Some(key) => self.databases[*key] = database,
                None => {
                    let name = database.name.clone();
                    names.insert(name, self.databases.insert(database));
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
