//! Tasks that poll the status of a database's members and confirm the primary's leadership.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use net::member::{MemberConnection, MemberError};
use state::position::{MemberPosition, MemberRole, MemberStatus};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval, timeout};
use wire::frontend;
use wire::group::GroupCommand;

use crate::database::DatabaseHandle;

/// Interval of status requests to a member.
pub const STATUS_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a status request, and of the connection setup before it.
const STATUS_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval of leadership confirmations.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a leadership confirmation.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Monitors a database until the returned set is dropped.
pub fn monitor_database(database: &Arc<DatabaseHandle>) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    for index in 0..database.members.len() {
        tasks.spawn(monitor_member(database.clone(), index));
    }
    tasks.spawn(monitor_leadership(database.clone()));
    tasks
}

async fn monitor_member(database: Arc<DatabaseHandle>, index: usize) {
    let mut ticks = interval(STATUS_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut connection = None;
    loop {
        ticks.tick().await;
        // A failure counts only if a new connection fails as well: a network device on the path may
        // have dropped the old connection although the member is healthy.
        let mut result = request_status(&database, index, &mut connection).await;
        if result.is_err() && connection.take().is_some() {
            result = request_status(&database, index, &mut connection).await;
        }
        match result {
            Ok(status) => database.record_status(index, status, Instant::now()),
            Err(error) => {
                connection = None;
                database.record_unreachable(index, &error);
            }
        }
        database.members[index].pool.evict_idle(Instant::now());
    }
}

async fn request_status(
    database: &DatabaseHandle,
    index: usize,
    connection: &mut Option<MemberConnection>,
) -> Result<MemberStatus, MemberError> {
    if connection.is_none() {
        let opened = timeout(STATUS_TIMEOUT, database.members[index].open_control()).await;
        *connection = Some(opened.map_err(|_| MemberError::Timeout { limit: STATUS_TIMEOUT })??);
    }
    match connection {
        Some(connection) => connection.status(STATUS_TIMEOUT).await,
        None => Err(MemberError::Timeout { limit: STATUS_TIMEOUT }),
    }
}

/// Periodically asks the primary to confirm its leadership by a majority, and records its position.
async fn monitor_leadership(database: Arc<DatabaseHandle>) {
    let mut ticks = interval(CONFIRMATION_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut primary_connection: Option<(usize, MemberConnection)> = None;
    loop {
        ticks.tick().await;
        let Some((index, _)) = database.primary() else {
            primary_connection = None;
            continue;
        };
        if primary_connection.as_ref().is_none_or(|(member, _)| *member != index) {
            let opened = database.members[index].open_control().await;
            primary_connection = opened.ok().map(|connection| (index, connection));
        }
        let Some((_, connection)) = &mut primary_connection else {
            continue;
        };
        let sent_at = Instant::now();
        match timeout(CONFIRMATION_TIMEOUT, confirm_leadership(connection)).await {
            Ok(Ok(position)) => database.record_leadership_confirmation(sent_at, position),
            _ => primary_connection = None,
        }
    }
}

/// Requests the status and then a leadership confirmation; the confirmation therefore covers the
/// returned position.
async fn confirm_leadership(
    connection: &mut MemberConnection,
) -> Result<MemberPosition, MemberError> {
    let mut output = BytesMut::new();
    frontend::put_query(&mut output, &GroupCommand::Status.to_string());
    frontend::put_query(&mut output, &GroupCommand::Confirm.to_string());
    connection.send(&output).await?;
    let status = connection.read_command_response().await?;
    connection.read_command_response().await?;
    let status: MemberStatus =
        status.parse().map_err(|_| MemberError::Protocol { expected: "a status" })?;
    if status.position.role != MemberRole::Primary {
        return Err(MemberError::Protocol { expected: "a primary" });
    }
    Ok(status.position)
}
