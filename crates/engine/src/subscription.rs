//! Subscriptions between instances: which to hold, what to publish and what to report.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use coord::membership::{InstanceKey, MemberStatus, ViewScope};
use slotmap::new_key_type;
use state::position::LogPosition;
use state::store_version::{DocumentVersion, StoreVersion};
use telemetry::event::LogEvent;
use telemetry::log_event;
use tokio::time::{sleep, timeout};

use crate::frame::FrameEncoder;
use crate::instance::{EngineTypes, GatewayInstance};
use crate::interface::WatchedTable;
use crate::message::{FleetHeads, InstanceReport, PeerMessage, PeerReply, PeerRequest, ViewUpdate};
use crate::output_queue::OutputQueue;
use crate::peer_link::PeerLink;
use crate::peer_server::InboundConnection;
use crate::table_change::{PackedChange, TableChange};

/// Interval at which subscriptions and expired views are checked.
const SUBSCRIPTION_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest interval between two published updates; changes in between are published together.
const PUBLICATION_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest interval between two publications of the positions of acknowledged commits, which every
/// commit changes.
const POSITION_INTERVAL: Duration = Duration::from_secs(1);
/// Size up to which changes of a table are pushed to all subscribers; larger ones are fetched.
pub(crate) const MAX_PUSHED_BYTES: usize = 4 << 10;

new_key_type! {
    /// Key of a subscriber.
    pub struct SubscriberKey;
}

/// Peer that subscribed to this instance.
#[derive(Debug)]
pub(crate) struct Subscriber {
    pub(crate) key: InstanceKey,
    incarnation: u64,
    pub(crate) scope: ViewScope,
    output: Rc<OutputQueue>,
    pub(crate) table_versions: [StoreVersion; 2],
    /// Document that the subscriber has in force, as far as is known.
    pub(crate) document_version: DocumentVersion,
}

/// What was last published to subscribers and reported to observers.
#[derive(Debug, Default)]
pub(crate) struct SubscriptionFeed {
    heads: FleetHeads,
    reported: InstanceReport,
    /// Positions of acknowledged commits to publish, and since when.
    acknowledged: Vec<(String, LogPosition)>,
    acknowledged_at: Option<Instant>,
}

impl<E: EngineTypes> GatewayInstance<E> {
    /// Records the own status and notifies observers and subscribers if it changed.
    pub fn refresh_status(&self) {
        let mut status = MemberStatus {
            leaving: self.is_leaving(),
            store_reachable: self.is_store_reachable(),
            promotion_token: self.promotion_token(),
            is_congested: self.is_congested(),
            ..MemberStatus::default()
        };
        status.set_unreachable(self.pools.unreachable_endpoints(), self.pools.reachable_count());
        self.peers.update(|table| table.set_own_status(status));
        if self.heads() != self.peers.feed.borrow().heads {
            self.peers.changed.notify_one();
        }
    }

    fn heads(&self) -> FleetHeads {
        FleetHeads {
            table_versions: self.tables.borrow().versions(),
            document_version: self.directory.borrow().document_version(),
            leaders: self.directory.borrow().leaders(),
            acknowledged: self.peers.feed.borrow().acknowledged.clone(),
            orders: self.promotion_orders.borrow().all().cloned().collect(),
        }
    }

    /// Updates the positions of acknowledged commits that are published.
    fn refresh_acknowledged(&self) {
        let (now, mut feed) = (self.now(), self.peers.feed.borrow_mut());
        let is_recent = |at: Instant| now.saturating_duration_since(at) < POSITION_INTERVAL;
        if !feed.acknowledged_at.is_some_and(is_recent) {
            feed.acknowledged = self.directory.borrow().acknowledged_positions();
            feed.acknowledged_at = Some(now);
        }
    }

    fn report(&self) -> InstanceReport {
        let membership = self.peers.membership.borrow();
        let (sequence, status) = membership.own_status();
        InstanceReport { sequence, status: status.clone(), heads: self.heads() }
    }

