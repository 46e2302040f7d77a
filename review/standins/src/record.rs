//! The record of a run: what was sent, answered and run, a line each.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::Instant;

/// Writes lines with the time since the run began.
#[derive(Clone)]
pub struct Record {
    begin: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    /// Creates `record.txt` in the folder.
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        let file = BufWriter::new(File::create(folder.join("record.txt"))?);
        Ok(Record { begin: Instant::now(), file: Arc::new(Mutex::new(file)) })
    }

    /// Time since the run began.
    pub fn now(&self) -> Duration {
        self.begin.elapsed()
    }

    /// When the run began.
    pub fn begin(&self) -> Instant {
        self.begin
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{:8.3} {text}", self.begin.elapsed().as_secs_f64());
        }
    }

    /// Writes a line here and to standard output.
    pub fn say(&self, text: &str) {
        println!("{:8.3} {text}", self.begin.elapsed().as_secs_f64());
        self.line(text);
        self.flush();
    }

    /// Writes what is buffered to the file.
    pub fn flush(&self) {
        if let Ok(mut file) = self.file.lock() {
            let _ = file.flush();
        }
    }
}
