//! Table of the known instances, and the owners chosen among them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

use coord::membership::{InstanceKey, MembershipTable};
use slotmap::{SecondaryMap, SlotMap};
use tokio::sync::Notify;

use crate::instance::{EngineTypes, GatewayInstance};
use crate::interface::WatchedTable;
use crate::peer_link::PeerLink;
use crate::record::InstanceRecord;
use crate::subscription::{Subscriber, SubscriberKey, SubscriptionFeed};

/// Connection owners that are tried for one call, as long as none has sent it to the endpoint.
const MAX_CONNECTION_OWNERS: usize = 3;
/// Candidates that are asked for the whole fleet's decision before an instance decides locally.
const MAX_FLEET_OWNERS: usize = 2;
/// Most owners that are kept in the cache.
const MAX_CACHED_OWNERS: usize = 4_096;

/// Instances that own something, best first.
pub type OwnerNames = Rc<[String]>;

/// Owners of one endpoint's connections.
#[derive(Debug)]
struct ConnectionOwners {
    /// Availability zone of the endpoint, which is empty until its registration is known.
    zone: String,
    names: OwnerNames,
}

/// Owners as of one generation of the membership table.
#[derive(Debug, Default)]
struct OwnerCache {
    generation: u64,
    connections: HashMap<String, ConnectionOwners>,
    fleet: HashMap<String, OwnerNames>,
    /// Instances that decide for the whole fleet, also if only others reach them.
    deciding: HashMap<String, InstanceKey>,
}

impl OwnerCache {
    /// Drops all owners unless they are of this generation.
    fn advance(&mut self, generation: u64) {
        if self.generation != generation {
            *self = Self { generation, ..Self::default() };
        }
    }
}

/// Announcements of one table's versions, and the state of its transfer.
#[derive(Debug, Default)]
pub(crate) struct TableOffers {
    /// Notified when a newer version may have to be fetched at once.
    pub(crate) announced: Notify,
    /// A version was announced whose change is not pushed.
    pub(crate) is_offered: Cell<bool>,
    /// Time at which a part of the table last arrived.
    pub(crate) progress_at: Cell<Option<Instant>>,
}

/// Known instances, links to them and their subscriptions.
#[derive(Debug)]
pub struct PeerTable {
    pub(crate) membership: RefCell<MembershipTable>,
    /// Notified when the membership table has changes to publish or act upon.
    pub(crate) changed: Notify,
    /// Notified when subscriptions may be missing: an observer was lost or instances were read.
    pub(crate) subscriptions_due: Notify,
    /// Announcements of newer tables, in the order of [`WatchedTable::ALL`].
    pub(crate) table_offers: [TableOffers; WatchedTable::ALL.len()],
    /// The registered instances were read at least once.
    pub(crate) is_discovered: Cell<bool>,
    pub(crate) links: RefCell<SecondaryMap<InstanceKey, Rc<PeerLink>>>,
    pub(crate) subscribers: RefCell<SlotMap<SubscriberKey, Subscriber>>,
    pub(crate) feed: RefCell<SubscriptionFeed>,
    owners: RefCell<OwnerCache>,
}

impl PeerTable {
    /// Creates a table that knows only the own instance.
    pub fn new(own: InstanceRecord, now: Instant) -> Self {
        Self {
            membership: RefCell::new(MembershipTable::new(own, now)),
            changed: Notify::new(),
            subscriptions_due: Notify::new(),
            table_offers: Default::default(),
            is_discovered: Cell::new(false),
            links: RefCell::default(),
            subscribers: RefCell::default(),
            feed: RefCell::default(),
            owners: RefCell::default(),
        }
    }

    /// Adds an instance that subscribes to this one, so that it counts as live.
    pub fn add_live(&self, record: &InstanceRecord, now: Instant) -> Option<InstanceKey> {
        self.update(|table| {
            let key = table.add(record, now)?;
            table.subscriber_connected(key, now);
            Some(key)
        })
    }

    /// Returns the generation of the membership table; owners may change with it only.
    pub(crate) fn generation(&self) -> u64 {
        self.membership.borrow().generation()
    }

    /// Returns whether congested instances are chosen last.
    pub fn avoids_congested(&self) -> bool {
        self.membership.borrow().avoids_congested()
    }

    /// Returns the number of live instances, this one included.
    pub fn live_count(&self) -> usize {
        self.membership.borrow().live_count()
    }

    /// Returns the numbers of live and of known instances, this one included.
    pub fn counts(&self) -> (usize, usize) {
        let membership = self.membership.borrow();
        (membership.live_count(), membership.known_count())
    }

