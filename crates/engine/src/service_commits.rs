//! What is known of the commits of services with synchronous replicas, and of replicas that may have
//! confirmed them although they are not registered.

use std::time::{Duration, Instant};

use coord::commit_gate::RequiredCommits;
use state::position::LogPosition;

use crate::directory::FleetDirectory;
use crate::message::{UnlistedEndpoint, millis};
use crate::record::EndpointRecord;

/// Time for which a replica is remembered after its registration vanished.
const UNLISTED_RETENTION: Duration = Duration::from_secs(600);
/// Most positions that one lease holds, so that its row stays within the limit of the store.
const MAX_LEASE_POSITIONS: usize = 300;

/// Positions that the log of a service is known to have reached.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceCommits {
    /// Newest position that a leader has answered with.
    newest: Option<LogPosition>,
    /// Newest position that an acknowledged commit certainly has.
    acknowledged: Option<LogPosition>,
}

impl ServiceCommits {
    /// Records a position that a leader has answered with.
    pub(crate) fn record_newest(&mut self, position: LogPosition) {
        self.newest = self.newest.max(Some(position));
    }

    /// Forgets the acknowledged commits, when the service has no synchronous replicas any more.
    pub(crate) fn clear_acknowledged(&mut self) {
        self.acknowledged = None;
    }
}

impl FleetDirectory {
    /// Returns whether commits of a service wait for replicas.
    pub fn is_synchronous(&self, service: &str) -> bool {
        self.document.service(service).is_some_and(|service| service.synchronous_replicas > 0)
    }

    /// Returns the newest position that a leader of a service has answered with.
    pub fn newest_position(&self, service: &str) -> Option<LogPosition> {
        self.services.get(service)?.commits.newest
    }

    /// Returns the newest position that an acknowledged commit of a service certainly has.
    pub fn acknowledged(&self, service: &str) -> Option<LogPosition> {
        self.services.get(service)?.commits.acknowledged
    }

    /// Returns what a member must have received to be promoted.
    pub fn required_commits(&self, service: &str) -> RequiredCommits {
        RequiredCommits {
            acknowledged: self.acknowledged(service),
            is_synchronous: self.is_synchronous(service),
        }
    }

    /// Returns the newest term in which a member of a service is known to have led.
    pub fn newest_term(&self, service: &str) -> u64 {
        let leader = self.services.get(service).and_then(|state| state.leader.as_ref());
        leader.map_or(0, |(_, term)| *term)
    }

    /// Returns the acknowledged positions of all services with synchronous replicas, sorted.
    pub fn acknowledged_positions(&self) -> Vec<(String, LogPosition)> {
        let services = self.services.keys().filter(|service| self.is_synchronous(service));
        let mut positions: Vec<_> = services
            .filter_map(|service| Some((service.clone(), self.acknowledged(service)?)))
            .collect();
        positions.sort();
        positions
    }

    /// Returns the acknowledged positions that fit into a lease.
    pub fn lease_positions(&self) -> Vec<(String, LogPosition)> {
        let mut positions = self.acknowledged_positions();
        positions.truncate(MAX_LEASE_POSITIONS);
        positions
    }

    /// Records that a leader has acknowledged a commit: its position, and the lowest one that the
    /// commit can have.
    pub fn record_commit(&mut self, service: &str, position: LogPosition, lowest: LogPosition) {
        let state = self.services.entry(service.to_owned()).or_default();
        state.commits.record_newest(position);
        self.record_acknowledged(service, lowest);
    }

    /// Records the position of an acknowledged commit.
    pub fn record_acknowledged(&mut self, service: &str, position: LogPosition) {
        let state = self.services.entry(service.to_owned()).or_default();
        state.commits.acknowledged = state.commits.acknowledged.max(Some(position));
    }

    /// Returns the last known registration of an endpoint, also after it has vanished.
    pub(crate) fn known_record(&self, name: &str) -> Option<&EndpointRecord> {
        let listed = self.endpoints.get(name).map(|entry| &entry.record);
        listed.or_else(|| self.unlisted.get(name).map(|(record, _)| record))
    }

