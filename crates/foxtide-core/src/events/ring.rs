//! The bounded memory of a process's events.
//!
//! Events of [`Level::Debug`] have room of their own, so that a flood of
//! requests cannot push out what an operator will ask about.

use super::{Event, EventFilter, Level};
use std::collections::VecDeque;

/// How many events are kept.
#[derive(Clone, Copy, Debug)]
pub struct EventRingOptions {
    /// How many events above [`Level::Debug`]; 4,096 by default.
    pub notable: usize,
    /// How many events of [`Level::Debug`]; 1,024 by default.
    pub routine: usize,
}

impl Default for EventRingOptions {
    fn default() -> Self {
        Self {
            notable: 4_096,
            routine: 1_024,
        }
    }
}

/// An event and its place in the order of recording.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RingEntry {
    /// Counts the process's events, from 1.
    pub sequence: u64,
    /// The event.
    pub event: Event,
}

/// The latest events of one process.
#[derive(Clone, Debug, Default)]
pub struct EventRing {
    options: EventRingOptions,
    notable: VecDeque<RingEntry>,
    routine: VecDeque<RingEntry>,
    recorded: u64,
    dropped: u64,
}

impl EventRing {
    /// Returns an empty ring.
    pub fn new(options: EventRingOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Adds an event and drops the oldest one of its sort where room is short.
    pub fn push(&mut self, event: Event) {
        self.recorded += 1;
        let sequence = self.recorded;
        let (queue, capacity) = match event.code.level() {
            Level::Debug => (&mut self.routine, self.options.routine),
            Level::Error | Level::Warn | Level::Info => (&mut self.notable, self.options.notable),
        };
        // Room is made first, so that the queue never grows past its capacity.
        if queue.len() >= capacity && queue.pop_front().is_some() {
            self.dropped += 1;
        }
        queue.push_back(RingEntry { sequence, event });
    }

    /// Returns how many events were ever recorded.
    pub fn recorded(&self) -> u64 {
        self.recorded
    }

    /// Returns how many events were dropped for want of room.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Returns the events that pass a filter, oldest first; the latest
    /// [`EventFilter::limit`] of them.
    pub fn select(&self, filter: &EventFilter) -> Vec<Event> {
        let entries = self.notable.iter().chain(&self.routine);
        let passing = entries.map(|entry| &entry.event);
        let mut events: Vec<Event> = passing.filter(|e| filter.passes(e)).cloned().collect();
        events.sort_by_key(|event| event.clock);
        filter.keep_latest(&mut events);
        events
    }

    /// Returns the oldest `limit` events above [`Level::Debug`] that were
    /// recorded after `sequence`.
    pub fn notable_after(&self, sequence: u64, limit: usize) -> Vec<RingEntry> {
        let start = self.notable.partition_point(|e| e.sequence <= sequence);
        self.notable.range(start..).take(limit).cloned().collect()
    }
}
