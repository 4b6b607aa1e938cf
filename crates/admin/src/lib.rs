//! Administration API: one document per environment, changed by conditional writes.

pub mod api;
pub mod diff;
pub mod instances;
pub mod settings;
