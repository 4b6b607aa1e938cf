//! Orders to promote that may still be carried out.
//!
//! An order without an answer may be carried out later, also after its sender has ended. It is refused
//! only once an order with a higher token was accepted. Instances therefore tell each other of the last
//! order of each service, and a new holder of the promotion lease supersedes the open ones.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Last order to promote a member of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PromotionOrder {
    /// Service.
    pub service: String,
    /// Member that the order names; for an order that supersedes another one, the member of that one.
    pub endpoint: String,
    /// Fencing token.
    pub token: u64,
    /// Neither this order nor an earlier one can be carried out any more.
    pub is_settled: bool,
}

/// Last orders of all services.
#[derive(Clone, Debug, Default)]
pub struct PromotionOrders {
    orders: BTreeMap<String, PromotionOrder>,
}

impl PromotionOrders {
    /// Returns the last order of a service if it may still be carried out.
    pub fn open(&self, service: &str) -> Option<&PromotionOrder> {
        self.orders.get(service).filter(|order| !order.is_settled)
    }

    /// Returns the last orders of all services.
    pub fn all(&self) -> impl Iterator<Item = &PromotionOrder> {
        self.orders.values()
    }

    /// Records an order that is about to be sent.
    ///
    /// If an earlier one is open, the new one names its member: it stays the one that may be promoted
    /// late.
    pub fn record_sent(&mut self, service: &str, endpoint: &str, token: u64) {
        let earlier = self.open(service).map(|order| order.endpoint.clone());
        let endpoint = earlier.unwrap_or_else(|| endpoint.to_owned());
        let service = service.to_owned();
        self.merge(PromotionOrder { service, endpoint, token, is_settled: false });
    }

    /// Records that neither the order with this token nor an earlier one can be carried out any more:
    /// it was accepted, or refused while no other was open.
    pub fn settle(&mut self, service: &str, token: u64) {
        if let Some(order) = self.orders.get_mut(service)
            && order.token <= token
        {
            (order.token, order.is_settled) = (token, true);
        }
    }

    /// Records what another instance or the lease says; returns whether it is newer.
    pub fn merge(&mut self, order: PromotionOrder) -> bool {
        let rank = |order: &PromotionOrder| (order.token, order.is_settled);
        let is_newer =
            self.orders.get(&order.service).is_none_or(|known| rank(known) < rank(&order));
        if is_newer {
            self.orders.insert(order.service.clone(), order);
        }
        is_newer
    }
}
