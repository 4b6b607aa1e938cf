//! Record of what was sent, answered and run, with times in milliseconds since the start.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

pub struct Recorder {
    started_at: Instant,
    lines: Mutex<Vec<(u128, String)>>,
}

pub type SharedRecorder = Arc<Recorder>;

impl Recorder {
    pub fn new() -> SharedRecorder {
        Arc::new(Self { started_at: Instant::now(), lines: Mutex::default() })
    }

    /// Returns the time since the start in milliseconds.
    pub fn now_ms(&self) -> u128 {
        self.started_at.elapsed().as_millis()
    }

    pub fn line(&self, text: String) {
        let at = self.started_at.elapsed().as_micros();
        self.lines.lock().unwrap().push((at, text));
    }

    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let lines = self.lines.lock().unwrap();
        let format = |(at, text): &(u128, String)| format!("{:9.3} ms  {text}\n", *at as f64 / 1_000.0);
        std::fs::write(path, lines.iter().map(format).collect::<String>())
    }
}
