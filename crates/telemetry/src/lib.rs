//! Numbered log events, metrics, and the startup and settings shared by all programs.

pub use log;

pub mod event;
pub mod logging;
pub mod meter;
pub mod program;
pub mod recorder;
pub mod stdout;
