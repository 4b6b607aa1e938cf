//! Catalogue of log events; docs/EVENTS.md lists the same numbers.

use std::fmt;

use log::Level;

macro_rules! event_catalogue {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $level:ident, $label:literal;)*) => {
        /// Numbered log event.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        #[repr(u16)]
        pub enum LogEvent {
            $($(#[$doc])* $name = $number,)*
        }

        impl LogEvent {
            /// Every event in the order of its number.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns the level at which the event is logged.
            pub fn level(self) -> Level {
                match self { $(Self::$name => Level::$level,)* }
            }

            /// Returns the short label of the event.
            pub fn label(self) -> &'static str {
                match self { $(Self::$name => $label,)* }
            }
        }
    };
}

event_catalogue! {
    /// A program started with the settings shown.
    ProgramStarted = 1001, Info, "program_started";
    /// A program is about to end.
    ProgramStopped = 1002, Info, "program_stopped";
    /// A program ends because of an error.
    ProgramFailed = 1003, Error, "program_failed";
    /// The settings file was read again.
    SettingsReloaded = 1004, Info, "settings_reloaded";
    /// Log lines were left out to bound their volume.
    LinesDropped = 1005, Warn, "lines_left_out";
    /// A document came into force on this instance.
    DocumentInForce = 1101, Info, "document_in_force";
    /// A document was refused by this instance.
    DocumentRefused = 1102, Error, "document_refused";
    /// The instance cannot tell whether its document is still in force.
    DocumentValidationExpired = 1103, Warn, "document_unconfirmed";
    /// The instance can tell again whether its document is in force.
    DocumentValidationRestored = 1104, Info, "document_confirmed";
    /// An operator's document was accepted.
    DocumentAccepted = 1105, Info, "document_accepted";
    /// An operator's document lost a race.
    DocumentConflict = 1106, Warn, "document_conflict";
    /// A caller's connection opened.
    SessionOpened = 2001, Debug, "session_opened";
    /// A caller's connection closed.
    SessionClosed = 2002, Debug, "session_closed";
    /// A request was refused.
    RequestRefused = 2003, Info, "request_refused";
    /// A request is tried again.
    RequestRetried = 2004, Info, "request_retried";
    /// The outcome of a request whose answer was lost is known.
    OutcomeResolved = 2005, Info, "outcome_settled";
    /// An answer was dropped because its position does not cover the session.
    AnswerStale = 2006, Warn, "answer_stale";
    /// The connection that carried a request was lost.
    ExchangeLost = 2007, Info, "exchange_lost";
    /// A caller's session was not opened.
    CallerRefused = 2008, Info, "caller_refused";
    /// An open transaction rested for too long and was rolled back.
    TransactionExpired = 2009, Info, "transaction_expired";
    /// A member no longer answers this instance.
    MemberLost = 3001, Warn, "member_lost";
    /// A member answers this instance again.
    MemberFound = 3002, Info, "member_found";
    /// A database has a new primary.
    PrimaryChanged = 3003, Info, "primary_changed";
    /// This instance starts a promotion.
    PromotionStarted = 3004, Warn, "promotion_started";
    /// A promotion of this instance ended.
    PromotionEnded = 3005, Warn, "promotion_ended";
    /// A member was told to follow the primary.
    MemberFollows = 3006, Info, "member_follows";
    /// An endpoint was registered or its registration changed.
    EndpointListed = 3007, Info, "endpoint_listed";
    /// An endpoint's registration vanished or cannot be used.
    EndpointUnlisted = 3008, Info, "endpoint_unlisted";
    /// The platform's service does not answer.
    PlatformLost = 4001, Warn, "platform_lost";
    /// The platform's service answers again.
    PlatformFound = 4002, Info, "platform_found";
    /// Another instance became reachable or changed.
    PeerFound = 5001, Info, "peer_found";
    /// Another instance is gone.
    PeerLost = 5002, Warn, "peer_lost";
    /// An allotment ledger was counted anew.
    LedgerReconciled = 5003, Info, "ledger_counted";
    /// An instance that could not be reached for long is no longer counted.
    PeerExpired = 5004, Info, "peer_forgotten";
    /// This instance took or lost the duty to promote.
    PromotionLeaseChanged = 5005, Info, "duty_changed";
    /// A step towards the duty to promote failed.
    PromotionLeaseFailed = 5006, Warn, "duty_refused";
    /// The instance starts to drain.
    DrainStarted = 6001, Info, "drain_started";
    /// The instance has drained or reached its drain deadline.
    DrainEnded = 6002, Info, "drain_ended";
}

impl fmt::Display for LogEvent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "HB{} {}", *self as u16, self.label())
    }
}

/// Logs a numbered event with a formatted explanation.
#[macro_export]
macro_rules! log_event {
    ($event:expr, $($argument:tt)+) => {{
        let event: $crate::event::LogEvent = $event;
        $crate::log::log!(event.level(), "{event} {}", format_args!($($argument)+));
    }};
}
