//! Randomized soak over a range of seeds.

use std::path::PathBuf;
use std::time::Duration;

use ::soak::run::{SoakReport, SoakSettings, run as play, seed_folder};
use tokio::runtime::Runtime;

use crate::cli::SoakOptions;
use crate::report::{LoadError, SoakSnafu};

/// Plays the seeds and prints a line for each; fails if a promise was broken.
pub fn run(options: &SoakOptions) -> Result<(), LoadError> {
    let runtime = Runtime::new()?;
    let failed = runtime.block_on(play_all(options));
    if failed.is_empty() {
        return Ok(());
    }
    let seeds: Vec<String> = failed.iter().map(u64::to_string).collect();
    SoakSnafu { seeds: seeds.join(", ") }.fail()
}

async fn play_all(options: &SoakOptions) -> Vec<u64> {
    let mut failed = Vec::new();
    let seeds: Vec<u64> = (options.seed..options.seed + options.seeds).collect();
    for batch in seeds.chunks(options.jobs.max(1)) {
        let playing =
            batch.iter().map(|seed| (*seed, tokio::spawn(play_one(*seed, options.clone()))));
        let playing: Vec<_> = playing.collect();
        for (seed, run) in playing {
            match run.await {
                Ok(Ok(report)) if report.violations.is_empty() => print(seed, &report),
                Ok(Ok(report)) => {
                    print(seed, &report);
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

fn print(seed: u64, report: &SoakReport) {
    let SoakReport { violations, faults, writes, reads } = report;
    println!(
        "seed {seed}: {} broken, {faults} faults, {writes} writes, {reads} reads",
        violations.len()
    );
}

async fn play_one(seed: u64, options: SoakOptions) -> Result<SoakReport, String> {
    let folder = seed_folder(&options.folder, seed);
    std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
    let settings = SoakSettings {
        seed,
        fault_period: Duration::from_secs(options.seconds),
        instances: options.instances,
        callers: options.callers,
        program: options.program.clone().unwrap_or_else(sibling_program),
        folder: folder.clone(),
    };
    let report = play(&settings).await.map_err(|error| error.to_string())?;
    if report.violations.is_empty() {
        // Logs of a run that kept its promises are of no further use.
        std::fs::remove_dir_all(&folder).map_err(|error| error.to_string())?;
    }
    Ok(report)
}

/// Returns the instance program beside this one.
fn sibling_program() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    own.with_file_name("hibiscus-gateway")
}
