//! Coordination layer: failover, quotas, queues and placement as deterministic state machines.
//!
//! Each takes an event and the current time, and returns decisions or effects. None performs I/O,
//! reads a clock, starts a thread or draws random numbers of its own.

pub mod failover;
pub mod freshness;
pub mod ledger;
pub mod placement;
pub mod priority;
pub mod promotion;
pub mod queue;
pub mod quota;
pub mod rendezvous;
pub mod routing;
pub mod session;
pub mod validation;
pub mod watermark;
