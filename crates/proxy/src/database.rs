//! Databases as this instance sees them: members, pools, positions and age bounds.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coord::freshness::FreshnessTracker;
use coord::routing::{self, MemberView, ReadRequirements, RouteTarget};
use net::member::{MemberConnection, MemberError, MemberTarget};
use net::pool::MemberPool;
use parking_lot::Mutex;
use state::catalog::{DatabaseEntry, DatabaseId};
use state::position::{MemberPosition, MemberRole, MemberStatus};
use telemetry::event::LogEvent;
use telemetry::log_event;
use tokio::sync::watch;

use crate::settings::ProxySettings;

/// User name of connections for group commands.
pub const CONTROL_USER: &str = "hibiscus-control";

/// What this instance last learned of a member.
#[derive(Clone, Copy, Debug)]
pub struct MemberState {
    /// Last status, or none before the first answer.
    pub status: Option<MemberStatus>,
    /// Tells that the member answers this instance.
    pub reachable: bool,
    /// When the member answered last.
    pub answered_at: Instant,
}

/// Member of a database.
#[derive(Debug)]
pub struct MemberHandle {
    /// Logical name.
    pub name: Arc<str>,
    /// Availability zone.
    pub zone: String,
    /// Tells that the member stands in the instance's availability zone.
    pub near: bool,
    /// Pool of connections for callers' statements.
    pub pool: MemberPool,
    control: MemberTarget,
    record: Mutex<MemberState>,
}

impl MemberHandle {
    /// Opens a connection for group commands.
    pub async fn open_control(&self) -> Result<MemberConnection, MemberError> {
        MemberConnection::open(&self.control).await
    }

    /// Returns what was last learned of the member.
    pub fn last_state(&self) -> MemberState {
        *self.record.lock()
    }
}

/// Database of this instance.
#[derive(Debug)]
pub struct DatabaseHandle {
    /// Key in the catalog.
    pub id: DatabaseId,
    /// Name of the database.
    pub name: Arc<str>,
    /// Members in the order of the document.
    pub members: Vec<MemberHandle>,
    freshness: Mutex<FreshnessTracker>,
    changed: watch::Sender<u64>,
}

impl DatabaseHandle {
    /// Creates the handle of a declared database; members without an address are left out.
    pub fn new(
        id: DatabaseId,
        entry: &DatabaseEntry,
        settings: &ProxySettings,
        capacity: usize,
    ) -> Self {
        let members: Vec<MemberHandle> = entry
            .members
            .iter()
            .filter_map(|member| create_member(&entry.name, member, settings, capacity))
            .collect();
        let freshness = Mutex::new(FreshnessTracker::new(members.len()));
        let changed = watch::Sender::new(0);
        Self { id, name: entry.name.clone(), members, freshness, changed }
    }

    /// Returns the members as routing sees them.
    pub fn views(&self) -> Vec<MemberView> {
        let freshness = self.freshness.lock();
        let view = |(index, member): (usize, &MemberHandle)| {
            let record = member.last_state();
            MemberView {
                position: record.status.map_or(UNKNOWN_POSITION, |status| status.position),
                reachable: record.reachable,
                fresh_as_of: freshness.fresh_as_of(index),
                load: member.pool.load(),
                same_zone: member.near,
            }
        };
        self.members.iter().enumerate().map(view).collect()
    }

    /// Picks the member for a write.
    pub fn route_write(&self) -> RouteTarget {
        routing::route_write(&self.views())
    }

    /// Picks the member for a read, with the view on which the choice rests.
    pub fn route_read(
        &self,
        needs: &ReadRequirements,
        now: Instant,
    ) -> (RouteTarget, Vec<MemberView>) {
        let views = self.views();
        (routing::route_read(&views, needs, now), views)
    }

    /// Returns the index and term of the primary.
    pub fn primary(&self) -> Option<(usize, u64)> {
        match self.route_write() {
            RouteTarget::Primary(index) => {
                let status = self.members[index].last_state().status?;
                Some((index, status.position.term))
            }
            _ => None,
        }
    }

