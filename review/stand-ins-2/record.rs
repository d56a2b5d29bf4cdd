//! The record of a case: what was sent, answered and run, in order of time.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    began_at: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            began_at: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Returns the seconds since the begin of the case.
    pub fn now(&self) -> f64 {
        self.began_at.elapsed().as_secs_f64()
    }

    /// Adds a line.
    pub fn note(&self, line: impl Into<String>) {
        let line = line.into();
        let mut lines = self.lines.lock().unwrap();
        lines.push((self.now(), line));
    }

    /// Adds a line and shows it.
    pub fn say(&self, line: impl Into<String>) {
        let line = line.into();
        println!("{:8.3} {line}", self.now());
        self.note(line);
    }

    /// Passes each line with its time to a function.
    pub fn each(&self, mut take: impl FnMut(f64, &str)) {
        for (at, line) in self.lines.lock().unwrap().iter() {
            take(*at, line);
        }
    }

    /// Writes the lines to a file.
    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let mut file = BufWriter::new(File::create(path)?);
        for (at, line) in self.lines.lock().unwrap().iter() {
            writeln!(file, "{at:8.3} {line}")?;
        }
        file.flush()
    }
}
