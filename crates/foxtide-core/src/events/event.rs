//! Events and their fields.

use super::{
    EventCode,
    HybridTime, //
};
use crate::ids::{
    InstanceId,
    OrganisationId,
    RegionId,
    ServiceId,
    UpstreamId, //
};
use crate::{
    Error,
    Result, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::fmt;
use std::mem::size_of;
use std::str::FromStr;
use std::sync::Arc;

/// The maximum length of a detail; longer ones are truncated.
pub const DETAIL_MAX_BYTES: usize = 256;

/// The reference counts of an `Arc<str>`.
const SHARED_TEXT_OVERHEAD_BYTES: usize = 2 * size_of::<usize>();

const REQUEST_ID_MAX_BYTES: usize = 64;

/// The identifier of a request, forwarded in `foxtide-request-id`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RequestId(Arc<str>);

impl RequestId {
    /// Returns the identifier as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for RequestId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
        let sized = (1..=REQUEST_ID_MAX_BYTES).contains(&text.len());
        if !sized || !text.bytes().all(allowed) {
            let expected = "1 to 64 letters, digits, `-`, `_` and `.`";
            return Err(Error::parse(text, expected));
        }
        Ok(Self(text.into()))
    }
}

impl TryFrom<String> for RequestId {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        text.parse()
    }
}

impl From<RequestId> for String {
    fn from(id: RequestId) -> Self {
        id.0.as_ref().to_owned()
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The subjects of an event; fields that do not apply are omitted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventFields {
    /// The organisation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisation: Option<OrganisationId>,
    /// The service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceId>,
    /// The region.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub region: Option<RegionId>,
    /// The upstream.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub upstream: Option<UpstreamId>,
    /// The other instance.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer: Option<InstanceId>,
    /// The request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// Figures and reasons as free text.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
}

impl EventFields {
    /// Creates fields with only a detail.
    pub fn detail(detail: impl Into<String>) -> Self {
        Self {
            detail: detail.into(),
            ..Self::default()
        }
    }

    /// Truncates the detail to [`DETAIL_MAX_BYTES`] at a character boundary.
    pub(super) fn bounded(mut self) -> Self {
        let end = self.detail.floor_char_boundary(DETAIL_MAX_BYTES);
        self.detail.truncate(end);
        self
    }
}

impl fmt::Display for EventFields {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_field(f, "organisation", self.organisation.as_ref())?;
        write_field(f, "service", self.service.as_ref())?;
        write_field(f, "region", self.region.as_ref())?;
        write_field(f, "upstream", self.upstream.as_ref())?;
        write_field(f, "peer", self.peer.as_ref())?;
        write_field(f, "request", self.request.as_ref())?;
        if self.detail.is_empty() {
            return Ok(());
        }
        write!(f, " {}", self.detail)
    }
}

fn write_field(
    f: &mut fmt::Formatter<'_>,
    name: &str,
    value: Option<&impl fmt::Display>,
) -> fmt::Result {
    match value {
        Some(value) => write!(f, " {name}={value}"),
        None => Ok(()),
    }
}

/// An event without timestamp and instance, as decisions emit it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventDraft {
    /// The type of event.
    pub code: EventCode,
    /// The subjects.
    pub fields: EventFields,
}

/// One event of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The timestamp.
    pub clock: HybridTime,
    /// The instance that recorded the event.
    pub instance: InstanceId,
    /// The type of event.
    pub code: EventCode,
    /// The subjects.
    #[serde(flatten)]
    pub fields: EventFields,
}

impl Event {
    /// Creates an event with its detail truncated to [`DETAIL_MAX_BYTES`].
    pub fn new(
        clock: HybridTime,
        instance: InstanceId,
        code: EventCode,
        fields: EventFields,
    ) -> Self {
        Self {
            clock,
            instance,
            code,
            fields: fields.bounded(),
        }
    }

    /// Returns the memory of the event in bytes, including its shared names.
    pub fn size_bytes(&self) -> usize {
        let fields = &self.fields;
        let names = [
            Some(self.instance.as_str()),
            fields.organisation.as_ref().map(OrganisationId::as_str),
            fields.service.as_ref().map(ServiceId::as_str),
            fields.region.as_ref().map(RegionId::as_str),
            fields.upstream.as_ref().map(UpstreamId::as_str),
            fields.peer.as_ref().map(InstanceId::as_str),
            fields.request.as_ref().map(RequestId::as_str),
        ];
        let shared = |name: &str| name.len() + SHARED_TEXT_OVERHEAD_BYTES;
        let names_bytes: usize = names.into_iter().flatten().map(shared).sum();
        size_of::<Self>() + fields.detail.capacity() + names_bytes
    }
}

impl fmt::Display for Event {
    /// Formats the event as a log line: `F5003 upstream-ejected service=…`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{}", self.code, self.fields)
    }
}
