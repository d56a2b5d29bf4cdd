//! Writes log lines to standard output from a thread, through a bounded queue,
//! so that logging does not block requests.

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
use std::time::{
    Duration,
    Instant, //
};

/// The queue capacity: about 2 MB at 500 bytes per line.
const QUEUED_LINES_MAX: usize = 4_096;

/// How long the process waits for queued lines before it ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Lines that were submitted, and lines that were written or dropped.
static QUEUED_LINES: AtomicU64 = AtomicU64::new(0);
static WRITTEN_LINES: AtomicU64 = AtomicU64::new(0);

/// Lines dropped because of a full queue since the last report.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Queues lines for the writer thread. Drops and counts lines if the queue is
/// full.
#[derive(Debug)]
pub(super) struct LineWriter {
    lines: SyncSender<Vec<u8>>,
}

impl LineWriter {
    /// Starts the writer thread.
    pub(super) fn start() -> Self {
        let (lines, waiting) = sync_channel(QUEUED_LINES_MAX);
        let started = thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&waiting));
        if let Err(error) = started {
            eprintln!("foxtide: cannot start the log thread: {error}");
        }
        Self { lines }
    }
}

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        QUEUED_LINES.fetch_add(1, Ordering::SeqCst);
        if let Err(error) = self.lines.try_send(line.to_vec()) {
            WRITTEN_LINES.fetch_add(1, Ordering::SeqCst);
            if matches!(error, TrySendError::Full(_)) {
                DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Waits up to [`FLUSH_TIMEOUT`] until the queued lines are written.
pub(super) fn flush() {
    let ends_at = Instant::now() + FLUSH_TIMEOUT;
    let queued = QUEUED_LINES.load(Ordering::SeqCst);
    while WRITTEN_LINES.load(Ordering::SeqCst) < queued && Instant::now() < ends_at {
        thread::sleep(FLUSH_POLL_INTERVAL);
    }
}

/// Writes lines until the process ends or standard output is closed.
fn write_lines(lines: &Receiver<Vec<u8>>) {
    let mut output = io::stdout();
    while let Ok(first) = lines.recv() {
        let mut block = first;
        let mut count = 1;
        for line in lines.try_iter() {
            block.extend_from_slice(&line);
            count += 1;
        }
        let dropped = DROPPED_LINES.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            // Logged after the queue was emptied, so that it has room.
            log_event!(EventCode::LinesDropped, lines = dropped);
        }
        if output
            .write_all(&block)
            .and_then(|()| output.flush())
            .is_err()
        {
            return;
        }
        WRITTEN_LINES.fetch_add(count, Ordering::SeqCst);
    }
}
