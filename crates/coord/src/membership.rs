//! Membership of the fleet: which instances are known and which of them are live.
//!
//! With a connection between every two instances, the pings of a fleet grow with the square of its
//! size. Here each instance subscribes to a few observers in its availability zone, the instances
//! that rank first there. An observer notices through these connections which of its subscribers
//! are live, and publishes them. Observers subscribe to the observers of the other zones and pass
//! on what those publish, so every instance learns of all others over two hops.
//!
//! An instance counts as live as long as any observer reports it: one observer that lost the
//! connection to a slow instance does not declare it dead.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use slotmap::{SecondaryMap, SlotMap, new_key_type};

use crate::{congestion, rendezvous};

/// Observers of one availability zone to which an instance subscribes.
pub const OBSERVERS_PER_ZONE: usize = 3;
/// Time for which the last view of a lost observer still counts, until others take its place.
///
/// Without it, the loss of all observers of a zone would make every instance there look isolated.
const LOST_OBSERVER_GRACE_PERIOD: Duration = Duration::from_millis(700);
/// Time after which an instance that is not live is removed.
const DEAD_MEMBER_TTL: Duration = Duration::from_secs(20);
/// Time for which an instance that does not rank among the first of its zone must have had
/// subscribers before it observes other zones.
///
/// While a zone loses its observers, its instances subscribe to many others for a moment.
const OBSERVER_PROMOTION_DELAY: Duration = Duration::from_secs(1);
/// Time after its start in which an instance does not conclude from unreachable ones that it ranks
/// among the first of its zone.
const STARTUP_PERIOD: Duration = Duration::from_secs(3);
/// Factor by which an instance with twice the capacity is more likely to become an owner.
///
/// Large instances answer faster and few owners need few connections, but a single large instance
/// must not own everything.
const OWNER_WEIGHT_FACTOR: f64 = 16.0;
/// Number of unreachable endpoints from which an instance that reaches no other counts as cut off.
const MIN_CUT_OFF_ENDPOINTS: usize = 3;
/// Number of replaced incarnations that are remembered for each name.
const MAX_SUPERSEDED: usize = 8;
/// Rendezvous hash key that ranks the instances of an availability zone.
const OBSERVER_RANKING_KEY: &str = "observer";

new_key_type! {
    /// Key of a known instance.
    pub struct InstanceKey;
}

/// Registered instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct InstanceRecord {
    /// Name of the instance.
    pub name: String,
    /// Address that accepts connections from other instances.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Random number drawn at process start.
    pub incarnation: u64,
    /// Processor share of the instance, in thousandths of a core; zero if unknown.
    #[serde(default)]
    pub capacity: u32,
}

impl InstanceRecord {
    /// Returns the capacity in powers of two, so that small differences do not matter.
    fn capacity_class(&self) -> u32 {
        self.capacity.checked_ilog2().unwrap_or(0)
    }

    /// Returns the rank of the instance as an owner of `subject`, lower for a better one: weighted
    /// rendezvous hashing by capacity.
    fn owner_rank(&self, subject: &str) -> u64 {
        let hash = rendezvous::weight(subject, &self.name);
        let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        let weight = OWNER_WEIGHT_FACTOR.powi(self.capacity_class() as i32);
        // The bits of positive numbers have the order of the numbers.
        (-uniform.ln() / weight).max(0.0).to_bits()
    }
}

/// Status that an instance reports of itself.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberStatus {
    /// The instance is shutting down and takes no new work from others.
    pub leaving: bool,
    /// The instance reaches the store.
    pub store_reachable: bool,
    /// Fencing token if the instance holds the promotion lease.
    pub promotion_token: Option<u64>,
    /// Largest fencing token that the instance has held or heard of.
    pub newest_token: u64,
    /// Endpoints that the instance cannot reach while it reaches others.
    pub unreachable_endpoints: Vec<String>,
    /// The instance reaches none of the endpoints that it tried.
    pub is_cut_off: bool,
    /// The instance falls behind its own work.
    pub is_congested: bool,
}

impl MemberStatus {
    /// Sets which endpoints cannot be reached, besides `reachable_count` others that can.
    ///
    /// An instance that reaches none of several endpoints is itself cut off. It reports only that: the
    /// list would change with each endpoint it tries, and says nothing about any of them.
    pub fn set_unreachable(&mut self, endpoints: Vec<String>, reachable_count: usize) {
        self.is_cut_off = reachable_count == 0 && endpoints.len() >= MIN_CUT_OFF_ENDPOINTS;
        self.unreachable_endpoints = if self.is_cut_off { Vec::new() } else { endpoints };
    }