    /// Holds the subscriptions that the membership asks for, and retries unreachable peers.
    pub async fn maintain_subscriptions(self: Rc<Self>) {
        loop {
            let now = self.now();
            let removed = self.peers.update(|table| table.expire(now));
            for record in removed {
                log_event!(LogEvent::PeerExpired, "instance={}", record.name);
            }
            let wanted = self.peers.membership.borrow().wanted_observers(now);
            for key in &wanted {
                self.subscribe(*key, now);
            }
            self.end_surplus_subscriptions(&wanted, now);
            self.retry_links(&wanted, now);
            let subscriptions_due = self.peers.subscriptions_due.notified();
            let _ = timeout(SUBSCRIPTION_CHECK_INTERVAL, subscriptions_due).await;
        }
    }

    /// Subscribes to an instance that is not known to be unreachable.
    fn subscribe(self: &Rc<Self>, key: InstanceKey, now: Instant) {
        let Some(link) = self.current_link(key) else {
            return;
        };
        if link.is_subscription.get() && link.is_open() {
            return;
        }
        if !link.is_open() {
            if link.retry.get().is_some_and(|(at, _)| now < at) {
                return;
            }
            self.connect_link(&link);
        }
        link.is_subscription.set(true);
        link.send(&PeerRequest::Subscribe);
        link.send(&PeerRequest::Report(Box::new(self.report())));
        // An instance that starts needs evidence about the tables that it fetches.
        link.send_ping(now);
    }

    fn end_surplus_subscriptions(&self, wanted: &[InstanceKey], now: Instant) {
        let links: Vec<Rc<PeerLink>> = self.peers.links.borrow().values().cloned().collect();
        let is_surplus =
            |link: &&Rc<PeerLink>| link.is_subscription.get() && !wanted.contains(&link.key);
        for link in links.iter().filter(is_surplus) {
            link.is_subscription.set(false);
            link.send(&PeerRequest::Unsubscribe);
            self.peers.update(|table| table.unsubscribe(link.key, now));
        }
    }

    /// Connects again to unreachable peers that others report as live, so that calls need not try
    /// them.
    fn retry_links(self: &Rc<Self>, wanted: &[InstanceKey], now: Instant) {
        let due: Vec<Rc<PeerLink>> = {
            let membership = self.peers.membership.borrow();
            let mut links = self.peers.links.borrow_mut();
            links.retain(|key, _| membership.record(key).is_some());
            let is_due = |link: &&Rc<PeerLink>| {
                let is_due = link.retry.get().is_some_and(|(at, _)| now >= at);
                let is_live = membership.is_live(link.key) && !wanted.contains(&link.key);
                is_due && is_live && !link.is_open()
            };
            links.values().filter(is_due).cloned().collect()
        };
        for link in due {
            link.last_used_at.set(now);
            self.connect_link(&link);
        }
    }

    /// Publishes changes to the subscribers and reports them to the observers.
    pub async fn publish_changes(self: Rc<Self>) {
        loop {
            // A change that was notified in the meantime ends the wait at once.
            let wait = self.peers.changed.notified();
            let _ = timeout(Duration::from_secs(1), wait).await;
            self.refresh_acknowledged();
            self.publish_views();
            self.send_reports();
            sleep(PUBLICATION_INTERVAL).await;
        }
    }

    fn publish_views(&self) {
        let heads = self.heads();
        let previous = std::mem::replace(&mut self.peers.feed.borrow_mut().heads, heads.clone());
        let heads_changed = heads != previous;
        let heads = heads.changes_since(&previous);
        for scope in ViewScope::ALL {
            let entries = self.peers.membership.borrow_mut().take_changes(scope);
            if entries.is_empty() && !heads_changed {
                continue;
            }
            let heads = heads_changed.then(|| heads.clone());
            let update = ViewUpdate { is_full: false, entries, heads };
            self.push_to_subscribers(scope, &PeerReply::View(Box::new(update)));
        }
    }

    fn send_reports(&self) {
        let mut report = self.report();
        let previous =
            std::mem::replace(&mut self.peers.feed.borrow_mut().reported, report.clone());
        if previous == report {
            return;
        }
        report.heads = report.heads.changes_since(&previous.heads);
        let links = self.peers.links.borrow();
        for link in links.values().filter(|link| link.is_subscription.get()) {
            link.send(&PeerRequest::Report(Box::new(report.clone())));
        }
    }

