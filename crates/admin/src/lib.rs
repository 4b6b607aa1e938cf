//! Administration API: one document per environment, changed by conditional writes.

pub mod api;
pub mod fleet;
pub mod plan;
pub mod settings;
