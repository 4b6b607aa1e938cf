//! What an instance knows about the age of its document and of the other cached tables.

use std::time::{Duration, Instant};

use coord::document_state::DocumentState;
use coord::table_age::TableAge;
use metrics::{counter, gauge};
use state::store_version::StoreVersion;
use telemetry::event::LogEvent;
use telemetry::{log_event, meter};

use crate::instance::{EngineTypes, GatewayInstance};
use crate::interface::WatchedTable;
use crate::message::ExecuteCall;

impl<E: EngineTypes> GatewayInstance<E> {
    /// Returns whether a newer document must have been in force by now: another instance has it and
    /// can serve callers instead, or nothing shows that there is none.
    pub fn is_document_outdated(&self) -> bool {
        self.document_state() == DocumentState::Outdated
    }

    fn document_state(&self) -> DocumentState {
        let (bound, now) = (self.settings.document_bound, self.now());
        let lag = self.document_lag.borrow();
        self.update_table_age(WatchedTable::Document, |age| {
            DocumentState::assess(&lag, age, bound, now)
        })
    }

    /// Returns for how long another instance has had a newer document in force.
    pub fn document_lag(&self) -> Duration {
        self.document_lag.borrow().lag(self.now())
    }

    /// Compares the document in force with those of other instances, and logs when its state or the
    /// readiness of the instance changes.
    pub(crate) fn update_document_state(&self) {
        let (own, newest) =
            (self.directory.borrow().document_version(), self.newest_peer_document());
        self.document_lag.borrow_mut().record(own, newest, self.now());
        let (lag, age) = (self.document_lag(), self.table_age(WatchedTable::Document));
        let state = self.document_state();
        if self.logged_document_state.replace(state) != state {
            let event = match state {
                DocumentState::Confirmed => LogEvent::DocumentCaughtUp,
                DocumentState::Assumed => LogEvent::DocumentAssumed,
                DocumentState::Outdated => LogEvent::DocumentOutdated,
            };
            log_event!(event, "version={own} newest={newest} lag={lag:?} age={age:?}");
        }
        let is_ready = self.is_ready();
        if self.logged_readiness.replace(is_ready) != is_ready {
            let has_evidence =
                self.update_table_age(WatchedTable::Document, |age| age.confirmed_at()).is_some();
            log_event!(
                LogEvent::ReadinessChanged,
                "ready={is_ready} version={own} document={} age={age:?} evidence={has_evidence}",
                state.label()
            );
        }
    }

    /// Returns whether a call was decided by a document that must have been replaced by now.
    ///
    /// Open transactions go on under the document that they began with.
    pub(crate) fn is_call_outdated(&self, call: &ExecuteCall) -> bool {
        let own = self.directory.borrow().document_version();
        let version = call.document_version;
        if call.pinned || version >= own {
            return false;
        }
        let (bound, now) = (self.settings.document_bound, self.now());
        let is_outdated = self.document_history.borrow().is_replaced(version, bound, now);
        if is_outdated {
            counter!(meter::OUTDATED_CALLS).increment(1);
            let (endpoint, team) = (&call.endpoint, &call.team);
            log_event!(
                LogEvent::CallOutdated,
                "endpoint={endpoint} team={team} version={version} own={own}"
            );
        }
        is_outdated
    }

    /// Updates the metrics of the document and of the tables' ages.
    pub(crate) fn update_table_metrics(&self) {
        let document = self.directory.borrow().document();
        gauge!(meter::DOCUMENT_VERSION).set(document.version as f64);
        gauge!(meter::DOCUMENT_DEFECTS).set(document.defects.len() as f64);
        gauge!(meter::DOCUMENT_LAG_SECONDS).set(self.document_lag().as_secs_f64());
        let is_pending = self.directory.borrow().has_pending_document();
        gauge!(meter::DOCUMENT_PENDING).set(if is_pending { 1.0 } else { 0.0 });
        let current = self.document_state();
        for state in DocumentState::ALL {
            let is_current = if state == current { 1.0 } else { 0.0 };
            gauge!(meter::DOCUMENT_STATE, "state" => state.label()).set(is_current);
        }
        for table in WatchedTable::ALL {
            let age = self.table_age(table).as_secs_f64();
            gauge!(meter::TABLE_AGE_SECONDS, "table" => table.label()).set(age);
        }
    }

    /// Applies a function to what is known of a table's cache, once the evidence for its present
    /// version is taken into account.
    pub(crate) fn update_table_age<T>(
        &self,
        table: WatchedTable,
        update: impl FnOnce(&mut TableAge<StoreVersion>) -> T,
    ) -> T {
        let version = self.tables.borrow().versions()[table.index()];
        let age = &mut self.table_ages.borrow_mut()[table.index()];
        age.advance(version);
        update(age)
    }

    /// Records that a cache of `version` holds all changes of a table before `as_of`, and that the
    /// store took `answer_time` to say so.
    pub(crate) fn record_evidence(
        &self,
        table: WatchedTable,
        version: StoreVersion,
        as_of: Instant,
        answer_time: Duration,
    ) {
        let own = self.tables.borrow().versions()[table.index()];
        let age = &mut self.table_ages.borrow_mut()[table.index()];
        let is_newer = age.confirmed_at().is_none_or(|confirmed_at| as_of > confirmed_at);
        age.record(own, version, as_of);
        if is_newer {
            age.record_answer_time(answer_time);
        }
    }

    /// Returns for how long the own cache of a table may have missed a change.
    pub fn table_age(&self, table: WatchedTable) -> Duration {
        let now = self.now();
        self.update_table_age(table, |age| age.elapsed(now))
    }
}
