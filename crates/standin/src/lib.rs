//! Stand-ins for the outside systems: replicated databases and the platform's services.
//!
//! Tests, benchmarks and local trials use them. Faults can be injected at run time over HTTP.

pub mod control;
pub mod fault;
pub mod gateway_platform;
pub mod group;
pub mod member;
pub mod platform;
pub mod session;
pub mod sqlite;
pub mod type_inference;
pub mod value;
