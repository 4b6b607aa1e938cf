//! Seeded series of faults that overlap.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::relay::RelayMode;

/// Trouble, and what it befalls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultAction {
    /// The process is stopped and goes on later.
    Pause(usize),
    /// The process is killed and starts again.
    Kill(usize),
    /// The process is told to stop, ends and starts again.
    Terminate(usize),
    /// The way to a member changes.
    MemberWay(usize, RelayMode),
    /// Connections to a member are reset.
    MemberReset(usize),
    /// Open connections to a member go silent for good.
    MemberSilence(usize),
    /// The way of an instance to the store changes.
    StoreWay(usize, RelayMode),
    /// Open connections of an instance to the store go silent for good.
    StoreSilence(usize),
    /// The store refuses every call.
    StoreDown,
    /// The store forgets its history.
    StoreCompact,
    /// A member answers nothing.
    MemberDark(usize),
    /// A member applies nothing.
    MemberLags(usize),
    /// A member closes the connection in place of answers to commits.
    MemberLoses(usize),
    /// A member fails reads.
    MemberGrey(usize),
    /// A document with a new version comes.
    Document,
}

/// Fault with its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedFault {
    /// Time from the start of the run.
    pub at: Duration,
    /// How long it lasts.
    pub length: Duration,
    /// What happens.
    pub action: FaultAction,
}

/// Returns the faults of a seed in the order of their times.
pub fn plan(seed: u64, time: Duration, instances: usize, members: usize) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let mut at = Duration::from_millis(500);
    while at < time {
        let instance = random.random_range(0..instances);
        let member = random.random_range(0..members);
        let delay = Duration::from_millis(random.random_range(20..250));
        let modes = [
            RelayMode::Delay(delay),
            RelayMode::DropToTarget,
            RelayMode::DropFromTarget,
            RelayMode::DropAll,
        ];
        let mode = modes[random.random_range(0..modes.len())];
        let action = match random.random_range(0..15) {
            0 => FaultAction::Pause(instance),
            1 => FaultAction::Kill(instance),
            2 => FaultAction::Terminate(instance),
            3 | 4 => FaultAction::MemberWay(member, mode),
            5 => FaultAction::MemberReset(member),
            6 => FaultAction::MemberSilence(member),
            7 => FaultAction::StoreWay(instance, mode),
            8 => FaultAction::StoreSilence(instance),
            9 => FaultAction::StoreDown,
            10 => FaultAction::StoreCompact,
            11 => FaultAction::MemberDark(member),
            12 => FaultAction::MemberLags(member),
            13 => FaultAction::MemberLoses(member),
            _ => {
                if random.random_bool(0.5) {
                    FaultAction::MemberGrey(member)
                } else {
                    FaultAction::Document
                }
            }
        };
        let length = Duration::from_millis(random.random_range(200..3_000));
        faults.push(PlannedFault { at, length, action });
        at += Duration::from_millis(random.random_range(50..1_200));
    }
    faults
}
