//! Administration API, which replaces the document of one environment by conditional writes.

pub mod api;
pub mod diff;
pub mod instances;
pub mod settings;
