//! Transport layer: clock, sockets to members, connection pools and the platform's services.

pub mod member;
pub mod peer;
pub mod platform;
pub mod pool;
pub mod socket;
pub mod store;
