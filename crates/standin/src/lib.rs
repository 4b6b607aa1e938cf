//! Stand-ins for the outside systems: replicated databases and the platform's services.
//!
//! `gateway_platform` stands in for those of `hibiscus-gateway`, the other modules for those of
//! `hibiscus-proxy`.
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
