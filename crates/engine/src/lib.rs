//! Engine of an instance that serves a line protocol: sessions, endpoint connections, peers, duty.
//!
//! The decisions are in `coord`; this crate performs their input and output over the edges in
//! [`interface`].

pub mod caller;
pub mod channel;
pub mod directory;
pub mod dispatch;
pub mod failover;
pub mod holder;
pub mod interface;
pub mod limits;
pub mod lines;
pub mod member;
pub mod message;
pub mod node;
pub mod peer;
mod pool;
pub mod record;
pub mod run;
pub mod statement;
pub mod tables;
pub mod watch;
