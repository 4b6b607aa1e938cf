//! Fetches a document that the store has lost from instances that keep it in force.

use std::rc::Rc;
use std::time::Duration;

use telemetry::event::LogEvent;
use telemetry::log_event;
use tokio::time::sleep;

use crate::instance::{EngineTypes, GatewayInstance};
use crate::interface::{PlatformApi, RowChange, WatchedTable};
use crate::peer_link::PeerLink;

/// Interval between comparisons with the documents of other instances.
const COMPARISON_INTERVAL: Duration = Duration::from_millis(300);

impl<E: EngineTypes> GatewayInstance<E> {
    /// Fetches the document of an observer that has a newer one in force than this instance, although
    /// its tables are not newer; never returns.
    ///
    /// An instance that missed a document before the store lost it finds it in no table.
    pub async fn replicate_kept_document(self: Rc<Self>) {
        loop {
            sleep(COMPARISON_INTERVAL).await;
            let Some(link) = self.link_with_kept_document() else {
                continue;
            };
            let Some(kept) = link.fetch_document(self.settings.document_bound).await else {
                continue;
            };
            let change = self.platform.decode_row(WatchedTable::Document, &kept.row);
            let Some(RowChange::Document(document)) = change else {
                let (source, version) = (&link.record.name, kept.version);
                log_event!(
                    LogEvent::TableFetchFailed,
                    "source={source} document={version} cause=\"it cannot be decoded\""
                );
                continue;
            };
            if self.directory.borrow_mut().adopt_kept_document(document, &kept) {
                self.record_document_in_force();
                self.peers.changed.notify_one();
            }
        }
    }

    fn link_with_kept_document(&self) -> Option<Rc<PeerLink>> {
        let index = WatchedTable::Document.index();
        let own = self.directory.borrow().document_version();
        let own_table = self.tables.borrow().versions()[index];
        let links = self.peers.links.borrow();
        let mut observers = links.values().filter(|link| link.is_subscription.get());
        let has_kept = |link: &&Rc<PeerLink>| {
            let (version, table) = (link.document_version.get(), link.table_versions.get()[index]);
            // The own table would have the document if the store had it.
            link.is_open() && version > own && version.row <= own_table && table <= own_table
        };
        observers.find(has_kept).cloned()
    }
}
