//! One time line from the events of several processes.

use super::Event;

/// Merges events of several processes, given in any order and perhaps more
/// than once, into causal order.
///
/// The order is that of the hybrid clock, which places every cause before its
/// effects; events that cannot have caused each other come by wall time.
/// Copies of one event, as peers keep them, appear once.
pub fn merge(sources: impl IntoIterator<Item = Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = sources.into_iter().flatten().collect();
    events.sort_by(|a, b| (a.clock, &a.instance).cmp(&(b.clock, &b.instance)));
    events.dedup_by(|a, b| (a.clock, &a.instance) == (b.clock, &b.instance));
    events
}
