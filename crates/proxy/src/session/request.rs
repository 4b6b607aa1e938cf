//! Request of a caller: a simple query, or extended-query messages up to a sync or flush.

use std::sync::Arc;

use wire::frame::RawFrame;
use wire::statement::{StatementClass, StatementKind};

use super::batch::CallerBatch;

/// Messages of a request.
pub(super) enum RequestBody {
    /// Query message of the simple protocol.
    Simple(RawFrame),
    /// Extended-query messages up to a sync or flush.
    Batch(CallerBatch),
}

/// Request of a caller.
pub(super) struct CallerRequest {
    /// Messages of the request.
    pub(super) body: RequestBody,
    /// Combined class of the request's statements.
    pub(super) class: Arc<StatementClass>,
    /// The request ends with a sync or is a simple query; false after a flush.
    pub(super) ends_with_sync: bool,
}

impl CallerRequest {
    /// Returns the number of statements that the request counts against its team's rate.
    ///
    /// Ending a transaction is free, so that a team over its rate can still release its locks.
    pub(super) fn cost(&self) -> f64 {
        match (&self.body, self.class.kind) {
            (_, StatementKind::Commit | StatementKind::Rollback) => 0.0,
            (RequestBody::Simple(_), _) => self.class.statement_count as f64,
            (RequestBody::Batch(batch), _) => batch.execute_count() as f64,
        }
    }

    /// Returns whether the request may commit more than once, so that the outcome of its first commit
    /// does not tell that of the others.
    pub(super) fn may_commit_repeatedly(&self) -> bool {
        match &self.body {
            RequestBody::Simple(_) => self.class.may_commit_repeatedly,
            RequestBody::Batch(batch) => batch.may_commit_repeatedly(self.class.kind),
        }
    }

    /// Returns whether the request may commit, given whether a transaction is open.
    pub(super) fn may_commit(&self, in_transaction: bool) -> bool {
        match self.class.kind {
            StatementKind::Commit | StatementKind::Mixed => true,
            StatementKind::Write => !in_transaction,
            _ => false,
        }
    }
}
