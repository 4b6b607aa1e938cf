//! Settings and initialization of logging.

use clap::{Args, ValueEnum};
use log::LevelFilter;
use log4rs::Config;
use log4rs::append::Append;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Root};
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;
use snafu::Snafu;

use crate::stdout::StdoutAppender;

/// Layout of lines in the plain format.
const PLAIN_PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {t} {m}{n}";

/// Error on initializing the logger.
#[derive(Debug, Snafu)]
#[snafu(display("cannot start logging: {message}"))]
pub struct LoggingError {
    /// Cause reported by the logging library.
    message: String,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, ValueEnum)]
pub enum LogFormat {
    /// One line of text per event.
    #[default]
    Plain,
    /// One JSON object per event.
    Json,
}

/// Output stream of log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, ValueEnum)]
pub enum LogTarget {
    /// Standard error.
    #[default]
    Stderr,
    /// Standard output, rate-limited and non-blocking.
    Stdout,
}

/// Settings of logging.
#[derive(Args, Clone, Debug)]
pub struct LoggingSettings {
    /// Lowest level that is logged: off, error, warn, info, debug or trace.
    #[arg(long, env = "HIBISCUS_LOG_LEVEL", default_value = "info")]
    pub log_level: LevelFilter,
    /// Format of log lines.
    #[arg(long, env = "HIBISCUS_LOG_FORMAT", default_value = "plain")]
    pub log_format: LogFormat,
    /// Output stream of log lines.
    #[arg(long, env = "HIBISCUS_LOG_TARGET", default_value = "stderr")]
    pub log_target: LogTarget,
}

impl Default for LoggingSettings {
    fn default() -> Self {
        Self {
            log_level: LevelFilter::Info,
            log_format: LogFormat::Plain,
            log_target: LogTarget::Stderr,
        }
    }
}

/// Initializes the global logger with the format, level and stream of the settings.
pub fn start(settings: &LoggingSettings) -> Result<(), LoggingError> {
    let encoder: Box<dyn Encode> = match settings.log_format {
        LogFormat::Plain => Box::new(PatternEncoder::new(PLAIN_PATTERN)),
        LogFormat::Json => Box::new(JsonEncoder::new()),
    };
    let appender: Box<dyn Append> = match settings.log_target {
        LogTarget::Stderr => {
            Box::new(ConsoleAppender::builder().target(Target::Stderr).encoder(encoder).build())
        }
        LogTarget::Stdout => Box::new(StdoutAppender::new(encoder)),
    };
    let root = Root::builder().appender("console").build(settings.log_level);
    let config = Config::builder()
        .appender(Appender::builder().build("console", appender))
        .build(root)
        .map_err(|error| LoggingError { message: error.to_string() })?;
    log4rs::init_config(config).map_err(|error| LoggingError { message: error.to_string() })?;
    Ok(())
}
