//! Collects the log lines of all instances that concern one request.

use crate::commands::log_lines::LogLine;

/// The maximum age of a relevant upstream event in seconds, which covers the longest
/// ejection of an upstream and the longest request timeout.
const UPSTREAM_EVENT_MAX_AGE_S: f64 = 16.0;

/// The log lines of a request and the state of the instance that handled it.
#[derive(Debug)]
pub(super) struct RequestTrace<'a> {
    /// The request id.
    pub(super) id: &'a str,
    /// The lines with the request's id, ordered by time.
    pub(super) request_lines: Vec<&'a LogLine>,
    /// Events that show the state of the instance when the request ended.
    pub(super) instance_state: Vec<&'a LogLine>,
}

impl<'a> RequestTrace<'a> {
    /// Collects the lines of a request; `None` if no line has its id.
    pub(super) fn collect(id: &'a str, lines: &'a [LogLine]) -> Option<Self> {
        let request_lines: Vec<&LogLine> = lines
            .iter()
            .filter(|line| line.has_text("request", id))
            .collect();
        let last = *request_lines.last()?;
        let earlier: Vec<&LogLine> = lines
            .iter()
            .filter(|line| line.instance() == last.instance() && last.seconds_since(line) >= 0.0)
            .collect();
        let instance_state = instance_state(&request_lines, last, &earlier);
        Some(Self {
            id,
            request_lines,
            instance_state,
        })
    }

    /// Returns the line that records the end of the request.
    pub(super) fn end(&self) -> Option<&LogLine> {
        let is_end = |line: &&&LogLine| {
            matches!(
                line.event.as_str(),
                "request-answered" | "request-failed" | "request-cancelled"
            )
        };
        self.request_lines.iter().rev().find(is_end).copied()
    }

    /// Returns the failed attempts.
    pub(super) fn failed_attempts(&self) -> impl Iterator<Item = &LogLine> {
        let lines = self.request_lines.iter().copied();
        lines.filter(|line| line.event == "attempt-failed")
    }

    /// Returns the latest state event with this name.
    pub(super) fn latest_state_event(&self, event: &str) -> Option<&LogLine> {
        let events = self.instance_state.iter().rev();
        events.copied().find(|line| line.event == event)
    }
}

/// Returns the latest events about the configuration, evacuated zones and the store, and
/// the events of the request's upstreams shortly before its end.
fn instance_state<'a>(
    request_lines: &[&LogLine],
    last: &LogLine,
    earlier: &[&'a LogLine],
) -> Vec<&'a LogLine> {
    let latest = |events: &[&str]| {
        let of_kind = |line: &&&LogLine| events.contains(&line.event.as_str());
        earlier.iter().rev().find(of_kind).copied()
    };
    let mut state: Vec<&LogLine> = Vec::new();
    state.extend(latest(&["configuration-applied"]));
    state.extend(latest(&["zones-evacuated"]));
    state.extend(latest(&["store-unreachable", "store-reachable"]));
    state.extend(latest(&["relay-lost"]));
    let is_of_upstream = |line: &&&LogLine| {
        line.event.starts_with("upstream-")
            && last.seconds_since(line) <= UPSTREAM_EVENT_MAX_AGE_S
            && request_lines
                .iter()
                .any(|request_line| request_line.text("upstream") == line.text("upstream"))
    };
    state.extend(earlier.iter().filter(is_of_upstream).copied());
    state.sort_by(|one, other| one.seconds_since(other).total_cmp(&0.0));
    state
}
