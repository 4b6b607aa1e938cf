//! This instance's view of a database: members, connection pools, positions and staleness bounds.

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

/// Last observed state of a member.
#[derive(Clone, Copy, Debug)]
pub struct MemberState {
    /// Last status, or none before the first response.
    pub status: Option<MemberStatus>,
    /// Whether the member responds to this instance.
    pub reachable: bool,
    /// Time of the member's last response.
    pub last_response_at: Instant,
}

/// Member of a database.
#[derive(Debug)]
pub struct MemberHandle {
    /// Logical name.
    pub name: Arc<str>,
    /// Availability zone.
    pub zone: String,
    /// Whether the member is in the availability zone of this instance.
    pub same_zone: bool,
    /// Pool of connections for callers' statements.
    pub pool: MemberPool,
    control_target: MemberTarget,
    state: Mutex<MemberState>,
}

impl MemberHandle {
    /// Opens a connection for group commands.
    pub async fn open_control(&self) -> Result<MemberConnection, MemberError> {
        MemberConnection::open(&self.control_target).await
    }

    /// Returns the last observed state of the member.
    pub fn last_state(&self) -> MemberState {
        *self.state.lock()
    }
}

/// Database of the document in force, with its members.
#[derive(Debug)]
pub struct DatabaseHandle {
    /// Id in the catalog.
    pub id: DatabaseId,
    /// Name of the database.
    pub name: Arc<str>,
    /// Members in the order of the document.
    pub members: Vec<MemberHandle>,
    freshness: Mutex<FreshnessTracker>,
    change_count: watch::Sender<u64>,
}

impl DatabaseHandle {
    /// Creates the handle of a configured database, without members that have no address in the
    /// settings.
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
        let change_count = watch::Sender::new(0);
        Self { id, name: entry.name.clone(), members, freshness, change_count }
    }

    /// Returns the members' views on which routing decides.
    pub fn views(&self) -> Vec<MemberView> {
        let freshness = self.freshness.lock();
        let view = |(index, member): (usize, &MemberHandle)| {
            let state = member.last_state();
            MemberView {
                position: state.status.map_or(UNKNOWN_POSITION, |status| status.position),
                reachable: state.reachable,
                fresh_as_of: freshness.fresh_as_of(index),
                load: member.pool.load(),
                same_zone: member.same_zone,
            }
        };
        self.members.iter().enumerate().map(view).collect()
    }

    /// Selects the member for a write.
    pub fn route_write(&self) -> RouteTarget {
        routing::route_write(&self.views())
    }

    /// Selects the member for a read, and returns it with the views used for the decision.
    pub fn route_read(
        &self,
        requirements: &ReadRequirements,
        now: Instant,
    ) -> (RouteTarget, Vec<MemberView>) {
        let views = self.views();
        (routing::route_read(&views, requirements, now), views)
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

    /// Returns a receiver that is notified when a member's role, term or reachability changes.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.change_count.subscribe()
    }

    /// Waits until another member is the primary, or the same member in another term.
    pub async fn wait_until_replaced(&self, primary: usize, term: u64) {
        let replaced = || self.primary().is_some_and(|current| current != (primary, term));
        self.wait_until(replaced).await;
    }

    /// Waits until a member is unreachable for this instance.
    pub async fn wait_until_unreachable(&self, index: usize) {
        self.wait_until(|| !self.members[index].last_state().reachable).await;
    }

    async fn wait_until(&self, condition: impl Fn() -> bool) {
        let mut change_receiver = self.subscribe();
        loop {
            change_receiver.borrow_and_update();
            if condition() {
                return;
            }
            if change_receiver.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Records a member's response to a status request.
    pub fn record_status(&self, index: usize, status: MemberStatus, now: Instant) {
        let primary_before = self.primary();
        let previous_state = {
            let mut state = self.members[index].state.lock();
            let previous_state = *state;
            *state = MemberState { status: Some(status), reachable: true, last_response_at: now };
            previous_state
        };
        self.freshness.lock().record_member(index, &status.position);
        if !previous_state.reachable {
            let (database, member) = (&self.name, &self.members[index].name);
            log_event!(LogEvent::MemberFound, "database={database} member={member}");
        }
        let leadership_changed = previous_state.status.is_none_or(|old| {
            old.position.role != status.position.role || old.position.term != status.position.term
        });
        if leadership_changed || !previous_state.reachable {
            self.notify_change(primary_before);
        }
    }

    /// Records a member's position from the response to a caller's statement.
    pub fn record_position(&self, index: usize, position: MemberPosition) {
        let mut state = self.members[index].state.lock();
        let Some(status) = &mut state.status else {
            return;
        };
        let same_leadership =
            status.position.term == position.term && status.position.role == position.role;
        if same_leadership && position.applied > status.position.applied {
            status.position = position;
        }
    }

    /// Records that a member does not respond, and invalidates its pooled connections.
    pub fn record_unreachable(&self, index: usize, error: &MemberError) {
        let primary_before = self.primary();
        let was_reachable = {
            let mut state = self.members[index].state.lock();
            std::mem::replace(&mut state.reachable, false)
        };
        if was_reachable {
            let (database, member) = (&self.name, &self.members[index].name);
            log_event!(LogEvent::MemberLost, "database={database} member={member}: {error}");
            self.members[index].pool.invalidate_all();
            self.notify_change(primary_before);
        }
    }

    /// Records a position of the primary whose leadership a majority confirmed, in response to a
    /// request sent at `sent_at`.
    pub fn record_leadership_confirmation(&self, sent_at: Instant, position: MemberPosition) {
        self.freshness.lock().record_primary(sent_at, position.applied_position());
    }

    /// Returns an upper bound on the staleness of a member's data.
    pub fn staleness_bound(&self, index: usize, now: Instant) -> Option<Duration> {
        self.freshness.lock().staleness_bound(index, now)
    }

    fn notify_change(&self, primary_before: Option<(usize, u64)>) {
        let after = self.primary();
        if let Some((index, term)) = after.filter(|_| after != primary_before) {
            let (database, member) = (&self.name, &self.members[index].name);
            log_event!(
                LogEvent::PrimaryChanged,
                "database={database} primary={member} term={term}"
            );
        }
        self.change_count.send_modify(|count| *count += 1);
    }
}

/// Position of a member that has not responded yet.
const UNKNOWN_POSITION: MemberPosition =
    MemberPosition { role: MemberRole::Replica, term: 0, applied: 0, term_start: 0 };

fn create_member(
    database: &str,
    member: &Arc<str>,
    settings: &ProxySettings,
    capacity: usize,
) -> Option<MemberHandle> {
    let matches_member = |address: &&crate::settings::MemberAddress| {
        address.database == database && address.member == **member
    };
    let address = settings.members.iter().find(matches_member)?;
    let target = MemberTarget {
        address: address.address,
        database: database.to_owned(),
        user: settings.database_user.clone(),
        password: settings.database_password.clone(),
        zone: settings.zone.clone(),
        connect_timeout: settings.connect_timeout,
    };
    let control_target = MemberTarget { user: CONTROL_USER.to_owned(), ..target.clone() };
    Some(MemberHandle {
        name: member.clone(),
        zone: address.zone.clone(),
        same_zone: address.zone == settings.zone,
        pool: MemberPool::new(target, capacity),
        control_target,
        state: Mutex::new(MemberState {
            status: None,
            reachable: false,
            last_response_at: Instant::now(),
        }),
    })
}
