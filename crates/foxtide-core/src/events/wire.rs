//! The encoding of events between processes.

use super::{
    Event,
    EventCode,
    EventFields,
    HybridTime, //
};
use crate::ids::InstanceId;
use crate::time::WallTime;
use crate::{
    Error,
    Result, //
};
use std::str::FromStr;

/// An event; the enclosing message has its instance.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EventMessage {
    /// The wall time of the hybrid clock, in microseconds since the Unix epoch.
    #[prost(uint64, tag = "1")]
    pub wall_us: u64,
    /// The counter of the hybrid clock.
    #[prost(uint32, tag = "2")]
    pub counter: u32,
    /// The event's number.
    #[prost(uint32, tag = "3")]
    pub code: u32,
    /// The organisation; empty for none, like the names below.
    #[prost(string, tag = "4")]
    pub organisation: String,
    /// The service.
    #[prost(string, tag = "5")]
    pub service: String,
    /// The region.
    #[prost(string, tag = "6")]
    pub region: String,
    /// The upstream.
    #[prost(string, tag = "7")]
    pub upstream: String,
    /// The other instance.
    #[prost(string, tag = "8")]
    pub peer: String,
    /// The request.
    #[prost(string, tag = "9")]
    pub request: String,
    /// The detail.
    #[prost(string, tag = "10")]
    pub detail: String,
}

/// Events for a peer to store.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EventCopies {
    /// The instance that recorded the events.
    #[prost(string, tag = "1")]
    pub origin: String,
    /// The sequence number of the last event at its origin.
    #[prost(uint64, tag = "2")]
    pub through: u64,
    /// The events, the oldest first.
    #[prost(message, repeated, tag = "3")]
    pub events: Vec<EventMessage>,
}

/// Acknowledges stored events.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct EventCopiesAck {
    /// The sequence number from [`EventCopies`].
    #[prost(uint64, tag = "1")]
    pub through: u64,
}

impl From<&Event> for EventMessage {
    fn from(event: &Event) -> Self {
        let fields = &event.fields;
        Self {
            wall_us: event.clock.wall_us.as_us(),
            counter: event.clock.counter,
            code: event.code.number().into(),
            organisation: text(fields.organisation.as_ref()),
            service: text(fields.service.as_ref()),
            region: text(fields.region.as_ref()),
            upstream: text(fields.upstream.as_ref()),
            peer: text(fields.peer.as_ref()),
            request: text(fields.request.as_ref()),
            detail: fields.detail.clone(),
        }
    }
}

impl EventMessage {
    /// Returns the event's timestamp.
    pub fn clock(&self) -> HybridTime {
        HybridTime {
            wall_us: WallTime::from_us(self.wall_us),
            counter: self.counter,
        }
    }

    /// Decodes an event of `instance`.
    ///
    /// # Errors
    ///
    /// Fails if a name is invalid or the code is unknown to this version.
    pub fn into_event(self, instance: InstanceId) -> Result<Event> {
        let clock = self.clock();
        let fields = EventFields {
            organisation: name(&self.organisation)?,
            service: name(&self.service)?,
            region: name(&self.region)?,
            upstream: name(&self.upstream)?,
            peer: name(&self.peer)?,
            request: name(&self.request)?,
            detail: self.detail,
        };
        let code = EventCode::from_number(self.code)?;
        Ok(Event::new(clock, instance, code, fields))
    }
}

fn text(name: Option<&impl ToString>) -> String {
    name.map(ToString::to_string).unwrap_or_default()
}

fn name<T: FromStr<Err = Error>>(text: &str) -> Result<Option<T>> {
    if text.is_empty() {
        return Ok(None);
    }
    text.parse().map(Some)
}
