//! Randomized soak: real instances as processes, faults from outside, promises checked meanwhile.

pub mod caller;
pub mod fault;
pub mod instance;
pub mod invariants;
pub mod relay;
pub mod run;
