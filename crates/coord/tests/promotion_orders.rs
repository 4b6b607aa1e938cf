//! Orders to promote that may be carried out late, and the fencing tokens that supersede them.

use coord::promotion_order::{PromotionOrder, PromotionOrders};
use coord::token_range::{RESERVED_TOKENS, TokenRange, range_end};

const SERVICE: &str = "bookings";

fn order(token: u64, is_settled: bool) -> PromotionOrder {
    let (service, endpoint) = (SERVICE.to_owned(), "m-2".to_owned());
    PromotionOrder { service, endpoint, token, is_settled }
}

// Two orders with one token do not supersede each other (review/13).
#[test]
fn no_service_gets_two_orders_with_one_token() {
    let mut range = TokenRange::new(100);
    let tokens: Vec<u64> = (0..=RESERVED_TOKENS).map_while(|_| range.take(SERVICE)).collect();
    assert!(tokens.is_sorted_by(|first, second| first < second));
    assert_eq!(tokens.len() as u64, RESERVED_TOKENS);
    assert_eq!(tokens.last(), Some(&range_end(100)));
    range.extend(range_end(range.current()));
    assert_eq!(range.take(SERVICE), Some(range_end(100) + 1));
}

#[test]
fn services_share_tokens_that_never_decrease() {
    let mut range = TokenRange::new(100);
    let taken = ["a", "b", "a", "b", "c", "c"].map(|service| range.take(service));
    assert_eq!(taken, [100, 100, 101, 101, 101, 102].map(Some));
}

#[test]
fn an_order_stays_open_until_a_later_one_is_accepted() {
    let mut orders = PromotionOrders::default();
    orders.record_sent(SERVICE, "m-2", 5);
    orders.record_sent(SERVICE, "m-1", 6);
    let open = orders.open(SERVICE).expect("the orders are open");
    assert_eq!((open.endpoint.as_str(), open.token), ("m-2", 6));
    orders.settle(SERVICE, 5);
    assert!(orders.open(SERVICE).is_some(), "the later order has no answer");
    orders.settle(SERVICE, 6);
    assert!(orders.open(SERVICE).is_none());
}

// An instance that was cut off reported an order that had been superseded meanwhile.
#[test]
fn what_others_report_never_brings_an_order_back() {
    let mut orders = PromotionOrders::default();
    assert!(orders.merge(order(5, false)));
    assert!(orders.merge(order(5, true)));
    assert!(!orders.merge(order(5, false)) && !orders.merge(order(4, false)));
    assert!(orders.open(SERVICE).is_none());
    assert!(orders.merge(order(6, false)) && orders.open(SERVICE).is_some());
}
