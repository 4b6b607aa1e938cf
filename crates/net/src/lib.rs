//! Transports: member connections and pools, peer channels and clients of the platform services.

pub mod member;
pub mod peer;
pub mod platform;
pub mod pool;
pub mod socket;
pub mod store;
