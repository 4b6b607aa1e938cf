//! Errors, report output and latency histograms.

use hdrhistogram::Histogram;
use lab::environment::LabError;
use serde::Serialize;
use snafu::Snafu;

/// Errors of a measurement or test.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LoadError {
    /// The environment did not start.
    #[snafu(display("{source}"), context(false))]
    Environment {
        /// Underlying error.
        source: LabError,
    },
    /// A caller could not connect or its statement failed.
    #[snafu(display("{source}"), context(false))]
    Caller {
        /// Error of the PostgreSQL driver.
        source: tokio_postgres::Error,
    },
    /// A system call failed.
    #[snafu(display("{source}"), context(false))]
    System {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A soak run violated an invariant or could not be completed.
    #[snafu(display("invariants violated or soak not completed for seeds {seeds}"))]
    Soak {
        /// Failed seeds, separated by commas.
        seeds: String,
    },
    /// A signal ended a soak run.
    #[snafu(display("ended by a signal"))]
    Interrupted,
    /// The report could not be serialized.
    #[snafu(display("{source}"), context(false))]
    Report {
        /// Error of the JSON serializer.
        source: serde_json::Error,
    },
}

/// Prints a report as JSON, or else `text`.
pub fn print_report<R: Serialize>(report: &R, json: bool, text: String) -> Result<(), LoadError> {
    if json {
        println!("{}", serde_json::to_string_pretty(report)?);
    } else {
        print!("{text}");
    }
    Ok(())
}

/// Creates a latency histogram from 1 us to 60 s with three significant digits.
pub fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid")
}
