//! Command line.

use std::time::Duration;

use clap::{Args, Parser, Subcommand, ValueEnum};
use lab::profile::ProfileName;
use telemetry::logging::LoggingSettings;

/// Seeded load and experiments against an environment in this process.
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

/// Experiment.
#[derive(Debug, Subcommand)]
pub enum LoadCommand {
    /// Compares direct, naive and proxied access: latency, throughput, processor time, memory.
    Overhead(OverheadOptions),
    /// Runs a deployment's workload with a fault and reports the measures of the brief.
    Profile(ProfileOptions),
    /// Measures the slopes that docs/CAPACITY.md rests on.
    Capacity(CapacityOptions),
    /// Plays random faults against instances as processes and checks promises.
    Soak(SoakOptions),
}

/// Options of the soak.
#[derive(Args, Clone, Debug)]
pub struct SoakOptions {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of seeds.
    #[arg(long, default_value_t = 1)]
    pub seeds: u64,
    /// Seeds played at a time.
    #[arg(long, default_value_t = 1)]
    pub jobs: usize,
    /// Seconds during which faults begin.
    #[arg(long, default_value_t = 15)]
    pub seconds: u64,
    /// Instances.
    #[arg(long, default_value_t = 3)]
    pub instances: usize,
    /// Callers.
    #[arg(long, default_value_t = 8)]
    pub callers: u32,
    /// Program of an instance; absent means the one beside this program.
    #[arg(long)]
    pub program: Option<std::path::PathBuf>,
    /// Folder for the settings and logs of seeds that failed.
    #[arg(long, default_value = "target/soak")]
    pub folder: std::path::PathBuf,
}

/// Options of the comparison.
#[derive(Args, Debug)]
pub struct OverheadOptions {
    /// Seconds for each point.
    #[arg(long, default_value_t = 4)]
    pub seconds: u64,
    /// Numbers of callers.
    #[arg(long, value_delimiter = ',', default_values_t = [1, 16, 256])]
    pub callers: Vec<usize>,
    /// Worker threads of the proxy.
    #[arg(long, default_value_t = 2)]
    pub proxy_threads: usize,
    /// Idle callers whose memory is measured.
    #[arg(long, default_value_t = 8_000)]
    pub idle: usize,
}

/// Fault of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum FaultKind {
    /// No fault.
    None,
    /// The first database's primary is cut off from its group.
    Cut,
    /// The first database's primary stops.
    Stop,
    /// The first database's primary is paused for good.
    Pause,
    /// Replicas apply 500 ms late.
    Lag,
    /// The platform is down.
    Store,
    /// One instance dies.
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

/// Way from callers to databases.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum AccessPath {
    /// Through the proxies.
    Proxy,
    /// Through a relay to the first primary, one connection for each caller.
    Naive,
}

/// Options of a workload.
#[derive(Args, Clone, Debug)]
pub struct ProfileOptions {
    /// Deployment.
    #[arg(long, default_value = "volksdans")]
    pub profile: ProfileName,
    /// Fault after a third of the time.
    #[arg(long, default_value = "none")]
    pub fault: FaultKind,
    /// Way to the databases.
    #[arg(long, default_value = "proxy")]
    pub path: AccessPath,
    /// Seconds of the run.
    #[arg(long, default_value_t = 12)]
    pub seconds: u64,
    /// Instances.
    #[arg(long, default_value_t = 9)]
    pub instances: usize,
    /// Part of each team's rate that its callers use.
    #[arg(long, default_value_t = 0.5)]
    pub intensity: f64,
    /// Seed of the callers' choices.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

impl ProfileOptions {
    /// Returns the time of the run.
    pub fn time(&self) -> Duration {
        Duration::from_secs(self.seconds)
    }
}

/// Options of the capacity measurement.
#[derive(Args, Debug)]
pub struct CapacityOptions {
    /// Seconds for each point.
    #[arg(long, default_value_t = 3)]
    pub seconds: u64,
}
