//! Messages about the condition of instances.

use super::{
    Body,
    Datagram, //
};
use foxtide_core::units::Share;

/// Asks for the condition of an instance.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(crate) struct ProbeMessage {}

/// The condition of an instance.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(crate) struct ConditionMessage {
    /// The utilisation of its most used resource in percent.
    #[prost(uint32, tag = "1")]
    utilisation_percent: u32,
}

impl ConditionMessage {
    /// Returns the utilisation of the most used resource.
    pub(crate) fn utilisation(&self) -> Share {
        Share::clamped(f64::from(self.utilisation_percent) / 100.0)
    }
}

impl Datagram {
    /// Returns a probe.
    pub(crate) fn probe() -> Self {
        Self {
            number: 0,
            body: Some(Body::Probe(ProbeMessage {})),
        }
    }

    /// Returns the answer to a probe.
    pub(crate) fn condition(utilisation: Share) -> Self {
        Self {
            number: 0,
            body: Some(Body::Condition(ConditionMessage {
                utilisation_percent: (utilisation.get() * 100.0).round() as u32,
            })),
        }
    }
}
