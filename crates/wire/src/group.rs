//! Commands, parameters and SQLSTATEs that members of a database group use besides SQL.

use std::fmt;

/// Name of the parameter status in which a member reports its log position.
pub const POSITION_PARAMETER: &str = "group.position";
/// SQLSTATE of a statement that a member did not run because it is not the primary.
pub const NOT_PRIMARY: &str = "25006";
/// SQLSTATE of a group command that a member refused because its term is stale.
pub const STALE_TERM: &str = "55000";
/// SQLSTATE of a connection that a member refused because it has reached its limit.
pub const TOO_MANY_CONNECTIONS: &str = "53300";

/// Command of the group protocol, sent as the text of a simple query.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GroupCommand {
    /// Returns one row with the member's status.
    Status,
    /// Waits until a majority has everything that this member committed in its own term.
    ///
    /// Success confirms that the member was still the leader.
    Confirm,
    /// Labels the next transaction of the connection, so that its outcome can be resolved later.
    Label(String),
    /// Returns whether a labelled transaction is in the log.
    Outcome(String),
    /// Fences off lower terms: their writes and replication are refused from now on.
    Fence(u64),
    /// Makes the member the primary of a term.
    Promote(u64),
    /// Makes the member replicate from the primary of a term.
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
    /// Parses a command. Returns `None` if `text` is ordinary SQL.
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
