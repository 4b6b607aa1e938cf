//! Table caches must notice missed changes and never go back.

use engine::table_change::{DeltaContent, PackedChange, RowDelta, TableChange};
use engine::tables::{StoredRow, TableCache};
use state::store_version::StoreVersion;

/// Returns a version of the first history; zero is the version of an empty cache.
fn at(number: u64) -> StoreVersion {
    if number == 0 { StoreVersion::default() } else { StoreVersion::new(1, number) }
}

fn row(key: &str, number: u64) -> StoredRow {
    StoredRow { key: key.to_owned(), version: at(number), value: Some(vec![number as u8]) }
}

/// Returns a change after the version `after` with these rows.
fn change(after: u64, rows: &[StoredRow]) -> TableChange {
    let deltas = rows.iter().map(|row| RowDelta {
        key: row.key.clone(),
        version: row.version,
        content: row.value.clone().map_or(DeltaContent::Removed, DeltaContent::Whole),
    });
    let after = at(after);
    let version = rows.iter().map(|row| row.version).max().unwrap_or(after);
    TableChange { after, version, is_full: false, rows: deltas.collect() }
}

/// Returns a large row whose value differs by a few bytes from version to version.
fn large_row(number: u64) -> StoredRow {
    let mut value: Vec<u8> =
        (0..100_000_u32).flat_map(|number| number.wrapping_mul(number).to_le_bytes()).collect();
    value[200_000..200_008].copy_from_slice(&number.to_le_bytes());
    StoredRow { key: "config".to_owned(), version: at(number), value: Some(value) }
}

/// Returns the encoded size of a change, in bytes.
fn packed_length(change: &TableChange) -> usize {
    PackedChange::pack(change).expect("the change is packed").length()
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
    cache.merge_change(change(0, &[row("a", 3)]));
    cache.merge_change(change(3, &[row("b", 5)]));
    assert_eq!(cache.version(), at(5));
});

// The cache took a push that followed a missed one for all changes, and the missed one was never
// fetched.
cache_case!(a_missed_push_keeps_the_cache_behind, cache => {
    cache.merge_change(change(0, &[row("a", 3)]));
    let (changed, is_complete) = cache.merge_change(change(5, &[row("b", 7)]));
    assert!(!is_complete);
    assert_eq!(changed.len(), 1, "the change itself is applied");
    assert_eq!(cache.version(), at(3), "the cache is still seen to be behind");
    cache.merge_rows(vec![row("a", 5), row("b", 7)]);
    cache.raise_version(at(7));
    assert_eq!(cache.version(), at(7));
});

// Instances took an empty table for one that was not loaded, and each read it from the store.
cache_case!(an_empty_table_is_loaded, cache => {
    cache.merge_snapshot(Vec::new(), at(9));
    assert_eq!(cache.version(), at(9));
});

cache_case!(an_older_row_is_ignored, cache => {
    cache.merge_change(change(0, &[row("a", 3)]));
    assert!(cache.merge_change(change(3, &[row("a", 2)])).0.is_empty());
    assert_eq!(cache.rows(), [row("a", 3)]);
});

// Every change of a large document was sent as the whole document.
cache_case!(small_changes_of_a_large_row_are_sent_as_patches, source => {
    let mut receiver = TableCache::default();
    source.merge_snapshot(vec![large_row(3)], at(3));
    receiver.merge_change(source.changes_since(StoreVersion::default()));
    for version in 4..9 {
        let (_, change) = source.merge_store_changes(at(version - 1), vec![large_row(version)]);
        assert!(packed_length(&change) < 1_000, "{} bytes", packed_length(&change));
    }
    // The receiver missed all of them.
    let change = source.changes_since(receiver.version());
    assert!(packed_length(&change) < 3_000, "{} bytes", packed_length(&change));
    let (changed, is_complete) = receiver.merge_change(change);
    assert!(is_complete);
    assert_eq!(changed, [large_row(8)], "only the last of the successive values is reported");
    assert_eq!(receiver.rows(), source.rows());
});

// A patch that was applied to another value than its base gave a damaged document.
cache_case!(a_patch_of_another_value_is_not_applied, source => {
    let mut receiver = TableCache::default();
    source.merge_snapshot(vec![large_row(3)], at(3));
    receiver.merge_snapshot(vec![row("config", 2)], at(3));
    let (_, change) = source.merge_store_changes(at(3), vec![large_row(4)]);
    let (changed, is_complete) = receiver.merge_change(change);
    assert!(changed.is_empty() && !is_complete);
    assert_eq!(receiver.version(), at(3), "the cache is still seen to be behind");
    let (changed, is_complete) = receiver.merge_change(source.changes_since(StoreVersion::default()));
    assert!(is_complete);
    assert_eq!(changed, [large_row(4)]);
});

// A row that was removed while a cache was behind stayed in it, if its source had never had the row.
cache_case!(rows_unknown_to_the_source_are_removed, source => {
    let mut receiver = TableCache::default();
    receiver.merge_change(change(0, &[row("a", 3), row("b", 5)]));
    source.merge_snapshot(vec![row("b", 5)], at(9));
    let (changed, is_complete) = receiver.merge_change(source.changes_since(receiver.version()));
    assert!(is_complete);
    assert_eq!(changed.len(), 1);
    assert_eq!((changed[0].key.as_str(), &changed[0].value), ("a", &None));
    assert_eq!(receiver.version(), at(9));
});

// A cache that was read in full has the store's version, which is higher than that of the last change.
// All others fetched the whole table from it.
cache_case!(a_higher_version_without_changes_costs_few_bytes, source => {
    let mut receiver = TableCache::default();
    receiver.merge_snapshot(vec![large_row(3)], at(3));
    source.merge_snapshot(vec![large_row(3)], at(700));
    let change = source.changes_since(receiver.version());
    assert!(packed_length(&change) < 100, "{} bytes", packed_length(&change));
    assert!(receiver.merge_change(change).1);
    assert_eq!(receiver.version(), at(700));
});
