//! Runs a whole environment in one process: stand-ins, proxies and the administration API.

pub mod environment;
pub mod login;
pub mod profile;
pub mod relay;
