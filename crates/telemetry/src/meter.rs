//! Metrics: the recorder, its settings and the names of the metrics.

use std::sync::OnceLock;

use clap::Args;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Requests answered, by class.
pub const REQUESTS: &str = "hibiscus_requests_total";
/// Time from a statement to its answer in seconds, by class.
pub const REQUEST_SECONDS: &str = "hibiscus_request_seconds";
/// Requests refused, by reason.
pub const REFUSALS: &str = "hibiscus_refusals_total";
/// Requests tried again, by reason.
pub const RETRIES: &str = "hibiscus_retries_total";
/// Reads answered, by the kind of member that served them.
pub const READS: &str = "hibiscus_reads_total";
/// Open connections of callers.
pub const CALLERS: &str = "hibiscus_callers";
/// Promotions started by this instance, by outcome.
pub const PROMOTIONS: &str = "hibiscus_promotions_total";
/// Operations on the platform's services, by kind and outcome.
pub const PLATFORM_OPERATIONS: &str = "hibiscus_platform_operations_total";
/// Statements that wait or run at endpoints held here.
pub const ENDPOINT_WORK: &str = "hibiscus_endpoint_work";
/// Revision of the document in force.
pub const DOCUMENT_REVISION: &str = "hibiscus_document_revision";
/// Messages exchanged with peers, by kind.
pub const PEER_MESSAGES: &str = "hibiscus_peer_messages_total";

/// Upper bounds of the histogram of request times, in seconds.
const REQUEST_SECONDS_BUCKETS: &[f64] =
    &[0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.0, 5.0];

static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();

/// Settings of metrics.
#[derive(Args, Clone, Debug, Default)]
pub struct MeterSettings {
    /// Address on which metrics are served in Prometheus text format; absent means not at all.
    #[arg(long, env = "HIBISCUS_METRICS_LISTEN")]
    pub metrics_listen: Option<std::net::SocketAddr>,
}

/// Installs the recorder once for the process and returns the handle that renders it.
pub fn install() -> PrometheusHandle {
    let recorder = RECORDER.get_or_init(|| {
        let builder = PrometheusBuilder::new();
        let recorder = match builder.set_buckets(REQUEST_SECONDS_BUCKETS) {
            Ok(builder) => builder.build_recorder(),
            // Only an empty list of bounds is refused.
            Err(_) => PrometheusBuilder::new().build_recorder(),
        };
        let handle = recorder.handle();
        // A recorder installed by an embedding program goes first.
        let _ = metrics::set_global_recorder(recorder);
        handle
    });
    recorder.clone()
}