    /// Returns whether the own instance decides about `subject` for the whole fleet.
    pub fn is_fleet_owner(&self, subject: &str) -> bool {
        self.deciding_instance(subject) == self.membership.borrow().own_key()
    }

    /// Returns the instance that decides about `subject` for the whole fleet, also if only others reach
    /// it.
    pub fn fleet_owner(&self, subject: &str) -> Option<String> {
        let owner = self.deciding_instance(subject);
        self.membership.borrow().record(owner).map(|record| record.name.clone())
    }

    fn deciding_instance(&self, subject: &str) -> InstanceKey {
        let membership = self.membership.borrow();
        let mut cache = self.owners.borrow_mut();
        cache.advance(membership.generation());
        if let Some(owner) = cache.deciding.get(subject) {
            return *owner;
        }
        let owner = membership.fleet_owner(subject);
        if cache.deciding.len() < MAX_CACHED_OWNERS {
            cache.deciding.insert(subject.to_owned(), owner);
        }
        owner
    }

    /// Returns the number of connections to peers that are open or being opened.
    pub fn open_link_count(&self) -> usize {
        self.links.borrow().values().filter(|link| link.is_open()).count()
    }

    /// Returns the number of peers that subscribe to this instance.
    pub fn subscriber_count(&self) -> usize {
        self.subscribers.borrow().len()
    }

    /// Returns the link to a peer if it was ever opened.
    pub fn link_by_name(&self, name: &str) -> Option<Rc<PeerLink>> {
        let key = self.membership.borrow().key(name)?;
        self.links.borrow().get(key).cloned()
    }

    /// Changes the membership table, and notifies those who act upon changes.
    pub(crate) fn update<T>(&self, change: impl FnOnce(&mut MembershipTable) -> T) -> T {
        let mut membership = self.membership.borrow_mut();
        let generation = membership.generation();
        let result = change(&mut membership);
        if membership.generation() != generation || membership.has_changes() {
            self.changed.notify_one();
        }
        result
    }

    /// Returns the first candidates to own the connections of an endpoint in `zone`.
    pub fn connection_owners(&self, endpoint: &str, zone: &str) -> OwnerNames {
        let membership = self.membership.borrow();
        let mut cache = self.owners.borrow_mut();
        cache.advance(membership.generation());
        if let Some(cached) = cache.connections.get(endpoint).filter(|owners| owners.zone == zone) {
            return cached.names.clone();
        }
        let keys = membership.connection_owners(endpoint, zone, MAX_CONNECTION_OWNERS);
        let names = names_of(&membership, &keys);
        if cache.connections.len() < MAX_CACHED_OWNERS {
            let owners = ConnectionOwners { zone: zone.to_owned(), names: names.clone() };
            cache.connections.insert(endpoint.to_owned(), owners);
        }
        names
    }

    /// Returns the first candidates to decide about `subject`, such as a team's quota, for the whole
    /// fleet.
    pub fn fleet_owners(&self, subject: &str) -> OwnerNames {
        let membership = self.membership.borrow();
        let mut cache = self.owners.borrow_mut();
        cache.advance(membership.generation());
        if let Some(names) = cache.fleet.get(subject) {
            return names.clone();
        }
        let names = names_of(&membership, &membership.fleet_owners(subject, MAX_FLEET_OWNERS));
        if cache.fleet.len() < MAX_CACHED_OWNERS {
            cache.fleet.insert(subject.to_owned(), names.clone());
        }
        names
    }
}

fn names_of(membership: &MembershipTable, keys: &[InstanceKey]) -> OwnerNames {
    let records = keys.iter().filter_map(|key| membership.record(*key));
    records.map(|record| record.name.clone()).collect()
}

impl<E: EngineTypes> GatewayInstance<E> {
    /// Returns the first candidate owners of an endpoint's connections, best first.
    ///
    /// Instances that report the endpoint as unreachable come last, so that all instances agree on
    /// another owner.
    pub fn connection_owners(&self, endpoint: &str) -> OwnerNames {
        let directory = self.directory.borrow();
        let zone = directory.endpoint(endpoint).map_or("", |entry| entry.record.zone.as_str());
        self.peers.connection_owners(endpoint, zone)
    }

    /// Adds a discovered instance, or replaces the record of a restarted one.
    pub fn add_peer(&self, record: &InstanceRecord) {
        let now = self.now();
        self.peers.update(|table| table.add(record, now));
    }
}
