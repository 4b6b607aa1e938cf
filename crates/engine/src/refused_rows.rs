//! Rows of the store that are left out since they make no sense.

use std::collections::HashSet;

use metrics::counter;
use telemetry::event::LogEvent;
use telemetry::{log_event, meter};

use crate::interface::RefusedRow;

/// Number of rows that are remembered as logged.
const MAX_LOGGED_ROWS: usize = 256;

/// Rows that were left out, by table and key, so that each is logged once.
#[derive(Debug, Default)]
pub(crate) struct RefusedRows {
    logged: HashSet<(&'static str, String)>,
}

impl RefusedRows {
    /// Counts a row of a table that was left out, and logs it if it was not before.
    pub(crate) fn record(&mut self, table: &'static str, row: &RefusedRow) {
        counter!(meter::REFUSED_ROWS, "table" => table).increment(1);
        let is_full = self.logged.len() >= MAX_LOGGED_ROWS;
        if !is_full && self.logged.insert((table, row.key.clone())) {
            let (key, reason) = (&row.key, &row.reason);
            log_event!(LogEvent::RowRefused, "table={table} key={key:?} cause={reason:?}");
        }
    }

    /// Records that a row makes sense, or was removed.
    pub(crate) fn forget(&mut self, table: &'static str, key: &str) {
        if !self.logged.is_empty() {
            self.logged.remove(&(table, key.to_owned()));
        }
    }
}
