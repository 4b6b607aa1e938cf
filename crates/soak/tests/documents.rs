//! The soak tells which documents may have decided a session.

use soak::document::SessionProbe;

/// Defines a case: the answer to a probe while documents `$first` to `$last` may be in force.
macro_rules! probe_case {
    ($name:ident, $probe:expr, $answer:literal, $first:literal, $last:literal => $allowed:literal) => {
        #[test]
        fn $name() {
            assert_eq!($probe.allows($answer, $first, $last), $allowed);
        }
    };
}

probe_case!(an_added_database_is_served, SessionProbe::AddedDatabase(5), "READY I -", 5, 5 => true);
probe_case!(an_added_database_is_not_refused,
    SessionProbe::AddedDatabase(5), "ERROR NODB -", 5, 6 => false);
probe_case!(an_added_database_is_refused_once_a_newer_document_lacks_it,
    SessionProbe::AddedDatabase(5), "ERROR NODB -", 5, 7 => true);
probe_case!(a_removed_database_is_not_served,
    SessionProbe::AddedDatabase(3), "READY I -", 5, 7 => false);
probe_case!(a_withdrawn_key_is_not_accepted,
    SessionProbe::AddedKey(3), "READY I -", 5, 5 => false);
probe_case!(an_added_key_is_not_refused, SessionProbe::AddedKey(5), "ERROR NOAUTH -", 5, 5 => false);
probe_case!(an_answer_that_no_document_decides_is_allowed,
    SessionProbe::AddedKey(5), "ERROR BUSY -", 5, 5 => true);
