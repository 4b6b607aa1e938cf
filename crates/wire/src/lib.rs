//! Protocols: PostgreSQL messages, peer and platform messages, SQL classification and refusals.

pub mod backend;
pub mod frame;
pub mod frontend;
pub mod group;
mod leading_words;
pub mod peer;
pub mod platform;
pub mod refusal;
mod session_effect;
pub mod statement;
