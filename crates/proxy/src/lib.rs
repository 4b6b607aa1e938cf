//! Proxy instance: callers' sessions, routing to members, and coordination with other instances.

pub mod cancel;
pub mod counters;
pub mod database;
pub mod document;
pub mod drain;
pub mod exposition;
pub mod failover;
pub mod heartbeat;
pub mod instance;
pub mod ledger;
pub mod limiter;
pub mod listener;
pub mod monitor;
pub mod parameter;
pub mod peer_service;
pub mod peers;
pub mod reconciliation;
pub mod session;
pub mod settings;
pub mod share_transfer;
pub mod startup;
