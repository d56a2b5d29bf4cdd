//! The simplest way to decide where a request goes: the own region, in turn.

use crate::parts::{Admission, Completion, Pick, RequestFacts, Steer};
use foxtide_core::ids::{RegionId, ServiceId};
use foxtide_core::organisation::{Organisation, Upstream};
use foxtide_core::time::MonotonicTime;
use std::net::IpAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Sends every request to the upstreams of one region in turn, with neither
/// limits nor memory; for tests and as a baseline of measurements.
#[derive(Debug)]
pub struct LocalFirst {
    region: RegionId,
    turn: AtomicUsize,
}

/// A place at an upstream that needs no giving back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalTicket;

impl LocalFirst {
    /// Returns what sends every request to `region`.
    pub fn new(region: RegionId) -> Self {
        Self {
            region,
            turn: AtomicUsize::new(0),
        }
    }
}

impl Steer for LocalFirst {
    type Ticket = LocalTicket;

    fn lookup(
        &self,
        _organisation: &Organisation,
        _service: &ServiceId,
        _client: IpAddr,
        _now: MonotonicTime,
    ) -> Vec<RegionId> {
        vec![self.region.clone()]
    }

    fn admit(&self, _request: &RequestFacts, _waited: Duration, _now: MonotonicTime) -> Admission {
        Admission::Send {
            region: self.region.clone(),
            spilled: false,
        }
    }

    fn pick(
        &self,
        request: &RequestFacts,
        region: &RegionId,
        _now: MonotonicTime,
    ) -> Pick<LocalTicket> {
        let service = request.organisation.service(&request.service);
        let here: Vec<&Upstream> = service
            .into_iter()
            .flat_map(|service| &service.upstreams)
            .filter(|upstream| upstream.region == *region)
            .collect();
        if here.is_empty() {
            return Pick::Empty;
        }
        let turn = self.turn.fetch_add(1, Ordering::Relaxed) % here.len();
        Pick::Take {
            ticket: LocalTicket,
            upstream: here[turn].clone(),
        }
    }

    fn finish(&self, _ticket: LocalTicket, _completion: Completion, _now: MonotonicTime) {}
}
