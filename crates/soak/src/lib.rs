//! Randomized soak test: runs real instance processes under injected faults and checks invariants.

pub mod caller;
pub mod document;
mod document_probe;
pub mod fault;
pub mod instance;
pub mod invariants;
mod long_caller;
pub mod planned_stop;
pub mod relay;
pub mod run;
mod store_drill;
