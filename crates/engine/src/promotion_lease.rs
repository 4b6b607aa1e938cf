//! Promotion lease: acquired when it is vacant, renewed before it expires, released when leaving.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use coord::lease_claim::{ClaimDecision, LeaseClaim, LeaseRow, lowest_token};
use coord::membership::MemberStatus;
use coord::promotion_order::PromotionOrder;
use coord::token_range::{TokenRange, range_end};
use state::store_version::StoreVersion;
use telemetry::event::LogEvent;
use telemetry::log_event;
use tokio::sync::Mutex;

use crate::instance::{EngineTypes, GatewayInstance};
use crate::interface::{LeaseWrite, PlatformApi};
use crate::record::PromotionLease;

/// Validity of the promotion lease; bounds how long a crashed holder blocks failover.
const LEASE_TTL: Duration = Duration::from_secs(3);
/// Time before the expiry of the lease at which it is renewed.
const RENEWAL_MARGIN: Duration = Duration::from_millis(1_800);
/// Delay before a failed read or write of the lease is retried.
const LEASE_RETRY_BACKOFF: Duration = Duration::from_millis(400);
/// Time without a known lease holder after which the lease is read and acquired.
const VACANCY_GRACE_PERIOD: Duration = Duration::from_millis(500);
/// Further time for each instance before this one in the order of election. The first one may not
/// reach the store, and would otherwise leave the lease vacant.
const SUCCESSOR_DELAY: Duration = Duration::from_secs(1);
/// Most orders that one lease holds, so that its row stays within the limit of the store.
const MAX_LEASE_ORDERS: usize = 100;
/// Rendezvous hash key that elects the instance which acquires the lease.
const COORDINATOR_ELECTION_KEY: &str = "promotion";

/// Promotion lease as last written by this instance.
#[derive(Debug, Default)]
pub(crate) struct HeldLease {
    pub(crate) lease: PromotionLease,
    pub(crate) claim: LeaseClaim,
    pub(crate) version: StoreVersion,
    /// Local time until which the lease counts as valid, from the time its write was sent.
    pub(crate) valid_until: Option<Instant>,
    /// Tokens that the lease reserves.
    pub(crate) tokens: TokenRange,
    /// An order was rejected, which may mean that another instance has used a higher token.
    pub(crate) was_rejected: bool,
    /// Time of the last read or write that has not succeeded; in the future if the next attempt is
    /// postponed until the lease of another instance expires.
    attempted_at: Option<Instant>,
}

/// Promotion lease of this instance, shared by the tasks that write it.
#[derive(Debug, Default)]
pub(crate) struct LeaseKeeper {
    pub(crate) held: RefCell<HeldLease>,
    /// Held while the lease is written, as each write expects the version of the last one.
    writer: Mutex<()>,
}

impl<E: EngineTypes> GatewayInstance<E> {
    /// Acquires the lease when no instance holds it, and renews it before it expires.
    pub(crate) async fn maintain_lease(
        &self,
        keeper: &LeaseKeeper,
        vacant_since: &mut Option<Instant>,
    ) {
        let now = self.now();
        let (valid_until, attempted_at) = {
            let held = keeper.held.borrow();
            (held.valid_until, held.attempted_at)
        };
        let backing_off =
            attempted_at.is_some_and(|at| now.saturating_duration_since(at) < LEASE_RETRY_BACKOFF);
        if backing_off {
            return;
        }
        let own_token = keeper.held.borrow().lease.token;
        let is_held =
            |status: &MemberStatus| status.promotion_token.is_some_and(|token| token > own_token);
        let held_by_peer = self.peers.membership.borrow().any_live_peer(is_held);
        if held_by_peer {
            keeper.held.borrow_mut().claim.record_holder();
        }
        if self.promotion_token().is_some() {
            let expires_at = valid_until.unwrap_or(now);
            if held_by_peer {
                // The store came back older, and gave the version of the row out again.
                self.drop_lease(keeper, "another instance holds a newer lease");
            } else if self.has_lost_history(keeper) {
                // Another row may have the version of this lease now.
                self.drop_lease(keeper, "the store came back older");
            } else if now + RENEWAL_MARGIN >= expires_at {
                self.renew_lease(keeper).await;
            }
            return;
        }
        let may_acquire = !held_by_peer && self.knows_holders();
        let Some(rank) = self.coordinator_rank().filter(|_| may_acquire) else {
            *vacant_since = None;
            return;
        };
        let since = *vacant_since.get_or_insert(now);
        if now.saturating_duration_since(since) >= VACANCY_GRACE_PERIOD + SUCCESSOR_DELAY * rank {
            self.acquire_lease(keeper).await;
        }
    }

