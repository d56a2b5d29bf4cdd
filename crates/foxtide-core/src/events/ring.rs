//! The bounded memory of a process's events.
//!
//! Events of [`Level::Debug`] have room of their own, so that a flood of
//! requests cannot push out what an operator will ask about.

use super::{
    Event,
    EventFilter,
    Level, //
};
use std::collections::VecDeque;

/// How many events are kept.
#[derive(Clone, Copy, Debug)]
pub struct EventRingOptions {
    /// How many events above [`Level::Debug`]; 4,096 by default.
    pub notable: usize,
    /// How many events of [`Level::Debug`]; 1,024 by default.
    pub debug: usize,
}

impl Default for EventRingOptions {
    fn default() -> Self {
        Self {
            notable: 4_096,
            debug: 1_024,
        }
    }
}

/// An event and its place in the order of recording.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RingEntry {
    /// Counts the process's events of the same sort, from 1.
    pub sequence: u64,
    /// The event.
    pub event: Event,
}

/// The kept events of one sort.
#[derive(Clone, Debug, Default)]
struct Queue {
    entries: VecDeque<RingEntry>,
    capacity: usize,
    recorded: u64,
}

impl Queue {
    fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    fn push(&mut self, event: Event) {
        // Room is made first, so that the queue never grows past its capacity.
        if self.entries.len() >= self.capacity {
            self.entries.pop_front();
        }
        self.recorded += 1;
        self.entries.push_back(RingEntry {
            sequence: self.recorded,
            event,
        });
    }

    fn dropped(&self) -> u64 {
        self.recorded - self.entries.len() as u64
    }
}

/// The latest events of one process.
#[derive(Clone, Debug)]
pub struct EventRing {
    notable: Queue,
    debug: Queue,
}

impl Default for EventRing {
    fn default() -> Self {
        Self::new(EventRingOptions::default())
    }
}

impl EventRing {
    /// Returns an empty ring.
    pub fn new(options: EventRingOptions) -> Self {
        Self {
            notable: Queue::new(options.notable),
            debug: Queue::new(options.debug),
        }
    }

    /// Adds an event and drops the oldest one of its sort where room is short.
    pub fn push(&mut self, event: Event) {
        match event.code.level() {
            Level::Debug => self.debug.push(event),
            Level::Error | Level::Warn | Level::Info => self.notable.push(event),
        }
    }

    /// Returns how many events were ever recorded.
    pub fn recorded(&self) -> u64 {
        self.notable.recorded + self.debug.recorded
    }

    /// Returns how many events were dropped for want of room.
    pub fn dropped(&self) -> u64 {
        self.notable.dropped() + self.debug.dropped()
    }

    /// Returns the events that pass a filter, oldest first; the latest
    /// [`EventFilter::limit`] of them.
    pub fn select(&self, filter: &EventFilter) -> Vec<Event> {
        let entries = self.notable.entries.iter().chain(&self.debug.entries);
        let events = entries.map(|entry| &entry.event);
        filter.select(events)
    }

    /// Returns the oldest `limit` events above [`Level::Debug`] that were
    /// recorded after `sequence`.
    pub fn notable_after(&self, sequence: u64, limit: usize) -> Vec<RingEntry> {
        let entries = &self.notable.entries;
        let start = entries.partition_point(|entry| entry.sequence <= sequence);
        entries.range(start..).take(limit).cloned().collect()
    }
}
