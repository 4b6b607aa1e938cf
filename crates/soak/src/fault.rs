//! Seeded series of faults that overlap.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::relay::RelayMode;

/// Trouble, and what it befalls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultAction {
    /// The process is stopped and goes on later.
    PauseInstance(usize),
    /// The process is killed and starts again.
    KillInstance(usize),
    /// The process is told to stop, ends and starts again.
    TerminateInstance(usize),
    /// The way to a member changes.
    SetMemberRelay(usize, RelayMode),
    /// Connections to a member are reset.
    ResetMemberConnections(usize),
    /// Open connections to a member go silent for good.
    BlackholeMemberConnections(usize),
    /// The way of an instance to the store changes.
    SetStoreRelay(usize, RelayMode),
    /// Open connections of an instance to the store go silent for good.
    BlackholeStoreConnections(usize),
    /// The store refuses every call.
    MakeStoreUnavailable,
    /// The store forgets its history.
    CompactStoreHistory,
    /// A member answers nothing.
    MakeMemberUnresponsive(usize),
    /// A member applies nothing.
    StopMemberReplication(usize),
    /// A member closes the connection in place of answers to commits.
    LoseCommitResponses(usize),
    /// A member fails reads.
    FailMemberReads(usize),
    /// A document with a new version comes.
    PublishDocument,
}

/// Fault with its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledFault {
    /// Time from the start of the run.
    pub starts_at: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// What happens.
    pub action: FaultAction,
}

/// Returns the faults of a seed in the order of their times.
pub fn schedule_faults(
    seed: u64,
    fault_period: Duration,
    instances: usize,
    members: usize,
) -> Vec<ScheduledFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let mut starts_at = Duration::from_millis(500);
    while starts_at < fault_period {
        let instance = rng.random_range(0..instances);
        let member = rng.random_range(0..members);
        let delay = Duration::from_millis(rng.random_range(20..250));
        let modes = [
            RelayMode::Delay(delay),
            RelayMode::DropToTarget,
            RelayMode::DropFromTarget,
            RelayMode::DropAll,
        ];
        let mode = modes[rng.random_range(0..modes.len())];
        let action = match rng.random_range(0..15) {
            0 => FaultAction::PauseInstance(instance),
            1 => FaultAction::KillInstance(instance),
            2 => FaultAction::TerminateInstance(instance),
            3 | 4 => FaultAction::SetMemberRelay(member, mode),
            5 => FaultAction::ResetMemberConnections(member),
            6 => FaultAction::BlackholeMemberConnections(member),
            7 => FaultAction::SetStoreRelay(instance, mode),
            8 => FaultAction::BlackholeStoreConnections(instance),
            9 => FaultAction::MakeStoreUnavailable,
            10 => FaultAction::CompactStoreHistory,
            11 => FaultAction::MakeMemberUnresponsive(member),
            12 => FaultAction::StopMemberReplication(member),
            13 => FaultAction::LoseCommitResponses(member),
            _ => {
                if rng.random_bool(0.5) {
                    FaultAction::FailMemberReads(member)
                } else {
                    FaultAction::PublishDocument
                }
            }
        };
        let duration = Duration::from_millis(rng.random_range(200..3_000));
        faults.push(ScheduledFault { starts_at, duration, action });
        starts_at += Duration::from_millis(rng.random_range(50..1_200));
    }
    faults
}
