//! Requests that a cold member may get in one second.
//!
//! A member that has just started has empty caches: each statement takes several times as long, and
//! a backlog built up in its first second keeps it slow for many more. Its service states how many
//! requests a second a cold member can take. The load that this module handles is a member that all
//! instances prefer at the moment it returns, because its queue is empty.
//!
//! The connection owner of the member keeps one token bucket. The bound holds over all instances,
//! so the bucket is divided in time and space:
//!
//! - An instance that becomes the owner starts with an empty bucket and, for [`HANDOVER_PERIOD`],
//!   with a part of the bound that a settled owner never uses. The previous owner may still send
//!   meanwhile.
//! - The bucket is scaled by the fraction of instances that the owner reaches. A fraction that grows
//!   takes effect only after [`HANDOVER_PERIOD`], when the owner on the other side has yielded.
//! - An owner that was suspended for [`OWNERSHIP_TIMEOUT`] is a new owner.
//! - An instance that is not the owner sends no new work. Transactions that are open on its
//!   connections when it yields have a small part of their own for [`HANDOVER_PERIOD`].

use std::time::{Duration, Instant};

use state::bucket::TokenBucket;

/// Time for which two instances may both act as the owner of a member: the detection of a lost
/// instance takes up to 0.7 s, and its report to all others a few hundred milliseconds more.
pub const HANDOVER_PERIOD: Duration = Duration::from_millis(1_500);
/// Gap between two observations after which another instance may have become the owner. It is
/// shorter than the 0.5 s of silence after which peers count an instance as lost.
pub const OWNERSHIP_TIMEOUT: Duration = Duration::from_millis(450);

/// Longest period for which a registration may report a member as cold.
const MAX_REPORTED_PERIOD: Duration = Duration::from_secs(24 * 60 * 60);

/// Time after which instances that disagree about the owner mostly agree again.
const DISAGREEMENT_PERIOD: Duration = Duration::from_millis(200);

/// Part of the bound that a settled owner uses.
const SETTLED_PART: f64 = 0.7;
/// Part of the bound that a new owner uses.
const NEW_PART: f64 = 0.2;
/// Part of the bound that open transactions at a previous owner use; the three parts make up one.
const YIELDED_PART: f64 = 0.1;
/// Part of an owner's bound by which statements of open transactions may exceed its tokens.
const DEBT_PART: f64 = 0.1;
/// Factor by which more requests may arrive in a second than were sent in one, when a delay in the
/// network shrinks by a tenth of a second.
const ARRIVAL_FACTOR: f64 = 1.1;

/// Load that a cold member takes over all instances, as configured.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Requests per second that a cold member can take.
    pub rate: f64,
    /// Factor by which the requests of one second may exceed the rate.
    pub overage: f64,
    /// Requests by which they may exceed it, in addition.
    pub slack: f64,
}

impl ColdLimit {
    /// Returns the largest number of requests that may arrive in one second.
    pub fn bound(&self) -> f64 {
        self.rate * self.overage.max(1.0) + self.slack.max(0.0)
    }
}

/// Time for which a member is cold.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdPeriod {
    /// Time at which its process was first seen; `None` if it may have run for long before.
    pub first_seen: Option<Instant>,
    /// End of the period that its registration reported.
    reported_end: Option<Instant>,
}

impl ColdPeriod {
    /// Returns the period of a process that is first seen now, with what it reports.
    ///
    /// While an instance loads its table of endpoints, all processes are new to it, so only what
    /// they report tells whether they are cold.
    pub fn first_seen(remaining: Duration, is_initial_load: bool, now: Instant) -> Self {
        let first_seen = (!is_initial_load).then_some(now);
        Self { first_seen, reported_end: None }.reported(remaining, now)
    }

    /// Returns the period after another registration of the same process.
    pub fn reported(self, remaining: Duration, now: Instant) -> Self {
        let is_reported = !remaining.is_zero() || self.reported_end.is_some();
        let end = now + remaining.min(MAX_REPORTED_PERIOD);
        Self { reported_end: is_reported.then_some(end), ..self }
    }

    /// Returns whether a member whose service is cold for `cold_start` is cold at `now`.
    ///
    /// The longer of both periods counts, unless the process has reported a period that is over.
    pub fn is_cold(&self, cold_start: Duration, now: Instant) -> bool {
        match (self.reported_end, self.first_seen) {
            (Some(end), _) => now < end,
            (None, Some(at)) => now.saturating_duration_since(at) < cold_start,
            (None, None) => false,
        }
    }
}

/// State of the owner's instance, as observed several times a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OwnerView {
    /// This instance is the connection owner of the member, as far as it knows.
    pub is_owner: bool,
    /// Fraction of all registered instances that this one reaches, itself included.
    pub reachable_fraction: f64,
}

/// Kind of a request to a cold member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ColdRequest {
    /// Statements that start new work.
    New,
    /// Statements of an open transaction, which may put the bucket into debt.
    Pinned,
}

/// Tokens taken for a request that is to be sent after `delay`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ColdGrant {
    /// Time to wait before the request is sent.
    pub delay: Duration,
    request: ColdRequest,
    generation: u32,
}

/// Token bucket of a cold member at its connection owner.
#[derive(Clone, Debug)]
pub struct ColdBudget {
    limit: ColdLimit,
    bucket: TokenBucket,
    fraction: f64,
    /// Larger fraction that was observed without interruption since a time, and its minimum.
    rising: Option<(Instant, f64)>,
    owner_since: Option<Instant>,
    /// Time at which this instance stopped being the owner.
    owned_until: Option<Instant>,
    observed_at: Instant,
    /// Incremented when all grants that were not used yet become invalid.
    generation: u32,
}

