//! Counts the outcomes of requests by organisation.

use crate::commands::log_lines::LogLine;
use crate::report::Table;
use serde_json::{
    Value,
    json, //
};
use std::collections::BTreeMap;

/// The maximum number of organisations in the table, those with most losses first.
const LISTED_MAX: usize = 20;

/// Outcomes of the requests of one organisation.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
struct Counts {
    answered: u64,
    /// Refused because the quota was exhausted.
    over_quota: u64,
    /// Refused or failed for any other reason.
    lost: u64,
}

/// Outcomes of requests by organisation.
#[derive(Debug, Default)]
pub(super) struct Organisations {
    counts: BTreeMap<String, Counts>,
    /// Requests refused for a missing or invalid caller key.
    without_key: u64,
}

impl Organisations {
    /// Adds the outcome of a request.
    pub(super) fn add(&mut self, line: &LogLine) {
        if line.text("reason").starts_with("key_") {
            self.without_key += 1;
            return;
        }
        let organisation = line.text("organisation");
        if matches!(organisation.as_str(), "" | "-") {
            return;
        }
        let counts = self.counts.entry(organisation).or_default();
        if line.event == "request-answered" {
            counts.answered += 1;
        } else if line.has_text("reason", "quota_reached") {
            counts.over_quota += 1;
        } else {
            counts.lost += 1;
        }
    }

    /// Formats a table of the organisations with most losses; empty if there are no requests.
    pub(super) fn text(&self) -> String {
        if self.counts.is_empty() && self.without_key == 0 {
            return String::new();
        }
        let mut rows: Vec<(&String, &Counts)> = self.counts.iter().collect();
        rows.sort_by_key(|(_, counts)| std::cmp::Reverse(counts.over_quota + counts.lost));
        let headings = ["organisation", "answered", "over quota", "lost"];
        let mut table = Table::with_columns(headings.into_iter().map(str::to_owned));
        for (organisation, counts) in rows.into_iter().take(LISTED_MAX) {
            let values = [counts.answered, counts.over_quota, counts.lost];
            let cells = std::iter::once(organisation.clone());
            table.cells(cells.chain(values.map(|value| value.to_string())));
        }
        format!(
            "\nby organisation, most losses first\n{}requests rejected without a known key: {}\n",
            table.text(),
            self.without_key
        )
    }

    /// Returns the counts of all organisations.
    pub(super) fn to_json(&self) -> Value {
        json!({"by_name": self.counts, "without_key": self.without_key})
    }
}
