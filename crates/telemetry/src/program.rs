//! Startup, shutdown and exit codes shared by all programs.

use std::fmt::Display;
use std::process::ExitCode;

use crate::event::LogEvent;
use crate::log_event;
use crate::logging::{self, LoggingSettings};

/// Exit code of a program with invalid settings.
pub const SETTINGS_EXIT_CODE: u8 = 2;

/// Initializes logging and logs the start of the program.
///
/// Returns the exit code for the process if logging cannot be initialized.
pub fn begin(name: &str, settings: &LoggingSettings) -> Result<(), ExitCode> {
    if let Err(error) = logging::start(settings) {
        eprintln!("{name}: {error}");
        return Err(ExitCode::from(SETTINGS_EXIT_CODE));
    }
    log_event!(LogEvent::ProgramStarted, "program={name} version={}", env!("CARGO_PKG_VERSION"));
    Ok(())
}

/// Logs the result of a program and returns its exit code.
pub fn end<E: Display>(name: &str, result: Result<(), E>) -> ExitCode {
    match result {
        Ok(()) => {
            log_event!(LogEvent::ProgramStopped, "program={name}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            log_event!(LogEvent::ProgramFailed, "program={name}: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Waits for SIGTERM or SIGINT. Never returns if the signal handlers cannot be installed.
pub async fn shutdown_signal() {
    use tokio::signal::unix::{SignalKind, signal};
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
