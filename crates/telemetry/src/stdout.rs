//! Log appender for standard output that never blocks, limits the rate and counts dropped lines.

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

/// Sustained rate of lines per second.
const MAX_LINES_PER_SECOND: f64 = 60.0;
/// Lines that may be written in one burst after an idle period.
const MAX_BURST_LINES: f64 = 400.0;
/// Interval between reports of dropped lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Token bucket that limits the rate of log lines.
#[derive(Debug)]
pub struct LineLimiter {
    available_lines: f64,
    refilled_at: Instant,
    dropped: u64,
    reported_at: Instant,
}

impl LineLimiter {
    /// Creates a limiter with a full bucket.
    pub fn new(now: Instant) -> Self {
        Self { available_lines: MAX_BURST_LINES, refilled_at: now, dropped: 0, reported_at: now }
    }

    /// Takes a token for one line. Returns false if the line must be dropped.
    pub fn try_acquire(&mut self, now: Instant) -> bool {
        let refilled =
            now.saturating_duration_since(self.refilled_at).as_secs_f64() * MAX_LINES_PER_SECOND;
        self.refilled_at = self.refilled_at.max(now);
        self.available_lines = (self.available_lines + refilled).min(MAX_BURST_LINES);
        if self.available_lines < 1.0 {
            self.dropped += 1;
            return false;
        }
        self.available_lines -= 1.0;
        true
    }

    /// Counts a line that was allowed but could not be written.
    pub fn record_dropped(&mut self) {
        self.dropped += 1;
    }

    /// Returns and resets the number of dropped lines, or `None` if no report is due.
    pub fn take_dropped_count(&mut self, now: Instant) -> Option<u64> {
        if self.dropped == 0 || now.saturating_duration_since(self.reported_at) < REPORT_INTERVAL {
            return None;
        }
        self.reported_at = now;
        Some(std::mem::take(&mut self.dropped))
    }
}

/// Appender that writes log lines to standard output.
pub struct StdoutAppender {
    encoder: Box<dyn Encode>,
    limiter: Mutex<LineLimiter>,
}

impl StdoutAppender {
    /// Creates an appender and switches standard output to non-blocking mode.
    pub fn new(encoder: Box<dyn Encode>) -> Self {
        let output = rustix::stdio::stdout();
        let nonblocking =
            fcntl_getfl(output).and_then(|flags| fcntl_setfl(output, flags | OFlags::NONBLOCK));
        if let Err(error) = nonblocking {
            // The rate limit still applies, but a stalled reader can block the process.
            eprintln!("cannot make standard output non-blocking: {error}");
        }
        Self { encoder, limiter: Mutex::new(LineLimiter::new(Instant::now())) }
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
        formatter.debug_struct("StdoutAppender").finish_non_exhaustive()
    }
}

impl Append for StdoutAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let now = Instant::now();
        let (allowed, dropped) = {
            let Ok(mut limiter) = self.limiter.lock() else {
                return Ok(());
            };
            (limiter.try_acquire(now), limiter.take_dropped_count(now))
        };
        if let Some(count) = dropped {
            let event = LogEvent::LinesDropped;
            let arguments = format_args!("{event} count={count}");
            let report = Record::builder()
                .level(event.level())
                .target(module_path!())
                .args(arguments)
                .build();
            self.write(&report)?;
        }
        if allowed
            && !self.write(record)?
            && let Ok(mut limiter) = self.limiter.lock()
        {
            limiter.record_dropped();
        }
        Ok(())
    }

    fn flush(&self) {}
}