    /// Sends a message to all subscribers of a scope; it is encoded once.
    fn push_to_subscribers(&self, scope: ViewScope, message: &PeerReply) {
        let subscribers = self.peers.subscribers.borrow();
        let mut receivers = subscribers.values().filter(|peer| peer.scope == scope).peekable();
        if receivers.peek().is_none() {
            return;
        }
        let mut bytes = BytesMut::new();
        let encoded = FrameEncoder::default().encode(message, message.lane(), &mut bytes);
        if let Err(error) = encoded {
            log_event!(LogEvent::PeerLost, "cause=\"message not sent: {error}\"");
            return;
        }
        receivers.for_each(|peer| peer.output.push_encoded(&bytes, message.label()));
    }

    /// Registers a subscription and sends the full view.
    pub(crate) fn subscribe_peer(&self, connection: &InboundConnection) {
        let now = self.now();
        let Some(record) = connection.peer.borrow().clone() else {
            return;
        };
        if connection.subscriber.get().is_some() {
            return;
        }
        let Some(key) = self.peers.add_live(&record, now) else {
            return;
        };
        let scope = self.peers.membership.borrow().scope_of(key);
        let incarnation = record.incarnation;
        let output = connection.output.clone();
        let (table_versions, document_version) = Default::default();
        let subscriber =
            Subscriber { key, incarnation, scope, output, table_versions, document_version };
        connection.subscriber.set(Some(self.peers.subscribers.borrow_mut().insert(subscriber)));
        let entries = self.peers.membership.borrow_mut().snapshot(scope);
        let update = ViewUpdate { is_full: true, entries, heads: Some(self.heads()) };
        connection.output.push(&PeerReply::View(Box::new(update)));
        let unlisted = self.directory.borrow().unlisted_endpoints(now);
        if !unlisted.is_empty() {
            connection.output.push(&PeerReply::Unlisted(unlisted));
        }
    }

    /// Ends the subscription of a connection, if it has one.
    pub(crate) fn unsubscribe_peer(&self, connection: &InboundConnection) {
        let key = connection.subscriber.take();
        let removed = key.and_then(|key| self.peers.subscribers.borrow_mut().remove(key));
        if let Some(subscriber) = removed {
            let (key, incarnation, now) = (subscriber.key, subscriber.incarnation, self.now());
            self.peers.update(|table| table.subscriber_lost(key, incarnation, now));
        }
    }

    /// Records what a subscriber reports of itself.
    pub(crate) fn receive_report(&self, connection: &InboundConnection, report: InstanceReport) {
        let Some(subscriber_key) = connection.subscriber.get() else {
            return;
        };
        let mut subscribers = self.peers.subscribers.borrow_mut();
        let Some(subscriber) = subscribers.get_mut(subscriber_key) else {
            return;
        };
        subscriber.table_versions = report.heads.table_versions;
        subscriber.document_version = report.heads.document_version;
        let (key, incarnation) = (subscriber.key, subscriber.incarnation);
        drop(subscribers);
        self.peers.update(|table| {
            if table.record(key).is_some_and(|record| record.incarnation == incarnation) {
                table.record_status(key, report.sequence, &report.status);
            }
        });
        self.record_heads(&report.heads);
    }

    /// Merges a view that an observer published.
    pub(crate) fn receive_view(&self, link: &PeerLink, update: ViewUpdate) {
        if !link.is_subscription.get() {
            return;
        }
        let now = self.now();
        self.peers.update(|table| {
            if update.is_full {
                table.observer_connected(link.key, now);
            }
            table.receive_view(link.key, update.is_full, &update.entries, now);
        });
        if let Some(heads) = update.heads {
            link.table_versions.set(heads.table_versions);
            link.document_version.set(heads.document_version);
            self.record_heads(&heads);
            if !self.directory.borrow().is_loaded() {
                self.peers.table_offers.iter().for_each(|offers| offers.announced.notify_one());
            }
        }
    }

    fn record_heads(&self, heads: &FleetHeads) {
        let mut directory = self.directory.borrow_mut();
        for (service, position) in &heads.acknowledged {
            directory.record_acknowledged(service, *position);
        }
        for order in &heads.orders {
            if self.promotion_orders.borrow_mut().merge(order.clone()) {
                self.peers.changed.notify_one();
            }
        }
        for (service, endpoint, term) in &heads.leaders {
            if directory.record_leader(service, endpoint, *term) {
                self.peers.changed.notify_one();
                log_event!(
                    LogEvent::PrimaryChanged,
                    "service={service} endpoint={endpoint} term={term} source=peer"
                );
            }
        }
    }

