//! Proxy instance: callers' sessions, routing to members, and coordination with other instances.

pub mod allotment;
pub mod beat;
pub mod cancel;
pub mod census;
pub mod counters;
pub mod database;
pub mod document;
pub mod drain;
pub mod exposition;
pub mod instance;
pub mod limiter;
pub mod listener;
pub mod parameter;
pub mod peers;
pub mod service;
pub mod session;
pub mod settings;
pub mod share;
pub mod startup;
pub mod steward;
pub mod watcher;
