//! Formats the counts as text and JSON.

use super::tally::{
    Counts,
    GroupKey,
    Tally, //
};
use crate::commands::log_lines::UnreadableLine;
use crate::report::{
    Report,
    Table, //
};
use serde_json::{
    Value,
    json, //
};
use std::collections::BTreeMap;
use std::fmt::Write;

/// The maximum number of unreadable lines listed; all are counted.
const UNREADABLE_LISTED_MAX: usize = 10;

pub(super) fn report(tally: &Tally, unreadable: &[UnreadableLine]) -> Report {
    let routes = tally.sums(|key| (key.service.clone(), key.route.clone()));
    let windows = tally.by_window();
    let mut text = String::from("by service and route\n");
    text.push_str(&table(
        ["service", "route"],
        routes.iter(),
        |(service, route)| vec![service.clone(), route.clone()],
    ));
    text.push_str("\nby time window (start in seconds since the first event)\n");
    text.push_str(&table(["second"], windows.iter(), |&window| {
        vec![window_start(tally, window)]
    }));
    text.push_str(&reasons(&routes));
    text.push_str(&tally.organisations.text());
    text.push_str(&tally.groups.text());
    text.push_str(&tally.slot_causes.text());
    text.push_str(&tally.store_calls.text(tally.window_s));
    text.push_str(&footer(tally, unreadable));
    Report::new(text, to_json(tally, unreadable))
}

fn window_start(tally: &Tally, window: u64) -> String {
    format!("{:.0}", window as f64 * tally.window_s)
}

fn table<'a, K: 'a, const N: usize>(
    names: [&str; N],
    rows: impl Iterator<Item = (&'a K, &'a Counts)>,
    cells_of: impl Fn(&K) -> Vec<String>,
) -> String {
    let columns = [
        "in time",
        "late",
        "refused",
        "failed",
        "cut",
        "refused late",
        "refused at once",
        "lost",
        "in vain s",
        "slot wait s",
        "first",
        "moved",
        "oldest ms",
    ];
    let headings = names.into_iter().chain(columns).map(str::to_owned);
    let mut table = Table::with_columns(headings);
    for (key, counts) in rows {
        let mut cells = cells_of(key);
        cells.extend(count_cells(counts));
        table.cells(cells.into_iter());
    }
    table.text()
}

fn count_cells(counts: &Counts) -> [String; 13] {
    [
        counts.in_time.to_string(),
        counts.late.to_string(),
        counts.refused.to_string(),
        counts.failed.to_string(),
        counts.attempts_cut.to_string(),
        counts.attempts_refused_late.to_string(),
        counts.attempts_refused.to_string(),
        counts.attempts_lost.to_string(),
        format!("{:.1}", counts.vain_s),
        format!("{:.1}", counts.slot_wait_s),
        counts.objects_first.to_string(),
        counts.objects_moved.to_string(),
        format!("{:.0}", counts.knowledge_age_max_ms),
    ]
}

fn reasons(routes: &BTreeMap<(String, String), Counts>) -> String {
    let mut table = Table::new(["service", "route", "reason", "requests"]);
    for ((service, route), counts) in routes {
        for (reason, count) in &counts.reasons {
            let cells = [service, route, reason].map(Clone::clone);
            table.cells(cells.into_iter().chain([count.to_string()]));
        }
    }
    format!("\nby reason\n{}", table.text())
}

/// Formats the counts of lines and requests missing from the tables.
fn footer(tally: &Tally, unreadable: &[UnreadableLine]) -> String {
    let mut text = format!(
        "\nrequests cancelled by their callers: {}\n",
        tally.cancelled
    );
    let (answered, others) = tally.lines_omitted;
    let _ = writeln!(
        text,
        "log lines omitted by instances: {answered} of requests answered in time, {others} of \
         others; dropped: {}",
        tally.lines_dropped
    );
    let _ = writeln!(text, "lines that are not events: {}", unreadable.len());
    for line in unreadable.iter().take(UNREADABLE_LISTED_MAX) {
        let _ = writeln!(text, "  {}:{}: {}", line.file, line.number, line.cause);
    }
    text
}

fn to_json(tally: &Tally, unreadable: &[UnreadableLine]) -> Value {
    let row = |(key, counts): (&GroupKey, &Counts)| {
        json!({
            "service": key.service,
            "route": key.route,
            "from_s": key.window as f64 * tally.window_s,
            "counts": counts,
        })
    };
    let unreadable_row = |line: &UnreadableLine| json!({"file": line.file, "line": line.number, "cause": line.cause});
    json!({
        "window_s": tally.window_s,
        "begins_s": tally.start_s,
        "rows": tally.counts.iter().map(row).collect::<Value>(),
        "organisations": tally.organisations.to_json(),
        "groups": tally.groups.to_json(),
        "slots_without_answer": tally.slot_causes.to_json(),
        "store_calls": tally.store_calls.to_json(),
        "callers_left": tally.cancelled,
        "lines_left_out": {"answered": tally.lines_omitted.0, "others": tally.lines_omitted.1},
        "lines_dropped": tally.lines_dropped,
        "unreadable": unreadable.iter().map(unreadable_row).collect::<Value>(),
    })
}
