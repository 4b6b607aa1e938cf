//! Index of a document.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use coord::priority::PriorityLevel;
use coord::quota::TeamLimit;

use crate::record::{DocumentDefect, FleetDocument, RouteRecord, ServiceRecord};

/// Index of the document in force.
#[derive(Debug, Default)]
pub struct DocumentIndex {
    /// Version of the document; zero before the first one.
    pub version: u64,
    /// Time after which an idle open transaction is rolled back; `None` for no limit.
    pub transaction_idle_timeout: Option<Duration>,
    routes: HashMap<String, Rc<RouteRecord>>,
    services: HashMap<String, ServiceRecord>,
    teams_by_key: HashMap<String, Rc<str>>,
    limits: HashMap<String, Option<TeamLimit>>,
    /// Regions of the teams that are restricted to some.
    team_regions: HashMap<String, Vec<String>>,
    priorities: BTreeSet<PriorityLevel>,
    /// Fields that could not be decoded.
    pub defects: Vec<DocumentDefect>,
}

impl DocumentIndex {
    pub(crate) fn new(document: FleetDocument, version: u64) -> Self {
        let mut teams_by_key = HashMap::new();
        let mut limits = HashMap::new();
        let mut team_regions = HashMap::new();
        for team in document.teams {
            let name: Rc<str> = team.name.as_str().into();
            teams_by_key.extend(team.keys.into_iter().map(|key| (key, name.clone())));
            if !team.permitted_regions.is_empty() {
                team_regions.insert(team.name.clone(), team.permitted_regions);
            }
            limits.insert(team.name, team.limit);
        }
        let priorities = document.routes.iter().map(|route| route.priority).collect();
        let routes = document.routes.into_iter();
        let services = document.services.into_iter();
        Self {
            version,
            transaction_idle_timeout: document.transaction_idle_timeout,
            routes: routes.map(|route| (route.database.clone(), Rc::new(route))).collect(),
            services: services.map(|service| (service.name.clone(), service)).collect(),
            teams_by_key,
            limits,
            team_regions,
            priorities,
            defects: document.defects,
        }
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    /// Returns the number of teams.
    pub fn team_count(&self) -> usize {
        self.limits.len()
    }

    /// Returns the route of a database.
    pub fn route(&self, database: &str) -> Option<Rc<RouteRecord>> {
        self.routes.get(database).cloned()
    }

    /// Returns the team that a key belongs to.
    pub fn team_by_key(&self, key: &str) -> Option<Rc<str>> {
        self.teams_by_key.get(key).cloned()
    }

    /// Returns the rate limit of a team, or `None` if the team is unlimited or unknown.
    pub fn team_limit(&self, team: &str) -> Option<TeamLimit> {
        self.limits.get(team).copied().flatten()
    }

    /// Returns whether the document declares a team.
    pub fn has_team(&self, team: &str) -> bool {
        self.limits.contains_key(team)
    }

    /// Returns the regions that a team is restricted to; empty if it may use all.
    pub fn team_regions(&self, team: &str) -> &[String] {
        // Hardly any deployment restricts a team, so most requests need no lookup.
        if self.team_regions.is_empty() {
            return &[];
        }
        self.team_regions.get(team).map_or(&[], Vec::as_slice)
    }

    /// Returns how many distinct higher priorities the routes of the document use.
    pub fn priority_rank(&self, priority: PriorityLevel) -> usize {
        self.priorities.iter().filter(|other| **other < priority).count()
    }

    /// Returns a service by its name.
    pub fn service(&self, name: &str) -> Option<&ServiceRecord> {
        self.services.get(name)
    }

    /// Returns the names of all services.
    pub fn service_names(&self) -> impl Iterator<Item = &str> {
        self.services.keys().map(String::as_str)
    }
}
