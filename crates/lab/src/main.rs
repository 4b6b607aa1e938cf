//! `hibiscus-lab`: runs a whole environment in one process, to try the system out.

use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use lab::environment::{LabEnvironment, LabError, LabOptions};
use lab::profile::{DeploymentProfile, ProfileName};
use telemetry::logging::LoggingSettings;
use telemetry::program;
use tokio::time::{sleep, timeout};

const PROGRAM: &str = "hibiscus-lab";
/// Bounds the wait for the primaries of all databases.
const START_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which the primaries are looked up meanwhile.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs stand-ins, proxies and the administration API in one process.
#[derive(Debug, Parser)]
#[command(name = PROGRAM, version)]
struct LabArguments {
    /// Deployment profile: databases, zones, capacities and teams.
    #[arg(long, env = "HIBISCUS_LAB_PROFILE", default_value = "volksdans")]
    profile: ProfileName,
    /// Number of proxy instances.
    #[arg(long, env = "HIBISCUS_LAB_INSTANCES", default_value_t = 3)]
    instances: usize,
    /// Port of the first proxy instance; the others follow.
    #[arg(long, env = "HIBISCUS_LAB_PORT", default_value_t = 6432)]
    port: u16,
    /// Port of the administration API.
    #[arg(long, env = "HIBISCUS_LAB_ADMIN_PORT", default_value_t = 6400)]
    admin_port: u16,
    /// Port of the stand-ins' control API, which injects faults.
    #[arg(long, env = "HIBISCUS_LAB_CONTROL_PORT", default_value_t = 7000)]
    control_port: u16,
    #[command(flatten)]
    logging: LoggingSettings,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = LabArguments::parse();
    if let Err(exit_code) = program::begin(PROGRAM, &arguments.logging) {
        return exit_code;
    }
    program::end(PROGRAM, run(arguments).await)
}

async fn run(arguments: LabArguments) -> Result<(), LabError> {
    let options = LabOptions {
        instances: arguments.instances.max(1),
        first_port: arguments.port,
        admin_port: arguments.admin_port,
        control_port: arguments.control_port,
        ..LabOptions::new(DeploymentProfile::from_name(arguments.profile))
    };
    let environment = LabEnvironment::start(options).await?;
    // What is printed is not followed by the events of the start.
    if timeout(START_TIMEOUT, wait_for_primaries(&environment)).await.is_err() {
        println!("not every database has a primary yet");
    }
    print_summary(&environment);
    program::shutdown_signal().await;
    Ok(())
}

/// Waits until each instance knows the primaries of all databases.
async fn wait_for_primaries(environment: &LabEnvironment) {
    let has_primaries = || {
        environment.instances.iter().all(|running| {
            running.instance.databases().iter().all(|database| database.primary().is_some())
        })
    };
    while !has_primaries() {
        sleep(POLL_INTERVAL).await;
    }
}

fn print_summary(environment: &LabEnvironment) {
    let profile = &environment.options.profile;
    println!("environment {} is up", profile.name.label());
    println!();
    println!("teams and keys:");
    for (team, key) in profile.teams.iter().zip(&environment.keys) {
        println!("  {:<14} {key}", team.name);
    }
    println!();
    println!("proxies:");
    let (team, key) = (profile.teams[0].name, &environment.keys[0]);
    for running in &environment.instances {
        let (instance, address) = (&running.instance.settings, running.address);
        let database = profile.databases[0];
        println!(
            "  {} in {:<8} postgres://{team}:{key}@{address}/{database}",
            instance.instance, instance.zone
        );
    }
    println!();
    println!("databases: {}", profile.databases.join(", "));
    println!("administration: http://{}", environment.admin_address);
    println!("operator token: {}", environment.operator_token);
    println!("stand-ins and faults: http://{}", environment.control_address);
}
