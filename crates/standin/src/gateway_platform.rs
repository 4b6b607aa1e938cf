//! Stand-ins for the platform of `hibiscus-gateway`: databases that speak its line protocol, the
//! row store and the promotion service.

pub mod group;
pub mod member;
pub mod row_store;
pub mod store_content;
