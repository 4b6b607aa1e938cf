//! Randomized soak test: runs real instance processes under injected faults and checks invariants.

pub mod caller;
pub mod fault;
pub mod instance;
pub mod invariants;
pub mod relay;
pub mod run;
