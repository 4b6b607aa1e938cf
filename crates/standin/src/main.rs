//! Program `hibiscus-standin`: serves the stand-ins for the platform and for database groups.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use clap::Parser;
use serde::Deserialize;
use snafu::{ResultExt as _, Snafu};
use standin::control::{self, ControlError, StandinServices};
use standin::group::{DatabaseGroup, GroupError, GroupSettings};
use telemetry::logging::LoggingSettings;
use telemetry::program;
use tokio::net::TcpListener;
use wire::platform::InstanceRecord;

const PROGRAM: &str = "hibiscus-standin";

/// Stand-ins for the platform's services and for database groups, for tests and local trials.
#[derive(Debug, Parser)]
#[command(name = PROGRAM, version)]
struct StandinArguments {
    /// Address on which the platform's services and the fault control API listen.
    #[arg(long, env = "HIBISCUS_STANDIN_LISTEN", default_value = "127.0.0.1:7000")]
    listen: SocketAddr,
    /// TOML file with the database groups and the initial instance list.
    #[arg(long, env = "HIBISCUS_STANDIN_FILE")]
    file: PathBuf,
    #[command(flatten)]
    logging: LoggingSettings,
}

/// Contents of the TOML file.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct StandinFile {
    #[serde(rename = "group")]
    groups: Vec<GroupSettings>,
    #[serde(rename = "instance")]
    instances: Vec<InstanceRecord>,
}

/// Errors that terminate the program.
#[derive(Debug, Snafu)]
enum StandinError {
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Read { path: PathBuf, source: std::io::Error },
    #[snafu(display("{}: {source}", path.display()))]
    Syntax { path: PathBuf, source: toml::de::Error },
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen { address: SocketAddr, source: std::io::Error },
    #[snafu(display("{source}"), context(false))]
    Group { source: GroupError },
    #[snafu(display("{source}"), context(false))]
    Control { source: ControlError },
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = StandinArguments::parse();
    if let Err(code) = program::begin(PROGRAM, &arguments.logging) {
        return code;
    }
    program::end(PROGRAM, run(arguments).await)
}

async fn run(arguments: StandinArguments) -> Result<(), StandinError> {
    let path = arguments.file;
    let text = std::fs::read_to_string(&path).context(ReadSnafu { path: path.clone() })?;
    let file: StandinFile = toml::from_str(&text).context(SyntaxSnafu { path })?;
    let services = Arc::new(StandinServices::default());
    for settings in file.groups {
        let name = settings.name.clone();
        let group = DatabaseGroup::start(settings).await?;
        services.groups.write().insert(name, Arc::new(group));
    }
    file.instances.into_iter().for_each(|record| services.platform.put_instance(record));
    let address = arguments.listen;
    let listener = TcpListener::bind(address).await.context(ListenSnafu { address })?;
    tokio::select! {
        served = control::serve(listener, services) => Ok(served?),
        () = program::shutdown_signal() => Ok(()),
    }
}
