//! Log positions that a session has observed, one per database that it used.

use std::sync::Arc;

use crate::position::LogPosition;

/// Highest position that a session observed in one database.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DatabasePosition {
    /// Name of the database.
    pub database: Arc<str>,
    /// Highest position that a read or write of the session reflected.
    pub position: LogPosition,
}

/// Observed positions of one session.
///
/// Without an entry for a database, the session's next read there needs a barrier: it must reflect
/// every write that was acknowledged before the session began.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SessionPositions {
    entries: Vec<DatabasePosition>,
}

impl SessionPositions {
    /// Returns the position observed in `database`, or `None` if the next read needs a barrier.
    pub fn get(&self, database: &str) -> Option<LogPosition> {
        self.entries.iter().find(|entry| &*entry.database == database).map(|entry| entry.position)
    }

    /// Raises the position of `database` to at least `position` and returns whether it changed.
    pub fn advance(&mut self, database: &Arc<str>, position: LogPosition) -> bool {
        let Some(entry) = self.entries.iter_mut().find(|entry| entry.database == *database) else {
            self.entries.push(DatabasePosition { database: database.clone(), position });
            return true;
        };
        if entry.position >= position {
            return false;
        }
        entry.position = position;
        true
    }

    /// Raises every position to at least that in `other`.
    pub fn merge(&mut self, other: &Self) {
        for entry in &other.entries {
            self.advance(&entry.database, entry.position);
        }
    }

    /// Iterates over the observed positions.
    pub fn iter(&self) -> impl Iterator<Item = &DatabasePosition> {
        self.entries.iter()
    }

    /// Returns the number of databases with an observed position.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no database has an observed position.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
