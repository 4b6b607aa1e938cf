//! Promotion lease: acquired when it is vacant, renewed before it expires, released when leaving.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use coord::lease_claim::{ClaimDecision, LeaseClaim, LeaseRow, lowest_token};
use coord::membership::MemberStatus;
use state::store_version::StoreVersion;
use telemetry::event::LogEvent;
use telemetry::log_event;

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
    /// The token was used by a promotion that may still take effect, and must be incremented before
    /// the next one.
    pub(crate) token_used: bool,
    /// Time of the last read or write that has not succeeded; in the future if the next attempt is
    /// postponed until the lease of another instance expires.
    attempted_at: Option<Instant>,
}

impl<E: EngineTypes> GatewayInstance<E> {
    /// Acquires the lease when no instance holds it, and renews it before it expires.
    pub(crate) async fn maintain_lease(
        &self,
        held: &RefCell<HeldLease>,
        vacant_since: &mut Option<Instant>,
    ) {
        let now = self.now();
        let (valid_until, attempted_at) = {
            let held = held.borrow();
            (held.valid_until, held.attempted_at)
        };
        let backing_off =
            attempted_at.is_some_and(|at| now.saturating_duration_since(at) < LEASE_RETRY_BACKOFF);
        if backing_off {
            return;
        }
        let own_token = held.borrow().lease.token;
        let is_held =
            |status: &MemberStatus| status.promotion_token.is_some_and(|token| token > own_token);
        let held_by_peer = self.peers.membership.borrow().any_live_peer(is_held);
        if held_by_peer {
            held.borrow_mut().claim.record_holder();
        }
        if self.promotion_token().is_some() {
            let expires_at = valid_until.unwrap_or(now);
            if held_by_peer {
                // The store came back older, and gave the version of the row out again.
                self.drop_lease(held, "another instance holds a newer lease");
            } else if self.has_lost_history(held) {
                // Another row may have the version of this lease now.
                self.drop_lease(held, "the store came back older");
            } else if now + RENEWAL_MARGIN >= expires_at {
                self.renew_lease(held).await;
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
            self.acquire_lease(held).await;
        }
    }

    /// Returns whether the store has come back older since the lease was written.
    fn has_lost_history(&self, held: &RefCell<HeldLease>) -> bool {
        let history = held.borrow().version.history;
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

    async fn acquire_lease(&self, held: &RefCell<HeldLease>) {
        held.borrow_mut().attempted_at = Some(self.now());
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
            let claim = &mut held.borrow_mut().claim;
            claim.record_token(self.peers.membership.borrow().newest_promotion_token());
            claim.decide(row, LEASE_TTL, self.now())
        };
        match decision {
            ClaimDecision::Acquire(token) => {
                self.write_lease(held, snapshot.version, snapshot.now_ms, token).await;
            }
            ClaimDecision::Postpone(remaining) => {
                held.borrow_mut().attempted_at =
                    Some(self.now() + remaining.saturating_sub(LEASE_RETRY_BACKOFF));
            }
        }
    }

    async fn renew_lease(&self, held: &RefCell<HeldLease>) {
        let (version, token, ends_ms, valid_until) = {
            let held = held.borrow();
            (held.version, held.lease.token, held.lease.ends_ms, held.valid_until)
        };
        let now = self.now();
        // Lower bound of the store's current time: its clock was at `ends_ms` minus the TTL or
        // later when the last write was sent.
        let remaining =
            valid_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
        let overdue =
            valid_until.map_or(Duration::ZERO, |until| now.saturating_duration_since(until));
        let store_now_ms = (ends_ms + millis(overdue)).saturating_sub(millis(remaining));
        self.write_lease(held, version, store_now_ms, token).await;
    }

    pub(crate) async fn write_lease(
        &self,
        held: &RefCell<HeldLease>,
        version: StoreVersion,
        store_now_ms: u64,
        token: u64,
    ) {
        let sent_at = self.now();
        held.borrow_mut().attempted_at = Some(sent_at);
        let lease = PromotionLease {
            holder: self.name().to_owned(),
            incarnation: self.settings.record.incarnation,
            token,
            ends_ms: store_now_ms + millis(LEASE_TTL),
            acknowledged: self.directory.borrow().lease_positions(),
        };
        match self.platform.write_lease(version, &lease).await {
            Ok(LeaseWrite::Written { version: written, .. })
                if written.history != version.history =>
            {
                held.borrow_mut().claim.record_token(token);
                held.borrow_mut().claim.record_replacement(self.now());
                self.drop_lease(held, "the write replaced a row of a later history");
            }
            Ok(LeaseWrite::Written { version, .. }) => {
                let mut held = held.borrow_mut();
                held.token_used &= held.lease.token == token;
                held.claim.record_token(token);
                held.lease = lease;
                held.version = version;
                held.valid_until = Some(sent_at + LEASE_TTL);
                held.attempted_at = None;
                self.set_promotion_token(Some(token));
            }
            Ok(LeaseWrite::Conflict) => self.drop_lease(held, "another instance wrote the lease"),
            Err(error) => {
                // The write may have taken effect; the next attempt detects it by the version.
                log_event!(LogEvent::PromotionLeaseFailed, "step=write cause=\"{error}\"");
                self.check_expiry(held);
            }
        }
    }

    /// Drops the lease if it expired and an instance that reaches the store may have acquired it.
    fn check_expiry(&self, held: &RefCell<HeldLease>) {
        let expired = held.borrow().valid_until.is_none_or(|until| self.now() > until);
        let may_be_replaced =
            self.peers.membership.borrow().any_live_peer(|status| status.store_reachable);
        if expired && may_be_replaced {
            self.drop_lease(held, "the lease expired");
        }
    }

    fn drop_lease(&self, held: &RefCell<HeldLease>, cause: &str) {
        if self.promotion_token().is_some() {
            log_event!(LogEvent::PromotionLeaseFailed, "step=keep cause=\"{cause}\"");
        }
        held.borrow_mut().valid_until = None;
        self.set_promotion_token(None);
    }

    /// Expires the lease early, so that another instance can acquire it at once.
    pub(crate) async fn release_lease(&self, held: &RefCell<HeldLease>) {
        if self.promotion_token().is_none() {
            return;
        }
        self.set_promotion_token(None);
        if self.has_lost_history(held) {
            return;
        }
        let (version, lease) = {
            let held = held.borrow();
            (held.version, PromotionLease { ends_ms: 0, ..held.lease.clone() })
        };
        if let Err(error) = self.platform.write_lease(version, &lease).await {
            log_event!(LogEvent::PromotionLeaseFailed, "step=release cause=\"{error}\"");
        }
    }
}

pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
