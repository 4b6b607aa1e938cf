//! Record of what was sent, answered and run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// File with one line for each event, with the time since the start in milliseconds.
pub struct Record {
    started_at: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Mutex::new(BufWriter::new(File::create(path)?));
        Ok(Self { started_at: Instant::now(), file })
    }

    /// Appends a line.
    pub fn line(&self, text: &str) {
        let at = self.started_at.elapsed().as_millis();
        let mut file = self.file.lock().expect("no holder panics");
        // Without the record the verdict stays the same.
        let _ = writeln!(file, "{at:>6} {text}");
        let _ = file.flush();
    }
}
