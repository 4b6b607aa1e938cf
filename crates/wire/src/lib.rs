//! Protocol layer: PostgreSQL frames and messages, statement classes, refusals and group commands.

pub mod backend;
pub mod frame;
pub mod frontend;
pub mod group;
pub mod peer;
pub mod platform;
pub mod refusal;
pub mod statement;
