//! Formats the trace of a request as text and JSON.

use super::cause;
use super::trace::RequestTrace;
use crate::commands::log_lines::LogLine;
use crate::report::Report;
use serde_json::{
    Value,
    json, //
};
use std::fmt::Write;

pub(super) fn report(trace: &RequestTrace<'_>) -> Report {
    let cause = cause::describe(trace);
    let mut text = format!("request {}\ncause: {cause}\n", trace.id);
    append_lines(&mut text, "events of the request:", &trace.request_lines);
    append_lines(&mut text, "state of the instance:", &trace.instance_state);
    let json_of = |lines: &[&LogLine]| lines.iter().map(|line| line.json()).collect::<Value>();
    let json = json!({
        "request": trace.id,
        "cause": cause,
        "lines": json_of(&trace.request_lines),
        "beliefs": json_of(&trace.instance_state),
    });
    Report::new(text, json)
}

fn append_lines(text: &mut String, title: &str, lines: &[&LogLine]) {
    // Writing to a string cannot fail.
    let _ = writeln!(text, "{title}");
    for line in lines {
        let _ = writeln!(
            text,
            "  {} {} {}",
            line.time(),
            line.instance(),
            cause::describe_line(line)
        );
    }
}
