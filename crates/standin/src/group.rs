//! Database group: its members, log replication between them, and their listeners.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::{ResultExt as _, Snafu};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::member::{BatchResponse, GroupMember, MemberError};
use crate::session;
use crate::sqlite::SqliteError;

/// Maximum time between two batches to a replica.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of log entries in a batch.
const MAX_BATCH_ENTRIES: usize = 256;
/// Delay before a batch that the replica did not accept, or an entry that could not be applied
/// because the database was locked, is retried.
const RETRY_DELAY: Duration = Duration::from_millis(2);
/// Interval at which replication polls for the end of the faults that disconnect two members.
const LINK_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Term of the first primary of a new group.
const INITIAL_TERM: u64 = 1;

/// Errors of starting a group.
#[derive(Debug, Snafu)]
pub enum GroupError {
    /// A member's SQLite database could not be created.
    #[snafu(display("{source}"), context(false))]
    Sqlite {
        /// Cause reported by SQLite.
        source: SqliteError,
    },
    /// The initial promotion failed.
    #[snafu(display("{source}"), context(false))]
    Promotion {
        /// Cause reported by the member.
        source: MemberError,
    },
    /// A listener could not be opened.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address of the listener.
        address: SocketAddr,
        /// Cause reported by the operating system.
        source: std::io::Error,
    },
}

/// Settings of one member.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberSettings {
    /// Logical name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
}

/// Settings of one group.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GroupSettings {
    /// Name of the database.
    pub name: String,
    /// Members; the first one is the initial primary.
    pub members: Vec<MemberSettings>,
    /// Number of statements that a member runs concurrently.
    pub slots: usize,
    /// Maximum number of connections to a member.
    pub connections: u32,
    /// Simulated time to open a connection, in milliseconds.
    pub connect_ms: u64,
    /// Simulated one-way delay between availability zones, in microseconds.
    pub zone_delay_us: u64,
    /// Simulated time of a statement in addition to SQLite's own, in microseconds.
    pub statement_us: u64,
}

impl Default for GroupSettings {
    fn default() -> Self {
        Self {
            name: String::new(),
            members: Vec::new(),
            slots: 3,
            connections: 25,
            connect_ms: 10,
            zone_delay_us: 0,
            statement_us: 0,
        }
    }
}

