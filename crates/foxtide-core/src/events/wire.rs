//! The form in which events travel between processes.

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

/// An event whose instance the message around it names.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EventMessage {
    /// Microseconds since the Unix epoch, of the hybrid clock.
    #[prost(uint64, tag = "1")]
    pub wall_us: u64,
    /// The counter of the hybrid clock.
    #[prost(uint32, tag = "2")]
    pub counter: u32,
    /// The event's number.
    #[prost(uint32, tag = "3")]
    pub code: u32,
    /// The organisation; empty for none, as all names below.
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
    /// The figures and reasons.
    #[prost(string, tag = "10")]
    pub detail: String,
}

/// Events that a peer is to keep.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EventCopies {
    /// The instance at which they happened.
    #[prost(string, tag = "1")]
    pub origin: String,
    /// The sequence of the last of them at their origin.
    #[prost(uint64, tag = "2")]
    pub through: u64,
    /// The events, oldest first.
    #[prost(message, repeated, tag = "3")]
    pub events: Vec<EventMessage>,
}

/// Says which events a peer has kept.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct EventCopiesAck {
    /// As in [`EventCopies`].
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
    /// Returns when the event happened.
    pub fn clock(&self) -> HybridTime {
        HybridTime {
            wall_us: WallTime::from_us(self.wall_us),
            counter: self.counter,
        }
    }

    /// Returns the event, at the instance that the message came from.
    ///
    /// # Errors
    ///
    /// Fails where a name does not parse or the number is not in this
    /// process's catalogue, as that of a newer version may be.
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
