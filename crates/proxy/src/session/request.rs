//! Request of a caller: one simple query or the messages of an extended exchange.

use std::sync::Arc;

use wire::frame::RawFrame;
use wire::statement::{StatementClass, StatementKind};

use super::batch::CallerBatch;

/// Messages of a request.
pub(super) enum RequestBody {
    /// Simple query message.
    Simple(RawFrame),
    /// Extended messages up to a sync or flush.
    Batch(CallerBatch),
}

/// Request of a caller.
pub(super) struct CallerRequest {
    /// Messages of the request.
    pub(super) body: RequestBody,
    /// What running the request does.
    pub(super) class: Arc<StatementClass>,
    /// Tells that the request ends its exchange; false after a flush.
    pub(super) ends_with_sync: bool,
}

impl CallerRequest {
    /// Returns the statements that the request counts for against its team's rate.
    ///
    /// Ending a transaction is free, so that a team over its rate can still let go of locks.
    pub(super) fn cost(&self) -> f64 {
        match (&self.body, self.class.kind) {
            (_, StatementKind::Commit | StatementKind::Rollback) => 0.0,
            (RequestBody::Simple(_), _) => self.class.statement_count as f64,
            (RequestBody::Batch(batch), _) => batch.execute_count() as f64,
        }
    }

    /// Tells whether the request may commit something when it runs outside a transaction.
    pub(super) fn may_commit(&self, in_transaction: bool) -> bool {
        match self.class.kind {
            StatementKind::Commit | StatementKind::Mixed => true,
            StatementKind::Write => !in_transaction,
            _ => false,
        }
    }
}
