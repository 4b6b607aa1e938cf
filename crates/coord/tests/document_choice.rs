//! A store that comes back from an older copy must neither revert the document in force nor keep what
//! the operator writes after that out of force.

use std::time::{Duration, Instant};

use coord::document_choice::{DocumentChoice, DocumentStep, OfferedDocument};
use state::store_version::{DocumentVersion, StoreVersion};

/// Time for which a document with a lower number must not be replaced.
const SETTLE_TIME: Duration = Duration::from_millis(900);

/// Returns a document whose content is its number.
fn document(history: u64, row: u64, number: u64) -> OfferedDocument {
    let version = DocumentVersion { row: StoreVersion::new(history, row), number };
    OfferedDocument { version, digest: number }
}

/// Defines a test of an instance that had the documents 39, 41 and 43 in force, written at 10, 60 and
/// 100 of the first history, and of which the store returned at 70 of the second one.
macro_rules! choice_case {
    ($name:ident, $choice:ident, $at:ident => $body:block) => {
        #[test]
        fn $name() {
            let start = Instant::now();
            let $at = |millis: u64| start + Duration::from_millis(millis);
            let mut $choice = DocumentChoice::default();
            for (row, number) in [(10, 39), (60, 41), (100, 43)] {
                assert_eq!($choice.offer(document(1, row, number), $at(0)), DocumentStep::Adopt);
            }
            $choice.record_written(StoreVersion::new(2, 71));
            $body
        }
    };
}

choice_case!(the_document_of_the_copy_does_not_come_into_force, choice, at => {
    assert_eq!(choice.offer(document(2, 60, 41), at(0)), DocumentStep::Keep);
    assert!(!choice.settle(SETTLE_TIME, at(60_000)));
    assert_eq!(choice.version(), document(2, 60, 43).version);
});

// Polls answer with the last content of a row, so an instance may not have had the copy's document.
choice_case!(an_unknown_document_of_the_copy_does_not_come_into_force, choice, at => {
    assert_eq!(choice.offer(document(2, 55, 40), at(0)), DocumentStep::Wait);
    assert!(!choice.settle(SETTLE_TIME, at(60_000)));
    assert_eq!(choice.version().number, 43);
});

choice_case!(a_higher_number_comes_into_force_at_once, choice, at => {
    assert_eq!(choice.offer(document(2, 60, 41), at(0)), DocumentStep::Keep);
    assert_eq!(choice.offer(document(2, 72, 47), at(0)), DocumentStep::Adopt);
    assert_eq!(choice.offer(document(2, 75, 46), at(0)), DocumentStep::Ignore);
});

// An operator that goes on from the copy's number was not served for good.
choice_case!(a_lower_number_comes_into_force_once_it_is_new_and_settled, choice, at => {
    assert_eq!(choice.offer(document(2, 72, 42), at(0)), DocumentStep::Wait);
    assert!(!choice.settle(SETTLE_TIME, at(899)));
    assert!(choice.settle(SETTLE_TIME, at(900)));
    assert_eq!(choice.version(), document(2, 72, 42).version);
});

// A member's report between the copy and the document shows that the document is new.
choice_case!(a_report_shows_that_an_earlier_read_document_is_new, choice, at => {
    assert_eq!(choice.offer(document(2, 65, 42), at(0)), DocumentStep::Wait);
    choice.record_written(StoreVersion::new(2, 68));
    assert!(!choice.settle(SETTLE_TIME, at(2_000)));
    choice.record_written(StoreVersion::new(2, 64));
    assert!(choice.settle(SETTLE_TIME, at(2_000)));
});

// The first answer after the return came after the operator had written, so nothing else showed it.
choice_case!(a_document_that_the_lost_history_cannot_have_had_is_new, choice, at => {
    // Number 41 was at 60, so the copy has no other one of this number or row, and no 42 below it.
    for (row, number) in [(65, 41), (55, 42), (72, 40), (60, 41)] {
        let mut choice = choice.clone();
        let changed = OfferedDocument { digest: 1, ..document(2, row, number) };
        choice.record_written(StoreVersion::new(2, 90));
        assert_eq!(choice.offer(changed, at(0)), DocumentStep::Wait, "{row} {number}");
        assert!(!choice.settle(SETTLE_TIME, at(899)));
        assert!(choice.settle(SETTLE_TIME, at(900)), "{row} {number}");
    }
});

// What another history had says nothing about the copy of this one.
choice_case!(a_document_after_an_unknown_history_waits, choice, at => {
    choice.record_written(StoreVersion::new(3, 90));
    let changed = OfferedDocument { digest: 1, ..document(3, 65, 41) };
    assert_eq!(choice.offer(changed, at(0)), DocumentStep::Wait);
    assert!(!choice.settle(SETTLE_TIME, at(60_000)));
});

