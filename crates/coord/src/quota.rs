//! Rate limits of teams, each enforced by one instance, its quota owner.
//!
//! Limits count operations: an operation is a transaction or a single statement outside of one.
//!
//! Before an operation starts, every instance asks the team's quota owner: the first in rendezvous
//! order among the instances that it can reach. This holds the limit also when a team sends several
//! times its rate through all instances at once while some of them are partitioned. Each side of a
//! partition has its own quota owner, which scales the limit by the fraction of all registered
//! instances on its side, so that all sides together stay within the limit.
//!
//! An instance that does not reach the owner, although others do, asks the next one in that order. This
//! substitute asks the owner on its behalf. Without an answer it admits, for the instances that ask it,
//! their part of the tolerated overage: the owner may reach them through others, or may not have noticed
//! that it does not reach them, and then admits their part of the limit itself. The same holds for an
//! instance that no candidate answers, and for an owner that has just noticed that it reaches less than
//! half of the instances. Only the owner of its side of a partition admits a part of the limit.
//!
//! Operations of a lower priority leave a part of the bucket to those of higher priorities. A
//! bucket starts with only a part of the tolerated overage if the quota owner may have missed
//! earlier admissions.
//!
//! Where teams compete for less than they ask for, each lower priority also has a floor, see
//! [`crate::priority_floors`].

use std::collections::HashMap;
use std::time::{Duration, Instant};

use state::bucket::{InsufficientTokens, TokenBucket};

use crate::priority_floors::{FloorRequest, PriorityFloors, TokenRefusal};

/// Gap between two calls of [`TeamQuotas::record_reachable`] after which another instance may have
/// become the quota owner meanwhile.
const OWNERSHIP_TIMEOUT: Duration = Duration::from_millis(800);

/// Time after its last request for which an instance counts as one that does not reach the quota owner.
const ASKER_TTL: Duration = Duration::from_secs(1);

/// Divisor for the fraction of the tolerated overage that a new bucket starts with: a team may get
/// a new quota owner twice in one window, when an instance leaves and when it comes back.
const START_OVERAGE_DIVISOR: f64 = 3.0;
/// Fraction of the limit's rate at which an instance that is not the quota owner refills its bucket.
const BESIDE_OWNER_RATE_FRACTION: f64 = 0.05;

/// Time after which the larger side of a partition has noticed it, counted from when the smaller side has.
const HANDOVER_DELAY: Duration = Duration::from_secs(1);

/// Window over which limits hold, and the overage tolerated in it when quota owners change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitWindow {
    /// Length of the window.
    pub length: Duration,
    /// Tolerated overage as a fraction of what the limit allows in the window.
    pub overage_ratio: f64,
    /// Tolerated overage in operations, in addition.
    pub slack_operations: f64,
}

/// Configured rate limit of a team.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamLimit {
    /// Operations per second.
    pub rate: f64,
    /// Size of a burst in operations.
    pub burst: f64,
}

/// Fraction of the bucket that operations of one priority leave to those of the next higher one.
pub(crate) const PRIORITY_RESERVE_FRACTION: f64 = 0.2;
/// Largest number of higher priorities for which tokens are reserved.
const MAX_RESERVED_LEVELS: usize = 2;
/// Longest wait for a token, about the work of one statement.
///
/// Callers retry refused operations, and if the wait before the refusal is longer, the retry misses
/// the caller's target latency. The bound is the same for all callers, so that a caller with a
/// longer timeout gets no precedence.
pub const TOKEN_TIMEOUT: Duration = Duration::from_millis(15);

/// Fraction of a burst that is admitted at once; the rest is spread over the window.
const IMMEDIATE_BURST_FRACTION: f64 = 0.5;

/// Largest fraction that is added to a retry delay, so that callers refused together do not return
/// together.
const RETRY_SPREAD_FRACTION: f64 = 0.25;

/// Lengthens a retry delay by up to a quarter; `draw` is a random number from 0 to 1.
pub fn spread_retry(retry_after: Duration, draw: f64) -> Duration {
    retry_after.mul_f64(1.0 + RETRY_SPREAD_FRACTION * draw.clamp(0.0, 1.0))
}

impl TeamLimit {
    /// Returns rate and burst of a bucket that admits at most what the limit allows in any window:
    /// the rate for its whole length and one burst.
    ///
    /// A bucket with the configured rate and burst would admit the burst only once in total, and so
    /// refuse a steady load that is within the limit in every window.
    fn bucket_parameters(&self, window: LimitWindow) -> (f64, f64) {
        let immediate_burst = (self.burst * IMMEDIATE_BURST_FRACTION).max(self.burst.min(1.0));
        let spread_rate = (self.burst - immediate_burst) / window.length.as_secs_f64().max(1.0);
        (self.rate + spread_rate, immediate_burst)
    }

