//! Stand-ins for the outside systems: database groups and the platform's services.
//!
//! They serve tests, measurements and the first try. Faults are switched over HTTP while they run.

pub mod control;
pub mod fault;
pub mod fleet;
pub mod group;
pub mod member;
pub mod platform;
pub mod session;
pub mod sqlite;
pub mod type_inference;
pub mod value;
