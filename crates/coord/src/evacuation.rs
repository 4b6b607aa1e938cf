//! Evacuation of availability zones: which work the members of a zone may still get.
//!
//! An operator evacuates a zone because its members are about to be lost or must not be touched.
//! The load is a deployment in full use, with reads that other members can serve at once and writes
//! that only the leader can run. So reads leave the zone at once, the leader goes on until another
//! member leads or the zone is closed, and after the withdrawal the teams return one after another,
//! because each opens a connection that takes a slot of the member.

use std::time::{Duration, Instant};

/// Bound on the time until an evacuated zone gets no more work, if the settings state none.
pub const DEFAULT_EVACUATION_BOUND: Duration = Duration::from_secs(5);
/// Fraction of the bound after which a zone is closed. The rest is left for the row to reach all
/// instances, and for statements that were sent before.
const CLOSING_FRACTION: f64 = 0.4;
/// Time for which an evacuation that the store has lost stays in force.
const REWRITE_PERIOD: Duration = Duration::from_millis(2_500);
/// Time after a withdrawal in which the share of admitted teams grows from none to all.
const RETURN_PERIOD: Duration = Duration::from_secs(3);

/// Phase of a zone, as known to this instance.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ZonePhase {
    /// The zone gets all work.
    #[default]
    Open,
    /// The zone is evacuated; its leaders go on until other members lead.
    Leaving,
    /// The zone is evacuated and gets no request at all.
    Closed,
    /// The evacuation was withdrawn; the teams return one after another.
    Returning,
}

impl ZonePhase {
    /// Returns whether an evacuation of the zone is in force.
    pub fn is_evacuated(self) -> bool {
        matches!(self, Self::Leaving | Self::Closed)
    }

    /// Returns the label of the phase for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Leaving => "leaving",
            Self::Closed => "closed",
            Self::Returning => "returning",
        }
    }
}

/// Kind of work, as far as it decides where the work may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkKind {
    /// A read or read-only transaction that another member can run.
    Replica,
    /// A request that a member gets as the leader of its service.
    Leader,
    /// A statement of a transaction that is open at the member.
    Pinned,
}

/// State of a zone that is evacuated or was so recently.
#[derive(Clone, Debug)]
enum ZoneState {
    /// It is evacuated, until `reopens_at` if the store has lost the evacuation.
    Evacuated {
        closes_at: Instant,
        reopens_at: Option<Instant>,
    },
    Returning {
        since: Instant,
        was_closed: bool,
    },
}

#[derive(Clone, Debug)]
struct ZoneEntry {
    zone: String,
    state: ZoneState,
    /// Phase that [`EvacuationTable::advance`] returned last.
    reported: ZonePhase,
}

/// Evacuations known to one instance. The table is empty unless a zone is or was evacuated.
#[derive(Clone, Debug)]
pub struct EvacuationTable {
    closing_delay: Duration,
    // A deployment has a few zones, so a scan is faster than a hash.
    entries: Vec<ZoneEntry>,
}

impl Default for EvacuationTable {
    fn default() -> Self {
        Self::new(DEFAULT_EVACUATION_BOUND)
    }
}

impl EvacuationTable {
    /// Creates an empty table; a zone gets no more work `bound` after its evacuation.
    pub fn new(bound: Duration) -> Self {
        Self { closing_delay: bound.mul_f64(CLOSING_FRACTION), entries: Vec::new() }
    }

    /// Returns whether all zones are open.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records an evacuation; returns whether it is new. A repeated one does not start again.
    pub fn evacuate(&mut self, zone: &str, now: Instant) -> bool {
        let closes_at = now + self.closing_delay;
        let state = ZoneState::Evacuated { closes_at, reopens_at: None };
        match self.entries.iter_mut().find(|entry| entry.zone == zone) {
            Some(ZoneEntry { state: ZoneState::Evacuated { reopens_at, .. }, .. }) => {
                *reopens_at = None;
                return false;
            }
            Some(entry) => entry.state = state,
            None => {
                let (zone, reported) = (zone.to_owned(), ZonePhase::Open);
                self.entries.push(ZoneEntry { zone, state, reported });
            }
        }
        true
    }

    /// Records the withdrawal of an evacuation; returns whether it was in force.
    pub fn reopen(&mut self, zone: &str, now: Instant) -> bool {
        let Some(entry) = self.entries.iter_mut().find(|entry| entry.zone == zone) else {
            return false;
        };
        let ZoneState::Evacuated { closes_at, .. } = entry.state else {
            return false;
        };
        entry.state = ZoneState::Returning { since: now, was_closed: now >= closes_at };
        true
    }