    /// Returns a receiver that learns of every change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Waits until another member is the primary, or the same one in another term.
    pub async fn wait_until_replaced(&self, primary: usize, term: u64) {
        let replaced = || self.primary().is_some_and(|current| current != (primary, term));
        self.wait_until(replaced).await;
    }

    /// Waits until a member no longer answers this instance.
    pub async fn wait_until_unreachable(&self, index: usize) {
        self.wait_until(|| !self.members[index].last_state().reachable).await;
    }

    async fn wait_until(&self, holds: impl Fn() -> bool) {
        let mut changes = self.subscribe();
        loop {
            changes.borrow_and_update();
            if holds() {
                return;
            }
            if changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Records a status answer.
    pub fn record_status(&self, index: usize, status: MemberStatus, now: Instant) {
        let before = self.primary();
        let previous = {
            let mut record = self.members[index].record.lock();
            let previous = *record;
            *record = MemberState { status: Some(status), reachable: true, answered_at: now };
            previous
        };
        self.freshness.lock().record_member(index, &status.position);
        if !previous.reachable {
            let (database, member) = (&self.name, &self.members[index].name);
            log_event!(LogEvent::MemberFound, "database={database} member={member}");
        }
        let moved = previous.status.is_none_or(|old| {
            old.position.role != status.position.role || old.position.term != status.position.term
        });
        if moved || !previous.reachable {
            self.publish(before);
        }
    }

    /// Records a position that came with an answer on a caller's connection.
    pub fn record_position(&self, index: usize, position: MemberPosition) {
        let mut record = self.members[index].record.lock();
        let Some(status) = &mut record.status else {
            return;
        };
        let same = status.position.term == position.term && status.position.role == position.role;
        if same && position.applied > status.position.applied {
            status.position = position;
        }
    }

    /// Records that a member does not answer.
    pub fn record_loss(&self, index: usize, error: &MemberError) {
        let before = self.primary();
        let was_reachable = {
            let mut record = self.members[index].record.lock();
            std::mem::replace(&mut record.reachable, false)
        };
        if was_reachable {
            let (database, member) = (&self.name, &self.members[index].name);
            log_event!(LogEvent::MemberLost, "database={database} member={member}: {error}");
            self.members[index].pool.invalidate_all();
            self.publish(before);
        }
    }

    /// Records a position that the primary proved current when asked at `asked_at`.
    pub fn record_proof(&self, asked_at: Instant, position: MemberPosition) {
        self.freshness.lock().record_primary(asked_at, position.applied_position());
    }

    /// Returns the greatest age of a member's data, for status reports.
    pub fn age(&self, index: usize, now: Instant) -> Option<Duration> {
        self.freshness.lock().staleness_bound(index, now)
    }

    fn publish(&self, before: Option<(usize, u64)>) {
        let after = self.primary();
        if let Some((index, term)) = after.filter(|_| after != before) {
            let (database, member) = (&self.name, &self.members[index].name);
            log_event!(
                LogEvent::PrimaryChanged,
                "database={database} primary={member} term={term}"
            );
        }
        self.changed.send_modify(|count| *count += 1);
    }
}

/// Position of a member that has not answered yet.
const UNKNOWN_POSITION: MemberPosition =
    MemberPosition { role: MemberRole::Replica, term: 0, applied: 0, term_start: 0 };

fn create_member(
    database: &str,
    member: &Arc<str>,
    settings: &ProxySettings,
    capacity: usize,
) -> Option<MemberHandle> {
    let known = |address: &&crate::settings::MemberAddress| {
        address.database == database && address.member == **member
    };
    let address = settings.members.iter().find(known)?;
    let target = MemberTarget {
        address: address.address,
        database: database.to_owned(),
        user: settings.database_user.clone(),
        password: settings.database_password.clone(),
        zone: settings.zone.clone(),
        connect_timeout: settings.connect_timeout,
    };
    let control = MemberTarget { user: CONTROL_USER.to_owned(), ..target.clone() };
    Some(MemberHandle {
        name: member.clone(),
        zone: address.zone.clone(),
        near: address.zone == settings.zone,
        pool: MemberPool::new(target, capacity),
        control,
        record: Mutex::new(MemberState {
            status: None,
            reachable: false,
            answered_at: Instant::now(),
        }),
    })
}