    fn newest_known_token(&self) -> u64 {
        self.newest_token.max(self.promotion_token.unwrap_or(0))
    }

    /// Returns whether the instance reports that it cannot reach an endpoint.
    fn misses(&self, endpoint: &str) -> bool {
        self.is_cut_off || self.unreachable_endpoints.iter().any(|name| name == endpoint)
    }
}

/// What an observer publishes about one instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ViewEntry {
    /// Registration of the instance.
    pub record: InstanceRecord,
    /// The observer reports the instance as live.
    pub live: bool,
    /// Number of the status, counted by the instance from its start.
    pub sequence: u32,
    /// Last known status of the instance.
    pub status: MemberStatus,
}

/// Receivers of a published view.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ViewScope {
    /// Subscribers in the own availability zone; they learn of all instances.
    Zone,
    /// Observers of other zones; they learn of this zone only, so that no view passes in circles.
    Remote,
}

impl ViewScope {
    /// All scopes.
    pub const ALL: [Self; 2] = [Self::Zone, Self::Remote];
}

/// Known instance.
#[derive(Clone, Debug)]
struct MemberState {
    record: InstanceRecord,
    status: MemberStatus,
    sequence: u32,
    /// Earlier incarnations, which late messages may still name.
    superseded: Vec<u64>,
    /// Open subscriptions of the instance to this one.
    subscriptions: u32,
    is_live: bool,
    /// Time since which the instance is not live.
    dead_since: Instant,
    /// Connections from this instance to it fail.
    is_unreachable: bool,
}

/// Last view that an observer published.
#[derive(Clone, Debug, Default)]
struct ObserverView {
    live: HashSet<InstanceKey>,
    /// Time at which the subscription was lost; `None` while connected.
    lost_at: Option<Instant>,
}

/// Entries to publish in one scope.
#[derive(Clone, Debug, Default)]
struct ScopeChanges {
    changed: HashSet<InstanceKey>,
    /// Changed instances that a full view contained before their change was published. They must be
    /// published even if they have changed back since.
    snapshotted: HashSet<InstanceKey>,
    /// Incarnation, sequence number and liveness as last published.
    published: SecondaryMap<InstanceKey, (u64, u32, bool)>,
}

/// Known instances, and the views of the observers that this instance subscribes to.
#[derive(Clone, Debug)]
pub struct MembershipTable {
    own: InstanceKey,
    members: SlotMap<InstanceKey, MemberState>,
    by_name: HashMap<String, InstanceKey>,
    /// Instances of each availability zone, in the order in which they become observers.
    rankings: HashMap<String, Vec<InstanceKey>>,
    observers: SecondaryMap<InstanceKey, ObserverView>,
    changes: [ScopeChanges; 2],
    live_count: usize,
    generation: u64,
    /// Largest fencing token that any instance has reported, including those that left.
    newest_token: u64,
    started_at: Instant,
    /// Time since which instances of the own zone subscribe to this one.
    observes_since: Option<Instant>,
}

impl MembershipTable {
    /// Creates a table that contains only the own instance.
    pub fn new(record: InstanceRecord, now: Instant) -> Self {
        let mut members = SlotMap::with_key();
        let name = record.name.clone();
        let zone = record.zone.clone();
        let own = members.insert(MemberState::new(record, now));
        members[own].is_live = true;
        let mut table = Self {
            own,
            members,
            by_name: HashMap::from([(name, own)]),
            rankings: HashMap::new(),
            observers: SecondaryMap::new(),
            changes: Default::default(),
            live_count: 1,
            generation: 1,
            newest_token: 0,
            started_at: now,
            observes_since: None,
        };
        table.rank_zone(&zone);
        table
    }

    /// Returns the key of the own instance.
    pub fn own_key(&self) -> InstanceKey {
        self.own
    }

    /// Returns whether instances may have to be published.
    pub fn has_changes(&self) -> bool {
        self.changes.iter().any(|changes| !changes.changed.is_empty())
    }

