//! Positions that a session has seen, one for each database it used.

use std::sync::Arc;

use crate::position::LogPosition;

/// Highest position seen in one database.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DatabasePosition {
    /// Name of the database.
    pub database: Arc<str>,
    /// Highest position that a read or write of the session showed.
    pub position: LogPosition,
}

/// Positions of one session; a missing entry means that the session stands behind the barrier.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SessionPositions {
    seen: Vec<DatabasePosition>,
}

impl SessionPositions {
    /// Returns the position seen in `database`, or none if a barrier is still due.
    pub fn get(&self, database: &str) -> Option<LogPosition> {
        self.seen.iter().find(|seen| &*seen.database == database).map(|seen| seen.position)
    }

    /// Raises the position seen in `database` and tells whether it moved.
    pub fn advance(&mut self, database: &Arc<str>, position: LogPosition) -> bool {
        let Some(seen) = self.seen.iter_mut().find(|seen| seen.database == *database) else {
            self.seen.push(DatabasePosition { database: database.clone(), position });
            return true;
        };
        if seen.position >= position {
            return false;
        }
        seen.position = position;
        true
    }

    /// Raises every position to at least that of `other`.
    pub fn merge(&mut self, other: &Self) {
        for seen in &other.seen {
            self.advance(&seen.database, seen.position);
        }
    }

    /// Iterates over the positions seen.
    pub fn iter(&self) -> impl Iterator<Item = &DatabasePosition> {
        self.seen.iter()
    }

    /// Returns the number of databases with a position.
    pub fn len(&self) -> usize {
        self.seen.len()
    }

    /// Tells whether no database has a position.
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }
}
