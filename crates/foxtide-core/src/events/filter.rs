//! Filters of events.

use super::{
    Event,
    EventCode,
    Level,
    RequestId, //
};
use crate::ids::{
    InstanceId,
    OrganisationId,
    RegionId,
    ServiceId, //
};
use crate::time::WallTime;
use crate::{
    Error,
    Result, //
};
use std::str::FromStr;

/// A filter of events; the default matches all.
#[derive(Clone, Debug, Default)]
pub struct EventFilter {
    /// Only events of this code.
    pub code: Option<EventCode>,
    /// Only events of at least this severity.
    pub level: Option<Level>,
    /// Only events of this instance.
    pub instance: Option<InstanceId>,
    /// Only events of this organisation.
    pub organisation: Option<OrganisationId>,
    /// Only events of this service.
    pub service: Option<ServiceId>,
    /// Only events of this region.
    pub region: Option<RegionId>,
    /// Only events of this request.
    pub request: Option<RequestId>,
    /// Only events since this time.
    pub since_us: Option<WallTime>,
    /// The maximum number of events; the latest are selected.
    pub limit: Option<usize>,
}

impl EventFilter {
    /// Sets a field from a query parameter of `/v1/events`; unknown names are ignored.
    ///
    /// # Errors
    ///
    /// Fails if the text is invalid for the field.
    pub fn set(&mut self, name: &str, text: &str) -> Result<()> {
        match name {
            "code" => self.code = Some(text.parse()?),
            "level" => self.level = Some(text.parse()?),
            "instance" => self.instance = Some(text.parse()?),
            "organisation" => self.organisation = Some(text.parse()?),
            "service" => self.service = Some(text.parse()?),
            "region" => self.region = Some(text.parse()?),
            "request" => self.request = Some(text.parse()?),
            "since_us" => self.since_us = Some(WallTime::from_us(parse_number(text)?)),
            "limit" => self.limit = Some(parse_number(text)?),
            _ => {}
        }
        Ok(())
    }

    /// Returns whether an event matches the filter.
    pub fn matches(&self, event: &Event) -> bool {
        let fields = &event.fields;
        self.matches_code_and_time(event)
            && matches_field(&self.instance, Some(&event.instance))
            && matches_field(&self.organisation, fields.organisation.as_ref())
            && matches_field(&self.service, fields.service.as_ref())
            && matches_field(&self.region, fields.region.as_ref())
            && matches_field(&self.request, fields.request.as_ref())
    }

    fn matches_code_and_time(&self, event: &Event) -> bool {
        matches_field(&self.code, Some(&event.code))
            && self.level.is_none_or(|least| event.code.level() <= least)
            && self.since_us.is_none_or(|at| event.clock.wall_us >= at)
    }

    /// Returns the latest [`EventFilter::limit`] matching events, the oldest first.
    pub fn select<'a>(&self, events: impl Iterator<Item = &'a Event>) -> Vec<Event> {
        let passing = events.filter(|event| self.matches(event));
        let mut selected: Vec<Event> = passing.cloned().collect();
        selected.sort_by_key(|event| event.clock);
        let limit = self.limit.unwrap_or(usize::MAX);
        selected.drain(..selected.len().saturating_sub(limit));
        selected
    }
}

fn parse_number<T: FromStr>(text: &str) -> Result<T> {
    let parsed = text.parse();
    parsed.map_err(|_| Error::parse(text, "a whole number, 0 or more"))
}

fn matches_field<T: PartialEq>(wanted: &Option<T>, value: Option<&T>) -> bool {
    match wanted {
        Some(wanted) => value == Some(wanted),
        None => true,
    }
}