    /// Returns a number that changes with every change of records, liveness or status.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the key of a known instance.
    pub fn key(&self, name: &str) -> Option<InstanceKey> {
        self.by_name.get(name).copied()
    }

    /// Returns the registration of a known instance.
    pub fn record(&self, key: InstanceKey) -> Option<&InstanceRecord> {
        self.members.get(key).map(|member| &member.record)
    }

    /// Returns the own status and its sequence number.
    pub fn own_status(&self) -> (u32, &MemberStatus) {
        let own = &self.members[self.own];
        (own.sequence, &own.status)
    }

    /// Returns the number of known instances, the own one and dead ones included.
    pub fn known_count(&self) -> usize {
        self.members.len()
    }

    /// Returns the number of live instances, the own one included.
    pub fn live_count(&self) -> usize {
        self.live_count
    }

    /// Returns whether an instance is live.
    pub fn is_live(&self, key: InstanceKey) -> bool {
        self.members.get(key).is_some_and(|member| member.is_live)
    }

    /// Returns the live instances other than the own one.
    pub fn live_peers(&self) -> impl Iterator<Item = InstanceKey> {
        let peers = self.members.iter().filter(|(key, member)| member.is_live && *key != self.own);
        peers.map(|(key, _)| key)
    }

    /// Returns the instances that may take work: live, reachable and not leaving.
    ///
    /// The own instance is included unless it is leaving and others remain.
    pub fn active(&self) -> Vec<InstanceKey> {
        let is_active = |member: &MemberState| {
            member.is_live && !member.is_unreachable && !member.status.leaving
        };
        let active = self.members.iter().filter(|(_, member)| is_active(member));
        let mut keys: Vec<InstanceKey> = active.map(|(key, _)| key).collect();
        if keys.is_empty() {
            keys.push(self.own);
        }
        keys
    }

    /// Returns the first `count` candidates to own the connections of an endpoint in `zone`.
    ///
    /// Instances that report the endpoint as unreachable come last, and before them congested ones.
    pub fn connection_owners(&self, endpoint: &str, zone: &str, count: usize) -> Vec<InstanceKey> {
        let avoids_congested = self.avoids_congested();
        self.best_active(count, |member| {
            (
                member.status.misses(endpoint),
                avoids_congested && member.status.is_congested,
                member.record.zone != zone,
                member.record.owner_rank(endpoint),
            )
        })
    }

    /// Returns the first `count` candidates to decide about `subject` for the whole fleet.
    pub fn fleet_owners(&self, subject: &str, count: usize) -> Vec<InstanceKey> {
        let avoids_congested = self.avoids_congested();
        self.best_active(count, |member| member.fleet_rank(subject, avoids_congested))
    }

    /// Returns the instance that decides about `subject` for the whole fleet: the first live one, also if
    /// only others reach it.
    pub fn fleet_owner(&self, subject: &str) -> InstanceKey {
        let avoids_congested = self.avoids_congested();
        let decides = |member: &MemberState| member.is_live && !member.status.leaving;
        let candidates = self.members.iter().filter(|(_, member)| decides(member));
        let first =
            candidates.min_by_key(|(_, member)| member.fleet_rank(subject, avoids_congested));
        first.map_or(self.own, |(key, _)| key)
    }

    /// Returns a number that differs if another instance may decide about some subject for the whole
    /// fleet.
    pub fn fleet_signature(&self) -> u64 {
        let avoids_congested = self.avoids_congested();
        let decides = |member: &&MemberState| member.is_live && !member.status.leaving;
        let signature = |member: &MemberState| {
            let is_last = avoids_congested && member.status.is_congested;
            let mut hasher = DefaultHasher::new();
            (&member.record.name, member.record.incarnation, is_last).hash(&mut hasher);
            hasher.finish()
        };
        self.members.values().filter(decides).map(signature).fold(0, u64::wrapping_add)
    }

    /// Returns whether congested instances are chosen last; not if there are too many.
    pub fn avoids_congested(&self) -> bool {
        let is_congested = |member: &&MemberState| member.is_live && member.status.is_congested;
        let congested_count = self.members.values().filter(is_congested).count();
        congested_count > 0 && congestion::may_move(congested_count, self.live_count)
    }

    /// Returns the first `count` active instances by rank, the lowest one first.
    fn best_active<R: Ord>(
        &self,
        count: usize,
        rank: impl Fn(&MemberState) -> R,
    ) -> Vec<InstanceKey> {
        let mut keys = self.active();
        keys.sort_by_cached_key(|key| rank(&self.members[*key]));
        keys.truncate(count);
        keys
    }