/// Running database group; dropping it aborts its tasks.
#[derive(Debug)]
pub struct DatabaseGroup {
    /// Settings with which the group was started.
    pub settings: GroupSettings,
    /// Members in the order of the settings.
    pub members: Vec<Arc<GroupMember>>,
    /// Listen addresses of the members, in the order of the settings.
    pub addresses: Vec<SocketAddr>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for DatabaseGroup {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl DatabaseGroup {
    /// Starts the members, promotes the first one and makes the others its replicas.
    pub async fn start(settings: GroupSettings) -> Result<Self, GroupError> {
        let mut members = Vec::new();
        for (index, member) in settings.members.iter().enumerate() {
            let created = GroupMember::create(index, &member.name, &member.zone, settings.slots)?;
            members.push(Arc::new(created));
        }
        promote_first(&members)?;
        let shared_settings = Arc::new(settings.clone());
        let mut tasks = Vec::new();
        let mut addresses = Vec::new();
        for (member, settings) in members.iter().zip(&settings.members) {
            let address = settings.listen;
            let listener = TcpListener::bind(address).await.context(ListenSnafu { address })?;
            addresses.push(listener.local_addr().context(ListenSnafu { address })?);
            let group_size = members.len();
            let sessions =
                session::serve(listener, member.clone(), shared_settings.clone(), group_size);
            tasks.push(tokio::spawn(sessions));
            tasks.push(tokio::spawn(apply_log(member.clone())));
            for replica in members.iter().filter(|other| other.index != member.index) {
                let replication =
                    replicate(member.clone(), replica.clone(), shared_settings.clone());
                tasks.push(tokio::spawn(replication));
            }
        }
        Ok(Self { settings, members, addresses, tasks })
    }

    /// Finds a member by its logical name.
    pub fn member(&self, name: &str) -> Option<&Arc<GroupMember>> {
        self.members.iter().find(|member| member.name == name)
    }
}

fn promote_first(members: &[Arc<GroupMember>]) -> Result<(), GroupError> {
    let Some(first) = members.first() else {
        return Ok(());
    };
    first.update(|state| state.fence(INITIAL_TERM))?;
    first.update(|state| state.promote(INITIAL_TERM))?;
    for replica in &members[1..] {
        replica.update(|state| state.follow(INITIAL_TERM, &first.name))?;
    }
    Ok(())
}

/// Replicates the log of `from` to `to` whenever `from` is the primary.
async fn replicate(from: Arc<GroupMember>, to: Arc<GroupMember>, settings: Arc<GroupSettings>) {
    let delay = zone_delay(&settings, &from.zone, &to.zone);
    let mut changes = from.changed.subscribe();
    let mut match_index = 0;
    loop {
        changes.borrow_and_update();
        let sent_at = Instant::now();
        let batch = from.replication.lock().batch_after(match_index, MAX_BATCH_ENTRIES);
        if batch.is_some() && !is_connected(&from, &to) {
            // The end of a fault on `to` does not notify `from`, so this has to poll.
            sleep(LINK_POLL_INTERVAL).await;
            continue;
        }
        if let Some(batch) = batch {
            simulate_delay(delay).await;
            let response = to.update(|state| state.append_batch(&from.name, &batch));
            simulate_delay(delay).await;
            match response {
                Ok(BatchResponse::Matched(index)) if is_connected(&from, &to) => {
                    match_index = index;
                    let term = batch.term;
                    from.update(|state| state.acknowledge(to.index, term, index, sent_at));
                }
                Ok(BatchResponse::Mismatch(index)) => {
                    match_index = index;
                    continue;
                }
                Ok(_) => sleep(RETRY_DELAY).await,
                Err(error) => {
                    log::error!("member {} failed to append a batch: {error}", to.name);
                    sleep(HEARTBEAT_INTERVAL).await;
                }
            }
        }
        // Acknowledgements notify this task, too. Only a new entry or a leadership confirmation
        // request is a reason to send a batch before the next heartbeat.
        let heartbeat_at = Instant::now() + HEARTBEAT_INTERVAL;
        while !is_batch_due(&from, match_index, sent_at) {
            match timeout_at(heartbeat_at, changes.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return,
                Err(_) => break,
            }
        }
    }
}

fn is_batch_due(from: &GroupMember, match_index: u64, sent_at: Instant) -> bool {
    let state = from.replication.lock();
    let can_send =
        state.is_primary() && !state.fault.cut && !state.fault.stopped && !state.fault.paused;
    can_send
        && (state.last_index() > match_index
            || state.confirmation_requested_at().is_some_and(|at| at > sent_at))
}

fn is_connected(from: &GroupMember, to: &GroupMember) -> bool {
    let isolated = |member: &GroupMember| {
        let fault = member.fault();
        fault.cut || fault.stopped || fault.paused
    };
    !isolated(from) && !isolated(to)
}

/// Applies received log entries once their injected delay has passed.
async fn apply_log(member: Arc<GroupMember>) {
    let mut changes = member.changed.subscribe();
    loop {
        changes.borrow_and_update();
        let next = member.replication.lock().apply_due();
        match next {
            Ok(Some(due_at)) => {
                sleep_until(due_at).await;
                member.changed.send_modify(|count| *count += 1);
            }
            Ok(None) => {
                if changes.changed().await.is_err() {
                    return;
                }
            }
            Err(MemberError::Sqlite { source: SqliteError::Busy }) => sleep(RETRY_DELAY).await,
            Err(error) => {
                log::error!("member {} failed to apply its log: {error}", member.name);
                sleep(HEARTBEAT_INTERVAL).await;
            }
        }
    }
}

/// Returns the one-way delay between two availability zones.
pub fn zone_delay(settings: &GroupSettings, one: &str, other: &str) -> Duration {
    if one == other {
        return Duration::ZERO;
    }
    Duration::from_micros(settings.zone_delay_us)
}

async fn simulate_delay(delay: Duration) {
    if !delay.is_zero() {
        sleep(delay).await;
    }
}
