//! Fetches tables from other instances that have newer ones.

use std::rc::Rc;
use std::time::{Duration, Instant};

use coord::membership::{InstanceKey, ViewScope};
use coord::table_source::{SourceCandidate, SourcePlanner, SourceStep};
use state::store_version::StoreVersion;
use telemetry::event::LogEvent;
use telemetry::log_event;
use tokio::time::timeout;

use crate::instance::{EngineTypes, GatewayInstance};
use crate::interface::WatchedTable;
use crate::message::TransferPart;
use crate::peer_link::PeerLink;
use crate::subscription::MAX_PUSHED_BYTES;
use crate::table_change::PackedChange;

/// Interval between comparisons with the tables of other instances.
const COMPARISON_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between attempts while the table is behind.
const RETRY_INTERVAL: Duration = Duration::from_millis(40);
/// Part of the bound within which a change must be in force after which the store is read.
const STORE_DELAY_FRACTION: f64 = 0.3;
/// Maximum size of encoded changes, in bytes.
const MAX_TRANSFER_BYTES: usize = 16 << 20;

/// Changes that were received in part; any source of the same changes can send the rest.
#[derive(Debug)]
struct PartialTransfer {
    since: StoreVersion,
    transfer: u64,
    bytes: Vec<u8>,
}

/// End of an attempt to fetch a table.
#[derive(Debug)]
enum FetchEnd {
    /// Received in full and merged; false if the cache lacks what the changes refer to.
    Merged { is_complete: bool, length: usize },
    /// The source has nothing newer.
    UpToDate,
    /// The source serves others; when to ask again, and who has the table.
    Busy { retry_after: Duration, holders: Vec<InstanceKey> },
    /// The source did not answer, or sent what cannot be decoded.
    Failed,
}

impl<E: EngineTypes> GatewayInstance<E> {
    /// Keeps the cache of a table as new as those of other instances; never returns.
    pub async fn replicate_table(self: Rc<Self>, table: WatchedTable) {
        let index = table.index();
        let store_delay = self.table_bound(table).mul_f64(STORE_DELAY_FRACTION);
        let mut planner = SourcePlanner::new(self.name(), store_delay);
        let mut partial = None;
        let mut needs_all = false;
        let mut interval = COMPARISON_INTERVAL;
        loop {
            let offers = &self.peers.table_offers[index];
            let _ = timeout(interval, offers.announced.notified()).await;
            if offers.is_offered.take() {
                planner.offered();
            }
            let own = self.tables.borrow().versions()[index];
            interval = RETRY_INTERVAL;
            match self.plan_fetch(&mut planner, index, own) {
                SourceStep::UpToDate => {
                    interval = COMPARISON_INTERVAL;
                    partial = None;
                    needs_all = false;
                }
                SourceStep::Wait => {}
                SourceStep::Store => self.store_readers[index].request(),
                SourceStep::Peer(source) => {
                    let started_at = self.now();
                    let Some(link) = self.open_link_by_key(source) else {
                        planner.failed(source, started_at);
                        continue;
                    };
                    let since = if needs_all { StoreVersion::default() } else { own };
                    let end = self.fetch_table(&link, table, since, &mut partial).await;
                    self.log_fetch(table, &link, own, started_at, &end);
                    let now = self.now();
                    match end {
                        FetchEnd::Merged { is_complete, length } => {
                            needs_all = !is_complete;
                            planner.succeeded(source);
                            if is_complete && length > MAX_PUSHED_BYTES {
                                self.offer_as_observer(table);
                            }
                        }
                        // What was known of the source is outdated, so it need not be asked soon.
                        FetchEnd::UpToDate => planner.failed(source, now),
                        FetchEnd::Busy { retry_after, holders } => {
                            let version = link.table_versions.get()[index].max(own.successor());
                            let holders = self.source_candidates(&holders, version);
                            planner.busy(source, retry_after, holders, now);
                        }
                        FetchEnd::Failed => planner.failed(source, now),
                    }
                }
            }
        }
    }

    /// Returns instances that are known to have a version of a table as sources of it.
    fn source_candidates(
        &self,
        holders: &[InstanceKey],
        version: StoreVersion,
    ) -> Vec<SourceCandidate<InstanceKey, StoreVersion>> {
        let membership = self.peers.membership.borrow();
        let candidate = |key: &InstanceKey| {
            let is_in_zone = membership.scope_of(*key) == ViewScope::Zone;
            SourceCandidate { key: *key, version, is_in_zone }
        };
        holders.iter().map(candidate).collect()
    }

