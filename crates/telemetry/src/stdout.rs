//! Log appender that never blocks and bounds the volume: what is left out is counted.

use std::fmt;
use std::io::ErrorKind;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use log::Record;
use log4rs::append::Append;
use log4rs::encode::Encode;
use log4rs::encode::writer::simple::SimpleWriter;
use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};

use crate::event::LogEvent;

/// Lines a second that are written in the long run.
const LINES_PER_SECOND: f64 = 60.0;
/// Lines that are written at once after a quiet time.
const LINES_AT_ONCE: f64 = 400.0;
/// Time between lines that tell how many were left out.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Budget of lines.
#[derive(Debug)]
pub struct LineLimiter {
    lines: f64,
    filled_at: Instant,
    left_out: u64,
    reported_at: Instant,
}

impl LineLimiter {
    /// Creates a full budget.
    pub fn new(now: Instant) -> Self {
        Self { lines: LINES_AT_ONCE, filled_at: now, left_out: 0, reported_at: now }
    }

    /// Takes a line; false if it must be left out.
    pub fn take(&mut self, now: Instant) -> bool {
        let earned = now.saturating_duration_since(self.filled_at).as_secs_f64() * LINES_PER_SECOND;
        self.filled_at = self.filled_at.max(now);
        self.lines = (self.lines + earned).min(LINES_AT_ONCE);
        if self.lines < 1.0 {
            self.left_out += 1;
            return false;
        }
        self.lines -= 1.0;
        true
    }

    /// Counts a line that could not be written.
    pub fn note_left_out(&mut self) {
        self.left_out += 1;
    }

    /// Returns how many lines were left out since the last report, if it is time to tell.
    pub fn report(&mut self, now: Instant) -> Option<u64> {
        if self.left_out == 0 || now.saturating_duration_since(self.reported_at) < REPORT_PERIOD {
            return None;
        }
        self.reported_at = now;
        Some(std::mem::take(&mut self.left_out))
    }
}

/// Appender to standard output.
pub struct StdoutAppender {
    encoder: Box<dyn Encode>,
    budget: Mutex<LineLimiter>,
}

impl StdoutAppender {
    /// Creates an appender and makes standard output refuse what its reader does not take.
    pub fn new(encoder: Box<dyn Encode>) -> Self {
        let output = rustix::stdio::stdout();
        let nonblocking =
            fcntl_getfl(output).and_then(|flags| fcntl_setfl(output, flags | OFlags::NONBLOCK));
        if let Err(error) = nonblocking {
            // Lines are still bounded; only a reader that stalls can hold the process up.
            eprintln!("standard output stays blocking: {error}");
        }
        Self { encoder, budget: Mutex::new(LineLimiter::new(Instant::now())) }
    }

    fn write(&self, record: &Record<'_>) -> anyhow::Result<bool> {
        let mut line = Vec::with_capacity(256);
        self.encoder.encode(&mut SimpleWriter(&mut line), record)?;
        match rustix::io::write(rustix::stdio::stdout(), &line) {
            Ok(_) => Ok(true),
            Err(error) if std::io::Error::from(error).kind() == ErrorKind::WouldBlock => Ok(false),
            Err(error) => Err(error.into()),
        }
    }
}

impl fmt::Debug for StdoutAppender {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("BoundedAppender").finish_non_exhaustive()
    }
}

impl Append for StdoutAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let now = Instant::now();
        let (taken, left_out) = {
            let Ok(mut budget) = self.budget.lock() else {
                return Ok(());
            };
            (budget.take(now), budget.report(now))
        };
        if let Some(count) = left_out {
            let event = LogEvent::LinesDropped;
            let arguments = format_args!("{event} count={count}");
            let report = Record::builder()
                .level(event.level())
                .target(module_path!())
                .args(arguments)
                .build();
            self.write(&report)?;
        }
        if taken
            && !self.write(record)?
            && let Ok(mut budget) = self.budget.lock()
        {
            budget.note_left_out();
        }
        Ok(())
    }

    fn flush(&self) {}
}
