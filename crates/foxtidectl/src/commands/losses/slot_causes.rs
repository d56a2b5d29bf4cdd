//! Counts requests for slots without an answer by cause and region of the asking instance.

use crate::commands::log_lines::LogLine;
use crate::report::Table;
use serde_json::{
    Value,
    json, //
};
use std::collections::BTreeMap;

/// The values of `slot` in log lines that mean that there was no answer: the coordinator did not
/// answer, and it was not asked since it had not answered before.
const CAUSES: [&str; 2] = ["unanswered", "skipped"];

/// The values of `slot` of requests whose coordinator was not to be asked; `-` if it is missing.
const NOT_TO_BE_ASKED: [&str; 3] = ["not_asked", "told", "-"];

/// Requests of one region.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    /// Requests whose coordinator was to be asked.
    requests: u64,
    /// In the order of [`CAUSES`].
    causes: [u64; CAUSES.len()],
}

impl Counts {
    fn add(&mut self, other: Self) {
        self.requests += other.requests;
        for (count, other) in self.causes.iter_mut().zip(other.causes) {
            *count += other;
        }
    }

    fn to_json(self) -> Value {
        let causes = CAUSES.into_iter().zip(self.causes);
        let counts = std::iter::once(("requests", self.requests)).chain(causes);
        counts
            .map(|(name, count)| (name.to_owned(), json!(count)))
            .collect()
    }
}

/// Requests for slots by region of the asking instance; `-` if it is unknown.
#[derive(Debug, Default)]
pub(super) struct SlotCauses {
    regions: BTreeMap<String, Counts>,
}

impl SlotCauses {
    /// Adds how a request came to be sent.
    pub(super) fn add(&mut self, line: &LogLine) {
        let slot = line.text("slot");
        if NOT_TO_BE_ASKED.contains(&slot.as_str()) {
            return;
        }
        let causes = CAUSES.map(|cause| u64::from(cause == slot));
        let counts = self.regions.entry(line.text("origin")).or_default();
        counts.add(Counts {
            requests: 1,
            causes,
        });
    }

    /// Formats a table with a final row of totals; empty if all requests were answered.
    pub(super) fn text(&self) -> String {
        let total = self.total();
        if total.causes.iter().all(|&count| count == 0) {
            return String::new();
        }
        let mut table = Table::with_columns(
            ["origin", "requests"]
                .into_iter()
                .chain(CAUSES)
                .map(str::to_owned),
        );
        let regions = self
            .regions
            .iter()
            .map(|(region, &counts)| (region.as_str(), counts));
        for (region, counts) in regions.chain([("all", total)]) {
            let numbers = std::iter::once(counts.requests).chain(counts.causes);
            let cells = numbers.map(|number| number.to_string());
            table.cells(std::iter::once(region.to_owned()).chain(cells));
        }
        let text = table.text();
        format!("\nrequests for slots without an answer, by cause\n{text}")
    }

    /// Returns the counts of all regions and their totals.
    pub(super) fn to_json(&self) -> Value {
        let by_origin: Value = self
            .regions
            .iter()
            .map(|(region, counts)| (region.clone(), counts.to_json()))
            .collect();
        json!({"by_origin": by_origin, "all": self.total().to_json()})
    }

    fn total(&self) -> Counts {
        let mut total = Counts::default();
        for &counts in self.regions.values() {
            total.add(counts);
        }
        total
    }
}
