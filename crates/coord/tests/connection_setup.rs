//! What a connection is known to have set, whatever becomes of its transactions.

use coord::connection_setup::ConnectionSetup;

#[test]
fn changes_of_a_transaction_are_known_only_after_its_commit() {
    for (has_committed, has_failed) in [(true, false), (true, true), (false, false), (false, true)]
    {
        let mut setup = ConnectionSetup::default();
        setup.record_reset(7, false);
        setup.record_change(8, has_failed);
        setup.record_change(9, false);
        assert!(![0, 7, 8, 9].into_iter().any(|id| setup.is_current(id)), "{setup:?}");
        setup.end_transaction(has_committed);
        assert_eq!(setup.is_current(9), has_committed && !has_failed);
        assert!(![0, 7, 8].into_iter().any(|id| setup.is_current(id)), "{setup:?}");
        setup.record_reset(0, false);
        assert!(setup.is_current(0), "a reset makes any connection usable again");
    }
}

#[test]
fn a_transaction_without_changes_leaves_the_setup_as_it_was() {
    for has_committed in [true, false] {
        let mut setup = ConnectionSetup::default();
        setup.record_reset(7, false);
        setup.end_transaction(has_committed);
        assert!(setup.is_current(7));
    }
}

#[test]
fn a_failed_reset_leaves_the_setup_unknown() {
    let mut setup = ConnectionSetup::default();
    setup.record_reset(0, true);
    assert!(!setup.is_current(0));
}
