//! Command line arguments.

use std::time::Duration;

use clap::{Args, Parser, Subcommand, ValueEnum};
use lab::profile::ProfileName;
use telemetry::logging::LoggingSettings;

/// Generates seeded load and runs measurements against an environment in this process.
#[derive(Debug, Parser)]
#[command(name = "hibiscus-load", version)]
pub struct LoadArguments {
    /// Prints the report as JSON.
    #[arg(long, global = true)]
    pub json: bool,
    #[command(flatten)]
    pub logging: LoggingSettings,
    #[command(subcommand)]
    pub command: LoadCommand,
}

/// Measurement or test to run.
#[derive(Debug, Subcommand)]
pub enum LoadCommand {
    /// Compares direct, naive and proxied access: latency, throughput, CPU time, memory.
    Overhead(OverheadOptions),
    /// Runs a deployment's workload with an optional fault; reports availability and latency.
    Profile(ProfileOptions),
    /// Measures how memory and CPU time grow with size, as the input of docs/CAPACITY.md.
    Capacity(CapacityOptions),
    /// Runs instances as processes under random faults and checks invariants.
    Soak(SoakOptions),
}

/// Options of the soak test.
#[derive(Args, Clone, Debug)]
pub struct SoakOptions {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of seeds.
    #[arg(long, default_value_t = 1)]
    pub seeds: u64,
    /// Number of seeds to run concurrently.
    #[arg(long, default_value_t = 1)]
    pub jobs: usize,
    /// Seconds during which faults start.
    #[arg(long, default_value_t = 15)]
    pub seconds: u64,
    /// Number of instances.
    #[arg(long, default_value_t = 3)]
    pub instances: usize,
    /// Number of callers.
    #[arg(long, default_value_t = 8)]
    pub callers: u32,
    /// Kinds of load that the instances are prepared for, as in the setting `contracts`.
    #[arg(long, default_value = "")]
    pub contracts: String,
    /// Program of an instance; by default `hibiscus-gateway` in the folder of this program.
    #[arg(long)]
    pub program: Option<std::path::PathBuf>,
    /// Folder for settings and logs; those of failed seeds are kept.
    #[arg(long, default_value = "target/soak")]
    pub folder: std::path::PathBuf,
}

/// Options of the overhead comparison.
#[derive(Args, Debug)]
pub struct OverheadOptions {
    /// Seconds for each measured point.
    #[arg(long, default_value_t = 4)]
    pub seconds: u64,
    /// Numbers of concurrent callers to measure.
    #[arg(long, value_delimiter = ',', default_values_t = [1, 16, 256])]
    pub callers: Vec<usize>,
    /// Number of worker threads of the proxy.
    #[arg(long, default_value_t = 2)]
    pub proxy_threads: usize,
    /// Number of idle callers whose memory is measured.
    #[arg(long, default_value_t = 8_000)]
    pub idle: usize,
}

/// Fault that is injected into a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum FaultKind {
    /// No fault.
    None,
    /// The first database's primary is partitioned from its group.
    Cut,
    /// The first database's primary stops.
    Stop,
    /// The first database's primary hangs until the end of the run.
    Pause,
    /// The first database's replicas apply the log 500 ms late.
    Lag,
    /// The platform's table and object store are unavailable.
    Store,
    /// One instance crashes.
    Instance,
    /// One team sends ten times its rate.
    Flood,
}

impl FaultKind {
    /// Returns the name in lower case.
    pub fn label(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Cut => "cut",
            Self::Stop => "stop",
            Self::Pause => "pause",
            Self::Lag => "lag",
            Self::Store => "store",
            Self::Instance => "instance",
            Self::Flood => "flood",
        }
    }
}

/// Access path from callers to databases.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum AccessPath {
    /// Through the proxies.
    Proxy,
    /// Through a relay to the first primary, one connection for each caller.
    Naive,
}

/// Options of a workload run.
#[derive(Args, Clone, Debug)]
pub struct ProfileOptions {
    /// Deployment profile.
    #[arg(long, default_value = "volksdans")]
    pub profile: ProfileName,
    /// Fault to inject after a third of the run.
    #[arg(long, default_value = "none")]
    pub fault: FaultKind,
    /// Access path to the databases.
    #[arg(long, default_value = "proxy")]
    pub path: AccessPath,
    /// Duration of the run in seconds.
    #[arg(long, default_value_t = 12)]
    pub seconds: u64,
    /// Number of instances.
    #[arg(long, default_value_t = 9)]
    pub instances: usize,
    /// Fraction of each team's rate that its callers use.
    #[arg(long, default_value_t = 0.5)]
    pub intensity: f64,
    /// Seed of the callers' random generators.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

impl ProfileOptions {
    /// Returns the duration of the run.
    pub fn duration(&self) -> Duration {
        Duration::from_secs(self.seconds)
    }
}

/// Options of the capacity measurement.
#[derive(Args, Debug)]
pub struct CapacityOptions {
    /// Seconds for each measured point.
    #[arg(long, default_value_t = 3)]
    pub seconds: u64,
}
