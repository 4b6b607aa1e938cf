//! Stand-ins for the outside systems: database groups and the platform's services.
//!
//! They serve tests, measurements and the first try. Faults are switched over HTTP while they run.

pub mod control;
pub mod engine;
pub mod fault;
pub mod gateway_platform;
pub mod group;
pub mod infer;
pub mod member;
pub mod platform;
pub mod session;
pub mod value;
