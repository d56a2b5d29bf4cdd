//! Counts late, rejected and failed requests by organisation, route and region of the caller's
//! instance.

use crate::commands::log_lines::LogLine;
use crate::report::Table;
use serde_json::{
    Value,
    json, //
};
use std::collections::BTreeMap;
use std::fmt::Write;

/// The groupings: the heading of each, which is its name in JSON, and its log field.
const GROUPINGS: [(&str, &str); 3] = [
    ("organisation", "organisation"),
    ("route", "route"),
    ("origin", "origin"),
];

/// The maximum number of groups in a table, those with most losses first.
const LISTED_MAX: usize = 20;

/// The statuses with which an instance promises that a request did not run and will not.
const REJECTED_STATUSES: [f64; 2] = [429.0, 503.0];

/// Outcomes of the requests of one group.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
struct Outcomes {
    requests: u64,
    late: u64,
    rejected: u64,
    failed: u64,
}

impl Outcomes {
    fn add(&mut self, line: &LogLine) {
        self.requests += 1;
        if line.event == "request-answered" {
            self.late += u64::from(line.is_late());
        } else if is_rejected(line) {
            self.rejected += 1;
        } else {
            self.failed += 1;
        }
    }

    fn lost(self) -> u64 {
        self.late + self.rejected + self.failed
    }

    fn cells(self) -> [String; 4] {
        [self.requests, self.late, self.rejected, self.failed].map(|count| count.to_string())
    }
}

/// Outcomes by the value of each grouping's field, in the order of [`GROUPINGS`]; a missing
/// value is `-`.
#[derive(Debug, Default)]
pub(super) struct Groups {
    outcomes: [BTreeMap<String, Outcomes>; GROUPINGS.len()],
}

impl Groups {
    /// Adds the outcome of a request. It is counted at the instance that its caller sent it to,
    /// not at one that it was passed on to.
    pub(super) fn add(&mut self, line: &LogLine) {
        if line.boolean("is_taken_over") == Some(true) {
            return;
        }
        for (outcomes, (_, field)) in self.outcomes.iter_mut().zip(GROUPINGS) {
            outcomes.entry(line.text(field)).or_default().add(line);
        }
    }

    /// Formats a table for each grouping; empty if there are no requests.
    pub(super) fn text(&self) -> String {
        let tables = GROUPINGS.iter().zip(&self.outcomes);
        tables
            .filter(|(_, outcomes)| !outcomes.is_empty())
            .map(|((name, _), outcomes)| table(name, outcomes))
            .collect()
    }

    /// Returns the outcomes of all groups.
    pub(super) fn to_json(&self) -> Value {
        let groups = GROUPINGS.iter().zip(&self.outcomes);
        groups
            .map(|((name, _), outcomes)| (format!("by_{name}"), json!(outcomes)))
            .collect()
    }
}

fn table(name: &str, outcomes: &BTreeMap<String, Outcomes>) -> String {
    let mut rows: Vec<(&String, &Outcomes)> = outcomes.iter().collect();
    rows.sort_by_key(|(_, outcomes)| std::cmp::Reverse(outcomes.lost()));
    let mut table = Table::new([name, "requests", "late", "rejected", "failed"]);
    for (group, outcomes) in rows.iter().take(LISTED_MAX) {
        let cells = std::iter::once((*group).clone());
        table.cells(cells.chain(outcomes.cells()));
    }
    let mut text = format!("\nlate, rejected and failed by {name}\n{}", table.text());
    if let Some(others) = rows.len().checked_sub(LISTED_MAX).filter(|&rest| rest > 0) {
        let _ = writeln!(text, "and {others} with fewer");
    }
    text
}

fn is_rejected(line: &LogLine) -> bool {
    let status = line.number("status");
    let is_not_run = status.is_some_and(|status| REJECTED_STATUSES.contains(&status));
    is_not_run && line.has_text("source", "instance")
}
