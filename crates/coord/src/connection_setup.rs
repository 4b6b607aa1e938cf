//! Session values and prepared statements that a connection to an endpoint has.

use serde::{Deserialize, Serialize};

use crate::session::SessionId;

/// Identifies the session values and prepared statements of a session at some time.
///
/// Two of them are equal only if what they stand for is: a connection that has the setup of an equal
/// identifier is not reset.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SetupId {
    session: SessionId,
    version: u32,
}

impl SetupId {
    /// Stands for no values and no prepared statements.
    pub const NONE: Self = Self { session: SessionId { incarnation: 0, number: 0 }, version: 0 };

    /// Returns the identifier of a session's setup of this version; version zero stands for none.
    pub fn new(session: SessionId, version: u32) -> Self {
        if version == 0 { Self::NONE } else { Self { session, version } }
    }
}

/// Session values and prepared statements of a connection, by the identifier under which a session
/// sent them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionSetup {
    /// Those of this identifier.
    Known(SetupId),
    /// Those of this identifier if the open transaction commits.
    Uncommitted(SetupId),
    /// Not known: the connection must be reset before it serves another call.
    Unknown,
}

impl Default for ConnectionSetup {
    fn default() -> Self {
        Self::Known(SetupId::NONE)
    }
}

impl ConnectionSetup {
    /// Returns whether the connection certainly has what this identifier stands for.
    pub fn is_current(self, setup_id: SetupId) -> bool {
        self == Self::Known(setup_id)
    }

    /// Records that the connection was reset and got what this identifier stands for; a statement
    /// may have failed.
    pub fn record_reset(&mut self, setup_id: SetupId, has_failed: bool) {
        *self = if has_failed { Self::Unknown } else { Self::Known(setup_id) };
    }

    /// Records that statements in the open transaction changed the setup to what this identifier
    /// stands for; a statement may have failed.
    pub fn record_change(&mut self, setup_id: SetupId, has_failed: bool) {
        *self = match self {
            Self::Unknown => Self::Unknown,
            _ if has_failed => Self::Unknown,
            Self::Known(_) | Self::Uncommitted(_) => Self::Uncommitted(setup_id),
        };
    }

    /// Records the end of the open transaction. A rollback may take its changes back.
    pub fn end_transaction(&mut self, has_committed: bool) {
        if let Self::Uncommitted(setup_id) = *self {
            *self = if has_committed { Self::Known(setup_id) } else { Self::Unknown };
        }
    }
}
