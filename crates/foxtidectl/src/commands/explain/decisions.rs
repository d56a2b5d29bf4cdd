//! Fetches explanations from instances and formats them.

use crate::admin;
use crate::failure::Failure;
use crate::report::{
    Report,
    utc, //
};
use crate::session::Session;
use foxtide_core::time::WallTime;
use serde_json::{
    Value,
    json, //
};
use std::fmt::Write;

/// Fetches the matching explanations from all instances and reports them.
pub(super) async fn explain(session: &Session, query: &str, what: &str) -> Result<Report, Failure> {
    let addresses = admin::all_addresses(&session.options().admin).await?;
    let responses = admin::fetch_all(&addresses, &format!("/v1/explain?{query}")).await?;
    let mut text = String::new();
    let mut explanations = Vec::new();
    for (address, page) in &responses.pages {
        for explanation in page.as_array().into_iter().flatten() {
            text.push_str(&describe(&address.to_string(), explanation));
            explanations.push(json!({"asked": address, "explanation": explanation}));
        }
    }
    for error in &responses.errors {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "missing: {error}");
    }
    if explanations.is_empty() {
        let problem = format!(
            "{}no instance has a record of {what}",
            with_line_break(&text)
        );
        let advice =
            "instances keep only the latest records; query sooner, or see `foxtidectl timeline`";
        return Err(Failure::refused(problem, advice));
    }
    Ok(Report::new(text, json!(explanations)))
}

fn with_line_break(text: &str) -> String {
    match text.is_empty() {
        true => String::new(),
        false => format!("{}\n", text.trim_end()),
    }
}

/// Formats an explanation as several lines.
fn describe(admin_address: &str, explanation: &Value) -> String {
    let field = |name: &str| value_text(explanation.get(name));
    let at = explanation.get("at_us").and_then(Value::as_u64);
    let at = at.map_or("-".to_owned(), |us| utc(WallTime::from_us(us)));
    let mut text = format!(
        "{} {}: {}\n  at {at} by {admin_address}, region {}, view {} ms old\n",
        field("kind"),
        field("rule"),
        field("because"),
        field("region"),
        field("view_age_ms"),
    );
    for attempt in array_field(explanation, "attempts") {
        let (upstream, result) = (
            value_text(attempt.get("upstream")),
            value_text(attempt.get("result")),
        );
        // Writing to a string cannot fail.
        let _ = writeln!(text, "  attempt at {upstream}: {result}");
    }
    for candidate in explanation
        .get("view")
        .into_iter()
        .flat_map(|view| array_field(view, "candidates"))
    {
        text.push_str(&describe_candidate(candidate));
    }
    text
}

/// Formats a candidate with the values that were compared.
fn describe_candidate(candidate: &Value) -> String {
    let name = candidate.get("name").and_then(Value::as_object);
    let name = name
        .into_iter()
        .flatten()
        .map(|(kind, name)| format!("{kind} {}", value_text(Some(name))));
    let figures = array_field(candidate, "figures").map(|figure| {
        let (kind, value) = (
            value_text(figure.get("kind")),
            value_text(figure.get("value")),
        );
        format!(
            "{kind} {value} ({} ms old)",
            value_text(figure.get("age_ms"))
        )
    });
    let name: Vec<String> = name.collect();
    let figures: Vec<String> = figures.collect();
    let excluded = match candidate.get("excluded") {
        Some(reason) => format!(", excluded: {}", value_text(Some(reason))),
        None => String::new(),
    };
    let (name, figures) = (name.join(" "), figures.join(", "));
    format!("  candidate {name}: {figures}{excluded}\n")
}

fn array_field<'a>(value: &'a Value, field: &str) -> impl Iterator<Item = &'a Value> {
    value
        .get(field)
        .and_then(Value::as_array)
        .into_iter()
        .flatten()
}

fn value_text(value: Option<&Value>) -> String {
    match value {
        None => "-".to_owned(),
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
    }
}
