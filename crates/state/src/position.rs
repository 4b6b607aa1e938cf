//! Positions in a group's replication log, and the status that its members report.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu};

/// Errors of parsing a member's position or status.
#[derive(Debug, Snafu)]
pub enum PositionError {
    /// A field is missing.
    #[snafu(display("position {text:?} lacks the field {field}"))]
    MissingField {
        /// Text that was parsed.
        text: String,
        /// Name of the missing field.
        field: &'static str,
    },
    /// A numeric field is not a number.
    #[snafu(display("position {text:?} has a field that is not a number"))]
    InvalidNumber {
        /// Text that was parsed.
        text: String,
        /// Error of the integer parser.
        source: std::num::ParseIntError,
    },
    /// The role field is unknown.
    #[snafu(display("position {text:?} has an unknown role"))]
    UnknownRole {
        /// Text that was parsed.
        text: String,
    },
}

/// Position in a group's replication log: the term and the index of an entry.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct LogPosition {
    /// Term under which the entry was written.
    pub term: u64,
    /// Index of the entry; counts from 1 and continues across terms.
    pub index: u64,
}

impl LogPosition {
    /// Creates a position from a term and an index.
    pub fn new(term: u64, index: u64) -> Self {
        Self { term, index }
    }
}

impl fmt::Display for LogPosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.term, self.index)
    }
}

/// Role of a member in its group.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberRole {
    /// Accepts writes and replicates its log.
    Primary,
    /// Applies the log of a primary.
    Replica,
    /// Accepted a fence and waits to follow the new primary.
    Fenced,
}

impl MemberRole {
    /// Returns the letter for this role on the wire.
    pub fn letter(self) -> char {
        match self {
            Self::Primary => 'P',
            Self::Replica => 'R',
            Self::Fenced => 'F',
        }
    }
}

/// Role and position that a member reports with every answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberPosition {
    /// Role of the member when it answered.
    pub role: MemberRole,
    /// Term of the primary whose log the member has.
    pub term: u64,
    /// Index of the last applied entry, which reads on the member reflect.
    pub applied: u64,
    /// Index of the last entry before the first one of `term`.
    pub term_start: u64,
}

impl MemberPosition {
    /// Returns whether reads on this member reflect everything up to `target`.
    ///
    /// A target of an older term matters only up to the start of the member's term, because entries
    /// past that index were never acknowledged.
    pub fn has_applied(&self, target: LogPosition) -> bool {
        if self.term < target.term {
            return false;
        }
        if self.term == target.term {
            return self.applied >= target.index;
        }
        self.applied >= target.index.min(self.term_start)
    }

    /// Returns the position of the last applied entry.
    pub fn applied_position(&self) -> LogPosition {
        LogPosition::new(self.term, self.applied)
    }
}

impl fmt::Display for MemberPosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let letter = self.role.letter();
        write!(formatter, "{}:{}:{}:{}", letter, self.term, self.applied, self.term_start)
    }
}

impl FromStr for MemberPosition {
    type Err = PositionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut fields = text.split(':');
        let role = match fields.next() {
            Some("P") => MemberRole::Primary,
            Some("R") => MemberRole::Replica,
            Some("F") => MemberRole::Fenced,
            _ => return UnknownRoleSnafu { text }.fail(),
        };
        let mut number = |field: &'static str| {
            let value = fields.next().context(MissingFieldSnafu { text, field })?;
            value.parse::<u64>().context(InvalidNumberSnafu { text })
        };
        Ok(Self {
            role,
            term: number("term")?,
            applied: number("applied")?,
            term_start: number("term_start")?,
        })
    }
}

/// Status of a member, the answer to `SHOW group.status`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberStatus {
    /// Role and applied position.
    pub position: MemberPosition,
    /// Highest term of which the member accepted a fence or a primary.
    pub promised: u64,
    /// Term of the last received entry.
    pub last_term: u64,
    /// Index of the last received entry, applied or not.
    pub received: u64,
    /// Milliseconds since the member last received a message from its primary; zero on a primary.
    pub last_contact_ms: u64,
}

impl MemberStatus {
    /// Returns the position of the last received entry; the candidate with the highest one is
    /// promoted.
    pub fn last_entry(&self) -> LogPosition {
        LogPosition::new(self.last_term, self.received)
    }
}

impl fmt::Display for MemberStatus {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}:{}:{}:{}:{}",
            self.position, self.promised, self.last_term, self.received, self.last_contact_ms
        )
    }
}

impl FromStr for MemberStatus {
    type Err = PositionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let position: MemberPosition = text.parse()?;
        let mut fields = text.split(':').skip(4);
        let mut number = |field: &'static str| {
            let value = fields.next().context(MissingFieldSnafu { text, field })?;
            value.parse::<u64>().context(InvalidNumberSnafu { text })
        };
        Ok(Self {
            position,
            promised: number("promised")?,
            last_term: number("last_term")?,
            received: number("received")?,
            last_contact_ms: number("heard_ms")?,
        })
    }
}