    fn plan_fetch(
        &self,
        planner: &mut SourcePlanner<InstanceKey, StoreVersion>,
        index: usize,
        own: StoreVersion,
    ) -> SourceStep<InstanceKey> {
        let membership = self.peers.membership.borrow();
        let links = self.peers.links.borrow();
        let observers = links
            .values()
            .filter(|link| link.is_subscription.get())
            .map(|link| (link.key, link.table_versions.get()[index]));
        let subscribers = self.peers.subscribers.borrow();
        let subscribers = subscribers.values().map(|peer| (peer.key, peer.table_versions[index]));
        let candidates = observers.chain(subscribers).map(|(key, version)| SourceCandidate {
            key,
            version,
            is_in_zone: membership.scope_of(key) == ViewScope::Zone,
        });
        let name = |key| membership.record(key).map_or("", |record| record.name.as_str());
        planner.next_step(own, candidates, name, self.now())
    }

    /// Fetches the changes of a table after `since`, and merges them once all parts have arrived.
    async fn fetch_table(
        &self,
        link: &PeerLink,
        table: WatchedTable,
        since: StoreVersion,
        partial: &mut Option<PartialTransfer>,
    ) -> FetchEnd {
        loop {
            let (since, resume) = match partial {
                Some(begun) => (begun.since, Some((begun.transfer, begun.bytes.len() as u32))),
                None => (since, None),
            };
            let part = link.fetch_part(table, since, resume, || self.now()).await;
            let (transfer, total_length, offset, bytes) = match part {
                None => return FetchEnd::Failed,
                Some(TransferPart::UpToDate) => return FetchEnd::UpToDate,
                Some(TransferPart::Busy { retry_ms, holders }) => {
                    let membership = self.peers.membership.borrow();
                    let holders = holders.iter().filter_map(|name| membership.key(name)).collect();
                    let retry_after = Duration::from_millis(retry_ms.into());
                    return FetchEnd::Busy { retry_after, holders };
                }
                Some(TransferPart::Data { transfer, total_length, offset, bytes }) => {
                    (transfer, total_length as usize, offset as usize, bytes)
                }
            };
            self.peers.table_offers[table.index()].progress_at.set(Some(self.now()));
            if offset == 0 {
                *partial = Some(PartialTransfer { since, transfer, bytes: Vec::new() });
            }
            let is_next = |begun: &&mut PartialTransfer| {
                begun.transfer == transfer && begun.bytes.len() == offset
            };
            let Some(begun) = partial.as_mut().filter(is_next) else {
                return FetchEnd::Failed;
            };
            begun.bytes.extend_from_slice(&bytes);
            let received = begun.bytes.len();
            if received < total_length && !bytes.is_empty() && total_length <= MAX_TRANSFER_BYTES {
                continue;
            }
            let content = partial.take().map(|begun| begun.bytes).unwrap_or_default();
            let change = match PackedChange::decode(&content) {
                Ok(change) if received == total_length => change,
                _ => return FetchEnd::Failed,
            };
            let (_, is_complete) = self.merge_peer_change(table, &change);
            return FetchEnd::Merged { is_complete, length: received };
        }
    }

    fn log_fetch(
        &self,
        table: WatchedTable,
        link: &PeerLink,
        own: StoreVersion,
        started_at: Instant,
        end: &FetchEnd,
    ) {
        let elapsed = self.now().saturating_duration_since(started_at);
        let source = &link.record.name;
        match end {
            FetchEnd::Merged { is_complete, length } => {
                let version = self.tables.borrow().versions()[table.index()];
                log_event!(
                    LogEvent::TableFetched,
                    "table={table:?} source={source} from={own} to={version} bytes={length} \
                     complete={is_complete} elapsed={elapsed:?}"
                );
            }
            FetchEnd::Failed => log_event!(
                LogEvent::TableFetchFailed,
                "table={table:?} source={source} version={own} elapsed={elapsed:?}"
            ),
            FetchEnd::UpToDate | FetchEnd::Busy { .. } => {}
        }
    }
}
