//! Metric counters of an instance, registered once so that a request needs no lookup by label.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};

use metrics::{Counter, counter};
use telemetry::meter;
use wire::refusal::RefusalReason;

/// Reason for retrying a request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RetryReason {
    /// The member responded that it is not the primary.
    NotPrimary,
    /// The position of the response is behind the session's.
    StaleResponse,
    /// No connection to the member could be opened.
    ConnectFailed,
    /// The connection was lost during a read.
    ReadLost,
    /// The connection was lost during an idempotent write.
    IdempotentWriteLost,
    /// The outcome of a write was in doubt, and the group confirmed that it was not executed.
    NotExecuted,
}

impl RetryReason {
    /// Every reason.
    pub const ALL: &[Self] = &[
        Self::NotPrimary,
        Self::StaleResponse,
        Self::ConnectFailed,
        Self::ReadLost,
        Self::IdempotentWriteLost,
        Self::NotExecuted,
    ];

    /// Returns the label used in metrics and logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::NotPrimary => "not_primary",
            Self::StaleResponse => "stale_answer",
            Self::ConnectFailed => "connect_failed",
            Self::ReadLost => "read_lost",
            Self::IdempotentWriteLost => "idempotent_lost",
            Self::NotExecuted => "proved_absent",
        }
    }
}

/// Number of reads served, by the role of the member.
#[derive(Debug, Default)]
pub struct ReadCounts {
    /// Reads served by replicas.
    pub replica: AtomicU64,
    /// Reads served by the primary.
    pub primary: AtomicU64,
}

/// Metric counters of one instance.
pub struct InstanceCounters {
    /// Reads served so far, for tests and load generators in the same process.
    pub reads: ReadCounts,
    replica_reads: Counter,
    primary_reads: Counter,
    /// Requests that passed the check of team, key and database.
    pub requests: Counter,
    refusals: HashMap<RefusalReason, Counter>,
    retries: HashMap<RetryReason, Counter>,
}

impl InstanceCounters {
    /// Registers the counters with the label `instance`.
    pub fn new(instance: &str) -> Self {
        let name = instance.to_owned();
        let refusal = |reason: &RefusalReason| {
            let counter =
                counter!(meter::REFUSALS, "instance" => name.clone(), "reason" => reason.label());
            (*reason, counter)
        };
        let retry = |reason: &RetryReason| {
            let counter =
                counter!(meter::RETRIES, "instance" => name.clone(), "reason" => reason.label());
            (*reason, counter)
        };
        Self {
            reads: ReadCounts::default(),
            replica_reads: counter!(meter::READS, "instance" => name.clone(), "by" => "replica"),
            primary_reads: counter!(meter::READS, "instance" => name.clone(), "by" => "primary"),
            requests: counter!(meter::REQUESTS, "instance" => name.clone()),
            refusals: RefusalReason::ALL.iter().map(refusal).collect(),
            retries: RetryReason::ALL.iter().map(retry).collect(),
        }
    }

    /// Counts a read.
    pub fn record_read(&self, by_replica: bool) {
        let (counter, count) = if by_replica {
            (&self.replica_reads, &self.reads.replica)
        } else {
            (&self.primary_reads, &self.reads.primary)
        };
        counter.increment(1);
        count.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a refusal.
    pub fn record_refusal(&self, reason: RefusalReason) {
        if let Some(counter) = self.refusals.get(&reason) {
            counter.increment(1);
        }
    }

    /// Counts a retry.
    pub fn record_retry(&self, reason: RetryReason) {
        if let Some(counter) = self.retries.get(&reason) {
            counter.increment(1);
        }
    }
}
