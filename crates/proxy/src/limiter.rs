//! Token buckets of the teams on this instance.

use std::time::{Duration, Instant};

use parking_lot::Mutex;
use slotmap::{Key as _, SecondaryMap};
use state::bucket::{InsufficientTokens, TokenBucket};
use state::catalog::TeamId;

/// Number of independently locked shards.
const SHARD_COUNT: usize = 16;
/// Retry delay returned for a team without a bucket.
const UNKNOWN_TEAM_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Bucket of a team, with the number of tokens requested since the last demand measurement.
#[derive(Debug)]
struct MeteredBucket {
    bucket: TokenBucket,
    requested_tokens: f64,
}

type LimiterShard = Mutex<SecondaryMap<TeamId, MeteredBucket>>;

/// Token buckets of all teams, split into shards to reduce lock contention.
#[derive(Debug)]
pub struct TeamLimiter {
    shards: Vec<LimiterShard>,
}

impl Default for TeamLimiter {
    fn default() -> Self {
        Self { shards: (0..SHARD_COUNT).map(|_| Mutex::default()).collect() }
    }
}

impl TeamLimiter {
    /// Takes `cost` tokens of a team. Fails if there are too few, or if the team has no bucket.
    pub fn take(&self, team: TeamId, cost: f64, now: Instant) -> Result<(), InsufficientTokens> {
        let mut buckets = self.shard(team).lock();
        match buckets.get_mut(team) {
            Some(team_bucket) => {
                team_bucket.requested_tokens += cost;
                team_bucket.bucket.take(cost, now)
            }
            None => Err(InsufficientTokens { retry_after: UNKNOWN_TEAM_RETRY_DELAY }),
        }
    }

    /// Takes tokens for a request whose demand was counted by an earlier attempt.
    pub fn retry_take(
        &self,
        team: TeamId,
        cost: f64,
        now: Instant,
    ) -> Result<(), InsufficientTokens> {
        let result = self.take(team, cost, now);
        if let Some(team_bucket) = self.shard(team).lock().get_mut(team) {
            team_bucket.requested_tokens -= cost;
        }
        result
    }

    /// Returns the number of tokens requested since the last call.
    pub fn take_requested_tokens(&self, team: TeamId) -> f64 {
        let mut buckets = self.shard(team).lock();
        buckets
            .get_mut(team)
            .map_or(0.0, |team_bucket| std::mem::take(&mut team_bucket.requested_tokens))
    }

    /// Runs an operation on a team's bucket, and creates an empty bucket first if there is none.
    pub fn update<T>(
        &self,
        team: TeamId,
        now: Instant,
        operation: impl FnOnce(&mut TokenBucket) -> T,
    ) -> T {
        let mut buckets = self.shard(team).lock();
        if !buckets.contains_key(team) {
            let bucket = TokenBucket::empty(0.0, 0.0, now);
            buckets.insert(team, MeteredBucket { bucket, requested_tokens: 0.0 });
        }
        operation(&mut buckets[team].bucket)
    }

    /// Removes a team's bucket.
    pub fn remove(&self, team: TeamId) {
        self.shard(team).lock().remove(team);
    }

    fn shard(&self, team: TeamId) -> &LimiterShard {
        &self.shards[team.data().as_ffi() as usize % SHARD_COUNT]
    }
}
