//! Session values and prepared statements that a connection to an endpoint has.

/// Session values and prepared statements of a connection, by the identifier under which a session
/// sent them; zero stands for none.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionSetup {
    /// Those of this identifier.
    Known(u64),
    /// Those of this identifier if the open transaction commits.
    Uncommitted(u64),
    /// Not known: the connection must be reset before it serves another call.
    Unknown,
}

impl Default for ConnectionSetup {
    fn default() -> Self {
        Self::Known(0)
    }
}

impl ConnectionSetup {
    /// Returns whether the connection certainly has what this identifier stands for.
    pub fn is_current(self, setup_id: u64) -> bool {
        self == Self::Known(setup_id)
    }

    /// Records that the connection was reset and got what this identifier stands for; a statement
    /// may have failed.
    pub fn record_reset(&mut self, setup_id: u64, has_failed: bool) {
        *self = if has_failed { Self::Unknown } else { Self::Known(setup_id) };
    }

    /// Records that statements in the open transaction changed the setup to what this identifier
    /// stands for; a statement may have failed.
    pub fn record_change(&mut self, setup_id: u64, has_failed: bool) {
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
