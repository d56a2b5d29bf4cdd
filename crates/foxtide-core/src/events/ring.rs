//! A bounded buffer of the latest events of a process.
//!
//! [`Level::Debug`] events have separate capacity, so that events of requests do
//! not evict those that are relevant to operators.

use super::{
    Event,
    EventFilter,
    Level, //
};
use std::collections::VecDeque;

/// The capacity of an [`EventRing`].
#[derive(Clone, Copy, Debug)]
pub struct EventRingOptions {
    /// The number of events above [`Level::Debug`]; 4,096 by default.
    pub notable: usize,
    /// The number of [`Level::Debug`] events; 1,024 by default.
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

/// An event with its sequence number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RingEntry {
    /// The sequence number among the process's events in the same queue, from 1.
    pub sequence: u64,
    /// The event.
    pub event: Event,
}

/// A bounded queue of events.
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
        // Evicts first, so that the queue never reallocates beyond its capacity.
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
    /// Creates an empty ring.
    pub fn new(options: EventRingOptions) -> Self {
        Self {
            notable: Queue::new(options.notable),
            debug: Queue::new(options.debug),
        }
    }

    /// Adds an event, evicting the oldest one if its queue is full.
    pub fn push(&mut self, event: Event) {
        match event.code.level() {
            Level::Debug => self.debug.push(event),
            Level::Error | Level::Warn | Level::Info => self.notable.push(event),
        }
    }

    /// Returns the number of events recorded so far.
    pub fn recorded(&self) -> u64 {
        self.notable.recorded + self.debug.recorded
    }

    /// Returns the number of evicted events.
    pub fn dropped(&self) -> u64 {
        self.notable.dropped() + self.debug.dropped()
    }

    /// Returns the latest [`EventFilter::limit`] events that match a filter, the
    /// oldest first.
    pub fn select(&self, filter: &EventFilter) -> Vec<Event> {
        let entries = self.notable.entries.iter().chain(&self.debug.entries);
        let events = entries.map(|entry| &entry.event);
        filter.select(events)
    }

    /// Returns the oldest `limit` events above [`Level::Debug`] after `sequence`.
    pub fn notable_after(&self, sequence: u64, limit: usize) -> Vec<RingEntry> {
        let entries = &self.notable.entries;
        let start = entries.partition_point(|entry| entry.sequence <= sequence);
        entries.range(start..).take(limit).cloned().collect()
    }
}
