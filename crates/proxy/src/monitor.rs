//! Tasks that keep the view of a database's members current.

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

/// Interval between two status questions to a member.
pub const STATUS_INTERVAL: Duration = Duration::from_millis(50);
/// Time that a status answer may take.
const STATUS_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval between two proofs of the primary's position.
const PROOF_INTERVAL: Duration = Duration::from_millis(50);
/// Time that a proof may take.
const PROOF_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Watches a database until the set is dropped.
pub fn watch(database: &Arc<DatabaseHandle>) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    for index in 0..database.members.len() {
        tasks.spawn(watch_member(database.clone(), index));
    }
    tasks.spawn(prove_primary(database.clone()));
    tasks
}

async fn watch_member(database: Arc<DatabaseHandle>, index: usize) {
    let mut ticks = interval(STATUS_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut connection = None;
    loop {
        ticks.tick().await;
        // A failure counts only after a fresh connection failed as well: an old one may have
        // been forgotten on the way while the member is well.
        let mut answer = ask_status(&database, index, &mut connection).await;
        if answer.is_err() && connection.take().is_some() {
            answer = ask_status(&database, index, &mut connection).await;
        }
        match answer {
            Ok(status) => database.record_status(index, status, Instant::now()),
            Err(error) => {
                connection = None;
                database.record_loss(index, &error);
            }
        }
        database.members[index].pool.evict_idle(Instant::now());
    }
}

async fn ask_status(
    database: &DatabaseHandle,
    index: usize,
    connection: &mut Option<MemberConnection>,
) -> Result<MemberStatus, MemberError> {
    if connection.is_none() {
        let open = timeout(STATUS_TIMEOUT, database.members[index].open_control()).await;
        *connection = Some(open.map_err(|_| MemberError::Timeout { limit: STATUS_TIMEOUT })??);
    }
    match connection {
        Some(connection) => connection.status(STATUS_TIMEOUT).await,
        None => Err(MemberError::Timeout { limit: STATUS_TIMEOUT }),
    }
}

/// Asks the primary again and again to prove its position through a majority.
async fn prove_primary(database: Arc<DatabaseHandle>) {
    let mut ticks = interval(PROOF_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut current: Option<(usize, MemberConnection)> = None;
    loop {
        ticks.tick().await;
        let Some((index, _)) = database.primary() else {
            current = None;
            continue;
        };
        if current.as_ref().is_none_or(|(open, _)| *open != index) {
            let open = database.members[index].open_control().await;
            current = open.ok().map(|connection| (index, connection));
        }
        let Some((_, connection)) = &mut current else {
            continue;
        };
        let asked_at = Instant::now();
        match timeout(PROOF_TIMEOUT, prove(connection)).await {
            Ok(Ok(position)) => database.record_proof(asked_at, position),
            _ => current = None,
        }
    }
}

async fn prove(connection: &mut MemberConnection) -> Result<MemberPosition, MemberError> {
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