    /// Returns the instance of the own availability zone that reads the store for the others: the
    /// first live one in the zone's ranking that reaches the store, as far as is known.
    ///
    /// The own instance is a candidate whether it reaches the store or not.
    pub fn zone_reader(&self) -> InstanceKey {
        let reads = |key: &&InstanceKey| {
            let member = &self.members[**key];
            let is_own = **key == self.own;
            is_own || (member.is_live && member.status.store_reachable && !member.status.leaving)
        };
        let keeps_up = |key: &&InstanceKey| reads(key) && !self.members[**key].status.is_congested;
        let ranking = self.own_ranking();
        let first = ranking.iter().find(keeps_up).or_else(|| ranking.iter().find(reads));
        first.copied().unwrap_or(self.own)
    }

    /// Returns the number of live instances before the own one in the order in which the instances
    /// of its zone read the store.
    pub fn reader_rank(&self) -> usize {
        let before = self.own_ranking().iter().take_while(|key| **key != self.own);
        before.filter(|key| self.members[**key].is_live).count()
    }

    /// Returns whether any live instance, the own one included, reports the endpoint as
    /// unreachable.
    pub fn is_endpoint_suspect(&self, endpoint: &str) -> bool {
        let reports = |member: &MemberState| {
            member.is_live
                && member.status.unreachable_endpoints.iter().any(|name| name == endpoint)
        };
        self.members.values().any(reports)
    }

    /// Returns the largest fencing token of the promotion lease that any instance has reported.
    pub fn newest_promotion_token(&self) -> u64 {
        self.newest_token
    }

    /// Returns whether a live instance other than the own one matches.
    pub fn any_live_peer(&self, matches: impl Fn(&MemberStatus) -> bool) -> bool {
        self.live_peers().any(|key| matches(&self.members[key].status))
    }

    /// Adds an instance or replaces the record of a restarted one.
    ///
    /// Returns `None` if the record is of an incarnation that was replaced, or of an earlier process
    /// of the own instance.
    pub fn add(&mut self, record: &InstanceRecord, now: Instant) -> Option<InstanceKey> {
        let Some(key) = self.key(&record.name) else {
            let key = self.members.insert(MemberState::new(record.clone(), now));
            self.by_name.insert(record.name.clone(), key);
            self.rank_zone(&record.zone);
            return Some(key);
        };
        let member = &mut self.members[key];
        if member.record == *record {
            return Some(key);
        }
        let is_replaced = member.superseded.contains(&record.incarnation);
        if key == self.own || is_replaced {
            return None;
        }
        let old_zone = member.record.zone.clone();
        if member.record.incarnation != record.incarnation {
            let mut superseded = std::mem::take(&mut member.superseded);
            superseded.insert(0, member.record.incarnation);
            superseded.truncate(MAX_SUPERSEDED);
            let is_live = member.is_live;
            *member = MemberState { superseded, is_live, ..MemberState::new(record.clone(), now) };
            self.observers.remove(key);
            for view in self.observers.values_mut() {
                view.live.remove(&key);
            }
            self.update_observer_role(now);
        } else {
            member.record = record.clone();
        }
        if old_zone != record.zone {
            self.rank_zone(&old_zone);
        }
        self.rank_zone(&record.zone);
        self.update(key, now);
        Some(key)
    }

    /// Sets the own status; its newest token is at least the largest that this table knows.
    pub fn set_own_status(&mut self, mut status: MemberStatus) {
        status.newest_token = status.newest_known_token().max(self.newest_token);
        self.newest_token = status.newest_token;
        let own = &mut self.members[self.own];
        if own.sequence > 0 && own.status == status {
            return;
        }
        own.status = status;
        own.sequence += 1;
        self.generation += 1;
        self.mark_changed(self.own);
    }

    /// Records the status that an instance reports of itself, directly or through observers.
    pub fn record_status(&mut self, key: InstanceKey, sequence: u32, status: &MemberStatus) {
        let Some(member) = self.members.get_mut(key) else {
            return;
        };
        if key == self.own || sequence <= member.sequence {
            return;
        }
        member.sequence = sequence;
        member.status = status.clone();
        self.newest_token = self.newest_token.max(status.newest_known_token());
        self.generation += 1;
        self.mark_changed(key);
    }

