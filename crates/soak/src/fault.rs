//! Schedule of overlapping faults, generated from a seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::relay::RelayMode;

/// Fault, with the index of the instance or member that it affects.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultAction {
    /// Suspends the process and resumes it later.
    PauseInstance(usize),
    /// Kills the process and starts it again.
    KillInstance(usize),
    /// Shuts the process down gracefully and starts it again.
    TerminateInstance(usize),
    /// Changes the mode of the relay in front of a member.
    SetMemberRelay(usize, RelayMode),
    /// Closes all connections to a member.
    ResetMemberConnections(usize),
    /// Drops all further bytes on the open connections to a member.
    BlackholeMemberConnections(usize),
    /// Changes the mode of the relay between an instance and the row store.
    SetStoreRelay(usize, RelayMode),
    /// Drops all further bytes on the open connections of an instance to the row store.
    BlackholeStoreConnections(usize),
    /// Makes the row store fail its requests.
    MakeStoreUnavailable,
    /// Delays all that the row store receives and sends by this latency.
    SlowStore(Duration),
    /// Discards the change history of the row store.
    CompactStoreHistory,
    /// Makes a member accept statements without responding.
    MakeMemberUnresponsive(usize),
    /// Makes a member apply no log entries.
    StopMemberReplication(usize),
    /// Makes a member close the connection instead of responding to commits.
    LoseCommitResponses(usize),
    /// Makes a member fail reads.
    FailMemberReads(usize),
    /// Takes the row store away for this time, and brings it back from a copy that is as old as the
    /// fault's duration.
    DrillStore(Duration),
    /// Publishes a document with a new version.
    PublishDocument,
    /// Evacuates the zone of a member.
    EvacuateZone(usize),
}

impl FaultAction {
    /// Returns whether an instance may learn of changed rows late because of the fault.
    pub fn delays_rows(self, instance: usize) -> bool {
        match self {
            Self::PauseInstance(index)
            | Self::KillInstance(index)
            | Self::TerminateInstance(index)
            | Self::SetStoreRelay(index, _)
            | Self::BlackholeStoreConnections(index) => index == instance,
            Self::MakeStoreUnavailable | Self::SlowStore(_) | Self::DrillStore(_) => true,
            _ => false,
        }
    }

    /// Returns whether the fault is unplanned and may keep members from answering requests.
    pub fn cuts_requests(self) -> bool {
        matches!(
            self,
            Self::PauseInstance(_)
                | Self::KillInstance(_)
                | Self::SetMemberRelay(..)
                | Self::ResetMemberConnections(_)
                | Self::BlackholeMemberConnections(_)
                | Self::MakeMemberUnresponsive(_)
                | Self::LoseCommitResponses(_)
        )
    }
}

/// Separates the choices of the evacuations from those of the other faults of a seed.
const EVACUATION_STREAM: u64 = 1 << 63;
/// Separates the choices of the periods in which the row store is slow.
const SLOW_STORE_STREAM: u64 = 1 << 62;
/// Separates the choices of the drills of the row store.
const DRILL_STREAM: u64 = 1 << 61;

/// Fault with its start time and duration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledFault {
    /// Time from the start of the run.
    pub starts_at: Duration,
    /// Time until the fault ends; instantaneous faults ignore it.
    pub duration: Duration,
    /// Fault to inject.
    pub action: FaultAction,
}

/// Returns the faults for a seed in the order of their start times, all before `fault_period`.
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
    faults.extend(schedule_evacuations(seed, fault_period, members));
    faults.extend(schedule_slow_store(seed, fault_period));
    faults.extend(schedule_drills(seed, fault_period));
    faults.sort_by_key(|fault| fault.starts_at);
    faults
}

/// Returns the evacuations for a seed: some are withdrawn at once, most last for longer than the
/// bound, and they overlap.
fn schedule_evacuations(seed: u64, fault_period: Duration, members: usize) -> Vec<ScheduledFault> {
    // A generator of their own leaves the other faults of each seed as they were.
    let mut rng = StdRng::seed_from_u64(seed ^ EVACUATION_STREAM);
    let mut faults = Vec::new();
    let mut starts_at = Duration::from_millis(rng.random_range(500..4_000));
    while starts_at < fault_period {
        let millis = if rng.random_bool(0.2) { 100 } else { rng.random_range(2_000..9_000) };
        let (duration, action) = (
            Duration::from_millis(millis),
            FaultAction::EvacuateZone(rng.random_range(0..members)),
        );
        faults.push(ScheduledFault { starts_at, duration, action });
        starts_at += Duration::from_millis(rng.random_range(3_000..9_000));
    }
    faults
}

/// Returns periods in which the row store is slow, with a document in the middle of each.
fn schedule_slow_store(seed: u64, fault_period: Duration) -> Vec<ScheduledFault> {
    let mut rng = StdRng::seed_from_u64(seed ^ SLOW_STORE_STREAM);
    let mut faults = Vec::new();
    let mut starts_at = Duration::from_millis(rng.random_range(1_000..8_000));
    while starts_at < fault_period {
        let duration = Duration::from_millis(rng.random_range(1_000..5_000));
        let action = FaultAction::SlowStore(Duration::from_millis(rng.random_range(100..1_200)));
        faults.push(ScheduledFault { starts_at, duration, action });
        let (starts_at_half, action) = (starts_at + duration / 2, FaultAction::PublishDocument);
        faults.push(ScheduledFault { starts_at: starts_at_half, duration, action });
        starts_at += duration + Duration::from_millis(rng.random_range(4_000..10_000));
    }
    faults
}

/// Returns drills of the row store, one after another, with a document that most of the copies lack.
fn schedule_drills(seed: u64, fault_period: Duration) -> Vec<ScheduledFault> {
    let mut rng = StdRng::seed_from_u64(seed ^ DRILL_STREAM);
    let mut faults = Vec::new();
    let mut starts_at = Duration::from_millis(rng.random_range(500..4_000));
    while starts_at < fault_period {
        let duration = Duration::from_millis(rng.random_range(500..4_000));
        let away = Duration::from_millis(rng.random_range(100..1_500));
        let action = FaultAction::DrillStore(away);
        faults.push(ScheduledFault { starts_at, duration, action });
        let (starts_at_half, action) = (starts_at + duration / 2, FaultAction::PublishDocument);
        faults.push(ScheduledFault { starts_at: starts_at_half, duration, action });
        starts_at += duration + away + Duration::from_millis(rng.random_range(4_000..12_000));
    }
    faults
}
