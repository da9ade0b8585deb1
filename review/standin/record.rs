//! The record of what was sent, answered and run, with times since the start of the case.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Writes lines to `record.txt`.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self {
            start: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    /// Time since the start of the case.
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes a line with the current time.
    pub fn note(&self, who: &str, text: &str) {
        let seconds = self.elapsed().as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{seconds:9.3} {who}: {text}");
        }
    }
}
