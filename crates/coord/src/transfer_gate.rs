//! Bounds how many receivers an instance sends a large table to at once.
//!
//! Answers the load of a large document that a whole availability zone fetches at once: a link that
//! all receivers share serves the first of them as late as the last. Two at a time have it soon and
//! serve others, so the number of sources doubles with each round.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Receivers that are served at once.
pub const MAX_RECEIVERS: usize = 2;
/// Time without a request after which a receiver no longer counts as being served.
const RECEIVER_IDLE_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of receivers that are named to others as sources.
const MAX_HOLDERS: usize = 6;
/// Shortest time after which a refused receiver asks again.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(40);
/// Longest time after which a refused receiver asks again.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Answer to a receiver's request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GateDecision<K> {
    /// The receiver is served.
    Serve,
    /// Others are being served; the receiver may ask again later, or ask one of those who have it.
    Busy {
        /// Time after which to ask again.
        retry_after: Duration,
        /// Receivers that were served in full, the last one first.
        holders: Vec<K>,
    },
}

#[derive(Clone, Copy, Debug)]
struct ServedReceiver<K> {
    key: K,
    started_at: Instant,
    last_request_at: Instant,
}

/// Receivers of one version of a table.
#[derive(Clone, Debug)]
pub struct TransferGate<K, V> {
    version: V,
    served: Vec<ServedReceiver<K>>,
    holders: VecDeque<K>,
    /// Duration of the last complete transfer.
    last_duration: Duration,
}

impl<K, V: Default> Default for TransferGate<K, V> {
    fn default() -> Self {
        Self {
            version: V::default(),
            served: Vec::new(),
            holders: VecDeque::new(),
            last_duration: MIN_RETRY_DELAY,
        }
    }
}

impl<K: Copy + Eq, V: Copy + Ord> TransferGate<K, V> {
    /// Decides about a request for a part of the table's `version`.
    pub fn request(&mut self, receiver: K, version: V, now: Instant) -> GateDecision<K> {
        if version > self.version {
            self.version = version;
            self.holders.clear();
        }
        let is_active = |served: &ServedReceiver<K>| {
            now.saturating_duration_since(served.last_request_at) < RECEIVER_IDLE_TIMEOUT
        };
        self.served.retain(is_active);
        if let Some(served) = self.served.iter_mut().find(|served| served.key == receiver) {
            served.last_request_at = now;
            return GateDecision::Serve;
        }
        if self.served.len() < MAX_RECEIVERS {
            let served = ServedReceiver { key: receiver, started_at: now, last_request_at: now };
            self.served.push(served);
            return GateDecision::Serve;
        }
        let retry_after = self.last_duration.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        let holders = self.holders.iter().filter(|key| **key != receiver).copied().collect();
        GateDecision::Busy { retry_after, holders }
    }

    /// Records that the last part was sent to a receiver.
    pub fn finish(&mut self, receiver: K, now: Instant) {
        let Some(index) = self.served.iter().position(|served| served.key == receiver) else {
            return;
        };
        let served = self.served.swap_remove(index);
        self.last_duration = now.saturating_duration_since(served.started_at);
        self.holders.retain(|key| *key != receiver);
        self.holders.push_front(receiver);
        self.holders.truncate(MAX_HOLDERS);
    }
}