    /// Returns whether the store has come back older since the lease was written.
    fn has_lost_history(&self, keeper: &LeaseKeeper) -> bool {
        let history = keeper.held.borrow().version.history;
        self.store_history.get().is_some_and(|newest| newest > history)
    }

    /// Returns whether this instance has had the chance to hear from the others who holds the lease.
    fn knows_holders(&self) -> bool {
        let is_alone = || self.peers.membership.borrow().known_count() == 1;
        self.peers.is_discovered.get()
            && (is_alone() || self.peers.live_count() > 1 || !self.is_starting())
    }

    /// Returns the place of this instance among those that acquire a vacant lease.
    pub(crate) fn coordinator_rank(&self) -> Option<u32> {
        let owners = self.peers.fleet_owners(COORDINATOR_ELECTION_KEY);
        let index = owners.iter().position(|name| name == self.name())?;
        u32::try_from(index).ok()
    }

    async fn acquire_lease(&self, keeper: &LeaseKeeper) {
        let _writer = keeper.writer.lock().await;
        keeper.held.borrow_mut().attempted_at = Some(self.now());
        let snapshot = match self.platform.read_lease().await {
            Ok(snapshot) => snapshot,
            Err(error) => {
                log_event!(LogEvent::PromotionLeaseFailed, "step=read cause=\"{error}\"");
                return;
            }
        };
        let mut current = snapshot.lease.unwrap_or_default();
        for (service, position) in &current.acknowledged {
            self.directory.borrow_mut().record_acknowledged(service, *position);
        }
        for order in &current.orders {
            self.promotion_orders.borrow_mut().merge(order.clone());
        }
        if let Some(row) = &snapshot.refused {
            self.refused_rows.borrow_mut().record("lease", row);
            // The last token is not known, but is lower than this one.
            current.token = lowest_token(snapshot.version.history, snapshot.now_ms);
        }
        // Both times are by the store's clock, so the difference needs no synchronized clocks.
        let row = LeaseRow {
            token: current.token,
            is_own: current.holder == self.name(),
            remaining: Duration::from_millis(current.ends_ms.saturating_sub(snapshot.now_ms)),
            history: snapshot.version.history,
            now_ms: snapshot.now_ms,
        };
        let decision = {
            let claim = &mut keeper.held.borrow_mut().claim;
            claim.record_token(self.peers.membership.borrow().newest_promotion_token());
            claim.decide(row, LEASE_TTL, self.now())
        };
        match decision {
            ClaimDecision::Acquire(token) => {
                self.write_lease(keeper, snapshot.version, snapshot.now_ms, token).await;
            }
            ClaimDecision::Postpone(remaining) => {
                keeper.held.borrow_mut().attempted_at =
                    Some(self.now() + remaining.saturating_sub(LEASE_RETRY_BACKOFF));
            }
        }
    }

    /// Extends the lease, and reserves further tokens.
    pub(crate) async fn renew_lease(&self, keeper: &LeaseKeeper) {
        let _writer = keeper.writer.lock().await;
        let first_token = keeper.held.borrow().tokens.current();
        self.extend_lease(keeper, first_token).await;
    }

    /// Extends the lease with tokens above all that are known, after an order was rejected.
    pub(crate) async fn renew_tokens(&self, keeper: &LeaseKeeper) {
        let _writer = keeper.writer.lock().await;
        let first_token = {
            let mut held = keeper.held.borrow_mut();
            let (history, store_now_ms) = (held.version.history, self.store_time(&held));
            held.claim.record_token(self.peers.membership.borrow().newest_promotion_token());
            held.claim.next_token(history, store_now_ms)
        };
        self.extend_lease(keeper, first_token).await;
    }

    async fn extend_lease(&self, keeper: &LeaseKeeper, first_token: u64) {
        if self.promotion_token().is_none() {
            return;
        }
        let (version, store_now_ms) = {
            let held = keeper.held.borrow();
            (held.version, self.store_time(&held))
        };
        self.write_lease(keeper, version, store_now_ms, first_token).await;
    }

