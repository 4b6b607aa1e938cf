//! Fencing tokens that the holder of the promotion lease may use.
//!
//! The lease row reserves them ahead, so that an order which must supersede an earlier one needs no
//! write to the store. An order whose answer is lost may be carried out later, and one with the same
//! token does not supersede it, so no service gets two orders with one token.

use std::collections::HashMap;

/// Tokens that one write of the lease reserves.
///
/// Tokens start at the store's clock in milliseconds, so a range must not reach further than the
/// lease is valid: a holder that does not know the row starts above it all the same.
pub const RESERVED_TOKENS: u64 = 1_000;

/// Returns the last token of a range that starts with this one.
pub fn range_end(first: u64) -> u64 {
    first.saturating_add(RESERVED_TOKENS - 1)
}

/// Range of tokens, which are given out in ascending order.
#[derive(Clone, Debug, Default)]
pub struct TokenRange {
    current: u64,
    end: u64,
    /// Token of the last order to each service.
    last_used: HashMap<String, u64>,
}

impl TokenRange {
    /// Creates the range that starts with this token.
    pub fn new(first: u64) -> Self {
        Self { current: first, end: range_end(first), last_used: HashMap::new() }
    }

    /// Returns the token of the last order, or the first one of the range.
    pub fn current(&self) -> u64 {
        self.current
    }

    /// Extends the range to this token.
    pub fn extend(&mut self, end: u64) {
        self.end = self.end.max(end);
    }

    /// Returns a token that no order to the service has had; `None` if the range is used up.
    pub fn take(&mut self, service: &str) -> Option<u64> {
        let is_used = self.last_used.get(service).is_some_and(|last| *last >= self.current);
        let token = self.current + u64::from(is_used);
        if token > self.end {
            return None;
        }
        self.current = token;
        self.last_used.insert(service.to_owned(), token);
        Some(token)
    }
}