    /// Passes a change that this instance read from the store to the others of its zone.
    ///
    /// All of them subscribe to the first instances of the zone. A reader further behind passes the
    /// change through one of these.
    pub(crate) fn push_change(&self, table: WatchedTable, change: &TableChange) {
        if change.rows.is_empty() {
            return;
        }
        let packed = match PackedChange::pack(change) {
            Ok(packed) => packed,
            Err(error) => {
                log_event!(LogEvent::TableFetchFailed, "table={table:?} cause=\"{error}\"");
                return;
            }
        };
        if packed.length() > MAX_PUSHED_BYTES {
            self.offer_table(table);
            return;
        }
        if let Some(link) = self.relaying_observer() {
            link.send(&PeerRequest::Change { table, change: packed.clone() });
        }
        let message = PeerReply::Change { table, change: packed };
        self.push_to_subscribers(ViewScope::Zone, &message);
    }

    /// Announces the own version of a table to the others of the zone, which fetch it.
    pub(crate) fn offer_table(&self, table: WatchedTable) {
        let version = self.tables.borrow().versions()[table.index()];
        if let Some(link) = self.relaying_observer() {
            link.send(&PeerRequest::Offer { table, version });
        }
        self.push_to_subscribers(ViewScope::Zone, &PeerReply::Offer { table, version });
    }

    /// Does the same if the others of the zone subscribe to this instance.
    pub(crate) fn offer_as_observer(&self, table: WatchedTable) {
        let membership = self.peers.membership.borrow();
        if membership.is_zone_observer(membership.own_key()) {
            drop(membership);
            self.offer_table(table);
        }
    }

    /// Returns the link to the instance that passes changes on, if few subscribe to this one.
    fn relaying_observer(&self) -> Option<Rc<PeerLink>> {
        let membership = self.peers.membership.borrow();
        if membership.is_zone_observer(membership.own_key()) {
            return None;
        }
        self.peers.links.borrow().get(membership.first_zone_observer()?).cloned()
    }

    /// Merges a change from a reader of the store that few instances subscribe to, and passes it on.
    pub(crate) fn relay_change(&self, table: WatchedTable, change: PackedChange) {
        if self.merge_peer_change(table, &change).0 {
            self.push_to_subscribers(ViewScope::Zone, &PeerReply::Change { table, change });
        }
    }

    /// Merges a change that a peer pushed, and passes it on if only few subscribe to that peer.
    pub(crate) fn receive_change(
        &self,
        link: &PeerLink,
        table: WatchedTable,
        change: PackedChange,
    ) {
        if self.peers.membership.borrow().is_zone_observer(link.key) {
            self.merge_peer_change(table, &change);
        } else {
            self.relay_change(table, change);
        }
    }

    /// Records a version that an observer announced, to be fetched at once.
    pub(crate) fn receive_offer(
        &self,
        link: &PeerLink,
        table: WatchedTable,
        version: StoreVersion,
    ) {
        link.set_table_version(table.index(), version);
        self.schedule_fetch(table, version);
    }

    /// Does the same for a version that a subscriber announced.
    pub(crate) fn receive_relayed_offer(
        &self,
        connection: &InboundConnection,
        table: WatchedTable,
        version: StoreVersion,
    ) {
        let mut subscribers = self.peers.subscribers.borrow_mut();
        let subscriber = connection.subscriber.get().and_then(|key| subscribers.get_mut(key));
        if let Some(subscriber) = subscriber {
            subscriber.table_versions[table.index()] = version;
            self.schedule_fetch(table, version);
        }
    }

    fn schedule_fetch(&self, table: WatchedTable, version: StoreVersion) {
        if version > self.tables.borrow().versions()[table.index()] {
            let offers = &self.peers.table_offers[table.index()];
            offers.is_offered.set(true);
            offers.announced.notify_one();
        }
    }

    /// Returns the newest document that a connected observer or subscriber has in force.
    pub(crate) fn newest_peer_document(&self) -> DocumentVersion {
        let links = self.peers.links.borrow();
        let observers = links
            .values()
            .filter(|link| link.is_subscription.get() && link.is_open())
            .map(|link| link.document_version.get());
        let subscribers = self.peers.subscribers.borrow();
        let subscribers = subscribers.values().map(|peer| peer.document_version);
        observers.chain(subscribers).max().unwrap_or_default()
    }
}
