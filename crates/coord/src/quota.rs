//! Team limits counted at one instance a team, its counter.
//!
//! Every instance asks the counter of a team, the first in rendezvous order of those it reaches,
//! before an operation starts. Load pattern: a team sends several times its rate through every
//! instance at once, while some instances are cut off. Each side of a partition counts for itself,
//! with the part of the limit that its instances are of all registered ones, so the sides together
//! stay within the whole. A bucket starts empty whenever the counter may have missed admissions.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use state::bucket::{BucketDelay, TokenBucket};

/// Pause after which a counter assumes that another one stood in for it.
const COUNTING_GAP: Duration = Duration::from_millis(800);

/// Declared limits of a team.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamLimit {
    /// Operations a second.
    pub rate: f64,
    /// Operations at once.
    pub burst: f64,
}

/// Buckets of the teams that an instance counts for.
#[derive(Debug, Default)]
pub struct TeamCounters {
    buckets: HashMap<String, TokenBucket>,
    reach: f64,
    seen_at: Option<Instant>,
}

impl TeamCounters {
    /// Notes which part of all registered instances this one reaches, itself included.
    ///
    /// Must be called more often than every [`COUNTING_GAP`]; after a longer pause, such as a
    /// suspension, every bucket starts empty.
    pub fn observe(&mut self, reached: usize, registered: usize, now: Instant) {
        if self.seen_at.is_some_and(|at| now.saturating_duration_since(at) > COUNTING_GAP) {
            self.buckets.clear();
        }
        self.seen_at = Some(now);
        self.reach = reached.min(registered) as f64 / registered.max(1) as f64;
    }

    /// Takes one operation of a team and returns the time after which it may start, or tells when
    /// another one would pass if that is longer than `patience`.
    ///
    /// `full_start` lets a bucket that is new start full: nothing was admitted before.
    pub fn take(
        &mut self,
        team: &str,
        limit: TeamLimit,
        patience: Duration,
        full_start: bool,
        now: Instant,
    ) -> Result<Duration, BucketDelay> {
        let (rate, burst) = (limit.rate * self.reach, (limit.burst * self.reach).max(1.0));
        let bucket = match self.buckets.get_mut(team) {
            Some(bucket) => bucket,
            None => {
                let mut bucket = TokenBucket::empty(rate, burst, now);
                if full_start {
                    bucket.deposit(burst, now);
                }
                self.buckets.entry(team.to_owned()).or_insert(bucket)
            }
        };
        bucket.resize(rate, burst, now);
        bucket.reserve(1.0, patience, now)
    }

    /// Forgets buckets of teams for which this instance no longer counts.
    pub fn retain(&mut self, counts_for: impl Fn(&str) -> bool) {
        self.buckets.retain(|team, _| counts_for(team));
    }
}
