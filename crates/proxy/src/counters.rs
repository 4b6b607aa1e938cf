//! Counters of an instance, resolved once so that a request does not look them up.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};

use metrics::{Counter, counter};
use telemetry::meter;
use wire::refusal::RefusalReason;

/// Why a request is tried again.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RetryReason {
    /// The member said that it is not the primary.
    NotPrimary,
    /// The answer's position does not cover the session.
    StaleResponse,
    /// The connection could not be opened.
    ConnectFailed,
    /// The connection was lost while it carried a read.
    ReadLost,
    /// The connection was lost while it carried an idempotent write.
    IdempotentWriteLost,
    /// The group proved that the write whose answer was lost did not run.
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

/// Reads answered, by the kind of member that served them.
#[derive(Debug, Default)]
pub struct ReadCounts {
    /// Reads served by replicas.
    pub replica: AtomicU64,
    /// Reads served by the primary.
    pub primary: AtomicU64,
}

/// Counters of one instance.
pub struct InstanceCounters {
    /// Reads answered so far, for experiments in the same process.
    pub reads: ReadCounts,
    replica_reads: Counter,
    primary_reads: Counter,
    /// Requests answered.
    pub requests: Counter,
    refusals: HashMap<RefusalReason, Counter>,
    retries: HashMap<RetryReason, Counter>,
}

impl InstanceCounters {
    /// Resolves the counters of the instance called `instance`.
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
    pub fn count_read(&self, by_replica: bool) {
        let (counter, tally) = if by_replica {
            (&self.replica_reads, &self.reads.replica)
        } else {
            (&self.primary_reads, &self.reads.primary)
        };
        counter.increment(1);
        tally.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, reason: RefusalReason) {
        if let Some(counter) = self.refusals.get(&reason) {
            counter.increment(1);
        }
    }

    /// Counts a retry.
    pub fn count_retry(&self, reason: RetryReason) {
        if let Some(counter) = self.retries.get(&reason) {
            counter.increment(1);
        }
    }
}
