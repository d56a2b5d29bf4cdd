//! Processor time of the workers and resident memory, read from `/proc` (proc(5)).

use std::fs;
use std::time::Duration;

const PAGE_BYTES: f64 = 4_096.0;

/// Returns the processor time used so far by the worker and reactor threads.
pub(crate) fn worker_cpu_time() -> Duration {
    let tasks = fs::read_dir("/proc/self/task")
        .into_iter()
        .flatten()
        .flatten();
    let is_worker = |task: &fs::DirEntry| {
        let name = fs::read_to_string(task.path().join("comm")).unwrap_or_default();
        name.starts_with("worker-") || name.starts_with("async-io")
    };
    let cpu_ns = |task: fs::DirEntry| {
        let text = fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
        let running = text.split(' ').next().and_then(|field| field.parse().ok());
        running.unwrap_or(0_u64)
    };
    Duration::from_nanos(tasks.filter(is_worker).map(cpu_ns).sum())
}

/// Returns the resident memory of the process, in bytes.
pub(crate) fn resident_bytes() -> f64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = text
        .split(' ')
        .nth(1)
        .and_then(|field| field.parse().ok())
        .unwrap_or(0.0);
    pages * PAGE_BYTES
}
