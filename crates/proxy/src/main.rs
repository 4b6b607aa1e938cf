//! `hibiscus-proxy`: PostgreSQL proxy that callers connect to.

use std::process::ExitCode;
use std::sync::Arc;

use clap::Parser;
use clock::MonotonicClock;
use proxy::instance::{self, InstanceError};
use proxy::settings::ProxySettings;
use proxy::{drain, exposition};
use telemetry::logging::LoggingSettings;
use telemetry::meter::{self, MeterSettings};
use telemetry::program;

const PROGRAM: &str = "hibiscus-proxy";

/// Database proxy with session consistency.
#[derive(Debug, Parser)]
#[command(name = PROGRAM, version)]
struct ProxyArguments {
    #[command(flatten)]
    proxy: ProxySettings,
    #[command(flatten)]
    meter: MeterSettings,
    #[command(flatten)]
    logging: LoggingSettings,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = ProxyArguments::parse();
    if let Err(status) = program::begin(PROGRAM, &arguments.logging) {
        return status;
    }
    program::end(PROGRAM, run(arguments).await)
}

async fn run(arguments: ProxyArguments) -> Result<(), InstanceError> {
    let recorder = meter::install();
    let running = instance::start(arguments.proxy, Arc::new(MonotonicClock)).await?;
    if let Some(address) = arguments.meter.metrics_listen {
        exposition::serve(address, recorder).await?;
    }
    program::shutdown_signal().await;
    drain::drain(&running.instance).await;
    Ok(())
}
