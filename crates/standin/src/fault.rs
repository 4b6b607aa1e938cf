//! Faults of a member, switched while it runs.

use serde::{Deserialize, Serialize};

/// Faults in force on one member.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MemberFault {
    /// Cuts the member off from the rest of its group; callers still reach it.
    pub cut: bool,
    /// Refuses connections and drops the open ones, as after a crash.
    pub stopped: bool,
    /// Keeps connections open and answers nothing, as a stopped process does.
    pub paused: bool,
    /// Extra time that every statement holds its slot, in milliseconds.
    pub slow_ms: u64,
    /// Time by which applying the log lags behind receiving it, in milliseconds.
    pub lag_ms: u64,
    /// Number of commits whose answer is lost together with the connection.
    pub lose_answers: u32,
}

/// Change of a member's faults; absent fields stay as they are.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultChange {
    /// Replaces `cut`.
    pub cut: Option<bool>,
    /// Replaces `stopped`.
    pub stopped: Option<bool>,
    /// Replaces `paused`.
    pub paused: Option<bool>,
    /// Replaces `slow_ms`.
    pub slow_ms: Option<u64>,
    /// Replaces `lag_ms`.
    pub lag_ms: Option<u64>,
    /// Replaces `lose_answers`.
    pub lose_answers: Option<u32>,
    /// Lets every connection open now go silent for good.
    pub silence: bool,
}

impl MemberFault {
    /// Applies a change.
    pub fn change(&mut self, change: &FaultChange) {
        self.cut = change.cut.unwrap_or(self.cut);
        self.stopped = change.stopped.unwrap_or(self.stopped);
        self.paused = change.paused.unwrap_or(self.paused);
        self.slow_ms = change.slow_ms.unwrap_or(self.slow_ms);
        self.lag_ms = change.lag_ms.unwrap_or(self.lag_ms);
        self.lose_answers = change.lose_answers.unwrap_or(self.lose_answers);
    }
}
