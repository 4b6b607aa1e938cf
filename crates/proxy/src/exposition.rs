//! Serves the metrics in Prometheus text format.

use std::net::SocketAddr;

use axum::Router;
use axum::routing::get;
use snafu::ResultExt as _;
use telemetry::recorder::MetricRecorder;
use tokio::net::TcpListener;

use crate::instance::{InstanceError, ListenSnafu};

/// Starts an HTTP server for `/metrics` on `address`. Fails if the address is in use.
pub async fn serve(address: SocketAddr, recorder: MetricRecorder) -> Result<(), InstanceError> {
    let listener = TcpListener::bind(address).await.context(ListenSnafu { address })?;
    let render = move || {
        let recorder = recorder.clone();
        async move { recorder.render() }
    };
    let router = Router::new().route("/metrics", get(render));
    tokio::spawn(async move { axum::serve(listener, router).await });
    Ok(())
}
