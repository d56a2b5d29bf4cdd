//! What this process has used of the machine.

use std::time::Duration;

/// The clock ticks in which Linux counts processor time, 10 ms each.
const CLOCK_TICK: Duration = Duration::from_millis(10);

/// The size of a page, in bytes.
const PAGE_BYTES: f64 = 4_096.0;

/// Returns the processor time used so far, by user and system.
pub(crate) fn cpu_time() -> Duration {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The name in parentheses may hold spaces; what follows does not.
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| -> u32 {
        let field = fields.get(index).and_then(|field| field.parse().ok());
        field.unwrap_or(0)
    };
    CLOCK_TICK * (ticks(11) + ticks(12))
}

/// Returns the resident memory, in bytes.
pub(crate) fn memory_bytes() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    let pages = pages.and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}
