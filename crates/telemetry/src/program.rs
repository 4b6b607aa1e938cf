//! Start and end that all programs share.

use std::fmt::Display;
use std::process::ExitCode;

use crate::event::LogEvent;
use crate::log_event;
use crate::logging::{self, LoggingSettings};

/// Exit status of a program whose settings are wrong.
pub const SETTINGS_EXIT_CODE: u8 = 2;

/// Starts logging and says which program runs; an error ends the program.
pub fn begin(name: &str, settings: &LoggingSettings) -> Result<(), ExitCode> {
    if let Err(error) = logging::start(settings) {
        eprintln!("{name}: {error}");
        return Err(ExitCode::from(SETTINGS_EXIT_CODE));
    }
    log_event!(LogEvent::ProgramStarted, "program={name} version={}", env!("CARGO_PKG_VERSION"));
    Ok(())
}

/// Turns the result of a program into its exit status.
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

/// Waits for SIGTERM or SIGINT.
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
