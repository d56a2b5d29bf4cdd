//! Counts calls to the store by purpose and time window.

use crate::commands::log_lines::LogLine;
use crate::report::Table;
use serde_json::{
    Value,
    json, //
};
use std::collections::BTreeMap;

/// The purposes of calls, as named in the log lines.
const PURPOSES: [&str; 7] = [
    "start",
    "start_old",
    "record",
    "renewal",
    "following",
    "recovery",
    "quarantine",
];

/// Calls by window; counts are in the order of [`PURPOSES`].
#[derive(Debug, Default)]
pub(super) struct StoreCalls {
    windows: BTreeMap<u64, [u64; PURPOSES.len()]>,
}

impl StoreCalls {
    /// Adds the counts of a line.
    pub(super) fn add(&mut self, line: &LogLine, window: u64) {
        let calls = self.windows.entry(window).or_default();
        for (count, purpose) in calls.iter_mut().zip(PURPOSES) {
            *count += line.number(purpose).unwrap_or_default() as u64;
        }
    }

    /// Formats a table with a final row of totals; empty if there are no counts.
    pub(super) fn text(&self, window_s: f64) -> String {
        if self.windows.is_empty() {
            return String::new();
        }
        let headings = ["second"].into_iter().chain(PURPOSES);
        let mut table = Table::with_columns(headings.map(str::to_owned));
        for (&window, calls) in &self.windows {
            table.cells(row(format!("{:.0}", window as f64 * window_s), calls));
        }
        table.cells(row("all".to_owned(), &self.totals()));
        let text = table.text();
        format!("\ncalls to the store, logged up to 3 s after they were made\n{text}")
    }

    /// Returns the totals of all windows.
    pub(super) fn to_json(&self) -> Value {
        let sums = PURPOSES.into_iter().zip(self.totals());
        sums.map(|(purpose, calls)| (purpose.to_owned(), json!(calls)))
            .collect()
    }

    fn totals(&self) -> [u64; PURPOSES.len()] {
        let mut sum = [0; PURPOSES.len()];
        for calls in self.windows.values() {
            for (sum, calls) in sum.iter_mut().zip(calls) {
                *sum += calls;
            }
        }
        sum
    }
}

fn row(name: String, calls: &[u64; PURPOSES.len()]) -> impl Iterator<Item = String> {
    std::iter::once(name).chain(calls.map(|calls| calls.to_string()))
}
