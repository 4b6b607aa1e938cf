//! Logging as numbered events, metrics and the settings that all programs share.

pub use log;

pub mod event;
pub mod logging;
pub mod meter;
pub mod program;
pub mod stdout;
