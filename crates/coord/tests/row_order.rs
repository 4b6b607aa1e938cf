//! A store that comes back from an older copy must neither revert a document nor hide a new one.

use coord::row_order::{RowRecency, RowTrail};
use state::store_version::StoreVersion;

/// Returns the content of a document with this number.
fn document(number: u64) -> Option<RowRecency> {
    Some(RowRecency::Document { number })
}

/// Returns the content of a registration.
fn endpoint(started_ms: u64, sequence: u64) -> Option<RowRecency> {
    Some(RowRecency::Endpoint { started_ms, sequence })
}

/// Defines a test with the documents 39, 41 and 43, written at the versions 10, 60 and 100.
macro_rules! trail_case {
    ($name:ident, $trail:ident => $body:block) => {
        #[test]
        fn $name() {
            let mut $trail = RowTrail::default();
            for (number, version) in [(39, 10), (41, 60), (43, 100)] {
                $trail.record(document(number), StoreVersion::new(1, version));
            }
            $body
        }
    };
}

trail_case!(the_document_of_the_copy_does_not_come_into_force, trail => {
    assert!(trail.is_older(document(43), document(41), StoreVersion::new(2, 60)));
    assert!(trail.is_older(document(43), document(39), StoreVersion::new(2, 10)));
});

trail_case!(a_document_written_after_the_return_comes_into_force, trail => {
    assert!(!trail.is_older(document(43), document(43), StoreVersion::new(2, 61)));
    assert!(!trail.is_older(document(43), document(47), StoreVersion::new(2, 62)));
    assert!(!trail.is_older(document(43), document(42), StoreVersion::new(2, 61)));
    assert!(!trail.is_older(document(43), document(41), StoreVersion::new(2, 61)));
});

// The copy of the second drill has the row that the copy of the first one had.
trail_case!(the_document_of_the_copy_stays_out_of_force_in_a_second_drill, trail => {
    trail.record(document(43), StoreVersion::new(2, 60));
    assert!(trail.is_older(document(43), document(41), StoreVersion::new(3, 60)));
    assert!(!trail.is_older(document(43), document(42), StoreVersion::new(3, 61)));
});

#[test]
fn an_instance_that_knows_nothing_of_the_copy_keeps_its_document() {
    let mut trail = RowTrail::default();
    trail.record(document(43), StoreVersion::new(1, 100));
    assert!(trail.is_older(document(43), document(41), StoreVersion::new(2, 60)));
    assert!(!trail.is_older(document(43), document(44), StoreVersion::new(2, 60)));
}

#[test]
fn a_registration_of_the_copy_does_not_replace_a_later_one() {
    let trail = RowTrail::default();
    let version = StoreVersion::new(2, 5);
    assert!(trail.is_older(endpoint(100, 8), endpoint(100, 5), version));
    assert!(trail.is_older(endpoint(200, 1), endpoint(100, 5), version));
    assert!(!trail.is_older(endpoint(100, 8), endpoint(100, 9), version));
    assert!(!trail.is_older(None, endpoint(100, 5), version), "the row was removed before");
}

// A member may change its state without a new number.
#[test]
fn a_registration_of_the_copy_does_not_replace_a_later_one_with_its_number() {
    let mut trail = RowTrail::default();
    trail.record(endpoint(100, 1), StoreVersion::new(1, 5));
    trail.record(endpoint(100, 1), StoreVersion::new(1, 9));
    assert!(trail.is_older(endpoint(100, 1), endpoint(100, 1), StoreVersion::new(2, 5)));
    assert!(!trail.is_older(endpoint(100, 1), endpoint(100, 1), StoreVersion::new(2, 6)));
}