// No instance had seen a document of that number before the drill (soak seeds 90019 and 90020).
choice_case!(a_document_at_the_version_of_a_lost_row_is_new, choice, at => {
    choice.record_other_row(StoreVersion::new(1, 55));
    choice.record_written(StoreVersion::new(2, 90));
    assert_eq!(choice.offer(document(2, 55, 40), at(0)), DocumentStep::Wait);
    assert!(!choice.settle(SETTLE_TIME, at(899)));
    assert!(choice.settle(SETTLE_TIME, at(900)));
});

// The operator wrote it in one transaction with another row, which the copy has, too.
choice_case!(a_document_that_shares_its_version_with_a_lost_row_waits, choice, at => {
    choice.record_other_row(StoreVersion::new(1, 55));
    choice.record_other_row(StoreVersion::new(2, 55));
    assert_eq!(choice.offer(document(2, 55, 40), at(0)), DocumentStep::Wait);
    assert!(!choice.settle(SETTLE_TIME, at(60_000)));
});

// The history before the last one ended below the row (soak seeds 91018 and 91024).
choice_case!(a_history_that_ended_below_the_row_cannot_have_had_the_document, choice, at => {
    for (row, number) in [(160, 45), (170, 46)] {
        assert_eq!(choice.offer(document(2, row, number), at(0)), DocumentStep::Adopt);
    }
    choice.record_written(StoreVersion::new(3, 200));
    let offered = OfferedDocument { digest: 1, ..document(3, 150, 45) };
    assert_eq!(choice.offer(offered, at(0)), DocumentStep::Wait);
    for (newest_row, is_new) in [(149, true), (150, true), (151, false)] {
        let mut choice = choice.clone();
        choice.record_other_row(StoreVersion::new(1, newest_row));
        assert!(!choice.settle(SETTLE_TIME, at(899)));
        assert_eq!(choice.settle(SETTLE_TIME, at(900)), is_new, "{newest_row}");
    }
});

choice_case!(documents_that_are_written_again_in_their_order_revert_nothing, choice, at => {
    assert_eq!(choice.offer(document(2, 72, 41), at(0)), DocumentStep::Keep);
    assert_eq!(choice.offer(document(2, 73, 42), at(100)), DocumentStep::Wait);
    assert_eq!(choice.offer(document(2, 74, 43), at(200)), DocumentStep::Confirm);
    assert!(!choice.settle(SETTLE_TIME, at(60_000)));
    assert_eq!(choice.version(), document(2, 74, 43).version);
});

// The new document got the row version and the number of the lost one.
choice_case!(other_content_with_the_number_of_the_lost_one_comes_into_force, choice, at => {
    let changed = OfferedDocument { digest: 1, ..document(2, 100, 43) };
    assert_eq!(choice.offer(changed, at(0)), DocumentStep::Adopt);
});

choice_case!(a_second_drill_keeps_the_document_as_well, choice, at => {
    assert_eq!(choice.offer(document(2, 60, 41), at(0)), DocumentStep::Keep);
    choice.record_written(StoreVersion::new(3, 66));
    assert_eq!(choice.offer(document(3, 60, 41), at(0)), DocumentStep::Keep);
    assert_eq!(choice.offer(document(3, 67, 42), at(0)), DocumentStep::Wait);
    assert_eq!(choice.offer(document(2, 90, 50), at(0)), DocumentStep::Ignore);
    assert!(choice.settle(SETTLE_TIME, at(1_000)));
    assert_eq!(choice.version().number, 42);
});

#[test]
fn a_lower_number_never_comes_into_force_within_a_history() {
    let (mut choice, now) = (DocumentChoice::default(), Instant::now());
    choice.record_written(StoreVersion::new(1, 1));
    assert_eq!(choice.offer(document(1, 10, 7), now), DocumentStep::Adopt);
    assert_eq!(choice.offer(document(1, 11, 3), now), DocumentStep::Ignore);
    assert!(!choice.settle(Duration::ZERO, now));
}

// The document before it stayed in force for good.
#[test]
fn a_document_whose_number_cannot_be_decoded_comes_into_force_until_the_next_one() {
    let (mut choice, now) = (DocumentChoice::default(), Instant::now());
    assert_eq!(choice.offer(document(1, 10, 7), now), DocumentStep::Adopt);
    let mut odd = document(1, 11, choice.substitute_number());
    odd.digest = 1;
    assert_eq!(choice.offer(odd, now), DocumentStep::Adopt);
    assert_eq!(choice.offer(odd, now), DocumentStep::Ignore);
    assert_eq!(choice.offer(document(1, 12, 8), now), DocumentStep::Adopt);
}

// Both have the copy's row, and one of them the document that the store lost.
#[test]
fn an_instance_that_missed_the_lost_document_is_behind_the_others() {
    let now = Instant::now();
    let (mut other, mut missed) = (DocumentChoice::default(), DocumentChoice::default());
    for choice in [&mut other, &mut missed] {
        choice.offer(document(1, 10, 41), now);
    }
    other.offer(document(1, 20, 43), now);
    for choice in [&mut other, &mut missed] {
        choice.offer(document(2, 10, 41), now);
    }
    assert!(missed.version() < other.version());
}