    /// Records that an instance opened a subscription to this one.
    pub fn subscriber_connected(&mut self, key: InstanceKey, now: Instant) {
        if let Some(member) = self.members.get_mut(key) {
            member.subscriptions += 1;
            self.update(key, now);
            self.update_observer_role(now);
        }
    }

    /// Records that a subscription of this incarnation of an instance ended.
    pub fn subscriber_lost(&mut self, key: InstanceKey, incarnation: u64, now: Instant) {
        let Some(member) = self.members.get_mut(key) else {
            return;
        };
        if member.record.incarnation == incarnation {
            member.subscriptions = member.subscriptions.saturating_sub(1);
            self.update(key, now);
            self.update_observer_role(now);
        }
    }

    /// Records that an observer answers on the subscription to it.
    ///
    /// Its earlier view stays until the full one replaces it.
    pub fn observer_connected(&mut self, key: InstanceKey, now: Instant) {
        if !self.members.contains_key(key) {
            return;
        }
        match self.observers.get_mut(key) {
            Some(view) => view.lost_at = None,
            None => {
                self.observers.insert(key, ObserverView::default());
            }
        }
        self.update(key, now);
    }

    /// Records that the subscription to an observer was lost.
    pub fn observer_lost(&mut self, key: InstanceKey, now: Instant) {
        if let Some(view) = self.observers.get_mut(key) {
            view.lost_at = view.lost_at.or(Some(now));
            view.live.remove(&key);
            self.update(key, now);
        }
    }

    /// Drops the view of an observer whose subscription is no longer wanted.
    pub fn unsubscribe(&mut self, key: InstanceKey, now: Instant) {
        if let Some(view) = self.observers.remove(key) {
            self.update(key, now);
            view.live.into_iter().for_each(|member| self.update(member, now));
        }
    }

    /// Records whether connections to an instance fail.
    pub fn set_unreachable(&mut self, key: InstanceKey, is_unreachable: bool) {
        if let Some(member) = self.members.get_mut(key)
            && member.is_unreachable != is_unreachable
        {
            member.is_unreachable = is_unreachable;
            self.generation += 1;
        }
    }

    /// Merges entries that an observer published; `is_full` replaces its earlier view.
    pub fn receive_view(
        &mut self,
        observer: InstanceKey,
        is_full: bool,
        entries: &[ViewEntry],
        now: Instant,
    ) {
        let Some(view) = self.observers.get_mut(observer) else {
            return;
        };
        let previous = if is_full { std::mem::take(&mut view.live) } else { HashSet::new() };
        for entry in entries {
            if !entry.live && self.key(&entry.record.name).is_none() {
                continue;
            }
            let Some(key) = self.add(&entry.record, now) else {
                continue;
            };
            if let Some(view) = self.observers.get_mut(observer) {
                if entry.live {
                    view.live.insert(key);
                } else {
                    view.live.remove(&key);
                }
            }
            self.record_status(key, entry.sequence, &entry.status);
            self.update(key, now);
        }
        previous.into_iter().for_each(|key| self.update(key, now));
    }

    /// Drops views of observers that were lost for too long, and instances that are dead for too
    /// long. Returns the records of removed instances.
    pub fn expire(&mut self, now: Instant) -> Vec<InstanceRecord> {
        let is_older = |at: Instant, limit: Duration| now.saturating_duration_since(at) > limit;
        let lost = self.observers.iter().filter(|(_, view)| {
            view.lost_at.is_some_and(|at| is_older(at, LOST_OBSERVER_GRACE_PERIOD))
        });
        let lost: Vec<InstanceKey> = lost.map(|(key, _)| key).collect();
        lost.into_iter().for_each(|key| self.unsubscribe(key, now));
        let dead = self
            .members
            .iter()
            .filter(|(_, member)| !member.is_live && is_older(member.dead_since, DEAD_MEMBER_TTL));
        let dead: Vec<InstanceKey> = dead.map(|(key, _)| key).collect();
        dead.into_iter().filter_map(|key| self.remove(key)).collect()
    }