    /// Returns a lower bound of the store's current time, in milliseconds: its clock was at the end of
    /// the lease minus the TTL or later when the last write was sent.
    fn store_time(&self, held: &HeldLease) -> u64 {
        let (now, until) = (self.now(), held.valid_until);
        let remaining = until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
        let overdue = until.map_or(Duration::ZERO, |until| now.saturating_duration_since(until));
        (held.lease.ends_ms + millis(overdue)).saturating_sub(millis(remaining))
    }

    async fn write_lease(
        &self,
        keeper: &LeaseKeeper,
        version: StoreVersion,
        store_now_ms: u64,
        first_token: u64,
    ) {
        let sent_at = self.now();
        keeper.held.borrow_mut().attempted_at = Some(sent_at);
        let token = range_end(first_token);
        let lease = PromotionLease {
            holder: self.name().to_owned(),
            incarnation: self.settings.record.incarnation,
            token,
            ends_ms: store_now_ms + millis(LEASE_TTL),
            acknowledged: self.directory.borrow().lease_positions(),
            orders: self.lease_orders(),
        };
        match self.platform.write_lease(version, &lease).await {
            Ok(LeaseWrite::Written { version: written, .. })
                if written.history != version.history =>
            {
                keeper.held.borrow_mut().claim.record_token(token);
                keeper.held.borrow_mut().claim.record_replacement(self.now());
                self.drop_lease(keeper, "the write replaced a row of a later history");
            }
            Ok(LeaseWrite::Written { version, .. }) => {
                let mut held = keeper.held.borrow_mut();
                held.claim.record_token(token);
                if self.promotion_token().is_none() || held.tokens.current() < first_token {
                    held.tokens = TokenRange::new(first_token);
                    held.was_rejected = false;
                }
                held.tokens.extend(token);
                held.lease = lease;
                held.version = version;
                held.valid_until = Some(sent_at + LEASE_TTL);
                held.attempted_at = None;
                self.set_promotion_token(Some(token));
            }
            Ok(LeaseWrite::Conflict) => self.drop_lease(keeper, "another instance wrote the lease"),
            Err(error) => {
                // The write may have taken effect; the next attempt detects it by the version.
                log_event!(LogEvent::PromotionLeaseFailed, "step=write cause=\"{error}\"");
                self.check_expiry(keeper);
            }
        }
    }

    /// Drops the lease if it expired and an instance that reaches the store may have acquired it.
    fn check_expiry(&self, keeper: &LeaseKeeper) {
        let expired = keeper.held.borrow().valid_until.is_none_or(|until| self.now() > until);
        let may_be_replaced =
            self.peers.membership.borrow().any_live_peer(|status| status.store_reachable);
        if expired && may_be_replaced {
            self.drop_lease(keeper, "the lease expired");
        }
    }

    fn drop_lease(&self, keeper: &LeaseKeeper, cause: &str) {
        if self.promotion_token().is_some() {
            log_event!(LogEvent::PromotionLeaseFailed, "step=keep cause=\"{cause}\"");
        }
        keeper.held.borrow_mut().valid_until = None;
        self.set_promotion_token(None);
    }

    /// Returns the orders that may still be carried out, as many as fit into the lease.
    fn lease_orders(&self) -> Vec<PromotionOrder> {
        let orders = self.promotion_orders.borrow();
        let open = orders.all().filter(|order| !order.is_settled);
        open.take(MAX_LEASE_ORDERS).cloned().collect()
    }

    /// Expires the lease early, so that another instance can acquire it at once.
    pub(crate) async fn release_lease(&self, keeper: &LeaseKeeper) {
        let _writer = keeper.writer.lock().await;
        if self.promotion_token().is_none() {
            return;
        }
        self.set_promotion_token(None);
        if self.has_lost_history(keeper) {
            return;
        }
        let (version, lease) = {
            let held = keeper.held.borrow();
            let orders = self.lease_orders();
            (held.version, PromotionLease { ends_ms: 0, orders, ..held.lease.clone() })
        };
        if let Err(error) = self.platform.write_lease(version, &lease).await {
            log_event!(LogEvent::PromotionLeaseFailed, "step=release cause=\"{error}\"");
        }
    }
}

pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
