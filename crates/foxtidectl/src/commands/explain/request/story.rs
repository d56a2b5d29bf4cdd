//! What the lines of all instances tell of one request.

use crate::commands::lines::LogLine;

/// How far back an event about an upstream still tells of a request, in seconds:
/// the longest time for which an upstream is passed over, and the longest time
/// limit of a request.
const UPSTREAM_EVENT_AGE_MAX_S: f64 = 16.0;

/// A request, and what the instance that had it believed.
#[derive(Debug)]
pub(super) struct Story<'a> {
    /// Its identity.
    pub(super) id: &'a str,
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
