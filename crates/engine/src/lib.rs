//! Engine of an instance that serves a line protocol: sessions, endpoint connections, peers, duty.
//!
//! The decisions are in `coord`; this crate performs their input and output over the edges in
//! [`link`].

pub mod admission;
pub mod caller;
pub mod connection_owner;
pub mod directory;
pub mod dispatch;
pub mod endpoint_connection;
pub mod instance;
pub mod lifecycle;
pub mod line_buffer;
pub mod link;
pub mod message;
pub mod operation;
pub mod peer;
pub mod peer_link;
mod pool;
pub mod record;
pub mod steward;
pub mod tables;
pub mod watch;
