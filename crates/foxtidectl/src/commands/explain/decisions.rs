//! Explanations as people read them.

use crate::admin;
use crate::failure::Failure;
use crate::report::Report;
use crate::session::Session;
use serde_json::{Value, json};
use std::fmt::Write;

/// Asks all instances for explanations and shows those that there are.
pub(super) async fn ask(session: &Session, query: &str, what: &str) -> Result<Report, Failure> {
    let addresses = admin::all_addresses(&session.options().admin).await?;
    let answers = admin::ask_all(&addresses, &format!("/v1/explain?{query}")).await?;
    let mut text = String::new();
    let mut found = Vec::new();
    for (address, page) in &answers.pages {
        for explanation in page.as_array().into_iter().flatten() {
            text.push_str(&in_words(&address.to_string(), explanation));
            found.push(json!({"asked": address, "explanation": explanation}));
        }
    }
    for silent in &answers.silent {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "not asked: {silent}");
    }
    if found.is_empty() {
        let problem = format!("{}no instance remembers {what}", note(&text));
        let advice = "instances keep the latest only; ask soon after, or see `foxtidectl timeline`";
        return Err(Failure::refused(problem, advice));
    }
    Ok(Report::new(text, json!(found)))
}

fn note(text: &str) -> String {
    match text.is_empty() {
        true => String::new(),
        false => format!("{}\n", text.trim_end()),
    }
}

/// Returns an explanation as a few lines.
fn in_words(asked: &str, explanation: &Value) -> String {
    let field = |name: &str| {
        explanation
            .get(name)
            .map(plain)
            .unwrap_or_else(|| "-".to_owned())
    };
    let mut text = format!(
        "{} {}: {}\n  by instance {asked} at {} us, region {}, figures {} ms old\n",
        field("kind"),
        field("rule"),
        field("because"),
        field("at_us"),
        field("region"),
        field("view_age_ms"),
    );
    let attempts = explanation.get("attempts").and_then(Value::as_array);
    for attempt in attempts.into_iter().flatten() {
        let part = |name: &str| attempt.get(name).map(plain).unwrap_or_default();
        let _ = writeln!(
            text,
            "  attempt at {}: {}",
            part("upstream"),
            part("result")
        );
    }
    if let Some(view) = explanation.get("view") {
        let _ = writeln!(text, "  figures: {view}");
    }
    text
}

fn plain(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}
