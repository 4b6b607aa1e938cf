//! Protocols: PostgreSQL messages, peer and platform messages, SQL classification and refusals.

pub mod backend;
mod effects;
pub mod frame;
pub mod frontend;
pub mod group;
pub mod leading_words;
pub mod peer;
pub mod platform;
pub mod refusal;
pub mod statement;
