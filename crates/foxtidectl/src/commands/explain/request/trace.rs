//! What the lines of all instances tell of one request.

use crate::commands::log_lines::LogLine;

/// How far back an event about an upstream still tells of a request, in seconds:
/// the longest time for which an upstream is passed over, and the longest time
/// limit of a request.
const UPSTREAM_EVENT_MAX_AGE_S: f64 = 16.0;

/// A request, and what the instance that had it believed.
#[derive(Debug)]
pub(super) struct RequestTrace<'a> {
    /// Its identity.
    pub(super) id: &'a str,
    /// The lines that name the request, in their order.
    pub(super) request_lines: Vec<&'a LogLine>,
    /// What the instance believed when the request ended.
    pub(super) instance_state: Vec<&'a LogLine>,
}

impl<'a> RequestTrace<'a> {
    /// Returns what `lines` tell of a request; nothing where none names it.
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

    /// Returns the line that tells how the request ended.
    pub(super) fn end(&self) -> Option<&LogLine> {
        let is_end = |line: &&&LogLine| {
            matches!(
                line.event.as_str(),
                "request-answered" | "request-failed" | "request-cancelled"
            )
        };
        self.request_lines.iter().rev().find(is_end).copied()
    }

    /// Returns the attempts that brought no response to deliver.
    pub(super) fn failed_attempts(&self) -> impl Iterator<Item = &LogLine> {
        let lines = self.request_lines.iter().copied();
        lines.filter(|line| line.event == "attempt-failed")
    }

    /// Returns the latest belief of a kind.
    pub(super) fn latest_state_event(&self, event: &str) -> Option<&LogLine> {
        let events = self.instance_state.iter().rev();
        events.copied().find(|line| line.event == event)
    }
}

/// Returns the latest configuration and evacuation, the state of the store, and
/// what became of the request's upstreams shortly before its end.
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
                .any(|line_of_request| line_of_request.text("upstream") == line.text("upstream"))
    };
    state.extend(earlier.iter().filter(is_of_upstream).copied());
    state.sort_by(|one, other| one.seconds_since(other).total_cmp(&0.0));
    state
}
