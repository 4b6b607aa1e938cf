//! `hibiscus-load`: generates seeded load, measures overhead and capacity, runs the soak test.

mod caller;
mod capacity;
mod cli;
mod fault_injection;
mod overhead;
mod report;
mod resource_usage;
mod soak;
mod workload;

use std::process::ExitCode;

use clap::Parser as _;
use telemetry::program;

use crate::cli::{LoadArguments, LoadCommand};
use crate::report::LoadError;

const PROGRAM: &str = "hibiscus-load";

fn main() -> ExitCode {
    let arguments = LoadArguments::parse();
    if let Err(exit_code) = program::begin(PROGRAM, &arguments.logging) {
        return exit_code;
    }
    program::end(PROGRAM, run(&arguments))
}

fn run(arguments: &LoadArguments) -> Result<(), LoadError> {
    match &arguments.command {
        LoadCommand::Overhead(options) => overhead::run(options, arguments.json),
        LoadCommand::Profile(options) => workload::run(options, arguments.json),
        LoadCommand::Capacity(options) => capacity::run(options, arguments.json),
        LoadCommand::Soak(options) => soak::run(options),
    }
}
