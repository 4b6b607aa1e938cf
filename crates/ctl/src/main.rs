//! Program `hibiscusctl`, the operators' command line client of the administration API and of the
//! inspection of gateway instances.

mod cli;
mod client;
mod commands;
mod edit;
mod explain;
mod fleet;
mod gauges;
mod inspection;
mod log_line;
mod output;
mod trace;

use std::process::ExitCode;

use clap::Parser as _;

use crate::cli::ControlArguments;

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = ControlArguments::parse();
    match commands::run(arguments).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hibiscusctl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
