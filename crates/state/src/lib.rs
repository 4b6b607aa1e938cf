//! Plain data of the proxy and its rules: keys, positions, buckets and the configuration document.
//!
//! Nothing in this crate performs input or output, reads a clock or starts a thread.

pub mod bucket;
pub mod catalog;
pub mod credential;
pub mod document;
pub mod position;
pub mod session;
pub mod token;
