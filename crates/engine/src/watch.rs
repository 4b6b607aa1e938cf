//! Follows the platform's tables and keeps the own registration there.

use std::rc::Rc;
use std::time::Duration;

use telemetry::event::LogEvent;
use telemetry::log_event;
use tokio::time::sleep;

use crate::link::{LinkError, PlatformLink, RowChange, WatchedTable};
use crate::node::{EngineEdge, GatewayNode};

/// Time for which the store is asked to wait for changes; bounds how long a silent connection
/// goes unnoticed, and costs a call each time.
const FOLLOW_WAIT: Duration = Duration::from_secs(8);
/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Time between looks at peers with a newer document.
const HEALING_PERIOD: Duration = Duration::from_millis(300);
/// Time in which a peer must hand over its document.
const DOCUMENT_TIMEOUT: Duration = Duration::from_millis(800);
/// Time between readings of the registered instances.
const INSTANCES_PERIOD: Duration = Duration::from_secs(15);

impl<E: EngineEdge> GatewayNode<E> {
    /// Follows a table for good.
    pub async fn watch_table(self: Rc<Self>, table: WatchedTable) {
        loop {
            let version = match self.platform.read_table(table).await {
                Ok(read) => {
                    self.note_store(true, "");
                    self.take_table(table, read.changes);
                    read.version
                }
                Err(error) => {
                    self.note_store(false, &error.to_string());
                    sleep(RETRY_PAUSE).await;
                    continue;
                }
            };
            self.follow_from(table, version).await;
        }
    }

    /// Follows a table until its history is gone.
    async fn follow_from(&self, table: WatchedTable, mut version: u64) {
        loop {
            match self.platform.follow_table(table, version, FOLLOW_WAIT).await {
                Ok(read) => {
                    self.note_store(true, "");
                    version = read.version.max(version);
                    for change in read.changes {
                        self.apply(change);
                    }
                }
                Err(LinkError::HistoryGone) => return,
                Err(error) => {
                    self.note_store(false, &error.to_string());
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Takes all rows of a table; what is not among them is gone.
    fn take_table(&self, table: WatchedTable, changes: Vec<RowChange>) {
        if table == WatchedTable::Endpoints {
            let listed = |name: &String| {
                changes.iter().any(|change| match change {
                    RowChange::Endpoint(record) => record.name == *name,
                    _ => false,
                })
            };
            let known = self.directory.borrow().endpoint_names();
            let missing: Vec<String> = known.into_iter().filter(|name| !listed(name)).collect();
            for name in missing {
                self.apply(RowChange::EndpointGone { name, reason: None });
            }
            self.directory.borrow_mut().note_endpoints_read();
        }
        for change in changes {
            self.apply(change);
        }
    }

    /// Registers this instance and looks for the others.
    pub async fn keep_registered(self: Rc<Self>) {
        while let Err(error) = self.platform.write_instance(&self.settings.record).await {
            self.note_store(false, &error.to_string());
            sleep(RETRY_PAUSE).await;
        }
        loop {
            match self.platform.read_instances().await {
                Ok(records) => records.into_iter().for_each(|record| self.meet(record)),
                Err(error) => {
                    self.note_store(false, &error.to_string());
                    sleep(RETRY_PAUSE).await;
                    continue;
                }
            }
            sleep(INSTANCES_PERIOD).await;
        }
    }

    /// Takes a newer document from a peer, for when the store does not answer this instance.
    pub async fn heal_document(self: Rc<Self>) {
        loop {
            sleep(HEALING_PERIOD).await;
            self.directory.borrow_mut().forget_gone(self.now());
            let own = self.directory.borrow().document().version;
            let live = self.peers.live();
            let Some(peer) = live.into_iter().find(|peer| peer.status().document > own) else {
                continue;
            };
            let Some(bytes) = peer.document(DOCUMENT_TIMEOUT).await else {
                continue;
            };
            match self.platform.decode_document(&bytes) {
                Ok(document) => self.apply(RowChange::Document(document)),
                Err(error) => log_event!(LogEvent::DocumentRefused, "source=peer cause=\"{error}\""),
            }
        }
    }
}
