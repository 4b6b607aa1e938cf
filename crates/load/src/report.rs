//! Errors and the printing of reports.

use hdrhistogram::Histogram;
use lab::environment::LabError;
use serde::Serialize;
use snafu::Snafu;

/// Errors of an experiment.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LoadError {
    /// The environment did not start.
    #[snafu(display("{source}"), context(false))]
    Environment {
        /// Cause.
        source: LabError,
    },
    /// A caller could not work.
    #[snafu(display("{source}"), context(false))]
    Caller {
        /// Cause reported by the driver.
        source: tokio_postgres::Error,
    },
    /// The system refused something.
    #[snafu(display("{source}"), context(false))]
    System {
        /// Cause reported by the system.
        source: std::io::Error,
    },
    /// The soak found broken promises or could not take place.
    #[snafu(display("promises broken or not run: seeds {seeds}"))]
    Soak {
        /// Seeds concerned.
        seeds: String,
    },
    /// The report cannot be written.
    #[snafu(display("{source}"), context(false))]
    Report {
        /// Cause reported by the JSON writer.
        source: serde_json::Error,
    },
}

/// Prints a report as JSON or in its text form.
pub fn print<R: Serialize>(report: &R, json: bool, text: String) -> Result<(), LoadError> {
    if json {
        println!("{}", serde_json::to_string_pretty(report)?);
    } else {
        print!("{text}");
    }
    Ok(())
}

/// Creates a histogram of microseconds.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid")
}