    /// Returns the members of a service with synchronous replicas that are no longer registered.
    pub fn unlisted_members(&self, service: &str) -> Vec<String> {
        let is_member = |record: &EndpointRecord| record.service == service;
        let members = self.unlisted.iter().filter(|(_, (record, _))| is_member(record));
        let mut names: Vec<String> = members.map(|(name, _)| name.clone()).collect();
        names.sort();
        names.retain(|_| self.is_synchronous(service));
        names
    }

    /// Returns the registered replicas of a service and how many of them must confirm a commit, if
    /// another replica may confirm commits although it is not registered.
    ///
    /// A replica has ended once another endpoint is registered at its address.
    pub(crate) fn replicas_beside_unseen(
        &self,
        service: &str,
        leader: &str,
    ) -> Option<(Vec<String>, usize)> {
        let synchronous = self.document.service(service)?.synchronous_replicas;
        if synchronous == 0 {
            return None;
        }
        let is_registered = |name: &&String| {
            self.endpoints.get(*name).is_some_and(|entry| entry.unregistered_at.is_none())
        };
        let members = &self.services.get(service)?.members;
        let vanished = members.iter().filter(|name| !is_registered(name));
        let vanished = vanished.filter_map(|name| self.known_record(name));
        let unlisted = self.unlisted.values().map(|(record, _)| record);
        let unlisted = unlisted.filter(|record| record.service == service);
        let is_replaced = |record: &EndpointRecord| {
            let mut entries = self.endpoints.values();
            entries.any(|entry| {
                entry.unregistered_at.is_none() && entry.record.address == record.address
            })
        };
        let may_confirm = |record: &EndpointRecord| record.name != leader && !is_replaced(record);
        if !vanished.chain(unlisted).any(may_confirm) {
            return None;
        }
        let replicas = members.iter().filter(|name| is_registered(name) && *name != leader);
        Some((replicas.cloned().collect(), synchronous))
    }

    /// Requires all that a leader has answered with of the next one, when a replica vanishes that may
    /// have been the only one to confirm it.
    pub(crate) fn require_answered(&mut self, replica: &str) {
        let Some(service) = self.known_record(replica).map(|record| record.service.clone()) else {
            return;
        };
        let leader = self.services.get(&service).and_then(|state| state.leader.as_ref());
        if leader.is_some_and(|(leader, _)| leader == replica) || !self.is_synchronous(&service) {
            return;
        }
        if let Some(position) = self.newest_position(&service) {
            self.record_acknowledged(&service, position);
        }
    }

    /// Returns all remembered endpoints that are no longer registered, also those whose registration
    /// has vanished just now.
    pub fn unlisted_endpoints(&self, now: Instant) -> Vec<UnlistedEndpoint> {
        let age = |at: Instant| millis(now.saturating_duration_since(at));
        let unlisted = self.unlisted.values().map(|(record, at)| (record, *at));
        let vanished = self.endpoints.values().filter_map(|entry| {
            let record = Some(&entry.record).filter(|record| self.is_synchronous(&record.service));
            Some((record?, entry.unregistered_at?))
        });
        unlisted
            .chain(vanished)
            .map(|(record, at)| UnlistedEndpoint { record: record.clone(), age_ms: age(at) })
            .collect()
    }

    /// Remembers an endpoint that another instance knew before its registration vanished.
    pub fn add_unlisted(&mut self, unlisted: UnlistedEndpoint, now: Instant) {
        let name = unlisted.record.name.clone();
        let vanished_at = now.checked_sub(Duration::from_millis(unlisted.age_ms.into()));
        if let Some(at) = vanished_at.filter(|_| !self.endpoints.contains_key(&name)) {
            self.unlisted.entry(name).or_insert((unlisted.record, at));
        }
    }

    /// Remembers a registration that has expired, and forgets the oldest ones.
    pub(crate) fn retire(&mut self, record: EndpointRecord, vanished_at: Instant) {
        if self.is_synchronous(&record.service) {
            self.unlisted.insert(record.name.clone(), (record, vanished_at));
        }
    }

    /// Forgets endpoints whose registration vanished long ago.
    pub(crate) fn forget_unlisted(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < UNLISTED_RETENTION;
        self.unlisted.retain(|_, (_, at)| is_recent(*at));
    }
}
