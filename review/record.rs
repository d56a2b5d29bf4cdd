//! What was sent, answered and run, with the time since the start.

use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    inner: Arc<Inner>,
}

struct Inner {
    began_at: Instant,
    file: PathBuf,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub fn new(file: PathBuf) -> Self {
        let inner = Inner {
            began_at: Instant::now(),
            file,
            lines: Mutex::default(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.inner.began_at.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} ms  {text}", self.now_ms());
        self.inner.lines.lock().unwrap().push(line);
    }

    pub fn write(&self) {
        let mut text = self.inner.lines.lock().unwrap().join("\n");
        text.push('\n');
        if let Err(error) = std::fs::write(&self.inner.file, text) {
            eprintln!("cannot write the record: {error}");
        }
    }
}
