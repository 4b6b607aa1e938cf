//! This instance's part of each team's rate and burst.

use std::time::Instant;

use parking_lot::Mutex;
use slotmap::{Key as _, SecondaryMap};
use state::bucket::{BucketDelay, TokenBucket};
use state::catalog::TeamKey;

/// Independently locked parts of the limiter.
const SHARDS: usize = 16;

/// Buckets of all teams, split into shards.
pub struct TeamLimiter {
    shards: Vec<Mutex<SecondaryMap<TeamKey, TokenBucket>>>,
}

impl Default for TeamLimiter {
    fn default() -> Self {
        Self { shards: (0..SHARDS).map(|_| Mutex::default()).collect() }
    }
}

impl TeamLimiter {
    /// Takes `cost` tokens of a team; a team without a bucket has none.
    pub fn take(&self, team: TeamKey, cost: f64, now: Instant) -> Result<(), BucketDelay> {
        let mut buckets = self.shard(team).lock();
        match buckets.get_mut(team) {
            Some(bucket) => bucket.take(cost, now),
            None => Err(BucketDelay { retry_after: std::time::Duration::from_millis(100) }),
        }
    }

    /// Runs an operation on a team's bucket, which starts empty.
    pub fn update<T>(
        &self,
        team: TeamKey,
        now: Instant,
        operation: impl FnOnce(&mut TokenBucket) -> T,
    ) -> T {
        let mut buckets = self.shard(team).lock();
        if !buckets.contains_key(team) {
            buckets.insert(team, TokenBucket::empty(0.0, 0.0, now));
        }
        operation(&mut buckets[team])
    }

    /// Forgets a team.
    pub fn remove(&self, team: TeamKey) {
        self.shard(team).lock().remove(team);
    }

    fn shard(&self, team: TeamKey) -> &Mutex<SecondaryMap<TeamKey, TokenBucket>> {
        &self.shards[team.data().as_ffi() as usize % SHARDS]
    }
}
