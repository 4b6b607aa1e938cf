//! Soak test over a range of seeds.

use std::path::PathBuf;
use std::time::Duration;

use ::soak::run::{SoakReport, SoakSettings, run as run_soak, seed_folder};
use telemetry::program::shutdown_signal;
use tokio::runtime::Runtime;

use crate::cli::SoakOptions;
use crate::report::{InterruptedSnafu, LoadError, SoakSnafu};

/// Runs every seed and prints a line for each.
///
/// Returns an error if an invariant was violated, a seed could not be run or a signal ended the run.
pub fn run(options: &SoakOptions) -> Result<(), LoadError> {
    let runtime = Runtime::new()?;
    // The instances end with the runtime that started them.
    let failed = runtime.block_on(async {
        tokio::select! {
            failed = run_seeds(options) => Ok(failed),
            () = shutdown_signal() => InterruptedSnafu.fail(),
        }
    })?;
    if failed.is_empty() {
        return Ok(());
    }
    let seeds: Vec<String> = failed.iter().map(u64::to_string).collect();
    SoakSnafu { seeds: seeds.join(", ") }.fail()
}

/// Runs the seeds, `jobs` at a time, and returns the failed ones.
async fn run_seeds(options: &SoakOptions) -> Vec<u64> {
    let mut failed = Vec::new();
    let seeds: Vec<u64> = (options.seed..options.seed + options.seeds).collect();
    for batch in seeds.chunks(options.jobs.max(1)) {
        let runs = batch.iter().map(|seed| (*seed, tokio::spawn(run_seed(*seed, options.clone()))));
        let runs: Vec<_> = runs.collect();
        for (seed, run) in runs {
            match run.await {
                Ok(Ok(report)) if report.violations.is_empty() => print_report(seed, &report),
                Ok(Ok(report)) => {
                    print_report(seed, &report);
                    report.violations.iter().for_each(|line| println!("  {line}"));
                    failed.push(seed);
                }
                Ok(Err(message)) => {
                    println!("seed {seed}: not run: {message}");
                    failed.push(seed);
                }
                Err(error) => {
                    println!("seed {seed}: not run: {error}");
                    failed.push(seed);
                }
            }
        }
    }
    failed
}

fn print_report(seed: u64, report: &SoakReport) {
    let SoakReport { violations, faults, writes, reads, probes } = report;
    println!(
        "seed {seed}: {} broken, {faults} faults, {writes} writes, {reads} reads, {probes} probes",
        violations.len()
    );
}

async fn run_seed(seed: u64, options: SoakOptions) -> Result<SoakReport, String> {
    let folder = seed_folder(&options.folder, seed);
    std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
    let settings = SoakSettings {
        seed,
        fault_period: Duration::from_secs(options.seconds),
        instances: options.instances,
        callers: options.callers,
        contracts: options.contracts.clone(),
        program: options.program.clone().unwrap_or_else(default_program),
        folder: folder.clone(),
    };
    let report = run_soak(&settings).await.map_err(|error| error.to_string())?;
    if report.violations.is_empty() {
        // Keeps settings and logs of failed seeds only.
        std::fs::remove_dir_all(&folder).map_err(|error| error.to_string())?;
    }
    Ok(report)
}

/// Returns the path of the instance program in the folder of this program.
fn default_program() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    own.with_file_name("hibiscus-gateway")
}
