//! Orders to promote: sent with a token of their own, noted before they are sent, and superseded while
//! they may still be carried out.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use coord::promotion::PromotionMachine;
use metrics::counter;
use telemetry::event::LogEvent;
use telemetry::{log_event, meter};
use tokio::time::timeout;

use crate::instance::{EngineTypes, GatewayInstance};
use crate::interface::{PlatformApi, PlatformError, PromotionAnswer};
use crate::promotion_lease::LeaseKeeper;

/// Bounds the wait until the lease names an order that is to be sent; the other instances learn of it
/// from this one as well.
const ORDER_NOTE_TIMEOUT: Duration = Duration::from_millis(150);
/// HTTP status with which the platform answers an order above its rate, which is not carried out.
const TOO_MANY_REQUESTS: u16 = 429;

impl<E: EngineTypes> GatewayInstance<E> {
    /// Returns whether an order to promote a member of a service may still be carried out.
    pub(crate) fn has_open_order(&self, service: &str) -> bool {
        self.promotion_orders.borrow().open(service).is_some()
    }

    /// Requests a promotion and returns whether it was accepted.
    ///
    /// Without an answer, the order may be carried out at any later time, until one with a higher token
    /// is accepted. No order is sent without such a token.
    pub(crate) async fn request_promotion(
        self: &Rc<Self>,
        service: &str,
        endpoint: &str,
        keeper: &Rc<LeaseKeeper>,
    ) -> bool {
        let Some(token) = self.take_fencing_token(service, keeper).await else {
            log_event!(
                LogEvent::PromotionEnded,
                "service={service} endpoint={endpoint} outcome=\"no token\""
            );
            return false;
        };
        let is_first = !self.has_open_order(service);
        if self.directory.borrow().is_synchronous(service) {
            self.promotion_orders.borrow_mut().record_sent(service, endpoint, token);
            if is_first {
                self.publish_order(keeper).await;
            }
        }
        let promoted = self.platform.promote(service, endpoint, self.name(), token).await;
        let (label, outcome) = match &promoted {
            Ok(PromotionAnswer::Accepted) => ("accepted", "accepted".to_owned()),
            Ok(PromotionAnswer::Rejected) => ("rejected", "rejected".to_owned()),
            Err(error) => ("unanswered", error.to_string()),
        };
        let is_accepted = matches!(promoted, Ok(PromotionAnswer::Accepted));
        let is_refused = match promoted {
            Ok(PromotionAnswer::Rejected) => true,
            Err(PlatformError::Refused { status }) => status == TOO_MANY_REQUESTS,
            Ok(PromotionAnswer::Accepted) | Err(_) => false,
        };
        keeper.held.borrow_mut().was_rejected |= label == "rejected";
        // A refused order is not carried out; an earlier one still may be.
        if is_accepted || is_refused && is_first {
            self.promotion_orders.borrow_mut().settle(service, token);
            self.peers.changed.notify_one();
        }
        counter!(meter::PROMOTIONS, "outcome" => label).increment(1);
        log_event!(
            LogEvent::PromotionEnded,
            "service={service} endpoint={endpoint} token={token} outcome=\"{outcome}\""
        );
        is_accepted
    }

    /// Supersedes an order without an answer at once if the member that it was to replace still leads.
    pub(crate) async fn supersede_if_leading(
        self: &Rc<Self>,
        (service, machine, keeper): (&str, &RefCell<PromotionMachine>, &Rc<LeaseKeeper>),
        leader: &str,
    ) {
        if !self.has_open_order(service)
            || !self.probe_member(leader).await.is_some_and(|report| report.leads)
        {
            return;
        }
        if self.request_promotion(service, leader, keeper).await {
            machine.borrow_mut().record_superseded();
        }
    }

    /// Returns a token that no order to the service has had, while the lease is held.
    async fn take_fencing_token(&self, service: &str, keeper: &LeaseKeeper) -> Option<u64> {
        if keeper.held.borrow().was_rejected {
            self.renew_tokens(keeper).await;
        }
        if let Some(token) = self.take_reserved(service, keeper) {
            return Some(token);
        }
        self.renew_lease(keeper).await;
        self.take_reserved(service, keeper)
    }

    fn take_reserved(&self, service: &str, keeper: &LeaseKeeper) -> Option<u64> {
        self.promotion_token()?;
        keeper.held.borrow_mut().tokens.take(service)
    }

    /// Tells the other instances, and the lease, of an order that is about to be sent.
    async fn publish_order(self: &Rc<Self>, keeper: &Rc<LeaseKeeper>) {
        self.peers.changed.notify_one();
        if !self.is_store_reachable() {
            return;
        }
        let (instance, keeper) = (self.clone(), keeper.clone());
        // A write that is given up may take effect, so it goes on by itself.
        let write = tokio::task::spawn_local(async move { instance.renew_lease(&keeper).await });
        let _ = timeout(ORDER_NOTE_TIMEOUT, write).await;
    }
}