    /// Returns the operations that a new quota owner may admit without knowing what the previous
    /// one admitted.
    fn initial_tokens(&self, window: LimitWindow) -> f64 {
        let allowed = self.rate * window.length.as_secs_f64() + self.burst;
        (allowed * window.overage_ratio + window.slack_operations) / START_OVERAGE_DIVISOR
    }
}

/// Part of a team's limit that an instance may admit.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum LimitShare {
    /// The part of all instances on this side of a partition, as their quota owner.
    Reachable,
    /// The part of the instances that ask this one because they do not reach the quota owner.
    ///
    /// Load: a hot team while one or more instances do not reach the owner that another one reaches.
    /// With a part of the limit beside that of the owner, the team ran up to twice its limit.
    Substitute,
    /// The part of a single instance, while it reaches no quota owner.
    OneInstance,
}

/// Request for a token.
#[derive(Clone, Copy, Debug)]
pub struct TokenRequest {
    /// Number of priorities in use above that of the operation.
    pub priority_rank: usize,
    /// Longest wait for the token.
    pub max_wait: Duration,
    /// The instance has just started and still finds the others, so a bucket gets the rest of its
    /// initial tokens as the reachable fraction grows.
    ///
    /// Load: after a power failure of all instances, every bucket was created while its owner knew
    /// of few others, with hardly a token, and teams within their limit were refused for half a
    /// second.
    pub is_starting: bool,
    /// Part of the limit to take the token from.
    pub share: LimitShare,
}

/// Change between a team that is over its limit and one that is within it.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamLoadChange {
    /// Team.
    pub team: String,
    /// Whether the team asks for more than its limit now.
    pub is_over_limit: bool,
    /// Operations per second that the team asks for, refused ones included.
    pub demand_rate: f64,
    /// Operations per second that the quota owner admits at most.
    pub admitted_rate: f64,
}

/// Token bucket of a team and the claims of its priorities on it.
#[derive(Clone, Debug)]
struct TeamBucket {
    /// Number that no earlier bucket had. Tokens are returned to the bucket that they came from only.
    number: u32,
    limit: TeamLimit,
    tokens: TokenBucket,
    /// Initial tokens that the bucket has had so far.
    initial_tokens: f64,
    /// Whether this instance was the team's quota owner at the last check.
    was_owner: bool,
    /// `None` until the first request that uses floors.
    floors: Option<TeamFloors>,
}

#[derive(Clone, Debug)]
struct TeamFloors {
    floors: PriorityFloors,
    /// Value of [`PriorityFloors::is_over_limit`] at the last report.
    was_over_limit: bool,
}

/// Token buckets of the teams whose quota owner is this instance.
#[derive(Clone, Debug)]
pub struct TeamQuotas {
    window: LimitWindow,
    buckets: HashMap<LimitShare, HashMap<String, TeamBucket>>,
    reachable_fraction: f64,
    instance_fraction: f64,
    /// Instances that asked this one as a substitute, and when they last did.
    askers: HashMap<u64, Instant>,
    recorded_at: Option<Instant>,
    /// Time since which each team has had the same quota owner, with the same part of the limit.
    unchanged_since: Option<Instant>,
    /// Time since which this instance reaches less than half of the registered ones.
    minority_since: Option<Instant>,
    /// Number of the newest bucket.
    last_number: u32,
}

impl TeamQuotas {
    /// Creates an empty set of buckets for limits that hold in every `window`.
    pub fn new(window: LimitWindow) -> Self {
        Self {
            window,
            buckets: HashMap::new(),
            reachable_fraction: 0.0,
            instance_fraction: 0.0,
            askers: HashMap::new(),
            recorded_at: None,
            unchanged_since: None,
            minority_since: None,
            last_number: 0,
        }
    }