    /// Returns the instances to which this one should hold subscriptions.
    ///
    /// Unreachable ones are included for further attempts, but do not count.
    pub fn wanted_observers(&self, now: Instant) -> Vec<InstanceKey> {
        let own_zone = &self.members[self.own].record.zone;
        let mut wanted = self.wanted_in(self.own_ranking());
        if self.is_observer(now) {
            let other_zones = self.rankings.iter().filter(|(zone, _)| *zone != own_zone);
            wanted.extend(other_zones.flat_map(|(_, ranking)| self.wanted_in(ranking)));
        }
        wanted
    }

    /// Returns whether all others of its zone should subscribe to an instance.
    pub fn is_zone_observer(&self, key: InstanceKey) -> bool {
        self.own_ranking().iter().take(OBSERVERS_PER_ZONE).any(|observer| *observer == key)
    }

    /// Returns the first instance of the own zone to which a subscription is connected.
    pub fn first_zone_observer(&self) -> Option<InstanceKey> {
        self.own_ranking().iter().copied().find(|key| self.is_subscribed(*key))
    }

    /// Returns whether the subscription to an observer is connected.
    pub fn is_subscribed(&self, key: InstanceKey) -> bool {
        self.observers.get(key).is_some_and(|view| view.lost_at.is_none())
    }

    /// Returns the observers to which a subscription is connected.
    pub fn subscribed(&self) -> Vec<InstanceKey> {
        let connected = self.observers.iter().filter(|(_, view)| view.lost_at.is_none());
        connected.map(|(key, _)| key).collect()
    }

    /// Returns whether the own instance connects its zone with the others: it has had subscribers
    /// there for a while or ranks among the first, or it reaches no one else there.
    pub fn is_observer(&self, now: Instant) -> bool {
        let may_observe =
            |key: &&InstanceKey| **key != self.own && !self.members[**key].is_unreachable;
        // When a whole fleet starts, the first of a zone may not be reachable yet.
        let is_starting = now.saturating_duration_since(self.started_at) < STARTUP_PERIOD;
        let ranking = self.own_ranking();
        let mut better = ranking
            .iter()
            .take_while(|key| **key != self.own)
            .filter(|key| is_starting || may_observe(key));
        let is_first = better.nth(OBSERVERS_PER_ZONE).is_none();
        let is_settled = |since: Instant| {
            is_first || now.saturating_duration_since(since) >= OBSERVER_PROMOTION_DELAY
        };
        let is_alone = !ranking.iter().any(|key| may_observe(&key));
        self.observes_since.is_some_and(is_settled) || is_alone
    }

    fn update_observer_role(&mut self, now: Instant) {
        let zone = &self.members[self.own].record.zone;
        let mut members = self.members.values();
        let has_subscriber =
            members.any(|member| member.subscriptions > 0 && member.record.zone == *zone);
        self.observes_since = if has_subscriber { self.observes_since.or(Some(now)) } else { None };
    }

    /// Returns the scope in which an instance learns of views published here.
    pub fn scope_of(&self, key: InstanceKey) -> ViewScope {
        let own_zone = &self.members[self.own].record.zone;
        match self.members.get(key) {
            Some(member) if member.record.zone == *own_zone => ViewScope::Zone,
            _ => ViewScope::Remote,
        }
    }

    /// Returns the entries of a scope that changed since the last call.
    pub fn take_changes(&mut self, scope: ViewScope) -> Vec<ViewEntry> {
        let changed = std::mem::take(&mut self.changes[scope as usize].changed);
        let snapshotted = std::mem::take(&mut self.changes[scope as usize].snapshotted);
        let mut entries = Vec::new();
        for key in changed {
            let Some(entry) = self.entry(key, scope) else {
                continue;
            };
            let state = (entry.record.incarnation, entry.sequence, entry.live);
            let published = &mut self.changes[scope as usize].published;
            let is_news = match published.insert(key, state) {
                Some(previous) => previous != state,
                None => entry.live,
            };
            if is_news || snapshotted.contains(&key) {
                entries.push(entry);
            }
        }
        entries
    }

    /// Returns all live entries of a scope, for a new subscriber.
    pub fn snapshot(&mut self, scope: ViewScope) -> Vec<ViewEntry> {
        let changes = &mut self.changes[scope as usize];
        changes.snapshotted.extend(changes.changed.iter().copied());
        let entries = self.members.keys().filter_map(|key| self.entry(key, scope));
        entries.filter(|entry| entry.live).collect()
    }

