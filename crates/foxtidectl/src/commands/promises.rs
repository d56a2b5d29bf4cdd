//! `foxtidectl promises`: the worst measurement of each promise over all instances.

use crate::admin;
use crate::failure::Failure;
use crate::report::{
    Report,
    Table, //
};
use crate::session::Session;
use argh::FromArgs;
use foxtide_config::document;
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::json;
use std::collections::BTreeMap;

/// Show the promises and whether all instances keep them
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "promises")]
pub(crate) struct Promises {
    /// only promises of this organisation
    #[argh(option)]
    organisation: Option<String>,
}

/// A promise as measured by one instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Measurement {
    organisation: String,
    promise: String,
    service: Option<String>,
    region: Option<String>,
    limit: f64,
    now: f64,
    worst_of_limit: f64,
    unit: String,
    held: bool,
}

/// The worst measurement of a promise over all instances that responded.
#[derive(Debug, Serialize)]
struct PromiseSummary {
    #[serde(flatten)]
    worst: Measurement,
    /// The number of instances that measured a violation.
    broken_at: usize,
    /// The number of instances that measured the promise.
    measured_at: usize,
}

impl Promises {
    /// Collects the measurements of all instances.
    pub(crate) async fn run(self, session: &Session) -> Result<Report, Failure> {
        let page = match &self.organisation {
            Some(name) => format!("/v1/promises?organisation={name}"),
            None => "/v1/promises".to_owned(),
        };
        let addresses = admin::all_addresses(&session.options().admin).await?;
        let responses = admin::fetch_all(&addresses, &page).await?;
        let mut measurements: Vec<Measurement> = Vec::new();
        for (address, page) in responses.pages {
            let rows: Vec<Measurement> =
                document::from_value(&format!("instance {address}"), page)?;
            measurements.extend(rows);
        }
        let summaries = summarise(measurements);
        let mut text = summary_table(&summaries);
        for error in &responses.errors {
            text.push_str(&format!("missing: {error}\n"));
        }
        Ok(Report::new(
            text,
            json!({"promises": summaries, "missing": responses.errors}),
        ))
    }
}

/// Groups the measurements by promise, most violations first.
fn summarise(measurements: Vec<Measurement>) -> Vec<PromiseSummary> {
    let mut summaries_by_key: BTreeMap<[String; 4], PromiseSummary> = BTreeMap::new();
    for measurement in measurements {
        let name = |part: &Option<String>| part.clone().unwrap_or_else(|| "-".to_owned());
        let key = [
            measurement.organisation.clone(),
            measurement.promise.clone(),
            name(&measurement.service),
            name(&measurement.region),
        ];
        let summary = summaries_by_key
            .entry(key)
            .or_insert_with(|| PromiseSummary {
                worst: measurement.clone(),
                broken_at: 0,
                measured_at: 0,
            });
        summary.measured_at += 1;
        summary.broken_at += usize::from(!measurement.held);
        if measurement.worst_of_limit > summary.worst.worst_of_limit {
            summary.worst = measurement;
        }
    }
    let mut summaries: Vec<PromiseSummary> = summaries_by_key.into_values().collect();
    summaries.sort_by_key(|one| std::cmp::Reverse(one.broken_at));
    summaries
}

fn summary_table(summaries: &[PromiseSummary]) -> String {
    if summaries.is_empty() {
        return "No promise has been measured yet: there was no traffic.\n".to_owned();
    }
    let heading = [
        "organisation",
        "promise",
        "service",
        "region",
        "now",
        "limit",
        "worst of limit",
        "kept",
    ];
    let mut table = Table::new(heading);
    for summary in summaries {
        table.row(cells(summary));
    }
    table.text()
}

fn cells(summary: &PromiseSummary) -> [String; 8] {
    let worst = &summary.worst;
    let name = |part: &Option<String>| part.clone().unwrap_or_else(|| "-".to_owned());
    let verdict = match summary.broken_at {
        0 => "yes".to_owned(),
        broken => format!("NO, at {broken} of {} instances", summary.measured_at),
    };
    [
        worst.organisation.clone(),
        worst.promise.clone(),
        name(&worst.service),
        name(&worst.region),
        format!("{:.4} {}", worst.now, worst.unit),
        format!("{:.4} {}", worst.limit, worst.unit),
        format!("{:.0} %", worst.worst_of_limit * 100.0),
        verdict,
    ]
}
