//! CPU time and memory of this process, read from `/proc`.

use std::time::Duration;

/// Unit of the CPU times in `/proc/self/stat`, at the usual 100 ticks per second.
const CLOCK_TICK: Duration = Duration::from_millis(10);

const PAGE_BYTES: f64 = 4_096.0;

/// Returns the user and system CPU time used so far.
pub(crate) fn cpu_time() -> Duration {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The process name, in parentheses, may contain spaces; later fields do not.
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| -> u32 {
        let field = fields.get(index).and_then(|field| field.parse().ok());
        field.unwrap_or(0)
    };
    CLOCK_TICK * (ticks(11) + ticks(12))
}

/// Returns the resident set size, in bytes.
pub(crate) fn memory_bytes() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    let pages = pages.and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}
