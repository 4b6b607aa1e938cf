//! Program `hibiscus-admin`, which serves the administration API.

use std::process::ExitCode;

use admin::api::{self, AdminError};
use admin::settings::AdminSettings;
use clap::Parser;
use telemetry::logging::LoggingSettings;
use telemetry::program;

const PROGRAM: &str = "hibiscus-admin";

/// Serves the administration API of an environment.
#[derive(Debug, Parser)]
#[command(name = PROGRAM, version)]
struct AdminArguments {
    #[command(flatten)]
    admin: AdminSettings,
    #[command(flatten)]
    logging: LoggingSettings,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = AdminArguments::parse();
    if let Err(exit_code) = program::begin(PROGRAM, &arguments.logging) {
        return exit_code;
    }
    program::end(PROGRAM, run(arguments.admin).await)
}

async fn run(settings: AdminSettings) -> Result<(), AdminError> {
    tokio::select! {
        result = api::serve(settings) => result,
        () = program::shutdown_signal() => Ok(()),
    }
}