    /// Records that the store has lost an evacuation, which stays in force until the operator has had
    /// time to write it again; returns whether it was in force.
    pub fn record_lost(&mut self, zone: &str, now: Instant) -> bool {
        let Some(entry) = self.entries.iter_mut().find(|entry| entry.zone == zone) else {
            return false;
        };
        let ZoneState::Evacuated { reopens_at, .. } = &mut entry.state else {
            return false;
        };
        reopens_at.get_or_insert(now + REWRITE_PERIOD);
        true
    }

    /// Closes all evacuated zones at once.
    ///
    /// For an instance that finds the evacuations when it starts: they may be in force for long.
    pub fn close_evacuated(&mut self, now: Instant) {
        for entry in &mut self.entries {
            if let ZoneState::Evacuated { closes_at, .. } = &mut entry.state {
                *closes_at = now.min(*closes_at);
            }
        }
    }

    /// Returns whether an evacuation of a zone is in force.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        let evacuated = |entry: &&ZoneEntry| matches!(entry.state, ZoneState::Evacuated { .. });
        self.entries.iter().filter(evacuated).any(|entry| entry.zone == zone)
    }

    /// Returns the phase of a zone.
    pub fn phase(&self, zone: &str, now: Instant) -> ZonePhase {
        let entry = self.entries.iter().find(|entry| entry.zone == zone);
        entry.map_or(ZonePhase::Open, |entry| entry.phase(now))
    }

    /// Returns whether a member of a zone may get work of this kind.
    ///
    /// `team_hash` must be spread evenly and differ between the members; it decides when the team
    /// returns.
    pub fn admits(
        &self,
        zone: &str,
        kind: WorkKind,
        team_hash: impl FnOnce() -> u64,
        now: Instant,
    ) -> bool {
        let Some(entry) = self.entries.iter().find(|entry| entry.zone == zone) else {
            return true;
        };
        match (&entry.state, kind) {
            (ZoneState::Evacuated { closes_at, .. }, WorkKind::Leader | WorkKind::Pinned) => {
                now < *closes_at
            }
            (ZoneState::Evacuated { .. }, WorkKind::Replica) => false,
            (ZoneState::Returning { .. }, WorkKind::Pinned) => true,
            // The leader took all writes up to the withdrawal, so none of them returns.
            (ZoneState::Returning { was_closed: false, .. }, WorkKind::Leader) => true,
            (ZoneState::Returning { since, .. }, WorkKind::Leader | WorkKind::Replica) => {
                let elapsed = now.saturating_duration_since(*since);
                elapsed.as_secs_f64() / RETURN_PERIOD.as_secs_f64() > fraction(team_hash())
            }
        }
    }

    /// Removes zones that have returned, reopens those whose evacuation stays lost, and returns the
    /// zones whose phase has changed since the last call.
    pub fn advance(&mut self, now: Instant) -> Vec<(String, ZonePhase)> {
        let mut changes = Vec::new();
        self.entries.retain_mut(|entry| {
            if let ZoneState::Evacuated { closes_at, reopens_at: Some(at) } = entry.state
                && now >= at
            {
                entry.state = ZoneState::Returning { since: now, was_closed: now >= closes_at };
            }
            let phase = entry.phase(now);
            if entry.reported != phase {
                changes.push((entry.zone.clone(), phase));
                entry.reported = phase;
            }
            phase != ZonePhase::Open
        });
        changes
    }

    /// Returns the zones that are not open, with their phases.
    pub fn phases(&self, now: Instant) -> impl Iterator<Item = (&str, ZonePhase)> {
        let phases = self.entries.iter().map(move |entry| (entry.zone.as_str(), entry.phase(now)));
        phases.filter(|(_, phase)| *phase != ZonePhase::Open)
    }

    /// Returns the number of zones in a phase.
    pub fn count(&self, phase: ZonePhase, now: Instant) -> usize {
        self.entries.iter().filter(|entry| entry.phase(now) == phase).count()
    }
}

impl ZoneEntry {
    fn phase(&self, now: Instant) -> ZonePhase {
        match self.state {
            ZoneState::Evacuated { closes_at, .. } if now < closes_at => ZonePhase::Leaving,
            ZoneState::Evacuated { .. } => ZonePhase::Closed,
            ZoneState::Returning { since, .. }
                if now.saturating_duration_since(since) < RETURN_PERIOD =>
            {
                ZonePhase::Returning
            }
            ZoneState::Returning { .. } => ZonePhase::Open,
        }
    }
}

/// Returns a hash as a fraction from zero up to one.
fn fraction(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
