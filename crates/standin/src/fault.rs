//! Faults that are injected into a running database member.

use serde::{Deserialize, Serialize};

/// Faults that are active on one member.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MemberFault {
    /// Partitions the member from the rest of its group; clients still reach it.
    pub cut: bool,
    /// Refuses new connections and drops the open ones, as after a crash.
    pub stopped: bool,
    /// Keeps connections open and sends no responses, as a suspended process does.
    pub paused: bool,
    /// Extra time for which every statement occupies its slot, in milliseconds.
    pub slow_ms: u64,
    /// Delay between receiving and applying a log entry, in milliseconds.
    pub lag_ms: u64,
    /// Number of commits after which the connection is closed without a response.
    pub lose_answers: u32,
}

/// Update of a member's faults; absent fields keep their value.
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
    /// Makes every connection that is open now permanently unresponsive.
    pub silence: bool,
}

impl MemberFault {
    /// Replaces the values that `change` contains.
    pub fn change(&mut self, change: &FaultChange) {
        self.cut = change.cut.unwrap_or(self.cut);
        self.stopped = change.stopped.unwrap_or(self.stopped);
        self.paused = change.paused.unwrap_or(self.paused);
        self.slow_ms = change.slow_ms.unwrap_or(self.slow_ms);
        self.lag_ms = change.lag_ms.unwrap_or(self.lag_ms);
        self.lose_answers = change.lose_answers.unwrap_or(self.lose_answers);
    }
}
