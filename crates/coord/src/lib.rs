//! Coordination layer: decisions as deterministic state machines.
//!
//! An event and the time go in, decisions or effects come out. Nothing here performs input or
//! output, reads a clock or starts a thread; random numbers come from a generator passed in.

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
