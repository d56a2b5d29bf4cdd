//! `foxtidectl promises`.

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

/// Show what was promised and whether all instances keep it
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "promises")]
pub(crate) struct Promises {
    /// only those of this organisation
    #[argh(option)]
    organisation: Option<String>,
}

/// A promise as one instance measures it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Measured {
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

/// A promise over all instances that answered: the worst of them counts.
#[derive(Debug, Serialize)]
struct Kept {
    #[serde(flatten)]
    worst: Measured,
    /// At how many instances it was not kept.
    broken_at: usize,
    /// At how many instances it was measured.
    measured_at: usize,
}

impl Promises {
    /// Asks all instances.
    pub(crate) async fn run(self, session: &Session) -> Result<Report, Failure> {
        let page = match &self.organisation {
            Some(name) => format!("/v1/promises?organisation={name}"),
            None => "/v1/promises".to_owned(),
        };
        let addresses = admin::all_addresses(&session.options().admin).await?;
        let responses = admin::fetch_all(&addresses, &page).await?;
        let mut measured: Vec<Measured> = Vec::new();
        for (address, page) in responses.pages {
            let rows: Vec<Measured> = document::typed(&format!("instance {address}"), page)?;
            measured.extend(rows);
        }
        let kept = over_all(measured);
        let mut text = shown(&kept);
        for silent in &responses.errors {
            text.push_str(&format!("missing: {silent}\n"));
        }
        Ok(Report::new(
            text,
            json!({"promises": kept, "missing": responses.errors}),
        ))
    }
}

/// Joins what the instances measured; broken promises come first.
fn over_all(measured: Vec<Measured>) -> Vec<Kept> {
    let mut joined: BTreeMap<[String; 4], Kept> = BTreeMap::new();
    for one in measured {
        let name = |part: &Option<String>| part.clone().unwrap_or_else(|| "-".to_owned());
        let key = [
            one.organisation.clone(),
            one.promise.clone(),
            name(&one.service),
            name(&one.region),
        ];
        let kept = joined.entry(key).or_insert_with(|| Kept {
            worst: one.clone(),
            broken_at: 0,
            measured_at: 0,
        });
        kept.measured_at += 1;
        kept.broken_at += usize::from(!one.held);
        if one.worst_of_limit > kept.worst.worst_of_limit {
            kept.worst = one;
        }
    }
    let mut kept: Vec<Kept> = joined.into_values().collect();
    kept.sort_by_key(|one| std::cmp::Reverse(one.broken_at));
    kept
}

fn shown(kept: &[Kept]) -> String {
    if kept.is_empty() {
        return "Nothing was measured yet: no traffic.\n".to_owned();
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
    for one in kept {
        table.row(cells(one));
    }
    table.text()
}

fn cells(kept: &Kept) -> [String; 8] {
    let worst = &kept.worst;
    let name = |part: &Option<String>| part.clone().unwrap_or_else(|| "-".to_owned());
    let verdict = match kept.broken_at {
        0 => "yes".to_owned(),
        broken => format!("NO, at {broken} of {} instances", kept.measured_at),
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
