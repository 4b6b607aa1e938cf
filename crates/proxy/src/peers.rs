//! Other instances: who is listed, how to reach them, what they last said.

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
    /// Parts that the peer holds.
    pub share: u64,
    /// What callers ask of the peer, as a part of the team's rate.
    pub demand: f64,
}

/// What this instance knows of another one.
#[derive(Clone, Debug)]
pub struct PeerEntry {
    /// Name of the instance.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address for peers.
    pub address: SocketAddr,
    /// Channel to the instance.
    pub handle: PeerHandle,
    /// Tells that the platform lists the instance as leaving.
    pub listed_leaving: bool,
    /// What the instance last said of itself.
    pub summary: Option<InstanceSummary>,
    /// When it last answered.
    pub answered_at: Option<Instant>,
    /// Shares of the teams on the instance.
    pub shares: SecondaryMap<TeamId, PeerShare>,
}

impl PeerEntry {
    /// Returns the number that the instance drew when it started, once it has answered.
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
    /// Takes over the platform's list; `own` is left out.
    pub fn update(&self, own: &str, list: &[InstanceRecord]) {
        let mut entries = self.entries.write();
        entries.retain(|name, _| {
            let listed = list.iter().any(|record| record.name == *name);
            if !listed {
                log_event!(LogEvent::PeerLost, "peer={name} is no longer listed");
            }
            listed
        });
        for record in list.iter().filter(|record| record.name != own) {
            let same = entries
                .get_mut(&record.name)
                .filter(|entry| entry.address == record.peer && entry.zone == record.zone);
            let leaving = record.state == InstanceState::Leaving;
            match same {
                Some(entry) => entry.listed_leaving = leaving,
                None => {
                    log_event!(LogEvent::PeerFound, "peer={} at {}", record.name, record.peer);
                    entries.insert(record.name.clone(), new_entry(record, leaving));
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

    /// Tells whether a condition holds for some listed instance, without copying any.
    pub fn any(&self, condition: impl Fn(&PeerEntry) -> bool) -> bool {
        self.entries.read().values().any(condition)
    }

    /// Returns the names of listed instances that do not leave.
    pub fn names(&self) -> Vec<String> {
        let entries = self.entries.read();
        let staying = entries.values().filter(|entry| !entry.listed_leaving);
        staying.map(|entry| entry.name.clone()).collect()
    }

    /// Returns the number of listed instances.
    pub fn len(&self) -> usize {
        self.entries.read().len()
    }

    /// Tells whether no other instance is listed.
    pub fn is_empty(&self) -> bool {
        self.entries.read().is_empty()
    }

    /// Records what a peer said of itself.
    pub fn record(&self, name: &str, summary: InstanceSummary, now: Instant) {
        if let Some(entry) = self.entries.write().get_mut(name) {
            let same = entry.incarnation() == Some(summary.incarnation);
            if !same {
                entry.shares.clear();
            }
            entry.summary = Some(summary);
            entry.answered_at = Some(now);
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

fn new_entry(record: &InstanceRecord, leaving: bool) -> PeerEntry {
    PeerEntry {
        name: record.name.clone(),
        zone: record.zone.clone(),
        address: record.peer,
        handle: peer::connect_lazy(record.peer),
        listed_leaving: leaving,
        summary: None,
        answered_at: None,
        shares: SecondaryMap::new(),
    }
}