    /// Records how many of the registered instances this one reaches, itself included.
    ///
    /// Must be called at least every 800 ms (`OWNERSHIP_TIMEOUT`); after a longer gap, as when the
    /// process was suspended, all buckets are dropped.
    pub fn record_reachable(&mut self, reached: usize, registered: usize, now: Instant) {
        if self.recorded_at.is_some_and(|at| now.saturating_duration_since(at) > OWNERSHIP_TIMEOUT)
        {
            self.buckets.clear();
            self.unchanged_since = Some(now);
        }
        self.recorded_at = Some(now);
        self.askers.retain(|_, at| now.saturating_duration_since(*at) < ASKER_TTL);
        let is_minority = 2 * reached < registered;
        self.minority_since = self.minority_since.or(Some(now)).filter(|_| is_minority);
        self.instance_fraction = 1.0 / registered.max(1) as f64;
        let fraction = reached.min(registered) as f64 * self.instance_fraction;
        if std::mem::replace(&mut self.reachable_fraction, fraction) != fraction {
            self.unchanged_since = Some(now);
        }
    }

    /// Records that a team may have another quota owner than before.
    ///
    /// A team's bucket is created with the first request. Its tokens count from this time on, as the
    /// owner before may have admitted a whole burst, also just after the first start of all instances.
    pub fn record_owner_change(&mut self, now: Instant) {
        self.unchanged_since = Some(now);
    }

    /// Records that an instance asks this one because it does not reach the quota owner.
    pub fn record_asker(&mut self, asker: u64, now: Instant) {
        self.askers.insert(asker, now);
    }

    /// Returns the fraction of registered instances that this one reaches, itself included.
    pub fn reachable_fraction(&self) -> f64 {
        self.reachable_fraction
    }

    /// Takes a token for one operation of a team and returns the delay after which it may start.
    ///
    /// Returns the time after which a retry would succeed if the delay exceeds the longest wait.
    pub fn take(
        &mut self,
        team: &str,
        limit: TeamLimit,
        request: TokenRequest,
        now: Instant,
    ) -> Result<Duration, InsufficientTokens> {
        let bucket = &mut self.bucket(team, limit, &request, now).tokens;
        let reserved_levels = request.priority_rank.min(MAX_RESERVED_LEVELS) as f64;
        let reserved_tokens = bucket.burst() * PRIORITY_RESERVE_FRACTION * reserved_levels;
        bucket.reserve(1.0, reserved_tokens, request.max_wait, now)
    }

    /// Returns the number of the bucket that a team's tokens come from; zero without one.
    pub fn bucket_number(&self, team: &str, share: LimitShare) -> u32 {
        let bucket = self.buckets.get(&share).and_then(|buckets| buckets.get(team));
        bucket.map_or(0, |bucket| bucket.number)
    }

    /// Takes back the token of an operation that did not run, taken by [`Self::take_with_floors`];
    /// returns false if the bucket that it came from is gone or the team is over its limit.
    ///
    /// Load: members refuse for a moment, as after a loss of power, and the retries of a team within
    /// its limit found no tokens left.
    ///
    /// The bucket then holds at most what it would hold if the token had not been taken. A team over
    /// its limit would use each returned token at once, and reads that are repeated at another member
    /// run more than once for a token, so it would run more than its limit.
    pub fn return_token(
        &mut self,
        team: &str,
        share: LimitShare,
        bucket_number: u32,
        rank: usize,
        now: Instant,
    ) -> bool {
        let bucket = self.buckets.get_mut(&share).and_then(|buckets| buckets.get_mut(team));
        let Some(bucket) = bucket.filter(|bucket| bucket.number == bucket_number) else {
            return false;
        };
        let Some(state) = bucket.floors.as_mut().filter(|state| !state.floors.is_over_limit())
        else {
            return false;
        };
        state.floors.withdraw_request(rank);
        bucket.tokens.add_tokens(1.0, now);
        true
    }

    /// Does the same as [`Self::take`], with a floor for each lower priority.
    ///
    /// `refused_before` is the number of requests of the same team and priority that the asking
    /// instance has refused by itself since its last request.
    pub fn take_with_floors(
        &mut self,
        team: &str,
        limit: TeamLimit,
        request: TokenRequest,
        refused_before: u32,
        now: Instant,
    ) -> Result<Duration, TokenRefusal> {
        let bucket = self.bucket(team, limit, &request, now);
        let state = bucket.floors.get_or_insert_with(|| TeamFloors {
            floors: PriorityFloors::new(now),
            was_over_limit: false,
        });
        if std::mem::replace(&mut bucket.limit, limit) != limit {
            state.floors.reset_limit(now);
        }
        let request = FloorRequest {
            rank: request.priority_rank,
            max_wait: request.max_wait,
            refused_before,
        };
        state.floors.take(&mut bucket.tokens, &request, now)
    }

