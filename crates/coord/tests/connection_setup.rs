//! What a connection is known to have set, whatever becomes of its transactions.

use coord::connection_setup::{ConnectionSetup, SetupId};
use coord::session::SessionId;

fn setup_id(version: u32) -> SetupId {
    SetupId::new(SessionId { incarnation: 1, number: 1 }, version)
}

#[test]
fn changes_of_a_transaction_are_known_only_after_its_commit() {
    for (has_committed, has_failed) in [(true, false), (true, true), (false, false), (false, true)]
    {
        let mut setup = ConnectionSetup::default();
        setup.record_reset(setup_id(7), false);
        setup.record_change(setup_id(8), has_failed);
        setup.record_change(setup_id(9), false);
        assert!(
            ![0, 7, 8, 9].into_iter().any(|version| setup.is_current(setup_id(version))),
            "{setup:?}"
        );
        setup.end_transaction(has_committed);
        assert_eq!(setup.is_current(setup_id(9)), has_committed && !has_failed);
        assert!(
            ![0, 7, 8].into_iter().any(|version| setup.is_current(setup_id(version))),
            "{setup:?}"
        );
        setup.record_reset(setup_id(0), false);
        assert!(setup.is_current(setup_id(0)), "a reset makes any connection usable again");
    }
}

#[test]
fn a_transaction_without_changes_leaves_the_setup_as_it_was() {
    for has_committed in [true, false] {
        let mut setup = ConnectionSetup::default();
        setup.record_reset(setup_id(7), false);
        setup.end_transaction(has_committed);
        assert!(setup.is_current(setup_id(7)));
    }
}

#[test]
fn a_failed_reset_leaves_the_setup_unknown() {
    let mut setup = ConnectionSetup::default();
    setup.record_reset(setup_id(0), true);
    assert!(!setup.is_current(setup_id(0)));
}

// An identifier of 64 bits was the same for sessions of instances whose random incarnations differed in a
// few bits, and their statements ran with each other's values.
#[test]
fn setups_of_different_sessions_differ() {
    let first = SetupId::new(SessionId { incarnation: 0x1000, number: 1 }, 1);
    let second = SetupId::new(SessionId { incarnation: 0x2000, number: 1 }, 2);
    assert_ne!(first, second);
    let same_low_bits = SessionId { incarnation: 0x1000 | 1 << 32, number: 1 };
    assert_ne!(first, SetupId::new(same_low_bits, 1));
}
