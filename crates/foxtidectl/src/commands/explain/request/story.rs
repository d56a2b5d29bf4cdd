//! What the lines of all instances tell of one request.

use super::cause;
use super::lines::LogLine;
use crate::report::Report;
use serde_json::{
    Value,
    json, //
};
use std::fmt::Write;

/// How far back an event about an upstream still tells of a request, in seconds:
/// the longest time for which an upstream is passed over, and the longest time
/// limit of a request.
const UPSTREAM_EVENT_AGE_MAX_S: f64 = 16.0;

/// A request, and what the instance that had it believed.
#[derive(Debug)]
pub(super) struct Story<'a> {
    id: &'a str,
    /// The lines that name the request, in their order.
    pub(super) own: Vec<&'a LogLine>,
    /// What the instance believed when the request ended.
    pub(super) beliefs: Vec<&'a LogLine>,
}

impl<'a> Story<'a> {
    /// Returns what `lines` tell of a request; nothing where none names it.
    pub(super) fn of(id: &'a str, lines: &'a [LogLine]) -> Option<Self> {
        let own: Vec<&LogLine> = lines
            .iter()
            .filter(|line| line.holds("request", id))
            .collect();
        let last = *own.last()?;
        let earlier: Vec<&LogLine> = lines
            .iter()
            .filter(|line| line.instance() == last.instance() && last.seconds_after(line) >= 0.0)
            .collect();
        let beliefs = beliefs(&own, last, &earlier);
        Some(Self { id, own, beliefs })
    }

    /// Returns the line that tells how the request ended.
    pub(super) fn end(&self) -> Option<&LogLine> {
        let is_end = |line: &&&LogLine| {
            matches!(
                line.event.as_str(),
                "request-answered" | "request-failed" | "request-cancelled"
            )
        };
        self.own.iter().rev().find(is_end).copied()
    }

    /// Returns the attempts that brought no response to deliver.
    pub(super) fn failed_attempts(&self) -> impl Iterator<Item = &LogLine> {
        let own = self.own.iter().copied();
        own.filter(|line| line.event == "attempt-failed")
    }

    /// Returns the latest belief of a kind.
    pub(super) fn belief(&self, event: &str) -> Option<&LogLine> {
        let beliefs = self.beliefs.iter().rev();
        beliefs.copied().find(|line| line.event == event)
    }

    /// Returns the story for people and for programs.
    pub(super) fn report(&self) -> Report {
        let cause = cause::in_words(self);
        let mut text = format!("request {}\ncause: {cause}\n", self.id);
        append(&mut text, "what happened to it:", &self.own);
        append(&mut text, "what the instance believed:", &self.beliefs);
        let json_of = |lines: &[&LogLine]| lines.iter().map(|line| line.json()).collect::<Value>();
        let json = json!({
            "request": self.id,
            "cause": cause,
            "lines": json_of(&self.own),
            "beliefs": json_of(&self.beliefs),
        });
        Report::new(text, json)
    }
}

/// Returns the latest configuration and evacuation, the state of the store, and
/// what became of the request's upstreams shortly before its end.
fn beliefs<'a>(own: &[&LogLine], last: &LogLine, earlier: &[&'a LogLine]) -> Vec<&'a LogLine> {
    let latest = |events: &[&str]| {
        let of_kind = |line: &&&LogLine| events.contains(&line.event.as_str());
        earlier.iter().rev().find(of_kind).copied()
    };
    let mut beliefs: Vec<&LogLine> = Vec::new();
    beliefs.extend(latest(&["configuration-applied"]));
    beliefs.extend(latest(&["zones-evacuated"]));
    beliefs.extend(latest(&["store-unreachable", "store-reachable"]));
    beliefs.extend(latest(&["relay-lost"]));
    let is_of_upstream = |line: &&&LogLine| {
        line.event.starts_with("upstream-")
            && last.seconds_after(line) <= UPSTREAM_EVENT_AGE_MAX_S
            && own
                .iter()
                .any(|own| own.field("upstream") == line.field("upstream"))
    };
    beliefs.extend(earlier.iter().filter(is_of_upstream).copied());
    beliefs.sort_by(|one, other| one.seconds_after(other).total_cmp(&0.0));
    beliefs
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
