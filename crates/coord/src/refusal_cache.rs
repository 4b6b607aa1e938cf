//! Refusals of quota owners, kept at the instance that received them.
//!
//! Load: callers of a team that is far over its limit ask an instance more often than the team gets
//! tokens. Without the cache each of these requests is a round trip to the quota owner.
//!
//! A refusal states a time before which no request of the same team and priority can get a token.
//! Until then the instance refuses them itself. It says nothing about other priorities: a lower
//! one may have credit in its floor. Grants are not cached.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::priority::PriorityLevel;

/// Longest time for which a refusal is valid. Bounds the effect of what the quota owner could not
/// know, as a higher reachable fraction, to half of the shortest target latency in use.
pub const MAX_HOLD: Duration = Duration::from_millis(100);

/// Longest time after which a quota owner may expect a token.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(60);

/// Refusal by a quota owner.
#[derive(Clone, Copy, Debug)]
pub struct CachedRefusal {
    /// Incarnation of the quota owner.
    pub owner: u64,
    /// Time up to which no token can exist.
    pub refused_until: Instant,
    /// Time at which the quota owner expects a token for a refused request.
    pub retry_at: Instant,
}

impl CachedRefusal {
    fn is_valid(&self, owner: u64, now: Instant) -> bool {
        self.owner == owner && self.refused_until > now
    }

    fn retry_delay(&self, now: Instant) -> Duration {
        self.retry_at.max(self.refused_until).saturating_duration_since(now)
    }
}

#[derive(Debug)]
struct CacheEntry {
    priority: PriorityLevel,
    refusal: Option<CachedRefusal>,
    /// Requests refused since the last request to the quota owner.
    refused_count: u32,
}

/// Valid refusals, by team and priority.
#[derive(Debug, Default)]
pub struct RefusalCache {
    /// A team has few priorities, so they are searched one by one.
    teams: HashMap<String, Vec<CacheEntry>>,
}

impl RefusalCache {
    /// Refuses a request if a refusal of the same quota owner is still valid, and returns its retry
    /// delay.
    pub fn refuse(
        &mut self,
        team: &str,
        priority: PriorityLevel,
        owner: u64,
        now: Instant,
    ) -> Option<Duration> {
        let entry = self.entry(team, priority)?;
        let refusal = entry.refusal?;
        if !refusal.is_valid(owner, now) {
            entry.refusal = None;
            return None;
        }
        entry.refused_count = entry.refused_count.saturating_add(1);
        Some(refusal.retry_delay(now))
    }

    /// Returns the retry delay that [`Self::refuse`] would return, without counting a request.
    pub fn valid_refusal(
        &self,
        team: &str,
        priority: PriorityLevel,
        owner: u64,
        now: Instant,
    ) -> Option<Duration> {
        let entries = self.teams.get(team)?;
        let entry = entries.iter().find(|entry| entry.priority == priority)?;
        let refusal = entry.refusal.filter(|refusal| refusal.is_valid(owner, now))?;
        Some(refusal.retry_delay(now))
    }

    /// Returns the number of requests refused since the last call, to be reported to the quota
    /// owner with the next request.
    pub fn take_refused_count(&mut self, team: &str, priority: PriorityLevel) -> u32 {
        let entry = self.entry(team, priority);
        entry.map_or(0, |entry| std::mem::take(&mut entry.refused_count))
    }

    /// Records the refusal of a request that was sent to its quota owner at `sent_at`.
    ///
    /// Times count from before the request, so that the refusal ends here no later than there. Each
    /// refusal of one quota owner stays true whatever it decides later, so the latest end counts,
    /// also when answers arrive late or twice.
    pub fn record(
        &mut self,
        team: &str,
        priority: PriorityLevel,
        owner: u64,
        sent_at: Instant,
        hold: Duration,
        retry_after: Duration,
    ) {
        let refused_until = sent_at + hold.min(MAX_HOLD);
        let retry_at = sent_at + retry_after.min(MAX_RETRY_DELAY);
        let mut refusal = CachedRefusal { owner, refused_until, retry_at };
        if let Some(entry) = self.entry(team, priority) {
            if let Some(earlier) = entry.refusal.filter(|earlier| earlier.owner == owner) {
                refusal.refused_until = refusal.refused_until.max(earlier.refused_until);
                refusal.retry_at = refusal.retry_at.max(earlier.retry_at);
            }
            entry.refusal = Some(refusal);
            return;
        }
        let entry = CacheEntry { priority, refusal: Some(refusal), refused_count: 0 };
        match self.teams.get_mut(team) {
            Some(entries) => entries.push(entry),
            None => {
                self.teams.insert(team.to_owned(), vec![entry]);
            }
        }
    }

    /// Drops all refusals, as for a new document.
    pub fn clear(&mut self) {
        self.teams.clear();
    }

    fn entry(&mut self, team: &str, priority: PriorityLevel) -> Option<&mut CacheEntry> {
        self.teams.get_mut(team)?.iter_mut().find(|entry| entry.priority == priority)
    }
}
