//! Proxy instance: callers' sessions, routing to members and its part of the coordination.

pub mod cancel;
pub mod counters;
pub mod database;
pub mod document;
pub mod drain;
pub mod exposition;
pub mod instance;
pub mod limiter;
pub mod listener;
pub mod parameter;
pub mod session;
pub mod settings;
pub mod startup;
pub mod watcher;
