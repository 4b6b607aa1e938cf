//! Rows of the row store, and copies of them.

/// Stored row; its value is `None` if the row was deleted.
#[derive(Clone, Debug)]
pub(super) struct StoredRow {
    pub(super) table: String,
    pub(super) key: String,
    pub(super) value: Option<Vec<u8>>,
    pub(super) version: u64,
}

/// All rows of the store with the counter that gives them their versions.
#[derive(Clone, Debug, Default)]
pub(super) struct StoreContent {
    pub(super) rows: Vec<StoredRow>,
    pub(super) version: u64,
}

impl StoreContent {
    /// Writes a row, or deletes it if `value` is `None`.
    pub(super) fn put(&mut self, table: &str, key: &str, value: Option<Vec<u8>>) {
        self.version += 1;
        let version = self.version;
        self.rows.retain(|row| row.table != table || row.key != key);
        self.rows.push(StoredRow { table: table.to_owned(), key: key.to_owned(), value, version });
    }

    /// Returns a row that exists.
    pub(super) fn row(&self, table: &str, key: &str) -> Option<&StoredRow> {
        self.rows.iter().find(|row| row.table == table && row.key == key && row.value.is_some())
    }
}

/// Content of the store at one moment, from which it can be restored.
#[derive(Clone, Debug)]
pub struct StoreCopy(pub(super) StoreContent);
