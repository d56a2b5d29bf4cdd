//! Messages about requests that end their upstreams.

use super::{
    Body,
    Datagram, //
};
use foxtide_core::poison::{
    EndReport,
    Fingerprint,
    QuarantineEntry, //
};
use foxtide_core::time::WallTime;

/// An upstream that ended while it worked on a request.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct UpstreamEndMessage {
    #[prost(fixed64, tag = "1")]
    fingerprint: u64,
    #[prost(string, tag = "2")]
    upstream: String,
    /// When the upstream had started, in milliseconds since 1970.
    #[prost(uint64, optional, tag = "3")]
    born_ms: Option<u64>,
    /// Whether a region did not acknowledge the report.
    #[prost(bool, tag = "4")]
    is_isolated: bool,
}

/// A quarantined request.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct QuarantineMessage {
    #[prost(fixed64, tag = "1")]
    fingerprint: u64,
    /// How many upstreams ended while they worked on it.
    #[prost(uint32, tag = "3")]
    ends: u32,
    /// How often an instance was allowed to send it as a trial.
    #[prost(uint32, tag = "4")]
    trials: u32,
}

impl Datagram {
    /// Returns the report of an upstream that ended while it worked on a request.
    pub(crate) fn end_report(number: u64, report: &EndReport) -> Self {
        let message = UpstreamEndMessage {
            fingerprint: report.fingerprint.hash(),
            upstream: report.upstream.to_string(),
            born_ms: report.born_at.map(WallTime::as_ms),
            is_isolated: report.is_isolated,
        };
        Self {
            number,
            body: Some(Body::EndReport(message)),
        }
    }

    /// Returns the acknowledgement of a report with this number.
    pub(crate) fn end_acknowledged(number: u64, fingerprint: Fingerprint) -> Self {
        Self {
            number,
            body: Some(Body::EndAcknowledged(fingerprint.hash())),
        }
    }

    /// Returns the message that a request is held until an end is acknowledged.
    pub(crate) fn held(number: u64, fingerprint: Fingerprint) -> Self {
        Self {
            number,
            body: Some(Body::Held(fingerprint.hash())),
        }
    }

    /// Returns the message that a request is held no longer.
    pub(crate) fn lifted(number: u64, fingerprint: Fingerprint) -> Self {
        Self {
            number,
            body: Some(Body::Lifted(fingerprint.hash())),
        }
    }

    /// Returns the message that a suspected request was served.
    pub(crate) fn cleared(number: u64, fingerprint: Fingerprint) -> Self {
        Self {
            number,
            body: Some(Body::Cleared(fingerprint.hash())),
        }
    }

    /// Returns the message that a request is quarantined.
    pub(crate) fn quarantine(
        number: u64,
        fingerprint: Fingerprint,
        entry: QuarantineEntry,
    ) -> Self {
        let message = QuarantineMessage::new(fingerprint, entry);
        Self {
            number,
            body: Some(Body::Quarantine(message)),
        }
    }
}

impl UpstreamEndMessage {
    /// Returns the report.
    ///
    /// # Errors
    ///
    /// Fails if the name of the upstream is invalid.
    pub(crate) fn report(&self) -> foxtide_core::Result<EndReport> {
        Ok(EndReport {
            fingerprint: Fingerprint::from_hash(self.fingerprint),
            upstream: self.upstream.parse()?,
            born_at: self.born_ms.map(WallTime::from_ms),
            is_isolated: self.is_isolated,
        })
    }
}

impl QuarantineMessage {
    /// Returns the message on a quarantined request.
    pub(crate) fn new(fingerprint: Fingerprint, entry: QuarantineEntry) -> Self {
        Self {
            fingerprint: fingerprint.hash(),
            ends: entry.ends,
            trials: entry.trials,
        }
    }

    /// Returns the fingerprint of the request.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        Fingerprint::from_hash(self.fingerprint)
    }

    /// Returns the quarantine entry of the request.
    pub(crate) fn entry(&self) -> QuarantineEntry {
        QuarantineEntry {
            ends: self.ends,
            trials: self.trials,
        }
    }
}
