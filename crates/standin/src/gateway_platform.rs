//! Stand-ins for the users' platform: members that speak the line protocol, store, promotion.

pub mod group;
pub mod member;
pub mod row_store;
