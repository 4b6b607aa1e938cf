//! Failover.