    fn entry(&self, key: InstanceKey, scope: ViewScope) -> Option<ViewEntry> {
        let member = self.members.get(key)?;
        let live = self.is_observed(key)
            || match scope {
                ViewScope::Zone => self.is_relayed(key),
                ViewScope::Remote => false,
            };
        let (record, status) = (member.record.clone(), member.status.clone());
        Some(ViewEntry { record, live, sequence: member.sequence, status })
    }

    /// Returns whether this instance is a direct witness that an instance of its zone is live.
    fn is_observed(&self, key: InstanceKey) -> bool {
        let own_zone = &self.members[self.own].record.zone;
        let member = &self.members[key];
        let has_connection = member.subscriptions > 0 || self.is_subscribed(key);
        key == self.own || (has_connection && member.record.zone == *own_zone)
    }

    /// Returns whether an observer of another zone reports an instance as live.
    fn is_relayed(&self, key: InstanceKey) -> bool {
        let is_remote = |observer| self.scope_of(observer) == ViewScope::Remote;
        self.observers
            .iter()
            .any(|(observer, view)| is_remote(observer) && view.live.contains(&key))
    }

    fn wanted_in(&self, ranking: &[InstanceKey]) -> Vec<InstanceKey> {
        let (mut connected, mut untried, mut wanted) = (0, 0, Vec::new());
        for key in ranking.iter().copied().filter(|key| *key != self.own) {
            if connected == OBSERVERS_PER_ZONE {
                break;
            }
            let member = &self.members[key];
            if self.is_subscribed(key) {
                connected += 1;
            } else if !member.is_unreachable {
                if untried == OBSERVERS_PER_ZONE {
                    continue;
                }
                untried += 1;
            }
            wanted.push(key);
        }
        wanted
    }

    fn own_ranking(&self) -> &[InstanceKey] {
        let zone = &self.members[self.own].record.zone;
        self.rankings.get(zone).map_or(&[], Vec::as_slice)
    }

    /// Ranks the instances of a zone again: the most capable ones come first.
    fn rank_zone(&mut self, zone: &str) {
        let members = &self.members;
        let mut ranking: Vec<InstanceKey> = members
            .iter()
            .filter(|(_, member)| member.record.zone == zone)
            .map(|(key, _)| key)
            .collect();
        ranking.sort_by_cached_key(|key| {
            let record = &members[*key].record;
            let weight = rendezvous::weight(OBSERVER_RANKING_KEY, &record.name);
            (Reverse(record.capacity_class()), Reverse(weight), record.name.clone())
        });
        self.rankings.insert(zone.to_owned(), ranking);
        self.generation += 1;
    }

    /// Determines again whether an instance is live.
    fn update(&mut self, key: InstanceKey, now: Instant) {
        if !self.members.contains_key(key) {
            return;
        }
        let is_live = key == self.own
            || self.members[key].subscriptions > 0
            || self.is_subscribed(key)
            || self.observers.values().any(|view| view.live.contains(&key));
        let member = &mut self.members[key];
        if member.is_live != is_live {
            member.is_live = is_live;
            if is_live {
                self.live_count += 1;
            } else {
                member.dead_since = now;
                self.live_count -= 1;
            }
            self.generation += 1;
        }
        self.mark_changed(key);
    }

    /// Marks an instance for publication, where it is left out if nothing changed.
    fn mark_changed(&mut self, key: InstanceKey) {
        for changes in &mut self.changes {
            changes.changed.insert(key);
        }
    }

    fn remove(&mut self, key: InstanceKey) -> Option<InstanceRecord> {
        let member = self.members.remove(key)?;
        self.by_name.remove(&member.record.name);
        self.observers.remove(key);
        for changes in &mut self.changes {
            changes.published.remove(key);
        }
        self.rank_zone(&member.record.zone);
        Some(member.record)
    }
}

impl MemberState {
    /// Returns the rank among the candidates to decide about `subject`; the lowest one is first.
    fn fleet_rank(&self, subject: &str, avoids_congested: bool) -> (bool, u64) {
        (avoids_congested && self.status.is_congested, self.record.owner_rank(subject))
    }

    fn new(record: InstanceRecord, now: Instant) -> Self {
        Self {
            record,
            status: MemberStatus::default(),
            sequence: 0,
            superseded: Vec::new(),
            subscriptions: 0,
            is_live: false,
            dead_since: now,
            is_unreachable: false,
        }
    }
}
