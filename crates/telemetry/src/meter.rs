//! Metrics: the recorder, its settings and the names of the metrics.

use std::sync::OnceLock;

use clap::Args;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Requests answered, by class.
pub const REQUESTS: &str = "hibiscus_requests_total";
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
pub const PLATFORM: &str = "hibiscus_platform_operations_total";
/// Revision of the document in force.
pub const REVISION: &str = "hibiscus_document_revision";
/// Messages exchanged with peers, by kind.
pub const PEER_MESSAGES: &str = "hibiscus_peer_messages_total";

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
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        // A recorder installed by an embedding program goes first.
        let _ = metrics::set_global_recorder(recorder);
        handle
    });
    recorder.clone()
}
