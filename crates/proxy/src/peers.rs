//! Directory of the other instances: address, last reported state and shares.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use coord::ledger::Incarnation;
use net::peer::{self, PeerHandle};
use parking_lot::RwLock;
use slotmap::SecondaryMap;
use state::catalog::TeamId;
use telemetry::event::LogEvent;
use telemetry::log_event;
use wire::peer::InstanceSummary;
use wire::platform::{InstanceRecord, InstanceState};

/// Share and demand of a team on another instance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerShare {
    /// Share that the peer holds, in millionths.
    pub share: u64,
    /// Demand of the peer's callers, as a fraction of the team's rate.
    pub demand: f64,
}

/// Last known state of another instance.
#[derive(Clone, Debug)]
pub struct PeerEntry {
    /// Name of the instance.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address on which the instance accepts peers.
    pub address: SocketAddr,
    /// gRPC client of the instance.
    pub client: PeerHandle,
    /// Whether the platform lists the instance as leaving.
    pub listed_leaving: bool,
    /// State that the instance last reported.
    pub summary: Option<InstanceSummary>,
    /// Time of the last message from the instance.
    pub last_contact_at: Option<Instant>,
    /// Shares of the teams on the instance.
    pub shares: SecondaryMap<TeamId, PeerShare>,
}

impl PeerEntry {
    /// Returns the incarnation of the instance; none before its first message.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.summary.as_ref().map(|summary| summary.incarnation)
    }
}

/// Instances that the platform lists, without this one.
#[derive(Debug, Default)]
pub struct PeerDirectory {
    entries: RwLock<BTreeMap<String, PeerEntry>>,
}

impl PeerDirectory {
    /// Applies the platform's list of instances, without the instance `own_name`.
    pub fn update(&self, own_name: &str, list: &[InstanceRecord]) {
        let mut entries = self.entries.write();
        entries.retain(|name, _| {
            let listed = list.iter().any(|record| record.name == *name);
            if !listed {
                log_event!(LogEvent::PeerLost, "peer={name} is no longer listed");
            }
            listed
        });
        for record in list.iter().filter(|record| record.name != own_name) {
            let existing = entries
                .get_mut(&record.name)
                .filter(|entry| entry.address == record.peer && entry.zone == record.zone);
            let is_leaving = record.state == InstanceState::Leaving;
            match existing {
                Some(entry) => entry.listed_leaving = is_leaving,
                None => {
                    log_event!(LogEvent::PeerFound, "peer={} at {}", record.name, record.peer);
                    entries.insert(record.name.clone(), new_entry(record, is_leaving));
                }
            }
        }
    }

    /// Returns every listed instance.
    pub fn all(&self) -> Vec<PeerEntry> {
        self.entries.read().values().cloned().collect()
    }

    /// Returns the first listed instance for which a condition holds.
    pub fn find(&self, condition: impl Fn(&PeerEntry) -> bool) -> Option<PeerEntry> {
        self.entries.read().values().find(|entry| condition(entry)).cloned()
    }

    /// Returns whether a condition holds for any listed instance, without cloning entries.
    pub fn any(&self, condition: impl Fn(&PeerEntry) -> bool) -> bool {
        self.entries.read().values().any(condition)
    }

    /// Returns the names of the listed instances that are not leaving.
    pub fn active_names(&self) -> Vec<String> {
        let entries = self.entries.read();
        let active = entries.values().filter(|entry| !entry.listed_leaving);
        active.map(|entry| entry.name.clone()).collect()
    }

    /// Returns the number of listed instances.
    pub fn len(&self) -> usize {
        self.entries.read().len()
    }

    /// Returns whether no other instance is listed.
    pub fn is_empty(&self) -> bool {
        self.entries.read().is_empty()
    }

    /// Records the state that a peer reported, and clears its shares if it has restarted.
    pub fn record_summary(&self, name: &str, summary: InstanceSummary, now: Instant) {
        if let Some(entry) = self.entries.write().get_mut(name) {
            let same_incarnation = entry.incarnation() == Some(summary.incarnation);
            if !same_incarnation {
                entry.shares.clear();
            }
            entry.summary = Some(summary);
            entry.last_contact_at = Some(now);
        }
    }

    /// Records shares that a peer holds.
    pub fn record_shares(&self, name: &str, shares: impl IntoIterator<Item = (TeamId, PeerShare)>) {
        if let Some(entry) = self.entries.write().get_mut(name) {
            for (team, share) in shares {
                entry.shares.insert(team, share);
            }
        }
    }
}

fn new_entry(record: &InstanceRecord, is_leaving: bool) -> PeerEntry {
    PeerEntry {
        name: record.name.clone(),
        zone: record.zone.clone(),
        address: record.peer,
        client: peer::connect_lazy(record.peer),
        listed_leaving: is_leaving,
        summary: None,
        last_contact_at: None,
        shares: SecondaryMap::new(),
    }
}
