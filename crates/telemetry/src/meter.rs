//! Names of the metrics, the metrics recorder and its settings.

use std::sync::OnceLock;

use clap::Args;

use crate::recorder::MetricRecorder;

/// Requests, by class in the engine and by instance in the proxy.
pub const REQUESTS: &str = "hibiscus_requests_total";
/// Latency of statements in seconds, by class.
pub const REQUEST_SECONDS: &str = "hibiscus_request_seconds";
/// Refused requests, by reason.
pub const REFUSALS: &str = "hibiscus_refusals_total";
/// Operations refused for the limit of their team, by where: at this quota owner, at another
/// one, or by a cached refusal.
pub const LIMIT_REFUSALS: &str = "hibiscus_limit_refusals_total";
/// Requests for admission that were sent to quota owners.
pub const QUOTA_REQUESTS: &str = "hibiscus_quota_requests_total";
/// Teams that crossed their limit, by direction.
pub const TEAM_LOAD_CHANGES: &str = "hibiscus_team_load_changes_total";
/// Requests that were read and got no complete answer, by cause: process_end, peer_call or
/// write_failed.
pub const CUT_REQUESTS: &str = "hibiscus_cut_requests_total";
/// Retried requests, by reason.
pub const RETRIES: &str = "hibiscus_retries_total";
/// Requests refused before any member was asked, by cause.
pub const SHED_REQUESTS: &str = "hibiscus_shed_requests_total";
/// Retries that were not made because the retry budget of the service was used up.
pub const RETRIES_DENIED: &str = "hibiscus_retries_denied_total";
/// Served reads, by the role of the member.
pub const READS: &str = "hibiscus_reads_total";
/// Open caller connections.
pub const CALLERS: &str = "hibiscus_callers";
/// Promotions started by this instance, by outcome.
pub const PROMOTIONS: &str = "hibiscus_promotions_total";
/// Operations on the platform services, by kind and outcome.
pub const PLATFORM_OPERATIONS: &str = "hibiscus_platform_operations_total";
/// Statements queued or in flight at endpoints whose connections this instance owns.
pub const ENDPOINT_WORK: &str = "hibiscus_endpoint_work";
/// Requests to cold members, by outcome.
pub const COLD_REQUESTS: &str = "hibiscus_cold_requests_total";
/// Changes of the limits of calls in flight, by cause.
pub const PACE_CHANGES: &str = "hibiscus_pace_changes_total";
/// Members whose connections this instance owns, by state: cold, or paced below their maximum.
pub const HELD_MEMBERS: &str = "hibiscus_held_members";
/// Pooled connections whose sessions a caller may have changed, by outcome: reset or closed.
pub const SESSION_RESETS: &str = "hibiscus_session_resets_total";
/// Connections opened to endpoints.
pub const CONNECTIONS_OPENED: &str = "hibiscus_connections_opened_total";
/// Idle connections to endpoints that were closed to make room, by reason.
pub const CONNECTIONS_EVICTED: &str = "hibiscus_connections_evicted_total";
/// Open connections to endpoints.
pub const CONNECTIONS_OPEN: &str = "hibiscus_connections_open";
/// Reads placed by expected time, by the member: same_zone, other_zone or leader.
pub const PLACEMENTS: &str = "hibiscus_placements_total";
/// Expected ratio of an endpoint's service time to the usual one, by endpoint.
pub const ENDPOINT_SLOWNESS: &str = "hibiscus_endpoint_slowness";
/// Share of an endpoint's answers that were errors, by endpoint.
pub const ENDPOINT_FAILURE_SHARE: &str = "hibiscus_endpoint_failure_share";
/// Revision of the document in force.
pub const DOCUMENT_REVISION: &str = "hibiscus_document_revision";
/// Known instances, by state: live or not.
pub const INSTANCES: &str = "hibiscus_instances";
/// Open connections to peers.
pub const PEER_LINKS: &str = "hibiscus_peer_links";
/// Peers that subscribe to this instance.
pub const SUBSCRIBERS: &str = "hibiscus_subscribers";
/// Messages sent to peers, by kind.
pub const PEER_MESSAGES: &str = "hibiscus_peer_messages_total";
/// Connections to peers that were lost, by reason.
pub const PEER_LOSSES: &str = "hibiscus_peer_losses_total";
/// Bytes sent to peers, by kind of message.
pub const PEER_BYTES: &str = "hibiscus_peer_bytes_total";
/// Seconds for which another instance has had a newer document in force.
pub const DOCUMENT_LAG_SECONDS: &str = "hibiscus_document_lag_seconds";
/// Seconds since the cache of a table held all changes of the store, by table.
pub const TABLE_AGE_SECONDS: &str = "hibiscus_table_age_seconds";
/// Version of the document in force.
pub const DOCUMENT_VERSION: &str = "hibiscus_document_version";
/// Whether the document is in this state, by state: confirmed, assumed or outdated.
pub const DOCUMENT_STATE: &str = "hibiscus_document_state";
/// Seconds that the store took to answer a read, without the wait for changes that the read asked
/// for, by table and outcome: answered or failed.
pub const STORE_READ_SECONDS: &str = "hibiscus_store_read_seconds";
/// Reads of changes that the store no longer had, by table.
pub const EXPIRED_READS: &str = "hibiscus_expired_reads_total";
/// One if the store has a document with a lower number than the one in force, which may come into force.
pub const DOCUMENT_PENDING: &str = "hibiscus_document_pending";
/// Fields of the document in force that cannot be decoded.
pub const DOCUMENT_DEFECTS: &str = "hibiscus_document_defects";
/// Newest history of the store that is known.
pub const STORE_HISTORY: &str = "hibiscus_store_history";
/// Changes of the store's history that were noticed.
pub const STORE_HISTORY_CHANGES: &str = "hibiscus_store_history_changes_total";
/// Calls that were not run, as a document that must have been replaced allowed them.
pub const OUTDATED_CALLS: &str = "hibiscus_outdated_calls_total";
/// Rows of the store that were left out since they make no sense, by table.
pub const REFUSED_ROWS: &str = "hibiscus_refused_rows_total";
/// Tokens that were returned for operations that did not run.
pub const RETURNED_TOKENS: &str = "hibiscus_returned_tokens_total";
/// Answers of members that were presumed lost, as later ones had arrived.
pub const PRESUMED_LOST_ANSWERS: &str = "hibiscus_presumed_lost_answers_total";
/// Zones that are or were evacuated, by phase.
pub const EVACUATED_ZONES: &str = "hibiscus_evacuated_zones";
/// Requests refused because no member may run them, by reason: evacuated or region.
pub const UNAVAILABLE: &str = "hibiscus_unavailable_total";

/// Upper bounds of the histogram buckets, in seconds.
const REQUEST_SECONDS_BUCKETS: &[f64] =
    &[0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.0, 5.0];

static RECORDER: OnceLock<MetricRecorder> = OnceLock::new();

/// Settings of the metrics endpoint.
#[derive(Args, Clone, Debug, Default)]
pub struct MeterSettings {
    /// Address on which metrics are served in Prometheus text format; absent means not at all.
    #[arg(long, env = "HIBISCUS_METRICS_LISTEN")]
    pub metrics_listen: Option<std::net::SocketAddr>,
}

/// Installs the process-wide recorder once, and returns it.
pub fn install() -> MetricRecorder {
    let recorder = RECORDER.get_or_init(|| {
        let recorder = MetricRecorder::new(REQUEST_SECONDS_BUCKETS);
        // Fails if an embedding program has installed a recorder; that one stays in use.
        let _ = metrics::set_global_recorder(recorder.clone());
        recorder
    });
    recorder.clone()
}
