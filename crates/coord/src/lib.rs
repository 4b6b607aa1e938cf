//! Coordination layer: failover, quotas, queues and placement as deterministic state machines.
//!
//! Each takes an event and the current time, and returns decisions or effects. None performs I/O,
//! reads a clock, starts a thread or draws random numbers of its own.
//!
//! The crates `proxy` and `engine` solve the same problems with different modules and share only
//! [`rendezvous`] and [`validation`]. The proxy uses [`failover`], [`freshness`], [`ledger`],
//! [`routing`] and, in its connection pools, [`queue`]; these modules speak of a database group and
//! its primary. The engine uses the others, which speak of a service and its leader. It replicates
//! the platform's tables with [`read_schedule`], [`table_source`], [`transfer_gate`] and
//! [`table_age`], chooses and judges its document with [`document_choice`] (built on
//! [`row_log`]), [`document_state`], [`document_lag`] and [`document_history`], keeps acknowledged commits over a promotion with
//! [`replica_hold`], claims the promotion lease with [`lease_claim`], ends its work before a planned
//! stop with [`stop_schedule`], keeps work out of zones and regions with [`evacuation`] and [`regions`],
//! and sheds load with [`priority`] (built on [`queue`]), [`service_time`], [`turn_meter`] and
//! [`retry_budget`].

pub mod answer_order;
pub mod cold_budget;
pub mod commit_gate;
pub mod congestion;
pub mod connection_reuse;
pub mod connection_setup;
pub mod document_choice;
pub mod document_history;
pub mod document_lag;
pub mod document_state;
pub mod endpoint_health;
pub mod evacuation;
pub mod failover;
pub mod freshness;
pub mod lease_claim;
pub mod ledger;
pub mod member_pace;
pub mod membership;
pub mod placement;
pub mod priority;
pub mod priority_floors;
pub mod promotion;
pub mod promotion_order;
pub mod queue;
pub mod quota;
pub mod read_schedule;
pub mod refusal_cache;
pub mod regions;
pub mod rendezvous;
pub mod replica_hold;
pub mod replica_lag;
pub mod retry_budget;
pub mod routing;
pub mod row_log;
pub mod service_time;
pub mod session;
pub mod stop_schedule;
pub mod table_age;
pub mod table_source;
pub mod token_range;
pub mod transfer_gate;
pub mod turn_meter;
pub mod validation;
pub mod watermark;
