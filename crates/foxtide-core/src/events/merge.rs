//! Merges the events of several processes into one time line.

use super::Event;

/// Merges events of several processes, given in any order, into causal order.
///
/// Events are ordered by hybrid clock: causes precede their effects, and
/// concurrent events follow wall time. Duplicates are removed.
pub fn merge(sources: impl IntoIterator<Item = Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = sources.into_iter().flatten().collect();
    events.sort_by(|a, b| (a.clock, &a.instance).cmp(&(b.clock, &b.instance)));
    events.dedup_by(|a, b| (a.clock, &a.instance) == (b.clock, &b.instance));
    events
}
