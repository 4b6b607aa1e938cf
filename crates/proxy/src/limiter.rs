//! Buckets of the teams on this instance.

use std::time::{Duration, Instant};

use parking_lot::Mutex;
use slotmap::{Key as _, SecondaryMap};
use state::bucket::{InsufficientTokens, TokenBucket};
use state::catalog::TeamId;

/// Independently locked parts of the limiter.
const SHARDS: usize = 16;
/// Time after which a team without a bucket is told to come back.
const UNKNOWN_DELAY: Duration = Duration::from_millis(100);

/// Bucket of a team with the tokens that were asked for.
#[derive(Debug)]
struct MeteredBucket {
    bucket: TokenBucket,
    asked: f64,
}

type LimiterShard = Mutex<SecondaryMap<TeamId, MeteredBucket>>;

/// Buckets of all teams, split into shards.
#[derive(Debug)]
pub struct TeamLimiter {
    shards: Vec<LimiterShard>,
}

impl Default for TeamLimiter {
    fn default() -> Self {
        Self { shards: (0..SHARDS).map(|_| Mutex::default()).collect() }
    }
}

impl TeamLimiter {
    /// Takes `cost` tokens of a team; a team without a bucket has none.
    pub fn take(&self, team: TeamId, cost: f64, now: Instant) -> Result<(), InsufficientTokens> {
        let mut buckets = self.shard(team).lock();
        match buckets.get_mut(team) {
            Some(metered) => {
                metered.asked += cost;
                metered.bucket.take(cost, now)
            }
            None => Err(InsufficientTokens { retry_after: UNKNOWN_DELAY }),
        }
    }

    /// Takes tokens for a request whose demand was counted by an earlier try.
    pub fn retry_take(
        &self,
        team: TeamId,
        cost: f64,
        now: Instant,
    ) -> Result<(), InsufficientTokens> {
        let taken = self.take(team, cost, now);
        if let Some(metered) = self.shard(team).lock().get_mut(team) {
            metered.asked -= cost;
        }
        taken
    }

    /// Returns the tokens asked for since the last call.
    pub fn drain_asked(&self, team: TeamId) -> f64 {
        let mut buckets = self.shard(team).lock();
        buckets.get_mut(team).map_or(0.0, |metered| std::mem::take(&mut metered.asked))
    }

    /// Runs an operation on a team's bucket, which starts empty.
    pub fn update<T>(
        &self,
        team: TeamId,
        now: Instant,
        operation: impl FnOnce(&mut TokenBucket) -> T,
    ) -> T {
        let mut buckets = self.shard(team).lock();
        if !buckets.contains_key(team) {
            let bucket = TokenBucket::empty(0.0, 0.0, now);
            buckets.insert(team, MeteredBucket { bucket, asked: 0.0 });
        }
        operation(&mut buckets[team].bucket)
    }

    /// Forgets a team.
    pub fn remove(&self, team: TeamId) {
        self.shard(team).lock().remove(team);
    }

    fn shard(&self, team: TeamId) -> &LimiterShard {
        &self.shards[team.data().as_ffi() as usize % SHARDS]
    }
}
