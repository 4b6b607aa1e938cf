//! Commands that a database group understands besides SQL, and where its answers carry positions.

use std::fmt;

/// Parameter status under which a member reports its position.
pub const POSITION_PARAMETER: &str = "group.position";
/// SQLSTATE by which a member says that it did not run a statement because it is not the primary.
pub const NOT_PRIMARY: &str = "25006";
/// SQLSTATE by which a member refuses a group command of a term that is not new.
pub const STALE_TERM: &str = "55000";
/// SQLSTATE by which a member refuses a connection over its limit.
pub const TOO_MANY_CONNECTIONS: &str = "53300";

/// Command of the group protocol, sent as a simple query.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GroupCommand {
    /// Answers one row with the member's status.
    Status,
    /// Waits until a majority holds everything this member committed, in its own term.
    Confirm,
    /// Labels the next transaction of the connection, so that its outcome can be asked for.
    Label(String),
    /// Answers whether a labelled transaction stands in the log.
    Outcome(String),
    /// Refuses writes and replication of lower terms from now on.
    Fence(u64),
    /// Becomes the primary of a term.
    Promote(u64),
    /// Follows the primary of a term.
    Follow {
        /// Term of the primary.
        term: u64,
        /// Logical name of the primary.
        primary: String,
    },
}

impl fmt::Display for GroupCommand {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Status => formatter.write_str("SHOW group.status"),
            Self::Confirm => formatter.write_str("CALL group.confirm()"),
            Self::Label(label) => write!(formatter, "CALL group.label('{label}')"),
            Self::Outcome(label) => write!(formatter, "CALL group.outcome('{label}')"),
            Self::Fence(term) => write!(formatter, "CALL group.fence({term})"),
            Self::Promote(term) => write!(formatter, "CALL group.promote({term})"),
            Self::Follow { term, primary } => {
                write!(formatter, "CALL group.follow({term}, '{primary}')")
            }
        }
    }
}

impl GroupCommand {
    /// Reads a command, or none if `text` is ordinary SQL.
    pub fn parse(text: &str) -> Option<Self> {
        if text == "SHOW group.status" {
            return Some(Self::Status);
        }
        let call = text.strip_prefix("CALL group.")?.strip_suffix(')')?;
        let (name, arguments) = call.split_once('(')?;
        let quoted = || Some(arguments.strip_prefix('\'')?.strip_suffix('\'')?.to_owned());
        match name {
            "confirm" => Some(Self::Confirm),
            "label" => quoted().map(Self::Label),
            "outcome" => quoted().map(Self::Outcome),
            "fence" => arguments.parse().ok().map(Self::Fence),
            "promote" => arguments.parse().ok().map(Self::Promote),
            "follow" => parse_follow(arguments),
            _ => None,
        }
    }
}

fn parse_follow(arguments: &str) -> Option<GroupCommand> {
    let (term, primary) = arguments.split_once(", ")?;
    let primary = primary.strip_prefix('\'')?.strip_suffix('\'')?.to_owned();
    Some(GroupCommand::Follow { term: term.parse().ok()?, primary })
}
