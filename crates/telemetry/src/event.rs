//! Catalogue of numbered log events, which docs/EVENTS.md lists too.

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
            /// All events, in order of their numbers.
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
    /// A program started.
    ProgramStarted = 1001, Info, "program_started";
    /// A program finished without an error.
    ProgramStopped = 1002, Info, "program_stopped";
    /// A program ends with an error.
    ProgramFailed = 1003, Error, "program_failed";
    /// The settings file was reloaded, or reloading it failed.
    SettingsReloaded = 1004, Info, "settings_reloaded";
    /// Log lines were dropped by the rate limit or because the reader of the log stalled.
    LinesDropped = 1005, Warn, "lines_left_out";
    /// A document came into force on this instance.
    DocumentInForce = 1101, Info, "document_in_force";
    /// This instance rejected a document as invalid.
    DocumentRefused = 1102, Error, "document_refused";
    /// The validation of the document has expired: a newer one may be in force.
    DocumentValidationExpired = 1103, Warn, "document_unconfirmed";
    /// The document is validated again after its validation had expired.
    DocumentValidationRestored = 1104, Info, "document_confirmed";
    /// An operator's document was accepted.
    DocumentAccepted = 1105, Info, "document_accepted";
    /// An operator's document was refused because another revision is in force.
    DocumentConflict = 1106, Warn, "document_conflict";
    /// A newer document must be in force by now, so this instance makes no decisions by its own.
    DocumentOutdated = 1107, Warn, "document_outdated";
    /// A document that was outdated or assumed to be valid is up to date again.
    DocumentCaughtUp = 1108, Info, "document_caught_up";
    /// A table was fetched from another instance.
    TableFetched = 1109, Info, "table_fetched";
    /// Changes of a table could not be fetched from another instance, packed or unpacked.
    TableFetchFailed = 1110, Info, "table_fetch_failed";
    /// Another instance reads the store for this availability zone.
    StoreReaderChanged = 1111, Info, "store_reader_changed";
    /// An instance read the store itself, as it had no recent evidence from the one that reads for
    /// its zone.
    StoreReadDirectly = 1112, Info, "store_read_directly";
    /// This instance falls behind its own work, and others own what it owned as long as few do.
    InstanceCongested = 1113, Warn, "instance_congested";
    /// This instance keeps up with its work again.
    InstanceKeepsUp = 1114, Info, "instance_keeps_up";
    /// The store gives no evidence that the document is the newest, and this instance goes on with it.
    DocumentAssumed = 1115, Warn, "document_assumed";
    /// A read of the store failed, or was given up.
    StoreReadFailed = 1116, Info, "store_read_failed";
    /// A read of the store took long.
    StoreReadSlow = 1117, Info, "store_read_slow";
    /// This instance became ready for callers, or no longer is.
    ReadinessChanged = 1118, Info, "readiness_changed";
    /// A call was not run, as another instance had decided it by a document that must have been replaced.
    CallOutdated = 1119, Warn, "call_outdated";
    /// The store no longer has the changes after the cached version of a table, which is read in full.
    HistoryExpired = 1120, Info, "history_expired";
    /// The document in force stays, although the store came back with another one.
    DocumentKept = 1121, Warn, "document_kept";
    /// A field of the document that came into force cannot be decoded.
    DocumentDefective = 1122, Error, "document_defective";
    /// A caller's connection opened.
    SessionOpened = 2001, Debug, "session_opened";
    /// A caller's connection closed.
    SessionClosed = 2002, Debug, "session_closed";
    /// A request was refused.
    RequestRefused = 2003, Info, "request_refused";
    /// A request is retried.
    RequestRetried = 2004, Info, "request_retried";
    /// The in-doubt outcome of a request was resolved after its response was lost.
    OutcomeResolved = 2005, Info, "outcome_settled";
    /// A response was discarded because its position is behind the session's.
    AnswerStale = 2006, Warn, "answer_stale";
    /// The connection that carried a request was lost.
    ExchangeLost = 2007, Info, "exchange_lost";
    /// A caller's connection was refused before its session opened.
    CallerRefused = 2008, Info, "caller_refused";
    /// An open transaction exceeded the idle timeout and was rolled back.
    TransactionExpired = 2009, Info, "transaction_expired";
    /// A request was refused because no member that could run it is in an allowed region.
    RegionUnavailable = 2010, Warn, "region_unavailable";
    /// No member of a service takes requests of this instance.
    ServiceUnreached = 2011, Warn, "service_unreached";
    /// The session of a pooled connection could not be reset, and the connection is closed.
    SessionResetFailed = 2012, Warn, "session_reset_failed";
    /// A team asks its quota owner for more than its limit, so lower priorities have floors.
    TeamOverLimit = 2021, Info, "team_over_limit";
    /// A team that was over its limit asks for less again.
    TeamWithinLimit = 2022, Info, "team_within_limit";
    /// A member stopped responding to this instance.
    MemberLost = 3001, Warn, "member_lost";
    /// A member responds to this instance again.
    MemberFound = 3002, Info, "member_found";
    /// A database has a new primary.
    PrimaryChanged = 3003, Info, "primary_changed";
    /// This instance started a promotion.
    PromotionStarted = 3004, Warn, "promotion_started";
    /// A promotion by this instance ended.
    PromotionEnded = 3005, Warn, "promotion_ended";
    /// A member was instructed to follow the primary.
    MemberFollows = 3006, Info, "member_follows";
    /// An endpoint was registered, or its registration changed.
    EndpointListed = 3007, Info, "endpoint_listed";
    /// An endpoint's registration was removed or is invalid.
    EndpointUnlisted = 3008, Info, "endpoint_unlisted";
    /// The operator evacuated a zone.
    ZoneEvacuated = 3009, Warn, "zone_evacuated";
    /// The operator withdrew the evacuation of a zone.
    EvacuationWithdrawn = 3010, Warn, "evacuation_withdrawn";
    /// The row of an evacuation is invalid; an evacuation in force stays.
    EvacuationRefused = 3011, Error, "evacuation_refused";
    /// A zone that is or was evacuated entered another phase.
    ZonePhaseChanged = 3012, Info, "zone_phase_changed";
    /// Open transactions were rolled back because the zone of their member is closed.
    TransactionsEvacuated = 3013, Warn, "transactions_evacuated";
    /// The store came back without the row of an evacuation, which stays in force for a while.
    EvacuationLost = 3014, Warn, "evacuation_lost";
    /// A member is cold: its connection owner limits the requests that it gets.
    MemberCold = 3021, Info, "member_cold";
    /// A member is warm: the budget of its connection owner ended.
    MemberWarm = 3022, Info, "member_warm";
    /// The limit of a member's calls in flight was lowered.
    PaceLowered = 3023, Info, "pace_lowered";
    /// The limit of a member's calls in flight is at its maximum again.
    PaceRestored = 3024, Info, "pace_restored";
    /// A member is much slower than the others of its service or fails part of its requests.
    MemberDegraded = 3031, Warn, "member_degraded";
    /// A degraded member is as fast as the others again and answers without errors.
    MemberRecovered = 3032, Info, "member_recovered";
    /// An answer of a member violates the protocol or belongs to another statement.
    AnswerMalformed = 3033, Warn, "answer_malformed";
    /// A member refused session values or prepared statements; what should follow them was not sent.
    SetupRefused = 3034, Warn, "setup_refused";
    /// The answer of a member is too long to be passed on; the caller gets an error.
    AnswerTooLong = 3035, Warn, "answer_too_long";
    /// A platform service stopped responding.
    PlatformLost = 4001, Warn, "platform_lost";
    /// A platform service responds again.
    PlatformFound = 4002, Info, "platform_found";
    /// A row of the store makes no sense and is left out.
    RowRefused = 4003, Warn, "row_refused";
    /// The store answers with another history: it came back from an older copy.
    StoreHistoryChanged = 4004, Warn, "store_history_changed";
    /// Another instance was listed or became reachable, or its record changed.
    PeerFound = 5001, Info, "peer_found";
    /// A connection to another instance failed, or the instance is no longer listed.
    PeerLost = 5002, Warn, "peer_lost";
    /// The share ledger was reconciled and a new epoch started.
    LedgerReconciled = 5003, Info, "ledger_counted";
    /// An instance was unreachable for the whole grace period and was removed.
    PeerExpired = 5004, Info, "peer_forgotten";
    /// This instance acquired or lost the promotion lease, or reserved further fencing tokens.
    PromotionLeaseChanged = 5005, Info, "duty_changed";
    /// Reading, writing, renewing or releasing the promotion lease failed.
    PromotionLeaseFailed = 5006, Warn, "duty_refused";
    /// The connection of a subscriber ended without an end of its subscription.
    SubscriberLost = 5007, Info, "subscriber_lost";
    /// Replicas were held for a promotion, or resumed.
    ReplicationChanged = 5008, Info, "replication_changed";
    /// A replica refused to be held or resumed, or reports a hold that a resume did not end.
    ReplicationRefused = 5009, Warn, "replication_refused";
    /// No member is promoted, as those that answer may lack commits of the service.
    PromotionWithheld = 5010, Warn, "promotion_withheld";
    /// A commit is in doubt, as no replica in sight is known to have received it.
    CommitUnconfirmed = 5011, Warn, "commit_unconfirmed";
    /// The instance started to drain.
    DrainStarted = 6001, Info, "drain_started";
    /// The instance has drained or reached its drain deadline.
    DrainEnded = 6002, Info, "drain_ended";
    /// A request that was read gets no answer, or only a part of it.
    RequestCut = 6003, Warn, "request_cut";
}

impl fmt::Display for LogEvent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "HB{} {}", *self as u16, self.label())
    }
}

/// Logs a numbered event with a formatted message at the event's level.
#[macro_export]
macro_rules! log_event {
    ($event:expr, $($argument:tt)+) => {{
        let event: $crate::event::LogEvent = $event;
        $crate::log::log!(event.level(), "{event} {}", format_args!($($argument)+));
    }};
}
