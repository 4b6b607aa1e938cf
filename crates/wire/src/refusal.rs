//! Reasons for refusing a request, each with its SQLSTATE and what it says of the request.

use std::fmt;
use std::time::Duration;

/// What a refusal says about the refused request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// The request did not run.
    NotRun,
    /// The request ran and its effects were rolled back.
    Failed,
    /// The request may have run.
    Unknown,
}

impl RequestOutcome {
    /// Returns the words used towards callers.
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
            /// Every reason, in the order of the catalogue.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns the label used in metrics and logs.
            pub fn label(self) -> &'static str {
                match self { $(Self::$name => $label,)* }
            }

            /// Returns the SQLSTATE sent to the caller.
            pub fn sqlstate(self) -> &'static str {
                match self { $(Self::$name => $state,)* }
            }

            /// Returns what the refusal says about the request.
            pub fn outcome(self) -> RequestOutcome {
                match self { $(Self::$name => RequestOutcome::$outcome,)* }
            }
        }
    };
}

refusal_reasons! {
    /// The key is not one of the team's.
    WrongKey => "wrong_key", "28P01", NotRun;
    /// The team is not declared.
    UnknownTeam => "unknown_team", "28000", NotRun;
    /// The key was withdrawn while the connection was open.
    KeyRevoked => "key_withdrawn", "28000", NotRun;
    /// The instance cannot tell whether the key is still in force.
    KeyNotValidated => "key_unconfirmed", "57P03", NotRun;
    /// The database is not declared.
    UnknownDatabase => "unknown_database", "3D000", NotRun;
    /// The team may not use the database.
    DatabaseDenied => "database_denied", "42501", NotRun;
    /// A caller without a key used a route that is not open to all.
    RouteClosed => "route_closed", "42501", NotRun;
    /// The team is over its rate and burst.
    RateExceeded => "rate_exceeded", "53400", NotRun;
    /// The queue before the database is full.
    QueueFull => "queue_full", "53300", NotRun;
    /// The request could not start before its deadline.
    DeadlinePassed => "deadline_passed", "57014", NotRun;
    /// The database has no reachable primary.
    NoPrimary => "no_primary", "57P03", NotRun;
    /// No configuration is in force on this instance yet.
    NoConfiguration => "no_configuration", "57P03", NotRun;
    /// The database is leaving and takes no new work.
    DatabaseLeaving => "database_leaving", "57P03", NotRun;
    /// The instance is stopping.
    Stopping => "stopping", "57P01", NotRun;
    /// The statement needs a feature that the proxy does not offer.
    Unsupported => "unsupported", "0A000", NotRun;
    /// A message is malformed or out of order.
    ProtocolViolation => "protocol_violation", "08P01", NotRun;
    /// A message is larger than the limit.
    MessageTooLarge => "message_too_large", "54000", NotRun;
    /// The session token cannot be read.
    InvalidToken => "invalid_token", "22023", NotRun;
    /// Authentication did not finish in time.
    StartupTimeout => "startup_timeout", "57P05", NotRun;
    /// The instance serves as many callers as it may.
    TooManyCallers => "too_many_callers", "53300", NotRun;
    /// The transaction's connection was lost before its commit was sent.
    TransactionLost => "transaction_lost", "40001", Failed;
    /// The caller cancelled the statement before it started.
    Cancelled => "cancelled", "57014", NotRun;
    /// The request was sent and its answer is lost.
    OutcomeUnknown => "outcome_unknown", "08007", Unknown;
}

/// Refusal of one request.
#[derive(Clone, Debug)]
pub struct RequestRefusal {
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Explanation for the caller, free of keys and parameter values.
    pub detail: String,
    /// Time after which a retry may pass.
    pub retry_after: Option<Duration>,
}

impl RequestRefusal {
    /// Creates a refusal without a retry time.
    pub fn new(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self { reason, detail: detail.into(), retry_after: None }
    }

    /// Adds the time after which a retry may pass.
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
