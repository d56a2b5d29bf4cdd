//! A request's story, for people and for programs.

use super::cause;
use super::story::Story;
use crate::commands::lines::LogLine;
use crate::report::Report;
use serde_json::{
    Value,
    json, //
};
use std::fmt::Write;

/// Returns the report of a story.
pub(super) fn report(story: &Story<'_>) -> Report {
    let cause = cause::in_words(story);
    let mut text = format!("request {}\ncause: {cause}\n", story.id);
    append(&mut text, "what happened to it:", &story.own);
    append(&mut text, "what the instance believed:", &story.beliefs);
    let json_of = |lines: &[&LogLine]| lines.iter().map(|line| line.json()).collect::<Value>();
    let json = json!({
        "request": story.id,
        "cause": cause,
        "lines": json_of(&story.own),
        "beliefs": json_of(&story.beliefs),
    });
    Report::new(text, json)
}

fn append(text: &mut String, title: &str, lines: &[&LogLine]) {
    // Writing to a string cannot fail.
    let _ = writeln!(text, "{title}");
    for line in lines {
        let _ = writeln!(
            text,
            "  {} {} {}",
            line.time(),
            line.instance(),
            cause::line_in_words(line)
        );
    }
}
