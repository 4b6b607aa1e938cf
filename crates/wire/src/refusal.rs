//! Reasons for refusing a request, each with its SQLSTATE and the outcome it reports.

use std::fmt;
use std::time::Duration;

/// Outcome of a refused request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// The request did not run, so a retry is safe.
    NotRun,
    /// The request ran and its effects were rolled back.
    Failed,
    /// The request may have run; its response was lost.
    Unknown,
}

impl RequestOutcome {
    /// Returns the text that error messages to callers start with.
    pub fn text(self) -> &'static str {
        match self {
            Self::NotRun => "not run",
            Self::Failed => "ran and failed",
            Self::Unknown => "outcome unknown",
        }
    }
}

macro_rules! refusal_reasons {
    ($($(#[$doc:meta])* $name:ident => $label:literal, $state:literal, $outcome:ident;)*) => {
        /// Reason for a refusal.
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
        pub enum RefusalReason {
            $($(#[$doc])* $name,)*
        }

        impl RefusalReason {
            /// All reasons, in order of declaration.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns the label used in metrics and logs.
            pub fn label(self) -> &'static str {
                match self { $(Self::$name => $label,)* }
            }

            /// Returns the SQLSTATE sent to the caller.
            pub fn sqlstate(self) -> &'static str {
                match self { $(Self::$name => $state,)* }
            }

            /// Returns the outcome that the refusal reports.
            pub fn outcome(self) -> RequestOutcome {
                match self { $(Self::$name => RequestOutcome::$outcome,)* }
            }
        }
    };
}

refusal_reasons! {
    /// The key does not belong to the team.
    WrongKey => "wrong_key", "28P01", NotRun;
    /// The document does not declare the team.
    UnknownTeam => "unknown_team", "28000", NotRun;
    /// The key or its team was revoked while the connection was open.
    KeyRevoked => "key_withdrawn", "28000", NotRun;
    /// The instance cannot validate its document, and with it the key, or its share of a rate.
    KeyNotValidated => "key_unconfirmed", "57P03", NotRun;
    /// The document does not declare the database.
    UnknownDatabase => "unknown_database", "3D000", NotRun;
    /// The team has no access to the database.
    DatabaseDenied => "database_denied", "42501", NotRun;
    /// A caller without a key used a route that requires one.
    RouteClosed => "route_closed", "42501", NotRun;
    /// The team exceeds its rate and burst.
    RateExceeded => "rate_exceeded", "53400", NotRun;
    /// The team has too many requests in the queue for a member's connections.
    QueueFull => "queue_full", "53300", NotRun;
    /// The request could not start before its deadline.
    DeadlinePassed => "deadline_passed", "57014", NotRun;
    /// The database has no reachable primary.
    NoPrimary => "no_primary", "57P03", NotRun;
    /// The instance has no document in force yet.
    NoConfiguration => "no_configuration", "57P03", NotRun;
    /// The database is leaving and accepts no new requests.
    DatabaseLeaving => "database_leaving", "57P03", NotRun;
    /// The instance is shutting down.
    Stopping => "stopping", "57P01", NotRun;
    /// The statement needs a feature that the proxy does not support.
    Unsupported => "unsupported", "0A000", NotRun;
    /// The session has no prepared statement of this name.
    UnknownStatement => "unknown_statement", "26000", NotRun;
    /// The statement cannot run inside a transaction.
    InsideTransaction => "inside_transaction", "25001", NotRun;
    /// A message is malformed or out of order.
    ProtocolViolation => "protocol_violation", "08P01", NotRun;
    /// A message exceeds the size limit.
    MessageTooLarge => "message_too_large", "54000", NotRun;
    /// The session token cannot be decoded.
    InvalidToken => "invalid_token", "22023", NotRun;
    /// The startup, authentication included, did not finish in time.
    StartupTimeout => "startup_timeout", "57P05", NotRun;
    /// The instance has reached its limit of caller connections.
    TooManyCallers => "too_many_callers", "53300", NotRun;
    /// The connection of the transaction was lost, and the transaction did not commit.
    TransactionLost => "transaction_lost", "40001", Failed;
    /// The caller cancelled the statement before it started.
    Cancelled => "cancelled", "57014", NotRun;
    /// The request was sent and its response was lost.
    OutcomeUnknown => "outcome_unknown", "08007", Unknown;
}

/// Refusal of one request.
#[derive(Clone, Debug)]
pub struct RequestRefusal {
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Explanation for the caller, without keys or parameter values.
    pub detail: String,
    /// Delay after which a retry may succeed.
    pub retry_after: Option<Duration>,
}

impl RequestRefusal {
    /// Creates a refusal without a retry delay.
    pub fn new(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self { reason, detail: detail.into(), retry_after: None }
    }

    /// Sets the delay after which a retry may succeed.
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }
}

impl fmt::Display for RequestRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.reason.outcome().text(), self.detail)
    }
}
