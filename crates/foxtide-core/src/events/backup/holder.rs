//! Stores the events of other instances in bounded memory.

use crate::Result;
use crate::events::{
    Event,
    EventCopies,
    EventCopiesAck,
    EventFilter, //
};
use crate::ids::InstanceId;
use std::collections::{
    BTreeMap,
    VecDeque, //
};

/// The capacity of a [`BackupHolder`].
#[derive(Clone, Copy, Debug)]
pub struct HolderOptions {
    /// The maximum size of the events of one instance; 128 KiB by default.
    pub origin_bytes: usize,
    /// The maximum size of all events; 1 MiB by default.
    pub total_bytes: usize,
}

impl Default for HolderOptions {
    fn default() -> Self {
        Self {
            origin_bytes: 128 << 10,
            total_bytes: 1 << 20,
        }
    }
}

/// The stored events of one instance.
#[derive(Clone, Debug, Default)]
struct Origin {
    events: VecDeque<Event>,
    size_bytes: usize,
}

impl Origin {
    /// Adds an event unless it is a duplicate.
    fn add(&mut self, event: Event) {
        let same = |stored: &&Event| stored.clock == event.clock;
        if self.events.iter().rev().find(same).is_some() {
            return;
        }
        self.size_bytes += event.size_bytes();
        self.events.push_back(event);
    }

    fn drop_oldest(&mut self) {
        if let Some(event) = self.events.pop_front() {
            self.size_bytes -= event.size_bytes();
        }
    }
}

/// The events that this instance stores for others.
#[derive(Clone, Debug, Default)]
pub struct BackupHolder {
    options: HolderOptions,
    origins: BTreeMap<InstanceId, Origin>,
}

impl BackupHolder {
    /// Creates an empty holder.
    pub fn new(options: HolderOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Stores the events of a peer and returns the acknowledgement. Events with an
    /// unknown code, as newer versions may send, are ignored.
    ///
    /// # Errors
    ///
    /// Fails if the origin's name is invalid.
    pub fn accept(&mut self, copies: EventCopies) -> Result<EventCopiesAck> {
        let through = copies.through;
        let instance: InstanceId = copies.origin.parse()?;
        let origin = self.origins.entry(instance.clone()).or_default();
        let messages = copies.events.into_iter();
        for event in messages.filter_map(|message| message.into_event(instance.clone()).ok()) {
            origin.add(event);
        }
        while origin.size_bytes > self.options.origin_bytes {
            origin.drop_oldest();
        }
        self.shrink_to_total();
        Ok(EventCopiesAck { through })
    }

    /// Returns the stored events that match a filter, the oldest first.
    pub fn select(&self, filter: &EventFilter) -> Vec<Event> {
        filter.select(self.origins.values().flat_map(|origin| &origin.events))
    }

    /// Returns the memory of the stored events in bytes.
    pub fn size_bytes(&self) -> usize {
        self.origins.values().map(|origin| origin.size_bytes).sum()
    }

    /// Returns the number of instances with stored events.
    pub fn origins(&self) -> usize {
        self.origins.len()
    }

    /// Evicts the oldest events of the instances that use the most memory.
    fn shrink_to_total(&mut self) {
        while self.size_bytes() > self.options.total_bytes {
            let largest = self.origins.values_mut().max_by_key(|o| o.size_bytes);
            if let Some(origin) = largest {
                origin.drop_oldest();
            }
        }
        self.origins.retain(|_, origin| !origin.events.is_empty());
    }
}
