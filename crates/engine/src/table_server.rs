//! Serves changes of tables to other instances, part by part.

use std::collections::VecDeque;
use std::rc::Rc;

use coord::membership::InstanceKey;
use coord::rendezvous;
use coord::transfer_gate::{GateDecision, TransferGate};
use state::store_version::StoreVersion;
use telemetry::event::LogEvent;
use telemetry::log_event;

use crate::instance::{EngineTypes, GatewayInstance};
use crate::interface::WatchedTable;
use crate::message::{TransferPart, millis};
use crate::peer_server::InboundConnection;
use crate::table_change::{ChangeError, PackedChange};

/// Size of a part, in bytes. A receiver requests one at a time, so that it gets its share of a link
/// that others use too.
const TRANSFER_PART_BYTES: usize = 32 << 10;
/// Size up to which changes are served to any number of receivers at once, in bytes.
const MAX_UNGATED_BYTES: usize = 16 << 10;
/// Number of encoded changes that are kept for receivers that have not fetched all of them.
const MAX_CONTENTS: usize = 6;

/// Encoded changes of a table that receivers fetch.
#[derive(Clone, Debug)]
struct TransferContent {
    table: WatchedTable,
    since: StoreVersion,
    version: StoreVersion,
    transfer: u64,
    bytes: Rc<[u8]>,
}

/// Changes of tables that are being served.
#[derive(Debug, Default)]
pub(crate) struct TableServer {
    /// Encoded changes, the last used first.
    contents: VecDeque<TransferContent>,
    gates: [TransferGate<InstanceKey, StoreVersion>; WatchedTable::ALL.len()],
}

impl TableServer {
    /// Returns the encoded changes that match, and marks them as used.
    fn find(&mut self, matches: impl Fn(&TransferContent) -> bool) -> Option<TransferContent> {
        let index = self.contents.iter().position(matches)?;
        let content = self.contents.remove(index)?;
        self.contents.push_front(content.clone());
        Some(content)
    }

    fn add(&mut self, content: TransferContent) {
        self.contents.push_front(content);
        self.contents.truncate(MAX_CONTENTS);
    }
}

impl<E: EngineTypes> GatewayInstance<E> {
    /// Returns the requested part of the changes of a table, or the reason why none is sent.
    pub(crate) fn serve_fetch(
        &self,
        connection: &InboundConnection,
        table: WatchedTable,
        since: StoreVersion,
        resume: Option<(u64, u32)>,
    ) -> TransferPart {
        let busy = |retry_ms, holders| TransferPart::Busy { retry_ms, holders };
        let peer = connection.peer.borrow();
        let membership = self.peers.membership.borrow();
        let receiver = peer.as_ref().and_then(|record| membership.key(&record.name));
        let Some(receiver) = receiver else {
            return busy(0, Vec::new());
        };
        let content = match self.transfer_content(table, since, resume) {
            Ok(Some(content)) => content,
            Ok(None) => return TransferPart::UpToDate,
            Err(error) => {
                log_event!(LogEvent::TableFetchFailed, "table={table:?} cause=\"{error}\"");
                return busy(0, Vec::new());
            }
        };
        let now = self.now();
        let mut server = self.table_server.borrow_mut();
        let gate = &mut server.gates[table.index()];
        if content.bytes.len() > MAX_UNGATED_BYTES {
            let decision = gate.request(receiver, content.version, now);
            if let GateDecision::Busy { retry_after, holders } = decision {
                let records = holders.iter().filter_map(|key| membership.record(*key));
                let names = records.map(|record| record.name.clone()).collect();
                return busy(millis(retry_after), names);
            }
        }
        let resumed = resume.filter(|(transfer, _)| *transfer == content.transfer);
        let offset = resumed.map_or(0, |(_, offset)| offset as usize).min(content.bytes.len());
        let end = (offset + TRANSFER_PART_BYTES).min(content.bytes.len());
        if end == content.bytes.len() {
            gate.finish(receiver, now);
        }
        TransferPart::Data {
            transfer: content.transfer,
            // Changes are far smaller than 4 GiB.
            total_length: content.bytes.len() as u32,
            offset: offset as u32,
            bytes: content.bytes[offset..end].to_vec(),
        }
    }

    /// Returns the encoded changes of a table after `since`, or `None` if there are none.
    ///
    /// A transfer that was begun goes on with the changes that it began with.
    fn transfer_content(
        &self,
        table: WatchedTable,
        since: StoreVersion,
        resume: Option<(u64, u32)>,
    ) -> Result<Option<TransferContent>, ChangeError> {
        let mut server = self.table_server.borrow_mut();
        if let Some((transfer, _)) = resume
            && let Some(content) = server.find(|content| content.transfer == transfer)
        {
            return Ok(Some(content));
        }
        let mut tables = self.tables.borrow_mut();
        let cache = tables.table(table);
        let version = cache.version();
        if version <= since {
            return Ok(None);
        }
        let is_wanted = |content: &TransferContent| {
            (content.table, content.since, content.version) == (table, since, version)
        };
        if let Some(content) = server.find(is_wanted) {
            return Ok(Some(content));
        }
        let bytes: Rc<[u8]> = PackedChange::pack(&cache.changes_since(since))?.encode()?.into();
        let transfer = rendezvous::weight_of(&bytes);
        let content = TransferContent { table, since, version, transfer, bytes };
        if content.bytes.len() > TRANSFER_PART_BYTES {
            server.add(content.clone());
        }
        Ok(Some(content))
    }
}
