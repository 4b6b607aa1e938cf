//! Engine of an instance that serves a line protocol: caller sessions, endpoint connections, links
//! to peer instances and failover.
//!
//! Decisions are made by the state machines in `coord`. This crate does the input and output,
//! through the traits in [`interface`].

pub mod admission;
mod attempt;
mod attempt_history;
pub mod caller;
pub mod candidates;
mod commit_check;
mod commit_confirmation;
mod connection_acquire;
pub mod connection_owner;
mod connection_return;
pub mod directory;
mod discovery;
pub mod dispatch;
mod document_guard;
pub mod document_index;
mod endpoint_choice;
pub mod endpoint_connection;
mod endpoint_probe;
mod exchange;
pub mod explain;
pub mod failover;
pub mod frame;
pub mod instance;
pub mod interface;
pub mod kept_document;
pub mod lifecycle;
mod line_buffer;
mod link_upkeep;
mod member_load;
pub mod message;
pub mod open_sessions;
mod output_queue;
pub mod peer;
pub mod peer_link;
mod peer_server;
mod pool;
mod pool_upkeep;
pub mod progress;
mod promotion_lease;
mod promotion_request;
pub mod record;
mod refused_rows;
mod replica_hold;
pub mod replication;
mod row_changes;
mod service_commits;
mod service_load;
pub mod statement;
pub mod status;
mod store_reader;
pub mod subscription;
pub mod table_change;
mod table_fetch;
mod table_server;
pub mod tables;
pub mod watch;
