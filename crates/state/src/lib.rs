//! Data types and their invariants: credentials, log positions, token buckets and configuration.
//!
//! Nothing in this crate performs I/O, reads a clock or starts a thread.

pub mod bucket;
pub mod catalog;
pub mod credential;
pub mod document;
pub mod position;
pub mod session;
pub mod store_version;
pub mod token;
