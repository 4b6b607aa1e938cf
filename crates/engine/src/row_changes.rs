//! Applies changed rows of the watched tables to the directory.

use coord::document_choice::DocumentStep;
use state::store_version::DocumentVersion;
use telemetry::event::LogEvent;
use telemetry::log_event;

use crate::instance::{EngineTypes, GatewayInstance};
use crate::interface::{RefusedRow, RowChange, WatchedTable};
use crate::tables::StoredRow;

/// Part of the bound on documents for which a document with a lower number must not be replaced after
/// the return of the store until it comes into force.
const DOCUMENT_SETTLE_FRACTION: f64 = 0.3;
/// Number of defects of a document that are logged.
const MAX_LOGGED_DEFECTS: usize = 20;

impl<E: EngineTypes> GatewayInstance<E> {
    /// Brings a document into force that the store has had for a while since its return.
    pub(crate) fn settle_document(&self) {
        let settle_time = self.settings.document_bound.mul_f64(DOCUMENT_SETTLE_FRACTION);
        let now = self.now();
        if self.directory.borrow_mut().settle_document(settle_time, now) {
            self.record_document_in_force();
        }
    }

    /// Records the version under which the document is in force.
    fn record_document_version(&self) {
        let version = self.directory.borrow().document_version();
        self.document_history.borrow_mut().record(version, self.now());
    }

    /// Records that another document came into force.
    pub(crate) fn record_document_in_force(&self) {
        self.record_document_version();
        let (document, version) = {
            let directory = self.directory.borrow();
            (directory.document(), directory.document_version())
        };
        self.refusals.borrow_mut().clear();
        log_event!(
            LogEvent::DocumentInForce,
            "version={} routes={} teams={} row={}",
            document.version,
            document.route_count(),
            document.team_count(),
            version.row
        );
        for defect in document.defects.iter().take(MAX_LOGGED_DEFECTS) {
            log_event!(
                LogEvent::DocumentDefective,
                "version={} entry={:?} field={} effect={:?} defects={}",
                document.version,
                defect.entry,
                defect.field,
                defect.effect.label(),
                document.defects.len()
            );
        }
    }

    /// Applies a changed row of a watched table to the directory.
    pub fn apply_row_change(&self, change: RowChange, row: &StoredRow) {
        let now = self.now();
        match change {
            RowChange::Document(document) => {
                let number = document.version.unwrap_or_default();
                let version = DocumentVersion { row: row.version, number };
                let step = self.directory.borrow_mut().offer_document(document, row, now);
                match step {
                    DocumentStep::Adopt => self.record_document_in_force(),
                    DocumentStep::Confirm => self.record_document_version(),
                    DocumentStep::Keep | DocumentStep::Wait => {
                        self.record_document_version();
                        let in_force = self.directory.borrow().document_version();
                        log_event!(
                            LogEvent::DocumentKept,
                            "in_force={in_force} store={version} step={step:?}"
                        );
                    }
                    DocumentStep::Ignore => {}
                }
            }
            RowChange::ZoneEvacuated(zone) => {
                let mut directory = self.directory.borrow_mut();
                if directory.evacuations_mut().evacuate(&zone, now) {
                    log_event!(LogEvent::ZoneEvacuated, "zone={zone}");
                }
            }
            RowChange::ZoneReopened(zone) => {
                let mut directory = self.directory.borrow_mut();
                // Removals at the start of a history are those of rows that the store's copy lacks.
                if row.version.is_start() {
                    if directory.evacuations_mut().record_lost(&zone, now) {
                        log_event!(LogEvent::EvacuationLost, "zone={zone}");
                    }
                } else if directory.evacuations_mut().reopen(&zone, now) {
                    log_event!(LogEvent::EvacuationWithdrawn, "zone={zone}");
                }
            }
            RowChange::EvacuationInvalid { key, reason } => {
                log_event!(LogEvent::EvacuationRefused, "key={key} cause=\"{reason}\"");
            }
            RowChange::DocumentInvalid(reason) => {
                log_event!(LogEvent::DocumentRefused, "cause=\"{reason}\"");
            }
            RowChange::Endpoint(record) => {
                let table = WatchedTable::Endpoints.label();
                self.refused_rows.borrow_mut().forget(table, &record.name);
                let line = format!(
                    "endpoint={} service={} zone={} leaving={} leads={}",
                    record.name, record.service, record.zone, record.leaving, record.leads
                );
                if self.directory.borrow_mut().apply_endpoint(record, row.version, now) {
                    log_event!(LogEvent::EndpointListed, "{line}");
                }
            }
            RowChange::EndpointRemoved { name, reason } => {
                let table = WatchedTable::Endpoints.label();
                match &reason {
                    Some(reason) => {
                        let row = RefusedRow { key: name.clone(), reason: reason.clone() };
                        self.refused_rows.borrow_mut().record(table, &row);
                    }
                    None => self.refused_rows.borrow_mut().forget(table, &name),
                }
                if self.directory.borrow_mut().unregister_endpoint(&name, now) {
                    let reason = reason.unwrap_or_else(|| "row removed".to_owned());
                    log_event!(LogEvent::EndpointUnlisted, "endpoint={name} cause=\"{reason}\"");
                }
            }
        }
    }
}
