//! Table caches must follow a store that comes back from an older copy and gives out versions again.

use coord::row_order::RowRecency;
use engine::table_change::TableChange;
use engine::tables::{StoredRow, TableCache};
use state::store_version::StoreVersion;

/// Returns a row of the document, whose content is its number.
fn document(history: u64, version: u64, number: u8) -> StoredRow {
    row("config", history, version, number)
}

fn row(key: &str, history: u64, version: u64, content: u8) -> StoredRow {
    let version = StoreVersion::new(history, version);
    StoredRow { key: key.to_owned(), version, value: Some(vec![content]) }
}

fn recency(row: &StoredRow) -> Option<RowRecency> {
    let number = *row.value.as_ref()?.first()?;
    Some(RowRecency::Document { number: number.into() })
}

/// Returns the content of a row; `None` if it was removed or is unknown.
fn content(cache: &TableCache, key: &str) -> Option<u8> {
    let rows = cache.rows();
    let row = rows.iter().find(|row| row.key == key)?;
    row.value.as_ref().map(|value| value[0])
}

/// Defines a test with a cache that has the documents 41 and 43 of the first history, versions 60 and
/// 100.
macro_rules! history_case {
    ($name:ident, $cache:ident => $body:block) => {
        #[test]
        fn $name() {
            let mut $cache = cached();
            $body
        }
    };
}

fn cached() -> TableCache {
    let mut cache = TableCache::new(recency);
    cache.merge_snapshot(vec![document(1, 60, 41)], StoreVersion::new(1, 60));
    cache.merge_store_changes(StoreVersion::new(1, 60), vec![document(1, 100, 43)]);
    cache
}

// A row with a lower version than the cached one was dropped, and all instances kept their document.
history_case!(a_row_of_the_new_history_replaces_one_with_a_higher_number, cache => {
    cache.merge_snapshot(vec![document(2, 62, 47)], StoreVersion::new(2, 62));
    assert_eq!(content(&cache, "config"), Some(47));
    assert_eq!(cache.version(), StoreVersion::new(2, 62));
});

history_case!(the_copy_does_not_revert_a_row_and_later_changes_replace_it, cache => {
    let changed = cache.merge_snapshot(vec![document(2, 60, 41)], StoreVersion::new(2, 60));
    assert_eq!(changed, [document(2, 60, 43)], "the content stays under the new version");
    cache.merge_store_changes(StoreVersion::new(2, 60), vec![document(2, 61, 40)]);
    assert_eq!(content(&cache, "config"), Some(40), "the operator goes on from the copy's number");
});

history_case!(an_answer_of_the_old_history_changes_nothing, cache => {
    cache.merge_snapshot(vec![document(2, 62, 47)], StoreVersion::new(2, 62));
    cache.merge_snapshot(vec![document(1, 100, 43)], StoreVersion::new(1, 120));
    cache.merge_store_changes(StoreVersion::new(1, 100), vec![document(1, 130, 44)]);
    assert_eq!(content(&cache, "config"), Some(47));
    assert_eq!(cache.version(), StoreVersion::new(2, 62));
});

history_case!(a_row_that_is_missing_from_the_copy_can_be_written_again, cache => {
    cache.merge_store_changes(StoreVersion::new(1, 100), vec![row("m-1", 1, 105, 1)]);
    cache.merge_snapshot(vec![document(2, 60, 41)], StoreVersion::new(2, 60));
    assert_eq!(content(&cache, "m-1"), None);
    cache.merge_store_changes(StoreVersion::new(2, 60), vec![row("m-1", 2, 61, 1)]);
    assert_eq!(content(&cache, "m-1"), Some(1));
});

// Instances passed the rows of the old history on to each other.
history_case!(peers_of_different_histories_agree_on_the_new_one, cache => {
    let mut behind = cached();
    cache.merge_snapshot(vec![document(2, 62, 47)], StoreVersion::new(2, 62));
    let (changed, is_complete) = behind.merge_change(cache.changes_since(behind.version()));
    assert!(is_complete);
    assert_eq!(changed, [document(2, 62, 47)]);
    let (changed, _) = cache.merge_change(cached().changes_since(StoreVersion::default()));
    assert!(changed.is_empty(), "{changed:?}");
    assert_eq!(cache.rows(), behind.rows());
});

// The reader of a zone may have missed the document that another instance has in force.
history_case!(a_peer_that_had_an_older_document_does_not_revert_it, cache => {
    let mut reader = TableCache::new(recency);
    reader.merge_snapshot(vec![document(1, 60, 41)], StoreVersion::new(1, 60));
    reader.merge_snapshot(vec![document(2, 60, 41)], StoreVersion::new(2, 60));
    cache.merge_change(reader.changes_since(cache.version()));
    assert_eq!(content(&cache, "config"), Some(43));
    let (_, change): (_, TableChange) =
        reader.merge_store_changes(StoreVersion::new(2, 60), vec![document(2, 61, 43)]);
    cache.merge_change(change);
    assert_eq!(cache.rows(), reader.rows());
});

history_case!(three_drills_in_a_row_keep_the_document_until_it_is_written, cache => {
    for history in 2..5 {
        let version = StoreVersion::new(history, 60);
        cache.merge_snapshot(vec![document(history, 60, 41)], version);
        assert_eq!(content(&cache, "config"), Some(43), "history {history}");
    }
    cache.merge_store_changes(StoreVersion::new(4, 60), vec![document(4, 61, 42)]);
    assert_eq!(content(&cache, "config"), Some(42));
});

// A peer that never saw the document of the second history passed on what it had kept from the first.
history_case!(content_of_an_earlier_history_replaces_nothing, cache => {
    let mut behind = cached();
    cache.merge_snapshot(vec![document(2, 61, 40)], StoreVersion::new(2, 61));
    behind.merge_snapshot(vec![document(3, 60, 41)], StoreVersion::new(3, 60));
    cache.merge_change(behind.changes_since(cache.version()));
    assert_eq!(content(&cache, "config"), Some(40));
});

history_case!(a_document_with_a_lower_number_reverts_nothing_within_a_history, cache => {
    cache.merge_store_changes(StoreVersion::new(1, 100), vec![document(1, 110, 42)]);
    assert_eq!(content(&cache, "config"), Some(43));
    let mut peer = TableCache::new(recency);
    peer.merge_change(cache.changes_since(StoreVersion::default()));
    assert_eq!(content(&peer, "config"), Some(43));
});

// An instance that started after the return had the kept document from its peer.
history_case!(an_instance_that_starts_after_a_drill_takes_what_is_written_next, cache => {
    cache.merge_snapshot(vec![document(2, 60, 41)], StoreVersion::new(2, 60));
    let mut started = TableCache::new(recency);
    started.merge_change(cache.changes_since(StoreVersion::default()));
    assert_eq!(content(&started, "config"), Some(43));
    started.merge_store_changes(StoreVersion::new(2, 60), vec![document(2, 61, 40)]);
    assert_eq!(content(&started, "config"), Some(40));
});
