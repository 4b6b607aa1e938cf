//! Table caches must notice missed changes and never go back.

use engine::tables::{StoredRow, TableCache};

fn row(key: &str, version: u64) -> StoredRow {
    StoredRow { key: key.to_owned(), version, value: Some(vec![version as u8]) }
}

/// Defines a test with an empty cache.
macro_rules! cache_case {
    ($name:ident, $cache:ident => $body:block) => {
        #[test]
        fn $name() {
            let mut $cache = TableCache::default();
            $body
        }
    };
}

cache_case!(successive_changes_raise_the_version, cache => {
    cache.merge_changes(0, vec![row("a", 3)]);
    cache.merge_changes(3, vec![row("b", 5)]);
    assert_eq!(cache.version(), 5);
});

// The cache took a push that followed a missed one for all changes, and the missed one was never
// fetched.
cache_case!(a_missed_push_keeps_the_cache_behind, cache => {
    cache.merge_changes(0, vec![row("a", 3)]);
    let changed = cache.merge_changes(5, vec![row("b", 7)]);
    assert_eq!(changed.len(), 1, "the change itself is applied");
    assert_eq!(cache.version(), 3, "the cache is still seen to be behind");
    cache.merge_rows(vec![row("a", 5), row("b", 7)]);
    cache.raise_version(7);
    assert_eq!(cache.version(), 7);
});

// Instances took an empty table for one that was not loaded, and each read it from the store.
cache_case!(an_empty_table_is_loaded, cache => {
    cache.merge_snapshot(Vec::new(), 9);
    assert_eq!(cache.version(), 9);
});

cache_case!(an_older_row_is_ignored, cache => {
    cache.merge_changes(0, vec![row("a", 3)]);
    assert!(cache.merge_changes(3, vec![row("a", 2)]).is_empty());
    assert_eq!(cache.rows(), [row("a", 3)]);
});