impl ColdBudget {
    /// Creates an empty budget.
    pub fn new(limit: ColdLimit, view: OwnerView, now: Instant) -> Self {
        let mut budget = Self {
            limit,
            bucket: TokenBucket::empty(0.0, 0.0, now),
            fraction: view.reachable_fraction,
            rising: None,
            owner_since: None,
            owned_until: None,
            observed_at: now,
            generation: 0,
        };
        budget.observe(limit, view, now);
        budget
    }

    /// Updates the limit and the state of the owner's instance.
    ///
    /// Must be called at least every [`OWNERSHIP_TIMEOUT`]; after a longer gap, as when the process
    /// was suspended, the bucket starts anew.
    pub fn observe(&mut self, limit: ColdLimit, view: OwnerView, now: Instant) {
        self.restart_after_gap(now);
        self.observed_at = now;
        self.limit = limit;
        match (view.is_owner, self.owner_since) {
            (true, None) => {
                self.bucket.take_up_to(f64::INFINITY, now);
                self.owner_since = Some(now);
            }
            (false, Some(_)) => {
                self.owner_since = None;
                self.owned_until = Some(now);
            }
            _ => {}
        }
        self.record_fraction(view.reachable_fraction, now);
        self.resize(now);
    }

    /// Takes `cost` tokens that are available within `max_wait`, or returns the time after which a
    /// retry may succeed.
    pub fn reserve(
        &mut self,
        cost: f64,
        request: ColdRequest,
        max_wait: Duration,
        now: Instant,
    ) -> Result<ColdGrant, Duration> {
        self.restart_after_gap(now);
        self.resize(now);
        if self.owner_since.is_none() && request == ColdRequest::New {
            return Err(DISAGREEMENT_PERIOD);
        }
        if self.bucket.rate() <= 0.0 {
            return Err(HANDOVER_PERIOD);
        }
        let min_remaining = match request {
            ColdRequest::New => 0.0,
            ColdRequest::Pinned => -(self.part(now) * DEBT_PART),
        };
        let reserved = self.bucket.reserve(cost, min_remaining, max_wait, now);
        let generation = self.generation;
        reserved
            .map(|delay| ColdGrant { delay, request, generation })
            .map_err(|error| error.retry_after)
    }

    /// Returns the delay after which new work of this cost would be sent if it came now.
    pub fn expected_delay(&mut self, cost: f64, now: Instant) -> Duration {
        let missing = cost - self.bucket.available(now);
        if self.owner_since.is_none() {
            return DISAGREEMENT_PERIOD;
        }
        if self.bucket.rate() <= 0.0 {
            return HANDOVER_PERIOD;
        }
        Duration::from_secs_f64((missing / self.bucket.rate()).clamp(0.0, 60.0))
    }

    /// Takes tokens for a control statement that is sent in any case, such as a rollback.
    pub fn charge(&mut self, cost: f64, now: Instant) {
        // The wait is unbounded, so the tokens are taken; nothing waits for the delay.
        let _ = self.bucket.reserve(cost, 0.0, Duration::MAX, now);
    }

    /// Returns whether a request may still be sent after the delay of its grant.
    ///
    /// It may not if the process was suspended meanwhile or another instance is the owner now.
    pub fn is_valid(&mut self, grant: ColdGrant, now: Instant) -> bool {
        self.restart_after_gap(now);
        let is_owner = self.owner_since.is_some();
        grant.generation == self.generation && (is_owner || grant.request == ColdRequest::Pinned)
    }

    fn restart_after_gap(&mut self, now: Instant) {
        if now.saturating_duration_since(self.observed_at) > OWNERSHIP_TIMEOUT {
            self.observed_at = now;
            self.owner_since = self.owner_since.and(Some(now));
            self.generation = self.generation.wrapping_add(1);
            self.bucket = TokenBucket::empty(0.0, 0.0, now);
        }
    }

    fn record_fraction(&mut self, fraction: f64, now: Instant) {
        if fraction <= self.fraction {
            (self.fraction, self.rising) = (fraction, None);
            return;
        }
        let (since, lowest) = self.rising.unwrap_or((now, fraction));
        let lowest = lowest.min(fraction);
        if now.saturating_duration_since(since) >= HANDOVER_PERIOD {
            (self.fraction, self.rising) = (lowest, None);
        } else {
            self.rising = Some((since, lowest));
        }
    }

    /// Returns the requests that this owner may send in one second.
    fn part(&self, now: Instant) -> f64 {
        let is_over = |at: Instant| now.saturating_duration_since(at) >= HANDOVER_PERIOD;
        let part = match (self.owner_since, self.owned_until) {
            (Some(since), _) if is_over(since) => SETTLED_PART,
            (Some(_), _) => NEW_PART,
            (None, Some(until)) if !is_over(until) => YIELDED_PART,
            (None, _) => 0.0,
        };
        self.limit.bound() * part * self.fraction
    }

    /// Divides the owner's part into rate, burst and debt, which together make up the part.
    ///
    /// An owner whose part is less than one request a second sends none: many of them, each with a
    /// single request, would exceed the bound together.
    fn resize(&mut self, now: Instant) {
        let part = self.part(now);
        let sendable = part * (1.0 - DEBT_PART);
        if sendable < 1.0 {
            self.bucket.resize(0.0, 0.0, now);
            return;
        }
        let rate = ((sendable - 1.0) / ARRIVAL_FACTOR).min(self.limit.rate * self.fraction);
        let burst = sendable - rate * ARRIVAL_FACTOR;
        self.bucket.resize(rate, burst, now);
    }
}