    /// Records of which teams this instance is the quota owner.
    ///
    /// While another instance was the owner, the bucket here has refilled although the team was
    /// admitted there. When the instance becomes the owner again, the bucket therefore holds at
    /// most what a new one starts with.
    pub fn record_ownership(&mut self, mut is_owner: impl FnMut(&str) -> bool, now: Instant) {
        let Some(buckets) = self.buckets.get_mut(&LimitShare::Reachable) else {
            return;
        };
        for (team, bucket) in buckets {
            let is_owner = is_owner(team);
            if std::mem::replace(&mut bucket.was_owner, is_owner) || !is_owner {
                continue;
            }
            let initial = bucket.limit.initial_tokens(self.window) * self.reachable_fraction;
            let excess = bucket.tokens.available(now) - initial;
            bucket.tokens.take_up_to(excess, now);
            self.last_number += 1;
            bucket.number = self.last_number;
            if let Some(state) = &mut bucket.floors {
                state.floors.reset_limit(now);
            }
        }
    }

    /// Returns the teams whose load crossed their limit since the last call.
    pub fn take_load_changes(&mut self, now: Instant) -> Vec<TeamLoadChange> {
        let mut changes = Vec::new();
        let Some(buckets) = self.buckets.get_mut(&LimitShare::Reachable) else {
            return changes;
        };
        for (team, bucket) in buckets {
            let Some(state) = &mut bucket.floors else {
                continue;
            };
            state.floors.advance(&bucket.tokens, now);
            let is_over_limit = state.floors.is_over_limit();
            if std::mem::replace(&mut state.was_over_limit, is_over_limit) != is_over_limit {
                changes.push(TeamLoadChange {
                    team: team.clone(),
                    is_over_limit,
                    demand_rate: state.floors.demand_rate(),
                    admitted_rate: bucket.tokens.rate(),
                });
            }
        }
        changes
    }

    /// Returns whether another quota owner may admit the same part of the limit meanwhile.
    fn is_beside_owner(&self, request: &TokenRequest, now: Instant) -> bool {
        let is_recent = |since| now.saturating_duration_since(since) < HANDOVER_DELAY;
        match request.share {
            LimitShare::Reachable => {
                !request.is_starting && self.minority_since.is_some_and(is_recent)
            }
            LimitShare::Substitute | LimitShare::OneInstance => true,
        }
    }

    /// Returns the bucket of a team, with the size that its limit has now.
    fn bucket(
        &mut self,
        team: &str,
        limit: TeamLimit,
        request: &TokenRequest,
        now: Instant,
    ) -> &mut TeamBucket {
        let fraction = match request.share {
            LimitShare::Reachable => self.reachable_fraction,
            LimitShare::Substitute => {
                let asking = self.askers.len().max(1) as f64 * self.instance_fraction;
                asking.min(self.reachable_fraction)
            }
            LimitShare::OneInstance => self.instance_fraction.min(self.reachable_fraction),
        };
        let initial_tokens = limit.initial_tokens(self.window) * fraction;
        let (rate, burst) = limit.bucket_parameters(self.window);
        let (rate, burst) = match self.is_beside_owner(request, now) {
            false => (rate * fraction, (burst * fraction).max(1.0)),
            true => (rate * fraction * BESIDE_OWNER_RATE_FRACTION, initial_tokens.max(1.0)),
        };
        let buckets = self.buckets.entry(request.share).or_default();
        if !buckets.contains_key(team) {
            // Where nobody else has admitted the team since, the bucket has refilled unseen.
            let refills_since = match request.share {
                LimitShare::Reachable => self.unchanged_since.unwrap_or(now),
                LimitShare::Substitute | LimitShare::OneInstance => now,
            };
            let mut tokens = TokenBucket::empty(rate, burst, refills_since);
            tokens.add_tokens(initial_tokens, refills_since);
            self.last_number += 1;
            let number = self.last_number;
            let bucket =
                TeamBucket { number, limit, tokens, initial_tokens, was_owner: true, floors: None };
            buckets.insert(team.to_owned(), bucket);
        }
        let bucket = buckets.get_mut(team).expect("the bucket was inserted");
        bucket.tokens.resize(rate, burst, now);
        // The first request of a substitute comes from one of the instances that will ask it.
        let may_grow = request.is_starting || request.share == LimitShare::Substitute;
        if may_grow && initial_tokens > bucket.initial_tokens {
            bucket.tokens.add_tokens(initial_tokens - bucket.initial_tokens, now);
            bucket.initial_tokens = initial_tokens;
        }
        bucket
    }
}
