//! Standard output behind a bounded queue, so that no request waits for it.

use foxtide_events::{
    EventCode,
    log_event, //
};
use std::io::{
    self,
    Write, //
};
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use std::sync::mpsc::{
    Receiver,
    SyncSender,
    TrySendError,
    sync_channel, //
};
use std::thread;

/// The most lines that wait to be written: 2 MB at 500 bytes a line.
const WAITING_LINES_MAX: usize = 4_096;

/// Lines that found the queue full since the last line that was written.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Hands lines to a thread that writes them; drops those for which there is no
/// room, and counts them.
#[derive(Debug)]
pub(super) struct LineWriter {
    lines: SyncSender<Vec<u8>>,
}

impl LineWriter {
    /// Starts the thread.
    pub(super) fn start() -> Self {
        let (lines, waiting) = sync_channel(WAITING_LINES_MAX);
        let started = thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&waiting));
        if let Err(error) = started {
            eprintln!("foxtide: no thread writes the log: {error}");
        }
        Self { lines }
    }
}

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if let Err(TrySendError::Full(_)) = self.lines.try_send(line.to_vec()) {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines until the process ends or standard output is closed.
fn write_lines(lines: &Receiver<Vec<u8>>) {
    let mut output = io::stdout();
    while let Ok(first) = lines.recv() {
        let mut block = first;
        for line in lines.try_iter() {
            block.extend_from_slice(&line);
        }
        let dropped = DROPPED_LINES.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            // The queue has room again by now.
            log_event!(EventCode::LinesDropped, lines = dropped);
        }
        if output
            .write_all(&block)
            .and_then(|()| output.flush())
            .is_err()
        {
            return;
        }
    }
}
