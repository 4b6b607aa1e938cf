//! Log positions of a database group and the rule by which one covers another.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu};

/// Errors of reading a position from text.
#[derive(Debug, Snafu)]
pub enum PositionError {
    /// The text has too few fields.
    #[snafu(display("position {text:?} lacks the field {field}"))]
    MissingField {
        /// Text that was read.
        text: String,
        /// Name of the missing field.
        field: &'static str,
    },
    /// A numeric field is not a number.
    #[snafu(display("position {text:?} has a field that is not a number"))]
    InvalidNumber {
        /// Text that was read.
        text: String,
        /// Cause reported by the standard library.
        source: std::num::ParseIntError,
    },
    /// The role field is unknown.
    #[snafu(display("position {text:?} has an unknown role"))]
    UnknownRole {
        /// Text that was read.
        text: String,
    },
}

/// Place in a group's log: the term that wrote the entry and the entry's index.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct LogPosition {
    /// Term under which the entry was written.
    pub term: u64,
    /// Index of the entry, counted from 1 over all terms.
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
    /// Accepts writes and ships its log.
    Primary,
    /// Applies the log of a primary.
    Replica,
    /// Accepted a fence and waits for the new primary.
    Fenced,
}

impl MemberRole {
    /// Returns the one-letter form used on the wire.
    pub fn letter(self) -> char {
        match self {
            Self::Primary => 'P',
            Self::Replica => 'R',
            Self::Fenced => 'F',
        }
    }
}

/// Position that a member reports with every answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberPosition {
    /// Role of the member when it answered.
    pub role: MemberRole,
    /// Term of the primary whose log the member holds.
    pub term: u64,
    /// Last index whose effects the member's reads show.
    pub applied: u64,
    /// Index at which `term` started.
    pub term_start: u64,
}

impl MemberPosition {
    /// Tells whether reads on this member show everything that `seen` shows.
    ///
    /// A position of an older term counts only up to the start of the member's term, because
    /// entries past it were never acknowledged.
    pub fn has_applied(&self, seen: LogPosition) -> bool {
        if self.term < seen.term {
            return false;
        }
        if self.term == seen.term {
            return self.applied >= seen.index;
        }
        self.applied >= seen.index.min(self.term_start)
    }

    /// Returns the log position up to which reads on this member reach.
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

/// Full state of a member, the answer to `SHOW group.status`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberStatus {
    /// Role, term and applied position.
    pub position: MemberPosition,
    /// Highest term that the member has accepted a fence or primary of.
    pub promised: u64,
    /// Term of the last entry that the member holds.
    pub last_term: u64,
    /// Index of the last entry that the member holds, applied or not.
    pub received: u64,
    /// Milliseconds since the member last heard its primary; zero on a primary.
    pub last_contact_ms: u64,
}

impl MemberStatus {
    /// Returns the position by which candidates for promotion are compared.
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
