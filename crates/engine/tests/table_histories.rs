//! Table caches must follow a store that comes back from an older copy and gives out versions again.

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
    let mut cache = TableCache::default();
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

history_case!(rows_of_the_copy_and_what_is_written_after_it_are_cached, cache => {
    cache.merge_snapshot(vec![document(2, 60, 41)], StoreVersion::new(2, 60));
    assert_eq!(content(&cache, "config"), Some(41));
    cache.merge_store_changes(StoreVersion::new(2, 60), vec![document(2, 61, 40)]);
    assert_eq!(content(&cache, "config"), Some(40));
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
