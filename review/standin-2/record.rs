//! Record of what was sent, answered and run, with the time since the start in milliseconds.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).unwrap_or_else(|error| crate::cannot_run(&format!("{path}: {error}")));
        Self { started_at: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Returns the milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.now_ms());
        let mut file = self.file.lock().unwrap();
        // The record is for people; the verdict does not depend on it.
        let _ = file.write_all(line.as_bytes());
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// Shortens a message for the record.
pub fn short(text: &str) -> String {
    if text.len() <= 100 {
        return text.to_owned();
    }
    let head: String = text.chars().take(60).collect();
    format!("{head}... ({} bytes)", text.len())
}
